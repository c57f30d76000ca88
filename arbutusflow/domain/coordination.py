"""Duties of an endpoint's coordinator: lease renewal, grants, moves, failover.

Invariants:
- A unit is taken from its owner only on a proof (`Proof`), and the new owner is
  granted the unit only after the table has been written.
- The first message under a new term only establishes the term and extends no lease.
  Its reply reports what the endpoint holds once it refuses all earlier senders; only
  then is the lease extended.
- A coordinator grants further units only while the table contains its epoch.
- A unit that a pending table write assigns to another endpoint is neither granted
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
    ENDPOINT_LEASE_SECONDS,
    LEASE_BOUND_SECONDS,
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

LEASE_CALL_TIMEOUT_SECONDS = 0.35  # A later reply is of no use.
# After this time without `RenewalReplied` or `RenewalFailed` the call counts as failed.
LEASE_CALL_EXPIRY_SECONDS = 2 * LEASE_CALL_TIMEOUT_SECONDS
RENOUNCE_RETRY_SECONDS = 0.3


class Coordinator:
    """Leases and unit moves of the endpoints that this instance acts for."""

    def __init__(
        self, state: OwnershipState, writer: ObjectWriter, succession: Succession
    ) -> None:
        self._state = state
        self._writer = writer
        self._succession = succession

    def tick(self, service: Service, endpoint: Endpoint, now: float) -> None:
        """Renew the lease of `endpoint` and carry out its moves, as far as due."""
        coordination = self._state.coordination(endpoint.name)
        fenced = self._state.is_table_fenced(service.name, endpoint.name)
        if coordination.must_fence and fenced:
            coordination.must_fence = False
            coordination.next_renewal_at = now
        self._renew_if_due(service, endpoint, now)
        if not self._state.is_recorded_coordinator(endpoint.name):
            return
        table = self._state.tables.get(service.name)
        if table is None:
            return
        if not fenced:
            self._fence_table(service, endpoint, table, now)
            return
        self._set_move_targets(service, endpoint, table)
        self._advance_moves(service, endpoint, table)
        self._reassign_lost_units(service, endpoint, table, now)

    def _fence_table(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable, now: float
    ) -> None:
        if self._state.is_record_stale(service.name, endpoint.name):
            self._writer.request_read((RECORD_PREFIX + endpoint.name,), now)
        elif not self._writer.has_pending_write(TABLE_PREFIX + service.name):
            self._writer.write_table(table)

    # Lease

    def _renew_if_due(self, service: Service, endpoint: Endpoint, now: float) -> None:
        coordination = self._state.coordination(endpoint.name)
        if coordination.pending_renewal:
            if now - coordination.renewal_sent_at < LEASE_CALL_EXPIRY_SECONDS:
                return
            coordination.renewal_failures += 1
        if now < coordination.next_renewal_at:
            return
        renewal = self._build_renewal(service, endpoint, coordination, now)
        coordination.pending_renewal = renewal.number
        coordination.renewal_sent_at = now
        coordination.renewal_claims_term = bool(renewal.incarnation)
        coordination.renewal_extends_lease = renewal.lease_until > 0
        coordination.next_renewal_at = now + RENEWAL_INTERVAL_SECONDS
        self._state.actions.append(SendRenewal(endpoint, renewal, renewal.number))

    def _build_renewal(
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
        add, drop = self._grant_changes(service, endpoint, coordination)
        coordination.unacknowledged_units.update(grant.unit for grant in add)
        coordination.last_extension_at = now
        return LeaseRenewal(
            state.instance,
            coordination.term,
            record.incarnation,
            coordination.endpoint_clock + ENDPOINT_LEASE_SECONDS,
            add,
            drop,
            number,
        )

    def _grant_changes(
        self, service: Service, endpoint: Endpoint, coordination: Coordination
    ) -> tuple[tuple[UnitGrant, ...], tuple[int, ...]]:
        """Return the units to grant to the endpoint and the units to revoke."""
        held = coordination.held
        table = self._state.tables.get(service.name)
        if table is None:
            return (), ()
        may_grant = self._state.is_recorded_coordinator(
            endpoint.name
        ) and self._state.is_table_fenced(service.name, endpoint.name)
        if not may_grant:
            # The table may be older than the endpoint's grants. However, a row with
            # a higher sequence shows that the unit was moved away from the endpoint.
            moved_away = (u for u, seq in held.items() if table.row(u).sequence > seq)
            return (), tuple(moved_away)
        leaving = self._writer.units_moving_away(service.name, endpoint.name)
        assigned = {
            unit: sequence
            for unit, sequence in table.units_of(endpoint.name).items()
            if unit not in coordination.units_drained and unit not in leaving
        }
        drop = sorted(
            (held.keys() | coordination.unacknowledged_units) - assigned.keys()
        )
        add = (
            UnitGrant(unit, sequence)
            for unit, sequence in assigned.items()
            if held.get(unit) != sequence
        )
        return tuple(add), tuple(drop)

    def on_lease_reply(self, event: RenewalReplied, now: float) -> None:
        """Apply an endpoint's reply to the pending renewal."""
        coordination = self._state.coordination(event.endpoint)
        if not coordination.term or coordination.pending_renewal != event.operation:
            return
        reply = event.reply
        coordination.pending_renewal = 0
        if reply.refusal is LeaseRefusal.LOWER_TERM:
            self._succession.on_higher_term(event.endpoint, reply.term, now)
            return
        previous_reading_asked_at = coordination.clock_requested_at
        self._update_process(event.endpoint, coordination, reply)
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
                previous_reading_asked_at
                + ENDPOINT_LEASE_SECONDS
                - DISPATCH_MARGIN_SECONDS
            )
        expires_soon = coordination.dispatch_until < now + RENEWAL_INTERVAL_SECONDS
        if expires_soon and not coordination.must_fence:
            # The extension was based on an old clock reading; this reply carries a
            # new one.
            coordination.next_renewal_at = now

    def _update_process(
        self, endpoint: str, coordination: Coordination, reply: LeaseReply
    ) -> None:
        coordination.renewal_failures = 0
        coordination.exited = False
        coordination.endpoint_draining = reply.draining
        self._state.declared_lost.pop(endpoint, None)
        if reply.incarnation == coordination.incarnation:
            return
        if coordination.incarnation:
            why = f"incarnation {reply.incarnation} replied"
            self._state.record_decision(endpoint, "restarted", why)
        coordination.reset_process_state()
        coordination.incarnation = reply.incarnation

    def on_lease_failure(self, event: RenewalFailed) -> None:
        """Record that the pending renewal got no reply."""
        coordination = self._state.coordination(event.endpoint)
        if not coordination.term or coordination.pending_renewal != event.operation:
            return
        coordination.pending_renewal = 0
        coordination.renewal_failures += 1
        if event.refused:
            coordination.reset_process_state()
            coordination.exited = True

    # Planned moves

    def _set_move_targets(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable
    ) -> None:
        """Set targets for the units of a leaving endpoint, and replace lost targets."""
        if self._writer.has_pending_write(TABLE_PREFIX + service.name):
            return
        leaves = self._state.is_draining(service, endpoint.name)
        moves = table.planned_moves()
        if not leaves and not moves:
            return
        candidates = self._state.eligible_endpoints(service)
        names = {item.name for item in candidates}
        changes: dict[int, str | None] = {}
        units_without_target = []
        for unit in table.units_of(endpoint.name):
            target = moves.get(unit)
            if target is None and leaves:
                units_without_target.append(unit)
            elif target is not None and target not in names:
                changes[unit] = None
                if leaves:
                    units_without_target.append(unit)
        if candidates:
            changes.update(choose_owners(table, units_without_target, candidates))
        if changes:
            self._writer.write_table(table.with_targets(changes))

    def _advance_moves(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable
    ) -> None:
        """Drain the units that have a target; write the moves of revoked units."""
        state = self._state
        coordination = state.coordination(endpoint.name)
        in_progress = coordination.units_draining or coordination.units_drained
        if not in_progress and not table.planned_moves():
            return
        owned = table.units_of(endpoint.name)
        leaving = self._writer.units_moving_away(service.name, endpoint.name)
        healthy = {item.name for item in state.eligible_endpoints(service)}
        moves = {
            unit: target
            for unit, target in table.planned_moves().items()
            if unit in owned and target in healthy
        }
        coordination.units_draining &= moves.keys()
        coordination.units_drained &= moves.keys() | leaving
        for unit in sorted(
            moves.keys() - coordination.units_draining - coordination.units_drained
        ):
            coordination.units_draining.add(unit)
            state.actions.append(DrainUnit(service.name, unit))
        if not coordination.acknowledged:
            return
        possibly_held = coordination.held.keys() | coordination.unacknowledged_units
        revoked = {
            unit: target
            for unit, target in moves.items()
            if unit in coordination.units_drained and unit not in possibly_held
        }
        if revoked:
            self._write_moves(service, endpoint, table, revoked, Proof.REVOKED)

    def on_unit_drained(self, service: str, unit: int) -> None:
        """Record that no request of `unit` is in flight any more."""
        table = self._state.tables.get(service)
        owner = None if table is None else table.row(unit).owner
        coordination = self._state.coordinations.get(owner) if owner else None
        if coordination is not None and unit in coordination.units_draining:
            coordination.units_draining.discard(unit)
            coordination.units_drained.add(unit)
            coordination.next_renewal_at = -math.inf

    def _write_moves(
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

    # Failover

    def _reassign_lost_units(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable, now: float
    ) -> None:
        """Reassign the units of a lost endpoint once there is proof of the loss."""
        state = self._state
        units = list(table.units_of(endpoint.name))
        if not units or not state.coordination(endpoint.name).lost:
            return
        # A pending record write would void the renouncements when it takes effect.
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        proof = self._loss_proof(endpoint, state.records[endpoint.name], now)
        candidates = [
            i for i in state.eligible_endpoints(service) if i.name != endpoint.name
        ]
        if proof is not None and candidates:
            changes = choose_owners(table, units, candidates)
            self._write_moves(service, endpoint, table, changes, proof)

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
        potential_coordinators = set(record.successors)
        if not coordination.acknowledged:
            potential_coordinators.update(record.former)
        potential_coordinators.discard(state.instance)
        missing = (
            potential_coordinators
            - coordination.renouncements.keys()
            - state.gone_at.keys()
        )
        if missing:
            self._request_renouncements(endpoint, coordination, sorted(missing), now)
            return None
        # Each of them may have renewed the lease until it renounced or ended.
        last_renewal_bounds = [
            coordination.clock_received_at,
            coordination.acting_since,
        ]
        last_renewal_bounds += [
            coordination.renouncements.get(name, state.gone_at.get(name, now))
            for name in potential_coordinators
        ]
        if now <= max(last_renewal_bounds) + LEASE_BOUND_SECONDS:
            return None
        return Proof.LEASE_EXPIRED

    def _request_renouncements(
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
