"""Rules by which an endpoint accepts leases and work.

Invariants: the highest term never falls; work is accepted only while the lease,
named on this endpoint's own clock, has not expired.
"""

from arbutusflow.domain.records import (
    LeaseRefusal,
    LeaseRenewal,
    LeaseReply,
    Token,
    UnitGrant,
)


class EndpointGate:
    """Fencing state of one endpoint process."""

    def __init__(self, incarnation: str, checks_tokens: bool = True) -> None:
        self.incarnation = incarnation
        self.checks_tokens = checks_tokens
        self.term = 0
        self.lease_until = 0.0
        self.held: dict[int, int] = {}

    def renew(
        self, renewal: LeaseRenewal, clock: float, load: int, draining: bool
    ) -> LeaseReply:
        """Apply a renewal at `clock` seconds and return the state after it."""
        refusal = None
        if self.checks_tokens and renewal.term < self.term:
            refusal = LeaseRefusal.LOWER_TERM
        elif renewal.incarnation and renewal.incarnation != self.incarnation:
            refusal = LeaseRefusal.OTHER_INCARNATION
        elif renewal.incarnation:
            self.term = renewal.term
            self._apply(renewal)
        return LeaseReply(
            self.incarnation,
            clock,
            self.term,
            tuple(UnitGrant(*item) for item in self.held.items()),
            load,
            draining,
            refusal,
        )

    def accepts(self, service: str, unit: int, token: Token, clock: float) -> bool:
        """Tell whether work for `unit` under `token` may run at `clock` seconds."""
        if not self.checks_tokens:
            return True
        return (
            token.term == self.term
            and clock < self.lease_until
            and self.held.get(unit) == token.sequence
        )

    def _apply(self, renewal: LeaseRenewal) -> None:
        self.lease_until = renewal.lease_until
        for unit in renewal.drop:
            self.held.pop(unit, None)
        for grant in renewal.add:
            self.held[grant.unit] = grant.sequence
