"""Which idle connections the pool uses again, and how many it keeps."""

import asyncio

import pytest

from arbutusflow.gateway import connection_pool
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.model import Address, ExchangeError
from tests.gateway.virtual_time import run

ADDRESS = Address("10.0.0.1", 80)


class FakeConnection:
    """Connection that stays usable until a test ends it."""

    keep_alive_seconds = 10.0

    def __init__(self):
        self.usable, self.closed = True, False
        self.idle_since = 0.0

    def has_carried(self, request_id):
        return False

    def close(self):
        self.closed = True


class Opener:
    """Replaces the class of connections; opens one in 4 ms."""

    def __init__(self):
        self.connections = []
        self.reset_after_seconds = None  # After a connection is opened.

    async def open(self, *args):
        await asyncio.sleep(0.004)
        conn = FakeConnection()
        self.connections.append(conn)
        if self.reset_after_seconds is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.reset_after_seconds, setattr, conn, "usable", False)
        return conn


@pytest.fixture
def opener(monkeypatch):
    result = Opener()
    monkeypatch.setattr(connection_pool, "ClientConnection", result)
    return result


async def use(pool, *, at_most_once):
    async with pool.connection(ADDRESS, at_most_once=at_most_once, timeout=1.0) as conn:
        await asyncio.sleep(0.01)
    conn.idle_since = asyncio.get_running_loop().time()
    return conn


@pytest.mark.parametrize(
    ("idle_seconds", "at_most_once", "count"),
    [
        (1.9, True, 1),
        (2.1, True, 2),
        (2.1, False, 1),
        (3.9, False, 1),
        (4.1, False, 2),
    ],
)
def test_work_that_runs_once_needs_a_recent_connection(
    opener, idle_seconds, at_most_once, count
):
    """Guards against such work on a connection that its endpoint may be closing:
    whether it has run would be unknown."""

    async def scenario():
        pool = ConnectionPool(b"id")
        await use(pool, at_most_once=False)
        await asyncio.sleep(idle_seconds)
        await use(pool, at_most_once=at_most_once)

    run(scenario())
    assert len(opener.connections) == count


@pytest.mark.parametrize(("at_most_once", "refused"), [(True, True), (False, False)])
def test_work_that_runs_once_waits_for_a_reset(opener, at_most_once, refused):
    """Guards against such work on a connection that the endpoint resets at once because
    it has too many: whether it has run would be unknown."""
    opener.reset_after_seconds = 0.005

    async def scenario():
        try:
            await use(ConnectionPool(b"id"), at_most_once=at_most_once)
        except ExchangeError as exc:
            return not exc.sent
        return False

    assert run(scenario()) is refused


def test_idle_connections_to_an_endpoint_are_limited(opener):
    """Guards against idle connections that use up the limit of an endpoint."""

    async def scenario():
        pool = ConnectionPool(b"id")
        pool.set_max_idle({ADDRESS: 3})
        await asyncio.gather(*(use(pool, at_most_once=False) for _ in range(8)))
        open_after_use = sum(not conn.closed for conn in opener.connections)
        await asyncio.sleep(4.1)
        pool.prune()
        return open_after_use, sum(not conn.closed for conn in opener.connections)

    assert run(scenario()) == (3, 0)
    assert len(opener.connections) == 8
