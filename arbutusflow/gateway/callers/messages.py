"""Requests of callers as they were read, and responses to them as they are written."""

import dataclasses

RESPONSE_START = b"HTTP/1.1 "  # Of every response.
_REASON_PHRASES = {
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
_STATUSES_WITHOUT_BODY = frozenset({204, 304})

Headers = list[tuple[bytes, bytes]]  # Names are in lower case.


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response to a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reason: bytes = b""
    length: bytes | None = None  # Content-Length of a response to HEAD.


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    received_at: float  # Event loop time at the first byte.
    # Whether a disconnect of the caller cancels the request. The handler clears it
    # before it sends a request that is not idempotent, so that a disconnect does not
    # cut short its execution.
    cancellable: bool = True
    passed_on: bool = False  # Whether it was sent to an endpoint; set by the handler.

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Return the number of headers with this name."""
        return sum(key == name for key, _ in self.headers)


def encode_response(reply: CallerResponse, keep_alive: bool, head_only: bool) -> bytes:
    """Return the bytes of a response. Raises TypeError or ValueError."""
    reason = reply.reason or _REASON_PHRASES.get(reply.status, b"")
    lines = [RESPONSE_START + b"%d %s" % (reply.status, reason)]
    lines += [name + b": " + value for name, value in reply.headers]
    if head_only:
        if reply.length is not None:
            lines.append(b"Content-Length: " + reply.length)
    elif reply.status not in _STATUSES_WITHOUT_BODY:
        lines.append(b"Content-Length: %d" % len(reply.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return (
        head
        if head_only or reply.status in _STATUSES_WITHOUT_BODY
        else head + reply.body
    )
