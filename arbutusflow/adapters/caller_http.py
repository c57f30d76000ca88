"""HTTP towards callers: checks a request and answers with its outcome.

Invariant: every answer but one from an endpoint carries `Arbutus-Outcome`, a
reason and a JSON body, so that a caller's program can decide what to do next.
"""

import asyncio
import math
import urllib.parse
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
import uuid6
from werkzeug.sansio.utils import get_content_length

from arbutusflow.adapters.endpoint import digest_of
from arbutusflow.adapters.logs import log_exception
from arbutusflow.adapters.metrics import refusal_reason
from arbutusflow.adapters.peer_messages import ForwardReply, ForwardRequest
from arbutusflow.domain.body_budget import SMALL_BODY_BYTES, BodyBudget
from arbutusflow.domain.configuration import Configuration, Kind, Service
from arbutusflow.domain.reasons import RefusalReason

MAX_DEADLINE_MS = 600_000
MAX_CALLER_CHARACTERS = 255
BODIES_RETRY_AFTER_MS = 1_000
# A second value would be ignored here and might be read elsewhere.
SINGLE_HEADERS = (
    "Arbutus-Request-Id",
    "Arbutus-Deadline-Ms",
    "Arbutus-Caller",
    "Repr-Digest",
    "Content-Type",
)
METHODS = frozenset({"GET", "POST", "PUT"})
STATUS_OF_OUTCOME = {"answered": 200, "not-run": 503, "unknown": 504}

_SINGLE_NAMES = {name.lower().encode(): name for name in SINGLE_HEADERS}

