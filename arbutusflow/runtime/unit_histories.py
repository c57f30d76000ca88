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
    HistoryTold,
    KnownOutcome,
    KnownStrike,
)
from arbutusflow.domain.delivery import Delivery
from arbutusflow.domain.delivery_messages import (
    Answer,
    Event,
    KnownRequest,
    KnownStrikes,
    StrikesAdopted,
    UnitAdopted,
    UnitLeft,
    UnitTaken,
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


class Tenure(msgspec.Struct, frozen=True):
    """The time in which one coordinator serves a unit for one owner."""

    endpoint: str
    sequence: int
    epoch: int

    @property
    def is_first(self) -> bool:
        """Tell whether nobody can have used an identifier for the unit before."""
        return self.sequence == 1 and self.epoch == 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Early:
    message: HistoryTold
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
        self._awaited: dict[UnitKey, float] = {}
        self._early: dict[UnitKey, _Early] = {}

    def owner_of(self, service: str, unit: int) -> str | None:
        """Return the endpoint for which this instance coordinates the unit."""
        tenure = self._tenures.get(UnitKey(service, unit))
        return None if tenure is None else tenure.endpoint

    def is_awaited(self, service: str, unit: int) -> bool:
        """Tell whether the unit's history may still arrive."""
        return bool(self._awaited) and UnitKey(service, unit) in self._awaited

    def ownership_changed(self, now: float) -> None:
        """Take units over and pass others on, as the core says now."""
        tenures = self._current()
        before, self._tenures = self._tenures, tenures
        for key in before.keys() - tenures.keys():
            self._pass_on(key, now)
        for key in tenures.keys() - before.keys():
            self._take_over(key, tenures[key], now)

    def take(self, message: HistoryTold, now: float) -> None:
        """Adopt a history from the earlier coordinator, or keep it for later."""
        key = UnitKey(message.service, message.unit)
        # Strikes only make the coordinator more careful, so late ones count, too.
        self._deliver(_strikes(message), now)
        if not message.complete:
            return
        if key in self._awaited:
            if _fits(message, self._tenures[key]):
                del self._awaited[key]
                self._deliver(_adopted(message), now)
            return
        if key not in self._tenures and len(self._early) < MAX_EARLY_HISTORIES:
            self._early[key] = _Early(message, now + EARLY_HISTORY_SECONDS)

    def tick(self, now: float) -> None:
        """Go on without the histories that did not arrive in time."""
        for key in [key for key, until in self._awaited.items() if until <= now]:
            del self._awaited[key]
            self._deliver(UnitTaken(key.service, key.unit, time.time()), now)
        for key in [key for key, early in self._early.items() if early.until <= now]:
            del self._early[key]

    def _current(self) -> dict[UnitKey, Tenure]:
        tenures = {}
        for name, record in self._core.records.items():
            table = self._core.tables.get(record.service)
            if table is None or not self._core.acts_for(name):
                continue
            for unit, sequence in table.units_of(name).items():
                key = UnitKey(record.service, unit)
                tenures[key] = Tenure(name, sequence, record.epoch)
        return tenures

    def _take_over(self, key: UnitKey, tenure: Tenure, now: float) -> None:
        early = self._early.pop(key, None)
        if tenure.is_first:
            self._deliver(UnitAdopted(key.service, key.unit, 0.0, ()), now)
        elif early is not None and _fits(early.message, tenure):
            self._deliver(_adopted(early.message), now)
        else:
            self._awaited[key] = now + HISTORY_WAIT_SECONDS

    def _pass_on(self, key: UnitKey, now: float) -> None:
        """Send the history to the unit's next coordinator and forget the unit."""
        complete = self._awaited.pop(key, None) is None
        exported = self._delivery.export_unit(key.service, key.unit, time.time())
        strikes = self._delivery.export_strikes(key.service, key.unit, now)
        self._deliver(UnitLeft(key.service, key.unit), now)
        table = self._core.tables.get(key.service)
        if table is None or not (complete or strikes):
            return
        row = table.row(key.unit)
        record = self._core.records.get(row.owner or "")
        link = None if record is None else self._links.get(record.coordinator)
        if record is None or link is None:
            return
        known = exported.requests if complete else ()
        link.send(
            HistoryTold(
                key.service,
                key.unit,
                row.sequence,
                record.epoch,
                exported.complete_after,
                tuple(_outcome_of(item) for item in known),
                tuple(_strike_of(item) for item in strikes),
                complete,
            )
        )


def _fits(message: HistoryTold, tenure: Tenure) -> bool:
    return (message.sequence, message.epoch) == (tenure.sequence, tenure.epoch)


def _outcome_of(known: KnownRequest) -> KnownOutcome:
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


def _adopted(message: HistoryTold) -> UnitAdopted:
    return UnitAdopted(
        message.service,
        message.unit,
        message.complete_after,
        tuple(_known(item) for item in message.outcomes),
    )


def _strike_of(known: KnownStrikes) -> KnownStrike:
    if isinstance(known.subject, bytes):
        return KnownStrike(known.count, known.age_seconds, digest=known.subject)
    return KnownStrike(known.count, known.age_seconds, known.subject)


def _strikes(message: HistoryTold) -> StrikesAdopted:
    strikes = tuple(
        KnownStrikes(item.request_id or item.digest, item.count, item.age_seconds)
        for item in message.strikes
    )
    return StrikesAdopted(message.service, message.unit, strikes)


def _known(outcome: KnownOutcome) -> KnownRequest:
    result: Answer | Refusal
    if outcome.reason:
        reason = RefusalReason(outcome.reason)
        result = Refusal.of(reason, may_have_run=outcome.may_have_run)
    else:
        result = Answer(outcome.status, outcome.headers, outcome.body)
    return KnownRequest(
        outcome.request_id,
        outcome.created,
        outcome.digest,
        outcome.repeatable,
        result,
    )
