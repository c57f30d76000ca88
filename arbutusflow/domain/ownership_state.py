"""What one entry instance knows, shared by the parts of the ownership core.

Invariants: versions of platform objects only rise here; an instance that is
proven to have ended stays so until the membership lists it as running again.
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

LEASE_SECONDS = 1.5  # Leaves half of the 3 s target for detection and the record.
RENEWAL_INTERVAL_SECONDS = 0.4  # Three renewals may be lost before the lease runs out.
MAX_CLOCK_DRIFT = 0.01  # Clocks of two machines differ by less than 1 % in rate.
# No renewal that was sent longer ago than this can keep a lease valid.
LEASE_BOUND_SECONDS = LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT)
DISPATCH_MARGIN_SECONDS = 0.2  # Covers the way of a request to the endpoint.
MAX_TICK_GAP_SECONDS = 0.5  # A longer gap between ticks means the process was paused.
FAILURES_UNTIL_LOST = 2  # One lost message alone starts no loss move.

RECORD_PREFIX = "endpoint/"
TABLE_PREFIX = "table/"


@dataclasses.dataclass(slots=True)
class Coordination:
    """What this instance knows and does about one endpoint it may act for.

    Times are seconds of this instance's clock, except `reading`, which is on the
    endpoint's. Incarnation, reading and held units come from the last answer.
    """

    term: int = 0  # 0 while this instance does not act.
    acting_since: float = -math.inf
    # Began to act by a record that another instance may have fought over. It must
    # fence the table before it renews what the endpoint holds.
    must_fence: bool = False
    # The endpoint refuses every message that was sent under a lower term or, with
    # this term, before the last answered one.
    acknowledged: bool = False
    incarnation: str = ""
    endpoint_clock: float = 0.0
    clock_requested_at: float = -math.inf
    clock_received_at: float = -math.inf
    held: dict[int, int] = dataclasses.field(default_factory=dict)
    unacknowledged_units: set[int] = dataclasses.field(
        default_factory=set
    )  # Not acknowledged.
    dispatch_until: float = -math.inf
    extended_at: float = -math.inf  # When the last acknowledged extension was sent.
    last_extension_at: float = -math.inf
    pending_renewal: int = 0  # Operation of the renewal under way, 0 for none.
    renewal_sent_at: float = 0.0
    renewal_claims_term: bool = False  # Not a probe.
    renewal_extends_lease: bool = False
    next_renewal_at: float = -math.inf
    renewal_failures: int = 0
    exited: bool = False
    endpoint_draining: bool = False
    draining: set[int] = dataclasses.field(default_factory=set)
    drained: set[int] = dataclasses.field(default_factory=set)
    reclaim_at: float = -math.inf
    renounced_version: int = 0  # Record version that this instance renounced.
    # Time until which renewals of each renounced instance count as sent.
    renouncements: dict[str, float] = dataclasses.field(default_factory=dict)
    renounce_asked_at: float = -math.inf
    handover_since: float = math.inf
    handover_version: int = 0  # Record version when the platform was tried.

    @property
    def lost(self) -> bool:
        """Whether the endpoint does not answer this instance."""
        return self.exited or self.renewal_failures >= FAILURES_UNTIL_LOST

    def reset_process_state(self) -> None:
        """Drop what is known of the endpoint's process."""
        self.incarnation = ""
        self.clock_requested_at = self.clock_received_at = -math.inf
        self.dispatch_until = self.extended_at = -math.inf
        self.held = {}
        self.unacknowledged_units.clear()
        self.acknowledged = False


