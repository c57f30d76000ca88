"""Bytes without end from an endpoint, a caller or the store.

Guards against a process that runs out of memory, or a connection that stays open for
good, because a peer in trouble never ends a head, a body or a trailer.
"""

import asyncio

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import CallerConnection
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.client_connection import (
    MAX_HEAD_BYTES,
    MAX_RESPONSE_BYTES,
    ClientConnection,
    ResponseProgress,
)
from arbutusflow.gateway.closing import LINGER_SECONDS
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.model import Address, CallerLimits, ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

PIECE_BYTES = 16_384
MAX_PIECES = 2 * MAX_RESPONSE_BYTES // PIECE_BYTES
STATUS = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
TEXT = b"x" * PIECE_BYTES
STORE_SECONDS = 30.0  # Longer than any answer of the store takes.


def receive_until_closed(first, piece, pieces=MAX_PIECES, budget=None):
    """Send pieces until the connection is aborted; return the error and the bytes."""

    async def main():
        conn, transport = ClientConnection(b"request-id", budget), FakeTransport()
        conn.connection_made(transport)
        sent = 0

        async def arrive():
            nonlocal sent
            data = first
            for _ in range(pieces):
                await asyncio.sleep(0.0001)
                if transport.aborted:
                    return
                conn.data_received(data)
                sent += len(data)
                data = piece

        task = asyncio.create_task(arrive())
        with pytest.raises(ExchangeError) as caught:
            await conn.exchange(b"x", b"", 60.0, b"a")
        await task
        return caught.value, sent, transport.aborted

    return run(main())


@pytest.mark.parametrize(
    "first, piece",
    [
        (STATUS, b"X-Next: " + TEXT + b"\r\n"),
        (STATUS + b"X-Long: ", TEXT),
        (b"HTTP/1.1 200 ", TEXT),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
        (CHUNKED + b"0\r\nX-Trailer: ", TEXT),
        (CHUNKED + b"0\r\n", b"X-Trailer: " + TEXT + b"\r\n"),
        (CHUNKED + b"5;", TEXT),
    ],
    ids=["headers", "header", "reason", "interim", "trailer", "trailers", "extension"],
)
def test_a_head_or_trailer_without_end_is_cut_off_at_its_limit(first, piece):
    exc, received, aborted = receive_until_closed(first, piece)
    assert exc.sent  # The request may have run.
    assert aborted
    assert received <= MAX_HEAD_BYTES + 3 * len(piece)


@pytest.mark.parametrize(
    "first, piece",
    [
        (STATUS + b"\r\n", TEXT),
        (STATUS + b"Content-Length: 99999999999\r\n\r\n", TEXT),
        (CHUNKED, CHUNK),
        (CHUNKED, b"1;" + TEXT + b"\r\nx\r\n"),
    ],
    ids=["until close", "counted", "chunked", "tiny chunks"],
)
def test_a_body_without_end_is_cut_off_at_its_limit(first, piece):
    exc, received, aborted = receive_until_closed(first, piece)
    assert exc.sent
    assert aborted
    assert received <= MAX_RESPONSE_BYTES + MAX_HEAD_BYTES + 3 * len(piece)


def test_bodies_of_all_responses_share_a_limit():
    """Guards against several endless bodies that together exceed the memory limit."""
    budget = BodyBudget(lambda: 1_000_000)
    exc, received, aborted = receive_until_closed(CHUNKED, CHUNK, budget=budget)
    assert (exc.sent, aborted) == (True, True)
    assert received <= 1_000_000 + 10 * PIECE_BYTES
    assert budget.held_bytes == 0  # Others can use it again.


def test_the_pool_limits_the_bodies_of_its_connections():
    budget = BodyBudget(lambda: 1_000_000)

    async def main():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(CHUNKED)
            while not writer.is_closing():
                writer.write(CHUNK)
                await writer.drain()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        pool = ConnectionPool(b"request-id", budget)
        try:
            async with pool.connection(address, at_most_once=True, timeout=5.0) as conn:
                await conn.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", 20.0, b"a")
        finally:
            server.close()

    with pytest.raises(ExchangeError, match="memory"):
        asyncio.run(main())
    assert budget.held_bytes == 0


