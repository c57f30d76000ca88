"""Service by rank at one endpoint before, during and after floods.

A discrete-event model with a controlled clock and seeded random numbers runs the
same arrivals and service times through the endpoint queue of the product and
through plain alternatives. The modelled endpoint runs `slots` requests at once,
queues some more, sheds beyond that and skips requests whose deadline has passed.

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
LARGEST_LATENCY_US = 60_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Load and endpoint of one run; loads are multiples of the capacity."""

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
        """Requests per second that the endpoint can run."""
        return self.slots / self.mean_seconds


class Queue(Protocol):
    """The part of `EndpointQueue` that the model drives."""

    def offer(self, request: QueuedRequest, now: float) -> list[DroppedRequest]:
        """Take a request in."""
        ...

    def next(self, now: float) -> QueuedRequest | None:
        """Dispatch a request."""
        ...

    def finished(self, ticket: int, now: float, finish: Finish) -> object:
        """End a dispatched request."""
        ...


class FirstInFirstOut:
    """Passes each request on at once, without limit, rank or deadline."""

    def __init__(self) -> None:
        self._waiting: collections.deque[QueuedRequest] = collections.deque()

    def offer(self, request: QueuedRequest, now: float) -> list[DroppedRequest]:
        """Append the request."""
        self._waiting.append(request)
        return []

    def next(self, now: float) -> QueuedRequest | None:
        """Return the oldest request."""
        return self._waiting.popleft() if self._waiting else None

    def finished(self, ticket: int, now: float, finish: Finish) -> None:
        """Learn nothing."""


def _ours(model: Model) -> Queue:
    return EndpointQueue(model.queue_capacity, AdaptiveLimit(model.slots))


def _fixed_limit(model: Model) -> Queue:
    return EndpointQueue(model.queue_capacity, FixedLimit(model.slots))


def _no_shares(model: Model) -> Queue:
    return EndpointQueue(
        model.queue_capacity,
        AdaptiveLimit(model.slots),
        shares=dict.fromkeys(RANKS, 0),
        dispatch_order=(Rank.URGENT,),
    )


def _no_limit(model: Model) -> Queue:
    return FirstInFirstOut()


POLICIES: dict[str, Callable[[Model], Queue]] = {
    "shares, adaptive": _ours,
    "shares, fixed limit": _fixed_limit,
    "no shares": _no_shares,
    "FIFO, no limit": _no_limit,
}


@dataclasses.dataclass(slots=True)
class _Cell:
    offered: int = 0
    in_time: int = 0
    latencies: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, LARGEST_LATENCY_US, 3)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Service of one rank in one phase.

    `goodput` is the rate of answers within the deadline; percentiles are over all
    answers and in milliseconds, 0 without an answer.
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
    drawn = []
    for index, phase in enumerate(PHASES):
        for rank, load in zip(RANKS, model.load, strict=True):
            flooded = FLOODS.get(phase) is rank
            rate = model.capacity * (model.flood if flooded else load)
            at = index * model.phase_seconds + rng.expovariate(rate)
            while at < (index + 1) * model.phase_seconds:
                service_seconds = rng.expovariate(1.0 / model.mean_seconds)
                caller = f"caller-{rng.randrange(model.callers)}"
                drawn.append((at, rank, caller, service_seconds, phase))
                at += rng.expovariate(rate)
    drawn.sort(key=lambda item: item[0])
    return [
        _Arrival(
            QueuedRequest(number, rank, caller, 0, at + model.deadline_seconds),
            at,
            service_seconds,
            phase,
        )
        for number, (at, rank, caller, service_seconds, phase) in enumerate(drawn)
    ]


class _Run:
    """One policy with one list of arrivals."""

    def __init__(self, model: Model, queue: Queue, arrivals: list[_Arrival]) -> None:
        self._model, self._queue, self._arrivals = model, queue, arrivals
        self._running = 0
        self._inside: collections.deque[int] = collections.deque()
        self._ends: list[tuple[float, int]] = []
        self.cells = {(phase, rank): _Cell() for phase in PHASES for rank in RANKS}

    def run(self) -> None:
        """Play all arrivals and let the endpoint finish."""
        for arrival in self._arrivals:
            while self._ends and self._ends[0][0] <= arrival.at:
                self._end()
            self._cell(arrival).offered += 1
            self._queue.offer(arrival.request, arrival.at)
            self._dispatch(arrival.at)
        while self._ends:
            self._end()

    def _cell(self, arrival: _Arrival) -> _Cell:
        return self.cells[arrival.phase, arrival.request.rank]

    def _dispatch(self, now: float) -> None:
        while (request := self._queue.next(now)) is not None:
            if self._running < self._model.slots:
                self._start(request.ticket, now)
            elif len(self._inside) < self._model.endpoint_queue:
                self._inside.append(request.ticket)
            else:
                self._queue.finished(request.ticket, now, Finish.OVERLOADED)

    def _start(self, ticket: int, now: float) -> None:
        self._running += 1
        end = now + self._arrivals[ticket].service_seconds
        heapq.heappush(self._ends, (end, ticket))

    def _end(self) -> None:
        now, ticket = heapq.heappop(self._ends)
        self._running -= 1
        arrival = self._arrivals[ticket]
        in_time = now <= arrival.request.deadline
        cell = self._cell(arrival)
        cell.in_time += in_time
        cell.latencies.record_value(max(1, int((now - arrival.at) * 1e6)))
        self._queue.finished(ticket, now, Finish.COMPLETED)
        while self._inside and self._running < self._model.slots:
            waiting = self._inside.popleft()
            if self._arrivals[waiting].request.deadline > now:
                self._start(waiting, now)
            else:
                self._queue.finished(waiting, now, Finish.FAILED)
        self._dispatch(now)


def measure(model: Model) -> list[Row]:
    """Return the service of each rank and phase for each policy."""
    arrivals = _arrivals(model)
    rows = []
    for policy, make_queue in POLICIES.items():
        run = _Run(model, make_queue(model), arrivals)
        run.run()
        for (phase, rank), cell in run.cells.items():
            rows.append(
                Row(
                    policy,
                    model.flood,
                    phase,
                    rank,
                    cell.offered / model.phase_seconds,
                    cell.in_time / model.phase_seconds,
                    cell.latencies.get_value_at_percentile(50.0) / 1000.0,
                    cell.latencies.get_value_at_percentile(99.0) / 1000.0,
                )
            )
    return rows


def table(rows: list[Row]) -> str:
    """Return the rows as text.

    The cells of a rank are goodput/offered per second and p50/p99 in milliseconds.
    """
    head = f"{'flood':>5} {'policy':<21} {'phase':<9}"
    lines = [head + "".join(f"{rank.value:>21}" for rank in RANKS)]
    for index in range(0, len(rows), len(RANKS)):
        group = rows[index : index + len(RANKS)]
        line = f"{group[0].flood:>5} {group[0].policy:<21} {group[0].phase:<9}"
        for row in group:
            goodput = f"{row.goodput_per_second:.0f}/{row.offered_per_second:.0f}"
            line += f"{goodput:>12} {f'{row.p50_ms:.0f}/{row.p99_ms:.0f}':>8}"
        lines.append(line)
    return "\n".join(lines)


def main() -> None:
    """Write the table for floods of 0.5 to 5 times the capacity."""
    rows = []
    for flood in (0.5, 1.0, 2.0, 5.0):
        rows += measure(Model(flood=flood))
    sys.stdout.write(table(rows) + "\n")


if __name__ == "__main__":
    main()
