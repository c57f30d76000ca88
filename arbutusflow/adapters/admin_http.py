"""HTTP towards operators: health, status, configuration and explanations.

It listens on an address of its own, so that a flood of callers does not hide
the state of an instance.
"""

import urllib.parse
from collections.abc import Callable
from typing import Any

import msgspec

from arbutusflow.adapters.caller_http import Receive, Scope, Send, respond
from arbutusflow.domain.configuration import Accepted, Invalid, Patch
from arbutusflow.domain.partitions import unit_of_key
from arbutusflow.runtime.control import ControlTask, PatchOutcomeUnknownError

JSON_HEADERS = ((b"content-type", b"application/json"),)


class Refusal(msgspec.Struct, frozen=True):
    """JSON body of a refused operator request."""

    error: str


class KeyExplanation(msgspec.Struct, frozen=True):
    """Who owns a key and how that came about."""

    service: str
    key: str
    unit: int
    owner: str | None
    sequence: int
    coordinator: str | None
    term: int
    decisions: tuple[Any, ...]


class AdminApplication:
    """ASGI application that operators and health checks talk to."""

    def __init__(self, control: ControlTask, ready: Callable[[], bool]) -> None:
        self._control = control
        self._ready = ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        body = b""
        if scope["method"] == "POST":
            message = await receive()
            body = message.get("body", b"")
            while message.get("more_body"):
                message = await receive()
                body += message.get("body", b"")
        match scope["method"], scope["path"]:
            case "GET", "/health/live":
                await respond(send, 200, JSON_HEADERS, b"{}")
            case "GET", "/health/ready":
                await respond(send, 200 if self._ready() else 503, JSON_HEADERS, b"{}")
            case "GET", "/config":
                await self._send(send, 200, self._control.core.cfg)
            case "GET", "/status":
                await self._send(send, 200, self._control.status())
            case "GET", "/explain/key":
                await self._explain(scope, send)
            case "POST", "/config/patch":
                await self._patch(body, send)
            case _:
                await self._send(send, 404, Refusal("there is no such page"))

    async def _patch(self, body: bytes, send: Send) -> None:
        try:
            patch = msgspec.json.decode(body, type=Patch)
        except msgspec.MsgspecError as exc:
            await self._send(send, 400, Refusal(f"the patch is malformed: {exc}"))
            return
        try:
            result = await self._control.patch(patch)
        except PatchOutcomeUnknownError as exc:
            await self._send(send, 504, Refusal(str(exc)))
            return
        status = 200 if isinstance(result, Accepted) else 409
        await self._send(send, 422 if isinstance(result, Invalid) else status, result)

    async def _explain(self, scope: Scope, send: Send) -> None:
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        name, key = query.get("service", [""])[0], query.get("key", [""])[0]
        core = self._control.core
        service = core.cfg.service(name)
        table = core.tables.get(name)
        if service is None or table is None:
            await self._send(send, 404, Refusal(f"there is no service {name}"))
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

    async def _send(self, send: Send, status: int, value: Any) -> None:
        await respond(send, status, JSON_HEADERS, msgspec.json.encode(value))
