"""Stops a request that ends the endpoints which run it.

Invariant: the number of subjects is bounded, and a subject's strikes are forgotten
after `SUSPECT_SECONDS`.
"""

import collections
import dataclasses

MAX_STRIKES = 2
MAX_SUSPECTS = 4096
SUSPECT_SECONDS = 600.0

Subject = str | bytes  # An identifier, or the digest of a request's content.
UnitId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Endpoint exits in which a request was in flight.

    `subject` is its identifier or the digest of its content. Instances share no
    monotonic clock, so the time of the last exit is told as an age.
    """

    subject: str | bytes
    count: int
    age_seconds: float


class CrashGuard:
    """Counts in how many endpoint exits a request was in flight.

    A request is known by its identifier and by the digest of its kind, key and
    content. One strike makes it a suspect, which runs alone at its endpoint: it can
    then take no other request down, and its success proves that it merely shared
    the endpoint. A lower concurrency limit for suspects was not chosen, because two
    suspects of one exit could not be told apart. At most one request per slot
    becomes a suspect in an exit, so few dispatches are slowed down.

    A unit moves to another coordinator after an exit, so each strike names the unit
    with which it travels. The strikes are kept here, too: a message that is lost
    must not let a third endpoint exit.
    """

    def __init__(self) -> None:
        self._strikes: collections.OrderedDict[Subject, _Strikes] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._strikes)

    def add_strikes(self, subjects: dict[Subject, UnitId], now: float) -> None:
        """Count one exit against each of the identifiers and digests."""
        for subject in sorted(subjects, key=repr):
            count = self._count(subject, now) + 1
            self._keep(subject, _Strikes(count, now, subjects[subject]))

    def export(self, unit: UnitId, now: float) -> tuple[StrikeRecord, ...]:
        """Return the strikes against requests of a unit."""
        return tuple(
            StrikeRecord(subject, item.count, now - item.since)
            for subject, item in self._strikes.items()
            if item.unit == unit and now - item.since < SUSPECT_SECONDS
        )

    def adopt(
        self, unit: UnitId, strikes: tuple[StrikeRecord, ...], now: float
    ) -> None:
        """Take over strikes that another coordinator counted."""
        for known in strikes:
            # Both may have counted the same exit, so the counts are not added.
            if known.count > self._count(known.subject, now):
                since = now - known.age_seconds
                self._keep(known.subject, _Strikes(known.count, since, unit))

    def _keep(self, subject: Subject, strikes: "_Strikes") -> None:
        self._strikes[subject] = strikes
        self._strikes.move_to_end(subject)
        while len(self._strikes) > MAX_SUSPECTS:
            self._strikes.popitem(last=False)

    def strikes(self, request_id: str, digest: bytes, now: float) -> int:
        """Return the strikes against the identifier or the digest."""
        if not self._strikes:
            return 0
        return max(self._count(request_id, now), self._count(digest, now))

    def clear(self, request_id: str, digest: bytes) -> None:
        """Forget the strikes of a request that succeeded alone."""
        self._strikes.pop(request_id, None)
        self._strikes.pop(digest, None)

    def _count(self, subject: Subject, now: float) -> int:
        item = self._strikes.get(subject)
        if item is None or now - item.since >= SUSPECT_SECONDS:
            return 0
        return item.count


@dataclasses.dataclass(frozen=True, slots=True)
class _Strikes:
    count: int
    since: float
    unit: UnitId
