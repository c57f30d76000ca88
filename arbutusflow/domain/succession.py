"""Selection of an endpoint's coordinator: claim, takeover, handover, renouncement.

An instance acts for an endpoint while it coordinates it under a term. The acting
instance is the recorded coordinator or, after a takeover, a recorded successor.

Invariants:
- An instance starts to act on a record only if it saw the record appear. If the
  first version that it reads already names it, it may have acted on that version
  before a restart, so it first records a higher epoch.
- An instance acts under a successor's term only if the recorded coordinator has
  fenced the table. Otherwise a failover write of an earlier coordinator, which relied
  on the renouncements of other instances, could still take effect.
- An instance that renounced a record version never acts on it or an earlier one.
- For an endpoint that does not check tokens, the coordinator changes only after the
  previous one has stopped acting or is proven gone.
"""

import math

import msgspec

from arbutusflow.domain.configuration import Endpoint, Service
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership_messages import (
    ConfirmRenounce,
    Renounced,
    RenounceRequested,
)
from arbutusflow.domain.ownership_state import (
    LEASE_BOUND_SECONDS,
    RECORD_PREFIX,
    TABLE_PREFIX,
    Coordination,
    OwnershipState,
)
from arbutusflow.domain.placement import rendezvous
from arbutusflow.domain.records import EndpointRecord

# An instance whose endpoint accepted a higher term waits this long before it may
# take the endpoint over again. The successor records itself well within this time.
RECLAIM_DELAY_SECONDS = 2.0
# A stopping instance that cannot record a new coordinator gives up after this time.
# The recorded successors then act for endpoints that check tokens; other endpoints
# have to wait.
HANDOVER_TIMEOUT_SECONDS = 2.0


