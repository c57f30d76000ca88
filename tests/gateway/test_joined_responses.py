"""Responses behind an earlier one that broke off.

Guards against a refusal that an endpoint never sent: the head of a second copy of a
rejection, cut anywhere, in front of the answer to a request that has run.
"""

import asyncio

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import ExchangeError
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run

HEAD = b"POST / HTTP/1.1\r\nRequest-Id: %b\r\n\r\n"
OLD, NEW = b"r-7c", b"r-7d"
ID = b"Request-Id: %b\r\n"
LENGTH = b"Content-Length: %d\r\n"
REFUSALS = {
    "full": b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
    "elsewhere": b"HTTP/1.1 421 Misdirected Request\r\n",
    "too many": b"HTTP/1.1 429 X\r\nNot-Executed: 1\r\nRetry-After: 0.5\r\n",
    "idle": b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nKeep-Alive: timeout=5\r\n",
}
ANSWERS = {
    "run": (200, b"HTTP/1.1 200 OK\r\nResponse-Seal: 3e1b\r\n"),
    "failed": (500, b"HTTP/1.1 500 Internal Server Error\r\n"),
    "interim": (200, b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"),
    "refused": (503, b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"),
}


def message(head, request_id, body=b"text"):
    return head + ID % request_id + LENGTH % len(body) + b"\r\n" + body


def answer_behind(earlier, answer):
    """Return the response that is taken for the answer, or None if there is none."""

    async def main():
        conn = ClientConnection(b"request-id")
        conn.connection_made(FakeTransport())
        for request_id, data in (
            (OLD, message(b"HTTP/1.1 200 OK\r\n", OLD)),
            (NEW, b""),
        ):
            fut = conn.exchange(HEAD % request_id, b"", 1.0, request_id)
            task = asyncio.ensure_future(fut)
            await asyncio.sleep(0)
            conn.data_received(data or earlier + answer)
            if request_id == NEW:
                conn.connection_lost(None)
            try:
                response = await task
            except ExchangeError as exc:
                assert exc.sent
                return None
        return response

    return run(main())


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("id_first", [False, True])
def test_no_part_of_a_rejection_becomes_the_answer(refusal, answer, id_first):
    head = REFUSALS[refusal]
    earlier = message(head, OLD)
    if id_first:
        status_line, _, rest = head.partition(b"\r\n")
        earlier = message(status_line + b"\r\n" + ID % OLD + rest, OLD)
    status, head = ANSWERS[answer]
    for cut in range(len(earlier) + 1):
        response = answer_behind(earlier[:cut], message(head, NEW))
        assert response is None or response.status == status, earlier[:cut]
        if cut in (0, len(earlier)):
            assert response is not None


HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [b"Not-Executed", b"Date", b"Keep-Alive", b"Via", b"X", b"Set-Cookie"]
        ),
        st.from_regex(rb"[!-9;-~][ -~]{0,8}", fullmatch=True),
    ),
    max_size=5,
)


@settings(deadline=None)
@given(
    headers=HEADERS,
    status=st.sampled_from([b"200 OK", b"421 X", b"429 X", b"503 X", b"503 "]),
    part=st.floats(0.0, 1.0),
    answer=st.sampled_from(sorted(ANSWERS)),
)
def test_no_part_of_any_response_becomes_the_answer(headers, status, part, answer):
    head = b"HTTP/1.1 " + status + b"\r\n"
    head += b"".join(b"%b: %b\r\n" % header for header in headers)
    earlier = message(head, OLD)
    status, answer_head = ANSWERS[answer]
    response = answer_behind(
        earlier[: round(part * len(earlier))], message(answer_head, NEW)
    )
    assert response is None or response.status == status


def test_a_header_that_names_a_protocol_is_taken():
    """Guards against refusing the answers of endpoints behind a proxy."""
    head = b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 cache\r\nUpgrade: HTTP/2.0\r\n"
    assert answer_behind(b"", message(head, NEW)).status == 200
