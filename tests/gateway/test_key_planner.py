"""Placement of keys under load, for the patterns that caused most refused requests."""

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.gateway.key_demand import capacities
from arbutusflow.gateway.key_planner import (
    BASE_LOAD_PER_KEY,
    MIN_CONCURRENT_MOVES,
    KeyLoads,
    needs_change,
    plan,
)
from arbutusflow.gateway.key_table import KeyRange, KeyTable
from arbutusflow.gateway.model import KEY_SPACE, Address, Endpoint
from tests.gateway.fakes import FakeLeavingState

NO_LOAD = KeyLoads({})
RELEASED = FakeLeavingState(lambda key_range: "handover")
NOT_RELEASED = FakeLeavingState()


def endpoints(count, **changes):
    result = {}
    for n in range(count):
        name = f"e{n}"
        draining, started_ms = changes.get(name, (False, 1))
        result[name] = Endpoint(
            name, "s", Address(name, 1), "z", 2, draining, 0.0, started_ms
        )
    return result


def plan_until_stable(
    table,
    listed,
    loads=NO_LOAD,
    capacity=None,
    rounds=30,
    leaving=RELEASED,
    cold=(),
):
    """Plan until nothing changes; by default every range is released at once."""
    capacity = capacity or dict.fromkeys(listed, 10.0)
    for _ in range(rounds):
        planned = plan(table, listed, capacity, loads, leaving, cold=cold)
        planned.check()
        if planned == table:
            break
        table = planned
    return table


def _range_of(table, key):
    return next(p for p in table.ranges if p.first <= key <= p.last)


def load_by_endpoint(table, loads):
    result = {}
    for key_range in table.ranges:
        load = loads.of_range(key_range.first, key_range.last)
        result[key_range.endpoint] = result.get(key_range.endpoint, 0.0) + load
    return result


def test_initial_keys_are_spread_over_all_endpoints():
    table = plan_until_stable(KeyTable.empty("s"), endpoints(8))
    assert set(load_by_endpoint(table, NO_LOAD)) == set(endpoints(8))


def test_adjacent_busy_keys_are_spread_over_the_endpoints():
    """Guards against a cluster of busy keys that stays in one range.

    It would keep an endpoint at three times its capacity for 12 s, while the other
    endpoints are idle.
    """
    loads = KeyLoads({20_000 + n: 0.5 for n in range(80)})  # 40 requests/s in all.
    table = plan_until_stable(
        plan_until_stable(KeyTable.empty("s"), endpoints(8)), endpoints(8), loads
    )
    # Each endpoint serves 10 requests/s; half of them suffice if they share.
    assert max(load_by_endpoint(table, loads).values()) <= 10.0


def test_a_hot_key_does_not_overload_its_neighbours():
    loads = KeyLoads({20_000: 25.0} | {20_001 + n: 0.5 for n in range(16)})
    table = plan_until_stable(
        plan_until_stable(KeyTable.empty("s"), endpoints(8)), endpoints(8), loads
    )
    holder = next(p.endpoint for p in table.ranges if p.first <= 20_000 <= p.last)
    neighbour_load = load_by_endpoint(table, loads)[holder] - 25.0
    assert neighbour_load <= 2.0  # Of the 8 requests/s for its neighbours.


def test_a_hot_key_moves_to_a_faster_endpoint():
    loads = KeyLoads({20_000: 25.0})
    listed = endpoints(4)
    slow = dict.fromkeys(listed, 10.0)
    table = plan_until_stable(
        plan_until_stable(KeyTable.empty("s"), listed), listed, loads, slow
    )
    fast = slow | {"e3": 20.0, "e0": 20.0}
    table = plan_until_stable(table, listed, loads, fast)
    holder = next(p.endpoint for p in table.ranges if p.first <= 20_000 <= p.last)
    assert fast[holder] == 20.0


def test_a_hot_key_moves_to_the_fastest_endpoint_even_if_it_owns_other_keys():
    """Guards against a hot key that stays on a slow endpoint.

    A key with 30 requests/s must not stay for 9 s on an endpoint that serves 11 of them
    if another one serves 17 and owns other keys, which can move.
    """
    loads = KeyLoads({20_000: 30.0} | {n * 700: 0.2 for n in range(90)})
    listed = endpoints(4)
    slow = dict.fromkeys(listed, 14.0)
    table = plan_until_stable(
        plan_until_stable(KeyTable.empty("s"), listed), listed, loads, slow
    )
    holder = _range_of(table, 20_000).endpoint
    fast = slow | {"e0" if holder != "e0" else "e1": 20.0}
    table = plan_until_stable(table, listed, loads, fast)
    assert fast[_range_of(table, 20_000).endpoint] == 20.0
    assert (
        max(
            load / fast[endpoint]
            for endpoint, load in load_by_endpoint(table, loads).items()
            if fast[endpoint] < 20.0
        )
        <= 1.2
    )


