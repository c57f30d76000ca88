"""Ownership of keys when the store comes back from an older copy, in a new era.

Guards against two owners of a key, tokens that are given out twice, and keys that stay
without an owner because the tables of the lost part are gone.
"""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from arbutusflow.gateway.fleet import (
    CONTACT_SLACK_SECONDS,
    CONTACT_TIMEOUT_SECONDS,
    parse_table_name,
)
from arbutusflow.gateway.key_orders import GRANT_TIMEOUT_SECONDS
from arbutusflow.gateway.key_table import TOKENS_PER_ERA, lease_expiry
from tests.gateway.sim_fleet import SAMPLED_KEYS, SERVICE, run_fleet
from tests.gateway.test_ownership_under_faults import _inject_random_faults

COPY_SECONDS = 0.25  # Between two copies of the store.
# Bound of docs/decisions/store-eras.md, and the time of a plan and its grants.
WAIT_SECONDS = lease_expiry(
    CONTACT_TIMEOUT_SECONDS + CONTACT_SLACK_SECONDS + GRANT_TIMEOUT_SECONDS
)
PLAN_SECONDS = 1.0
# The first table of an era, its next one, agreement, closing, release and grants.
SOON_SECONDS = 3.0
LONGEST_ERA_SECONDS = (
    6.0  # Of drills in a row, with the time for which the store is away.
)
DRILLS_SECONDS = 40.0  # Of drills in a row.
# Shares of keys that are held are measured this often.
SAMPLE_SECONDS = 0.25


@contextlib.contextmanager
def copies_kept(sim):
    """Keep copies of the store regularly."""

    async def keep():
        while True:
            sim.store.keep_copy(sim.now)
            await asyncio.sleep(COPY_SECONDS)

    task = asyncio.create_task(keep())
    try:
        yield
    finally:
        task.cancel()


async def go_back(sim, age, away):
    """Take the store away, and bring it back as it was `age` seconds before."""
    until = sim.now - age
    sim.store.down = True
    await asyncio.sleep(away)
    sim.store.go_back(until)
    sim.store.down = False


async def held_shares(sim, seconds):
    """Return the shares of keys that were held, at regular times."""
    shares = []
    for _ in range(round(seconds / SAMPLE_SECONDS)):
        await asyncio.sleep(SAMPLE_SECONDS)
        shares.append(sim.held_key_share())
    return shares


def eras(sim):
    return {i.task.fleet.era for i in sim.instances.values() if not i.stopped}


def table(sim, name="n0"):
    return sim.instances[name].task.leases.tables[SERVICE]


@pytest.mark.parametrize("age", [0.5, 3.0])
@pytest.mark.parametrize("away", [0.0, 2.5])
def test_keys_that_do_not_move_stay_with_their_owners(age, away):
    """Guards against an interruption for callers whose keys were not moving."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            before = table(sim).table.ranges
            await go_back(sim, age, away)
            shares = await held_shares(sim, 15.0)
            kept = table(sim).table.ranges == before
            return min(shares), kept, eras(sim), sim.violations

    assert run_fleet(scenario) == (1.0, True, {1}, [])


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_keys_that_moved_in_the_lost_part_stay_with_their_new_owners(endpoint):
    """Guards against the restored table, which gives them back to an endpoint that left
    or names tokens that were given out."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.unlisted.add(endpoint)
            await asyncio.sleep(1.5)
            before = table(sim).table.ranges
            owners = {r.endpoint for r in before}
            await go_back(sim, 3.0, 0.3)
            shares = await held_shares(sim, 15.0)
            kept = table(sim).table.ranges == before
            return endpoint in owners, min(shares), kept, sim.violations

    assert run_fleet(scenario) == (False, 1.0, True, [])


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_a_move_that_the_store_has_lost_is_not_done_twice(endpoint):
    """The store goes back while keys move, at any step of the move.

    Guards against an assignment of keys that another endpoint got in the lost part.
    """

    async def scenario(sim, delay):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.unlisted.add(endpoint)
            await asyncio.sleep(delay)
            await go_back(sim, 1.0, 0.1)
            wait = WAIT_SECONDS + PLAN_SECONDS + 1.0
            await asyncio.sleep(wait)
            return sim.violations, sim.held_key_share()

    for step in range(12):
        delay = 0.03 * step
        assert run_fleet(lambda sim, d=delay: scenario(sim, d)) == ([], 1.0), delay


