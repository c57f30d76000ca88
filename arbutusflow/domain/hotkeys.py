"""Detection of keys that cause a large share of their endpoint's load.

Only the measurements use this module; coordinators do not move hot keys.

Invariants: the sketch has at most `capacity` counters; the true decayed weight of a
reported key lies between `lower_bound` and `upper_bound`; a key becomes hot only if
its lower bound exceeds the threshold, so an estimation error alone moves no key.
"""

import dataclasses
import heapq
from collections.abc import Mapping, Sequence

SKETCH_COUNTERS = 512
HALVING_SECONDS = 10.0  # Hot keys change within minutes.
MAX_CONCURRENT_MOVES = 4  # Limits the ownership churn of a service.
MAX_HOT_KEYS_PER_SERVICE = 256  # Keys with a placement of their own.
# Shares of the endpoint's load above which a key becomes hot and below which it is
# no longer hot.
ENTER_SHARE = 0.2
LEAVE_SHARE = 0.05
# Decayed weight below which an endpoint has no hot keys: a few requests for one key
# are a large share of the load of an idle endpoint.
MIN_ENDPOINT_LOAD = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWeight:
    """Bounds on the decayed weight of a key."""

    key_hash: int
    lower_bound: float
    upper_bound: float


class HeavyHitters:
    """Space-Saving sketch whose counters are halved once per period.

    A key whose weight exceeds `total / capacity` always has a counter. `observe`
    takes amortized O(log capacity) time.
    """

    def __init__(
        self, capacity: int = SKETCH_COUNTERS, halving_seconds: float = HALVING_SECONDS
    ) -> None:
        if capacity < 1 or halving_seconds <= 0:
            raise ValueError("capacity and halving_seconds must be positive")
        self._capacity = capacity
        self._halving_seconds = halving_seconds
        self._halved_at: float | None = None
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}
        # Min-heap with one entry per key. An entry is corrected only when it reaches
        # the top and may be too low until then, so incrementing a counter needs no
        # search in the heap.
        self._heap: list[tuple[float, int]] = []
        self._total = 0.0

    @property
    def total(self) -> float:
        """Total decayed weight of all observations."""
        return self._total

    @property
    def error_bound(self) -> float:
        """Upper bound on the weight of a key without a counter."""
        return self._total / self._capacity

    def __len__(self) -> int:
        return len(self._counts)

    def observe(self, key_hash: int, weight: float, now: float) -> None:
        """Add `weight` to a key at time `now`; ignore it unless it is positive."""
        self.decay(now)
        if weight <= 0:
            return
        self._total += weight
        if key_hash in self._counts:
            self._counts[key_hash] += weight
        elif len(self._counts) < self._capacity:
            self._counts[key_hash] = weight
            self._errors[key_hash] = 0.0
            heapq.heappush(self._heap, (weight, key_hash))
        else:
            smallest, evicted = self._smallest()
            del self._counts[evicted], self._errors[evicted]
            self._counts[key_hash] = smallest + weight
            self._errors[key_hash] = smallest
            heapq.heapreplace(self._heap, (smallest + weight, key_hash))

    def decay(self, now: float) -> None:
        """Halve all counters once for each period that has ended by `now`."""
        if self._halved_at is None:
            self._halved_at = now
        periods = int((now - self._halved_at) / self._halving_seconds)
        if periods <= 0:
            return
        self._halved_at += periods * self._halving_seconds
        factor = 0.5 ** min(periods, 64)
        self._total *= factor
        self._errors = {key: error * factor for key, error in self._errors.items()}
        self._counts = {key: count * factor for key, count in self._counts.items()}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)

    def hottest(self, count: int) -> list[KeyWeight]:
        """Return up to `count` keys in descending order of weight."""
        keys = heapq.nsmallest(
            count, self._counts.items(), key=lambda item: (-item[1], item[0])
        )
        return [
            KeyWeight(key, weight - self._errors[key], weight) for key, weight in keys
        ]

    def _smallest(self) -> tuple[float, int]:
        while True:
            weight, key = self._heap[0]
            if weight == self._counts[key]:
                return weight, key
            heapq.heapreplace(self._heap, (self._counts[key], key))


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedKeyWeight:
    """Weight of a key and the endpoint that currently owns it."""

    endpoint: str
    weight: KeyWeight


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMove:
    """Start (`hot`) or end (not `hot`) of the separate placement of a key.

    `endpoint` is the owner in the reported loads or, if the key was not reported, its
    last recorded owner.
    """

    service: str
    key_hash: int
    endpoint: str
    hot: bool


