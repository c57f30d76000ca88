"""Transfer of a unit's request history from one coordinator to the next.

Invariants: a history is imported as complete only for the owner's sequence and the
record's epoch for which it was exported, so a history of an earlier handover is never
mistaken for a complete one. Until the history arrives or the wait for it times out,
requests for the unit are refused as `unit_moving`, and the instances that accepted
them from callers route them again.
"""

import dataclasses
import time
from collections.abc import Callable

import msgspec

from arbutusflow.adapters.peer import PeerLink
from arbutusflow.adapters.peer_messages import (
    EncodedRequestRecord,
    EncodedStrikeRecord,
    HistoryTransfer,
)
from arbutusflow.domain.crash_guard import StrikeRecord
from arbutusflow.domain.delivery import Delivery
from arbutusflow.domain.delivery_messages import (
    Answer,
    Event,
    RequestRecord,
    StrikesImported,
    UnitHistoryImported,
    UnitMoving,
    UnitReleased,
    UnitTakenOverWithoutHistory,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.reasons import Outcome, Refusal, RefusalReason

# The previous coordinator sends the history in one message when it learns of the new
# record. After this time it is presumed lost, and the history with it.
HISTORY_WAIT_SECONDS = 0.3
# For histories that arrived early and for exports that are not sent yet.
RETENTION_SECONDS = 5.0
MAX_EARLY_HISTORIES = 4_096


class UnitKey(msgspec.Struct, frozen=True):
    """Service and number of a unit."""

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitAssignment:
    """Owner of a unit, the sequence of its row and the epoch of the owner's record."""

    endpoint: str
    sequence: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class _AwaitedHistory:
    """A unit whose history has not arrived yet.

    The epoch is that of the start of the wait; the record's epoch may rise meanwhile.
    """

    assignment: UnitAssignment
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Export:
    """Content of the message to the next coordinator.

    `complete` is False if this instance was still waiting for the history itself; then
    only the strikes are sent.
    """

    history: UnitHistoryImported
    strikes: tuple[StrikeRecord, ...]
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingExport:
    """An export whose next coordinator is not recorded yet."""

    assignment: UnitAssignment
    export: _Export
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlyHistory:
    """A history that arrived before this instance began to coordinate its unit."""

    message: HistoryTransfer
    until: float


class UnitHistories:
    """Exports and imports histories as this instance's coordinated units change."""

    def __init__(
        self,
        core: OwnershipCore,
        delivery: Delivery,
        links: dict[str, PeerLink],
        deliver: Callable[[Event, float], None],
    ) -> None:
        self._core = core
        self._delivery = delivery
        self._links = links
        self._deliver = deliver
        self._assignments: dict[UnitKey, UnitAssignment] = {}
        # Coordinated endpoints that no other instance has coordinated before.
        self._first_coordinated_here: set[str] = set()
        self._coordinated_endpoints: set[str] = set()
        # Time until which requests of the unit's previous coordinator may be in flight.
        self._previous_requests_until: dict[UnitKey, float] = {}
        self._awaited_histories: dict[UnitKey, _AwaitedHistory] = {}
        self._early_histories: dict[UnitKey, _EarlyHistory] = {}
        self._pending_exports: dict[UnitKey, _PendingExport] = {}

    def owner_of(self, service: str, unit: int) -> str | None:
        """Return the endpoint for which this instance coordinates the unit."""
        assignment = self._assignments.get(UnitKey(service, unit))
        return None if assignment is None else assignment.endpoint

    def is_history_awaited(self, service: str, unit: int) -> bool:
        """Return whether this instance is waiting for the unit's history."""
        return (
            bool(self._awaited_histories)
            and UnitKey(service, unit) in self._awaited_histories
        )

    def ownership_changed(self, now: float) -> None:
        """Take over and hand over units according to the core's current state."""
        self._update_coordinated()
        assignments = self._current_assignments()
        before, self._assignments = self._assignments, assignments
        for key in before.keys() - assignments.keys():
            self._hand_over(key, before[key], now)
        for key in assignments.keys() - before.keys():
            self._pending_exports.pop(key, None)
            self._take_over(key, assignments[key], now)
        self._send_pending_exports()

    def import_history(self, message: HistoryTransfer, now: float) -> None:
        """Import a history from the previous coordinator, or keep it for later.

        It is dropped if it is for another sequence or epoch than the awaited one, if
        the unit is coordinated here and awaits no history, or if too many are kept.
        """
        key = UnitKey(message.service, message.unit)
        if message.strikes:
            # Strikes can only lead to more refusals, so late ones are imported too.
            self._deliver(_strikes_event(message), now)
        if not message.complete:
            return
        awaited = self._awaited_histories.get(key)
        if awaited is not None:
            if _matches(message, awaited.assignment):
                del self._awaited_histories[key]
                self._import(message, now)
            return
        if (
            key not in self._assignments
            and len(self._early_histories) < MAX_EARLY_HISTORIES
        ):
            self._early_histories[key] = _EarlyHistory(message, now + RETENTION_SECONDS)

    def tick(self, now: float) -> None:
        """Take over the units whose histories did not arrive in time.

        Expired early histories and pending exports are discarded.
        """
        for key in [
            key for key, item in self._awaited_histories.items() if item.until <= now
        ]:
            del self._awaited_histories[key]
            self._record_previous_requests(key, now)
            self._deliver(
                UnitTakenOverWithoutHistory(key.service, key.unit, time.time()), now
            )
        for expiring in (self._early_histories, self._pending_exports):
            for key in [key for key, item in expiring.items() if item.until <= now]:
                del expiring[key]

    def previous_requests_until(self, service: str, unit: int) -> float:
        """Return until when requests of the unit's previous coordinator may be running.

        The time is in monotonic seconds, and 0 if there are no such requests.
        """
        return self._previous_requests_until.get(UnitKey(service, unit), 0.0)

    def _update_coordinated(self) -> None:
        records = self._core.records
        coordinated = {name for name in records if self._core.is_coordinating(name)}
        for name in coordinated - self._coordinated_endpoints:
            if records[name].epoch == 1:
                self._first_coordinated_here.add(name)
        self._first_coordinated_here &= coordinated
        self._coordinated_endpoints = coordinated

    def _current_assignments(self) -> dict[UnitKey, UnitAssignment]:
        assignments = {}
        for name, record in self._core.records.items():
            table = self._core.tables.get(record.service)
            if table is None or not self._core.is_coordinating(name):
                continue
            for unit, sequence in table.units_of(name).items():
                key = UnitKey(record.service, unit)
                assignments[key] = UnitAssignment(name, sequence, record.epoch)
        return assignments

    def _take_over(self, key: UnitKey, assignment: UnitAssignment, now: float) -> None:
        early = self._early_histories.pop(key, None)
        if (
            assignment.sequence == 1
            and assignment.endpoint in self._first_coordinated_here
        ):
            # No earlier coordinator can have accepted requests for the unit.
            self._deliver(UnitHistoryImported(key.service, key.unit, 0.0, ()), now)
        elif early is not None and _matches(early.message, assignment):
            self._import(early.message, now)
        else:
            self._awaited_histories[key] = _AwaitedHistory(
                assignment, now + HISTORY_WAIT_SECONDS
            )

    def _import(self, message: HistoryTransfer, now: float) -> None:
        in_progress = RefusalReason.IN_PROGRESS.value
        if any(item.reason == in_progress for item in message.outcomes):
            self._record_previous_requests(UnitKey(message.service, message.unit), now)
        self._deliver(_history_event(message), now)

    def _record_previous_requests(self, key: UnitKey, now: float) -> None:
        service = self._core.cfg.service(key.service)
        timeouts = () if service is None else (k.timeout_ms for k in service.kinds)
        self._previous_requests_until[key] = now + max(timeouts, default=0) / 1000

    def _hand_over(self, key: UnitKey, assignment: UnitAssignment, now: float) -> None:
        """Discard the unit's state and send its history to the next coordinator."""
        complete = self._awaited_histories.pop(key, None) is None
        self._previous_requests_until.pop(key, None)
        self._deliver(UnitMoving(key.service, key.unit), now)
        history = self._delivery.export_unit(key.service, key.unit, time.time())
        strikes = self._delivery.export_strikes(key.service, key.unit, now)
        self._deliver(UnitReleased(key.service, key.unit), now)
        if not (complete or strikes):
            return
        next_assignment = self._assignment_of(key)
        if next_assignment is None:
            return
        export = _Export(history, strikes, complete)
        if (next_assignment.sequence, next_assignment.epoch) == (
            assignment.sequence,
            assignment.epoch,
        ):
            # This instance no longer coordinates, but the next record is not known.
            until = now + RETENTION_SECONDS
            self._pending_exports[key] = _PendingExport(assignment, export, until)
            return
        self._send(key, next_assignment, export)

    def _send_pending_exports(self) -> None:
        """Send the histories whose next coordinator has been recorded."""
        for key, pending in list(self._pending_exports.items()):
            next_assignment = self._assignment_of(key)
            if next_assignment is None or next_assignment == pending.assignment:
                continue
            del self._pending_exports[key]
            expected = dataclasses.replace(
                pending.assignment, epoch=pending.assignment.epoch + 1
            )
            # With a later epoch, another instance may have served in between, so the
            # history may be incomplete.
            if next_assignment == expected:
                self._send(key, next_assignment, pending.export)

    def _assignment_of(self, key: UnitKey) -> UnitAssignment | None:
        """Return the unit's assignment, whichever instance coordinates its owner."""
        table = self._core.tables.get(key.service)
        row = None if table is None else table.row(key.unit)
        record = None if row is None else self._core.records.get(row.owner or "")
        if row is None or record is None:
            return None
        return UnitAssignment(record.endpoint, row.sequence, record.epoch)

    def _send(self, key: UnitKey, assignment: UnitAssignment, export: _Export) -> None:
        link = self._links.get(self._core.records[assignment.endpoint].coordinator)
        if link is None:
            return
        records = export.history.requests if export.complete else ()
        link.send(
            HistoryTransfer(
                key.service,
                key.unit,
                assignment.sequence,
                assignment.epoch,
                export.history.complete_after,
                tuple(_encode_record(item) for item in records),
                tuple(_encode_strike(item) for item in export.strikes),
                export.complete,
            )
        )


def _matches(message: HistoryTransfer, assignment: UnitAssignment) -> bool:
    return (message.sequence, message.epoch) == (assignment.sequence, assignment.epoch)


def _encode_record(record: RequestRecord) -> EncodedRequestRecord:
    result = record.result
    if isinstance(result, Answer):
        return EncodedRequestRecord(
            record.request_id,
            record.created,
            record.digest,
            record.repeatable,
            status=result.status,
            headers=result.headers,
            body=result.body,
        )
    return EncodedRequestRecord(
        record.request_id,
        record.created,
        record.digest,
        record.repeatable,
        reason=result.reason.value,
        may_have_run=result.outcome is Outcome.UNKNOWN,
    )


def _history_event(message: HistoryTransfer) -> UnitHistoryImported:
    return UnitHistoryImported(
        message.service,
        message.unit,
        message.complete_after,
        tuple(_decode_record(item) for item in message.outcomes),
    )


def _encode_strike(strike: StrikeRecord) -> EncodedStrikeRecord:
    if isinstance(strike.subject, bytes):
        return EncodedStrikeRecord(
            strike.count, strike.age_seconds, digest=strike.subject
        )
    return EncodedStrikeRecord(strike.count, strike.age_seconds, strike.subject)


def _strikes_event(message: HistoryTransfer) -> StrikesImported:
    strikes = tuple(
        StrikeRecord(item.request_id or item.digest, item.count, item.age_seconds)
        for item in message.strikes
    )
    return StrikesImported(message.service, message.unit, strikes)


def _decode_record(encoded: EncodedRequestRecord) -> RequestRecord:
    result: Answer | Refusal
    if encoded.reason:
        reason = RefusalReason(encoded.reason)
        result = Refusal.of(reason, may_have_run=encoded.may_have_run)
    else:
        result = Answer(encoded.status, encoded.headers, encoded.body)
    return RequestRecord(
        encoded.request_id,
        encoded.created,
        encoded.digest,
        encoded.repeatable,
        result,
    )
