"""Decides which endpoint is to own which keys. Pure: no clock, no I/O.

Invariant: a range gets another owner only if its owner before has released it, its
lease has ended for certain, or the process that held it has been replaced by
another under the same identifier.
"""

import bisect
import dataclasses
import itertools
from collections.abc import Callable, Collection, Mapping, Sequence

from arbutusflow.gateway.key_table import KeyRange, KeyTable
from arbutusflow.gateway.model import Endpoint

# Load in requests per second that a key has beside what was measured, so that an
# idle service is spread by the number of keys.
BASE_LOAD_PER_KEY = 0.0002
# A move is worth its short interruption if the donor is this busy (share of its
# capacity) and carries this much more than the mean, or if an endpoint is nearly idle.
BUSY_SHARE = 0.55
OVERLOAD_RATIO = 1.3
IDLE_RATIO = 0.25
# From here on a single busy key is worth moving to an endpoint that is faster by
# the ratio.
FULL_SHARE = 0.8
FASTER_RATIO = 1.3
# Moves under way in a service, which bounds the keys that are held up at a time.
MIN_MOVES_UNDER_WAY = 6
MOVES_PER_ENDPOINT = 0.25
MAX_RANGES_PER_ENDPOINT = 16  # Each range is a renewal of its own.

# Tells the handover with which a range may be granted anew, None if it may not yet.
ProofOf = Callable[[KeyRange], str | None]


class KeyLoads:
    """Measured requests per second by key, summed over the instances."""

    def __init__(self, loads: Mapping[int, float]) -> None:
        self._keys = sorted(loads)
        self._loads = [loads[key] for key in self._keys]
        # Load of all measured keys before each one, so that a range costs two searches.
        self._before = [0.0, *itertools.accumulate(self._loads)]

    def of_range(self, first: int, last: int) -> float:
        """Return the load of the keys in a range."""
        low, high = self._places(first, last)
        measured = self._before[high] - self._before[low]
        return BASE_LOAD_PER_KEY * (last - first + 1) + measured

    def inside(self, first: int, last: int) -> list[tuple[int, float]]:
        """Return the measured keys of a range in order."""
        low, high = self._places(first, last)
        return list(zip(self._keys[low:high], self._loads[low:high], strict=True))

    def _places(self, first: int, last: int) -> tuple[int, int]:
        low = bisect.bisect_left(self._keys, first)
        return low, bisect.bisect_right(self._keys, last, low)


@dataclasses.dataclass(slots=True)
class _Draft:
    """A table that is being changed."""

    ranges: list[KeyRange]
    next_token: int
    carried: dict[str, float]  # Load by endpoint.
    capacity: dict[str, float]

    def not_overloaded(self) -> list[str]:
        """Return the endpoints that do not have more load than they can serve."""
        return [e for e in self.carried if self.carried[e] < self.capacity[e]]

    def best_for(self, load: float) -> str:
        """Return the endpoint that is least busy with the load added.

        Load that no endpoint can serve goes where most of it is served.
        """
        free = self.not_overloaded()
        if free and load >= max(self.capacity.values()):
            return max(free, key=lambda e: (self.capacity[e], e))
        return min(
            self.carried, key=lambda e: ((self.carried[e] + load) / self.capacity[e], e)
        )


def plan(
    table: KeyTable,
    endpoints: Mapping[str, Endpoint],
    capacity: Mapping[str, float],
    loads: KeyLoads,
    proof_of: ProofOf,
    return_of: ProofOf = lambda part: None,
    *,
    balance: bool = True,
    pinned: Collection[str] = (),
) -> KeyTable:
    """Return the table that should be in force next; the same one if nothing changes.

    `endpoints` are all listed endpoints of the service, also those that leave;
    `capacity` are the requests per second that each can serve. `return_of` tells the
    handover with which a range that cannot move now goes back to its owner. Keys of
    `pinned` endpoints are not moved for the sake of balance.
    """
    ready = {name: e for name, e in endpoints.items() if not e.draining}
    draft = _Draft(
        ranges=list(table.ranges),
        next_token=table.next_token,
        carried=dict.fromkeys(sorted(ready), 0.0),
        capacity={name: capacity[name] for name in ready},
    )
    _mark_leaving(draft, endpoints)
    for part in draft.ranges:
        if part.endpoint in draft.carried and not part.leaving:
            draft.carried[part.endpoint] += loads.of_range(part.first, part.last)
    if ready:
        _return_stuck(draft, ready, loads, proof_of, return_of)
        _assign_free(draft, ready, loads, proof_of)
        if balance:
            _balance(draft, loads, pinned)
    return KeyTable(table.service, draft.next_token, _merge(draft.ranges))


