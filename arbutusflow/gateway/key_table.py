"""Which endpoint owns which keys of a service, as it is recorded in the store.

Invariants: the ranges of a table cover the key space without overlap; each fencing
token is used for one owner of one range only and is greater than all earlier ones,
because the table that names it is written under a condition first.
"""

import bisect
import dataclasses

import msgspec

from arbutusflow.gateway.model import KEY_SPACE

# A lease is short, so that the keys of a lost endpoint move soon, and outlasts a
# restart of the instance that renews it.
LEASE_SECONDS = 4.0
# The clock of an endpoint may run 2 % slow; the rest covers delays in transit.
LEASE_EXPIRY_FACTOR = 1.03
LEASE_EXPIRY_SLACK_SECONDS = 0.1


# Identity of a grant: owner, first and last key, and token.
GrantId = tuple[str, int, int, int]


class KeyRange(msgspec.Struct, frozen=True):
    """Keys from `first` to `last`, both included, and their owner."""

    first: int
    last: int
    endpoint: str = ""  # Identifier of the owner, empty if there is none.
    started_ms: int = 0  # Life of the owner that was granted the keys.
    token: int = 0  # Fencing token of the grant.
    handover: str = ""  # Proof of a complete release by the owner before.
    leaving: bool = False  # No longer renewed, because the keys are to move.

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @property
    def grant(self) -> GrantId:
        """Identity of the grant of these keys."""
        return (self.endpoint, self.first, self.last, self.token)


def _first_key(part: KeyRange) -> int:
    return part.first


class KeyTable(msgspec.Struct, frozen=True):
    """Ranges of one service in order."""

    service: str
    next_token: int
    ranges: tuple[KeyRange, ...]

    @classmethod
    def empty(cls, service: str) -> "KeyTable":
        """Return a table in which nobody owns any key."""
        return cls(service, 1, (KeyRange(0, KEY_SPACE - 1),))

    def find(self, key: int) -> KeyRange:
        """Return the range of a key."""
        index = bisect.bisect_right(self.ranges, key, key=_first_key) - 1
        return self.ranges[index]

    def changes_since(self, earlier: "KeyTable") -> tuple[KeyRange, ...]:
        """Return the ranges that another table of the service did not have."""
        known = set(earlier.ranges)
        return tuple(part for part in self.ranges if part not in known)

    def with_changes(
        self, next_token: int, changes: tuple[KeyRange, ...]
    ) -> "KeyTable":
        """Return the table with other ranges in place of those of the same keys.

        Raises ValueError if the result does not cover all keys once.
        """
        kept = [
            part
            for part in self.ranges
            if not any(c.first <= part.last and c.last >= part.first for c in changes)
        ]
        ranges = tuple(sorted((*kept, *changes), key=_first_key))
        table = KeyTable(self.service, next_token, ranges)
        table.check()
        return table

    def check(self) -> None:
        """Raise ValueError unless the ranges cover all keys in order."""
        expected = 0
        for part in self.ranges:
            if part.first != expected or part.last < part.first:
                raise ValueError(f"keys from {expected} on are not covered")
            if part.token >= self.next_token:
                raise ValueError(f"token {part.token} is not used up")
            expected = part.last + 1
        if expected != KEY_SPACE:
            raise ValueError(f"keys from {expected} on are not covered")


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """A table with its revision in the store."""

    table: KeyTable
    revision: int


def lease_end(granted_at: float) -> float:
    """Return when a lease granted at that time has ended for certain."""
    return granted_at + LEASE_SECONDS * LEASE_EXPIRY_FACTOR + LEASE_EXPIRY_SLACK_SECONDS
