"""Responses that come before the endpoint has taken the request."""

import asyncio
import contextlib
import socket

import pytest

from arbutusflow.gateway.client_connection import (
    LONG_BODY_BYTES,
    RESET_ON_CLOSE,
    ClientConnection,
)
from arbutusflow.gateway.early_end import SETTLING_SECONDS
from arbutusflow.gateway.model import Address, ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run
from tests.loopback import own_host

NO_LENGTH = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart"
LENGTH = NO_LENGTH.replace(b"a\r\n", b"a\r\nContent-Length: 4\r\n")
UPLOAD = bytes(20_000_000)  # More than the buffers of two sockets hold.
HEAD = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(UPLOAD)


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


async def _read_on(sock, size):
    """Read `size` bytes, or to the end."""
    loop, count = asyncio.get_running_loop(), 0
    while count < size:
        data = await loop.sock_recv(sock, min(size - count, 1_000_000))
        if not data:
            break
        count += len(data)
    return count


async def _upload(
    endpoint, body=UPLOAD, timeout=5.0, on_result=lambda: None, receive_buffer=None
):
    """Return the response to an upload, or the error.

    `endpoint` gets the socket after it has read the head of the request.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server((own_host(), 0)) as listener:
        if receive_buffer is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.setblocking(False)
        host, port = listener.getsockname()

        async def accept():
            sock, _ = await loop.sock_accept(listener)
            sock.setblocking(False)
            with sock:
                await loop.sock_recv(sock, len(HEAD))
                await endpoint(sock)

        task = asyncio.create_task(accept())
        conn = await ClientConnection.open(Address(host, port), 1.0, b"request-id")
        try:
            result = await conn.exchange(HEAD, body, timeout, b"a")
        except ExchangeError as exc:
            result = exc
        assert not conn.usable
        on_result()
        await asyncio.wait_for(task, 5.0)
        conn.abort()
        return result


async def _end_and_reset(sock, pause):
    await asyncio.get_running_loop().sock_sendall(sock, NO_LENGTH)
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(pause)
    _reset(sock)


async def _read_a_part_and_close(sock):
    await asyncio.get_running_loop().sock_sendall(sock, NO_LENGTH)
    sock.shutdown(socket.SHUT_WR)
    await _read_on(sock, 3_000_000)
    sock.close()


@pytest.mark.parametrize(
    "endpoint",
    [
        lambda sock: _end_and_reset(sock, 0.0),
        lambda sock: _end_and_reset(sock, 0.03),
        lambda sock: _end_and_reset(sock, 0.5),
        _read_a_part_and_close,
    ],
)
def test_an_early_response_without_length_is_an_error_if_a_reset_follows_its_end(
    endpoint,
):
    """Guards against a part of a response that callers get as the complete one.

    The endpoint ended its side and reset the connection during a long upload.
    """
    result = asyncio.run(_upload(endpoint))
    assert isinstance(result, ExchangeError)
    assert result.sent


def test_a_long_upload_that_the_kernel_of_its_endpoint_has_taken_proves_nothing():
    """Guards against a part of a response that callers get as the complete one.

    The endpoint read nothing of an upload that its kernel had acknowledged, ended its
    side and reset the connection.
    """

    async def endpoint(sock):
        await asyncio.sleep(0.05)  # All is acknowledged before the response.
        await _end_and_reset(sock, 0.03)

    upload = _upload(endpoint, bytes(LONG_BODY_BYTES), receive_buffer=1_000_000)
    result = asyncio.run(upload)
    assert isinstance(result, ExchangeError)
    assert result.sent


def test_an_early_response_without_length_is_complete_if_the_upload_is_read():
    async def endpoint(sock):
        await asyncio.get_running_loop().sock_sendall(sock, NO_LENGTH)
        sock.shutdown(socket.SHUT_WR)
        assert await _read_on(sock, len(UPLOAD)) == len(UPLOAD)

    assert asyncio.run(_upload(endpoint)).body == b"part"


def test_an_early_response_without_length_fails_at_the_time_limit_if_nothing_is_read():
    """Whether the endpoint will take the rest of the upload is not known then."""

    async def endpoint(sock):
        await asyncio.get_running_loop().sock_sendall(sock, NO_LENGTH)
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.6)

    result = asyncio.run(_upload(endpoint, timeout=0.4))
    assert isinstance(result, ExchangeError)
    assert "time limit" in result.detail


def _exchange_without_io(unsent_at_head, arrivals):
    """Return the response or error, and the seconds from the end to it.

    `arrivals` are pairs of a time after the end, and the number of bytes that are
    unsent from then on, or an error of the connection.
    """

    async def main():
        loop = asyncio.get_running_loop()
        conn, transport = ClientConnection(b"request-id"), FakeTransport()
        conn.connection_made(transport)
        task = asyncio.create_task(conn.exchange(b"", b"body", 10.0, b"a"))
        await asyncio.sleep(0.01)
        transport.unsent = unsent_at_head
        conn.data_received(NO_LENGTH)
        ended_at = loop.time()
        kept_open = conn.eof_received()
        for at, event in arrivals:
            await asyncio.sleep(ended_at + at - loop.time())
            if isinstance(event, int):
                transport.unsent = event
            else:
                conn.connection_lost(event)
        assert kept_open == (unsent_at_head > 0)
        try:
            result = (await task).body
        except ExchangeError as exc:
            result = exc
        return result, loop.time() - ended_at

    return run(main())


def test_a_response_to_a_request_that_was_acknowledged_completes_at_its_end():
    result, seconds = _exchange_without_io(0, [])
    assert result == b"part"
    assert seconds == 0


@pytest.mark.parametrize("acknowledged_after", [0.0, 0.02, 2.0])
def test_an_early_response_completes_after_the_settling_time(acknowledged_after):
    result, seconds = _exchange_without_io(1000, [(acknowledged_after, 0)])
    assert result == b"part"
    assert SETTLING_SECONDS <= seconds - acknowledged_after <= SETTLING_SECONDS + 0.03


@pytest.mark.parametrize(
    "arrivals",
    [
        [(0.05, BrokenPipeError())],
        [(0.05, 0), (0.1, ConnectionResetError())],  # All was acknowledged before.
    ],
)
def test_a_lost_connection_ends_the_wait_for_the_end_of_an_early_response(arrivals):
    result, seconds = _exchange_without_io(1000, arrivals)
    assert isinstance(result, ExchangeError)
    assert seconds == pytest.approx(arrivals[-1][0])


@pytest.mark.parametrize("size", [1_000_000, len(UPLOAD)])
def test_a_connection_is_reset_if_its_endpoint_responds_before_it_reads_the_body(size):
    """Guards against other bytes where the endpoint reads the rest of the body later.

    The kernel holds all of the smaller body that the endpoint's kernel does not take.
    The next request would wait behind it until the endpoint reads on.
    """
    responded, received = asyncio.Event(), []

    async def endpoint(sock):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, LENGTH)
        await responded.wait()
        with pytest.raises(ConnectionResetError):
            while data := await loop.sock_recv(sock, 1_000_000):
                received.append(data)

    result = asyncio.run(_upload(endpoint, bytes(size), on_result=responded.set))
    assert result.body == b"part"
    assert len(b"".join(received)) < size
    assert not b"".join(received).strip(b"\0")


def test_a_connection_that_ended_after_the_upload_was_sent_can_be_reset():
    """Guards against an AttributeError in place of the response or error.

    The event loop's transport allows no reset after it has closed with bytes left to
    send, and has sent them. A cancelled exchange resets its connection.
    """
    response = LENGTH[:-1]

    async def endpoint(sock):
        await asyncio.get_running_loop().sock_sendall(sock, response)
        sock.shutdown(socket.SHUT_WR)
        # The connection may be reset before the last bytes are read.
        with contextlib.suppress(ConnectionResetError):
            await _read_on(sock, len(UPLOAD))

    assert isinstance(asyncio.run(_upload(endpoint)), ExchangeError)