class Succession:
    """Decides when this instance starts and stops to act for each endpoint."""

    def __init__(self, state: OwnershipState, writer: ObjectWriter) -> None:
        self._state = state
        self._writer = writer

    # Starting and stopping

    def on_record_changed(
        self, previous: EndpointRecord | None, record: EndpointRecord, now: float
    ) -> None:
        """Start, continue or stop acting, according to `record`."""
        state = self._state
        coordination = state.coordination(record.endpoint)
        version = state.versions[RECORD_PREFIX + record.endpoint]
        coordination.renouncements = {}
        if record.coordinator != state.instance:
            self.stop_acting(
                record.endpoint,
                f"{record.coordinator} is recorded as coordinator, term {record.term}",
            )
            return
        if version <= coordination.renounced_version:
            return
        if coordination.term and record.writer.startswith(state.write_id_prefix):
            self._continue_acting(coordination, record.term, now)
            return
        if coordination.term == record.term:
            return
        self.start_acting(
            record.endpoint, record.term, now, must_fence=record.epoch > 1
        )

    def renounce_first_version(self, record: EndpointRecord) -> None:
        """Renounce the first version read of a record.

        It may have been written before this process started.
        """
        coordination = self._state.coordination(record.endpoint)
        version = self._state.versions[RECORD_PREFIX + record.endpoint]
        coordination.renounced_version = version

    def start_acting(
        self, endpoint: str, term: int, now: float, must_fence: bool = False
    ) -> None:
        """Start to act for `endpoint` under `term`."""
        coordination = self._state.coordination(endpoint)
        coordination.reset_process_state()
        coordination.term = term
        coordination.acting_since = now
        coordination.must_fence = must_fence
        coordination.renewal_failures = 0
        coordination.exited = False
        coordination.pending_renewal = 0
        coordination.next_renewal_at = now
        coordination.units_draining.clear()
        coordination.units_drained.clear()
        coordination.renouncements = {}
        coordination.handover_since = math.inf
        coordination.handover_version = 0

    def _continue_acting(
        self, coordination: Coordination, term: int, now: float
    ) -> None:
        coordination.next_renewal_at = now
        if term != coordination.term:
            coordination.term = term
            coordination.acknowledged = False
            coordination.pending_renewal = 0

    def stop_acting(self, endpoint: str, why: str) -> None:
        """Stop acting for `endpoint`."""
        coordination = self._state.coordination(endpoint)
        if not coordination.term:
            return
        self._state.record_decision(
            endpoint, f"stopped acting under term {coordination.term}", why
        )
        coordination.term = 0
        coordination.pending_renewal = 0
        coordination.reset_process_state()

    def on_higher_term(self, endpoint: str, term: int, now: float) -> None:
        """Stop acting because the endpoint has accepted a higher term."""
        coordination = self._state.coordination(endpoint)
        if term > coordination.term:
            self.stop_acting(endpoint, f"the endpoint accepted the higher term {term}")
            coordination.reclaim_at = now + RECLAIM_DELAY_SECONDS
            self._writer.request_read((RECORD_PREFIX + endpoint,), now)

    # Claim and takeover

    def claim_or_take_over(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> None:
        """Claim `endpoint`, or take it over from a coordinator that is unreachable."""
        state = self._state
        name = RECORD_PREFIX + endpoint.name
        if state.stopping:
            return
        if name not in state.versions:
            self._writer.request_read((name,), now)
            return
        record = state.records.get(endpoint.name)
        if record is None:
            if self._is_preferred_coordinator(
                endpoint
            ) and not self._writer.has_pending_write(name):
                self._claim(service, endpoint)
            return
        if state.is_record_stale(service.name, endpoint.name):
            self._writer.request_read((name,), now)
            return
        if now < state.coordination(endpoint.name).reclaim_at:
            return
        if record.coordinator == state.instance:
            self._record_self_as_coordinator(endpoint, record, acknowledged=False)
        elif endpoint.checks_tokens:
            self._take_over_unreachable(service, endpoint, record, now)
        elif record.coordinator in state.gone_at and self._is_preferred_coordinator(
            endpoint
        ):
            self._record_self_as_coordinator(endpoint, record, acknowledged=False)

    def _take_over_unreachable(
        self, service: Service, endpoint: Endpoint, record: EndpointRecord, now: float
    ) -> None:
        state = self._state
        is_successor = state.instance in record.successors
        preceding = record.instances
        if is_successor:
            preceding = preceding[: preceding.index(state.instance)]
        if not all(state.is_unreachable(name) for name in preceding):
            return
        term = record.term_of(state.instance)
        version = state.versions[RECORD_PREFIX + endpoint.name]
        renounced = version <= state.coordination(endpoint.name).renounced_version
        if (
            term is not None
            and not renounced
            and state.is_table_fenced(service.name, endpoint.name)
        ):
            self.start_acting(endpoint.name, term, now)
            why = f"coordinator {record.coordinator} is unreachable"
            state.record_decision(endpoint.name, f"acting under term {term}", why)
            return
        # A suspicion alone causes no takeover by another zone, so a partitioned zone
        # keeps its endpoints.
        all_gone = all(name in state.gone_at for name in preceding)
        if (state.zone == endpoint.zone or all_gone) and (
            is_successor or self._is_preferred_coordinator(endpoint)
        ):
            self._record_self_as_coordinator(endpoint, record, acknowledged=False)

    def _is_preferred_coordinator(self, endpoint: Endpoint) -> bool:
        candidates = self._state.zone_instances(endpoint)
        return rendezvous(endpoint.name, candidates) == self._state.instance

    def _claim(self, service: Service, endpoint: Endpoint) -> None:
        record = EndpointRecord(
            endpoint=endpoint.name,
            service=service.name,
            zone=endpoint.zone,
            epoch=1,
            coordinator=self._state.instance,
            successors=self._state.successors(endpoint),
            incarnation="",
            writer="",
        )
        self._writer.write_record(record)

    def _record_self_as_coordinator(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        acknowledged: bool,
        incarnation: str | None = None,
    ) -> None:
        """Record this instance as the coordinator under a new epoch."""
        self._write_new_epoch(
            endpoint,
            record,
            (self._state.instance, *self._state.successors(endpoint)),
            acknowledged,
            record.incarnation if incarnation is None else incarnation,
        )

    def _write_new_epoch(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        instances: tuple[str, ...],
        acknowledged: bool,
        incarnation: str,
    ) -> None:
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        # An endpoint that acknowledged a term of the previous epoch refuses the terms
        # of all earlier epochs.
        former = set(record.instances)
        if not acknowledged:
            former.update(record.former)
        former -= {instances[0], *self._state.gone_at}
        self._writer.write_record(
            msgspec.structs.replace(
                record,
                epoch=record.epoch + 1,
                coordinator=instances[0],
                successors=instances[1:],
                incarnation=incarnation,
                former=tuple(sorted(former)),
            )
        )

    # Record updates

    def update_record(self, service: Service, endpoint: Endpoint, now: float) -> None:
        """Record this instance, its successors and the state of the endpoint.

        While the instance is stopping, hand `endpoint` over instead.
        """
        state = self._state
        record = state.records[endpoint.name]
        coordination = state.coordination(endpoint.name)
        if state.stopping:
            self._hand_over(endpoint, record, coordination, now)
            return
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        incarnation = self._incarnation_to_record(
            service, endpoint, record, coordination
        )
        successors = state.successors(endpoint)
        if record.coordinator != state.instance:
            acknowledged = coordination.acknowledged
            self._record_self_as_coordinator(
                endpoint, record, acknowledged, incarnation
            )
            return
        leaving = self._writer.units_moving_away(service.name, endpoint.name)
        newly_lost = record.incarnation and not incarnation
        if (coordination.renewal_failures or leaving) and not newly_lost:
            # A new record version would void renouncements that a failover needs.
            return
        if any(state.is_gone_or_leaving(name) for name in record.successors) or (
            len(record.successors) < len(successors)
        ):
            acknowledged = coordination.acknowledged
            self._record_self_as_coordinator(
                endpoint, record, acknowledged, incarnation
            )
            return
        # The endpoint reports that it is draining only to its coordinator. Planners on
        # other instances read it from the record.
        draining = record.draining
        if coordination.incarnation and not coordination.renewal_failures:
            draining = coordination.endpoint_draining
        updated = msgspec.structs.replace(
            record, incarnation=incarnation, draining=draining
        )
        if updated != record or coordination.renouncements:
            self._writer.write_record(updated)

    def _incarnation_to_record(
        self,
        service: Service,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: Coordination,
    ) -> str:
        """Return the incarnation to record, empty for a lost endpoint without units.

        An empty incarnation tells all instances to assign it no further units.
        """
        if coordination.renewal_failures == 0:
            return coordination.incarnation or record.incarnation
        table = self._state.tables.get(service.name)
        has_units = table is None or table.units_of(endpoint.name)
        busy = self._writer.has_pending_write(TABLE_PREFIX + service.name)
        if coordination.lost and not has_units and not busy:
            return ""
        return record.incarnation

    def _hand_over(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: Coordination,
        now: float,
    ) -> None:
        """Record the first live successor as the coordinator."""
        successors = self._state.successors(endpoint)
        if not successors:
            self.stop_acting(endpoint.name, "no other instance is running")
            return
        coordination.handover_since = min(coordination.handover_since, now)
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        if not endpoint.checks_tokens and not coordination.handover_version:
            # This instance has to stop acting when it writes the record of its
            # successor. If the platform did not answer then, the endpoint would have
            # no coordinator, so a write without changes probes the platform first.
            version = self._state.versions[RECORD_PREFIX + endpoint.name]
            coordination.handover_version = version
            self._writer.write_record(record)
            return
        self._write_new_epoch(
            endpoint, record, successors, coordination.acknowledged, record.incarnation
        )
        if not endpoint.checks_tokens:
            # The endpoint cannot tell this instance from its successor, so this one
            # stops acting before the successor can start.
            self.stop_acting(endpoint.name, f"handing over to {successors[0]}")

    def is_handover_finished(self) -> bool:
        """Return whether the process may exit.

        It may exit once it acts for no endpoint and no handover is being recorded, or
        after the handover timeout.
        """
        now = self._state.last_tick
        return not any(
            (coordination.term or self._writer.has_pending_write(RECORD_PREFIX + name))
            and now - coordination.handover_since < HANDOVER_TIMEOUT_SECONDS
            for name, coordination in self._state.coordinations.items()
        )

    # Renouncements

    def on_renounce_asked(self, asked: RenounceRequested, now: float) -> None:
        """Renounce a record version unless this instance acts for the endpoint."""
        state = self._state
        coordination = state.coordination(asked.endpoint)
        name = RECORD_PREFIX + asked.endpoint
        known = state.versions.get(name, 0)
        if asked.version > known:
            self._writer.request_read((name,), now)
        if coordination.term or asked.version < known:
            return
        version = max(coordination.renounced_version, asked.version)
        coordination.renounced_version = version
        # An earlier process with the same instance name may have renewed the lease
        # until this process started.
        last_renewal_at = max(coordination.last_extension_at, state.started_at)
        renewed = now - last_renewal_at <= LEASE_BOUND_SECONDS
        answer = Renounced(state.instance, asked.endpoint, asked.version, renewed)
        state.actions.append(ConfirmRenounce(asked.sender, answer))

    def on_renounced(self, answer: Renounced, now: float) -> None:
        """Store a renouncement of the latest record version seen here."""
        name = RECORD_PREFIX + answer.endpoint
        if answer.version != self._state.versions.get(name, 0):
            return
        coordination = self._state.coordination(answer.endpoint)
        renewed_until = now if answer.renewed else -math.inf
        coordination.renouncements[answer.sender] = renewed_until
