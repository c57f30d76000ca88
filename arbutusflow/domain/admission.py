"""Bounded queue of one endpoint with ranks, deadlines and fairness among callers.

Invariants:
- At most `capacity` requests wait, and at most the concurrency limit are in flight.
- A request that is shed, expired or cancelled here was not dispatched.
- Lower ranks keep places in the queue and turns at dispatch in proportion to
  `SHARES_OF_TEN`, so an urgent flood can neither push them out nor starve them.
- No request of a held unit is dispatched.

All operations take constant time or the logarithm of the queue's length, except
`hold_unit`, `release_unit` and `take_unit`, which visit the unit's requests.
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
SHARES_OF_TEN = {Rank.URGENT: 7, Rank.NORMAL: 2, Rank.BACKGROUND: 1}
# Rank that is served first at each of ten consecutive dispatches; evenly spaced, so
# that any ten consecutive dispatches contain each rank's share.
TURNS = tuple(
    {2: Rank.NORMAL, 4: Rank.BACKGROUND, 7: Rank.NORMAL}.get(position, Rank.URGENT)
    for position in range(10)
)
LATENCY_SMOOTHING = 0.1
MAX_KINDS = 256  # Kinds whose latency is tracked; a service has a few.
SMALLEST_SHARED_CAPACITY = 4  # Fewer places cannot be divided among three ranks.


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for an endpoint.

    `deadline` is in seconds of the monotonic clock. A request that is `alone` is
    dispatched only while nothing else is in flight at the endpoint.
    """

    ticket: int
    rank: Rank
    caller: str
    unit: int
    deadline: float
    kind: str = ""
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedRequest:
    """A request that left the queue without being dispatched."""

    request: QueuedRequest
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """No request of the held unit is in flight."""

    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class _InFlight:
    request: QueuedRequest
    since: float
    in_flight: int


_Lane = collections.OrderedDict[int, QueuedRequest]


class _RankQueue:
    """Requests of one rank; callers take turns, each caller's are first-in first-out.

    Only callers with a waiting request are tracked, so the queue's capacity bounds
    their number.
    """

    def __init__(self) -> None:
        self.count = 0
        self._lanes: collections.OrderedDict[str, _Lane] = collections.OrderedDict()
        # Callers by the number of their requests; finds the longest in constant time.
        self._by_length: list[dict[str, None]] = [{}]

    def __bool__(self) -> bool:
        return bool(self._lanes)

    def add(self, request: QueuedRequest, *, first: bool = False) -> None:
        lane = self._lanes.setdefault(request.caller, collections.OrderedDict())
        lane[request.ticket] = request
        if first:
            lane.move_to_end(request.ticket, last=False)
        self._move(request.caller, len(lane) - 1, len(lane))

    def remove(self, request: QueuedRequest) -> None:
        lane = self._lanes[request.caller]
        del lane[request.ticket]
        self._move(request.caller, len(lane) + 1, len(lane))
        if not lane:
            del self._lanes[request.caller]

    def head(self) -> QueuedRequest:
        """Return the request that is next in turn."""
        lane = next(iter(self._lanes.values()))
        return next(iter(lane.values()))

    def end_turn(self, caller: str) -> None:
        if caller in self._lanes:
            self._lanes.move_to_end(caller)

    def length_of(self, caller: str) -> int:
        return len(self._lanes.get(caller, ()))

    def longest(self) -> int:
        return len(self._by_length) - 1

    def newest_of_longest(self) -> QueuedRequest:
        """Return the newest request of a caller with the most waiting requests."""
        caller = next(iter(self._by_length[-1]))
        return next(reversed(self._lanes[caller].values()))

    def _move(self, caller: str, before: int, after: int) -> None:
        if before:
            del self._by_length[before][caller]
        if after:
            if after == len(self._by_length):
                self._by_length.append({})
            self._by_length[after][caller] = None
        while len(self._by_length) > 1 and not self._by_length[-1]:
            self._by_length.pop()


