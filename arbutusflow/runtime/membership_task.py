"""Task that connects the membership core to a UDP socket and a timer.

Invariant: the core is called from the event loop's thread only.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol, cast

import msgspec

from arbutusflow.domain.membership import TICK_SECONDS, MembershipCore
from arbutusflow.domain.membership_messages import (
    MAX_DATAGRAM_BYTES,
    Address,
    DatagramReceived,
    Event,
    Message,
    SendDatagram,
    Tick,
    View,
    ViewChanged,
)


class Timers(Protocol):
    """Timer service for periodic callbacks."""

    def subscribe(
        self, period_seconds: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Call `callback` once per period until the returned function is called."""


class MembershipTask(asyncio.DatagramProtocol):
    """Runs the membership core on the UDP socket of this instance.

    `malformed_datagrams` counts ignored datagrams, and `socket_errors` counts errors
    that the operating system reported for sent datagrams.
    """

    def __init__(
        self,
        core: MembershipCore,
        clock: Callable[[], float],
        on_view: Callable[[View], None],
    ) -> None:
        self._core = core
        self._clock = clock
        self._on_view = on_view
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
            Message
        )
        self._transport: asyncio.DatagramTransport | None = None
        self.malformed_datagrams = 0
        self.socket_errors = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def open(
        cls,
        core: MembershipCore,
        bind: Address,
        timers: Timers,
        clock: Callable[[], float],
        on_view: Callable[[View], None],
    ) -> AsyncIterator["MembershipTask"]:
        """Run the task on a socket bound to `bind` while the context is open.

        `clock` returns monotonic seconds. Raises `OSError` if the address cannot be
        bound. In a planned stop, submit `LeaveRequested` before closing the context.
        """
        task = cls(core, clock, on_view)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: task, local_addr=(bind.host, bind.port)
        )
        cancel = timers.subscribe(TICK_SECONDS, task.tick)
        try:
            yield task
        finally:
            cancel()
            transport.close()

    @property
    def local_address(self) -> Address:
        """Address that the socket is bound to, available while it is open."""
        if self._transport is None:
            raise RuntimeError("the membership socket is not open")
        host, port = self._transport.get_extra_info("sockname")[:2]
        return Address(host, port)

    def tick(self) -> None:
        """Pass a timer tick to the core."""
        self.submit(Tick())

    def submit(self, event: Event) -> None:
        """Pass `event` to the core and carry out the returned actions."""
        for action in self._core.handle(event, self._clock()):
            match action:
                case SendDatagram(address, message):
                    self._send(address, message)
                case ViewChanged(view):
                    self._on_view(view)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport, so that nothing more is sent."""
        self._transport = None

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Decode a datagram; count and ignore it if it is malformed."""
        try:
            if len(data) > MAX_DATAGRAM_BYTES:
                raise ValueError("datagram exceeds the maximum length")
            message = self._decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            self.malformed_datagrams += 1
            return
        self.submit(DatagramReceived(message, Address(addr[0], addr[1])))

    def error_received(self, exc: Exception) -> None:
        """Count an error; the protocol compensates for lost datagrams."""
        self.socket_errors += 1

    def _send(self, address: Address, message: Message) -> None:
        if self._transport is not None:
            data = self._encoder.encode(message)
            self._transport.sendto(data, (address.host, address.port))
