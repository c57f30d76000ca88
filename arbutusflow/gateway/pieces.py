"""Messages that carry a transfer of any size in numbered pieces.

Every piece fits into one packet, so a lost packet costs one piece. Receivers request
pieces, so the bytes on their way are bounded, and nothing is sent that was not lost.

Invariants: a transfer is identified by the digest of all its bytes. All pieces but the
last have `PIECE_BYTES`; a piece of another length is invalid, so pieces never overlap.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

import msgspec

from arbutusflow.gateway.model import StorePoint

# With its header of at most 100 bytes and those of UDP and IP, a piece stays below an
# MTU of 1,400 bytes, which tunnels leave of 1,500.
PIECE_BYTES = 1200
DIGEST_BYTES = 16
# Pieces that one receiver has on their way: 10 kB. Those of sixteen receivers of one
# sender pass a link of 10 Mbit/s in 0.13 s.
WINDOW_PIECES = 8
MAX_TRANSFER_BYTES = 8_000_000
# Transfers that a sender keeps. A transfer that was dropped is made again on request.
MAX_CACHED_TRANSFERS = 32
MAX_CACHED_BYTES = 16_000_000
# Of all pieces of a sender. Links have 10 Mbit/s and more; on the slowest, the windows
# of the receivers are the lower bound.
MAX_BYTES_PER_SECOND = 2_500_000.0
BURST_BYTES = 250_000.0  # More than the windows of all receivers of a sender.


class TransferPiece(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """One piece of a transfer; `size` and `digest` are of all its bytes."""

    kind: str
    base: StorePoint  # As in `CopyTransfer`.
    revision: StorePoint
    digest: bytes
    size: int
    number: int
    data: bytes

    @property
    def is_valid(self) -> bool:
        """Whether the piece is within the bounds and its length is as announced."""
        if not 0 < self.size <= MAX_TRANSFER_BYTES or len(self.digest) != DIGEST_BYTES:
            return False
        if not 0 <= self.number < piece_count(self.size):
            return False
        expected = min(PIECE_BYTES, self.size - self.number * PIECE_BYTES)
        return len(self.data) == expected


class PieceRequest(msgspec.Struct, array_like=True, frozen=True, tag="piece?"):
    """Request for pieces of a transfer."""

    kind: str
    base: StorePoint
    revision: StorePoint
    digest: bytes
    have: StorePoint  # Revision of the receiver's copy; `BEFORE_ALL` if it has none.
    numbers: tuple[int, ...]


def piece_count(size: int) -> int:
    """Return the number of pieces of a transfer of some bytes."""
    return -(-size // PIECE_BYTES)


def digest_of(data: bytes) -> bytes:
    """Return the checksum that identifies a transfer."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingTransfer:
    """Encoded changes from revision `base` to `revision`, ready to be cut."""

    kind: str
    base: StorePoint
    revision: StorePoint
    digest: bytes
    data: bytes

    @classmethod
    def from_data(
        cls, kind: str, base: StorePoint, revision: StorePoint, data: bytes
    ) -> "OutgoingTransfer":
        """Return the transfer of some bytes."""
        return cls(kind, base, revision, digest_of(data), data)

    def pieces(self, numbers: Iterable[int]) -> list[TransferPiece]:
        """Return the pieces of these numbers; those that do not exist are left out."""
        valid = {n for n in numbers if 0 <= n < piece_count(len(self.data))}
        return [self._piece(number) for number in sorted(valid)[:WINDOW_PIECES]]

    def _piece(self, number: int) -> TransferPiece:
        start = number * PIECE_BYTES
        return TransferPiece(
            self.kind,
            self.base,
            self.revision,
            self.digest,
            len(self.data),
            number,
            self.data[start : start + PIECE_BYTES],
        )


class TransferCache:
    """Latest transfers of a sender, so that each is encoded once for all receivers."""

    def __init__(self) -> None:
        # By kind, base and revision; least recently used first.
        self._transfers: collections.OrderedDict[
            tuple[str, StorePoint, StorePoint], OutgoingTransfer
        ] = collections.OrderedDict()
        self._bytes = 0

    def get(
        self, kind: str, base: StorePoint, revision: StorePoint
    ) -> OutgoingTransfer | None:
        """Return a transfer, or None if it is not kept."""
        key = kind, base, revision
        if key in self._transfers:
            self._transfers.move_to_end(key)
        return self._transfers.get(key)

    def add(self, transfer: OutgoingTransfer) -> None:
        """Keep a transfer, and drop the least recently used ones over the bounds."""
        key = transfer.kind, transfer.base, transfer.revision
        known = self._transfers.pop(key, None)
        self._bytes += len(transfer.data) - (len(known.data) if known else 0)
        self._transfers[key] = transfer
        while (
            len(self._transfers) > MAX_CACHED_TRANSFERS
            or self._bytes > MAX_CACHED_BYTES
        ):
            _, dropped = self._transfers.popitem(last=False)
            self._bytes -= len(dropped.data)


class SendRate:
    """Bytes that a sender may send now, on average `MAX_BYTES_PER_SECOND`."""

    def __init__(self, now: float) -> None:
        self._available = BURST_BYTES
        self._updated_at = now

    def allows(self, size: int, now: float) -> bool:
        """Return whether some bytes may be sent now, and count them if so."""
        gained = max(0.0, now - self._updated_at) * MAX_BYTES_PER_SECOND
        self._available = min(BURST_BYTES, self._available + gained)
        self._updated_at = now
        if size > self._available:
            return False
        self._available -= size
        return True
