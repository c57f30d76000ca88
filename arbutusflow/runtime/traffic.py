"""Traffic task: takes callers' requests, forwards, queues and dispatches them.

Invariants: only the coordinator of an endpoint queues for it and dispatches to it;
the entry hop forwards a request again only if its last coordinator said that it
did not run it, or if the request never left this process.
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
from arbutusflow.domain.body_budget import SMALL_BODY_BYTES, BodyBudget
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
from arbutusflow.runtime.curl_loop import CurlError, CurlResponse
from arbutusflow.runtime.timers import Timers
from arbutusflow.runtime.unit_histories import UnitHistories

ROUTE_RETRY_SECONDS = 0.02
HOP_MS = 5  # Taken off the deadline for the way to the coordinator and back.
LATE_REPLY_SECONDS = 0.15
QUEUE_TICK_SECONDS = 0.05
HISTORY_TICK_SECONDS = 1.0
# These refusals concern the route only; another route may still serve the request.
ROUTE_REASONS = frozenset(
    reason.value
    for reason in (
        RefusalReason.NO_OWNER,
        RefusalReason.NO_COORDINATOR,
        RefusalReason.LEASE_NOT_HELD,
        RefusalReason.UNIT_MOVING,
        RefusalReason.STOPPING,
    )
)
# How the endpoint names its refusals, and what they mean for the request.
REFUSAL_FAILURES = {
    "fenced": Failure.LEASE_NOT_HELD,
    "draining": Failure.DRAINING,
}
CURL_FAILURES = {
    18: Failure.ANSWER_INCOMPLETE,  # CURLE_PARTIAL_FILE
    28: Failure.PROGRESS_TIMEOUT,  # CURLE_OPERATION_TIMEDOUT before the deadline
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    """What the task keeps of a request while the delivery decides about it."""

    req: ForwardRequest
    kind: Kind
    unit: int
    endpoint: Endpoint
    deadline: float
    reply: "asyncio.Future[ForwardReply]"


class TrafficTask:
    """Owns the requests in flight at this instance."""

    def __init__(
        self,
        core: OwnershipCore,
        endpoints: EndpointClient,
        links: dict[str, PeerLink],
        timers: Timers,
    ) -> None:
        self.unit_drained: Callable[[str, int], None] = lambda service, unit: None
        self.retry_scheduled: Callable[[str, RetryReason], None] = lambda req, why: None
        self.bodies = BodyBudget(lambda: core.cfg.limits.held_body_bytes)
        self.endpoint_drains: Callable[[str], None] = lambda endpoint: None
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
        self._requests: dict[int, _Queued] = {}
        self._forwarded: dict[tuple[int, int], asyncio.Task[ForwardReply]] = {}
        self._reroutes = RetryBudget()
        self._tickets = itertools.count(1)
        self._attempts: set[asyncio.Task[None]] = set()
        self._refused: set[str] = set()
        self._histories = UnitHistories(core, self._delivery, links, self._deliver)

    def start(self) -> None:
        """Begin to expire what waits too long."""
        self._timers.subscribe(QUEUE_TICK_SECONDS, self._tick)
        self._timers.subscribe(HISTORY_TICK_SECONDS, self._expire_history)

    # Entry hop

    async def accept(self, req: ForwardRequest) -> ForwardReply:
        """Serve a caller's request through the coordinator of its endpoint."""
        self.in_flight += 1
        self._reroutes.request()
        try:
            return await self._route(req)
        finally:
            self.in_flight -= 1

    async def _route(self, req: ForwardRequest) -> ForwardReply:
        deadline = time.monotonic() + req.remaining_ms / 1000
        while True:
            reply = await self._attempt_route(req)
            remaining = deadline - time.monotonic()
            if remaining < ROUTE_RETRY_SECONDS * 2 or not self._may_reroute(req, reply):
                return reply
            await asyncio.sleep(ROUTE_RETRY_SECONDS)
            remaining_ms = int((deadline - time.monotonic()) * 1000)
            req = msgspec.structs.replace(req, remaining_ms=max(1, remaining_ms))

    def _may_reroute(self, req: ForwardRequest, reply: ForwardReply) -> bool:
        """Tell whether the request may go through another coordinator."""
        if reply.outcome == Outcome.NOT_RUN.value:
            return reply.reason in ROUTE_REASONS
        if reply.reason != RefusalReason.COORDINATOR_LOST.value:
            return False
        # The lost coordinator retries no more, so this does not multiply retries.
        service = self._core.cfg.service(req.service)
        kind = None if service is None else service.kind(req.kind)
        return kind is not None and kind.repeatable and self._reroutes.take()

    async def _attempt_route(self, req: ForwardRequest) -> ForwardReply:
        service = self._core.cfg.service(req.service)
        if service is None:
            return _refused(req, RefusalReason.UNKNOWN_SERVICE)
        unit = unit_of_key(req.key, service.partitions)
        endpoint = self._core.owner_of(req.service, unit)
        if endpoint is None:
            return _refused(req, RefusalReason.NO_OWNER)
        coordinator = self._core.coordinator_of(endpoint)
        if coordinator == self._core.instance:
            return await self.dispatch(req)
        link = self._links.get(coordinator or "")
        if link is None:
            return _refused(req, RefusalReason.NO_COORDINATOR)
        return await self._forward(link, req)

    async def _forward(self, link: PeerLink, req: ForwardRequest) -> ForwardReply:
        remaining_ms = max(1, req.remaining_ms - HOP_MS)
        forwarded = msgspec.structs.replace(
            req, id=link.next_id(), remaining_ms=remaining_ms
        )
        try:
            # The coordinator knows whether a late request was sent, so its own
            # answer at the deadline is waited for.
            reply = await link.call(
                forwarded, req.remaining_ms / 1000 + LATE_REPLY_SECONDS
            )
        except PeerCallError as exc:
            if not exc.sent:
                return _refused(req, RefusalReason.NO_COORDINATOR)
            if exc.timed_out:
                return _refused(req, RefusalReason.DEADLINE_PASSED_IN_FLIGHT)
            return _refused(req, RefusalReason.COORDINATOR_LOST)
        except asyncio.CancelledError:
            link.send(CancelRequest(forwarded.id))
            raise
        assert isinstance(reply, ForwardReply)
        return reply

    # Coordinator

    async def dispatch(self, req: ForwardRequest) -> ForwardReply:
        """Queue a request for its endpoint if this instance coordinates that."""
        service = self._core.cfg.service(req.service)
        kind = None if service is None else service.kind(req.kind)
        if service is None or kind is None:
            return _refused(req, RefusalReason.UNKNOWN_KIND)
        unit = unit_of_key(req.key, service.partitions)
        endpoint = self._owner(service, unit)
        if endpoint is None:
            return _refused(req, RefusalReason.NO_OWNER)
        if not self._core.is_coordinating(endpoint.name):
            return _refused(req, RefusalReason.NO_COORDINATOR)
        if self._histories.is_awaited(service.name, unit):
            return _refused(req, RefusalReason.UNIT_MOVING)
        now = time.monotonic()
        ticket = next(self._tickets)
        queued = _Queued(
            req,
            kind,
            unit,
            endpoint,
            now + req.remaining_ms / 1000,
            self._loop.create_future(),
        )
        self._requests[ticket] = queued
        self._deliver(Arrived(ticket, _request_of(queued), time.time()), now)
        try:
            return await queued.reply
        except asyncio.CancelledError:
            self._deliver(CallerLeft(ticket), time.monotonic())
            raise
        finally:
            self._forget(ticket)

    async def dispatch_forwarded(self, req: ForwardRequest) -> ForwardReply:
        """Queue a request of another entry hop if its body may be held."""
        size = len(req.body)
        if size <= SMALL_BODY_BYTES:
            return await self.dispatch(req)
        if not self.bodies.take(size):
            return _refused(req, RefusalReason.QUEUE_FULL)
        try:
            return await self.dispatch(req)
        finally:
            self.bodies.release(size)

    def drain(self, service: str, unit: int) -> None:
        """Dispatch no more for the unit and report when none is in flight."""
        endpoint = self._core.owner_of(service, unit)
        if endpoint is None:
            return
        drained = self._queue(endpoint).hold_unit(unit)
        if drained is not None:
            self._report_drained(service, unit)

    def lease_renewed(self, endpoint: str, load: int) -> None:
        """Take the endpoint's load report and dispatch what waited for the lease."""
        self._refused.discard(endpoint)
        queue = self._queues.get(endpoint)
        if queue is not None:
            queue.limit.report(load, time.monotonic())
            self._pump(endpoint)

    def endpoint_exited(self, endpoint: str, incarnation: str) -> None:
        """Count the requests in flight as suspects and start slowly afterwards."""
        self._deliver(EndpointExited(endpoint, incarnation), time.monotonic())
        if endpoint in self._queues:
            self._queues[endpoint].limit.restart()

    def ownership_changed(self) -> None:
        """Follow a change of the units that this instance coordinates."""
        now = time.monotonic()
        for endpoint in self._queues:
            self._requeue_moved(endpoint, now)
        self._histories.ownership_changed(now)

    def take_history(self, message: HistoryTransfer) -> None:
        """Take the history of a unit from its earlier coordinator."""
        self._histories.take(message, time.monotonic())

    def configure(self, cfg: Configuration) -> None:
        """Apply changed limits."""
        self._delivery.configure(cfg.limits)
        for service in cfg.services:
            for endpoint in service.endpoints:
                if endpoint.name in self._queues:
                    self._queues[endpoint.name].configure(endpoint, cfg.limits)

    def _requeue_moved(self, endpoint: str, now: float) -> None:
        """Send requests of units that this endpoint lost back to the entry hop."""
        queue = self._queues[endpoint]
        service = self._service_of(endpoint)
        acting = self._core.is_coordinating(endpoint)
        for unit in queue.units():
            if acting and self._core.owner_of(service, unit) == endpoint:
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
                for shed in self._queue(endpoint).offer(queued, now):
                    self._deliver(
                        DroppedFromQueue(shed.request.ticket, shed.reason), now
                    )
                self._pump(endpoint)
            case Send(ticket, attempt):
                self._spawn(self._attempt(ticket, attempt))
            case ScheduleRetry(ticket, at, reason):
                self.retry_scheduled(self._requests[ticket].req.request_id, reason)
                self._loop.call_later(max(0.0, at - now), self._retry, ticket)
            case CancelQueued(endpoint, ticket):
                self._queue(endpoint).cancel(ticket)
            case CancelAttempt(_, ticket):
                # The answer is still awaited: it decides what a resend gets.
                sent = self._requests[ticket]
                self._spawn(self._endpoints.cancel(sent.endpoint, sent.req.request_id))
            case ReplyAnswer(ticket, answer):
                self._reply(ticket, lambda req: _answered(req, answer))
            case ReplyRefusal(ticket, refusal):
                self._reply(ticket, lambda req: _refusal_reply(req, refusal))

    def _retry(self, ticket: int) -> None:
        self._deliver(RetryDue(ticket), time.monotonic())

    def _reply(
        self, ticket: int, make: Callable[[ForwardRequest], ForwardReply]
    ) -> None:
        queued = self._requests.get(ticket)
        if queued is not None and not queued.reply.done():
            queued.reply.set_result(make(queued.req))

    def _forget(self, ticket: int) -> None:
        # The delivery may still run the request for other copies of it.
        if not self._delivery.is_pending(ticket):
            self._requests.pop(ticket, None)

    # Endpoint

    def _pump(self, endpoint: str) -> None:
        """Dispatch what the queue and the lease allow."""
        now = time.monotonic()
        if endpoint in self._refused or not self._core.lease_held(endpoint, now):
            return
        queue = self._queue(endpoint)
        while (request := queue.next(now)) is not None:
            self._dispatch_one(endpoint, request.ticket, now)
        for shed in queue.expire(now):
            self._deliver(DroppedFromQueue(shed.request.ticket, shed.reason), now)

    def _dispatch_one(self, endpoint: str, ticket: int, now: float) -> None:
        queued = self._requests[ticket]
        if self._token(queued, now) is None:
            # The unit is not granted yet; the entry hop tries again without using
            # up the retry budget.
            self._finished(endpoint, ticket, Finish.NOT_SENT)
            self._deliver(DroppedFromQueue(ticket, RefusalReason.LEASE_NOT_HELD), now)
            return
        actions = self._delivery.handle(Dispatched(ticket), now)
        if not any(isinstance(action, Send) for action in actions):
            self._finished(endpoint, ticket, Finish.NOT_SENT)
        for action in actions:
            self._carry_out(action, now)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._attempts.add(task)
        task.add_done_callback(self._attempts.discard)

    async def _attempt(self, ticket: int, attempt: int) -> None:
        queued = self._requests[ticket]
        endpoint, req = queued.endpoint, queued.req
        now = time.monotonic()
        token = self._token(queued, now)
        if token is None:
            self._end_attempt(ticket, Finish.NOT_SENT, Failure.LEASE_NOT_HELD)
            return
        work = EndpointRequest(
            req.service,
            req.kind,
            req.key,
            queued.unit,
            req.method,
            req.body,
            req.content_type,
            req.request_id,
            queued.kind.repeatable,
        )
        remaining_ms = max(1, int((queued.deadline - now) * 1000))
        try:
            response = await self._endpoints.run(
                endpoint,
                work,
                token,
                remaining_ms,
                _progress_ms(queued.kind),
                attempt,
            )
        except CurlError as exc:
            if exc.refused:
                # What waits is dispatched when the endpoint answers a renewal, or
                # goes to the unit's next owner.
                self._refused.add(endpoint.name)
            finish, failure = _failure_of(exc, queued.deadline)
            self._end_attempt(ticket, finish, failure)
            return
        self._take_response(ticket, response)

    def _token(self, queued: _Queued, now: float) -> Token | None:
        return self._core.dispatch_token(
            queued.endpoint.name, queued.req.service, queued.unit, now
        )

    def _take_response(self, ticket: int, response: CurlResponse) -> None:
        if response.headers.get("arbutus-ran") == "no":
            refusal = response.headers.get("arbutus-refusal", "")
            if refusal == "draining":
                self.endpoint_drains(self._requests[ticket].endpoint.name)
            finish = Finish.OVERLOADED if refusal == "shed" else Finish.FAILED
            failure = REFUSAL_FAILURES.get(refusal, Failure.REFUSED)
            self._end_attempt(ticket, finish, failure)
            return
        digest = response.headers.get("repr-digest")
        if digest is not None and digest != repr_digest(response.body):
            self._end_attempt(ticket, Finish.FAILED, Failure.DIGEST_MISMATCH)
            return
        content_type = response.headers.get("content-type", "")
        answer = Answer(
            response.status, (("content-type", content_type),), response.body
        )
        self._finished(self._requests[ticket].endpoint.name, ticket, Finish.COMPLETED)
        self._deliver(Answered(ticket, answer), time.monotonic())
        self._ended(ticket)

    def _end_attempt(self, ticket: int, finish: Finish, failure: Failure) -> None:
        self._finished(self._requests[ticket].endpoint.name, ticket, finish)
        self._deliver(AttemptFailed(ticket, failure), time.monotonic())
        self._ended(ticket)

    def _ended(self, ticket: int) -> None:
        queued = self._requests[ticket]
        if queued.reply.done():
            self._forget(ticket)
        self._pump(queued.endpoint.name)

    def _finished(self, endpoint: str, ticket: int, finish: Finish) -> None:
        drained = self._queue(endpoint).finished(ticket, time.monotonic(), finish)
        if isinstance(drained, Drained):
            self._report_drained(self._service_of(endpoint), drained.unit)

    def _report_drained(self, service: str, unit: int) -> None:
        """Report the unit once requests of an earlier coordinator have ended too."""
        wait = self._histories.foreign_until(service, unit) - time.monotonic()
        if wait <= 0:
            self.unit_drained(service, unit)
            return
        self._loop.call_later(wait, self._report_drained, service, unit)

    def _tick(self) -> None:
        now = time.monotonic()
        self._histories.tick(now)
        for endpoint, queue in self._queues.items():
            for shed in queue.expire(now):
                self._deliver(DroppedFromQueue(shed.request.ticket, shed.reason), now)
            self._pump(endpoint)

    def _expire_history(self) -> None:
        self._deliver(Tick(time.time()), time.monotonic())

    # Look-ups

    def _queue(self, endpoint: str) -> EndpointQueue:
        queue = self._queues.get(endpoint)
        if queue is None:
            configured = self._configured(endpoint)
            queue = EndpointQueue.from_config(configured, self._core.cfg.limits)
            self._queues[endpoint] = queue
        return queue

    def _configured(self, endpoint: str) -> Endpoint:
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


