"""Model of instances and endpoints in several zones, without a network.

Each instance chooses by its own `EndpointTable`, which learns from its own answers, and
from the load of the whole fleet as of the latest digest.
"""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Iterator

from arbutusflow.gateway.load.endpoint_load import EndpointTable
from arbutusflow.gateway.model import Address, Endpoint

SERVICE = "gallery"
SLOTS = 4
SPEEDS = (0.6, 1.0, 1.4)
DIGEST_SECONDS = 0.15


@dataclasses.dataclass(frozen=True)
class Work:
    """Distribution of the time that a request takes at an endpoint of speed 1.0."""

    mean_seconds: float
    spread: float  # Standard deviation of the logarithm.
    tail_share: float = 0.03
    tail_factor: float = 7.0

    def draw(self, rng: random.Random) -> float:
        """Return the time of one request in seconds."""
        mu = math.log(self.mean_seconds) - self.spread**2 / 2
        seconds = rng.lognormvariate(mu, self.spread)
        return seconds * (self.tail_factor if rng.random() < self.tail_share else 1.0)


@dataclasses.dataclass(frozen=True)
class ZoneLoads:
    """What the clients and the links between zones saw."""

    requests: int
    left_zone: int  # Requests that were sent to another zone.
    response_seconds: tuple[float, ...]

    @property
    def left_zone_share(self) -> float:
        """Share of the requests that were sent to another zone."""
        return self.left_zone / self.requests

    def share_within(self, seconds: float) -> float:
        """Return the share of requests that were answered within a time."""
        return sum(s <= seconds for s in self.response_seconds) / self.requests


class _Server:
    """An endpoint that serves `SLOTS` requests at once, in order of arrival."""

    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.free_at = [0.0] * SLOTS
        self.in_flight = 0

    def finish_time(self, now: float, work: float) -> float:
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + work / self.speed)
        return start + work / self.speed


def run_zones(
    work: Work,
    utilizations: dict[str, float],
    instances_per_zone: int,
    endpoints_per_zone: int,
    seconds: float,
    seed: int,
) -> ZoneLoads:
    """Run requests for `seconds`; the load is given by zone, as share of its slots."""
    rng = random.Random(seed)
    servers: dict[str, _Server] = {}
    endpoints: dict[str, Endpoint] = {}
    for zone, number in itertools.product(utilizations, range(endpoints_per_zone)):
        name = f"{zone}-e{number}"
        servers[name] = _Server(SPEEDS[number % len(SPEEDS)])
        endpoints[name] = Endpoint(
            name, SERVICE, Address(name, 1), zone, SLOTS, False, 0.0, 1
        )
    tables = {
        zone: [
            EndpointTable(zone, 2.0, random.Random(rng.random()))
            for _ in range(instances_per_zone)
        ]
        for zone in utilizations
    }
    for table in itertools.chain(*tables.values()):
        table.update(endpoints, 0.0)
    events: list[tuple[float, int, object]] = []
    numbers = itertools.count()
    mean = (
        work.mean_seconds
        * (1 + work.tail_share * (work.tail_factor - 1))
        / (sum(SPEEDS) / len(SPEEDS))
    )
    for zone, utilization in utilizations.items():
        per_second = utilization * endpoints_per_zone * SLOTS / mean
        for at in _arrivals(per_second, seconds, rng):
            heapq.heappush(events, (at, next(numbers), zone))
    for step in range(int(seconds / DIGEST_SECONDS)):
        heapq.heappush(events, (step * DIGEST_SECONDS, next(numbers), None))
    left, times, requests = 0, [], 0
    while events:
        now, _, event = heapq.heappop(events)
        if event is None:
            for table in itertools.chain(*tables.values()):
                others = {
                    name: server.in_flight - table.states[name].own_in_flight
                    for name, server in servers.items()
                }
                table.update_peer_report("fleet", others, now)
        elif isinstance(event, str):
            table = rng.choice(tables[event])
            state = table.choose(SERVICE, set(), now)
            assert state is not None
            ahead = state.own_in_flight + state.other_in_flight(now)
            server = servers[state.endpoint.id]
            state.own_in_flight += 1
            server.in_flight += 1
            requests += 1
            left += state.endpoint.zone != event
            end = server.finish_time(now, work.draw(rng))
            times.append(end - now)
            heapq.heappush(events, (end, next(numbers), (state, ahead, end - now)))
        else:
            state, ahead, taken = event  # type: ignore[misc]
            state.own_in_flight -= 1
            servers[state.endpoint.id].in_flight -= 1
            state.record_response(taken, ahead, now)
    return ZoneLoads(requests, left, tuple(times))


def _arrivals(per_second: float, seconds: float, rng: random.Random) -> Iterator[float]:
    at = rng.expovariate(per_second)
    while at < seconds:
        yield at
        at += rng.expovariate(per_second)
