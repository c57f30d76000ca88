"""Ownership of keys when several eras of the store follow within seconds.

Each scenario takes one instance through eras in which others move keys, and ends those
others. Guards against an owner, or the lack of one, that is taken for proved although
the tables of an era that nobody remembers say otherwise. `test_a_missing_part_is_seen`
shows that each scenario finds two owners if its part of the proof is left out.
"""

import asyncio
import itertools

import msgspec
import pytest

from arbutusflow.gateway import key_moves, key_planner
from arbutusflow.gateway.fleet import (
    CONTACT_SLACK_SECONDS,
    CONTACT_TIMEOUT_SECONDS,
    Fleet,
)
from arbutusflow.gateway.key_table import KeyRange
from arbutusflow.platform.store import StoredObject
from tests.gateway.sim_fleet import SERVICE, TABLE_NAME, SimInstance, run_fleet
from tests.gateway.test_store_eras import WAIT_SECONDS, copies_kept, table

RIGHT_SECONDS = CONTACT_TIMEOUT_SECONDS - 0.8  # So long it certainly lasts.
# After a table that an instance has not reported, when others count it as stopped.
RIGHT_LOST_SECONDS = CONTACT_TIMEOUT_SECONDS + CONTACT_SLACK_SECONDS
MOMENT = 0.1  # In which an instance learns of an era, and reads the store.
SETTLED_SECONDS = 12.0


def cut_store(sim, *names):
    sim.store.unreachable_for.update(names)


async def cut_store_before_first_table(sim, name):
    """Let an instance read the store until another one writes a table of the era."""
    known_at = sim.instances[name].task.fleet.era_since
    await asyncio.sleep(known_at + key_moves.ERA_REPORT_SECONDS - MOMENT - sim.now)
    cut_store(sim, name)


def cut_peers(sim, name):
    """Let no message of an instance arrive, and none reach it."""
    others = sim.instances.keys() - {name}
    sim.blocked_datagrams |= {(name, b) for b in others} | {(b, name) for b in others}


def go_back_at_once(sim, age):
    sim.store.go_back(sim.now - age)


def change_something(sim):
    """Write an object, so that each instance that watches gets an answer."""
    sim.store.revision += 1
    item = StoredObject("remark", sim.store.point, {}, {"spec": {}})
    sim.store.record(item, removed=False)


def end_others(sim, name):
    """End all other instances without a word."""
    for other in sim.instances.keys() - {name}:
        sim.instances.pop(other).kill()


def split_by_role(sim):
    """Return the names of the planner and of another instance."""
    names = sorted(sim.instances)
    planner = next(
        n for n in names if sim.instances[n].task.fleet.is_planner(SERVICE, sim.now)
    )
    return planner, next(n for n in names if n != planner)


async def wait_until(sim, condition, seconds=20.0):
    end = sim.now + seconds
    while not condition():
        assert sim.now < end
        await asyncio.sleep(0.002)


def owners(sim, name):
    """Return by first key the owners that an instance's table names."""
    return {r.first: r.endpoint for r in table(sim, name).table.ranges}


def show_replaced_endpoint(sim, endpoint, name):
    """Replace an endpoint's process; one instance sees the entry of the one before."""
    sim.restart_endpoint(endpoint, {name: 30.0})
    sim.closed_ports.discard(endpoint)
    sim.unlisted.discard(endpoint)


