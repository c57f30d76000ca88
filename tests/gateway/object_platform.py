"""Fake of the platform for tests: an object store and endpoints over HTTP.

Implements the part of the published protocol that the gateway uses, on top of the
gateway's own HTTP server. Intended for loopback addresses; all data is in memory.
"""

import asyncio
import contextlib
import dataclasses
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from arbutusflow.domain.body_budget import BodyBudget
from arbutusflow.gateway.caller_server import (
    CallerRequest,
    CallerResponse,
    CallerServer,
)
from arbutusflow.platform import wire

_BASE = "/arbutusflow/objects/"
_JSON = ((b"Content-Type", b"application/json"),)
# Delay of a response that counts as lost; longer than any timeout for the store.
LOST_RESPONSE_DELAY_SECONDS = 60.0
MAX_BODY_BYTES = 64 * 1024 * 1024

# Settings file of a gateway, as the platform writes it.
SETTINGS = """
nodeName = "{name}"
ip = "{host}"
zone = "{zone}"
internalPorts = [{peer},{peer}]
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
memoryMb = 300
[bounds]
graceS = 6
drainS = 2
maxHoldS = 10
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 60
[provider]
address = "{store_host}:{store}"
"""


def _json(status: int, document: Any) -> CallerResponse:
    return CallerResponse(status, _JSON, msgspec.json.encode(document))


def _raise(during: str, exc: BaseException) -> None:
    raise exc  # A bug in this fake fails the test.


