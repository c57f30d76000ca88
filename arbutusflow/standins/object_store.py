"""Stand-in of the platform's store, in memory: objects, lists, watches.

Invariants: a conditional write changes nothing unless the object is at that revision;
every answer, also a refusal, tells the era of the store, if eras are switched on.
"""

import asyncio
import contextlib
import dataclasses
import time
from typing import Any

import msgspec

from arbutusflow.gateway.model import Configuration, Endpoint
from arbutusflow.platform.other_side import (
    StoreCall,
    decode_store_call,
    encode_changes,
    encode_configuration,
    encode_endpoint,
    encode_objects,
)
from arbutusflow.platform.store import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINTS_KIND,
)
from arbutusflow.standins.embedded_server import (
    EmbeddedServer,
    ErrorHandler,
    Reply,
    Request,
)
from arbutusflow.standins.store_state import StoreState

_JSON = ((b"Content-Type", b"application/json"),)


class ObjectStore:
    """Store that serves one `StoreState`."""

    def __init__(self, on_error: ErrorHandler) -> None:
        self.server = EmbeddedServer(self._handle, on_error)
        self.state = StoreState()

    def put_configuration(self, cfg: Configuration) -> None:
        """Write a version of the configuration, as the operator does."""
        spec = encode_configuration(cfg)
        self.state.put_outside(CONFIGURATION_KIND, CONFIGURATION_NAME, spec)

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Write the object of an endpoint, as the endpoint does."""
        spec = encode_endpoint(endpoint)
        self.state.put_outside(ENDPOINTS_KIND, endpoint.id, spec)

    async def _handle(self, req: Request) -> Reply:
        reply = await self._answer(req)
        headers = (*reply.headers, *self.state.era_headers)
        return dataclasses.replace(reply, headers=headers)

    async def _answer(self, req: Request) -> Reply:
        if self.state.down:
            return Reply(503)
        try:
            method, target = req.method.decode(), req.target.decode()
            call = decode_store_call(method, target, req.body)
        except ValueError:
            return Reply(400)
        if method == "GET":
            return await self._read(call)
        known = self.state.objects.get((call.kind, call.name))
        if method == "POST":
            return self._create(call, known)
        return self._change(call, known)

    async def _read(self, call: StoreCall) -> Reply:
        state = self.state
        if call.name:
            item = state.objects.get((call.kind, call.name))
            return Reply(404) if item is None else _object_reply(200, item)
        if call.watch_revision is not None:
            return await self._watch(call, call.watch_revision)
        items = [i for (kind, _), i in state.objects.items() if kind == call.kind]
        return Reply(200, _JSON, encode_objects(items, state.revision))

    async def _watch(self, call: StoreCall, since: int) -> Reply:
        until = time.monotonic() + call.wait_seconds
        state, era = self.state, self.state.era
        while True:
            if state.down:
                return Reply(503)
            if state.era != era or not state.has_history(since):
                return Reply(410)
            found = state.changes_since(call.kind, since)
            remaining = until - time.monotonic()
            if found or remaining <= 0:
                changes = [(change.removed, change.item) for change in found]
                return Reply(200, _JSON, encode_changes(changes, state.revision))
            with contextlib.suppress(TimeoutError):  # The watch ends without a change.
                async with asyncio.timeout(remaining):
                    await state.changed.wait()

    def _create(self, call: StoreCall, known: dict[str, Any] | None) -> Reply:
        if known is not None:
            return _object_reply(409, known)
        return _object_reply(200, self.state.put(call.kind, call.name, call.spec))

    def _change(self, call: StoreCall, known: dict[str, Any] | None) -> Reply:
        if known is None:
            return Reply(404)
        if call.revision not in (None, known["metadata"]["revision"]):
            return _object_reply(409, known)
        if call.method == "DELETE":
            self.state.remove(call.kind, call.name)
            return _object_reply(200, known)
        return _object_reply(200, self.state.put(call.kind, call.name, call.spec))


def _object_reply(status: int, item: dict[str, Any]) -> Reply:
    return Reply(status, _JSON, msgspec.json.encode(item))
