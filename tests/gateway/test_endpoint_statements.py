"""What endpoints say of themselves in answers: that they leave, or want no requests.

Guards against requests to an endpoint that said that it leaves, whatever the store
says, and against more than two requests to one that asked for none.
"""

import dataclasses
import random
import time

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.gateway.endpoint_directory import (
    OUTDATED_ENTRY_SECONDS,
    EndpointDirectory,
)
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import KeyRange
from arbutusflow.gateway.load.admission import Admission
from arbutusflow.gateway.load.endpoint_load import (
    MAX_WAIT_SPREAD_SECONDS,
    EndpointTable,
)
from arbutusflow.gateway.model import Address, Endpoint, HttpResponse
from arbutusflow.platform.wire import MAX_WAIT_SECONDS, parse_leaving, parse_wait
from tests.gateway.fakes import FakeLog
from tests.gateway.test_dispatch import OK, _FakePool, handle, response
from tests.gateway.test_endpoints import FakeCopy, put_entry
from tests.gateway.virtual_time import run

LEAVING = (b"Server-Leaving", b"1")
REJECTED = (b"Not-Executed", b"1")
NOON = 1_800_000_000.0  # 15 January 2027, 08:00:00 GMT.


@pytest.mark.parametrize(
    "text, seconds",
    [
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"0", 0.0),
        (b"99999999", MAX_WAIT_SECONDS),
        (b"Fri, 15 Jan 2027 08:00:05 GMT", 5.0),
        (b"Fri, 15 Jan 2027 07:00:00 GMT", 0.0),
        (b"Fri, 15 Jan 9999 07:00:00 GMT", MAX_WAIT_SECONDS),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"soon", None),
        (b"", None),
        (b"\xff", None),
        (None, None),
    ],
)
def test_a_wait_is_a_number_of_seconds_or_a_date(text, seconds):
    assert parse_wait(text, NOON) == seconds


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=40))
def test_any_bytes_are_a_bounded_wait_or_none(text):
    wait = parse_wait(text, NOON)
    assert wait is None or 0 <= wait <= MAX_WAIT_SECONDS
    assert parse_leaving(text) == (text.strip() == b"1")


# Leaving.


@pytest.mark.parametrize(
    "answer",
    [
        response(200, (b"Response-Seal", b"s"), LEAVING),
        response(500, (b"Response-Seal", b"s"), LEAVING),
        response(503, REJECTED, LEAVING),
        response(421, REJECTED, LEAVING),
    ],
)
@pytest.mark.parametrize("idempotent", [True, False])
def test_any_answer_can_say_that_its_endpoint_leaves(answer, idempotent):
    handle(answer, OK, idempotent=idempotent)
    assert len(_FakePool.left) == 1
    assert _FakePool.left[0][1] == 1  # The start time of the process.


def test_an_answer_of_another_endpoint_at_the_address_says_nothing():
    answer = response(421, (b"Instance-Id", b"other"), LEAVING)
    handle(answer, OK)
    assert _FakePool.left == []


@pytest.mark.parametrize("status, told", [(200, True), (409, True), (421, False)])
def test_answers_to_orders_say_it_as_well(status, told):
    class Pool:
        def connection(self, address, **options):
            return self

        async def __aenter__(self):
            return self

        async def __aexit__(self, *exc):
            return None

        async def exchange(self, head, body, timeout):
            return HttpResponse(status, b"", (LEAVING,), b"", reusable=True)

    async def scenario():
        orders, left = KeyOrders(Pool(), FakeLog(), 10.0), []
        orders.on_leaving = left.append
        endpoint = Endpoint("e1", "s", Address("h", 1), "z", 2, False, 0.0, 7)
        await orders.grant(endpoint, KeyRange(0, 9, "e1", 7, 7))
        return left

    assert run(scenario()) == ([("e1", 7)] if told else [])


def make_directory(copy):
    directory = EndpointDirectory(copy, lambda now: 100.0, FakeLog())
    put_entry(copy, 2, 2000)
    directory.update(0.0)
    return directory


def test_the_endpoints_own_word_wins_over_entries_that_say_ready():
    """The store is silent, lags, or the endpoint never reports that it drains."""
    copy = FakeCopy("a", "b")
    directory = make_directory(copy)
    assert directory.mark_leaving(("a", 2000))
    assert not directory.mark_leaving(("a", 2000))
    assert directory.endpoints["a"].draining
    put_entry(copy, 3, 2000)
    directory.update(1.0)
    assert directory.endpoints["a"].draining
    assert not directory.endpoints["b"].draining


