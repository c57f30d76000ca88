"""Key tables: which endpoint owns which keys of a service, as recorded in the store.

Invariants: the ranges of a table cover the key space without gaps or overlap. Each
fencing token is used for one owner of one range only and is greater than all earlier
tokens, because a conditional write stores the table that contains a token before the
token is granted. A later era of the store, which may have lost tables, has tokens that
no earlier era gives out. A range without an owner names the highest token that a valid
grant of it can have.
"""

import bisect
import dataclasses

import msgspec

from arbutusflow.gateway.model import KEY_SPACE, StorePoint

# Short enough that the keys of a lost endpoint are reassigned soon, and long enough
# that the instance that renews a lease can restart before it expires.
KEY_LEASE_SECONDS = 4.0
# The clock of an endpoint may run 2 % slow. The rest of the factor and the slack cover
# network delay.
LEASE_EXPIRY_FACTOR = 1.03
LEASE_EXPIRY_SLACK_SECONDS = 0.1
# Tables of an era of the store give out tokens from this number times the era on. No
# table gives out as many.
TOKENS_PER_ERA = 2**32


# Identifies a grant: owner, first key, last key and fencing token.
GrantId = tuple[str, int, int, int]


class KeyRange(msgspec.Struct, frozen=True):
    """Keys from `first` to `last`, both inclusive, and their owner."""

    first: int
    last: int
    endpoint: str = ""  # Identifier of the owner; empty if there is none.
    started_ms: int = 0  # Start time of the owner's process, which identifies it.
    # Fencing token of the grant. Without an owner: no valid grant has a higher one.
    token: int = 0
    # Returned by the previous owner when it released all of these keys, or empty.
    handover: str = ""
    # Being moved to another owner: the lease is not renewed. Without an owner: about to
    # be assigned.
    leaving: bool = False
    # While leaving: token with which the owner is made to refuse all earlier grants,
    # and the incarnation of the only instance that may use it.
    closing_token: int = 0
    closer_life: int = 0

    @property
    def key_count(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @classmethod
    def unowned(cls, first: int, last: int, era: int) -> "KeyRange":
        """Return a range that has had no owner in any table since an era began."""
        return cls(first, last, token=max(0, first_token(era) - 1))

    @property
    def unowned_since(self) -> int:
        """The era since which the range has no owner in any table; 0 if not known."""
        return (self.token + 1) // TOKENS_PER_ERA

    def as_leaving(self, closing_token: int, closer_life: int) -> "KeyRange":
        """Return the range marked as leaving, to be closed by one instance."""
        return msgspec.structs.replace(
            self, leaving=True, closing_token=closing_token, closer_life=closer_life
        )

    def as_staying(self) -> "KeyRange":
        """Return the range without a mark as leaving."""
        return msgspec.structs.replace(
            self, leaving=False, closing_token=0, closer_life=0
        )

    @property
    def grant_id(self) -> GrantId:
        """Owner, first and last key, and fencing token; see `GrantId`."""
        return (self.endpoint, self.first, self.last, self.token)


def first_token(era: int) -> int:
    """Return a token that is above all tokens of earlier eras."""
    return era * TOKENS_PER_ERA


def _first_key(key_range: KeyRange) -> int:
    return key_range.first


class KeyTable(msgspec.Struct, frozen=True):
    """Ranges of one service, sorted by key."""

    service: str
    next_token: int
    ranges: tuple[KeyRange, ...]

    @classmethod
    def empty(cls, service: str, era: int = 0) -> "KeyTable":
        """Return the first table of an era, in which no key has an owner."""
        unowned = KeyRange.unowned(0, KEY_SPACE - 1, era)
        return cls(service, max(1, first_token(era)), (unowned,))

    def find(self, key: int) -> KeyRange:
        """Return the range that contains a key."""
        index = bisect.bisect_right(self.ranges, key, key=_first_key) - 1
        return self.ranges[index]

    def changes_since(self, earlier: "KeyTable") -> tuple[KeyRange, ...]:
        """Return the ranges that an earlier table of the service does not contain."""
        known = set(earlier.ranges)
        return tuple(key_range for key_range in self.ranges if key_range not in known)

    def with_changes(
        self, next_token: int, changes: tuple[KeyRange, ...]
    ) -> "KeyTable":
        """Return a table in which `changes` replace the ranges that they overlap.

        Raises ValueError unless the result covers each key exactly once.
        """
        kept = [
            key_range
            for key_range in self.ranges
            if not any(
                c.first <= key_range.last and c.last >= key_range.first for c in changes
            )
        ]
        ranges = tuple(sorted((*kept, *changes), key=_first_key))
        table = KeyTable(self.service, next_token, ranges)
        table.check()
        return table

    def check(self) -> None:
        """Raise ValueError on gaps, overlaps or tokens that have not been issued."""
        next_key = 0
        for key_range in self.ranges:
            if key_range.first != next_key or key_range.last < key_range.first:
                raise ValueError(f"gap or overlap of key ranges at key {next_key}")
            token = max(key_range.token, key_range.closing_token)
            if token >= self.next_token:
                raise ValueError(f"token {token} has not been issued yet")
            next_key = key_range.last + 1
        if next_key != KEY_SPACE:
            raise ValueError(f"keys from {next_key} on are not covered")


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """A key table with its revision in the store."""

    table: KeyTable
    revision: StorePoint


def lease_expiry(granted_at: float, lease_seconds: float = KEY_LEASE_SECONDS) -> float:
    """Return the time by which a lease granted at `granted_at` has certainly expired.

    Allows for the clock error of the endpoint and for network delay.
    """
    return granted_at + lease_seconds * LEASE_EXPIRY_FACTOR + LEASE_EXPIRY_SLACK_SECONDS
