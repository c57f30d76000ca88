"""State of a stand-in store: objects, their history, and copies of both.

Invariants: every change gets the next revision. Objects are replaced and never changed
in place, so a copy shares them. After the store went back to a copy, revisions are
given out again, and the era is one higher.
"""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

from arbutusflow.platform import wire
from arbutusflow.platform.other_side import encode_object
from arbutusflow.platform.store import CONFIGURATION_KIND

ObjectKey = tuple[str, str]  # Kind and name.

COPY_SECONDS = 60.0  # How long copies are kept.
HEARTBEAT_SECONDS = 1.0  # Within which an endpoint writes its entry again.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS  # Of the entry of an endpoint that has ended.


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectChange:
    """A write of an object or, if `removed`, its removal."""

    revision: int
    kind: str
    removed: bool
    item: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    taken_at: float
    revision: int
    objects: dict[ObjectKey, dict[str, Any]]


class StoreState:
    """Objects with one revision counter."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.revision = 1
        self.era: int | None = None  # None: answers tell no era.
        self.down = False  # Whether each call is refused.
        self.objects: dict[ObjectKey, dict[str, Any]] = {}
        self._changes: list[ObjectChange] = []
        self._compacted_revision = 0  # History up to this revision is gone.
        # Set, and replaced, with each change and when the store leaves or goes back.
        self.changed = asyncio.Event()
        self._copies: collections.deque[_Copy] = collections.deque()
        self._keep_copy()
        # What the operator and the endpoints wrote last, and did not remove.
        self._outside: dict[ObjectKey, Any] = {}

    # Writes.

    def put_outside(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator or an endpoint does."""
        self._outside[kind, name] = spec
        return self.put(kind, name, spec)

    def remove_outside(self, kind: str, name: str) -> None:
        """Remove an object of the operator or of an endpoint."""
        self._outside.pop((kind, name), None)
        self.remove(kind, name)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object and return it."""
        item = encode_object(name, self.revision + 1, spec)
        self.objects[kind, name] = item
        self._record(kind, item, removed=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self._record(kind, item, removed=True)

    def _record(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self.revision += 1
        self._changes.append(ObjectChange(self.revision, kind, removed, item))
        self._keep_copy()
        self._notify()

    def _keep_copy(self) -> None:
        now = self._clock()
        self._copies.append(_Copy(now, self.revision, dict(self.objects)))
        # The second one covers the time up to `COPY_SECONDS` ago.
        while len(self._copies) > 1 and self._copies[1].taken_at < now - COPY_SECONDS:
            self._copies.popleft()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    # Reads.

    def has_history(self, since: int) -> bool:
        """Return whether a watch from a revision can be answered."""
        return self._compacted_revision <= since <= self.revision

    def changes_since(self, kind: str, since: int) -> list[ObjectChange]:
        """Return the changes of a kind after a revision."""
        return [c for c in self._changes if c.kind == kind and c.revision > since]

    def compact(self) -> None:
        """Discard the history of changes."""
        self._compacted_revision = self.revision
        self._changes.clear()

    @property
    def era_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Header of each answer that tells the era; none if answers tell no era."""
        return () if self.era is None else ((wire.STORE_ERA, b"%d" % self.era),)

    # Going back.

    def leave(self) -> None:
        """Refuse calls from now on; watches that wait end."""
        self.down = True
        self._notify()

    def come_back(self) -> None:
        """Answer calls again, with the objects as they are."""
        self.down = False

    def go_back(self, taken_at: float) -> None:
        """Return to the state of a time on the clock, in a new era.

        A later copy is never used again: the time before the oldest copy counts as its
        time.
        """
        while len(self._copies) > 1 and self._copies[-1].taken_at > taken_at:
            self._copies.pop()
        copy = self._copies[-1]
        self.objects, self.revision = dict(copy.objects), copy.revision
        self._changes = [c for c in self._changes if c.revision <= copy.revision]
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self.era = (self.era or 0) + 1
        # Until something is written, this copy is also that of the present.
        self._copies.append(_Copy(self._clock(), copy.revision, dict(copy.objects)))
        self._notify()

    async def write_again(self, rng: random.Random) -> None:
        """Write what the operator and the endpoints wrote and the copy does not have.

        The operator writes at once, each endpoint within `HEARTBEAT_SECONDS`. Entries
        of endpoints that have ended expire within `EXPIRY_SECONDS`.
        """
        era = self.era
        waits: list[tuple[float, ObjectKey]] = []
        for key in sorted(self._outside):
            if not self._has_latest(key):
                wait = 0.0 if key[0] == CONFIGURATION_KIND else HEARTBEAT_SECONDS
                waits.append((rng.uniform(0.0, wait), key))
        outside_kinds = {kind for kind, _ in self._outside}
        for key in sorted(self.objects):
            if key[0] in outside_kinds and key not in self._outside:
                waits.append((rng.uniform(0.0, EXPIRY_SECONDS), key))
        began = self._clock()
        for wait, key in sorted(waits):
            if (remaining := began + wait - self._clock()) > 0:
                await asyncio.sleep(remaining)
            if self.era != era:
                return  # It went back once more, and what follows does the rest.
            self._write_latest(key)

    def _has_latest(self, key: ObjectKey) -> bool:
        item = self.objects.get(key)
        return item is not None and item["spec"] == self._outside[key]

    def _write_latest(self, key: ObjectKey) -> None:
        if key not in self._outside:
            self.remove(*key)
        elif not self._has_latest(key):
            self.put(*key, self._outside[key])