def test_the_word_of_a_process_does_not_hold_for_the_next_one():
    copy = FakeCopy("a")
    directory = make_directory(copy)
    directory.mark_leaving(("a", 2000))
    put_entry(copy, 3, 3000)
    directory.update(1.0)
    assert not directory.endpoints["a"].draining
    assert not directory.mark_leaving(("a", 2000))
    assert not directory.expire(1.0 + 2 * OUTDATED_ENTRY_SECONDS)
    assert not directory.endpoints["a"].draining


def test_the_word_of_a_process_holds_when_it_is_listed_again():
    """Its entry was removed while it answered. Guards against a late write or a stale
    read by which an endpoint that said that it leaves gets work again."""
    copy = FakeCopy("a", "b")
    directory = make_directory(copy)
    del copy.objects["a"]
    directory.update(1.0)
    assert directory.mark_leaving(("a", 2000))
    assert not directory.mark_leaving(("a", 2000))
    assert "a" not in directory.endpoints
    put_entry(copy, 3, 2000)
    directory.update(2.0)
    assert directory.endpoints["a"].draining


def test_an_entry_that_is_retained_in_an_outage_keeps_the_word():
    copy = FakeCopy("a")
    directory = make_directory(copy)
    copy.unreachable_since = 0.5
    copy.list()
    directory.update(1.0)
    assert directory.mark_leaving(("a", 2000))
    directory.update(2.0)
    assert directory.endpoints["a"].draining


def test_an_endpoint_that_leaves_and_is_listed_again_gets_no_more_time():
    """Guards against requests for keys of an endpoint whose entry came back late."""
    table, state = one_endpoint()
    leaving = dataclasses.replace(state.endpoint, draining=True)
    table.update({"e0": leaving}, 10.0)
    assert table.may_serve_keys(table.states["e0"], 10.5)
    for now, listed in ((11.0, {}), (13.0, {"e0": leaving})):
        table.update(listed, now)
    assert not table.may_serve_keys(table.states["e0"], 13.0)
    following = dataclasses.replace(leaving, started_ms=2)
    table.update({"e0": following}, 14.0)
    assert table.may_serve_keys(table.states["e0"], 14.0)


# Waiting.


def asks_to_wait(seconds):
    return response(503, REJECTED, (b"Retry-After", seconds))


def test_another_endpoint_takes_the_work():
    reply, sent, _ = handle(asks_to_wait(b"5"), OK)
    assert reply.status == 200
    assert len(set(sent)) == 2


def test_an_endpoint_that_asked_to_wait_gets_nothing_until_then():
    """With one endpoint, requests 10 s apart; it asks for 25 s."""
    replies = handle(asks_to_wait(b"25"), OK, endpoints=1, repetitions=4)
    statuses = [reply.status for reply in replies]
    assert statuses == [503, 503, 503, 200]
    assert _FakePool.last.count == 2


@pytest.mark.parametrize("partitioned", [True, False])
def test_a_request_that_cannot_be_served_is_refused_at_once_with_the_time(partitioned):
    replies = handle(
        asks_to_wait(b"30"), endpoints=1, repetitions=2, partitioned=partitioned
    )
    retry_after = float(dict(replies[1].headers)[b"Retry-After"])
    assert replies[1].status == 503
    assert 19.0 < retry_after < 1.3 * (20.0 + MAX_WAIT_SPREAD_SECONDS)
    assert _FakePool.last.count == 1


def test_a_short_wait_of_the_owner_of_a_key_is_waited_for():
    reply, sent, seconds = handle(
        asks_to_wait(b"0.1"), OK, endpoints=1, partitioned=True
    )
    assert (reply.status, len(sent)) == (200, 2)
    assert 0.1 <= seconds < 0.3


def test_an_owner_that_did_not_ask_is_used_at_the_end_of_the_wait_for_it():
    """Guards against a refusal in the name of an endpoint that asked for nothing."""
    reply, _, _ = handle(OK, partitioned=True, owned_after=0.4, deadline_ms=b"1500")
    assert reply.status == 200


@pytest.mark.parametrize("text", [b"soon", b"-3", b"0", b"nan"])
def test_a_wait_that_means_nothing_is_no_wait(text):
    reply, sent, _ = handle(asks_to_wait(text), OK, endpoints=1, partitioned=True)
    assert (reply.status, len(sent)) == (200, 2)


@pytest.mark.parametrize(
    "answer",
    [
        response(200, (b"Response-Seal", b"s"), (b"Retry-After", b"25")),
        response(404, (b"Retry-After", b"25")),
        response(429, REJECTED, (b"Retry-After", b"25")),
        response(500, (b"Retry-After", b"25")),
    ],
)
def test_only_a_503_asks_to_wait(answer):
    """Guards against endpoints that are left out although they serve requests."""
    replies = handle(answer, OK, endpoints=1, repetitions=2)
    assert replies[1].status == 200


