"""Processor time, throughput and latency of requests through real entry processes.

Processor time is read from the operating system for each entry process. Runs are
repeated because other load on the host affects every result. To compare two source
trees, a fleet of each is started and runs alternate between them. Requests sent
directly to the endpoints are the baseline for the latency that the router adds.
"""

import asyncio
import concurrent.futures
import contextlib
import dataclasses
import itertools
import multiprocessing
import os
import pathlib
import statistics
import sys
from collections.abc import Iterator, Sequence
from typing import Annotated, Self

import httptools
import msgspec
import typer
from hdrh.histogram import HdrHistogram

from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Kind,
    Rank,
    Service,
)
from arbutusflow.request_ids import new_request_id
from arbutusflow.runtime.curl_loop import CurlLoop
from arbutusflow.standins.fleet import HOST, Fleet, FleetClient, running_fleet

ENDPOINT_COUNT = 3
ENDPOINT_PORT = 21_500
SLOTS_PER_ENDPOINT = 64
# Without the router, each generator loads one endpoint.
GENERATOR_COUNT = ENDPOINT_COUNT
KEY_COUNT = 512
MAX_LATENCY_US = 10_000_000
PORT_OFFSET = 6_000
SECOND_FLEET_PORT_OFFSET = 500  # Offset from the ports of the first fleet.
RUN_SECONDS = 2.0
REPETITIONS = 3
CONNECTIONS = 32
BODY_BYTES = 64
CPU_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Load(msgspec.Struct, frozen=True):
    """Settings of one load generator, which sends requests to one port.

    `rate` limits the requests per second; with 0, each connection sends its next
    request as soon as the previous one is answered.
    """

    port: int
    connections: int
    seconds: float
    rate: float
    body_bytes: int
    repeatable: bool
    prefix: str = "/v1"


class LoadResult(msgspec.Struct, frozen=True):
    """Counts of answered and refused requests and their encoded latency histogram."""

    answered: int
    refused: int
    histogram: bytes


class HotPathCost(msgspec.Struct, frozen=True):
    """Results for one request path.

    `entry_cpu_us` and `coordinator_cpu_us` are processor time per answered request.
    """

    path: str
    requests_per_second: float
    refused: int
    p50_ms: float
    p99_ms: float
    entry_cpu_us: float
    coordinator_cpu_us: float
    entry_rss_mb: float

    @classmethod
    def median_of(cls, costs: "Sequence[HotPathCost]") -> Self:
        """Return the median of each field, except that refusals are summed."""

        def median(name: str) -> float:
            return statistics.median(getattr(cost, name) for cost in costs)

        return cls(
            costs[0].path,
            median("requests_per_second"),
            sum(cost.refused for cost in costs),
            median("p50_ms"),
            median("p99_ms"),
            median("entry_cpu_us"),
            median("coordinator_cpu_us"),
            median("entry_rss_mb"),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPath:
    """Path of a request through the entry instances.

    `entry` is the index of the instance that receives it, None without the router.
    """

    name: str
    entry: int | None
    repeatable: bool


REQUEST_PATHS = (
    RequestPath("one hop, repeatable", 1, repeatable=True),
    RequestPath("one hop, once", 1, repeatable=False),
    RequestPath("both hops, repeatable", 0, repeatable=True),
    RequestPath("both hops, once", 0, repeatable=False),
)
DIRECT_PATH = RequestPath("without the router", None, repeatable=True)


@dataclasses.dataclass(frozen=True, slots=True)
class SourceTree:
    """A running fleet whose entry instances run the code of one source tree."""

    name: str
    fleet: Fleet


class _Connection(asyncio.Protocol):
    """Connection of a load generator, with one request in flight at a time."""

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
        """Send a request and return its HTTP status, 0 if the connection was lost."""
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self._done


def generate_load(load: Load) -> LoadResult:
    """Run one load generator in the calling process."""
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
            if status == 200:
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
        f"POST {load.prefix}/bench/{kind}/key-{number % KEY_COUNT} HTTP/1.1\r\n"
        f"Host: {HOST}\r\nContent-Length: {len(body)}\r\n"
        f"Arbutus-Request-Id: {new_request_id()}\r\n\r\n"
    )
    return head.encode() + body