def test_tokens_rise_across_eras():
    """Guards against a token that two owners get, one of them in the lost part."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            await go_back(sim, 1.0, 0.1)
            await asyncio.sleep(WAIT_SECONDS + PLAN_SECONDS)
            kept = {r.token for r in table(sim).table.ranges}
            sim.unlisted.add("e1")
            await asyncio.sleep(3.0)
            later = {r.token for r in table(sim).table.ranges} - kept
            return max(kept), min(later), table(sim).revision.era, sim.violations

    highest, lowest, era, violations = run_fleet(scenario)
    assert highest < TOKENS_PER_ERA <= lowest < 2 * TOKENS_PER_ERA
    assert (era, violations) == (1, [])


def test_nothing_is_granted_by_a_restored_table_if_no_instance_knows_a_later_one():
    """All instances are replaced while the store is away, after keys have moved.

    Guards against owners of the restored table while the new owners hold the keys.
    """

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.unlisted.add("e1")
            await asyncio.sleep(1.0)
            sim.unlisted.clear()
            for name in list(sim.instances):
                sim.restart(name)
            await go_back(sim, 3.0, 0.1)
            wait = WAIT_SECONDS + PLAN_SECONDS + 1.0
            await asyncio.sleep(wait)
            tokens = [r.token for r in table(sim).table.ranges]
            return min(tokens) >= TOKENS_PER_ERA, sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == (True, [], 1.0)


@pytest.mark.parametrize("second", [0.1, 0.7, 1.2, 3.0])
def test_two_eras_in_a_row(second):
    """Guards against proof of the first era that counts in the second."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.unlisted.add("e1")
            await asyncio.sleep(0.15)
            await go_back(sim, 2.0, 0.1)
            await asyncio.sleep(second)
            await go_back(sim, 3.0, 0.1)
            await asyncio.sleep(2 * WAIT_SECONDS)
            return sim.violations, sim.held_key_share(), eras(sim)

    assert run_fleet(scenario) == ([], 1.0, {2})


def test_an_instance_that_does_not_reach_the_store_grants_for_three_seconds_only():
    """It hears nothing of the era, and the others move the keys that it renews.

    Guards against vouching for it across eras.
    """

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.store.unreachable_for.add("n0")
            await go_back(sim, 1.0, 0.1)
            await asyncio.sleep(3.5)
            fleet = sim.instances["n0"].task.fleet
            may_grant = [fleet.may_grant_by(era, sim.now) for era in (0, 1)]
            sim.unlisted.add("e1")
            await asyncio.sleep(12.0)
            return may_grant, sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([False, False], [], 1.0)


