"""Memory for responses that callers have not taken yet."""

import asyncio

from arbutusflow.gateway.body_budget import SMALL_BODY_BYTES, BodyBudget
from arbutusflow.gateway.caller_server import (
    CallerConnection,
    CallerResponse,
    CallerServer,
)
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

SIZE = 2 * SMALL_BODY_BYTES
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


def _play(scenario):
    """Play a scenario with a connection whose first request never ends if it is /0."""

    async def main():
        async def handle(req):
            if req.target == b"/0":
                await asyncio.sleep(1000.0)
            return CallerResponse(200, body=bytes(SIZE))

        server = CallerServer(handle, BodyBudget(lambda: 10**6), lambda *_: None)
        server.response_budget = BodyBudget(lambda: 10**6)
        conn = CallerConnection(server)
        conn.connection_made(FakeTransport())
        return await scenario(conn, server.response_budget)

    return run(main())


def test_memory_is_held_until_the_caller_has_taken_a_response():
    """Guards against responses that pile up in transports beyond the limit."""

    async def scenario(conn, budget):
        conn.pause_writing()  # The transport's buffer is full.
        conn.data_received(GET % 1 + GET % 2)
        await asyncio.sleep(0.01)
        held = budget.held_bytes
        conn.resume_writing()
        return held, budget.held_bytes

    assert _play(scenario) == (2 * SIZE, 0)


def test_a_response_that_is_taken_at_once_holds_nothing():
    """Guards against memory that stays reserved after a response."""

    async def scenario(conn, budget):
        conn.data_received(GET % 1)
        await asyncio.sleep(0.01)
        return budget.held_bytes

    assert _play(scenario) == 0


def test_the_end_of_a_connection_releases_what_was_not_sent():
    """Guards against memory that stays reserved for callers that are gone."""

    async def scenario(conn, budget):
        conn.pause_writing()
        conn.data_received(GET % 1)
        await asyncio.sleep(0.01)
        conn.data_received(GET % 0 + GET % 2)
        await asyncio.sleep(0.01)
        held = budget.held_bytes
        conn.connection_lost(None)
        return held, budget.held_bytes

    assert _play(scenario) == (2 * SIZE, 0)


def test_a_response_that_comes_after_the_end_of_its_connection_holds_nothing():
    """Guards against memory that nothing releases any more."""

    async def scenario(conn, budget):
        conn.data_received(GET % 1)
        conn._pipeline[0].request.cancellable = False
        conn.connection_lost(None)
        await asyncio.sleep(0.01)
        return budget.held_bytes

    assert _play(scenario) == 0
