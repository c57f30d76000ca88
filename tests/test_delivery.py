"""Request handling at a coordinator: outcomes, resends, retries, crash guard."""

import dataclasses
import random
import re
import time
from collections import Counter
from datetime import datetime

import pytest
import uuid6
from hypothesis import Phase, find, given, settings, strategies as st

from arbutusflow.domain import (
    crash_guard,
    delivery as delivery_module,
    delivery_messages as messages,
    request_history,
)
from arbutusflow.domain.admission import EndpointQueue
from arbutusflow.domain.configuration import Limits, Rank
from arbutusflow.domain.delivery import Delivery
from arbutusflow.domain.delivery_messages import Answer, Failure, content_digest
from arbutusflow.domain.limits import Finish, FixedLimit
from arbutusflow.domain.reasons import REFUSALS, Outcome, RefusalReason, RetryReason

WALL = 1_700_000_000.0
LIMITS = Limits(request_id_skew_ms=5_000, instance_clocks_ms=1_000)
NOT_RUN_BY_ENDPOINT = {
    Failure.REFUSED,
    Failure.DRAINING,
    Failure.LEASE_NOT_HELD,
    Failure.CONNECTION_FAILED,
}


def uuid7(created, number=0):
    bits = int(created * 1000) << 80 | 7 << 76 | 0b10 << 62 | number
    text = f"{bits:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


