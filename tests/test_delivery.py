"""Life of a request at its coordinator: outcomes, resends, retries, crash guard."""

import dataclasses
import random
from collections import Counter

import pytest
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


class World:
    """Coordinators, one after the other, and an endpoint that logs what it ran."""

    def __init__(self, max_entries=50, slots=2):
        self.now = 100.0
        self.max_entries, self.slots = max_entries, slots
        self.rng = random.Random(5)
        self.ran = []  # (request identifier or ticket, digest) of each run
        self.sent, self.replies, self.requests = {}, {}, {}
        self.timers, self.problems, self.gone = [], [], set()
        self.exits = 0
        self.behind = 0.0  # How far this coordinator's wall clock is behind.
        self.take_over()
        self.now += 6.5

    @property
    def wall(self):
        return WALL + self.now - self.behind

    def take_over(self, history=None):
        """A new coordinator begins, without the memory of the one before if lost."""
        self.gone |= set(self.requests) - set(self.replies)
        self.delivery = Delivery(
            self.rng, self.max_entries, max_bytes=4000, limits=LIMITS
        )
        self.queue = EndpointQueue(8, FixedLimit(self.slots))
        self.sent, self.timers = {}, []
        self.handle(history or messages.UnitTakenOver("shop", 1, self.wall))

    def move(self):
        """The unit's history goes to the next coordinator after a planned drain."""
        while self.sent:
            self.end(0)
        for queued in self.queue.take_all():
            self.handle(
                messages.DroppedFromQueue(queued.ticket, RefusalReason.UNIT_MOVING)
            )
        for _, ticket in self.timers:
            self.handle(messages.DroppedFromQueue(ticket, RefusalReason.UNIT_MOVING))
        history = self.delivery.export_unit("shop", 1, self.wall)
        self.handle(messages.UnitReleased("shop", 1))
        self.take_over(history)

    def arrive(self, request_id="", content="a", repeatable=False, seconds=10.0):
        ticket = len(self.requests)
        kind = "browse" if repeatable else "swap"
        digest = content_digest("shop", kind, "key", content.encode())
        who = ("shop", 1, "shop-1", kind, Rank.NORMAL, repeatable, "caller", digest)
        request = messages.Request(*who, self.now + seconds, request_id)
        self.requests[ticket] = request
        self.handle(messages.Arrived(ticket, request, self.wall))
        return ticket

    def dispatch(self, failure=None, runs=True):
        """Send the next request; `failure` is how the attempt will end."""
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
                self.ran.append(self.name(queued.ticket))
                copies = Counter(self.ran)[self.name(queued.ticket)]
                if copies > 1 and not request.repeatable:
                    self.problems.append(f"{request.request_id} ran {copies} times")
        self.carry_out(actions)

    def fail(self, request_id, failures, repeatable=True):
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
            body = repr(self.name(ticket)).encode()
            self.handle(messages.Answered(ticket, Answer(200, (), body)))
            return
        if failure is Failure.ENDPOINT_EXITED:
            self.exits += 1
            self.handle(messages.EndpointExited("shop-1", f"process-{self.exits}"))
        self.handle(messages.AttemptFailed(ticket, failure))

    def advance(self, seconds):
        self.now += seconds
        due = [ticket for at, ticket in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for ticket in due:
            self.handle(messages.RetryDue(ticket))
        self.expire()
        self.handle(messages.Tick(self.wall))

    def expire(self):
        self.left_queue(self.queue.expire(self.now))

    def left_queue(self, dropped):
        for shed in dropped:
            self.handle(messages.DroppedFromQueue(shed.request.ticket, shed.reason))

    def leave(self, index):
        waiting = sorted(set(self.requests) - set(self.replies) - self.gone)
        if waiting:
            ticket = waiting[index % len(waiting)]
            self.gone.add(ticket)
            self.handle(messages.CallerLeft(ticket))

    def settle(self):
        """Let everything end and check that each waiting copy has its reply."""
        for _ in range(200):
            if not len(self.delivery):
                break
            self.dispatch()
            self.end(0)
            self.advance(0.2)
        unanswered = set(self.requests) - set(self.replies) - self.gone
        if unanswered or len(self.delivery) or self.queue.in_flight:
            self.problems.append(f"no reply for tickets {sorted(unanswered)}")

    def name(self, ticket):
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
                    self.timers.append((at, ticket))
                case messages.CancelQueued(_, ticket):
                    self.queue.cancel(ticket)
                case messages.ReplyAnswer(ticket, answer):
                    self.reply(ticket, answer)
                    if answer.body != repr(self.name(ticket)).encode():
                        self.problems.append(f"ticket {ticket} got another answer")
                case messages.ReplyRefusal(ticket, refusal):
                    self.reply(ticket, refusal)
                    ran = self.name(ticket) in self.ran
                    if refusal.outcome is Outcome.NOT_RUN and ran:
                        self.problems.append(f"{refusal.reason} of a request that ran")

    def reply(self, ticket, result):
        if ticket in self.replies or ticket in self.gone:
            self.problems.append(f"ticket {ticket} has two replies or left")
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
    """Return the promises that are broken in a schedule of arrivals and faults."""
    world = World(max_entries)
    identifiers = {}
    for name, *arguments in schedule:
        if name in ("arrive", "serve"):
            number, detail = arguments
            skew = detail if name == "arrive" else 0.0
            created = identifiers.setdefault(number, world.wall + skew)
            world.arrive(uuid7(created, number), f"content-{number}", number > 3)
            if name == "serve":
                world.dispatch(detail)
                world.end(0)
                world.advance(0.2)
        elif name == "renew":
            identifiers.clear()
        elif name == "anonymous":
            world.arrive("", "anonymous", repeatable=True)
        else:
            getattr(world, name)(*arguments)
    world.settle()
    return world.problems


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


def handle_without_take_over(self, event, now):
    if isinstance(event, messages.UnitTakenOver):
        event = dataclasses.replace(event, wall=float("-inf"))
    return handle(self, event, now)


def find_finished(self, request_id):
    entry = find_entry(self, request_id)
    return entry if entry and entry.result is not None else None


def evict_without_mark(self):
    evict(self)
    self.evicted_until = float("-inf")


FAULTS = {
    "retry after bytes were sent": (
        delivery_module,
        "FAILURE_RULES",
        {**RULES, Failure.CONNECTION_LOST: RULES[Failure.CONNECTION_FAILED]},
    ),
    "history lost at a take-over": (Delivery, "handle", handle_without_take_over),
    "resend not joined": (HISTORY, "find", find_finished),
    "resend new after eviction": (HISTORY, "_evict_oldest", evict_without_mark),
    "first attempt forgotten": (
        delivery_module,
        "_refusal",
        lambda reason, **_: refusal_of(reason),
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_is_caught(fault, monkeypatch):
    """Guards against a property test that cannot fail."""
    monkeypatch.setattr(*FAULTS[fault])
    search = settings(SETTINGS, max_examples=3000, phases=[Phase.generate])
    assert find(schedules, run_schedule, settings=search)


OUTCOMES_OF_ONE_ATTEMPT = [
    # failure, repeatable: None if it is retried, else the outcome
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
    """Guards against a retry of work that may have run, and against lost retries."""
    world = World()
    ticket = world.arrive(uuid7(world.wall), repeatable=repeatable)
    world.dispatch(failure)
    world.end(0)
    assert world.result(ticket) == expected
    assert len(world.timers) == (expected is None)
    world.settle()
    assert world.problems == []


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
    """Guards against an identifier that hides an earlier run."""
    world = World()  # Took over 6.5 s ago; an allowance of 6 s applies.
    text = request_id if isinstance(request_id, str) else request_id(world.wall)
    ticket = world.arrive(text)
    assert world.result(ticket) == expected


@pytest.mark.parametrize("behind", [0.0, 0.5, 0.99])
def test_next_coordinator_may_have_a_clock_that_is_behind(behind):
    """Guards against a second run after a take-over between differing clocks."""
    world = World()
    request_id = uuid7(world.wall + 4.99)
    world.arrive(request_id)
    world.dispatch()
    world.behind = behind
    world.take_over()
    resent = world.arrive(request_id)
    assert world.result(resent)[0] == "unknown"
    world.advance(1.0)
    world.arrive(request_id)
    world.settle()
    assert world.problems == []


def test_resends_share_one_run_and_its_answer():
    """Guards against a resend that is dispatched beside the first copy."""
    world = World()
    request_id = uuid7(world.wall)
    first = world.arrive(request_id)
    world.dispatch()
    joined = world.arrive(request_id.upper())
    world.requests[joined] = world.requests[first]
    world.end(0)
    late = world.arrive(request_id)
    assert {world.result(item) for item in (first, joined, late)} == {"answered"}
    assert len(world.ran) == 1


def test_identifier_with_other_content_is_a_bad_request():
    """Guards against answering one request with the answer to another."""
    world = World()
    request_id = uuid7(world.wall)
    world.arrive(request_id, "a")
    other = world.arrive(request_id, "b")
    assert world.result(other) == ("not-run", "bad_request")


def test_copies_that_wait_for_one_result_are_bounded():
    """Guards against unbounded memory under a resend storm."""
    world = World()
    request_id = uuid7(world.wall)
    tickets = [world.arrive(request_id) for _ in range(delivery_module.MAX_COPIES + 1)]
    assert world.result(tickets[-1]) == ("unknown", "in_progress")


def test_evicted_identifier_is_unknown_and_a_younger_one_runs():
    """Guards against a second run of a request whose record was evicted."""
    world = World(max_entries=2)
    ids = [uuid7(world.wall + number / 10, number) for number in range(3)]
    for number in range(3):
        world.arrive(ids[number], str(number))
        world.dispatch()
        world.end(0)
    assert world.result(world.arrive(ids[0], "0")) == ("unknown", "answer_evicted")
    assert world.result(world.arrive(ids[2], "2")) == "answered"
    assert len(world.ran) == 3


def test_retained_bytes_are_bounded_without_refusing_new_identifiers():
    """Guards against large answers that use up memory or block new requests."""
    history = request_history.RequestHistory(100, 1000, 120.0)
    for number in range(20):
        entry = request_history.Entry(
            f"id-{number}", WALL + number, "shop", 1, b"", number
        )
        assert history.begin(entry)
        history.finish(entry, Answer(200, (), b"x" * (number * 20)))
        assert history.bytes_retained <= 1000
    assert len(history) == 20
    assert history.evicted_until == float("-inf")
    assert history.find("id-19").result.reason is RefusalReason.ANSWER_EVICTED
    history.expire(WALL + 139.5)
    assert (len(history), history.bytes_retained) == (0, 0)
    assert history.evicted_until == WALL + 19


def test_identifier_in_progress_again_is_not_evicted():
    """Guards against a resend that is dispatched beside a copy in progress."""
    history = request_history.RequestHistory(1, 1000, 120.0)
    first = request_history.Entry("id-1", WALL, "shop", 1, b"", 1)
    assert history.begin(first)
    history.finish(first, Answer(200, (), b""))
    history.begin_again(first, 2)
    assert not history.begin(request_history.Entry("id-2", WALL, "shop", 1, b"", 3))
    assert history.find("id-1") is first


def test_not_run_after_an_attempt_that_may_have_run_is_unknown():
    """Guards against a refusal at the last retry that hides an earlier attempt."""
    world = World()
    request_id = uuid7(world.wall)
    first = world.fail(request_id, (Failure.CONNECTION_LOST, *[Failure.REFUSED] * 2))
    assert world.result(first) == ("unknown", "endpoint_refused")
    resent = world.fail(request_id, [Failure.REFUSED] * 3)
    assert world.result(resent) == ("unknown", "endpoint_refused")


def test_request_that_was_not_run_may_be_resent():
    """Guards against a caller that can never run a request that was refused."""
    world = World()
    request_id = uuid7(world.wall)
    refused = world.fail(request_id, [Failure.REFUSED] * 3, repeatable=False)
    assert world.result(refused) == ("not-run", "endpoint_refused")
    resent = world.fail(request_id, [None], repeatable=False)
    assert world.result(resent) == "answered"


def test_retry_that_would_come_after_the_deadline_is_not_scheduled():
    """Guards against callers that wait for a retry that cannot happen."""
    world = World()
    ticket = world.arrive(repeatable=True, seconds=0.02)
    world.dispatch(Failure.REFUSED)
    world.end(0)
    assert world.result(ticket) == ("not-run", "endpoint_refused")


def test_retries_stop_at_the_budget_and_at_two():
    """Guards against retry storms."""
    world = World()
    results = []
    for number in range(20):
        ticket = world.arrive(content=str(number), repeatable=True)
        while ticket not in world.replies:
            world.dispatch(Failure.REFUSED)
            world.end(0)
            world.advance(0.5)
        results.append(world.replies[ticket].reason)
    retries = delivery_module.MAX_RETRIES
    assert results[0] is RefusalReason.ENDPOINT_REFUSED
    assert results[-1] is RefusalReason.RETRY_BUDGET_EXHAUSTED
    assert results.count(RefusalReason.ENDPOINT_REFUSED) * retries <= 10 + 0.1 * 20


def test_request_that_crashes_endpoints_is_refused_and_bystanders_are_cleared():
    """Guards against a request that takes down one endpoint after the other."""
    world = World(slots=3)
    poison = world.arrive(content="poison", repeatable=True)
    bystanders = [world.arrive(content=name, repeatable=True) for name in "ab"]
    world.dispatch(Failure.ENDPOINT_EXITED)
    world.dispatch(Failure.CONNECTION_LOST)
    world.dispatch(Failure.CONNECTION_LOST)
    world.end(1)  # The connections break before the exit is proved.
    world.end(1)
    world.end(0)
    world.advance(1.0)
    while poison not in world.replies:
        queued = world.queue.next(world.now)
        assert queued.alone
        assert world.queue.next(world.now) is None
        world.handle(messages.Dispatched(queued.ticket))
        failure = Failure.ENDPOINT_EXITED if queued.ticket == poison else None
        world.sent[queued.ticket] = failure
        world.ran.append(world.name(queued.ticket))
        world.end(0)
    world.settle()
    assert world.result(poison) == ("unknown", "crashes_endpoints")
    assert {world.result(ticket) for ticket in bystanders} == {"answered"}
    resent = world.arrive(content="poison", repeatable=True)
    assert world.result(resent) == ("not-run", "crashes_endpoints")
    digest = world.requests[bystanders[0]].digest
    assert world.delivery._guard.strikes("", digest, world.now) == 0


def test_one_exit_gives_one_strike_and_memory_is_bounded():
    """Guards against innocent copies of a hot request that share one exit."""
    world = World(slots=3)
    tickets = [world.arrive(content="hot", repeatable=True) for _ in range(4)]
    for _ in tickets[:2]:
        world.dispatch(Failure.ENDPOINT_EXITED)
    world.end(0)
    later = world.arrive(content="later", repeatable=True)
    world.dispatch()  # Queued as one of several; a suspect now, so it waits alone.
    assert tickets[2] not in world.sent
    world.queue.cancel(tickets[2])
    world.queue.cancel(tickets[3])
    world.dispatch()
    assert later in world.sent
    world.handle(messages.EndpointExited("shop-1", "process-1"))
    strikes = world.delivery._guard.strikes
    assert strikes("", world.requests[0].digest, world.now) == 1
    assert strikes("", world.requests[later].digest, world.now) == 0
    guard = crash_guard.CrashGuard()
    for number in range(crash_guard.MAX_SUSPECTS + 10):
        guard.add_strikes({str(number): ("shop", 1)}, 0.0)
    assert len(guard) == crash_guard.MAX_SUSPECTS
    later = crash_guard.SUSPECT_SECONDS
    assert guard.strikes(str(crash_guard.MAX_SUSPECTS), b"", later) == 0


def test_planned_move_keeps_the_history_and_refuses_nothing():
    """Guards against a planned move that makes new requests unknown for seconds."""
    world = World()
    request_id = uuid7(world.wall)
    world.arrive(request_id)
    world.dispatch()
    world.end(0)
    world.move()
    assert world.result(world.arrive(request_id)) == "answered"
    fresh = world.arrive(uuid7(world.wall, 9), "fresh")
    world.dispatch()
    world.end(0)
    assert world.result(fresh) == "answered"
    assert len(world.ran) == 2


def test_moved_history_marks_what_is_still_in_progress():
    """Guards against a second run when a unit is moved before it was drained."""
    world = World()
    request_id = uuid7(world.wall)
    world.arrive(request_id)
    world.dispatch()
    world.take_over(world.delivery.export_unit("shop", 1, world.wall))
    resent = world.arrive(request_id)
    assert world.result(resent) == ("unknown", "in_progress")
    # A new identifier is not held back by the one in progress.
    fresh = uuid7(world.wall + 0.1, number=1)
    world.arrive(fresh)
    world.dispatch()
    assert [name for name, _ in world.ran] == [request_id, fresh]


def test_request_that_waits_for_a_retry_can_go_to_the_next_coordinator():
    """Guards against an unknown outcome of a request that was never run."""
    world = World()
    request_id = uuid7(world.wall)
    ticket = world.arrive(request_id)
    world.dispatch(Failure.REFUSED)
    world.end(0)
    world.handle(messages.UnitMoving("shop", 1))
    assert world.result(ticket) == ("not-run", "unit_moving")
    history = world.delivery.export_unit("shop", 1, world.wall)
    assert history.requests == ()


def test_late_history_does_not_hide_runs_of_a_coordinator_in_between():
    """Guards against a delayed message that makes unknown identifiers look new."""
    world = World()
    history = world.delivery.export_unit("shop", 1, world.wall)
    request_id = uuid7(world.wall)
    world.arrive(request_id)
    world.dispatch()
    world.take_over()
    world.handle(history)
    resent = world.arrive(request_id)
    assert world.result(resent) == ("unknown", "before_takeover")


def test_each_reason_is_described_and_mapped():
    """Guards against a reason without a counter name, a status or documentation."""
    assert set(REFUSALS) == set(RefusalReason)
    for reason in RefusalReason:
        assert (reason.status == 504) == (reason.outcome is Outcome.UNKNOWN)
        assert reason.status in {400, 413, 429, 431, 503, 504}
    for member in (*Outcome, *RefusalReason, *RetryReason):
        assert member.description.endswith(".")
    assert set(delivery_module.FAILURE_RULES) == set(Failure)
