"""Limits on callers end where they should: sizes, times and the budget for bodies."""

import asyncio

from arbutusflow.gateway.callers.messages import CallerResponse
from tests.gateway.test_caller_server import GET, LIMITS, serve, statuses

POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b"


async def answer(req):
    return CallerResponse(200)


def post(size):
    return POST % (size, b"a" * size)


def test_bodies_do_not_count_as_headers_of_the_next_request():
    """Guards against a caller that is refused (431) after it sent large bodies."""
    count = 2 * LIMITS.header_bytes // LIMITS.body_bytes
    transport, seen = serve(
        *[post(LIMITS.body_bytes)] * count, GET % b"a", handler=answer
    )
    assert statuses(transport) == [200] * (count + 1)
    assert len(seen) == count + 1


def test_a_request_that_is_being_served_is_not_closed_by_the_limits_of_time():
    """Guards against timers that go on when the request has been read."""

    async def slow(req):
        await asyncio.sleep(2 * LIMITS.idle_seconds)
        return CallerResponse(200)

    seconds = 2 * LIMITS.idle_seconds + 1.0
    transport, _ = serve(GET % b"a", handler=slow, seconds=seconds)
    assert statuses(transport) == [200]
    assert not transport.closed


def test_the_budget_for_bodies_is_given_back():
    """Guards against an instance that refuses all bodies after some time."""
    later = [(0.1 * number, post(50)) for number in range(1, 6)]
    transport, _ = serve(post(50), budget=50, later=later, handler=answer)
    assert statuses(transport) == [200] * 6