def one_endpoint():
    table = EndpointTable("z", 2.0, random.Random(1))
    endpoint = Endpoint("e0", "s", Address("e0", 1), "z", 2, False, 0.0, 1)
    table.update({"e0": endpoint}, 0.0)
    return table, table.states["e0"]


def test_work_comes_back_gradually():
    """Guards against all instances sending all they have when the time is over."""
    table, state = one_endpoint()
    state.record_wait(5.0, 0.0)
    assert table.choose("s", set(), 4.9) is None
    assert table.choose("s", set(), 5.0) is state
    state.own_in_flight = 1
    assert table.choose("s", set(), 5.0) is None
    state.record_response(0.1, 0, 5.1)
    assert table.choose("s", set(), 5.1) is state
    spreads = {table.wait_spread(30.0) for _ in range(20)}
    assert len(spreads) == 20
    assert max(spreads) <= MAX_WAIT_SPREAD_SECONDS


def test_a_wait_holds_for_a_process_that_is_listed_again():
    """Guards against a burst to an endpoint whose entry vanished and came back."""
    table, state = one_endpoint()
    state.record_wait(10.0, 0.0)
    table.update({}, 1.0)
    table.update({}, 5.0)
    assert table.states == {}
    table.update_peer_report("n1", {"e0": 3}, 5.5)
    table.update({"e0": state.endpoint}, 6.0)
    assert table.states["e0"].peer_in_flight == 3
    assert table.choose("s", set(), 9.0) is None
    table.update({"e0": dataclasses.replace(state.endpoint, started_ms=2)}, 9.0)
    assert table.choose("s", set(), 9.0) is table.states["e0"]


def test_a_later_shorter_wait_does_not_end_an_earlier_one():
    table, state = one_endpoint()
    state.record_wait(10.0, 0.0)
    state.record_wait(1.0, 1.0)
    assert table.choose("s", set(), 9.0) is None


def two_endpoints():
    table = EndpointTable("z", 2.0, random.Random(1))
    table.update(
        {
            name: Endpoint(name, "s", Address(name, 1), "z", 2, False, 0.0, 1)
            for name in ("e0", "e1")
        },
        0.0,
    )
    return table


def test_the_earliest_end_is_told_if_all_asked_to_wait():
    table = two_endpoints()
    table.states["e0"].record_wait(40.0, 0.0)
    table.states["e1"].record_wait(20.0, 0.0)
    told = Admission(table, random.Random(1)).retry_after("s", None, 2.0, 10.0)
    assert 10.0 <= told <= 13.0


def test_an_endpoint_without_an_address_does_not_hide_the_waits_of_the_others():
    """Guards against callers that come back many times before any can serve them."""
    table = two_endpoints()
    table.states["e0"].mark_replaced()
    table.states["e1"].record_wait(20.0, 0.0)
    told = Admission(table, random.Random(1)).retry_after("s", None, 2.0, 10.0)
    assert 10.0 <= told <= 13.0


@settings(max_examples=200, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["request", "wait", "leave", "restart", "entry", "pause"]),
            st.sampled_from([0.1, 0.6, 2.0, 5.0]),
        ),
        max_size=40,
    )
)
def test_both_rules_hold_in_any_order_of_events(steps):
    """Requests, waits, leaving, restarts under the identifier and outdated entries."""
    copy, now, revision, started_ms = FakeCopy("a"), 0.0, 2, 2000
    directory = make_directory(copy)
    table = EndpointTable("z", 2.0, random.Random(1))
    table.update(directory.endpoints, now)
    asked_at = wait_until = left_at = None
    in_wait = 0
    for step, seconds in steps:
        state = table.states["a"]
        known = state.endpoint.started_ms == started_ms
        if step == "pause":
            now += seconds
            directory.expire(now)
        elif step == "wait" and known:
            state.record_wait(seconds, now)
            if wait_until is None or now >= wait_until:
                asked_at, in_wait = now, 0
            wait_until = max(wait_until or 0.0, now + seconds)
        elif step == "leave" and known:
            directory.mark_leaving(("a", started_ms))
            left_at = now
        elif step == "restart":
            started_ms += 1000
            revision += 1
            put_entry(copy, revision, started_ms)
            directory.update(now)
            asked_at = wait_until = left_at = None
        elif step == "entry":
            revision += 1
            put_entry(copy, revision, started_ms)
            directory.update(now)
        elif step == "request":
            chosen = table.choose(state.endpoint.service, set(), now)
            if chosen is not None:
                assert left_at is None
                if asked_at is not None and asked_at + 0.5 < now < wait_until:
                    in_wait += 1
                assert in_wait <= 2
        table.update(directory.endpoints, now)


def test_dates_are_compared_with_the_time_of_day():
    date = time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime(time.time() + 60))
    assert 55.0 < parse_wait(date.encode(), time.time()) < 61.0
