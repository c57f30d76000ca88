"""Memory for responses that callers have not taken yet.

Guards against a process that is killed for its memory, with all that it was passing on,
because some callers don't read. What they leave counts as memory for responses, so the
instance reads less from endpoints meanwhile.
"""

import asyncio

import pytest

from arbutusflow.gateway.body_budget import SMALL_BODY_BYTES, BodyBudget, MemoryWait
from arbutusflow.gateway.callers.connection import CallerConnection
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from tests.gateway.fakes import FakeTransport
from tests.gateway.statement_instance import StatementInstance
from tests.gateway.virtual_time import run

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
SIZE = 2 * SMALL_BODY_BYTES


class _Transport(FakeTransport):
    """Holds what its caller doesn't read."""

    reads = False

    def __init__(self, conn):
        super().__init__()
        self._conn = conn

    def write(self, data):
        if not self.reads:
            self.unsent += len(data)
            self._conn.pause_writing()

    def read_all(self):
        self.unsent = 0
        self._conn.resume_writing()

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class _World:
    """One connection, whose handlers answer when the test allows it."""

    def __init__(self):
        self.answered = {b"/%d" % n: asyncio.Event() for n in range(3)}
        server = CallerServer(self._handle, BodyBudget(lambda: 0), self._fail)
        self.budget = server.unsent_budget = BodyBudget(lambda: SIZE)
        self.conn = CallerConnection(server)
        self.transport = _Transport(self.conn)
        self.conn.connection_made(self.transport)

    def _fail(self, during, exc):
        raise exc

    async def _handle(self, req):
        await self.answered[req.target].wait()
        return CallerResponse(200, body=b"x" * SIZE)

    async def send(self, *numbers):
        self.conn.data_received(b"".join(GET % number for number in numbers))
        await asyncio.sleep(0)

    async def answer(self, number):
        self.answered[b"/%d" % number].set()
        await asyncio.sleep(0.01)


def _play(scenario):
    async def main():
        world = _World()
        return await scenario(world), world.budget.held_bytes

    return run(main())


def test_what_a_caller_does_not_read_is_counted_until_it_does():
    async def scenario(world):
        await world.send(0)
        await world.answer(0)
        held = world.budget.held_bytes
        world.transport.read_all()
        return held, world.transport.written

    (held, _), left = _play(scenario)
    assert held > SIZE
    assert left == 0


def test_responses_behind_one_that_is_not_there_are_counted():
    async def scenario(world):
        world.transport.reads = True
        await world.send(0, 1, 2)
        held = []
        for number in (2, 1, 0):
            await world.answer(number)
            held.append(world.budget.held_bytes)
        return held

    held, _ = _play(scenario)
    assert held == [SIZE, 2 * SIZE, 0]


@pytest.mark.parametrize("early", [False, True])
def test_nothing_is_counted_for_a_lost_connection(early):
    """Guards against memory that counts as taken for ever, also by later responses."""

    async def scenario(world):
        await world.send(0, 1, 2)
        await world.answer(1)
        if not early:
            await world.answer(0)
        world.transport.close()
        world.conn.connection_lost(None)
        held = world.budget.held_bytes
        await world.answer(0)
        await world.answer(2)
        return held

    assert _play(scenario) == (0, 0)


def test_nothing_is_counted_for_responses_that_are_dropped():
    """Guards against memory that counts as taken for ever."""

    async def scenario(world):
        world.transport.reads = True
        await world.send(0, 1)
        await world.answer(1)
        held = world.budget.held_bytes
        world.conn._cancel_pipeline("error")
        await world.answer(0)
        return held

    assert _play(scenario) == (SIZE, 0)


def test_a_response_of_an_endpoint_waits_for_what_callers_have_not_read():
    async def scenario(world):
        await world.send(0)
        await world.answer(0)
        reserved = []
        world.budget.wait(MemoryWait(SIZE, reserved.append))
        waits = not reserved
        world.transport.read_all()
        return waits, reserved

    (waits, reserved), held = _play(scenario)
    assert waits
    assert reserved == [SIZE]
    assert held == SIZE


def test_an_instance_counts_them_with_the_responses_that_it_reads():
    async def build():
        gateway = StatementInstance("a").gateway
        return gateway.caller_server.unsent_budget is gateway.pool._budget

    assert asyncio.run(build())


def test_a_kept_connection_does_not_keep_the_body_of_its_latest_request():
    """Guards against memory for bodies that nothing counts."""

    async def scenario(world):
        head = b"POST /0 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
        world.conn._server.budget = BodyBudget(lambda: SIZE)
        cut = []
        world.conn._server.on_cut = lambda req, cause: cut.append(req)
        world.conn.data_received(head + b"Content-Length: 5\r\n\r\nabcde")
        await world.answer(0)
        kept = world.conn._latest_request
        world.conn._server.report_cut()
        return kept.body, [req.header(b"request-id") for req in cut]

    (body, reported), _ = _play(scenario)
    assert body == b""
    assert reported == [b"r"]


def test_a_rejected_request_does_not_keep_its_body():
    """Guards against memory for bodies that nothing counts until the caller closes."""

    async def scenario(world):
        budget = world.conn._server.budget = BodyBudget(lambda: SIZE)
        head = b"POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
        world.conn.data_received(head + b"x" * SIZE)
        held = budget.held_bytes
        world.conn.data_received(b"x")
        return held, world.conn.is_closing, budget.held_bytes, world.conn._reader._body

    (held, closing, left, body), _ = _play(scenario)
    assert (held, closing, left) == (SIZE, True, 0)
    assert body == b""
