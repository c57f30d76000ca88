"""One HTTP/1.1 connection to an endpoint or to the store.

Invariants: one request is in flight at a time; an answer is handed out only if it
is whole and bears the identifier of that request; a connection on which anything
else arrived is never used again.
"""

import asyncio
import socket
import struct

import httptools

from arbutusflow.gateway.model import Address, Answer, ExchangeError

MAX_ANSWER_BYTES = 16 * 1024 * 1024  # Answers are held whole; see docs/platform.md.
MAX_STRAY_ANSWERS = 4  # Late answers to earlier requests before giving up.
# Keep-alive probes end a connection whose path lost its state within about 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # Lingering is on, for no time.
_NO_BODY = frozenset({204, 304})


class ResponseProgress:
    """Arrival of one answer whose length is not bounded beforehand.

    The exchange ends when nothing arrives for `stall_seconds`, instead of at a fixed
    time: a long answer over a slow link takes seconds.
    """

    __slots__ = ("received_at", "stall_seconds")

    def __init__(self, stall_seconds: float) -> None:
        self.stall_seconds = stall_seconds
        self.received_at = -1e9  # When bytes of the answer arrived last.


class ClientConnection(asyncio.Protocol):
    """Sends requests one after the other and collects whole answers."""

    def __init__(self, id_header: bytes | None = None) -> None:
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._fut: asyncio.Future[Answer] | None = None
        self._expected_id: bytes | None = None
        self._head_only = False
        self._strays = 0
        self._receipt: ResponseProgress | None = None
        self._time_limit: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._tainted = False
        self.closed = False
        self.idle_since = 0.0
        self.idle_limit = float("inf")  # Seconds that the other side allows.
        self._reset_message()

    # Opening and closing.

    @classmethod
    async def open(
        cls, address: Address, timeout: float, id_header: bytes | None = None
    ) -> "ClientConnection":
        """Connect. Raises ExchangeError with `sent` false."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, conn = await loop.create_connection(
                    lambda: cls(id_header), address.host, address.port
                )
        except (OSError, TimeoutError) as exc:
            detail = f"no connection to {address.host}:{address.port}: {exc!r}"
            raise ExchangeError(detail, sent=False) from exc
        return conn

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            # Closing sends a reset and drops what was not delivered. Otherwise the
            # kernel would deliver an order after a partition, long after this side
            # gave it up or ended.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            tcp = socket.IPPROTO_TCP
            sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
            sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
            sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange under way."""
        self.closed = True
        self._fail(f"connection lost: {exc!r}" if exc else "connection closed")

    def eof_received(self) -> bool:
        """Complete an answer that has no length; anything else is cut short."""
        if self._until_close and self._in_body:
            self._finish(reusable=False)
        self.closed = True
        return False

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the other side stops its work."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not self.closed and not self._tainted and self._fut is None

    # Exchange.

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        timeout: float,
        expected_id: bytes | None = None,
        head_only: bool = False,
        receipt: ResponseProgress | None = None,
    ) -> Answer:
        """Send one request and wait for its whole answer.

        `timeout` seconds pass until the whole answer is there or, with a receipt,
        until its first byte.

        Raises ExchangeError; the connection is then closed. Cancelling the call
        resets the connection.
        """
        assert self._transport is not None
        if not self.usable:
            raise ExchangeError("connection is not usable", sent=False)
        loop = asyncio.get_running_loop()
        self._fut = fut = loop.create_future()
        self._expected_id, self._head_only, self._strays = expected_id, head_only, 0
        self._transport.write(head + body if len(body) < 65536 else head)
        if len(body) >= 65536:
            self._transport.write(body)
        self._receipt = receipt
        self._time_limit = loop.call_later(timeout, self._time_out)
        try:
            return await fut
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._time_limit.cancel()
            self._receipt = None
            self._fut = None
            self.idle_since = loop.time()
            if self._tainted:
                self.abort()

    def _time_out(self) -> None:
        self._fail("no answer in time")
        self.abort()

    def _fail(self, detail: str) -> None:
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(ExchangeError(detail, sent=True))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that nobody asked for end the connection."""
        if self._fut is None or self._fut.done():
            self._taint()
            return
        if self._receipt is not None:
            self._note_arrival(self._receipt)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._taint()
            self._fail("the answer switches protocols")
        except httptools.HttpParserError as exc:
            self._taint()
            self._fail(f"malformed answer: {exc}")

    def _note_arrival(self, receipt: ResponseProgress) -> None:
        loop = asyncio.get_running_loop()
        receipt.received_at = loop.time()
        if self._time_limit is not None:
            self._time_limit.cancel()
        self._time_limit = loop.call_later(receipt.stall_seconds, self._time_out)

    def _taint(self) -> None:
        self._tainted = True
        if self._fut is None:
            self.abort()

    # Callbacks of the parser.

    def _reset_message(self) -> None:
        self._status_text = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._in_body = False
        self._until_close = False

    def on_message_begin(self) -> None:
        """Start another answer."""
        if self._fut is None or self._fut.done():
            self._tainted = True
        self._reset_message()

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._status_text += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide how the body ends."""
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._in_body = True
        self._until_close = not framed and status >= 200 and status not in _NO_BODY
        if self._head_only and status >= 200:
            self._finish(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body within the bound."""
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self._taint()
            self._fail("the answer is larger than can be held")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer out unless it belongs to another request."""
        if self._parser.get_status_code() < 200:
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _finish(self, *, reusable: bool) -> None:
        if self._fut is None or self._fut.done():
            self._tainted = True
            return
        answer = Answer(
            status=self._parser.get_status_code(),
            reason=self._status_text,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            reusable=reusable,
        )
        if self._belongs_to_other(answer):
            # A second answer to an earlier request. The answer to this one may
            # follow, but the connection is not used for another.
            self._tainted = True
            self._strays += 1
            if self._strays > MAX_STRAY_ANSWERS or not reusable:
                self._fail("answers to other requests arrived")
            return
        assert self._transport is not None
        self._in_body = False
        if not reusable or self._transport.get_write_buffer_size() > 0:
            # An endpoint may answer before it has read a long body.
            self._tainted = True
        self._note_idle_limit(answer)
        self._fut.set_result(answer)

    def _belongs_to_other(self, answer: Answer) -> bool:
        if self._id_header is None or self._expected_id is None:
            return False
        return answer.header(self._id_header) != self._expected_id

    def _note_idle_limit(self, answer: Answer) -> None:
        text = answer.header(b"keep-alive") or b""
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit = float(value)
