"""Tells in the log how close the process came to its limit on memory.

A process that exceeds the limit is killed and can write nothing then.

Invariant: a process writes at most one line for each of `STEPS`.
"""

import contextlib
import ctypes
import pathlib
import resource

from arbutusflow.gateway.error_reports import Describe
from arbutusflow.gateway.event_log import EventLog

SIZE_PATH = pathlib.Path("/proc/self/statm")
# Parameters of `mallopt` of the C library (malloc.h).
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Blocks of this size have pages of their own. By default the C library raises its
# threshold to the largest block that was freed, up to 32 MiB; bodies that grow side by
# side then move within the heap, which took 76 MB more than the bodies (47 MB). The
# buffers in which asyncio reads (256 KiB) stay in the heap, which is faster.
OWN_PAGES_BYTES = 524_288
TRIM_BYTES = 4_194_304  # Free memory at the end of the heap that is kept.
STEPS = (0.5, 0.6, 0.7, 0.8, 0.9)  # Parts of the limit.


def peak_bytes() -> int:
    """Return the largest size of the process in memory so far."""
    return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def return_large_blocks() -> None:
    """Let the C library return the memory of large blocks as soon as they are freed.

    Without effect where the C library has no such setting.
    """
    with contextlib.suppress(AttributeError, OSError):
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, OWN_PAGES_BYTES)
        library.mallopt(_M_TRIM_THRESHOLD, TRIM_BYTES)


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
