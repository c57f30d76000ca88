"""Faults of a run, drawn with its random generator; they may overlap.

A run consists of phases. Each draws the families of faults that occur in it, so that
some phases hold nothing but planned work, and others mix everything.
"""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine

from tests.soak.audit import AuditedEndpoint
from tests.soak.disturbances import STORE
from tests.soak.entry_faults import (
    MIN_ENDPOINTS,
    addresses_taken_over,
    endpoint_is_silent,
    endpoint_leaves_unread,
    late_write_of_earlier_process,
    unreadable_entries,
)
from tests.soak.gateway_process import GatewayProcess
from tests.soak.planned_work import (
    configuration_changes,
    instances_stopped,
    settings_reloaded,
)
from tests.soak.proxy import FaultInjectingProxy, ResponseFaults
from tests.soak.recover_audit import FinalKill
from tests.soak.store_faults import store_goes_back
from tests.soak.workload import TAIL_FACTORS
from tests.soak.world import SoakWorld

Fault = Callable[[SoakWorld], Coroutine[object, object, None]]
# A fault that takes a keyed endpoint away starts only if there are more than this, so
# that other endpoints can take over its keys.
MIN_KEYED_ENDPOINTS = 3
PHASE_SECONDS = 7.5
# After which an endpoint that leaves has ended.
LONGEST_DRAINS_SECONDS = (4.0, 9.0)
DRAINED_SERVICES = ("keyed", "keyed", "plain")
LONGEST_PAUSES_SECONDS = (6.0, 6.0, 14.0)  # Of a process.


async def _wait_random(
    world: SoakWorld, low_seconds: float = 0.3, high_seconds: float = 5.0
) -> None:
    await asyncio.sleep(world.rng.uniform(low_seconds, high_seconds))


def _record_recovery(world: SoakWorld) -> None:
    world.audit.last_recovery = time.monotonic()


async def _inject_network_fault(
    world: SoakWorld, subject: str, proxy: FaultInjectingProxy
) -> None:
    kind = world.rng.randrange(5)
    note = ("link blocked", "one way blocked", "link slow", "silent", "link refused")
    with world.disturbances.lasting(subject, note=note[kind]):
        if kind == 0:
            proxy.block()
        elif kind == 1:
            proxy.block(upstream=world.rng.random() < 0.5)
        elif kind == 2:
            proxy.delay_seconds = world.rng.uniform(0.05, 0.4)
        elif kind == 3:
            proxy.silence()
        else:
            proxy.refuses_connections = True
            proxy.reset()
        await _wait_random(world)
        proxy.clear_faults()
    _record_recovery(world)


async def store_network_fails(world: SoakWorld) -> None:
    """Inject network faults between some instances and the store."""
    count = world.rng.randint(1, len(world.store_proxies))
    numbers = world.rng.sample(range(len(world.store_proxies)), count)
    faults = (
        _inject_network_fault(
            world, world.gateways[number].name, world.store_proxies[number]
        )
        for number in numbers
    )
    await asyncio.gather(*faults)


async def store_refuses_calls(world: SoakWorld) -> None:
    """Make the store refuse all calls for some time."""
    with world.disturbances.lasting(STORE, note="down"):
        world.store.down = True
        await _wait_random(world)
        world.store.down = False


async def store_loses_answers(world: SoakWorld) -> None:
    """Make the store apply writes without responding, and discard its history."""
    with world.disturbances.lasting(STORE, note="loses answers"):
        world.store.lose_answers = True
        world.store.compact()
        await _wait_random(world, 0.3, 2.0)
        world.store.lose_answers = False


async def endpoint_network_fails(world: SoakWorld) -> None:
    """Inject a network fault between the instances and one endpoint."""
    name = world.rng.choice(list(world.proxies))
    await _inject_network_fault(world, name, world.proxies[name])


