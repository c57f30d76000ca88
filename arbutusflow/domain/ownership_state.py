"""State of one entry instance that the parts of the ownership core share.

Invariants: the known version of a platform object never decreases; an instance
counts as gone exactly while the latest membership view lists it as gone.
"""

import dataclasses
import itertools
import math

from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    EndpointState,
    Service,
)
from arbutusflow.domain.ownership_messages import Action, MembersChanged, RecordDecision
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import rendezvous_score
from arbutusflow.domain.records import (
    MAX_SUCCESSORS,
    Decision,
    EndpointRecord,
    Proof,
    Token,
)

# Leaves half of the 3 s failover target for detecting the loss and updating the
# endpoint record.
ENDPOINT_LEASE_SECONDS = 1.5
# Minimum time from a renewal to the next regular one. A renewal extends the lease from
# the clock reading in the reply to an earlier renewal.
RENEWAL_INTERVAL_SECONDS = 0.4
MAX_CLOCK_DRIFT = 0.01  # The rates of two hosts' clocks differ by less than 1 %.
# A renewal that was sent longer ago than this no longer keeps a lease valid.
LEASE_BOUND_SECONDS = ENDPOINT_LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT)
DISPATCH_MARGIN_SECONDS = 0.2  # For the transit of a request to the endpoint.
MAX_TICK_GAP_SECONDS = 0.5  # After a longer gap the process counts as paused.
FAILURES_UNTIL_LOST = 2  # A single lost message must not start a failover.

RECORD_PREFIX = "endpoint/"
TABLE_PREFIX = "table/"


@dataclasses.dataclass(slots=True)
class Coordination:
    """State of one endpoint that this instance may coordinate.

    Times are seconds of this instance's clock, except `endpoint_clock`, which is a
    time of the endpoint's clock. `incarnation`, `endpoint_clock` and `held` come from
    the last reply of the endpoint.
    """

    term: int = 0  # 0 while this instance does not coordinate the endpoint.
    acting_since: float = -math.inf
    # Set if other instances may have acted as coordinator before this one. Then the
    # table must contain the epoch of the endpoint's record before the lease on the
    # endpoint's units is renewed.
    must_fence: bool = False
    # Set if the endpoint has acknowledged `term`. From then on it refuses messages of
    # a lower term, and messages of this term that were sent before the last one it
    # replied to.
    acknowledged: bool = False
    incarnation: str = ""
    endpoint_clock: float = 0.0
    clock_requested_at: float = -math.inf
    clock_received_at: float = -math.inf
    # Units that the endpoint holds, mapped to their sequences.
    held: dict[int, int] = dataclasses.field(default_factory=dict)
    # Units granted by renewals that the endpoint has not acknowledged.
    unacknowledged_units: set[int] = dataclasses.field(default_factory=set)
    dispatch_until: float = -math.inf
    # When the last lease extension that the endpoint acknowledged was sent.
    acknowledged_extension_at: float = -math.inf
    last_extension_at: float = -math.inf  # When the last extension was sent.
    pending_renewal: int = 0  # Operation of the renewal in flight, 0 for none.
    renewal_sent_at: float = 0.0
    renewal_claims_term: bool = False  # False for one without incarnation.
    renewal_extends_lease: bool = False
    next_renewal_at: float = -math.inf
    renewal_failures: int = 0  # Consecutive renewals without a reply.
    exited: bool = False  # The endpoint refused a connection.
    endpoint_draining: bool = False
    # Units with a planned move that may still have requests in flight.
    units_draining: set[int] = dataclasses.field(default_factory=set)
    # Units with a planned move that have no request in flight.
    units_drained: set[int] = dataclasses.field(default_factory=set)
    reclaim_at: float = -math.inf  # No attempt to coordinate before this time.
    renounced_version: int = 0  # Latest record version that this instance renounced.
    # Other instances that renounced the current record version, mapped to the time up
    # to which they may have sent renewals.
    renouncements: dict[str, float] = dataclasses.field(default_factory=dict)
    renounce_requested_at: float = -math.inf
    handover_since: float = math.inf
    # Record version at which the unchanged record was written to check that the
    # platform answers.
    handover_version: int = 0

    @property
    def lost(self) -> bool:
        """Whether the endpoint does not respond to this instance."""
        return self.exited or self.renewal_failures >= FAILURES_UNTIL_LOST

    def reset_process_state(self) -> None:
        """Discard the state that belongs to one process of the endpoint."""
        self.incarnation = ""
        self.clock_requested_at = self.clock_received_at = -math.inf
        self.dispatch_until = self.acknowledged_extension_at = -math.inf
        self.held = {}
        self.unacknowledged_units.clear()
        self.acknowledged = False