@dataclasses.dataclass(slots=True)
class _ServiceState:
    hot: dict[int, str] = dataclasses.field(default_factory=dict)
    moving: dict[int, KeyMove] = dataclasses.field(default_factory=dict)


class HotKeyPolicy:
    """Decides which keys to move, with hysteresis and a limit on concurrent moves."""

    def __init__(
        self,
        enter_share: float = ENTER_SHARE,
        leave_share: float = LEAVE_SHARE,
        max_concurrent_moves: int = MAX_CONCURRENT_MOVES,
        min_endpoint_load: float = MIN_ENDPOINT_LOAD,
    ) -> None:
        if not 0 < leave_share < enter_share < 1:
            raise ValueError("shares must satisfy 0 < leave_share < enter_share < 1")
        self._enter_share = enter_share
        self._leave_share = leave_share
        self._max_concurrent_moves = max_concurrent_moves
        self._min_endpoint_load = min_endpoint_load
        self._services: dict[str, _ServiceState] = {}

    def hot_keys(self, service: str) -> frozenset[int]:
        """Return the hashes of the hot keys, even if their move has not ended."""
        return frozenset(self._state(service).hot)

    def decide(
        self,
        service: str,
        loads: Sequence[OwnedKeyWeight],
        endpoint_loads: Mapping[str, float],
    ) -> list[KeyMove]:
        """Return the moves to start.

        `loads` are the heaviest keys of `service`. `endpoint_loads` are decayed in the
        same way. A hot key that is not in `loads` is treated as no longer hot.
        """
        state = self._state(service)
        moves = self._end_placements_of_former_hot_keys(
            service, state, loads, endpoint_loads
        )
        for load in loads:
            key = load.weight.key_hash
            total = endpoint_loads.get(load.endpoint, 0.0)
            if (
                key in state.hot
                or key in state.moving
                or total < self._min_endpoint_load
            ):
                continue
            if load.weight.lower_bound <= self._enter_share * total:
                continue
            if (
                not self._can_start_move(state)
                or len(state.hot) >= MAX_HOT_KEYS_PER_SERVICE
            ):
                break
            state.hot[key] = load.endpoint
            state.moving[key] = KeyMove(service, key, load.endpoint, hot=True)
            moves.append(state.moving[key])
        return moves

    def move_ended(self, service: str, key_hash: int, *, moved: bool) -> None:
        """Record the end of a move; a failed move restores the previous state."""
        state = self._state(service)
        move = state.moving.pop(key_hash, None)
        if move is None or moved:
            return
        if move.hot:
            state.hot.pop(key_hash, None)
        else:
            state.hot[key_hash] = move.endpoint

    def _end_placements_of_former_hot_keys(
        self,
        service: str,
        state: _ServiceState,
        loads: Sequence[OwnedKeyWeight],
        endpoint_loads: Mapping[str, float],
    ) -> list[KeyMove]:
        """Start the moves that end the placements of keys that are no longer hot."""
        by_key = {load.weight.key_hash: load for load in loads}
        moves = []
        for key, endpoint in list(state.hot.items()):
            load = by_key.get(key)
            if load is not None:
                endpoint = load.endpoint
                threshold = self._leave_share * endpoint_loads.get(endpoint, 0.0)
                if load.weight.upper_bound >= threshold:
                    continue
            if key in state.moving or not self._can_start_move(state):
                continue
            del state.hot[key]
            state.moving[key] = KeyMove(service, key, endpoint, hot=False)
            moves.append(state.moving[key])
        return moves

    def _can_start_move(self, state: _ServiceState) -> bool:
        return len(state.moving) < self._max_concurrent_moves

    def _state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())