class Simulation:
    """Successive coordinators of a unit and an endpoint that records what it ran."""

    def __init__(self, max_entries=50, slots=2):
        self.now = 100.0
        self.max_entries, self.slots = max_entries, slots
        self.rng = random.Random(5)
        self.ran = []  # (request identifier or ticket, digest) per run
        self.sent, self.replies, self.requests = {}, {}, {}
        self.retry_timers, self.violations, self.abandoned = [], [], set()
        self.exits = 0
        self.clock_lag = 0.0  # Seconds that the coordinator's wall clock is behind.
        self.take_over()
        self.now += 6.5

    @property
    def wall(self):
        return WALL + self.now - self.clock_lag

    def take_over(self, history=None):
        """Start a new coordinator, without any history unless one is given."""
        self.abandoned |= set(self.requests) - set(self.replies)
        self.delivery = Delivery(
            self.rng, self.max_entries, max_bytes=4000, limits=LIMITS
        )
        self.queue = EndpointQueue(8, FixedLimit(self.slots))
        self.sent, self.retry_timers = {}, []
        self.handle(
            history or messages.UnitTakenOverWithoutHistory("shop", 1, self.wall)
        )

    def move(self):
        """Drain the unit and hand its history to a new coordinator."""
        while self.sent:
            self.end(0)
        for queued in self.queue.take_all():
            self.handle(
                messages.DroppedFromQueue(queued.ticket, RefusalReason.UNIT_MOVING)
            )
        for _, ticket in self.retry_timers:
            self.handle(messages.DroppedFromQueue(ticket, RefusalReason.UNIT_MOVING))
        history = self.delivery.export_unit("shop", 1, self.wall)
        self.handle(messages.UnitReleased("shop", 1))
        self.take_over(history)

    def arrive(self, request_id="", content="a", repeatable=False, seconds=10.0):
        ticket = len(self.requests)
        kind = "browse" if repeatable else "swap"
        digest = content_digest("shop", kind, "key", content.encode())
        fields = ("shop", 1, "shop-1", kind, Rank.NORMAL, repeatable, "caller", digest)
        request = messages.Request(*fields, self.now + seconds, request_id)
        self.requests[ticket] = request
        self.handle(messages.Arrived(ticket, request, self.wall))
        return ticket

    def dispatch(self, failure=None, runs=True):
        """Dispatch the next request; its attempt will end with `failure`, if any."""
        queued = self.queue.next(self.now)
        self.expire()
        if queued is None:
            return
        actions = self.delivery.handle(messages.Dispatched(queued.ticket), self.now)
        if not any(isinstance(action, messages.Send) for action in actions):
            self.queue.finished(queued.ticket, self.now, Finish.NOT_SENT)
        else:
            self.sent[queued.ticket] = failure
            request = self.requests[queued.ticket]
            if failure is None or (runs and failure not in NOT_RUN_BY_ENDPOINT):
                self.ran.append(self.run_key(queued.ticket))
                copies = Counter(self.ran)[self.run_key(queued.ticket)]
                if copies > 1 and not request.repeatable:
                    self.violations.append(f"{request.request_id} ran {copies} times")
        self.carry_out(actions)

    def fail_attempts(self, request_id, failures, repeatable=True):
        ticket = self.arrive(request_id, repeatable=repeatable)
        for failure in failures:
            self.dispatch(failure)
            self.end(0)
            self.advance(1.0)
        return ticket

    def end(self, index):
        if not self.sent:
            return
        ticket = list(self.sent)[index % len(self.sent)]
        failure = self.sent.pop(ticket)
        self.queue.finished(ticket, self.now, Finish.COMPLETED)
        if failure is None:
            body = repr(self.run_key(ticket)).encode()
            self.handle(messages.Answered(ticket, Answer(200, (), body)))
            return
        if failure is Failure.ENDPOINT_EXITED:
            self.exits += 1
            self.handle(messages.EndpointExited("shop-1", f"process-{self.exits}"))
        self.handle(messages.AttemptFailed(ticket, failure))

    def advance(self, seconds):
        self.now += seconds
        due = [ticket for at, ticket in self.retry_timers if at <= self.now]
        self.retry_timers = [
            timer for timer in self.retry_timers if timer[0] > self.now
        ]
        for ticket in due:
            self.handle(messages.RetryDue(ticket))
        self.expire()
        self.handle(messages.Tick(self.wall))

    def expire(self):
        self.report_dropped(self.queue.expire(self.now))

    def report_dropped(self, dropped):
        for shed in dropped:
            self.handle(messages.DroppedFromQueue(shed.request.ticket, shed.reason))

    def leave(self, index):
        waiting = sorted(set(self.requests) - set(self.replies) - self.abandoned)
        if waiting:
            ticket = waiting[index % len(waiting)]
            self.abandoned.add(ticket)
            self.handle(messages.CallerLeft(ticket))

    def run_to_completion(self):
        """End all requests and check that each waiting copy got a reply."""
        for _ in range(200):
            if not len(self.delivery):
                break
            self.dispatch()
            self.end(0)
            self.advance(0.2)
        unanswered = set(self.requests) - set(self.replies) - self.abandoned
        if unanswered or len(self.delivery) or self.queue.in_flight:
            self.violations.append(f"tickets without a reply: {sorted(unanswered)}")

    def run_key(self, ticket):
        request = self.requests[ticket]
        return (request.request_id or ticket, request.digest)

    def handle(self, event):
        self.carry_out(self.delivery.handle(event, self.now))

    def carry_out(self, actions):
        for action in actions:
            match action:
                case messages.Enqueue(_, queued):
                    for shed in self.queue.offer(queued, self.now):
                        self.handle(
                            messages.DroppedFromQueue(shed.request.ticket, shed.reason)
                        )
                case messages.ScheduleRetry(ticket, at, _):
                    self.retry_timers.append((at, ticket))
                case messages.CancelQueued(_, ticket):
                    self.queue.cancel(ticket)
                case messages.ReplyAnswer(ticket, answer):
                    self.reply(ticket, answer)
                    if answer.body != repr(self.run_key(ticket)).encode():
                        self.violations.append(
                            f"ticket {ticket} got the answer to another request"
                        )
                case messages.ReplyRefusal(ticket, refusal):
                    self.reply(ticket, refusal)
                    ran = self.run_key(ticket) in self.ran
                    if refusal.outcome is Outcome.NOT_RUN and ran:
                        self.violations.append(
                            f"not-run ({refusal.reason}) for a request that ran"
                        )

    def reply(self, ticket, result):
        if ticket in self.replies or ticket in self.abandoned:
            self.violations.append(
                f"ticket {ticket} got a second reply or one after it left"
            )
        self.replies[ticket] = result

    def result(self, ticket):
        reply = self.replies.get(ticket)
        if reply is None or isinstance(reply, Answer):
            return reply and "answered"
        return (reply.outcome.value, reply.reason.value)


