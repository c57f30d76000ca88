"""Checks the promises from what callers and endpoints see."""

import dataclasses
import time
from typing import Any

import msgspec

from arbutusflow.gateway.caller_server import CallerRequest, Reply
from arbutusflow.platform import wire
from tests.gateway.object_platform import KeyedEndpoint

SLOW_CLOCK = 1.02  # An endpoint may count a lease two percent too long.
# A process that was paused, or a link that was cut, may deliver what was under way.
THAW_SECONDS = 0.3


@dataclasses.dataclass
class Audit:
    """What was seen in one run, and what contradicts the promises."""

    violations: list[str] = dataclasses.field(default_factory=list)
    thawed_at: float = -1e9  # When a process or a link was last let go on.
    endpoints: "list[AuditedEndpoint]" = dataclasses.field(default_factory=list)
    ran: dict[bytes, int] = dataclasses.field(default_factory=dict)
    refused: set[bytes] = dataclasses.field(default_factory=set)
    # Fencing tokens by endpoint, with the keys that they were used for.
    tokens: list[tuple[int, int, int, str]] = dataclasses.field(default_factory=list)
    started: float = dataclasses.field(default_factory=time.monotonic)

    def note(self, text: str) -> None:
        """Record a broken promise."""
        self.violations.append(f"{time.monotonic() - self.started:.3f}: {text}")

    def note_grant(self, holder: "AuditedEndpoint", order: dict[str, Any]) -> None:
        """Check a grant that an endpoint is about to apply."""
        now = time.monotonic()
        first, last, token = order["from"], order["to"], order["fence"]
        for f, t, other_token, name in self.tokens:
            overlaps = name != holder.name and f <= last and t >= first
            calm = now - self.thawed_at >= THAW_SECONDS
            if overlaps and other_token >= token and calm:
                self.note(
                    f"keys {first}-{last}: token {token} for {holder.name}"
                    f" after {other_token} for {name}"
                )
        self.tokens.append((first, last, token, holder.name))
        for other in self.endpoints:
            if other is holder or not other.alive or other.service != holder.service:
                continue
            for f, t, other_token, until in other.grants:
                overlaps = f <= last and t >= first and now < until
                if overlaps and now - self.thawed_at >= THAW_SECONDS:
                    self.note(
                        f"keys {first}-{last}: {holder.name} (token {token}) and"
                        f" {other.name} (token {other_token}, {until - now:.2f} s left)"
                    )

    def note_run(self, request_id: bytes, method: bytes) -> None:
        """Count a run; only GET may run again."""
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        if self.ran[request_id] > 1 and method != b"GET":
            self.note(f"request {request_id.decode()} ran twice")

    def check_refusals(self) -> None:
        """Check that no work that may run only once ran after a refusal."""
        for request_id in self.refused & self.ran.keys():
            self.note(f"request {request_id.decode()} was refused and has run")


class AuditedEndpoint(KeyedEndpoint):
    """Endpoint whose grants and runs are checked."""

    def __init__(self, name: str, service: str, audit: Audit) -> None:
        super().__init__(name, keyed=service == "keyed")
        self.service = service
        self.alive = True
        self.left_at: float | None = None
        self._audit = audit
        audit.endpoints.append(self)

    @property
    def grants(self) -> list[tuple[int, int, int, float]]:
        """Ranges, tokens and ends of the leases."""
        return self._grants

    def _grant(self, order: dict[str, Any]) -> Reply:
        reply = super()._grant({**order, "holdS": order["holdS"] * SLOW_CLOCK})
        if reply.status == 200:
            self._audit.note_grant(self, order)
        return reply

    async def _handle(self, req: CallerRequest) -> Reply:
        count = len(self.ran)
        try:
            return await super()._handle(req)
        finally:
            for request_id in self.ran[count : count + 1]:
                if request_id == req.header(wire.REQUEST_ID):
                    self._audit.note_run(request_id, req.method)


def echo_of(method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the answer that belongs to a request."""
    return method + b" " + target + body


def describe(violations: list[str]) -> str:
    """Return the violations as lines of a report."""
    return msgspec.json.encode(violations).decode()
