"""Messages between instances: datagrams with load, leases, revisions and tables.

Invariants: the protocol stays safe if any message is lost or late. Messages contain
ages instead of times, because clocks differ; a late message makes an event look more
recent than it was. Evidence that must not look more recent than it is, such as a
vouching, counts from `arrived_after`: messages may wait unread while the process is
suspended or short of processor time.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any, cast

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_table import GrantId, KeyRange, KeyTable
from arbutusflow.gateway.load.endpoint_room import Samples
from arbutusflow.gateway.load.room_reports import RoomFigure
from arbutusflow.gateway.model import Address, StorePoint
from arbutusflow.gateway.pieces import PieceRequest, TransferPiece

ALIVE_SECONDS = 2.0  # Even in a large fleet, one report may be lost within this time.
# Links are narrow, and bytes across zones are priced.
MIN_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1  # Sufficient, because tables and objects repeat the same names.
COMPRESSED_MARK = b"\xc1"  # No encoded message begins with this byte.
MAX_VOUCHED_ERAS = 2  # The current one and, for a moment, the one before.
MAX_DATAGRAM_BYTES = 65_507
MAX_MESSAGE_BYTES = 8_000_000  # Bounds the memory that a datagram can take.


class LeaseReport(msgspec.Struct, array_like=True, frozen=True):
    """Ages in seconds of the latest grants of an instance to an endpoint.

    The age of a grant in flight is negative: it arrives later.
    """

    sent_age: float
    unanswered_age: float | None  # None if no unanswered grant can take effect.
    renewed_age: float  # Age of the last complete renewal; negative if there is none.


class StrikeReport(msgspec.Struct, array_like=True, frozen=True):
    """A request that was in flight when its endpoint exited, or that has run since."""

    number: int  # Increases with each strike of the instance that observed it.
    digest: bytes
    instance: str  # That observed it.
    endpoint: str = ""  # Empty if the request has run: its strikes are void.
    started_ms: int = 0  # Start time of the endpoint's process.


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """Regular report of an instance to the others."""

    instance: str
    life: int  # Random number that identifies the process (its incarnation).
    number: int  # Increases with each report of the incarnation.
    # Seconds since a previous incarnation may have sent its last grant.
    earlier_life_age: float
    tables: dict[str, StorePoint]  # Revisions of the key tables in force, by service.
    # Seconds for which the store has answered without interruption; negative if it
    # does not answer.
    touch_age: float
    # Latest known revisions of the configuration and of the endpoints.
    configuration: StorePoint
    endpoints: StorePoint
    in_flight: dict[str, int]  # Requests by endpoint.
    leases: dict[str, LeaseReport]  # By endpoint.
    # Whether this report counts towards the receiver's right to grant keys.
    vouches: bool = True
    strikes: tuple[StrikeReport, ...] = ()
    # Hundredths of a request per second, by service and key.
    key_loads: dict[str, dict[int, int]] = {}
    # By endpoint: mean service time in seconds, and the number of answers that it is
    # based on. Sent together with the loads.
    service_times: dict[str, tuple[float, int]] = {}
    # The sender and its followers, whose load and demand the report includes.
    instances: int = 1
    # By kind: revision at which the sender's objects last changed.
    copies: dict[str, StorePoint] = {}
    # Start times, by identifier, of endpoint processes that said that they leave.
    leaving_endpoints: dict[str, int] = {}
    era: int = 0  # Of the store, as the sender knows it.
    # By era: seconds since the sender learned of it; negative if it knew no earlier
    # one. Long known eras are left out.
    era_ages: dict[int, float] = {}
    # The earliest era such that the sender learned of each later one directly after the
    # one before, in which it then had the right to grant.
    right_since: int = 0
    # Whether it is not known what became of a write of a key table in the era before.
    unknown_write: bool = False
    # Grants by the tables of a later era of the store that endpoints have refused.
    refused: tuple[GrantId, ...] = ()


class SampledReport(PeerReport, array_like=True, frozen=True, tag="report+"):
    """A report with what is learned of endpoints (`GatewaySettings.learn_room`).

    It has a tag of its own, so that reports without it are as they would be otherwise.
    """

    # By endpoint: answers that the sender and its followers got; see `room_reports`.
    samples: dict[str, Samples] = {}


class FollowerReport(msgspec.Struct, array_like=True, frozen=True, tag="follow"):
    """Regular report of a follower to the granter that it follows."""

    instance: str
    life: int
    number: int  # Increases with each report of the incarnation.
    zone: str
    in_flight: dict[str, int]  # Requests by endpoint.
    strikes: tuple[StrikeReport, ...] = ()
    key_loads: dict[str, dict[int, int]] = {}  # As in `PeerReport`.
    service_times: dict[str, tuple[float, int]] = {}
    leaving_endpoints: dict[str, int] = {}  # As in `PeerReport`.


class SampledFollowerReport(
    FollowerReport, array_like=True, frozen=True, tag="follow+"
):
    """A follower's report with what is learned of endpoints."""

    samples: dict[str, Samples] = {}  # As in `SampledReport`.


