"""Dispatch of requests to endpoints that fail, refuse or do not respond."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from arbutusflow.gateway.callers.messages import CallerRequest
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.crash_strikes import CrashStrikes
from arbutusflow.gateway.dispatch import Dispatcher
from arbutusflow.gateway.key_demand import KeyDemand
from arbutusflow.gateway.lifecycle import Lifecycle, Phase
from arbutusflow.gateway.load.admission import Admission
from arbutusflow.gateway.load.cold_rate import ColdSends
from arbutusflow.gateway.load.endpoint_load import EndpointTable
from arbutusflow.gateway.load.retry_budget import RetryBudget
from arbutusflow.gateway.model import (
    Address,
    CallerLimits,
    Configuration,
    Endpoint,
    EvacuationTimes,
    ExchangeError,
    HttpResponse,
    Repeatability,
    Route,
    Service,
    WeightedService,
)
from tests.gateway.fakes import FakeLog, FakeTransport
from tests.gateway.test_cold_rate import settle
from tests.gateway.virtual_time import run

SIGNATURE_HEADER = (b"Response-Seal", b"s")  # The endpoint signed its response.


def response(status=200, *headers, body=b"done"):
    return HttpResponse(status, b"", headers, body, reusable=True)


OK = response(200, SIGNATURE_HEADER)
UNSIGNED = response(200)
REFUSED = response(503, (b"Not-Executed", b"1"))
KEY_NOT_HELD = response(421)
REPLACED = response(421, (b"Instance-Id", b"other"))
SERVER_ERROR = response(500, SIGNATURE_HEADER)
CONNECTION_RESET = ExchangeError("reset", sent=True)
NOT_CONNECTED = ExchangeError("no connection", sent=False)
NO_DESCRIPTORS = ExchangeError("no descriptors", sent=False, local=True)
NO_RESPONSE = None
ARRIVES_AT_THE_END = object()  # Has arrived when the exchange is cancelled.


def arrives(data):
    """Return an outcome: these bytes arrive, and the connection stays open."""
    return lambda conn, transport: conn.data_received(data)


def ends_early(conn, transport):
    """Outcome: a part of a response, then a reset before all was acknowledged."""
    transport.unsent = 1000
    conn.data_received(
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Seal: s\r\n\r\npart"
    )
    conn.eof_received()
    asyncio.get_running_loop().call_later(
        0.03, conn.connection_lost, ConnectionResetError()
    )


class _FakeConnection:
    heads: list[bytes] = []

    def __init__(self, outcome):
        self.outcome = outcome
        self.completed = None

    async def exchange(self, head, body, timeout, *_):
        self.heads.append(head.lower())
        await asyncio.sleep(0.01)
        if self.outcome is ARRIVES_AT_THE_END:
            self.completed = OK
            await asyncio.sleep(timeout)  # The exchange is cancelled.
        if self.outcome is NO_RESPONSE:
            await asyncio.sleep(timeout)
            raise ExchangeError("no response within the time limit", sent=True)
        if isinstance(self.outcome, ExchangeError):
            raise self.outcome
        if callable(self.outcome):
            conn, transport = ClientConnection(b"request-id"), FakeTransport()
            conn.connection_made(transport)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.outcome, conn, transport)
            return await conn.exchange(head, body, timeout, *_)
        return self.outcome


class _FakePool:
    """Fake pool whose exchanges have the given outcomes; the last one repeats."""

    last: "_FakePool"
    log: FakeLog
    left: list  # Processes that said that they leave.

    def __init__(self, outcomes, alive=True):
        self.outcomes, self.sent, self.alive = list(outcomes), [], alive
        self.request_ids = []
        _FakePool.left = []
        _FakePool.last = self

    @property
    def count(self):
        return len(self.sent)

    @contextlib.asynccontextmanager
    async def connection(
        self, address, *, at_most_once=False, timeout=1.0, request_id=None
    ):
        await asyncio.sleep(0.0001)  # Opening a connection takes time.
        if timeout != 1.0:  # Only `Dispatcher._check_for_crash` uses 1 s.
            outcome = (
                self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
            )
            if outcome in (NOT_CONNECTED, NO_DESCRIPTORS):
                raise outcome
            self.sent.append(address.host)
            self.request_ids.append(request_id)
            yield _FakeConnection(outcome)
        elif self.alive:
            yield None
        else:
            raise NOT_CONNECTED

    def close_idle(self, address):
        pass


class _FakeLeases:
    """Fake leases in which each key gets an owner after a delay."""

    unowned_for = 0.0  # How long a key certainly has no owner, in seconds.

    def __init__(self, owned_after=0.0):
        self.owned_after = owned_after

    def endpoint_for(self, service, key, now):
        return "e0" if now >= 1000.0 + self.owned_after else None

    def unowned_seconds(self, service, key, now):
        return self.unowned_for

    def mark_not_held(self, service, key):
        self.owned_after += 0.1


def handle(
    *outcomes,
    idempotent=True,
    max_attempts=2,
    timeout=2.0,
    deadline_ms=b"1500",
    partitioned=False,
    owned_after=0.0,
    endpoints=3,
    host=b"h",
    extra_headers=(),
    configured=True,
    repetitions=1,
    alive=True,
    objective=0.5,
    unlisted_after=None,
    full=0,
    in_flight=0,
    lifecycle=None,
    cancel_after=None,
    pause=10.0,
    stop_after=None,
    body=b"",
    cold=0,
    sender=False,
    turns_cold_after=None,
    evacuated_after=None,
):
    """Return the reply, the hosts that were sent the request, and the seconds taken.

    With `repetitions` above 1, repeat the request and return only the replies. `full`
    is the number of endpoints without room, and `in_flight` the number of requests that
    other instances have sent to each other one. `cold` is the number of endpoints that
    are cold for 5 s and have a limit, and `sender` whether this instance may send to
    them; all start again cold after `turns_cold_after`.
    """

    async def main():
        loop = asyncio.get_running_loop()
        cold_sends = ColdSends("n", 1.5, 8.0)
        settle(
            cold_sends, {"n"} if sender else {f"n{n}" for n in range(9)}, loop.time()
        )
        table = EndpointTable("z", 2.0, random.Random(1), cold_sends)
        if cold or turns_cold_after:
            table.set_cold_rates({"s": 7.2}, loop.time())
        table.update(
            {
                f"e{n}": Endpoint(
                    f"e{n}",
                    "s",
                    Address(f"e{n}", 1),
                    "z",
                    2,
                    False,
                    5.0 * (n < cold),
                    1,
                )
                for n in range(endpoints)
            },
            loop.time(),
        )
        loads = {f"e{n}": 20 if n < full else in_flight for n in range(endpoints)}
        table.update_peer_report("peer", loads, loop.time())
        if turns_cold_after is not None:
            later = {
                name: dataclasses.replace(s.endpoint, started_ms=2, cold_seconds=5.0)
                for name, s in table.states.items()
            }
            loop.call_later(turns_cold_after, table.update, later, loop.time())
        if unlisted_after is not None:
            loop.call_later(unlisted_after, lambda: table.update({}, loop.time()))
        if evacuated_after is not None:
            times = EvacuationTimes({"z": loop.time() + evacuated_after})
            listed = {name: s.endpoint for name, s in table.states.items()}
            table.update(listed, loop.time(), times)
        pool, log = _FakePool(outcomes, alive), FakeLog()
        _FakePool.log = log
        dispatcher = Dispatcher(
            endpoints=table,
            pool=pool,
            leases=_FakeLeases(owned_after),
            admission=Admission(table, random.Random(1)),
            retry_budget=RetryBudget(0.2, 60.0, 10.0),
            demand=KeyDemand(),
            crash_strikes=CrashStrikes(),
            tries_suspect=lambda digest: False,
            log=log,
            lifecycle=Lifecycle() if lifecycle is None else lifecycle,
            instance_count=lambda: 3,
            on_strike=lambda digest, process: None,
            on_cleared=lambda digest: None,
            on_leaving=_FakePool.left.append,
            count_outcome=lambda outcome: None,
            observe_latency=lambda seconds: None,
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
            max_attempts,
        )
        limits = CallerLimits(1000, 1000, 3.0, 15.0)
        service = Service("s", "/health", 50, partitioned)
        if configured:
            dispatcher.apply_configuration(
                Configuration(1, (route,), {"s": service}, limits)
            )
        headers = [(b"host", host), (b"request-id", b"a"), *extra_headers]
        if deadline_ms is not None:
            headers.append((b"deadline-ms", deadline_ms))
        if partitioned:
            headers.append((b"shard-key", b"7"))
        replies = []
        if stop_after is not None:
            # Final answers are given 1.3 s after that, before any deadline, and the
            # instance leaves rotation for 0.58 s.
            loop.call_later(stop_after, lambda: lifecycle.stop(loop.time() - 0.42, 2.0))
        for _ in range(repetitions):
            started = loop.time()
            req = CallerRequest(b"GET", b"/x", headers, body, started)
            task = loop.create_task(dispatcher.handle(req))
            if cancel_after is not None:
                loop.call_later(cancel_after, task.cancel)
            replies.append(await task)
            seconds = loop.time() - started
            if repetitions > 1:
                # The backoff of the endpoint ends within the default pause.
                await asyncio.sleep(pause)
        if repetitions > 1:
            return replies
        return replies[0], pool.sent, seconds

    return run(main())


@pytest.mark.parametrize("outcome", [CONNECTION_RESET, UNSIGNED, NO_RESPONSE])
def test_a_non_idempotent_request_that_may_have_run_gets_no_retry_and_no_503(outcome):
    """A second run could charge a fee twice; status 503 would make the caller retry."""
    reply, sent, _ = handle(outcome, OK, idempotent=False)
    assert reply.status in (502, 504)
    assert len(sent) == 1


@pytest.mark.parametrize("partitioned", [False, True])
def test_nothing_is_sent_to_a_zone_that_closes_while_a_connection_opens(partitioned):
    """Guards against requests that reach an evacuated zone after the bound."""
    _FakeConnection.heads.clear()
    reply, opened, _ = handle(OK, evacuated_after=0.00005, partitioned=partitioned)
    assert (reply.status, reply.body) == (503, b"zone_evacuated\n")
    assert (len(opened), _FakeConnection.heads) == (1, [])


@pytest.mark.parametrize("outcome", [REFUSED, KEY_NOT_HELD, NOT_CONNECTED])
def test_a_request_that_has_not_run_is_sent_to_another_endpoint(outcome):
    reply, sent, _ = handle(outcome, OK, idempotent=False)
    assert (reply.status, reply.body) == (200, b"done")
    assert len(set(sent)) == len(sent)


@pytest.mark.parametrize("outcome", [CONNECTION_RESET, UNSIGNED, SERVER_ERROR])
def test_an_idempotent_request_is_retried(outcome):
    assert handle(outcome, OK)[0].status == 200


@pytest.mark.parametrize(
    "outcome",
    [
        arrives(b"HTTP/1.1 %b X\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n" % status)
        for status in (b"000", b"099", b"199", b"700", b"20")
    ]
    + [ends_early],
)
@pytest.mark.parametrize("idempotent, status, sends", [(True, 200, 2), (False, 502, 1)])
def test_what_is_no_complete_answer_of_http_is_a_failed_attempt(
    outcome, idempotent, status, sends
):
    """Guards against status 000 and parts of answers that callers get as answers, and
    against an endpoint that is waited for although its answer has come."""
    reply, sent, seconds = handle(outcome, OK, idempotent=idempotent, body=b"upload")
    assert (reply.status, len(sent)) == (status, sends)
    assert seconds < 0.1


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("partitioned", [True, False])
def test_a_request_at_an_endpoint_that_is_silent_for_a_while_goes_on(
    idempotent, partitioned
):
    """Its entry is removed when it does not report. Guards against work that is given
    up or started again elsewhere although the endpoint is still running it."""
    reply, sent, _ = handle(
        OK, idempotent=idempotent, partitioned=partitioned, unlisted_after=0.005
    )
    assert reply.status == 200
    assert len(sent) == 1


def test_an_error_response_of_the_endpoint_is_forwarded_unchanged():
    reply, sent, _ = handle(SERVER_ERROR, idempotent=False)
    assert (reply.status, reply.headers) == (500, (SIGNATURE_HEADER,))
    assert len(sent) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("marks", [(), ((b"Not-Executed", b"1"),)])
def test_a_rejection_that_may_have_run_is_no_promise_to_the_caller(status, marks):
    """Guards against a status that tells the caller of an order that it has not run,
    although the endpoint does not say so, or signs what would be the answer.
    """
    rejection = response(status, *marks, SIGNATURE_HEADER)
    reply, sent, _ = handle(rejection, idempotent=False)
    assert reply.status == 502
    assert SIGNATURE_HEADER not in reply.headers
    assert len(sent) == 1


def test_a_request_refused_by_all_attempts_gets_503_with_retry_after():
    reply, sent, _ = handle(REFUSED, idempotent=False)
    assert reply.status == 503
    assert any(name == b"Retry-After" for name, _ in reply.headers)
    assert len(sent) == 2  # The maximum number of attempts of the route.


def test_an_idempotent_request_that_may_have_run_gets_502_instead_of_503():
    assert handle(CONNECTION_RESET, REFUSED)[0].status == 502


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_silent_endpoint_is_waited_for_until_the_callers_deadline(idempotent):
    """Guards against a run that is broken off while its response is still due."""
    reply, _, seconds = handle(NO_RESPONSE, idempotent=idempotent)
    assert reply.status == 504
    assert 1.5 <= seconds <= 1.7


def test_a_request_ends_at_the_timeout_of_the_route():
    """At most half a second may pass after the timeout that the operator configured."""
    reply, _, seconds = handle(NO_RESPONSE, idempotent=False, timeout=0.6)
    assert reply.status == 504
    assert 0.6 <= seconds <= 1.1


def test_a_request_waits_for_a_key_whose_owner_changes():
    reply, _, seconds = handle(OK, partitioned=True, owned_after=0.2)
    assert reply.status == 200
    assert seconds < 0.5


def test_a_request_is_retried_at_an_owner_that_does_not_hold_the_key_yet():
    assert handle(KEY_NOT_HELD, OK, partitioned=True)[0].status == 200


def test_a_request_for_a_key_without_owner_is_refused_before_the_deadline():
    reply, sent, seconds = handle(OK, partitioned=True, owned_after=60.0)
    assert (reply.status, sent) == (503, [])
    assert seconds < 0.5


def test_a_request_for_a_key_that_stays_without_owner_is_refused_immediately(
    monkeypatch,
):
    """Guards against requests that wait in vain while the keys of a new era do."""
    monkeypatch.setattr(_FakeLeases, "unowned_for", 5.0)
    reply, sent, seconds = handle(OK, partitioned=True, owned_after=60.0)
    assert (reply.status, sent, seconds) == (503, [], 0.0)
    (retry_after,) = [v for name, v in reply.headers if name.lower() == b"retry-after"]
    assert float(retry_after) == pytest.approx(0.5, abs=0.01)  # A third of 1.5 s.


def test_a_request_that_cannot_complete_in_time_is_refused_immediately():
    reply, sent, seconds = handle(OK, deadline_ms=b"100")
    assert (reply.status, sent, seconds) == (503, [], 0.0)


@pytest.mark.parametrize("deadline_ms", [b"x", b"-5", b"0"])
def test_a_malformed_deadline_is_a_bad_request(deadline_ms):
    assert handle(OK, deadline_ms=deadline_ms)[0].status == 400


def test_requests_carry_the_expected_endpoint_and_the_remaining_time():
    """Another endpoint that has taken over the address must not run the request."""
    _FakeConnection.heads.clear()
    handle(OK, extra_headers=((b"expect-instance", b"forged"), (b"te", b"trailers")))
    (head,) = _FakeConnection.heads
    assert head.count(b"expect-instance") == 1
    assert b"expect-instance: e" in head
    assert b"request-id: a\r\n" in head
    assert b"te: trailers" not in head
    remaining = int(head.split(b"deadline-ms: ")[1].split(b"\r\n")[0])
    assert 0 < remaining <= 1500


@pytest.mark.parametrize("partitioned", [True, False])
def test_an_address_taken_over_by_another_endpoint_gets_no_further_requests(
    partitioned,
):
    """Guards against requests to an endpoint of another service at a reused address.

    Each key of the lost owner would otherwise cause three of them.
    """
    replies = handle(REPLACED, repetitions=5, endpoints=1, partitioned=partitioned)
    assert [reply.status for reply in replies] == [503] * 5
    assert _FakePool.last.count == 1


def test_a_request_without_matching_route_gets_404():
    assert handle(OK, host=b"other")[0].status == 404


def test_an_instance_without_configuration_responds_503():
    """Status 404 would claim that the route is not configured."""
    assert handle(OK, configured=False)[0].status == 503


def test_a_request_that_crashes_endpoints_is_no_longer_sent():
    """Retried by its caller, it would crash one endpoint after another."""
    replies = handle(CONNECTION_RESET, repetitions=6, alive=False, idempotent=False)
    assert [reply.status for reply in replies[:3]] == [502, 502, 502]
    assert _FakePool.last.count == 3


@pytest.mark.parametrize("objective, lines", [(0.5, 0), (0.005, 1)])
def test_a_late_response_is_logged(objective, lines):
    """Guards against missing a latency objective without a line in the log."""
    handle(OK, objective=objective)
    late = [fields for event, fields in _FakePool.log.events if event == "answer_late"]
    assert len(late) == lines
    assert all(fields["request_id"] == "a" for fields in late)


def test_a_request_is_sent_to_the_only_endpoint_with_room():
    """Guards against a refusal because the few endpoints compared are full."""
    replies = handle(OK, endpoints=40, full=39, repetitions=5)
    assert [reply.status for reply in replies] == [200] * 5


def test_a_request_is_repeated_after_an_endpoint_with_room_rejected_it():
    """An endpoint in trouble rejects part of its requests although it has room.

    Guards against a refusal of this request, and of all others for keys of this owner,
    because the rejection is taken for a sign of load.
    """
    reply, sent, _ = handle(REFUSED, REFUSED, OK, partitioned=True, endpoints=1)
    assert (reply.status, len(sent)) == (200, 3)


def test_each_send_names_the_request_to_the_pool():
    """Guards against a repeat on a connection that has carried the request before: a
    second copy of the first answer would be taken for the answer to the repeat.
    """
    handle(REFUSED, OK, partitioned=True, endpoints=1)
    first, second = _FakePool.last.request_ids
    assert first is not None
    assert first == second


def test_a_request_is_not_repeated_at_once_after_a_busy_endpoint_rejected_it():
    """Guards against repeats that an overloaded endpoint has to reject as well."""
    reply, sent, _ = handle(REFUSED, OK, partitioned=True, endpoints=1, in_flight=3)
    assert (reply.status, len(sent)) == (503, 1)
    assert reply.headers


def test_a_reported_load_shows_whether_a_rejection_is_a_sign_of_load():
    rejected = response(503, (b"Not-Executed", b"1"), (b"Instance-Load", b"2,6,2"))
    reply, sent, _ = handle(rejected, OK, partitioned=True, endpoints=1)
    assert (reply.status, len(sent)) == (503, 1)


def _stopping(remaining):
    """Return the life of an instance that gives final answers `remaining` s from now.

    The clock of `virtual_time` starts at 1000 s.
    """
    lifecycle = Lifecycle()
    lifecycle.stop(1000.0, 6.0)
    lifecycle.plan = dataclasses.replace(
        lifecycle.plan, answers_until=1000.0 + remaining
    )
    return lifecycle


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_that_cannot_end_before_the_instance_is_refused_at_once(idempotent):
    """Guards against requests that a planned stop accepts and then cuts off."""
    reply, sent, seconds = handle(
        OK, idempotent=idempotent, deadline_ms=b"2000", lifecycle=_stopping(1.5)
    )
    assert (reply.status, sent, seconds) == (503, [], 0.0)
    assert (b"Retry-After", b"0.10") in reply.headers


def test_a_late_request_is_refused_before_it_waits_for_the_owner_of_its_key():
    """Guards against a caller that waits for a refusal that is certain at once."""
    reply, sent, seconds = handle(
        OK,
        partitioned=True,
        owned_after=0.3,
        deadline_ms=b"2000",
        lifecycle=_stopping(1.5),
    )
    assert (reply.status, sent, seconds) == (503, [], 0.0)


def test_a_stop_that_begins_while_a_request_waits_for_the_owner_of_its_key_counts():
    """Guards against a request that is sent when it can't end before the instance."""
    reply, sent, _ = handle(
        OK, partitioned=True, owned_after=0.3, lifecycle=Lifecycle(), stop_after=0.1
    )
    assert (reply.status, reply.body, sent) == (503, b"instance_stops\n", [])