def _server(handler: Any) -> CallerServer:
    return CallerServer(handler, BodyBudget(lambda: MAX_BODY_BYTES), _raise)


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """State of the store to go back to."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any]]]


class ObjectStore:
    """Object store with one revision counter, lists and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.down = False  # Simulates an outage: each call is refused.
        self.calls = 0
        self.lose_answers = False  # Applies writes without responding.
        self.era = 0
        # Header with the era in all answers; None if it is missing.
        self.era_header: bytes | None = None
        self._compacted_revision = 0  # History up to this revision is compacted.
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.server = _server(self._handle)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object unconditionally, as operators and endpoints do."""
        self._store(kind, name, spec)

    def compact(self) -> None:
        """Discard the history of changes."""
        self._compacted_revision = self.revision
        self._events.clear()

    def keep_copy(self) -> StoreCopy:
        """Return the state now."""
        return StoreCopy(self.revision, dict(self._objects), list(self._events))

    def go_back(self, copy: StoreCopy) -> None:
        """Come back from a copy; revisions are given out again."""
        self.revision = copy.revision
        self._objects, self._events = dict(copy.objects), list(copy.events)
        self.era += 1
        self.era_header = b"%d" % self.era
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._record_event(kind, {"removed": True, "object": item})

    def spec(self, kind: str, name: str) -> Any:
        """Return the content of an object, or None if it does not exist."""
        item = self._objects.get((kind, name))
        return item["spec"] if item else None

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        item = {
            "metadata": {"name": name, "revision": self.revision + 1},
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._record_event(kind, {"removed": False, "object": item})
        return item

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self.revision += 1
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: CallerRequest) -> CallerResponse:
        reply = await self._answer(req)
        if self.era_header is None:
            return reply
        headers = (*reply.headers, (wire.STORE_ERA, self.era_header))
        return dataclasses.replace(reply, headers=headers)

    async def _answer(self, req: CallerRequest) -> CallerResponse:
        self.calls += 1
        if self.down:
            return CallerResponse(503)
        url = urlsplit(req.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(_BASE).partition("/")
        document = msgspec.json.decode(req.body) if req.body else {}
        if req.method == b"GET":
            return await self._read(kind, name, query)
        if req.method == b"POST":
            reply = self._create(kind, document)
        else:
            reply = self._change(req.method, kind, name, document, query)
        if self.lose_answers:
            await asyncio.sleep(LOST_RESPONSE_DELAY_SECONDS)
        return reply

    async def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> CallerResponse:
        if name:
            item = self._objects.get((kind, name))
            return _json(200, item) if item else CallerResponse(404)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        items = [item for (k, _), item in self._objects.items() if k == kind]
        return _json(200, {"items": items, "hasMore": False, "asOf": self.revision})

    async def _watch(
        self, kind: str, since: int, query: dict[str, str]
    ) -> CallerResponse:
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        era = self.era
        while True:
            gone = not self._compacted_revision <= since <= self.revision
            if gone or self.era != era:
                return CallerResponse(410)
            events = [e for rev, k, e in self._events if k == kind and rev > since]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                return _json(200, {"events": events, "asOf": self.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._changed.wait()

    def _create(self, kind: str, document: dict[str, Any]) -> CallerResponse:
        name = document["metadata"]["name"]
        known = self._objects.get((kind, name))
        if known is not None:
            return _json(409, known)
        return _json(200, self._store(kind, name, document["spec"]))

    def _change(
        self,
        method: bytes,
        kind: str,
        name: str,
        document: dict[str, Any],
        query: dict[str, str],
    ) -> CallerResponse:
        known = self._objects.get((kind, name))
        if known is None:
            return CallerResponse(404)
        condition = document.get("metadata", query).get("revision")
        if condition is not None and int(condition) != known["metadata"]["revision"]:
            return _json(409, known)
        if method == b"DELETE":
            self.remove(kind, name)
            return _json(200, known)
        return _json(200, self._store(kind, name, document["spec"]))


class FakeEndpoint:
    """Endpoint that runs requests for the keys on which it holds a lease."""

    def __init__(self, name: str, partitioned: bool) -> None:
        self.name = name
        self.partitioned = partitioned
        self.ran: list[bytes] = []  # Identifiers of executed requests, in order.
        self._running = 0  # Number of requests.
        self.slots = 2  # Reported to the gateway; the fake runs all requests at once.
        self.work_seconds = 0.01
        self.leaving = False  # Whether all answers say that it leaves.
        self.wait_until = -1e9  # Until when it wants no requests.
        self._grants: list[tuple[int, int, int, float]] = []
        # First key, last key and token of each grant, also of released ones.
        self._seen_tokens: list[tuple[int, int, int]] = []
        self.server = _server(self._handle)

    async def _handle(self, req: CallerRequest) -> CallerResponse:
        reply = await self._answer(req)
        if not self.leaving:
            return reply
        headers = (*reply.headers, (wire.LEAVING, b"1"))
        return dataclasses.replace(reply, headers=headers)

    async def _answer(self, req: CallerRequest) -> CallerResponse:
        request_id = req.header(wire.REQUEST_ID) or b""
        echoed_headers = ((wire.REQUEST_ID, request_id),)
        expected = req.header(wire.EXPECTED_ENDPOINT)
        if expected is not None and expected != self.name.encode():
            own_name = ((wire.ENDPOINT_ID, self.name.encode()),)
            return CallerResponse(421, echoed_headers + own_name)
        if req.target == b"/health":
            return CallerResponse(200, echoed_headers)
        if req.target == wire.GRANT_PATH:
            return self._grant(msgspec.json.decode(req.body))
        if req.target == wire.RELEASE_PATH:
            return self._release(msgspec.json.decode(req.body))
        if req.header(wire.EXPECTED_ENDPOINT) != self.name.encode():
            return CallerResponse(421, echoed_headers)
        key = wire.parse_key(req.header(wire.KEY))
        if self.partitioned and (key is None or not self._holds(key)):
            return CallerResponse(421, (*echoed_headers, (wire.NOT_RUN, b"1")))
        wait = self.wait_until - time.monotonic()
        if wait > 0:
            asks_to_wait = ((wire.NOT_RUN, b"1"), (wire.RETRY_AFTER, b"%.3f" % wait))
            return CallerResponse(503, echoed_headers + asks_to_wait)
        return await self._run(req, request_id)

    @property
    def load(self) -> bytes:
        """Numbers of running and waiting requests and of slots, as reported."""
        return b"%d,0,%d" % (self._running, self.slots)

    async def _run(self, req: CallerRequest, request_id: bytes) -> CallerResponse:
        """Run a request that the endpoint may run, and answer it."""
        self.ran.append(request_id)
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        headers = (
            (wire.REQUEST_ID, request_id),
            (wire.SIGNATURE, b"seal"),
            (wire.ENDPOINT_LOAD, self.load),
        )
        return CallerResponse(200, headers, req.method + b" " + req.target + req.body)

    def _holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(f <= key <= t and now < until for f, t, _, until in self._grants)

    def _grant(self, order: dict[str, Any]) -> CallerResponse:
        first, last, token = order["from"], order["to"], order["fence"]
        if any(f <= last and t >= first and n > token for f, t, n in self._seen_tokens):
            return CallerResponse(409)
        self._seen_tokens.append((first, last, token))
        self._release(order)
        self._grants.append((first, last, token, time.monotonic() + order["holdS"]))
        return CallerResponse(200)

    def _release(self, order: dict[str, Any]) -> CallerResponse:
        first, last = order["from"], order["to"]
        kept = []
        for f, t, token, until in self._grants:
            kept += [(f, min(t, first - 1), token, until)] if f < first else []
            kept += [(max(f, last + 1), t, token, until)] if t > last else []
        self._grants = kept
        return CallerResponse(200, ((wire.HANDOVER, b"handover"),))
