"""Keeps a copy of one kind of object up to date by list and watch.

Invariants: the copy never goes back to an older revision; the time at which it was
last known to be current is a lower bound.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from arbutusflow.domain.errors import HistoryGoneError, PlatformError
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.platform.store import (
    Change,
    StoreClient,
    StoredObject,
)

FIRST_PAUSE_SECONDS = 0.2  # After a failed call; doubles up to the longest.
LONGEST_PAUSE_SECONDS = 0.5
FOLLOWER_PAUSE_SECONDS = 1.5
# A call that the store lost is never answered, so the first calls after a loss are
# given up soon; a slow store takes about 0.5 s, so later ones get more time.
FIRST_CALL_SECONDS = 0.7
LONGEST_CALL_SECONDS = 2.0
# How long other instances may know later objects before a watch counts as silent.
BEHIND_SECONDS = 0.3
# Reports across zones of a large fleet are 0.9 s apart, and one may be lost.
BEHIND_RESET_SECONDS = 2.5
# An answer that was begun arrives without such pauses, also over a link of 5 Mbit/s.
STALL_SECONDS = 0.7


class ObjectCopy:
    """Objects of one kind as the store had them at `revision`."""

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        wait_seconds: float,
        on_change: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._store = store
        self._kind = kind
        self.wait_seconds = wait_seconds
        self._on_change = on_change
        self._log = log
        self._list_needed = True
        self._call: asyncio.Future[None] | None = None
        self._recalled = False
        self._call_seconds = FIRST_CALL_SECONDS
        self._behind_since: float | None = None
        self._receipt = ResponseProgress(STALL_SECONDS)
        # Whether news may come seconds late, which costs a tenth. The copy is then not
        # known to be current, and others have to tell when it is behind.
        self.may_lag = False
        # Pause after news on a watch that may lag, so that one call tells of several.
        self.gather_seconds = 0.0
        self._exact_next = False  # The next watch is not to lag.
        self.objects: dict[str, StoredObject] = {}
        self._latest: int | None = 0  # None when it has to be computed anew.
        self.leader: ObjectCopy | None = None  # Whose calls find a lost store first.
        self._told = False  # The objects are those that another instance told.
        self.revision = 0
        self.current_at = -1e9  # When the copy was last known to be current.
        self.lost_at: float | None = None  # Since when the store does not answer.
        # When the store answered again; the copy counts from its creation.
        self.regained_at = asyncio.get_running_loop().time()
        self._rng = random.Random()

    @property
    def known(self) -> bool:
        """Whether the objects were ever read."""
        return self.revision > 0

    @property
    def usable(self) -> bool:
        """Whether the objects were read, or told by another instance."""
        return self.known or self._told

    def use_told(self, objects: Iterable[StoredObject]) -> None:
        """Use objects that another instance told until the store is read."""
        if self.known:
            return
        self.objects = {item.name: item for item in objects}
        self._latest = None
        self._told = True
        self._log.write("store_copy_told", kind=self._kind, objects=len(self.objects))
        self._on_change()

    def touch_age(self, now: float) -> float:
        """Return for how long the store has answered; negative if it does not."""
        return -1.0 if self.lost_at is not None else now - self.regained_at

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                if await self._step():
                    self._note_contact()
                    self._call_seconds = FIRST_CALL_SECONDS
                pause = FIRST_PAUSE_SECONDS
            except HistoryGoneError:
                self._log.write("store_history_gone", kind=self._kind)
                self._list_needed = True
            except PlatformError as exc:
                self._note_loss(str(exc))
                self._list_needed = True
                self._call_seconds = min(LONGEST_CALL_SECONDS, self._call_seconds * 2)
                await self._pause(pause * self._rng.uniform(0.7, 1.3))
                pause = min(LONGEST_PAUSE_SECONDS, pause * 1.5)
            except Exception as exc:
                # A fault of this program while it took changes over. Without the
                # copy the instance would serve by an old state for ever.
                self._log.write_exception(f"store copy of {self._kind}", exc)
                self._list_needed = True
                await asyncio.sleep(LONGEST_PAUSE_SECONDS)

    async def _pause(self, seconds: float) -> None:
        """Wait before another call to a store that does not answer.

        One copy tries again soon; the others follow once it has an answer, since each
        call is priced, also one that the store turns away.
        """
        leader = self.leader
        if leader is None or leader.lost_at is None:
            await asyncio.sleep(seconds)
            return
        begun = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - begun < FOLLOWER_PAUSE_SECONDS:
            await asyncio.sleep(FIRST_PAUSE_SECONDS / 2)
            if leader.lost_at is None:
                return

    async def _step(self) -> bool:
        """Make one call; return whether the store answered it."""
        call = self._read() if self._list_needed else self._follow()
        self._call = asyncio.ensure_future(call)
        try:
            # Unlike awaiting the call itself, this tells its recall from the end of
            # this task.
            await asyncio.wait([self._call])
        except asyncio.CancelledError:
            self._call.cancel()
            raise
        self._recalled = False
        if self._call.cancelled():
            return False
        self._call.result()
        return True

    def suspect(self, detail: str) -> None:
        """Check the store at once: another call got no answer.

        A waiting watch does not show that the store is away.
        """
        self._note_loss(detail)
        self._list_needed = True
        self._recall()

    def use(self, wait_seconds: float, *, may_lag: bool) -> None:
        """Set how the store is watched; a stricter watch begins at once."""
        stricter = wait_seconds < self.wait_seconds or (self.may_lag and not may_lag)
        self.wait_seconds, self.may_lag = wait_seconds, may_lag
        if stricter and not self._list_needed:
            self._recall()

    def _recall(self) -> None:
        """End the call under way, so that the next one begins."""
        if self._call is not None and not self._call.done() and not self._recalled:
            self._recalled = True
            self._call.cancel()

    async def _read(self) -> None:
        started = asyncio.get_running_loop().time()
        self._receipt = ResponseProgress(STALL_SECONDS)
        snapshot = await self._store.list(self._kind, self._call_seconds, self._receipt)
        if snapshot.revision < self.revision:
            return  # An answer that was under way while a later one arrived.
        objects = {item.name: item for item in snapshot.objects}
        for name, item in self.objects.items():
            if item.revision > snapshot.revision:  # Adopted from a later write.
                objects[name] = item
        self.objects = objects
        self._latest = None
        self.revision = snapshot.revision
        self.current_at = started
        self._list_needed = False
        self._note_contact()
        self._on_change()

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        wait, may_lag = self.wait_seconds, self.may_lag and not self._exact_next
        self._exact_next = False
        self._receipt = ResponseProgress(STALL_SECONDS)
        result = await self._store.watch(
            self._kind, self.revision, wait, self._receipt, may_lag=may_lag
        )
        elapsed = loop.time() - started
        if result.revision < self.revision:
            self._list_needed = True
            return
        for change in result.changes:
            self._apply(change)
        self.revision = result.revision
        # An empty answer was given after the whole wait; one with changes may have
        # been under way since the watch began.
        if not may_lag:
            waited = wait if not result.changes and elapsed >= wait else 0
            self.current_at = started + waited
        self._note_contact()
        if not result.changes:
            return
        self._on_change()
        if may_lag and self.gather_seconds:
            await asyncio.sleep(self.gather_seconds)

    @property
    def latest(self) -> int:
        """Revision of the object that was written last."""
        if self._latest is None:
            revisions = (item.revision for item in self.objects.values())
            self._latest = max(revisions, default=0)
        return self._latest

    def note_latest_elsewhere(self, revision: int, now: float) -> None:
        """Watch anew if another instance has known a later object for a while.

        A connection can fall silent while new ones work, and a watch may lag.
        """
        if revision <= self.latest:
            return
        if now - self._receipt.received_at < STALL_SECONDS:
            return  # A long answer is arriving, which may hold the object.
        since = self._behind_since
        if since is None or now - since > BEHIND_RESET_SECONDS:
            self._behind_since = now
        elif now - since >= BEHIND_SECONDS:
            # The next question waits until this call had its time.
            self._behind_since = now + LONGEST_CALL_SECONDS / 2
            self._log.write_rate_limited(
                "store_copy_behind", kind=self._kind, other=revision
            )
            self._exact_next = True
            self._recall()

    def _apply(self, change: Change) -> None:
        if not change.removed:
            self.adopt(change.object)
            return
        self.objects.pop(change.object.name, None)
        self._latest = None

    def adopt(self, item: StoredObject) -> None:
        """Take over an object unless a later version of it is known."""
        known = self.objects.get(item.name)
        if known is None or known.revision < item.revision:
            self.objects[item.name] = item
            self._latest = None

    def read_again(self) -> None:
        """List the objects with the next call."""
        self._list_needed = True

    def _note_contact(self) -> None:
        if self.lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._log.write(
            "store_regained", kind=self._kind, after_seconds=now - self.lost_at
        )
        self.lost_at = None
        self.regained_at = now

    def _note_loss(self, detail: str) -> None:
        if self.lost_at is None:
            self.lost_at = asyncio.get_running_loop().time()
            self._log.write(
                "store_lost", kind=self._kind, detail=detail, revision=self.revision
            )