def test_an_answer_of_the_store_that_trickles_without_end_is_cut_off():
    """Guards against a copy that is never updated again."""

    async def main():
        conn, transport = ClientConnection(), FakeTransport()
        conn.connection_made(transport)

        async def trickle():
            conn.data_received(STATUS + b"\r\n")
            while not transport.aborted:
                await asyncio.sleep(0.1)
                conn.data_received(b"x")

        task = asyncio.create_task(trickle())
        started = asyncio.get_running_loop().time()
        with pytest.raises(ExchangeError):
            async with asyncio.timeout(10 * STORE_SECONDS):
                await conn.exchange(b"x", b"", 0.7, progress=ResponseProgress(0.7))
        await task
        return asyncio.get_running_loop().time() - started

    assert run(main()) < STORE_SECONDS


def feed_caller(first, piece, pause, seconds, read_seconds=None):
    """Send pieces until the responses end; return what was written and the time.

    The connection is closed soon after that, although the caller goes on sending.
    """

    async def main():
        handled = []

        async def handle(req):
            handled.append(req)
            return CallerResponse(200)

        server = CallerServer(handle, BodyBudget(lambda: 10**9), lambda *_: None)
        server.limits = CallerLimits(4096, 10**9, 3.0, 15.0)
        if read_seconds is not None:
            server.read_seconds = lambda headers: read_seconds
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(first)
        loop = asyncio.get_running_loop()
        started, received = loop.time(), len(first)
        while loop.time() - started < seconds and not transport.eof_written:
            await asyncio.sleep(pause)
            conn.data_received(piece)
            received += len(piece)
        elapsed, written = loop.time() - started, transport.written
        ended = loop.time()
        while loop.time() < ended + LINGER_SECONDS + 2 * pause:
            await asyncio.sleep(pause)
            conn.data_received(piece)
        assert transport.closed
        assert transport.written == written
        return written, elapsed, received, handled

    return run(main())


UPLOAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "first, piece",
    [
        (b"GET / HTTP/1.1\r\nX-Long: ", b"x" * 1000),
        (UPLOAD + b"0\r\nX-Trailer: ", b"x" * 1000),
        (UPLOAD + b"0\r\n", b"X-Trailer: x\r\n" * 70),
        (UPLOAD + b"5;", b"x" * 1000),
    ],
    ids=["header", "trailer", "trailers", "extension"],
)
def test_a_head_or_trailer_of_a_caller_is_cut_off_at_its_limit(first, piece):
    written, _, received, handled = feed_caller(first, piece, 0.001, 10.0)
    assert written.startswith(b"HTTP/1.1 431 ")
    assert received <= 4096 + 3 * len(piece)
    assert handled == []


def test_a_body_of_a_caller_that_trickles_without_end_is_refused_at_its_deadline():
    written, seconds, _, handled = feed_caller(
        UPLOAD, b"1\r\nx\r\n", 0.1, 60.0, read_seconds=5.0
    )
    assert written.startswith(b"HTTP/1.1 408 ")
    assert 5.0 <= seconds < 5.5
    assert handled == []


def test_a_body_that_stops_behind_a_running_request_times_out_later():
    """Guards against a connection without a timer, which stays open for good."""

    async def main():
        running = asyncio.Event()

        async def handle(req):
            await running.wait()
            return CallerResponse(200)

        server = CallerServer(handle, BodyBudget(lambda: 10**9), lambda *_: None)
        server.limits = CallerLimits(4096, 10**9, 3.0, 15.0)
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" + UPLOAD)
        await asyncio.sleep(20.0)
        running.set()
        await asyncio.sleep(40.0)
        return transport.written, transport.closed

    written, closed = run(main())
    assert closed
    assert written.count(b"HTTP/1.1 ") == 2
    assert b"HTTP/1.1 408 " in written


@pytest.mark.parametrize("in_one_piece", [True, False])
def test_a_head_that_stops_behind_a_served_request_times_out(in_one_piece):
    """Guards against a connection without a timer, which also delays a planned stop."""

    async def main():
        async def handle(req):
            await asyncio.sleep(0.1)
            return CallerResponse(200)

        server = CallerServer(handle, BodyBudget(lambda: 10**9), lambda *_: None)
        server.limits = CallerLimits(4096, 10**9, 3.0, 15.0)
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        pieces = [b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"GET / HTTP/1.1\r\nHo"]
        for piece in [b"".join(pieces)] if in_one_piece else pieces:
            conn.data_received(piece)
        await asyncio.sleep(0.1 + 3.4)
        ended = transport.eof_written
        await asyncio.sleep(LINGER_SECONDS)
        return transport.written, ended and transport.closed, server.is_busy

    written, closed, busy = run(main())
    assert closed
    assert not busy
    assert written.count(b"HTTP/1.1 ") == 2
    assert b"HTTP/1.1 408 " in written
