"""Timer service that the tasks of one event loop subscribe to.

Invariant: a subscriber that raises does not stop the others, and a period that
was missed is not made up for.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

OnError = Callable[[str, BaseException], None]


class Timers(Protocol):
    """What a task needs to be called again and again."""

    def subscribe(
        self, period_seconds: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call `callback` each `period_seconds`; the result cancels that."""
        ...


class TimerService:
    """Timers on an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_error: OnError) -> None:
        self._loop = loop
        self._on_error = on_error  # Logs what a subscriber raised.

    def subscribe(
        self, period_seconds: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call `callback` each `period_seconds`; the result cancels that."""
        handle: asyncio.TimerHandle
        cancelled = False

        def run() -> None:
            nonlocal handle
            if cancelled:
                return
            handle = self._loop.call_later(period_seconds, run)
            try:
                callback()
            except Exception as exc:
                self._on_error("timer callback failed", exc)

        def cancel() -> None:
            nonlocal cancelled
            cancelled = True
            handle.cancel()

        handle = self._loop.call_later(period_seconds, run)
        return cancel
