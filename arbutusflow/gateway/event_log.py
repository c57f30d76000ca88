"""Logs as JSON lines on standard output, bounded in volume and never blocking.

Invariants: a line is written whole or not at all; a reader that does not read costs
lines, never time. Lost lines are counted and reported when writing goes on.
"""

import contextlib
import os
import time
import traceback
from typing import Any

import msgspec

MAX_LINES_PER_SECOND = 200  # Bounds the processor time that logs take in a flood.
STDOUT = 1


class EventLog:
    """Writes one JSON line per event."""

    def __init__(self, instance: str, fd: int = STDOUT) -> None:
        self._fd = fd
        self._instance = instance
        self._encoder = msgspec.json.Encoder()
        self._second = 0
        self._lines = 0
        self._partial = b""
        self.dropped = 0
        # A closed standard output loses lines, which `dropped` counts.
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    def write(self, event: str, /, **fields: Any) -> None:
        """Write an event that is always kept unless the reader is stuck."""
        dropped = self.dropped
        if dropped and self._emit({"event": "log_lines_dropped", "count": dropped}):
            self.dropped -= dropped
        if not self._emit({"event": event, **fields}):
            self.dropped += 1

    def write_rate_limited(self, event: str, /, **fields: Any) -> None:
        """Write an event unless the lines of this second are used up."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        self.write(event, **fields)

    def write_exception(self, during: str, exc: BaseException) -> None:
        """Write an error that the process goes on after, with its traceback."""
        self.write(
            "error",
            during=during,
            error=type(exc).__name__,
            detail="".join(traceback.format_exception(exc, limit=-6)),
        )

    def _emit(self, fields: dict[str, Any]) -> bool:
        """Write a line; return whether it is out or will be completed."""
        line = {"time": round(time.time(), 4), "instance": self._instance, **fields}
        data = self._partial + self._encoder.encode(line) + b"\n"
        try:
            written = os.write(self._fd, data)
        except OSError:
            # The pipe is full or closed. The rest of a line that was begun is kept.
            return False
        self._partial = data[written:]
        return True
