"""Computes the next key table of a service: pure functions without clock or I/O.

Invariant: a range is assigned to another owner only if the previous owner has released
it, its lease has certainly expired, or the process that held it has been replaced by
another one under the same identifier.
"""

import bisect
import dataclasses
import itertools
from collections.abc import Callable, Collection, Mapping, Sequence

from arbutusflow.gateway.key_table import KeyRange, KeyTable
from arbutusflow.gateway.model import Endpoint

# Requests per second added to the measured load of each key, so that the keys of an
# idle service are distributed by their number.
BASE_LOAD_PER_KEY = 0.0002
# Moving keys interrupts them briefly. It pays off if the donor exceeds both this
# utilization and this multiple of the mean utilization, or if another endpoint is
# below `IDLE_RATIO` of the mean.
BUSY_UTILIZATION = 0.55
OVERLOAD_RATIO = 1.3
IDLE_RATIO = 0.25
# Above this utilization, a single busy key is moved to an endpoint whose capacity is
# larger by at least this ratio.
SATURATED_UTILIZATION = 0.8
FASTER_CAPACITY_RATIO = 1.3
# Limit on concurrent moves in a service, and so on the keys that wait at a time.
MIN_CONCURRENT_MOVES = 6
CONCURRENT_MOVES_PER_ENDPOINT = 0.25
MAX_RANGES_PER_ENDPOINT = 16  # Each range has to be renewed separately.

# Maps a leaving range to the handover to grant it with, or to None if it must not be
# granted yet.
HandoverLookup = Callable[[KeyRange], str | None]


class KeyLoads:
    """Measured requests per second by key, summed over all instances."""

    def __init__(self, loads: Mapping[int, float]) -> None:
        self._keys = sorted(loads)
        self._loads = [loads[key] for key in self._keys]
        # With prefix sums, the load of a range costs two binary searches.
        self._prefix_sums = [0.0, *itertools.accumulate(self._loads)]

    def of_range(self, first: int, last: int) -> float:
        """Return the load of a range of keys, both ends inclusive."""
        low, high = self._index_bounds(first, last)
        measured = self._prefix_sums[high] - self._prefix_sums[low]
        return BASE_LOAD_PER_KEY * (last - first + 1) + measured

    def measured_keys(self, first: int, last: int) -> list[tuple[int, float]]:
        """Return the measured keys of a range with their loads, sorted by key."""
        low, high = self._index_bounds(first, last)
        return list(zip(self._keys[low:high], self._loads[low:high], strict=True))

    def _index_bounds(self, first: int, last: int) -> tuple[int, int]:
        low = bisect.bisect_left(self._keys, first)
        return low, bisect.bisect_right(self._keys, last, low)


@dataclasses.dataclass(slots=True)
class _DraftTable:
    """Key table under construction."""

    ranges: list[KeyRange]
    next_token: int
    assigned_load: dict[str, float]  # Requests per second, by endpoint.
    capacity: dict[str, float]  # Requests per second, by endpoint.

    def below_capacity(self) -> list[str]:
        """Return the endpoints whose assigned load is below their capacity."""
        return [
            e for e in self.assigned_load if self.assigned_load[e] < self.capacity[e]
        ]

    def choose_target(self, load: float) -> str:
        """Return the endpoint with the lowest utilization after adding the load.

        Load that exceeds every capacity goes to the largest endpoint below its
        capacity, which serves most of it.
        """
        available = self.below_capacity()
        if available and load >= max(self.capacity.values()):
            return max(available, key=lambda e: (self.capacity[e], e))
        return min(
            self.assigned_load,
            key=lambda e: ((self.assigned_load[e] + load) / self.capacity[e], e),
        )


