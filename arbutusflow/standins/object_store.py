"""Stand-in of the platform's store, in memory: objects, lists, watches.

Invariants: every write gets the next revision, and a conditional write changes nothing
unless the object is at that revision.
"""

import asyncio
import contextlib
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
    encode_object,
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

_JSON = ((b"Content-Type", b"application/json"),)


class ObjectStore:
    """Store with one revision counter."""

    def __init__(self, on_error: ErrorHandler) -> None:
        self.server = EmbeddedServer(self._handle, on_error)
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Revision, kind, whether the object was removed, and the object.
        self._changes: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put_configuration(self, cfg: Configuration) -> None:
        """Write a version of the configuration, as the operator does."""
        self._put(CONFIGURATION_KIND, CONFIGURATION_NAME, encode_configuration(cfg))

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Write the object of an endpoint, as the endpoint does."""
        self._put(ENDPOINTS_KIND, endpoint.id, encode_endpoint(endpoint))

    def _put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        item = encode_object(name, self._revision + 1, spec)
        self._objects[kind, name] = item
        self._record_change(kind, item, removed=False)
        return item

    def _record_change(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self._revision += 1
        self._changes.append((self._revision, kind, removed, item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: Request) -> Reply:
        try:
            method, target = req.method.decode(), req.target.decode()
            call = decode_store_call(method, target, req.body)
        except ValueError:
            return Reply(400)
        if method == "GET":
            return await self._read(call)
        known = self._objects.get((call.kind, call.name))
        if method == "POST":
            return self._create(call, known)
        return self._change(call, known)

    async def _read(self, call: StoreCall) -> Reply:
        if call.name:
            item = self._objects.get((call.kind, call.name))
            return Reply(404) if item is None else _object_reply(200, item)
        if call.watch_revision is not None:
            return await self._watch(call, call.watch_revision)
        items = [item for (kind, _), item in self._objects.items() if kind == call.kind]
        return Reply(200, _JSON, encode_objects(items, self._revision))

    async def _watch(self, call: StoreCall, since: int) -> Reply:
        until = time.monotonic() + call.wait_seconds
        while True:
            found = [
                (removed, item)
                for revision, kind, removed, item in self._changes
                if kind == call.kind and revision > since
            ]
            remaining = until - time.monotonic()
            if found or remaining <= 0:
                return Reply(200, _JSON, encode_changes(found, self._revision))
            with contextlib.suppress(TimeoutError):  # The watch ends without a change.
                async with asyncio.timeout(remaining):
                    await self._changed.wait()

    def _create(self, call: StoreCall, known: dict[str, Any] | None) -> Reply:
        if known is not None:
            return _object_reply(409, known)
        return _object_reply(200, self._put(call.kind, call.name, call.spec))

    def _change(self, call: StoreCall, known: dict[str, Any] | None) -> Reply:
        if known is None:
            return Reply(404)
        if call.revision not in (None, known["metadata"]["revision"]):
            return _object_reply(409, known)
        if call.method == "DELETE":
            del self._objects[call.kind, call.name]
            self._record_change(call.kind, known, removed=True)
            return _object_reply(200, known)
        return _object_reply(200, self._put(call.kind, call.name, call.spec))


def _object_reply(status: int, item: dict[str, Any]) -> Reply:
    return Reply(status, _JSON, msgspec.json.encode(item))
