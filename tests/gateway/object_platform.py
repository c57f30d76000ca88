"""Fake of the platform for tests: an object store and endpoints over HTTP.

Implements the part of the published protocol that the gateway uses, on top of the
gateway's own HTTP server. Intended for loopback addresses; all data is in memory.
"""

import asyncio
import contextlib
import dataclasses
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.messages import CallerRequest, CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.platform import wire
from arbutusflow.standins.store_state import StoreState

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


class ObjectStore:
    """Object store with one revision counter, lists and watches."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.calls = 0
        self.lose_answers = False  # Applies writes without responding.
        # Header of all answers in place of the one that tells the era, if set.
        self.era_header: bytes | None = None
        self.server = _server(self._handle)

    @property
    def down(self) -> bool:
        """Whether each call is refused, as in an outage."""
        return self.state.down

    @down.setter
    def down(self, value: bool) -> None:
        self.state.down = value

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object unconditionally, as operators and endpoints do."""
        self.state.put_outside(kind, name, spec)

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return self.state.revision

    def keep_copy(self) -> float:
        """Return the time of the state, to go back to it."""
        return time.monotonic()

    def go_back(self, taken_at: float) -> None:
        """Come back from the copy of a time; revisions are given out again."""
        self.state.go_back(taken_at)
        self.era_header = None

    def compact(self) -> None:
        """Discard the history of changes."""
        self.state.compact()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, as operators and endpoints do."""
        self.state.remove_outside(kind, name)

    def spec(self, kind: str, name: str) -> Any:
        """Return the content of an object, or None if it does not exist."""
        item = self.state.objects.get((kind, name))
        return item["spec"] if item else None

    async def _handle(self, req: CallerRequest) -> CallerResponse:
        self.calls += 1
        reply = await self._answer(req)
        era_headers = self.state.era_headers
        if self.era_header is not None:
            era_headers = ((wire.STORE_ERA, self.era_header),)
        headers = (*reply.headers, *era_headers)
        return dataclasses.replace(reply, headers=headers)

    async def _answer(self, req: CallerRequest) -> CallerResponse:
        if self.down:
            return CallerResponse(503)
        url = urlsplit(req.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = unquote(url.path).removeprefix(_BASE).partition("/")
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
        state = self.state
        if name:
            item = state.objects.get((kind, name))
            return _json(200, item) if item else CallerResponse(404)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        items = [item for (k, _), item in state.objects.items() if k == kind]
        return _json(200, {"items": items, "hasMore": False, "asOf": state.revision})

    async def _watch(
        self, kind: str, since: int, query: dict[str, str]
    ) -> CallerResponse:
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        state, era = self.state, self.state.era
        if not state.has_history(since):
            return CallerResponse(410)
        while True:
            if state.era != era:
                return CallerResponse(503 if state.down else 410)
            events = [
                {"removed": change.removed, "object": change.item}
                for change in state.changes_since(kind, since)
            ]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                return _json(200, {"events": events, "asOf": state.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await state.changed.wait()

    def _create(self, kind: str, document: dict[str, Any]) -> CallerResponse:
        name = document["metadata"]["name"]
        known = self.state.objects.get((kind, name))
        if known is not None:
            return _json(409, known)
        return _json(200, self.state.put(kind, name, document["spec"]))

    def _change(
        self,
        method: bytes,
        kind: str,
        name: str,
        document: dict[str, Any],
        query: dict[str, str],
    ) -> CallerResponse:
        known = self.state.objects.get((kind, name))
        if known is None:
            return CallerResponse(404)
        condition = document.get("metadata", query).get("revision")
        if condition is not None and int(condition) != known["metadata"]["revision"]:
            return _json(409, known)
        if method == b"DELETE":
            self.state.remove(kind, name)
            return _json(200, known)
        return _json(200, self.state.put(kind, name, document["spec"]))


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
