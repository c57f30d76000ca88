"""HTTP interface for callers: validates a request and responds with its outcome.

Invariant: every response that does not come from an endpoint carries
`Arbutus-Outcome`, a reason and a JSON body, so that a client program can decide
how to proceed.
"""

import asyncio
import math
import urllib.parse
import uuid
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
from werkzeug.sansio.utils import get_content_length

from arbutusflow.adapters.endpoint import repr_digest
from arbutusflow.adapters.logs import log_exception
from arbutusflow.adapters.metrics import refusal_reason
from arbutusflow.adapters.peer_messages import ForwardReply, ForwardRequest
from arbutusflow.domain.configuration import Configuration, Kind, Service
from arbutusflow.domain.reasons import RefusalReason
from arbutusflow.gateway.body_budget import SMALL_BODY_BYTES, BodyBudget
from arbutusflow.request_ids import new_request_id

MAX_DEADLINE_MS = 600_000
MAX_CALLER_NAME_LENGTH = 255
BODY_BUDGET_RETRY_AFTER_MS = 1_000
# Duplicates are rejected: this code uses the first value, but another component might
# use a later one.
SINGLE_VALUE_HEADERS = (
    "Arbutus-Request-Id",
    "Arbutus-Deadline-Ms",
    "Arbutus-Caller",
    "Repr-Digest",
    "Content-Type",
)
METHODS = frozenset({"GET", "POST", "PUT"})
STATUS_BY_OUTCOME = {"answered": 200, "not-run": 503, "unknown": 504}

_SINGLE_VALUE_HEADER_NAMES = {
    name.lower().encode(): name for name in SINGLE_VALUE_HEADERS
}

Headers = dict[bytes, str]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class Problem(msgspec.Struct, frozen=True):
    """JSON body of a response that does not come from an endpoint."""

    outcome: str
    reason: str
    detail: str
    retry_after_ms: int = 0


