"""Detection of requests that crash the endpoints which run them.

A *strike* is one endpoint exit during which a request may have been running.
`MAX_STRIKES` is the threshold at which `Delivery` refuses a request.

Invariant: the number of subjects is bounded, and the strikes of a subject expire
`STRIKE_LIFETIME_SECONDS` after its last one.
"""

import collections
import dataclasses

MAX_STRIKES = 2
MAX_TRACKED_SUBJECTS = 4096
STRIKE_LIFETIME_SECONDS = 600.0

Subject = str | bytes  # A request identifier or the digest of a request's content.
UnitId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Strikes of a request, for transfer between coordinators.

    `subject` is the request's identifier or the digest of its content. Monotonic
    clocks are not comparable between instances, so the time of the last exit is
    given as an age.
    """

    subject: str | bytes
    count: int
    age_seconds: float


class CrashGuard:
    """Counts the endpoint exits during which a request may have been running.

    A request is tracked by its identifier and by the digest of its service, kind, key
    and body. A request with one strike is a suspect and runs in isolation at its
    endpoint, so that it cannot make other requests fail. If it succeeds there, it
    did not cause the exit and its strikes are cleared. Running suspects at a lower
    concurrency limit instead would not tell two suspects of one exit apart. An exit
    creates at most one suspect per slot, so few dispatches are slowed down.

    A unit moves to another coordinator after an exit, so each strike records its
    unit and is transferred with it. The strikes are also kept here, so that the loss
    of the transfer message does not lead to the exit of a third endpoint.
    """

    def __init__(self) -> None:
        self._strikes: collections.OrderedDict[Subject, _Strikes] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._strikes)

    def add_strikes(self, subjects: dict[Subject, UnitId], now: float) -> None:
        """Add a strike for one endpoint exit to each of the subjects."""
        for subject in sorted(subjects, key=repr):
            count = self._strike_count(subject, now) + 1
            self._store(subject, _Strikes(count, now, subjects[subject]))

    def export(self, unit: UnitId, now: float) -> tuple[StrikeRecord, ...]:
        """Return the unexpired strikes against requests of a unit."""
        return tuple(
            StrikeRecord(subject, item.count, now - item.last_exit)
            for subject, item in self._strikes.items()
            if item.unit == unit and now - item.last_exit < STRIKE_LIFETIME_SECONDS
        )

    def import_strikes(
        self, unit: UnitId, strikes: tuple[StrikeRecord, ...], now: float
    ) -> None:
        """Merge strikes that another coordinator counted."""
        for record in strikes:
            # Both coordinators may have counted the same exit, so the higher count
            # is used instead of the sum.
            if record.count > self._strike_count(record.subject, now):
                last_exit = now - record.age_seconds
                self._store(record.subject, _Strikes(record.count, last_exit, unit))

    def _store(self, subject: Subject, strikes: "_Strikes") -> None:
        self._strikes[subject] = strikes
        self._strikes.move_to_end(subject)
        while len(self._strikes) > MAX_TRACKED_SUBJECTS:
            self._strikes.popitem(last=False)

    def strikes(self, request_id: str, digest: bytes, now: float) -> int:
        """Return the higher of the counts for the identifier and the digest."""
        if not self._strikes:
            return 0
        return max(self._strike_count(request_id, now), self._strike_count(digest, now))

    def clear(self, request_id: str, digest: bytes) -> None:
        """Remove the strikes of a request that succeeded in isolation."""
        self._strikes.pop(request_id, None)
        self._strikes.pop(digest, None)

    def _strike_count(self, subject: Subject, now: float) -> int:
        item = self._strikes.get(subject)
        if item is None or now - item.last_exit >= STRIKE_LIFETIME_SECONDS:
            return 0
        return item.count


@dataclasses.dataclass(frozen=True, slots=True)
class _Strikes:
    count: int
    last_exit: float
    unit: UnitId