failures = st.sampled_from([None, *Failure])
arrivals = st.tuples(
    st.just("arrive"), st.integers(0, 5), st.sampled_from([-4.0, 0.0, 4.9])
)
steps = st.one_of(
    arrivals,
    st.tuples(st.just("serve"), st.integers(0, 5), failures),
    st.tuples(st.just("renew")),
    st.tuples(st.just("anonymous")),
    st.tuples(st.just("dispatch"), failures, st.booleans()),
    st.tuples(st.just("end"), st.integers(0, 3)),
    st.tuples(st.just("advance"), st.sampled_from([0.01, 0.2, 3.0, 6.0, 125.0])),
    st.tuples(st.just("leave"), st.integers(0, 3)),
)
changes = st.tuples(st.sampled_from(["take_over", "move"]))
schedules = st.one_of(
    st.lists(steps, min_size=1, max_size=60),
    st.lists(st.one_of(steps, changes), min_size=1, max_size=60),
)


def run_schedule(schedule, max_entries=2):
    """Return the invariant violations in a schedule of arrivals and faults."""
    sim = Simulation(max_entries)
    identifiers = {}
    for name, *arguments in schedule:
        if name in ("arrive", "serve"):
            number, detail = arguments
            skew = detail if name == "arrive" else 0.0
            created = identifiers.setdefault(number, sim.wall + skew)
            sim.arrive(uuid7(created, number), f"content-{number}", number > 3)
            if name == "serve":
                sim.dispatch(detail)
                sim.end(0)
                sim.advance(0.2)
        elif name == "renew":
            identifiers.clear()
        elif name == "anonymous":
            sim.arrive("", "anonymous", repeatable=True)
        else:
            getattr(sim, name)(*arguments)
    sim.run_to_completion()
    return sim.violations


SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=400)


@SETTINGS
@given(schedules)
def test_promises_hold_under_random_faults(schedule):
    """Guards against second runs, false `not-run` and foreign or missing answers."""
    assert run_schedule(schedule) == []


RULES = delivery_module.FAILURE_RULES
HISTORY = request_history.RequestHistory
handle, find_entry, evict = Delivery.handle, HISTORY.find, HISTORY._evict_oldest
refusal_of = delivery_module._refusal


def handle_with_complete_history(self, event, now):
    if isinstance(event, messages.UnitTakenOverWithoutHistory):
        event = dataclasses.replace(event, wall=float("-inf"))
    return handle(self, event, now)


def find_finished(self, request_id):
    entry = find_entry(self, request_id)
    return entry if entry and entry.result is not None else None


def evict_without_recording(self):
    evict(self)
    self.evicted_until = float("-inf")