def test_instances_whose_records_are_lost_write_them_again():
    """Guards against granters that no one waits for, or that are missing for good."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.restart("n1")
            sim.restart("n2")
            await asyncio.sleep(2.0)
            await go_back(sim, 2.5, 0.1)
            shares = await held_shares(sim, 12.0)
            lives = {
                i.task.fleet.registered and i.task.fleet.may_grant(sim.now)
                for i in sim.instances.values()
            }
            return lives, min(shares), sim.violations

    assert run_fleet(scenario) == ({True}, 1.0, [])


async def start_young_service(sim, late=()):
    """Let endpoints start ten seconds after the fleet, and get all keys.

    The `late` ones join after that, and get some of them.
    """
    sim.unlisted = set(sim.endpoints)
    await asyncio.sleep(10.0)
    assert not any(parse_table_name(name) for name in sim.store.objects)
    sim.unlisted = set(late)
    while sim.held_key_share() < 1.0:
        await asyncio.sleep(0.05)
    sim.unlisted = set()
    await asyncio.sleep(2.0)


def lose_all_tables(sim):
    return go_back(sim, sim.now - 9.0, 0.3)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("between", [[], [0.3], [2.0], [0.3, 4.0]])
@pytest.mark.parametrize("late", [(), ("e3",)])
def test_keys_of_a_service_without_a_table_are_waited_for(late, between, seed):
    """All instances are replaced, and the store returns from before the first table.

    Guards against two owners, because nobody knows that there were owners.
    """

    async def scenario(sim):
        with copies_kept(sim):
            await start_young_service(sim, late)
            for seconds in [*between, 0.0]:
                for name in list(sim.instances):
                    sim.restart(name)
                await lose_all_tables(sim)
                # Other endpoints would get the keys.
                sim.unlisted = {"e0"} if sim.unlisted else {"e1"}
                await asyncio.sleep(seconds)
            sim.unlisted = set()
            await asyncio.sleep(WAIT_SECONDS + 2 * PLAN_SECONDS)
            return sim.violations, sim.held_key_share()

    assert run_fleet(scenario, seed) == ([], 1.0)


def test_a_first_start_costs_no_wait():
    """Guards against a wait where the store has never lost anything."""

    async def scenario(sim):
        await asyncio.sleep(4.0)
        return sim.violations, sim.held_key_share(), eras(sim)

    assert run_fleet(scenario) == ([], 1.0, {0})


def test_a_start_in_a_later_era_waits_once():
    """Guards against keys that are assigned at once although the store has lost what
    would show their owners, and against a wait that begins anew."""

    async def scenario(sim):
        sim.store.era = 1
        early = await held_shares(sim, WAIT_SECONDS - 1.0)
        await asyncio.sleep(1.0 + 2 * PLAN_SECONDS)
        return max(early), sim.violations, sim.held_key_share(), eras(sim)

    assert run_fleet(scenario) == (0.0, [], 1.0, {1})


@pytest.mark.parametrize("seed", range(8))
def test_a_key_has_one_owner_when_the_store_goes_back_among_random_faults(seed):
    """Guards against two owners by any order of faults, drills and late answers."""

    async def scenario(sim):
        async def drills():
            while True:
                await asyncio.sleep(sim.rng.uniform(3.0, 9.0))
                sim.store.answer_seconds = sim.rng.choice([0.0, 0.0, 0.2])
                await go_back(sim, sim.rng.uniform(0.3, 6.0), sim.rng.uniform(0.1, 2.5))

        with copies_kept(sim):
            await asyncio.sleep(8.0)
            task = asyncio.create_task(drills())
            await _inject_random_faults(sim)
            task.cancel()
            sim.store.down, sim.store.answer_seconds = False, 0.0
            sim.late_grant_share, sim.store.lose_answers = 0.0, False
            await asyncio.sleep(30.0)
            return sim.violations, sim.held_key_share(), len(SAMPLED_KEYS) > 0

    assert run_fleet(scenario, seed) == ([], 1.0, True)


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_an_owner_that_has_seen_a_higher_token_gets_another_one(endpoint):
    """Guards against keys whose kept token is refused for good."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            await go_back(sim, 1.0, 0.1)
            owner = sim.endpoints[endpoint]
            owner.highest_tokens = dict.fromkeys(owner.highest_tokens, 1000)
            await asyncio.sleep(WAIT_SECONDS + 3 * PLAN_SECONDS)
            return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


def test_a_table_that_no_granter_had_in_force_proves_nothing():
    """Only an instance that was cut off remembers a table, of before a move.

    Guards against going on from it while the new owners hold the keys.
    """

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            others = sim.instances.keys() - {"n0"}
            cut = {("n0", b) for b in others} | {(b, "n0") for b in others}
            sim.blocked_datagrams.update(cut)
            sim.store.unreachable_for.add("n0")
            sim.unlisted.add("e1")
            await asyncio.sleep(12.0)
            sim.unlisted.clear()
            for name in others:
                sim.restart(name)
            sim.blocked_datagrams.clear()
            sim.store.unreachable_for.clear()
            await go_back(sim, 12.5, 0.1)
            await asyncio.sleep(WAIT_SECONDS + 3 * PLAN_SECONDS)
            return sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == ([], 1.0)


