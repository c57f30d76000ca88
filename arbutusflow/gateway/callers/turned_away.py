"""Reports which callers are rejected or closed, and why, at a bounded rate.

Invariants: all are counted by reason; one address and reason has one line in each
period, with the number of cases since its last one, and there is a bound on the lines
of all addresses together, so that an attack hides no other events. Time is an argument.
"""

import collections
from collections.abc import Callable

PERIOD_SECONDS = 1.0
MAX_LINES_PER_PERIOD = 20

# Writes a line: address, reason, held bytes of the latest case, number of cases.
WriteLine = Callable[[str, str, int, int], None]


class TurnedAway:
    """Counts and reports rejections."""

    def __init__(
        self,
        write: WriteLine = lambda *_: None,
        count: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._write = write
        self._count = count
        self._period_start = float("-inf")
        # Cases without a line, by address and reason, for each line of this period, and
        # the same of the period before.
        self._cases: collections.Counter[tuple[str, str]] = collections.Counter()
        self._previous = self._cases

    def report(self, address: str, reason: str, held_bytes: int, now: float) -> None:
        """Count a case, and write a line unless there was one just now."""
        self._count(reason)
        if now - self._period_start >= PERIOD_SECONDS:
            self._period_start = now
            self._previous, self._cases = self._cases, collections.Counter()
        key = (address, reason)
        if key in self._cases:
            self._cases[key] += 1
        elif len(self._cases) < MAX_LINES_PER_PERIOD:
            self._cases[key] = 0
            self._write(address, reason, held_bytes, 1 + self._previous[key])
