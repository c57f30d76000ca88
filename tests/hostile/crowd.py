"""Callers that send what a server has to survive, and leave their connections open."""

import asyncio
import contextlib
import dataclasses
import resource
import socket
from collections.abc import Iterable, Iterator

from arbutusflow.gateway.model import Address

# A crowd has acted when it has sent all, or when the process takes nothing more: it
# reads no further, or its callers only go on slowly.
SETTLED_SECONDS = 2.0
ACT_SECONDS = 60.0  # Only turns a hang into a failure.
OWN_DESCRIPTORS = 200  # Of the test process; the others are for callers.
RECEIVE_BUFFER_BYTES = 4096  # As no caller reads answers.


@dataclasses.dataclass(frozen=True)
class Caller:
    """What one caller sends, in pieces; `pause` is the seconds between them."""

    pieces: Iterable[bytes]
    pause: float = 0.0


class Crowd:
    """Callers that act at the same time, each on a connection of its own."""

    def __init__(self, callers: Iterable[Caller], act_seconds: float = ACT_SECONDS):
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._callers = list(callers)[: soft - OWN_DESCRIPTORS]
        self._act_seconds = act_seconds
        self._sent_bytes = 0
        self._ended = 0  # Connections that the process has ended.
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.address: Address | None = None

    def __str__(self) -> str:
        return (
            f"{len(self._callers)} callers sent {self._sent_bytes / 1e6:.1f} MB, "
            f"{self._ended} cut off"
        )

    async def act(self) -> None:
        """Send until all is sent or nothing more is taken."""
        self._tasks = [asyncio.create_task(self._call(c)) for c in self._callers]
        loop = asyncio.get_running_loop()
        sent_before, unchanged_since = -1, loop.time()
        until = loop.time() + self._act_seconds
        while loop.time() < until and not all(task.done() for task in self._tasks):
            if self._sent_bytes != sent_before:
                sent_before, unchanged_since = self._sent_bytes, loop.time()
            elif loop.time() - unchanged_since > SETTLED_SECONDS:
                break
            await asyncio.sleep(0.1)
        for task in self._tasks:
            if task.done():
                task.result()  # Raises what a bug in this module raised.

    async def _call(self, caller: Caller) -> None:
        assert self.address is not None
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (self.address.host, self.address.port))
            for piece in caller.pieces:
                await loop.sock_sendall(sock, piece)
                self._sent_bytes += len(piece)
                await asyncio.sleep(caller.pause)
        except OSError:
            self._ended += 1

    def close(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.close()


def head(target: bytes = b"/safe/0/0", method: bytes = b"GET") -> bytes:
    """Return the beginning of a head, without the empty line that ends it.

    The request is valid, so that it reaches an endpoint if it is completed.
    """
    lines = b"Host: shop.example\r\nRequest-Id: hostile\r\nDeadline-Ms: 60000\r\n"
    return b"%b %b HTTP/1.1\r\n" % (method, target) + lines


def upload(size: int) -> bytes:
    """Return the head of a request with a body of that size."""
    return head(b"/once/0/10", b"POST") + b"Content-Length: %d\r\n\r\n" % size


def chunked_upload() -> bytes:
    """Return the head of a request whose body has no announced size."""
    return head(b"/once/0/10", b"POST") + b"Transfer-Encoding: chunked\r\n\r\n"


def filled(line: bytes, size: int) -> bytes:
    """Return a line as often as it fits."""
    return line * (size // len(line))


def in_pieces(data: bytes, size: int) -> Iterator[bytes]:
    """Cut bytes into pieces of a size."""
    for start in range(0, len(data), size):
        yield data[start : start + size]
