"""Mapping of keys to units, and the compact table of the owner of each unit.

A unit is a partition of the key space. Invariant: the sequence of a unit increases
with each change of owner, so a token with an older sequence is never valid again.
"""

import array
from collections.abc import Iterable
from typing import Self

import msgspec
import xxhash

NO_ENDPOINT = 0xFFFF  # Endpoint index of a unit without an owner or a target.


def unit_of_key(key: str, partitions: int) -> int:
    """Return the number of the unit that `key` belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % partitions


class EncodedTable(msgspec.Struct, frozen=True):
    """Stored form of an ownership table; columns are little-endian arrays.

    `owners` and `targets` hold indexes into `endpoints`. `epochs` holds, for each of
    `endpoints`, the epoch of the endpoint record whose coordinator has fenced the
    table; a missing entry means 0. `writer` is the write ID of the write that
    stored the table.
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

    `target` is the destination of the planned move of the unit, if there is one.
    """

    owner: str | None
    target: str | None
    sequence: int


class OwnershipTable:
    """Immutable ownership table of one service."""

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
        # Cached on first use: rows never change, and coordinators read these at each
        # tick.
        self._units_by_owner: dict[str, dict[int, int]] | None = None
        self._unowned: list[int] | None = None
        self._planned_moves: dict[int, str] | None = None

    @classmethod
    def empty(cls, service: str, partitions: int) -> Self:
        """Return a table in which no unit has an owner."""
        return cls(
            service,
            (),
            array.array("H", [NO_ENDPOINT]) * partitions,
            array.array("H", [NO_ENDPOINT]) * partitions,
            array.array("I", [0]) * partitions,
        )

    @classmethod
    def decode(cls, encoded: EncodedTable) -> Self:
        """Decode a stored table."""
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
        """Return the stored form with the write ID `writer`."""
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
        """Return the row of `unit`; a unit outside the table has no owner."""
        if not 0 <= unit < len(self):
            return UnitRow(None, None, 0)
        return UnitRow(
            self._endpoint_name(self._owners[unit]),
            self._endpoint_name(self._targets[unit]),
            self._sequences[unit],
        )

    def owner(self, unit: int) -> str | None:
        """Return the owner of `unit`; a unit outside the table has none."""
        if not 0 <= unit < len(self):
            return None
        return self._endpoint_name(self._owners[unit])

    def units_of(self, endpoint: str) -> dict[int, int]:
        """Return the units that `endpoint` owns, mapped to their sequences."""
        if self._units_by_owner is None:
            self._units_by_owner = {}
            for unit, owner in enumerate(self._owners):
                if owner != NO_ENDPOINT:
                    units = self._units_by_owner.setdefault(self.endpoints[owner], {})
                    units[unit] = self._sequences[unit]
        return self._units_by_owner.get(endpoint, {})

    def unowned(self) -> list[int]:
        """Return the units without an owner."""
        if self._unowned is None:
            self._unowned = [
                unit for unit, owner in enumerate(self._owners) if owner == NO_ENDPOINT
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
            name = self._endpoint_name(owner)
            counts[name] = counts.get(name, 0) + 1
        return counts

    def with_owners(self, changes: dict[int, str]) -> "OwnershipTable":
        """Return a copy of the table with the new owners in `changes`.

        The sequence of each changed unit is incremented and its target is cleared.
        """
        names, owners, targets, sequences = self._copy(changes.values())
        for unit, endpoint in changes.items():
            owners[unit] = names.index(endpoint)
            targets[unit] = NO_ENDPOINT
            sequences[unit] += 1
        return OwnershipTable(
            self.service, names, owners, targets, sequences, self._epochs
        )

    def with_targets(self, changes: dict[int, str | None]) -> "OwnershipTable":
        """Return a copy of the table with the move targets in `changes`."""
        named = [name for name in changes.values() if name is not None]
        names, owners, targets, sequences = self._copy(named)
        for unit, endpoint in changes.items():
            targets[unit] = NO_ENDPOINT if endpoint is None else names.index(endpoint)
        return OwnershipTable(
            self.service, names, owners, targets, sequences, self._epochs
        )

    def with_epochs(self, changes: dict[str, int]) -> "OwnershipTable":
        """Return a copy of the table fenced at the epochs in `changes`, by endpoint."""
        names, owners, targets, sequences = self._copy(changes)
        epochs = [self.epoch_of(name) for name in names]
        for name, epoch in changes.items():
            index = names.index(name)
            epochs[index] = max(epochs[index], epoch)
        return OwnershipTable(
            self.service, names, owners, targets, sequences, tuple(epochs)
        )

    def planned_moves(self) -> dict[int, str]:
        """Return the units that are to be moved, mapped to their targets."""
        if self._planned_moves is None:
            self._planned_moves = {
                unit: self.endpoints[target]
                for unit, target in enumerate(self._targets)
                if target != NO_ENDPOINT
            }
        return self._planned_moves

    def _copy(
        self, added: Iterable[str]
    ) -> tuple[
        tuple[str, ...],
        "array.array[int]",
        "array.array[int]",
        "array.array[int]",
    ]:
        """Return the columns for a changed table whose endpoints include `added`."""
        endpoints = list(self.endpoints)
        for name in added:
            if name not in endpoints:
                endpoints.append(name)
        return tuple(endpoints), self._owners[:], self._targets[:], self._sequences[:]

    def _endpoint_name(self, index: int) -> str | None:
        return None if index == NO_ENDPOINT else self.endpoints[index]
