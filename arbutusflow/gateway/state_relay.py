"""Sends copies of the store's objects to instances that do not read the store.

Followers get all changes this way, so the number of calls to the store does not grow
with the fleet. So does an instance that starts while the store is unreachable, or in a
zone that is cut off from it.

Invariants: changes are applied only to the revision that they are based on, and a copy
never returns to an earlier revision. Objects from another instance do not give the
right to grant keys, because the receiver is not registered or has no contact.
"""

import collections

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import (
    CopyRequest,
    CopyTransfer,
    PackedChange,
    PeerReports,
)
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import Change, StoredObject

REQUEST_INTERVAL_SECONDS = 0.3  # Longer than a request and its answer take.
# A copy that stays behind for this long is read from the store instead. Two requests
# or their answers may be lost before.
MAX_BEHIND_SECONDS = 0.8
MAX_KNOWN_RECEIVERS = 256  # Bounds the memory for telling repeats.
MIN_LOGGED_BYTES = 8192  # Smaller transfers are frequent, and are only counted.


class StateRelay:
    """Requests changes of objects from other instances, and answers their requests."""

    def __init__(
        self, copies: dict[str, ObjectCopy], peers: PeerReports, log: EventLog
    ) -> None:
        self.copies = copies
        self._peers = peers
        self._log = log
        # By kind and event: requests, transfers, bytes and their repeats.
        self.counts: collections.Counter[tuple[str, str]] = collections.Counter()
        # By kind: requests for the changes that this copy is behind.
        self._tries: collections.Counter[str] = collections.Counter()
        self._told_late: set[str] = set()  # Kinds of which it was logged.
        # By receiver and kind: base and revision of the latest transfer.
        self._latest_sent: dict[tuple[Address, str], tuple[int, int]] = {}
        self._requested_at: dict[str, float] = {}
        # By kind: a later revision that another instance has, and since when.
        self._behind: dict[str, tuple[int, float]] = {}

    def revisions(self) -> dict[str, int]:
        """Return by kind the revision at which the objects last changed."""
        return {kind: copy.relayed_revision for kind, copy in self.copies.items()}

    def request_missing(self, source: Address, now: float) -> None:
        """Request all kinds of objects that cannot be read from the store."""
        for kind, copy in self.copies.items():
            if not copy.was_read and copy.unreachable_since is not None:
                self._request(kind, copy, source, now)

    def request_changes(
        self,
        revisions: dict[str, int],
        source: Address,
        now: float,
        delay: float = 0.0,
    ) -> None:
        """Request the changes of each kind of which the source has later objects.

        `delay` in seconds is how long other instances have to send them first.
        """
        for kind, revision in revisions.items():
            copy = self.copies.get(kind)
            if copy is None:
                continue
            known, since = self._behind.get(kind, (0, now))
            if copy.revision >= max(known, revision):
                self._note_caught_up(kind)
            elif copy.revision < revision:
                # A source that is behind as well does not end the wait for `known`.
                if copy.revision >= known:
                    since = now
                self._behind[kind] = (max(known, revision), since)
                if now - since >= delay:
                    self._request(kind, copy, source, now)

    def is_behind(self, kind: str, now: float) -> bool:
        """Return whether changes of a kind did not arrive in time."""
        behind = self._behind.get(kind)
        return behind is not None and now - behind[1] >= MAX_BEHIND_SECONDS

    def behind_seconds(self, kind: str, now: float) -> float:
        """Return how long ago another instance told of later objects; 0 if none."""
        behind = self._behind.get(kind)
        return 0.0 if behind is None else now - behind[1]

    def _request(
        self, kind: str, copy: ObjectCopy, source: Address, now: float
    ) -> None:
        if now - self._requested_at.get(kind, -1e9) < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at[kind] = now
        self.counts[kind, "requests_sent"] += 1
        if self._tries[kind]:
            self.counts[kind, "requests_repeated"] += 1
        self._tries[kind] += 1
        self._peers.send(CopyRequest(kind, copy.revision), [source])

    def tick(self, now: float) -> None:
        """Log copies that are late; called by a timer."""
        for kind in self._behind.keys() - self._told_late:
            if self.is_behind(kind, now):
                self._told_late.add(kind)
                self.counts[kind, "late"] += 1
                self._log.write_rate_limited(
                    "changes_late",
                    kind=kind,
                    revision=self._behind[kind][0],
                    have=self.copies[kind].revision,
                    requests=self._tries[kind],
                )

    def _note_caught_up(self, kind: str) -> None:
        self._behind.pop(kind, None)
        self._tries.pop(kind, None)
        self._told_late.discard(kind)

    def send_changes(self, request: CopyRequest, source: Address) -> None:
        """Send the changes since a revision or, if they are unknown, all objects."""
        copy = self.copies.get(request.kind)
        if copy is None or not copy.was_read:
            return
        self.counts[request.kind, "requests_received"] += 1
        changes = copy.changes_since(request.revision)
        base = request.revision
        if changes is None:
            changes = [Change(item, removed=False) for item in copy.relayed_objects()]
            base = 0
        packed = [_pack(change) for change in changes]
        revision = copy.relayed_revision
        sent_bytes = self._peers.send(
            CopyTransfer(request.kind, base, revision, packed), [source]
        )
        self._count_sent(request.kind, base, revision, sent_bytes, source)

    def _count_sent(
        self, kind: str, base: int, revision: int, sent_bytes: int, target: Address
    ) -> None:
        if not sent_bytes:
            self.counts[kind, "transfers_too_large"] += 1
            return
        key, transfer = (target, kind), (base, revision)
        repeated = self._latest_sent.pop(key, None) == transfer
        while len(self._latest_sent) >= MAX_KNOWN_RECEIVERS:
            del self._latest_sent[next(iter(self._latest_sent))]
        self._latest_sent[key] = transfer
        self.counts[kind, "transfers_sent"] += 1
        self.counts[kind, "bytes_sent"] += sent_bytes
        if repeated:
            self.counts[kind, "transfers_repeated"] += 1
            self.counts[kind, "bytes_repeated"] += sent_bytes
        if repeated or sent_bytes >= MIN_LOGGED_BYTES:
            self._log.write_rate_limited(
                "changes_sent",
                kind=kind,
                base=base,
                revision=revision,
                bytes=sent_bytes,
                target=target.host,
                repeated=repeated,
            )

    def use_transfer(self, message: CopyTransfer, source: Address, now: float) -> None:
        """Apply changes or objects that another instance sent."""
        copy = self.copies.get(message.kind)
        if copy is None:
            return
        before = copy.revision
        behind_seconds = self.behind_seconds(message.kind, now)
        changes = [_unpack(change) for change in message.changes]
        if message.base:
            copy.apply_relayed_changes(message.base, message.revision, changes)
        else:
            copy.use_relayed_objects(message.revision, [c.object for c in changes])
        self._count_received(
            message, source, behind_seconds, used=copy.revision > before
        )
        self._note_caught_up(message.kind)
        # The next report tells whether there are further changes.
        self._requested_at.pop(message.kind, None)

    def _count_received(
        self,
        message: CopyTransfer,
        source: Address,
        behind_seconds: float,
        *,
        used: bool,
    ) -> None:
        kind = message.kind
        self.counts[kind, "transfers_used" if used else "transfers_unused"] += 1
        if used and (self._tries[kind] > 1 or kind in self._told_late):
            self._log.write_rate_limited(
                "changes_received",
                kind=kind,
                revision=message.revision,
                source=source.host,
                requests=self._tries[kind],
                behind_seconds=round(behind_seconds, 3),
            )


def _pack(change: Change) -> PackedChange:
    item = change.object
    return item.name, item.revision, None if change.removed else item.raw


def _unpack(packed: PackedChange) -> Change:
    name, revision, raw = packed
    if not isinstance(raw, dict):
        return Change(StoredObject(name, revision, None, {}), removed=True)
    return Change(StoredObject(name, revision, raw.get("spec"), raw), removed=False)
