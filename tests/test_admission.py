"""Endpoint queue: bounds, ranks, shares, fairness, held units, cancellation."""

import dataclasses
import random
from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.domain.admission import (
    RANK_SHARES_TENTHS,
    RANKS,
    Drained,
    DroppedRequest,
    EndpointQueue,
    QueuedRequest,
)
from arbutusflow.domain.configuration import Endpoint, Limits
from arbutusflow.domain.limits import Finish, FixedLimit
from arbutusflow.domain.reasons import RefusalReason

URGENT, NORMAL, BACKGROUND = RANKS
FAR = 1e9


def request(ticket, rank=NORMAL, caller="a", unit=1, deadline=FAR, **other):
    return QueuedRequest(ticket, rank, caller, unit, deadline, **other)


def queue_of(*requests, capacity=100, slots=1):
    queue = EndpointQueue(capacity, FixedLimit(slots))
    for item in requests:
        assert queue.offer(item, 0.0) == []
    return queue


def run_one(queue, now=0.0):
    dispatched = queue.next(now)
    if dispatched is not None:
        queue.finished(dispatched.ticket, now, Finish.FAILED)
    return dispatched


def test_each_rank_gets_its_share_of_dispatches():
    """Guards against starvation of lower ranks during a flood of urgent work."""
    queue = queue_of()
    tickets = iter(range(10_000))
    served = []
    for _ in range(200):
        for rank in (BACKGROUND, NORMAL, URGENT, URGENT):
            queue.offer(request(next(tickets), rank), 0.0)
        served.append(run_one(queue).rank)
    for start in range(len(served) - 10):
        counts = Counter(served[start : start + 10])
        assert counts == {rank: RANK_SHARES_TENTHS[rank] for rank in RANKS}


def test_urgent_flood_does_not_evict_reserved_capacity():
    """Guards against dispatch shares without effect because no request may wait."""
    queue = queue_of(capacity=10)
    for ticket in range(20):
        queue.offer(request(ticket, BACKGROUND), 0.0)
    for ticket in range(100, 120):
        queue.offer(request(ticket, NORMAL), 0.0)
    for ticket in range(200, 220):
        queue.offer(request(ticket, URGENT), 0.0)
    assert [queue.waiting(rank) for rank in RANKS] == [7, 2, 1]
    late = queue.offer(request(300, BACKGROUND), 0.0)
    assert late == [DroppedRequest(request(300, BACKGROUND), RefusalReason.QUEUE_FULL)]


def test_full_queue_sheds_from_the_longest_caller_of_the_least_urgent_rank():
    """Guards against a busy caller that displaces the requests of others."""
    busy = [request(number, BACKGROUND, "busy") for number in range(6)]
    quiet = [request(number, BACKGROUND, "quiet") for number in range(6, 10)]
    queue = queue_of(*busy, *quiet, capacity=10)
    shed = queue.offer(request(10, URGENT), 0.0)
    assert shed == [DroppedRequest(busy[-1], RefusalReason.SHED_FOR_URGENT)]
    shed = queue.offer(request(11, BACKGROUND, "new"), 0.0)
    assert shed == [DroppedRequest(busy[-2], RefusalReason.QUEUE_FULL)]
    refused = request(12, BACKGROUND, "busy")
    assert queue.offer(refused, 0.0) == [
        DroppedRequest(refused, RefusalReason.QUEUE_FULL)
    ]


def test_callers_of_one_rank_are_served_round_robin():
    """Guards against a burst of one caller that delays all others."""
    burst = [request(number, caller="burst") for number in range(10)]
    queue = queue_of(*burst, request(20, caller="b"), request(21, caller="c"))
    assert [run_one(queue).ticket for _ in range(5)] == [0, 20, 21, 1, 2]


def test_expired_requests_are_not_dispatched_and_are_reported_once():
    """Guards against running requests whose callers no longer wait."""
    queue = queue_of(request(1, deadline=1.0), request(2, deadline=9.0))
    assert queue.next_deadline() == 1.0
    assert queue.next(1.0).ticket == 2
    dropped = [DroppedRequest(request(1, deadline=1.0), RefusalReason.DEADLINE_PASSED)]
    assert queue.expire(1.0) == dropped
    assert queue.expire(1.0) == []
    late = request(3, deadline=1.0)
    assert queue.offer(late, 1.0) == [
        DroppedRequest(late, RefusalReason.DEADLINE_PASSED)
    ]


def test_deadline_shorter_than_the_typical_latency_is_refused_while_busy():
    """Guards against late answers, and against an estimate that is not corrected."""
    queue = queue_of(request(1, kind="swap"))
    queue.next(0.0)
    queue.finished(1, 4.0, Finish.COMPLETED)
    queue.offer(request(2, kind="swap"), 4.0)
    queue.next(4.0)
    short = request(3, kind="swap", deadline=5.0)
    assert queue.offer(short, 4.0) == [
        DroppedRequest(short, RefusalReason.DEADLINE_TOO_SHORT)
    ]
    assert queue.offer(request(4, kind="browse", deadline=5.0), 4.0) == []
    queue.cancel(4)
    queue.finished(2, 4.0, Finish.FAILED)
    assert queue.offer(short, 4.0) == []
    assert queue.next(4.0) == short


