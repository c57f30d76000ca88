"""Limits of one caller connection, checked while a request arrives.

`uvicorn` bounds neither the headers nor the time that a request takes to arrive,
so this protocol does. Invariants: a refusal is sent only on behalf of a request
that has not reached the application whole, so `not-run` is true; and never while
an earlier request of the connection waits for its answer, because the caller
would take the refusal for that answer.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from arbutusflow.adapters.caller_http import Problem, headers_of
from arbutusflow.adapters.settings import CallerLimits
from arbutusflow.domain.reasons import RefusalReason

# A connection beyond the limit is kept this long for its first request, whose
# caller then reads why it is refused.
EXCESS_CONNECTION_SECONDS = 1.0
HEADER_OVERHEAD_BYTES = 4  # Colon, space and line end.
JOINED_BYTES = 65_536  # More is not copied to save a system call.

OnRefusal = Callable[[RefusalReason], None]


class _LimitExceeded(Exception):  # noqa: N818 - ends the parser's run only
    """The head of a request is too large."""


class _JoiningTransport:
    """Passes on to a transport, but joins the writes of one answer into one.

    `uvicorn` writes head and body apart, and a system call costs more than copying
    a small body. What is not flushed goes out in the loop's next turn.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._parts: list[bytes] = []
        self._is_due = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._parts.append(data)
        if len(data) > JOINED_BYTES:
            self.flush()
        elif not self._is_due:
            self._is_due = True
            self._loop.call_soon(self._on_due)

    def close(self) -> None:
        self.flush()
        self._transport.close()

    def flush(self) -> None:
        parts, self._parts = self._parts, []
        if not parts or self._transport.is_closing():
            return
        if len(parts[-1]) > JOINED_BYTES:
            last = parts.pop()
            self._transport.write(b"".join(parts))
            self._transport.write(last)
        else:
            self._transport.write(b"".join(parts))

    def _on_due(self) -> None:
        self._is_due = False
        self.flush()


class CallerProtocol(HttpToolsProtocol):
    """HTTP protocol of one caller connection; `make_protocol_class` sets its limits."""

    limits = CallerLimits()
    on_refusal: OnRefusal

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the time limit of the first request."""
        super().connection_made(transport)
        self._joining = _JoiningTransport(transport, self.loop)
        self.transport = cast(asyncio.Transport, self._joining)
        self._timer: asyncio.TimerHandle | None = None
        self._refused = False
        self._too_large = False
        self._message = 0
        self._begun = False
        self._in_body = False
        self._parsed_bytes = 0
        self._raw_bytes = 0
        self._header_count = 0
        self._excess = len(self.connections) > self.limits.connections
        self._start_timer(
            EXCESS_CONNECTION_SECONDS if self._excess else self._receive_seconds()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the time limit."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser unless the connection is refused."""
        if self._refused:
            return
        if self._excess:
            self._refuse(
                RefusalReason.QUEUE_FULL,
                f"the instance has its limit of {self.limits.connections} caller "
                "connections; use another instance, or try again later",
                429,
            )
            return
        message, in_head = self._message, self._begun and not self._in_body
        super().data_received(data)
        if in_head and message == self._message and not self._in_body:
            # The parser reports a header once it is complete; one that does not
            # end is noticed here, one read of the socket later.
            self._raw_bytes += len(data)
            if self._raw_bytes > self.limits.header_bytes and not self._refused:
                self._too_large = True
                self.send_400_response("")

    def on_message_begin(self) -> None:
        """Start the limits of a request."""
        super().on_message_begin()
        self._message += 1
        self._begun = True
        self._parsed_bytes = self._raw_bytes = self._header_count = 0
        self._start_timer(self._receive_seconds())

    def on_url(self, url: bytes) -> None:
        """Count bytes of the request line."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header; trailers of a body count as well."""
        self._header_count += 1
        self._count(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Hand the request to the application, which waits for the body."""
        super().on_headers_complete()
        self._in_body = True

    def on_message_complete(self) -> None:
        """End the limits of a request."""
        super().on_message_complete()
        self._begun = self._in_body = False
        self._stop_timer()

    def on_response_complete(self) -> None:
        """Close a refused connection once its earlier requests are answered."""
        self._joining.flush()
        if self._refused and not self.pipeline:
            self.server_state.total_requests += 1
            self.transport.close()
            return
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse the request that arrives; `uvicorn` calls it for bad HTTP."""
        if self._too_large:
            limits = self.limits
            self._refuse(
                RefusalReason.HEADERS_TOO_LARGE,
                f"a request has at most {limits.header_count} headers and "
                f"{limits.header_bytes} bytes of headers; send fewer",
            )
            return
        self._refuse(
            RefusalReason.BAD_REQUEST,
            "the bytes are no HTTP/1.1 request; correct the client",
        )

    def _refuse(
        self, reason: RefusalReason, detail: str, status: int | None = None
    ) -> None:
        self._refused = True
        self._stop_timer()
        if self._in_body and any(cycle is self.cycle for cycle, _ in self.pipeline):
            # The incomplete request waits behind another one and never runs.
            self.pipeline.popleft()
            self.flow.pause_reading()
            return
        if not self._in_body and self.cycle and not self.cycle.response_complete:
            self.flow.pause_reading()
            return
        if not (self._in_body and self.cycle.response_started):
            self.on_refusal(reason)
            problem = Problem("not-run", reason.value, detail)
            self.transport.write(_encode(problem, status or reason.status))
        self.transport.close()

    def _count(self, size: int) -> None:
        self._parsed_bytes += size
        if (
            self._parsed_bytes > self.limits.header_bytes
            or self._header_count > self.limits.header_count
        ):
            self._too_large = True
            raise _LimitExceeded

    def _on_timer(self) -> None:
        self._timer = None
        if self.transport.is_closing():
            return
        if self.flow.read_paused:
            # The server itself does not read, until an earlier request is answered.
            self._start_timer(self._receive_seconds())
            return
        if not self._begun or self._excess:
            self.transport.close()
            return
        reason = RefusalReason.BAD_REQUEST
        if self._in_body:
            reason = RefusalReason.UPLOAD_INCOMPLETE
        detail = f"the request did not arrive whole in {self.limits.receive_ms} ms"
        self._refuse(reason, f"{detail}; send it again", 408)

    def _receive_seconds(self) -> float:
        return self.limits.receive_ms / 1000

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, self._on_timer)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def make_protocol_class(
    limits: CallerLimits, on_refusal: OnRefusal
) -> type[CallerProtocol]:
    """Return the protocol class of a server with these limits."""
    return type(
        "CallerProtocol",
        (CallerProtocol,),
        {"limits": limits, "on_refusal": staticmethod(on_refusal)},
    )


def _encode(problem: Problem, status: int) -> bytes:
    body = msgspec.json.encode(problem)
    headers = (
        *headers_of(problem),
        (b"connection", b"close"),
        (b"content-length", str(len(body)).encode()),
    )
    lines = [b"%s: %s\r\n" % header for header in headers]
    return b"".join((STATUS_LINE[status], *lines, b"\r\n", body))
