"""HTTP/1.1 server for stand-ins that run in the process of the demo.

Invariants: answers of a connection are in the order of its requests, and a request is
cancelled when its connection ends. An error of a handler is handed to `on_error`, and
its connection is closed without an answer.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

import httptools


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Reply]]
ErrorHandler = Callable[[BaseException], None]


class EmbeddedServer:
    """Serves one handler on one address."""

    def __init__(self, handler: Handler, on_error: ErrorHandler) -> None:
        self.handler = handler
        self.on_error = on_error
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=1024
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.close()


class _Connection(asyncio.Protocol):
    def __init__(self, server: EmbeddedServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._target, self._body = b"", b""
        self._headers: dict[bytes, bytes] = {}

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._server.on_error(exc)
            self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._target, self._body, self._headers = b"", b"", {}

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        method = self._parser.get_method()
        self._waiting.append(Request(method, self._target, self._headers, self._body))
        self._serve_next()

    def _serve_next(self) -> None:
        if self._task is None and self._waiting:
            req = self._waiting.popleft()
            self._task = asyncio.ensure_future(self._serve(req))
            self._task.add_done_callback(self._done)

    async def _serve(self, req: Request) -> None:
        reply = await self._server.handler(req)
        lines = [b"HTTP/1.1 %d X" % reply.status]
        lines += [name + b": " + value for name, value in reply.headers]
        lines.append(b"Content-Length: %d" % len(reply.body))
        assert self._transport is not None
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + reply.body)

    def _done(self, task: "asyncio.Task[None]") -> None:
        self._task = None
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._server.on_error(exc)
            self.close()
            return
        self._serve_next()
