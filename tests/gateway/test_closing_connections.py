"""Connections that close after a response, over real sockets on a loopback address."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import NEW_CONNECTION_SECONDS
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CLOSED_AT_ONCE, CallerServer
from arbutusflow.gateway.closing import LINGER_SECONDS
from arbutusflow.gateway.lifecycle import FINAL_ANSWER_SECONDS

HOST = "127.0.0.1"
QUEUED_CONNECTIONS = 20
MIB = 1024 * 1024
BODY = b"x" * (4 * MIB)  # More than the buffers of both sockets hold.
CHUNK_BYTES = 1 << 18
SMALL_BUFFER_BYTES = 16 * 1024
UNREAD_BYTES = 200_000  # More than small buffers hold, and less than systems allow.
GET = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
KEPT_GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
WAIT_SECONDS = 30.0


async def _respond(req):
    """Respond with as many MiB as the path says."""
    size = int(req.target[1:] or b"4") * MIB
    return CallerResponse(200, body=b"x" * size)


@contextlib.asynccontextmanager
async def _connect():
    """Provide a server and a connected socket that reads only when told to."""
    server = CallerServer(_respond, BodyBudget(lambda: 10**8), lambda *_: None)
    await server.start(HOST, 0)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (HOST, server.port))
        yield server, sock
    finally:
        sock.close()
        server.stop_accepting()


async def _read_all(sock, seconds=0.0):
    """Read to the end of the connection, and spread the reading over `seconds`."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(sock, CHUNK_BYTES):
        received += data
        await asyncio.sleep(seconds * len(data) / len(BODY))
    return received


def _run(scenario):
    async def main():
        async with asyncio.timeout(WAIT_SECONDS), _connect() as (server, sock):
            return await scenario(server, sock)

    return asyncio.run(main())


@pytest.mark.parametrize("reason", ["caller-closes", "instance-stops"])
def test_a_reset_does_not_overtake_the_answer(reason):
    """Guards against answers that are lost because more bytes of the caller arrive."""

    async def scenario(server, sock):
        loop = asyncio.get_running_loop()
        head = GET
        if reason == "instance-stops":
            server.close_after_responses()
            head = KEPT_GET
        await loop.sock_sendall(sock, head)
        while not any(conn.is_closing for conn in server.connections):
            await asyncio.sleep(0.01)
        await loop.sock_sendall(sock, b"GET /next HTTP/1.1\r\n")
        return await _read_all(sock)

    assert _run(scenario).endswith(BODY)


def test_a_caller_that_reads_slowly_gets_the_whole_answer():
    """Guards against a time limit on answers that are being read steadily."""

    async def scenario(server, sock):
        server.limits = dataclasses.replace(server.limits, idle_seconds=1.0)
        head = GET.replace(b"/", b"/16", 1)
        await asyncio.get_running_loop().sock_sendall(sock, head)
        # Each part is read well within the idle time, all of them are not.
        return await _read_all(sock, seconds=1.0)  # For each 4 MiB.

    assert _run(scenario).endswith(4 * BODY)


def test_a_caller_that_stops_reading_is_reset_after_the_idle_time():
    """Guards against answers that take memory without end."""

    async def scenario(server, sock):
        server.limits = dataclasses.replace(server.limits, idle_seconds=1.0)
        await asyncio.get_running_loop().sock_sendall(sock, GET)
        while not server.connections:
            await asyncio.sleep(0.01)
        while server.connections:
            await asyncio.sleep(0.01)

    _run(scenario)


def test_a_request_that_comes_after_the_linger_time_cuts_no_answer():
    """Guards against a close while the kernel has not delivered the answer."""

    async def scenario(server, sock):
        server.close_after_responses()
        loop = asyncio.get_running_loop()
        # So much that the buffers of the kernel hold all of it.
        await loop.sock_sendall(sock, GET.replace(b"/", b"/2", 1))
        await asyncio.sleep(3 * LINGER_SECONDS)
        await loop.sock_sendall(sock, b"GET /next HTTP/1.1\r\n")
        await asyncio.sleep(0.1)
        return await _read_all(sock)

    assert _run(scenario).endswith(BODY[: 2 * MIB])


@pytest.mark.parametrize("how", ["close_idle", "finish"])
def test_a_kept_connection_is_not_reset_under_an_answer_that_is_being_read(how):
    """Guards against stops that take a connection with an unsent answer for idle."""

    async def scenario(server, sock):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, KEPT_GET)
        while not any(conn._latest_request for conn in server.connections):
            await asyncio.sleep(0.01)
        server.close_after_responses()
        await asyncio.sleep(NEW_CONNECTION_SECONDS)
        getattr(server, how)()
        await loop.sock_sendall(sock, KEPT_GET)
        await asyncio.sleep(0.1)
        return await _read_all(sock)

    assert _run(scenario).endswith(BODY)


