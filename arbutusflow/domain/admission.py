"""Bounded request queue of an endpoint with ranks, deadlines and caller fairness.

Invariants:
- At most `capacity` requests wait, and at most the concurrency limit are in flight.
- A request that is shed, expired or cancelled by the queue was not dispatched.
- Lower ranks are guaranteed queue capacity and dispatches in proportion to
  `RANK_SHARES_TENTHS`, so a flood of urgent requests neither evicts nor starves
  them.
- No request of a held unit is dispatched.

Operations take constant or logarithmic amortized time in the length of the queue,
except `hold_unit`, `release_unit` and `take_unit`, which visit each request of the
unit, and `units` and `take_all`, which visit everything.
"""

import collections
import dataclasses
import heapq
from collections.abc import Mapping
from typing import Self

from arbutusflow.domain.configuration import Endpoint, Limits, Rank
from arbutusflow.domain.limits import AdaptiveLimit, ConcurrencyLimit, Finish
from arbutusflow.domain.reasons import RefusalReason

RANKS = (Rank.URGENT, Rank.NORMAL, Rank.BACKGROUND)
RANK_SHARES_TENTHS = {Rank.URGENT: 7, Rank.NORMAL: 2, Rank.BACKGROUND: 1}
# Preferred rank of each of ten consecutive dispatches. The lower ranks are spread
# evenly, so any ten consecutive dispatches contain each rank's share.
DISPATCH_ORDER = tuple(
    {2: Rank.NORMAL, 4: Rank.BACKGROUND, 7: Rank.NORMAL}.get(position, Rank.URGENT)
    for position in range(10)
)
LATENCY_EWMA_WEIGHT = 0.1
MAX_TRACKED_KINDS = 256  # Kinds with a latency estimate; a service has a few.
MIN_SHARED_CAPACITY = 4  # A smaller queue cannot be divided among three ranks.


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request to be queued for an endpoint.

    `deadline` is in seconds of the monotonic clock. An `isolated` request is
    dispatched only if nothing else is in flight at the endpoint, and nothing else
    is dispatched until it ends.
    """

    ticket: int
    rank: Rank
    caller: str
    unit: int
    deadline: float
    kind: str = ""
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedRequest:
    """A request that the queue removed without dispatching it."""

    request: QueuedRequest
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The held unit has no request in flight."""

    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class _InFlight:
    request: QueuedRequest
    dispatched_at: float
    in_flight: int


_CallerQueue = collections.OrderedDict[int, QueuedRequest]


class _RankQueue:
    """Requests of one rank, round robin among callers and FIFO within a caller.

    Only callers with a waiting request are tracked, so their number is bounded by
    the capacity of the queue.
    """

    def __init__(self) -> None:
        self.count = 0
        self._caller_queues: collections.OrderedDict[str, _CallerQueue] = (
            collections.OrderedDict()
        )
        # Callers grouped by their number of requests, to find the largest in constant
        # time.
        self._callers_by_length: list[dict[str, None]] = [{}]

    def __bool__(self) -> bool:
        return bool(self._caller_queues)

    def add(self, request: QueuedRequest, *, first: bool = False) -> None:
        caller_queue = self._caller_queues.setdefault(
            request.caller, collections.OrderedDict()
        )
        caller_queue[request.ticket] = request
        if first:
            caller_queue.move_to_end(request.ticket, last=False)
        self._update_length(request.caller, len(caller_queue) - 1, len(caller_queue))

    def remove(self, request: QueuedRequest) -> None:
        caller_queue = self._caller_queues[request.caller]
        del caller_queue[request.ticket]
        self._update_length(request.caller, len(caller_queue) + 1, len(caller_queue))
        if not caller_queue:
            del self._caller_queues[request.caller]

    def head(self) -> QueuedRequest:
        """Return the next request in round-robin order."""
        caller_queue = next(iter(self._caller_queues.values()))
        return next(iter(caller_queue.values()))

    def rotate(self, caller: str) -> None:
        if caller in self._caller_queues:
            self._caller_queues.move_to_end(caller)

    def length_of(self, caller: str) -> int:
        return len(self._caller_queues.get(caller, ()))

    def max_length(self) -> int:
        return len(self._callers_by_length) - 1

    def newest_of_longest(self) -> QueuedRequest:
        """Return the newest request of a caller with the most waiting requests."""
        caller = next(iter(self._callers_by_length[-1]))
        return next(reversed(self._caller_queues[caller].values()))

    def _update_length(self, caller: str, before: int, after: int) -> None:
        if before:
            del self._callers_by_length[before][caller]
        if after:
            if after == len(self._callers_by_length):
                self._callers_by_length.append({})
            self._callers_by_length[after][caller] = None
        while len(self._callers_by_length) > 1 and not self._callers_by_length[-1]:
            self._callers_by_length.pop()