def test_two_hot_keys_do_not_share_the_fastest_endpoint():
    loads = KeyLoads({20_000: 30.0, 40_000: 30.0})
    listed = endpoints(6)
    fast = dict.fromkeys(listed, 10.0) | {"e0": 20.0, "e1": 15.0}
    table = plan_until_stable(
        plan_until_stable(KeyTable.empty("s"), listed), listed, loads, fast
    )
    holders = {_range_of(table, 20_000).endpoint, _range_of(table, 40_000).endpoint}
    assert holders == {"e0", "e1"}


def test_capacity_combines_the_measurements_of_all_instances():
    """One instance of nine sees only one answer of an endpoint in 2 s."""
    listed = list(endpoints(2).values())
    measured = [{"e0": (0.1, 3)}, {"e0": (0.2, 50)}, {}]
    result = capacities(listed, measured)
    assert result["e0"] == pytest.approx(2 / ((0.15 + 3 * 0.1 + 10 * 0.2) / 14))
    assert result["e1"] == pytest.approx(2 / 0.15)


def test_keys_under_low_load_do_not_move():
    loads = KeyLoads({n * 700: 0.2 for n in range(90)})
    table = plan_until_stable(KeyTable.empty("s"), endpoints(8))
    assert plan_until_stable(table, endpoints(8), loads) == table


def test_new_endpoints_get_keys():
    loads = KeyLoads({n * 700: 0.2 for n in range(90)})
    table = plan_until_stable(KeyTable.empty("s"), endpoints(6), loads)
    table = plan_until_stable(table, endpoints(8), loads)
    assert {"e6", "e7"} <= set(load_by_endpoint(table, loads))


@pytest.mark.parametrize(
    "loads", [NO_LOAD, KeyLoads({n * 700: 1.0 for n in range(90)})]
)
def test_a_zone_that_comes_back_cold_gets_keys_when_it_is_warm(loads):
    """Guards against cold endpoints that get as many keys as warm ones."""
    old, back = endpoints(4), {"e4", "e5", "e6", "e7"}
    before = plan_until_stable(KeyTable.empty("s"), old, loads)
    cold = plan_until_stable(before, endpoints(8), loads, cold=back)
    assert set(load_by_endpoint(cold, loads)) == set(old)
    # An owner that turns cold keeps its keys, and gets no others.
    kept = plan_until_stable(before, endpoints(4, e0=(True, 1)), loads, cold={"e1"})
    assert [r.key_count for r in kept.ranges if r.endpoint == "e1"] == [
        r.key_count for r in before.ranges if r.endpoint == "e1"
    ]
    warm = plan_until_stable(cold, endpoints(8), loads, cold=back - {"e4"})
    assert set(load_by_endpoint(warm, loads)) == {*old, "e4"}
    all_cold = plan_until_stable(KeyTable.empty("s"), old, loads, cold=set(old))
    assert set(load_by_endpoint(all_cold, loads)) == set(old)


def test_keys_leave_a_draining_endpoint_with_a_higher_token():
    table = plan_until_stable(KeyTable.empty("s"), endpoints(4))
    before = max(key_range.token for key_range in table.ranges)
    moved = plan_until_stable(table, endpoints(4, e1=(True, 1)))
    assert "e1" not in load_by_endpoint(moved, NO_LOAD)
    for key in range(0, KEY_SPACE, 64):
        old, new = _range_of(table, key), _range_of(moved, key)
        assert new.endpoint == old.endpoint or new.token > before


def test_keys_are_not_reassigned_before_release_or_expiry():
    """Until then, their owner may still hold them."""
    table = plan_until_stable(KeyTable.empty("s"), endpoints(4))
    remaining = {n: e for n, e in endpoints(4).items() if n != "e1"}
    pending = plan_until_stable(table, remaining, leaving=NOT_RELEASED)
    assert [p.endpoint for p in pending.ranges if p.leaving] == ["e1"]


def _table_with_split_ranges(listed):
    """Return a table in which each endpoint owns several ranges."""
    loads = KeyLoads({20_000 + n: 0.5 for n in range(80)})
    table = plan_until_stable(KeyTable.empty("s"), listed)
    return plan_until_stable(table, listed, loads)


