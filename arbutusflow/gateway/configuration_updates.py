"""Decodes large configurations beside the requests that are served meanwhile.

Invariants: the event loop is not held for longer than it takes to decode
`ROUTES_PER_STEP` routes. Configurations are applied whole and in the order in which
they arrived. One that is overtaken while it waits is left out, one that was begun is
not, so frequent changes do not delay each other.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from arbutusflow.errors import ConfigurationError
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Configuration
from arbutusflow.platform.steps import Steps, finish_between_events

ROUTES_PER_STEP = 250  # 2 ms on the slowest machines deployed.

Decode = Callable[[Any], Steps[Configuration]]
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
            steps = self._decode(spec)
            apply(await finish_between_events(steps, ROUTES_PER_STEP))
        except ConfigurationError as exc:
            self._log.write("configuration_rejected", detail=str(exc))
        except Exception as exc:
            # A fault in one configuration must not keep later ones from being applied.
            self._log.write_exception("configuration", exc)
