"""What callers of a run record of their connections."""

import asyncio
import random
import socket
import time

import pytest

from arbutusflow.gateway.model import Address
from tests.soak.callers import Caller, CallerHabits, CallerSocket

HOST = "127.0.0.1"
LATE_SECONDS = 0.5
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("answer", [b"", ANSWER], ids=["cut", "answered"])
def test_a_caller_that_reads_late_records_when_its_connection_ended(answer):
    """Guards against requests that count as lost because their caller looks late.

    A request that crosses a close ends when the connection does.
    """

    async def main():
        with socket.create_server((HOST, 0)) as server:
            records = []
            habits = CallerHabits(
                ahead=0.0, reads_late=1.0, late_seconds=LATE_SECONDS, in_pieces=0.0
            )
            caller = Caller("c", random.Random(1), habits, records, lambda *_: None)
            sock = await CallerSocket.open(Address(HOST, server.getsockname()[1]))
            accepted, _address = server.accept()
            task = asyncio.ensure_future(caller.exchange(sock, "n0"))
            await asyncio.sleep(0.1)
            accepted.sendall(answer)
            accepted.close()
            closed_at = time.monotonic()
            await task
            sock.close()
            (record,) = records
            return record.status, record.ended_at - closed_at

    status, seconds = asyncio.run(main())
    if answer:
        assert (status, seconds) == (200, pytest.approx(2 * LATE_SECONDS, abs=0.5))
    else:
        assert status is None
        assert seconds < LATE_SECONDS