async def endpoint_crashes(world: SoakWorld) -> None:
    """Crash an endpoint of the keyed service, and add a new one."""
    keyed = [n for n, e in world.endpoints.items() if e.service == "keyed"]
    if len(keyed) > MIN_KEYED_ENDPOINTS:
        world.crash_endpoint(world.rng.choice(keyed))
        await _wait_random(world, 0.1, 2.0)
        await world.add_endpoint("keyed")


async def endpoint_drains(world: SoakWorld) -> None:
    """Replace an endpoint, mostly of the keyed service, by draining it first.

    It says in its answers that it leaves. Its entry says so, too, stays or is removed.
    """
    service = world.rng.choice(DRAINED_SERVICES)
    staying = [e for e in world.endpoints.values() if e.service == service]
    if len(staying) <= MIN_ENDPOINTS[service]:
        return
    await world.add_endpoint(service)
    leaving = world.rng.choice(staying)
    if world.endpoints.get(leaving.name) is not leaving:
        return  # It crashed or restarted meanwhile.
    leaving.leaving = True
    drawn = world.rng.random()
    if drawn < 0.4:
        world.register(leaving, "draining")
    elif drawn < 0.6:
        world.store.remove("servers", leaving.name)
    await asyncio.sleep(
        world.rng.uniform(2.5, world.rng.choice(LONGEST_DRAINS_SECONDS))
    )
    if leaving.name in world.endpoints:
        world.crash_endpoint(leaving.name, planned=True)


async def endpoint_restarts(world: SoakWorld) -> None:
    """Restart an endpoint under its identifier, and let instances learn of it late."""
    name = world.rng.choice(list(world.endpoints))
    if not world.endpoints[name].leaving:
        await world.restart_endpoint(name, world.rng.uniform(0.05, 1.5))


async def endpoint_asks_to_wait(world: SoakWorld) -> None:
    """Make an endpoint reject requests and ask for none for some time."""
    endpoint = world.rng.choice(list(world.endpoints.values()))
    endpoint.wait_until = time.monotonic() + world.rng.uniform(0.2, 4.0)


def _some_endpoints(world: SoakWorld) -> list[AuditedEndpoint]:
    endpoints = list(world.endpoints.values())
    return world.rng.sample(endpoints, world.rng.randint(1, len(endpoints)))


async def endpoints_reject(world: SoakWorld) -> None:
    """Make endpoints reject many requests although they have room."""
    endpoints = _some_endpoints(world)
    for endpoint in endpoints:
        endpoint.rejected_share = world.rng.uniform(0.1, 0.6)
    await _wait_random(world, 1.0, 10.0)
    for endpoint in endpoints:
        endpoint.rejected_share = 0.0


async def endpoints_fail(world: SoakWorld) -> None:
    """Make endpoints answer requests that they have run with failures."""
    endpoints = _some_endpoints(world)
    for endpoint in endpoints:
        endpoint.failed_share = world.rng.uniform(0.05, 0.5)
    await _wait_random(world, 1.0, 10.0)
    for endpoint in endpoints:
        endpoint.failed_share = 0.0


async def endpoints_slow_down(world: SoakWorld) -> None:
    """Make all work of some endpoints take several times as long for some time."""
    until = time.monotonic() + world.rng.uniform(0.5, 6.0)
    for endpoint in _some_endpoints(world):
        endpoint.cold_until = until
        endpoint.cold_factor = world.rng.uniform(*TAIL_FACTORS)


async def responses_disturbed(world: SoakWorld) -> None:
    """Repeat, cut or lose responses of some endpoints, or make them invalid."""
    faults = ResponseFaults(
        world.rng,
        repeated=world.rng.choice((0.0, world.rng.uniform(0.02, 0.3))),
        cut=world.rng.choice((0.0, world.rng.uniform(0.01, 0.1))),
        lost=world.rng.choice((0.0, world.rng.uniform(0.01, 0.1))),
        invalid=world.rng.choice((0.0, world.rng.uniform(0.01, 0.1))),
        early=world.rng.choice((0.0, world.rng.uniform(0.2, 1.0))),
    )
    names = [e.name for e in _some_endpoints(world) if e.name in world.proxies]
    proxies = [world.proxies[name] for name in names]
    with world.disturbances.lasting(*names, note="responses disturbed"):
        for proxy in proxies:
            proxy.response_faults = faults
        await _wait_random(world, 1.0, 10.0)
        for proxy in proxies:
            proxy.response_faults = None


