"""Sends copies of the store's objects to instances that do not read the store.

Followers get all changes this way, so the number of calls to the store does not grow
with the fleet. So does an instance that starts while the store is unreachable, or in a
zone that is cut off from it.

Changes travel in pieces (see `pieces`), which the receiver requests. Its receipt goes
on with another source when one falls silent. One receipt is under way for each kind;
later changes are requested when it has ended.

Invariants: changes are applied only to the revision that they are based on, whole, and
only if their checksum is right; a copy never returns to an earlier revision. Objects
from another instance do not give the right to grant keys, because the receiver is not
registered or has no contact.
"""

import collections
import zlib
from collections.abc import Callable, Iterable

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import BEFORE_ALL, Address, StorePoint
from arbutusflow.gateway.peers import (
    CopyRequest,
    CopyTransfer,
    PackedChange,
    PeerReports,
)
from arbutusflow.gateway.piece_receipt import Receipt
from arbutusflow.gateway.pieces import (
    MAX_TRANSFER_BYTES,
    WINDOW_PIECES,
    OutgoingTransfer,
    PieceRequest,
    SendRate,
    TransferCache,
    TransferPiece,
)
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import Change, StoredObject

REQUEST_INTERVAL_SECONDS = 0.3  # Longer than a request and its answer take.
# A copy that stays behind for this long is read from the store as well. Two requests
# or their answers may be lost before.
MAX_BEHIND_SECONDS = 0.8
# Followers read the store later, spread over this time: their granters do so before,
# and those that have read it free the links of the others.
READ_SPREAD_SECONDS = 0.5
# A receipt that goes on ends before an answer of the store, which uses the same link.
RECEIPT_PROGRESS_SECONDS = 0.25
MAX_RECEIPT_SECONDS = 3.0  # After this time behind, the store is read in any case.
# Unanswered requests to the instance that told of changes before others are asked.
TRIES_WITH_TELLER = 2
# A receipt without a new piece for this long goes on with another source: longer than a
# request takes that is lost twice.
SOURCE_SILENCE_SECONDS = 0.9
# A receipt that no source continues is given up.
RECEIPT_EXPIRY_SECONDS = 5.0
MAX_ASKED_SOURCES = 4  # Whose pieces may begin a receipt.
MAX_KNOWN_RECEIVERS = 256  # Bounds the memory for telling repeats.
MIN_LOGGED_BYTES = 8192  # Smaller transfers are frequent, and are only counted.


