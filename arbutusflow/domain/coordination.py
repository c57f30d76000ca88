"""Work of the coordinator of an endpoint: lease, grants, moves and loss.

Invariants:
- A unit leaves its owner only on a proof (`Proof`), and the table is written
  before the new owner is granted the unit.
- The first message under a term only takes the term. Its answer tells what the
  endpoint holds after it has begun to refuse all earlier senders; only then is
  the lease extended.
- A coordinator adds units only while the table is fenced by its epoch.
- A unit that a table write under way gives to another endpoint is neither granted
  nor dispatched, however long the write takes.
"""

import math

from arbutusflow.domain.configuration import Endpoint, Service
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership_messages import (
    DrainUnit,
    RenewalFailed,
    RenewalReplied,
    RequestRenounce,
    SendRenewal,
)
from arbutusflow.domain.ownership_state import (
    DISPATCH_MARGIN_SECONDS,
    LEASE_BOUND_SECONDS,
    LEASE_SECONDS,
    RECORD_PREFIX,
    RENEWAL_INTERVAL_SECONDS,
    TABLE_PREFIX,
    Coordination,
    OwnershipState,
)
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import choose_owners
from arbutusflow.domain.records import (
    EndpointRecord,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReply,
    Proof,
    UnitGrant,
)
from arbutusflow.domain.succession import Succession

LEASE_CALL_TIMEOUT_SECONDS = 0.35  # A renewal that is later is no help.
CALL_LOST_SECONDS = 2 * LEASE_CALL_TIMEOUT_SECONDS  # The caller reported nothing.
RENOUNCE_RETRY_SECONDS = 0.3