@pytest.mark.parametrize("how", ["close_idle", "finish", "idle-timeout"])
def test_a_request_that_the_kernel_has_received_is_answered(how):
    """Guards against a connection that counts as idle while a request waits there.

    The event loop has not read it yet, for example because it was busy.
    """

    async def scenario(server, sock):
        while not server.connections:
            await asyncio.sleep(0.01)
        (conn,) = server.connections
        await asyncio.sleep(NEW_CONNECTION_SECONDS)
        assert not server.is_busy
        sock.send(GET)  # Is received before the event loop runs again.
        assert server.is_busy
        if how == "idle-timeout":
            conn._time_out()
        else:
            server.close_after_responses()
            getattr(server, how)()
        return await _read_all(sock)

    answer = _run(scenario)
    # The instance ends right after `finish`, and serves nothing more.
    refused = answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert refused if how == "finish" else answer.endswith(BODY)


def test_an_answer_that_the_end_of_the_process_cuts_is_reported():
    """Guards against cut answers that leave no log line."""

    async def scenario(server, sock):
        cut = []
        server.on_cut = lambda req, cause: cut.append((req.target, cause))
        await asyncio.get_running_loop().sock_sendall(sock, GET)
        while not any(conn.is_closing for conn in server.connections):
            await asyncio.sleep(0.01)
        server.report_cut()
        return cut

    assert _run(scenario) == [(b"/", "response_unsent")]


@pytest.mark.parametrize("request_head", [GET, KEPT_GET], ids=["closing", "kept"])
@pytest.mark.parametrize("answered", [True, False], ids=["written", "final"])
def test_the_kernel_has_all_answers_when_the_process_ends(request_head, answered):
    """Guards against answers that the end of the process cuts, because their callers
    read slowly: the kernel delivers what it has been given."""
    body = b"x" * UNREAD_BYTES

    async def respond(req):
        if not answered:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(WAIT_SECONDS)
        return CallerResponse(200, body=body)

    async def scenario(server, sock):
        cut, loop = [], asyncio.get_running_loop()
        server.handler = respond
        server.on_cut = lambda req, cause: cut.append(cause)
        while not server.connections:
            await asyncio.sleep(0.01)
        (conn,) = server.connections
        buffers = (socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        conn._transport.get_extra_info("socket").setsockopt(*buffers)
        await loop.sock_sendall(sock, request_head)
        await asyncio.sleep(0.1)
        assert bool(conn._transport.get_write_buffer_size()) is answered
        server.close_after_responses()
        server.finish()
        await asyncio.sleep(FINAL_ANSWER_SECONDS)
        server.report_cut()
        return cut, await _read_all(sock)

    cut, received = _run(scenario)
    assert cut == []
    assert received.endswith(b"\r\n\r\n" + body)


def test_a_caller_that_never_stops_sending_is_closed_after_the_linger_time():
    """Guards against a connection that a caller holds open without end."""

    async def scenario(server, sock):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, GET)
        received = await _read_all(sock)
        began = loop.time()
        with contextlib.suppress(OSError):
            while loop.time() < began + 20 * LINGER_SECONDS:
                await loop.sock_sendall(sock, b"x" * 1024)
                await asyncio.sleep(0.01)
        while server.connections:
            await asyncio.sleep(0.01)
        return received, loop.time() - began

    received, seconds = _run(scenario)
    assert received.endswith(BODY)
    assert seconds < 15 * LINGER_SECONDS


@pytest.mark.parametrize("accepting", [False, True], ids=["queued", "being-set-up"])
def test_connections_that_were_accepted_when_listening_ends_are_served(accepting):
    """Guards against resets of callers that connect just before listening ends.

    Also against connections that the event loop has accepted and then forgets: nobody
    reads them until the process ends.
    """

    async def scenario(server, sock):
        port, early = server.port, []
        for _ in range(QUEUED_CONNECTIONS):
            # The kernel completes these connections before the event loop runs again.
            queued = socket.create_connection((HOST, server.port))
            queued.sendall(GET)
            queued.setblocking(False)
            early.append(queued)
        server.close_after_responses()
        if accepting:
            # In this iteration the loop accepts them, after this task has run. They
            # are set up in the next one, after listening has ended.
            await asyncio.sleep(0)
            asyncio.get_running_loop().call_soon(server.stop_accepting)
        else:
            server.stop_accepting()
        answers = await asyncio.gather(*(_read_all(queued) for queued in early))
        for queued in early:
            queued.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, port)
        return answers

    answers = _run(scenario)
    assert len(answers) == QUEUED_CONNECTIONS
    assert all(answer.endswith(BODY) for answer in answers)