async def instance_paused(world: SoakWorld) -> None:
    """Pause the process of an instance and resume it."""
    gateway = world.rng.choice(world.gateways)
    with world.disturbances.lasting(gateway.name, note="paused"):
        gateway.signal(signal.SIGSTOP)
        await _wait_random(world, 0.2, world.rng.choice(LONGEST_PAUSES_SECONDS))
        gateway.signal(signal.SIGCONT)
    _record_recovery(world)


async def _kill(world: SoakWorld, gateways: list[GatewayProcess]) -> None:
    names = [gateway.name for gateway in gateways]
    with world.disturbances.lasting(*names, note="killed"):
        for gateway in gateways:
            await gateway.end(signal.SIGKILL)
        await _wait_random(world, 0.0, 1.5)
        for gateway in gateways:
            if not gateway.running:
                gateway.start()


async def instance_killed(world: SoakWorld) -> None:
    """Kill the process of one instance or of all, and start it again."""
    if world.rng.random() < 0.2:
        await all_instances_killed(world)
    else:
        await one_instance_killed(world)


async def one_instance_killed(world: SoakWorld) -> None:
    """Kill the process of an instance, and start it again."""
    await _kill(world, [world.rng.choice(world.gateways)])


async def all_instances_killed(world: SoakWorld) -> None:
    """Kill the processes of all instances, and start them again."""
    at = time.monotonic()
    await _kill(world, list(world.gateways))
    world.judge.final_kill = FinalKill(at, time.monotonic())


FAMILIES: tuple[tuple[Fault, ...], ...] = (
    (store_network_fails,),
    (store_refuses_calls, store_loses_answers, unreadable_entries),
    (
        endpoint_network_fails,
        endpoint_crashes,
        endpoint_is_silent,
        endpoint_restarts,
        endpoint_leaves_unread,
        late_write_of_earlier_process,
        addresses_taken_over,
    ),
    (endpoint_asks_to_wait, endpoints_reject, endpoints_fail, responses_disturbed),
    (instance_paused, instance_killed),
)
# Nothing may be lost by planned work, also while endpoints are slow.
PLANNED: tuple[Fault, ...] = (
    configuration_changes,
    settings_reloaded,
    instances_stopped,
    endpoint_drains,
    endpoints_slow_down,
)


def draw_phase(rng: random.Random) -> list[Fault]:
    """Draw the faults that occur in a phase."""
    drawn = rng.random()
    if drawn < 0.2:
        return list(PLANNED)
    faults = [fault for family in FAMILIES for fault in family]
    if drawn < 0.6:
        # The same few again and again, so that they overlap in all ways.
        faults = rng.sample(faults, rng.randint(2, 4))
    elif drawn < 0.8:
        families = rng.sample(FAMILIES, rng.randint(1, 2))
        faults = [fault for family in families for fault in family]
    # Configurations tell which one is in force, so each phase changes them.
    return [*faults, *(PLANNED if rng.random() < 0.7 else PLANNED[:1])]


async def inject_faults(world: SoakWorld, seconds: float, injected: list[str]) -> None:
    """Start faults at random for `seconds`; append when, and their names."""
    start = world.first_fault_at = time.monotonic()
    phase_end = start
    while (now := time.monotonic()) < start + seconds:
        if now >= phase_end:
            planned_only = world.workload.planned_only
            faults = draw_phase(world.rng)
            if planned_only:
                faults = [*PLANNED, instances_stopped]
            if world.workload.eras:
                faults.append(store_goes_back)
            phase_end = now + PHASE_SECONDS
        fault = world.rng.choice(faults)
        injected.append(f"{now - world.audit.started:.1f} {fault.__name__}")
        world.spawn(fault(world))
        await asyncio.sleep(world.rng.uniform(*world.workload.fault_gap))
