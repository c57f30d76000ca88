"""Transfer of a unit's request history from one coordinator to the next.

Invariants: a history is imported as complete only for the owner's sequence and the
record's epoch for which it was exported, so a history of an earlier handover is never
mistaken for a complete one. Until the history arrives or the wait for it times out,
requests for the unit are refused as `unit_moving`, and the entry hop retries them.
"""

import dataclasses
import time
from collections.abc import Callable

import msgspec

from arbutusflow.adapters.peer import PeerLink
from arbutusflow.adapters.peer_messages import (
    HistoryTransfer,
    KnownOutcome,
    KnownStrike,
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

# The history is sent once the new record is known, in one message between instances.
# After this time the previous coordinator is presumed lost and the history with it.
HISTORY_WAIT_SECONDS = 0.3
EARLY_HISTORY_SECONDS = 5.0
MAX_EARLY_HISTORIES = 4_096


class UnitKey(msgspec.Struct, frozen=True):
    """Service and number of a unit."""

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Period during which one coordinator serves a unit for one owner."""

    endpoint: str
    sequence: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class _AwaitedHistory:
    """A tenure whose history has not arrived yet.

    The tenure is kept as it began: the record's epoch may rise during the wait.
    """

    tenure: Tenure
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

    tenure: Tenure
    export: _Export
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlyHistory:
    """A history that arrived before this instance coordinates its unit."""

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
        self._tenures: dict[UnitKey, Tenure] = {}
        # Endpoints that no other instance has ever coordinated.
        self._never_moved: set[str] = set()
        self._coordinated: set[str] = set()
        # Time until which requests of the unit's previous coordinator may be in flight.
        self._previous_requests_until: dict[UnitKey, float] = {}
        self._awaited_histories: dict[UnitKey, _AwaitedHistory] = {}
        self._early_histories: dict[UnitKey, _EarlyHistory] = {}
        self._pending_exports: dict[UnitKey, _PendingExport] = {}

    def owner_of(self, service: str, unit: int) -> str | None:
        """Return the endpoint for which this instance coordinates the unit."""
        tenure = self._tenures.get(UnitKey(service, unit))
        return None if tenure is None else tenure.endpoint

    def is_history_awaited(self, service: str, unit: int) -> bool:
        """Return whether this instance is waiting for the unit's history."""
        return (
            bool(self._awaited_histories)
            and UnitKey(service, unit) in self._awaited_histories
        )

    def ownership_changed(self, now: float) -> None:
        """Take over and hand over units according to the core's current state."""
        self._update_coordinated()
        tenures = self._current_tenures()
        before, self._tenures = self._tenures, tenures
        for key in before.keys() - tenures.keys():
            self._hand_over(key, before[key], now)
        for key in tenures.keys() - before.keys():
            self._pending_exports.pop(key, None)
            self._take_over(key, tenures[key], now)
        self._send_pending_exports()

    def import_history(self, message: HistoryTransfer, now: float) -> None:
        """Import a history from the previous coordinator, or keep it for later."""
        key = UnitKey(message.service, message.unit)
        if message.strikes:
            # Strikes can only lead to more refusals, so late ones are imported too.
            self._deliver(_strikes_event(message), now)
        if not message.complete:
            return
        awaited = self._awaited_histories.get(key)
        if awaited is not None:
            if _matches(message, awaited.tenure):
                del self._awaited_histories[key]
                self._import(message, now)
            return
        if (
            key not in self._tenures
            and len(self._early_histories) < MAX_EARLY_HISTORIES
        ):
            self._early_histories[key] = _EarlyHistory(
                message, now + EARLY_HISTORY_SECONDS
            )

    def tick(self, now: float) -> None:
        """Take over the units whose histories did not arrive in time."""
        for key in [
            key for key, item in self._awaited_histories.items() if item.until <= now
        ]:
            del self._awaited_histories[key]
            self._wait_for_previous_requests(key, now)
            self._deliver(
                UnitTakenOverWithoutHistory(key.service, key.unit, time.time()), now
            )
        for kept in (self._early_histories, self._pending_exports):
            for key in [key for key, item in kept.items() if item.until <= now]:
                del kept[key]

    def previous_requests_until(self, service: str, unit: int) -> float:
        """Return until when the previous coordinator's requests for the unit may run.

        The time is monotonic, and 0 if there are no such requests.
        """
        return self._previous_requests_until.get(UnitKey(service, unit), 0.0)

    def _update_coordinated(self) -> None:
        records = self._core.records
        coordinated = {name for name in records if self._core.is_coordinating(name)}
        for name in coordinated - self._coordinated:
            if records[name].epoch == 1:
                self._never_moved.add(name)
        self._never_moved &= coordinated
        self._coordinated = coordinated

    def _current_tenures(self) -> dict[UnitKey, Tenure]:
        tenures = {}
        for name, record in self._core.records.items():
            table = self._core.tables.get(record.service)
            if table is None or not self._core.is_coordinating(name):
                continue
            for unit, sequence in table.units_of(name).items():
                key = UnitKey(record.service, unit)
                tenures[key] = Tenure(name, sequence, record.epoch)
        return tenures

    def _take_over(self, key: UnitKey, tenure: Tenure, now: float) -> None:
        early = self._early_histories.pop(key, None)
        if tenure.sequence == 1 and tenure.endpoint in self._never_moved:
            # No earlier coordinator can have accepted requests for the unit.
            self._deliver(UnitHistoryImported(key.service, key.unit, 0.0, ()), now)
        elif early is not None and _matches(early.message, tenure):
            self._import(early.message, now)
        else:
            self._awaited_histories[key] = _AwaitedHistory(
                tenure, now + HISTORY_WAIT_SECONDS
            )

    def _import(self, message: HistoryTransfer, now: float) -> None:
        in_progress = RefusalReason.IN_PROGRESS.value
        if any(outcome.reason == in_progress for outcome in message.outcomes):
            self._wait_for_previous_requests(
                UnitKey(message.service, message.unit), now
            )
        self._deliver(_history_event(message), now)

    def _wait_for_previous_requests(self, key: UnitKey, now: float) -> None:
        service = self._core.cfg.service(key.service)
        timeouts = () if service is None else (k.timeout_ms for k in service.kinds)
        self._previous_requests_until[key] = now + max(timeouts, default=0) / 1000

    def _hand_over(self, key: UnitKey, tenure: Tenure, now: float) -> None:
        """Discard the unit's state and send its history to the next coordinator."""
        complete = self._awaited_histories.pop(key, None) is None
        self._previous_requests_until.pop(key, None)
        self._deliver(UnitMoving(key.service, key.unit), now)
        history = self._delivery.export_unit(key.service, key.unit, time.time())
        strikes = self._delivery.export_strikes(key.service, key.unit, now)
        self._deliver(UnitReleased(key.service, key.unit), now)
        if not (complete or strikes):
            return
        next_tenure = self._tenure_of(key)
        if next_tenure is None:
            return
        export = _Export(history, strikes, complete)
        if (next_tenure.sequence, next_tenure.epoch) == (tenure.sequence, tenure.epoch):
            # This instance stopped coordinating before the next record is known.
            until = now + EARLY_HISTORY_SECONDS
            self._pending_exports[key] = _PendingExport(tenure, export, until)
            return
        self._send(key, next_tenure, export)

    def _send_pending_exports(self) -> None:
        """Send the histories whose next coordinator has been recorded."""
        for key, pending in list(self._pending_exports.items()):
            next_tenure = self._tenure_of(key)
            if next_tenure is None or next_tenure == pending.tenure:
                continue
            del self._pending_exports[key]
            expected = dataclasses.replace(
                pending.tenure, epoch=pending.tenure.epoch + 1
            )
            # With a later epoch, another instance may have served in between, so the
            # history may be incomplete.
            if next_tenure == expected:
                self._send(key, next_tenure, pending.export)

    def _tenure_of(self, key: UnitKey) -> Tenure | None:
        """Return the unit's tenure according to the records, for any coordinator."""
        table = self._core.tables.get(key.service)
        row = None if table is None else table.row(key.unit)
        record = None if row is None else self._core.records.get(row.owner or "")
        if row is None or record is None:
            return None
        return Tenure(record.endpoint, row.sequence, record.epoch)

    def _send(self, key: UnitKey, tenure: Tenure, export: _Export) -> None:
        link = self._links.get(self._core.records[tenure.endpoint].coordinator)
        if link is None:
            return
        known = export.history.requests if export.complete else ()
        link.send(
            HistoryTransfer(
                key.service,
                key.unit,
                tenure.sequence,
                tenure.epoch,
                export.history.complete_after,
                tuple(_outcome_of(item) for item in known),
                tuple(_strike_of(item) for item in export.strikes),
                export.complete,
            )
        )


def _matches(message: HistoryTransfer, tenure: Tenure) -> bool:
    return (message.sequence, message.epoch) == (tenure.sequence, tenure.epoch)


def _outcome_of(known: RequestRecord) -> KnownOutcome:
    result = known.result
    if isinstance(result, Answer):
        return KnownOutcome(
            known.request_id,
            known.created,
            known.digest,
            known.repeatable,
            status=result.status,
            headers=result.headers,
            body=result.body,
        )
    return KnownOutcome(
        known.request_id,
        known.created,
        known.digest,
        known.repeatable,
        reason=result.reason.value,
        may_have_run=result.outcome is Outcome.UNKNOWN,
    )


def _history_event(message: HistoryTransfer) -> UnitHistoryImported:
    return UnitHistoryImported(
        message.service,
        message.unit,
        message.complete_after,
        tuple(_record_of(item) for item in message.outcomes),
    )


def _strike_of(known: StrikeRecord) -> KnownStrike:
    if isinstance(known.subject, bytes):
        return KnownStrike(known.count, known.age_seconds, digest=known.subject)
    return KnownStrike(known.count, known.age_seconds, known.subject)


def _strikes_event(message: HistoryTransfer) -> StrikesImported:
    strikes = tuple(
        StrikeRecord(item.request_id or item.digest, item.count, item.age_seconds)
        for item in message.strikes
    )
    return StrikesImported(message.service, message.unit, strikes)


def _record_of(outcome: KnownOutcome) -> RequestRecord:
    result: Answer | Refusal
    if outcome.reason:
        reason = RefusalReason(outcome.reason)
        result = Refusal.of(reason, may_have_run=outcome.may_have_run)
    else:
        result = Answer(outcome.status, outcome.headers, outcome.body)
    return RequestRecord(
        outcome.request_id,
        outcome.created,
        outcome.digest,
        outcome.repeatable,
        result,
    )