class EndpointQueue:
    """Requests that wait for one endpoint, and those in flight at it."""

    def __init__(
        self,
        capacity: int,
        limit: ConcurrencyLimit,
        *,
        shares: Mapping[Rank, int] = SHARES_OF_TEN,
        dispatch_order: tuple[Rank, ...] = TURNS,
    ) -> None:
        self._limit = limit
        self._entries: dict[int, QueuedRequest] = {}
        self._ranks = {rank: _RankQueue() for rank in RANKS}
        self._counts = dict.fromkeys(RANKS, 0)
        self._shares = shares
        self._room = _room_by_rank(capacity, shares)
        self._turns = dispatch_order
        self._by_unit: dict[int, dict[int, None]] = {}
        self._held: set[int] = set()
        self._parked: dict[Rank, _Lane] = {
            rank: collections.OrderedDict() for rank in RANKS
        }
        self._deadlines: list[tuple[float, int]] = []
        self._in_flight: dict[int, _InFlight] = {}
        self._in_flight_by_unit: collections.Counter[int] = collections.Counter()
        self._typical_latency: dict[str, float] = {}
        self._runs_alone = False
        self._turn = 0
        self._expired: list[DroppedRequest] = []

    @classmethod
    def from_config(
        cls, endpoint: Endpoint, limits: Limits, *, cold: bool = False
    ) -> Self:
        """Return the queue of a configured endpoint."""
        limit = AdaptiveLimit.from_config(endpoint, cold=cold)
        return cls(limits.queue_per_endpoint, limit)

    def configure(self, endpoint: Endpoint, limits: Limits) -> None:
        """Apply a changed configuration; requests that wait are kept."""
        self._room = _room_by_rank(limits.queue_per_endpoint, self._shares)
        self._limit.configure(endpoint.slots)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def in_flight(self) -> int:
        """Number of dispatched requests that have not finished."""
        return len(self._in_flight)

    @property
    def limit(self) -> ConcurrencyLimit:
        """Concurrency limit; reports and restarts of the endpoint go there."""
        return self._limit

    def waiting(self, rank: Rank) -> int:
        """Return the number of waiting requests of the rank."""
        return self._counts[rank]

    def offer(self, request: QueuedRequest, now: float) -> list[DroppedRequest]:
        """Take the request in; return what had to leave, maybe the request itself.

        A full queue sheds the least urgent rank beyond its places. Within a rank
        the newest request of the caller with the most waiting requests leaves.
        The newest and not the one with the least time left: callers choose their
        deadlines, so the other rule would let a long deadline buy a place, and the
        oldest has waited longest. Requests that cannot be answered in time are
        dropped by the checks against the typical latency instead.
        """
        if request.ticket in self._entries or request.ticket in self._in_flight:
            raise ValueError(f"ticket {request.ticket} is already in the queue")
        dropped = self._expire(now)
        if request.deadline <= now:
            return [*dropped, DroppedRequest(request, RefusalReason.DEADLINE_PASSED)]
        if self._in_flight and self._too_short(request, now):
            return [*dropped, DroppedRequest(request, RefusalReason.DEADLINE_TOO_SHORT)]
        full = self._full_rank(request.rank)
        if full is None:
            self._add(request)
            return dropped
        if full is request.rank and self._is_longest(request):
            return [*dropped, DroppedRequest(request, RefusalReason.QUEUE_FULL)]
        victim = self._victim(full)
        self._remove(victim)
        self._add(request)
        reason = (
            RefusalReason.QUEUE_FULL
            if full is request.rank
            else RefusalReason.SHED_FOR_URGENT
        )
        return [*dropped, DroppedRequest(victim, reason)]

    def next(self, now: float) -> QueuedRequest | None:
        """Dispatch the request whose turn it is, or none.

        Requests that expired are dropped on the way; `expire` returns them.
        """
        self._expired += self._expire(now)
        while self._may_dispatch(now):
            queue = self._rank_in_turn()
            if queue is None:
                return None
            request = queue.head()
            if request.alone and self._in_flight:
                # Waits until the endpoint is empty. Later requests wait too, or a
                # busy endpoint would never be empty.
                return None
            if self._in_flight and self._too_short(request, now):
                self._remove(request)
                self._expired.append(
                    DroppedRequest(request, RefusalReason.DEADLINE_TOO_SHORT)
                )
                continue
            self._dispatch(request, now)
            return request
        return None

    def expire(self, now: float) -> list[DroppedRequest]:
        """Return the requests that expired since the last call."""
        dropped = [*self._expired, *self._expire(now)]
        self._expired = []
        return dropped

    def next_deadline(self) -> float | None:
        """Return the time at which `expire` has something to return at the latest."""
        return self._deadlines[0][0] if self._deadlines else None

    def finished(self, ticket: int, now: float, finish: Finish) -> Drained | None:
        """End a dispatched request; return the held unit that is drained now."""
        ended = self._in_flight.pop(ticket, None)
        if ended is None:
            return None
        self._runs_alone = False
        latency = now - ended.since
        self._limit.observe(finish, latency, ended.in_flight, ended.request.kind)
        if finish is Finish.COMPLETED:
            self._learn_latency(ended.request.kind, latency)
        unit = ended.request.unit
        self._in_flight_by_unit[unit] -= 1
        if self._in_flight_by_unit[unit]:
            return None
        del self._in_flight_by_unit[unit]
        return Drained(unit) if unit in self._held else None

    def cancel(self, ticket: int) -> bool:
        """Drop a waiting request; return False if it is not waiting."""
        request = self._entries.get(ticket)
        if request is None:
            return False
        self._remove(request)
        return True

    def hold_unit(self, unit: int) -> Drained | None:
        """Dispatch no more requests of the unit; tell if none is in flight."""
        if unit not in self._held:
            self._held.add(unit)
            for ticket in self._by_unit.get(unit, ()):
                request = self._entries[ticket]
                self._ranks[request.rank].remove(request)
                self._parked[request.rank][ticket] = request
        return None if self._in_flight_by_unit[unit] else Drained(unit)

    def release_unit(self, unit: int) -> None:
        """Dispatch requests of the unit again, the earliest first."""
        if unit not in self._held:
            return
        self._held.remove(unit)
        for ticket in reversed(self._by_unit.get(unit, {})):
            request = self._entries[ticket]
            del self._parked[request.rank][ticket]
            self._ranks[request.rank].add(request, first=True)

    def units(self) -> list[int]:
        """Return the units that are held or have waiting requests."""
        return [*self._held, *(self._by_unit.keys() - self._held)]

    def take_unit(self, unit: int) -> list[QueuedRequest]:
        """Remove and return the waiting requests of the unit, the earliest first."""
        requests = [self._entries[ticket] for ticket in self._by_unit.get(unit, ())]
        for request in requests:
            self._remove(request)
        return requests

    def take_all(self) -> list[QueuedRequest]:
        """Remove and return all waiting requests, the earliest first."""
        requests = list(self._entries.values())
        for request in requests:
            self._remove(request)
        return requests

    def _may_dispatch(self, now: float) -> bool:
        return not self._runs_alone and len(self._in_flight) < self._limit.current(now)

    def _too_short(self, request: QueuedRequest, now: float) -> bool:
        # Checked only while something is in flight: an idle endpoint takes any
        # request, so an estimate that is too high is corrected.
        typical = self._typical_latency.get(request.kind, 0.0)
        return request.deadline - now < typical

    def _learn_latency(self, kind: str, latency: float) -> None:
        before = self._typical_latency.get(kind, latency)
        if kind in self._typical_latency or len(self._typical_latency) < MAX_KINDS:
            smoothed = before + LATENCY_SMOOTHING * (latency - before)
            self._typical_latency[kind] = smoothed

    def _rank_in_turn(self) -> _RankQueue | None:
        first = self._ranks[self._turns[self._turn]]
        if first:
            return first
        return next((self._ranks[rank] for rank in RANKS if self._ranks[rank]), None)

    def _dispatch(self, request: QueuedRequest, now: float) -> None:
        self._remove(request)
        self._ranks[request.rank].end_turn(request.caller)
        self._turn = (self._turn + 1) % len(self._turns)
        self._runs_alone = request.alone
        in_flight = len(self._in_flight) + 1
        self._in_flight[request.ticket] = _InFlight(request, now, in_flight)
        self._in_flight_by_unit[request.unit] += 1

    def _full_rank(self, rank: Rank) -> Rank | None:
        """Return the rank that must give a place to `rank`, if one must.

        The places are nested: the first for urgent work, more for urgent and normal
        work together, all for the three ranks. The first that is full decides.
        """
        if len(self._entries) < self._room[Rank.URGENT]:
            return None
        used = 0
        for other in RANKS:
            used += self._counts[other]
            if RANKS.index(other) >= RANKS.index(rank) and used >= self._room[other]:
                return other
        return None

    def _is_longest(self, request: QueuedRequest) -> bool:
        queue = self._ranks[request.rank]
        # A difference of one is left alone, or two callers would push out each
        # other's accepted requests in turn.
        return queue.length_of(request.caller) + 1 >= queue.longest()

    def _victim(self, rank: Rank) -> QueuedRequest:
        if self._ranks[rank]:
            return self._ranks[rank].newest_of_longest()
        return next(reversed(self._parked[rank].values()))

    def _add(self, request: QueuedRequest) -> None:
        self._entries[request.ticket] = request
        self._counts[request.rank] += 1
        self._by_unit.setdefault(request.unit, {})[request.ticket] = None
        heapq.heappush(self._deadlines, (request.deadline, request.ticket))
        if request.unit in self._held:
            self._parked[request.rank][request.ticket] = request
        else:
            self._ranks[request.rank].add(request)

    def _remove(self, request: QueuedRequest) -> None:
        del self._entries[request.ticket]
        self._counts[request.rank] -= 1
        tickets = self._by_unit[request.unit]
        del tickets[request.ticket]
        if not tickets:
            del self._by_unit[request.unit]
        if request.unit in self._held:
            del self._parked[request.rank][request.ticket]
        else:
            self._ranks[request.rank].remove(request)
        self._trim_deadlines()

    def _trim_deadlines(self) -> None:
        # Entries of requests that left are dropped together, which keeps the heap
        # bounded at a constant cost per operation.
        if len(self._deadlines) > 2 * len(self._entries) + 16:
            self._deadlines = [
                item for item in self._deadlines if item[1] in self._entries
            ]
            heapq.heapify(self._deadlines)

    def _expire(self, now: float) -> list[DroppedRequest]:
        dropped = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            request = self._entries.get(ticket)
            if request is not None and request.deadline <= now:
                self._remove(request)
                dropped.append(DroppedRequest(request, RefusalReason.DEADLINE_PASSED))
        return dropped


def _room_by_rank(capacity: int, shares: Mapping[Rank, int]) -> dict[Rank, int]:
    """Return the places for each rank together with all more urgent ranks."""
    if capacity < SMALLEST_SHARED_CAPACITY:
        return dict.fromkeys(RANKS, capacity)
    room = {}
    places = capacity
    for rank in reversed(RANKS):
        room[rank] = places
        places -= -(-capacity * shares[rank] // 10)
    return room
