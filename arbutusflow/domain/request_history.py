"""Request identifiers that a coordinator knows, with the answers it retains.

Invariants: every identifier that may have run, was created after `evicted_until`
and is not older than the lifetime is known. Entries in progress are never evicted.
The number of entries and the bytes of retained answers are bounded.
"""

import collections
import dataclasses
import heapq
import uuid

from arbutusflow.domain.delivery_messages import Answer, RequestRecord
from arbutusflow.domain.reasons import Refusal, RefusalReason

LARGEST_ANSWER_SHARE = 4  # One answer takes at most a quarter of the bytes.

IN_PROGRESS = None
Result = Answer | Refusal | None


@dataclasses.dataclass(slots=True)
class Entry:
    """One identifier; `result` is `IN_PROGRESS` while `ticket` has not ended."""

    request_id: str
    created: float
    service: str
    unit: int
    digest: bytes
    ticket: int
    result: Result = IN_PROGRESS
    ordered: bool = False


def created_seconds(request_id: str) -> float | None:
    """Return the creation time in a UUID of version 7, or None if it is not one.

    RFC 9562, section 5.7: the first 48 bits are milliseconds of the Unix time.
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


class RequestHistory:
    """Bounded table of request identifiers."""

    def __init__(
        self, max_entries: int, max_bytes: int, lifetime_seconds: float
    ) -> None:
        self.max_entries = max_entries
        self._max_bytes = max_bytes
        self._lifetime_seconds = lifetime_seconds
        self._entries: dict[str, Entry] = {}
        # A hand-over exports each unit of an endpoint; without this index each
        # export would visit all entries.
        self._by_unit: dict[tuple[str, int], dict[str, Entry]] = {}
        self._by_creation: list[tuple[float, str]] = []
        self._answers: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.bytes_retained = 0
        self.evicted_until = float("-inf")

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, request_id: str) -> Entry | None:
        """Return what is known of the identifier."""
        return self._entries.get(request_id)

    def begin(self, entry: Entry) -> bool:
        """Add an entry in progress; return False if no entry can make room."""
        if entry.request_id not in self._entries and not self._make_room():
            return False
        self._entries[entry.request_id] = entry
        unit = self._by_unit.setdefault((entry.service, entry.unit), {})
        unit[entry.request_id] = entry
        return True

    def begin_again(self, entry: Entry, ticket: int) -> None:
        """Set a finished entry in progress."""
        self._drop_answer(entry)
        entry.ticket, entry.result = ticket, IN_PROGRESS

    def finish(self, entry: Entry, result: Answer | Refusal) -> None:
        """Retain the result of an entry in progress."""
        entry.result = result
        if isinstance(result, Answer):
            self._retain(entry, result)
        if not entry.ordered:
            heapq.heappush(self._by_creation, (entry.created, entry.request_id))
            entry.ordered = True

    def forget(self, entry: Entry) -> None:
        """Remove an entry in progress whose request is proved not to have run."""
        if entry.request_id in self._entries:
            self._remove(entry)

    def expire(self, wall: float) -> None:
        """Drop finished entries whose identifiers are refused by their age."""
        while self._by_creation:
            if self._by_creation[0][0] >= wall - self._lifetime_seconds:
                return
            self._evict_oldest()

    def export(
        self, service: str, unit: int, *, repeatable: bool
    ) -> list[RequestRecord]:
        """Return the entries of a unit; those in progress may have run."""
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

    def adopt(self, service: str, unit: int, known: RequestRecord) -> None:
        """Add a finished entry that another coordinator kept."""
        if known.request_id in self._entries:
            return
        entry = Entry(
            known.request_id, known.created, service, unit, known.digest, ticket=0
        )
        if self.begin(entry):
            self.finish(entry, known.result)
        else:
            self.evicted_until = max(self.evicted_until, known.created)

    def _make_room(self) -> bool:
        while len(self._entries) >= self.max_entries:
            if not self._by_creation:
                return False
            self._evict_oldest()
        return True

    def _evict_oldest(self) -> None:
        # The oldest identifier goes first, because all unknown identifiers up to
        # the youngest evicted one are refused afterwards. Expired entries count
        # too: the wall clock may be set back.
        created, request_id = heapq.heappop(self._by_creation)
        entry = self._entries.get(request_id)
        if entry is None:
            return
        entry.ordered = False
        if entry.result is IN_PROGRESS:
            return
        self._drop_answer(entry)
        self._remove(entry)
        self.evicted_until = max(self.evicted_until, created)

    def _remove(self, entry: Entry) -> None:
        del self._entries[entry.request_id]
        unit = self._by_unit[entry.service, entry.unit]
        del unit[entry.request_id]
        if not unit:
            del self._by_unit[entry.service, entry.unit]

    def _retain(self, entry: Entry, answer: Answer) -> None:
        size = answer.size_bytes
        if size > self._max_bytes // LARGEST_ANSWER_SHARE:
            entry.result = _evicted()
            return
        self._answers[entry.request_id] = size
        self.bytes_retained += size
        # The identifiers stay known, so only resends of these requests are affected.
        while self.bytes_retained > self._max_bytes:
            oldest = next(iter(self._answers))
            self._drop_answer(self._entries[oldest])

    def _drop_answer(self, entry: Entry) -> None:
        size = self._answers.pop(entry.request_id, None)
        if size is not None:
            self.bytes_retained -= size
            entry.result = _evicted()


def _evicted() -> Refusal:
    return Refusal.of(RefusalReason.ANSWER_EVICTED)
