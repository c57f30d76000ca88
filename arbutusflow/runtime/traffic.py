"""Traffic task: accepts, forwards, queues and dispatches callers' requests.

Invariants: only the coordinator of an endpoint queues requests for it and dispatches
them to it. The entry hop routes a request again if it was not run for one of the
`REROUTABLE_REASONS`; a request that could not be sent to the coordinator is refused for
such a reason. If the coordinator was lost, it does so only for repeatable kinds and
within the retry budget.
"""

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Callable, Coroutine

import msgspec

from arbutusflow.adapters.endpoint import EndpointClient, EndpointRequest, repr_digest
from arbutusflow.adapters.peer import PeerCallError, PeerLink
from arbutusflow.adapters.peer_messages import (
    CancelRequest,
    ForwardReply,
    ForwardRequest,
    HistoryTransfer,
)
from arbutusflow.domain.admission import Drained, EndpointQueue
from arbutusflow.domain.configuration import Configuration, Endpoint, Kind, Service
from arbutusflow.domain.delivery import Delivery
from arbutusflow.domain.delivery_messages import (
    Action,
    Answer,
    Answered,
    Arrived,
    AttemptFailed,
    CallerLeft,
    CancelAttempt,
    CancelQueued,
    Dispatched,
    DroppedFromQueue,
    EndpointExited,
    Enqueue,
    Event,
    Failure,
    ReplyAnswer,
    ReplyRefusal,
    Request,
    RetryDue,
    ScheduleRetry,
    Send,
    Tick,
    content_digest,
)
from arbutusflow.domain.limits import Finish, RetryBudget
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.partitions import unit_of_key
from arbutusflow.domain.reasons import Outcome, Refusal, RefusalReason, RetryReason
from arbutusflow.domain.records import Token
from arbutusflow.gateway.body_budget import SMALL_BODY_BYTES, BodyBudget
from arbutusflow.gateway.timers import Timers
from arbutusflow.runtime.curl_loop import CurlError, CurlResponse
from arbutusflow.runtime.unit_histories import UnitHistories

