"""A key has at most one owner under faults, and broken rules are detected.

Guards against an instance that grants keys by a table that is no longer in force.
"""

import asyncio
import concurrent.futures
import dataclasses
import multiprocessing
import os
import random

import pytest

from arbutusflow.gateway import fleet as fleet_module, key_moves
from arbutusflow.gateway.fleet import TABLE_PREFIX, Fleet
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import KEY_LEASE_SECONDS, lease_expiry
from tests.gateway.sim_fleet import SAMPLED_KEYS, SERVICE, SimFleet, run_fleet

FAULT_PHASE_SECONDS = 40.0
RECOVERY_SECONDS = 20.0
BUSY_KEYS_SECONDS = 2.0  # Between two sets of busy keys.
SEEDS = range(12)
SEED_PROCESSES = 2  # That run seeds of one test side by side.
RECOVERY_TARGET_SECONDS = 3.0  # Required by the users after a failure.
REASSIGN_SECONDS = 0.3  # For the table of a move, and the grants by it.


async def _inject_random_faults(sim: SimFleet) -> None:
    rng, names = sim.rng, sorted(sim.instances)

    def sample_instances():
        return rng.sample(names, rng.randint(1, 3))

    def inject_for(target, items, seconds):
        target.update(items)
        sim.call_later(seconds, lambda: target.difference_update(items))

    until = sim.now + FAULT_PHASE_SECONDS
    while sim.now < until:
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        seconds = rng.uniform(0.5, 8.0)
        kind = rng.randrange(13)
        if kind == 0:
            inject_for(sim.store.unreachable_for, set(sample_instances()), seconds)
        elif kind == 1:
            victims = sample_instances()
            pairs = {(a, b) for a in victims for b in names if b not in victims}
            inject_for(
                sim.blocked_datagrams, pairs | {(b, a) for a, b in pairs}, seconds
            )
        elif kind == 2:
            endpoint = rng.choice(sorted(sim.endpoints))
            inject_for(
                sim.blocked_orders,
                {(name, endpoint) for name in sample_instances()},
                seconds,
            )
        elif kind == 3:
            victim = sim.instances[rng.choice(names)]
            victim.suspended = True
            sim.call_later(seconds, lambda v=victim: setattr(v, "suspended", False))
        elif kind == 4:
            sim.restart(rng.choice(names))
        elif kind == 5:
            name = rng.choice(names)
            await sim.instances[name].stop()
            sim.restart(name)
        elif kind == 6:
            inject_for(sim.unlisted, {rng.choice(sorted(sim.endpoints))}, seconds)
        elif kind == 7:
            sim.late_grant_share = rng.choice([0.0, 0.5])
        elif kind == 8:
            sim.store.compacted_revision = sim.store.revision
            sim.store.lose_answers = rng.random() < 0.5
        elif kind == 9:
            sim.store.lag_seconds = rng.choice([0.0, 3.0])
        elif kind in (10, 11):  # An instance that reaches endpoints, but nobody else.
            victim = rng.choice(names)
            pairs = {(victim, b) for b in names} | {(b, victim) for b in names}
            inject_for(sim.store.unreachable_for, {victim}, seconds)
            inject_for(sim.blocked_datagrams, pairs, seconds)
        else:
            sim.busy_keys = [rng.choice(SAMPLED_KEYS) + i for i in range(4)] * 5


async def _run_with_faults(sim: SimFleet) -> tuple[list[str], float]:
    await asyncio.sleep(8.0)
    await _inject_random_faults(sim)
    sim.late_grant_share, sim.store.lose_answers = 0.0, False
    await asyncio.sleep(RECOVERY_SECONDS)
    return sim.violations, sim.held_key_share()


