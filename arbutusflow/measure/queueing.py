"""Goodput and latency by rank at one endpoint before, during and after overload.

A discrete-event simulation with simulated time and seeded random numbers runs the
same arrivals and service times through the production endpoint queue and through
simpler queues. The simulated endpoint runs `slots` requests concurrently, queues up
to `endpoint_queue` more, rejects requests beyond that and skips queued requests
whose deadline has passed.

Run: python -m arbutusflow.measure.queueing
"""

import collections
import dataclasses
import heapq
import random
import sys
from collections.abc import Callable
from typing import Protocol

from hdrh.histogram import HdrHistogram

from arbutusflow.domain.admission import (
    RANKS,
    DroppedRequest,
    EndpointQueue,
    QueuedRequest,
)
from arbutusflow.domain.configuration import Rank
from arbutusflow.domain.limits import AdaptiveLimit, Finish, FixedLimit

PHASES = ("before", "flood b", "between", "flood u", "after")
FLOODS = {"flood b": Rank.BACKGROUND, "flood u": Rank.URGENT}
MAX_LATENCY_US = 60_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Parameters of one simulation; loads are multiples of the endpoint's capacity."""

    slots: int = 3
    mean_seconds: float = 0.02
    deadline_seconds: float = 0.25
    endpoint_queue: int = 64
    queue_capacity: int = 256
    phase_seconds: float = 10.0
    callers: int = 20
    flood: float = 2.0
    seed: int = 1
    load: tuple[float, ...] = (0.2, 0.25, 0.15)  # Urgent, normal, background.

    @property
    def capacity(self) -> float:
        """Requests per second that the endpoint can complete."""
        return self.slots / self.mean_seconds


class Queue(Protocol):
    """The methods of `EndpointQueue` that the simulation calls."""

    def offer(self, request: QueuedRequest, now: float) -> list[DroppedRequest]:
        """Enqueue a request and return the requests dropped to make room."""
        ...

    def next(self, now: float) -> QueuedRequest | None:
        """Return the next request to dispatch, if the queue allows one."""
        ...

    def finished(self, ticket: int, now: float, finish: Finish) -> object:
        """Record how a dispatched request ended."""
        ...


class FifoQueue:
    """Dispatches in order of arrival, without limit, rank or deadline."""

    def __init__(self) -> None:
        self._waiting: collections.deque[QueuedRequest] = collections.deque()

    def offer(self, request: QueuedRequest, now: float) -> list[DroppedRequest]:
        """Append the request; none is ever dropped."""
        self._waiting.append(request)
        return []

    def next(self, now: float) -> QueuedRequest | None:
        """Return the oldest request."""
        return self._waiting.popleft() if self._waiting else None

    def finished(self, ticket: int, now: float, finish: Finish) -> None:
        """Do nothing: there is no limit to adapt."""


def _adaptive_limit_with_shares(model: Model) -> Queue:
    return EndpointQueue(model.queue_capacity, AdaptiveLimit(model.slots))


def _fixed_limit_with_shares(model: Model) -> Queue:
    return EndpointQueue(model.queue_capacity, FixedLimit(model.slots))


def _adaptive_limit_without_shares(model: Model) -> Queue:
    return EndpointQueue(
        model.queue_capacity,
        AdaptiveLimit(model.slots),
        shares=dict.fromkeys(RANKS, 0),
        dispatch_order=(Rank.URGENT,),
    )


def _fifo_without_limit(model: Model) -> Queue:
    return FifoQueue()


POLICIES: dict[str, Callable[[Model], Queue]] = {
    "shares, adaptive": _adaptive_limit_with_shares,
    "shares, fixed limit": _fixed_limit_with_shares,
    "no shares": _adaptive_limit_without_shares,
    "FIFO, no limit": _fifo_without_limit,
}


