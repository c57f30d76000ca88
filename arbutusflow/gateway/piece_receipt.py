"""Receipt of one transfer in pieces: what is there, on its way, and lost.

Does no I/O. A piece counts as lost if later requested ones arrived before it, or after
a time that follows the measured time of requests; only lost pieces are requested again.

Invariants: memory grows with the bytes received, never with those announced. The bytes
are returned only if their checksum is that of the transfer.
"""

import dataclasses

from arbutusflow.gateway.model import Address, StorePoint
from arbutusflow.gateway.pieces import (
    WINDOW_PIECES,
    PieceRequest,
    TransferPiece,
    digest_of,
    piece_count,
)

# Later requested pieces that arrive before a piece counts as lost.
REORDERED_PIECES = 3
# More than the windows of all receivers of a sender take on the slowest link.
INITIAL_TIMEOUT_SECONDS = 0.4
# Added to the mean time of requests: a link may carry the windows of all receivers of a
# sender in turn, so the time of a request changes by as much within one.
MIN_TIMEOUT_MARGIN_SECONDS = 0.2
MAX_TIMEOUT_SECONDS = 0.6
# A request for fewer pieces is sent only if no others are on their way.
MIN_REQUESTED_PIECES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Requested:
    """When a piece was requested last, as which request of a piece."""

    order: int
    at: float
    first: bool  # It was never requested before, so its time can be measured.


class Receipt:
    """Pieces of one transfer that have arrived or were requested."""

    def __init__(self, first: TransferPiece, source: Address, now: float) -> None:
        self.kind, self.base, self.revision = first.kind, first.base, first.revision
        self.digest, self.size = first.digest, first.size
        self.source, self.source_since = source, now
        self.progress_at = now  # When a new piece arrived last.
        # Whether the source was changed and has not sent a piece yet.
        self.awaits_source = False
        self.repeated = 0  # Requests for pieces that were requested before.
        self._count = piece_count(first.size)
        self._pieces: dict[int, bytes] = {}
        self._next = 0  # Lowest number that was never requested.
        self._lost: set[int] = set()
        self._requested: dict[int, _Requested] = {}
        self._order = 0
        self._timeout = INITIAL_TIMEOUT_SECONDS
        self._backoff = 1.0  # Factor of the timeout; grows until a piece arrives.
        self._mean_seconds: float | None = None
        self._deviation_seconds = 0.0
        # A source sends the first window without a request for its pieces.
        self._take_due(now)

    def belongs(self, piece: TransferPiece) -> bool:
        """Return whether a piece is of this transfer."""
        return piece.digest == self.digest

    def accept(self, piece: TransferPiece, now: float) -> str:
        """Store a piece; return what became of it.

        "used", "duplicate" if it was there, "disagrees" if it or its header differs
        from what was received before.
        """
        header = piece.kind, piece.base, piece.revision, piece.size
        if header != (self.kind, self.base, self.revision, self.size):
            return "disagrees"
        known = self._pieces.get(piece.number)
        if known is not None:
            return "duplicate" if known == piece.data else "disagrees"
        self._pieces[piece.number] = piece.data
        self._lost.discard(piece.number)
        self.progress_at, self.awaits_source = now, False
        self._backoff = 1.0
        requested = self._requested.pop(piece.number, None)
        if requested is not None:
            self._measure(requested, now)
            self._find_lost(requested.order)
        return "used"

    def _measure(self, requested: _Requested, now: float) -> None:
        """Adapt the timeout to the time that a request took (as in RFC 6298)."""
        if not requested.first:
            return
        seconds = now - requested.at
        if self._mean_seconds is None:
            self._mean_seconds, self._deviation_seconds = seconds, seconds / 2
        else:
            error = seconds - self._mean_seconds
            self._deviation_seconds += (abs(error) - self._deviation_seconds) / 4
            self._mean_seconds += error / 8
        margin = max(4 * self._deviation_seconds, MIN_TIMEOUT_MARGIN_SECONDS)
        self._timeout = min(self._mean_seconds + margin, MAX_TIMEOUT_SECONDS)

    def _find_lost(self, arrived_order: int) -> None:
        for number, requested in list(self._requested.items()):
            if requested.order < arrived_order - REORDERED_PIECES:
                self._lose(number)

    def _lose(self, number: int) -> None:
        del self._requested[number]
        self._lost.add(number)

    def expire(self, now: float) -> None:
        """Give up requests that were not answered in time."""
        timeout = min(self._backoff * self._timeout, MAX_TIMEOUT_SECONDS)
        late = [n for n, r in self._requested.items() if now - r.at >= timeout]
        for number in late:
            self._lose(number)
        if late:
            self._backoff *= 1.5

    def continue_from(self, source: Address, now: float) -> None:
        """Request what is missing from another source."""
        self.source, self.source_since, self.awaits_source = source, now, True
        self._timeout, self._backoff = INITIAL_TIMEOUT_SECONDS, 1.0
        for number in list(self._requested):
            self._lose(number)

    def request(self, have: StorePoint, now: float) -> PieceRequest | None:
        """Return the request that is due now, if any.

        `have` is the revision of the receiver's copy.
        """
        room = WINDOW_PIECES - len(self._requested)
        due = min(room, len(self._lost) + self._count - self._next)
        if due <= 0 or (due < MIN_REQUESTED_PIECES and self._requested):
            return None
        numbers = self._take_due(now)
        if not numbers:
            return None
        return PieceRequest(
            self.kind, self.base, self.revision, self.digest, have, numbers
        )

    def _take_due(self, now: float) -> tuple[int, ...]:
        """Return the pieces to request, as far as the window allows it."""
        room = WINDOW_PIECES - len(self._requested)
        lost = sorted(self._lost)[:room]
        last = min(self._count, self._next + room - len(lost))
        # Pieces that arrived without a request are not requested.
        fresh = [n for n in range(self._next, last) if n not in self._pieces]
        self._next = last
        self._lost.difference_update(lost)
        self.repeated += len(lost)
        for number in (*lost, *fresh):
            self._order += 1
            first = number in fresh
            self._requested[number] = _Requested(self._order, now, first)
        return (*lost, *fresh)

    @property
    def is_complete(self) -> bool:
        """Whether all pieces have arrived."""
        return len(self._pieces) == self._count

    def data(self) -> bytes | None:
        """Return the bytes of the transfer, or None if their checksum is wrong."""
        data = b"".join(self._pieces[n] for n in range(self._count))
        return data if digest_of(data) == self.digest else None