def _plan_without_proof(
    table, listed, loads=NO_LOAD, leaving=NOT_RELEASED, balance=False
):
    """Plan while no owner has released a range and no lease has expired."""
    return plan(
        table,
        listed,
        dict.fromkeys(listed, 10.0),
        loads,
        leaving,
        balance=balance,
    )


def _cancelled(handover):
    """Return the state of leaving ranges that go back to their owners."""
    return FakeLeavingState(handover_if_cancelled=lambda key_range: handover)


@pytest.mark.parametrize("draining", [False, True])
def test_keys_of_a_restarted_endpoint_move_only_with_proof_of_release(draining):
    """Guards against granting them to others while a renewal of an instance that does
    not know of the restart may have reached the new process.
    """
    table = _table_with_split_ranges(endpoints(4))
    changes = {"e1": (draining, 2), "e2": (draining, 2)}
    restarted = _plan_without_proof(table, endpoints(4, **changes))
    assert [p.endpoint for p in restarted.ranges] == [p.endpoint for p in table.ranges]
    for before, after in zip(table.ranges, restarted.ranges, strict=True):
        if before.endpoint not in changes:
            assert after == before
        else:
            assert after.leaving
            assert after.closing_token >= table.next_token
    closing = [p.closing_token for p in restarted.ranges if p.leaving]
    assert len(set(closing)) == len(closing)


def test_keys_that_cannot_move_go_to_the_new_process_of_a_restarted_endpoint():
    """Guards against keys that wait for leases although no other one is involved."""
    table = _table_with_split_ranges(endpoints(4))
    listed = endpoints(4, e1=(False, 2))
    leaving = _plan_without_proof(table, listed)
    returned = _plan_without_proof(leaving, listed, leaving=_cancelled(""))
    owned = [p for p in returned.ranges if p.endpoint == "e1"]
    assert owned
    assert all((p.started_ms, p.leaving) == (2, False) for p in owned)
    assert all(p.token >= leaving.next_token for p in owned)


def test_keys_do_not_move_without_proof_when_an_entry_shows_an_earlier_start():
    """Guards against taking the entry of an earlier process for a restart."""
    table = _table_with_split_ranges(endpoints(4, e1=(False, 2)))
    planned = _plan_without_proof(table, endpoints(4))
    assert [p.endpoint for p in planned.ranges] == [p.endpoint for p in table.ranges]
    assert all(p.leaving for p in planned.ranges if p.endpoint == "e1")


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.dictionaries(
                st.integers(0, KEY_SPACE - 1), st.floats(0.1, 30.0), max_size=20
            ),
            st.sets(st.integers(0, 5), min_size=1),
            st.booleans(),
        ),
        max_size=6,
    )
)
def test_a_table_covers_all_keys_and_limits_concurrent_moves(steps):
    table = KeyTable.empty("s")
    for loads, present, released in steps:
        listed = {n: e for n, e in endpoints(6).items() if int(n[1]) in present}
        capacity = dict.fromkeys(listed, 10.0)
        leaving = RELEASED if released else NOT_RELEASED
        planned = plan(table, listed, capacity, KeyLoads(loads), leaving)
        planned.check()
        marked = [
            p
            for p in planned.ranges
            if p.leaving and p.endpoint in listed and p not in table.ranges
        ]
        assert len(marked) <= MIN_CONCURRENT_MOVES
        table = planned


def test_a_plan_is_made_only_when_it_would_change_something():
    """Planning sums the demand of all instances.

    At 20 plans per second it would use a third of a small instance's processor.
    """
    listed = endpoints(4)
    table = plan_until_stable(KeyTable.empty("s"), listed)
    assert needs_change(KeyTable.empty("s"), listed, NOT_RELEASED)
    assert not needs_change(table, listed, NOT_RELEASED)
    assert needs_change(table, endpoints(4, e1=(True, 1)), NOT_RELEASED)
    assert needs_change(table, endpoints(4, e1=(False, 2)), NOT_RELEASED)
    leaving = plan_until_stable(table, endpoints(3), leaving=NOT_RELEASED)
    assert not needs_change(leaving, endpoints(3), NOT_RELEASED)
    assert needs_change(leaving, endpoints(3), RELEASED)
    # A restart of the owner is no proof of release.
    assert not needs_change(leaving, endpoints(4, e3=(False, 2)), NOT_RELEASED)
    assert needs_change(leaving, endpoints(4, e3=(False, 2)), RELEASED)


