"""Units of ownership and the compact table that says who owns each.

A unit is a partition of the key space. Invariant: the sequence of a unit rises
with each change of owner, so a token with an older sequence is never valid again.
"""

import array
from collections.abc import Iterable
from typing import Self

import msgspec
import xxhash

UNOWNED = 0xFFFF  # Index that stands for no endpoint.


def unit_of_key(key: str, partitions: int) -> int:
    """Return the number of the unit that `key` belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % partitions


class EncodedTable(msgspec.Struct, frozen=True):
    """Stored form of an ownership table; rows are little-endian arrays.

    `epochs` holds, for each of `endpoints`, the epoch of the endpoint record whose
    coordinator has fenced the table; a missing entry stands for 0.
    """

    service: str
    endpoints: tuple[str, ...]
    owners: bytes
    targets: bytes
    sequences: bytes
    writer: str
    epochs: tuple[int, ...] = ()


class UnitRow(msgspec.Struct, frozen=True):
    """Ownership of one unit.

    `target` is the endpoint that a planned move leads to, if one is under way.
    """

    owner: str | None
    target: str | None
    sequence: int


class OwnershipTable:
    """Rows of one service. Instances are not changed after construction."""

    def __init__(
        self,
        service: str,
        endpoints: tuple[str, ...],
        owners: "array.array[int]",
        targets: "array.array[int]",
        sequences: "array.array[int]",
        epochs: tuple[int, ...] = (),
    ) -> None:
        self.service = service
        self.endpoints = endpoints
        self._owners = owners
        self._targets = targets
        self._sequences = sequences
        self._epochs = epochs
        # Rows never change, and each tick of a coordinator asks for these.
        self._units: dict[str, dict[int, int]] | None = None
        self._unowned: list[int] | None = None
        self._moves: dict[int, str] | None = None

    @classmethod
    def empty(cls, service: str, partitions: int) -> Self:
        """Return a table in which no unit has an owner."""
        return cls(
            service,
            (),
            array.array("H", [UNOWNED]) * partitions,
            array.array("H", [UNOWNED]) * partitions,
            array.array("I", [0]) * partitions,
        )

    @classmethod
    def decode(cls, encoded: EncodedTable) -> Self:
        """Return the table that `encoded` holds."""
        owners, targets = array.array("H"), array.array("H")
        sequences = array.array("I")
        owners.frombytes(encoded.owners)
        targets.frombytes(encoded.targets)
        sequences.frombytes(encoded.sequences)
        return cls(
            encoded.service,
            encoded.endpoints,
            owners,
            targets,
            sequences,
            encoded.epochs,
        )

    def encode(self, writer: str) -> EncodedTable:
        """Return the stored form, marked with `writer`."""
        return EncodedTable(
            self.service,
            self.endpoints,
            self._owners.tobytes(),
            self._targets.tobytes(),
            self._sequences.tobytes(),
            writer,
            self._epochs,
        )

    def __len__(self) -> int:
        return len(self._owners)

    def row(self, unit: int) -> UnitRow:
        """Return the row of `unit`; a unit that the table lacks has no owner."""
        if not 0 <= unit < len(self):
            return UnitRow(None, None, 0)
        return UnitRow(
            self._name(self._owners[unit]),
            self._name(self._targets[unit]),
            self._sequences[unit],
        )

    def owner(self, unit: int) -> str | None:
        """Return the owner of `unit`; a unit that the table lacks has none."""
        if not 0 <= unit < len(self):
            return None
        return self._name(self._owners[unit])

    def units_of(self, endpoint: str) -> dict[int, int]:
        """Return the sequence of each unit that `endpoint` owns."""
        if self._units is None:
            self._units = {}
            for unit, owner in enumerate(self._owners):
                if owner != UNOWNED:
                    units = self._units.setdefault(self.endpoints[owner], {})
                    units[unit] = self._sequences[unit]
        return self._units.get(endpoint, {})

    def unowned(self) -> list[int]:
        """Return the units without an owner."""
        if self._unowned is None:
            self._unowned = [
                u for u, name in enumerate(self._owners) if name == UNOWNED
            ]
        return self._unowned

    def epoch_of(self, endpoint: str) -> int:
        """Return the epoch that last fenced the rows of `endpoint`, 0 for none."""
        if endpoint not in self.endpoints:
            return 0
        index = self.endpoints.index(endpoint)
        return self._epochs[index] if index < len(self._epochs) else 0

    def counts(self) -> dict[str | None, int]:
        """Return the number of units of each owner; None counts unowned units."""
        counts: dict[str | None, int] = {}
        for owner in self._owners:
            name = self._name(owner)
            counts[name] = counts.get(name, 0) + 1
        return counts

    def with_owners(self, changes: dict[int, str]) -> "OwnershipTable":
        """Return a table in which each unit in `changes` has a new owner.

        The sequence of each changed unit rises by one and its target is cleared.
        """
        names, owners, targets, sequences = self._copy(changes.values())
        for unit, endpoint in changes.items():
            owners[unit] = names.index(endpoint)
            targets[unit] = UNOWNED
            sequences[unit] += 1
        return OwnershipTable(
            self.service, names, owners, targets, sequences, self._epochs
        )

    def with_targets(self, changes: dict[int, str | None]) -> "OwnershipTable":
        """Return a table with other targets of planned moves."""
        named = [name for name in changes.values() if name is not None]
        names, owners, targets, sequences = self._copy(named)
        for unit, endpoint in changes.items():
            targets[unit] = UNOWNED if endpoint is None else names.index(endpoint)
        return OwnershipTable(
            self.service, names, owners, targets, sequences, self._epochs
        )

    def with_epochs(self, changes: dict[str, int]) -> "OwnershipTable":
        """Return a table that the coordinators of the named epochs have fenced."""
        names, owners, targets, sequences = self._copy(changes)
        epochs = [self.epoch_of(name) for name in names]
        for name, epoch in changes.items():
            index = names.index(name)
            epochs[index] = max(epochs[index], epoch)
        return OwnershipTable(
            self.service, names, owners, targets, sequences, tuple(epochs)
        )

    def planned_moves(self) -> dict[int, str]:
        """Return the target of each unit that has one."""
        if self._moves is None:
            self._moves = {
                unit: self.endpoints[target]
                for unit, target in enumerate(self._targets)
                if target != UNOWNED
            }
        return self._moves

    def _copy(
        self, named: Iterable[str]
    ) -> tuple[
        tuple[str, ...],
        "array.array[int]",
        "array.array[int]",
        "array.array[int]",
    ]:
        names = list(self.endpoints)
        for name in named:
            if name not in names:
                names.append(name)
        return tuple(names), self._owners[:], self._targets[:], self._sequences[:]

    def _name(self, index: int) -> str | None:
        return None if index == UNOWNED else self.endpoints[index]