def plan(
    table: KeyTable,
    endpoints: Mapping[str, Endpoint],
    capacity: Mapping[str, float],
    loads: KeyLoads,
    handover_if_transferable: HandoverLookup,
    handover_if_cancelled: HandoverLookup = lambda key_range: None,
    *,
    balance: bool = True,
    immovable: Collection[str] = (),
) -> KeyTable:
    """Return the next table of a service; an equal table if nothing changes.

    `endpoints` contains all listed endpoints of the service, including draining ones;
    `capacity` is the number of requests per second that each can serve.
    `handover_if_transferable` decides whether a leaving range may be granted to another
    owner, and `handover_if_cancelled` whether it goes back to its owner because it
    cannot move now. Balancing moves no keys away from `immovable` endpoints.
    """
    ready = {name: e for name, e in endpoints.items() if not e.draining}
    draft = _DraftTable(
        ranges=list(table.ranges),
        next_token=table.next_token,
        assigned_load=dict.fromkeys(sorted(ready), 0.0),
        capacity={name: capacity[name] for name in ready},
    )
    _mark_leaving(draft, endpoints)
    for key_range in draft.ranges:
        if key_range.endpoint in draft.assigned_load and not key_range.leaving:
            draft.assigned_load[key_range.endpoint] += loads.of_range(
                key_range.first, key_range.last
            )
    if ready:
        _cancel_blocked_moves(
            draft, ready, loads, handover_if_transferable, handover_if_cancelled
        )
        _assign_unowned(draft, ready, loads, handover_if_transferable)
        if balance:
            _balance(draft, loads, immovable)
    return KeyTable(table.service, draft.next_token, _merge_unowned(draft.ranges))


def needs_change(
    table: KeyTable,
    endpoints: Mapping[str, Endpoint],
    handover_if_transferable: HandoverLookup,
    handover_if_cancelled: HandoverLookup = lambda key_range: None,
) -> bool:
    """Return whether `plan` would change a table regardless of the loads.

    Much cheaper than `plan`, which needs the sum of the demand that all instances
    report.
    """
    for key_range in table.ranges:
        if not key_range.endpoint:
            return True
        endpoint = endpoints.get(key_range.endpoint)
        if endpoint is not None and endpoint.started_ms != key_range.started_ms:
            return True
        if key_range.leaving:
            if (
                handover_if_transferable(key_range) is not None
                or handover_if_cancelled(key_range) is not None
            ):
                return True
        elif endpoint is None or endpoint.draining:
            return True
    return False


def _mark_leaving(draft: _DraftTable, endpoints: Mapping[str, Endpoint]) -> None:
    for index, key_range in enumerate(draft.ranges):
        if not key_range.endpoint:
            continue
        endpoint = endpoints.get(key_range.endpoint)
        if endpoint is not None and endpoint.started_ms != key_range.started_ms:
            # The identifier belongs to another process now, so the process that was
            # granted the keys has exited and no endpoint holds them.
            draft.ranges[index] = KeyRange(key_range.first, key_range.last)
        elif endpoint is None or endpoint.draining:
            draft.ranges[index] = _as_leaving(key_range)


def _as_leaving(key_range: KeyRange) -> KeyRange:
    return KeyRange(
        key_range.first,
        key_range.last,
        key_range.endpoint,
        key_range.started_ms,
        key_range.token,
        key_range.handover,
        leaving=True,
    )


def _cancel_blocked_moves(
    draft: _DraftTable,
    ready: Mapping[str, Endpoint],
    loads: KeyLoads,
    handover_if_transferable: HandoverLookup,
    handover_if_cancelled: HandoverLookup,
) -> None:
    """Give leaving ranges that cannot move back to their owners, with new tokens.

    This needs no proof of release, because no other endpoint is involved.
    """
    for index, key_range in enumerate(draft.ranges):
        owner = ready.get(key_range.endpoint)
        if (
            not key_range.leaving
            or owner is None
            or owner.started_ms != key_range.started_ms
        ):
            continue
        if handover_if_transferable(key_range) is not None:
            continue
        handover = handover_if_cancelled(key_range)
        if handover is None:
            continue
        draft.ranges[index] = KeyRange(
            key_range.first,
            key_range.last,
            key_range.endpoint,
            key_range.started_ms,
            draft.next_token,
            handover,
        )
        draft.next_token += 1
        draft.assigned_load[key_range.endpoint] += loads.of_range(
            key_range.first, key_range.last
        )