class EndpointQueue:
    """Requests that wait for an endpoint or are in flight at it."""

    def __init__(
        self,
        capacity: int,
        limit: ConcurrencyLimit,
        *,
        shares: Mapping[Rank, int] = RANK_SHARES_TENTHS,
        dispatch_order: tuple[Rank, ...] = DISPATCH_ORDER,
    ) -> None:
        self._limit = limit
        self._waiting: dict[int, QueuedRequest] = {}
        self._ranks = {rank: _RankQueue() for rank in RANKS}
        self._counts = dict.fromkeys(RANKS, 0)
        self._shares = shares
        self._cumulative_capacity = _cumulative_capacity_by_rank(capacity, shares)
        self._dispatch_order = dispatch_order
        self._by_unit: dict[int, dict[int, None]] = {}
        self._held_units: set[int] = set()
        self._held_requests: dict[Rank, _CallerQueue] = {
            rank: collections.OrderedDict() for rank in RANKS
        }
        self._deadlines: list[tuple[float, int]] = []
        self._in_flight: dict[int, _InFlight] = {}
        self._in_flight_by_unit: collections.Counter[int] = collections.Counter()
        self._typical_latency: dict[str, float] = {}
        self._isolated_in_flight = False
        self._dispatch_position = 0
        self._unreported: list[DroppedRequest] = []

    @classmethod
    def from_config(
        cls, endpoint: Endpoint, limits: Limits, *, slow_start: bool = False
    ) -> Self:
        """Create the queue of a configured endpoint."""
        limit = AdaptiveLimit.from_config(endpoint, slow_start=slow_start)
        return cls(limits.queue_per_endpoint, limit)

    def configure(self, endpoint: Endpoint, limits: Limits) -> None:
        """Apply a changed configuration; waiting requests are kept."""
        self._cumulative_capacity = _cumulative_capacity_by_rank(
            limits.queue_per_endpoint, self._shares
        )
        self._limit.configure(endpoint.slots)

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of dispatched requests that have not finished."""
        return len(self._in_flight)

    @property
    def limit(self) -> ConcurrencyLimit:
        """Concurrency limit, which also takes load reports and restarts."""
        return self._limit

    def waiting(self, rank: Rank) -> int:
        """Return the number of waiting requests of a rank."""
        return self._counts[rank]

    def offer(self, request: QueuedRequest, now: float) -> list[DroppedRequest]:
        """Add a request; return the dropped requests, possibly including it.

        A full queue sheds a request of the rank that `_rank_to_shed` selects, the
        newest one of the caller with the most waiting requests. Shedding the
        request with the least time left instead would let callers reserve capacity
        with long deadlines, because they choose their own. Shedding the oldest
        would discard the longest wait. Requests that cannot be answered in time are
        dropped by the comparison with the typical latency.
        """
        if request.ticket in self._waiting or request.ticket in self._in_flight:
            raise ValueError(f"ticket {request.ticket} is already in the queue")
        dropped = self._expire(now)
        if request.deadline <= now:
            return [*dropped, DroppedRequest(request, RefusalReason.DEADLINE_PASSED)]
        if self._in_flight and self._deadline_too_short(request, now):
            return [*dropped, DroppedRequest(request, RefusalReason.DEADLINE_TOO_SHORT)]
        shed_rank = self._rank_to_shed(request.rank)
        if shed_rank is None:
            self._add(request)
            return dropped
        if shed_rank is request.rank and self._has_longest_queue(request):
            return [*dropped, DroppedRequest(request, RefusalReason.QUEUE_FULL)]
        victim = self._victim(shed_rank)
        self._remove(victim)
        self._add(request)
        reason = (
            RefusalReason.QUEUE_FULL
            if shed_rank is request.rank
            else RefusalReason.SHED_FOR_URGENT
        )
        return [*dropped, DroppedRequest(victim, reason)]

    def next(self, now: float) -> QueuedRequest | None:
        """Dispatch the next request, or return None if none may be dispatched.

        Requests that are dropped here are returned by the next call of `expire`.
        """
        self._unreported += self._expire(now)
        while self._may_dispatch(now):
            queue = self._next_rank_queue()
            if queue is None:
                return None
            request = queue.head()
            if request.isolated and self._in_flight:
                # The request waits until the endpoint is idle. Later requests wait
                # too; otherwise a busy endpoint would never become idle.
                return None
            if self._in_flight and self._deadline_too_short(request, now):
                self._remove(request)
                self._unreported.append(
                    DroppedRequest(request, RefusalReason.DEADLINE_TOO_SHORT)
                )
                continue
            self._dispatch(request, now)
            return request
        return None

    def expire(self, now: float) -> list[DroppedRequest]:
        """Return the requests dropped for their deadlines since the last call."""
        dropped = [*self._unreported, *self._expire(now)]
        self._unreported = []
        return dropped

    def next_deadline(self) -> float | None:
        """Return a lower bound on the next deadline of a waiting request, or None."""
        return self._deadlines[0][0] if self._deadlines else None

    def finished(self, ticket: int, now: float, finish: Finish) -> Drained | None:
        """End a dispatched request; return its unit if it is held and now drained."""
        ended = self._in_flight.pop(ticket, None)
        if ended is None:
            return None
        self._isolated_in_flight = False
        latency = now - ended.dispatched_at
        self._limit.observe(finish, latency, ended.in_flight, ended.request.kind)
        if finish is Finish.COMPLETED:
            self._update_typical_latency(ended.request.kind, latency)
        unit = ended.request.unit
        self._in_flight_by_unit[unit] -= 1
        if self._in_flight_by_unit[unit]:
            return None
        del self._in_flight_by_unit[unit]
        return Drained(unit) if unit in self._held_units else None

    def cancel(self, ticket: int) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        request = self._waiting.get(ticket)
        if request is None:
            return False
        self._remove(request)
        return True

    def hold_unit(self, unit: int) -> Drained | None:
        """Stop dispatching the unit; return `Drained` if none of it is in flight."""
        if unit not in self._held_units:
            self._held_units.add(unit)
            for ticket in self._by_unit.get(unit, ()):
                request = self._waiting[ticket]
                self._ranks[request.rank].remove(request)
                self._held_requests[request.rank][ticket] = request
        return None if self._in_flight_by_unit[unit] else Drained(unit)

    def release_unit(self, unit: int) -> None:
        """Resume dispatching the unit, ahead of newer requests of its callers."""
        if unit not in self._held_units:
            return
        self._held_units.remove(unit)
        for ticket in reversed(self._by_unit.get(unit, {})):
            request = self._waiting[ticket]
            del self._held_requests[request.rank][ticket]
            self._ranks[request.rank].add(request, first=True)

    def units(self) -> list[int]:
        """Return the units that are held or have waiting requests."""
        return [*self._held_units, *(self._by_unit.keys() - self._held_units)]

    def take_unit(self, unit: int) -> list[QueuedRequest]:
        """Remove and return the waiting requests of a unit, oldest first."""
        requests = [self._waiting[ticket] for ticket in self._by_unit.get(unit, ())]
        for request in requests:
            self._remove(request)
        return requests

    def take_all(self) -> list[QueuedRequest]:
        """Remove and return all waiting requests, oldest first."""
        requests = list(self._waiting.values())
        for request in requests:
            self._remove(request)
        return requests

    def _may_dispatch(self, now: float) -> bool:
        return not self._isolated_in_flight and len(
            self._in_flight
        ) < self._limit.current(now)

    def _deadline_too_short(self, request: QueuedRequest, now: float) -> bool:
        # Callers apply this only while a request is in flight. An idle endpoint
        # takes any request, which corrects an estimate that is too high.
        typical = self._typical_latency.get(request.kind, 0.0)
        return request.deadline - now < typical

    def _update_typical_latency(self, kind: str, latency: float) -> None:
        before = self._typical_latency.get(kind, latency)
        if (
            kind in self._typical_latency
            or len(self._typical_latency) < MAX_TRACKED_KINDS
        ):
            smoothed = before + LATENCY_EWMA_WEIGHT * (latency - before)
            self._typical_latency[kind] = smoothed

    def _next_rank_queue(self) -> _RankQueue | None:
        first = self._ranks[self._dispatch_order[self._dispatch_position]]
        if first:
            return first
        return next((self._ranks[rank] for rank in RANKS if self._ranks[rank]), None)

    def _dispatch(self, request: QueuedRequest, now: float) -> None:
        self._remove(request)
        self._ranks[request.rank].rotate(request.caller)
        self._dispatch_position = (self._dispatch_position + 1) % len(
            self._dispatch_order
        )
        self._isolated_in_flight = request.isolated
        in_flight = len(self._in_flight) + 1
        self._in_flight[request.ticket] = _InFlight(request, now, in_flight)
        self._in_flight_by_unit[request.unit] += 1

    def _rank_to_shed(self, rank: Rank) -> Rank | None:
        """Return the rank that must shed a request to admit one of `rank`, or None.

        Capacities are cumulative: one for urgent work, a larger one for urgent and
        normal work together, and the whole queue for all three ranks. The first
        one from `rank` on that is used up determines the rank to shed.
        """
        if len(self._waiting) < self._cumulative_capacity[Rank.URGENT]:
            return None
        used = 0
        for other in RANKS:
            used += self._counts[other]
            if (
                RANKS.index(other) >= RANKS.index(rank)
                and used >= self._cumulative_capacity[other]
            ):
                return other
        return None

    def _has_longest_queue(self, request: QueuedRequest) -> bool:
        queue = self._ranks[request.rank]
        # A difference of one request is tolerated; otherwise two callers would
        # alternately displace each other's accepted requests.
        return queue.length_of(request.caller) + 1 >= queue.max_length()

    def _victim(self, rank: Rank) -> QueuedRequest:
        if self._ranks[rank]:
            return self._ranks[rank].newest_of_longest()
        return next(reversed(self._held_requests[rank].values()))

    def _add(self, request: QueuedRequest) -> None:
        self._waiting[request.ticket] = request
        self._counts[request.rank] += 1
        self._by_unit.setdefault(request.unit, {})[request.ticket] = None
        heapq.heappush(self._deadlines, (request.deadline, request.ticket))
        if request.unit in self._held_units:
            self._held_requests[request.rank][request.ticket] = request
        else:
            self._ranks[request.rank].add(request)

    def _remove(self, request: QueuedRequest) -> None:
        del self._waiting[request.ticket]
        self._counts[request.rank] -= 1
        tickets = self._by_unit[request.unit]
        del tickets[request.ticket]
        if not tickets:
            del self._by_unit[request.unit]
        if request.unit in self._held_units:
            del self._held_requests[request.rank][request.ticket]
        else:
            self._ranks[request.rank].remove(request)
        self._compact_deadlines()

    def _compact_deadlines(self) -> None:
        # Entries of removed requests are deleted in batches, which bounds the heap at
        # a constant amortized cost per operation.
        if len(self._deadlines) > 2 * len(self._waiting) + 16:
            self._deadlines = [
                item for item in self._deadlines if item[1] in self._waiting
            ]
            heapq.heapify(self._deadlines)

    def _expire(self, now: float) -> list[DroppedRequest]:
        dropped = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            request = self._waiting.get(ticket)
            if request is not None and request.deadline <= now:
                self._remove(request)
                dropped.append(DroppedRequest(request, RefusalReason.DEADLINE_PASSED))
        return dropped


def _cumulative_capacity_by_rank(
    capacity: int, shares: Mapping[Rank, int]
) -> dict[Rank, int]:
    """Return the capacity shared by each rank and all more urgent ranks."""
    if capacity < MIN_SHARED_CAPACITY:
        return dict.fromkeys(RANKS, capacity)
    capacities = {}
    remaining = capacity
    for rank in reversed(RANKS):
        capacities[rank] = remaining
        remaining -= -(-capacity * shares[rank] // 10)
    return capacities
