"""Limits of one caller connection, enforced while a request is received.

`uvicorn` limits neither the size of the headers nor the time to receive a request,
so this protocol does. Invariants: a refusal is sent only for a request that the
application has not received completely, so that the outcome `not-run` is correct;
and it is never sent while an earlier request on the connection awaits its response,
because the caller would mistake the refusal for that response.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from arbutusflow.adapters.caller_http import Problem, problem_headers
from arbutusflow.adapters.settings import CallerLimits
from arbutusflow.domain.reasons import RefusalReason

# A connection over the limit stays open this long, so that its first request can be
# refused with a reason.
OVER_LIMIT_CONNECTION_SECONDS = 1.0
HEADER_SEPARATOR_BYTES = 4  # Colon, space and CRLF.
MAX_COALESCED_BYTES = 65_536  # For larger writes, copying costs more than a call.

OnRefusal = Callable[[RefusalReason], None]


class _HeaderLimitExceeded(Exception):  # noqa: N818 - only stops the parser
    """The request line and headers exceed a limit."""


class _CoalescingTransport:
    """Wraps a transport and coalesces the writes of one response into one.

    `uvicorn` writes the head and the body of a response separately, and a system call
    costs more than copying a small body. Data that is not flushed explicitly is
    written in the next iteration of the event loop.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._parts: list[bytes] = []
        self._is_flush_scheduled = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._parts.append(data)
        if len(data) > MAX_COALESCED_BYTES:
            self.flush()
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._run_scheduled_flush)

    def close(self) -> None:
        self.flush()
        self._transport.close()

    def flush(self) -> None:
        parts, self._parts = self._parts, []
        if not parts or self._transport.is_closing():
            return
        if len(parts[-1]) > MAX_COALESCED_BYTES:
            last = parts.pop()
            self._transport.write(b"".join(parts))
            self._transport.write(last)
        else:
            self._transport.write(b"".join(parts))

    def _run_scheduled_flush(self) -> None:
        self._is_flush_scheduled = False
        self.flush()


class CallerProtocol(HttpToolsProtocol):
    """HTTP protocol of a caller connection; `make_protocol_class` sets its limits."""

    limits = CallerLimits()
    on_refusal: OnRefusal

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the receive timeout of the first request."""
        super().connection_made(transport)
        self._coalescing = _CoalescingTransport(transport, self.loop)
        self.transport = cast(asyncio.Transport, self._coalescing)
        self._timer: asyncio.TimerHandle | None = None
        self._refused = False
        self._too_large = False
        self._message_count = 0
        self._in_request = False
        self._in_body = False
        self._parsed_header_bytes = 0
        self._received_header_bytes = 0
        self._header_count = 0
        self._over_limit = len(self.connections) > self.limits.connections
        self._start_timer(
            OVER_LIMIT_CONNECTION_SECONDS
            if self._over_limit
            else self._receive_timeout_seconds()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the receive timeout."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser unless the connection is refused."""
        if self._refused:
            return
        if self._over_limit:
            self._refuse(
                RefusalReason.QUEUE_FULL,
                f"the instance has reached its limit of {self.limits.connections} "
                "caller connections; use another instance or retry later",
                429,
            )
            return
        message, in_head = self._message_count, self._in_request and not self._in_body
        super().data_received(data)
        if in_head and message == self._message_count and not self._in_body:
            # The parser reports a header only when it is complete. A header that never
            # ends is detected here, one socket read later.
            self._received_header_bytes += len(data)
            if (
                self._received_header_bytes > self.limits.header_bytes
                and not self._refused
            ):
                self._too_large = True
                self.send_400_response("")

    def on_message_begin(self) -> None:
        """Reset the counters and start the receive timeout of a request."""
        super().on_message_begin()
        self._message_count += 1
        self._in_request = True
        self._parsed_header_bytes = self._received_header_bytes = self._header_count = 0
        self._start_timer(self._receive_timeout_seconds())

    def on_url(self, url: bytes) -> None:
        """Count the bytes of the request line."""
        self._count_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header; trailers count as headers."""
        self._header_count += 1
        self._count_header_bytes(len(name) + len(value) + HEADER_SEPARATOR_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass the request to the application, which waits for the body."""
        super().on_headers_complete()
        self._in_body = True

    def on_message_complete(self) -> None:
        """Stop the receive timeout of a request."""
        super().on_message_complete()
        self._in_request = self._in_body = False
        self._stop_timer()

    def on_response_complete(self) -> None:
        """Close a refused connection once its earlier requests have responses."""
        self._coalescing.flush()
        if self._refused and not self.pipeline:
            self.server_state.total_requests += 1
            self.transport.close()
            return
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse the current request; `uvicorn` calls this for malformed HTTP."""
        if self._too_large:
            limits = self.limits
            self._refuse(
                RefusalReason.HEADERS_TOO_LARGE,
                f"the request exceeds {limits.header_count} headers or "
                f"{limits.header_bytes} bytes of headers",
            )
            return
        self._refuse(
            RefusalReason.BAD_REQUEST,
            "the received bytes are not a valid HTTP/1.1 request",
        )

    def _refuse(
        self, reason: RefusalReason, detail: str, status: int | None = None
    ) -> None:
        self._refused = True
        self._stop_timer()
        if self._in_body and any(cycle is self.cycle for cycle, _ in self.pipeline):
            # The incomplete request is queued behind another one and never runs.
            self.pipeline.popleft()
            self.flow.pause_reading()
            return
        if not self._in_body and self.cycle and not self.cycle.response_complete:
            self.flow.pause_reading()
            return
        if not (self._in_body and self.cycle.response_started):
            self.on_refusal(reason)
            problem = Problem("not-run", reason.value, detail)
            self.transport.write(_encode_response(problem, status or reason.status))
        self.transport.close()

    def _count_header_bytes(self, size: int) -> None:
        self._parsed_header_bytes += size
        if (
            self._parsed_header_bytes > self.limits.header_bytes
            or self._header_count > self.limits.header_count
        ):
            self._too_large = True
            raise _HeaderLimitExceeded

    def _on_timer(self) -> None:
        self._timer = None
        if self.transport.is_closing():
            return
        if self.flow.read_paused:
            # The server has paused reading until an earlier request completes.
            self._start_timer(self._receive_timeout_seconds())
            return
        if not self._in_request or self._over_limit:
            self.transport.close()
            return
        reason = RefusalReason.BAD_REQUEST
        if self._in_body:
            reason = RefusalReason.UPLOAD_INCOMPLETE
        detail = f"the request was not fully received in {self.limits.receive_ms} ms"
        self._refuse(reason, f"{detail}; send it again", 408)

    def _receive_timeout_seconds(self) -> float:
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
    """Return the protocol class for a server with these limits."""
    return type(
        "CallerProtocol",
        (CallerProtocol,),
        {"limits": limits, "on_refusal": staticmethod(on_refusal)},
    )


def _encode_response(problem: Problem, status: int) -> bytes:
    body = msgspec.json.encode(problem)
    headers = (
        *problem_headers(problem),
        (b"connection", b"close"),
        (b"content-length", str(len(body)).encode()),
    )
    lines = [b"%s: %s\r\n" % header for header in headers]
    return b"".join((STATUS_LINE[status], *lines, b"\r\n", body))
