"""Truncated, late, duplicate and early responses from endpoints."""

import asyncio
import socket

import pytest

from arbutusflow.gateway.client_connection import (
    RESET_ON_CLOSE,
    ClientConnection,
    ResponseProgress,
)
from arbutusflow.gateway.model import ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nhi"
STRAY = b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 3\r\n\r\nold"
NO_LENGTH = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhi"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n0\r\n\r\n"
)
CLOSE = OK.replace(b"Content", b"Connection: close\r\nContent")


def exchange(*arrivals, unsent=0, timeout=1.0):
    """Return the response body or the error, the connection and its transport.

    `arrivals` are bytes, "eof" for an orderly close, or "reset".
    """

    async def main():
        conn, transport = ClientConnection(b"request-id"), FakeTransport()
        conn.connection_made(transport)
        transport.unsent = unsent

        async def arrive():
            for item in arrivals:
                await asyncio.sleep(0.01)
                if item == "eof":
                    conn.eof_received()
                    conn.connection_lost(None)
                elif item == "reset":
                    conn.connection_lost(ConnectionResetError())
                else:
                    conn.data_received(item)

        task = asyncio.create_task(arrive())
        try:
            response = await conn.exchange(
                b"GET / HTTP/1.1\r\n\r\n", b"", timeout, b"a"
            )
            result = response.body
        except ExchangeError as exc:
            result = exc
        await task
        return result, conn, transport

    return run(main())


@pytest.mark.parametrize(
    "arrivals, body, usable",
    [
        ((OK,), b"hi", True),
        ((OK[:20], OK[20:]), b"hi", True),
        ((CHUNKED,), b"hi", True),
        ((b"HTTP/1.1 100 Continue\r\n\r\n" + OK,), b"hi", True),
        ((CLOSE,), b"hi", False),
        ((NO_LENGTH, "eof"), b"hi", False),
        ((STRAY + OK,), b"hi", False),  # A late response to an earlier request.
        ((STRAY, OK), b"hi", False),
        ((OK + b"junk",), b"hi", False),
        ((OK + STRAY,), b"hi", False),
        ((OK, STRAY), b"hi", False),
    ],
)
def test_a_complete_response_to_this_request_is_returned(arrivals, body, usable):
    result, conn, _ = exchange(*arrivals)
    assert result == body
    assert conn.usable == usable


@pytest.mark.parametrize(
    "arrivals",
    [
        (OK[:-1], "eof"),
        (OK[:-1], "reset"),
        (NO_LENGTH, "reset"),
        (CHUNKED[:-5], "eof"),
        (b"\x00\x01garbage\r\n\r\n",),
        (STRAY, "eof"),
        ("eof",),
        (),
    ],
)
def test_an_incomplete_or_stray_response_is_an_error_after_sending(arrivals):
    """A truncated response must not be taken for a complete one."""
    result, conn, _ = exchange(*arrivals)
    assert isinstance(result, ExchangeError)
    assert result.sent
    assert not conn.usable


def test_a_connection_is_not_reused_after_an_early_response():
    """The endpoint would parse the rest of the request body as the next request."""
    result, conn, _ = exchange(OK, unsent=1000)
    assert result == b"hi"
    assert not conn.usable


def test_closing_discards_undelivered_data():
    """Guards against an abandoned grant that arrives after the keys have moved.

    The kernel could deliver it when a network partition ends.
    """
    _, _, transport = exchange(OK)
    options = transport.sock.options
    assert options[socket.SOL_SOCKET, socket.SO_LINGER] == RESET_ON_CLOSE


def test_cancelling_an_exchange_resets_the_connection():
    async def main():
        conn, transport = ClientConnection(b"request-id"), FakeTransport()
        conn.connection_made(transport)
        task = asyncio.create_task(conn.exchange(b"x", b"", 1.0, b"a"))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return transport.aborted

    assert run(main())


def test_a_response_that_arrived_before_the_exchange_was_cancelled_is_known():
    """Guards against an answer that is replaced because its reader ran too late."""

    async def main():
        conn = ClientConnection(b"request-id")
        conn.connection_made(FakeTransport())
        task = asyncio.create_task(conn.exchange(b"", b"", 1.0, b"a"))
        await asyncio.sleep(0.01)
        conn.data_received(OK)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return conn.completed

    assert run(main()).body == b"hi"


@pytest.mark.parametrize("pause, complete", [(0.5, True), (0.8, False)])
def test_a_slow_response_times_out_only_when_it_stalls(pause, complete):
    """Guards against a 400 kB list that times out on every attempt over a slow link."""

    async def main():
        conn, transport = ClientConnection(), FakeTransport()
        conn.connection_made(transport)

        async def arrive():
            for byte in OK:
                await asyncio.sleep(0.01 if byte != OK[-1] else pause)
                conn.data_received(bytes([byte]))

        task = asyncio.create_task(arrive())
        progress = ResponseProgress(stall_seconds=0.7)
        try:
            await conn.exchange(b"x", b"", 0.3, progress=progress)
        except ExchangeError:
            return False
        finally:
            task.cancel()
        return True

    assert run(main()) == complete


def test_a_late_second_copy_of_a_response_does_not_reach_the_next_caller():
    """The copy arrives while the connection is in use for another request."""

    async def main():
        conn, transport = ClientConnection(b"request-id"), FakeTransport()
        conn.connection_made(transport)
        bodies = []
        second = OK.replace(b"Request-Id: a", b"Request-Id: b").replace(b"hi", b"yo")
        for request_id, arrivals in ((b"a", [OK]), (b"b", [OK, second])):
            task = asyncio.create_task(conn.exchange(b"x", b"", 1.0, request_id))
            for data in arrivals:
                await asyncio.sleep(0.01)
                conn.data_received(data)
            bodies.append((await task).body)
        return bodies, conn.usable

    assert run(main()) == ([b"hi", b"yo"], False)