Headers = dict[bytes, str]
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
    """ASGI application that callers talk to."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        accept: Callable[[ForwardRequest], Awaitable[ForwardReply]],
        on_refusal: Callable[[RefusalReason], None] = lambda reason: None,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._bodies = bodies or BodyBudget(
            lambda: configuration().limits.held_body_bytes
        )
        self._configuration = configuration
        self._accept = accept
        self._on_refusal = on_refusal

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        held = _HeldBody(self._bodies)
        try:
            await self._handle(scope, receive, send, held)
        finally:
            held.release()

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, held: "_HeldBody"
    ) -> None:
        try:
            req = await self._parse(scope, receive, held)
        except BadRequest as exc:
            self._on_refusal(exc.reason)
            await _send_problem(send, exc.status, exc.problem)
            return
        except ConnectionError:
            return
        try:
            reply = await self._accept_while_connected(req, receive)
        except Exception as exc:
            # The request may have been sent before the fault.
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
            await _send_answer(send, req, reply)
            return
        if (reason := refusal_reason(reply.reason)) is not None:
            self._on_refusal(reason)
        problem = Problem(
            reply.outcome, reply.reason, reply.detail, reply.retry_after_ms
        )
        await _send_problem(
            send, reply.status or STATUS_OF_OUTCOME[reply.outcome], problem
        )

    async def _accept_while_connected(
        self, req: ForwardRequest, receive: Receive
    ) -> ForwardReply | None:
        """Return the reply; None if the caller left, which cancels the request."""
        task = asyncio.current_task()
        assert task is not None
        has_left = False

        async def watch() -> None:
            nonlocal has_left
            while (await receive())["type"] != "http.disconnect":
                pass
            has_left = True
            task.cancel()

        watcher = asyncio.create_task(watch())
        try:
            return await self._accept(req)
        except asyncio.CancelledError:
            if not has_left:
                raise
            task.uncancel()
            return None
        finally:
            watcher.cancel()

    async def _parse(
        self, scope: Scope, receive: Receive, held: "_HeldBody"
    ) -> ForwardRequest:
        method = scope["method"]
        if method not in METHODS:
            raise BadRequest(
                RefusalReason.BAD_REQUEST, "use the method GET, POST or PUT", 405
            )
        cfg = self._configuration()
        service, kind, key = _target_of(cfg, scope["raw_path"])
        headers = _headers_of(scope)
        request_id = _request_id_of(headers, kind)
        caller = headers.get(b"arbutus-caller", "")
        content_type = headers.get(b"content-type", "application/octet-stream")
        if len(caller) > MAX_CALLER_CHARACTERS or not _is_printable_ascii(caller):
            raise BadRequest(
                RefusalReason.BAD_REQUEST,
                f"Arbutus-Caller has at most {MAX_CALLER_CHARACTERS} printable "
                "characters of ASCII",
            )
        if not _is_printable_ascii(content_type):
            raise BadRequest(
                RefusalReason.BAD_REQUEST,
                "Content-Type consists of printable characters of ASCII",
            )
        deadline_ms = _deadline_ms(headers, kind.timeout_ms)
        digest = _digest_of_header(headers)
        body = await _read_body(headers, receive, cfg.limits.body_bytes, held)
        if digest is not None and digest != digest_of(body):
            raise BadRequest(
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
            request_id or str(uuid6.uuid7()),
            caller,
            deadline_ms,
        )


def _target_of(cfg: Configuration, raw_path: bytes) -> tuple[Service, Kind, str]:
    parts = raw_path.decode("latin-1").partition("?")[0].split("/")
    if len(parts) != 5 or parts[:2] != ["", "v1"] or not parts[4]:
        raise BadRequest(
            RefusalReason.BAD_REQUEST, "the path is /v1/<service>/<kind>/<key>", 404
        )
    service = cfg.service(parts[2])
    if service is None:
        raise BadRequest(
            RefusalReason.UNKNOWN_SERVICE, f"there is no service {parts[2]}"
        )
    kind = service.kind(parts[3])
    if kind is None:
        raise BadRequest(
            RefusalReason.UNKNOWN_KIND, f"service {parts[2]} has no kind {parts[3]}"
        )
    try:
        # Replacing wrong bytes would give different keys one name.
        key = urllib.parse.unquote(parts[4], errors="strict")
    except UnicodeDecodeError:
        raise BadRequest(
            RefusalReason.BAD_REQUEST, "the key is not percent-encoded UTF-8"
        ) from None
    return service, kind, key


def _request_id_of(headers: Headers, kind: Kind) -> str:
    """Return the canonical text, so that two spellings are one request."""
    text = headers.get(b"arbutus-request-id", "")
    if not text:
        if kind.repeatable:
            return ""
        raise BadRequest(
            RefusalReason.REQUEST_ID_MISSING,
            f"{kind.name} may not be repeated: send a UUID version 7 in "
            "Arbutus-Request-Id and the same one with each resend",
        )
    try:
        request_id = uuid6.UUID(text)
    except ValueError:
        request_id = None
    if request_id is None or request_id.version != 7:
        raise BadRequest(
            RefusalReason.REQUEST_ID_INVALID,
            "Arbutus-Request-Id has to be a UUID version 7",
        )
    return str(request_id)


def _digest_of_header(headers: Headers) -> str | None:
    """Return the SHA-256 member of `Repr-Digest`; it may list other algorithms."""
    text = headers.get(b"repr-digest")
    if text is None:
        return None
    members = [item.strip() for item in text.split(",")]
    digest = next((item for item in members if item.startswith("sha-256=")), None)
    if digest is None:
        raise BadRequest(
            RefusalReason.BAD_REQUEST, "Repr-Digest needs a sha-256 member"
        )
    return digest


def _is_printable_ascii(text: str) -> bool:
    return text.isascii() and (not text or text.isprintable())


def _headers_of(scope: Scope) -> Headers:
    """Return the first value of each header by its name in lower case."""
    headers: Headers = {}
    for name, value in scope["headers"]:
        if name not in headers:
            headers[name] = value.decode("latin-1")
        elif name in _SINGLE_NAMES:
            raise BadRequest(
                RefusalReason.BAD_REQUEST, f"send {_SINGLE_NAMES[name]} once"
            )
    return headers


def _deadline_ms(headers: Headers, kind_timeout_ms: int) -> int:
    text = headers.get(b"arbutus-deadline-ms")
    if text is None:
        return kind_timeout_ms
    # The length is checked first: int() refuses thousands of digits.
    if not (
        text.isascii()
        and text.isdecimal()
        and len(text) <= len(str(MAX_DEADLINE_MS))
        and 0 < int(text) <= MAX_DEADLINE_MS
    ):
        raise BadRequest(
            RefusalReason.BAD_REQUEST,
            f"Arbutus-Deadline-Ms has to be a number from 1 to {MAX_DEADLINE_MS}",
        )
    return min(int(text), kind_timeout_ms)


class _HeldBody:
    """Bytes of the budget that one request holds."""

    def __init__(self, bodies: BodyBudget) -> None:
        self._bodies = bodies
        self._size = 0

    def grow(self, size: int) -> None:
        """Hold at least `size` bytes; `BadRequest` if they exceed the budget."""
        if size <= max(self._size, SMALL_BODY_BYTES):
            return
        if not self._bodies.take(size - self._size):
            raise BadRequest(
                RefusalReason.QUEUE_FULL,
                "the instance holds as many request bodies as it may; send the "
                "request again later",
                retry_after_ms=BODIES_RETRY_AFTER_MS,
            )
        self._size = size

    def release(self) -> None:
        """Give all bytes back."""
        self._bodies.release(self._size)
        self._size = 0


async def _read_body(
    headers: Headers, receive: Receive, limit: int, held: _HeldBody
) -> bytes:
    length = get_content_length(
        headers.get(b"content-length"), headers.get(b"transfer-encoding")
    )
    if length is not None and length > limit:
        raise _too_large(limit)
    # Whole bodies are admitted, so that a flood cannot fill the budget with parts of
    # which none can be completed.
    held.grow(length or 0)
    parts, size = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError("the caller left before its request was complete")
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            raise _too_large(limit)
        held.grow(size)
        if not message.get("more_body"):
            return b"".join(parts)


def _too_large(limit: int) -> BadRequest:
    return BadRequest(RefusalReason.BODY_TOO_LARGE, f"a body has at most {limit} bytes")


async def _send_answer(send: Send, req: ForwardRequest, reply: ForwardReply) -> None:
    headers = (
        (b"content-type", reply.content_type.encode("latin-1")),
        (b"arbutus-outcome", b"answered"),
        (b"arbutus-request-id", req.request_id.encode()),
        (b"repr-digest", digest_of(reply.body).encode()),
    )
    await respond(send, reply.status, headers, reply.body)


async def _send_problem(send: Send, status: int, problem: Problem) -> None:
    await respond(send, status, headers_of(problem), msgspec.json.encode(problem))


def headers_of(problem: Problem) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of an answer that does not come from an endpoint."""
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
    """Send a whole answer."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})