class RequestRejected(Exception):  # noqa: N818 - never leaves this module
    """The request is invalid or exceeds a limit; carries the error response."""

    def __init__(
        self,
        reason: RefusalReason,
        detail: str,
        status: int | None = None,
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.status = status or reason.status
        self.problem = Problem("not-run", reason.value, detail, retry_after_ms)


class CallerApplication:
    """ASGI application that serves callers."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        accept: Callable[[ForwardRequest], Awaitable[ForwardReply]],
        on_refusal: Callable[[RefusalReason], None] = lambda reason: None,
        body_budget: BodyBudget | None = None,
    ) -> None:
        self._body_budget = body_budget or BodyBudget(
            lambda: configuration().limits.held_body_bytes
        )
        self._configuration = configuration
        self._accept = accept
        self._on_refusal = on_refusal

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        reservation = _BodyReservation(self._body_budget)
        try:
            await self._handle(scope, receive, send, reservation)
        finally:
            reservation.release()

    async def _handle(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        reservation: "_BodyReservation",
    ) -> None:
        try:
            req = await self._parse_request(scope, receive, reservation)
        except RequestRejected as exc:
            self._on_refusal(exc.reason)
            await _send_problem(send, exc.status, exc.problem)
            return
        except ConnectionError:
            return
        try:
            reply = await self._accept_until_disconnect(req, receive)
        except Exception as exc:
            # The request may have been sent to an endpoint before the error.
            log_exception("request", exc)
            reply = ForwardReply(
                req.id,
                "unknown",
                RefusalReason.COORDINATOR_LOST.value,
                "the instance had an internal error; see its log",
            )
        if reply is None:
            self._on_refusal(RefusalReason.CALLER_LEFT)
            return
        if reply.outcome == "answered":
            await _send_endpoint_response(send, req, reply)
            return
        if (reason := refusal_reason(reply.reason)) is not None:
            self._on_refusal(reason)
        problem = Problem(
            reply.outcome, reply.reason, reply.detail, reply.retry_after_ms
        )
        await _send_problem(
            send, reply.status or STATUS_BY_OUTCOME[reply.outcome], problem
        )

    async def _accept_until_disconnect(
        self, req: ForwardRequest, receive: Receive
    ) -> ForwardReply | None:
        """Return the reply; on a disconnect, cancel the request and return None."""
        task = asyncio.current_task()
        assert task is not None
        has_disconnected = False

        async def wait_for_disconnect() -> None:
            nonlocal has_disconnected
            while (await receive())["type"] != "http.disconnect":
                pass
            has_disconnected = True
            task.cancel()

        disconnect_task = asyncio.create_task(wait_for_disconnect())
        try:
            return await self._accept(req)
        except asyncio.CancelledError:
            if not has_disconnected:
                raise
            task.uncancel()
            return None
        finally:
            disconnect_task.cancel()

    async def _parse_request(
        self, scope: Scope, receive: Receive, reservation: "_BodyReservation"
    ) -> ForwardRequest:
        method = scope["method"]
        if method not in METHODS:
            raise RequestRejected(
                RefusalReason.BAD_REQUEST, "use the method GET, POST or PUT", 405
            )
        cfg = self._configuration()
        service, kind, key = _parse_target(cfg, scope["raw_path"])
        headers = _first_header_values(scope)
        request_id = _parse_request_id(headers, kind)
        caller = headers.get(b"arbutus-caller", "")
        content_type = headers.get(b"content-type", "application/octet-stream")
        if len(caller) > MAX_CALLER_NAME_LENGTH or not _is_printable_ascii(caller):
            raise RequestRejected(
                RefusalReason.BAD_REQUEST,
                f"Arbutus-Caller must have at most {MAX_CALLER_NAME_LENGTH} printable "
                "ASCII characters",
            )
        if not _is_printable_ascii(content_type):
            raise RequestRejected(
                RefusalReason.BAD_REQUEST,
                "Content-Type must contain only printable ASCII characters",
            )
        deadline_ms = _parse_deadline_ms(headers, kind.timeout_ms)
        digest = _parse_digest(headers)
        body = await _read_body(headers, receive, cfg.limits.body_bytes, reservation)
        if digest is not None and digest != repr_digest(body):
            raise RequestRejected(
                RefusalReason.UPLOAD_INCOMPLETE,
                "the body does not match Repr-Digest; send it again",
            )
        return ForwardRequest(
            0,
            service.name,
            kind.name,
            key,
            method,
            body,
            content_type,
            request_id or new_request_id(),
            caller,
            deadline_ms,
        )


def _parse_target(cfg: Configuration, raw_path: bytes) -> tuple[Service, Kind, str]:
    parts = raw_path.decode("latin-1").partition("?")[0].split("/")
    if len(parts) != 5 or parts[:2] != ["", "v1"] or not parts[4]:
        raise RequestRejected(
            RefusalReason.BAD_REQUEST,
            "the path must have the form /v1/<service>/<kind>/<key>",
            404,
        )
    service = cfg.service(parts[2])
    if service is None:
        raise RequestRejected(
            RefusalReason.UNKNOWN_SERVICE, f"unknown service {parts[2]}"
        )
    kind = service.kind(parts[3])
    if kind is None:
        raise RequestRejected(
            RefusalReason.UNKNOWN_KIND,
            f"service {parts[2]} has no request kind {parts[3]}",
        )
    try:
        # Replacing invalid bytes would map different keys to the same text.
        key = urllib.parse.unquote(parts[4], errors="strict")
    except UnicodeDecodeError:
        raise RequestRejected(
            RefusalReason.BAD_REQUEST, "the key is not percent-encoded UTF-8"
        ) from None
    return service, kind, key


def _parse_request_id(headers: Headers, kind: Kind) -> str:
    """Return the identifier in canonical form, so that all spellings are equal."""
    text = headers.get(b"arbutus-request-id", "")
    if not text:
        if kind.repeatable:
            return ""
        raise RequestRejected(
            RefusalReason.REQUEST_ID_MISSING,
            f"{kind.name} requests are not repeatable: send a UUID version 7 in "
            "Arbutus-Request-Id and reuse it on each resend",
        )
    try:
        request_id = uuid.UUID(text)
    except ValueError:
        request_id = None
    if request_id is None or request_id.version != 7:
        raise RequestRejected(
            RefusalReason.REQUEST_ID_INVALID,
            "Arbutus-Request-Id must be a UUID version 7",
        )
    return str(request_id)


def _parse_digest(headers: Headers) -> str | None:
    """Return the SHA-256 member of `Repr-Digest`; other algorithms are ignored."""
    text = headers.get(b"repr-digest")
    if text is None:
        return None
    members = [item.strip() for item in text.split(",")]
    digest = next((item for item in members if item.startswith("sha-256=")), None)
    if digest is None:
        raise RequestRejected(
            RefusalReason.BAD_REQUEST, "Repr-Digest must have a sha-256 member"
        )
    return digest


def _is_printable_ascii(text: str) -> bool:
    return text.isascii() and (not text or text.isprintable())


def _first_header_values(scope: Scope) -> Headers:
    """Return the first value of each header, keyed by lower-case name."""
    headers: Headers = {}
    for name, value in scope["headers"]:
        if name not in headers:
            headers[name] = value.decode("latin-1")
        elif name in _SINGLE_VALUE_HEADER_NAMES:
            raise RequestRejected(
                RefusalReason.BAD_REQUEST,
                f"the header {_SINGLE_VALUE_HEADER_NAMES[name]} appears more than once",
            )
    return headers


def _parse_deadline_ms(headers: Headers, kind_timeout_ms: int) -> int:
    text = headers.get(b"arbutus-deadline-ms")
    if text is None:
        return kind_timeout_ms
    # The length is checked first: int() raises on thousands of digits.
    if not (
        text.isascii()
        and text.isdecimal()
        and len(text) <= len(str(MAX_DEADLINE_MS))
        and 0 < int(text) <= MAX_DEADLINE_MS
    ):
        raise RequestRejected(
            RefusalReason.BAD_REQUEST,
            f"Arbutus-Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}",
        )
    return min(int(text), kind_timeout_ms)


class _BodyReservation:
    """Bytes of the body budget that one request has reserved."""

    def __init__(self, body_budget: BodyBudget) -> None:
        self._body_budget = body_budget
        self._size = 0

    def grow(self, size: int) -> None:
        """Reserve `size` bytes in total; raise `RequestRejected` if they do not fit.

        Bodies of up to `SMALL_BODY_BYTES` need no reservation.
        """
        if size <= max(self._size, SMALL_BODY_BYTES):
            return
        if not self._body_budget.take(size - self._size):
            raise RequestRejected(
                RefusalReason.QUEUE_FULL,
                "the instance has reached its limit for request bodies in memory; "
                "retry the request later",
                retry_after_ms=BODY_BUDGET_RETRY_AFTER_MS,
            )
        self._size = size

    def release(self) -> None:
        """Return all reserved bytes to the budget."""
        self._body_budget.release(self._size)
        self._size = 0


async def _read_body(
    headers: Headers, receive: Receive, limit: int, reservation: _BodyReservation
) -> bytes:
    length = get_content_length(
        headers.get(b"content-length"), headers.get(b"transfer-encoding")
    )
    if length is not None and length > limit:
        raise _body_too_large(limit)
    # The declared length is reserved up front. Otherwise, under overload, partially
    # received bodies could fill the budget so that none can complete.
    reservation.grow(length or 0)
    parts, size = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError(
                "the caller disconnected before the request was complete"
            )
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            raise _body_too_large(limit)
        reservation.grow(size)
        if not message.get("more_body"):
            return b"".join(parts)


def _body_too_large(limit: int) -> RequestRejected:
    return RequestRejected(
        RefusalReason.BODY_TOO_LARGE, f"the request body exceeds {limit} bytes"
    )


async def _send_endpoint_response(
    send: Send, req: ForwardRequest, reply: ForwardReply
) -> None:
    headers = (
        (b"content-type", reply.content_type.encode("latin-1")),
        (b"arbutus-outcome", b"answered"),
        (b"arbutus-request-id", req.request_id.encode()),
        (b"repr-digest", repr_digest(reply.body).encode()),
    )
    await respond(send, reply.status, headers, reply.body)


async def _send_problem(send: Send, status: int, problem: Problem) -> None:
    await respond(send, status, problem_headers(problem), msgspec.json.encode(problem))


def problem_headers(problem: Problem) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a response that does not come from an endpoint."""
    headers = (
        (b"content-type", b"application/json"),
        (b"arbutus-outcome", problem.outcome.encode()),
        (b"arbutus-reason", problem.reason.encode()),
    )
    if not problem.retry_after_ms:
        return headers
    seconds = math.ceil(problem.retry_after_ms / 1000)
    return (*headers, (b"retry-after", str(seconds).encode()))


async def respond(
    send: Send, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})
