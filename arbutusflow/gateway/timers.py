"""Timer service for the tasks of one event loop.

Invariant: an exception in one callback does not stop any timer, and missed periods
are not made up for.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

ErrorHandler = Callable[[str, BaseException], None]


def run_each(
    parts: Iterable[Callable[[float], None]], now: float, on_error: ErrorHandler
) -> None:
    """Call all parts of one piece of periodic work in order, also after an error."""
    for part in parts:
        try:
            part(now)
        except Exception as exc:
            on_error("part of a timer callback failed", exc)


class Timers(Protocol):
    """Interface for periodic callbacks."""

    def subscribe(
        self, period_seconds: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call `callback` every `period_seconds`; the returned function cancels it."""
        ...


class TimerService:
    """Timers of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_error: ErrorHandler) -> None:
        self._loop = loop
        self._on_error = on_error  # Receives the exceptions of callbacks.

    def subscribe(
        self, period_seconds: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call `callback` every `period_seconds`; the returned function cancels it."""
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
