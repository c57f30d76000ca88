"""Life of each request at the coordinator of its unit.

Invariants:
- A request of a kind that may not be repeated is sent again only if the endpoint
  said that it did not run it, or if no byte of it was sent.
- A caller is told `not-run` only if no attempt under the request's identifier may
  have run, as far back as the history is complete. Where it is not, the answer is
  `unknown`.
- A copy that arrives while another copy is in progress waits for its result; it is
  never dispatched on its own.
- Everything kept is bounded.

Times are seconds: `now` of the coordinator's monotonic clock, `wall` of its wall
clock, which is compared with the times in request identifiers only.
"""

import collections
import dataclasses
import enum
from typing import Self

from arbutusflow.domain.admission import QueuedRequest
from arbutusflow.domain.configuration import Limits
from arbutusflow.domain.crash_guard import (
    MAX_STRIKES,
    CrashGuard,
    StrikeRecord,
    Subject,
    UnitId,
)
from arbutusflow.domain.delivery_messages import (
    Action,
    Answer,
    Answered,
    Arrived,
    AttemptFailed,
    CallerLeft,
    CancelAttempt,
    CancelQueued,
    Dispatched,
    DroppedFromQueue,
    EndpointExited,
    Enqueue,
    Event,
    Failure,
    ReplyAnswer,
    ReplyRefusal,
    Request,
    RequestRecord,
    RetryDue,
    ScheduleRetry,
    Send,
    StrikesImported,
    Tick,
    UnitHistoryImported,
    UnitMoving,
    UnitReleased,
    UnitTakenOver,
)
from arbutusflow.domain.limits import RandomSource, RetryBudget, backoff_seconds
from arbutusflow.domain.reasons import Outcome, Refusal, RefusalReason, RetryReason
from arbutusflow.domain.request_history import (
    IN_PROGRESS,
    Entry,
    RequestHistory,
    created_seconds,
)

REQUEST_ID_LIFETIME_SECONDS = 120.0
RETAINED_BYTES = 16 * 1024 * 1024
REPEATABLE_SHARE = 5  # Entries of repeatable kinds: a fifth of the configured number.
MAX_RETRIES = 2
MAX_COPIES = 8  # Copies that wait for one result; a caller resends a few times.
# A lost connection is often seen before the proof that the endpoint exited.
LOST_BEFORE_EXIT_SECONDS = 5.0
MAX_LOST = 1024

RETRY_AFTER_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRule:
    """What a failed attempt means: the reasons, and whether it may have run."""

    refusal: RefusalReason
    retry: RetryReason | None
    may_have_run: bool


FAILURE_RULES = {
    Failure.REFUSED: FailureRule(
        RefusalReason.ENDPOINT_REFUSED, RetryReason.ENDPOINT_REFUSED, False
    ),
    Failure.DRAINING: FailureRule(
        RefusalReason.ENDPOINT_DRAINING, RetryReason.ENDPOINT_DRAINING, False
    ),
    Failure.LEASE_NOT_HELD: FailureRule(
        RefusalReason.LEASE_NOT_HELD, RetryReason.LEASE_NOT_HELD, False
    ),
    Failure.CONNECTION_FAILED: FailureRule(
        RefusalReason.CONNECTION_FAILED, RetryReason.CONNECTION_FAILED, False
    ),
    Failure.CONNECTION_LOST: FailureRule(
        RefusalReason.ENDPOINT_LOST, RetryReason.ENDPOINT_LOST, True
    ),
    Failure.ANSWER_INCOMPLETE: FailureRule(
        RefusalReason.ANSWER_INCOMPLETE, RetryReason.ANSWER_INCOMPLETE, True
    ),
    Failure.DIGEST_MISMATCH: FailureRule(
        RefusalReason.ANSWER_DIGEST_MISMATCH, RetryReason.ANSWER_DIGEST_MISMATCH, True
    ),
    Failure.PROGRESS_TIMEOUT: FailureRule(
        RefusalReason.PROGRESS_TIMEOUT, RetryReason.PROGRESS_TIMEOUT, True
    ),
    Failure.DEADLINE_PASSED: FailureRule(
        RefusalReason.DEADLINE_PASSED_IN_FLIGHT, None, True
    ),
    Failure.ENDPOINT_EXITED: FailureRule(
        RefusalReason.ENDPOINT_LOST, RetryReason.ENDPOINT_LOST, True
    ),
}


