"""What endpoints say of themselves is obeyed over real connections.

The endpoints hold requests until the test answers them, and the clock stands still, so
that requests cross an answer exactly where the test wants it.

Guards against requests that reach an endpoint after an instance has read that it leaves
or wants none, and against answers that are lost because their endpoint said so.
"""

import asyncio
import dataclasses

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.key_table import KeyRange
from arbutusflow.gateway.load.endpoint_load import MAX_WAIT_SPREAD_SECONDS
from arbutusflow.gateway.model import Address, Endpoint
from arbutusflow.platform import wire
from tests.gateway.object_platform import MAX_BODY_BYTES, FakeEndpoint
from tests.gateway.statement_instance import (
    DRAIN_SECONDS,
    Entry,
    StatementInstance,
    configuration,
)
from tests.gateway.stepped_time import advance, run, until

HOST = "127.0.0.1"
LEAVING = (wire.LEAVING, b"1")
NOT_RUN = (wire.NOT_RUN, b"1")
WAIT_SECONDS = 4.0
ASKS_TO_WAIT = (NOT_RUN, (wire.RETRY_AFTER, b"%g" % WAIT_SECONDS))
CROSSING_SECONDS = 0.5
CALLER_TIMEOUT_SECONDS = 60.0
MARGIN_SECONDS = 0.001


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at an endpoint that the test has to answer."""

    request_id: bytes
    reply: asyncio.Future

    def answer(self, status=200, *headers):
        signature = ((wire.SIGNATURE, b"seal"),) if status < 300 else ()
        echoed = (wire.REQUEST_ID, self.request_id)
        self.reply.set_result(CallerResponse(status, (echoed, *signature, *headers)))


class HeldEndpoint(FakeEndpoint):
    """Endpoint that answers a request when the test says so."""

    def __init__(self, name):
        super().__init__(name, partitioned=False)
        self.arrivals = []
        self.holds = True  # Whether requests wait for the test's answer.

    async def _run(self, req, request_id):
        arrival = Arrival(request_id, asyncio.get_running_loop().create_future())
        self.arrivals.append(arrival)
        if not self.holds:
            arrival.answer()
        return await arrival.reply

    async def arrival(self, number):
        """Return the request with this number, from 1, once it has arrived."""
        await until(lambda: len(self.arrivals) >= number)
        return self.arrivals[number - 1]


class Site:
    """Instances, endpoints, and the callers of one test."""

    def __init__(self):
        self.instances, self.endpoints, self.entries = {}, {}, {}
        self._servers, self._requests = {}, 0

    async def add_instance(self, name="n0"):
        inst = StatementInstance(name, seed=len(self.instances))
        self.instances[name] = inst
        self._servers[name] = CallerServer(
            inst.gateway.dispatcher.handle, BodyBudget(lambda: MAX_BODY_BYTES), fail
        )
        await self._servers[name].start(HOST, 0)
        inst.list(self.entries.values())
        return inst

    async def add_endpoint(self, name, service="b"):
        endpoint = self.endpoints[name] = HeldEndpoint(name)
        await endpoint.server.start(HOST, 0)
        address = Address(HOST, endpoint.server.port)
        self.entries[name] = Entry(name, address, 1000, service)
        for inst in self.instances.values():
            inst.list(self.entries.values())
        return endpoint

    def send(self, path=b"/safe/1", body=b"", instance="n0"):
        """Send a request; return the task that ends with its answer."""
        return asyncio.ensure_future(self._send(path, body, instance))

    async def _send(self, path, body, instance):
        conn = await self.connect(instance)
        response = await conn.exchange(
            self.head(path, len(body)), body, CALLER_TIMEOUT_SECONDS
        )
        conn.close()
        return response

    async def connect(self, instance="n0"):
        address = Address(HOST, self._servers[instance].port)
        return await ClientConnection.open(address, CALLER_TIMEOUT_SECONDS)

    def head(self, path, length=0):
        self._requests += 1
        return (
            b"POST %b HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
            b"Deadline-Ms: 20000\r\nShard-Key: 7\r\nContent-Length: %d\r\n\r\n"
            % (path, self._requests, length)
        )


def fail(during, exc):
    raise exc


def play(scenario):
    async def main():
        site = Site()
        await site.add_instance()
        await scenario(site)

    run(main())


# Leaving.


@pytest.mark.parametrize("path", [b"/safe/1", b"/once/1"])
@pytest.mark.parametrize(
    "status, headers", [(200, ()), (404, ()), (500, ()), (503, (NOT_RUN,)), (421, ())]
)
def test_no_request_follows_an_answer_that_says_leaving(path, status, headers):
    """Requests on their way are answered, however long they take. No later one is sent,
    on a kept or a new connection, although the store says that the endpoint is ready.
    """

    async def scenario(site):
        leaving = await site.add_endpoint("e0")
        crossing = [site.send(path) for _ in range(3)]
        arrivals = [await leaving.arrival(number) for number in (1, 2, 3)]
        other = await site.add_endpoint("e1")
        other.holds = False
        arrivals[0].answer(status, *headers, LEAVING)
        await until(lambda: site.instances["n0"].is_leaving("e0"))
        statuses = [(await site.send(path)).status for _ in range(5)]
        advance(DRAIN_SECONDS + MARGIN_SECONDS)
        site.instances["n0"].list(site.entries.values())
        statuses += [(await site.send(path)).status for _ in range(5)]
        for arrival in arrivals[1:]:
            arrival.answer(200, LEAVING)
        statuses += [(await task).status for task in crossing[1:]]
        assert set(statuses) == {200}
        # A request that has not run, or may run twice, is sent to the other one.
        passed_on = (
            status < 500 and status != 421 or (status, path) == (500, b"/once/1")
        )
        assert (await crossing[0]).status == (status if passed_on else 200)
        assert len(leaving.arrivals) == 3

    play(scenario)


def test_a_request_is_refused_at_once_if_all_endpoints_say_that_they_leave():
    async def scenario(site):
        endpoint = await site.add_endpoint("e0")
        first = site.send()
        (await endpoint.arrival(1)).answer(200, LEAVING)
        assert (await first).status == 200
        assert (await site.send()).status == 503
        assert len(endpoint.arrivals) == 1

    play(scenario)


def test_an_answer_whose_caller_has_left_counts():
    """Work that may run only once goes on when its caller disconnects."""

    async def scenario(site):
        endpoint = await site.add_endpoint("e0")
        conn = await site.connect()
        exchange = asyncio.ensure_future(
            conn.exchange(site.head(b"/once/1"), b"", CALLER_TIMEOUT_SECONDS)
        )
        arrival = await endpoint.arrival(1)
        conn.abort()
        await asyncio.wait([exchange])
        assert exchange.exception() is not None
        arrival.answer(200, LEAVING)
        await until(lambda: site.instances["n0"].is_leaving("e0"))
        assert (await site.send()).status == 503
        assert len(endpoint.arrivals) == 1

    play(scenario)


@pytest.mark.parametrize("status", [503, 200])
def test_an_answer_before_the_end_of_a_long_body_counts(status):
    """The endpoint answers when it has read the head, and reads no further."""
    body = b"x" * 8_000_000

    async def scenario(site):
        connections = []

        async def answer_early(reader, writer):
            connections.append(writer)
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            echoed = next(line for line in lines if line.startswith(b"request-id"))
            mark = b"Not-Executed: 1" if status == 503 else b"Response-Seal: s"
            writer.write(
                b"HTTP/1.1 %d X\r\n%b\r\n%b\r\nServer-Leaving: 1\r\n"
                b"Content-Length: 0\r\n\r\n" % (status, echoed, mark)
            )

        server = await asyncio.start_server(answer_early, HOST, 0)
        address = Address(HOST, server.sockets[0].getsockname()[1])
        site.entries["e0"] = Entry("e0", address, 1000)
        site.instances["n0"].list(site.entries.values())
        assert (await site.send(b"/once/1", body)).status == status
        assert (await site.send()).status == 503
        assert len(connections) == 1
        for writer in connections:
            writer.close()
        server.close()

    play(scenario)


def test_the_answer_to_an_order_counts():
    """Endpoints that own keys answer renewals each second."""

    async def scenario(site):
        endpoint = await site.add_endpoint("e0")
        endpoint.leaving = True
        inst = site.instances["n0"]
        known: Endpoint = inst.gateway.directory.endpoints["e0"]
        await inst.gateway.fleet_task.orders.grant(known, KeyRange(0, 9, "e0", 7, 7))
        assert inst.is_leaving("e0")
        assert (await site.send()).status == 503
        assert endpoint.arrivals == []

    play(scenario)


def test_the_next_process_of_an_endpoint_is_used():
    async def scenario(site):
        endpoint = await site.add_endpoint("e0")
        first = site.send()
        (await endpoint.arrival(1)).answer(200, LEAVING)
        await first
        site.entries["e0"] = dataclasses.replace(site.entries["e0"], started_ms=2000)
        site.instances["n0"].list(site.entries.values())
        second = site.send()
        (await endpoint.arrival(2)).answer()
        assert (await second).status == 200

    play(scenario)


def test_an_endpoint_that_took_over_the_address_says_nothing_of_the_other():
    async def scenario(site):
        endpoint = await site.add_endpoint("e0")
        endpoint.name, endpoint.leaving = "e9", True
        assert (await site.send()).status == 503
        assert not site.instances["n0"].is_leaving("e0")
        assert endpoint.arrivals == []

    play(scenario)


# Waiting.


async def ask_to_wait(site, in_flight=2):
    """Return an endpoint that has just asked to wait, with requests still in flight."""
    endpoint = await site.add_endpoint("e0")
    crossing = [site.send() for _ in range(in_flight + 1)]
    await endpoint.arrival(in_flight + 1)
    endpoint.arrivals[-1].answer(503, *ASKS_TO_WAIT)
    state = site.instances["n0"].gateway.endpoints.states["e0"]
    await until(lambda: state.wait_until > 0)
    return endpoint, state, crossing


def test_nothing_is_sent_from_the_answer_to_the_end_of_the_wait():
    """At the edges of the time in which requests may cross, and of the wait."""

    async def scenario(site):
        endpoint, state, _ = await ask_to_wait(site, in_flight=0)
        began = asyncio.get_running_loop().time()
        end = state.wait_until - began
        assert WAIT_SECONDS <= end <= WAIT_SECONDS + MAX_WAIT_SPREAD_SECONDS
        passed = 0.0
        for at in (
            0.0,
            CROSSING_SECONDS - MARGIN_SECONDS,
            CROSSING_SECONDS + MARGIN_SECONDS,
            WAIT_SECONDS - MARGIN_SECONDS,
            end - MARGIN_SECONDS,
        ):
            advance(at - passed)
            passed = at
            for path in (b"/safe/1", b"/once/1"):
                response = await site.send(path)
                assert response.status == 503
                told = float(response.header(b"retry-after"))
                # Rounded to hundredths of a second.
                assert end - at - 0.01 <= told <= 1.3 * (end - at) + 0.01
        assert len(endpoint.arrivals) == 1
        advance(2 * MARGIN_SECONDS)
        site.send()
        await endpoint.arrival(2)

    play(scenario)


def test_others_take_the_work_meanwhile():
    async def scenario(site):
        endpoint, _, crossing = await ask_to_wait(site)
        other = await site.add_endpoint("e1")
        other.holds = False
        assert [(await site.send()).status for _ in range(5)] == [200] * 5
        for arrival in endpoint.arrivals[:2]:
            arrival.answer()
        await until(lambda: all(task.done() for task in crossing))
        assert sorted(task.result().status for task in crossing) == [200, 200, 503]
        assert len(endpoint.arrivals) == 3

    play(scenario)


def test_answers_to_requests_on_their_way_do_not_end_the_gradual_return():
    """Guards against a burst at the end of the wait from an instance whose earlier
    requests were answered meanwhile."""

    async def scenario(site):
        endpoint, state, crossing = await ask_to_wait(site)
        advance(CROSSING_SECONDS)
        for arrival in endpoint.arrivals[:2]:
            arrival.answer()
        await until(lambda: sum(task.done() for task in crossing) == 3)
        left = state.wait_until - asyncio.get_running_loop().time()
        advance(left + MARGIN_SECONDS)
        trial = site.send()
        await endpoint.arrival(4)
        assert [(await site.send()).status for _ in range(4)] == [503] * 4
        assert len(endpoint.arrivals) == 4
        endpoint.arrivals[3].answer()
        assert (await trial).status == 200
        site.send()
        site.send()
        await endpoint.arrival(6)

    play(scenario)


@pytest.mark.parametrize("path", [b"/safe/1", b"/once/1"])
def test_a_request_whose_connection_opens_when_the_answer_arrives_is_not_sent(path):
    """It was assigned to the endpoint before the instance read that it wants none."""

    async def scenario(site):
        pool = site.instances["n0"].gateway.pool
        endpoint = await site.add_endpoint("e0")
        first = site.send(path)
        await endpoint.arrival(1)
        opened, connect = asyncio.Event(), pool._connect
        opening = []

        async def connect_later(*args):
            opening.append(args)
            conn = await connect(*args)
            await opened.wait()
            return conn

        pool._connect = connect_later
        crossing = [site.send(path) for _ in range(3)]
        await until(lambda: len(opening) == 3)
        endpoint.arrivals[0].answer(503, *ASKS_TO_WAIT)
        assert (await first).status == 503
        opened.set()
        assert [(await task).status for task in crossing] == [503] * 3
        assert len(endpoint.arrivals) == 1

    play(scenario)


def test_a_wait_holds_for_the_instance_that_was_asked():
    async def scenario(site):
        endpoint, _, _ = await ask_to_wait(site)
        await site.add_instance("n1")
        request = site.send(instance="n1")
        (await endpoint.arrival(4)).answer()
        assert (await request).status == 200
        assert (await site.send()).status == 503

    play(scenario)


def test_instances_that_are_asked_at_once_come_back_at_different_times():
    """Guards against a burst from all instances at the end of the wait."""

    async def scenario(site):
        endpoint = await site.add_endpoint("e0")
        await site.add_instance("n1")
        ends = []
        for number, name in enumerate(("n0", "n1")):
            request = site.send(instance=name)
            (await endpoint.arrival(number + 1)).answer(503, *ASKS_TO_WAIT)
            await request
            state = site.instances[name].gateway.endpoints.states["e0"]
            ends.append(state.wait_until - asyncio.get_running_loop().time())
        assert ends[0] != ends[1]
        for end in ends:
            assert WAIT_SECONDS <= end <= WAIT_SECONDS + MAX_WAIT_SPREAD_SECONDS

    play(scenario)


def test_a_wait_does_not_hold_for_the_next_process():
    async def scenario(site):
        endpoint, _, _ = await ask_to_wait(site)
        site.entries["e0"] = dataclasses.replace(site.entries["e0"], started_ms=2000)
        site.instances["n0"].list(site.entries.values())
        request = site.send()
        (await endpoint.arrival(4)).answer()
        assert (await request).status == 200

    play(scenario)


def test_a_wait_survives_new_entries_and_configurations():
    async def scenario(site):
        endpoint, _, _ = await ask_to_wait(site)
        inst = site.instances["n0"]
        inst.list(site.entries.values())
        inst.configure(configuration(8))
        assert (await site.send()).status == 503
        assert len(endpoint.arrivals) == 3

    play(scenario)


def test_a_key_whose_owner_wants_no_requests_is_refused_at_once():
    async def scenario(site):
        endpoint = await site.add_endpoint("e0", "a")
        site.instances["n0"].keys.owner = "e0"
        first = site.send(b"/keyed/1")
        (await endpoint.arrival(1)).answer(503, *ASKS_TO_WAIT)
        for response in (await first, await site.send(b"/keyed/1")):
            assert response.status == 503
            assert float(response.header(b"retry-after")) >= WAIT_SECONDS
        assert len(endpoint.arrivals) == 1

    play(scenario)
