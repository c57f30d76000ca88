"""Callers that end their side of a connection while a request is pending."""

import asyncio
import contextlib
import socket

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.caller_server import CallerResponse, CallerServer

HOST = "127.0.0.1"
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
WORK_SECONDS = 0.5
STOP_SECONDS = 0.2  # By then the work for a caller that is gone has to have ended.


def _play(data, end):
    """Send `data`, then call `end`; return the answer and the seconds of each run."""

    async def main():
        loop, runs = asyncio.get_running_loop(), []

        async def work(req):
            # As the dispatcher does when it sends the request.
            req.cancellable = req.method == b"GET"
            began = loop.time()
            try:
                await asyncio.sleep(WORK_SECONDS)
            finally:
                runs.append(loop.time() - began)
            return CallerResponse(200, body=b"done")

        server = CallerServer(work, BodyBudget(lambda: 10**6), lambda *_: None)
        await server.start(HOST, 0)
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.closing(sock):
            await loop.sock_connect(sock, (HOST, server.port))
            await loop.sock_sendall(sock, data)
            await asyncio.sleep(0.05)
            end(sock)
            answer = b""
            if sock.fileno() >= 0:
                while part := await loop.sock_recv(sock, 65536):
                    answer += part
            await asyncio.sleep(WORK_SECONDS + 0.2)
        server.stop_accepting()
        return answer, runs, len(server.connections)

    return asyncio.run(main())


def _end_sending(sock):
    sock.shutdown(socket.SHUT_WR)


def test_the_answer_to_a_request_that_runs_on_anyway_is_written():
    """Guards against an answer that is dropped, although its caller still reads."""
    answer, runs, _ = _play(POST, _end_sending)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in answer
    assert answer.endswith(b"done")
    assert len(runs) == 1


def test_a_caller_that_ends_its_side_gives_up_what_may_be_cancelled():
    """Guards against work for a caller that is gone.

    A caller that closes and one that only ends its side look alike until something is
    written, and the work for the first has to stop within half a second.
    """
    answer, runs, count = _play(GET, _end_sending)
    assert answer == b""
    assert len(runs) == 1
    assert runs[0] < STOP_SECONDS
    assert count == 0


def test_a_caller_that_closes_leaves_no_connection_behind():
    """Guards against connections that stay open for an answer that nobody reads."""
    _, runs, count = _play(POST, lambda sock: sock.close())
    assert len(runs) == 1
    assert count == 0


def test_a_request_behind_one_that_is_given_up_ends_with_the_connection():
    """Guards against answers out of order."""
    answer, runs, count = _play(GET + POST, _end_sending)
    assert answer == b""
    assert len(runs) == 2
    assert count == 0