def test_a_request_that_waits_in_the_kernel_is_served_before_an_idle_close():
    """Guards against resets of requests that came while the process did not run.

    A process that gets no processor between its look at the sockets and the close takes
    a connection for idle on which a request arrived long before.
    """

    async def scenario(server, sock):
        loop = asyncio.get_running_loop()
        head = KEPT_GET.replace(b"/", b"/0", 1)
        await loop.sock_sendall(sock, head)
        await loop.sock_recv(sock, CHUNK_BYTES)
        await asyncio.sleep(1.5 * NEW_CONNECTION_SECONDS)
        # Nothing is read between these two calls.
        sock.send(head)
        server.close_idle()
        return await loop.sock_recv(sock, CHUNK_BYTES)

    assert _run(scenario).startswith(b"HTTP/1.1 200")


def test_answers_behind_a_final_one_are_written_when_the_process_ends():
    """Guards against answers of endpoints that an error while an earlier one is
    written leaves in the memory of the process."""
    count = 16

    async def respond(req):
        if req.target == b"/0":
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(WAIT_SECONDS)
            return CallerResponse(502, body=BODY)
        return CallerResponse(200, body=b"x" * UNREAD_BYTES)

    async def scenario(server, sock):
        cut, loop = [], asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)  # They are not what is tested.
        server.handler = respond
        server.on_cut = lambda req, cause: cut.append((req.target, cause))
        heads = [KEPT_GET.replace(b"/", b"/%d" % n, 1) for n in range(count)]
        await loop.sock_sendall(sock, b"".join(heads))
        await asyncio.sleep(0.1)
        server.finish()
        await asyncio.sleep(FINAL_ANSWER_SECONDS)
        server.report_cut()
        return [target for target, cause in cut if cause == "process_ended"]

    assert _run(scenario) == []


def test_a_caller_that_never_reads_is_not_read_from_either():
    """Guards against answers without end in the memory of the process."""
    count = 100

    async def respond(req):
        await asyncio.sleep(0.001)
        return CallerResponse(200, body=b"x" * MIB)

    async def scenario(server, sock):
        server.handler = respond
        loop = asyncio.get_running_loop()
        for _ in range(count):
            await loop.sock_sendall(sock, KEPT_GET)
            await asyncio.sleep(0.005)
        (conn,) = server.connections
        return conn._transport.get_write_buffer_size()

    assert _run(scenario) < 16 * MIB


def test_many_idle_connections_are_closed_in_several_turns():
    """Guards against answers that wait while thousands of connections are closed."""
    count = int(2.5 * CLOSED_AT_ONCE)

    async def scenario(server, sock):
        socks = [socket.create_connection((HOST, server.port)) for _ in range(count)]
        while len(server.connections) <= count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(2 * NEW_CONNECTION_SECONDS)
        left = [len(server.connections)]
        while server.connections:
            server.close_idle()
            await asyncio.sleep(0.05)
            left.append(len(server.connections))
        for client in socks:
            client.close()
        return left

    left = _run(scenario)
    closed = [before - after for before, after in itertools.pairwise(left)]
    assert max(closed) <= CLOSED_AT_ONCE
    assert len(closed) == 3


def test_a_request_behind_another_is_refused_while_the_instance_stops():
    """Guards against answers of endpoints that are lost when the process ends.

    A caller that sends on resets its connection then, under all that it has not read.
    """
    seen = []

    async def respond(req):
        seen.append(req.target)
        await asyncio.sleep(0.2)
        return CallerResponse(200, body=b"served")

    async def scenario(server, sock):
        loop = asyncio.get_running_loop()
        server.handler = respond
        await loop.sock_sendall(sock, KEPT_GET + KEPT_GET.replace(b"/", b"/read", 1))
        await asyncio.sleep(0.1)
        server.close_after_responses()
        await loop.sock_sendall(sock, KEPT_GET.replace(b"/", b"/behind", 1))
        return await _read_all(sock)

    received = _run(scenario)
    assert seen == [b"/", b"/read"]
    first, second, refused = received.split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200") and second.startswith(b"200")
    assert refused.startswith(b"503") and b"Retry-After" in refused
