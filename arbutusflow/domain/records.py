"""Typed objects that the platform keeps and messages that endpoints understand.

Invariant of an endpoint record: each change of coordinator raises the epoch, so
the terms of two coordinators of one endpoint never coincide.
"""

import enum

import msgspec

TERMS_PER_EPOCH = 16  # Leaves room for the terms of recorded successors.
MAX_SUCCESSORS = 2


class EndpointRecord(msgspec.Struct, frozen=True):
    """Who coordinates an endpoint, as the platform records it.

    `incarnation` is the process start of the endpoint that may hold units.
    `writer` is the mark that resolves a conditional update with a lost answer.
    `former` names instances of earlier epochs whose renewals the endpoint may
    still obey, because it has not acknowledged a term of this epoch yet.
    `draining` tells that the endpoint itself announced that it leaves.
    """

    endpoint: str
    service: str
    zone: str
    epoch: int
    coordinator: str
    successors: tuple[str, ...]
    incarnation: str
    writer: str
    former: tuple[str, ...] = ()
    draining: bool = False

    @property
    def term(self) -> int:
        """Term of the recorded coordinator."""
        return self.epoch * TERMS_PER_EPOCH

    def term_of(self, instance: str) -> int | None:
        """Return the term under which `instance` may act, if it may at all."""
        if instance == self.coordinator:
            return self.term
        if instance in self.successors:
            return self.term + 1 + self.successors.index(instance)
        return None

    @property
    def instances(self) -> tuple[str, ...]:
        """All instances that may renew the endpoint's lease."""
        return (self.coordinator, *self.successors)


class Token(msgspec.Struct, frozen=True, order=True):
    """Fencing token of a unit: the endpoint's term and the unit's sequence."""

    term: int
    sequence: int


class UnitGrant(msgspec.Struct, frozen=True):
    """A unit of a service and the sequence under which the endpoint holds it."""

    unit: int
    sequence: int


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Renews the lease of an endpoint and changes the units that it holds.

    `lease_until` is a reading of the endpoint's own monotonic clock in seconds,
    so a delayed message cannot extend the lease beyond what its sender computed.
    An empty `incarnation` makes the message a probe that changes nothing.
    `number` rises with each message of a term. A renewal that arrives after a
    later one would grant a unit again whose drop is acknowledged, so the endpoint
    refuses it.
    """

    coordinator: str
    term: int
    incarnation: str = ""
    lease_until: float = 0.0
    add: tuple[UnitGrant, ...] = ()
    drop: tuple[int, ...] = ()
    number: int = 0


class LeaseRefusal(enum.Enum):
    """Why an endpoint refused a lease renewal."""

    LOWER_TERM = "lower_term"
    OTHER_INCARNATION = "other_incarnation"
    OLDER_RENEWAL = "older_renewal"


class LeaseReply(msgspec.Struct, frozen=True):
    """State of an endpoint after a renewal or a probe.

    `clock` is its monotonic clock in seconds. `load` counts the requests that it
    runs or has queued; it may lag or mislead.
    """

    incarnation: str
    clock: float
    term: int
    held: tuple[UnitGrant, ...]
    load: int = 0
    draining: bool = False
    refusal: LeaseRefusal | None = None


class Proof(enum.Enum):
    """Why a unit could leave its owner."""

    NEVER_OWNED = "never_owned"
    REVOKED = "revoked"
    LEASE_EXPIRED = "lease_expired"
    PROCESS_EXITED = "process_exited"
    PLATFORM_GONE = "platform_gone"
    OPERATOR_DECLARED = "operator_declared"


class Decision(msgspec.Struct, frozen=True):
    """An entry of the decision record that `explain` reads.

    `time` is in seconds of the deciding instance's wall clock.
    """

    time: float
    instance: str
    subject: str
    what: str
    why: str