class _State(enum.Enum):
    QUEUED = enum.auto()
    IN_FLIGHT = enum.auto()
    WAITING_FOR_RETRY = enum.auto()


@dataclasses.dataclass(slots=True)
class _Pending:
    ticket: int
    request: Request
    entry: Entry | None
    copies: list[int]
    may_have_run: bool
    state: _State = _State.QUEUED
    attempts: int = 0
    retries: int = 0
    alone: bool = False
    struck: bool = False

    @property
    def unit(self) -> UnitId:
        """Unit with which strikes against the request travel."""
        return self.request.service, self.request.unit

    @property
    def subjects(self) -> set[Subject]:
        """Names under which the crash guard knows the request."""
        request_id = self.request.request_id.lower()
        return (
            {self.request.digest, request_id} if request_id else {self.request.digest}
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Lost:
    endpoint: str
    since: float
    subjects: frozenset[Subject]
    unit: UnitId


class Delivery:
    """Decides for each request: queue, send, retry, join, answer or refuse.

    One object serves all endpoints that an instance coordinates.
    """

    def __init__(
        self,
        rng: RandomSource,
        max_entries: int,
        max_bytes: int = RETAINED_BYTES,
        lifetime_seconds: float = REQUEST_ID_LIFETIME_SECONDS,
        limits: Limits = Limits(),  # noqa: B008 - frozen
    ) -> None:
        self._rng = rng
        self._skew_seconds = limits.request_id_skew_ms / 1000
        self._allowance_seconds = _allowance_seconds(limits)
        # Repeatable kinds have a table of their own: their traffic must not evict
        # what protects kinds that may not be repeated. Their answers are not kept,
        # and an eviction only turns a later `not-run` into `unknown`.
        self._once = RequestHistory(max_entries, max_bytes, lifetime_seconds)
        self._repeatable = RequestHistory(
            _repeatable_entries(max_entries), 0, lifetime_seconds
        )
        self._lifetime_seconds = lifetime_seconds
        self._complete_after: dict[tuple[str, int], float] = {}
        self._pending: dict[int, _Pending] = {}
        self._first_ticket: dict[int, int] = {}
        self._in_flight: dict[str, dict[int, None]] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._guard = CrashGuard()
        self._lost: collections.deque[_Lost] = collections.deque(maxlen=MAX_LOST)
        self._exited: dict[str, str] = {}

    @classmethod
    def from_config(cls, limits: Limits, rng: RandomSource) -> Self:
        """Return an empty state with the configured bounds."""
        return cls(rng, limits.retained_answers, limits=limits)

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._pending)

    def is_pending(self, ticket: int) -> bool:
        """Tell whether a request that is in progress goes by this ticket."""
        return ticket in self._pending

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event in and return what to do, in this order."""
        match event:
            case Arrived(ticket, request, wall):
                return self._arrived(ticket, request, wall, now)
            case Dispatched(ticket):
                return self._dispatched(ticket, now)
            case DroppedFromQueue(ticket, reason):
                return self._left_queue(ticket, reason)
            case Answered(ticket, answer):
                return self._answered(ticket, answer)
            case AttemptFailed(ticket, failure):
                return self._attempt_failed(ticket, failure, now)
            case EndpointExited(endpoint, incarnation):
                if self._exited.get(endpoint) != incarnation:
                    self._exited[endpoint] = incarnation
                    self._strike(endpoint, now)
                return []
            case RetryDue(ticket):
                return self._retry_due(ticket, now)
            case CallerLeft(ticket):
                return self._caller_left(ticket)
            case UnitTakenOver(service, unit, wall):
                # An identifier of up to the skew in the future was accepted before.
                self._complete_after[service, unit] = wall + self._allowance_seconds
                return []
            case UnitHistoryImported(service, unit, complete_after, requests):
                # A history that arrives after the unit was taken without it may miss
                # what a coordinator in between ran.
                self._complete_after.setdefault((service, unit), complete_after)
                for known in requests:
                    history = self._repeatable if known.repeatable else self._once
                    history.adopt(service, unit, known)
                return []
            case StrikesImported(service, unit, strikes):
                self._guard.adopt((service, unit), strikes, now)
                return []
            case UnitMoving(service, unit):
                return self._unit_moving(service, unit)
            case UnitReleased(service, unit):
                self._complete_after.pop((service, unit), None)
                return []
            case Tick(wall):
                self._once.expire(wall)
                self._repeatable.expire(wall)
                return []

    def configure(self, limits: Limits) -> None:
        """Apply changed bounds; entries beyond them leave with the next requests."""
        self._once.max_entries = limits.retained_answers
        self._repeatable.max_entries = _repeatable_entries(limits.retained_answers)
        self._skew_seconds = limits.request_id_skew_ms / 1000
        # Identifiers that were accepted under a larger skew may still be resent.
        self._allowance_seconds = max(
            self._allowance_seconds, _allowance_seconds(limits)
        )

    def export_unit(self, service: str, unit: int, wall: float) -> UnitHistoryImported:
        """Return the history of a unit for its next coordinator.

        Requests that are still in progress count as unknown there, so a unit that
        was not drained is safe, too.
        """
        unannounced = wall + self._allowance_seconds
        complete_after = self._complete_after.get((service, unit), unannounced)
        known: list[RequestRecord] = []
        for history, repeatable in ((self._once, False), (self._repeatable, True)):
            known += history.export(service, unit, repeatable=repeatable)
            complete_after = max(complete_after, history.evicted_until)
        return UnitHistoryImported(service, unit, complete_after, tuple(known))

    def export_strikes(
        self, service: str, unit: int, now: float
    ) -> tuple[StrikeRecord, ...]:
        """Return the strikes of a unit for its next coordinator."""
        return self._guard.export((service, unit), now)

    def _arrived(
        self, ticket: int, request: Request, wall: float, now: float
    ) -> list[Action]:
        if not request.request_id:
            if not request.repeatable:
                return [_refuse(ticket, RefusalReason.REQUEST_ID_MISSING)]
            return self._begin(ticket, request, None, False, now)
        created = created_seconds(request.request_id)
        if created is None:
            return [_refuse(ticket, RefusalReason.REQUEST_ID_INVALID)]
        request_id = request.request_id.lower()
        entry = self._once.find(request_id) or self._repeatable.find(request_id)
        if entry is not None:
            return self._resent(ticket, request, entry, now)
        if created > wall + self._skew_seconds:
            # An earlier coordinator may have accepted it by a clock that was ahead.
            accepted = created <= wall + self._allowance_seconds
            reason = RefusalReason.REQUEST_ID_SKEW
            return [_refuse(ticket, reason, may_have_run=accepted)]
        unknown = self._why_unknown(request, created, wall)
        if unknown is not None and not request.repeatable:
            return [_refuse(ticket, unknown)]
        entry = Entry(
            request_id, created, request.service, request.unit, request.digest, ticket
        )
        if not self._history(request).begin(entry):
            return [
                _refuse(ticket, RefusalReason.QUEUE_FULL, may_have_run=bool(unknown))
            ]
        return self._begin(ticket, request, entry, unknown is not None, now)

    def _why_unknown(
        self, request: Request, created: float, wall: float
    ) -> RefusalReason | None:
        """Return why an unknown identifier may have been used before, if it may."""
        if created < wall - self._lifetime_seconds:
            return RefusalReason.REQUEST_ID_EXPIRED
        # A unit that was never announced counts as taken over now.
        complete_after = self._complete_after.setdefault(
            (request.service, request.unit), wall + self._allowance_seconds
        )
        if created <= complete_after:
            return RefusalReason.BEFORE_TAKEOVER
        if created <= self._history(request).evicted_until:
            return RefusalReason.ANSWER_EVICTED
        return None

    def _history(self, request: Request) -> RequestHistory:
        return self._repeatable if request.repeatable else self._once

    def _resent(
        self, ticket: int, request: Request, entry: Entry, now: float
    ) -> list[Action]:
        if entry.digest != request.digest:
            return [
                _refuse(
                    ticket,
                    RefusalReason.BAD_REQUEST,
                    detail="The request identifier was used with other content.",
                )
            ]
        if entry.result is IN_PROGRESS:
            pending = self._pending[entry.ticket]
            if len(pending.copies) >= MAX_COPIES:
                return [_refuse(ticket, RefusalReason.IN_PROGRESS)]
            pending.copies.append(ticket)
            self._first_ticket[ticket] = pending.ticket
            return []
        if request.repeatable and self._repeatable.find(entry.request_id) is entry:
            self._repeatable.begin_again(entry, ticket)
            return self._begin(ticket, request, entry, True, now)
        if isinstance(entry.result, Answer):
            return [ReplyAnswer(ticket, entry.result)]
        return [ReplyRefusal(ticket, entry.result)]

    def _begin(
        self,
        ticket: int,
        request: Request,
        entry: Entry | None,
        may_have_run: bool,
        now: float,
    ) -> list[Action]:
        pending = _Pending(ticket, request, entry, [ticket], may_have_run)
        self._pending[ticket] = pending
        self._first_ticket[ticket] = ticket
        if self._strikes(pending, now) >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        self._budget(request.service).request()
        return self._enqueue(pending, now)

    def _enqueue(self, pending: _Pending, now: float) -> list[Action]:
        pending.state = _State.QUEUED
        pending.alone = self._strikes(pending, now) > 0
        request = pending.request
        queued = QueuedRequest(
            pending.ticket,
            request.rank,
            request.caller,
            request.unit,
            request.deadline,
            request.kind,
            pending.alone,
        )
        return [Enqueue(request.endpoint, queued)]

    def _dispatched(self, ticket: int, now: float) -> list[Action]:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is not _State.QUEUED:
            return []
        strikes = self._strikes(pending, now)
        if strikes >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        if strikes and not pending.alone:
            return self._enqueue(pending, now)
        if pending.request.deadline <= now:
            return self._refuse_all(pending, RefusalReason.DEADLINE_PASSED)
        pending.state = _State.IN_FLIGHT
        pending.struck = False
        pending.attempts += 1
        in_flight = self._in_flight.setdefault(pending.request.endpoint, {})
        in_flight[ticket] = None
        return [Send(ticket, pending.attempts)]

    def _left_queue(self, ticket: int, reason: RefusalReason) -> list[Action]:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is _State.IN_FLIGHT:
            return []
        return self._refuse_all(pending, reason)

    def _unit_moving(self, service: str, unit: int) -> list[Action]:
        """Refuse what waits for a retry; it would count as in progress elsewhere."""
        waiting = [
            pending
            for pending in self._pending.values()
            if (pending.request.service, pending.request.unit) == (service, unit)
            and pending.state is _State.WAITING_FOR_RETRY
        ]
        actions: list[Action] = []
        for pending in waiting:
            actions += self._refuse_all(pending, RefusalReason.UNIT_MOVING)
        return actions

    def _answered(self, ticket: int, answer: Answer) -> list[Action]:
        pending = self._end_attempt(ticket)
        if pending is None:
            return []
        if pending.alone:
            request = pending.request
            self._guard.clear(request.request_id.lower(), request.digest)
        if pending.entry is not None:
            self._history(pending.request).finish(pending.entry, answer)
        copies = self._end(pending)
        return [ReplyAnswer(copy, answer) for copy in copies]

    def _attempt_failed(
        self, ticket: int, failure: Failure, now: float
    ) -> list[Action]:
        if failure is Failure.ENDPOINT_EXITED and ticket in self._pending:
            self._strike(self._pending[ticket].request.endpoint, now)
        pending = self._end_attempt(ticket)
        if pending is None:
            return []
        rule = FAILURE_RULES[failure]
        pending.may_have_run = pending.may_have_run or rule.may_have_run
        if rule.may_have_run and not pending.struck:
            subjects = frozenset(pending.subjects)
            endpoint = pending.request.endpoint
            self._lost.append(_Lost(endpoint, now, subjects, pending.unit))
        if rule.may_have_run and not pending.request.repeatable:
            return self._refuse_all(pending, rule.refusal)
        return self._retry(pending, rule, now)

    def _retry(self, pending: _Pending, rule: FailureRule, now: float) -> list[Action]:
        if self._strikes(pending, now) >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        last = pending.retries >= MAX_RETRIES
        if rule.retry is None or last or not pending.copies:
            return self._refuse_all(pending, rule.refusal)
        at = now + backoff_seconds(pending.retries + 1, self._rng)
        if at >= pending.request.deadline:
            return self._refuse_all(pending, rule.refusal)
        if not self._budget(pending.request.service).take():
            return self._refuse_all(pending, RefusalReason.RETRY_BUDGET_EXHAUSTED)
        pending.retries += 1
        pending.state = _State.WAITING_FOR_RETRY
        return [ScheduleRetry(pending.ticket, at, rule.retry)]

    def _retry_due(self, ticket: int, now: float) -> list[Action]:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is not _State.WAITING_FOR_RETRY:
            return []
        if self._strikes(pending, now) >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        return self._enqueue(pending, now)

    def _caller_left(self, ticket: int) -> list[Action]:
        pending = self._pending.get(self._first_ticket.pop(ticket, -1))
        if pending is None:
            return []
        pending.copies.remove(ticket)
        if pending.copies:
            return []
        endpoint = pending.request.endpoint
        if pending.state is _State.IN_FLIGHT:
            return [CancelAttempt(endpoint, pending.ticket)]
        cancelled: list[Action] = []
        if pending.state is _State.QUEUED:
            cancelled = [CancelQueued(endpoint, pending.ticket)]
        return [*cancelled, *self._refuse_all(pending, RefusalReason.CALLER_LEFT)]

    def _strike(self, endpoint: str, now: float) -> None:
        """Count one exit of the endpoint against all requests that it may have run."""
        subjects: dict[Subject, UnitId] = {}
        for ticket in self._in_flight.get(endpoint, ()):
            pending = self._pending[ticket]
            if not pending.struck:
                pending.struck = True
                subjects |= dict.fromkeys(pending.subjects, pending.unit)
        others = []
        for lost in self._lost:
            if now - lost.since > LOST_BEFORE_EXIT_SECONDS:
                continue
            if lost.endpoint == endpoint:
                subjects |= dict.fromkeys(lost.subjects, lost.unit)
            else:
                others.append(lost)
        self._lost = collections.deque(others, maxlen=MAX_LOST)
        self._guard.add_strikes(subjects, now)

    def _strikes(self, pending: _Pending, now: float) -> int:
        request = pending.request
        return self._guard.strikes(request.request_id.lower(), request.digest, now)

    def _budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())

    def _end_attempt(self, ticket: int) -> _Pending | None:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is not _State.IN_FLIGHT:
            return None
        self._in_flight[pending.request.endpoint].pop(ticket, None)
        return pending

    def _refuse_all(self, pending: _Pending, reason: RefusalReason) -> list[Action]:
        refusal = _refusal(reason, may_have_run=pending.may_have_run)
        if pending.entry is not None:
            history = self._history(pending.request)
            if refusal.outcome is Outcome.NOT_RUN:
                history.forget(pending.entry)
            else:
                history.finish(pending.entry, refusal)
        copies = self._end(pending)
        return [ReplyRefusal(copy, refusal) for copy in copies]

    def _end(self, pending: _Pending) -> list[int]:
        del self._pending[pending.ticket]
        for copy in pending.copies:
            del self._first_ticket[copy]
        return pending.copies


def _repeatable_entries(max_entries: int) -> int:
    return max(1, max_entries // REPEATABLE_SHARE)


def _allowance_seconds(limits: Limits) -> float:
    """Return how far ahead of a successor's clock an identifier may be accepted.

    A caller's clock may be ahead by the skew, and the clock of the coordinator that
    accepted the identifier may be ahead of the successor's.
    """
    return (limits.request_id_skew_ms + limits.instance_clocks_ms) / 1000


def _refusal(
    reason: RefusalReason, *, may_have_run: bool = False, detail: str = ""
) -> Refusal:
    retry_after_ms = RETRY_AFTER_MS if reason.status in (429, 503) else 0
    return Refusal.of(
        reason,
        may_have_run=may_have_run,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def _refuse(
    ticket: int,
    reason: RefusalReason,
    *,
    may_have_run: bool = False,
    detail: str = "",
) -> ReplyRefusal:
    return ReplyRefusal(
        ticket, _refusal(reason, may_have_run=may_have_run, detail=detail)
    )
