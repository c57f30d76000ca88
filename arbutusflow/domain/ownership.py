"""Assignment of units to endpoints and of endpoints to coordinators.

`OwnershipCore` handles events and returns actions. Its parts share one
`OwnershipState`: `Succession` decides which instance coordinates an endpoint,
`Coordinator` renews leases and moves units to other owners, `Planner` assigns
unowned units and plans moves, and `ObjectWriter` tracks conditional writes. The
docstring of each module states its invariants.

The core does no I/O. Times are seconds of a monotonic clock and are passed in.
"""

from typing import Self

from arbutusflow.domain.configuration import Configuration, Endpoint, Service
from arbutusflow.domain.coordination import Coordinator
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership_messages import (
    Action,
    ConfigurationChanged,
    EndpointDeclaredLost,
    Event,
    MembersChanged,
    RecordChanged,
    RenewalFailed,
    RenewalReplied,
    Renounced,
    RenounceRequested,
    StopRequested,
    TableChanged,
    Tick,
    UnitDrained,
    WriteConflicted,
    WriteOutcomeUnknown,
    WriteSucceeded,
)
from arbutusflow.domain.ownership_state import (
    MAX_TICK_GAP_SECONDS,
    RECORD_PREFIX,
    TABLE_PREFIX,
    OwnershipState,
)
from arbutusflow.domain.partitions import EncodedTable, OwnershipTable
from arbutusflow.domain.planning import Planner
from arbutusflow.domain.records import EndpointRecord, Token
from arbutusflow.domain.succession import Succession