def test_a_range_that_was_leaving_may_have_an_owner_that_nobody_knows():
    """The planner assigns a range and exits; no other instance learns of it.

    Guards against giving the range back to the owner that the tables of others name.
    """

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            planner = next(
                i
                for i in sim.instances.values()
                if i.task.fleet.is_planner(SERVICE, sim.now)
            )
            others = sim.instances.keys() - {planner.name}
            moved = next(r for r in table(sim).table.ranges if r.endpoint == "e1")
            sim.unlisted.add("e1")
            while not all(
                any(r.leaving for r in table(sim, name).table.ranges) for name in others
            ):
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.02)  # They have reported it.
            sim.blocked_datagrams.update((planner.name, b) for b in others)
            sim.store.unresponsive_to.update(others)
            while any(r.leaving for r in table(sim, planner.name).table.ranges):
                await asyncio.sleep(0.001)
            # It grants the range itself when no other instance does.
            key = next(k for k in SAMPLED_KEYS if k >= moved.first)
            while not any(e.token_for(key, sim.now) for e in sim.endpoints.values()):
                await asyncio.sleep(0.01)
            planner.kill()
            planner_table = planner.task.leases.tables[SERVICE].table
            known = any(
                not any(r.leaving for r in table(sim, name).table.ranges)
                for name in others
            )
            del sim.instances[planner.name]
            # The unknown owner holds the range until its lease ends.
            sim.unlisted = {planner_table.find(moved.first).endpoint}
            sim.blocked_datagrams.clear()
            sim.store.unresponsive_to.clear()
            await go_back(sim, 1.0, 0.1)
            await asyncio.sleep(WAIT_SECONDS + 3 * PLAN_SECONDS)
            return known, sim.violations, sim.held_key_share()

    assert run_fleet(scenario) == (False, [], 1.0)


@pytest.mark.parametrize("seed", range(6))
def test_keys_are_served_again_although_the_store_goes_back_every_few_seconds(seed):
    """Guards against a wait that begins anew with each era, and against owners that
    lose their keys because an era was short."""

    async def scenario(sim):
        rng = random.Random(seed)

        async def drills():
            while True:
                await go_back(sim, rng.uniform(0.3, 6.0), rng.uniform(0.1, 1.0))
                await asyncio.sleep(rng.uniform(2.0, 5.0))

        with copies_kept(sim):
            await asyncio.sleep(12.0)
            sim.closed_ports.add("e1")
            sim.unlisted.add("e1")
            await asyncio.sleep(0.3)  # Its keys have no owner in the first new era.
            task = asyncio.create_task(drills())
            # The era in which the wait ends may be too short to assign keys in.
            bound = WAIT_SECONDS + LONGEST_ERA_SECONDS + PLAN_SECONDS
            await asyncio.sleep(bound)
            shares = await held_shares(sim, DRILLS_SECONDS - bound)
            task.cancel()
            return min(shares), sim.violations

    assert run_fleet(scenario, seed) == (1.0, [])


@pytest.mark.parametrize("phase", [0.0, 0.3, 0.6, 0.9, 1.2, 1.5])
def test_owners_are_proved_although_an_instance_has_just_ended(phase):
    """Guards against all instances losing the right to grant while the store is away,
    and so the proof, because an instance that ended cannot vouch for them."""

    async def scenario(sim):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            before = table(sim).table.ranges
            await go_back(sim, 0.3, 0.1)
            sim.instances.pop("n4").kill()
            await asyncio.sleep(3.5 + phase)
            await go_back(sim, 0.3, 2.0)
            await asyncio.sleep(4.0)
            kept = table(sim).table.ranges == before
            return kept, sim.held_key_share(), sim.violations

    assert run_fleet(scenario) == (True, 1.0, [])


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_a_range_whose_move_has_not_ended_moves_soon_in_the_new_era(endpoint):
    """Guards against a wait for all leases while the closer of the range is alive."""

    async def scenario(sim, delay):
        with copies_kept(sim):
            await asyncio.sleep(12.0)
            leaving = sim.endpoints[endpoint]
            leaving.endpoint = dataclasses.replace(leaving.endpoint, draining=True)
            await asyncio.sleep(delay)
            await go_back(sim, 0.3, 0.1)
            await asyncio.sleep(SOON_SECONDS)
            return sim.violations, sim.held_key_share()

    for step in range(8):
        delay = 0.04 * step
        assert run_fleet(lambda sim, d=delay: scenario(sim, d)) == ([], 1.0), delay