def bench_configuration() -> Configuration:
    """Return two availability zones, with the measured service in the second one."""
    endpoints = tuple(
        # Baseline requests carry no fencing token, so the endpoints must not check it.
        Endpoint(
            f"bench-{i}",
            "zone-b",
            HOST,
            ENDPOINT_PORT + i,
            SLOTS_PER_ENDPOINT,
            1_000,
            checks_tokens=False,
        )
        for i in range(ENDPOINT_COUNT)
    )
    # A fleet starts entry instances only in availability zones with endpoints.
    other = Endpoint("other-1", "zone-a", HOST, ENDPOINT_PORT + ENDPOINT_COUNT)
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
    seconds: float = RUN_SECONDS,
    connections: int = CONNECTIONS,
    body_bytes: int = BODY_BYTES,
    port_offset: int = PORT_OFFSET,
) -> list[HotPathCost]:
    """Measure all request paths at full load and at half of its request rate."""
    with (
        _running_source_tree("this", None, port_offset) as tree,
        _generators() as generators,
    ):
        runner = LoadRunner(generators, seconds, connections, body_bytes)
        costs = []
        for path in REQUEST_PATHS:
            full = runner.median(tree, path)
            half = runner.median(tree, path, full.requests_per_second / 2)
            costs += [
                msgspec.structs.replace(full, path=f"{path.name}, full load"),
                msgspec.structs.replace(half, path=f"{path.name}, half load"),
            ]
        return costs


@contextlib.contextmanager
def _running_source_tree(
    name: str,
    source: pathlib.Path | None,
    port_offset: int,
    profile: pathlib.Path | None = None,
) -> Iterator[SourceTree]:
    with running_fleet(
        bench_configuration(),
        0.0,
        None,
        port_offset,
        entries=2,
        entry_source=source,
        entry_profiles=profile,
    ) as fleet:
        asyncio.run(_wait_until_served(fleet))
        yield SourceTree(name, fleet)


@contextlib.contextmanager
def _generators() -> Iterator[concurrent.futures.Executor]:
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(GENERATOR_COUNT, context) as executor:
        yield executor


async def _wait_until_served(fleet: Fleet) -> None:
    curl = CurlLoop(asyncio.get_running_loop())
    client = FleetClient(curl, fleet.ports, entries=2)
    await client.wait_until_live()
    await client.create_services(fleet.cfg)
    await client.wait_until_served(fleet.cfg)
    await asyncio.sleep(1.0)
    curl.close()