@dataclasses.dataclass(slots=True)
class _Counts:
    offered: int = 0
    in_time: int = 0
    latencies: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Goodput and latency of one rank in one phase.

    Goodput is the rate of answers within the deadline. Percentiles cover all
    answers, late ones included, and are 0 if there was no answer.
    """

    policy: str
    flood: float
    phase: str
    rank: Rank
    offered_per_second: float
    goodput_per_second: float
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    request: QueuedRequest
    at: float
    service_seconds: float
    phase: str


def _arrivals(model: Model) -> list[_Arrival]:
    rng = random.Random(model.seed)
    generated = []
    for index, phase in enumerate(PHASES):
        for rank, load in zip(RANKS, model.load, strict=True):
            flooded = FLOODS.get(phase) is rank
            rate = model.capacity * (model.flood if flooded else load)
            at = index * model.phase_seconds + rng.expovariate(rate)
            while at < (index + 1) * model.phase_seconds:
                service_seconds = rng.expovariate(1.0 / model.mean_seconds)
                caller = f"caller-{rng.randrange(model.callers)}"
                generated.append((at, rank, caller, service_seconds, phase))
                at += rng.expovariate(rate)
    generated.sort(key=lambda item: item[0])
    return [
        _Arrival(
            QueuedRequest(number, rank, caller, 0, at + model.deadline_seconds),
            at,
            service_seconds,
            phase,
        )
        for number, (at, rank, caller, service_seconds, phase) in enumerate(generated)
    ]


class _Simulation:
    """Simulation of one queueing policy on one list of arrivals."""

    def __init__(self, model: Model, queue: Queue, arrivals: list[_Arrival]) -> None:
        self._model, self._queue, self._arrivals = model, queue, arrivals
        self._running = 0
        self._endpoint_queue: collections.deque[int] = collections.deque()
        self._finish_times: list[tuple[float, int]] = []
        self.counts = {(phase, rank): _Counts() for phase in PHASES for rank in RANKS}

    def run(self) -> None:
        """Process all arrivals, then run until the endpoint is idle."""
        for arrival in self._arrivals:
            while self._finish_times and self._finish_times[0][0] <= arrival.at:
                self._finish_next()
            self._counts_of(arrival).offered += 1
            self._queue.offer(arrival.request, arrival.at)
            self._dispatch(arrival.at)
        while self._finish_times:
            self._finish_next()

    def _counts_of(self, arrival: _Arrival) -> _Counts:
        return self.counts[arrival.phase, arrival.request.rank]

    def _dispatch(self, now: float) -> None:
        while (request := self._queue.next(now)) is not None:
            if self._running < self._model.slots:
                self._start(request.ticket, now)
            elif len(self._endpoint_queue) < self._model.endpoint_queue:
                self._endpoint_queue.append(request.ticket)
            else:
                self._queue.finished(request.ticket, now, Finish.OVERLOADED)

    def _start(self, ticket: int, now: float) -> None:
        self._running += 1
        end = now + self._arrivals[ticket].service_seconds
        heapq.heappush(self._finish_times, (end, ticket))

    def _finish_next(self) -> None:
        now, ticket = heapq.heappop(self._finish_times)
        self._running -= 1
        arrival = self._arrivals[ticket]
        in_time = now <= arrival.request.deadline
        counts = self._counts_of(arrival)
        counts.in_time += in_time
        counts.latencies.record_value(max(1, int((now - arrival.at) * 1e6)))
        self._queue.finished(ticket, now, Finish.COMPLETED)
        while self._endpoint_queue and self._running < self._model.slots:
            queued = self._endpoint_queue.popleft()
            if self._arrivals[queued].request.deadline > now:
                self._start(queued, now)
            else:
                self._queue.finished(queued, now, Finish.FAILED)
        self._dispatch(now)


def measure(model: Model) -> list[Row]:
    """Return the goodput and latency of each policy, phase and rank."""
    arrivals = _arrivals(model)
    rows = []
    for policy, create_queue in POLICIES.items():
        simulation = _Simulation(model, create_queue(model), arrivals)
        simulation.run()
        for (phase, rank), counts in simulation.counts.items():
            rows.append(
                Row(
                    policy,
                    model.flood,
                    phase,
                    rank,
                    counts.offered / model.phase_seconds,
                    counts.in_time / model.phase_seconds,
                    counts.latencies.get_value_at_percentile(50.0) / 1000.0,
                    counts.latencies.get_value_at_percentile(99.0) / 1000.0,
                )
            )
    return rows


def table(rows: list[Row]) -> str:
    """Return the rows as an aligned text table.

    Each rank has two columns: goodput/offered per second and p50/p99 in milliseconds.
    """
    heading = f"{'flood':>5} {'policy':<21} {'phase':<9}"
    lines = [heading + "".join(f"{rank.value:>21}" for rank in RANKS)]
    for index in range(0, len(rows), len(RANKS)):
        group = rows[index : index + len(RANKS)]
        line = f"{group[0].flood:>5} {group[0].policy:<21} {group[0].phase:<9}"
        for row in group:
            goodput = f"{row.goodput_per_second:.0f}/{row.offered_per_second:.0f}"
            line += f"{goodput:>12} {f'{row.p50_ms:.0f}/{row.p99_ms:.0f}':>8}"
        lines.append(line)
    return "\n".join(lines)


def main() -> None:
    """Print the table for overloads of 0.5 to 5 times the capacity."""
    rows = []
    for flood in (0.5, 1.0, 2.0, 5.0):
        rows += measure(Model(flood=flood))
    sys.stdout.write(table(rows) + "\n")


if __name__ == "__main__":
    main()
