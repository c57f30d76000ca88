"""Measures how late the process of a run is.

The store, the endpoints and the callers of a run share its event loop. While that is
late, instances lose the store without any fault, and rules that presume that they are
in touch are judged wrongly. Nothing is excused by it; it explains what was found.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

PERIOD_SECONDS = 0.05
NOTABLE_SECONDS = 0.3  # Calls to the store fail after 0.7 s without an answer.


@dataclasses.dataclass(frozen=True)
class Delay:
    """A time in which the event loop did no work that was due."""

    at: float  # When it ended, on the clock of the run.
    seconds: float


class Lateness:
    """Delays of the event loop since the measurement began."""

    def __init__(self) -> None:
        self.longest_seconds = 0.0
        self.notable: list[Delay] = []

    async def measure(self, is_active: Callable[[], bool]) -> None:
        """Measure while `is_active` returns true."""
        while is_active():
            due = time.monotonic() + PERIOD_SECONDS
            await asyncio.sleep(PERIOD_SECONDS)
            self.record(due, time.monotonic())

    def record(self, due: float, now: float) -> None:
        """Record that work that was due was done now."""
        self.longest_seconds = max(self.longest_seconds, now - due)
        if now - due >= NOTABLE_SECONDS:
            self.notable.append(Delay(now, now - due))

    def lines(self, zero: float) -> list[str]:
        """Return the notable delays, in seconds since `zero`."""
        return [f"{d.at - zero:.3f} late by {d.seconds:.2f}" for d in self.notable]
