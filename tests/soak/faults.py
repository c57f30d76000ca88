"""Faults of a run: drawn from its seed, in series and overlapping."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from tests.soak.proxy import FaultyProxy
from tests.soak.world import SoakWorld, configuration

Fault = Callable[[SoakWorld], Awaitable[None]]
MIN_ENDPOINTS = 3  # Of the keyed service, so that keys have somewhere to go.


async def _hold(world: SoakWorld, low: float = 0.3, high: float = 5.0) -> None:
    await asyncio.sleep(world.rng.uniform(low, high))


def _thaw(world: SoakWorld) -> None:
    world.audit.thawed_at = time.monotonic()


async def _disturb(world: SoakWorld, proxy: FaultyProxy) -> None:
    kind = world.rng.randrange(5)
    if kind == 0:
        proxy.cut()
    elif kind == 1:
        proxy.cut(up=world.rng.random() < 0.5)
    elif kind == 2:
        proxy.delay_seconds = world.rng.uniform(0.05, 0.4)
    elif kind == 3:
        proxy.silence()
    else:
        proxy.refuses = True
        proxy.reset()
    await _hold(world)
    proxy.heal()
    _thaw(world)


async def store_unreachable(world: SoakWorld) -> None:
    """Disturb the way of some instances to the store."""
    count = world.rng.randint(1, len(world.store_proxies))
    proxies = world.rng.sample(world.store_proxies, count)
    await asyncio.gather(*(_disturb(world, proxy) for proxy in proxies))


async def store_down(world: SoakWorld) -> None:
    """Let the store refuse all calls."""
    world.store.down = True
    await _hold(world)
    world.store.down = False


async def store_loses(world: SoakWorld) -> None:
    """Let the store carry writes out without an answer, and forget its history."""
    world.store.lose_answers = True
    world.store.compact()
    await _hold(world, 0.3, 2.0)
    world.store.lose_answers = False


async def endpoint_unreachable(world: SoakWorld) -> None:
    """Disturb the way to an endpoint."""
    await _disturb(world, world.rng.choice(list(world.proxies.values())))


async def endpoint_lost(world: SoakWorld) -> None:
    """Crash an endpoint; another comes."""
    keyed = [n for n, e in world.endpoints.items() if e.service == "keyed"]
    if len(keyed) > MIN_ENDPOINTS:
        world.crash_endpoint(world.rng.choice(keyed))
        await _hold(world, 0.1, 2.0)
        await world.add_endpoint("keyed")


async def endpoint_leaves(world: SoakWorld) -> None:
    """Replace an endpoint with notice."""
    keyed = [e for e in world.endpoints.values() if e.service == "keyed"]
    if len(keyed) <= MIN_ENDPOINTS:
        return
    await world.add_endpoint("keyed")
    leaving = world.rng.choice(keyed)
    world.register(leaving, "draining")
    await asyncio.sleep(world.rng.uniform(2.5, 4.0))
    if leaving.name in world.endpoints:
        world.crash_endpoint(leaving.name)


async def instance_paused(world: SoakWorld) -> None:
    """Stop a process and let it go on."""
    gateway = world.rng.choice(world.gateways)
    gateway.signal(signal.SIGSTOP)
    await _hold(world, 0.2, 6.0)
    gateway.signal(signal.SIGCONT)
    _thaw(world)


async def instance_killed(world: SoakWorld) -> None:
    """Kill one or all processes and start them again."""
    everyone = world.rng.random() < 0.2
    gateways = world.gateways if everyone else [world.rng.choice(world.gateways)]
    for gateway in gateways:
        await gateway.end(signal.SIGKILL)
    await _hold(world, 0.0, 1.5)
    for gateway in gateways:
        if gateway.process is not None and gateway.process.poll() is not None:
            gateway.start()


async def instance_stopped(world: SoakWorld) -> None:
    """End a process as planned and start it again."""
    gateway = world.rng.choice(world.gateways)
    await gateway.end(signal.SIGTERM)
    if gateway.process is not None and gateway.process.poll() is not None:
        gateway.start()


async def configuration_changes(world: SoakWorld) -> None:
    """Write some versions of the configuration."""
    for _ in range(world.rng.randint(1, 4)):
        world.version += world.rng.randint(1, 5)
        world.store.put("config", "main", configuration(world.version))
        await asyncio.sleep(world.rng.uniform(0.05, 0.4))


FAULTS: tuple[Fault, ...] = (
    store_unreachable,
    store_down,
    store_loses,
    endpoint_unreachable,
    endpoint_lost,
    endpoint_leaves,
    instance_paused,
    instance_killed,
    instance_stopped,
    configuration_changes,
)


async def play(world: SoakWorld, seconds: float) -> list[str]:
    """Play faults until the time is over; return their names in order."""
    played = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        fault = world.rng.choice(FAULTS)
        played.append(fault.__name__)
        world.spawn(fault(world))
        await asyncio.sleep(world.rng.uniform(0.2, 2.5))
    return played
