"""Traffic task: takes callers' requests, forwards and dispatches them.

Invariants: only the coordinator of an endpoint dispatches to it; a request is
sent again only if it is certain that it did not run.
"""

import asyncio
import collections
import time
from collections.abc import Callable

import msgspec

from arbutusflow.adapters.endpoint import EndpointClient, Work, digest_of
from arbutusflow.adapters.peer import PeerCallError, PeerLink
from arbutusflow.adapters.peer_messages import ForwardReply, ForwardRequest
from arbutusflow.domain.configuration import Endpoint, Service
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.partitions import unit_of_key
from arbutusflow.runtime.curl_loop import CurlError, CurlResponse

ROUTE_RETRY_SECONDS = 0.02
ANSWERED, NOT_RUN, UNKNOWN = "answered", "not-run", "unknown"
# The request has not left this product, so another route may still serve it.
ROUTE_REASONS = frozenset(
    {"no_owner", "no_coordinator", "lease_not_held", "unit_moving", "endpoint_refused"}
)


class TrafficTask:
    """Owns the requests in flight at this instance."""

    def __init__(
        self,
        core: OwnershipCore,
        endpoints: EndpointClient,
        links: dict[str, PeerLink],
    ) -> None:
        self.unit_drained: Callable[[str, int], None] = lambda service, unit: None
        self.in_flight = 0
        self._core = core
        self._endpoints = endpoints
        self._links = links
        self._by_unit: collections.Counter[tuple[str, int]] = collections.Counter()
        self._draining: set[tuple[str, int]] = set()

    async def accept(self, req: ForwardRequest) -> ForwardReply:
        """Serve a caller's request through the coordinator of its endpoint."""
        self.in_flight += 1
        try:
            return await self._route(req)
        finally:
            self.in_flight -= 1

    async def dispatch(self, req: ForwardRequest) -> ForwardReply:
        """Send a request to its endpoint if this instance coordinates that."""
        service = self._core.cfg.service(req.service)
        kind = None if service is None else service.kind(req.kind)
        if service is None or kind is None:
            return _not_run(req, "unknown_kind", f"no {req.service}/{req.kind}")
        unit = unit_of_key(req.key, service.partitions)
        endpoint = self._owner(service, unit)
        if endpoint is None:
            return _not_run(req, "no_owner", f"unit {unit} has no owner")
        if (req.service, unit) in self._draining:
            return _not_run(req, "unit_moving", f"unit {unit} is being moved")
        now = time.monotonic()
        token = self._core.dispatch_token(endpoint.name, req.service, unit, now)
        if token is None:
            return _not_run(req, "lease_not_held", f"no lease of {endpoint.name}")
        work = Work(
            req.service,
            req.kind,
            req.key,
            unit,
            req.method,
            req.body,
            req.content_type,
            req.request_id,
            kind.repeatable,
        )
        self._by_unit[req.service, unit] += 1
        try:
            response = await self._endpoints.run(
                endpoint, work, token, req.remaining_ms
            )
        except CurlError as exc:
            return _failed(req, exc)
        finally:
            self._by_unit[req.service, unit] -= 1
            self._report_drained(req.service, unit)
        return _reply_of(req, response)

    def drain(self, service: str, unit: int) -> None:
        """Dispatch no more for the unit and report when none is in flight."""
        self._draining.add((service, unit))
        self._report_drained(service, unit)

    def _report_drained(self, service: str, unit: int) -> None:
        if self._by_unit[service, unit] <= 0:
            del self._by_unit[service, unit]
            if (service, unit) in self._draining:
                self._draining.discard((service, unit))
                self.unit_drained(service, unit)

    def _owner(self, service: Service, unit: int) -> Endpoint | None:
        name = self._core.owner_of(service.name, unit)
        return None if name is None else service.endpoint(name)

    async def _route(self, req: ForwardRequest) -> ForwardReply:
        deadline = time.monotonic() + req.remaining_ms / 1000
        while True:
            reply = await self._attempt(req)
            retry = reply.outcome == NOT_RUN and reply.reason in ROUTE_REASONS
            remaining = deadline - time.monotonic()
            if not retry or remaining < ROUTE_RETRY_SECONDS * 2:
                return reply
            await asyncio.sleep(ROUTE_RETRY_SECONDS)
            remaining_ms = int((deadline - time.monotonic()) * 1000)
            req = msgspec.structs.replace(req, remaining_ms=max(1, remaining_ms))

    async def _attempt(self, req: ForwardRequest) -> ForwardReply:
        service = self._core.cfg.service(req.service)
        if service is None:
            return _not_run(req, "unknown_service", f"no service {req.service}")
        unit = unit_of_key(req.key, service.partitions)
        endpoint = self._core.owner_of(req.service, unit)
        if endpoint is None:
            return _not_run(req, "no_owner", f"unit {unit} has no owner")
        coordinator = self._core.coordinator_of(endpoint)
        if coordinator == self._core.instance:
            return await self.dispatch(req)
        link = self._links.get(coordinator or "")
        if link is None:
            return _not_run(req, "no_coordinator", f"{endpoint} has no coordinator")
        forwarded = msgspec.structs.replace(req, id=link.next_id())
        try:
            reply = await link.call(forwarded, req.remaining_ms / 1000)
        except PeerCallError as exc:
            if not exc.sent:
                return _not_run(req, "no_coordinator", str(exc))
            return ForwardReply(req.id, UNKNOWN, "coordinator_lost", str(exc))
        assert isinstance(reply, ForwardReply)
        return reply


def _not_run(req: ForwardRequest, reason: str, detail: str) -> ForwardReply:
    return ForwardReply(req.id, NOT_RUN, reason, detail)


def _failed(req: ForwardRequest, exc: CurlError) -> ForwardReply:
    if not exc.sent:
        return _not_run(req, "connection_failed", str(exc))
    return ForwardReply(req.id, UNKNOWN, "endpoint_lost", str(exc))


def _reply_of(req: ForwardRequest, response: CurlResponse) -> ForwardReply:
    if response.headers.get("arbutus-ran") == "no":
        refusal = response.headers.get("arbutus-refusal", "")
        return _not_run(req, "endpoint_refused", refusal)
    digest = response.headers.get("repr-digest")
    if digest is not None and digest != digest_of(response.body):
        return ForwardReply(req.id, UNKNOWN, "answer_digest_mismatch")
    return ForwardReply(
        req.id,
        ANSWERED,
        status=response.status,
        body=response.body,
        content_type=response.headers.get("content-type", ""),
    )