def test_all_keys_are_held_soon_after_startup():
    async def scenario(sim):
        await asyncio.sleep(3.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


def test_leases_are_kept_during_a_store_outage():
    """Leases must be renewed although no instance can check its table."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.store.unreachable_for.update(sim.instances)
        shares = []
        for _ in range(24):
            await asyncio.sleep(0.5)
            shares.append(sim.held_key_share())
        return min(shares), sim.violations

    assert run_fleet(scenario) == (1.0, [])


def test_leases_are_kept_when_an_instance_is_lost():
    """No instance is vouched for by all others then, and a watch that waits 15 s does
    not confirm the table in time. Guards against leases that expire for this reason."""

    async def scenario(sim):
        await asyncio.sleep(20.0)
        sim.instances.pop("n0").kill()
        shares = []
        for _ in range(40):
            await asyncio.sleep(0.5)
            shares.append(sim.held_key_share())
        return min(shares), sim.violations

    assert run_fleet(scenario) == (1.0, [])


def test_keys_of_an_unlisted_endpoint_move_while_instances_cannot_reach_the_store():
    """Guards against instances without store access that delay every move by 10 s."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.store.unreachable_for.update({"n3", "n4"})
        await asyncio.sleep(1.0)
        sim.unlisted.add("e1")
        await asyncio.sleep(RECOVERY_TARGET_SECONDS)
        owners = {p.endpoint for p in _table(sim, "n0").ranges}
        return owners, sim.held_key_share(), sim.violations

    owners, share, violations = run_fleet(scenario)
    assert (share, violations) == (1.0, [])
    assert "e1" not in owners


def test_instances_that_excluded_each_other_are_readmitted():
    async def scenario(sim):
        await asyncio.sleep(8.0)
        pairs = {(a, "n4") for a in sim.instances if a != "n4"}
        sim.blocked_datagrams.update(pairs | {(b, a) for a, b in pairs})
        sim.store.unreachable_for.add("n4")
        await asyncio.sleep(6.0)
        sim.blocked_datagrams.clear()
        sim.store.unreachable_for.clear()
        await asyncio.sleep(2.0)
        now = sim.now
        return [i.task.fleet.is_vouched_for(now) for i in sim.instances.values()]

    assert all(run_fleet(scenario))


def test_shutdown_with_an_unanswered_grant_keeps_the_record():
    """The grant may take effect seconds later, and the others have to wait for it."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.late_grant_share = 1.0
        await asyncio.sleep(1.5)
        granting = [
            i
            for i in sim.instances.values()
            if i.task.orders.may_have_unconfirmed_lease(sim.now)
        ]
        await granting[0].stop()
        return f"instance-{granting[0].name}" in sim.store.objects

    assert run_fleet(scenario)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_moves_wait_for_leases_granted_by_a_stopped_instance(endpoint):
    """An instance removes its record 2.6 s after its last renewal when it shuts down.
    Guards against moving the keys of an endpoint that is isolated at that time before
    its lease has expired.
    """

    async def scenario(sim):
        await asyncio.sleep(8.0)
        granter = next(
            instance
            for instance in sim.instances.values()
            if endpoint in instance.task.orders.lease_reports(sim.now)
        )
        sim.blocked_orders.update((name, endpoint) for name in sim.instances)
        sim.unlisted.add(endpoint)
        await granter.stop()
        del sim.instances[granter.name]
        await asyncio.sleep(4.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


def test_a_planner_that_shuts_down_finishes_its_moves():
    """Guards against keys that wait for the next planner, or for their lease to expire,
    because the planner no longer gives orders after SIGTERM."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        planner = next(
            instance
            for instance in sim.instances.values()
            if instance.task.fleet.is_planner(SERVICE, sim.now)
        )
        stopping = asyncio.create_task(planner.stop())
        await asyncio.sleep(0.1)
        sim.unlisted.add("e1")
        await asyncio.sleep(1.5)
        owners = {p.endpoint for p in _table(sim, planner.name).ranges}
        await stopping
        return owners, sim.violations

    owners, violations = run_fleet(scenario)
    assert "e1" not in owners
    assert violations == []


def test_leaving_keys_stay_with_their_owner_when_all_instances_restart():
    """Guards against 4 s without an owner after all instances have exited."""

    async def scenario(sim):
        await asyncio.sleep(10.0)
        sim.release_seconds = 2.0  # Releases wait for running requests.
        sim.busy_keys = list(range(20_000, 20_080)) * 5
        while not any(part.leaving for part in _table(sim, "n0").ranges):
            await asyncio.sleep(0.05)
        sim.release_seconds, sim.busy_keys = 0.1, []
        for name in list(sim.instances):
            sim.restart(name)
        shares = []
        for _ in range(30):
            await asyncio.sleep(0.2)
            shares.append(sim.held_key_share())
        return min(shares), sim.violations

    assert run_fleet(scenario) == (1.0, [])