def test_the_load_of_a_range_is_the_sum_over_its_keys():
    loads = KeyLoads({10: 1.0, 20: 2.0, 30: 4.0})
    base = BASE_LOAD_PER_KEY
    assert loads.of_range(10, 20) == pytest.approx(3.0 + 11 * base)
    assert loads.of_range(11, 29) == pytest.approx(2.0 + 19 * base)
    assert loads.of_range(31, 40) == pytest.approx(10 * base)
    assert loads.measured_keys(20, 30) == [(20, 2.0), (30, 4.0)]


def test_keys_that_cannot_move_are_returned_to_their_owner():
    """Guards against leaving keys without an owner after a restart of all instances.

    They would wait until the earlier leases have expired, although their owner is
    available throughout.
    """
    listed = endpoints(4)
    loads = KeyLoads({20_000 + n: 0.5 for n in range(80)})
    table = plan_until_stable(KeyTable.empty("s"), listed)
    blocked = _plan_without_proof(table, listed, loads, balance=True)
    leaving = [key_range for key_range in blocked.ranges if key_range.leaving]
    assert leaving
    returned = _plan_without_proof(blocked, listed, loads, leaving=_cancelled("proof"))
    for key_range in leaving:
        new_range = _range_of(returned, key_range.first)
        assert (new_range.endpoint, new_range.leaving) == (key_range.endpoint, False)
        assert new_range.token > key_range.token
        assert new_range.handover == "proof"


def test_keys_are_not_returned_to_a_lost_endpoint():
    table = plan_until_stable(KeyTable.empty("s"), endpoints(4))
    listed = endpoints(3)
    blocked = plan_until_stable(table, listed, leaving=NOT_RELEASED)
    replanned = _plan_without_proof(
        blocked, listed, leaving=_cancelled(""), balance=True
    )
    assert [p for p in replanned.ranges if p.endpoint == "e3"] == [
        p for p in blocked.ranges if p.endpoint == "e3"
    ]


def test_keys_of_an_endpoint_with_an_unanswered_grant_are_not_moved_for_balance():
    """These keys would have no owner until the grant can no longer take effect."""
    listed = endpoints(8)
    table = plan_until_stable(KeyTable.empty("s"), listed)
    loads = KeyLoads({20_000 + n: 0.5 for n in range(80)})
    busy = _range_of(table, 20_000).endpoint
    capacity = dict.fromkeys(listed, 10.0)
    planned = plan(table, listed, capacity, loads, RELEASED, immovable={busy})
    assert not any(p.leaving and p.endpoint == busy for p in planned.ranges)
    planned = plan(table, listed, capacity, loads, RELEASED)
    assert any(p.leaving and p.endpoint == busy for p in planned.ranges)


def test_large_services_allow_more_concurrent_moves():
    """Six moves per second take too long to spread busy keys over 65 endpoints."""
    listed = endpoints(64)
    table = plan_until_stable(KeyTable.empty("s"), listed)
    loads = KeyLoads({n * 16: 1.0 for n in range(300)})
    planned = plan(table, listed, dict.fromkeys(listed, 10.0), loads, RELEASED)
    assert 6 < sum(p.leaving for p in planned.ranges) <= 16


@settings(max_examples=40, deadline=None)
@given(st.lists(st.sets(st.integers(0, 5), min_size=1), min_size=2, max_size=5))
def test_changes_between_any_two_tables_can_be_applied(steps):
    """Instances that cannot read the store get only the changed ranges from peers."""
    tables = [KeyTable.empty("s")]
    for number, present in enumerate(steps):
        listed = {n: e for n, e in endpoints(6).items() if int(n[1]) in present}
        loads = KeyLoads({number * 9000 + n: 2.0 for n in range(20)})
        tables.append(plan_until_stable(tables[-1], listed, loads, rounds=3))
    for base in tables:
        for later in tables:
            changes = later.changes_since(base)
            assert base.with_changes(later.next_token, changes) == later


def test_changes_are_much_smaller_than_a_table():
    """Otherwise each of 24 instances fetches 8 kB for each of 100 revisions."""
    listed = endpoints(65)
    table = plan_until_stable(KeyTable.empty("s"), listed)
    later = plan_until_stable(table, endpoints(65, e3=(True, 1)), rounds=1)
    assert len(later.changes_since(table)) < 0.1 * len(table.ranges)


def test_inconsistent_changes_are_rejected():
    table = plan_until_stable(KeyTable.empty("s"), endpoints(4))
    key_range = table.ranges[1]
    with pytest.raises(ValueError):
        table.with_changes(
            99, (KeyRange(key_range.first + 1, key_range.last, "e9", 1, 98),)
        )