ROUTE_RETRY_SECONDS = 0.02
# Subtracted from the deadline for the round trip to the coordinator.
FORWARD_MARGIN_MS = 5
REPLY_GRACE_SECONDS = 0.15
QUEUE_TICK_SECONDS = 0.05
HISTORY_TICK_SECONDS = 1.0
# Refusals that may not recur once the owner and the coordinator are looked up again.
REROUTABLE_REASONS = frozenset(
    reason.value
    for reason in (
        RefusalReason.NO_OWNER,
        RefusalReason.NO_COORDINATOR,
        RefusalReason.LEASE_NOT_HELD,
        RefusalReason.UNIT_MOVING,
        RefusalReason.STOPPING,
    )
)
# Maps the endpoint's `Arbutus-Refusal` value to the failure of the attempt.
REFUSAL_FAILURES = {
    "fenced": Failure.LEASE_NOT_HELD,
    "draining": Failure.DRAINING,
}
CURL_FAILURES = {
    18: Failure.ANSWER_INCOMPLETE,  # CURLE_PARTIAL_FILE
    28: Failure.PROGRESS_TIMEOUT,  # CURLE_OPERATION_TIMEDOUT before the deadline
}


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request at its coordinator, from its arrival until `Delivery` has ended it."""

    req: ForwardRequest
    kind: Kind
    unit: int
    endpoint: Endpoint
    deadline: float
    reply: "asyncio.Future[ForwardReply]"


class TrafficTask:
    """Serves the requests in flight at this instance."""

    def __init__(
        self,
        core: OwnershipCore,
        endpoints: EndpointClient,
        links: dict[str, PeerLink],
        timers: Timers,
    ) -> None:
        self.on_unit_drained: Callable[[str, int], None] = lambda service, unit: None
        self.on_retry_scheduled: Callable[[str, RetryReason], None] = lambda _, __: None
        self.body_budget = BodyBudget(lambda: core.cfg.limits.held_body_bytes)
        self.on_endpoint_draining: Callable[[str], None] = lambda endpoint: None
        self.in_flight = 0
        self._core = core
        self._endpoints = endpoints
        self._links = links
        self._timers = timers
        self._loop = asyncio.get_running_loop()
        self._delivery = Delivery.from_config(
            core.cfg.limits, random.Random(core.instance)
        )
        self._queues: dict[str, EndpointQueue] = {}
        self._requests: dict[int, _PendingRequest] = {}
        self._forwarded: dict[tuple[int, int], asyncio.Task[ForwardReply]] = {}
        self._reroute_budget = RetryBudget()
        self._tickets = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._endpoints_refusing_connections: set[str] = set()
        self._histories = UnitHistories(core, self._delivery, links, self._deliver)

    def start(self) -> None:
        """Start the timers that expire queued requests and history entries."""
        self._timers.subscribe(QUEUE_TICK_SECONDS, self._tick)
        self._timers.subscribe(HISTORY_TICK_SECONDS, self._expire_history)

    # Entry hop

    async def accept(self, req: ForwardRequest) -> ForwardReply:
        """Serve a caller's request through the coordinator of its endpoint."""
        self.in_flight += 1
        self._reroute_budget.request()
        try:
            return await self._route(req)
        finally:
            self.in_flight -= 1

    async def _route(self, req: ForwardRequest) -> ForwardReply:
        deadline = time.monotonic() + req.remaining_ms / 1000
        while True:
            reply = await self._route_once(req)
            remaining = deadline - time.monotonic()
            if remaining < ROUTE_RETRY_SECONDS * 2 or not self._may_reroute(req, reply):
                return reply
            await asyncio.sleep(ROUTE_RETRY_SECONDS)
            remaining_ms = int((deadline - time.monotonic()) * 1000)
            req = msgspec.structs.replace(req, remaining_ms=max(1, remaining_ms))

    def _may_reroute(self, req: ForwardRequest, reply: ForwardReply) -> bool:
        """Return whether the request may be routed again."""
        if reply.outcome == Outcome.NOT_RUN.value:
            return reply.reason in REROUTABLE_REASONS
        if reply.reason != RefusalReason.COORDINATOR_LOST.value:
            return False
        # The lost coordinator makes no more retries, so retries are not multiplied.
        service = self._core.cfg.service(req.service)
        kind = None if service is None else service.kind(req.kind)
        return kind is not None and kind.repeatable and self._reroute_budget.take()

    async def _route_once(self, req: ForwardRequest) -> ForwardReply:
        service = self._core.cfg.service(req.service)
        if service is None:
            return _refuse(req, RefusalReason.UNKNOWN_SERVICE)
        unit = unit_of_key(req.key, service.partitions)
        endpoint = self._core.owner_of(req.service, unit)
        if endpoint is None:
            return _refuse(req, RefusalReason.NO_OWNER)
        coordinator = self._core.coordinator_of(endpoint)
        if coordinator == self._core.instance:
            return await self.dispatch(req)
        link = self._links.get(coordinator or "")
        if link is None:
            return _refuse(req, RefusalReason.NO_COORDINATOR)
        return await self._forward(link, req)

    async def _forward(self, link: PeerLink, req: ForwardRequest) -> ForwardReply:
        remaining_ms = max(1, req.remaining_ms - FORWARD_MARGIN_MS)
        forwarded = msgspec.structs.replace(
            req, id=link.next_id(), remaining_ms=remaining_ms
        )
        try:
            # Only the coordinator knows whether a late request was sent, so the call
            # waits for the reply that it gives at the deadline.
            reply = await link.call(
                forwarded, req.remaining_ms / 1000 + REPLY_GRACE_SECONDS
            )
        except PeerCallError as exc:
            if not exc.sent:
                return _refuse(req, RefusalReason.NO_COORDINATOR)
            if exc.timed_out:
                return _refuse(req, RefusalReason.DEADLINE_PASSED_IN_FLIGHT)
            return _refuse(req, RefusalReason.COORDINATOR_LOST)
        except asyncio.CancelledError:
            link.send(CancelRequest(forwarded.id))
            raise
        assert isinstance(reply, ForwardReply)
        return reply

    # Coordinator

    async def dispatch(self, req: ForwardRequest) -> ForwardReply:
        """Queue a request for its endpoint if this instance is the coordinator."""
        service = self._core.cfg.service(req.service)
        kind = None if service is None else service.kind(req.kind)
        if service is None or kind is None:
            return _refuse(req, RefusalReason.UNKNOWN_KIND)
        unit = unit_of_key(req.key, service.partitions)
        endpoint = self._owner(service, unit)
        if endpoint is None:
            return _refuse(req, RefusalReason.NO_OWNER)
        if not self._core.is_coordinating(endpoint.name):
            return _refuse(req, RefusalReason.NO_COORDINATOR)
        if self._histories.is_history_awaited(service.name, unit):
            return _refuse(req, RefusalReason.UNIT_MOVING)
        now = time.monotonic()
        ticket = next(self._tickets)
        pending = _PendingRequest(
            req,
            kind,
            unit,
            endpoint,
            now + req.remaining_ms / 1000,
            self._loop.create_future(),
        )
        self._requests[ticket] = pending
        self._deliver(Arrived(ticket, _request_of(pending), time.time()), now)
        try:
            return await pending.reply
        except asyncio.CancelledError:
            self._deliver(CallerLeft(ticket), time.monotonic())
            raise
        finally:
            self._discard_if_ended(ticket)

    async def dispatch_forwarded(self, req: ForwardRequest) -> ForwardReply:
        """Queue a request from another instance if the body budget allows it."""
        size = len(req.body)
        if size <= SMALL_BODY_BYTES:
            return await self.dispatch(req)
        if not self.body_budget.take(size):
            return _refuse(req, RefusalReason.QUEUE_FULL)
        try:
            return await self.dispatch(req)
        finally:
            self.body_budget.release(size)

    def drain(self, service: str, unit: int) -> None:
        """Stop dispatching for the unit; report when no request is in flight."""
        endpoint = self._core.owner_of(service, unit)
        if endpoint is None:
            return
        drained = self._queue(endpoint).hold_unit(unit)
        if drained is not None:
            self._report_drained(service, unit)

    def lease_renewed(self, endpoint: str, load: int) -> None:
        """Process the endpoint's load report and dispatch what waited for the lease."""
        self._endpoints_refusing_connections.discard(endpoint)
        queue = self._queues.get(endpoint)
        if queue is not None:
            queue.limit.report(load, time.monotonic())
            self._dispatch_waiting(endpoint)

    def endpoint_exited(self, endpoint: str, incarnation: str) -> None:
        """Count a strike for each request in flight; reset the concurrency limit."""
        self._deliver(EndpointExited(endpoint, incarnation), time.monotonic())
        if endpoint in self._queues:
            self._queues[endpoint].limit.restart()

    def ownership_changed(self) -> None:
        """Process a change of the units that this instance coordinates."""
        now = time.monotonic()
        for endpoint in self._queues:
            self._drop_requests_of_moved_units(endpoint, now)
        self._histories.ownership_changed(now)

    def import_history(self, message: HistoryTransfer) -> None:
        """Process the history of a unit, received from its previous coordinator."""
        self._histories.import_history(message, time.monotonic())

    def configure(self, cfg: Configuration) -> None:
        """Apply the limits of a new configuration."""
        self._delivery.configure(cfg.limits)
        for service in cfg.services:
            for endpoint in service.endpoints:
                if endpoint.name in self._queues:
                    self._queues[endpoint.name].configure(endpoint, cfg.limits)

    def _drop_requests_of_moved_units(self, endpoint: str, now: float) -> None:
        """Return queued requests to the entry hop if their unit has moved."""
        queue = self._queues[endpoint]
        service = self._service_of(endpoint)
        coordinating = self._core.is_coordinating(endpoint)
        for unit in queue.units():
            if coordinating and self._core.owner_of(service, unit) == endpoint:
                continue
            for request in queue.take_unit(unit):
                reason = RefusalReason.UNIT_MOVING
                self._deliver(DroppedFromQueue(request.ticket, reason), now)
            queue.release_unit(unit)

    # Delivery

    def _deliver(self, event: Event, now: float) -> None:
        for action in self._delivery.handle(event, now):
            self._carry_out(action, now)

    def _carry_out(self, action: Action, now: float) -> None:
        match action:
            case Enqueue(endpoint, queued) if not self._core.is_coordinating(endpoint):
                reason = RefusalReason.NO_COORDINATOR
                self._deliver(DroppedFromQueue(queued.ticket, reason), now)
            case Enqueue(endpoint, queued):
                for dropped in self._queue(endpoint).offer(queued, now):
                    self._deliver(
                        DroppedFromQueue(dropped.request.ticket, dropped.reason), now
                    )
                self._dispatch_waiting(endpoint)
            case Send(ticket, attempt):
                self._spawn(self._attempt(ticket, attempt))
            case ScheduleRetry(ticket, at, reason):
                self.on_retry_scheduled(self._requests[ticket].req.request_id, reason)
                self._loop.call_later(max(0.0, at - now), self._retry, ticket)
            case CancelQueued(endpoint, ticket):
                self._queue(endpoint).cancel(ticket)
            case CancelAttempt(_, ticket):
                # The attempt keeps waiting for the answer, so that the same answer can
                # be returned if the caller sends the request again.
                sent = self._requests[ticket]
                self._spawn(self._endpoints.cancel(sent.endpoint, sent.req.request_id))
            case ReplyAnswer(ticket, answer):
                self._reply(ticket, lambda req: _answer_reply(req, answer))
            case ReplyRefusal(ticket, refusal):
                self._reply(ticket, lambda req: _refusal_reply(req, refusal))

    def _retry(self, ticket: int) -> None:
        self._deliver(RetryDue(ticket), time.monotonic())

    def _reply(
        self, ticket: int, make: Callable[[ForwardRequest], ForwardReply]
    ) -> None:
        pending = self._requests.get(ticket)
        if pending is not None and not pending.reply.done():
            pending.reply.set_result(make(pending.req))

    def _discard_if_ended(self, ticket: int) -> None:
        # Resent requests with the same identifier may still wait for the outcome.
        if not self._delivery.is_pending(ticket):
            self._requests.pop(ticket, None)

    # Endpoint

    def _dispatch_waiting(self, endpoint: str) -> None:
        """Dispatch queued requests as far as the limits and the lease allow."""
        now = time.monotonic()
        if (
            endpoint in self._endpoints_refusing_connections
            or not self._core.may_dispatch(endpoint, now)
        ):
            return
        queue = self._queue(endpoint)
        while (request := queue.next(now)) is not None:
            self._dispatch_one(endpoint, request.ticket, now)
        for dropped in queue.expire(now):
            self._deliver(DroppedFromQueue(dropped.request.ticket, dropped.reason), now)

    def _dispatch_one(self, endpoint: str, ticket: int, now: float) -> None:
        pending = self._requests[ticket]
        if self._dispatch_token(pending, now) is None:
            # The unit is not granted yet; the entry hop tries again without charging
            # the retry budget.
            self._free_slot(endpoint, ticket, Finish.NOT_SENT)
            self._deliver(DroppedFromQueue(ticket, RefusalReason.LEASE_NOT_HELD), now)
            return
        actions = self._delivery.handle(Dispatched(ticket), now)
        if not any(isinstance(action, Send) for action in actions):
            self._free_slot(endpoint, ticket, Finish.NOT_SENT)
        for action in actions:
            self._carry_out(action, now)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _attempt(self, ticket: int, attempt: int) -> None:
        pending = self._requests[ticket]
        endpoint, req = pending.endpoint, pending.req
        now = time.monotonic()
        token = self._dispatch_token(pending, now)
        if token is None:
            self._fail_attempt(ticket, Finish.NOT_SENT, Failure.LEASE_NOT_HELD)
            return
        endpoint_request = EndpointRequest(
            req.service,
            req.kind,
            req.key,
            pending.unit,
            req.method,
            req.body,
            req.content_type,
            req.request_id,
            pending.kind.repeatable,
        )
        remaining_ms = max(1, int((pending.deadline - now) * 1000))
        try:
            response = await self._endpoints.send(
                endpoint,
                endpoint_request,
                token,
                remaining_ms,
                _progress_ms(pending.kind),
                attempt,
            )
        except CurlError as exc:
            if exc.refused:
                # Queued requests are dispatched once the endpoint answers a lease
                # renewal, or move to the unit's next owner.
                self._endpoints_refusing_connections.add(endpoint.name)
            finish, failure = _failure_of(exc, pending.deadline)
            self._fail_attempt(ticket, finish, failure)
            return
        self._process_response(ticket, response)

    def _dispatch_token(self, pending: _PendingRequest, now: float) -> Token | None:
        return self._core.dispatch_token(
            pending.endpoint.name, pending.req.service, pending.unit, now
        )

    def _process_response(self, ticket: int, response: CurlResponse) -> None:
        if response.headers.get("arbutus-ran") == "no":
            refusal = response.headers.get("arbutus-refusal", "")
            if refusal == "draining":
                self.on_endpoint_draining(self._requests[ticket].endpoint.name)
            finish = Finish.OVERLOADED if refusal == "shed" else Finish.FAILED
            failure = REFUSAL_FAILURES.get(refusal, Failure.REFUSED)
            self._fail_attempt(ticket, finish, failure)
            return
        digest = response.headers.get("repr-digest")
        if digest is not None and digest != repr_digest(response.body):
            self._fail_attempt(ticket, Finish.FAILED, Failure.DIGEST_MISMATCH)
            return
        content_type = response.headers.get("content-type", "")
        answer = Answer(
            response.status, (("content-type", content_type),), response.body
        )
        self._free_slot(self._requests[ticket].endpoint.name, ticket, Finish.COMPLETED)
        self._deliver(Answered(ticket, answer), time.monotonic())
        self._after_attempt(ticket)

    def _fail_attempt(self, ticket: int, finish: Finish, failure: Failure) -> None:
        self._free_slot(self._requests[ticket].endpoint.name, ticket, finish)
        self._deliver(AttemptFailed(ticket, failure), time.monotonic())
        self._after_attempt(ticket)

    def _after_attempt(self, ticket: int) -> None:
        pending = self._requests[ticket]
        if pending.reply.done():
            self._discard_if_ended(ticket)
        self._dispatch_waiting(pending.endpoint.name)

    def _free_slot(self, endpoint: str, ticket: int, finish: Finish) -> None:
        drained = self._queue(endpoint).finished(ticket, time.monotonic(), finish)
        if isinstance(drained, Drained):
            self._report_drained(self._service_of(endpoint), drained.unit)

    def _report_drained(self, service: str, unit: int) -> None:
        """Report the unit once the previous coordinator's requests have ended too."""
        wait = self._histories.previous_requests_until(service, unit) - time.monotonic()
        if wait <= 0:
            self.on_unit_drained(service, unit)
            return
        self._loop.call_later(wait, self._report_drained, service, unit)

    def _tick(self) -> None:
        now = time.monotonic()
        self._histories.tick(now)
        for endpoint, queue in self._queues.items():
            for dropped in queue.expire(now):
                self._deliver(
                    DroppedFromQueue(dropped.request.ticket, dropped.reason), now
                )
            self._dispatch_waiting(endpoint)

    def _expire_history(self) -> None:
        self._deliver(Tick(time.time()), time.monotonic())

    # Lookups

    def _queue(self, endpoint: str) -> EndpointQueue:
        queue = self._queues.get(endpoint)
        if queue is None:
            configured = self._endpoint_config(endpoint)
            queue = EndpointQueue.from_config(configured, self._core.cfg.limits)
            self._queues[endpoint] = queue
        return queue

    def _endpoint_config(self, endpoint: str) -> Endpoint:
        for service in self._core.cfg.services:
            found = service.endpoint(endpoint)
            if found is not None:
                return found
        raise KeyError(endpoint)

    def _service_of(self, endpoint: str) -> str:
        for service in self._core.cfg.services:
            if service.endpoint(endpoint) is not None:
                return service.name
        return ""

    def _owner(self, service: Service, unit: int) -> Endpoint | None:
        name = self._core.owner_of(service.name, unit)
        return None if name is None else service.endpoint(name)


