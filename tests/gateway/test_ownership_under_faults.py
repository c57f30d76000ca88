"""A key has one owner, whatever fails; and planted faults of the rules are found.

Guards against an instance that grants by a table that is no longer in force.
"""

import asyncio

import pytest

from arbutusflow.gateway import fleet as fleet_module, key_moves
from arbutusflow.gateway.fleet import Fleet
from tests.gateway.sim_fleet import PROBED_KEYS, SimFleet, run_fleet

FAULTY_SECONDS = 40.0
SETTLE_SECONDS = 20.0
SEEDS = range(12)
SERVED_AGAIN_SECONDS = 3.0  # The users' target after a loss.


async def _random_faults(world: SimFleet) -> None:
    rng, names = world.rng, sorted(world.instances)

    def some():
        return rng.sample(names, rng.randint(1, 3))

    def heal(target, items, seconds):
        target.update(items)
        world.later(seconds, lambda: target.difference_update(items))

    until = world.now + FAULTY_SECONDS
    while world.now < until:
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        seconds = rng.uniform(0.5, 8.0)
        kind = rng.randrange(11)
        if kind == 0:
            heal(world.store.away, set(some()), seconds)
        elif kind == 1:
            victims = some()
            pairs = {(a, b) for a in victims for b in names if b not in victims}
            heal(world.cut_peers, pairs | {(b, a) for a, b in pairs}, seconds)
        elif kind == 2:
            endpoint = rng.choice(sorted(world.endpoints))
            heal(world.cut_orders, {(name, endpoint) for name in some()}, seconds)
        elif kind == 3:
            victim = world.instances[rng.choice(names)]
            victim.frozen = True
            world.later(seconds, lambda v=victim: setattr(v, "frozen", False))
        elif kind == 4:
            world.restart(rng.choice(names))
        elif kind == 5:
            name = rng.choice(names)
            await world.instances[name].stop()
            world.restart(name)
        elif kind == 6:
            heal(world.unlisted, {rng.choice(sorted(world.endpoints))}, seconds)
        elif kind == 7:
            world.late_share = rng.choice([0.0, 0.5])
        elif kind == 8:
            world.store.forgotten = world.store.revision
            world.store.lose_answers = rng.random() < 0.5
        elif kind == 9:
            world.store.lag_seconds = rng.choice([0.0, 3.0])
        else:
            world.busy_keys = [rng.choice(PROBED_KEYS) + i for i in range(4)] * 5


async def _faults_then_calm(world: SimFleet) -> tuple[list[str], float]:
    await asyncio.sleep(8.0)
    await _random_faults(world)
    world.late_share, world.store.lose_answers = 0.0, False
    await asyncio.sleep(SETTLE_SECONDS)
    return world.violations, world.owned_share()


def test_all_keys_are_owned_soon_after_the_start():
    async def work(world):
        await asyncio.sleep(3.0)
        return world.violations, world.owned_share()

    assert run_fleet(work) == ([], 1.0)


def test_owners_stay_through_an_outage_of_the_store():
    """A lease must not lapse because nobody can confirm the table."""

    async def work(world):
        await asyncio.sleep(8.0)
        world.store.away.update(world.instances)
        shares = []
        for _ in range(24):
            await asyncio.sleep(0.5)
            shares.append(world.owned_share())
        return min(shares), world.violations

    assert run_fleet(work) == (1.0, [])


def test_owners_stay_when_an_instance_is_lost():
    """Nobody is vouched for by all then, and a watch that waits 15 s does not show
    that the table is still in force: all leases used to lapse."""

    async def work(world):
        await asyncio.sleep(20.0)
        world.instances.pop("n0").kill()
        shares = []
        for _ in range(40):
            await asyncio.sleep(0.5)
            shares.append(world.owned_share())
        return min(shares), world.violations

    assert run_fleet(work) == (1.0, [])


def test_keys_of_a_leaving_endpoint_move_while_an_instance_is_off_the_store():
    """Four cut-off instances used to hold up every move for ten seconds."""

    async def work(world):
        await asyncio.sleep(8.0)
        world.store.away.update({"n3", "n4"})
        await asyncio.sleep(1.0)
        world.unlisted.add("e1")
        await asyncio.sleep(SERVED_AGAIN_SECONDS)
        owners = {p.endpoint for p in _table(world, "n0").ranges}
        return owners, world.owned_share(), world.violations

    owners, share, violations = run_fleet(work)
    assert (share, violations) == (1.0, [])
    assert "e1" not in owners


def test_instances_that_excluded_each_other_find_each_other_again():
    async def work(world):
        await asyncio.sleep(8.0)
        pairs = {(a, "n4") for a in world.instances if a != "n4"}
        world.cut_peers.update(pairs | {(b, a) for a, b in pairs})
        world.store.away.add("n4")
        await asyncio.sleep(6.0)
        world.cut_peers.clear()
        world.store.away.clear()
        await asyncio.sleep(2.0)
        now = world.now
        return [i.task.fleet.is_vouched_for(now) for i in world.instances.values()]

    assert all(run_fleet(work))