def test_a_lease_counts_from_the_arrival_of_its_grant():
    """On a lossy link a grant arrives late.

    Guards against moving the keys of a lost endpoint too early, because its lease is
    assumed to start when the grant is sent.
    """

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.order_seconds = 0.6
        await asyncio.sleep(3.0)
        sim.blocked_orders.update((name, "e1") for name in sim.instances)
        sim.unlisted.add("e1")
        sim.order_seconds = 0.002
        await asyncio.sleep(7.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_keys_of_an_endpoint_that_cannot_be_reached_move_when_their_lease_ends(
    endpoint,
):
    """Guards against a wait for the lease of a closing grant that was never sent."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.closed_ports.add(endpoint)
        sim.unlisted.add(endpoint)
        holder = sim.endpoints[endpoint]
        while any(lease.until > sim.now for lease in holder.leases):
            await asyncio.sleep(0.01)
        # The clock of the endpoint may run slow, and the grant may have arrived late.
        slack = lease_expiry(0.0) - KEY_LEASE_SECONDS
        await asyncio.sleep(slack + REASSIGN_SECONDS)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


async def _split_ranges(sim: SimFleet) -> None:
    """Make adjacent keys busy, so that each endpoint owns several ranges."""
    sim.busy_keys = list(range(20_000, 20_080)) * 5
    await asyncio.sleep(12.0)
    sim.busy_keys = []


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_a_renewal_that_reaches_the_next_process_of_an_endpoint_ends_first(endpoint):
    """An instance that does not know of a restart renews the leases at the new process.
    Guards against granting its keys to others because the old process is gone.
    """

    async def scenario(sim):
        await _split_ranges(sim)
        # Longer than the interval of renewals.
        sim.restart_endpoint(endpoint, dict.fromkeys(sim.instances, 1.2))
        await asyncio.sleep(6.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
@pytest.mark.parametrize("seconds", [0.5, 4.0])
def test_an_entry_of_an_earlier_process_frees_no_keys(endpoint, seconds):
    """A late write shows the entry of an earlier process of an endpoint again.
    Guards against granting the keys of the running process to others.
    """

    async def scenario(sim):
        await _split_ranges(sim)
        running = sim.endpoints[endpoint].endpoint
        outdated = dataclasses.replace(running, started_ms=running.started_ms - 1)
        for name in sim.instances:
            sim.show_outdated_entry(name, outdated, seconds)
        await asyncio.sleep(seconds + 8.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_reports_that_waited_unread_give_no_right_to_grant(endpoint):
    """An instance was suspended while the keys of an endpoint were given to others.

    Guards against renewing the old lease by reports that arrived before the move, which
    the instance reads after it has discarded earlier evidence.
    """

    async def scenario(sim):
        await asyncio.sleep(8.0)
        name, granter = next(
            (name, instance)
            for name, instance in sim.instances.items()
            if endpoint in instance.task.orders.lease_reports(sim.now)
        )
        sim.show_outdated_entry(name, sim.endpoints[endpoint].endpoint, 14.0)
        granter.suspended = True
        sim.store.unresponsive_to.add(name)
        await asyncio.sleep(3.0)
        sim.unlisted.add(endpoint)
        await asyncio.sleep(8.0)
        granter.suspended = False
        await asyncio.sleep(0.15)
        sim.store.unresponsive_to.clear()
        await asyncio.sleep(6.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


@pytest.mark.parametrize("seed", range(6))
def test_a_grant_that_counts_as_answered_may_be_applied_late(seed):
    """A second copy of an answer confirms a grant that the endpoint holds back.

    Guards against moving keys without making their owner refuse that grant.
    """

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.misled_share = 0.3
        moving = asyncio.create_task(_change_busy_keys(sim, random.Random(seed)))
        await asyncio.sleep(30.0)
        moving.cancel()
        sim.misled_share, sim.busy_keys = 0.0, []
        await asyncio.sleep(8.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario, seed) == ([], 1.0)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_a_grant_in_flight_at_the_last_report_of_an_instance_is_waited_for(endpoint):
    """An instance applies the table that takes an endpoint's keys, reports a grant that
    is on its way, and is killed. The grant arrives after the report.

    Guards against counting the lease of that grant from the report.
    """

    async def scenario(sim):
        await asyncio.sleep(8.0)
        name = next(
            name
            for name, instance in sim.instances.items()
            if endpoint in instance.task.orders.lease_reports(sim.now)
        )
        orders = sim.instances[name].task.orders
        sim.order_seconds = 0.7
        while not orders._sent_grants[endpoint].in_flight:
            await asyncio.sleep(0.01)
        others = sim.instances.keys() - {name}
        sim.blocked_orders.update((other, endpoint) for other in others)
        sim.unlisted.add(endpoint)
        table = sim.instances[name].task.leases.tables[SERVICE]
        while sim.instances[name].task.leases.tables[SERVICE] is table:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        sim.instances.pop(name).kill()
        await asyncio.sleep(0.7)
        sim.order_seconds = 0.002
        await asyncio.sleep(12.0)
        return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


async def _change_busy_keys(sim: SimFleet, rng: random.Random) -> None:
    """Change the busy keys regularly, so that the planners always have keys to move."""
    while True:
        sim.busy_keys = [rng.choice(SAMPLED_KEYS) + i for i in range(4)] * 5
        await asyncio.sleep(BUSY_KEYS_SECONDS)


@pytest.mark.parametrize("seed", range(3))
def test_two_planners_at_once_do_not_assign_a_key_twice(seed, monkeypatch):
    """Around a change of the planner, both may act for a moment."""
    is_planner = Fleet.is_planner

    def is_planner_or_second(fleet, service, now):
        return fleet.own_record.name == "n1" or is_planner(fleet, service, now)

    monkeypatch.setattr(Fleet, "is_planner", is_planner_or_second)

    async def scenario(sim):
        moving = asyncio.create_task(_change_busy_keys(sim, random.Random(seed)))
        violations, share = await _run_with_faults(sim)
        moving.cancel()
        tables = [
            change.object.spec
            for _, change in sim.store.history
            if change.object.name.startswith(TABLE_PREFIX) and not change.removed
        ]
        owners = {}
        for table in tables:
            for part in table["ranges"]:
                if part["endpoint"]:
                    owners.setdefault(part["token"], set()).add(part["endpoint"])
        tokens = [table["next_token"] for table in tables]
        twice = [token for token, names in owners.items() if len(names) > 1]
        return violations, share, twice, tokens == sorted(tokens), len(tables) > 10

    assert run_fleet(scenario, seed) == ([], 1.0, [], True, True)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_key_has_one_owner_under_random_faults(seed):
    violations, share = run_fleet(_run_with_faults, seed)
    assert violations == []
    assert share == 1.0


def _table(sim, name):
    return next(iter(sim.instances[name].task.leases.tables.values())).table


def _expire_leases_early(monkeypatch):
    monkeypatch.setattr(key_moves, "lease_expiry", lambda granted: granted + 0.5)


def _skip_closing(monkeypatch):
    """Leave out the closing grants, which make up for some of the other rules."""

    async def confirm(self, endpoint, key_range, may_send):
        return True

    monkeypatch.setattr(KeyOrders, "close_grants", confirm)


def _close_without_being_named(monkeypatch):
    """Let each planner close and assign the ranges that another one marked."""
    monkeypatch.setattr(
        key_moves.KeyMoves, "_is_own_move", lambda self, key_range: key_range.leaving
    )


def _never_lose_right_to_grant(monkeypatch):
    _skip_closing(monkeypatch)
    monkeypatch.setattr(Fleet, "may_grant", lambda self, now: True)
    monkeypatch.setattr(Fleet, "grants_stopped_at", lambda self, *a: a[-1])
    monkeypatch.setattr(Fleet, "latest_possible_grant", lambda self, *args: 0.0)


def _skip_agreement(monkeypatch):
    _skip_closing(monkeypatch)
    monkeypatch.setattr(Fleet, "grants_stopped_at", lambda self, *a: a[-1])
    monkeypatch.setattr(Fleet, "has_applied", lambda self, *a: True)


def _ignore_unanswered_grants(monkeypatch):
    _skip_closing(monkeypatch)
    original = key_moves.KeyMoves._latest_grant_times

    def latest(self, *args):
        return original(self, *args)[0], -1e9

    monkeypatch.setattr(key_moves.KeyMoves, "_latest_grant_times", latest)


def _keep_right_of_unresponsive_instances(monkeypatch):
    monkeypatch.setattr(fleet_module, "CONTACT_TIMEOUT_SECONDS", 60.0)
    monkeypatch.setattr(
        Fleet, "_grant_right_lost_at", lambda self, record, since, now: now - 60.0
    )


async def _run_with_isolated_granter(sim, endpoint):
    """Cut off the instance that renews the leases of an endpoint that has to leave.

    It still reaches the endpoint, and no other instance does.
    """
    await asyncio.sleep(8.0)
    reports = {
        name: instance.task.orders.lease_reports(sim.now).get(endpoint)
        for name, instance in sim.instances.items()
    }
    # Several have granted keys lately; the last one goes on.
    name = min(
        (name for name, report in reports.items() if report is not None),
        key=lambda name: reports[name].sent_age,
    )
    others = set(sim.instances) - {name}
    sim.blocked_orders.update((other, endpoint) for other in others)
    sim.blocked_datagrams.update((name, other) for other in others)
    sim.blocked_datagrams.update((other, name) for other in others)
    sim.store.unreachable_for.add(name)
    # Without the store it keeps its list of endpoints.
    sim.instances[name].task.leases.update_endpoints = lambda endpoints: None
    sim.unlisted.add(endpoint)
    await asyncio.sleep(RECOVERY_SECONDS)
    return sim.violations, sim.held_key_share()


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
@pytest.mark.parametrize("broken", [False, True])
def test_keys_of_an_endpoint_move_only_after_an_isolated_granter_has_stopped(
    monkeypatch, broken, endpoint
):
    """Guards against a move while an instance that nobody reaches renews the leases.

    With the rule broken the keys are held twice.
    """
    if broken:
        _keep_right_of_unresponsive_instances(monkeypatch)

    async def scenario(sim):
        return await _run_with_isolated_granter(sim, endpoint)

    violations, share = run_fleet(scenario)
    assert bool(violations) is broken
    assert broken or share == 1.0


@pytest.mark.parametrize("seconds", [6.0, 6.3, 6.6])
def test_keys_wait_for_a_granter_that_reached_the_store_until_just_now(seconds):
    """An instance hears nothing of the others for some time, and then loses the store.

    Guards against a move that counts its right to grant as ended since the others have
    excluded it: it had read the store until the move began.
    """

    async def scenario(sim):
        await asyncio.sleep(12.0)
        others = sim.instances.keys() - {"n1"}
        sim.blocked_datagrams.update(("n1", other) for other in others)
        sim.blocked_datagrams.update((other, "n1") for other in others)
        await asyncio.sleep(seconds)
        had_right = sim.instances["n1"].task.fleet.may_grant(sim.now)
        sim.store.unreachable_for.add("n1")
        sim.instances["n1"].task.leases.update_endpoints = lambda endpoints: None
        sim.refused_orders.update((other, "e1") for other in others)
        sim.unlisted.add("e1")
        await asyncio.sleep(RECOVERY_SECONDS)
        return had_right, sim.violations, sim.held_key_share()

    assert run_fleet(scenario, instances=3) == (True, [], 1.0)


@pytest.mark.parametrize(
    "break_rule",
    [
        _expire_leases_early,
        _never_lose_right_to_grant,
        _skip_agreement,
        _ignore_unanswered_grants,
        _close_without_being_named,
    ],
)
def test_a_broken_rule_is_detected(break_rule):
    """Shows that the test above fails if one of the rules is broken."""
    with concurrent.futures.ProcessPoolExecutor(
        min(SEED_PROCESSES, os.cpu_count() or 1), multiprocessing.get_context("spawn")
    ) as pool:
        # `_skip_agreement` is found by about one seed in twenty.
        runs = [pool.submit(_find_violations, break_rule, seed) for seed in range(80)]
        try:
            assert any(run.result() for run in runs)
        finally:
            pool.shutdown(wait=True, cancel_futures=True)


def _find_violations(break_rule, seed):
    """Return the violations of one seed; runs in a process of its own."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        break_rule(monkeypatch)
        return run_fleet(_run_with_faults, seed)[0]