def test_held_unit_is_drained_and_keeps_its_order():
    """Guards against dispatch to an owner that is releasing the unit."""
    queue = queue_of(request(1, unit=7), request(2, unit=7), request(3, unit=8))
    queue.next(0.0)
    assert queue.hold_unit(7) is None
    assert queue.hold_unit(8) == Drained(8)
    queue.offer(request(4, unit=7), 0.0)
    assert queue.finished(1, 0.0, Finish.COMPLETED) == Drained(7)
    assert queue.next(0.0) is None
    queue.release_unit(7)
    assert [run_one(queue).ticket for _ in range(2)] == [2, 4]
    assert [item.ticket for item in queue.take_unit(8)] == [3]
    assert len(queue) == 0


def test_cancelled_request_is_not_dispatched():
    """Guards against running requests of a caller that left."""
    queue = queue_of(request(1), request(2))
    assert queue.cancel(1)
    assert not queue.cancel(1)
    assert queue.next(0.0).ticket == 2
    assert not queue.cancel(2)


def test_isolated_request_is_in_flight_alone():
    """Guards against other requests failing because of one that may crash endpoints."""
    queue = queue_of(request(1), request(2, isolated=True), request(3), slots=3)
    assert queue.next(0.0).ticket == 1
    assert queue.next(0.0) is None
    queue.finished(1, 0.0, Finish.COMPLETED)
    assert queue.next(0.0).ticket == 2
    assert queue.next(0.0) is None
    queue.finished(2, 0.0, Finish.COMPLETED)
    assert queue.next(0.0).ticket == 3


def test_ticket_in_use_is_rejected():
    """Guards against two requests with the same ticket."""
    with pytest.raises(ValueError, match="ticket 1"):
        queue_of(request(1)).offer(request(1), 0.0)


def test_queue_from_configuration_has_the_configured_bounds():
    """Guards against bounds that ignore the operator's configuration."""
    endpoint = Endpoint("shop-1", "a", "127.0.0.1", 9001, slots=2)
    queue = EndpointQueue.from_config(endpoint, Limits(queue_per_endpoint=5))
    for ticket in range(9):
        queue.offer(request(ticket), 0.0)
    assert len(queue) == 5 - 1  # One place is reserved for background work.
    dispatched = [queue.next(0.0) for _ in range(3)]
    assert [item is None for item in dispatched] == [False, False, True]
    more = dataclasses.replace(endpoint, slots=3)
    queue.configure(more, Limits(queue_per_endpoint=10))
    assert queue.next(0.0) is not None
    assert [queue.offer(request(ticket), 0.0) for ticket in range(10, 18)] == [[]] * 8
    assert len(queue.offer(request(18), 0.0)) == 1


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(
    seed=st.integers(0, 10**6),
    capacity=st.integers(1, 12),
    slots=st.integers(1, 3),
    urgent=st.sampled_from([0.1, 0.5, 0.95]),
)
def test_bounds_and_accounting_under_random_use(seed, capacity, slots, urgent):
    """Guards against lost, doubled or unbounded requests and against starvation."""
    rng = random.Random(seed)
    queue = EndpointQueue(capacity, FixedLimit(slots))
    waiting, flying, held = {}, {}, set()
    passed_over = Counter()
    now = 0.0
    for ticket in range(250):
        now += rng.choice([0.0, 0.1, 1.0])
        rank = URGENT if rng.random() < urgent else rng.choice([NORMAL, BACKGROUND])
        deadline = now + rng.choice([-1.0, 0.5, 50.0])
        caller, unit = rng.choice("abcd"), rng.randrange(3)
        waiting[ticket] = request(ticket, rank, caller, unit, deadline)
        left = queue.offer(waiting[ticket], now)
        action = rng.choice(["next", "next", "finish", "hold", "release", "cancel"])
        if action == "next" and (chosen := queue.next(now)):
            flying[chosen.ticket] = waiting.pop(chosen.ticket)
            assert chosen.deadline > now
            assert chosen.unit not in held
            ready = {item.rank for item in waiting.values() if item.unit not in held}
            for other in RANKS:
                passed_over[other] += 1
                if other is chosen.rank or other not in ready:
                    passed_over[other] = 0
                assert passed_over[other] < 10
        elif action == "finish" and flying:
            item = flying.pop(rng.choice(list(flying)))
            drained = queue.finished(item.ticket, now, Finish.FAILED)
            last = all(other.unit != item.unit for other in flying.values())
            assert (drained is not None) == (last and item.unit in held)
        elif action == "hold":
            held.add(unit)
            drained = queue.hold_unit(unit)
            assert (drained is None) == any(o.unit == unit for o in flying.values())
        elif action == "release":
            held.discard(unit)
            queue.release_unit(unit)
        elif action == "cancel" and queue.cancel(ticket):
            del waiting[ticket]
        for shed in left + queue.expire(now):
            del waiting[shed.request.ticket]
        assert len(queue) == len(waiting) <= capacity
        assert sum(queue.waiting(rank) for rank in RANKS) == len(queue)
        assert queue.in_flight == len(flying) <= slots
        assert len(queue._deadlines) <= 2 * len(queue) + 17
    assert {item.ticket for item in queue.take_all()} == set(waiting)