def needs_change(
    table: KeyTable,
    endpoints: Mapping[str, Endpoint],
    proof_of: ProofOf,
    return_of: ProofOf = lambda part: None,
) -> bool:
    """Return whether `plan` would change a table without regard to loads.

    Much cheaper than planning, which sums the demand that all instances report.
    """
    for part in table.ranges:
        if not part.endpoint:
            return True
        endpoint = endpoints.get(part.endpoint)
        if endpoint is not None and endpoint.started_ms != part.started_ms:
            return True
        if part.leaving:
            if proof_of(part) is not None or return_of(part) is not None:
                return True
        elif endpoint is None or endpoint.draining:
            return True
    return False


def _mark_leaving(draft: _Draft, endpoints: Mapping[str, Endpoint]) -> None:
    for index, part in enumerate(draft.ranges):
        if not part.endpoint:
            continue
        endpoint = endpoints.get(part.endpoint)
        if endpoint is not None and endpoint.started_ms != part.started_ms:
            # Another process has the identifier, so the one that was granted the
            # keys has ended and nobody holds them.
            draft.ranges[index] = KeyRange(part.first, part.last)
        elif endpoint is None or endpoint.draining:
            draft.ranges[index] = _leaving(part)


def _leaving(part: KeyRange) -> KeyRange:
    return KeyRange(
        part.first,
        part.last,
        part.endpoint,
        part.started_ms,
        part.token,
        part.handover,
        leaving=True,
    )


def _return_stuck(
    draft: _Draft,
    ready: Mapping[str, Endpoint],
    loads: KeyLoads,
    proof_of: ProofOf,
    return_of: ProofOf,
) -> None:
    """Give ranges that cannot move back to their owners, with new tokens.

    That needs no proof: no other endpoint is involved.
    """
    for index, part in enumerate(draft.ranges):
        owner = ready.get(part.endpoint)
        if not part.leaving or owner is None or owner.started_ms != part.started_ms:
            continue
        if proof_of(part) is not None:
            continue
        handover = return_of(part)
        if handover is None:
            continue
        draft.ranges[index] = KeyRange(
            part.first,
            part.last,
            part.endpoint,
            part.started_ms,
            draft.next_token,
            handover,
        )
        draft.next_token += 1
        draft.carried[part.endpoint] += loads.of_range(part.first, part.last)


def _assign_free(
    draft: _Draft, ready: Mapping[str, Endpoint], loads: KeyLoads, proof_of: ProofOf
) -> None:
    result: list[KeyRange] = []
    for part in draft.ranges:
        handover = "" if not part.endpoint else None
        if part.leaving:
            handover = proof_of(part)
        if handover is None:
            result.append(part)
            continue
        for piece in _split_free(part, draft, loads):
            load = loads.of_range(piece.first, piece.last)
            target = draft.best_for(load)
            draft.carried[target] += load
            result.append(
                KeyRange(
                    piece.first,
                    piece.last,
                    target,
                    ready[target].started_ms,
                    draft.next_token,
                    handover if piece.width == part.width else "",
                )
            )
            draft.next_token += 1
    draft.ranges = result


