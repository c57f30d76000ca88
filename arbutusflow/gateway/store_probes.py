"""Checks whether the store answers, where the calls under way would not show it.

A watch that gets no answer does not end, and a parked copy makes no calls. Granters
that watch for others therefore make a small call after some time without an answer,
which shows as well whether a watch has missed changes. So do followers whose granters
cannot read the store, because it may answer the followers.
"""

import asyncio
from collections.abc import Callable, Mapping

from arbutusflow.errors import PlatformError
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoreClient

PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.6  # A slow store answers within about 0.3 s.
FOLLOWER_PROBE_INTERVAL_SECONDS = 1.0  # Every call is priced, including rejected ones.
# After an outage, the granters usually reach the store before a second probe does.
PROBES_AFTER_FAILURE = 2


class StoreProbes:
    """The probes of one instance."""

    def __init__(
        self,
        store: StoreClient,
        copies: Mapping[str, ObjectCopy],
        on_lost: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._copies = copies
        self._on_lost = on_lost  # Called when a granter no longer reaches the store.
        self._task: asyncio.Task[None] | None = None
        self._probed_at = -1e9
        # Whether a granter checks the store once although no other relies on it.
        self.wanted = False
        # Whether a follower has to read the store, which its granters cannot read.
        self.follower_reads = False
        self._answers_needed = 1

    def check_as_granter(self, now: float) -> None:
        """Check that the store still answers, if others rely on this instance."""
        copies = list(self._copies.values())
        if not self.wanted:
            copies = [copy for copy in copies if not copy.parked]
        if self._task is not None or not copies:
            return
        if any(copy.unreachable_since is not None for copy in copies):
            return
        last = max(self._probed_at, *(copy.answered_at for copy in copies))
        if now - last >= PROBE_INTERVAL_SECONDS:
            self.wanted = False
            self._task = self._loop.create_task(self._probe_as_granter(copies))

    async def _probe_as_granter(self, copies: list[ObjectCopy]) -> None:
        watching = [copy for copy in copies if copy.watches_closely]
        try:
            if watching:
                checked = min(watching, key=lambda copy: copy.checked_at)
                await checked.check_watch(PROBE_TIMEOUT_SECONDS)
            else:
                await self._store.probe(PROBE_TIMEOUT_SECONDS)
        except PlatformError as exc:
            for copy in copies:
                copy.report_call_failure(str(exc))
            self._on_lost()
        finally:
            self._task = None
            self._probed_at = self._loop.time()

    def check_now(self) -> None:
        """Make one call unless the store is known not to answer; it shows the era."""
        copies = self._copies.values()
        if self._task is None and all(c.unreachable_since is None for c in copies):
            self._task = self._loop.create_task(self._probe_once())

    async def _probe_once(self) -> None:
        try:
            await self._store.probe(PROBE_TIMEOUT_SECONDS)
        except PlatformError:
            pass  # Copies that are not parked show whether the store answers.
        finally:
            self._task = None
            self._probed_at = self._loop.time()

    def check_as_follower(self, now: float, *, granters_lost_store: bool) -> None:
        """Check whether the store answers this instance but none of the granters."""
        if not granters_lost_store:
            self.follower_reads = False
            self._answers_needed = 1
            return
        if self._task is not None:
            return
        if now - self._probed_at >= FOLLOWER_PROBE_INTERVAL_SECONDS:
            self._task = self._loop.create_task(self._probe_as_follower())

    async def _probe_as_follower(self) -> None:
        try:
            await self._store.probe(PROBE_TIMEOUT_SECONDS)
        except PlatformError:
            # The copies count as unreachable already, and the granters have logged it.
            self.follower_reads = False
            self._answers_needed = PROBES_AFTER_FAILURE
        else:
            self._answers_needed -= 1
            if self._answers_needed <= 0 and not self.follower_reads:
                self.follower_reads = True
                for copy in self._copies.values():
                    copy.report_call_success()
        finally:
            self._task = None
            self._probed_at = self._loop.time()

    def close(self) -> None:
        """Cancel the probe under way."""
        if self._task is not None:
            self._task.cancel()
