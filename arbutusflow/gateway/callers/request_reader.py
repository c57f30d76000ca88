"""Reads the requests of one connection from the bytes that arrive.

The parser is fed in slices. After each one, what the request holds is charged to the
account of the memory of callers, the size of its head is checked, and the share of the
processor that the connection has in one turn of the event loop; the rest of what
arrived is parsed in a later turn.

Invariants: nothing behind a malformed or rejected request is processed; memory that is
reserved or charged for a request is returned when it is rejected or dropped; input is
parsed in its order.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import httptools

from arbutusflow.gateway.callers.memory_account import (
    HEADER_BYTES,
    WAITING_BYTES,
    Holding,
)
from arbutusflow.gateway.callers.messages import CallerRequest, Headers

if TYPE_CHECKING:
    from arbutusflow.gateway.callers.server import CallerServer

# For requests that another instance can serve at once.
RETRY_SOON = ((b"Retry-After", b"0.1"),)


# Bytes that are parsed between two checks. The 16,000 header lines of a read of 64 KiB
# would take 2 MB at once.
SLICE_BYTES = 1_024
# After a slice with few calls of the parser, as within a large part of a body.
LONG_SLICE_BYTES = 8_192
FEW_CALLS = 8
# Calls of the parser for header lines, parts of bodies and requests in one turn of the
# event loop, above which the rest waits. A slice of 1 KiB has at most 256, which take
# 0.03 to 0.2 ms. A usual head has 10 to 50.
CALLS_PER_TURN = 256
# Turns between two polls of the event loop. One parses a slice, so that all of them
# take 2 to 11 ms, or passes a pipelined request to the handler.
TURNS_AT_ONCE = 64


class RequestReceiver(Protocol):
    """What a reader needs of its connection."""

    @property
    def has_pending(self) -> bool:
        """Whether requests that were read before have no response."""

    @property
    def is_full(self) -> bool:
        """Whether so many requests have no response that no more are read."""

    def ask_for_body(self) -> None:
        """Let the caller send the body (status 100)."""

    def accept(
        self, req: CallerRequest, keep_alive: bool, reserved_bytes: int, charge: int
    ) -> None:
        """Serve a complete request.

        `reserved_bytes` of the budget for bodies are to be released after that, and the
        charge of the account for the memory of callers is to be returned.
        """

    def reject(
        self, status: int, reason: str, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Respond with an error, and close the reader.

        The reason is reported; it is empty if the caller is not the cause.
        """