class Coordinator:
    """Leases and moves of the endpoints that this instance acts for."""

    def __init__(
        self, state: OwnershipState, writer: ObjectWriter, succession: Succession
    ) -> None:
        self._state = state
        self._writer = writer
        self._succession = succession

    def tick(self, service: Service, endpoint: Endpoint, now: float) -> None:
        """Do what is due for an endpoint that this instance acts for."""
        coordination = self._state.coordination(endpoint.name)
        fenced = self._state.fenced(service.name, endpoint.name)
        if coordination.must_fence and fenced:
            coordination.must_fence = False
            coordination.next_renewal_at = now
        self._renew(service, endpoint, now)
        if not self._state.is_recorded_coordinator(endpoint.name):
            return
        table = self._state.tables.get(service.name)
        if table is None:
            return
        if not fenced:
            self._fence(service, endpoint, table, now)
            return
        self._plan_moves(service, endpoint, table)
        self._advance_moves(service, endpoint, table)
        self._move_off_lost_endpoint(service, endpoint, table, now)

    def _fence(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable, now: float
    ) -> None:
        if self._state.record_is_stale(service.name, endpoint.name):
            self._writer.read((RECORD_PREFIX + endpoint.name,), now)
        elif not self._writer.has_pending_write(TABLE_PREFIX + service.name):
            self._writer.write_table(table)

    # Lease

    def _renew(self, service: Service, endpoint: Endpoint, now: float) -> None:
        coordination = self._state.coordination(endpoint.name)
        if coordination.pending_renewal:
            if now - coordination.renewal_sent_at < CALL_LOST_SECONDS:
                return
            coordination.renewal_failures += 1
        if now < coordination.next_renewal_at:
            return
        renewal = self._renewal(service, endpoint, coordination, now)
        coordination.pending_renewal = renewal.number
        coordination.renewal_sent_at = now
        coordination.renewal_claims_term = bool(renewal.incarnation)
        coordination.renewal_extends_lease = renewal.lease_until > 0
        coordination.next_renewal_at = now + RENEWAL_INTERVAL_SECONDS
        self._state.actions.append(SendRenewal(endpoint, renewal, renewal.number))

    def _renewal(
        self,
        service: Service,
        endpoint: Endpoint,
        coordination: Coordination,
        now: float,
    ) -> LeaseRenewal:
        state = self._state
        record = state.records[endpoint.name]
        number = state.next_operation()
        probe = LeaseRenewal(state.instance, coordination.term, number=number)
        if not record.incarnation or (
            coordination.incarnation not in ("", record.incarnation)
        ):
            coordination.acknowledged = False
            return probe
        if not coordination.acknowledged or coordination.must_fence:
            return LeaseRenewal(
                state.instance, coordination.term, record.incarnation, number=number
            )
        add, drop = self._changes(service, endpoint, coordination)
        coordination.unacknowledged_units.update(grant.unit for grant in add)
        coordination.last_extension_at = now
        return LeaseRenewal(
            state.instance,
            coordination.term,
            record.incarnation,
            coordination.endpoint_clock + LEASE_SECONDS,
            add,
            drop,
            number,
        )

    def _changes(
        self, service: Service, endpoint: Endpoint, coordination: Coordination
    ) -> tuple[tuple[UnitGrant, ...], tuple[int, ...]]:
        """Return the units to add to and to drop from the endpoint."""
        held = coordination.held
        table = self._state.tables.get(service.name)
        if table is None:
            return (), ()
        may_add = self._state.is_recorded_coordinator(
            endpoint.name
        ) and self._state.fenced(service.name, endpoint.name)
        if not may_add:
            # The table may be older than what the endpoint was granted, but a row
            # with a higher sequence shows that the unit has left the endpoint.
            gone = (u for u, seq in held.items() if table.row(u).sequence > seq)
            return (), tuple(gone)
        leaving = self._writer.units_moving_away(service.name, endpoint.name)
        wanted = {
            unit: sequence
            for unit, sequence in table.units_of(endpoint.name).items()
            if unit not in coordination.drained and unit not in leaving
        }
        drop = sorted((held.keys() | coordination.unacknowledged_units) - wanted.keys())
        add = (
            UnitGrant(unit, sequence)
            for unit, sequence in wanted.items()
            if held.get(unit) != sequence
        )
        return tuple(add), tuple(drop)

    def replied(self, event: RenewalReplied, now: float) -> None:
        """Take an endpoint's answer to the renewal under way."""
        coordination = self._state.coordination(event.endpoint)
        if not coordination.term or coordination.pending_renewal != event.operation:
            return
        reply = event.reply
        coordination.pending_renewal = 0
        if reply.refusal is LeaseRefusal.LOWER_TERM:
            self._succession.lower_term(event.endpoint, reply.term, now)
            return
        based_on = coordination.clock_requested_at
        self._note_process(event.endpoint, coordination, reply)
        coordination.endpoint_clock = reply.clock
        coordination.clock_requested_at = coordination.renewal_sent_at
        coordination.clock_received_at = now
        if reply.refusal is not None or not coordination.renewal_claims_term:
            coordination.acknowledged = False
            return
        coordination.acknowledged = True
        coordination.held = {grant.unit: grant.sequence for grant in reply.held}
        coordination.unacknowledged_units.clear()
        if coordination.renewal_extends_lease:
            coordination.acknowledged_extension_at = coordination.renewal_sent_at
            coordination.dispatch_until = (
                based_on + LEASE_SECONDS - DISPATCH_MARGIN_SECONDS
            )
        stale = coordination.dispatch_until < now + RENEWAL_INTERVAL_SECONDS
        if stale and not coordination.must_fence:
            # The extension rested on an old reading; this answer brought a new one.
            coordination.next_renewal_at = now

    def _note_process(
        self, endpoint: str, coordination: Coordination, reply: LeaseReply
    ) -> None:
        coordination.renewal_failures = 0
        coordination.exited = False
        coordination.endpoint_draining = reply.draining
        self._state.declared_lost.pop(endpoint, None)
        if reply.incarnation == coordination.incarnation:
            return
        if coordination.incarnation:
            why = f"incarnation {reply.incarnation} answers"
            self._state.record_decision(endpoint, "restarted", why)
        coordination.reset_process_state()
        coordination.incarnation = reply.incarnation

    def failed(self, event: RenewalFailed) -> None:
        """Take note that the renewal under way had no answer."""
        coordination = self._state.coordination(event.endpoint)
        if not coordination.term or coordination.pending_renewal != event.operation:
            return
        coordination.pending_renewal = 0
        coordination.renewal_failures += 1
        if event.refused:
            coordination.reset_process_state()
            coordination.exited = True

    # Planned moves

    def _plan_moves(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable
    ) -> None:
        """Give units of a leaving endpoint targets, and replace lost targets."""
        if self._writer.has_pending_write(TABLE_PREFIX + service.name):
            return
        leaves = self._state.is_draining(service, endpoint.name)
        moves = table.planned_moves()
        if not leaves and not moves:
            return
        candidates = self._state.eligible_endpoints(service)
        names = {item.name for item in candidates}
        changes: dict[int, str | None] = {}
        homeless = []
        for unit in table.units_of(endpoint.name):
            target = moves.get(unit)
            if target is None and leaves:
                homeless.append(unit)
            elif target is not None and target not in names:
                changes[unit] = None
                if leaves:
                    homeless.append(unit)
        if candidates:
            changes.update(choose_owners(table, homeless, candidates))
        if changes:
            self._writer.write_table(table.with_targets(changes))

    def _advance_moves(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable
    ) -> None:
        """Drain units that have a target and record the moves that are revoked."""
        state = self._state
        coordination = state.coordination(endpoint.name)
        under_way = coordination.draining or coordination.drained
        if not under_way and not table.planned_moves():
            return
        owned = table.units_of(endpoint.name)
        leaving = self._writer.units_moving_away(service.name, endpoint.name)
        healthy = {item.name for item in state.eligible_endpoints(service)}
        moves = {
            unit: target
            for unit, target in table.planned_moves().items()
            if unit in owned and target in healthy
        }
        coordination.draining &= moves.keys()
        coordination.drained &= moves.keys() | leaving
        for unit in sorted(moves.keys() - coordination.draining - coordination.drained):
            coordination.draining.add(unit)
            state.actions.append(DrainUnit(service.name, unit))
        if not coordination.acknowledged:
            return
        kept = coordination.held.keys() | coordination.unacknowledged_units
        revoked = {
            unit: target
            for unit, target in moves.items()
            if unit in coordination.drained and unit not in kept
        }
        if revoked:
            self._move(service, endpoint, table, revoked, Proof.REVOKED)

    def drained(self, service: str, unit: int) -> None:
        """Note that no request of `unit` is in flight."""
        table = self._state.tables.get(service)
        owner = None if table is None else table.row(unit).owner
        coordination = self._state.coordinations.get(owner) if owner else None
        if coordination is not None and unit in coordination.draining:
            coordination.draining.discard(unit)
            coordination.drained.add(unit)
            coordination.next_renewal_at = -math.inf

    def _move(
        self,
        service: Service,
        endpoint: Endpoint,
        table: OwnershipTable,
        changes: dict[int, str],
        proof: Proof,
    ) -> None:
        if self._writer.has_pending_write(TABLE_PREFIX + service.name):
            return
        moved: dict[int, tuple[str | None, str]] = {
            unit: (endpoint.name, target) for unit, target in changes.items()
        }
        self._writer.write_table(table.with_owners(changes), moved, proof.value)

    # Loss

    def _move_off_lost_endpoint(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable, now: float
    ) -> None:
        """Give the units of a lost endpoint to others once its loss is proved."""
        state = self._state
        units = list(table.units_of(endpoint.name))
        if not units or not state.coordination(endpoint.name).lost:
            return
        # A record write under way would void renouncements when it takes effect.
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        proof = self._loss_proof(endpoint, state.records[endpoint.name], now)
        candidates = [
            i for i in state.eligible_endpoints(service) if i.name != endpoint.name
        ]
        if proof is not None and candidates:
            changes = choose_owners(table, units, candidates)
            self._move(service, endpoint, table, changes, proof)

    def _loss_proof(
        self, endpoint: Endpoint, record: EndpointRecord, now: float
    ) -> Proof | None:
        state = self._state
        coordination = state.coordination(endpoint.name)
        if coordination.exited:
            return Proof.PROCESS_EXITED
        if endpoint.name in state.declared_lost:
            return state.declared_lost[endpoint.name]
        if not endpoint.checks_tokens:
            return None
        rivals = set(record.successors)
        if not coordination.acknowledged:
            rivals.update(record.former)
        rivals.discard(state.instance)
        missing = rivals - coordination.renouncements.keys() - state.gone_at.keys()
        if missing:
            self._ask_renounce(endpoint, coordination, sorted(missing), now)
            return None
        # Each rival may have renewed until it renounced or ended.
        bounds = [coordination.clock_received_at, coordination.acting_since]
        bounds += [
            coordination.renouncements.get(name, state.gone_at.get(name, now))
            for name in rivals
        ]
        if now <= max(bounds) + LEASE_BOUND_SECONDS:
            return None
        return Proof.LEASE_EXPIRED

    def _ask_renounce(
        self,
        endpoint: Endpoint,
        coordination: Coordination,
        instances: list[str],
        now: float,
    ) -> None:
        if now - coordination.renounce_requested_at < RENOUNCE_RETRY_SECONDS:
            return
        coordination.renounce_requested_at = now
        version = self._state.versions[RECORD_PREFIX + endpoint.name]
        self._state.actions += [
            RequestRenounce(name, endpoint.name, version) for name in instances
        ]
