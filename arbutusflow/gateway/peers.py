"""Reports between instances: small datagrams with load, leases and versions.

Invariants: a report changes no decision that needs agreement; it can be lost or
late at any time. Ages instead of times cross the wire, because clocks differ; a
report that is late makes an event look more recent than it was.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_table import KeyRange, KeyTable
from arbutusflow.gateway.model import Address

ALIVE_SECONDS = 2.0  # One report of a large fleet may be lost before this.


class LeaseReport(msgspec.Struct, array_like=True, frozen=True):
    """When an instance last sent a grant to an endpoint, as ages in seconds."""

    sent_age: float
    unanswered_age: float  # Negative if no grant is without an answer.
    renewed_age: float  # Negative if none succeeded.


class StrikeReport(msgspec.Struct, array_like=True, frozen=True):
    """A request that was in flight when its endpoint ended."""

    number: int  # Counts the strikes of the sender.
    digest: bytes


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """What one instance tells the others."""

    instance: str
    life: int  # Random number of the process.
    number: int
    # Seconds since an earlier life of the instance may have sent its last grant.
    earlier_life_age: float
    tables: dict[str, int]  # Revisions of the key tables in force, by service.
    # Seconds since the store answers without interruption; negative if it does not.
    touch_age: float
    # Latest revision of the configuration and of the endpoints that is known.
    configuration: int
    endpoints: int
    in_flight: dict[str, int]
    leases: dict[str, LeaseReport]
    # Whether the receiver may grant keys on the strength of hearing the sender.
    vouches: bool = True
    strikes: tuple[StrikeReport, ...] = ()
    # Hundredths of a request per second, by service and key.
    key_loads: dict[str, dict[int, int]] = {}
    # Measured seconds of one request and the number of answers behind them, by
    # endpoint; told together with the loads.
    service_times: dict[str, tuple[float, int]] = {}


class TableAsked(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """An instance that cannot read the store asks for the keys of a service."""

    service: str
    revision: int  # Of the table that it goes by; 0 if it has none.


class TableTold(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """A key table as the sender read it from the store."""

    table: KeyTable
    revision: int


class TableChanged(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """What a key table has that the one at revision `base` did not have."""

    service: str
    base: int
    revision: int
    next_token: int
    ranges: tuple[KeyRange, ...]


class StateAsked(msgspec.Struct, array_like=True, frozen=True, tag="state?"):
    """An instance that has not read the store yet asks for all objects of a kind."""

    kind: str


class StateTold(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """Objects of a kind as the sender knows them; see `state_relay`."""

    kind: str
    packed: bytes


Question = TableAsked | TableTold | TableChanged | StateAsked | StateTold
Message = PeerReport | Question


class PeerState:
    """Latest report of another instance."""

    __slots__ = ("heard", "loads", "loads_at", "report", "service_times", "vouched")

    def __init__(self, report: PeerReport, heard: float) -> None:
        self.report = report
        self.heard = heard
        self.vouched = -1e9  # When it last vouched for this instance.
        self.loads: dict[str, dict[int, int]] = {}
        self.loads_at = -1e9
        self.service_times: dict[str, tuple[float, int]] = {}

    def last_grants(self, endpoint: str) -> tuple[float, float]:
        """Return when it last sent a grant to an endpoint, and one without an answer.

        An earlier life of the instance may have sent both until it ended.
        """
        earlier = self.heard - self.report.earlier_life_age
        lease = self.report.leases.get(endpoint)
        if lease is None:
            return earlier, earlier
        sent = max(earlier, self.heard - lease.sent_age)
        if lease.unanswered_age < 0:
            return sent, earlier
        return sent, max(earlier, self.heard - lease.unanswered_age)


class PeerReports(asyncio.DatagramProtocol):
    """Receives the reports of others and sends our own."""

    def __init__(
        self,
        instance: str,
        on_report: Callable[[PeerReport, Address], None],
        on_message: Callable[[Question, Address], None],
        log: EventLog,
    ) -> None:
        self._instance = instance
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
        """Keep the socket."""
        # The event loop's transport does not derive from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a message on."""
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            self._log.write_rate_limited(
                "peer_report_malformed", source=addr[0], detail=str(exc)
            )
            return
        if isinstance(message, PeerReport):
            self._take_report(message, Address(*addr))
        else:
            self._on_message(message, Address(*addr))

    def _take_report(self, report: PeerReport, source: Address) -> None:
        """Take over a report unless it is older than the last one."""
        if report.instance == self._instance:
            return
        now = asyncio.get_running_loop().time()
        known = self.peers.get(report.instance)
        if known is None or known.report.life != report.life:
            known = self.peers[report.instance] = PeerState(report, now)
        elif report.number <= known.report.number:
            return
        known.report, known.heard = report, now
        if report.vouches:
            known.vouched = now
        if report.key_loads:
            known.loads, known.loads_at = report.key_loads, now
            known.service_times = report.service_times
        self._on_report(report, source)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram was rejected; the next report replaces it."""
        self._log.write_rate_limited("peer_report_rejected", detail=str(exc))

    def send(self, message: Message, targets: list[Address]) -> None:
        """Send a message to other instances."""
        if self._transport is None:
            return
        data = self._encoder.encode(message)
        for target in targets:
            self._transport.sendto(data, (target.host, target.port))

    def alive(self, now: float) -> list[PeerState]:
        """Return the instances that were heard of recently."""
        return [p for p in self.peers.values() if now - p.heard < ALIVE_SECONDS]
