"""What happens to a request when endpoints fail, refuse or stay silent."""

import asyncio
import contextlib
import random

import pytest

from arbutusflow.domain.crash_guard import CrashGuard
from arbutusflow.gateway.admission import Admission
from arbutusflow.gateway.caller_server import CallerRequest
from arbutusflow.gateway.dispatch import Dispatcher
from arbutusflow.gateway.endpoint_load import EndpointTable
from arbutusflow.gateway.key_demand import KeyDemand
from arbutusflow.gateway.model import (
    Address,
    Answer,
    CallerLimits,
    Configuration,
    Endpoint,
    ExchangeError,
    Repeatability,
    Route,
    Service,
    WeightedService,
)
from arbutusflow.gateway.retry_budget import RetryBudget
from tests.gateway.fakes import FakeLog
from tests.gateway.virtual_time import run

SEAL = (b"Response-Seal", b"s")


def answer(status=200, *headers, body=b"done"):
    return Answer(status, b"", headers, body, reusable=True)


SERVED = answer(200, SEAL)
UNSIGNED = answer(200)
SHED = answer(503, (b"Not-Executed", b"1"))
NOT_HELD = answer(421)
REPLACED = answer(421, (b"Instance-Id", b"other"))
FAILED = answer(500, SEAL)
BROKEN = ExchangeError("reset", sent=True)
UNREACHED = ExchangeError("no connection", sent=False)
SILENT = None


class _Connection:
    heads: list[bytes] = []

    def __init__(self, outcome):
        self.outcome = outcome

    async def exchange(self, head, body, timeout, *_):
        self.heads.append(head.lower())
        await asyncio.sleep(0.01)
        if self.outcome is SILENT:
            await asyncio.sleep(timeout)
            raise ExchangeError("no answer in time", sent=True)
        if isinstance(self.outcome, ExchangeError):
            raise self.outcome
        return self.outcome


class _Pool:
    """Plays outcomes in turn; the last one again and again."""

    last: "_Pool"
    log: FakeLog

    def __init__(self, outcomes, alive=True):
        self.outcomes, self.sent, self.alive = list(outcomes), [], alive
        _Pool.last = self

    @property
    def count(self):
        return len(self.sent)

    @contextlib.asynccontextmanager
    async def connection(self, address, *, at_most_once=False, timeout=1.0):
        if timeout != 1.0:  # The check whether an endpoint lives has one second.
            outcome = (
                self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
            )
            if outcome is UNREACHED:
                raise UNREACHED
            self.sent.append(address.host)
            yield _Connection(outcome)
        elif self.alive:
            yield None
        else:
            raise UNREACHED

    def drop(self, address):
        pass


class _Leases:
    """Keys that have an owner after some time."""

    def __init__(self, owned_after=0.0):
        self.owned_after = owned_after

    def endpoint_for(self, service, key, now):
        return "e0" if now >= 1000.0 + self.owned_after else None

    def mark_not_held(self, service, key):
        self.owned_after += 0.1


def handle(
    *outcomes,
    idempotent=True,
    attempts=2,
    timeout=2.0,
    deadline_ms=b"1500",
    keyed=False,
    owned_after=0.0,
    endpoints=3,
    host=b"h",
    extra=(),
    configured=True,
    times=1,
    alive=True,
    objective=0.5,
):
    """Return the reply, the hosts that were sent to, and the time taken."""

    async def work():
        loop = asyncio.get_running_loop()
        table = EndpointTable("z", drain_seconds=2.0)
        table.update(
            {
                f"e{n}": Endpoint(
                    f"e{n}", "s", Address(f"e{n}", 1), "z", 2, False, 0.0, 1
                )
                for n in range(endpoints)
            },
            loop.time(),
        )
        pool, log = _Pool(outcomes, alive), FakeLog()
        _Pool.log = log
        dispatcher = Dispatcher(
            endpoints=table,
            pool=pool,
            leases=_Leases(owned_after),
            admission=Admission(table, random.Random(1)),
            budget=RetryBudget(0.2, 60.0, 10.0),
            demand=KeyDemand(),
            guard=CrashGuard(),
            log=log,
            instances=lambda: 3,
            on_strike=lambda digest: None,
            count=lambda outcome: None,
            observe=lambda seconds: None,
        )
        route = Route(
            "r",
            "h",
            "/",
            Repeatability.IDEMPOTENT if idempotent else Repeatability.AT_MOST_ONCE,
            (WeightedService("s", 1.0),),
            timeout,
            objective,
            1,
            attempts,
        )
        limits = CallerLimits(1000, 1000, 3.0, 15.0)
        service = Service("s", "/health", 50, keyed)
        if configured:
            dispatcher.use(Configuration(1, (route,), {"s": service}, limits))
        headers = [(b"host", host), (b"request-id", b"a"), *extra]
        if deadline_ms is not None:
            headers.append((b"deadline-ms", deadline_ms))
        if keyed:
            headers.append((b"shard-key", b"7"))
        replies = []
        for _ in range(times):
            started = loop.time()
            req = CallerRequest(b"GET", b"/x", headers, b"", started)
            replies.append(await dispatcher.handle(req))
            seconds = loop.time() - started
            if times > 1:
                await asyncio.sleep(10.0)  # The endpoint is back by then.
        if times > 1:
            return replies
        return replies[0], pool.sent, seconds

    return run(work())


