"""Checks the guarantees of the gateway on what callers and endpoints observe."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import re
import time
from typing import Any

import msgspec

from arbutusflow.gateway.callers.messages import CallerRequest, CallerResponse
from arbutusflow.platform import wire
from tests.gateway.object_platform import FakeEndpoint
from tests.soak.records import Arrival, RequestRecord
from tests.soak.statements import StatementAudit

# An endpoint's clock may be slow, so that a lease lasts two percent longer there.
LEASE_STRETCH = 1.02
# A process that was paused, or a connection that was blocked, may deliver messages
# from before the fault when it recovers; grants are not judged for this long.
RECOVERY_GRACE_SECONDS = 0.3
# Statuses that promise that a request has not run and will not run.
PROMISES = frozenset({408, 421, 429, 503})
# Statuses of an endpoint that has run a request and failed.
FAILURES = (500, 503, 429, 408)
SLOW_WORK_SECONDS = (0.8, 2.0)  # Of requests whose path ends with "/slow".
LARGE = b"/large"  # Ends the path of a request with a large answer.
LARGE_BYTES = 3_000_000
SIZED = re.compile(rb"/bytes-(\d+)$")  # Ends a path whose answer has this size.
MAX_ORDER_LINES = 20_000


@dataclasses.dataclass(frozen=True)
class Violation:
    """A broken rule, and what it is about."""

    at: float  # Seconds since the start of the run.
    rule: str
    text: str
    request_ids: tuple[bytes, ...] = ()
    keys: tuple[int, int] | None = None  # First and last key.
    instance: str | None = None

    def describe(self) -> str:
        """Return the violation in one line."""
        return f"{self.at:.3f}: {self.rule}: {self.text}"


@dataclasses.dataclass(frozen=True)
class OrderLine:
    """An order about keys that an endpoint answered."""

    at: float  # Seconds since the start of the run.
    first: int
    last: int
    text: str


@dataclasses.dataclass
class Audit:
    """Observations of one run, and the violations of the guarantees among them."""

    found: list[Violation] = dataclasses.field(default_factory=list)
    last_recovery: float = -1e9  # When a process or a connection last recovered.
    endpoints: "list[AuditedEndpoint]" = dataclasses.field(default_factory=list)
    run_counts: dict[bytes, int] = dataclasses.field(default_factory=dict)
    refused: set[bytes] = dataclasses.field(default_factory=set)
    # First key, last key, fencing token and endpoint of each grant that was applied.
    granted: list[tuple[int, int, int, str]] = dataclasses.field(default_factory=list)
    started: float = dataclasses.field(default_factory=time.monotonic)
    # What endpoints saw of each request, by its identifier.
    seen: dict[bytes, RequestRecord] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(RequestRecord)
    )
    instances: dict[bytes, str] = dataclasses.field(default_factory=dict)  # By request.
    orders: list[OrderLine] = dataclasses.field(default_factory=list)
    # What endpoints, proxies and callers saw of each request, in order.
    _events: dict[bytes, list[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def __post_init__(self) -> None:
        self.statements = StatementAudit(
            lambda text, rule, request_id: self.record_violation(
                text, rule, (request_id,)
            ),
            lambda: self.last_recovery,
        )

    @property
    def violations(self) -> list[str]:
        """The violations, one line each."""
        return [violation.describe() for violation in self.found]

    def record_event(self, request_id: bytes, text: str) -> None:
        """Record what happened to a request, with the seconds since the start."""
        self._events[request_id].append(f"{time.monotonic() - self.started:.3f} {text}")

    def lines(self, request_id: bytes) -> list[str]:
        """Return the recorded events of a request, in order."""
        return list(self._events.get(request_id, ()))

    def history(self, request_id: bytes) -> str:
        """Return the recorded events of a request in one line."""
        return "; ".join(self.lines(request_id))

    def record_order(self, first: int, last: int, text: str) -> None:
        """Record an order about keys."""
        if len(self.orders) < MAX_ORDER_LINES:
            at = time.monotonic() - self.started
            self.orders.append(OrderLine(at, first, last, text))

    def record_violation(
        self,
        text: str,
        rule: str = "RUN",
        request_ids: tuple[bytes, ...] = (),
        keys: tuple[int, int] | None = None,
        instance: str | None = None,
    ) -> None:
        """Record a violation, with the seconds since the start of the run."""
        at = time.monotonic() - self.started
        self.found.append(Violation(at, rule, text, request_ids, keys, instance))

    def check_grant(self, holder: "AuditedEndpoint", order: dict[str, Any]) -> None:
        """Check a grant that an endpoint has applied.

        Its fencing token must be higher than the tokens that other endpoints had for
        the same keys, and no other endpoint may still hold a lease on them.
        """
        now = time.monotonic()
        first, last, token = order["from"], order["to"], order["fence"]
        for other_first, other_last, other_token, name in self.granted:
            overlaps = (
                name != holder.name and other_first <= last and other_last >= first
            )
            judged = now - self.last_recovery >= RECOVERY_GRACE_SECONDS
            if overlaps and other_token >= token and judged:
                self.record_violation(
                    f"keys {first}-{last}: token {token} for {holder.name} is not"
                    f" higher than token {other_token} for {name}",
                    "OWNER",
                    keys=(first, last),
                )
        self.granted.append((first, last, token, holder.name))
        for other in self.endpoints:
            if other is holder or not other.alive or other.service != holder.service:
                continue
            for other_first, other_last, other_token, until in other.grants:
                overlaps = other_first <= last and other_last >= first and now < until
                if overlaps and now - self.last_recovery >= RECOVERY_GRACE_SECONDS:
                    self.record_violation(
                        f"keys {first}-{last} held by two endpoints:"
                        f" {holder.name} (token {token}) and {other.name}"
                        f" (token {other_token}, lease ends in {until - now:.2f} s)",
                        "OWNER",
                        keys=(first, last),
                    )

    def count_run(self, request_id: bytes, method: bytes) -> None:
        """Count a run of a request; only a GET request may run more than once."""
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        if self.run_counts[request_id] > 1 and method != b"GET":
            self.record_violation(
                f"request {request_id.decode()} ran more than once:"
                f" {self.history(request_id)}",
                "TWICE",
                (request_id,),
            )

    def check_refusals(self) -> None:
        """Check that no refused POST request has run; each is reported once."""
        for request_id in sorted(self.refused & self.run_counts.keys()):
            self.refused.discard(request_id)
            self.record_violation(
                f"request {request_id.decode()} was refused but ran:"
                f" {self.history(request_id)}",
                "REFUSED",
                (request_id,),
            )


class AuditedEndpoint(FakeEndpoint):
    """Endpoint that reports its grants and the requests it runs to the audit."""

    def __init__(self, name: str, service: str, audit: Audit) -> None:
        super().__init__(name, partitioned=service == "keyed")
        self.service = service
        self.alive = True
        self.left_at: float | None = None
        self.started_ms = 1
        # Shares of the requests that it rejects without running them, and of those that
        # it runs and then answers with a failure.
        self.rejected_share = 0.0
        self.failed_share = 0.0
        # Share of the answers that ask for the close of their connection.
        self.closing_share = 0.0
        self.rng = random.Random(name)
        # Shortest and longest work of a request; None for `work_seconds` each time.
        self.work_range: tuple[float, float] | None = None
        # Share of the requests whose work takes `tail_factor` times as long as drawn.
        self.tail_share = 0.0
        self.tail_factor = 1.0
        self.usual_seconds = 0.01  # Work of a request.
        # Until when, on the clock of the run, work takes `cold_factor` times as long.
        self.cold_until = -1e9
        self.cold_factor = 1.0
        # Limits the requests that it runs at once; the others wait.
        self.running_limit: asyncio.Semaphore | None = None
        self._audit = audit
        audit.endpoints.append(self)

    @property
    def grants(self) -> list[tuple[int, int, int, float]]:
        """First key, last key, fencing token and end of lease of each grant."""
        return self._grants

    @property
    def process_name(self) -> str:
        """Name of this process of the endpoint."""
        return f"{self.name}/{self.started_ms}"

    async def _handle(self, req: CallerRequest) -> CallerResponse:
        request_id = req.header(wire.REQUEST_ID) or b""
        statements, arrived = self._audit.statements, time.monotonic()
        if request_id:
            self._audit.seen[request_id].arrivals.append(Arrival(arrived, self.name))
            if req.header(wire.EXPECTED_ENDPOINT) is None:
                # Any endpoint runs a request that names none.
                req.headers.append((wire.EXPECTED_ENDPOINT, self.name.encode()))
        reply = await super()._handle(req)
        if reply.status != 421:
            statements.check_arrival(request_id, self.process_name, arrived)
        now = time.monotonic()
        if any(name == wire.LEAVING for name, _ in reply.headers):
            statements.record_leaving(request_id, self.process_name)
        seconds = next((v for n, v in reply.headers if n == wire.RETRY_AFTER), None)
        if seconds is not None:
            until = now + float(seconds)
            statements.record_wait(request_id, self.process_name, now, until)
        return reply

    def _grant(self, order: dict[str, Any]) -> CallerResponse:
        reply = super()._grant({**order, "holdS": order["holdS"] * LEASE_STRETCH})
        self._audit.record_order(
            order["from"],
            order["to"],
            f"{self.process_name} answers {reply.status} to a grant with token"
            f" {order['fence']} for {order['holdS']} s",
        )
        if reply.status == 200:
            self._audit.check_grant(self, order)
        return reply

    async def _answer(self, req: CallerRequest) -> CallerResponse:
        reply = await super()._answer(req)
        if req.target == wire.RELEASE_PATH:
            order = msgspec.json.decode(req.body)
            text = f"{self.process_name} releases keys with token {order['fence']}"
            self._audit.record_order(order["from"], order["to"], text)
        return reply

    def _draw_work(self, target: bytes) -> float:
        factor = self.tail_factor if self.rng.random() < self.tail_share else 1.0
        if time.monotonic() < self.cold_until:
            factor *= self.cold_factor
        if self.work_range is not None:
            return factor * self.rng.uniform(*self.work_range)
        if target.endswith(b"/slow"):
            return factor * self.rng.uniform(*SLOW_WORK_SECONDS)
        return factor * self.usual_seconds

    async def _run(self, req: CallerRequest, request_id: bytes) -> CallerResponse:
        if self.rng.random() < self.rejected_share:
            self._audit.record_event(request_id, f"{self.name} rejects it")
            headers = (
                (wire.REQUEST_ID, request_id),
                (wire.NOT_RUN, b"1"),
                (wire.ENDPOINT_LOAD, self.load),
            )
            return CallerResponse(503, headers)
        seen = self._audit.seen[request_id]
        seen.arrived = True
        async with self.running_limit or contextlib.nullcontext():
            self._audit.record_event(request_id, f"{self.name} runs it")
            self._audit.count_run(request_id, req.method)
            self.work_seconds = self._draw_work(req.target)
            start = time.monotonic()
            seen.runs.append((start, None))
            seen.services.append(self.service)
            seen.planned_ends.append(start + self.work_seconds)
            number = len(seen.runs) - 1
            try:
                reply = await super()._run(req, request_id)
            except asyncio.CancelledError:
                seen.cut_at.append(time.monotonic())
                raise
            finally:
                seen.runs[number] = (start, time.monotonic())
        whole = expected_body(req.method, req.target, req.body)
        reply = dataclasses.replace(reply, body=whole)
        if self.rng.random() < self.failed_share:
            reply = dataclasses.replace(reply, status=self.rng.choice(FAILURES))
        if self.rng.random() < self.closing_share:
            headers = (*reply.headers, (b"Connection", b"close"))
            reply = dataclasses.replace(reply, headers=headers)
        self._audit.record_event(request_id, f"{self.name} answers {reply.status}")
        return reply


def expected_body(method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the body with which an endpoint answers a request."""
    answer = method + b" " + target + body
    sized = SIZED.search(target)
    if sized is not None:
        return answer + b"." * int(sized[1])
    return answer + b"." * LARGE_BYTES if target.endswith(LARGE) else answer


def describe(violations: list[str]) -> str:
    """Return the violations as a JSON array."""
    return msgspec.json.encode(violations).decode()