class StateRelay:
    """Requests changes of objects from other instances, and answers their requests."""

    def __init__(
        self,
        copies: dict[str, ObjectCopy],
        peers: PeerReports,
        log: EventLog,
        now: float,
    ) -> None:
        self.copies = copies
        self._peers = peers
        self._log = log
        # Instances that may continue a receipt, best first.
        self.sources: Callable[[], list[Address]] = list
        # How much later than others this instance reads the store, in seconds.
        self.read_delay = 0.0
        self._receipts: dict[str, Receipt] = {}  # By kind.
        # By kind: instances that were asked and may begin a receipt; latest last.
        self._asked: dict[str, list[Address]] = {}
        self._cache = TransferCache()
        self._rate = SendRate(now)
        # By kind and event: requests, transfers, bytes and their repeats.
        self.counts: collections.Counter[tuple[str, str]] = collections.Counter()
        # By kind: requests for the changes that this copy is behind.
        self._tries: collections.Counter[str] = collections.Counter()
        self._told_late: set[str] = set()  # Kinds of which it was logged.
        # By receiver and kind: base and revision of the latest transfer.
        self._latest_sent: dict[tuple[Address, str], tuple[StorePoint, StorePoint]] = {}
        self._requested_at: dict[str, float] = {}
        # By kind: a later revision that another instance has, and since when.
        self._behind: dict[str, tuple[StorePoint, float]] = {}

    def revisions(self) -> dict[str, StorePoint]:
        """Return by kind the revision at which the objects last changed."""
        return {kind: copy.relayed_revision for kind, copy in self.copies.items()}

    def request_missing(self, source: Address, now: float) -> None:
        """Request all kinds of objects that cannot be read from the store."""
        for kind, copy in self.copies.items():
            if not copy.was_read and copy.unreachable_since is not None:
                self._request(kind, copy, source, now)

    def request_changes(
        self,
        revisions: dict[str, StorePoint],
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
            known, since = self._behind.get(kind, (BEFORE_ALL, now))
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
        """Return whether changes of a kind did not arrive in time.

        They are then read from the store, unless they are arriving.
        """
        if kind in self._told_late:
            return True  # A call to the store that was begun is not given up.
        behind = self.behind_seconds(kind, now)
        if behind < MAX_BEHIND_SECONDS + self.read_delay:
            return False
        receipt = self._receipts.get(kind)
        if receipt is None or behind >= MAX_RECEIPT_SECONDS:
            return True
        return now - receipt.progress_at >= RECEIPT_PROGRESS_SECONDS

    def behind_seconds(self, kind: str, now: float) -> float:
        """Return how long ago another instance told of later objects; 0 if none."""
        behind = self._behind.get(kind)
        return 0.0 if behind is None else now - behind[1]

    def _request(
        self, kind: str, copy: ObjectCopy, source: Address, now: float
    ) -> None:
        if kind in self._receipts:
            return
        if now - self._requested_at.get(kind, -1e9) < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at[kind] = now
        asked = [a for a in self._asked.get(kind, ()) if a != source]
        self._asked[kind] = [*asked, source][-MAX_ASKED_SOURCES:]
        self.counts[kind, "requests_sent"] += 1
        if self._tries[kind]:
            self.counts[kind, "requests_repeated"] += 1
        self._tries[kind] += 1
        self._peers.send(CopyRequest(kind, copy.revision), [source])

    def tick(self, now: float) -> None:
        """Repair receipts and log copies that are late; called by a timer."""
        for receipt in list(self._receipts.values()):
            self._maintain_receipt(receipt, now)
        for kind, (known, _) in list(self._behind.items()):
            if self.copies[kind].revision >= known:
                self._note_caught_up(kind)  # It was read from the store.
            else:
                self._request_elsewhere(kind, now)
        for kind in self._behind.keys() - self._told_late:
            if self.is_behind(kind, now):
                self._told_late.add(kind)
                self.counts[kind, "late"] += 1
                self._log.write_rate_limited(
                    "changes_late",
                    kind=kind,
                    revision=self._behind[kind][0].number,
                    have=self.copies[kind].revision.number,
                    requests=self._tries[kind],
                )

    def _request_elsewhere(self, kind: str, now: float) -> None:
        """Request changes from others if their teller does not answer."""
        tries, others = self._tries[kind], self.sources()
        if tries >= TRIES_WITH_TELLER and others:
            source = others[tries % len(others)]
            self._request(kind, self.copies[kind], source, now)

    def _note_caught_up(self, kind: str) -> None:
        self._behind.pop(kind, None)
        self._tries.pop(kind, None)
        self._told_late.discard(kind)

    # Sending.

    def send_changes(self, request: CopyRequest, source: Address, now: float) -> None:
        """Send the first pieces of the changes since a revision.

        If the changes are not known, they are those of all objects.
        """
        copy = self.copies.get(request.kind)
        if copy is None or not copy.was_read:
            return
        self.counts[request.kind, "requests_received"] += 1
        revision = copy.relayed_revision
        if revision <= request.revision:
            return
        transfer = self._outgoing(request.kind, request.revision, revision)
        if transfer is None:
            transfer = self._outgoing(request.kind, BEFORE_ALL, revision)
        if transfer is not None:
            sent = self._send_pieces(transfer, range(WINDOW_PIECES), source, now)
            self._count_sent(transfer, sent, source)

    def send_pieces(self, request: PieceRequest, source: Address, now: float) -> None:
        """Send the requested pieces, or the first ones of what is known instead."""
        copy = self.copies.get(request.kind)
        if copy is None or not copy.was_read:
            return
        self.counts[request.kind, "piece_requests_received"] += 1
        transfer = self._outgoing(request.kind, request.base, request.revision)
        if transfer is not None and transfer.digest == request.digest:
            self._send_pieces(transfer, request.numbers, source, now)
        elif copy.relayed_revision > request.have:
            self.send_changes(CopyRequest(request.kind, request.have), source, now)

    def _outgoing(
        self, kind: str, base: StorePoint, revision: StorePoint
    ) -> OutgoingTransfer | None:
        """Return the changes between two revisions, if known and not too large.

        From `BEFORE_ALL`, they are all objects.
        """
        if base >= revision:
            return None
        known = self._cache.get(kind, base, revision)
        if known is not None:
            return known
        copy = self.copies[kind]
        changes = copy.changes_between(base, revision)
        whole = base == BEFORE_ALL and revision == copy.relayed_revision
        if changes is None and whole:
            objects = sorted(copy.relayed_objects(), key=lambda item: item.name)
            changes = [Change(item, removed=False) for item in objects]
        if changes is None:
            return None
        packed = [_pack(change) for change in changes]
        data = self._peers.encode(CopyTransfer(kind, base, revision, packed))
        if len(data) > MAX_TRANSFER_BYTES:
            self.counts[kind, "transfers_too_large"] += 1
            self._log.write_rate_limited(
                "transfer_too_large", kind=kind, bytes=len(data)
            )
            return None
        transfer = OutgoingTransfer.from_data(kind, base, revision, data)
        self._cache.add(transfer)
        return transfer

    def _send_pieces(
        self,
        transfer: OutgoingTransfer,
        numbers: Iterable[int],
        target: Address,
        now: float,
    ) -> int:
        """Send pieces as far as the rate allows it; return their bytes."""
        kind, total = transfer.kind, 0
        for piece in transfer.pieces(numbers):
            if not self._rate.allows(len(piece.data), now):
                self.counts[kind, "pieces_over_rate"] += 1
                continue
            sent_bytes = self._peers.send(piece, [target])
            total += sent_bytes
            self.counts[kind, "pieces_sent"] += 1
            self.counts[kind, "bytes_sent"] += sent_bytes
        return total

    def _count_sent(
        self, transfer: OutgoingTransfer, sent_bytes: int, target: Address
    ) -> None:
        """Count that a transfer was begun; it is repeated if that was the latest."""
        kind = transfer.kind
        key, identity = (target, kind), (transfer.base, transfer.revision)
        repeated = self._latest_sent.pop(key, None) == identity
        while len(self._latest_sent) >= MAX_KNOWN_RECEIVERS:
            del self._latest_sent[next(iter(self._latest_sent))]
        self._latest_sent[key] = identity
        self.counts[kind, "transfers_sent"] += 1
        if repeated:
            self.counts[kind, "transfers_repeated"] += 1
            self.counts[kind, "bytes_repeated"] += sent_bytes
        if repeated or len(transfer.data) >= MIN_LOGGED_BYTES:
            self._log.write_rate_limited(
                "changes_sent",
                kind=kind,
                base=transfer.base.number,
                revision=transfer.revision.number,
                bytes=len(transfer.data),
                target=target.host,
                repeated=repeated,
            )

    # Receiving.

    def accept_piece(self, piece: TransferPiece, source: Address, now: float) -> None:
        """Store a piece of a transfer, request what is missing, and apply the whole."""
        kind = piece.kind
        if kind not in self.copies:
            return  # Not counted: names from other instances are not bounded.
        receipt, reason = self._receipt_for(piece, source, now)
        if receipt is not None:
            reason = receipt.accept(piece, now)
        self.counts[kind, f"pieces_{reason}"] += 1
        if receipt is None or reason != "used":
            return
        if receipt.is_complete:
            self._complete(receipt, now)
        else:
            self._request_pieces(receipt, now)

    def _receipt_for(
        self, piece: TransferPiece, source: Address, now: float
    ) -> tuple[Receipt | None, str]:
        """Return the receipt that a piece belongs to, or why it belongs to none."""
        copy, receipt = self.copies[piece.kind], self._receipts.get(piece.kind)
        if not piece.is_valid:
            return None, "invalid"
        if piece.revision <= copy.revision or piece.base > copy.revision:
            return None, "outdated"
        if receipt is not None:
            if receipt.belongs(piece):
                return receipt, ""
            # A source that cannot continue the transfer sends what it has instead.
            replaces = piece.revision > receipt.revision or (
                receipt.awaits_source and piece.revision == receipt.revision
            )
            if source != receipt.source or not replaces:
                return None, "of_other_transfer"
            self.counts[piece.kind, "receipts_replaced"] += 1
        elif source not in self._asked.get(piece.kind, ()):
            return None, "unasked"
        receipt = self._receipts[piece.kind] = Receipt(piece, source, now)
        return receipt, ""

    def _request_pieces(self, receipt: Receipt, now: float) -> None:
        before = receipt.repeated
        request = receipt.request(self.copies[receipt.kind].revision, now)
        if request is not None:
            self.counts[receipt.kind, "piece_requests_sent"] += 1
            repeated = receipt.repeated - before
            self.counts[receipt.kind, "pieces_requested_again"] += repeated
            self._peers.send(request, [receipt.source])

    def _maintain_receipt(self, receipt: Receipt, now: float) -> None:
        """Request lost pieces again, from another source if this one is silent."""
        if receipt.revision <= self.copies[receipt.kind].revision:
            self._drop(receipt, "overtaken", now)
            return
        if now - receipt.progress_at >= RECEIPT_EXPIRY_SECONDS:
            self._drop(receipt, "silent", now)
            return
        silent_since = max(receipt.progress_at, receipt.source_since)
        if now - silent_since >= SOURCE_SILENCE_SECONDS:
            others = self.sources()
            # In turn: the first of them may be silent as well.
            index = others.index(receipt.source) + 1 if receipt.source in others else 0
            if others:
                receipt.continue_from(others[index % len(others)], now)
                self.counts[receipt.kind, "sources_changed"] += 1
        receipt.expire(now)
        self._request_pieces(receipt, now)

    def _drop(self, receipt: Receipt, reason: str, now: float) -> None:
        """Give up a receipt, so that changes are requested anew."""
        del self._receipts[receipt.kind]
        self._requested_at.pop(receipt.kind, None)
        self.counts[receipt.kind, f"receipts_{reason}"] += 1
        if reason != "overtaken":
            self._log.write_rate_limited(
                "receipt_given_up",
                kind=receipt.kind,
                revision=receipt.revision.number,
                reason=reason,
                source=receipt.source.host,
            )

    def _complete(self, receipt: Receipt, now: float) -> None:
        data = receipt.data()
        if data is None:
            self._drop(receipt, "bad_checksum", now)
            return
        try:
            message = self._peers.decode(data)
        except (msgspec.MsgspecError, zlib.error) as exc:
            self._log.write_rate_limited("transfer_malformed", detail=str(exc))
            self._drop(receipt, "malformed", now)
            return
        header = receipt.kind, receipt.base, receipt.revision
        if not isinstance(message, CopyTransfer) or header != (
            message.kind,
            message.base,
            message.revision,
        ):
            self._drop(receipt, "malformed", now)
            return
        del self._receipts[receipt.kind]
        self.counts[receipt.kind, "receipts_complete"] += 1
        self.use_transfer(message, receipt.source, now)

    def use_transfer(self, message: CopyTransfer, source: Address, now: float) -> None:
        """Apply changes or objects that another instance sent."""
        copy = self.copies.get(message.kind)
        if copy is None:
            return
        before = copy.revision
        behind_seconds = self.behind_seconds(message.kind, now)
        changes = [_unpack(change) for change in message.changes]
        if message.base != BEFORE_ALL:
            copy.apply_relayed_changes(message.base, message.revision, changes)
        else:
            copy.use_relayed_objects(message.revision, [c.object for c in changes])
        self._count_received(
            message, source, behind_seconds, used=copy.revision > before
        )
        self._note_caught_up(message.kind)
        self._asked.pop(message.kind, None)
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
                revision=message.revision.number,
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
    size = len(msgspec.msgpack.encode(raw))
    item = StoredObject(name, revision, raw.get("spec"), raw, size=size)
    return Change(item, removed=False)
