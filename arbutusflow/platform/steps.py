"""Long computations in steps, beside the requests that are served meanwhile.

A computation is a generator that yields after each step and returns its result.
"""

import asyncio
from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")
Steps = Generator[None, None, Result]


def finish(steps: Steps[Result]) -> Result:
    """Take all steps at once. Raises what they raise."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


async def finish_between_events(steps: Steps[Result], steps_at_once: int) -> Result:
    """Let the event loop go round after each few steps. Raises what they raise."""
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result
        count += 1
        if count % steps_at_once == 0:
            await asyncio.sleep(0)
