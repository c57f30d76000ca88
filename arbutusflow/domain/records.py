"""Records stored on the platform and messages exchanged with endpoints.

Invariant of an endpoint record: each change of coordinator increments the epoch,
so two coordinators of the same endpoint never have the same term.
"""

import enum

import msgspec

TERMS_PER_EPOCH = 16  # Each recorded successor needs a term of its own.
MAX_SUCCESSORS = 2


class EndpointRecord(msgspec.Struct, frozen=True):
    """Coordinator and successors of an endpoint, as stored on the platform.

    `incarnation` identifies the endpoint process that may hold units; it is empty
    if there is none. `writer` is the write ID of the update that stored the record;
    it tells whether an update whose response was lost has taken effect. `former`
    lists instances of earlier epochs whose renewals the endpoint may still accept,
    because it has not acknowledged a term of this epoch yet. `draining` is set once
    the endpoint has announced that it is shutting down.
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
        """Return the term that `instance` may use, or None if it is not listed."""
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
    """A unit of a service and the sequence at which the endpoint holds it."""

    unit: int
    sequence: int


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Request that renews an endpoint's lease and changes the units that it holds.

    `lease_until` is a time of the endpoint's own monotonic clock in seconds, so a
    delayed message cannot extend the lease beyond what its sender computed. A
    message with an empty `incarnation` is a probe and changes nothing. `number`
    increases with each message of a term. The endpoint refuses a renewal that
    arrives after a later one, because it could grant a unit again after the
    endpoint has acknowledged dropping it.
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

    `clock` is the time of the endpoint's monotonic clock in seconds. `load` is the
    number of requests that are running or queued there; it may be outdated or wrong.
    """

    incarnation: str
    clock: float
    term: int
    held: tuple[UnitGrant, ...]
    load: int = 0
    draining: bool = False
    refusal: LeaseRefusal | None = None


class Proof(enum.Enum):
    """Evidence that allows a unit to be assigned to another owner."""

    NEVER_OWNED = "never_owned"
    REVOKED = "revoked"
    LEASE_EXPIRED = "lease_expired"
    PROCESS_EXITED = "process_exited"
    PLATFORM_GONE = "platform_gone"
    OPERATOR_DECLARED = "operator_declared"


class Decision(msgspec.Struct, frozen=True):
    """An entry of the decision log, which the `explain` command prints.

    `time` is the wall-clock time in seconds at the instance that decided.
    """

    time: float
    instance: str
    subject: str
    what: str
    why: str