def _split_free(part: KeyRange, draft: _Draft, loads: KeyLoads) -> list[KeyRange]:
    """Cut a range without an owner so that each piece is at most an equal share."""
    if part.endpoint:
        return [part]  # The handover is for the range as it was released.
    total = sum(draft.carried.values()) + loads.of_range(part.first, part.last)
    share = total / len(draft.carried)
    count = round(loads.of_range(part.first, part.last) / share) if share else 1
    count = max(1, min(count, part.width))
    bounds = [part.first + part.width * i // count for i in range(count)]
    ends = [*(bound - 1 for bound in bounds[1:]), part.last]
    return [KeyRange(first, last) for first, last in zip(bounds, ends, strict=True)]


def _balance(draft: _Draft, loads: KeyLoads, pinned: Collection[str]) -> None:
    """Mark keys of overloaded endpoints as leaving."""
    limit = max(MIN_MOVES_UNDER_WAY, round(MOVES_PER_ENDPOINT * len(draft.carried)))
    moving = sum(part.leaving for part in draft.ranges)
    capacity = sum(draft.capacity.values())
    mean = sum(draft.carried.values()) / capacity
    if mean <= 0:
        return
    pressure = {e: draft.carried[e] / draft.capacity[e] for e in draft.carried}
    fixed = {e for e in pinned if e in pressure}
    while moving < limit and len(pressure) > max(1, len(fixed)):
        donor = max(pressure.keys() - fixed, key=lambda e: (pressure[e], e))
        receiver = min(pressure, key=lambda e: (pressure[e], e))
        high = pressure[donor] > max(OVERLOAD_RATIO * mean, BUSY_SHARE)
        low = pressure[receiver] < IDLE_RATIO * mean
        if not (high or low) or pressure[donor] <= mean:
            return
        wanted = (pressure[donor] - pressure[receiver]) / 2 * draft.capacity[donor]
        moved = _mark_piece(draft, donor, wanted, loads)
        if moved is None and pressure[donor] > FULL_SHARE:
            moved = _mark_for_faster(draft, donor, loads)
        if moved is None:
            del pressure[donor]
            continue
        pressure[donor] -= moved / draft.capacity[donor]
        pressure[receiver] += moved / draft.capacity[receiver]
        moving += 1


def _mark_for_faster(draft: _Draft, donor: str, loads: KeyLoads) -> float | None:
    """Mark the only range of an overloaded donor if a faster endpoint could serve it.

    A single busy key cannot be divided, so it should be where most of it is served.
    """
    owned = [p for p in draft.ranges if p.endpoint == donor and not p.leaving]
    if len(owned) != 1:
        return None
    load = loads.of_range(owned[0].first, owned[0].last)
    # The other keys of the fastest endpoint move away from it next.
    speeds = (draft.capacity[e] for e in draft.not_overloaded())
    if max(speeds, default=0.0) < FASTER_RATIO * draft.capacity[donor]:
        return None
    draft.ranges[draft.ranges.index(owned[0])] = _leaving(owned[0])
    return load


def _mark_piece(
    draft: _Draft, donor: str, wanted: float, loads: KeyLoads
) -> float | None:
    """Mark keys of the donor with at most the wanted load; return their load."""
    owned = [p for p in draft.ranges if p.endpoint == donor and not p.leaving]
    best: tuple[float, KeyRange, KeyRange] | None = None
    for part in owned:
        whole = loads.of_range(part.first, part.last)
        if whole <= wanted and (best is None or whole > best[0]) and len(owned) > 1:
            best = (whole, part, part)
        for piece in _ends_within(part, wanted, loads):
            load = loads.of_range(piece.first, piece.last)
            if best is None or load > best[0]:
                best = (load, part, piece)
    if best is None or best[0] < wanted * 0.1:
        return None
    load, part, piece = best
    index = draft.ranges.index(part)
    draft.ranges[index : index + 1] = _cut(part, piece)
    return load


def _ends_within(part: KeyRange, wanted: float, loads: KeyLoads) -> list[KeyRange]:
    """Return the longest prefix and suffix whose load is at most the wanted one."""
    keys = loads.inside(part.first, part.last)
    pieces = []
    cut = _reach(part.first, part.last, keys, wanted, 1)
    if part.first <= cut < part.last:
        pieces.append(KeyRange(part.first, cut))
    cut = _reach(part.last, part.first, keys[::-1], wanted, -1)
    if part.first < cut <= part.last:
        pieces.append(KeyRange(cut, part.last))
    return pieces


def _reach(
    start: int, end: int, keys: Sequence[tuple[int, float]], wanted: float, step: int
) -> int:
    """Return the last key that fits when going from `start` towards `end`."""
    left = wanted
    position = start
    for key, load in keys:
        base = BASE_LOAD_PER_KEY * abs(key - position)
        if base > left:
            break
        left -= base
        position = key
        if load > left:
            return key - step
        left -= load
    room = int(left / BASE_LOAD_PER_KEY)
    limit = position + step * room
    return min(limit, end) if step > 0 else max(limit, end)


def _cut(part: KeyRange, piece: KeyRange) -> list[KeyRange]:
    pieces = []
    for first, last, leaving in (
        (part.first, piece.first - 1, False),
        (piece.first, piece.last, True),
        (piece.last + 1, part.last, False),
    ):
        if first <= last:
            pieces.append(
                KeyRange(
                    first,
                    last,
                    part.endpoint,
                    part.started_ms,
                    part.token,
                    part.handover,
                    leaving,
                )
            )
    return pieces


def _merge(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Join neighbours without an owner."""
    result: list[KeyRange] = []
    for part in ranges:
        if result and not part.endpoint and not result[-1].endpoint:
            result[-1] = KeyRange(result[-1].first, part.last)
        else:
            result.append(part)
    return tuple(result)
