"""Cost of the way of a request through entry instances, on real processes.

Processor time is read from the operating system for each entry process, so the
figures hold on a busy machine too; latencies do not.
"""

import asyncio
import concurrent.futures
import itertools
import multiprocessing
import os
import time

import httptools
import msgspec
import uuid6
from hdrh.histogram import HdrHistogram

from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Kind,
    Rank,
    Service,
)
from arbutusflow.runtime.curl_loop import CurlLoop
from arbutusflow.standins.fleet import HOST, Fleet, FleetClient, running_fleet

ENDPOINTS = 4
ENDPOINT_PORT = 21_500
SLOTS = 64
GENERATORS = 3
KEYS = 512
MAX_LATENCY_US = 10_000_000
PORT_OFFSET = 6_000
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Load(msgspec.Struct, frozen=True):
    """What one load generator does: requests to a port over some connections.

    `rate` bounds the requests a second; 0 sends the next one as soon as possible.
    """

    port: int
    connections: int
    seconds: float
    rate: float
    body_bytes: int
    repeatable: bool


class LoadResult(msgspec.Struct, frozen=True):
    """Requests answered and refused, and the histogram of their latency."""

    answered: int
    refused: int
    histogram: bytes


class HotPathCost(msgspec.Struct, frozen=True):
    """Cost of one way through the product.

    `entry_cpu_us` and `coordinator_cpu_us` are processor time for each request.
    """

    path: str
    requests_per_second: float
    refused: int
    p50_ms: float
    p99_ms: float
    entry_cpu_us: float
    coordinator_cpu_us: float
    entry_rss_mb: float


class _Connection(asyncio.Protocol):
    """One connection of a load generator; a request at a time."""

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = None
        self._done: asyncio.Future[int] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self._parser is not None:
            self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(0)

    def on_message_complete(self) -> None:
        if self._done is not None and self._parser is not None:
            self._done.set_result(self._parser.get_status_code())

    async def request(self, data: bytes) -> int:
        """Send a request and return the status, 0 if the connection was lost."""
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self._done


def generate_load(load: Load) -> LoadResult:
    """Run one load generator in this process."""
    return asyncio.run(_generate(load))


async def _generate(load: Load) -> LoadResult:
    loop = asyncio.get_running_loop()
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    counts = {True: 0, False: 0}
    numbers = itertools.count()
    body = b"x" * load.body_bytes
    started = loop.time()
    until = started + load.seconds

    async def run(connection: _Connection) -> None:
        while loop.time() < until:
            number = next(numbers)
            if load.rate:
                await asyncio.sleep(
                    max(0.0, started + number / load.rate - loop.time())
                )
            before = loop.time()
            status = await connection.request(_request(load, number, body))
            if not status:
                return
            counts[status == 200] += 1
            histogram.record_value(max(1, int((loop.time() - before) * 1e6)))

    connections = []
    for _ in range(load.connections):
        _, protocol = await loop.create_connection(_Connection, HOST, load.port)
        connections.append(protocol)
    await asyncio.gather(*(run(connection) for connection in connections))
    return LoadResult(counts[True], counts[False], histogram.encode())


def _request(load: Load, number: int, body: bytes) -> bytes:
    kind = "read" if load.repeatable else "once"
    head = (
        f"POST /v1/bench/{kind}/key-{number % KEYS} HTTP/1.1\r\n"
        f"Host: {HOST}\r\nContent-Length: {len(body)}\r\n"
        f"Arbutus-Request-Id: {uuid6.uuid7()}\r\n\r\n"
    )
    return head.encode() + body


def bench_configuration() -> Configuration:
    """Return a service whose endpoints lie in the second of two zones."""
    endpoints = tuple(
        Endpoint(f"bench-{i}", "zone-b", HOST, ENDPOINT_PORT + i, SLOTS, 1_000)
        for i in range(ENDPOINTS)
    )
    # The first zone needs an endpoint for an entry instance to be started there.
    other = Endpoint("other-1", "zone-a", HOST, ENDPOINT_PORT + ENDPOINTS)
    kinds = (
        Kind("read", Rank.NORMAL, repeatable=True),
        Kind("once", Rank.NORMAL, repeatable=False),
    )
    return Configuration(
        services=(
            Service("bench", kinds, endpoints),
            Service("other", kinds, (other,)),
        )
    )


def measure_hot_path(
    seconds: float = 5.0,
    connections: int = 32,
    body_bytes: int = 64,
    port_offset: int = PORT_OFFSET,
) -> list[HotPathCost]:
    """Measure one hop and both hops, at full load and at half of that."""
    costs = []
    with running_fleet(
        bench_configuration(), 0.0, None, port_offset, entries=2
    ) as fleet:
        asyncio.run(_prepare(fleet))
        for path, number in (("one hop", 1), ("both hops", 0)):
            for kind in (True, False):
                name = f"{path}, {'repeatable' if kind else 'once'}"
                load = Load(
                    fleet.ports.caller + number,
                    connections // GENERATORS,
                    seconds,
                    0.0,
                    body_bytes,
                    kind,
                )
                full = _run(fleet, f"{name}, full load", load)
                rate = full.requests_per_second / 2 / GENERATORS
                half = msgspec.structs.replace(load, rate=rate)
                costs += [full, _run(fleet, f"{name}, half load", half)]
    return costs


async def _prepare(fleet: Fleet) -> None:
    curl = CurlLoop(asyncio.get_running_loop())
    client = FleetClient(curl, fleet.ports, entries=2)
    await client.wait_until_live()
    await client.create_services(fleet.cfg)
    await client.wait_until_served(fleet.cfg)
    await asyncio.sleep(1.0)
    curl.close()


def _run(fleet: Fleet, path: str, load: Load) -> HotPathCost:
    pids = [fleet.processes[name].pid for name in ("entry-1", "entry-2")]
    before = [_cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(GENERATORS, context) as executor:
        results = list(executor.map(generate_load, [load] * GENERATORS))
    elapsed = min(load.seconds, time.monotonic() - started)
    used = [_cpu_seconds(pid) - cpu for pid, cpu in zip(pids, before, strict=True)]
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for result in results:
        histogram.decode_and_add(result.histogram)
    answered = sum(result.answered for result in results)
    return HotPathCost(
        path,
        answered / elapsed,
        sum(result.refused for result in results),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        used[0] * 1e6 / max(1, answered),
        used[1] * 1e6 / max(1, answered),
        _rss_mb(pids[1]),
    )


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def print_hot_path() -> None:
    """Print the table."""
    print(  # noqa: T201
        f"{'path':<34}{'req/s':>8}{'refused':>8}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'entry us':>10}{'coord us':>10}{'RSS MB':>8}"
    )
    for cost in measure_hot_path():
        print(  # noqa: T201
            f"{cost.path:<34}{cost.requests_per_second:>8.0f}{cost.refused:>8}"
            f"{cost.p50_ms:>8.2f}{cost.p99_ms:>8.2f}{cost.entry_cpu_us:>10.0f}"
            f"{cost.coordinator_cpu_us:>10.0f}{cost.entry_rss_mb:>8.1f}"
        )


if __name__ == "__main__":
    print_hot_path()
