"""Reads the requests of one connection from the bytes that arrive.

Invariants: nothing behind a malformed or rejected request is processed; memory that is
reserved for a body is released when its request is rejected or dropped.
"""

import asyncio
from typing import TYPE_CHECKING, Protocol

import httptools

from arbutusflow.gateway.callers.messages import CallerRequest, Headers

if TYPE_CHECKING:
    from arbutusflow.gateway.callers.server import CallerServer

# For requests that another instance can serve at once.
RETRY_SOON = ((b"Retry-After", b"0.1"),)


class RequestReceiver(Protocol):
    """What a reader needs of its connection."""

    @property
    def has_pending(self) -> bool:
        """Whether requests that were read before have no response."""

    def begin_request(self) -> None:
        """Start the time limit for a head."""

    def begin_body(self, expects_continue: bool) -> None:
        """Start the time limit for a body; `expects_continue` asks for status 100."""

    def continue_body(self) -> None:
        """Note that a part of the body arrived."""

    def accept(self, req: CallerRequest, keep_alive: bool, reserved_bytes: int) -> None:
        """Serve a complete request.

        `reserved_bytes` of the budget for bodies are to be released after that.
        """

    def reject(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Respond with an error, and close the reader."""


class RequestReader:
    """Reader of one connection."""

    def __init__(self, receiver: RequestReceiver, server: "CallerServer") -> None:
        self._receiver = receiver
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self.closed = False  # No further input is processed.
        self._reserved_bytes = 0  # Body bytes reserved from the budget.
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._head_size = 0  # Bytes received since the latest part of the body.
        self.read_until = float("inf")  # When the request has to be complete.
        self.request_started = False
        self.in_body = False
        self._received_at = 0.0

    def close(self) -> None:
        """Process no further input; a request that is not complete is dropped."""
        self.closed = True
        self.request_started = False
        self.release_body()

    def release_body(self) -> None:
        """Drop what was read of a body."""
        self._body = bytearray()
        if self._reserved_bytes:
            self._server.budget.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def _reject(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        self._receiver.reject(status, headers)

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.closed:
            return
        if self._server.finished:
            self._reject(503, RETRY_SOON)
            return
        self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.closed = True
        except httptools.HttpParserCallbackError as exc:
            # A bug in this program, as in the handler of a request.
            self._server.on_error("reading a request", exc.__context__ or exc)
            self._reject(500)
        except httptools.HttpParserError:
            self._reject(400)
        if self.closed:
            return
        if self._head_size > self._server.limits.header_bytes:
            # Of the head, trailers or extensions of chunks.
            self._reject(431)

    # Callbacks of the `httptools` parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.closed:
            return
        self._reset_request()
        self.request_started = True
        self._received_at = self._loop.time()
        self._receiver.begin_request()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are ignored."""
        if not self.in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the header size and the announced body size."""
        if self.closed:
            return
        self.in_body = True
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._server.limits.header_bytes:
            self._reject(431)
            return
        self.read_until = self._received_at + self._server.read_seconds(self._headers)
        content_length, expects_continue = 0, False
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                content_length = int(value)
            elif name == b"expect" and value.lower() == b"100-continue":
                expects_continue = True
        self._receiver.begin_body(expects_continue)
        if content_length > self._server.limits.body_bytes:
            self._reject(413)

    def on_body(self, body: bytes) -> None:
        """Append to the body, within the size limit and the memory budget."""
        if self.closed:
            return
        self._head_size = 0
        if len(self._body) + len(body) > self._server.limits.body_bytes:
            self._reject(413)
        elif not self._server.budget.take(len(body)):
            self._reject(503, ((b"Retry-After", b"0.5"),))
        else:
            self._reserved_bytes += len(body)
            self._body += body
            self._receiver.continue_body()

    def on_message_complete(self) -> None:
        """Hand over the complete request."""
        if self.closed:
            return
        if self._server.stopping and self._receiver.has_pending:
            # A caller that sends on resets its connection when the process ends, also
            # under an answer that the kernel still delivers.
            self._reject(503, RETRY_SOON)
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=self._body,
            received_at=self._received_at,
        )
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        self._reset_request()
        self._receiver.accept(request, self._parser.should_keep_alive(), reserved_bytes)
