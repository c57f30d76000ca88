"""Event loop whose clock goes on while the host is suspended.

Invariant: a lease, a right or a deadline that is measured with the clock of the loop
never lasts longer because the host was suspended. CLOCK_MONOTONIC, which asyncio uses,
stops during a suspension, and nothing would show that there was one.
"""

import asyncio
import time


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Selector event loop on CLOCK_BOOTTIME."""

    def time(self) -> float:
        """Return the seconds since the host was started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
