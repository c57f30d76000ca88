"""Limit on the total size of bodies in the memory of an instance.

Invariant: the bytes that are reserved ahead never exceed the limit. Requests do not
wait: one whose body does not fit is refused. Responses may wait, and get memory that is
released in the order in which they asked for it. Small bodies are not counted. What
callers have not taken is counted on top, so that nothing is reserved beside too much of
it; all together stays below twice the limit.
"""

import collections
import dataclasses
from collections.abc import Callable

# Bodies up to this size are not counted, so that large uploads cannot displace urgent
# requests, which have small bodies. The number of connections bounds their memory.
SMALL_BODY_BYTES = 16_384


@dataclasses.dataclass(eq=False, slots=True)
class MemoryWait:
    """Bytes that are waited for; `on_reserved` is called when they are reserved."""

    size: int
    on_reserved: Callable[[int], None]


class BodyBudget:
    """Tracks the bytes reserved for the bodies of requests in progress."""

    def __init__(self, limit_bytes: Callable[[], int]) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self._waits: collections.deque[MemoryWait] = collections.deque()

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; return False without reserving if they do not fit."""
        if self.held_bytes + size > self._limit_bytes():
            return False
        self.held_bytes += size
        return True

    def fits(self, size: int) -> bool:
        """Return whether so many bytes could be reserved if nothing else were."""
        return size <= self._limit_bytes()

    def wait(self, wait: MemoryWait) -> None:
        """Reserve the bytes as soon as there is memory for them, not at once."""
        self._waits.append(wait)

    def end_wait(self, wait: MemoryWait) -> None:
        """Wait no longer."""
        self._waits.remove(wait)
        self._serve_waits()

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size
        self._serve_waits()

    def count(self, change: int) -> None:
        """Count bytes that are in memory already, or that have left it."""
        self.held_bytes += change
        self._serve_waits()

    def _serve_waits(self) -> None:
        while self._waits and self.take(self._waits[0].size):
            wait = self._waits.popleft()
            wait.on_reserved(wait.size)
