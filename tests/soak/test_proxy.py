"""The fault-injecting proxy disturbs responses as it says.

Guards against soak runs in which a disturbance does nothing.
"""

import asyncio
import random

import pytest

from tests.soak.proxy import (
    CHUNK_BYTES,
    EARLY_RESPONSE,
    INTERIM,
    MAX_COPY_DELAY_SECONDS,
    FaultInjectingProxy,
    ResponseFaults,
)

RESPONSE = b"HTTP/1.1 200 OK\r\n\r\n"


async def _send_request(faults, response=RESPONSE, request=b"request"):
    """Return the received bytes, whether the connection broke, and the reports."""

    async def _answer(reader, writer):
        while await reader.read(100):
            writer.write(response)
        writer.close()

    reports = []
    target = await asyncio.start_server(_answer, "127.0.0.1", 0)
    proxy = FaultInjectingProxy(
        target.sockets[0].getsockname()[1],
        on_fault=lambda fault, response: reports.append((fault, response)),
    )
    await proxy.start()
    proxy.response_faults = faults
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(request)
    received, broken = b"", False
    try:
        async with asyncio.timeout(3 * MAX_COPY_DELAY_SECONDS):
            while data := await reader.read(100):
                received += data
            broken = True
    except TimeoutError:
        pass  # The connection is still open.
    except ConnectionResetError:
        broken = True
    writer.close()
    proxy.close()
    target.close()
    return received, broken, reports


@pytest.mark.parametrize(
    ("fault", "expected", "broken"),
    [
        ("repeated", RESPONSE * 2, False),
        ("lost", b"", True),
        ("cut", None, True),
        ("invalid", RESPONSE.replace(b"200", b"000"), False),
    ],
)
def test_a_response_is_disturbed(fault, expected, broken):
    faults = ResponseFaults(random.Random(1), **{fault: 1.0})
    received, was_broken, reports = asyncio.run(_send_request(faults))
    assert was_broken == broken
    assert reports == [(fault, RESPONSE)]
    if expected is not None:
        assert received == expected
    else:
        # A reset may overtake the bytes before it.
        assert received in (b"", RESPONSE[: len(RESPONSE) // 2])


def test_an_interim_response_stands_in_front_and_is_no_fault():
    faults = ResponseFaults(random.Random(1), interim=1.0)
    assert asyncio.run(_send_request(faults)) == (INTERIM + RESPONSE, False, [])


@pytest.mark.parametrize("body, early", [(b"hi", False), (b"h", True), (b"", True)])
def test_an_upload_gets_a_response_before_it_is_read(body, early):
    head = b"POST / HTTP/1.1\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n"
    faults = ResponseFaults(random.Random(1), early=1.0)
    received, _, reports = asyncio.run(_send_request(faults, request=head + body))
    response = EARLY_RESPONSE % b"r1"
    assert received == (response if early else RESPONSE)
    assert reports == ([("early", response)] if early else [])


def test_without_faults_a_response_arrives_once():
    assert asyncio.run(_send_request(None)) == (RESPONSE, False, [])


def test_a_response_of_many_chunks_is_not_disturbed():
    """Guards against copies of a part within an answer, which no endpoint sends."""
    body = b"." * 4 * CHUNK_BYTES
    large = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    faults = ResponseFaults(random.Random(1), repeated=1.0)
    assert asyncio.run(_send_request(faults, large)) == (large, False, [])
