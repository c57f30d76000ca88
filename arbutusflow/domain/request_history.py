"""Request identifiers that a coordinator has seen, with their retained answers.

Invariants:
- The identifier of every request that may have run is in the table, if it was
  created after `evicted_until` and is not older than the lifetime.
- Entries in progress are never evicted.
- The number of entries and the bytes of retained answers are bounded.
"""

import collections
import dataclasses
import datetime
import heapq
import uuid

from arbutusflow.domain.delivery_messages import Answer, RequestRecord
from arbutusflow.domain.reasons import Refusal, RefusalReason

_LAST_DATE_SECONDS = 253_402_300_799.0  # Last second of the year 9999.
MAX_ANSWER_DIVISOR = 4  # A single answer may use up to a quarter of the bytes.

IN_PROGRESS = None
Result = Answer | Refusal | None


@dataclasses.dataclass(slots=True)
class HistoryEntry:
    """One request identifier; `ticket` is valid while `result` is `IN_PROGRESS`."""

    request_id: str
    created: float
    service: str
    unit: int
    digest: bytes
    ticket: int
    result: Result = IN_PROGRESS
    in_creation_heap: bool = False


def created_seconds(request_id: str) -> float | None:
    """Return the creation time in a version 7 UUID, or None if it is not one.

    By RFC 9562, section 5.7, the first 48 bits are the Unix time in milliseconds.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != 7:
        return None
    if str(parsed) != request_id.lower():
        return None
    return (parsed.int >> 80) / 1000.0


def skew_detail(created: float, wall: float, max_skew_seconds: float) -> str:
    """Return why an identifier is refused that is ahead of the clock of the instance.

    `created` and `wall` are in seconds since the epoch.
    """
    return (
        f"the request identifier is {created - wall:.3f} s ahead of the clock of the"
        f" instance, more than {max_skew_seconds:g} s: its time is"
        f" {_time_text(created)}, that of the instance {_time_text(wall)}; the caller's"
        " clock is wrong, or its library gives each identifier a millisecond of its own"
    )


def _time_text(seconds: float) -> str:
    # An identifier can carry a time after the year 9999, which no datetime can.
    if seconds > _LAST_DATE_SECONDS:
        return f"{seconds:.3f} s after 1970-01-01"
    date = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return date.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class RequestHistory:
    """Bounded table of request identifiers."""

    def __init__(
        self, max_entries: int, max_bytes: int, lifetime_seconds: float
    ) -> None:
        self.max_entries = max_entries
        self._max_bytes = max_bytes
        self._lifetime_seconds = lifetime_seconds
        self._entries: dict[str, HistoryEntry] = {}
        # A handover exports every unit of an endpoint. Without this index, each export
        # would scan all entries.
        self._by_unit: dict[tuple[str, int], dict[str, HistoryEntry]] = {}
        self._creation_heap: list[tuple[float, str]] = []
        self._answer_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.retained_bytes = 0
        self.evicted_until = float("-inf")

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, request_id: str) -> HistoryEntry | None:
        """Return the entry of the identifier, or None."""
        return self._entries.get(request_id)

    def add(self, entry: HistoryEntry) -> bool:
        """Add an entry in progress; return False if nothing can be evicted for it."""
        if entry.request_id not in self._entries and not self._make_room():
            return False
        self._entries[entry.request_id] = entry
        unit = self._by_unit.setdefault((entry.service, entry.unit), {})
        unit[entry.request_id] = entry
        return True

    def restart(self, entry: HistoryEntry, ticket: int) -> None:
        """Set a finished entry back to in progress."""
        self._drop_answer(entry)
        entry.ticket, entry.result = ticket, IN_PROGRESS

    def finish(self, entry: HistoryEntry, result: Answer | Refusal) -> None:
        """Store the result of an entry in progress."""
        entry.result = result
        if isinstance(result, Answer):
            self._retain_answer(entry, result)
        if not entry.in_creation_heap:
            heapq.heappush(self._creation_heap, (entry.created, entry.request_id))
            entry.in_creation_heap = True

    def discard(self, entry: HistoryEntry) -> None:
        """Remove an entry in progress whose request is proven not to have run."""
        if entry.request_id in self._entries:
            self._remove_entry(entry)

    def expire(self, wall: float) -> None:
        """Evict finished entries whose identifiers are older than the lifetime."""
        while self._creation_heap:
            if self._creation_heap[0][0] >= wall - self._lifetime_seconds:
                return
            self._evict_oldest()

    def export(
        self, service: str, unit: int, *, repeatable: bool
    ) -> list[RequestRecord]:
        """Return the entries of a unit; those in progress get an unknown outcome."""
        return [
            RequestRecord(
                entry.request_id,
                entry.created,
                entry.digest,
                repeatable,
                Refusal.of(RefusalReason.IN_PROGRESS)
                if entry.result is IN_PROGRESS
                else entry.result,
            )
            for entry in self._by_unit.get((service, unit), {}).values()
        ]

    def import_record(self, service: str, unit: int, record: RequestRecord) -> None:
        """Add an entry that another coordinator exported."""
        if record.request_id in self._entries:
            return
        entry = HistoryEntry(
            record.request_id, record.created, service, unit, record.digest, ticket=0
        )
        if self.add(entry):
            self.finish(entry, record.result)
        else:
            self.evicted_until = max(self.evicted_until, record.created)

    def _make_room(self) -> bool:
        while len(self._entries) >= self.max_entries:
            if not self._creation_heap:
                return False
            self._evict_oldest()
        return True

    def _evict_oldest(self) -> None:
        # The oldest identifier is evicted first, because afterwards each request whose
        # identifier is missing from the table and not newer than an evicted one
        # counts as possibly run. Expired entries raise `evicted_until` too, because the
        # wall clock may be set back.
        created, request_id = heapq.heappop(self._creation_heap)
        entry = self._entries.get(request_id)
        if entry is None:
            return
        entry.in_creation_heap = False
        if entry.result is IN_PROGRESS:
            return
        self._drop_answer(entry)
        self._remove_entry(entry)
        self.evicted_until = max(self.evicted_until, created)

    def _remove_entry(self, entry: HistoryEntry) -> None:
        del self._entries[entry.request_id]
        unit = self._by_unit[entry.service, entry.unit]
        del unit[entry.request_id]
        if not unit:
            del self._by_unit[entry.service, entry.unit]

    def _retain_answer(self, entry: HistoryEntry, answer: Answer) -> None:
        size = answer.size_bytes
        if size > self._max_bytes // MAX_ANSWER_DIVISOR:
            entry.result = _answer_evicted()
            return
        self._answer_sizes[entry.request_id] = size
        self.retained_bytes += size
        # This evicts only answers and no identifiers, so only resends of these
        # requests are affected.
        while self.retained_bytes > self._max_bytes:
            oldest = next(iter(self._answer_sizes))
            self._drop_answer(self._entries[oldest])

    def _drop_answer(self, entry: HistoryEntry) -> None:
        size = self._answer_sizes.pop(entry.request_id, None)
        if size is not None:
            self.retained_bytes -= size
            entry.result = _answer_evicted()


def _answer_evicted() -> Refusal:
    return Refusal.of(RefusalReason.ANSWER_EVICTED)
