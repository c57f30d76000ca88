"""Placement of units on endpoints, and rendezvous hashing.

The load of an endpoint is its number of units divided by its weight.

Invariants:
- Results depend only on the arguments.
- Rebalancing moves a unit only if that lowers the higher load of the two endpoints
  concerned. Each move therefore reduces the imbalance, and rebalancing terminates.
"""

from collections.abc import Iterable, Sequence

import xxhash

from arbutusflow.domain.configuration import Endpoint
from arbutusflow.domain.partitions import OwnershipTable


def rendezvous_score(subject: str, candidate: str) -> int:
    """Return the score of `candidate` for `subject`; the highest score wins."""
    return xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def rendezvous(subject: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score for `subject`."""
    return max(
        candidates,
        key=lambda name: (rendezvous_score(subject, name), name),
        default=None,
    )


class _LoadTracker:
    """Units and load of each candidate and of each zone, planned moves included."""

    def __init__(self, table: OwnershipTable, candidates: Sequence[Endpoint]) -> None:
        self._service = table.service
        self._endpoints = {item.name: item for item in candidates}
        self.units: dict[str, set[int]] = {
            item.name: set(table.units_of(item.name)) for item in candidates
        }
        for unit, target in table.planned_moves().items():
            for units in self.units.values():
                units.discard(unit)
            if target in self.units:
                self.units[target].add(unit)
        self._zone_weight: dict[str, float] = {}
        self._zone_units: dict[str, int] = {}
        for item in candidates:
            weight = self._zone_weight.get(item.zone, 0.0)
            self._zone_weight[item.zone] = weight + item.weight
            unit_count = self._zone_units.get(item.zone, 0)
            self._zone_units[item.zone] = unit_count + len(self.units[item.name])

    def load(self, name: str, extra_units: int = 0) -> float:
        return (len(self.units[name]) + extra_units) / self._endpoints[name].weight

    def least_loaded(self, unit: int) -> str:
        """Return the candidate with the lowest load after adding `unit`.

        Ties are broken by the load of the zone, then by the rendezvous score.
        """
        subject = f"{self._service}/{unit}"

        def key(name: str) -> tuple[float, float, int]:
            zone = self._endpoints[name].zone
            return (
                self.load(name, 1),
                self._zone_units[zone] / self._zone_weight[zone],
                -rendezvous_score(subject, name),
            )

        return min(self.units, key=key)

    def add(self, unit: int, name: str) -> None:
        self.units[name].add(unit)
        self._zone_units[self._endpoints[name].zone] += 1

    def remove(self, unit: int, name: str) -> None:
        self.units[name].discard(unit)
        self._zone_units[self._endpoints[name].zone] -= 1


def choose_owners(
    table: OwnershipTable, units: Sequence[int], candidates: Sequence[Endpoint]
) -> dict[int, str]:
    """Return an owner among `candidates` for each of `units`.

    Each unit goes to the candidate with the lowest load, counting earlier choices.
    """
    tracker = _LoadTracker(table, candidates)
    chosen = {}
    for unit in units:
        chosen[unit] = tracker.least_loaded(unit)
        tracker.add(unit, chosen[unit])
    return chosen


def rebalance(
    table: OwnershipTable, candidates: Sequence[Endpoint], limit: int
) -> dict[int, str]:
    """Return at most `limit` moves, unit to target, that balance the loads.

    Units that already have a target are not moved again.
    """
    tracker = _LoadTracker(table, candidates)
    planned = table.planned_moves()
    moves: dict[int, str] = {}
    while len(moves) < limit:
        most_loaded = max(tracker.units, key=lambda name: (tracker.load(name), name))
        movable = sorted(tracker.units[most_loaded] - planned.keys() - moves.keys())
        if not movable:
            break
        target = tracker.least_loaded(movable[0])
        if tracker.load(target, 1) >= tracker.load(most_loaded):
            break
        unit = max(movable, key=lambda u: rendezvous_score(f"{u}", target))
        tracker.remove(unit, most_loaded)
        tracker.add(unit, target)
        moves[unit] = target
    return moves
