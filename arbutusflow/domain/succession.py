"""Which instance coordinates an endpoint: claim, take-over, hand-over, renouncement.

Invariants:
- An instance begins to act by a record only if it saw the record appear. One that
  finds its own name at the first sight may have acted under it before a restart,
  and records a higher epoch first.
- An instance acts under a successor's term only if the recorded coordinator has
  fenced the table. Otherwise a loss move by an earlier coordinator, which counted
  on other renouncements, could still take effect.
- An instance that renounced a record version never acts on it or an earlier one.
- For an endpoint that checks no token the coordinator changes only after it has
  stopped acting or is proven gone.
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

# A successor that took an endpoint over records itself well within this time.
RECLAIM_SECONDS = 2.0
# A stopping instance that cannot record its heirs goes on for this long. Recorded
# successors then act for endpoints that check tokens; the others wait.
HAND_OVER_SECONDS = 2.0


class Succession:
    """Changes of the coordinator of each endpoint."""

    def __init__(self, state: OwnershipState, writer: ObjectWriter) -> None:
        self._state = state
        self._writer = writer

    # Begin and end

    def record_seen(
        self, previous: EndpointRecord | None, record: EndpointRecord, now: float
    ) -> None:
        """Begin, continue or stop acting as `record` says."""
        state = self._state
        coordination = state.coordination(record.endpoint)
        version = state.versions[RECORD_PREFIX + record.endpoint]
        coordination.renouncements = {}
        if record.coordinator != state.instance:
            self.stop(
                record.endpoint,
                f"{record.coordinator} is recorded with term {record.term}",
            )
            return
        if version <= coordination.renounced_version:
            return
        if coordination.term and record.writer.startswith(state.write_id_prefix):
            self._continue(coordination, record.term, now)
            return
        if coordination.term == record.term:
            return
        self.begin(record.endpoint, record.term, now, must_fence=record.epoch > 1)

    def first_seen(self, record: EndpointRecord) -> None:
        """Renounce a record that may be older than this process."""
        coordination = self._state.coordination(record.endpoint)
        version = self._state.versions[RECORD_PREFIX + record.endpoint]
        coordination.renounced_version = version

    def begin(
        self, endpoint: str, term: int, now: float, must_fence: bool = False
    ) -> None:
        """Act for `endpoint` under `term`."""
        coordination = self._state.coordination(endpoint)
        coordination.reset_process_state()
        coordination.term = term
        coordination.acting_since = now
        coordination.must_fence = must_fence
        coordination.renewal_failures = 0
        coordination.exited = False
        coordination.pending_renewal = 0
        coordination.next_renewal_at = now
        coordination.draining.clear()
        coordination.drained.clear()
        coordination.renouncements = {}
        coordination.handover_since = math.inf
        coordination.handover_version = 0

    def _continue(self, coordination: Coordination, term: int, now: float) -> None:
        coordination.next_renewal_at = now
        if term != coordination.term:
            coordination.term = term
            coordination.acknowledged = False
            coordination.pending_renewal = 0

    def stop(self, endpoint: str, why: str) -> None:
        """Stop acting for `endpoint`."""
        coordination = self._state.coordination(endpoint)
        if not coordination.term:
            return
        self._state.record_decision(
            endpoint, f"stopped acting under {coordination.term}", why
        )
        coordination.term = 0
        coordination.pending_renewal = 0
        coordination.reset_process_state()

    def lower_term(self, endpoint: str, term: int, now: float) -> None:
        """Stop because the endpoint obeys another instance."""
        coordination = self._state.coordination(endpoint)
        if term > coordination.term:
            self.stop(endpoint, f"the endpoint obeys term {term}")
            coordination.reclaim_at = now + RECLAIM_SECONDS
            self._writer.read((RECORD_PREFIX + endpoint,), now)

    # Claim and take-over

    def consider(self, service: Service, endpoint: Endpoint, now: float) -> None:
        """Claim `endpoint` or act in place of a coordinator that is out of reach."""
        state = self._state
        name = RECORD_PREFIX + endpoint.name
        if state.stopping:
            return
        if name not in state.versions:
            self._writer.read((name,), now)
            return
        record = state.records.get(endpoint.name)
        if record is None:
            if self._is_chosen(endpoint) and not self._writer.has_pending_write(name):
                self._claim(service, endpoint)
            return
        if state.record_is_stale(service.name, endpoint.name):
            self._writer.read((name,), now)
            return
        if now < state.coordination(endpoint.name).reclaim_at:
            return
        if record.coordinator == state.instance:
            self._record_self(endpoint, record, acknowledged=False)
        elif endpoint.checks_tokens:
            self._consider_suspicion(service, endpoint, record, now)
        elif record.coordinator in state.gone_at and self._is_chosen(endpoint):
            self._record_self(endpoint, record, acknowledged=False)

    def _consider_suspicion(
        self, service: Service, endpoint: Endpoint, record: EndpointRecord, now: float
    ) -> None:
        state = self._state
        listed = state.instance in record.successors
        ahead = record.instances
        if listed:
            ahead = ahead[: ahead.index(state.instance)]
        if not all(state.is_unreachable(name) for name in ahead):
            return
        term = record.term_of(state.instance)
        version = state.versions[RECORD_PREFIX + endpoint.name]
        renounced = version <= state.coordination(endpoint.name).renounced_version
        if (
            term is not None
            and not renounced
            and state.fenced(service.name, endpoint.name)
        ):
            self.begin(endpoint.name, term, now)
            why = f"coordinator {record.coordinator} does not answer"
            state.record_decision(endpoint.name, f"acting under term {term}", why)
            return
        # Suspicion never crosses zones: a zone that is cut off keeps its endpoints.
        all_gone = all(name in state.gone_at for name in ahead)
        if (state.zone == endpoint.zone or all_gone) and (
            listed or self._is_chosen(endpoint)
        ):
            self._record_self(endpoint, record, acknowledged=False)

    def _is_chosen(self, endpoint: Endpoint) -> bool:
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

    def _record_self(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        acknowledged: bool,
        incarnation: str | None = None,
    ) -> None:
        """Record this instance as coordinator under a new epoch."""
        self._write_epoch(
            endpoint,
            record,
            (self._state.instance, *self._state.successors(endpoint)),
            acknowledged,
            record.incarnation if incarnation is None else incarnation,
        )

    def _write_epoch(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        instances: tuple[str, ...],
        acknowledged: bool,
        incarnation: str,
    ) -> None:
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        # An endpoint that acknowledged a term of the old epoch refuses the terms of
        # all epochs before it.
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

    # Keeping the record current

    def keep_record_current(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> None:
        """Record this instance, its successors and the endpoint's incarnation."""
        state = self._state
        record = state.records[endpoint.name]
        coordination = state.coordination(endpoint.name)
        if state.stopping:
            self._hand_over(endpoint, record, coordination, now)
            return
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        incarnation = self._incarnation(service, endpoint, record, coordination)
        successors = state.successors(endpoint)
        if record.coordinator != state.instance:
            acknowledged = coordination.acknowledged
            self._record_self(endpoint, record, acknowledged, incarnation)
            return
        leaving = self._writer.units_moving_away(service.name, endpoint.name)
        found_lost = record.incarnation and not incarnation
        if (coordination.renewal_failures or leaving) and not found_lost:
            # A new version voids the renouncements that a loss move relies on.
            return
        if any(state.is_gone_or_leaving(name) for name in record.successors) or (
            len(record.successors) < len(successors)
        ):
            acknowledged = coordination.acknowledged
            self._record_self(endpoint, record, acknowledged, incarnation)
            return
        # Only the coordinator receives the notice; planners see it in the record.
        draining = record.draining
        if coordination.incarnation and not coordination.renewal_failures:
            draining = coordination.endpoint_draining
        current = msgspec.structs.replace(
            record, incarnation=incarnation, draining=draining
        )
        if current != record or coordination.renouncements:
            self._writer.write_record(current)

    def _incarnation(
        self,
        service: Service,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: Coordination,
    ) -> str:
        """Return the incarnation to record; none for a lost endpoint without units.

        That tells all instances not to give the endpoint new units.
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
        """Record the first live successor as coordinator."""
        heirs = self._state.successors(endpoint)
        if not heirs:
            self.stop(endpoint.name, "the last instance stops")
            return
        coordination.handover_since = min(coordination.handover_since, now)
        if self._writer.has_pending_write(RECORD_PREFIX + endpoint.name):
            return
        if not endpoint.checks_tokens and not coordination.handover_version:
            # This instance has to end before it asks for an heir. It first shows by
            # a write without changes that the platform answers; in an outage the
            # endpoint would be left without a coordinator.
            version = self._state.versions[RECORD_PREFIX + endpoint.name]
            coordination.handover_version = version
            self._writer.write_record(record)
            return
        self._write_epoch(
            endpoint, record, heirs, coordination.acknowledged, record.incarnation
        )
        if not endpoint.checks_tokens:
            # The endpoint cannot tell this instance from its heir, so this one ends
            # before the heir can begin.
            self.stop(endpoint.name, f"handing over to {heirs[0]}")

    def handed_over(self) -> bool:
        """Tell whether the process may end.

        That is so when nothing is coordinated here and no heir is being recorded, or
        when the platform has not recorded an heir in time.
        """
        now = self._state.last_tick
        return not any(
            (coordination.term or self._writer.has_pending_write(RECORD_PREFIX + name))
            and now - coordination.handover_since < HAND_OVER_SECONDS
            for name, coordination in self._state.coordinations.items()
        )

    # Renouncements

    def renounce_asked(self, asked: RenounceRequested, now: float) -> None:
        """Renounce a record version unless this instance acts for the endpoint."""
        state = self._state
        coordination = state.coordination(asked.endpoint)
        name = RECORD_PREFIX + asked.endpoint
        known = state.versions.get(name, 0)
        if asked.version > known:
            self._writer.read((name,), now)
        if coordination.term or asked.version < known:
            return
        version = max(coordination.renounced_version, asked.version)
        coordination.renounced_version = version
        # An earlier process of the same name may have renewed until this one began.
        last = max(coordination.last_extension_at, state.started_at)
        renewed = now - last <= LEASE_BOUND_SECONDS
        answer = Renounced(state.instance, asked.endpoint, asked.version, renewed)
        state.actions.append(ConfirmRenounce(asked.sender, answer))

    def renounced(self, answer: Renounced, now: float) -> None:
        """Note a renouncement of the record version in force."""
        name = RECORD_PREFIX + answer.endpoint
        if answer.version != self._state.versions.get(name, 0):
            return
        coordination = self._state.coordination(answer.endpoint)
        bound = now if answer.renewed else -math.inf
        coordination.renouncements[answer.sender] = bound
