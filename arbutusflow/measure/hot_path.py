"""Cost of the way of a request through entry instances, on real processes.

Processor time is read from the operating system for each entry process, and runs
are repeated, because a busy machine moves every figure. Two source trees are
compared by fleets that run side by side and are loaded in turn. The way without
the router, straight to the endpoints, is the baseline of the added latency.
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

ENDPOINTS = 3
ENDPOINT_PORT = 21_500
SLOTS = 64
GENERATORS = ENDPOINTS  # Without the router, each generator loads one endpoint.
KEYS = 512
MAX_LATENCY_US = 10_000_000
PORT_OFFSET = 6_000
OTHER_TREE_PORTS = 500  # Distance to the ports of the second fleet.
SECONDS = 2.0
REPETITIONS = 3
CONNECTIONS = 32
BODY_BYTES = 64
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
    prefix: str = "/v1"


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

    @classmethod
    def median_of(cls, costs: "Sequence[HotPathCost]") -> Self:
        """Return the median of each figure; refusals are added up."""

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
class Way:
    """A way of a request; `entry` is None for the way without the router."""

    name: str
    entry: int | None
    repeatable: bool


WAYS = (
    Way("one hop, repeatable", 1, repeatable=True),
    Way("one hop, once", 1, repeatable=False),
    Way("both hops, repeatable", 0, repeatable=True),
    Way("both hops, once", 0, repeatable=False),
)
DIRECT = Way("without the router", None, repeatable=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """A source tree whose entry instances are measured, and its running fleet."""

    name: str
    fleet: Fleet


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
        f"POST {load.prefix}/bench/{kind}/key-{number % KEYS} HTTP/1.1\r\n"
        f"Host: {HOST}\r\nContent-Length: {len(body)}\r\n"
        f"Arbutus-Request-Id: {uuid6.uuid7()}\r\n\r\n"
    )
    return head.encode() + body


def bench_configuration() -> Configuration:
    """Return a service whose endpoints lie in the second of two zones."""
    endpoints = tuple(
        # Without the check of tokens, the same endpoints serve the baseline.
        Endpoint(
            f"bench-{i}",
            "zone-b",
            HOST,
            ENDPOINT_PORT + i,
            SLOTS,
            1_000,
            checks_tokens=False,
        )
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
    seconds: float = SECONDS,
    connections: int = CONNECTIONS,
    body_bytes: int = BODY_BYTES,
    port_offset: int = PORT_OFFSET,
) -> list[HotPathCost]:
    """Measure one hop and both hops, at full load and at half of that."""
    with (
        _running_tree("this", None, port_offset) as tree,
        _generators() as generators,
    ):
        meter = Meter(generators, seconds, connections, body_bytes)
        costs = []
        for way in WAYS:
            full = meter.median(tree, way)
            half = meter.median(tree, way, full.requests_per_second / 2)
            costs += [
                msgspec.structs.replace(full, path=f"{way.name}, full load"),
                msgspec.structs.replace(half, path=f"{way.name}, half load"),
            ]
        return costs


@contextlib.contextmanager
def _running_tree(
    name: str,
    source: pathlib.Path | None,
    port_offset: int,
    profile: pathlib.Path | None = None,
) -> Iterator[Tree]:
    with running_fleet(
        bench_configuration(),
        0.0,
        None,
        port_offset,
        entries=2,
        entry_source=source,
        entry_profiles=profile,
    ) as fleet:
        asyncio.run(_prepare(fleet))
        yield Tree(name, fleet)


@contextlib.contextmanager
def _generators() -> Iterator[concurrent.futures.Executor]:
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(GENERATORS, context) as executor:
        yield executor


async def _prepare(fleet: Fleet) -> None:
    curl = CurlLoop(asyncio.get_running_loop())
    client = FleetClient(curl, fleet.ports, entries=2)
    await client.wait_until_live()
    await client.create_services(fleet.cfg)
    await client.wait_until_served(fleet.cfg)
    await asyncio.sleep(1.0)
    curl.close()


class Meter:
    """Loads trees by generators in processes of their own."""

    def __init__(
        self,
        generators: concurrent.futures.Executor,
        seconds: float = SECONDS,
        connections: int = CONNECTIONS,
        body_bytes: int = BODY_BYTES,
    ) -> None:
        self._generators = generators
        self._seconds = seconds
        self._connections = connections
        self._body_bytes = body_bytes

    def median(self, tree: Tree, way: Way, rate: float = 0.0) -> HotPathCost:
        """Return the medians of several runs."""
        return HotPathCost.median_of(
            [self.run(tree, way, rate) for _ in range(REPETITIONS)]
        )

    def run(self, tree: Tree, way: Way, rate: float = 0.0) -> HotPathCost:
        """Return the cost of one run; `rate` 0 loads as much as possible."""
        fleet = tree.fleet
        pids = [fleet.processes[name].pid for name in ("entry-1", "entry-2")]
        loads = [
            self._load(fleet, way, rate / GENERATORS, i) for i in range(GENERATORS)
        ]
        before = [_cpu_seconds(pid) for pid in pids]
        results = list(self._generators.map(generate_load, loads))
        used = [_cpu_seconds(pid) - cpu for pid, cpu in zip(pids, before, strict=True)]
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for result in results:
            histogram.decode_and_add(result.histogram)
        answered = sum(result.answered for result in results)
        return HotPathCost(
            way.name,
            answered / self._seconds,
            sum(result.refused for result in results),
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
            used[0] * 1e6 / max(1, answered),
            used[1] * 1e6 / max(1, answered),
            _rss_mb(pids[1]),
        )

    def _load(self, fleet: Fleet, way: Way, rate: float, generator: int) -> Load:
        port, prefix = fleet.cfg.services[0].endpoints[generator].port, "/requests"
        if way.entry is not None:
            port, prefix = fleet.ports.caller + way.entry, "/v1"
        return Load(
            port,
            self._connections // GENERATORS,
            self._seconds,
            rate,
            self._body_bytes,
            way.repeatable,
            prefix,
        )


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def print_hot_path(
    against: Annotated[
        pathlib.Path | None,
        typer.Option(help="Another source tree, loaded in turn with this one."),
    ] = None,
    profile: Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for cProfile files of the entry instances."),
    ] = None,
    seconds: Annotated[float, typer.Option(help="Length of one run.")] = SECONDS,
    repetitions: Annotated[int, typer.Option(min=1)] = REPETITIONS,
    way: Annotated[str, typer.Option(help="Measure ways with this text.")] = "",
    latency: Annotated[bool, typer.Option(help="Measure at half load too.")] = True,
    port_offset: Annotated[int, typer.Option()] = PORT_OFFSET,
) -> None:
    """Print medians, and the least and greatest processor time in brackets."""
    with contextlib.ExitStack() as stack:
        trees = [stack.enter_context(_running_tree("this", None, port_offset, profile))]
        if against is not None:
            other = _running_tree(against.name, against, port_offset + OTHER_TREE_PORTS)
            trees.append(stack.enter_context(other))
        meter = Meter(stack.enter_context(_generators()), seconds)
        _print(
            f"{'tree':<10}{'way':<34}{'req/s':>7}{'refused':>8}{'p50 ms':>8}"
            f"{'p99 ms':>8}{'entry us':>18}{'coordinator us':>18}{'RSS MB':>8}"
        )
        for measured in WAYS:
            if way in measured.name:
                _print_way(meter, trees, measured, repetitions, latency=latency)


def _print_way(
    meter: Meter, trees: list[Tree], way: Way, repetitions: int, *, latency: bool
) -> None:
    rates = _print_in_turn(meter, [(tree, way) for tree in trees], 0.0, repetitions)
    if latency:
        # One rate for all, or the trees' latencies could not be compared.
        _print_in_turn(
            meter,
            [(trees[0], DIRECT), *((tree, way) for tree in trees)],
            min(rates) / 2,
            repetitions,
        )


def _print_in_turn(
    meter: Meter, measured: list[tuple[Tree, Way]], rate: float, repetitions: int
) -> list[float]:
    """Run all of `measured` in turn, print them, return the requests a second."""
    runs: list[list[HotPathCost]] = [[] for _ in measured]
    for _ in range(repetitions):
        for number, (tree, way) in enumerate(measured):
            runs[number].append(meter.run(tree, way, rate))
    for (tree, way), costs in zip(measured, runs, strict=True):
        cost = HotPathCost.median_of(costs)
        name = f"{way.name}, {'half' if rate else 'full'} load"
        entry = _with_spread([item.entry_cpu_us for item in costs])
        coordinator = _with_spread([item.coordinator_cpu_us for item in costs])
        _print(
            f"{tree.name:<10}{name:<34}{cost.requests_per_second:>7.0f}"
            f"{cost.refused:>8}{cost.p50_ms:>8.2f}{cost.p99_ms:>8.2f}"
            f"{entry:>18}{coordinator:>18}{cost.entry_rss_mb:>8.1f}"
        )
    return [HotPathCost.median_of(costs).requests_per_second for costs in runs]


def _with_spread(values: list[float]) -> str:
    return f"{statistics.median(values):.0f} ({min(values):.0f}-{max(values):.0f})"


def _print(line: str) -> None:
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    typer.run(print_hot_path)
