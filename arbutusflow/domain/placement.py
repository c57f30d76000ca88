"""Choice of owners for units, and rendezvous hashing over instances.

Invariants: a choice depends only on its arguments; rebalancing moves a unit only
if that lowers the highest load per weight of the two endpoints concerned, so it
ends, and each move reduces the imbalance.
"""

from collections.abc import Iterable, Sequence

import xxhash

from arbutusflow.domain.configuration import Endpoint
from arbutusflow.domain.partitions import OwnershipTable


def rendezvous_score(subject: str, candidate: str) -> int:
    """Return the score of `candidate` for `subject`; the highest one is chosen."""
    return xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def rendezvous(subject: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score for `subject`."""
    return max(
        candidates,
        key=lambda name: (rendezvous_score(subject, name), name),
        default=None,
    )


class _Loads:
    """Units per weight of each candidate and of each zone."""

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
            count = self._zone_units.get(item.zone, 0)
            self._zone_units[item.zone] = count + len(self.units[item.name])

    def per_weight(self, name: str, more: int = 0) -> float:
        return (len(self.units[name]) + more) / self._endpoints[name].weight

    def least(self, unit: int) -> str:
        """Return the candidate that gets `unit`; among equals the emptier zone."""
        subject = f"{self._service}/{unit}"

        def key(name: str) -> tuple[float, float, int]:
            zone = self._endpoints[name].zone
            return (
                self.per_weight(name, 1),
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

    Each unit goes to the candidate with the fewest units per weight so far.
    """
    loads = _Loads(table, candidates)
    chosen = {}
    for unit in units:
        chosen[unit] = loads.least(unit)
        loads.add(unit, chosen[unit])
    return chosen


def rebalance(
    table: OwnershipTable, candidates: Sequence[Endpoint], limit: int
) -> dict[int, str]:
    """Return at most `limit` moves that even out the units per weight.

    Units that have a target already are not moved again.
    """
    loads = _Loads(table, candidates)
    busy = table.planned_moves()
    moves: dict[int, str] = {}
    while len(moves) < limit:
        fullest = max(loads.units, key=lambda name: (loads.per_weight(name), name))
        movable = sorted(loads.units[fullest] - busy.keys() - moves.keys())
        if not movable:
            break
        target = loads.least(movable[0])
        if loads.per_weight(target, 1) >= loads.per_weight(fullest):
            break
        unit = max(movable, key=lambda u: rendezvous_score(f"{u}", target))
        loads.remove(unit, fullest)
        loads.add(unit, target)
        moves[unit] = target
    return moves
