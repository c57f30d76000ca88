"""Responses whose status line or status is not one of HTTP."""

import asyncio
import itertools

import pytest

from arbutusflow.gateway.client_connection import (
    MAX_INTERIM_RESPONSES,
    ClientConnection,
)
from arbutusflow.gateway.model import ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

TIMEOUT_SECONDS = 5.0
LENGTH = b"Request-Id: a\r\nContent-Length: 2\r\n\r\nhi"
CHUNKED = b"Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
NO_LENGTH = b"Request-Id: a\r\n\r\nhi"
FINAL = b"HTTP/1.1 200 OK\r\n" + LENGTH
ANSWERS = {
    b"HTTP/1.1 200 OK": 200,
    b"HTTP/1.1 200": 200,
    b"HTTP/1.1 200 ": 200,
    b"HTTP/1.1 200  OK": 200,
    b"HTTP/1.0 200 OK": 200,
    b"HTTP/1.1 299 Other": 299,
    b"HTTP/1.1 599 Other": 599,
}
ERRORS = [
    b"HTTP/1.1 000 None",
    b"HTTP/1.1 001 None",
    b"HTTP/1.1 099 None",
    b"HTTP/1.1 600 Other",
    b"HTTP/1.1 700 Other",
    b"HTTP/1.1 999 Other",
    b"HTTP/1.1 0 None",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2xx OK",
    b"HTTP/1.1 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1",
    b"HTTP/2 200 OK",
    b"http/1.1 200 OK",
    b"HTTP/1.1 101 Switching Protocols",
]


def _exchange(data, head_only=False):
    """Return the response or error to received bytes, and the connection.

    The connection stays open, so that an exchange without an outcome ends at its time
    limit; that fails the test.
    """

    async def main():
        loop = asyncio.get_running_loop()
        conn = ClientConnection(b"request-id")
        conn.connection_made(FakeTransport())
        task = asyncio.create_task(
            conn.exchange(b"", b"", TIMEOUT_SECONDS, b"a", head_only)
        )
        await asyncio.sleep(0)
        started_at = loop.time()
        conn.data_received(data)
        try:
            result = await task
        except ExchangeError as exc:
            result = exc
        assert loop.time() == started_at
        return result, conn

    return run(main())


@pytest.mark.parametrize("rest", [LENGTH, CHUNKED])
@pytest.mark.parametrize("line, status", ANSWERS.items())
def test_a_status_line_of_http_makes_an_answer(line, status, rest):
    response, _ = _exchange(line + b"\r\n" + rest)
    assert (response.status, response.body) == (status, b"hi")


@pytest.mark.parametrize("head_only", [False, True])
@pytest.mark.parametrize("rest", [LENGTH, CHUNKED, NO_LENGTH])
@pytest.mark.parametrize("line", ERRORS)
def test_any_other_status_line_is_an_error_at_once(line, rest, head_only):
    """Guards against status 000 on a kept connection: no answer until the time limit.

    The endpoint's place stayed taken as long. Status 700 was given to the caller.
    """
    result, conn = _exchange(line + b"\r\n" + rest, head_only)
    assert isinstance(result, ExchangeError)
    assert result.sent
    assert not conn.usable


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_an_interim_response_is_skipped(status):
    response, conn = _exchange(b"HTTP/1.1 %d Wait\r\n\r\n" % status + FINAL)
    assert (response.status, response.body) == (200, b"hi")
    assert conn.usable


@pytest.mark.parametrize("status", [100, 102, 103])
def test_an_interim_response_with_the_length_0_is_skipped(status):
    """Guards against answers that are lost, because some endpoints state a length where
    HTTP has none."""
    head = b"HTTP/1.1 %d Wait\r\nContent-Length: 0\r\n\r\n" % status
    response, _ = _exchange(head + FINAL)
    assert (response.status, response.body) == (200, b"hi")


@pytest.mark.parametrize(
    "status, rest",
    [
        *itertools.product([100, 102, 103, 199], [LENGTH, CHUNKED]),
        # Of a status that is not in use, so that nothing may follow.
        (199, b"Content-Length: 0\r\n\r\n"),
    ],
)
def test_an_interim_response_with_a_body_is_an_error_at_once(status, rest):
    """Guards against a wait until the time limit for the response after it."""
    result, conn = _exchange(b"HTTP/1.1 %d Wait\r\n" % status + rest)
    assert isinstance(result, ExchangeError)
    assert result.sent
    assert not conn.usable


@pytest.mark.parametrize("count, accepted", [(0, True), (1, False)])
def test_the_number_of_interim_responses_is_limited(count, accepted):
    """Guards against interim responses that keep an exchange going without end."""
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    result, _ = _exchange(interim * (MAX_INTERIM_RESPONSES + count) + FINAL)
    assert isinstance(result, ExchangeError) != accepted