class ReadTurns:
    """Gives connections with more work their turns, one after another.

    Each turn of the event loop serves a limited number of them, so that many callers
    whose input takes long to parse, or who send many requests at once, delay others by
    a limited time.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()
        self._scheduled = False

    def add(self, take_turn: Callable[[], None]) -> None:
        """Call `take_turn` once, in one of the next turns of the event loop."""
        self._waiting.append(take_turn)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled and self._waiting:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        try:
            for _ in range(min(len(self._waiting), TURNS_AT_ONCE)):
                self._waiting.popleft()()
        finally:
            self._schedule()


class RequestReader:
    """Reader of one connection."""

    def __init__(
        self, receiver: RequestReceiver, server: "CallerServer", holding: Holding
    ) -> None:
        self._receiver = receiver
        self._server = server
        self._holding = holding
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self.closed = False  # No further input is processed.
        self._rest = b""  # Input that has not been parsed.
        self._calls = 0  # Of the parser, in this turn.
        self._slice_size = 0  # Of the slice that is being parsed.
        self._head_size = 0  # Bytes received since the latest part of a body.
        self._reserved_bytes = 0  # Body bytes reserved from the budget.
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._head_charge = 0  # For the complete head.
        self._lines_size = 0  # Bytes of empty lines before the request.
        self.read_until = float("inf")  # When the request has to be complete.
        self.request_started = False
        self.in_body = False
        self._received_at = 0.0

    @property
    def has_rest(self) -> bool:
        """Whether input waits for the next turn."""
        return bool(self._rest)

    @property
    def body_size(self) -> int:
        """Bytes received of the body."""
        return len(self._body)

    def close(self) -> None:
        """Process no further input; a request that is not complete is dropped."""
        self.closed = True
        self._rest = b""
        self._reset_request()
        # The parser may go on to the end of the slice; its headers are not kept.
        self.in_body = True
        if self._reserved_bytes:
            self._server.budget.release(self._reserved_bytes)
            self._reserved_bytes = 0
        self._holding.set_reading(0)

    def feed(self, data: bytes) -> None:
        """Parse received bytes, as many of them as this turn allows."""
        if self.closed:
            return
        if self._rest:
            self._rest += data
            self._holding.set_reading(self._holding.reading_bytes + len(data))
            return
        self._read(data)

    def read_on(self) -> None:
        """Parse more of the rest, as much as this turn allows."""
        rest, self._rest = self._rest, b""
        if rest and not self.closed:
            self._read(rest)

    def _read(self, data: bytes) -> None:
        if self._server.finished:
            self._receiver.reject(503, "", RETRY_SOON)
            return
        self._calls = 0
        if len(data) <= SLICE_BYTES:
            self._parse(data)
            self._check(0)
            return
        view, at, size = memoryview(data), 0, SLICE_BYTES
        while at < len(data) and not self.closed:
            if self._calls >= CALLS_PER_TURN or self._receiver.is_full:
                self._rest = data[at:]
                return
            calls = self._calls
            self._parse(view[at : at + size])
            at += size
            self._check(max(0, len(data) - at))
            few = self._calls - calls <= FEW_CALLS
            size = LONG_SLICE_BYTES if few else SLICE_BYTES

    def _parse(self, data: bytes | memoryview) -> None:
        self._slice_size = len(data)
        self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.close()
        except httptools.HttpParserCallbackError as exc:
            # A bug in this program, as in the handler of a request.
            self._server.on_error("reading a request", exc.__context__ or exc)
            self._receiver.reject(500, "")
        except httptools.HttpParserError:
            if not self.closed:
                self._receiver.reject(400, "malformed")

    def _check(self, rest_size: int) -> None:
        """Check the limits after a slice, of which so much of the input is left."""
        if self.closed:
            return
        if self._head_size > self._server.limits.header_bytes:
            # Of the head, trailers or extensions of chunks.
            self._receiver.reject(431, "head_too_large")
            return
        held = rest_size
        if self.request_started:
            held += self._head_size + len(self._body)
            held += self._head_charge or HEADER_BYTES * len(self._headers)
        if held != self._holding.reading_bytes:
            self._holding.set_reading(held)
        if held and self._server.account.is_full:
            self._make_room()

    def _make_room(self) -> bool:
        """Return whether the request that is being read may go on."""
        if not self._server.make_room() and not self.closed:
            self._receiver.reject(503, "memory_full", RETRY_SOON)
        return not self.closed  # This connection may have been evicted.

    # Callbacks of the `httptools` parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.closed:
            return
        self._calls += 1
        self._reset_request()
        # Of this slice it is not known what is in front of the request.
        self._lines_size = max(0, self._head_size - self._slice_size)
        self.request_started = True
        self._received_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are ignored."""
        self._calls += 1
        if not self.in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the header size and the announced body size."""
        if self.closed:
            return
        self.in_body = True
        # Each line has a colon and a line end at least.
        size = len(self._target) + sum(len(n) + len(v) + 3 for n, v in self._headers)
        if size + self._lines_size > self._server.limits.header_bytes:
            self._receiver.reject(431, "head_too_large")
            return
        self._head_charge = size + HEADER_BYTES * len(self._headers)
        self.read_until = self._received_at + self._server.read_seconds(self._headers)
        content_length, expects_continue = 0, False
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                content_length = int(value)
            elif name == b"expect" and value.lower() == b"100-continue":
                expects_continue = True
        if expects_continue:
            self._receiver.ask_for_body()
        if content_length > self._server.limits.body_bytes:
            self._receiver.reject(413, "body_too_large")

    def on_body(self, body: bytes) -> None:
        """Append to the body, within the size limit and the memory budget."""
        if self.closed:
            return
        self._calls += 1
        self._head_size = 0
        if len(self._body) + len(body) > self._server.limits.body_bytes:
            self._receiver.reject(413, "body_too_large")
        elif not self._server.take_body(self._holding, len(body)):
            self._receiver.reject(503, "bodies_full", ((b"Retry-After", b"0.5"),))
        else:
            self._reserved_bytes += len(body)
            self._body += body

    def on_message_complete(self) -> None:
        """Hand over the complete request."""
        if self.closed:
            return
        if self._server.stopping and self._receiver.has_pending:
            # A caller that sends on resets its connection when the process ends, also
            # under an answer that the kernel still delivers.
            self._receiver.reject(503, "", RETRY_SOON)
            return
        if self._server.account.is_full and not self._make_room():
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=self._body,
            received_at=self._received_at,
        )
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        charge = WAITING_BYTES + self._head_charge
        self._reset_request()
        self._head_size = 0
        if self._holding.reading_bytes:
            # Charged as a complete request from now on. What follows it is charged
            # again after this slice.
            self._holding.set_reading(0)
        self._receiver.accept(
            request, self._parser.should_keep_alive(), reserved_bytes, charge
        )