class LoadRunner:
    """Loads fleets by load generators in separate processes."""

    def __init__(
        self,
        generators: concurrent.futures.Executor,
        seconds: float = RUN_SECONDS,
        connections: int = CONNECTIONS,
        body_bytes: int = BODY_BYTES,
    ) -> None:
        self._generators = generators
        self._seconds = seconds
        self._connections = connections
        self._body_bytes = body_bytes

    def median(
        self, tree: SourceTree, path: RequestPath, rate: float = 0.0
    ) -> HotPathCost:
        """Return the medians of `REPETITIONS` runs."""
        return HotPathCost.median_of(
            [self.run(tree, path, rate) for _ in range(REPETITIONS)]
        )

    def run(
        self, tree: SourceTree, path: RequestPath, rate: float = 0.0
    ) -> HotPathCost:
        """Return the results of one run; `rate` is unlimited if it is 0."""
        fleet = tree.fleet
        pids = [fleet.processes[name].pid for name in ("entry-1", "entry-2")]
        loads = [
            self._load(fleet, path, rate / GENERATOR_COUNT, i)
            for i in range(GENERATOR_COUNT)
        ]
        before = [_cpu_seconds(pid) for pid in pids]
        results = list(self._generators.map(generate_load, loads))
        cpu_used = [
            _cpu_seconds(pid) - cpu for pid, cpu in zip(pids, before, strict=True)
        ]
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for result in results:
            histogram.decode_and_add(result.histogram)
        answered = sum(result.answered for result in results)
        return HotPathCost(
            path.name,
            answered / self._seconds,
            sum(result.refused for result in results),
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
            cpu_used[0] * 1e6 / max(1, answered),
            cpu_used[1] * 1e6 / max(1, answered),
            _resident_mb(pids[1]),
        )

    def _load(
        self, fleet: Fleet, path: RequestPath, rate: float, generator: int
    ) -> Load:
        port, prefix = fleet.cfg.services[0].endpoints[generator].port, "/requests"
        if path.entry is not None:
            port, prefix = fleet.ports.caller + path.entry, "/v1"
        return Load(
            port,
            self._connections // GENERATOR_COUNT,
            self._seconds,
            rate,
            self._body_bytes,
            path.repeatable,
            prefix,
        )


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def print_hot_path(
    against: Annotated[
        pathlib.Path | None,
        typer.Option(help="Source tree to compare with; runs alternate between both."),
    ] = None,
    profile: Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for cProfile output of the entry instances."),
    ] = None,
    seconds: Annotated[float, typer.Option(help="Duration of one run.")] = RUN_SECONDS,
    repetitions: Annotated[int, typer.Option(min=1)] = REPETITIONS,
    way: Annotated[
        str, typer.Option(help="Measure only request paths whose name contains this.")
    ] = "",
    latency: Annotated[bool, typer.Option(help="Also measure at half load.")] = True,
    port_offset: Annotated[int, typer.Option()] = PORT_OFFSET,
) -> None:
    """Print medians, with the range of processor times in brackets."""
    with contextlib.ExitStack() as stack:
        trees = [
            stack.enter_context(
                _running_source_tree("this", None, port_offset, profile)
            )
        ]
        if against is not None:
            other = _running_source_tree(
                against.name, against, port_offset + SECOND_FLEET_PORT_OFFSET
            )
            trees.append(stack.enter_context(other))
        runner = LoadRunner(stack.enter_context(_generators()), seconds)
        _print_line(
            f"{'tree':<10}{'path':<34}{'req/s':>7}{'refused':>8}{'p50 ms':>8}"
            f"{'p99 ms':>8}{'entry us':>18}{'coordinator us':>18}{'RSS MB':>8}"
        )
        for measured in REQUEST_PATHS:
            if way in measured.name:
                _print_path(runner, trees, measured, repetitions, latency=latency)


def _print_path(
    runner: LoadRunner,
    trees: list[SourceTree],
    path: RequestPath,
    repetitions: int,
    *,
    latency: bool,
) -> None:
    rates = _print_interleaved(
        runner, [(tree, path) for tree in trees], 0.0, repetitions
    )
    if latency:
        # Latencies are comparable only at the same request rate.
        _print_interleaved(
            runner,
            [(trees[0], DIRECT_PATH), *((tree, path) for tree in trees)],
            min(rates) / 2,
            repetitions,
        )


def _print_interleaved(
    runner: LoadRunner,
    measured: list[tuple[SourceTree, RequestPath]],
    rate: float,
    repetitions: int,
) -> list[float]:
    """Alternate runs of all `measured`, print them, return requests per second."""
    runs: list[list[HotPathCost]] = [[] for _ in measured]
    for _ in range(repetitions):
        for number, (tree, path) in enumerate(measured):
            runs[number].append(runner.run(tree, path, rate))
    for (tree, path), costs in zip(measured, runs, strict=True):
        cost = HotPathCost.median_of(costs)
        name = f"{path.name}, {'half' if rate else 'full'} load"
        entry = _median_and_range([item.entry_cpu_us for item in costs])
        coordinator = _median_and_range([item.coordinator_cpu_us for item in costs])
        _print_line(
            f"{tree.name:<10}{name:<34}{cost.requests_per_second:>7.0f}"
            f"{cost.refused:>8}{cost.p50_ms:>8.2f}{cost.p99_ms:>8.2f}"
            f"{entry:>18}{coordinator:>18}{cost.entry_rss_mb:>8.1f}"
        )
    return [HotPathCost.median_of(costs).requests_per_second for costs in runs]


def _median_and_range(values: list[float]) -> str:
    return f"{statistics.median(values):.0f} ({min(values):.0f}-{max(values):.0f})"


def _print_line(line: str) -> None:
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    typer.run(print_hot_path)
