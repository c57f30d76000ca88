"""Bodies of requests that endpoints don't read, or read slowly."""

import asyncio

import pytest

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

HEAD = b"POST /a HTTP/1.1\r\n\r\n"
BODY = bytes(range(256)) * 4000  # 1 MB.
REPLY = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nx"
HIGH_WATER_BYTES = 65536  # As of the event loop's transports.


class _Transport(FakeTransport):
    """Keeps what the endpoint has not read."""

    def __init__(self, conn):
        super().__init__()
        self._conn = conn
        self.most_unsent = 0
        self.paused = False

    def write(self, data):
        super().write(data)
        self.unsent += len(data)
        self.most_unsent = max(self.most_unsent, self.unsent)
        if self.unsent > HIGH_WATER_BYTES and not self.paused:
            self.paused = True
            self._conn.pause_writing()

    def drain(self):
        self.unsent = 0
        if self.paused:
            self.paused = False
            self._conn.resume_writing()


def _play(scenario, timeout=5.0):
    async def main():
        conn = ClientConnection(b"request-id")
        transport = _Transport(conn)
        conn.connection_made(transport)
        exchange = asyncio.ensure_future(conn.exchange(HEAD, BODY, timeout, b"a"))
        await asyncio.sleep(0)
        return await scenario(conn, transport, exchange)

    return run(main())


def test_a_body_is_written_whole_while_the_endpoint_reads():
    async def scenario(conn, transport, exchange):
        while transport.unsent:
            transport.drain()
        conn.data_received(REPLY)
        return (await exchange).status, conn.usable, transport

    status, usable, transport = _play(scenario)
    assert (status, usable) == (200, True)
    assert transport.written == HEAD + BODY


def test_a_body_that_the_endpoint_does_not_read_is_not_copied():
    """Guards against a process that is killed for its memory.

    Bodies count once against the limit, and their copies did not count.
    """

    async def scenario(conn, transport, exchange):
        await asyncio.sleep(1.0)
        exchange.cancel()
        return transport.most_unsent

    assert _play(scenario) <= 3 * HIGH_WATER_BYTES


def test_the_rest_of_a_body_is_not_written_behind_its_response():
    """Guards against bytes of one request that an endpoint takes for the next one."""

    async def scenario(conn, transport, exchange):
        conn.data_received(REPLY)
        response = await exchange
        transport.unsent = 0
        written = transport.written
        conn.resume_writing()
        return response.status, conn.usable, transport.aborted, written, transport

    status, usable, aborted, written, transport = _play(scenario)
    assert (status, usable, aborted) == (200, False, True)
    assert transport.written == written
    assert len(written) < len(BODY)


def test_an_exchange_that_ends_drops_the_rest_of_its_body():
    """Guards against memory that a connection keeps after its exchange."""

    async def scenario(conn, transport, exchange):
        with pytest.raises(ExchangeError):
            await exchange
        transport.drain()
        return conn._rest, transport

    rest, transport = _play(scenario, timeout=0.5)
    assert len(rest) == 0
    assert len(transport.written) < len(BODY)
