"""Memory of a real process whose bodies fill its budgets."""

import asyncio
import contextlib
import pathlib
import socket

from arbutusflow.platform import wire
from tests.soak.gateway_process import ProcessLimits
from tests.soak.world import SoakWorld

MEMORY_MB = 100  # `memoryMb` of the instance.
UPLOAD_BYTES = 28_000_000  # Fits the budget for bodies of requests.
ANSWER_BYTES = 1_000_000
CALLERS = 24
ROW = 6  # Requests that a caller sends at once.
WATCH_SECONDS = 4.0


def _request(head, number, body=b""):
    lines = [
        head + b" HTTP/1.1",
        b"Host: shop.example",
        wire.REQUEST_ID + b": m%d" % number,
        wire.DEADLINE + b": 20000",
        b"Content-Length: %d" % len(body),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _send(gateway, data):
    """Send from a socket that is not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (gateway.address.host, gateway.address.port))
    await loop.sock_sendall(sock, data)
    return sock


def _peak_mb(gateway):
    status = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024 / 1e6


def _play(directory, messages):
    """Return the largest memory of an instance that gets these, in MB."""

    async def main():
        world = SoakWorld(1, directory, 1)
        world.limits = ProcessLimits(memory_mb=MEMORY_MB)
        try:
            await world.start()
            for endpoint in world.endpoints.values():
                endpoint.usual_seconds = 0.2
            gateway = world.gateways[0]
            with contextlib.ExitStack() as stack:
                sends = [asyncio.create_task(_send(gateway, data)) for data in messages]
                for sock in await asyncio.gather(*sends):
                    stack.callback(sock.close)
                await asyncio.sleep(WATCH_SECONDS)
            return _peak_mb(gateway)
        finally:
            await world.close()

    return asyncio.run(main())


def test_an_upload_that_fits_the_budget_fits_the_memory_limit(tmp_path):
    """Guards against a process that is killed for the copies of one body."""
    upload = _request(b"POST /u/1", 1, bytes(UPLOAD_BYTES))
    assert _play(tmp_path, [upload]) < MEMORY_MB


def test_answers_that_no_caller_reads_fit_the_memory_limit(tmp_path):
    """Guards against a process that is killed for answers that wait for callers."""
    rows = [
        b"".join(
            _request(b"GET /p/bytes-%d" % ANSWER_BYTES, ROW * caller + number)
            for number in range(ROW)
        )
        for caller in range(CALLERS)
    ]
    assert _play(tmp_path, rows) < MEMORY_MB
