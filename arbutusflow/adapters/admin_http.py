"""HTTP interface for operators: health, status, configuration and explanations.

It listens on a separate address, so that an overload by callers does not make the
state of an instance unavailable.
"""

import urllib.parse
from collections.abc import Callable
from typing import Any

import msgspec

from arbutusflow.adapters.admin_messages import (
    ErrorResponse,
    KeyExplanation,
    StopAccepted,
)
from arbutusflow.adapters.caller_http import Receive, Scope, Send, respond
from arbutusflow.domain.configuration import Accepted, Invalid, Patch
from arbutusflow.domain.partitions import unit_of_key
from arbutusflow.runtime.control import ControlTask, PatchOutcomeUnknownError
from arbutusflow.runtime.request_log import RequestLog

MAX_BODY_BYTES = 4_194_304  # The platform stores documents of up to 1 MB.
JSON_HEADERS = ((b"content-type", b"application/json"),)


class AdminApplication:
    """ASGI application that serves operators and health checks."""

    def __init__(
        self,
        control: ControlTask,
        request_log: RequestLog,
        is_ready: Callable[[], bool],
        stop: Callable[[], None],
    ) -> None:
        self._control = control
        self._request_log = request_log
        self._is_ready = is_ready
        self._stop = stop

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        body = b""
        if scope["method"] == "POST":
            message = await receive()
            body = message.get("body", b"")
            while message.get("more_body"):
                message = await receive()
                body += message.get("body", b"")
                if len(body) > MAX_BODY_BYTES:
                    error = f"the request body exceeds {MAX_BODY_BYTES} bytes"
                    await self._send(send, 413, ErrorResponse(error))
                    return
        match scope["method"], scope["path"]:
            case "GET", "/health/live":
                await respond(send, 200, JSON_HEADERS, b"{}")
            case "GET", "/health/ready":
                await respond(
                    send, 200 if self._is_ready() else 503, JSON_HEADERS, b"{}"
                )
            case "GET", "/config":
                await self._send(send, 200, self._control.core.cfg)
            case "GET", "/status":
                await self._send(send, 200, self._control.status())
            case "GET", "/explain/key":
                await self._explain_key(scope, send)
            case "GET", "/explain/request":
                await self._explain_request(scope, send)
            case "POST", "/config/patch":
                await self._patch(body, send)
            case "POST", "/drain":
                # The instance keeps serving until its endpoints are handed over.
                await self._send(send, 202, StopAccepted(self._control.core.instance))
                self._stop()
            case _:
                error = f"unknown route {scope['method']} {scope['path']}"
                await self._send(
                    send, 404, ErrorResponse(f"{error}; see docs/operators")
                )

    async def _patch(self, body: bytes, send: Send) -> None:
        try:
            patch = msgspec.json.decode(body, type=Patch)
        except msgspec.MsgspecError as exc:
            await self._send(send, 400, ErrorResponse(f"the patch is malformed: {exc}"))
            return
        try:
            result = await self._control.patch(patch)
        except PatchOutcomeUnknownError as exc:
            await self._send(send, 504, ErrorResponse(str(exc)))
            return
        status = 200 if isinstance(result, Accepted) else 409
        await self._send(send, 422 if isinstance(result, Invalid) else status, result)

    async def _explain_key(self, scope: Scope, send: Send) -> None:
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        name, key = query.get("service", [""])[0], query.get("key", [""])[0]
        core = self._control.core
        service = core.cfg.service(name)
        table = core.tables.get(name)
        if service is None or table is None:
            names = ", ".join(item.name for item in core.cfg.services) or "none"
            error = f"unknown service {name}; the services are {names}"
            await self._send(send, 404, ErrorResponse(error))
            return
        unit = unit_of_key(key, service.partitions)
        row = table.row(unit)
        record = core.records.get(row.owner or "")
        subjects = {f"{name}/{unit}", row.owner}
        decisions = tuple(i for i in self._control.decisions if i.subject in subjects)
        explanation = KeyExplanation(
            name,
            key,
            unit,
            row.owner,
            row.sequence,
            core.coordinator_of(row.owner) if row.owner else None,
            record.term if record else 0,
            decisions,
        )
        await self._send(send, 200, explanation)

    async def _explain_request(self, scope: Scope, send: Send) -> None:
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        request_id = query.get("id", [""])[0].lower()
        outcomes = self._request_log.find(request_id)
        if not outcomes:
            error = (
                f"{self._control.core.instance} has no record of request "
                f"{request_id}; ask the instance that the caller reached"
            )
            await self._send(send, 404, ErrorResponse(error))
            return
        await self._send(send, 200, outcomes)

    async def _send(self, send: Send, status: int, value: Any) -> None:
        await respond(send, status, JSON_HEADERS, msgspec.json.encode(value))