def test_a_request_that_ends_by_its_deadline_before_the_instance_is_sent():
    reply, sent, _ = handle(OK, deadline_ms=b"1400", lifecycle=_stopping(1.5))
    assert (reply.status, len(sent)) == (200, 1)


def test_requests_are_admitted_by_the_longest_response_time_measured():
    """Guards against refusals of all requests as soon as a stop has begun."""
    lifecycle = Lifecycle()
    lifecycle.stop(1000.0, 6.0)
    read_at, now, until = 1002.5, 1004.0, 1009.0  # Final answers are given at 1005.3.
    assert not lifecycle.admits(None, read_at, until, now)
    assert lifecycle.admits(1.0, read_at, until, now)
    assert not lifecycle.admits(1.2, read_at, until, now)


@pytest.mark.parametrize(
    "outcome, status", [(OK, 200), (REFUSED, 503)], ids=["has-run", "rejected"]
)
def test_requests_of_a_stop_are_sent_by_the_times_of_earlier_ones_that_have_run(
    outcome, status
):
    """Guards against response times that are not recorded, or those of rejections."""
    lifecycle = Lifecycle()
    replies = handle(
        *[outcome] * 20, lifecycle=lifecycle, repetitions=6, pause=0.1, stop_after=0.55
    )
    assert replies[-1].status == status
    refused = replies[-1].body == b"instance_stops\n"
    assert refused is (outcome is REFUSED)


