"""A key has one owner while instances that others do not hear come and go.

They read the store at times, see an outdated entry of an endpoint, and are the only
ones that reach it. Its keys move meanwhile.
"""

import asyncio
import random

import pytest

from arbutusflow.gateway.fleet import Fleet, StoreRight
from tests.gateway.sim_fleet import SimFleet, run_fleet

ENDPOINT = "e1"
SETTLED_SECONDS = 12.0
OBSERVED_SECONDS = 25.0
OUTDATED_SECONDS = 60.0


async def _disturb(sim: SimFleet, cut_off: list[str], rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        name, change = rng.choice(cut_off), rng.random()
        if change < 0.5:
            sim.store.unreachable_for.add(name)
        elif change < 0.8:
            sim.store.unreachable_for.discard(name)
        elif change < 0.9:
            sim.store.late_seconds[name] = rng.choice([0.0, 0.5, 1.2])
        elif change < 0.95:
            sim.blocked_datagrams.clear()
        else:
            sim.restart(rng.choice(sorted(sim.instances.keys() - set(cut_off))))


def find_violations(seed: int) -> list[str]:
    """Return the rules that broke in one run."""
    rng = random.Random(seed)
    instances = rng.choice([2, 3, 5])

    async def scenario(sim: SimFleet) -> list[str]:
        await asyncio.sleep(SETTLED_SECONDS)
        cut_off = rng.sample(sorted(sim.instances), 2 if instances > 3 else 1)
        others = sim.instances.keys() - set(cut_off)
        pairs = {(name, other) for name in cut_off for other in others}
        sim.blocked_datagrams |= pairs | {(b, a) for a, b in pairs}
        await asyncio.sleep(rng.uniform(0.0, 14.0))
        for name in cut_off:
            entry = sim.endpoints[ENDPOINT].endpoint
            sim.show_outdated_entry(name, entry, OUTDATED_SECONDS)
        sim.refused_orders |= {(other, ENDPOINT) for other in others}
        disturbing = asyncio.create_task(_disturb(sim, cut_off, rng))
        await asyncio.sleep(rng.uniform(0.0, 10.0))
        sim.unlisted.add(ENDPOINT)
        await asyncio.sleep(OBSERVED_SECONDS)
        disturbing.cancel()
        return sim.violations

    result: list[str] = run_fleet(scenario, seed, instances)
    return result


@pytest.mark.parametrize("seed", range(16))
def test_a_key_has_one_owner_while_granters_are_cut_off(seed):
    """Guards against a move while an instance that nobody hears may renew leases."""
    assert find_violations(seed) == []


def test_a_right_that_is_confirmed_is_waited_for(monkeypatch):
    """Shows that the runs above find two owners if a confirmation is ignored."""
    lost_at = Fleet._grant_right_lost_at

    def ignore_confirmation(fleet, record, since, now):
        if record.store_right is StoreRight.CONFIRMED:
            record = record.with_right(StoreRight.REVOKED)
        return lost_at(fleet, record, since, now)

    monkeypatch.setattr(Fleet, "_grant_right_lost_at", ignore_confirmation)
    assert any(find_violations(seed) for seed in range(16))
