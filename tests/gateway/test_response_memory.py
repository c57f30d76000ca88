"""Responses of endpoints while the memory for bodies is full."""

import asyncio
import tracemalloc

import pytest

from arbutusflow.gateway.body_budget import SMALL_BODY_BYTES, BodyBudget
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

SIZE = 2 * SMALL_BODY_BYTES
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: %d\r\n\r\n" % SIZE
CHUNKED = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b"x" * SIZE
CHUNK = b"%x\r\n%b\r\n" % (SIZE, BODY)
END = b"0\r\n\r\n"


class _Transport(FakeTransport):
    """Records whether reading is paused."""

    paused = False

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


class _Exchange:
    """One exchange, whose endpoint sends what the transport lets through."""

    def __init__(self, budget, timeout=5.0):
        self.conn, self.transport = (
            ClientConnection(b"request-id", budget),
            _Transport(),
        )
        self.conn.connection_made(self.transport)
        self._task = asyncio.ensure_future(
            self.conn.exchange(b"GET", b"", timeout, b"a")
        )

    async def send(self, *parts):
        for part in parts:
            while self.transport.paused:
                await asyncio.sleep(0.01)
            self.conn.data_received(part)
            await asyncio.sleep(0.01)

    async def body(self):
        try:
            return (await self._task).body
        except ExchangeError as exc:
            return exc.detail


def _play(scenario, limit=1.5 * SIZE):
    async def main():
        budget = BodyBudget(lambda: int(limit))
        result = await scenario(budget)
        return result, budget.held_bytes

    return run(main())


def test_a_response_waits_until_there_is_memory_for_it():
    """Guards against runs of endpoints whose response is thrown away."""

    async def scenario(budget):
        first, second = _Exchange(budget), _Exchange(budget)
        await asyncio.sleep(0)
        await first.send(HEAD, BODY[:-1])
        sending = asyncio.ensure_future(second.send(HEAD, BODY))
        await asyncio.sleep(0.1)
        waits = second.transport.paused
        await first.send(BODY[-1:])
        bodies = [await first.body(), await second.body()]
        await sending
        return waits, second.transport.paused, bodies

    (waits, paused, bodies), held = _play(scenario)
    assert (waits, paused) == (True, False)
    assert bodies == [BODY, BODY]
    assert held == 0


def test_a_response_without_length_waits_as_well():
    """Guards against runs of endpoints whose response is thrown away."""

    async def scenario(budget):
        first, second = _Exchange(budget), _Exchange(budget)
        await asyncio.sleep(0)
        await first.send(HEAD, BODY[:-1])
        sending = asyncio.ensure_future(second.send(CHUNKED, CHUNK, CHUNK, END))
        await asyncio.sleep(0.1)
        waits = second.transport.paused
        await first.send(BODY[-1:])
        bodies = [await first.body(), await second.body()]
        await sending
        return waits, bodies

    (waits, bodies), held = _play(scenario, limit=2.5 * SIZE)
    assert waits
    assert bodies == [BODY, 2 * BODY]
    assert held == 0


def test_a_response_that_waits_for_memory_ends_at_its_deadline():
    """Guards against a wait without end, and against memory that stays reserved."""

    async def scenario(budget):
        first, second = _Exchange(budget), _Exchange(budget, timeout=0.5)
        await asyncio.sleep(0)
        await first.send(HEAD, BODY[:-1])
        await second.send(HEAD)
        detail = await second.body()
        await first.send(BODY[-1:])
        return detail, await first.body()

    (detail, body), held = _play(scenario)
    assert detail == "no response within the time limit"
    assert body == BODY
    assert held == 0


def test_a_response_that_never_fits_is_refused_at_once():
    """Guards against a wait for memory that there cannot be."""

    async def scenario(budget):
        exchange = _Exchange(budget)
        await asyncio.sleep(0)
        await exchange.send(HEAD, BODY)
        return await exchange.body()

    detail, held = _play(scenario, limit=SIZE - 1)
    assert detail == "not enough memory for the response"
    assert held == 0


@pytest.mark.parametrize("complete", [True, False])
def test_a_connection_keeps_no_body_after_its_exchange(complete):
    """Guards against memory of idle connections that nothing counts."""

    async def scenario(budget):
        exchange = _Exchange(budget, timeout=0.5)
        await asyncio.sleep(0)
        await exchange.send(HEAD, BODY[:-1])
        if complete:
            await exchange.send(BODY[-1:])
        return await exchange.body(), exchange.conn.usable, exchange.conn._body

    (body, usable, kept), held = _play(scenario)
    assert usable == complete
    assert body == (BODY if complete else "no response within the time limit")
    assert (kept, held) == ([], 0)


def test_a_response_that_waits_for_memory_holds_two_small_reads():
    """Guards against hundreds of waiting responses that hold a large read each.

    Its size is unknown, so the first read is a small body, which is not counted.
    """
    reads = []

    class Connection(ClientConnection):
        def data_received(self, data):
            reads.append(len(data))
            super().data_received(data)

    async def main():
        async def answer(reader, writer):
            await reader.readuntil(b"GET")
            writer.write(CHUNKED + b"%x\r\n" % 10**6 + bytes(10**6) + b"\r\n" + END)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        budget = BodyBudget(lambda: 2 * 10**6)
        budget.count(2 * 10**6)
        address = Address(*server.sockets[0].getsockname())
        conn = await Connection.open(address, 5.0, b"request-id", budget)
        task = asyncio.ensure_future(conn.exchange(b"GET", b"", 30.0))
        while not reads:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        waiting = sum(reads)
        budget.count(-2 * 10**6)
        body = (await task).body
        conn.close()
        server.close()
        return waiting, len(body)

    waiting, size = asyncio.run(main())
    assert waiting <= 2 * SMALL_BODY_BYTES and size == 10**6


@pytest.mark.parametrize("size", [1, 2, 700])
def test_a_body_in_small_chunks_takes_little_more_than_its_bytes(size):
    """Guards against a process beyond its memory, as the account counts the bytes only:
    an object for each chunk of two bytes took 28 times as much."""
    total = 1_400_000
    chunks = b"%x\r\n%b\r\n" % (size, b"x" * size) * (total // size)

    async def scenario(budget):
        exchange = _Exchange(budget)
        await asyncio.sleep(0)
        tracemalloc.start()
        await exchange.send(CHUNKED)
        for start in range(0, len(chunks), 16_384):
            exchange.conn.data_received(chunks[start : start + 16_384])
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await exchange.send(END)
        return held, len(await exchange.body())

    held, received = _play(scenario, limit=4 * total)[0]
    assert received == total
    assert held < 2 * total
