"""Tells in the log how close the process came to its limit on memory.

A process that exceeds the limit is killed and can write nothing then.

Invariant: a process writes at most one line for each of `STEPS`.
"""

import pathlib
import resource

from arbutusflow.gateway.error_reports import Describe
from arbutusflow.gateway.event_log import EventLog

SIZE_PATH = pathlib.Path("/proc/self/statm")
STEPS = (0.5, 0.6, 0.7, 0.8, 0.9)  # Parts of the limit.


def peak_bytes() -> int:
    """Return the largest size of the process in memory so far."""
    return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def current_bytes() -> int:
    """Return the size of the process in memory, or its largest one if unknown."""
    try:
        pages = int(SIZE_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return peak_bytes()
    return pages * resource.getpagesize()


class MemoryWatch:
    """Compares the peak with the limit."""

    def __init__(self, limit_bytes: int, describe: Describe, log: EventLog) -> None:
        self._limit_bytes = limit_bytes
        self._describe = describe
        self._log = log
        self._steps_reached = 0

    def check(self) -> None:
        """Log that the peak has reached further steps, if it has."""
        peak = peak_bytes()
        reached = sum(peak >= step * self._limit_bytes for step in STEPS)
        if reached <= self._steps_reached:
            return
        self._steps_reached = reached
        self._log.write(
            "memory_peak",
            limit_bytes=self._limit_bytes,
            **self._describe(),
        )
