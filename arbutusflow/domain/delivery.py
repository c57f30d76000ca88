"""State machine of each request at the coordinator of its unit.

A non-repeatable request must not be run twice. A caller that got no reply resends
its request under the same identifier; each arrival is a copy of the request.

Invariants:
- A non-repeatable request is retried only if the endpoint reported that it did not
  run it, or if no byte of it was sent.
- The outcome `not-run` is returned only if no attempt with the same request
  identifier may have run. Where the request history is incomplete, the outcome is
  `unknown`.
- A copy that arrives while another copy is in progress waits for the same result or,
  if too many copies wait, is refused; it is never dispatched on its own.
- All stored state is bounded.

Times are in seconds: `now` is read from the coordinator's monotonic clock, `wall`
from its wall clock. Only `wall` is compared with the creation times in request
identifiers.
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
    UnitTakenOverWithoutHistory,
)
from arbutusflow.domain.limits import RandomSource, RetryBudget, backoff_seconds
from arbutusflow.domain.reasons import Outcome, Refusal, RefusalReason, RetryReason
from arbutusflow.domain.request_history import (
    IN_PROGRESS,
    HistoryEntry,
    RequestHistory,
    created_seconds,
    skew_detail,
)

REQUEST_ID_LIFETIME_SECONDS = 120.0
MAX_RETAINED_ANSWER_BYTES = 16 * 1024 * 1024
# Repeatable kinds get a fifth of the configured number of history entries.
REPEATABLE_ENTRIES_DIVISOR = 5
MAX_RETRIES = 2
# Copies that wait for one result; a caller resends only a few times.
MAX_WAITING_COPIES = 8
# A lost connection is often noticed before the exit of the endpoint is proven.
MAX_EXIT_PROOF_DELAY_SECONDS = 5.0
MAX_LOST_ATTEMPTS = 1024

RETRY_AFTER_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRule:
    """Refusal and retry reasons of a failed attempt, and whether it may have run."""

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
class _PendingRequest:
    ticket: int
    request: Request
    entry: HistoryEntry | None
    copies: list[int]
    may_have_run: bool
    state: _State = _State.QUEUED
    attempts: int = 0
    retries: int = 0
    isolated: bool = False
    exit_recorded: bool = False

    @property
    def unit(self) -> UnitId:
        """Unit with which the strikes against the request are transferred."""
        return self.request.service, self.request.unit

    @property
    def subjects(self) -> set[Subject]:
        """Identifier and content digest that the crash guard tracks."""
        request_id = self.request.request_id.lower()
        return (
            {self.request.digest, request_id} if request_id else {self.request.digest}
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _LostAttempt:
    endpoint: str
    lost_at: float
    subjects: frozenset[Subject]
    unit: UnitId


class Delivery:
    """Decides whether to queue, send, retry, deduplicate, answer or refuse requests.

    One object handles all endpoints that an instance coordinates.
    """

    def __init__(
        self,
        rng: RandomSource,
        max_entries: int,
        max_bytes: int = MAX_RETAINED_ANSWER_BYTES,
        lifetime_seconds: float = REQUEST_ID_LIFETIME_SECONDS,
        limits: Limits = Limits(),  # noqa: B008 - frozen
    ) -> None:
        self._rng = rng
        self._max_skew_seconds = limits.request_id_skew_ms / 1000
        self._clock_tolerance_seconds = _clock_tolerance_seconds(limits)
        # Repeatable kinds have a separate table, so that their traffic cannot evict
        # the entries that prevent second runs of non-repeatable requests. Their
        # answers are not retained, and evicting one of their entries only turns a
        # later `not-run` into `unknown`.
        self._non_repeatable_history = RequestHistory(
            max_entries, max_bytes, lifetime_seconds
        )
        self._repeatable_history = RequestHistory(
            _repeatable_entries(max_entries), 0, lifetime_seconds
        )
        self._lifetime_seconds = lifetime_seconds
        self._complete_after: dict[tuple[str, int], float] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._first_ticket: dict[int, int] = {}
        self._in_flight: dict[str, dict[int, None]] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._crash_guard = CrashGuard()
        self._lost_attempts: collections.deque[_LostAttempt] = collections.deque(
            maxlen=MAX_LOST_ATTEMPTS
        )
        self._last_exited_incarnation: dict[str, str] = {}

    @classmethod
    def from_config(cls, limits: Limits, rng: RandomSource) -> Self:
        """Create an instance without requests, with the configured bounds."""
        return cls(rng, limits.retained_answers, limits=limits)

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._pending)

    def is_pending(self, ticket: int) -> bool:
        """Return whether a request with this ticket is in progress."""
        return ticket in self._pending

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the actions to carry out, in order."""
        match event:
            case Arrived(ticket, request, wall):
                return self._on_arrived(ticket, request, wall, now)
            case Dispatched(ticket):
                return self._on_dispatched(ticket, now)
            case DroppedFromQueue(ticket, reason):
                return self._on_dropped(ticket, reason)
            case Answered(ticket, answer):
                return self._on_answered(ticket, answer)
            case AttemptFailed(ticket, failure):
                return self._on_attempt_failed(ticket, failure, now)
            case EndpointExited(endpoint, incarnation):
                if self._last_exited_incarnation.get(endpoint) != incarnation:
                    self._last_exited_incarnation[endpoint] = incarnation
                    self._record_exit(endpoint, now)
                return []
            case RetryDue(ticket):
                return self._on_retry_due(ticket, now)
            case CallerLeft(ticket):
                return self._on_caller_left(ticket)
            case UnitTakenOverWithoutHistory(service, unit, wall):
                # The previous coordinator accepted identifiers that were created
                # up to the clock tolerance in the future.
                self._complete_after[service, unit] = (
                    wall + self._clock_tolerance_seconds
                )
                return []
            case UnitHistoryImported(service, unit, complete_after, requests):
                # If the unit was taken over without its history, a history that
                # arrives later may lack requests that a coordinator in between ran.
                # Its `complete_after` must not replace the one that was set then.
                self._complete_after.setdefault((service, unit), complete_after)
                for record in requests:
                    history = (
                        self._repeatable_history
                        if record.repeatable
                        else self._non_repeatable_history
                    )
                    history.import_record(service, unit, record)
                return []
            case StrikesImported(service, unit, strikes):
                self._crash_guard.import_strikes((service, unit), strikes, now)
                return []
            case UnitMoving(service, unit):
                return self._on_unit_moving(service, unit)
            case UnitReleased(service, unit):
                self._complete_after.pop((service, unit), None)
                return []
            case Tick(wall):
                self._non_repeatable_history.expire(wall)
                self._repeatable_history.expire(wall)
                return []

    def configure(self, limits: Limits) -> None:
        """Apply changed bounds; excess entries are evicted as new requests arrive."""
        self._non_repeatable_history.max_entries = limits.retained_answers
        self._repeatable_history.max_entries = _repeatable_entries(
            limits.retained_answers
        )
        self._max_skew_seconds = limits.request_id_skew_ms / 1000
        # Requests accepted under a larger tolerance may still be resent.
        self._clock_tolerance_seconds = max(
            self._clock_tolerance_seconds, _clock_tolerance_seconds(limits)
        )

    def export_unit(self, service: str, unit: int, wall: float) -> UnitHistoryImported:
        """Return the request history of a unit for its next coordinator.

        A request that is still in progress gets the outcome `unknown` there, so
        moving a unit that was not drained causes no second run either.
        """
        default = wall + self._clock_tolerance_seconds
        complete_after = self._complete_after.get((service, unit), default)
        records: list[RequestRecord] = []
        for history, repeatable in (
            (self._non_repeatable_history, False),
            (self._repeatable_history, True),
        ):
            records += history.export(service, unit, repeatable=repeatable)
            complete_after = max(complete_after, history.evicted_until)
        return UnitHistoryImported(service, unit, complete_after, tuple(records))

    def export_strikes(
        self, service: str, unit: int, now: float
    ) -> tuple[StrikeRecord, ...]:
        """Return the strikes of a unit for its next coordinator."""
        return self._crash_guard.export((service, unit), now)

    def _on_arrived(
        self, ticket: int, request: Request, wall: float, now: float
    ) -> list[Action]:
        if not request.request_id:
            if not request.repeatable:
                return [_refuse(ticket, RefusalReason.REQUEST_ID_MISSING)]
            return self._start(ticket, request, None, False, now)
        created = created_seconds(request.request_id)
        if created is None:
            return [_refuse(ticket, RefusalReason.REQUEST_ID_INVALID)]
        request_id = request.request_id.lower()
        entry = self._non_repeatable_history.find(
            request_id
        ) or self._repeatable_history.find(request_id)
        if entry is not None:
            return self._handle_resend(ticket, request, entry, now)
        if created > wall + self._max_skew_seconds:
            # An earlier coordinator whose clock was ahead may have accepted it.
            accepted = created <= wall + self._clock_tolerance_seconds
            detail = skew_detail(created, wall, self._max_skew_seconds)
            return [
                _refuse(
                    ticket,
                    RefusalReason.REQUEST_ID_SKEW,
                    may_have_run=accepted,
                    detail=detail,
                )
            ]
        unknown = self._unknown_reason(request, created, wall)
        if unknown is not None and not request.repeatable:
            return [_refuse(ticket, unknown)]
        entry = HistoryEntry(
            request_id, created, request.service, request.unit, request.digest, ticket
        )
        if not self._history_for(request).add(entry):
            return [
                _refuse(ticket, RefusalReason.QUEUE_FULL, may_have_run=bool(unknown))
            ]
        return self._start(ticket, request, entry, unknown is not None, now)

    def _unknown_reason(
        self, request: Request, created: float, wall: float
    ) -> RefusalReason | None:
        """Return why a request absent from the history may have run, or None."""
        if created < wall - self._lifetime_seconds:
            return RefusalReason.REQUEST_ID_EXPIRED
        # A unit without a takeover event, with or without history, counts as taken over
        # now.
        complete_after = self._complete_after.setdefault(
            (request.service, request.unit), wall + self._clock_tolerance_seconds
        )
        if created <= complete_after:
            return RefusalReason.BEFORE_TAKEOVER
        if created <= self._history_for(request).evicted_until:
            return RefusalReason.ANSWER_EVICTED
        return None

    def _history_for(self, request: Request) -> RequestHistory:
        return (
            self._repeatable_history
            if request.repeatable
            else self._non_repeatable_history
        )

    def _handle_resend(
        self, ticket: int, request: Request, entry: HistoryEntry, now: float
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
            if len(pending.copies) >= MAX_WAITING_COPIES:
                return [_refuse(ticket, RefusalReason.IN_PROGRESS)]
            pending.copies.append(ticket)
            self._first_ticket[ticket] = pending.ticket
            return []
        if (
            request.repeatable
            and self._repeatable_history.find(entry.request_id) is entry
        ):
            self._repeatable_history.restart(entry, ticket)
            return self._start(ticket, request, entry, True, now)
        if isinstance(entry.result, Answer):
            return [ReplyAnswer(ticket, entry.result)]
        return [ReplyRefusal(ticket, entry.result)]

    def _start(
        self,
        ticket: int,
        request: Request,
        entry: HistoryEntry | None,
        may_have_run: bool,
        now: float,
    ) -> list[Action]:
        pending = _PendingRequest(ticket, request, entry, [ticket], may_have_run)
        self._pending[ticket] = pending
        self._first_ticket[ticket] = ticket
        if self._strike_count(pending, now) >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        self._retry_budget(request.service).request()
        return self._enqueue(pending, now)

    def _enqueue(self, pending: _PendingRequest, now: float) -> list[Action]:
        pending.state = _State.QUEUED
        pending.isolated = self._strike_count(pending, now) > 0
        request = pending.request
        queued = QueuedRequest(
            pending.ticket,
            request.rank,
            request.caller,
            request.unit,
            request.deadline,
            request.kind,
            pending.isolated,
        )
        return [Enqueue(request.endpoint, queued)]

    def _on_dispatched(self, ticket: int, now: float) -> list[Action]:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is not _State.QUEUED:
            return []
        strikes = self._strike_count(pending, now)
        if strikes >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        if strikes and not pending.isolated:
            return self._enqueue(pending, now)
        if pending.request.deadline <= now:
            return self._refuse_all(pending, RefusalReason.DEADLINE_PASSED)
        pending.state = _State.IN_FLIGHT
        pending.exit_recorded = False
        pending.attempts += 1
        in_flight = self._in_flight.setdefault(pending.request.endpoint, {})
        in_flight[ticket] = None
        return [Send(ticket, pending.attempts)]

    def _on_dropped(self, ticket: int, reason: RefusalReason) -> list[Action]:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is _State.IN_FLIGHT:
            return []
        return self._refuse_all(pending, reason)

    def _on_unit_moving(self, service: str, unit: int) -> list[Action]:
        """Refuse the requests of the unit that wait for a retry.

        The next coordinator would treat them as in progress.
        """
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

    def _on_answered(self, ticket: int, answer: Answer) -> list[Action]:
        pending = self._end_attempt(ticket)
        if pending is None:
            return []
        if pending.isolated:
            request = pending.request
            self._crash_guard.clear(request.request_id.lower(), request.digest)
        if pending.entry is not None:
            self._history_for(pending.request).finish(pending.entry, answer)
        copies = self._remove_pending(pending)
        return [ReplyAnswer(copy, answer) for copy in copies]

    def _on_attempt_failed(
        self, ticket: int, failure: Failure, now: float
    ) -> list[Action]:
        if failure is Failure.ENDPOINT_EXITED and ticket in self._pending:
            self._record_exit(self._pending[ticket].request.endpoint, now)
        pending = self._end_attempt(ticket)
        if pending is None:
            return []
        rule = FAILURE_RULES[failure]
        pending.may_have_run = pending.may_have_run or rule.may_have_run
        if rule.may_have_run and not pending.exit_recorded:
            subjects = frozenset(pending.subjects)
            endpoint = pending.request.endpoint
            self._lost_attempts.append(
                _LostAttempt(endpoint, now, subjects, pending.unit)
            )
        if rule.may_have_run and not pending.request.repeatable:
            return self._refuse_all(pending, rule.refusal)
        return self._retry_or_refuse(pending, rule, now)

    def _retry_or_refuse(
        self, pending: _PendingRequest, rule: FailureRule, now: float
    ) -> list[Action]:
        if self._strike_count(pending, now) >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        retries_exhausted = pending.retries >= MAX_RETRIES
        if rule.retry is None or retries_exhausted or not pending.copies:
            return self._refuse_all(pending, rule.refusal)
        at = now + backoff_seconds(pending.retries + 1, self._rng)
        if at >= pending.request.deadline:
            return self._refuse_all(pending, rule.refusal)
        if not self._retry_budget(pending.request.service).take():
            return self._refuse_all(pending, RefusalReason.RETRY_BUDGET_EXHAUSTED)
        pending.retries += 1
        pending.state = _State.WAITING_FOR_RETRY
        return [ScheduleRetry(pending.ticket, at, rule.retry)]

    def _on_retry_due(self, ticket: int, now: float) -> list[Action]:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is not _State.WAITING_FOR_RETRY:
            return []
        if self._strike_count(pending, now) >= MAX_STRIKES:
            return self._refuse_all(pending, RefusalReason.CRASHES_ENDPOINTS)
        return self._enqueue(pending, now)

    def _on_caller_left(self, ticket: int) -> list[Action]:
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

    def _record_exit(self, endpoint: str, now: float) -> None:
        """Add a strike to each request that may have run when the endpoint exited."""
        subjects: dict[Subject, UnitId] = {}
        for ticket in self._in_flight.get(endpoint, ()):
            pending = self._pending[ticket]
            if not pending.exit_recorded:
                pending.exit_recorded = True
                subjects |= dict.fromkeys(pending.subjects, pending.unit)
        others = []
        for lost in self._lost_attempts:
            if now - lost.lost_at > MAX_EXIT_PROOF_DELAY_SECONDS:
                continue
            if lost.endpoint == endpoint:
                subjects |= dict.fromkeys(lost.subjects, lost.unit)
            else:
                others.append(lost)
        self._lost_attempts = collections.deque(others, maxlen=MAX_LOST_ATTEMPTS)
        self._crash_guard.add_strikes(subjects, now)

    def _strike_count(self, pending: _PendingRequest, now: float) -> int:
        request = pending.request
        return self._crash_guard.strikes(
            request.request_id.lower(), request.digest, now
        )

    def _retry_budget(self, service: str) -> RetryBudget:
        return self._retry_budgets.setdefault(service, RetryBudget())

    def _end_attempt(self, ticket: int) -> _PendingRequest | None:
        pending = self._pending.get(ticket)
        if pending is None or pending.state is not _State.IN_FLIGHT:
            return None
        self._in_flight[pending.request.endpoint].pop(ticket, None)
        return pending

    def _refuse_all(
        self, pending: _PendingRequest, reason: RefusalReason
    ) -> list[Action]:
        refusal = _refusal(reason, may_have_run=pending.may_have_run)
        if pending.entry is not None:
            history = self._history_for(pending.request)
            if refusal.outcome is Outcome.NOT_RUN:
                history.discard(pending.entry)
            else:
                history.finish(pending.entry, refusal)
        copies = self._remove_pending(pending)
        return [ReplyRefusal(copy, refusal) for copy in copies]

    def _remove_pending(self, pending: _PendingRequest) -> list[int]:
        del self._pending[pending.ticket]
        for copy in pending.copies:
            del self._first_ticket[copy]
        return pending.copies


def _repeatable_entries(max_entries: int) -> int:
    return max(1, max_entries // REPEATABLE_ENTRIES_DIVISOR)


def _clock_tolerance_seconds(limits: Limits) -> float:
    """Return how far an accepted identifier may be ahead of the next coordinator.

    The caller's clock may be ahead of the accepting coordinator's clock, which may
    itself be ahead of the next coordinator's clock.
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
