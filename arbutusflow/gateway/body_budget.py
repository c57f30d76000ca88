"""Limit on the total size of request bodies in the memory of an instance.

Invariant: the reserved bytes never exceed the limit. Reservations do not wait: a
request whose body does not fit is refused. Small bodies are not counted.
"""

from collections.abc import Callable

# Bodies up to this size are not counted, so that large uploads cannot displace urgent
# requests, which have small bodies. The number of connections bounds their memory.
SMALL_BODY_BYTES = 16_384


class BodyBudget:
    """Tracks the bytes reserved for the bodies of requests in progress."""

    def __init__(self, limit_bytes: Callable[[], int]) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; return False without reserving if they do not fit."""
        if self.held_bytes + size > self._limit_bytes():
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size
