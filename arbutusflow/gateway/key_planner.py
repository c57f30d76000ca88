"""Computes the next key table of a service: pure functions without clock or I/O.

Invariant: a range is assigned to another endpoint only if the previous owner has
released it or its lease has certainly expired. That the owner's process was replaced by
another one under the same identifier proves neither: instances that do not know it yet
renew the lease at the new process.
"""

import bisect
import dataclasses
import heapq
import itertools
import math
from collections.abc import Collection, Mapping, Sequence
from typing import Protocol

import msgspec

from arbutusflow.gateway.key_demand import (
    GROUP_COUNT,
    GROUP_KEYS,
    RATE_DEVIATION,
    group_entry,
)
from arbutusflow.gateway.key_table import KeyRange, KeyTable, first_token
from arbutusflow.gateway.model import KEY_SPACE, Endpoint

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
MIN_PIECE_LOAD = 0.4  # Load of a piece that is worth a move, as part of the wanted one.
KEYS_PER_MOVE = 64  # Price of a further range, which is renewed separately, in keys.
MIN_VALUE = 1e-9  # Of a piece without a certain load; the one with most load is taken.
MAX_PIECE_STARTS = 16  # Bounds the time of a plan.
# Measured loads are random. These numbers of standard deviations are deducted from the
# load of an endpoint before its keys move, and from that of pieces that are compared.
DONOR_DEVIATIONS = 2.0
PIECE_DEVIATIONS = 0.5


class LeavingState(Protocol):
    """State of the leaving ranges of one service at the time of a plan."""

    def handover_if_transferable(self, key_range: KeyRange) -> str | None:
        """Return the handover to grant a leaving range to another owner with.

        Returns None if it must not be granted yet.
        """

    def handover_if_cancelled(self, key_range: KeyRange) -> str | None:
        """Return the handover to give a leaving range back to its owner with.

        Returns None unless it goes back because it cannot move now.
        """

    def may_assign_unowned(self, key_range: KeyRange) -> bool:
        """Return whether no endpoint can hold a range that has no owner."""

    def must_agree_on_unowned(self) -> bool:
        """Return whether instances apply a mark before an unowned range is assigned."""

    def is_refused(self, key_range: KeyRange) -> bool:
        """Return whether the owner refuses the token, so that it needs another one."""

    def must_take_over(self, key_range: KeyRange) -> bool:
        """Return whether the planner closes a range in place of another instance."""


