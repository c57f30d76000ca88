"""HTTP/1.1 server for callers.

Invariants: answers leave in the order of the requests; a request that was read is
answered unless its caller left; nothing that follows a malformed request is read.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

import httptools

from arbutusflow.domain.body_budget import BodyBudget
from arbutusflow.gateway.model import CallerLimits

MAX_PIPELINED = 16  # Requests of one connection that are worked on at a time.
# Bounds while no configuration is known yet.
DEFAULT_LIMITS = CallerLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)

_REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
_BODILESS = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What is sent to a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reason: bytes = b""
    length: bytes | None = None  # Declared length of an answer to HEAD.


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request as it was read; header names are in lower case."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived: float  # Time of the event loop at the first byte.
    # The work is stopped when the caller leaves. Cleared once work that may run
    # only once is on its way: its outcome is then not worth less than a reset.
    cancellable: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Return how many headers of a name there are."""
        return sum(key == name for key, _ in self.headers)


Handler = Callable[[CallerRequest], Awaitable[Reply]]
OnError = Callable[[str, BaseException], None]  # Logs what a handler raised.


class CallerServer:
    """Accepts the connections of callers and lists those that are open."""

    def __init__(self, handler: Handler, budget: BodyBudget, on_error: OnError) -> None:
        self.handler = handler
        self.budget = budget
        self.on_error = on_error
        self.limits = DEFAULT_LIMITS
        self.stopping = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    @property
    def port(self) -> int:
        """The port that is listened on, which the system chooses for port 0."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    def announce_stop(self) -> None:
        """End each connection with its next answer."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close connections without a request."""
        for conn in list(self.connections):
            conn.close_if_idle()

    @property
    def active(self) -> int:
        """Number of requests that are not answered yet."""
        return sum(conn.pending for conn in self.connections)


class _Slot:
    """Place of one answer in the order of a connection."""

    __slots__ = ("keep_alive", "reply", "request", "task")

    def __init__(self, request: CallerRequest | None, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.reply: Reply | None = None
        self.task: asyncio.Task[None] | None = None


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._slots: collections.deque[_Slot] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False  # Nothing more is read.
        self._paused = False
        self._held = 0  # Bytes of bodies that count towards the budget.
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._reading = False
        self._in_body = False
        self._arrived = 0.0

    @property
    def pending(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._slots) + (1 if self._reading else 0)

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._start_timer(self._server.limits.idle_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that left."""
        self._ended = True
        self._server.connections.discard(self)
        self._stop_timer()
        self._release_body()
        for slot in self._slots:
            if slot.task is not None and slot.request and slot.request.cancellable:
                slot.task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as left."""
        return False

    def pause_writing(self) -> None:
        """Read no further requests while answers cannot leave."""
        self._pause()

    def resume_writing(self) -> None:
        """Read on."""
        self._resume()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._ended:
            return
        if not self._in_body:
            self._head_size += len(data)
        if not self._reading and not self._slots:
            self._start_timer(self._server.limits.header_seconds)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._ended = True
        except httptools.HttpParserError:
            self._reject(400)
        if self._ended:
            return
        if not self._in_body and self._head_size > self._server.limits.header_bytes:
            self._reject(431)
        elif len(self._slots) >= MAX_PIPELINED:
            self._pause()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start another request."""
        self._reset_request()
        self._reading = True
        self._arrived = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check what the headers announce."""
        self._in_body = True
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._server.limits.header_bytes:
            self._reject(431)
            return
        self._start_timer(self._server.limits.idle_seconds)
        announced = 0
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                announced = int(value)
            elif name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if announced > self._server.limits.body_bytes:
            self._reject(413)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body within the bounds."""
        if self._ended:
            return
        self._body_size += len(body)
        if self._body_size > self._server.limits.body_bytes:
            self._reject(413)
        elif not self._server.budget.take(len(body)):
            self._reject(503, ((b"Retry-After", b"0.5"),))
        else:
            self._held += len(body)
            self._body.append(body)
            self._start_timer(self._server.limits.idle_seconds)

    def on_message_complete(self) -> None:
        """Hand the request to its handler."""
        if self._ended:
            return
        self._stop_timer()
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            arrived=self._arrived,
        )
        held, self._held = self._held, 0
        slot = _Slot(request, self._parser.should_keep_alive())
        self._reset_request()
        self._slots.append(slot)
        slot.task = self._loop.create_task(self._serve(slot, held))

    # Answers.

    async def _serve(self, slot: _Slot, held: int) -> None:
        assert slot.request is not None
        try:
            slot.reply = await self._server.handler(slot.request)
        except asyncio.CancelledError:
            return
        except Exception as exc:
            # A fault of this program. The request may have run, which 500 leaves open.
            self._server.on_error("request", exc)
            slot.reply = Reply(500)
        finally:
            if held:
                self._server.budget.release(held)
        self._flush()

    def _reject(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Answer what cannot be served and read nothing more."""
        self._ended = True
        self._reading = False
        self._release_body()
        slot = _Slot(None, keep_alive=False)
        slot.reply = Reply(status, headers)
        self._slots.append(slot)
        self._flush()

    def _release_body(self) -> None:
        if self._held:
            self._server.budget.release(self._held)
            self._held = 0

    def _flush(self) -> None:
        while self._slots and self._slots[0].reply is not None:
            slot = self._slots.popleft()
            keep = slot.keep_alive and not self._server.stopping
            if self._ended and not self._slots:
                keep = False
            if slot.reply is not None:
                head_only = slot.request is not None and slot.request.method == b"HEAD"
                self._write(_encode(slot.reply, keep, head_only))
            if not keep:
                # Requests behind a closing answer were not read in the protocol's
                # sense; callers send them again.
                self._drop_rest()
                self._close()
                return
        if not self._slots and not self._reading:
            self._start_timer(self._server.limits.idle_seconds)
        self._resume()

    def _drop_rest(self) -> None:
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()
        self._slots.clear()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        self._ended = True
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self.pending:
            self._close()

    # Timers and flow control.

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._time_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self._slots:
            return
        if self._reading or self._head_size:
            self._reject(408)
        else:
            self._close()

    def _pause(self) -> None:
        if not self._paused and self._transport and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._paused and self._transport and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()


def _encode(reply: Reply, keep_alive: bool, head_only: bool) -> bytes:
    reason = reply.reason or _REASONS.get(reply.status, b"")
    lines = [b"HTTP/1.1 %d %s" % (reply.status, reason)]
    lines += [name + b": " + value for name, value in reply.headers]
    if head_only:
        if reply.length is not None:
            lines.append(b"Content-Length: " + reply.length)
    elif reply.status not in _BODILESS:
        lines.append(b"Content-Length: %d" % len(reply.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if head_only or reply.status in _BODILESS else head + reply.body