def _request_of(queued: _Queued) -> Request:
    req = queued.req
    return Request(
        req.service,
        queued.unit,
        queued.endpoint.name,
        req.kind,
        queued.kind.rank,
        queued.kind.repeatable,
        req.caller,
        content_digest(req.service, req.kind, req.key, req.body),
        queued.deadline,
        req.request_id,
    )


def _refused(req: ForwardRequest, reason: RefusalReason) -> ForwardReply:
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


def _answered(req: ForwardRequest, answer: Answer) -> ForwardReply:
    return ForwardReply(
        req.id,
        Outcome.ANSWERED.value,
        status=answer.status,
        body=answer.body,
        content_type=dict(answer.headers).get("content-type", ""),
    )


def _progress_ms(kind: Kind) -> int:
    """Return the progress timeout; 0 for work that could not be sent again."""
    if not kind.repeatable:
        return 0
    # A timeout at the deadline would leave no time for the retry.
    return min(kind.progress_ms, max(1, kind.timeout_ms // 2))


def _failure_of(exc: CurlError, deadline: float) -> tuple[Finish, Failure]:
    if not exc.sent:
        return Finish.FAILED, Failure.CONNECTION_FAILED
    if time.monotonic() >= deadline - ROUTE_RETRY_SECONDS:
        return Finish.OVERLOADED, Failure.DEADLINE_PASSED
    failure = CURL_FAILURES.get(exc.code, Failure.CONNECTION_LOST)
    finish = Finish.OVERLOADED if failure is Failure.PROGRESS_TIMEOUT else Finish.FAILED
    return finish, failure
