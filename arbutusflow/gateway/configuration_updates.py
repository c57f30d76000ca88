"""Decodes large configurations beside the requests that are served meanwhile.

Invariants: the event loop is not held for longer than it takes to decode
`ROUTES_PER_STEP` routes. Configurations are applied whole and in the order in which
they arrived. One that is overtaken while it waits is left out, one that was begun is
not, so frequent changes do not delay each other.
"""

import asyncio
from collections.abc import Callable, Generator
from typing import Any

from arbutusflow.errors import ConfigurationError
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Configuration

ROUTES_PER_STEP = 250  # 2 ms on the slowest machines deployed.

Decode = Callable[[Any], Generator[None, None, Configuration]]
Apply = Callable[[Configuration], None]


class ConfigurationUpdates:
    """Decodes the documents of configurations one after the other."""

    def __init__(self, decode: Decode, log: EventLog) -> None:
        self._decode = decode  # Yields after each route.
        self._log = log
        self._next: tuple[Any, Apply] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, spec: Any, apply: Apply) -> None:
        """Decode a document and pass the configuration to `apply`."""
        self._next = spec, apply
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._next is not None:
                (spec, apply), self._next = self._next, None
                await self._update(spec, apply)
        finally:
            self._task = None

    async def _update(self, spec: Any, apply: Apply) -> None:
        try:
            apply(await self._decode_in_steps(spec))
        except ConfigurationError as exc:
            self._log.write("configuration_rejected", detail=str(exc))
        except Exception as exc:
            # A fault in one configuration must not keep later ones from being applied.
            self._log.write_exception("configuration", exc)

    async def _decode_in_steps(self, spec: Any) -> Configuration:
        """Return the configuration. Raises ConfigurationError."""
        steps, routes = self._decode(spec), 0
        while True:
            try:
                next(steps)
            except StopIteration as end:
                cfg: Configuration = end.value
                return cfg
            routes += 1
            if routes % ROUTES_PER_STEP == 0:
                await asyncio.sleep(0)
