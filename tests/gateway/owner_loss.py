"""Measures how long keys are not served after their owner is lost, by cause.

    .venv/bin/python -m tests.gateway.owner_loss [SEEDS]

Prints one line for each cause: quantiles over the keys of the lost owner, in seconds of
virtual time, of the time in which no endpoint held the key that callers could reach.
"""

import asyncio
import dataclasses
import statistics
import sys
from collections.abc import Awaitable, Callable

from tests.gateway.sim_fleet import SAMPLED_KEYS, SimFleet, run_fleet

SETTLED_SECONDS = 12.0
OBSERVED_SECONDS = 20.0
SAMPLE_SECONDS = 0.02
# The platform removes the entry of an endpoint without three heartbeats of 0.87 s.
ENTRY_SECONDS = 2.61
RESTART_SECONDS = 1.0  # Until the next process of an endpoint takes connections.
DRAIN_SECONDS = 2.0  # Until an endpoint that leaves ends.
LOST = "e1"

# Endpoints that callers cannot reach; changed by a cause while it is observed.
Unreachable = set[str]
Cause = Callable[[SimFleet, Unreachable], Awaitable[None]]


def _end_process(sim: SimFleet, unreachable: Unreachable) -> None:
    sim.closed_ports.add(LOST)
    unreachable.add(LOST)


async def process_ends(sim: SimFleet, unreachable: Unreachable) -> None:
    """The process of an endpoint ends; its entry lapses."""
    _end_process(sim, unreachable)
    sim.call_later(ENTRY_SECONDS, lambda: sim.unlisted.add(LOST))


async def process_restarts(sim: SimFleet, unreachable: Unreachable) -> None:
    """The process of an endpoint ends, and the next one has its identifier."""
    _end_process(sim, unreachable)

    def start() -> None:
        sim.closed_ports.discard(LOST)
        unreachable.discard(LOST)
        sim.restart_endpoint(LOST, {})

    sim.call_later(RESTART_SECONDS, start)


async def says_that_it_leaves(sim: SimFleet, unreachable: Unreachable) -> None:
    """An endpoint says that it leaves, and ends later."""
    leaving = sim.endpoints[LOST]
    leaving.endpoint = dataclasses.replace(leaving.endpoint, draining=True)

    def end() -> None:
        _end_process(sim, unreachable)
        sim.unlisted.add(LOST)

    sim.call_later(DRAIN_SECONDS, end)


async def entry_is_removed(sim: SimFleet, unreachable: Unreachable) -> None:
    """The entry of an endpoint is removed; its process runs."""
    sim.unlisted.add(LOST)


def _granter(sim: SimFleet) -> str:
    """Return the instance that last renewed the leases of the endpoint."""
    ages = {
        name: instance.task.orders.lease_reports(sim.now).get(LOST)
        for name, instance in sim.instances.items()
    }
    known = {name: report for name, report in ages.items() if report is not None}
    return min(known, key=lambda name: known[name].sent_age)


async def granter_ends(sim: SimFleet, unreachable: Unreachable) -> None:
    """The instance that renews the leases of an endpoint is killed."""
    sim.instances.pop(_granter(sim)).kill()


async def granter_ends_then_endpoint_leaves(
    sim: SimFleet, unreachable: Unreachable
) -> None:
    """The same, and 3 s later the endpoint says that it leaves."""
    await granter_ends(sim, unreachable)
    await asyncio.sleep(3.0)
    await says_that_it_leaves(sim, unreachable)


async def zone_is_cut(sim: SimFleet, unreachable: Unreachable) -> None:
    """The zone of the endpoint is cut off from the others and from the store."""
    zone = sim.endpoints[LOST].endpoint.zone
    inside = {n for n, i in sim.instances.items() if i.zone == zone}
    endpoints = {n for n, e in sim.endpoints.items() if e.endpoint.zone == zone}
    for name in inside:
        for other in sim.instances.keys() - inside:
            sim.blocked_datagrams |= {(name, other), (other, name)}
    sim.blocked_orders |= {
        (name, endpoint)
        for name in sim.instances
        for endpoint in sim.endpoints
        if (name in inside) != (endpoint in endpoints)
    }
    sim.store.unreachable_for |= inside
    unreachable |= endpoints
    sim.call_later(ENTRY_SECONDS, lambda: sim.unlisted.update(endpoints))


CAUSES: tuple[Cause, ...] = (
    process_ends,
    process_restarts,
    says_that_it_leaves,
    entry_is_removed,
    granter_ends,
    granter_ends_then_endpoint_leaves,
    zone_is_cut,
)


def unserved_seconds(cause: Cause, seed: int) -> tuple[list[float], list[str]]:
    """Return for each key of the endpoint how long it was not served in one run."""

    async def scenario(sim: SimFleet) -> tuple[list[float], list[str]]:
        await asyncio.sleep(SETTLED_SECONDS + sim.rng.random())
        unreachable: Unreachable = set()
        holder = sim.endpoints[LOST]
        keys = [key for key in SAMPLED_KEYS if holder.token_for(key, sim.now)]
        unserved = dict.fromkeys(keys, 0.0)
        until = sim.now + OBSERVED_SECONDS
        running = asyncio.create_task(cause(sim, unreachable))
        while sim.now < until:
            await asyncio.sleep(SAMPLE_SECONDS)
            reachable = [e for n, e in sim.endpoints.items() if n not in unreachable]
            for key in keys:
                if all(e.token_for(key, sim.now) is None for e in reachable):
                    unserved[key] += SAMPLE_SECONDS
        await running
        return list(unserved.values()), sim.violations

    result: tuple[list[float], list[str]] = run_fleet(scenario, seed)
    return result


def main(seeds: int) -> None:
    """Print the distribution for each cause."""
    for cause in CAUSES:
        seconds: list[float] = []
        violations: list[str] = []
        for seed in range(seeds):
            unserved, found = unserved_seconds(cause, seed)
            seconds += unserved
            violations += found
        quantiles = statistics.quantiles(seconds, n=10)
        sys.stdout.write(
            f"{cause.__name__:34} p10 {quantiles[0]:5.2f}  p50 {quantiles[4]:5.2f}"
            f"  p90 {quantiles[8]:5.2f}  max {max(seconds):5.2f}"
            f"  two owners: {len(violations)}\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