FAULTS = {
    "retry after bytes were sent": (
        delivery_module,
        "FAILURE_RULES",
        {**RULES, Failure.CONNECTION_LOST: RULES[Failure.CONNECTION_FAILED]},
    ),
    "takeover without history counts as complete": (
        Delivery,
        "handle",
        handle_with_complete_history,
    ),
    "resend does not join the copy in progress": (HISTORY, "find", find_finished),
    "evicted identifier counts as new": (
        HISTORY,
        "_evict_oldest",
        evict_without_recording,
    ),
    "earlier attempt that may have run is ignored": (
        delivery_module,
        "_refusal",
        lambda reason, **_: refusal_of(reason),
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_is_caught(fault, monkeypatch):
    """Guards against a property test that cannot detect violations."""
    monkeypatch.setattr(*FAULTS[fault])
    search = settings(SETTINGS, max_examples=3000, phases=[Phase.generate])
    assert find(schedules, run_schedule, settings=search)


OUTCOMES_OF_ONE_ATTEMPT = [
    # (failure, repeatable, outcome and reason, or None if the attempt is retried)
    (Failure.REFUSED, False, None),
    (Failure.DRAINING, False, None),
    (Failure.LEASE_NOT_HELD, True, None),
    (Failure.CONNECTION_FAILED, False, None),
    (Failure.CONNECTION_LOST, False, ("unknown", "endpoint_lost")),
    (Failure.CONNECTION_LOST, True, None),
    (Failure.ANSWER_INCOMPLETE, False, ("unknown", "answer_incomplete")),
    (Failure.ANSWER_INCOMPLETE, True, None),
    (Failure.DIGEST_MISMATCH, False, ("unknown", "answer_digest_mismatch")),
    (Failure.PROGRESS_TIMEOUT, False, ("unknown", "progress_timeout")),
    (Failure.PROGRESS_TIMEOUT, True, None),
    (Failure.ENDPOINT_EXITED, False, ("unknown", "endpoint_lost")),
    (Failure.ENDPOINT_EXITED, True, None),
    (Failure.DEADLINE_PASSED, True, ("unknown", "deadline_passed_in_flight")),
]


@pytest.mark.parametrize(("failure", "repeatable", "expected"), OUTCOMES_OF_ONE_ATTEMPT)
def test_outcome_of_a_failed_attempt(failure, repeatable, expected):
    """Guards against retries of work that may have run, and against missing ones."""
    sim = Simulation()
    ticket = sim.arrive(uuid7(sim.wall), repeatable=repeatable)
    sim.dispatch(failure)
    sim.end(0)
    assert sim.result(ticket) == expected
    assert len(sim.retry_timers) == (expected is None)
    sim.run_to_completion()
    assert sim.violations == []


@pytest.mark.parametrize(
    ("request_id", "expected"),
    [
        ("", ("not-run", "request_id_missing")),
        ("not-a-uuid", ("not-run", "request_id_invalid")),
        ("c56a4180-65aa-42ec-a945-5fd21dec0538", ("not-run", "request_id_invalid")),
        (lambda wall: uuid7(wall + 6.1), ("not-run", "request_id_skew")),
        (lambda wall: uuid7(wall + 5.1), ("unknown", "request_id_skew")),
        (lambda wall: uuid7(wall - 120.1), ("unknown", "request_id_expired")),
        (lambda wall: uuid7(wall - 2.0), ("unknown", "before_takeover")),
        (lambda wall: uuid7(wall + 4.9), None),
    ],
)
def test_rules_for_identifiers(request_id, expected):
    """Guards against accepting an identifier whose earlier run is not recorded."""
    sim = Simulation()  # Took over 6.5 s ago, with a clock tolerance of 6 s.
    text = request_id if isinstance(request_id, str) else request_id(sim.wall)
    ticket = sim.arrive(text)
    assert sim.result(ticket) == expected


def test_ids_of_a_library_that_runs_ahead_are_refused_with_both_times(monkeypatch):
    """Guards against a refusal that hides that the caller's library runs ahead."""
    sim = Simulation()
    monkeypatch.setattr("uuid6._last_v7_timestamp", None)
    monkeypatch.setattr(time, "time_ns", lambda: int(sim.wall * 1e9))
    for _ in range(10_000):
        sim.now += 1 / 5_000
        ticket = sim.arrive(str(uuid6.uuid7()))
        if sim.result(ticket) is not None:
            break
        sim.dispatch()
        sim.end(0)
    refusal = sim.replies[ticket]
    assert refusal.reason is RefusalReason.REQUEST_ID_SKEW
    ahead = re.search(r"identifier is (\S+) s ahead .* than 5 s", refusal.detail)
    assert float(ahead[1]) == pytest.approx(5.0, abs=0.01)
    times = re.findall(r"[\d-]+T[\d:.]+Z", refusal.detail)
    created, wall = (datetime.fromisoformat(text).timestamp() for text in times)
    assert wall == pytest.approx(sim.wall, abs=0.001)
    assert created - wall == pytest.approx(float(ahead[1]), abs=0.002)


def test_an_identifier_after_the_year_9999_is_refused_with_its_time():
    """Guards against an error instead of a refusal, as no date can hold the time."""
    sim = Simulation()
    ticket = sim.arrive("ffffffff-ffff-7000-8000-000000000000")
    assert sim.result(ticket) == ("not-run", "request_id_skew")
    assert "281474976710.655 s after 1970-01-01" in sim.replies[ticket].detail


@pytest.mark.parametrize("clock_lag", [0.0, 0.5, 0.99])
def test_no_second_run_if_the_next_coordinator_has_a_lagging_clock(clock_lag):
    """Guards against a second run after a takeover between differing clocks."""
    sim = Simulation()
    request_id = uuid7(sim.wall + 4.99)
    sim.arrive(request_id)
    sim.dispatch()
    sim.clock_lag = clock_lag
    sim.take_over()
    resent = sim.arrive(request_id)
    assert sim.result(resent)[0] == "unknown"
    sim.advance(1.0)
    sim.arrive(request_id)
    sim.run_to_completion()
    assert sim.violations == []


def test_resends_share_one_run_and_its_answer():
    """Guards against dispatching a resend while the first copy is in progress."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    first = sim.arrive(request_id)
    sim.dispatch()
    joined = sim.arrive(request_id.upper())
    sim.requests[joined] = sim.requests[first]
    sim.end(0)
    late = sim.arrive(request_id)
    assert {sim.result(item) for item in (first, joined, late)} == {"answered"}
    assert len(sim.ran) == 1


def test_identifier_reused_with_other_content_is_a_bad_request():
    """Guards against returning the answer to another request."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    sim.arrive(request_id, "a")
    other = sim.arrive(request_id, "b")
    assert sim.result(other) == ("not-run", "bad_request")


def test_number_of_waiting_copies_is_bounded():
    """Guards against unbounded memory under a resend storm."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    tickets = [
        sim.arrive(request_id) for _ in range(delivery_module.MAX_WAITING_COPIES + 1)
    ]
    assert sim.result(tickets[-1]) == ("unknown", "in_progress")


def test_evicted_identifier_is_unknown_and_a_newer_one_is_answered():
    """Guards against a second run of a request whose record was evicted."""
    sim = Simulation(max_entries=2)
    ids = [uuid7(sim.wall + number / 10, number) for number in range(3)]
    for number in range(3):
        sim.arrive(ids[number], str(number))
        sim.dispatch()
        sim.end(0)
    assert sim.result(sim.arrive(ids[0], "0")) == ("unknown", "answer_evicted")
    assert sim.result(sim.arrive(ids[2], "2")) == "answered"
    assert len(sim.ran) == 3


def test_retained_bytes_are_bounded_without_refusing_new_identifiers():
    """Guards against large answers that exhaust memory or block new requests."""
    history = request_history.RequestHistory(100, 1000, 120.0)
    for number in range(20):
        entry = request_history.HistoryEntry(
            f"id-{number}", WALL + number, "shop", 1, b"", number
        )
        assert history.add(entry)
        history.finish(entry, Answer(200, (), b"x" * (number * 20)))
        assert history.retained_bytes <= 1000
    assert len(history) == 20
    assert history.evicted_until == float("-inf")
    assert history.find("id-19").result.reason is RefusalReason.ANSWER_EVICTED
    history.expire(WALL + 139.5)
    assert (len(history), history.retained_bytes) == (0, 0)
    assert history.evicted_until == WALL + 19


def test_restarted_entry_is_not_evicted():
    """Guards against dispatching a resend while a copy is in progress."""
    history = request_history.RequestHistory(1, 1000, 120.0)
    first = request_history.HistoryEntry("id-1", WALL, "shop", 1, b"", 1)
    assert history.add(first)
    history.finish(first, Answer(200, (), b""))
    history.restart(first, 2)
    assert not history.add(
        request_history.HistoryEntry("id-2", WALL, "shop", 1, b"", 3)
    )
    assert history.find("id-1") is first


def test_refusal_after_an_attempt_that_may_have_run_is_unknown():
    """Guards against `not-run` from the last retry despite an earlier attempt."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    first = sim.fail_attempts(
        request_id, (Failure.CONNECTION_LOST, *[Failure.REFUSED] * 2)
    )
    assert sim.result(first) == ("unknown", "endpoint_refused")
    resent = sim.fail_attempts(request_id, [Failure.REFUSED] * 3)
    assert sim.result(resent) == ("unknown", "endpoint_refused")


def test_request_that_was_not_run_may_be_resent():
    """Guards against refusing a request for good after a temporary refusal."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    refused = sim.fail_attempts(request_id, [Failure.REFUSED] * 3, repeatable=False)
    assert sim.result(refused) == ("not-run", "endpoint_refused")
    resent = sim.fail_attempts(request_id, [None], repeatable=False)
    assert sim.result(resent) == "answered"


def test_retry_that_would_come_after_the_deadline_is_not_scheduled():
    """Guards against callers that wait for a retry that cannot be sent."""
    sim = Simulation()
    ticket = sim.arrive(repeatable=True, seconds=0.02)
    sim.dispatch(Failure.REFUSED)
    sim.end(0)
    assert sim.result(ticket) == ("not-run", "endpoint_refused")


def test_retries_are_limited_per_request_and_by_the_budget():
    """Guards against retry storms."""
    sim = Simulation()
    results = []
    for number in range(20):
        ticket = sim.arrive(content=str(number), repeatable=True)
        while ticket not in sim.replies:
            sim.dispatch(Failure.REFUSED)
            sim.end(0)
            sim.advance(0.5)
        results.append(sim.replies[ticket].reason)
    retries = delivery_module.MAX_RETRIES
    assert results[0] is RefusalReason.ENDPOINT_REFUSED
    assert results[-1] is RefusalReason.RETRY_BUDGET_EXHAUSTED
    assert results.count(RefusalReason.ENDPOINT_REFUSED) * retries <= 10 + 0.1 * 20


def test_request_that_crashes_endpoints_is_refused_and_others_are_cleared():
    """Guards against a request that crashes one endpoint after another."""
    sim = Simulation(slots=3)
    poison = sim.arrive(content="poison", repeatable=True)
    bystanders = [sim.arrive(content=name, repeatable=True) for name in "ab"]
    sim.dispatch(Failure.ENDPOINT_EXITED)
    sim.dispatch(Failure.CONNECTION_LOST)
    sim.dispatch(Failure.CONNECTION_LOST)
    sim.end(1)  # The connections fail before the exit is proven.
    sim.end(1)
    sim.end(0)
    sim.advance(1.0)
    while poison not in sim.replies:
        queued = sim.queue.next(sim.now)
        assert queued.isolated
        assert sim.queue.next(sim.now) is None
        sim.handle(messages.Dispatched(queued.ticket))
        failure = Failure.ENDPOINT_EXITED if queued.ticket == poison else None
        sim.sent[queued.ticket] = failure
        sim.ran.append(sim.run_key(queued.ticket))
        sim.end(0)
    sim.run_to_completion()
    assert sim.result(poison) == ("unknown", "crashes_endpoints")
    assert {sim.result(ticket) for ticket in bystanders} == {"answered"}
    resent = sim.arrive(content="poison", repeatable=True)
    assert sim.result(resent) == ("not-run", "crashes_endpoints")
    digest = sim.requests[bystanders[0]].digest
    assert sim.delivery._crash_guard.strikes("", digest, sim.now) == 0


def test_one_exit_adds_one_strike_and_memory_is_bounded():
    """Guards against several strikes for a popular request from a single exit."""
    sim = Simulation(slots=3)
    tickets = [sim.arrive(content="hot", repeatable=True) for _ in range(4)]
    for _ in tickets[:2]:
        sim.dispatch(Failure.ENDPOINT_EXITED)
    sim.end(0)
    later = sim.arrive(content="later", repeatable=True)
    sim.dispatch()  # Became a suspect in the queue, so it is requeued as isolated.
    assert tickets[2] not in sim.sent
    sim.queue.cancel(tickets[2])
    sim.queue.cancel(tickets[3])
    sim.dispatch()
    assert later in sim.sent
    sim.handle(messages.EndpointExited("shop-1", "process-1"))
    strikes = sim.delivery._crash_guard.strikes
    assert strikes("", sim.requests[0].digest, sim.now) == 1
    assert strikes("", sim.requests[later].digest, sim.now) == 0
    guard = crash_guard.CrashGuard()
    for number in range(crash_guard.MAX_TRACKED_SUBJECTS + 10):
        guard.add_strikes({str(number): ("shop", 1)}, 0.0)
    assert len(guard) == crash_guard.MAX_TRACKED_SUBJECTS
    later = crash_guard.STRIKE_LIFETIME_SECONDS
    assert guard.strikes(str(crash_guard.MAX_TRACKED_SUBJECTS), b"", later) == 0


def test_planned_move_keeps_the_history_and_accepts_new_requests():
    """Guards against unknown outcomes for seconds after a planned move."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    sim.arrive(request_id)
    sim.dispatch()
    sim.end(0)
    sim.move()
    assert sim.result(sim.arrive(request_id)) == "answered"
    fresh = sim.arrive(uuid7(sim.wall, 9), "fresh")
    sim.dispatch()
    sim.end(0)
    assert sim.result(fresh) == "answered"
    assert len(sim.ran) == 2


def test_exported_history_contains_requests_in_progress():
    """Guards against a second run when a unit moves before it is drained."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    sim.arrive(request_id)
    sim.dispatch()
    sim.take_over(sim.delivery.export_unit("shop", 1, sim.wall))
    resent = sim.arrive(request_id)
    assert sim.result(resent) == ("unknown", "in_progress")
    # The request in progress does not delay a new identifier.
    fresh = uuid7(sim.wall + 0.1, number=1)
    sim.arrive(fresh)
    sim.dispatch()
    assert [name for name, _ in sim.ran] == [request_id, fresh]


def test_request_that_waits_for_a_retry_is_refused_when_its_unit_moves():
    """Guards against an unknown outcome for a request that was never run."""
    sim = Simulation()
    request_id = uuid7(sim.wall)
    ticket = sim.arrive(request_id)
    sim.dispatch(Failure.REFUSED)
    sim.end(0)
    sim.handle(messages.UnitMoving("shop", 1))
    assert sim.result(ticket) == ("not-run", "unit_moving")
    history = sim.delivery.export_unit("shop", 1, sim.wall)
    assert history.requests == ()


def test_late_history_does_not_hide_runs_of_an_intermediate_coordinator():
    """Guards against a delayed history that makes used identifiers look new."""
    sim = Simulation()
    history = sim.delivery.export_unit("shop", 1, sim.wall)
    request_id = uuid7(sim.wall)
    sim.arrive(request_id)
    sim.dispatch()
    sim.take_over()
    sim.handle(history)
    resent = sim.arrive(request_id)
    assert sim.result(resent) == ("unknown", "before_takeover")


def test_each_reason_has_a_description_and_a_status():
    """Guards against a reason without a status, a description or a failure rule."""
    assert set(REFUSALS) == set(RefusalReason)
    for reason in RefusalReason:
        assert (reason.status == 504) == (reason.outcome is Outcome.UNKNOWN)
        assert reason.status in {400, 413, 429, 431, 503, 504}
    for member in (*Outcome, *RefusalReason, *RetryReason):
        assert member.description.endswith(".")
    assert set(delivery_module.FAILURE_RULES) == set(Failure)
