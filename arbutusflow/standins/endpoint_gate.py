"""Lease and fencing token checks of an endpoint.

Invariants: the term never decreases; a renewal that arrives after a later one of
the same term changes nothing; an endpoint that checks tokens accepts no requests after
its lease has expired. All times are readings of the endpoint's own monotonic clock in
seconds.
"""

from arbutusflow.domain.records import (
    LeaseRefusal,
    LeaseRenewal,
    LeaseReply,
    Token,
    UnitGrant,
)


class EndpointLease:
    """Lease and held units of one incarnation of an endpoint."""

    def __init__(self, incarnation: str, checks_tokens: bool = True) -> None:
        self.incarnation = incarnation
        self.checks_tokens = checks_tokens
        self.term = 0
        self.number = 0  # Of the latest renewal in this term.
        self.lease_until = 0.0
        self.held: dict[int, int] = {}  # Sequence by unit.

    def renew(
        self, renewal: LeaseRenewal, clock: float, load: int, draining: bool
    ) -> LeaseReply:
        """Apply `renewal` unless it is refused, and return the resulting state.

        A renewal without an incarnation only reads the state.
        """
        refusal = self._refusal(renewal)
        if refusal is None and renewal.incarnation:
            self.term, self.number = renewal.term, renewal.number
            for unit in renewal.drop:
                self.held.pop(unit, None)
            for grant in renewal.add:
                self.held[grant.unit] = grant.sequence
            self.lease_until = max(self.lease_until, renewal.lease_until)
        held = tuple(UnitGrant(unit, seq) for unit, seq in sorted(self.held.items()))
        return LeaseReply(
            self.incarnation, clock, self.term, held, load, draining, refusal
        )

    def accepts(self, service: str, unit: int, token: Token, clock: float) -> bool:
        """Return whether a request for `unit` with `token` may run at time `clock`.

        `service` is not used.
        """
        if not self.checks_tokens:
            return True
        if clock >= self.lease_until or token.term < self.term:
            return False
        return self.held.get(unit) == token.sequence

    def _refusal(self, renewal: LeaseRenewal) -> LeaseRefusal | None:
        if renewal.term < self.term:
            return LeaseRefusal.LOWER_TERM
        if not renewal.incarnation:
            return None
        if renewal.incarnation != self.incarnation:
            return LeaseRefusal.OTHER_INCARNATION
        if renewal.term == self.term and renewal.number < self.number:
            return LeaseRefusal.OLDER_RENEWAL
        return None
