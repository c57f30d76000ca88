"""Work that an operator plans: configurations, reloaded settings and stops.

Instances must lose nothing by it. Stops follow one another and overlap.
"""

import asyncio
import pathlib
import re
import signal
import time

from tests.soak.gateway_process import GatewayProcess
from tests.soak.world import SoakWorld

INTERPRETER_SECONDS = 1.0  # More than the start of an interpreter takes.
MAX_INTERPRETER_SECONDS = 8.0  # The same on a busy host.
# Between the starts of two stops of a series, which overlap mostly or now and then.
STOP_GAPS_SECONDS = ((0.0, 1.0), (0.2, 5.0))


async def configuration_changes(world: SoakWorld) -> None:
    """Write versions that add, remove and move routes, quickly or seconds apart."""
    longest = world.rng.choice((0.4, 3.0))
    for _ in range(world.rng.randint(1, 4)):
        world.write_configuration()
        await asyncio.sleep(world.rng.uniform(0.05, longest))


async def settings_reloaded(world: SoakWorld) -> None:
    """Change the settings files of instances, with SIGHUP or without any signal.

    A process gets no signal while its interpreter starts, when SIGHUP would end it.
    """
    count = world.rng.randint(1, len(world.gateways))
    for gateway in world.rng.sample(world.gateways, count):
        slack = world.rng.randint(40, 80)
        changed = f"retryBudgetSlack = {slack}"
        text = re.sub(r"retryBudgetSlack = \d+", changed, gateway.settings)
        started = _takes_reloads(gateway)
        if started and world.rng.random() < 0.2:
            # The file is read while it is being written.
            gateway.write_settings(text[: len(text) // 2])
            gateway.signal(signal.SIGHUP)
            await asyncio.sleep(world.rng.uniform(0.0, 0.3))
        gateway.write_settings(text)
        if started and world.rng.random() < 0.8:
            gateway.signal(signal.SIGHUP)
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))


def _takes_reloads(gateway: GatewayProcess) -> bool:
    """Whether SIGHUP is due to be handled; a busy host starts interpreters late."""
    age = time.monotonic() - gateway.started_at
    if age < INTERPRETER_SECONDS or gateway.process is None:
        return False
    return age >= MAX_INTERPRETER_SECONDS or handles_reload(gateway.process.pid)


def handles_reload(pid: int) -> bool:
    """Return whether a process ignores or catches SIGHUP."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False  # It has ended.
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)", status, re.MULTILINE)
    return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks)


async def instances_stopped(world: SoakWorld) -> None:
    """Stop instances gracefully, in series or overlapping, and start them again.

    At most half of the instances are stopped at once.
    """
    stops: set[asyncio.Task[None]] = set()
    gap_range = world.rng.choice(STOP_GAPS_SECONDS)
    for _ in range(world.rng.randint(1, 4)):
        free = [g for g in world.gateways if g.name not in world.stopping]
        if len(world.stopping) < max(len(world.gateways) // 2, 1):
            gateway = world.rng.choice(free)
            stops.add(asyncio.create_task(_stop(world, gateway)))
        await asyncio.sleep(world.rng.uniform(*gap_range))
    await asyncio.gather(*stops)


async def _stop(world: SoakWorld, gateway: GatewayProcess) -> None:
    world.stopping.add(gateway.name)
    try:
        with world.disturbances.lasting(gateway.name, planned=True):
            await gateway.end(signal.SIGTERM)
            await asyncio.sleep(world.rng.uniform(0.0, 0.5))
            if not gateway.running:
                gateway.start()
    finally:
        world.stopping.discard(gateway.name)