@pytest.mark.parametrize(
    "outcome, options, status",
    [
        (NO_RESPONSE, {"idempotent": False}, 502),
        (NO_RESPONSE, {"idempotent": True}, 502),
        (OK, {"idempotent": False, "partitioned": True, "owned_after": 60.0}, 503),
        (ARRIVES_AT_THE_END, {"idempotent": False}, 200),
    ],
    ids=["sent", "sent-idempotent", "not-sent", "response-arrived"],
)
def test_an_instance_that_ends_answers_what_it_still_has(outcome, options, status):
    """Guards against connections that end under requests held by an instance.

    Only a request that was not sent gets a status that promises that it has not run. A
    response that has arrived is not replaced.
    """
    lifecycle = _stopping(0.2)
    lifecycle.phase = Phase.ENDING
    lifecycle.plan = dataclasses.replace(lifecycle.plan, answers_until=1e9)
    reply, _, seconds = handle(
        outcome, lifecycle=lifecycle, cancel_after=0.2, **options
    )
    assert (reply.status, round(seconds, 1)) == (status, 0.2)


@pytest.mark.parametrize("outcome", [NO_RESPONSE, ARRIVES_AT_THE_END])
def test_a_disconnect_still_cancels_the_request_of_a_running_instance(outcome):
    with pytest.raises(asyncio.CancelledError):
        handle(outcome, cancel_after=0.2)


