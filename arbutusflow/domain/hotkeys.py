"""Bounded sketch of the most frequent keys (space saving).

Invariants: at most `capacity` keys are counted; a count is never below the true
frequency and exceeds it by at most its `error`; a key that makes up more than
1 / `capacity` of all observations is counted.
"""

import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, slots=True)
class HotKey:
    """A frequent key; its true frequency is between `count - error` and `count`."""

    key: str
    count: int
    error: int


class HotKeySketch:
    """Counts observations of keys in bounded memory."""

    def __init__(self, capacity: int = 512) -> None:
        self._capacity = capacity
        self._counts: dict[str, int] = {}
        self._errors: dict[str, int] = {}
        # Lower bounds of the counts; an entry is brought up to date when it is
        # taken, so an observation of a counted key costs no heap operation.
        self._lowest: list[tuple[int, str]] = []

    def observe(self, key: str) -> None:
        """Count one observation of `key`."""
        if key in self._counts:
            self._counts[key] += 1
            return
        error = 0
        if len(self._counts) == self._capacity:
            error = self._evict()
        self._counts[key] = error + 1
        self._errors[key] = error
        heapq.heappush(self._lowest, (error + 1, key))

    def hottest(self, number: int) -> list[HotKey]:
        """Return the `number` keys with the highest counts, highest first."""
        names = heapq.nlargest(
            number, self._counts, key=lambda key: (self._counts[key], key)
        )
        return [HotKey(key, self._counts[key], self._errors[key]) for key in names]

    def halve(self) -> None:
        """Halve all counts, so that old observations lose weight."""
        self._counts = {key: count // 2 for key, count in self._counts.items()}
        self._errors = {key: error // 2 for key, error in self._errors.items()}
        self._lowest = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._lowest)

    def _evict(self) -> int:
        """Drop a key with the lowest count and return that count."""
        while True:
            bound, key = self._lowest[0]
            count = self._counts[key]
            if bound == count:
                heapq.heappop(self._lowest)
                del self._counts[key], self._errors[key]
                return count
            heapq.heapreplace(self._lowest, (count, key))