class OwnershipState:
    """View of configuration, platform objects, instances and endpoints."""

    def __init__(self, instance: str, zone: str, start: str) -> None:
        self.instance = instance
        self.zone = zone
        self.write_id_prefix = f"{instance}/{start}#"
        self.cfg = Configuration()
        self.removed_endpoints: dict[str, tuple[Service, Endpoint]] = {}
        self.records: dict[str, EndpointRecord] = {}
        self.tables: dict[str, OwnershipTable] = {}
        self.versions: dict[str, int] = {}
        self.zones: dict[str, str] = {instance: zone}
        self.suspected: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.gone_at: dict[str, float] = {}
        self.declared_lost: dict[str, Proof] = {}
        self.coordinations: dict[str, Coordination] = {}
        self.actions: list[Action] = []
        self.stopping = False
        self.started_at = math.inf  # Time of the first event.
        self.last_tick = -math.inf
        self.resumed_at = -math.inf
        self._wall = 0.0
        self._operations = itertools.count(1)

    # Changes

    def advance_clock(self, wall: float, now: float) -> None:
        """Note the time and whether the process was paused."""
        self._wall = wall
        if now - self.last_tick > MAX_TICK_GAP_SECONDS:
            self.resumed_at = now
        self.last_tick = now

    def apply_configuration(self, cfg: Configuration) -> None:
        """Put a newer configuration in force.

        Removed endpoints are kept until their units have been moved.
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
        """Take over a view of the entry instances."""
        self.zones = dict(members.zones)
        self.suspected = members.suspected
        self.leaving = members.leaving
        gone = sorted(members.gone)
        self.gone_at = {name: self.gone_at.get(name, now) for name in gone}

    def next_operation(self) -> int:
        """Return a number that no earlier operation of this process has."""
        return next(self._operations)

    def record_decision(self, subject: str, what: str, why: str) -> None:
        """Append to the decision record."""
        decision = Decision(self._wall, self.instance, subject, what, why)
        self.actions.append(RecordDecision(decision))

    # Instances

    def is_unreachable(self, name: str) -> bool:
        """Tell whether an instance is suspected or gone."""
        return name in self.suspected or name in self.gone_at

    def is_gone_or_leaving(self, name: str) -> bool:
        """Tell whether an instance is gone or leaving."""
        return name in self.gone_at or name in self.leaving

    def live_instances(self) -> list[str]:
        """Return the instances that answer and stay, this one included."""
        return [
            name
            for name in self.zones
            if name not in self.leaving and not self.is_unreachable(name)
        ]

    def zone_instances(self, endpoint: Endpoint) -> list[str]:
        """Return the live instances of the endpoint's zone, or all if it has none."""
        live = self.live_instances()
        same_zone = [name for name in live if self.zones[name] == endpoint.zone]
        return same_zone or live

    def successors(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the live instances that are to succeed this one, best first."""
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
        """Return the state kept for `endpoint`."""
        found = self.coordinations.get(endpoint)
        if found is None:
            found = self.coordinations[endpoint] = Coordination()
        return found

    def endpoints(self) -> list[tuple[Service, Endpoint]]:
        """Return the configured endpoints and the removed ones that own units."""
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
        """Tell whether `endpoint` was removed and has no units left."""
        table = self.tables.get(service.name)
        return endpoint.name in self.removed_endpoints and (
            table is None or not table.units_of(endpoint.name)
        )

    def is_draining(self, service: Service, endpoint: str) -> bool:
        """Tell whether the units of `endpoint` are to be moved as planned."""
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
        """Return the endpoints that may get new units.

        A recorded incarnation shows that the endpoint has answered and has not been
        found lost since; it is what all instances can see.
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
        """Tell whether this instance coordinates `endpoint` and finds it lost."""
        coordination = self.coordinations.get(endpoint)
        return coordination is not None and coordination.term > 0 and coordination.lost

    def fenced(self, service: str, endpoint: str) -> bool:
        """Tell whether the recorded coordinator of `endpoint` fenced the table.

        The first coordinator has no predecessor whose updates could be on their
        way. A later epoch in the table means that the record seen here is stale.
        """
        record, table = self.records.get(endpoint), self.tables.get(service)
        if record is None or table is None:
            return False
        epoch = table.epoch_of(endpoint)
        return epoch == record.epoch or (epoch == 0 and record.epoch == 1)

    def record_is_stale(self, service: str, endpoint: str) -> bool:
        """Tell whether the table shows a later record than the one seen here."""
        record, table = self.records.get(endpoint), self.tables.get(service)
        if record is None or table is None:
            return False
        return table.epoch_of(endpoint) > record.epoch

    def is_recorded_coordinator(self, endpoint: str) -> bool:
        """Tell whether this instance acts for `endpoint` as its coordinator."""
        record = self.records.get(endpoint)
        coordination = self.coordinations.get(endpoint)
        return (
            record is not None
            and record.coordinator == self.instance
            and coordination is not None
            and coordination.term == record.term
        )

    def lease_held(self, endpoint: str, now: float) -> bool:
        """Tell whether requests may be dispatched to `endpoint` at all now."""
        coordination = self.coordinations.get(endpoint)
        if coordination is None or not coordination.term:
            return False
        if now - self.last_tick > MAX_TICK_GAP_SECONDS:
            return False
        if coordination.extended_at < self.resumed_at:
            return False
        return now <= coordination.dispatch_until

    def dispatch_token(
        self, endpoint: str, service: str, unit: int, now: float
    ) -> Token | None:
        """Return the token for a request to `endpoint` now, or None if forbidden."""
        table = self.tables.get(service)
        if table is None or not self.lease_held(endpoint, now):
            return None
        coordination = self.coordinations[endpoint]
        row = table.row(unit)
        if row.owner != endpoint or coordination.held.get(unit) != row.sequence:
            return None
        if unit in coordination.draining or unit in coordination.drained:
            return None
        return Token(coordination.term, row.sequence)
