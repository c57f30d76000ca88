"""HTTP towards callers: checks a request and answers with its outcome.

Invariant: every answer but one from an endpoint carries `Arbutus-Outcome`, a
reason and a JSON body, so that a caller's program can decide what to do next.
"""

import urllib.parse
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
import uuid6
from werkzeug.datastructures import Headers
from werkzeug.sansio.request import Request

from arbutusflow.adapters.endpoint import digest_of
from arbutusflow.adapters.peer_messages import ForwardReply, ForwardRequest
from arbutusflow.domain.configuration import Configuration

DEFAULT_DEADLINE_MS = 5_000
MAX_DEADLINE_MS = 600_000
METHODS = frozenset({"GET", "POST", "PUT"})
STATUS_OF_OUTCOME = {"answered": 200, "not-run": 503, "unknown": 504}

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class Problem(msgspec.Struct, frozen=True):
    """JSON body of an answer that does not come from an endpoint."""

    outcome: str
    reason: str
    detail: str
    retry_after_ms: int = 0


class BadRequest(Exception):  # noqa: N818 - never leaves this module
    """The request breaks a rule; carries the answer."""

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.problem = Problem("not-run", reason, detail)


class CallerApplication:
    """ASGI application that callers talk to."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        accept: Callable[[ForwardRequest], Awaitable[ForwardReply]],
    ) -> None:
        self._configuration = configuration
        self._accept = accept

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        try:
            req = await self._parse(scope, receive)
        except BadRequest as exc:
            await _send_problem(send, exc.status, exc.problem)
            return
        except ConnectionError:
            return
        reply = await self._accept(req)
        if reply.outcome == "answered":
            await _send_answer(send, req, reply)
            return
        problem = Problem(
            reply.outcome, reply.reason, reply.detail, reply.retry_after_ms
        )
        await _send_problem(
            send, reply.status or STATUS_OF_OUTCOME[reply.outcome], problem
        )

    async def _parse(self, scope: Scope, receive: Receive) -> ForwardRequest:
        request = _request_of(scope)
        if request.method not in METHODS:
            raise BadRequest(405, "bad_request", "use GET, POST or PUT")
        path = scope["raw_path"].decode("latin-1").partition("?")[0]
        parts = path.split("/")
        if len(parts) != 5 or parts[:2] != ["", "v1"] or not parts[4]:
            raise BadRequest(
                404, "bad_request", "the path is /v1/<service>/<kind>/<key>"
            )
        cfg = self._configuration()
        service = cfg.service(parts[2])
        if service is None:
            raise BadRequest(404, "unknown_service", f"there is no service {parts[2]}")
        kind = service.kind(parts[3])
        if kind is None:
            raise BadRequest(
                404, "unknown_kind", f"service {parts[2]} has no kind {parts[3]}"
            )
        request_id = request.headers.get("Arbutus-Request-Id", "")
        if not request_id and not kind.repeatable:
            raise BadRequest(
                400,
                "request_id_missing",
                f"{parts[3]} may not be repeated: send a UUID version 7 in "
                "Arbutus-Request-Id and the same one with each resend",
            )
        if request_id and not _is_uuid7(request_id):
            raise BadRequest(
                400,
                "request_id_invalid",
                "Arbutus-Request-Id has to be a UUID version 7",
            )
        body = await _read_body(request, receive, cfg.limits.body_bytes)
        digest = request.headers.get("Repr-Digest")
        if digest is not None and digest != digest_of(body):
            raise BadRequest(
                400, "upload_incomplete", "the body does not match Repr-Digest"
            )
        return ForwardRequest(
            0,
            service.name,
            kind.name,
            urllib.parse.unquote(parts[4]),
            request.method,
            body,
            request.headers.get("Content-Type", "application/octet-stream"),
            request_id or str(uuid6.uuid7()),
            request.headers.get("Arbutus-Caller", ""),
            _deadline_ms(request, kind.timeout_ms),
        )


def _request_of(scope: Scope) -> Request:
    headers = Headers(
        [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
    )
    return Request(
        scope["method"],
        scope["scheme"],
        scope["server"],
        "",
        scope["path"],
        scope["query_string"],
        headers,
        None,
    )


def _deadline_ms(request: Request, kind_timeout_ms: int) -> int:
    text = request.headers.get("Arbutus-Deadline-Ms")
    if text is None:
        return kind_timeout_ms
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise BadRequest(
            400,
            "bad_request",
            f"Arbutus-Deadline-Ms has to be a number from 1 to {MAX_DEADLINE_MS}",
        )
    return min(int(text), kind_timeout_ms)


def _is_uuid7(text: str) -> bool:
    try:
        return uuid6.UUID(text).version == 7
    except ValueError:
        return False


async def _read_body(request: Request, receive: Receive, limit: int) -> bytes:
    if request.content_length is not None and request.content_length > limit:
        raise BadRequest(413, "body_too_large", f"a body has at most {limit} bytes")
    parts, size = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError("the caller left before its request was complete")
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            raise BadRequest(413, "body_too_large", f"a body has at most {limit} bytes")
        if not message.get("more_body"):
            return b"".join(parts)


async def _send_answer(send: Send, req: ForwardRequest, reply: ForwardReply) -> None:
    headers = (
        (b"content-type", reply.content_type.encode("latin-1")),
        (b"arbutus-outcome", b"answered"),
        (b"arbutus-request-id", req.request_id.encode()),
        (b"repr-digest", digest_of(reply.body).encode()),
    )
    await respond(send, reply.status, headers, reply.body)


async def _send_problem(send: Send, status: int, problem: Problem) -> None:
    headers = (
        (b"content-type", b"application/json"),
        (b"arbutus-outcome", problem.outcome.encode()),
        (b"arbutus-reason", problem.reason.encode()),
    )
    await respond(send, status, headers, msgspec.json.encode(problem))


async def respond(
    send: Send, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> None:
    """Send a whole answer."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})
