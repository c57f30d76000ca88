"""Stand-in for an endpoint that checks leases and fencing tokens.

It limits concurrency, can drain, reports its load and records the requests that it ran.

Tests compare the outcomes that callers observed with the work log.
"""

import asyncio
import os
import secrets
import time

import msgspec

from arbutusflow.adapters.endpoint import repr_digest
from arbutusflow.domain.records import LeaseRenewal, Token
from arbutusflow.standins.endpoint_gate import EndpointLease
from arbutusflow.standins.http_server import (
    Receive,
    Scope,
    Send,
    header,
    read_body,
    respond,
    serve,
)

CRASH_BODY = b"crash"  # A request with this body makes the endpoint exit.


class WorkLogEntry(msgspec.Struct, frozen=True):
    """A request that the endpoint ran, with the monotonic time `at` of its start."""

    request_id: str
    service: str
    kind: str
    key: str
    at: float


class Holding(msgspec.Struct, frozen=True):
    """An interval in which the endpoint would have accepted requests for a unit.

    Times are readings of the host's monotonic clock in seconds.
    """

    unit: int
    since: float
    until: float


class HoldingLog:
    """Records the intervals in which each unit was held, with or without requests."""

    def __init__(self) -> None:
        self._current: dict[int, Holding] = {}
        self.closed: list[Holding] = []

    def update(self, held: dict[int, int], lease_until: float, now: float) -> None:
        """Record the held units and the lease expiry after a renewal at `now`."""
        for unit in list(self._current):
            if unit not in held or self._current[unit].until < now:
                ended = self._current.pop(unit)
                self.closed.append(Holding(unit, ended.since, min(ended.until, now)))
        if lease_until <= now:
            return
        for unit in held:
            since = self._current[unit].since if unit in self._current else now
            self._current[unit] = Holding(unit, since, lease_until)

    def all(self) -> list[Holding]:
        """Return the ended intervals and those that last until the lease expires."""
        return [*self.closed, *self._current.values()]


class EndpointStandIn:
    """ASGI application of one endpoint process."""

    def __init__(
        self, name: str, slots: int, service_ms: float, checks_tokens: bool
    ) -> None:
        self._name = name
        self._lease = EndpointLease(secrets.token_hex(8), checks_tokens)
        self._slots = asyncio.Semaphore(slots)
        self._load_limit = slots * 4  # Running and waiting requests.
        self._service_seconds = service_ms / 1000
        self._load = 0
        self._draining = False
        self._waiting: dict[str, asyncio.Timeout] = {}
        self._log: list[WorkLogEntry] = []
        self._holdings = HoldingLog()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        path = scope["raw_path"].decode().partition("?")[0]
        try:
            body = await read_body(receive)
        except ConnectionError:
            return
        if path == "/control/lease":
            await self._handle_lease(body, send)
        elif path == "/control/drain":
            self._draining = True
            await respond(send, 200)
        elif path.startswith("/control/cancel/"):
            await self._handle_cancel(path.rpartition("/")[2], send)
        elif path == "/control/log":
            await respond(send, 200, msgspec.json.encode(self._log))
        elif path == "/control/holdings":
            await respond(send, 200, msgspec.json.encode(self._holdings.all()))
        elif path.startswith("/requests/"):
            await self._handle_request(path, scope, body, send)
        else:
            await respond(send, 404)

    async def _handle_lease(self, body: bytes, send: Send) -> None:
        renewal = msgspec.json.decode(body, type=LeaseRenewal)
        now = time.monotonic()
        reply = self._lease.renew(renewal, now, self._load, self._draining)
        self._holdings.update(self._lease.held, self._lease.lease_until, now)
        await respond(send, 200, msgspec.json.encode(reply))

    async def _handle_cancel(self, request_id: str, send: Send) -> None:
        """Cancel the request if it waits for a slot, and respond whether it did."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            waiting.reschedule(asyncio.get_running_loop().time())
        body = msgspec.json.encode({"cancelled": waiting is not None})
        await respond(send, 200, body)

    async def _handle_request(
        self, path: str, scope: Scope, body: bytes, send: Send
    ) -> None:
        _, _, service, kind, key = path.split("/", 4)
        refusal = self._refusal(service, scope, body)
        if refusal:
            await self._respond_refusal(refusal, send)
            return
        self._load += 1
        try:
            refusal = await self._wait_for_slot(scope)
        finally:
            self._load -= 1
        if refusal:
            await self._respond_refusal(refusal, send)
            return
        self._load += 1
        try:
            await self._run(service, kind, key, scope, body, send)
        finally:
            self._load -= 1
            self._slots.release()

    async def _wait_for_slot(self, scope: Scope) -> str:
        """Acquire a slot; return "", or the reason of the refusal if there is none."""
        request_id = header(scope, "arbutus-request-id")
        deadline = int(header(scope, "arbutus-deadline-ms", "5000")) / 1000
        try:
            async with asyncio.timeout(deadline) as waiting:
                self._waiting[request_id] = waiting
                await self._slots.acquire()
        except TimeoutError:
            waiting_entry = self._waiting.pop(request_id, None)
            return "cancelled" if waiting_entry is None else "deadline_passed"
        if self._waiting.pop(request_id, None) is None:
            # The request was cancelled while it acquired a slot.
            self._slots.release()
            return "cancelled"
        return ""

    def _refusal(self, service: str, scope: Scope, body: bytes) -> str:
        term, _, sequence = header(scope, "arbutus-token", "0.0").partition(".")
        unit = int(header(scope, "arbutus-unit", "-1"))
        token = Token(int(term), int(sequence))
        if self._draining and not self._lease.held:
            return "draining"
        if not self._lease.accepts(service, unit, token, time.monotonic()):
            return "fenced"
        if self._load >= self._load_limit:
            return "shed"
        digest = header(scope, "repr-digest")
        if digest and digest != repr_digest(body):
            return "digest_mismatch"
        return ""

    async def _respond_refusal(self, refusal: str, send: Send) -> None:
        headers = (("arbutus-ran", "no"), ("arbutus-refusal", refusal))
        await respond(send, 503, b"", headers)

    async def _run(
        self, service: str, kind: str, key: str, scope: Scope, body: bytes, send: Send
    ) -> None:
        # The lease may have expired while the request waited for a slot. Only its
        # expiry is checked again, not whether the unit is still held. A draining
        # endpoint that holds no units runs the request although the lease has expired.
        refusal = self._refusal(service, scope, body) if self._lease_expired() else ""
        if refusal == "fenced":
            await self._respond_refusal(refusal, send)
            return
        request_id = header(scope, "arbutus-request-id")
        now = time.monotonic()
        self._log.append(WorkLogEntry(request_id, service, kind, key, now))
        if body == CRASH_BODY:
            os._exit(70)
        await asyncio.sleep(self._service_seconds)
        answer = msgspec.json.encode(
            {
                "endpoint": self._name,
                "service": service,
                "kind": kind,
                "key": key,
                "request_id": request_id,
                "bytes": len(body),
            }
        )
        headers = (
            ("content-type", "application/json"),
            ("arbutus-ran", "yes"),
            ("repr-digest", repr_digest(answer)),
        )
        await respond(send, 200, answer, headers)

    def _lease_expired(self) -> bool:
        return self._lease.checks_tokens and time.monotonic() >= self._lease.lease_until


def run_endpoint(
    name: str,
    host: str,
    port: int,
    slots: int,
    service_ms: float,
    checks_tokens: bool,
) -> None:
    """Serve the stand-in until SIGTERM or SIGINT."""
    serve(EndpointStandIn(name, slots, service_ms, checks_tokens), host, port)