class FleetDigest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """State of the fleet as a granter knows it, for its followers."""

    instance: str
    life: int
    number: int  # Increases with each digest of the incarnation.
    # By kind: revision at which the objects last changed.
    copies: dict[str, StorePoint]
    tables: dict[str, StorePoint]  # As in `PeerReport`.
    touch_age: float  # As in `PeerReport`.
    in_flight: dict[str, int]  # Requests of the whole fleet, by endpoint.
    followers: int  # Of the sender.
    instances: int  # Of the whole fleet.
    wanted_granters: int  # In the zone of the sender.
    leaving: bool  # Whether followers have to choose another granter.
    strikes: tuple[StrikeReport, ...] = ()
    # Granters that followers must not choose then: they cannot read the store.
    without_contact: tuple[str, ...] = ()
    leaving_endpoints: dict[str, int] = {}  # As in `PeerReport`.


class FigureDigest(FleetDigest, array_like=True, frozen=True, tag="digest+"):
    """A digest with what was learned of endpoints."""

    rooms: tuple[RoomFigure, ...] = ()  # What endpoints handle well.


# Name, revision, and the whole document of an object; None if it was removed.
PackedChange = tuple[str, StorePoint, Any]


class TableRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Request for the key table of a service, from an instance that is behind."""

    service: str
    revision: StorePoint  # Of the sender's table in force; `BEFORE_ALL` if none.


class TableTransfer(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """Whole key table that the sender has in force."""

    table: KeyTable
    revision: StorePoint


class TableChanged(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """Changes of a key table since revision `base`."""

    service: str
    base: StorePoint
    revision: StorePoint
    next_token: int
    ranges: tuple[KeyRange, ...]


class CopyRequest(msgspec.Struct, array_like=True, frozen=True, tag="state?"):
    """Request for the objects of a kind; see `state_relay`."""

    kind: str
    revision: StorePoint  # That the sender's copy has; `BEFORE_ALL` if none.


class QueueMarker(msgspec.Struct, array_like=True, frozen=True, tag="mark"):
    """Message of an instance to itself: all messages read after it arrived later."""

    life: int
    sent_at: float  # By the clock of the event loop.


class CopyTransfer(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """Changes of the objects of a kind, or all objects."""

    kind: str
    base: StorePoint  # That the changes follow; `BEFORE_ALL` if all objects are sent.
    revision: StorePoint  # At which the sender's objects last changed.
    changes: list[PackedChange]


SyncMessage = (
    TableRequest
    | TableTransfer
    | TableChanged
    | CopyRequest
    | CopyTransfer
    | TransferPiece
    | PieceRequest
    | FollowerReport
    | SampledFollowerReport
    | FleetDigest
    | FigureDigest
)
Message = PeerReport | SampledReport | QueueMarker | SyncMessage


class PeerState:
    """What the latest reports of another instance say."""

    __slots__ = (
        "received_at",
        "arrived_after",
        "loads",
        "loads_at",
        "report",
        "service_times",
        "vouched",
    )

    def __init__(self, report: PeerReport, received_at: float) -> None:
        self.report = report
        self.received_at = received_at  # When the latest report was read.
        self.arrived_after = -1e9  # Lower bound of when the latest report arrived.
        # By era of the store: lower bound of when a report of that era that vouches for
        # this instance arrived, unless a later one does not vouch.
        self.vouched: dict[int, float] = {}
        self.loads: dict[str, dict[int, int]] = {}
        self.loads_at = -1e9
        self.service_times: dict[str, tuple[float, int]] = {}

    def vouched_at(self, era: int) -> float:
        """Return when a report that vouches for this instance in an era arrived."""
        return self.vouched.get(era, -1e9)

    def note_vouching(self, report: PeerReport, arrived_after: float) -> None:
        """Note whether a report vouches for this instance, in the era of its sender."""
        self.vouched[report.era] = arrived_after if report.vouches else -1e9
        while len(self.vouched) > MAX_VOUCHED_ERAS:
            del self.vouched[min(self.vouched)]

    def last_grant_times(self, endpoint: str) -> tuple[float, float]:
        """Return upper bounds of the times of its latest grants to an endpoint.

        The first is for all grants, the second for unanswered ones.

        A previous incarnation of the instance may have sent both until it exited.
        """
        earlier = self.received_at - self.report.earlier_life_age
        lease = self.report.leases.get(endpoint)
        if lease is None:
            return earlier, earlier
        sent = max(earlier, self.received_at - lease.sent_age)
        if lease.unanswered_age is None:
            return sent, earlier
        return sent, max(earlier, self.received_at - lease.unanswered_age)


class PeerReports(asyncio.DatagramProtocol):
    """Sends and receives the messages between instances."""

    def __init__(
        self,
        instance: str,
        life: int,
        on_report: Callable[[PeerReport, Address], None],
        on_message: Callable[[SyncMessage, Address], None],
        log: EventLog,
    ) -> None:
        self._instance = instance
        self._life = life
        self._arrived_after = -1e9  # Lower bound of the arrival of the next message.
        self._on_report = on_report
        self._on_message = on_message
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
            Message
        )
        self.peers: dict[str, PeerState] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        # The event loop's transport does not derive from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message and pass it to its handler."""
        try:
            message = self.decode(data)
        except (msgspec.MsgspecError, zlib.error) as exc:
            self._log.write_rate_limited(
                "peer_report_malformed", source=addr[0], detail=str(exc)
            )
            return
        if isinstance(message, PeerReport):
            self._accept_report(message, Address(*addr))
        elif isinstance(message, QueueMarker):
            self._accept_marker(message)
        else:
            self._on_message(message, Address(*addr))

    def mark_queue(self, own_address: Address) -> None:
        """Send a marker through this instance's own queue of unread messages."""
        now = asyncio.get_running_loop().time()
        self.send(QueueMarker(self._life, now), [own_address])

    def _accept_marker(self, marker: QueueMarker) -> None:
        now = asyncio.get_running_loop().time()
        if marker.life == self._life and marker.sent_at <= now:
            self._arrived_after = max(self._arrived_after, marker.sent_at)

    def _accept_report(self, report: PeerReport, source: Address) -> None:
        """Store a report unless a later one of the same incarnation was received."""
        if report.instance == self._instance:
            return
        now = asyncio.get_running_loop().time()
        state = self.peers.get(report.instance)
        if state is None or state.report.life != report.life:
            state = self.peers[report.instance] = PeerState(report, now)
        elif report.number <= state.report.number:
            return
        state.report, state.received_at = report, now
        state.arrived_after = self._arrived_after
        state.note_vouching(report, self._arrived_after)
        if report.key_loads:
            state.loads, state.loads_at = report.key_loads, now
            state.service_times = report.service_times
        self._on_report(report, source)

    def error_received(self, exc: Exception) -> None:
        """Log a rejected datagram; the next report replaces it."""
        self._log.write_rate_limited("peer_report_rejected", detail=str(exc))

    def send(self, message: Message, targets: list[Address]) -> int:
        """Send a message to other instances.

        Returns the bytes of its datagram, or 0 if it was not sent.
        """
        if self._transport is None:
            return 0
        # Pieces are parts of compressed bytes.
        is_piece = isinstance(message, TransferPiece)
        data = self._encoder.encode(message) if is_piece else self.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.write_rate_limited(
                "peer_message_too_large", kind=type(message).__name__, bytes=len(data)
            )
            return 0
        for target in targets:
            self._transport.sendto(data, (target.host, target.port))
        return len(data)

    def encode(self, message: Message) -> bytes:
        """Return a message in bytes, compressed if that saves any."""
        data = self._encoder.encode(message)
        if len(data) >= MIN_COMPRESSED_BYTES:
            data = COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)
        return data

    def decode(self, data: bytes) -> Message:
        """Return the message of some bytes.

        Raises msgspec.MsgspecError or zlib.error. Takes at most `MAX_MESSAGE_BYTES` of
        memory for the decompressed bytes.
        """
        return self._decoder.decode(_decompress(data))

    def alive(self, now: float) -> list[PeerState]:
        """Return the instances that sent a report recently."""
        return [p for p in self.peers.values() if now - p.received_at < ALIVE_SECONDS]


def _decompress(data: bytes) -> bytes:
    """Return the encoded message of a datagram. Raises zlib.error."""
    if not data.startswith(COMPRESSED_MARK):
        return data
    return zlib.decompressobj().decompress(
        data[len(COMPRESSED_MARK) :], MAX_MESSAGE_BYTES
    )