def _assign_unowned(
    draft: _DraftTable,
    ready: Mapping[str, Endpoint],
    loads: KeyLoads,
    handover_if_transferable: HandoverLookup,
) -> None:
    result: list[KeyRange] = []
    for key_range in draft.ranges:
        handover = "" if not key_range.endpoint else None
        if key_range.leaving:
            handover = handover_if_transferable(key_range)
        if handover is None:
            result.append(key_range)
            continue
        for piece in _split_unowned(key_range, draft, loads):
            load = loads.of_range(piece.first, piece.last)
            target = draft.choose_target(load)
            draft.assigned_load[target] += load
            result.append(
                KeyRange(
                    piece.first,
                    piece.last,
                    target,
                    ready[target].started_ms,
                    draft.next_token,
                    handover if piece.key_count == key_range.key_count else "",
                )
            )
            draft.next_token += 1
    draft.ranges = result


def _split_unowned(
    key_range: KeyRange, draft: _DraftTable, loads: KeyLoads
) -> list[KeyRange]:
    """Split an unowned range into pieces of about one endpoint's share of the load."""
    if key_range.endpoint:
        return [key_range]  # The handover is valid only for the whole released range.
    total = sum(draft.assigned_load.values()) + loads.of_range(
        key_range.first, key_range.last
    )
    share = total / len(draft.assigned_load)
    count = (
        round(loads.of_range(key_range.first, key_range.last) / share) if share else 1
    )
    count = max(1, min(count, key_range.key_count))
    bounds = [key_range.first + key_range.key_count * i // count for i in range(count)]
    ends = [*(bound - 1 for bound in bounds[1:]), key_range.last]
    return [KeyRange(first, last) for first, last in zip(bounds, ends, strict=True)]


def _balance(draft: _DraftTable, loads: KeyLoads, immovable: Collection[str]) -> None:
    """Mark keys as leaving to even out the utilization of the endpoints."""
    limit = max(
        MIN_CONCURRENT_MOVES,
        round(CONCURRENT_MOVES_PER_ENDPOINT * len(draft.assigned_load)),
    )
    move_count = sum(key_range.leaving for key_range in draft.ranges)
    capacity = sum(draft.capacity.values())
    mean = sum(draft.assigned_load.values()) / capacity
    if mean <= 0:
        return
    utilization = {
        e: draft.assigned_load[e] / draft.capacity[e] for e in draft.assigned_load
    }
    immovable_ready = {e for e in immovable if e in utilization}
    while move_count < limit and len(utilization) > max(1, len(immovable_ready)):
        donor = max(
            utilization.keys() - immovable_ready, key=lambda e: (utilization[e], e)
        )
        receiver = min(utilization, key=lambda e: (utilization[e], e))
        donor_overloaded = utilization[donor] > max(
            OVERLOAD_RATIO * mean, BUSY_UTILIZATION
        )
        receiver_idle = utilization[receiver] < IDLE_RATIO * mean
        if not (donor_overloaded or receiver_idle) or utilization[donor] <= mean:
            return
        wanted_load = (
            (utilization[donor] - utilization[receiver]) / 2 * draft.capacity[donor]
        )
        moved_load = _mark_subrange(draft, donor, wanted_load, loads)
        if moved_load is None and utilization[donor] > SATURATED_UTILIZATION:
            moved_load = _mark_for_faster_endpoint(draft, donor, loads)
        if moved_load is None:
            del utilization[donor]
            continue
        utilization[donor] -= moved_load / draft.capacity[donor]
        utilization[receiver] += moved_load / draft.capacity[receiver]
        move_count += 1


def _mark_for_faster_endpoint(
    draft: _DraftTable, donor: str, loads: KeyLoads
) -> float | None:
    """Mark the only range of a saturated donor if a faster endpoint is available.

    A single busy key cannot be split, so it belongs on the endpoint that serves most
    of its load. Returns the load of the range, or None if it was not marked.
    """
    owned = [p for p in draft.ranges if p.endpoint == donor and not p.leaving]
    if len(owned) != 1:
        return None
    load = loads.of_range(owned[0].first, owned[0].last)
    # The fastest endpoint may own other keys; the next plans move them away.
    capacities = (draft.capacity[e] for e in draft.below_capacity())
    if max(capacities, default=0.0) < FASTER_CAPACITY_RATIO * draft.capacity[donor]:
        return None
    draft.ranges[draft.ranges.index(owned[0])] = _as_leaving(owned[0])
    return load


def _mark_subrange(
    draft: _DraftTable, donor: str, wanted_load: float, loads: KeyLoads
) -> float | None:
    """Mark keys of the donor with at most the wanted load as leaving.

    Returns their load, or None if no range with a useful load was found.
    """
    owned = [p for p in draft.ranges if p.endpoint == donor and not p.leaving]
    best: tuple[float, KeyRange, KeyRange] | None = None
    for key_range in owned:
        range_load = loads.of_range(key_range.first, key_range.last)
        if (
            range_load <= wanted_load
            and (best is None or range_load > best[0])
            and len(owned) > 1
        ):
            best = (range_load, key_range, key_range)
        for piece in _prefix_and_suffix(key_range, wanted_load, loads):
            load = loads.of_range(piece.first, piece.last)
            if best is None or load > best[0]:
                best = (load, key_range, piece)
    if best is None or best[0] < wanted_load * 0.1:
        return None
    load, key_range, piece = best
    index = draft.ranges.index(key_range)
    draft.ranges[index : index + 1] = _split_range(key_range, piece)
    return load


def _prefix_and_suffix(
    key_range: KeyRange, wanted_load: float, loads: KeyLoads
) -> list[KeyRange]:
    """Return the longest proper prefix and suffix within the wanted load."""
    keys = loads.measured_keys(key_range.first, key_range.last)
    pieces = []
    cut = _extend_to_load(key_range.first, key_range.last, keys, wanted_load, 1)
    if key_range.first <= cut < key_range.last:
        pieces.append(KeyRange(key_range.first, cut))
    cut = _extend_to_load(key_range.last, key_range.first, keys[::-1], wanted_load, -1)
    if key_range.first < cut <= key_range.last:
        pieces.append(KeyRange(cut, key_range.last))
    return pieces


def _extend_to_load(
    start: int,
    end: int,
    keys: Sequence[tuple[int, float]],
    wanted_load: float,
    step: int,
) -> int:
    """Return the last key from `start` towards `end` within the wanted load.

    `step` is 1 or -1. The result lies before `start` if the first key does not fit.
    """
    remaining_load = wanted_load
    last_fitting = start
    for key, load in keys:
        base_load = BASE_LOAD_PER_KEY * abs(key - last_fitting)
        if base_load > remaining_load:
            break
        remaining_load -= base_load
        last_fitting = key
        if load > remaining_load:
            return key - step
        remaining_load -= load
    remaining_keys = int(remaining_load / BASE_LOAD_PER_KEY)
    limit = last_fitting + step * remaining_keys
    return min(limit, end) if step > 0 else max(limit, end)


def _split_range(key_range: KeyRange, piece: KeyRange) -> list[KeyRange]:
    pieces = []
    for first, last, leaving in (
        (key_range.first, piece.first - 1, False),
        (piece.first, piece.last, True),
        (piece.last + 1, key_range.last, False),
    ):
        if first <= last:
            pieces.append(
                KeyRange(
                    first,
                    last,
                    key_range.endpoint,
                    key_range.started_ms,
                    key_range.token,
                    key_range.handover,
                    leaving,
                )
            )
    return pieces


def _merge_unowned(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Join adjacent ranges without an owner."""
    result: list[KeyRange] = []
    for key_range in ranges:
        if result and not key_range.endpoint and not result[-1].endpoint:
            result[-1] = KeyRange(result[-1].first, key_range.last)
        else:
            result.append(key_range)
    return tuple(result)
