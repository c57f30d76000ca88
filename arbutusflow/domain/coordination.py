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
    AskRenounce,
    DrainUnit,
    LeaseFailed,
    LeaseReplied,
    SendLease,
)
from arbutusflow.domain.ownership_state import (
    DISPATCH_MARGIN_SECONDS,
    LEASE_BOUND_SECONDS,
    LEASE_SECONDS,
    RECORD_PREFIX,
    RENEW_SECONDS,
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
            coordination.next_call_at = now
        self._renew(service, endpoint, now)
        if not self._state.coordinates(endpoint.name):
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
        if self._state.replaced(service.name, endpoint.name):
            self._writer.read((RECORD_PREFIX + endpoint.name,), now)
        elif not self._writer.busy(TABLE_PREFIX + service.name):
            self._writer.write_table(table)

    # Lease

    def _renew(self, service: Service, endpoint: Endpoint, now: float) -> None:
        coordination = self._state.coordination(endpoint.name)
        if coordination.call:
            if now - coordination.call_at < CALL_LOST_SECONDS:
                return
            coordination.failures += 1
        if now < coordination.next_call_at:
            return
        renewal = self._build_renewal(service, endpoint, coordination, now)
        coordination.call = renewal.number
        coordination.call_at = now
        coordination.call_takes_term = bool(renewal.incarnation)
        coordination.call_extends = renewal.lease_until > 0
        coordination.next_call_at = now + RENEW_SECONDS
        self._state.actions.append(SendLease(endpoint, renewal, renewal.number))

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
        add, drop = self._changes(service, endpoint, coordination)
        coordination.offered.update(grant.unit for grant in add)
        coordination.last_renewal_at = now
        return LeaseRenewal(
            state.instance,
            coordination.term,
            record.incarnation,
            coordination.reading + LEASE_SECONDS,
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
        may_add = self._state.coordinates(endpoint.name) and self._state.fenced(
            service.name, endpoint.name
        )
        if not may_add:
            # The table may be older than what the endpoint was granted, but a row
            # with a higher sequence shows that the unit has left the endpoint.
            gone = (u for u, seq in held.items() if table.row(u).sequence > seq)
            return (), tuple(gone)
        leaving = self._writer.leaving(service.name, endpoint.name)
        wanted = {
            unit: sequence
            for unit, sequence in table.units_of(endpoint.name).items()
            if unit not in coordination.drained and unit not in leaving
        }
        drop = sorted((held.keys() | coordination.offered) - wanted.keys())
        add = (
            UnitGrant(unit, sequence)
            for unit, sequence in wanted.items()
            if held.get(unit) != sequence
        )
        return tuple(add), tuple(drop)

    def on_lease_reply(self, event: LeaseReplied, now: float) -> None:
        """Take an endpoint's answer to the renewal under way."""
        coordination = self._state.coordination(event.endpoint)
        if not coordination.term or coordination.call != event.operation:
            return
        reply = event.reply
        coordination.call = 0
        if reply.refusal is LeaseRefusal.LOWER_TERM:
            self._succession.on_higher_term(event.endpoint, reply.term, now)
            return
        based_on = coordination.reading_asked_at
        self._note_process(event.endpoint, coordination, reply)
        coordination.reading = reply.clock
        coordination.reading_asked_at = coordination.call_at
        coordination.reading_at = now
        if reply.refusal is not None or not coordination.call_takes_term:
            coordination.acknowledged = False
            return
        coordination.acknowledged = True
        coordination.held = {grant.unit: grant.sequence for grant in reply.held}
        coordination.offered.clear()
        if coordination.call_extends:
            coordination.extended_at = coordination.call_at
            coordination.dispatch_until = (
                based_on + LEASE_SECONDS - DISPATCH_MARGIN_SECONDS
            )
        stale = coordination.dispatch_until < now + RENEW_SECONDS
        if stale and not coordination.must_fence:
            # The extension rested on an old reading; this answer brought a new one.
            coordination.next_call_at = now

    def _note_process(
        self, endpoint: str, coordination: Coordination, reply: LeaseReply
    ) -> None:
        coordination.failures = 0
        coordination.exited = False
        coordination.endpoint_draining = reply.draining
        self._state.declared.pop(endpoint, None)
        if reply.incarnation == coordination.incarnation:
            return
        if coordination.incarnation:
            why = f"incarnation {reply.incarnation} answers"
            self._state.decide(endpoint, "restarted", why)
        coordination.forget_process()
        coordination.incarnation = reply.incarnation

    def on_lease_failure(self, event: LeaseFailed) -> None:
        """Take note that the renewal under way had no answer."""
        coordination = self._state.coordination(event.endpoint)
        if not coordination.term or coordination.call != event.operation:
            return
        coordination.call = 0
        coordination.failures += 1
        if event.refused:
            coordination.forget_process()
            coordination.exited = True

    # Planned moves

    def _plan_moves(
        self, service: Service, endpoint: Endpoint, table: OwnershipTable
    ) -> None:
        """Give units of a leaving endpoint targets, and replace lost targets."""
        if self._writer.busy(TABLE_PREFIX + service.name):
            return
        leaves = self._state.leaves(service, endpoint.name)
        moves = table.planned_moves()
        if not leaves and not moves:
            return
        candidates = self._state.healthy(service)
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
        leaving = self._writer.leaving(service.name, endpoint.name)
        healthy = {item.name for item in state.healthy(service)}
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
        kept = coordination.held.keys() | coordination.offered
        revoked = {
            unit: target
            for unit, target in moves.items()
            if unit in coordination.drained and unit not in kept
        }
        if revoked:
            self._move(service, endpoint, table, revoked, Proof.REVOKED)

    def on_unit_drained(self, service: str, unit: int) -> None:
        """Note that no request of `unit` is in flight."""
        table = self._state.tables.get(service)
        owner = None if table is None else table.row(unit).owner
        coordination = self._state.coordinations.get(owner) if owner else None
        if coordination is not None and unit in coordination.draining:
            coordination.draining.discard(unit)
            coordination.drained.add(unit)
            coordination.next_call_at = -math.inf

    def _move(
        self,
        service: Service,
        endpoint: Endpoint,
        table: OwnershipTable,
        changes: dict[int, str],
        proof: Proof,
    ) -> None:
        if self._writer.busy(TABLE_PREFIX + service.name):
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
        if self._writer.busy(RECORD_PREFIX + endpoint.name):
            return
        proof = self._loss_proof(endpoint, state.records[endpoint.name], now)
        candidates = [i for i in state.healthy(service) if i.name != endpoint.name]
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
        if endpoint.name in state.declared:
            return state.declared[endpoint.name]
        if not endpoint.checks_tokens:
            return None
        rivals = set(record.successors)
        if not coordination.acknowledged:
            rivals.update(record.former)
        rivals.discard(state.instance)
        missing = rivals - coordination.renouncements.keys() - state.gone_at.keys()
        if missing:
            self._request_renouncements(endpoint, coordination, sorted(missing), now)
            return None
        # Each rival may have renewed until it renounced or ended.
        bounds = [coordination.reading_at, coordination.since]
        bounds += [
            coordination.renouncements.get(name, state.gone_at.get(name, now))
            for name in rivals
        ]
        if now <= max(bounds) + LEASE_BOUND_SECONDS:
            return None
        return Proof.LEASE_EXPIRED

    def _request_renouncements(
        self,
        endpoint: Endpoint,
        coordination: Coordination,
        instances: list[str],
        now: float,
    ) -> None:
        if now - coordination.renounce_asked_at < RENOUNCE_RETRY_SECONDS:
            return
        coordination.renounce_asked_at = now
        version = self._state.versions[RECORD_PREFIX + endpoint.name]
        self._state.actions += [
            AskRenounce(name, endpoint.name, version) for name in instances
        ]