async def skip_an_era(sim):
    """An instance joins, and misses an era whose store doesn't know it."""
    with copies_kept(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        joined_at = sim.now
        sim.instances["n9"] = SimInstance(sim, "n9", "z0")
        await asyncio.sleep(3.0)
        cut_store(sim, "n9")
        cut_peers(sim, "n9")
        go_back_at_once(sim, sim.now - joined_at + 0.3)
        await asyncio.sleep(0.9)
        sim.unlisted.add("e1")
        others = [n for n in sim.instances if n != "n9"]
        await wait_until(
            sim, lambda: all("e1" not in owners(sim, n).values() for n in others)
        )
        await asyncio.sleep(MOMENT)
        had_right = sim.instances["n9"].task.fleet.may_grant_by(0, sim.now)
        go_back_at_once(sim, 1.0)
        end_others(sim, "n9")
        sim.store.unreachable_for.clear()
        sim.closed_ports.add("e1")
        sim.show_outdated_entry("n9", sim.endpoints["e1"].endpoint, 30.0)
        # Its right by the first tables has ended then.
        await wait_until(
            sim, lambda: not sim.instances["n9"].task.fleet.may_grant_by(0, sim.now)
        )
        show_replaced_endpoint(sim, "e1", "n9")
        await asyncio.sleep(2 * WAIT_SECONDS)
        return had_right, sim.violations, sim.held_key_share()


async def lose_the_right_in_an_era(sim):
    """An instance learns of an era and is cut off; the others move keys without it."""
    with copies_kept(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        survivor = split_by_role(sim)[1]
        go_back_at_once(sim, 0.3)
        await wait_until(sim, lambda: sim.instances[survivor].task.fleet.era == 1)
        cut_store(sim, survivor)
        cut_peers(sim, survivor)
        sim.unlisted.add("e1")
        others = [n for n in sim.instances if n != survivor]
        await wait_until(
            sim, lambda: all("e1" not in owners(sim, n).values() for n in others)
        )
        await asyncio.sleep(MOMENT)
        has_table = table(sim, survivor).revision.era == 1
        go_back_at_once(sim, 1.0)
        end_others(sim, survivor)
        show_replaced_endpoint(sim, "e1", survivor)
        sim.store.unreachable_for.clear()
        await asyncio.sleep(2 * WAIT_SECONDS)
        return not has_table, sim.violations, sim.held_key_share()


async def lose_an_assignment(sim, sees_mark):
    """A range without an owner is assigned; the only one that lives on lacks that."""
    with copies_kept(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        planner, survivor = split_by_role(sim)
        sim.closed_ports.add("e1")
        sim.unlisted.add("e1")
        await wait_until(
            sim,
            lambda: all(
                any(r.leaving for r in table(sim, n).table.ranges)
                for n in sim.instances
            ),
        )
        go_back_at_once(sim, 0.3)
        await asyncio.sleep(MOMENT)
        begun_at = sim.now
        if sees_mark:
            # It learns of tables from the store, and has excluded the others later.
            cut_peers(sim, survivor)
        await asyncio.sleep(WAIT_SECONDS - 0.3)
        before = owners(sim, planner)
        if not sees_mark:
            cut_store(sim, survivor)
            cut_peers(sim, survivor)
        else:
            # The others assign it when the survivor would have lost the right if it had
            # not read the mark. It reads the store until just before.
            await wait_until(
                sim, lambda: any(r.leaving for r in table(sim, survivor).table.ranges)
            )
            sim.call_later(
                RIGHT_LOST_SECONDS - MOMENT, lambda: cut_store(sim, survivor)
            )
        seen = {}

        def is_assigned():
            seen.update(owners(sim, planner))
            return "" in before.values() and "" not in seen.values()

        # The others may assign it without the survivor, once it has lost the right.
        await wait_until(sim, is_assigned)
        assigned_at = sim.now
        await asyncio.sleep(2 * MOMENT)  # The grants have arrived.
        in_time = assigned_at - begun_at >= WAIT_SECONDS - MOMENT
        lacks = "" in owners(sim, survivor).values()
        go_back_at_once(sim, 0.3)
        sim.unlisted = {seen[k] for k, v in before.items() if not v} | {"e1"}
        sim.store.unreachable_for.clear()
        if sees_mark:
            # They do not learn of the era, and grant on until their right ends.
            others = sim.instances.keys() - {survivor}
            cut_store(sim, *others)
            for name, endpoint in itertools.product(others, sim.unlisted):
                sim.show_outdated_entry(name, sim.endpoints[endpoint].endpoint, 30.0)
            await asyncio.sleep(CONTACT_TIMEOUT_SECONDS)
        end_others(sim, survivor)
        await asyncio.sleep(2 * WAIT_SECONDS)
        return lacks and in_time, sim.violations, sim.held_key_share()


async def lose_an_assignment_before_the_mark(sim):
    return await lose_an_assignment(sim, sees_mark=False)


async def lose_an_assignment_after_the_mark(sim):
    return await lose_an_assignment(sim, sees_mark=True)


async def give_a_range_back_in_an_era(sim):
    """Two instances that hear nothing of each other plan one era each.

    The first one's table leaves a range without an owner. The second one lacks that
    table, and keeps the owner in the next era, of which the first one gets no table.
    """
    with copies_kept(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        first, second = split_by_role(sim)
        tasks = {n: sim.instances[n].task for n in (first, second)}
        cut_peers(sim, first)
        cut_store(sim, second)
        sim.unlisted.add("e1")
        await wait_until(
            sim, lambda: any(r.leaving for r in table(sim, first).table.ranges)
        )
        sim.store.unreachable_for.clear()
        go_back_at_once(sim, 0.3)
        await wait_until(
            sim,
            lambda: (
                all(t.fleet.era == 1 for t in tasks.values())
                and tasks[second].fleet.may_grant(sim.now)
            ),
        )
        await cut_store_before_first_table(sim, second)
        await wait_until(sim, lambda: table(sim, first).revision.era == 1)
        table_at = sim.now
        unowned = "" in owners(sim, first).values()
        await asyncio.sleep(tasks[second].copy.current_at + RIGHT_SECONDS - sim.now)
        sim.unlisted.clear()
        sim.store.unreachable_for.clear()
        go_back_at_once(sim, sim.now - table_at + 0.2)
        await wait_until(
            sim,
            lambda: (
                all(t.fleet.era == 2 for t in tasks.values())
                and tasks[first].fleet.may_grant(sim.now)
            ),
        )
        await cut_store_before_first_table(sim, first)
        await wait_until(sim, lambda: table(sim, second).revision.era == 2)
        kept = "" not in owners(sim, second).values()
        # Both hold the right; that of the second one lasts longer.
        await asyncio.sleep(tasks[first].copy.current_at + RIGHT_SECONDS - sim.now)
        change_something(sim)
        await asyncio.sleep(MOMENT)
        # The second one grants on by its right, and the first one is alone.
        sim.show_outdated_entry(second, sim.endpoints["e1"].endpoint, 30.0)
        sim.unlisted.add("e1")
        sim.store.unreachable_for.clear()
        go_back_at_once(sim, 0.2)
        cut_store(sim, second)
        await asyncio.sleep(2 * WAIT_SECONDS)
        lacks = table(sim, second).revision.era == 2
        had_right = tasks[first].fleet.right_since == 0
        return (
            unowned and kept and lacks and had_right,
            sim.violations,
            sim.held_key_share(),
        )


async def lose_the_answer_of_an_assignment(sim):
    """The closer of a range assigns it, and gets no answer; another one grants it."""
    with copies_kept(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        closer = split_by_role(sim)[0]
        task = sim.instances[closer].task
        sim.unlisted.add("e1")
        await wait_until(
            sim, lambda: any(r.leaving for r in table(sim, closer).table.ranges)
        )
        sim.store.lose_answers = True
        name = f"{TABLE_NAME}-{SERVICE}"
        await wait_until(
            sim,
            lambda: all(
                r["endpoint"] != "e1" for r in sim.store.objects[name].spec["ranges"]
            ),
        )
        cut_store(sim, closer)
        cut_peers(sim, closer)
        key = next(r.first for r in table(sim, closer).table.ranges if r.leaving)
        await wait_until(
            sim,
            lambda: any(e.token_for(key, sim.now) for e in sim.endpoints.values()),
        )
        lacks = "e1" in owners(sim, closer).values()
        had_right = task.fleet.may_grant_by(0, sim.now)
        sim.store.lose_answers = False
        go_back_at_once(sim, 0.5)
        end_others(sim, closer)
        show_replaced_endpoint(sim, "e1", closer)
        sim.store.unreachable_for.clear()
        await asyncio.sleep(2 * WAIT_SECONDS)
        return lacks and had_right, sim.violations, sim.held_key_share()


# By scenario: number of instances.
SCENARIOS = {
    skip_an_era: 3,
    lose_the_right_in_an_era: 3,
    lose_an_assignment_before_the_mark: 3,
    lose_an_assignment_after_the_mark: 3,
    give_a_range_back_in_an_era: 2,
    lose_the_answer_of_an_assignment: 3,
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_keys_keep_one_owner(scenario):
    """The scenario came about, no two endpoints held a key, and all keys are served."""
    result = run_fleet(scenario, instances=SCENARIOS[scenario])
    assert result == (True, [], 1.0)


def _prove_over_skipped_eras(monkeypatch):
    """Count an era that an instance has not seen as one in which it had the right."""
    enter = Fleet.enter_era

    def enter_era(self, era, now):
        right_since, held = self.right_since, now < self._right_until(now)
        enter(self, era, now)
        if held:
            self.right_since = right_since

    monkeypatch.setattr(Fleet, "enter_era", enter_era)


def _prove_without_right(monkeypatch):
    """Count each era that an instance has seen, whether it had the right or not."""
    enter = Fleet.enter_era

    def enter_era(self, era, now):
        right_since, follows = self.right_since, era == self.era + 1
        enter(self, era, now)
        if follows:
            self.right_since = right_since

    monkeypatch.setattr(Fleet, "enter_era", enter_era)


def _assign_without_agreement(monkeypatch):
    """Assign ranges without an owner at once when the wait is over."""
    monkeypatch.setattr(
        key_moves._LeavingState, "must_agree_on_unowned", lambda self: False
    )


def _keep_wait_of_marked_ranges(monkeypatch):
    """Let the wait for a range go on although it may have been assigned."""
    first_table = key_planner.first_table_of_era

    def first_table_of_era(earlier, earlier_era, era, **options):
        ranges = tuple(
            r if r.endpoint else KeyRange(r.first, r.last, token=r.token)
            for r in earlier.ranges
        )
        earlier = msgspec.structs.replace(earlier, ranges=ranges)
        return first_table(earlier, earlier_era, era, **options)

    monkeypatch.setattr(key_planner, "first_table_of_era", first_table_of_era)


def _keep_wait_over_eras_without_tables(monkeypatch):
    """Let the wait for a range go on although it may have been given back."""
    first_table = key_planner.first_table_of_era
    monkeypatch.setattr(
        key_planner,
        "first_table_of_era",
        lambda earlier, _, era, **options: first_table(
            earlier, era - 1, era, **options
        ),
    )


def _forget_unknown_writes(monkeypatch):
    """Count a write without an answer as one that has not taken effect."""
    monkeypatch.setattr(key_moves.KeyMoves, "has_unknown_write", lambda self: False)


def _settle_moves_of_the_dead(monkeypatch):
    """Count moves as known whose closer may have ended them before it ended itself."""
    monkeypatch.setattr(Fleet, "settled_lives", lambda *args, **kwargs: _AnyLife())


class _AnyLife:
    def __contains__(self, life):
        return True


@pytest.mark.parametrize(
    "leave_out, scenario",
    [
        (_prove_over_skipped_eras, skip_an_era),
        (_prove_without_right, lose_the_right_in_an_era),
        (_assign_without_agreement, lose_an_assignment_before_the_mark),
        (_keep_wait_of_marked_ranges, lose_an_assignment_after_the_mark),
        (_keep_wait_over_eras_without_tables, give_a_range_back_in_an_era),
        (_forget_unknown_writes, lose_the_answer_of_an_assignment),
        (_settle_moves_of_the_dead, lose_an_assignment_after_the_mark),
    ],
)
def test_a_missing_part_is_seen(leave_out, scenario, monkeypatch):
    """Shows that each scenario finds two owners without one part of the proof."""
    leave_out(monkeypatch)
    _, violations, _ = run_fleet(scenario, instances=SCENARIOS[scenario])
    assert any(" and " in violation for violation in violations)
