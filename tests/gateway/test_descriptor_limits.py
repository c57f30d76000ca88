"""Connections while this process has few file descriptors, over real sockets."""

import asyncio
import contextlib
import dataclasses
import os
import resource
import socket

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import NEW_CONNECTION_SECONDS
from arbutusflow.gateway.callers.listener import REPORT_INTERVAL_SECONDS, RETRY_SECONDS
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import DEFAULT_LIMITS, CallerServer
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError
from arbutusflow.gateway.process import Gateway
from tests.gateway.statement_instance import StatementInstance

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
QUEUED_CONNECTIONS = 20
SMALL_BUFFER_BYTES = 8192
WAIT_SECONDS = 20.0


@contextlib.contextmanager
def _no_descriptors():
    """Let this process open no file or socket."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unused = os.open(os.devnull, os.O_RDONLY)
    os.close(unused)
    # A descriptor below the highest one may be free.
    fillers = []
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    while unused < highest:
        fillers.append(os.open(os.devnull, os.O_RDONLY))
        unused = fillers[-1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (unused, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for fd in fillers:
            os.close(fd)


async def _respond(req):
    await asyncio.sleep(float(req.target[1:] or b"0"))
    return CallerResponse(200, body=b"served")


@contextlib.asynccontextmanager
async def _serving(max_connections=None):
    errors = []
    server = CallerServer(
        _respond, BodyBudget(lambda: 10**6), lambda during, exc: errors.append(exc)
    )
    if max_connections is not None:
        server.max_connections = max_connections
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context["exception"]))
    await server.start(HOST, 0)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            yield server, errors
    finally:
        server.stop_accepting()


def _new_sockets(count):
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.setblocking(False)
    return socks


async def _read(sock):
    with contextlib.suppress(OSError):
        return await asyncio.get_running_loop().sock_recv(sock, 65536)
    return b"reset"


@pytest.mark.parametrize("stops", [False, True], ids=["runs", "stops"])
def test_connections_that_wait_for_a_descriptor_are_served(stops):
    """Guards against resets of callers that the kernel has accepted.

    They sent their requests long before this process had a descriptor for them.
    """

    async def main():
        loop = asyncio.get_running_loop()
        async with _serving() as (server, errors):
            early = _new_sockets(QUEUED_CONNECTIONS)
            with _no_descriptors():
                for sock in early:
                    await loop.sock_connect(sock, (HOST, server.port))
                    await loop.sock_sendall(sock, GET)
                await asyncio.sleep(0.1)
                if stops:
                    server.close_after_responses()
                    server.stop_accepting()
                    await asyncio.sleep(0.1)
                    assert server.is_busy
                await asyncio.sleep(REPORT_INTERVAL_SECONDS / 2)
            began = loop.time()
            answers = await asyncio.gather(*(_read(sock) for sock in early))
            seconds = loop.time() - began
            for sock in early:
                sock.close()
        return answers, seconds, errors

    answers, seconds, errors = asyncio.run(main())
    assert all(answer.endswith(b"served") for answer in answers)
    assert seconds < 0.5
    # Reports take time of the event loop, and so keep callers waiting.
    assert 1 <= len(errors) <= 2


def test_send_buffers_grow_at_a_stop_while_no_descriptor_is_free():
    """Guards against answers that the end of the process cuts: their callers read
    slowly, and the system's limit can't be read from a file any more."""

    async def main():
        async with _serving() as (server, _errors):
            (sock,) = _new_sockets(1)
            address = HOST, server.port
            await asyncio.get_running_loop().sock_connect(sock, address)
            while not server.connections:
                await asyncio.sleep(0.01)
            (conn,) = server.connections
            accepted = conn._transport.get_extra_info("socket")
            buffer = socket.SOL_SOCKET, socket.SO_SNDBUF
            accepted.setsockopt(*buffer, SMALL_BUFFER_BYTES)
            before = accepted.getsockopt(*buffer)
            with _no_descriptors():
                server.close_after_responses()
            after = accepted.getsockopt(*buffer)
            sock.close()
        return before, after

    before, after = asyncio.run(main())
    assert after > before


def test_a_lack_of_descriptors_is_no_fault_of_an_endpoint():
    """Guards against endpoints that are taken for unreachable."""

    async def main():
        async with _serving() as (server, _errors):
            address = Address(HOST, server.port)
            with _no_descriptors(), pytest.raises(ExchangeError) as caught:
                await ClientConnection.open(address, 1.0)
            return caught.value

    exc = asyncio.run(main())
    assert (exc.sent, exc.local) == (False, True)


def test_idle_connections_make_room_for_new_ones():
    """Guards against callers that are never accepted, because idle ones hold all room.

    The connection that has been idle for longest is closed first, a busy one never.
    """

    async def main():
        loop = asyncio.get_running_loop()
        async with _serving(max_connections=3) as (server, _errors):
            socks = _new_sockets(5)
            busy, first, second, *late = socks
            for sock, seconds in ((busy, 1.5), (first, 0), (second, 0)):
                await loop.sock_connect(sock, (HOST, server.port))
                await loop.sock_sendall(sock, GET.replace(b"/", b"/%.1f" % seconds, 1))
                if sock is not busy:
                    await _read(sock)
            await asyncio.sleep(1.5 * NEW_CONNECTION_SECONDS)
            for sock in late:
                await loop.sock_connect(sock, (HOST, server.port))
                await loop.sock_sendall(sock, GET)
                assert (await _read(sock)).endswith(b"served")
            closed = [await _read(first), await _read(second)]
            answer = await _read(busy)
            count = len(server.connections)
            for sock in socks:
                sock.close()
        return closed, answer, count

    closed, answer, count = asyncio.run(main())
    assert closed == [b"", b""]
    assert answer.endswith(b"served")
    assert count <= 3


def test_an_error_at_an_idle_connection_does_not_end_accepting():
    """Guards against callers that are never accepted while one connection fails."""

    async def main():
        loop = asyncio.get_running_loop()
        async with _serving(max_connections=2) as (server, errors):
            idle, other, late = socks = _new_sockets(3)
            for sock in (idle, other):
                await loop.sock_connect(sock, (HOST, server.port))
                await loop.sock_sendall(sock, GET)
                await _read(sock)
            failing = min(server.connections, key=lambda conn: conn.idle_since)
            failing._close_idle = lambda: 1 / 0
            await asyncio.sleep(1.5 * NEW_CONNECTION_SECONDS)
            await loop.sock_connect(late, (HOST, server.port))
            await loop.sock_sendall(late, GET)
            # Long before idle connections end by themselves.
            async with asyncio.timeout(DEFAULT_LIMITS.idle_seconds / 2):
                answer = await _read(late)
            for sock in socks:
                sock.close()
        return answer, errors

    answer, errors = asyncio.run(main())
    assert answer.endswith(b"served")
    assert ZeroDivisionError in map(type, errors)


def test_a_connection_waits_while_all_others_are_busy():
    """Guards against busy connections that are closed for new ones."""

    async def main():
        loop = asyncio.get_running_loop()
        async with _serving(max_connections=1) as (server, _errors):
            busy, late = socks = _new_sockets(2)
            for sock in socks:
                await loop.sock_connect(sock, (HOST, server.port))
                head = GET.replace(b"/", b"/0.5", 1) if sock is busy else GET
                await loop.sock_sendall(sock, head)
            await asyncio.sleep(4 * RETRY_SECONDS)
            waiting = len(server.connections)
            answers = [await _read(sock) for sock in socks]
            for sock in socks:
                sock.close()
        return waiting, answers

    waiting, answers = asyncio.run(main())
    assert waiting == 1
    assert all(answer.endswith(b"served") for answer in answers)


@pytest.mark.parametrize(
    "soft, max_descriptors, expected",
    [
        pytest.param(1000, None, 588, id="limit-of-the-process"),
        pytest.param(1000, 4100, 588, id="process-below-settings"),
        pytest.param(1000, 600, 228, id="settings-below-process"),
        pytest.param(1000, 100, 1, id="settings-too-low"),
    ],
)
def test_an_instance_leaves_descriptors_for_endpoints(
    tmp_path, soft, max_descriptors, expected
):
    """Guards against callers that take all descriptors, so that no request can be
    passed on: an instance accepts connections for 0.6 of what sockets may use."""

    async def main():
        cfg = dataclasses.replace(
            StatementInstance("a").gateway._cfg, max_descriptors=max_descriptors
        )
        return Gateway(cfg, tmp_path / "a.toml").caller_server.max_connections

    former = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, former[1]))
    try:
        assert asyncio.run(main()) == expected
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, former)