def _request_of(pending: _PendingRequest) -> Request:
    req = pending.req
    return Request(
        req.service,
        pending.unit,
        pending.endpoint.name,
        req.kind,
        pending.kind.rank,
        pending.kind.repeatable,
        req.caller,
        content_digest(req.service, req.kind, req.key, req.body),
        pending.deadline,
        req.request_id,
    )


def _refuse(req: ForwardRequest, reason: RefusalReason) -> ForwardReply:
    return _refusal_reply(req, Refusal.of(reason))


def _refusal_reply(req: ForwardRequest, refusal: Refusal) -> ForwardReply:
    return ForwardReply(
        req.id,
        refusal.outcome.value,
        refusal.reason.value,
        refusal.detail,
        refusal.status,
        retry_after_ms=refusal.retry_after_ms,
    )


def _answer_reply(req: ForwardRequest, answer: Answer) -> ForwardReply:
    return ForwardReply(
        req.id,
        Outcome.ANSWERED.value,
        status=answer.status,
        body=answer.body,
        content_type=dict(answer.headers).get("content-type", ""),
    )


def _progress_ms(kind: Kind) -> int:
    """Return the progress timeout; 0 (none) for kinds that are not repeatable."""
    if not kind.repeatable:
        return 0
    # A progress timeout at the deadline would leave no time for the retry.
    return min(kind.progress_ms, max(1, kind.timeout_ms // 2))


def _failure_of(exc: CurlError, deadline: float) -> tuple[Finish, Failure]:
    if not exc.sent:
        return Finish.FAILED, Failure.CONNECTION_FAILED
    if time.monotonic() >= deadline - ROUTE_RETRY_SECONDS:
        return Finish.OVERLOADED, Failure.DEADLINE_PASSED
    failure = CURL_FAILURES.get(exc.code, Failure.CONNECTION_LOST)
    finish = Finish.OVERLOADED if failure is Failure.PROGRESS_TIMEOUT else Finish.FAILED
    return finish, failure