class OwnershipState:
    """Known configuration, platform objects, entry instances and endpoints."""

    def __init__(self, instance: str, zone: str, run_id: str) -> None:
        self.instance = instance
        self.zone = zone
        self.write_id_prefix = f"{instance}/{run_id}#"
        self.cfg = Configuration()
        self.removed_endpoints: dict[str, tuple[Service, Endpoint]] = {}
        self.records: dict[str, EndpointRecord] = {}
        self.tables: dict[str, OwnershipTable] = {}
        self.versions: dict[str, int] = {}
        self.zones: dict[str, str] = {instance: zone}
        self.suspected: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        # When this instance learned that another one is gone.
        self.gone_at: dict[str, float] = {}
        self.declared_lost: dict[str, Proof] = {}
        self.coordinations: dict[str, Coordination] = {}
        self.actions: list[Action] = []
        self.stopping = False
        self.started_at = math.inf  # Time of the first event.
        self.last_tick = -math.inf
        self.resumed_at = -math.inf
        self._wall_time = 0.0
        self._operations = itertools.count(1)

    # Changes

    def advance_clock(self, wall_time: float, now: float) -> None:
        """Record the time of a tick and detect whether the process was paused."""
        self._wall_time = wall_time
        if now - self.last_tick > MAX_TICK_GAP_SECONDS:
            self.resumed_at = now
        self.last_tick = now

    def apply_configuration(self, cfg: Configuration) -> None:
        """Apply a configuration if it is newer than the current one.

        Removed endpoints are remembered so that their units can be moved.
        """
        if cfg.number <= self.cfg.number:
            return
        for service in self.cfg.services:
            for endpoint in service.endpoints:
                self.removed_endpoints[endpoint.name] = (service, endpoint)
        for service in cfg.services:
            for endpoint in service.endpoints:
                self.removed_endpoints.pop(endpoint.name, None)
        self.cfg = cfg

    def apply_members(self, members: MembersChanged, now: float) -> None:
        """Replace the view of the entry instances."""
        self.zones = dict(members.zones)
        self.suspected = members.suspected
        self.leaving = members.leaving
        gone = sorted(members.gone)
        self.gone_at = {name: self.gone_at.get(name, now) for name in gone}

    def next_operation(self) -> int:
        """Return a number that is unique among the operations of this process."""
        return next(self._operations)

    def record_decision(self, subject: str, what: str, why: str) -> None:
        """Append an entry to the decision log."""
        decision = Decision(self._wall_time, self.instance, subject, what, why)
        self.actions.append(RecordDecision(decision))

    # Instances

    def is_unreachable(self, name: str) -> bool:
        """Return whether an instance is suspected or gone."""
        return name in self.suspected or name in self.gone_at

    def is_gone_or_leaving(self, name: str) -> bool:
        """Return whether an instance is gone or leaving."""
        return name in self.gone_at or name in self.leaving

    def live_instances(self) -> list[str]:
        """Return the reachable instances that are not leaving, including this one."""
        return [
            name
            for name in self.zones
            if name not in self.leaving and not self.is_unreachable(name)
        ]

    def zone_instances(self, endpoint: Endpoint) -> list[str]:
        """Return the live instances in the endpoint's zone, or else all live ones."""
        live = self.live_instances()
        same_zone = [name for name in live if self.zones[name] == endpoint.zone]
        return same_zone or live

    def successors(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the successors to record for `endpoint`, in order of preference."""
        others = [name for name in self.live_instances() if name != self.instance]
        same_zone = [name for name in others if self.zones[name] == endpoint.zone]
        ranked = sorted(
            same_zone or others,
            key=lambda name: rendezvous_score(endpoint.name, name),
            reverse=True,
        )
        return tuple(ranked[:MAX_SUCCESSORS])

    # Endpoints

    def coordination(self, endpoint: str) -> Coordination:
        """Return the coordination state of `endpoint`, creating it if necessary."""
        found = self.coordinations.get(endpoint)
        if found is None:
            found = self.coordinations[endpoint] = Coordination()
        return found

    def endpoints(self) -> list[tuple[Service, Endpoint]]:
        """Return the configured endpoints and the removed ones that are still in use.

        A removed endpoint is in use while it owns units or is coordinated here.
        """
        found = [
            (service, endpoint)
            for service in self.cfg.services
            for endpoint in service.endpoints
        ]
        for service, endpoint in self.removed_endpoints.values():
            table = self.tables.get(service.name)
            owns = table is not None and bool(table.units_of(endpoint.name))
            if owns or self.coordination(endpoint.name).term:
                found.append((service, endpoint))
        return found

    def is_removed_and_empty(self, service: Service, endpoint: Endpoint) -> bool:
        """Return whether `endpoint` was removed and owns no units."""
        table = self.tables.get(service.name)
        return endpoint.name in self.removed_endpoints and (
            table is None or not table.units_of(endpoint.name)
        )

    def is_draining(self, service: Service, endpoint: str) -> bool:
        """Return whether the units of `endpoint` must be moved to other endpoints.

        That is so if the endpoint was removed, if an operator drains it, or if the
        endpoint itself has announced that it is shutting down.
        """
        current = self.cfg.service(service.name)
        found = None if current is None else current.endpoint(endpoint)
        if found is None or found.state is EndpointState.DRAINING:
            return True
        record = self.records.get(endpoint)
        if record is not None and record.draining:
            return True
        coordination = self.coordinations.get(endpoint)
        return (
            coordination is not None
            and coordination.term > 0
            and coordination.endpoint_draining
        )

    def eligible_endpoints(self, service: Service) -> list[Endpoint]:
        """Return the endpoints of `service` to which units may be assigned.

        A recorded incarnation, which all instances can see, shows that the endpoint
        has responded and has not been found lost since.
        """
        current = self.cfg.service(service.name)
        if current is None:
            return []
        return [
            item
            for item in current.endpoints
            if item.name in self.records
            and self.records[item.name].incarnation
            and item.name not in self.declared_lost
            and not self.is_draining(current, item.name)
            and not self.is_known_lost(item.name)
        ]

    def is_known_lost(self, endpoint: str) -> bool:
        """Return whether this instance coordinates `endpoint` and has found it lost."""
        coordination = self.coordinations.get(endpoint)
        return coordination is not None and coordination.term > 0 and coordination.lost

    def is_table_fenced(self, service: str, endpoint: str) -> bool:
        """Return whether the table has the epoch of the known record of `endpoint`.

        The first coordinator need not write its epoch, as it has no predecessor whose
        updates could still be in flight. A later epoch in the table means that the
        record known here is stale.
        """
        record, table = self.records.get(endpoint), self.tables.get(service)
        if record is None or table is None:
            return False
        epoch = table.epoch_of(endpoint)
        return epoch == record.epoch or (epoch == 0 and record.epoch == 1)

    def is_record_stale(self, service: str, endpoint: str) -> bool:
        """Return whether the table shows a later epoch than the known record."""
        record, table = self.records.get(endpoint), self.tables.get(service)
        if record is None or table is None:
            return False
        return table.epoch_of(endpoint) > record.epoch

    def is_recorded_coordinator(self, endpoint: str) -> bool:
        """Return whether this instance is the recorded coordinator and acts as such."""
        record = self.records.get(endpoint)
        coordination = self.coordinations.get(endpoint)
        return (
            record is not None
            and record.coordinator == self.instance
            and coordination is not None
            and coordination.term == record.term
        )

    def may_dispatch(self, endpoint: str, now: float) -> bool:
        """Return whether requests may be dispatched to `endpoint` at time `now`."""
        coordination = self.coordinations.get(endpoint)
        if coordination is None or not coordination.term:
            return False
        if now - self.last_tick > MAX_TICK_GAP_SECONDS:
            return False
        if coordination.acknowledged_extension_at < self.resumed_at:
            return False
        return now <= coordination.dispatch_until

    def dispatch_token(
        self, endpoint: str, service: str, unit: int, now: float
    ) -> Token | None:
        """Return the token for a request to `endpoint`, or None if none is allowed."""
        table = self.tables.get(service)
        if table is None or not self.may_dispatch(endpoint, now):
            return None
        coordination = self.coordinations[endpoint]
        row = table.row(unit)
        if row.owner != endpoint or coordination.held.get(unit) != row.sequence:
            return None
        if unit in coordination.units_draining or unit in coordination.units_drained:
            return None
        return Token(coordination.term, row.sequence)
