"""Event loop with a simulated clock that advances to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the simulated clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        """Poll the files; advance the clock if none is ready."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop for tests that must not depend on the speed of the host."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
