"""Requests, malformed input, timeouts and disconnects of callers."""

import asyncio
import socket

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import CallerConnection
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.closing import LINGER_SECONDS
from arbutusflow.gateway.model import CallerLimits
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

GET = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"
ERRORS = []
LIMITS = CallerLimits(
    header_bytes=512, body_bytes=100, header_seconds=3.0, idle_seconds=15.0
)


def serve(
    *chunks,
    seconds=1.5,
    handler=None,
    budget=10**6,
    stop=False,
    disconnect=False,
    later=(),
):
    """Feed chunks to a connection; return its transport and the handled requests.

    `later` holds further chunks, each with the seconds after which it arrives.
    """

    async def main():
        seen = []

        async def handle(req):
            seen.append(req)
            if handler is not None:
                return await handler(req)
            return CallerResponse(200, body=req.target)

        server = CallerServer(
            handle,
            BodyBudget(lambda: budget),
            lambda during, exc: ERRORS.append((during, exc)),
        )
        server.limits = LIMITS
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        for chunk in chunks:
            conn.data_received(chunk)
        if stop:
            server.close_after_responses()
        for delay, chunk in later:
            asyncio.get_running_loop().call_later(delay, conn.data_received, chunk)
        if disconnect:
            await asyncio.sleep(0.01)
            conn.connection_lost(None)
        await asyncio.sleep(seconds)
        return transport, seen

    return run(main())


def statuses(transport):
    return [
        int(line.split()[1])
        for line in transport.written.split(b"\r\n")
        if line.startswith(b"HTTP/1.1 ") and b" 100 " not in line
    ]


def test_responses_are_sent_in_request_order():
    async def slow_first(req):
        await asyncio.sleep(0.5 if req.target == b"/a" else 0.0)
        return CallerResponse(200, body=req.target)

    transport, _ = serve(GET % b"a" + GET % b"b", handler=slow_first)
    assert transport.written.index(b"/a") < transport.written.index(b"/b")


