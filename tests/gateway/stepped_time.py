"""Event loop whose clock stands still until the test moves it.

Sockets work as usual, so a test can use real connections and decide at which time their
bytes are handled; its result does not depend on the speed of the host.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any

# Real time after which a test that waits for something that never happens fails.
WATCHDOG_SECONDS = 60.0


class SteppedTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in which timers fire only when the test advances the clock."""

    def __init__(self) -> None:
        self._now = 1000.0
        super().__init__()

    def time(self) -> float:
        """Return the time in seconds that the test has set."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock; timers that are due then fire."""
        self._now += seconds


def advance(seconds: float) -> None:
    """Move the clock of the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SteppedTimeLoop)
    loop.advance(seconds)


async def until(condition: Callable[[], bool]) -> None:
    """Let the loop run, without moving its clock, until the condition holds."""
    while not condition():
        await asyncio.sleep(0)


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion; the test moves the clock."""

    async def main() -> Any:
        task = asyncio.ensure_future(coroutine)
        loop = asyncio.get_running_loop()
        watchdog = threading.Timer(
            WATCHDOG_SECONDS, loop.call_soon_threadsafe, (task.cancel,)
        )
        watchdog.daemon = True
        watchdog.start()
        try:
            return await task
        finally:
            watchdog.cancel()

    with asyncio.Runner(loop_factory=SteppedTimeLoop) as runner:
        return runner.run(main())
