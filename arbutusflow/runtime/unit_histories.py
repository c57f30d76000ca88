"""Hands the request history of a unit from one coordinator to the next.

Invariants: a history is adopted only for the owner's sequence and the record's
epoch for which it was exported, so one of an earlier hand-over is never mistaken
for a complete one. Until it arrives, or is given up, requests for the unit wait.
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
    UnitTakenOver,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.reasons import Outcome, Refusal, RefusalReason

# The history follows the record by a message between instances; after this time it
# is taken for lost with the earlier coordinator.
HISTORY_WAIT_SECONDS = 0.3
EARLY_HISTORY_SECONDS = 5.0
MAX_EARLY_HISTORIES = 4_096


class UnitKey(msgspec.Struct, frozen=True):
    """A unit of a service."""

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """The time in which one coordinator serves a unit for one owner."""

    endpoint: str
    sequence: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Awaited:
    """The tenure that began; its epoch may rise before the history arrives."""

    tenure: Tenure
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Handed:
    """What goes to the next coordinator; `complete` is False without a history."""

    exported: UnitHistoryImported
    strikes: tuple[StrikeRecord, ...]
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Parted:
    tenure: Tenure
    handed: _Handed
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Early:
    message: HistoryTransfer
    until: float


class UnitHistories:
    """Follows which units this instance coordinates and moves their histories."""

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
        self._original: set[str] = set()
        self._acting: set[str] = set()
        # Units whose earlier coordinator may have requests in flight, and until when.
        self._foreign_until: dict[UnitKey, float] = {}
        self._awaited: dict[UnitKey, _Awaited] = {}
        self._early: dict[UnitKey, _Early] = {}
        self._parted: dict[UnitKey, _Parted] = {}

    def owner_of(self, service: str, unit: int) -> str | None:
        """Return the endpoint for which this instance coordinates the unit."""
        tenure = self._tenures.get(UnitKey(service, unit))
        return None if tenure is None else tenure.endpoint

    def is_awaited(self, service: str, unit: int) -> bool:
        """Tell whether the unit's history may still arrive."""
        return bool(self._awaited) and UnitKey(service, unit) in self._awaited

    def ownership_changed(self, now: float) -> None:
        """Take units over and pass others on, as the core says now."""
        self._follow_acting()
        tenures = self._current()
        before, self._tenures = self._tenures, tenures
        for key in before.keys() - tenures.keys():
            self._pass_on(key, before[key], now)
        for key in tenures.keys() - before.keys():
            self._parted.pop(key, None)
            self._take_over(key, tenures[key], now)
        self._send_parted()

    def take(self, message: HistoryTransfer, now: float) -> None:
        """Adopt a history from the earlier coordinator, or keep it for later."""
        key = UnitKey(message.service, message.unit)
        if message.strikes:
            # They only make the coordinator more careful, so late ones count, too.
            self._deliver(_strikes(message), now)
        if not message.complete:
            return
        awaited = self._awaited.get(key)
        if awaited is not None:
            if _fits(message, awaited.tenure):
                del self._awaited[key]
                self._adopt(message, now)
            return
        if key not in self._tenures and len(self._early) < MAX_EARLY_HISTORIES:
            self._early[key] = _Early(message, now + EARLY_HISTORY_SECONDS)

    def tick(self, now: float) -> None:
        """Go on without the histories that did not arrive in time."""
        for key in [key for key, item in self._awaited.items() if item.until <= now]:
            del self._awaited[key]
            self._await_foreign(key, now)
            self._deliver(UnitTakenOver(key.service, key.unit, time.time()), now)
        for kept in (self._early, self._parted):
            for key in [key for key, item in kept.items() if item.until <= now]:
                del kept[key]

    def foreign_until(self, service: str, unit: int) -> float:
        """Return the monotonic time until which another coordinator's requests for
        the unit may still run, 0 if there are none.
        """
        return self._foreign_until.get(UnitKey(service, unit), 0.0)

    def _follow_acting(self) -> None:
        records = self._core.records
        acting = {name for name in records if self._core.is_coordinating(name)}
        for name in acting - self._acting:
            if records[name].epoch == 1:
                self._original.add(name)
        self._original &= acting
        self._acting = acting

    def _current(self) -> dict[UnitKey, Tenure]:
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
        early = self._early.pop(key, None)
        if tenure.sequence == 1 and tenure.endpoint in self._original:
            # Nobody can have used an identifier for the unit before.
            self._deliver(UnitHistoryImported(key.service, key.unit, 0.0, ()), now)
        elif early is not None and _fits(early.message, tenure):
            self._adopt(early.message, now)
        else:
            self._awaited[key] = _Awaited(tenure, now + HISTORY_WAIT_SECONDS)

    def _adopt(self, message: HistoryTransfer, now: float) -> None:
        in_progress = RefusalReason.IN_PROGRESS.value
        if any(outcome.reason == in_progress for outcome in message.outcomes):
            self._await_foreign(UnitKey(message.service, message.unit), now)
        self._deliver(_adopted(message), now)

    def _await_foreign(self, key: UnitKey, now: float) -> None:
        service = self._core.cfg.service(key.service)
        timeouts = () if service is None else (k.timeout_ms for k in service.kinds)
        self._foreign_until[key] = now + max(timeouts, default=0) / 1000

    def _pass_on(self, key: UnitKey, tenure: Tenure, now: float) -> None:
        """Forget the unit and send its history to the next coordinator."""
        complete = self._awaited.pop(key, None) is None
        self._foreign_until.pop(key, None)
        self._deliver(UnitMoving(key.service, key.unit), now)
        exported = self._delivery.export_unit(key.service, key.unit, time.time())
        strikes = self._delivery.export_strikes(key.service, key.unit, now)
        self._deliver(UnitReleased(key.service, key.unit), now)
        if not (complete or strikes):
            return
        following = self._tenure_of(key)
        if following is None:
            return
        handed = _Handed(exported, strikes, complete)
        if (following.sequence, following.epoch) == (tenure.sequence, tenure.epoch):
            # This instance ended before its heir is recorded.
            until = now + EARLY_HISTORY_SECONDS
            self._parted[key] = _Parted(tenure, handed, until)
            return
        self._send(key, following, handed)

    def _send_parted(self) -> None:
        """Send the histories whose next coordinator is recorded now."""
        for key, parted in list(self._parted.items()):
            following = self._tenure_of(key)
            if following is None or following == parted.tenure:
                continue
            del self._parted[key]
            heir = dataclasses.replace(parted.tenure, epoch=parted.tenure.epoch + 1)
            # A later epoch means that another instance may have served in between.
            if following == heir:
                self._send(key, following, parted.handed)

    def _tenure_of(self, key: UnitKey) -> Tenure | None:
        """Return the recorded tenure of the unit, whoever coordinates it."""
        table = self._core.tables.get(key.service)
        row = None if table is None else table.row(key.unit)
        record = None if row is None else self._core.records.get(row.owner or "")
        if row is None or record is None:
            return None
        return Tenure(record.endpoint, row.sequence, record.epoch)

    def _send(self, key: UnitKey, tenure: Tenure, handed: _Handed) -> None:
        link = self._links.get(self._core.records[tenure.endpoint].coordinator)
        if link is None:
            return
        known = handed.exported.requests if handed.complete else ()
        link.send(
            HistoryTransfer(
                key.service,
                key.unit,
                tenure.sequence,
                tenure.epoch,
                handed.exported.complete_after,
                tuple(_outcome_of(item) for item in known),
                tuple(_strike_of(item) for item in handed.strikes),
                handed.complete,
            )
        )


def _fits(message: HistoryTransfer, tenure: Tenure) -> bool:
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


def _adopted(message: HistoryTransfer) -> UnitHistoryImported:
    return UnitHistoryImported(
        message.service,
        message.unit,
        message.complete_after,
        tuple(_known(item) for item in message.outcomes),
    )


def _strike_of(known: StrikeRecord) -> KnownStrike:
    if isinstance(known.subject, bytes):
        return KnownStrike(known.count, known.age_seconds, digest=known.subject)
    return KnownStrike(known.count, known.age_seconds, known.subject)


def _strikes(message: HistoryTransfer) -> StrikesImported:
    strikes = tuple(
        StrikeRecord(item.request_id or item.digest, item.count, item.age_seconds)
        for item in message.strikes
    )
    return StrikesImported(message.service, message.unit, strikes)


def _known(outcome: KnownOutcome) -> RequestRecord:
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
