"""Keeps a copy of the store's objects of one kind up to date by list and watch calls.

Other instances can be sent the changes of a copy. A copy that is `parked` makes no
calls, because another instance sends it the changes (see `state_relay`).

When the store enters another era, the objects are listed anew, and replace the copy
whole: revisions of two eras have nothing in common, so no changes lead from one to the
other.

Invariants: the copy never returns to an older revision. `current_at` is a lower bound:
the copy was current then, and possibly later. Changes from another instance do not
affect it.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Iterable, Set

from arbutusflow.errors import HistoryGoneError, ListCutOffError, PlatformError
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import BEFORE_ALL, StorePoint
from arbutusflow.platform.store import (
    Change,
    StoreClient,
    StoredObject,
    StoreEra,
)

INITIAL_RETRY_SECONDS = 0.2  # After a failed call; grows up to `MAX_RETRY_SECONDS`.
MAX_RETRY_SECONDS = 0.5
FOLLOWER_RETRY_SECONDS = 1.5
# The store may drop a call without an answer, so the first call after a failure times
# out early. A slow store takes about 0.5 s, so later calls get more time.
INITIAL_CALL_TIMEOUT_SECONDS = 0.7
MAX_CALL_TIMEOUT_SECONDS = 2.0
# How long a peer may know a later object before the watch under way is cancelled.
BEHIND_TOLERANCE_SECONDS = 0.3
# Reports across zones of a large fleet are sent every 0.9 s, and one may be lost.
BEHIND_RESET_SECONDS = 2.5
# Even over a link of 5 Mbit/s, an answer arrives without gaps of this length.
RECEIVE_STALL_SECONDS = 0.7
# Within which all copies are listed that are read from a store in a new era.
ERA_SPREAD_SECONDS = 0.3
# Recent changes that are kept, so that other instances need not be sent all objects.
MAX_KEPT_BATCHES = 64
MAX_KEPT_BYTES = 4 * 1024 * 1024  # Of their objects; the latest batch is always kept.


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """All changes of the relayed objects from one revision of the store to another."""

    base: StorePoint
    revision: StorePoint
    changes: tuple[Change, ...]

    @property
    def size(self) -> int:
        """Bytes of the objects that the changes keep."""
        return sum(change.object.size for change in self.changes)


class ObjectCopy:
    """Objects of one kind as the store had them at `revision`."""

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        wait_seconds: float,
        on_change: Callable[[], None],
        log: EventLog,
        rng: random.Random | None = None,
        relayed_prefix: str = "",
    ) -> None:
        self._store = store
        self._kind = kind
        self.wait_seconds = wait_seconds
        self._on_change = on_change
        self._log = log
        self._list_needed = True
        self._call: asyncio.Future[None] | None = None
        self._call_cancelled = False
        self._watching = False  # Whether the call under way is a watch.
        self._call_timeout = INITIAL_CALL_TIMEOUT_SECONDS
        self._behind_since: float | None = None
        self._progress = ResponseProgress(RECEIVE_STALL_SECONDS)
        # Whether changes may arrive seconds late. Such a watch costs a tenth of others,
        # but does not show that the copy is current, and peers have to report when it
        # is behind.
        self.may_lag = False
        # Whether other instances may keep no such copy, as their settings decide. Their
        # reports name its revision only beside those of all copies, so later objects
        # are requested from them also while the store is watched.
        self.is_optional = False
        # Whether objects are used although the store has more that cannot be listed.
        # For others the lack of an object counts.
        self.accepts_parts = False
        self.lists_cut_off = 0
        # Delay after changes, so that one call returns several.
        self.coalesce_seconds = 0.0
        self._next_watch_current = False  # Overrides `may_lag` for the next watch.
        self.checked_at = -1e9  # When the watch was last checked.
        self.objects: dict[str, StoredObject] = {}
        self._latest: StorePoint | None = BEFORE_ALL  # None if to be recomputed.
        # The copy that retries an unreachable store on behalf of this one.
        self.retry_leader: ObjectCopy | None = None
        self.revision = BEFORE_ALL
        self._relayed_prefix = relayed_prefix  # Of the objects that are sent to others.
        self._batches: collections.deque[ChangeBatch] = collections.deque()
        self._kept_bytes = 0  # Of all batches.
        self._unparked = asyncio.Event()
        self._unparked.set()
        # Whether the next list of all objects may be seconds old.
        self.list_may_lag = False
        self.current_at = -1e9  # When the copy was last known to be current.
        self.current_revision = BEFORE_ALL  # That it had then.
        self.unreachable_since: float | None = (
            None  # Since when the store does not answer.
        )
        # How the latest objects arrived: "list", "watch", or as "changes" or "objects"
        # that another instance sent.
        self.updated_by = ""
        # Since when the store answers; initially the creation of the copy.
        self.reachable_since = asyncio.get_running_loop().time()
        # When the objects were replaced by those of a later era; very early if never.
        self.era_entered_at = -1e9
        self._rng = rng or random.Random()  # Jitter of retries.
        store.era.subscribers.append(self._on_era)

    @property
    def names(self) -> Set[str]:
        """The names of the objects."""
        return self.objects.keys()

    @property
    def was_read(self) -> bool:
        """Whether the objects were ever read from the store."""
        return self.revision > BEFORE_ALL

    @property
    def era(self) -> StoreEra:
        """The era of the store, of which the copy may still have an earlier one."""
        return self._store.era

    def _on_era(self, before: int, learnt_by: str) -> None:
        """List the objects anew, some time within `ERA_SPREAD_SECONDS`."""
        self._list_needed = True
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._rng.uniform(0.0, ERA_SPREAD_SECONDS), self._cancel_outdated
        )

    def _cancel_outdated(self) -> None:
        if self._watching and self.revision.era < self.era.current:
            self._cancel_call()

    def _enter_era(self, revision: StorePoint) -> bool:
        """Forget the changes of an earlier era if a revision is of a later one.

        Returns whether it is. Raises nothing; the caller replaces all objects.
        """
        if not self.was_read or revision.era == self.revision.era:
            return False
        self._forget_batches()
        self.era_entered_at = asyncio.get_running_loop().time()
        return True

    # Changes from and for other instances.

    @property
    def parked(self) -> bool:
        """Whether another instance sends the changes and the store is not called."""
        return not self._unparked.is_set()

    def set_parked(self, parked: bool) -> None:
        """Stop calling the store, or start again."""
        if parked == self.parked:
            return
        if parked:
            self._unparked.clear()
            self._cancel_call()
        else:
            # What was not relayed must not be late a second time.
            self._next_watch_current = True
            self._unparked.set()

    @property
    def relayed_revision(self) -> StorePoint:
        """Revision up to which the relayed objects have changed.

        `BEFORE_ALL` if they were never read.
        """
        return self._batches[-1].revision if self._batches else BEFORE_ALL

    def relayed_objects(self) -> list[StoredObject]:
        """Return the objects that other instances are sent."""
        return [
            item
            for name, item in self.objects.items()
            if name.startswith(self._relayed_prefix)
        ]

    def changes_between(
        self, base: StorePoint, revision: StorePoint
    ) -> list[Change] | None:
        """Return the changes from one revision to another, or None if not known.

        All copies that know them return the same: the latest change of each object,
        by name.
        """
        if not self._batches or not self._batches[0].base <= base or base == BEFORE_ALL:
            return None
        if revision > self.revision:
            return None
        latest: dict[str, Change] = {}
        for batch in self._batches:
            if batch.revision <= base or batch.base >= revision:
                continue
            if batch.revision > revision:
                return None  # It does not tell which of its changes came later.
            latest.update((change.object.name, change) for change in batch.changes)
        return [
            change
            for _, change in sorted(latest.items())
            if change.removed or change.object.revision > base
        ]

    def _keep_batch(
        self, base: StorePoint, revision: StorePoint, changes: Iterable[Change]
    ) -> None:
        relayed = tuple(
            c for c in changes if c.object.name.startswith(self._relayed_prefix)
        )
        if not relayed and self._batches:
            return
        batch = ChangeBatch(base, revision, relayed)
        self._batches.append(batch)
        self._kept_bytes += batch.size
        while len(self._batches) > 1 and (
            len(self._batches) > MAX_KEPT_BATCHES or self._kept_bytes > MAX_KEPT_BYTES
        ):
            self._kept_bytes -= self._batches.popleft().size

    def _forget_batches(self) -> None:
        self._batches.clear()
        self._kept_bytes = 0

    def apply_relayed_changes(
        self, base: StorePoint, revision: StorePoint, changes: Iterable[Change]
    ) -> None:
        """Apply the changes from `base` to `revision` that another instance sent.

        They are ignored if this copy is older than `base` or not older than `revision`,
        or of another era than either.
        """
        if not self._accepts_relayed or not base <= self.revision < revision:
            return
        if not base.era == self.revision.era == revision.era:
            return
        changes = tuple(changes)
        for change in changes:
            self._apply(change)
        self._keep_batch(base, revision, changes)
        self._end_relayed_update(revision, "changes")

    def use_relayed_objects(
        self, revision: StorePoint, objects: Iterable[StoredObject]
    ) -> None:
        """Replace all objects by those that another instance had at `revision`."""
        if not self._accepts_relayed or revision <= self.revision:
            return
        self.era.advance(revision.era, "objects")
        if revision.era < self.era.current:
            return  # The store has lost what came after these objects, or more.
        self._enter_era(revision)
        self.objects = {item.name: item for item in objects}
        self._forget_batches()
        self._keep_batch(revision, revision, ())
        self._log.write("store_copy_told", kind=self._kind, objects=len(self.objects))
        self._end_relayed_update(revision, "objects")

    @property
    def _accepts_relayed(self) -> bool:
        # A copy of which only some objects are relayed would miss changes of the others
        # if its own watch went on from the relayed revision.
        return self.parked or not self.was_read or not self._relayed_prefix

    def _end_relayed_update(self, revision: StorePoint, updated_by: str) -> None:
        self.revision = revision
        self.updated_by = updated_by
        self._latest = None
        # Objects that are not relayed may have changed since.
        self._list_needed = bool(self._relayed_prefix)
        self._on_change()

    def note_relayed_contact(self, answering_seconds: float, now: float) -> None:
        """Record for how long the store has answered the instance that sends changes.

        Negative if it does not answer.
        """
        if answering_seconds < 0:
            self._mark_unreachable("another instance cannot read the store")
        else:
            self._mark_reachable()
            self.reachable_since = now - answering_seconds

    def connected_seconds(self, now: float) -> float:
        """Return for how long the store has answered; negative if it does not."""
        return (
            -1.0 if self.unreachable_since is not None else now - self.reachable_since
        )

    @property
    def answered_at(self) -> float:
        """When the latest bytes of an answer arrived; very early if never."""
        return self._progress.received_at

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        retry_seconds = INITIAL_RETRY_SECONDS
        while True:
            await self._unparked.wait()
            try:
                if await self._call_store():
                    self._mark_reachable()
                    self._call_timeout = INITIAL_CALL_TIMEOUT_SECONDS
                retry_seconds = INITIAL_RETRY_SECONDS
            except HistoryGoneError:
                self._log.write("store_history_gone", kind=self._kind)
                self._list_needed = True
                if self.revision.era < self.era.current:
                    await asyncio.sleep(self._rng.uniform(0.0, ERA_SPREAD_SECONDS))
            except PlatformError as exc:
                self._mark_unreachable(str(exc))
                self._list_needed = True
                self._call_timeout = min(
                    MAX_CALL_TIMEOUT_SECONDS, self._call_timeout * 2
                )
                await self._wait_before_retry(
                    retry_seconds * self._rng.uniform(0.7, 1.3)
                )
                retry_seconds = min(MAX_RETRY_SECONDS, retry_seconds * 1.5)
            except Exception as exc:
                # A bug in the handling of changes must not end this task, or the
                # instance would continue to serve by an outdated copy.
                self._log.write_exception(f"store copy of {self._kind}", exc)
                self._list_needed = True
                await asyncio.sleep(MAX_RETRY_SECONDS)

    async def _wait_before_retry(self, seconds: float) -> None:
        """Wait before calling an unreachable store again.

        Only the leader retries frequently; the other copies wait until it has reached
        the store, because every call is priced, including rejected ones.
        """
        leader = self.retry_leader
        if leader is None or leader.unreachable_since is None:
            await asyncio.sleep(seconds)
            return
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started < FOLLOWER_RETRY_SECONDS:
            await asyncio.sleep(INITIAL_RETRY_SECONDS / 2)
            if leader.unreachable_since is None:
                return

    async def _call_store(self) -> bool:
        """Make one list or watch call; return whether the store answered it."""
        outdated = self.revision.era < self.era.current
        self._watching = not (self._list_needed or outdated)
        call = self._watch() if self._watching else self._list()
        self._call = asyncio.ensure_future(call)
        try:
            # Unlike awaiting the call itself, this distinguishes a cancellation of the
            # call from a cancellation of this task.
            await asyncio.wait([self._call])
        except asyncio.CancelledError:
            self._call.cancel()
            raise
        self._call_cancelled = False
        if self._call.cancelled():
            return False
        self._call.result()
        return True

    def report_call_failure(self, detail: str) -> None:
        """Record that another call to the store failed, and list the objects at once.

        The watch under way would not show that the store is unreachable.
        """
        self._mark_unreachable(detail)
        self._list_needed = True
        self._cancel_call()

    def report_call_success(self) -> None:
        """Record that the store answered another call."""
        self._mark_reachable()

    def set_watch_mode(self, wait_seconds: float, *, may_lag: bool) -> None:
        """Set how the store is watched; a stricter mode takes effect at once."""
        stricter = wait_seconds < self.wait_seconds or (self.may_lag and not may_lag)
        self.wait_seconds, self.may_lag = wait_seconds, may_lag
        if stricter and not self._list_needed:
            self._cancel_call()

    def _cancel_call(self) -> None:
        """Cancel the call under way, so that `run` makes the next one."""
        if (
            self._call is not None
            and not self._call.done()
            and not self._call_cancelled
        ):
            self._call_cancelled = True
            self._call.cancel()

    async def _list(self) -> None:
        started = asyncio.get_running_loop().time()
        self._progress = ResponseProgress(RECEIVE_STALL_SECONDS)
        may_lag, self.list_may_lag = self.list_may_lag, False
        beyond: str | None = None  # Objects with higher names may not be listed.
        try:
            snapshot = await self._store.list(
                self._kind, self._call_timeout, self._progress, may_lag=may_lag
            )
        except ListCutOffError as exc:
            self._note_cut_off(exc)
            if not self.accepts_parts:
                raise
            snapshot, beyond = exc.part, exc.end
        if snapshot.revision < self.revision:
            return  # Older than the copy.
        self._log_unreadable(snapshot.objects, snapshot.left_out)
        objects = {item.name: item for item in snapshot.objects}
        same_era = snapshot.revision.era == self.revision.era
        for name, item in self.objects.items():
            listed = objects.get(name)
            if item.revision > max(
                snapshot.revision,
                listed.revision if listed is not None else BEFORE_ALL,
            ):
                objects[name] = item  # Adopted after a later write.
            elif listed is None and same_era and beyond is not None and name > beyond:
                objects[name] = item
        if self._enter_era(snapshot.revision):
            self._keep_batch(snapshot.revision, snapshot.revision, ())
        else:
            changes = _differences(self.objects, objects)
            self._keep_batch(self.revision, snapshot.revision, changes)
        self.objects = objects
        self._latest = None
        self.revision, self.updated_by = snapshot.revision, "list"
        if not may_lag:
            self.current_at, self.current_revision = started, snapshot.revision
        self._list_needed = False
        self._mark_reachable()
        self._on_change()

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        wait, may_lag = self.wait_seconds, self.may_lag and not self._next_watch_current
        self._next_watch_current = False
        self._progress = ResponseProgress(RECEIVE_STALL_SECONDS)
        watched = self.revision
        result = await self._store.watch(
            self._kind, watched, wait, self._progress, may_lag=may_lag
        )
        elapsed = loop.time() - started
        if result.revision < self.revision:
            # Another instance may have sent later changes meanwhile.
            self._list_needed = self.revision == watched
            return
        self._log_unreadable([c.object for c in result.changes], result.left_out)
        for change in result.changes:
            self._apply(change)
        self._keep_batch(self.revision, result.revision, result.changes)
        self.revision = result.revision
        # An empty answer was sent at the end of the wait, and an answer with changes
        # possibly as early as the start of the watch.
        if not may_lag:
            waited = wait if not result.changes and elapsed >= wait else 0
            self.current_at, self.current_revision = started + waited, result.revision
        self._mark_reachable()
        if not result.changes:
            return
        self.updated_by = "watch"
        self._on_change()
        if self.coalesce_seconds:
            await asyncio.sleep(self.coalesce_seconds)

    def _note_cut_off(self, exc: ListCutOffError) -> None:
        self.lists_cut_off += 1
        self._log.write_rate_limited(
            "store_list_cut_off",
            kind=self._kind,
            objects=len(exc.part.objects),
            detail=str(exc),
        )

    def _log_unreadable(
        self, items: Iterable[StoredObject], left_out: Iterable[str]
    ) -> None:
        """Log entries that could not be read, once for each revision of an object."""
        for item in items:
            known = self.objects.get(item.name)
            if item.unreadable and (known is None or known.revision != item.revision):
                self._log.write_rate_limited(
                    "store_entry_unreadable",
                    kind=self._kind,
                    name=item.name,
                    revision=item.revision.number,
                    detail=item.unreadable,
                )
        for reason in left_out:
            self._log.write_rate_limited(
                "store_entry_unreadable", kind=self._kind, detail=reason
            )

    @property
    def latest_revision(self) -> StorePoint:
        """Highest revision of any object."""
        if self._latest is None:
            revisions = (item.revision for item in self.objects.values())
            self._latest = max(revisions, default=BEFORE_ALL)
        return self._latest

    def note_peer_revision(self, revision: StorePoint, now: float) -> None:
        """Restart the watch if a peer has known a later object for some time.

        The connection of a watch may be broken without notice, and a watch may lag.
        """
        if revision <= self.latest_revision:
            return
        if self._is_receiving(now):
            return  # The answer may contain the object.
        since = self._behind_since
        if since is None or now - since > BEHIND_RESET_SECONDS:
            self._behind_since = now
        elif now - since >= BEHIND_TOLERANCE_SECONDS:
            # Gives the next call time to complete before it is cancelled in turn.
            self._behind_since = now + MAX_CALL_TIMEOUT_SECONDS / 2
            self._log.write_rate_limited(
                "store_copy_behind", kind=self._kind, other=revision.number
            )
            self._next_watch_current = True
            self._cancel_call()

    @property
    def watches_closely(self) -> bool:
        """Whether a watch is under way that returns changes at once."""
        return not (self.parked or self.may_lag or self._list_needed)

    async def check_watch(self, timeout: float) -> None:
        """Restart the watch if the store has had changes for some time.

        Its connection may be silent while the store answers on others. `timeout` in
        seconds applies to the first byte of the check. Raises PlatformError.
        """
        self.checked_at = asyncio.get_running_loop().time()
        progress = ResponseProgress(RECEIVE_STALL_SECONDS)
        try:
            missed = await self._store.peek(
                self._kind, self.revision, timeout, progress
            )
        except HistoryGoneError:
            self.list_now()
            return
        # Objects of other kinds change the revision of the store as well.
        latest = max((c.object.revision for c in missed.changes), default=None)
        if latest is None:
            return
        # The watch under way may be about to deliver them.
        await asyncio.sleep(BEHIND_TOLERANCE_SECONDS)
        now = asyncio.get_running_loop().time()
        if self.revision >= latest or self._is_receiving(now):
            return
        self._log.write_rate_limited("store_watch_silent", kind=self._kind)
        self._cancel_call()

    def _is_receiving(self, now: float) -> bool:
        """Return whether a long answer is arriving."""
        return now - self._progress.received_at < RECEIVE_STALL_SECONDS

    def _apply(self, change: Change) -> None:
        if not change.removed:
            self.adopt(change.object)
            return
        self.objects.pop(change.object.name, None)
        self._latest = None

    def revision_of(self, name: str) -> StorePoint | None:
        """Return the revision of an object, or None if it is not in the copy."""
        item = self.objects.get(name)
        return None if item is None else item.revision

    def adopt(self, item: StoredObject) -> None:
        """Store an object unless the copy has the same or a later revision of it."""
        known = self.objects.get(item.name)
        if known is None or known.revision < item.revision:
            self.objects[item.name] = item
            self._latest = None

    def relist(self) -> None:
        """List all objects with the next call."""
        self._list_needed = True

    def list_now(self) -> None:
        """List all objects at once instead of waiting for the call under way."""
        self._list_needed = True
        self._cancel_call()

    def _mark_reachable(self) -> None:
        if self.unreachable_since is None:
            return
        now = asyncio.get_running_loop().time()
        self._log.write(
            "store_regained",
            kind=self._kind,
            after_seconds=now - self.unreachable_since,
        )
        self.unreachable_since = None
        self.reachable_since = now

    def _mark_unreachable(self, detail: str) -> None:
        if self.unreachable_since is None:
            self.unreachable_since = asyncio.get_running_loop().time()
            self._log.write(
                "store_lost",
                kind=self._kind,
                detail=detail,
                revision=self.revision.number,
            )


def _differences(
    before: dict[str, StoredObject], after: dict[str, StoredObject]
) -> list[Change]:
    changes = [Change(i, removed=True) for n, i in before.items() if n not in after]
    for name, item in after.items():
        known = before.get(name)
        if known is None or known.revision != item.revision:
            changes.append(Change(item, removed=False))
    return changes