@pytest.mark.parametrize("outcome", [BROKEN, UNSIGNED, SILENT])
def test_work_that_may_have_run_is_not_sent_again_nor_refused(outcome):
    """A second run would charge a fee twice; a 503 would invite one."""
    reply, sent, _ = handle(outcome, SERVED, idempotent=False)
    assert reply.status in (502, 504)
    assert len(sent) == 1


@pytest.mark.parametrize("outcome", [SHED, NOT_HELD, UNREACHED])
def test_work_that_has_not_run_is_sent_to_another_endpoint(outcome):
    reply, sent, _ = handle(outcome, SERVED, idempotent=False)
    assert (reply.status, reply.body) == (200, b"done")
    assert len(set(sent)) == len(sent)


@pytest.mark.parametrize("outcome", [BROKEN, UNSIGNED, FAILED])
def test_idempotent_work_is_sent_again(outcome):
    assert handle(outcome, SERVED)[0].status == 200


def test_a_failure_is_passed_on_as_the_endpoint_gave_it():
    reply, sent, _ = handle(FAILED, idempotent=False)
    assert (reply.status, reply.headers) == (500, (SEAL,))
    assert len(sent) == 1


def test_a_refusal_is_true_and_says_when_to_come_back():
    reply, sent, _ = handle(SHED, idempotent=False)
    assert reply.status == 503
    assert any(name == b"Retry-After" for name, _ in reply.headers)
    assert len(sent) == 2  # The attempts of the route.


def test_idempotent_work_that_may_have_run_is_not_refused_as_not_run():
    assert handle(BROKEN, SHED)[0].status == 502


def test_the_caller_hears_before_its_deadline():
    reply, _, seconds = handle(SILENT, idempotent=False)
    assert reply.status == 504
    assert seconds < 1.5


def test_the_timeout_of_the_route_ends_the_wait():
    """The operator's bound allows half a second more."""
    reply, _, seconds = handle(SILENT, idempotent=False, timeout=0.6)
    assert reply.status == 504
    assert 0.6 <= seconds <= 1.1


def test_a_key_whose_owner_changes_is_waited_for():
    reply, _, seconds = handle(SERVED, keyed=True, owned_after=0.2)
    assert reply.status == 200
    assert seconds < 0.5


def test_a_key_that_the_owner_does_not_hold_yet_is_asked_for_again():
    assert handle(NOT_HELD, SERVED, keyed=True)[0].status == 200


def test_a_key_without_owner_is_refused_while_the_caller_can_come_back():
    reply, sent, seconds = handle(SERVED, keyed=True, owned_after=60.0)
    assert (reply.status, sent) == (503, [])
    assert seconds < 0.5


def test_work_that_cannot_be_served_is_refused_at_once():
    reply, sent, seconds = handle(SERVED, deadline_ms=b"100")
    assert (reply.status, sent, seconds) == (503, [], 0.0)


@pytest.mark.parametrize("deadline_ms", [b"x", b"-5", b"0"])
def test_a_malformed_deadline_is_bad_input(deadline_ms):
    assert handle(SERVED, deadline_ms=deadline_ms)[0].status == 400


def test_an_endpoint_learns_who_is_meant_and_how_much_time_is_left():
    """The address may belong to another endpoint, which must not run the request."""
    _Connection.heads.clear()
    handle(SERVED, extra=((b"expect-instance", b"forged"), (b"te", b"trailers")))
    (head,) = _Connection.heads
    assert head.count(b"expect-instance") == 1
    assert b"expect-instance: e" in head
    assert b"request-id: a\r\n" in head
    assert b"te: trailers" not in head
    left = int(head.split(b"deadline-ms: ")[1].split(b"\r\n")[0])
    assert 0 < left <= 1500


@pytest.mark.parametrize("keyed", [True, False])
def test_an_address_that_another_endpoint_has_is_asked_once(keyed):
    """Three requests for each of a lost owner's keys reached another service."""
    replies = handle(REPLACED, times=5, endpoints=1, keyed=keyed)
    assert [reply.status for reply in replies] == [503] * 5
    assert _Pool.last.count == 1


def test_an_unknown_route_is_not_found():
    assert handle(SERVED, host=b"other")[0].status == 404


def test_an_instance_without_configuration_says_so():
    """A 404 would say that no configuration has the route."""
    assert handle(SERVED, configured=False)[0].status == 503


def test_a_request_that_ends_its_endpoints_is_stopped():
    """It comes again, at any instance, and would end one endpoint after the other."""
    replies = handle(BROKEN, times=6, alive=False, idempotent=False)
    assert [reply.status for reply in replies[:3]] == [502, 502, 502]
    assert _Pool.last.count == 3


@pytest.mark.parametrize("objective, lines", [(0.5, 0), (0.005, 1)])
def test_a_late_answer_leaves_a_line_in_the_log(objective, lines):
    """On-call engineers found no trace of a request that was answered late."""
    handle(SERVED, objective=objective)
    late = [fields for event, fields in _Pool.log.events if event == "answer_late"]
    assert len(late) == lines
    assert all(fields["request_id"] == "a" for fields in late)
