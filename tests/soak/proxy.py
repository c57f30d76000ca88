"""Loopback proxy that injects faults into TCP connections.

It can delay, block, silence, refuse or reset them, repeat, cut or lose responses, give
them an invalid status, and respond to an upload before it has been read.
"""

import asyncio
import contextlib
import dataclasses
import random
import re
import socket
import struct
from collections.abc import Callable

CHUNK_BYTES = 65536
# SO_LINGER with a timeout of zero: closing the socket sends a reset.
_LENGTH = re.compile(rb"^content-length: *(\d+)", re.IGNORECASE | re.MULTILINE)
_REQUEST_ID = re.compile(rb"^request-id: *(\w+)", re.IGNORECASE | re.MULTILINE)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


# Stands in front of a response.
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
# How long after a response its second copy is sent.
MIN_COPY_DELAY_SECONDS = 0.005
MAX_COPY_DELAY_SECONDS = 0.1
EARLY_RESET_SECONDS = 0.03  # From the end of an early response to the reset.
EARLY_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Seal: s\r\n\r\npart"


@dataclasses.dataclass(frozen=True)
class ResponseFaults:
    """Shares of the chunks from the target that are disturbed, and in which way.

    Most responses of the endpoints of a run are small, so that each one is a chunk;
    others are not disturbed.
    """

    rng: random.Random
    repeated: float = 0.0  # Sent once more, late.
    cut: float = 0.0  # Only the first half is sent, then the connection is reset.
    lost: float = 0.0  # Not sent; the connection is reset.
    interim: float = 0.0  # Of the others: with an interim response in front.
    invalid: float = 0.0  # Sent with status 000.
    # Share of the uploads that are not forwarded: a part of a response without a length
    # is sent before they are read, this side ends, and the connection is reset.
    early: float = 0.0


class FaultInjectingProxy:
    """Forwards connections to one target.

    A blocked direction holds its bytes back until the faults are cleared, as a
    network partition does. A silenced connection stays open and delivers nothing until
    it is closed, while new connections work.
    """

    def __init__(
        self,
        target_port: int,
        host: str = "127.0.0.1",
        on_fault: Callable[[str, bytes], None] = lambda fault, response: None,
    ) -> None:
        self._target_port = target_port
        self.on_fault = on_fault  # Called with each response that is disturbed.
        self._host = host
        self._server: asyncio.Server | None = None
        self._connections: set[_ProxiedConnection] = set()
        self.port = 0
        self.delay_seconds = 0.0
        self.refuses_connections = False
        self.response_faults: ResponseFaults | None = None
        # Set while bytes to the target are forwarded.
        self.upstream_open = asyncio.Event()
        # Set while bytes to the client are forwarded.
        self.downstream_open = asyncio.Event()
        self.clear_faults()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def move_to(self, target_port: int) -> None:
        """Forward new connections to another port, and reset the open ones."""
        self._target_port = target_port
        self.reset()

    def clear_faults(self) -> None:
        """End all faults, except that silenced connections stay silent."""
        self.upstream_open.set()
        self.downstream_open.set()
        self.refuses_connections, self.delay_seconds = False, 0.0
        self.response_faults = None

    def block(self, *, upstream: bool = True, downstream: bool = True) -> None:
        """Hold back the bytes of one direction or of both."""
        if upstream:
            self.upstream_open.clear()
        if downstream:
            self.downstream_open.clear()

    def silence(self) -> None:
        """Discard all further bytes of the open connections."""
        for connection in self._connections:
            connection.silent = True

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _ProxiedConnection(self, writer)
        if self.refuses_connections:
            connection.reset()
            return
        self._connections.add(connection)
        try:
            target_reader, connection.target = await asyncio.open_connection(
                self._host, self._target_port
            )
            await asyncio.gather(
                connection.forward(reader, connection.target, self.upstream_open),
                connection.forward(target_reader, writer, self.downstream_open),
            )
        except (OSError, asyncio.CancelledError):
            pass  # One side closed, or the run ended; both sides are reset below.
        finally:
            self._connections.discard(connection)
            connection.reset()


def _is_whole(data: bytes) -> bool:
    """Whether a chunk holds a whole response, so that a copy is not within one."""
    if not data.startswith(b"HTTP/"):
        return False
    head, _, body = data.partition(b"\r\n\r\n")
    length = _LENGTH.search(head)
    return length is None or len(body) >= int(length[1])


def _is_partial_upload(data: bytes) -> bool:
    """Whether a chunk holds the head of an upload, but not its whole body."""
    head, _, body = data.partition(b"\r\n\r\n")
    length = _LENGTH.search(head)
    return (
        data.startswith(b"POST ") and length is not None and len(body) < int(length[1])
    )


class _ProxiedConnection:
    """Connection of a client, and the connection to the target that belongs to it."""

    def __init__(
        self, proxy: FaultInjectingProxy, writer: asyncio.StreamWriter
    ) -> None:
        self._proxy = proxy
        self._writer = writer
        self.target: asyncio.StreamWriter | None = None
        self.silent = False

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction_open: asyncio.Event,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self._proxy.delay_seconds:
                await asyncio.sleep(self._proxy.delay_seconds)
            await direction_open.wait()
            if self.silent and data:
                continue
            if self.silent:
                return
            if not data:
                raise ConnectionResetError  # Ends the other direction, too.
            faults = self._proxy.response_faults
            if faults is not None and writer is self._writer and _is_whole(data):
                data = self._disturb(faults, data)
            elif faults is not None and _is_partial_upload(data):
                await self._respond_early(faults, data)
            writer.write(data)
            await writer.drain()

    def _disturb(self, faults: ResponseFaults, data: bytes) -> bytes:
        """Return what is sent of a response. Raises ConnectionResetError to reset."""
        drawn = faults.rng.random()
        if drawn < faults.repeated:
            self._proxy.on_fault("repeated", data)
            delay = faults.rng.uniform(MIN_COPY_DELAY_SECONDS, MAX_COPY_DELAY_SECONDS)
            asyncio.get_running_loop().call_later(delay, self._send_copy, data)
        elif drawn < faults.repeated + faults.cut:
            self._proxy.on_fault("cut", data)
            self._writer.write(data[: len(data) // 2])
            raise ConnectionResetError
        elif drawn < faults.repeated + faults.cut + faults.lost:
            self._proxy.on_fault("lost", data)
            raise ConnectionResetError
        elif drawn < faults.repeated + faults.cut + faults.lost + faults.invalid:
            self._proxy.on_fault("invalid", data)
            return data[:9] + b"000" + data[12:]
        elif faults.interim and faults.rng.random() < faults.interim:
            return INTERIM + data
        return data

    async def _respond_early(self, faults: ResponseFaults, data: bytes) -> None:
        """Disturb some uploads. Raises ConnectionResetError to reset."""
        request_id = _REQUEST_ID.search(data)
        if request_id is None or faults.rng.random() >= faults.early:
            return
        response = EARLY_RESPONSE % request_id[1]
        self._proxy.on_fault("early", response)
        self._writer.write(response)
        self._writer.write_eof()
        await asyncio.sleep(EARLY_RESET_SECONDS)
        raise ConnectionResetError

    def _send_copy(self, data: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(data)

    def reset(self) -> None:
        for writer in (self._writer, self.target):
            if writer is None:
                continue
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()