class OwnershipCore:
    """Ownership logic of one entry instance."""

    def __init__(self, instance: str, zone: str, run_id: str = "") -> None:
        self.instance = instance
        self.zone = zone
        self._state = OwnershipState(instance, zone, run_id)
        self._writer = ObjectWriter(self._state)
        self._succession = Succession(self._state, self._writer)
        self._coordinator = Coordinator(self._state, self._writer, self._succession)
        self._planner = Planner(self._state, self._writer)

    @classmethod
    def from_config(
        cls, instance: str, zone: str, cfg: Configuration, run_id: str = ""
    ) -> Self:
        """Create a core with the initial configuration `cfg`.

        `run_id` distinguishes processes that run under the same instance name.
        """
        core = cls(instance, zone, run_id)
        core._state.cfg = cfg
        return core

    @property
    def cfg(self) -> Configuration:
        """The configuration in force at this instance."""
        return self._state.cfg

    @property
    def records(self) -> dict[str, EndpointRecord]:
        """The latest known endpoint records, by endpoint."""
        return self._state.records

    @property
    def tables(self) -> dict[str, OwnershipTable]:
        """The latest known ownership tables, by service."""
        return self._state.tables

    # Entry points

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle `event` at time `now` and return the actions to perform."""
        state = self._state
        state.actions = []
        state.started_at = min(state.started_at, now)
        match event:
            case Tick(wall_time):
                state.advance_clock(wall_time, now)
                self._tick(now)
            case ConfigurationChanged(cfg):
                state.apply_configuration(cfg)
            case RecordChanged(name, version, record):
                self._record_changed(name, version, record, now)
                self._coordinate_now(now, endpoint=name.removeprefix(RECORD_PREFIX))
            case TableChanged(name, version, table):
                self._table_changed(name, version, table)
                self._coordinate_now(now, service=name.removeprefix(TABLE_PREFIX))
            case WriteSucceeded(name, operation) | WriteConflicted(name, operation):
                # The written object is reported before the success and resolves the
                # write. If it was not reported, it is read back as after a lost
                # response.
                self._writer.request_read_back(name, operation, now)
            case WriteOutcomeUnknown(name, operation):
                self._writer.request_read_back(name, operation, now)
            case RenewalReplied():
                self._coordinator.on_lease_reply(event, now)
                self._coordinate_now(now, endpoint=event.endpoint)
            case RenewalFailed():
                self._coordinator.on_lease_failure(event)
            case MembersChanged():
                state.apply_members(event, now)
            case RenounceRequested():
                self._succession.on_renounce_asked(event, now)
            case Renounced():
                self._succession.on_renounced(event, now)
            case UnitDrained(service, unit):
                self._coordinator.on_unit_drained(service, unit)
                self._coordinate_now(now, service=service)
            case EndpointDeclaredLost(endpoint, proof):
                state.declared_lost[endpoint] = proof
            case StopRequested():
                state.stopping = True
        return state.actions

    def dispatch_token(
        self, endpoint: str, service: str, unit: int, now: float
    ) -> Token | None:
        """Return the token for a request to `endpoint`, or None if none is allowed."""
        if unit in self._writer.units_moving_away(service, endpoint):
            return None
        return self._state.dispatch_token(endpoint, service, unit, now)

    def may_dispatch(self, endpoint: str, now: float) -> bool:
        """Return whether requests may be dispatched to `endpoint` at time `now`."""
        return self._state.may_dispatch(endpoint, now)

    def owner_of(self, service: str, unit: int) -> str | None:
        """Return the owner of `unit` according to the latest known table."""
        table = self.tables.get(service)
        return None if table is None else table.owner(unit)

    def coordinator_of(self, endpoint: str) -> str | None:
        """Return the instance to which requests for `endpoint` must be sent."""
        if self.is_coordinating(endpoint):
            return self.instance
        record = self.records.get(endpoint)
        if record is None:
            return None
        candidates = (
            name for name in record.instances if not self._state.is_unreachable(name)
        )
        return next(candidates, record.coordinator)

    def is_coordinating(self, endpoint: str) -> bool:
        """Return whether this instance currently coordinates `endpoint`."""
        coordination = self._state.coordinations.get(endpoint)
        return coordination is not None and coordination.term > 0

    def version_of(self, name: str) -> int:
        """Return the latest known version of a platform object, 0 for none."""
        return self._state.versions.get(name, 0)

    def is_handover_finished(self) -> bool:
        """Return whether a stopping instance has finished its handover."""
        return self._succession.is_handover_finished()

    # Events

    def _tick(self, now: float) -> None:
        state = self._state
        self._writer.tick(now)
        for service in state.cfg.services:
            self._planner.tick(service, now)
        for service, endpoint in state.endpoints():
            if not state.coordination(endpoint.name).term:
                self._succession.claim_or_take_over(service, endpoint, now)
            if state.is_removed_and_empty(service, endpoint):
                self._succession.stop_acting(endpoint.name, "removed by an operator")
            self._coordinate(service, endpoint, now)

    def _coordinate(self, service: Service, endpoint: Endpoint, now: float) -> None:
        coordination = self._state.coordination(endpoint.name)
        if coordination.term:
            self._succession.update_record(service, endpoint, now)
        if coordination.term:
            self._coordinator.tick(service, endpoint, now)

    def _coordinate_now(
        self, now: float, service: str = "", endpoint: str = ""
    ) -> None:
        """Coordinate the given service or endpoint without waiting for a tick.

        Handovers and moves take several steps. Waiting for a tick at each of them
        would leave units unserved for the sum of these times. After a pause of the
        process, nothing is done before the next tick.
        """
        state = self._state
        if now - state.last_tick > MAX_TICK_GAP_SECONDS:
            return
        for item_service, item in state.endpoints():
            if service == item_service.name or endpoint == item.name:
                self._coordinate(item_service, item, now)

    def _record_changed(
        self, name: str, version: int, record: EndpointRecord | None, now: float
    ) -> None:
        state = self._state
        is_first = name not in state.versions
        if record is None or version <= state.versions.get(name, 0):
            state.versions.setdefault(name, 0)
            self._writer.resolve(name, version, "" if record is None else record.writer)
            return
        previous = state.records.get(record.endpoint)
        state.versions[name] = version
        state.records[record.endpoint] = record
        self._writer.resolve(name, version, record.writer)
        if is_first:
            self._succession.renounce_first_version(record)
        self._succession.on_record_changed(previous, record, now)

    def _table_changed(
        self, name: str, version: int, encoded: EncodedTable | None
    ) -> None:
        state = self._state
        if encoded is None or version <= state.versions.get(name, 0):
            state.versions.setdefault(name, 0)
            self._writer.resolve(
                name, version, "" if encoded is None else encoded.writer
            )
            return
        state.versions[name] = version
        state.tables[encoded.service] = OwnershipTable.decode(encoded)
        self._writer.resolve(name, version, encoded.writer)