@pytest.mark.parametrize("partitioned", [False, True], ids=["any", "keyed"])
def test_a_request_is_refused_while_this_process_has_no_descriptors(partitioned):
    """Guards against a loop of attempts that all fail at once, until the deadline.

    It says nothing of the endpoint, which must not count as unreachable.
    """
    reply, sent, seconds = handle(NO_DESCRIPTORS, partitioned=partitioned)
    assert (reply.status, reply.body) == (503, b"no_descriptors\n")
    assert sent == []
    assert seconds < 0.1


@pytest.mark.parametrize("partitioned", [True, False])
@pytest.mark.parametrize("how", [{"cold": 3}, {"turns_cold_after": 0.00005}])
def test_a_request_that_only_cold_endpoints_can_serve_is_rejected_at_once(
    partitioned, how
):
    """Guards against sends over the limit, also if the owner starts again while the
    connection is being opened, and against callers that wait for nothing."""
    _FakeConnection.heads.clear()
    reply, _, seconds = handle(OK, partitioned=partitioned, **how)
    assert (reply.status, reply.body) == (503, b"endpoint_cold\n")
    assert _FakeConnection.heads == []
    assert dict(reply.headers)[b"Retry-After"] == b"0.50"
    assert seconds < 0.01


@pytest.mark.parametrize("partitioned", [True, False])
def test_a_sender_sends_one_request_a_second_to_a_cold_endpoint(partitioned):
    options = {"partitioned": partitioned, "sender": True, "cold": 1, "endpoints": 1}
    replies = handle(OK, repetitions=3, pause=0.15, **options)
    assert [reply.status for reply in replies] == [200, 503, 503]
    assert {reply.status for reply in handle(OK, repetitions=9, cold=2)} == {200}
    assert set(_FakePool.last.sent) == {"e2"}