def test_a_planned_end_with_an_unanswered_grant_keeps_the_record():
    """The grant may take effect seconds later, and the others must know of it."""

    async def work(world):
        await asyncio.sleep(8.0)
        world.late_share = 1.0
        await asyncio.sleep(1.5)
        granting = [
            i
            for i in world.instances.values()
            if i.task.orders.has_unanswered_grant(world.now)
        ]
        await granting[0].stop()
        return f"instance-{granting[0].name}" in world.store.objects

    assert run_fleet(work)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_leases_of_an_instance_that_left_are_waited_for(endpoint):
    """A planned end removed the record 2.6 s after the last renewal, and the keys of an
    endpoint that was cut off at that time moved while its lease lasted."""

    async def work(world):
        await asyncio.sleep(8.0)
        granter = next(
            instance
            for instance in world.instances.values()
            if endpoint in instance.task.orders.lease_reports(world.now)
        )
        world.cut_orders.update((name, endpoint) for name in world.instances)
        world.unlisted.add(endpoint)
        await granter.stop()
        del world.instances[granter.name]
        await asyncio.sleep(4.0)
        return world.violations, world.owned_share()

    assert run_fleet(work) == ([], 1.0)


def test_keys_that_were_about_to_move_stay_with_their_owner_after_a_loss_of_all():
    """They had no owner for four seconds after all instances had ended."""

    async def work(world):
        await asyncio.sleep(10.0)
        world.work_seconds = 2.0  # Releases wait for running work.
        world.busy_keys = list(range(20_000, 20_080)) * 5
        while not any(part.leaving for part in _table(world, "n0").ranges):
            await asyncio.sleep(0.05)
        world.work_seconds, world.busy_keys = 0.1, []
        for name in list(world.instances):
            world.restart(name)
        shares = []
        for _ in range(30):
            await asyncio.sleep(0.2)
            shares.append(world.owned_share())
        return min(shares), world.violations

    assert run_fleet(work) == (1.0, [])


def test_a_lease_counts_from_the_arrival_of_its_grant():
    """On a link that loses packets a grant arrives late; its lease was taken to run
    from when it was sent, so keys of a lost endpoint moved before it had ended."""

    async def work(world):
        await asyncio.sleep(8.0)
        world.order_seconds = 0.6
        await asyncio.sleep(3.0)
        world.cut_orders.update((name, "e1") for name in world.instances)
        world.unlisted.add("e1")
        world.order_seconds = 0.002
        await asyncio.sleep(7.0)
        return world.violations, world.owned_share()

    assert run_fleet(work) == ([], 1.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_key_has_one_owner_under_random_faults(seed):
    violations, share = run_fleet(_faults_then_calm, seed)
    assert violations == []
    assert share == 1.0


def _table(world, name):
    return next(iter(world.instances[name].task.leases.tables.values())).table


def _leases_end_early(monkeypatch):
    monkeypatch.setattr(key_moves, "lease_expiry", lambda granted: granted + 0.5)


def _right_to_grant_never_ends(monkeypatch):
    monkeypatch.setattr(Fleet, "may_grant", lambda self, now: True)
    monkeypatch.setattr(Fleet, "grants_stopped_at", lambda self, *a: a[-1])
    monkeypatch.setattr(Fleet, "latest_possible_grant", lambda self, r, now: 0.0)


def _others_are_not_asked(monkeypatch):
    monkeypatch.setattr(Fleet, "grants_stopped_at", lambda self, *a: a[-1])
    monkeypatch.setattr(Fleet, "has_applied", lambda self, *a: True)


def _unanswered_grants_are_ignored(monkeypatch):
    original = key_moves.KeyMoves._latest_grant_times

    def latest(self, *args):
        return original(self, *args)[0], -1e9

    monkeypatch.setattr(key_moves.KeyMoves, "_latest_grant_times", latest)


def _silent_instances_lose_nothing(monkeypatch):
    monkeypatch.setattr(fleet_module, "CONTACT_TIMEOUT_SECONDS", 60.0)
    monkeypatch.setattr(
        Fleet, "_grant_right_lost_at", lambda self, record, now: now - 60.0
    )


@pytest.mark.parametrize(
    "plant",
    [
        _leases_end_early,
        _right_to_grant_never_ends,
        _others_are_not_asked,
        _unanswered_grants_are_ignored,
        _silent_instances_lose_nothing,
    ],
)
def test_a_planted_fault_is_found(plant, monkeypatch):
    """The test above proves something only if it fails on a broken rule."""
    plant(monkeypatch)
    assert any(run_fleet(_faults_then_calm, seed)[0] for seed in range(40))
