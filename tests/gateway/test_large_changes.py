"""Large changes of the store reach all instances though packets are lost.

Guards against a change that travels as one datagram: it arrives only if none of dozens
of fragments is lost, not at all if it is larger than a datagram, and then all instances
read it from the store at the same moment.
"""

import asyncio
import random

import pytest

from arbutusflow.gateway.model import BEFORE_ALL
from tests.gateway import change_spread
from tests.gateway.change_spread import ROUTES, measure
from tests.gateway.sim_fleet import OTHER_NAME, SimInstance, run_fleet

CONFIGURATION_SECONDS = 2.0  # Bound for a change to be in force everywhere.


@pytest.fixture(autouse=True)
def _keep_other_copies(monkeypatch):
    monkeypatch.setattr(SimInstance, "has_other_copy", True)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_large_change_is_in_force_in_time_though_packets_are_lost(seed):
    spread = measure(instances=40, changed=ROUTES, loss=0.05, seed=seed)
    assert spread.seconds[-1] <= CONFIGURATION_SECONDS
    assert spread.calls <= 12  # Not one for each instance.


def test_a_change_that_no_datagram_holds_does_not_make_all_read_the_store(monkeypatch):
    monkeypatch.setattr(change_spread, "ROUTES", 5000)
    spread = measure(instances=30, changed=5000, loss=0.0, seed=1)
    assert spread.seconds[-1] < 5.0
    assert spread.calls <= 8


@pytest.mark.parametrize("seed", range(1, 4))
def test_what_is_in_force_is_always_a_version_of_the_store_and_never_an_earlier_one(
    seed,
):
    """Plays loss, restarts and several versions on their way at the same time."""

    async def scenario(sim):
        rng = random.Random(seed)
        versions = {}
        seen = []

        def note(instance):
            item = instance.other_copy.objects.get(OTHER_NAME)
            if item is not None:
                seen.append((instance, item.revision, item.spec["value"]))

        monkey = SimInstance._note_other
        SimInstance._note_other = note
        for instance in sim.instances.values():
            instance.other_copy._on_change = lambda i=instance: note(i)
        try:
            sim.packet_loss = 0.1
            sim.set_links(dict.fromkeys(sim.instances, 1_250_000.0), 25_000_000.0)
            for _ in range(12):
                size = rng.choice([100, 3_000, 200_000])
                value = rng.randbytes(size).hex()
                sim.store.write_other(value)
                versions[sim.store.point] = value
                await asyncio.sleep(rng.choice([0.05, 0.4, 1.5]))
                sim.restart(rng.choice(sorted(sim.instances)))
            await asyncio.sleep(8.0)
        finally:
            SimInstance._note_other = monkey
        return versions, seen, list(sim.instances.values())

    versions, seen, last = run_fleet(scenario, seed, instances=14)
    latest = {}
    for instance, revision, value in seen:
        assert versions[revision] == value
        assert revision >= latest.get(instance, BEFORE_ALL)
        latest[instance] = revision
    assert {latest[instance] for instance in last} == {max(versions)}


def test_a_granter_tells_its_followers_of_a_change_at_once():
    """Guards against a change that waits for the next regular report at each step."""

    async def scenario(sim):
        sim.store.write_other(1)
        await asyncio.sleep(8.0)
        sim.datagram_loss = 0.0
        waits = []
        for value in range(2, 6):
            sim.store.write_other(value)
            revision = sim.store.point
            await asyncio.sleep(2.0 + 0.13 * value)
            for instance in sim.instances.values():
                if instance.task.fleet.registered:
                    continue
                granter = sim.instances[instance.task.following.target(sim.now).host]
                told, known = instance.in_force_at, granter.in_force_at
                waits.append(told[revision] - known[revision])
        return waits

    waits = run_fleet(scenario, instances=24)
    assert len(waits) > 30
    assert max(waits) <= 0.08  # Reports are made every 0.05 s.


def test_nothing_is_sent_twice_over_links_that_are_full_but_lose_nothing():
    """Guards against requests that are repeated because others wait for the link."""
    spread = measure(instances=100, changed=ROUTES, loss=0.0, seed=1)
    assert spread.repeated_pieces == 0
