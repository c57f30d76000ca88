"""Forwards callers' requests to endpoints and returns the responses.

Invariants: a request that is not idempotent is retried only if the endpoint reported
that it did not run it, or if no byte of it was sent; status 503 is returned only for
requests that have not run and will not run; a response is forwarded only if it is
complete and, if its status is 2xx, signed.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable

import xxhash

from arbutusflow.gateway import evacuations
from arbutusflow.gateway.callers.messages import CallerRequest, CallerResponse
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.crash_strikes import CrashStrikes
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_demand import KeyDemand
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.lifecycle import Lifecycle, Phase
from arbutusflow.gateway.load.admission import MIN_RETRY_AFTER_SECONDS, Admission
from arbutusflow.gateway.load.endpoint_load import (
    CHECK_SECONDS,
    EndpointState,
    EndpointTable,
)
from arbutusflow.gateway.load.retry_budget import RetryBudget
from arbutusflow.gateway.model import (
    Configuration,
    EndpointProcess,
    ExchangeError,
    HttpResponse,
    Repeatability,
    Route,
    Service,
)
from arbutusflow.gateway.response_times import LongestResponseTimes
from arbutusflow.gateway.routing import RouteTable, WeightedRoundRobin
from arbutusflow.platform import wire

# Extra wait for the response that the endpoint sends at the deadline.
DEADLINE_GRACE_SECONDS = 0.1
# Maximum wait for a key whose owner changes; a release takes as long as one request.
KEY_WAIT_SECONDS = 0.4
KEY_POLL_INTERVAL_SECONDS = 0.02
MIN_ATTEMPT_SECONDS = 0.02  # No endpoint can respond in less time.
# Requests with bodies of at least this size prefer endpoints in their own availability
# zone, while the expected response time there is well within the latency objective:
# traffic between availability zones is charged.
LARGE_BODY_BYTES = 8192
LOCAL_OBJECTIVE_FRACTION = 0.6
# Sends allowed beyond the route's maximum number of attempts, because an endpoint may
# refuse a request without running it.
EXTRA_SENDS = 1
# Delay before probing an endpoint whose connection broke; by then a process that has
# exited refuses connections.
CRASH_CHECK_DELAY_SECONDS = 0.05
# An exchange that broke longer before its endpoint was found gone was not broken by the
# crash.
CRASH_EVIDENCE_SECONDS = 1.5

_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Statuses by which callers learn that a request has not run and will not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_REPLACED_HEADERS = frozenset({wire.DEADLINE, wire.EXPECTED_ENDPOINT})


def _is_refusal(response: HttpResponse) -> bool:
    """Return whether the endpoint says that it has not run the request.

    A signature shows that it has run, whatever else the response says.
    """
    if response.header(wire.SIGNATURE) is not None:
        return False
    return response.header(wire.NOT_RUN) is not None or response.status == 421


class RequestError(Exception):
    """The gateway itself responds to the request with an error."""

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


@dataclasses.dataclass(slots=True, eq=False)
class _RequestContext:
    """A request being served, with its route, deadline and history of attempts."""

    req: CallerRequest
    route: Route
    service: Service
    request_id: bytes
    key: int | None
    digest: bytes
    read_at: float  # When the request was complete.
    deadline: float  # Earlier of the caller's deadline and the route's timeout.
    # The caller's deadline, or `deadline` if it gave none. Bounds its own retries too.
    caller_deadline: float
    sends: int = 0  # How often the request was sent to an endpoint.
    may_have_run: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)
    # Until when it waits for an owner that could not be reached; 0 before.
    probed_until: float = 0.0
    # What was learned of the endpoint of the latest send, as the choice used it.
    learned: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def response_deadline(self) -> float:
        """Until when a response is waited for; the endpoint stops at `deadline`."""
        return self.deadline + DEADLINE_GRACE_SECONDS

    @property
    def idempotent(self) -> bool:
        return self.route.repeatability is Repeatability.IDEMPOTENT


class Dispatcher:
    """Routes callers' requests according to the current configuration."""

    def __init__(
        self,
        endpoints: EndpointTable,
        pool: ConnectionPool,
        leases: KeyLeases,
        admission: Admission,
        retry_budget: RetryBudget,
        demand: KeyDemand,
        crash_strikes: CrashStrikes,
        log: EventLog,
        lifecycle: Lifecycle,
        instance_count: Callable[[], int],
        tries_suspect: Callable[[bytes], bool],
        on_strike: Callable[[bytes, EndpointProcess], None],
        on_cleared: Callable[[bytes], None],
        on_leaving: Callable[[EndpointProcess], None],
        count_outcome: Callable[[str], None],
        observe_latency: Callable[[float], None],
    ) -> None:
        self._endpoints = endpoints
        self._pool = pool
        self._leases = leases
        self._admission = admission
        self._retry_budget = retry_budget
        self._demand = demand
        self._crash_strikes = crash_strikes
        self._log = log
        self._lifecycle = lifecycle
        self._response_times = LongestResponseTimes()
        self._instance_count = instance_count
        self._tries_suspect = tries_suspect
        self._on_strike = on_strike
        self._on_cleared = on_cleared
        self._on_leaving = on_leaving
        self._count_outcome = count_outcome
        self._observe_latency = observe_latency
        self._loop = asyncio.get_running_loop()
        self._service_selector = WeightedRoundRobin()
        self._routes: RouteTable | None = None
        self._cfg: Configuration | None = None
        # By process of an endpoint: when an exchange broke, and the request's digest.
        self._broken_exchanges: dict[EndpointProcess, list[tuple[float, bytes]]] = {}
        self._crash_checks: set[asyncio.Task[None]] = set()

    def apply_configuration(self, cfg: Configuration) -> None:
        """Replace the current configuration."""
        self._cfg = cfg
        self._routes = RouteTable(cfg)
        self._service_selector.keep(cfg.routes)

    async def handle(self, req: CallerRequest) -> CallerResponse:
        """Serve one request."""
        request_id = req.header(wire.REQUEST_ID) or b""
        ctx: _RequestContext | None = None
        try:
            ctx = self._parse_request(req, request_id)
            reply = await self._serve(ctx)
            self._count_outcome("answered")
        except RequestError as exc:
            reply = self._error_reply(req, request_id, exc)
        except asyncio.CancelledError:
            if self._lifecycle.phase < Phase.ENDING:
                raise
            # This instance ends before the request does.
            status = 502 if ctx is not None and ctx.may_have_run else 503
            wait = None if status == 502 else MIN_RETRY_AFTER_SECONDS
            error = RequestError(status, "instance_ends", wait)
            reply = self._error_reply(req, request_id, error)
        self._observe_latency(self._loop.time() - req.received_at)
        return reply

    def _error_reply(
        self, req: CallerRequest, request_id: bytes, exc: RequestError
    ) -> CallerResponse:
        self._count_outcome(exc.reason)
        self._log.write_rate_limited(
            "request_refused",
            request_id=request_id.decode("latin-1"),
            status=exc.status,
            reason=exc.reason,
            retry_after=exc.retry_after,
            held_seconds=round(self._loop.time() - req.received_at, 4),
            configuration=self._cfg.version if self._cfg else None,
        )
        headers: list[tuple[bytes, bytes]] = []
        if request_id:
            headers.append((wire.REQUEST_ID, request_id))
        if exc.retry_after is not None:
            headers.append((b"Retry-After", b"%.2f" % exc.retry_after))
        return CallerResponse(exc.status, tuple(headers), exc.reason.encode() + b"\n")

    # Validation and routing.

    def _parse_request(self, req: CallerRequest, request_id: bytes) -> _RequestContext:
        if self._cfg is None or self._routes is None:
            raise RequestError(503, "no_configuration", 0.5)
        if req.count(b"host") != 1 or not req.target.startswith(b"/"):
            raise RequestError(400, "bad_target")
        if not request_id or req.count(wire.REQUEST_ID) != 1:
            raise RequestError(400, "no_request_id")
        host = (req.header(b"host") or b"").decode("latin-1").lower()
        path = req.target.split(b"?", 1)[0].decode("latin-1")
        route = self._routes.match(host, path) or self._routes.match(
            host.rpartition(":")[0], path
        )
        if route is None:
            raise RequestError(404, "no_route")
        return self._make_context(req, request_id, route)

    def _make_context(
        self, req: CallerRequest, request_id: bytes, route: Route
    ) -> _RequestContext:
        assert self._cfg is not None
        deadline_header = req.header(wire.DEADLINE)
        caller_timeout = (
            wire.parse_deadline(deadline_header)
            if deadline_header is not None
            else None
        )
        if deadline_header is not None and caller_timeout is None:
            raise RequestError(400, "bad_deadline")
        service = self._cfg.services.get(self._service_selector.choose(route))
        if service is None:
            raise RequestError(503, "unknown_service", 1.0)
        timeout = route.timeout_seconds
        if caller_timeout is not None:
            timeout = min(timeout, caller_timeout)
        key = wire.parse_key(req.header(wire.KEY)) if service.partitioned else None
        if service.partitioned and key is None:
            raise RequestError(400, "no_key")
        digest = xxhash.xxh3_128(req.method + b" " + req.target + b"\0")
        digest.update(req.body)  # In place, because a body may be large.
        return _RequestContext(
            req=req,
            route=route,
            service=service,
            request_id=request_id,
            key=key,
            digest=digest.digest(),
            read_at=self._loop.time(),
            deadline=req.received_at + timeout,
            caller_deadline=req.received_at
            + (timeout if caller_timeout is None else caller_timeout),
        )

    # Attempts.

    async def _serve(self, ctx: _RequestContext) -> CallerResponse:
        now = self._loop.time()
        self._retry_budget.count_request(ctx.service.name, now)
        if ctx.key is not None:
            self._demand.count(ctx.service.name, ctx.key)
        if self._crash_strikes.refuses(ctx.digest, now, self._tries_suspect):
            raise RequestError(502, "crashes_endpoints")
        while True:
            state = await self._choose_endpoint(ctx)
            outcome = await self._send(ctx, state)
            if outcome is not None:
                return outcome
            self._check_retry_allowed(ctx)

    def _check_retry_allowed(self, ctx: _RequestContext) -> None:
        """Raise RequestError if the request may not be retried."""
        now = self._loop.time()
        service = ctx.service.name
        remaining = ctx.deadline - now
        if self._attempts_exhausted(ctx):
            reason = "attempts_used"
        elif remaining < MIN_ATTEMPT_SECONDS:
            reason = "no_time_left"
        elif ctx.sends and not self._retry_budget.allows(
            service, self._instance_count(), now
        ):
            reason = "retry_budget"
        else:
            return
        raise self._final_error(ctx, reason)

    def _attempts_exhausted(self, ctx: _RequestContext) -> bool:
        """Return whether the route's maximum number of attempts is reached.

        For a request with a key, only the number of sends is limited, because the key's
        owner may refuse the first one while its grant is still being applied.
        """
        return (
            len(ctx.tried) >= ctx.route.max_attempts and ctx.key is None
        ) or ctx.sends >= ctx.route.max_attempts + EXTRA_SENDS

    def _final_error(self, ctx: _RequestContext, reason: str) -> RequestError:
        """Return the error for a request that is not sent again."""
        if ctx.may_have_run:
            return RequestError(502, reason)
        now = self._loop.time()
        owner = None
        if ctx.key is not None:
            name = self._leases.endpoint_for(ctx.service.name, ctx.key, now)
            owner = self._endpoints.states.get(name or "")
        retry_after = self._admission.retry_after(
            ctx.service.name, owner, ctx.caller_deadline - now, now
        )
        return RequestError(503, reason, retry_after)

    async def _choose_endpoint(self, ctx: _RequestContext) -> EndpointState:
        self._check_stop(ctx)
        if ctx.key is not None:
            state = await self._wait_for_owner(ctx)
            self._check_stop(ctx)
        else:
            await self._wait_for_check(ctx)
            state = self._choose_by_cost(ctx)
        refusal = self._refusal(ctx, state)
        if refusal is not None and ctx.key is None:
            # Another endpoint may have room that was not among the few compared.
            state = self._choose_by_cost(ctx, compare_all=True)
            refusal = self._refusal(ctx, state)
        if refusal is not None:
            raise self._final_error(ctx, refusal)
        return state

    def _refusal(self, ctx: _RequestContext, state: EndpointState) -> str | None:
        """Return why the request must not be sent to the endpoint now, if so."""
        now = self._loop.time()
        return self._admission.check(
            state, ctx.route, ctx.deadline - now, now - ctx.req.received_at, now
        )

    def _check_stop(self, ctx: _RequestContext) -> None:
        """Raise RequestError if this instance may end before the request does."""
        if not self._lifecycle.stopping:
            return
        now = self._loop.time()
        longest = self._response_times.longest(ctx.service.name, now)
        until = ctx.response_deadline
        if not self._lifecycle.admits(longest, ctx.read_at, until, now):
            raise self._final_error(ctx, "instance_stops")

    def _choose_by_cost(
        self, ctx: _RequestContext, *, compare_all: bool = False
    ) -> EndpointState:
        now = self._loop.time()
        local_seconds = 0.0
        if len(ctx.req.body) >= LARGE_BODY_BYTES:
            local_seconds = LOCAL_OBJECTIVE_FRACTION * ctx.route.objective_seconds
        name = ctx.service.name
        state = None
        for excluded in (ctx.tried, set()):
            state = state or self._endpoints.choose(
                name, excluded, now, local_seconds, compare_all=compare_all
            )
        if state is None:
            states = self._endpoints.for_service(name)
            if any(self._endpoints.rejects_service(s, now) for s in states):
                raise self._evacuation_error(ctx)
            cold = [
                s
                for s in states
                if s.leaving_since is None
                and not s.replaced
                and self._endpoints.is_closed_by_limit(s, now)
            ]
            if cold:
                raise self._cold_error(ctx, cold)
            if any(s.wait_seconds(now) for s in states):
                reason = "endpoints_asked_to_wait"
            elif any(s.leaving_since is not None for s in states):
                reason = "endpoints_leaving"
            else:
                reason = "no_endpoint"
            raise self._final_error(ctx, reason)
        return state

    def _cold_error(
        self, ctx: _RequestContext, states: list[EndpointState]
    ) -> RequestError:
        """Return the error for a request that only these cold endpoints can serve."""
        now = self._loop.time()
        error = self._final_error(ctx, "endpoint_cold")
        if error.retry_after is not None:
            warm_in = min(state.cold_until for state in states) - now
            wait = min(warm_in, (ctx.caller_deadline - now) / 3)
            error.retry_after = max(MIN_RETRY_AFTER_SECONDS, wait)
        return error

    def _evacuation_error(self, ctx: _RequestContext) -> RequestError:
        """Return the error for a service that is only in evacuated zones."""
        error = self._final_error(ctx, "zone_evacuated")
        if error.retry_after is not None:
            remaining = ctx.caller_deadline - self._loop.time()
            error.retry_after = evacuations.retry_after(remaining)
        return error

    async def _wait_for_check(self, ctx: _RequestContext) -> None:
        """Wait for the check of an endpoint if no other one can be chosen."""
        until = min(
            self._loop.time() + CHECK_SECONDS, ctx.deadline - MIN_ATTEMPT_SECONDS
        )
        while True:
            now = self._loop.time()
            pending = self._endpoints.pending_check(ctx.service.name, now)
            if pending is None or now >= until:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await pending.wait()
            self._check_stop(ctx)

    async def _wait_for_owner(self, ctx: _RequestContext) -> EndpointState:
        """Return the endpoint that owns the key, waiting for an ownership change."""
        assert ctx.key is not None
        until = min(
            self._loop.time() + KEY_WAIT_SECONDS, ctx.deadline - MIN_ATTEMPT_SECONDS
        )
        while True:
            owner = self._leases.endpoint_for(
                ctx.service.name, ctx.key, self._loop.time()
            )
            if owner is not None:
                state = self._endpoints.states.get(owner)
                now = self._loop.time()
                if state is not None and self._endpoints.rejects_service(state, now):
                    raise self._evacuation_error(ctx)
                if state is not None and await self._waits_for_probe(ctx, state, until):
                    continue
                wait = 0.0 if state is None else state.wait_seconds(now)
                if wait and now + wait >= until:
                    raise self._final_error(ctx, "owner_asked_to_wait")
                if wait:
                    await asyncio.sleep(min(wait, KEY_POLL_INTERVAL_SECONDS))
                    continue
                if state is not None and self._endpoints.may_serve_keys(state, now):
                    if not self._endpoints.may_send(state, now):
                        raise self._cold_error(ctx, [state])
                    return state
            else:
                self._check_unowned(ctx, until)
            if self._loop.time() >= until:
                leaving = owner in self._endpoints.states
                reason = "owner_leaving" if leaving else "key_without_owner"
                raise self._final_error(ctx, reason)
            await asyncio.sleep(KEY_POLL_INTERVAL_SECONDS)

    async def _waits_for_probe(
        self, ctx: _RequestContext, state: EndpointState, until: float
    ) -> bool:
        """Wait a moment if no request may try an owner that could not be reached.

        Raises RequestError if the request has waited for too long.
        """
        now = self._loop.time()
        probes = state.owner_probes
        wait = probes.wait_seconds(now)
        if not wait and not state.replaced:
            return False
        ctx.probed_until = ctx.probed_until or until
        if (
            state.replaced
            or not probes.may_wait(now)
            or now + min(wait, KEY_POLL_INTERVAL_SECONDS) >= ctx.probed_until
        ):
            raise self._final_error(ctx, "owner_unreachable")
        await asyncio.sleep(min(wait, KEY_POLL_INTERVAL_SECONDS))
        return True

    def _check_unowned(self, ctx: _RequestContext, until: float) -> None:
        """Raise RequestError if the key certainly gets no owner before `until`."""
        assert ctx.key is not None
        now = self._loop.time()
        unowned = self._leases.unowned_seconds(ctx.service.name, ctx.key, now)
        if not unowned or now + unowned < until:
            return
        error = self._final_error(ctx, "key_without_owner")
        if error.retry_after is not None:
            # Callers wait for a third of the time that they have left, at most.
            wait = min(unowned, (ctx.caller_deadline - now) / 3)
            error.retry_after = max(error.retry_after, wait)
        raise error

    async def _send(
        self, ctx: _RequestContext, state: EndpointState
    ) -> CallerResponse | None:
        """Send the request once; return None if it may be retried."""
        endpoint = state.endpoint
        now = self._loop.time()
        remaining = ctx.deadline - now
        if remaining < MIN_ATTEMPT_SECONDS:
            raise self._final_error(ctx, "no_time_left")
        ahead = state.own_in_flight + state.other_in_flight(now)
        ctx.learned = state.learned_fields(now)
        state.own_in_flight += 1
        was_tried = endpoint.id in ctx.tried
        ctx.tried.add(endpoint.id)
        state.owner_probes.begin(now)
        try:
            async with self._pool.connection(
                endpoint.address,
                at_most_once=not ctx.idempotent,
                timeout=remaining,
                request_id=ctx.request_id,
            ) as conn:
                state.owner_probes.succeed()
                now = self._loop.time()
                if (
                    now < state.wait_until
                    or state.pending_check
                    or self._endpoints.is_closed(state, now)
                    or not self._endpoints.may_send(state, now)
                ):
                    # It asked to wait while the connection was being opened, may have
                    # said that it leaves, its zone is evacuated, or it is cold and has
                    # got a request.
                    if not was_tried:
                        ctx.tried.discard(endpoint.id)
                    return None
                if ctx.sends:
                    self._retry_budget.count_retry(ctx.service.name, self._loop.time())
                ctx.sends += 1
                ctx.req.cancellable, ctx.req.passed_on = ctx.idempotent, True
                started = self._loop.time()
                # Nothing is awaited between the check and the first bytes sent.
                self._endpoints.note_send(state, now)
                number = self._response_times.begin(endpoint.service, started)
                has_run = False
                try:
                    response = await conn.exchange(
                        self._request_head(ctx, state),
                        ctx.req.body,
                        ctx.response_deadline - started,
                        ctx.request_id,
                        ctx.req.method == b"HEAD",
                    )
                    has_run = not _is_refusal(response)
                except asyncio.CancelledError:
                    if conn.completed is None or self._lifecycle.phase < Phase.ENDING:
                        ctx.may_have_run = True
                        raise
                    # It arrived just before this instance gives final answers.
                    response = conn.completed
                finally:
                    self._response_times.end(
                        endpoint.service, number, self._loop.time(), has_run=has_run
                    )
        except ExchangeError as exc:
            self._handle_exchange_error(ctx, state, exc)
            return None
        finally:
            state.own_in_flight -= 1
        now = self._loop.time()
        self._record_response(state, response, now - started, ahead, now)
        if now - ctx.req.received_at > ctx.route.objective_seconds:
            self._log_late_response(ctx, state, now - started, ahead)
        return self._reply_or_retry(ctx, state, response)

    def _request_head(self, ctx: _RequestContext, state: EndpointState) -> bytes:
        req = ctx.req
        dropped = {
            name.strip().lower()
            for name in (req.header(b"connection") or b"").split(b",")
        }
        lines = [b"%b %b HTTP/1.1" % (req.method, req.target)]
        for name, value in req.headers:
            if (
                name in _HOP_BY_HOP_HEADERS
                or name in _REPLACED_HEADERS
                or name in dropped
            ):
                continue
            lines.append(name + b": " + value)
        remaining = ctx.deadline - self._loop.time()
        lines.append(wire.DEADLINE + b": " + wire.format_deadline(remaining))
        lines.append(wire.EXPECTED_ENDPOINT + b": " + state.endpoint.id.encode())
        if req.body or req.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"content-length: %d" % len(req.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Outcomes.

    def _record_response(
        self,
        state: EndpointState,
        response: HttpResponse,
        seconds: float,
        ahead: int,
        now: float,
    ) -> None:
        header = response.header(wire.ENDPOINT_LOAD)
        load = wire.ReportedLoad.parse(header)
        if header is not None and load is None:
            self._log.write_rate_limited(
                "load_report_malformed", endpoint=state.endpoint.id, header=repr(header)
            )
        if load is not None:
            state.record_load_report(load.running, load.waiting, now)
        refused = _is_refusal(response)
        if not refused:
            state.record_response(seconds, ahead, now)
            # The load in the answer is later than the one known at the send.
            at_endpoint = ahead if load is None else load.running + load.waiting
            slowdown = 1.0 if load is None else load.slowdown
            self._endpoints.count_answer(state, seconds, at_endpoint + 1, slowdown, now)
        elif response.status == 503:
            reported = 0 if load is None else load.running + load.waiting
            state.record_shed(max(ahead, reported), now)
        responder = response.header(wire.ENDPOINT_ID)
        if response.status == 421 and responder not in (
            None,
            state.endpoint.id.encode(),
        ):
            # Further requests to this address would reach another service's endpoint.
            state.mark_replaced()
            self._log.write(
                "endpoint_replaced", endpoint=state.endpoint.id, by=repr(responder)
            )
        else:
            self._record_statements(state, response, now)
        if response.status != 421:
            state.record_outcome(refused or response.status in (500, 502))

    def _record_statements(
        self, state: EndpointState, response: HttpResponse, now: float
    ) -> None:
        """Use what an endpoint says of itself: that it leaves, or wants no requests."""
        if wire.parse_leaving(response.header(wire.LEAVING)):
            self._on_leaving(state.endpoint.process)
        if response.status != 503:
            return
        wait = wire.parse_wait(response.header(wire.RETRY_AFTER), time.time())
        if wait:
            wait += self._endpoints.wait_spread(wait)
            self._endpoints.record_wait(state, wait, now)
            self._log.write_rate_limited(
                "endpoint_asks_to_wait",
                endpoint=state.endpoint.id,
                seconds=round(wait, 3),
            )

    def _reply_or_retry(
        self, ctx: _RequestContext, state: EndpointState, response: HttpResponse
    ) -> CallerResponse | None:
        """Return the reply to the caller, or None if the request may be retried."""
        if _is_refusal(response):
            self._log_failed_attempt(ctx, state, f"not_run_{response.status}")
            if response.status == 421 and ctx.key is not None:
                self._leases.mark_not_held(ctx.service.name, ctx.key)
            if response.status == 400:
                raise RequestError(400, "endpoint_rejected")
            return None
        signed = response.header(wire.SIGNATURE) is not None
        if 200 <= response.status < 300 and not signed:
            ctx.may_have_run = True
            self._log_failed_attempt(ctx, state, "unsigned_answer")
            self._fail_unless_idempotent(ctx, "unsigned_answer")
            return None
        if response.status in _NOT_RUN_STATUSES and not ctx.idempotent:
            # The endpoint does not say that it did not run the request.
            self._log_failed_attempt(ctx, state, f"unmarked_{response.status}")
            raise RequestError(502, "unmarked_rejection")
        if response.status >= 500 and ctx.idempotent and self._may_retry(ctx):
            ctx.may_have_run = True
            self._log_failed_attempt(ctx, state, f"failed_{response.status}")
            return None
        if signed and self._crash_strikes.clear(ctx.digest):
            self._on_cleared(ctx.digest)
        return CallerResponse(
            response.status,
            tuple(
                (name, value)
                for name, value in response.headers
                if name.lower() not in _HOP_BY_HOP_HEADERS
            ),
            response.body,
            response.reason,
            response.header(b"content-length"),
        )

    def _handle_exchange_error(
        self, ctx: _RequestContext, state: EndpointState, exc: ExchangeError
    ) -> None:
        now = self._loop.time()
        self._log_failed_attempt(ctx, state, exc.detail)
        if exc.local:
            raise self._final_error(ctx, "no_descriptors")
        state.record_outcome(True)
        if not exc.sent:
            state.mark_unreachable(now)
            self._strike_recent_requests(state.endpoint.process, now)
            return
        ctx.may_have_run = True
        if now >= ctx.deadline:
            raise RequestError(504, "no_answer_in_time")
        self._broken_exchanges.setdefault(state.endpoint.process, []).append(
            (now, ctx.digest)
        )
        self._pool.close_idle(state.endpoint.address)
        check = self._loop.create_task(self._check_for_crash(state))
        self._crash_checks.add(check)
        check.add_done_callback(self._crash_checks.discard)
        self._fail_unless_idempotent(ctx, "connection_broken")

    async def _check_for_crash(self, state: EndpointState) -> None:
        """Check whether an endpoint crashed while it was running a request."""
        await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS)
        try:
            async with self._pool.connection(
                state.endpoint.address, at_most_once=False, timeout=1.0
            ):
                state.owner_probes.succeed()
                self._broken_exchanges.pop(state.endpoint.process, None)
        except ExchangeError as exc:
            if exc.local:
                return
            now = self._loop.time()
            state.mark_unreachable(now)
            self._strike_recent_requests(state.endpoint.process, now)

    def _strike_recent_requests(self, process: EndpointProcess, now: float) -> None:
        for since, digest in self._broken_exchanges.pop(process, ()):
            if now - since < CRASH_EVIDENCE_SECONDS and self._crash_strikes.add(
                digest, process, now
            ):
                self._on_strike(digest, process)

    def _may_retry(self, ctx: _RequestContext) -> bool:
        now = self._loop.time()
        return (
            not self._attempts_exhausted(ctx)
            and ctx.deadline - now >= MIN_ATTEMPT_SECONDS
            and self._retry_budget.allows(ctx.service.name, self._instance_count(), now)
        )

    def _fail_unless_idempotent(self, ctx: _RequestContext, reason: str) -> None:
        if not ctx.idempotent:
            raise RequestError(502, reason)

    def _log_late_response(
        self, ctx: _RequestContext, state: EndpointState, seconds: float, ahead: int
    ) -> None:
        """Log the time spent on a response that missed its latency objective."""
        self._log.write_rate_limited(
            "answer_late",
            request_id=ctx.request_id.decode("latin-1"),
            endpoint=state.endpoint.id,
            service=ctx.service.name,
            sends=ctx.sends,
            ahead=ahead,
            held_seconds=round(self._loop.time() - ctx.req.received_at, 4),
            endpoint_seconds=round(seconds, 4),
            expected_seconds=round(state.service_seconds, 4),
            objective_seconds=ctx.route.objective_seconds,
            **ctx.learned,
        )

    def _log_failed_attempt(
        self, ctx: _RequestContext, state: EndpointState, outcome: str
    ) -> None:
        self._count_outcome("attempt_failed")
        self._log.write_rate_limited(
            "attempt_failed",
            request_id=ctx.request_id.decode("latin-1"),
            endpoint=state.endpoint.id,
            service=ctx.service.name,
            sends=ctx.sends,
            in_flight=state.own_in_flight,
            others=state.other_in_flight(self._loop.time()),
            left_seconds=round(ctx.deadline - self._loop.time(), 4),
            outcome=outcome,
        )
