"""Bound on the bytes of request bodies that an instance holds at once.

Invariant: the bytes taken and not released never exceed the limit. Nothing waits:
a request that does not fit is refused. Small bodies are not counted.
"""

from collections.abc import Callable

# Uploads must not crowd out urgent work, whose bodies are small. Their memory is
# bounded by the number of connections.
SMALL_BODY_BYTES = 16_384


class BodyBudget:
    """Counts the bodies of the requests in progress."""

    def __init__(self, limit_bytes: Callable[[], int]) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; return False, and reserve nothing, if too many."""
        if self.held_bytes + size > self._limit_bytes():
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give reserved bytes back."""
        self.held_bytes -= size
