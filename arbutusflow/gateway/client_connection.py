"""HTTP/1.1 client connection to an endpoint or to the store.

Invariants: at most one request is in flight; a response is returned only if it is
complete and carries the identifier of that request; a connection that received anything
else is never reused. A connection never carries the same identifier twice, so a second
copy of the response to an earlier send of a request is never taken for the response to
a later one. Bytes without end are cut off at limits of size and time.
"""

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import httptools

from arbutusflow.gateway.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    MemoryWait,
)
from arbutusflow.gateway.closing import socket_error, unsent_bytes
from arbutusflow.gateway.early_end import EarlyEnd
from arbutusflow.gateway.model import Address, ExchangeError, HttpResponse
from arbutusflow.gateway.response_heads import joined_error

# Responses are buffered completely; see docs/platform.md.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Bytes without a part of the body: heads of responses, trailers and chunk extensions.
MAX_HEAD_BYTES = 64 * 1024
FULL_PART_BYTES = 16 * 1024  # From which on what follows is kept in another part.
LONG_READ_BYTES = 262_144  # At a time, once there is memory for a body.
# A response of 1 MB takes 2 s over a link of 5 Mbit/s.
MAX_RECEIVE_SECONDS = 15.0
# Bounds the memory for the identifiers that a connection has carried.
MAX_EXCHANGES = 256
# Maximum number of late responses to earlier requests before an exchange fails.
MAX_STRAY_RESPONSES = 4
# Maximum number of interim responses (1xx) before an exchange fails.
MAX_INTERIM_RESPONSES = 16
# Request bodies of this size are written without copying them behind the head, and may
# not fit into the buffers of the peer's kernel.
LONG_BODY_BYTES = 64 * 1024
# TCP keep-alive detects within about 3 s that the network path has lost the connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# The transport keeps copies of what it can't send at once, so a large body is given to
# it in parts.
SEND_CHUNK_BYTES = 256 * 1024
# Errors of connecting that tell that this process or its host lacks something.
LOCAL_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with a timeout of 0 s.
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# In use; some endpoints state the length 0 in them, where HTTP has none.
_INTERIM_STATUSES = frozenset({100, 102, 103})


