"""Model of instances and endpoints in several zones, without a network.

Each instance chooses by its own `EndpointTable`, which learns from its own answers, and
from the load of the whole fleet as of the latest digest.
"""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator

from arbutusflow.gateway.load.admission import Admission
from arbutusflow.gateway.load.endpoint_load import EndpointState, EndpointTable
from arbutusflow.gateway.load.room_reports import RoomExchange
from arbutusflow.gateway.model import Address, Endpoint, Repeatability, Route

SERVICE = "gallery"
SLOTS = 4
SPEEDS = (0.6, 1.0, 1.4)
DIGEST_SECONDS = 0.15
OBJECTIVE_SECONDS = 0.8
DEADLINE_SECONDS = 2.4
ROUTE = Route("r", "h", "/", Repeatability.IDEMPOTENT, (), 3.0, OBJECTIVE_SECONDS, 0, 3)

# Returns by which factor work takes longer, by number of the endpoint in its zone, time
# and requests at the endpoint.
Slowdown = Callable[[int, float, int], float]


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
    # Endpoint, requests ahead, expected and measured seconds of each answer.
    answers: tuple[tuple[str, int, float, float], ...] = ()

    @property
    def left_zone_share(self) -> float:
        """Share of the requests that were sent to another zone."""
        return self.left_zone / self.requests

    def share_within(self, seconds: float) -> float:
        """Return the share of requests that were answered within a time."""
        return sum(s <= seconds for s in self.response_seconds) / self.requests


class _Server:
    """An endpoint that serves `SLOTS` requests at once, in order of arrival."""

    def __init__(self, number: int, speed: float, slowdown: Slowdown | None) -> None:
        self.number, self.speed, self.slowdown = number, speed, slowdown
        self.free_at = [0.0] * SLOTS
        self.in_flight = 0

    def finish_time(self, now: float, work: float) -> float:
        start = max(now, heapq.heappop(self.free_at))
        taken = work / self.speed
        if self.slowdown is not None:
            taken *= self.slowdown(self.number, now, self.in_flight)
        heapq.heappush(self.free_at, start + taken)
        return start + taken


def run_zones(
    work: Work,
    utilizations: dict[str, float],
    instances_per_zone: int,
    endpoints_per_zone: int,
    seconds: float,
    seed: int,
    *,
    speeds: tuple[float, ...] = SPEEDS,
    slowdown: Slowdown | None = None,
    learn: bool = False,
    admission: bool = False,
) -> ZoneLoads:
    """Run requests for `seconds`; the load is given by zone, as share of its slots.

    With `learn` the instances of a zone exchange what they see of endpoints. With
    `admission` they refuse requests that are not expected to be in time.
    """
    rng = random.Random(seed)
    servers: dict[str, _Server] = {}
    endpoints: dict[str, Endpoint] = {}
    for zone, number in itertools.product(utilizations, range(endpoints_per_zone)):
        name = f"{zone}-e{number}"
        servers[name] = _Server(number, speeds[number % len(speeds)], slowdown)
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
    exchanges = {zone: RoomExchange() for zone in utilizations}
    events: list[tuple[float, int, object]] = []
    numbers = itertools.count()
    mean = (
        work.mean_seconds
        * (1 + work.tail_share * (work.tail_factor - 1))
        / (sum(speeds) / len(speeds))
    )
    for zone, utilization in utilizations.items():
        per_second = utilization * endpoints_per_zone * SLOTS / mean
        for at in _arrivals(per_second, seconds, rng):
            heapq.heappush(events, (at, next(numbers), zone))
    for step in range(int(seconds / DIGEST_SECONDS)):
        heapq.heappush(events, (step * DIGEST_SECONDS, next(numbers), None))
    left, times, requests, answers = 0, [], 0, []
    while events:
        now, _, event = heapq.heappop(events)
        if event is None:
            for table in itertools.chain(*tables.values()):
                others = {
                    name: server.in_flight - table.states[name].own_in_flight
                    for name, server in servers.items()
                }
                table.update_peer_report("fleet", others, now)
            for zone, exchange in exchanges.items() if learn else ():
                exchange.take_samples(now)
                for table in tables[zone]:
                    table.rooms = exchange
                    # Any of them may have learned: all use the figures at once.
                    exchange.changed = set(exchange.rooms)
                    table.learn_rooms(now, as_granter=True)
        elif isinstance(event, str):
            table = rng.choice(tables[event])
            state = _choose(table, now, admission=admission)
            if state is None:
                requests += 1
                continue
            ahead = state.own_in_flight + state.other_in_flight(now)
            server = servers[state.endpoint.id]
            state.own_in_flight += 1
            server.in_flight += 1
            requests += 1
            left += state.endpoint.zone != event
            end = server.finish_time(now, work.draw(rng))
            times.append(end - now)
            ended = (state, ahead, end - now, table, state.expected_seconds(now))
            heapq.heappush(events, (end, next(numbers), ended))
        else:
            state, ahead, taken, table, expected = event  # type: ignore[misc]
            answers.append((state.endpoint.id, ahead, expected, taken))
            at_once = servers[state.endpoint.id].in_flight
            table.count_answer(state, taken, at_once, 1.0, now)
            state.own_in_flight -= 1
            servers[state.endpoint.id].in_flight -= 1
            state.record_response(taken, ahead, now)
    return ZoneLoads(requests, left, tuple(times), tuple(answers))


def _choose(
    table: EndpointTable, now: float, *, admission: bool
) -> EndpointState | None:
    """Return the endpoint for a request as `Dispatcher` does; None if refused."""
    for compare_all in (False, True):
        state = table.choose(SERVICE, set(), now, compare_all=compare_all)
        assert state is not None
        if not admission:
            return state
        check = Admission(table, random.Random(1)).check
        if check(state, ROUTE, DEADLINE_SECONDS, 0.0, now) is None:
            return state
    return None


def _arrivals(per_second: float, seconds: float, rng: random.Random) -> Iterator[float]:
    at = rng.expovariate(per_second)
    while at < seconds:
        yield at
        at += rng.expovariate(per_second)
