"""Brings a caller's request to an endpoint and the answer back.

Invariants: work that may run only once is sent again only if the endpoint said that
it did not run it, or nothing of it was sent; 503 is answered only for work that has
not run and will not; an answer is passed on only whole and signed.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import xxhash

from arbutusflow.domain.crash_guard import MAX_STRIKES, CrashGuard
from arbutusflow.gateway.admission import Admission
from arbutusflow.gateway.caller_server import CallerRequest, Reply
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.endpoint_load import EndpointState, EndpointTable
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_demand import KeyDemand
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.model import (
    Answer,
    Configuration,
    ExchangeError,
    Repeatability,
    Route,
    Service,
)
from arbutusflow.gateway.retry_budget import RetryBudget
from arbutusflow.gateway.routing import RouteTable, WeightedChoice
from arbutusflow.platform import wire

# An answer has to reach the caller before its deadline.
ANSWER_MARGIN_SECONDS = 0.015
# How long the endpoint's own answer at the deadline may take to arrive here, when
# the operator's timeout ends the request before the caller's deadline.
TIMEOUT_GRACE_SECONDS = 0.1
KEY_WAIT_SECONDS = 0.4  # For a key whose owner changes; a release takes one request.
KEY_POLL_SECONDS = 0.02
MIN_SEND_SECONDS = 0.02  # With less time left no endpoint can answer.
# Bodies from this size on stay in their zone while that keeps them well within their
# objective: bytes between zones are priced.
LARGE_BODY_BYTES = 8192
LOCAL_OBJECTIVE_FRACTION = 0.6
REFUSED_SENDS = 1  # Beyond the attempts of the route.
CRASH_CHECK_SECONDS = 0.05  # A process that ended refuses connections by then.

_CONNECTION_HEADERS = frozenset(
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
_OWN_HEADERS = frozenset({wire.DEADLINE, wire.EXPECTED_ENDPOINT})


class RequestError(Exception):
    """The request is answered with an error of our own."""

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


@dataclasses.dataclass(slots=True, eq=False)
class _Work:
    """A request on its way."""

    req: CallerRequest
    route: Route
    service: Service
    request_id: bytes
    key: int | None
    digest: bytes
    end: float  # When the caller or the operator no longer waits.
    caller_bound: bool  # Whether `end` is the caller's deadline.
    caller_end: float  # When the caller no longer waits for this attempt or others.
    sends: int = 0
    may_have_run: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def idempotent(self) -> bool:
        return self.route.repeatability is Repeatability.IDEMPOTENT


class Dispatcher:
    """Handles the requests of callers by the configuration in force."""

    def __init__(
        self,
        endpoints: EndpointTable,
        pool: ConnectionPool,
        leases: KeyLeases,
        admission: Admission,
        budget: RetryBudget,
        demand: KeyDemand,
        guard: CrashGuard,
        log: EventLog,
        instances: Callable[[], int],
        on_strike: Callable[[bytes], None],
        count: Callable[[str], None],
        observe: Callable[[float], None],
    ) -> None:
        self._endpoints = endpoints
        self._pool = pool
        self._leases = leases
        self._admission = admission
        self._budget = budget
        self._demand = demand
        self._guard = guard
        self._log = log
        self._instances = instances
        self._on_strike = on_strike
        self._count = count
        self._observe = observe
        self._loop = asyncio.get_running_loop()
        self._choice = WeightedChoice()
        self._routes: RouteTable | None = None
        self._cfg: Configuration | None = None
        self._breaks: dict[str, list[tuple[float, bytes]]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def use(self, cfg: Configuration) -> None:
        """Put a configuration into force."""
        self._cfg = cfg
        self._routes = RouteTable(cfg)

    async def handle(self, req: CallerRequest) -> Reply:
        """Answer one request."""
        request_id = req.header(wire.REQUEST_ID) or b""
        try:
            work = self._accept(req, request_id)
            reply = await self._serve(work)
            self._count("answered")
        except RequestError as exc:
            reply = self._refuse(req, request_id, exc)
        self._observe(self._loop.time() - req.arrived)
        return reply

    def _refuse(
        self, req: CallerRequest, request_id: bytes, exc: RequestError
    ) -> Reply:
        self._count(exc.reason)
        self._log.write_rate_limited(
            "request_refused",
            request_id=request_id.decode("latin-1"),
            status=exc.status,
            reason=exc.reason,
            retry_after=exc.retry_after,
            held_seconds=round(self._loop.time() - req.arrived, 4),
            configuration=self._cfg.version if self._cfg else None,
        )
        headers: list[tuple[bytes, bytes]] = []
        if request_id:
            headers.append((wire.REQUEST_ID, request_id))
        if exc.retry_after is not None:
            headers.append((b"Retry-After", b"%.2f" % exc.retry_after))
        return Reply(exc.status, tuple(headers), exc.reason.encode() + b"\n")

    # Acceptance.

    def _accept(self, req: CallerRequest, request_id: bytes) -> _Work:
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
        return self._make_work(req, request_id, route)

    def _make_work(self, req: CallerRequest, request_id: bytes, route: Route) -> _Work:
        assert self._cfg is not None
        text = req.header(wire.DEADLINE)
        deadline = wire.parse_deadline(text) if text is not None else None
        if text is not None and deadline is None:
            raise RequestError(400, "bad_deadline")
        service = self._cfg.services.get(self._choice.choose(route))
        if service is None:
            raise RequestError(503, "unknown_service", 1.0)
        limit = route.timeout_seconds
        caller_bound = deadline is not None and deadline <= limit
        if caller_bound and deadline is not None:
            limit = deadline
        key = wire.parse_key(req.header(wire.KEY)) if service.keyed else None
        if service.keyed and key is None:
            raise RequestError(400, "no_key")
        digest = xxhash.xxh3_128(req.method + b" " + req.target + b"\0" + req.body)
        return _Work(
            req=req,
            route=route,
            service=service,
            request_id=request_id,
            key=key,
            digest=digest.digest(),
            end=req.arrived + limit,
            caller_bound=caller_bound,
            caller_end=req.arrived + (limit if deadline is None else deadline),
        )

    # Serving.

    async def _serve(self, work: _Work) -> Reply:
        now = self._loop.time()
        self._budget.count_request(work.service.name, now)
        if work.key is not None:
            self._demand.count(work.service.name, work.key)
        if self._guard.strikes("", work.digest, now) > MAX_STRIKES:
            raise RequestError(502, "crashes_endpoints")
        while True:
            state = await self._choose(work)
            outcome = await self._send(work, state)
            if outcome is not None:
                return outcome
            self._check_repeat(work)

    def _check_repeat(self, work: _Work) -> None:
        """Raise unless the request may be sent once more."""
        now = self._loop.time()
        service = work.service.name
        left = work.end - now
        if self._attempts_used(work):
            reason = "attempts_used"
        elif left < MIN_SEND_SECONDS:
            reason = "no_time_left"
        elif work.sends and not self._budget.allows(service, self._instances(), now):
            reason = "retry_budget"
        else:
            return
        raise self._given_up(work, reason)

    def _attempts_used(self, work: _Work) -> bool:
        """Return whether no endpoint may be tried any more.

        Sends that an endpoint refused count less: the owner of a key that is just
        being granted may be asked again.
        """
        return (
            len(work.tried) >= work.route.max_attempts and work.key is None
        ) or work.sends >= work.route.max_attempts + REFUSED_SENDS

    def _given_up(self, work: _Work, reason: str) -> RequestError:
        """Return the answer for work that is not sent any more."""
        if work.may_have_run:
            return RequestError(502, reason)
        now = self._loop.time()
        owner = None
        if work.key is not None:
            name = self._leases.holder(work.service.name, work.key, now)
            owner = self._endpoints.states.get(name or "")
        retry_after = self._admission.retry_after(
            work.service.name, owner, work.caller_end - now, now
        )
        return RequestError(503, reason, retry_after)

    async def _choose(self, work: _Work) -> EndpointState:
        if work.key is not None:
            state = await self._owner(work)
        else:
            state = self._any_endpoint(work)
        now = self._loop.time()
        verdict = self._admission.check(
            state, work.route, work.end - now, now - work.req.arrived, now
        )
        if verdict is not None:
            raise self._given_up(work, verdict)
        return state

    def _any_endpoint(self, work: _Work) -> EndpointState:
        now = self._loop.time()
        local = 0.0
        if len(work.req.body) >= LARGE_BODY_BYTES:
            local = LOCAL_OBJECTIVE_FRACTION * work.route.objective_seconds
        name = work.service.name
        state = self._endpoints.choose(name, work.tried, now, local)
        if state is None and work.tried:
            state = self._endpoints.choose(name, set(), now, local)
        if state is None:
            raise self._given_up(work, "no_endpoint")
        return state

    async def _owner(self, work: _Work) -> EndpointState:
        """Return the endpoint that holds the key; wait for a change under way."""
        assert work.key is not None
        until = min(self._loop.time() + KEY_WAIT_SECONDS, work.end - MIN_SEND_SECONDS)
        while True:
            state = self._leases.holder(work.service.name, work.key, self._loop.time())
            if state is not None:
                known = self._endpoints.states.get(state)
                now = self._loop.time()
                if known is not None and now < known.down_until:
                    raise self._given_up(work, "owner_unreachable")
                if known is not None and self._endpoints.may_use(known, now):
                    return known
            if self._loop.time() >= until:
                raise self._given_up(work, "key_without_owner")
            await asyncio.sleep(KEY_POLL_SECONDS)

    async def _send(self, work: _Work, state: EndpointState) -> Reply | None:
        """Send the request; None if it may be sent once more."""
        endpoint = state.endpoint
        now = self._loop.time()
        left = work.end - now
        if left < MIN_SEND_SECONDS:
            raise self._given_up(work, "no_time_left")
        ahead = state.own + state.others(now)
        state.own += 1
        work.tried.add(endpoint.id)
        try:
            async with self._pool.connection(
                endpoint.address, at_most_once=not work.idempotent, timeout=left
            ) as conn:
                if work.sends:
                    self._budget.count_repeat(work.service.name, self._loop.time())
                work.sends += 1
                work.req.cancellable = work.idempotent
                begun = self._loop.time()
                answer = await conn.exchange(
                    self._head(work, state),
                    work.req.body,
                    self._wait_limit(work) - begun,
                    work.request_id,
                    work.req.method == b"HEAD",
                )
        except ExchangeError as exc:
            self._note_broken(work, state, exc)
            return None
        finally:
            state.own -= 1
        now = self._loop.time()
        self._note_answer(state, answer, now - begun, ahead, now)
        if now - work.req.arrived > work.route.objective_seconds:
            self._log_late(work, state, now - begun, ahead)
        return self._judge(work, state, answer)

    def _wait_limit(self, work: _Work) -> float:
        if work.caller_bound:
            return work.end - ANSWER_MARGIN_SECONDS
        return work.end + TIMEOUT_GRACE_SECONDS

    def _head(self, work: _Work, state: EndpointState) -> bytes:
        req = work.req
        dropped = {
            name.strip().lower()
            for name in (req.header(b"connection") or b"").split(b",")
        }
        lines = [b"%b %b HTTP/1.1" % (req.method, req.target)]
        for name, value in req.headers:
            if name in _CONNECTION_HEADERS or name in _OWN_HEADERS or name in dropped:
                continue
            lines.append(name + b": " + value)
        left = work.end - self._loop.time()
        lines.append(wire.DEADLINE + b": " + wire.format_deadline(left))
        lines.append(wire.EXPECTED_ENDPOINT + b": " + state.endpoint.id.encode())
        if req.body or req.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"content-length: %d" % len(req.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Outcomes.

    def _note_answer(
        self,
        state: EndpointState,
        answer: Answer,
        seconds: float,
        ahead: int,
        now: float,
    ) -> None:
        load = wire.ReportedLoad.parse(answer.header(wire.ENDPOINT_LOAD))
        if load is not None:
            state.note_report(load.running, load.waiting, now)
        refused = answer.header(wire.NOT_RUN) is not None or answer.status == 421
        if not refused:
            state.note_answer(seconds, ahead, now)
        elif answer.status == 503:
            state.note_shed(now)
        named = answer.header(wire.ENDPOINT_ID)
        if answer.status == 421 and named not in (None, state.endpoint.id.encode()):
            # Each further request would reach an endpoint of another service.
            state.note_replaced()
            self._log.write(
                "endpoint_replaced", endpoint=state.endpoint.id, by=repr(named)
            )
        if answer.status != 421:
            state.note_outcome(refused or answer.status in (500, 502))

    def _judge(self, work: _Work, state: EndpointState, answer: Answer) -> Reply | None:
        """Return what the caller gets; None if the request may be sent once more."""
        if answer.header(wire.NOT_RUN) is not None or answer.status == 421:
            self._log_attempt(work, state, f"not_run_{answer.status}")
            if answer.status == 421 and work.key is not None:
                self._leases.note_not_held(work.service.name, work.key)
            if answer.status == 400:
                raise RequestError(400, "endpoint_rejected")
            return None
        signed = answer.header(wire.SEAL) is not None
        if 200 <= answer.status < 300 and not signed:
            work.may_have_run = True
            self._log_attempt(work, state, "unsigned_answer")
            self._fail_unless_idempotent(work, "unsigned_answer")
            return None
        if answer.status >= 500 and work.idempotent and self._may_repeat(work):
            work.may_have_run = True
            self._log_attempt(work, state, f"failed_{answer.status}")
            return None
        if 200 <= answer.status < 300:
            self._guard.clear("", work.digest)
        return Reply(
            answer.status,
            tuple(
                (name, value)
                for name, value in answer.headers
                if name.lower() not in _CONNECTION_HEADERS
            ),
            answer.body,
            answer.reason,
            answer.header(b"content-length"),
        )

    def _note_broken(
        self, work: _Work, state: EndpointState, exc: ExchangeError
    ) -> None:
        now = self._loop.time()
        self._log_attempt(work, state, exc.detail)
        state.note_outcome(True)
        if not exc.sent:
            state.note_unreachable(now)
            self._strike_recent(state.endpoint.id, now)
            return
        work.may_have_run = True
        if now >= work.end - ANSWER_MARGIN_SECONDS:
            raise RequestError(504, "no_answer_in_time")
        self._breaks.setdefault(state.endpoint.id, []).append((now, work.digest))
        self._pool.drop(state.endpoint.address)
        check = self._loop.create_task(self._check_alive(state))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        self._fail_unless_idempotent(work, "connection_broken")

    async def _check_alive(self, state: EndpointState) -> None:
        """Find out whether an endpoint ended while it ran a request."""
        await asyncio.sleep(CRASH_CHECK_SECONDS)
        try:
            async with self._pool.connection(
                state.endpoint.address, at_most_once=False, timeout=1.0
            ):
                self._breaks.pop(state.endpoint.id, None)
        except ExchangeError:
            now = self._loop.time()
            state.note_unreachable(now)
            self._strike_recent(state.endpoint.id, now)

    def _strike_recent(self, endpoint: str, now: float) -> None:
        for since, digest in self._breaks.pop(endpoint, ()):
            if now - since < 1.5:
                self._guard.strike({digest: ("", 0)}, now)
                self._on_strike(digest)

    def _may_repeat(self, work: _Work) -> bool:
        now = self._loop.time()
        return (
            not self._attempts_used(work)
            and work.end - now >= MIN_SEND_SECONDS
            and self._budget.allows(work.service.name, self._instances(), now)
        )

    def _fail_unless_idempotent(self, work: _Work, reason: str) -> None:
        if not work.idempotent:
            raise RequestError(502, reason)

    def _log_late(
        self, work: _Work, state: EndpointState, seconds: float, ahead: int
    ) -> None:
        """Log where the time of a late answer went."""
        self._log.write_rate_limited(
            "answer_late",
            request_id=work.request_id.decode("latin-1"),
            endpoint=state.endpoint.id,
            service=work.service.name,
            sends=work.sends,
            ahead=ahead,
            held_seconds=round(self._loop.time() - work.req.arrived, 4),
            endpoint_seconds=round(seconds, 4),
            expected_seconds=round(state.service_seconds, 4),
            objective_seconds=work.route.objective_seconds,
        )

    def _log_attempt(self, work: _Work, state: EndpointState, outcome: str) -> None:
        self._count("attempt_failed")
        self._log.write_rate_limited(
            "attempt_failed",
            request_id=work.request_id.decode("latin-1"),
            endpoint=state.endpoint.id,
            service=work.service.name,
            sends=work.sends,
            in_flight=state.own,
            others=state.others(self._loop.time()),
            left_seconds=round(work.end - self._loop.time(), 4),
            outcome=outcome,
        )