class ResponseProgress:
    """Receive progress of a response of unknown length.

    The exchange fails when no bytes arrive for `stall_seconds`, instead of after a
    fixed time, because a long response over a slow link takes seconds. It also fails
    `MAX_RECEIVE_SECONDS` after the first byte.
    """

    __slots__ = ("began_at", "received_at", "stall_seconds")

    def __init__(self, stall_seconds: float) -> None:
        self.stall_seconds = stall_seconds
        self.began_at: float | None = None  # When the first bytes arrived.
        self.received_at = -1e9  # When the latest bytes arrived.


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and buffers its response."""

    def __init__(
        self,
        id_header: bytes | None = None,
        budget: BodyBudget | None = None,
        on_stray: Callable[[], None] = lambda: None,
    ) -> None:
        self._id_header = id_header
        self._budget = budget  # Memory for the bodies of all responses.
        # Called when bytes arrive that belong to no request in flight.
        self._on_stray = on_stray
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[HttpResponse] | None = None
        self._expected_id: bytes | None = None
        self._sent_ids: set[bytes] = set()
        self._head_only = False
        self._stray_count = self._interim_count = 0
        self._progress: ResponseProgress | None = None
        self._timeout_handle: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._must_close = False
        self._has_body = self._has_long_body = False  # Of the request.
        # Check of the end of an early response, while there is one.
        self._early_end: EarlyEnd | None = None
        self._received_bytes = 0  # In this exchange.
        self._unwritten = memoryview(b"")  # Rest of the body of the request.
        self._writing_paused = False
        self._head_bytes = 0  # Received since the latest part of a body.
        self._reserved_bytes = 0  # Body bytes reserved from the budget.
        # Reading is paused until these bytes are reserved.
        self._memory_wait: MemoryWait | None = None
        # Response to an exchange that was cancelled in the moment in which it arrived.
        self.completed: HttpResponse | None = None
        self.closed = False
        self._lost = False  # The transport then may not be used any more.
        self.idle_since = 0.0
        self.keep_alive_seconds = float("inf")  # Idle timeout announced by the peer.
        self._reset_message()

    # Opening and closing.

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout: float,
        id_header: bytes | None = None,
        budget: BodyBudget | None = None,
        on_stray: Callable[[], None] = lambda: None,
    ) -> "ClientConnection":
        """Open a connection. Raises ExchangeError with `sent` false."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, conn = await loop.create_connection(
                    lambda: cls(id_header, budget, on_stray),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, ValueError) as exc:
            # Hosts that no resolver takes are a ValueError.
            detail = f"cannot connect to {address.host}:{address.port}: {exc!r}"
            local = isinstance(exc, OSError) and exc.errno in LOCAL_SHORTAGES
            raise ExchangeError(detail, sent=False, local=local) from exc
        return conn

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._limit_reads(SMALL_BODY_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            # Closing sends a reset and discards undelivered data. Otherwise the kernel
            # could still deliver a request after a network partition, long after this
            # process gave up on it or exited.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            tcp = socket.IPPROTO_TCP
            sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
            sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
            sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current exchange."""
        self.closed = self._lost = True
        self._stop_early_end()
        self._fail(f"connection lost: {exc!r}" if exc else "connection closed")

    def eof_received(self) -> bool:
        """Complete a response delimited by connection close; any other is truncated.

        Returns whether the connection stays open, to send the rest of the request.
        """
        self.closed = True
        waiting = self._response_future is not None and not self._response_future.done()
        if not (waiting and self._body_until_close and self._in_body):
            return False
        assert self._transport is not None
        # After the peer's end, a reset does not show when the connection is read.
        error = socket_error(self._transport)
        if self._early and not error:
            self._early_end = EarlyEnd(self._transport, self._settle)
            return True
        self._settle(error)
        return False

    def _settle(self, error: str) -> None:
        """End a response delimited by connection close."""
        if error:
            self._set_must_close()
            self._fail(f"connection lost after the end of the response: {error}")
        else:
            self._complete_response(reusable=False)

    def _stop_early_end(self) -> None:
        if self._early_end is not None:
            self._early_end.stop()
            self._early_end = None

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer stops processing the request."""
        self.closed = True
        if self._transport is not None and not self._lost:
            self._transport.abort()

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            not self.closed
            and not self._must_close
            and self._response_future is None
            and len(self._sent_ids) < MAX_EXCHANGES
        )

    def has_carried(self, request_id: bytes | None) -> bool:
        """Return whether a request with this identifier was sent on the connection."""
        return request_id in self._sent_ids

    # Exchange.

    async def exchange(
        self,
        head: bytes,
        body: bytes | bytearray,
        timeout: float,
        expected_id: bytes | None = None,
        head_only: bool = False,
        progress: ResponseProgress | None = None,
    ) -> HttpResponse:
        """Send one request and return its complete response.

        `timeout` in seconds applies to the complete response or, if `progress` is
        given, to its first byte.

        Raises ExchangeError; the connection is then closed. Cancelling the call
        resets the connection.
        """
        assert self._transport is not None
        if not self.usable:
            raise ExchangeError("connection is not usable", sent=False)
        if expected_id is not None:
            if expected_id in self._sent_ids:
                detail = "the connection has carried this identifier"
                raise ExchangeError(detail, sent=False)
            self._sent_ids.add(expected_id)
        loop = asyncio.get_running_loop()
        self._response_future = response_future = loop.create_future()
        self._expected_id = expected_id
        self._head_only = head_only
        self._stray_count = self._interim_count = 0
        self._received_bytes = self._head_bytes = 0
        self._has_body = bool(body)
        self._has_long_body = len(body) >= LONG_BODY_BYTES
        if self._has_long_body:
            self._transport.write(head)
            self._unwritten = memoryview(body)
            self._write_body()
        else:
            self._transport.write(head + body)
        self._progress = progress
        self._timeout_handle = loop.call_later(timeout, self._time_out)
        try:
            return await response_future
        except asyncio.CancelledError:
            done = response_future.done() and not response_future.cancelled()
            if done and response_future.exception() is None:
                self.completed = response_future.result()
            self.abort()
            raise
        finally:
            self._timeout_handle.cancel()
            self._stop_early_end()
            self._progress = None
            self._response_future = None
            self._unwritten = memoryview(b"")
            self._body.clear()
            self._release_body()
            self.idle_since = loop.time()
            if self._must_close:
                self.abort()

    def _write_body(self) -> None:
        assert self._transport is not None
        while (
            self._unwritten
            and not self._writing_paused
            and not self._transport.is_closing()
        ):
            self._transport.write(self._unwritten[:SEND_CHUNK_BYTES])
            self._unwritten = self._unwritten[SEND_CHUNK_BYTES:]

    def pause_writing(self) -> None:
        """Write the rest of a body when the peer has taken what is written."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Write on."""
        self._writing_paused = False
        self._write_body()

    def _time_out(self) -> None:
        self._fail("no response within the time limit")
        self.abort()

    def _fail(self, detail: str) -> None:
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(ExchangeError(detail, sent=True))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited bytes make the connection unusable."""
        if self._response_future is None or self._response_future.done():
            if not self.closed:
                self._on_stray()
            self._set_must_close()
            return
        if self._progress is not None:
            self._record_progress(self._progress)
        self._received_bytes += len(data)
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_must_close()
            self._fail("the response switches protocols")
        except httptools.HttpParserError as exc:
            self._set_must_close()
            self._fail(f"malformed response: {exc}")
        if (
            self._head_bytes > MAX_HEAD_BYTES
            or self._received_bytes > MAX_RESPONSE_BYTES + MAX_HEAD_BYTES
        ):
            self._set_must_close()
            self._fail("the response exceeds the maximum size")

    def _record_progress(self, progress: ResponseProgress) -> None:
        loop = asyncio.get_running_loop()
        now = progress.received_at = loop.time()
        if progress.began_at is None:
            progress.began_at = now
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
        self._timeout_handle = loop.call_at(
            min(now + progress.stall_seconds, progress.began_at + MAX_RECEIVE_SECONDS),
            self._time_out,
        )

    def _set_must_close(self) -> None:
        self._must_close = True
        if self._response_future is None:
            self.abort()

    # Parser callbacks.

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytearray] = []
        self._body_size = 0
        self._in_body = False
        self._body_until_close = False
        self._early = False  # Whether it may have come before the request was read.

    def on_message_begin(self) -> None:
        """Start a response."""
        if self._response_future is None or self._response_future.done():
            self._must_close = True
        self._reset_message()

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited."""
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        has_framing = b"content-length" in names or b"transfer-encoding" in names
        error = self._status_error(status, has_framing)
        joined = joined_error(self._reason, self._headers, self._id_header)
        if joined:
            error = f"two responses were joined: {joined}"
        if error:
            self._set_must_close()
            self._fail(error)
            return
        self._in_body = True
        self._body_until_close = (
            not has_framing and status >= 200 and status not in _STATUSES_WITHOUT_BODY
        )
        if self._body_until_close and self._has_body:
            assert self._transport is not None
            # The peer's kernel may have taken a long body that the peer has not read.
            self._early = self._has_long_body or unsent_bytes(self._transport) > 0
        if self._head_only and status >= 200:
            self._complete_response(reusable=False)
        elif status >= 200 and status not in _STATUSES_WITHOUT_BODY:
            # All of it at once: responses that each wait for their last part would
            # wait for each other.
            self._reserve(self._announced_bytes())

    def _status_error(self, status: int, has_framing: bool) -> str:
        """Return why the status makes the response malformed, empty if it does not."""
        if not 100 <= status < 600:
            return f"the response has the invalid status {status:03d}"
        if status >= 200:
            return ""
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            return "too many interim responses"
        if not has_framing:
            return ""
        chunked = any(name.lower() == b"transfer-encoding" for name, _ in self._headers)
        if chunked or self._announced_bytes() or status not in _INTERIM_STATUSES:
            return f"interim response {status} with a body"
        return ""

    def _announced_bytes(self) -> int:
        for name, value in self._headers:
            if name.lower() == b"content-length" and value.isdigit():
                return min(int(value), MAX_RESPONSE_BYTES)
        return 0

    def on_body(self, body: bytes) -> None:
        """Append to the body, up to the maximum size and within the memory budget."""
        self._body_size += len(body)
        self._head_bytes = 0
        if self._body_size > MAX_RESPONSE_BYTES:
            self._set_must_close()
            self._fail("the response exceeds the maximum size")
        else:
            if self._body and len(self._body[-1]) < FULL_PART_BYTES:
                self._body[-1] += body  # An object for each chunk takes much more.
            else:
                self._body.append(bytearray(body))
            self._reserve(self._body_size)

    def _reserve(self, total: int) -> None:
        """Reserve memory for a body of `total` bytes or more, and wait if it is full.

        Small bodies are not counted.
        """
        if self._budget is None or total <= SMALL_BODY_BYTES:
            return
        if not self._budget.fits(total):
            self._set_must_close()
            self._fail("not enough memory for the response")
            return
        missing = total - self._reserved_bytes
        if self._memory_wait is not None:
            self._memory_wait.size = max(missing, self._memory_wait.size)
        elif missing > 0 and self._budget.take(missing):
            self._limit_reads(LONG_READ_BYTES)
            self._reserved_bytes += missing
        elif missing > 0:
            self._memory_wait = MemoryWait(missing, self._use_memory)
            self._budget.wait(self._memory_wait)
            assert self._transport is not None
            self._transport.pause_reading()

    def _limit_reads(self, size: int) -> None:
        """Read at most so many bytes at a time, if memory for bodies is limited.

        240 responses that waited for memory held 60 MB by default, as asyncio reads up
        to 256 KiB before it knows that there is no memory for the rest.
        """
        if self._budget is not None and self._transport is not None:
            # An attribute of asyncio's transports that their interface does not name.
            cast(Any, self._transport).max_size = size

    def _use_memory(self, size: int) -> None:
        """Read on: so many bytes have been reserved."""
        self._limit_reads(LONG_READ_BYTES)
        self._reserved_bytes += size
        self._resume_reading()

    def _resume_reading(self) -> None:
        self._memory_wait = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _release_body(self) -> None:
        if self._budget is None:
            return
        if self._memory_wait is not None:
            self._budget.end_wait(self._memory_wait)
            self._resume_reading()
        reserved, self._reserved_bytes = self._reserved_bytes, 0
        if reserved:
            self._limit_reads(SMALL_BODY_BYTES)
            # Later, so that the receiver of the response reserves them before others.
            asyncio.get_running_loop().call_soon(self._budget.release, reserved)

    def on_message_complete(self) -> None:
        """Complete the response unless it is informational (1xx)."""
        if self._parser.get_status_code() < 200:
            return
        self._complete_response(reusable=self._parser.should_keep_alive())

    def _complete_response(self, *, reusable: bool) -> None:
        if self._response_future is None or self._response_future.done():
            self._must_close = True
            return
        response = HttpResponse(
            status=self._parser.get_status_code(),
            reason=self._reason,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            reusable=reusable,
        )
        if self._is_stray(response):
            # A late response to an earlier request. The response to this request may
            # follow, but the connection is not reused.
            self._must_close = True
            self._stray_count += 1
            self._on_stray()
            if self._stray_count > MAX_STRAY_RESPONSES or not reusable:
                self._fail("received responses to other requests")
            return
        assert self._transport is not None
        self._in_body = False
        if not reusable or self._has_unsent_bytes(self._transport):
            # An endpoint may respond before it has read a long request body.
            self._must_close = True
        self._update_keep_alive(response)
        self._response_future.set_result(response)

    def _has_unsent_bytes(self, transport: asyncio.Transport) -> bool:
        if self._has_long_body:
            return unsent_bytes(transport) > 0
        return transport.get_write_buffer_size() > 0

    def _is_stray(self, response: HttpResponse) -> bool:
        if self._id_header is None or self._expected_id is None:
            return False
        return response.header(self._id_header) != self._expected_id

    def _update_keep_alive(self, response: HttpResponse) -> None:
        text = response.header(b"keep-alive") or b""
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.keep_alive_seconds = float(value)