@pytest.mark.parametrize(
    "chunks, status",
    [
        ((b"GARBAGE\r\n\r\n",), 400),
        ((b"GET / HTTP/1.1\r\nX: %b\r\n\r\n" % (b"a" * 600),), 431),
        ((b"GET / HTTP/1.1\r\nX: " + b"a" * 600,), 431),
        ((b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",), 413),
        (
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"65\r\n" + b"a" * 101 + b"\r\n0\r\n\r\n",
            ),
            413,
        ),
        (
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            400,
        ),
    ],
)
def test_bad_input_gets_one_response_and_closes_the_connection(chunks, status):
    """Bytes after bad input must not be parsed as a request (request smuggling)."""
    transport, seen = serve(*chunks, GET % b"smuggled")
    assert statuses(transport) == [status]
    assert transport.closed
    assert seen == []


def test_an_incomplete_request_times_out():
    transport, _ = serve(b"GET / HT", seconds=3.5)
    assert statuses(transport) == [408]


def test_a_body_that_is_late_behind_a_pending_request_is_rejected_once():
    """Guards against a timer that starts itself again without a pause."""

    class CountingConnection(CallerConnection):
        time_outs = 0

        def _time_out(self):
            self.time_outs += 1
            super()._time_out()

    async def main():
        async def handle(req):
            await asyncio.sleep(0.3)
            return CallerResponse(200)

        server = CallerServer(handle, BodyBudget(lambda: 10**6), lambda *_: None)
        server.read_seconds = lambda headers: 0.1
        conn, transport = CountingConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(GET % b"a")
        conn.data_received(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
        await asyncio.sleep(0.5)
        return statuses(transport), conn.time_outs

    assert asyncio.run(main()) == ([200, 408], 1)


def test_an_idle_connection_is_closed_after_the_idle_timeout():
    assert not serve(GET % b"a", seconds=14.0)[0].closed
    transport, _ = serve(GET % b"a", seconds=16.0)
    assert transport.closed
    assert statuses(transport) == [200]


async def _answer_empty(req):
    return CallerResponse(200)


def test_line_ends_between_requests_leave_a_connection_idle():
    """Guards against an answer that no request waits for, and a connection that ends
    before the idle timeout."""
    assert not serve(
        GET % b"a", handler=_answer_empty, seconds=14.0, later=[(1.0, b"\r\n")]
    )[0].closed
    transport, _ = serve(
        GET % b"a", handler=_answer_empty, seconds=17.0, later=[(1.0, b"\r\n")]
    )
    assert transport.closed
    assert statuses(transport) == [200]


def test_a_request_behind_line_ends_has_to_be_complete_in_time():
    """Guards against a head without a timer."""
    later = [(1.0, b"\r\n"), (2.0, b"\r\nGET / HT")]
    assert statuses(
        serve(GET % b"a", handler=_answer_empty, seconds=4.9, later=later)[0]
    ) == [200]
    assert statuses(
        serve(GET % b"a", handler=_answer_empty, seconds=5.1, later=later)[0]
    ) == [200, 408]


def test_an_error_while_a_request_is_read_cuts_no_other_off():
    """Guards against a fault of this program that is answered as the caller's, or that
    ends the connection under a request that was passed on."""

    async def main():
        async def handle(req):
            await asyncio.sleep(0.1)
            return CallerResponse(200)

        def read_seconds(headers):
            if (b"x", b"bad") in headers:
                raise KeyError("a bug")
            return 1.0

        errors = []
        server = CallerServer(
            handle, BodyBudget(lambda: 0), lambda during, exc: errors.append(exc)
        )
        server.read_seconds = read_seconds
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(GET % b"a" + b"GET /b HTTP/1.1\r\nHost: h\r\nX: bad\r\n\r\n")
        await asyncio.sleep(0.2)
        return statuses(transport), [type(exc) for exc in errors], transport.eof_written

    assert run(main()) == ([200, 500], [KeyError], True)


def test_a_request_for_an_upgrade_is_answered_and_ends_the_connection():
    """Guards against a connection that ends under a request that was passed on, and
    against bytes of another protocol that are read as a request."""
    upgrade = b"GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    transport, seen = serve(
        GET % b"first" + upgrade + GET % b"b", GET % b"c", handler=_answer_empty
    )
    assert statuses(transport) == [200, 200]
    assert [req.target for req in seen] == [b"/first", b"/a"]
    assert transport.written.count(b"Connection: close") == 1
    assert transport.closed


def test_a_request_behind_one_that_asks_for_the_close_is_not_passed_on():
    """Guards against a connection that ends under a request that was passed on."""
    closes = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    for chunks in (
        (GET % b"a" + closes + GET % b"c",),
        (GET % b"a", closes, GET % b"c"),
    ):
        transport, seen = serve(*chunks, handler=_answer_empty)
        assert statuses(transport) == [200, 200]
        assert [req.target for req in seen] == [b"/a", b"/b"]
        assert transport.written.count(b"Connection: close") == 1


def test_a_body_over_the_memory_budget_is_refused_before_it_runs():
    transport, seen = serve(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" + b"a" * 50,
        budget=10,
    )
    assert statuses(transport) == [503]
    assert b"Retry-After" in transport.written
    assert seen == []


def test_a_stopping_instance_answers_what_it_has_read_and_closes_the_connection():
    """Guards against requests cut off at an endpoint behind a response that closes."""
    transport, seen = serve(GET % b"a" + GET % b"b", stop=True)
    first, second = transport.written.split(b"HTTP/1.1 200")[1:]
    assert b"Connection: close" not in first
    assert b"Connection: close" in second
    assert transport.closed
    assert [req.target for req in seen] == [b"/a", b"/b"]


def test_a_stopping_instance_reads_no_request_behind_a_response_that_closes():
    """Guards against a caller that keeps an instance from stopping by sending ahead."""
    transport, seen = serve(
        GET % b"a" + GET % b"b", stop=True, later=[(0.5, GET % b"c")], handler=slowly
    )
    assert [req.target for req in seen] == [b"/a", b"/b"]
    assert statuses(transport) == [200, 200]
    assert transport.closed


@pytest.mark.parametrize("delay", [0.0, 0.1], ids=["not-begun", "running"])
def test_an_instance_that_ends_answers_all_that_it_has_read(delay):
    """Guards against connections that end under requests held by an instance."""

    async def held(req):
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            return CallerResponse(502, body=req.target + b" ends")

    async def main():
        server = CallerServer(held, BodyBudget(lambda: 10**6), lambda *_: None)
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(GET % b"a" + GET % b"b" + b"POST /incomplete HTTP/1.1\r\n")
        if delay:
            await asyncio.sleep(delay)
        server.finish()
        conn.data_received(b"\r\n")
        await asyncio.sleep(0.1)
        ended = transport.eof_written
        await asyncio.sleep(2 * LINGER_SECONDS)
        return transport, ended and server.pending_requests == 0

    transport, ended = run(main())
    answers = [int(x[:3]) for x in transport.written.split(b"HTTP/1.1 ")[1:]]
    # A handler that has not begun cannot have sent its request to an endpoint.
    held_status = 502 if delay else 503
    assert answers == [held_status, held_status, 503]
    assert ended
    assert transport.closed


@pytest.mark.parametrize(
    "data",
    [
        2 * (b"GET / HTTP/1.1\r\nX: %b\r\n\r\n" % (b"a" * 600)),
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"
        + b"a" * 50
        + b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
    ],
    ids=["two-heads-too-large", "expect-behind-a-body-over-budget"],
)
def test_nothing_is_written_behind_a_rejection_in_the_same_chunk(data):
    """Guards against an exception in the protocol that callers can cause."""

    async def main():
        server = CallerServer(slowly, BodyBudget(lambda: 10), lambda *_: None)
        server.limits = LIMITS
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(data)
        return transport, server.pending_requests

    transport, pending = run(main())
    assert transport.written.count(b"HTTP/1.1 ") == 1
    assert transport.eof_written
    assert pending == 0


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_a_server_listens_on_addresses_of_both_families(host, monkeypatch):
    """Guards against an IPv6 address of the settings on which nothing can listen."""
    families = []

    def create_server(address, *, family, backlog):
        families.append(family)
        raise OSError

    monkeypatch.setattr(socket, "create_server", create_server)
    server = CallerServer(slowly, BodyBudget(lambda: 10), lambda *_: None)
    with pytest.raises(OSError):
        run(server.start(host, 0))
    assert families == [socket.AF_INET6 if ":" in host else socket.AF_INET]


async def slowly(req):
    """Respond to `/a` at once and to others after a second."""
    await asyncio.sleep(0.0 if req.target == b"/a" else 1.0)
    return CallerResponse(200)


@pytest.mark.parametrize("cancellable", [True, False])
def test_a_request_is_cancelled_on_disconnect_only_if_cancellable(cancellable):
    """A request that is not idempotent must run to its end once it was sent."""
    ended = []

    async def handler(req):
        req.cancellable = cancellable
        await asyncio.sleep(0.3)
        ended.append(req.target)
        return CallerResponse(200)

    serve(GET % b"a", handler=handler, disconnect=True)
    assert ended == ([] if cancellable else [b"/a"])


def test_trailers_are_not_treated_as_headers():
    _, seen = serve(
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n0\r\nDeadline-Ms: 1\r\n\r\n"
    )
    assert seen[0].body == b"ab"
    assert seen[0].header(b"deadline-ms") is None


def test_requests_without_a_response_are_reported_with_the_cause():
    """Guards against requests cut off by this instance that leave no log line."""

    async def never(req):
        await asyncio.sleep(60.0)

    async def main():
        cut = []
        server = CallerServer(never, BodyBudget(lambda: 10**6), lambda *_: None)
        server.on_cut = lambda req, cause: cut.append((req.target, cause))
        conn = CallerConnection(server)
        conn.connection_made(FakeTransport())
        conn.data_received(GET % b"a" + GET % b"b" + b"GET /incomplete HTTP/1.1\r\n")
        server.report_cut()
        return cut

    assert run(main()) == [(b"/a", "process_ended"), (b"/b", "process_ended")]


def test_a_handler_exception_is_logged_and_returns_500():
    """Guards against a caller that gets no response if the handler raises."""

    async def broken(req):
        raise KeyError("x")

    transport, _ = serve(GET % b"a", handler=broken)
    assert statuses(transport) == [500]
    assert ERRORS[-1][0] == "request"