class KeyLoads:
    """Measured requests per second by key, summed over all instances.

    The load of a group of keys (`key_demand.group_entry`) counts as spread evenly over
    the group.
    """

    def __init__(self, loads: Mapping[int, float]) -> None:
        self._keys = sorted(key for key in loads if key < KEY_SPACE)
        self._loads = [loads[key] for key in self._keys]
        # With prefix sums, the load of a range costs two binary searches.
        self._prefix_sums = [0.0, *itertools.accumulate(self._loads)]
        self._group_loads = [
            loads.get(group_entry(GROUP_KEYS * group), 0.0)
            for group in range(GROUP_COUNT)
        ]
        self._group_sums = [0.0, *itertools.accumulate(self._group_loads), 0.0]
        self._group_loads.append(0.0)

    def of_range(self, first: int, last: int) -> float:
        """Return the load of a range of keys, both ends inclusive."""
        return self._below(last + 1) - self._below(first)

    def _below(self, key: int) -> float:
        """Return the load of all keys below `key`."""
        group, keys_in_group = divmod(key, GROUP_KEYS)
        return (
            BASE_LOAD_PER_KEY * key
            + self._prefix_sums[bisect.bisect_left(self._keys, key)]
            + self._group_sums[group]
            + self._group_loads[group] * keys_in_group / GROUP_KEYS
        )

    def last_within(self, first: int, last: int, load: float) -> int:
        """Return up to which key a range from `first` has at most a load.

        The result is at most `last`, and below `first` if the first key exceeds it.
        """
        limit = self._below(first) + load
        keys = range(first, last + 1)
        return first - 1 + bisect.bisect_right(keys, limit, key=self._below_next)

    def first_within(self, first: int, last: int, load: float) -> int:
        """Return from which key a range up to `last` has at most a load.

        The result is at least `first`, and above `last` if the last key exceeds it.
        """
        limit = self._below(last + 1) - load
        return first + bisect.bisect_left(
            range(first, last + 1), limit, key=self._below
        )

    def _below_next(self, key: int) -> float:
        return self._below(key + 1)

    def measured_keys(self, first: int, last: int) -> list[tuple[int, float]]:
        """Return the keys of a range that are measured singly, sorted, with loads."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last, low)
        return list(zip(self._keys[low:high], self._loads[low:high], strict=True))


@dataclasses.dataclass(slots=True)
class _DraftTable:
    """Key table under construction."""

    ranges: list[KeyRange]
    next_token: int
    # Requests per second, by endpoint that may be assigned keys.
    assigned_load: dict[str, float]
    capacity: dict[str, float]  # The same.
    own_life: int  # Incarnation of the instance that plans.

    def regrant(self, index: int, started_ms: int, handover: str) -> None:
        """Give a range back to its owner with a new token."""
        key_range = self.ranges[index]
        self.ranges[index] = KeyRange(
            key_range.first,
            key_range.last,
            key_range.endpoint,
            started_ms,
            self.next_token,
            handover,
        )
        self.next_token += 1

    def mark_leaving(self, index: int) -> None:
        """Mark a range as leaving, with a token for closing its earlier grants."""
        self.ranges[index] = self.ranges[index].as_leaving(
            self.next_token, self.own_life
        )
        self.next_token += 1

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
    leaving: LeavingState,
    *,
    balance: bool = True,
    immovable: Collection[str] = (),
    cold: Collection[str] = (),
    own_life: int = 0,
) -> KeyTable:
    """Return the next table of a service; an equal table if nothing changes.

    `endpoints` contains all listed endpoints of the service, including draining ones;
    `capacity` is the number of requests per second that each can serve.
    Balancing moves no keys away from `immovable` endpoints. Those that are `cold` keep
    their keys, and get none while another endpoint is ready and warm. `own_life` is the
    incarnation of the planner, which closes the ranges that it marks as leaving.
    """
    ready = {name: e for name, e in endpoints.items() if not e.draining}
    targets = sorted(ready.keys() - set(cold)) or sorted(ready)
    draft = _DraftTable(
        ranges=list(table.ranges),
        next_token=table.next_token,
        assigned_load=dict.fromkeys(targets, 0.0),
        capacity={name: capacity[name] for name in targets},
        own_life=own_life,
    )
    _mark_leaving(draft, endpoints, leaving)
    for index, key_range in enumerate(draft.ranges):
        if leaving.must_take_over(key_range):
            draft.mark_leaving(index)
    for key_range in draft.ranges:
        if key_range.endpoint in draft.assigned_load and not key_range.leaving:
            draft.assigned_load[key_range.endpoint] += loads.of_range(
                key_range.first, key_range.last
            )
    if ready:
        _cancel_blocked_moves(draft, ready, loads, leaving)
        _assign_unowned(draft, ready, loads, leaving)
        if balance:
            _balance(draft, loads, immovable)
    return KeyTable(table.service, draft.next_token, _merge_unowned(draft.ranges))


def first_table_of_era(
    earlier: KeyTable,
    earlier_era: int,
    era: int,
    *,
    proved: bool,
    settled_lives: Collection[int] = (),
    listed: Collection[str] = (),
) -> KeyTable:
    """Return the first table of an era, from the latest known one of an earlier era.

    `proved` says that no range of it can have moved since, unless it is leaving. Such
    ranges keep owner and token, so that renewals go on. All others have no owner: any
    endpoint may hold them. In the era just before, all tables name a range that had no
    owner; in one whose tables nobody has, it may have been given back to an owner.

    `settled_lives` are incarnations that certainly have not assigned a range that they
    were to close, in the era just before, and that no other one can have assigned. Such
    a range stays with an owner that is `listed`, which can release it soon.
    """

    def is_known(key_range: KeyRange) -> bool:
        if key_range.endpoint and not key_range.leaving:
            return True
        if earlier_era != era - 1:
            return False
        if key_range.endpoint and key_range.endpoint not in listed:
            return False
        return not key_range.leaving or key_range.closer_life in settled_lives

    ranges = [
        key_range.as_staying()
        if proved and is_known(key_range)
        else KeyRange.unowned(key_range.first, key_range.last, era)
        for key_range in earlier.ranges
    ]
    next_token = max(earlier.next_token, first_token(era))
    return KeyTable(earlier.service, next_token, _merge_unowned(ranges))


def needs_change(
    table: KeyTable,
    endpoints: Mapping[str, Endpoint],
    leaving: LeavingState,
) -> bool:
    """Return whether `plan` would change a table regardless of the loads.

    Much cheaper than `plan`, which needs the sum of the demand that all instances
    report.
    """
    for key_range in table.ranges:
        if not key_range.endpoint:
            if key_range.leaving:
                if leaving.handover_if_transferable(key_range) is not None:
                    return True
                if leaving.must_take_over(key_range):
                    return True
            elif leaving.may_assign_unowned(key_range):
                return True
            continue
        endpoint = endpoints.get(key_range.endpoint)
        if key_range.leaving:
            if (
                leaving.handover_if_transferable(key_range) is not None
                or leaving.handover_if_cancelled(key_range) is not None
                or leaving.must_take_over(key_range)
            ):
                return True
        elif _must_leave(key_range, endpoint) or leaving.is_refused(key_range):
            return True
    return False


def _must_leave(key_range: KeyRange, endpoint: Endpoint | None) -> bool:
    """Return whether the owner, as listed, can no longer keep the range.

    After a restart only the new process can hold the range, by a renewal that was meant
    for its predecessor. It is asked to release the range like any other owner. An entry
    that shows an earlier start than the table is outdated, or that of a host whose
    clock was set back, and proves nothing about leases either.
    """
    return (
        endpoint is None
        or endpoint.draining
        or endpoint.started_ms != key_range.started_ms
    )


def _mark_leaving(
    draft: _DraftTable, endpoints: Mapping[str, Endpoint], leaving: LeavingState
) -> None:
    for index, key_range in enumerate(draft.ranges):
        if not key_range.endpoint or key_range.leaving:
            continue
        endpoint = endpoints.get(key_range.endpoint)
        if _must_leave(key_range, endpoint) or leaving.is_refused(key_range):
            draft.mark_leaving(index)


def _cancel_blocked_moves(
    draft: _DraftTable,
    ready: Mapping[str, Endpoint],
    loads: KeyLoads,
    leaving: LeavingState,
) -> None:
    """Give leaving ranges that cannot move back to their owners, with new tokens.

    This needs no proof of release, because no other endpoint is involved.
    """
    for index, key_range in enumerate(draft.ranges):
        owner = ready.get(key_range.endpoint)
        if (
            not key_range.leaving
            or owner is None
            or owner.started_ms < key_range.started_ms
        ):
            continue
        if leaving.handover_if_transferable(key_range) is not None:
            continue
        handover = leaving.handover_if_cancelled(key_range)
        if handover is None:
            continue
        draft.regrant(index, owner.started_ms, handover)
        if key_range.endpoint in draft.assigned_load:
            draft.assigned_load[key_range.endpoint] += loads.of_range(
                key_range.first, key_range.last
            )


def _assign_unowned(
    draft: _DraftTable,
    ready: Mapping[str, Endpoint],
    loads: KeyLoads,
    leaving: LeavingState,
) -> None:
    result: list[KeyRange] = []
    for key_range in draft.ranges:
        handover = None
        if key_range.leaving:
            handover = leaving.handover_if_transferable(key_range)
        elif not key_range.endpoint and leaving.may_assign_unowned(key_range):
            if leaving.must_agree_on_unowned():
                result.append(key_range.as_leaving(draft.next_token, draft.own_life))
                draft.next_token += 1
                continue
            handover = ""
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
    mean = sum(draft.assigned_load.values()) / sum(draft.capacity.values())
    if mean <= 0:
        return
    goal = max(OVERLOAD_RATIO * mean, BUSY_UTILIZATION)
    utilization = {
        e: draft.assigned_load[e] / draft.capacity[e] for e in draft.assigned_load
    }
    immovable_ready = {e for e in immovable if e in utilization}
    while move_count < limit and len(utilization) > max(1, len(immovable_ready)):
        donor = max(
            utilization.keys() - immovable_ready, key=lambda e: (utilization[e], e)
        )
        receiver = min(utilization, key=lambda e: (utilization[e], e))
        capacity = draft.capacity[donor]
        donor_overloaded = (
            _certain_load(utilization[donor] * capacity, DONOR_DEVIATIONS)
            > goal * capacity
        )
        receiver_idle = utilization[receiver] < IDLE_RATIO * mean
        if not (donor_overloaded or receiver_idle) or utilization[donor] <= mean:
            return
        # The receiver must not become busy itself, or the keys would move on.
        wanted_load = min(
            (utilization[donor] - utilization[receiver]) / 2 * capacity,
            (goal - utilization[receiver]) * draft.capacity[receiver],
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


def _certain_load(measured: float, deviations: float) -> float:
    """Return a measured load less a number of its standard deviations."""
    return measured - deviations * RATE_DEVIATION * math.sqrt(measured)


def _mark_for_faster_endpoint(
    draft: _DraftTable, donor: str, loads: KeyLoads
) -> float | None:
    """Mark the busiest range of a saturated donor if a faster endpoint is available.

    A single busy key cannot be split, so it belongs on the endpoint that serves most
    of its load. Returns the load of the range, or None if it was not marked.
    """
    owned = [p for p in draft.ranges if p.endpoint == donor and not p.leaving]
    if not owned:
        return None
    load, busiest = max(
        ((loads.of_range(p.first, p.last), p) for p in owned), key=lambda item: item[0]
    )
    # The fastest endpoint may own other keys; the next plans move them away.
    capacities = (draft.capacity[e] for e in draft.below_capacity())
    if max(capacities, default=0.0) < FASTER_CAPACITY_RATIO * draft.capacity[donor]:
        return None
    draft.mark_leaving(draft.ranges.index(busiest))
    return load


def _mark_subrange(
    draft: _DraftTable, donor: str, wanted_load: float, loads: KeyLoads
) -> float | None:
    """Mark keys of the donor with at most the wanted load as leaving.

    Moving keys has a price for each key, so a piece with much load and few keys is
    chosen. Returns its load, or None if no range with a useful load was found.
    """
    owned = [p for p in draft.ranges if p.endpoint == donor and not p.leaving]
    best: tuple[float, float, KeyRange, KeyRange] | None = None
    for key_range in owned:
        pieces = _candidate_pieces(key_range, wanted_load, loads)
        if len(owned) > 1:
            pieces.append(key_range)
        for piece in pieces:
            load = loads.of_range(piece.first, piece.last)
            if not wanted_load * MIN_PIECE_LOAD <= load <= wanted_load:
                continue
            value = _certain_load(load, PIECE_DEVIATIONS) / (
                piece.key_count + KEYS_PER_MOVE
            )
            if value <= 0:
                value = load * MIN_VALUE
            if best is None or value > best[0]:
                best = (value, load, key_range, piece)
    if best is None:
        return None
    _, load, key_range, piece = best
    index = draft.ranges.index(key_range)
    parts = _split_range(key_range, piece)
    draft.ranges[index : index + 1] = parts
    draft.mark_leaving(index + [p.first for p in parts].index(piece.first))
    return load


def _candidate_pieces(
    key_range: KeyRange, wanted_load: float, loads: KeyLoads
) -> list[KeyRange]:
    """Return parts of a range with at most the wanted load.

    They are at either end of the range, or begin at one of its busiest keys.
    """
    first, last = key_range.first, key_range.last
    keys = loads.measured_keys(first, last)
    busiest = heapq.nlargest(MAX_PIECE_STARTS, keys, key=lambda item: item[1])
    pieces = [KeyRange(loads.first_within(first, last, wanted_load), last)]
    for start in (first, *(key for key, _ in busiest)):
        end = loads.last_within(start, last, wanted_load)
        pieces.append(KeyRange(start, end))
        # Without the idle keys behind its last busy one, a piece is smaller.
        index = bisect.bisect_right(keys, end, key=lambda item: item[0])
        if index and keys[index - 1][0] >= start:
            pieces.append(KeyRange(start, keys[index - 1][0]))
    return [p for p in pieces if 0 < p.key_count < key_range.key_count]


def _split_range(key_range: KeyRange, piece: KeyRange) -> list[KeyRange]:
    """Return the parts of a range before, in and after a piece of it."""
    bounds = (
        (key_range.first, piece.first - 1),
        (piece.first, piece.last),
        (piece.last + 1, key_range.last),
    )
    return [
        msgspec.structs.replace(key_range, first=first, last=last)
        for first, last in bounds
        if first <= last
    ]


def _merge_unowned(ranges: Sequence[KeyRange]) -> tuple[KeyRange, ...]:
    """Join adjacent ranges without an owner that differ in nothing else."""
    result: list[KeyRange] = []
    for key_range in ranges:
        if result and not key_range.endpoint:
            joined = msgspec.structs.replace(result[-1], last=key_range.last)
            if joined == msgspec.structs.replace(key_range, first=joined.first):
                result[-1] = joined
                continue
        result.append(key_range)
    return tuple(result)
