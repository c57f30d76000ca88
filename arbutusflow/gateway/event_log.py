"""Logs events as JSON lines on standard output, without blocking.

Invariants: a line is written completely or not at all; a reader that does not keep up
causes dropped lines, never delays. So does a line that a handler of a signal writes
while another one is being written. Dropped lines are counted and reported when writing
resumes.
"""

import contextlib
import os
import time
import traceback
from typing import Any

import msgspec

MAX_LINES_PER_SECOND = 200  # Limits the CPU time spent on rate-limited events.
MAX_TEXT_CHARACTERS = 4000  # Of a field; text of others may be megabytes long.
STDOUT = 1


class EventLog:
    """Writes one JSON line per event."""

    def __init__(self, instance: str, fd: int = STDOUT) -> None:
        self._fd = fd
        self._instance = instance
        self._encoder = msgspec.json.Encoder()
        self._current_second = 0
        self._lines_this_second = 0
        self._unwritten = b""
        self._is_writing = False
        self.dropped = 0
        # If standard output is closed, all lines are dropped and counted in `dropped`.
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    def write(self, event: str, /, **fields: Any) -> None:
        """Write an event; it is dropped only if the output does not accept it."""
        dropped = self.dropped
        if dropped and self._emit({"event": "log_lines_dropped", "count": dropped}):
            self.dropped -= dropped
        if not self._emit({"event": event, **fields}):
            self.dropped += 1

    def write_rate_limited(self, event: str, /, **fields: Any) -> None:
        """Write an event unless this second's limit on such lines is reached."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        if self._lines_this_second > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        self.write(event, **fields)

    def write_exception(self, during: str, exc: BaseException) -> None:
        """Write an error that the process recovers from, with its traceback."""
        self.write(
            "error",
            during=during,
            error=type(exc).__name__,
            detail="".join(traceback.format_exception(exc, limit=-6)),
        )

    def _emit(self, fields: dict[str, Any]) -> bool:
        """Write a line; return whether it is written or will be completed later."""
        if self._is_writing:
            return False
        self._is_writing = True
        try:
            line = {"time": round(time.time(), 4), "instance": self._instance}
            line.update((name, _shortened(value)) for name, value in fields.items())
            data = self._unwritten + self._encoder.encode(line) + b"\n"
            written = os.write(self._fd, data)
            self._unwritten = data[written:]
        except OSError:
            # The pipe is full or closed. The rest of a partly written line is kept.
            return False
        finally:
            self._is_writing = False
        return True


def _shortened(value: Any) -> Any:
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
        return value[:MAX_TEXT_CHARACTERS] + "..."
    return value
