"""Assignment of units to endpoints and of endpoints to coordinators.

Invariants:
- A unit leaves its owner only on a proof (`Proof`), and the table is written
  before the new owner is granted the unit.
- A coordinator adds units to an endpoint only after it has written the table
  since it began to act. That write fences updates by earlier coordinators which
  are still on their way to the platform.
- After a conflict on a table the table is read first and the endpoint record
  second. A coordinator that was replaced therefore either sees the new record or
  has a table version that its successor has made stale.
- A successor that acts under its recorded term renews only what the endpoint
  already holds; it adds nothing before it has recorded itself.

The core does no I/O. Times are seconds of the caller's monotonic clock.
"""

import dataclasses
import itertools
from collections.abc import Iterable
from typing import Self

import msgspec

from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    EndpointState,
    Service,
)
from arbutusflow.domain.ownership_messages import (
    Action,
    AnswerRenounce,
    AskRenounce,
    ConfigurationChanged,
    DrainUnit,
    Event,
    LeaseFailed,
    LeaseReplied,
    MembersChanged,
    ReadObjects,
    Record,
    RecordChanged,
    RenounceAsked,
    Renounced,
    SendLease,
    StopAsked,
    TableChanged,
    Tick,
    UnitDrained,
    WriteConflicted,
    WriteRecord,
    WriteSucceeded,
    WriteTable,
    WriteUnknown,
)
from arbutusflow.domain.partitions import EncodedTable, OwnershipTable
from arbutusflow.domain.placement import (
    choose_owners,
    rendezvous,
    rendezvous_score,
)
from arbutusflow.domain.records import (
    MAX_SUCCESSORS,
    Decision,
    EndpointRecord,
    LeaseRefusal,
    LeaseRenewal,
    LeaseReply,
    Proof,
    Token,
    UnitGrant,
)

LEASE_SECONDS = 1.5  # Leaves half of the 3 s target for detection and the record.
RENEW_SECONDS = 0.4  # Three renewals may be lost before the lease runs out.
LEASE_CALL_TIMEOUT_SECONDS = 0.35  # A renewal that is later is no help.
CLOCK_DRIFT = 0.01  # Clocks of two machines differ by less than 1 % in rate.
DISPATCH_MARGIN_SECONDS = 0.2  # Covers the way of a request to the endpoint.
CLOCK_GAP_SECONDS = 0.5  # A longer gap between ticks means the process was paused.
RETRY_WRITE_SECONDS = 0.25
RENOUNCE_RETRY_SECONDS = 0.3

RECORD_PREFIX = "endpoint/"
TABLE_PREFIX = "table/"


@dataclasses.dataclass(slots=True)
class _Coordination:
    """What this instance knows and does about one endpoint it may act for."""

    acting_term: int = 0  # 0 while this instance does not act.
    acting_since: float = 0.0
    fenced: bool = False  # The table was written since this instance began to act.
    needs_fence_to_renew: bool = False  # Took over by record after a renouncement.
    incarnation: str = ""  # Incarnation that reported the last reading.
    reading: float = 0.0
    reading_at: float = -1e9
    renewed: bool = False  # Ever sent a renewal under the current record version.
    held: dict[int, int] = dataclasses.field(default_factory=dict)
    call: int = 0  # Operation of the renewal under way, 0 for none.
    call_at: float = 0.0
    next_call_at: float = 0.0
    failures: int = 0
    exited: bool = False
    drained: set[int] = dataclasses.field(default_factory=set)
    draining: set[int] = dataclasses.field(default_factory=set)
    renounced_version: int = 0  # Record version that this instance renounced.
    renouncements: dict[str, bool] = dataclasses.field(default_factory=dict)
    renounce_bound: float = -1e9  # Latest time a renounced instance could renew.
    renounce_asked_at: float = -1e9
    endpoint_draining: bool = False


@dataclasses.dataclass(slots=True)
class _PendingWrite:
    """A conditional update under way; one at a time for each object."""

    operation: int
    if_version: int
    mark: str
    sent_at: float
    moved: dict[int, tuple[str | None, str]] = dataclasses.field(default_factory=dict)
    why: str = ""
    unknown: bool = False


class OwnershipCore:
    """Ownership decisions of one entry instance."""

    def __init__(self, instance: str, zone: str) -> None:
        self.instance = instance
        self.zone = zone
        self.cfg = Configuration()
        self.records: dict[str, EndpointRecord] = {}
        self.tables: dict[str, OwnershipTable] = {}
        self._versions: dict[str, int] = {}
        self._zones: dict[str, str] = {instance: zone}
        self._suspected: frozenset[str] = frozenset()
        self._gone: frozenset[str] = frozenset()
        self._coordinations: dict[str, _Coordination] = {}
        self._pending: dict[str, _PendingWrite] = {}
        self._retry_at: dict[str, float] = {}
        self._operations = itertools.count(1)
        self._last_tick = -1e9
        self._resumed_at = -1e9
        self._wall = 0.0
        self._stopping = False
        self._actions: list[Action] = []

    @classmethod
    def from_config(cls, instance: str, zone: str, cfg: Configuration) -> Self:
        """Return a core that starts from `cfg`."""
        core = cls(instance, zone)
        core.cfg = cfg
        return core

    # Entry points

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply `event` at time `now` and return what must be done."""
        self._actions = []
        match event:
            case Tick(wall):
                self._wall = wall
                self._tick(now)
            case ConfigurationChanged(cfg):
                if cfg.number > self.cfg.number:
                    self.cfg = cfg
            case RecordChanged(name, version, record):
                self._record_changed(name, version, record, now)
            case TableChanged(name, version, table):
                self._table_changed(name, version, table)
            case WriteSucceeded(name, operation, version):
                self._write_succeeded(name, operation, version, now)
            case WriteConflicted(name, operation):
                self._write_conflicted(name, operation, now)
            case WriteUnknown(name, operation):
                self._write_unknown(name, operation, now)
            case LeaseReplied(endpoint, operation, reply):
                self._lease_replied(endpoint, operation, reply, now)
            case LeaseFailed(endpoint, operation, refused):
                self._lease_failed(endpoint, operation, refused)
            case MembersChanged(zones, suspected, gone):
                self._zones = dict(zones)
                self._suspected = suspected
                self._gone = gone
            case RenounceAsked(sender, endpoint, version):
                self._renounce_asked(sender, endpoint, version)
            case Renounced(sender, endpoint, version, renewed):
                self._renounced(sender, endpoint, version, renewed, now)
            case UnitDrained(service, unit):
                self._unit_drained(service, unit)
            case StopAsked():
                self._stopping = True
        return self._actions

    def dispatch_token(
        self, endpoint: str, service: str, unit: int, now: float
    ) -> Token | None:
        """Return the token for a request to `endpoint` now, or None if forbidden."""
        coordination = self._coordinations.get(endpoint)
        table = self.tables.get(service)
        if coordination is None or table is None or not coordination.acting_term:
            return None
        if now - self._last_tick > CLOCK_GAP_SECONDS:
            return None
        if coordination.reading_at < self._resumed_at:
            return None
        if now > coordination.reading_at + LEASE_SECONDS - DISPATCH_MARGIN_SECONDS:
            return None
        row = table.row(unit)
        if row.owner != endpoint or coordination.held.get(unit) != row.sequence:
            return None
        if unit in coordination.draining or unit in coordination.drained:
            return None
        return Token(coordination.acting_term, row.sequence)

    def lease_held(self, endpoint: str, now: float) -> bool:
        """Tell whether requests may be dispatched to `endpoint` at all now."""
        coordination = self._coordinations.get(endpoint)
        if coordination is None or not coordination.acting_term:
            return False
        if now - self._last_tick > CLOCK_GAP_SECONDS:
            return False
        if coordination.reading_at < self._resumed_at:
            return False
        return now <= coordination.reading_at + LEASE_SECONDS - DISPATCH_MARGIN_SECONDS

    def owner_of(self, service: str, unit: int) -> str | None:
        """Return the endpoint that owns `unit`, as far as this instance knows."""
        table = self.tables.get(service)
        return None if table is None else table.row(unit).owner

    def coordinator_of(self, endpoint: str) -> str | None:
        """Return the instance that requests for `endpoint` must pass through."""
        if self.acts_for(endpoint):
            return self.instance
        record = self.records.get(endpoint)
        if record is None:
            return None
        candidates = (
            name
            for name in record.instances
            if name not in self._gone and name not in self._suspected
        )
        return next(candidates, record.coordinator)

    def acts_for(self, endpoint: str) -> bool:
        """Tell whether this instance coordinates `endpoint` now."""
        coordination = self._coordinations.get(endpoint)
        return coordination is not None and coordination.acting_term > 0

    def version_of(self, name: str) -> int:
        """Return the version of the platform object `name` seen here, 0 for none."""
        return self._versions.get(name, 0)

    def handed_over(self) -> bool:
        """Tell whether a stopping instance coordinates nothing any more."""
        return not any(self.acts_for(name) for name in self._coordinations)

    # Ticks

    def _tick(self, now: float) -> None:
        if now - self._last_tick > CLOCK_GAP_SECONDS:
            self._resumed_at = now
        self._last_tick = now
        for service in self.cfg.services:
            self._plan_service(service, now)
            for endpoint in service.endpoints:
                self._coordinate(service, endpoint, now)

    def _plan_service(self, service: Service, now: float) -> None:
        """Create the table and assign units without an owner."""
        name = TABLE_PREFIX + service.name
        if self._stopping or self._blocked(name, now):
            return
        if rendezvous(service.name, self._live_instances()) != self.instance:
            return
        table = self.tables.get(service.name)
        if table is None:
            table = OwnershipTable.empty(service.name, service.partitions)
        unowned = [unit for unit in range(len(table)) if table.row(unit).owner is None]
        candidates = self._healthy(service)
        if unowned and candidates:
            changes = choose_owners(table, unowned, candidates)
            self._write_table(table, changes, Proof.NEVER_OWNED, now)
            return
        self._plan_moves(service, table, now)

    def _plan_moves(self, service: Service, table: OwnershipTable, now: float) -> None:
        """Give units of draining endpoints a target."""
        leaving = {
            item.name
            for item in service.endpoints
            if item.state is EndpointState.DRAINING
        }
        candidates = [i for i in self._healthy(service) if i.name not in leaving]
        moves = table.planned_moves()
        units = [
            unit
            for name in sorted(leaving)
            for unit in table.units_of(name)
            if unit not in moves
        ]
        if not units or not candidates:
            return
        targets = choose_owners(table, units, candidates)
        self._write_targets(table, dict(targets), now)

    def _coordinate(self, service: Service, endpoint: Endpoint, now: float) -> None:
        coordination = self._coordinations.setdefault(endpoint.name, _Coordination())
        record = self.records.get(endpoint.name)
        if record is None:
            self._claim(service, endpoint, now)
            return
        if coordination.acting_term == 0:
            self._consider_takeover(service, endpoint, record, coordination, now)
            return
        if self._stopping:
            self._hand_over(endpoint, record, coordination, now)
        self._keep_record_current(endpoint, record, coordination, now)
        self._fence(service, coordination, now)
        self._renew(service, endpoint, coordination, now)
        self._advance_moves(service, endpoint, coordination, now)
        self._move_off_lost_endpoint(service, endpoint, record, coordination, now)

    def _claim(self, service: Service, endpoint: Endpoint, now: float) -> None:
        """Create the record of an endpoint that has none."""
        name = RECORD_PREFIX + endpoint.name
        if self._stopping or self._blocked(name, now):
            return
        if rendezvous(endpoint.name, self._zone_instances(endpoint)) != self.instance:
            return
        self._write_record(
            EndpointRecord(
                endpoint=endpoint.name,
                service=service.name,
                zone=endpoint.zone,
                epoch=1,
                coordinator=self.instance,
                successors=self._successors(endpoint),
                incarnation="",
                writer="",
            ),
            now,
        )

    def _consider_takeover(
        self,
        service: Service,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: _Coordination,
        now: float,
    ) -> None:
        """Act in place of a coordinator that is suspected or gone."""
        if self._stopping:
            return
        if record.coordinator == self.instance:
            self._resume_own_record(endpoint, record, now)
            return
        coordinator_gone = record.coordinator in self._gone
        if not coordinator_gone and record.coordinator not in self._suspected:
            return
        version = self.version_of(RECORD_PREFIX + endpoint.name)
        ahead = (
            record.instances[: record.instances.index(self.instance)]
            if (self.instance in record.successors)
            else record.instances
        )
        first_in_line = all(
            name in self._suspected or name in self._gone for name in ahead
        )
        renounced = coordination.renounced_version >= version
        if (
            endpoint.checks_tokens
            and self.instance in record.successors
            and first_in_line
            and not renounced
        ):
            term = record.term_of(self.instance)
            assert term is not None
            self._begin_acting(coordination, term, now)
            self._decide(
                endpoint.name,
                f"acting under term {term}",
                f"coordinator {record.coordinator} does not answer",
            )
            return
        everyone_gone = all(name in self._gone for name in record.instances)
        if not everyone_gone and not (coordinator_gone and renounced):
            return
        if rendezvous(endpoint.name, self._zone_instances(endpoint)) != self.instance:
            return
        self._replace_coordinator(endpoint, record, now)

    def _resume_own_record(
        self, endpoint: Endpoint, record: EndpointRecord, now: float
    ) -> None:
        """Record a higher term for an endpoint that refused the recorded one."""
        self._replace_coordinator(endpoint, record, now)

    def _replace_coordinator(
        self, endpoint: Endpoint, record: EndpointRecord, now: float
    ) -> None:
        if self._blocked(RECORD_PREFIX + endpoint.name, now):
            return
        self._write_record(
            msgspec.structs.replace(
                record,
                epoch=record.epoch + 1,
                coordinator=self.instance,
                successors=self._successors(endpoint),
            ),
            now,
        )

    def _hand_over(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: _Coordination,
        now: float,
    ) -> None:
        """Record the first live successor as coordinator and stop acting."""
        name = RECORD_PREFIX + endpoint.name
        heir = next(iter(self._successors(endpoint)), None)
        if heir is None or self._blocked(name, now):
            return
        rest = tuple(i for i in self._successors(endpoint) if i != heir)
        self._write_record(
            msgspec.structs.replace(
                record, epoch=record.epoch + 1, coordinator=heir, successors=rest
            ),
            now,
        )

    def _keep_record_current(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: _Coordination,
        now: float,
    ) -> None:
        """Record this instance, its successors and the endpoint's incarnation."""
        if self._stopping or self._blocked(RECORD_PREFIX + endpoint.name, now):
            return
        lost = coordination.failures > 0
        incarnation = record.incarnation
        if coordination.incarnation and not lost:
            incarnation = coordination.incarnation
        successors = record.successors
        if any(name in self._gone for name in successors) or (
            len(successors) < len(self._successors(endpoint))
        ):
            successors = self._successors(endpoint)
        takes_over = record.coordinator != self.instance
        if lost and not takes_over:
            # Recording again would void renouncements that a loss move needs.
            return
        stale_renouncement = bool(coordination.renouncements)
        if (
            not takes_over
            and incarnation == record.incarnation
            and successors == record.successors
            and not stale_renouncement
        ):
            return
        epoch = record.epoch + 1 if takes_over else record.epoch
        if successors != record.successors:
            epoch = record.epoch + 1
        self._write_record(
            msgspec.structs.replace(
                record,
                epoch=epoch,
                coordinator=self.instance,
                successors=self._successors(endpoint) if takes_over else successors,
                incarnation=incarnation,
            ),
            now,
        )

    def _fence(self, service: Service, coordination: _Coordination, now: float) -> None:
        table = self.tables.get(service.name)
        if coordination.fenced or table is None:
            return
        if not self._blocked(TABLE_PREFIX + service.name, now):
            self._write_table(table, {}, None, now)

    def _renew(
        self,
        service: Service,
        endpoint: Endpoint,
        coordination: _Coordination,
        now: float,
    ) -> None:
        if coordination.call and now - coordination.call_at < LEASE_SECONDS:
            return
        if now < coordination.next_call_at:
            return
        record = self.records[endpoint.name]
        coordination.call = next(self._operations)
        coordination.call_at = now
        coordination.next_call_at = now + RENEW_SECONDS
        renewal = LeaseRenewal(self.instance, coordination.acting_term)
        may_renew = coordination.fenced or not coordination.needs_fence_to_renew
        if (
            may_renew
            and coordination.incarnation
            and (coordination.incarnation == record.incarnation)
        ):
            add, drop = self._changes(service, endpoint, coordination)
            coordination.renewed = True
            renewal = LeaseRenewal(
                self.instance,
                coordination.acting_term,
                coordination.incarnation,
                coordination.reading + LEASE_SECONDS,
                add,
                drop,
            )
        self._actions.append(SendLease(endpoint, renewal, coordination.call))

    def _changes(
        self, service: Service, endpoint: Endpoint, coordination: _Coordination
    ) -> tuple[tuple[UnitGrant, ...], tuple[int, ...]]:
        """Return the units to add to and to drop from the endpoint."""
        table = self.tables.get(service.name)
        if table is None:
            return (), ()
        owned = table.units_of(endpoint.name)
        wanted = {
            unit: sequence
            for unit, sequence in owned.items()
            if unit not in coordination.drained
        }
        drop = tuple(unit for unit in coordination.held if unit not in wanted)
        if not coordination.fenced:
            return (), drop
        add = tuple(
            UnitGrant(unit, sequence)
            for unit, sequence in wanted.items()
            if coordination.held.get(unit) != sequence
        )
        return add, drop

    def _advance_moves(
        self,
        service: Service,
        endpoint: Endpoint,
        coordination: _Coordination,
        now: float,
    ) -> None:
        """Drain units that have a target and record the moves that are revoked."""
        table = self.tables.get(service.name)
        if table is None:
            return
        owned = table.units_of(endpoint.name)
        moves = {u: t for u, t in table.planned_moves().items() if u in owned}
        for unit in moves:
            if unit not in coordination.draining | coordination.drained:
                coordination.draining.add(unit)
                self._actions.append(DrainUnit(service.name, unit))
        coordination.drained &= set(owned)
        coordination.draining &= set(owned)
        fresh = now - coordination.reading_at < LEASE_SECONDS
        revoked = {
            unit: target
            for unit, target in moves.items()
            if unit in coordination.drained and unit not in coordination.held and fresh
        }
        if not revoked or not coordination.fenced:
            return
        if not self._blocked(TABLE_PREFIX + service.name, now):
            self._write_table(table, revoked, Proof.REVOKED, now)

    def _move_off_lost_endpoint(
        self,
        service: Service,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: _Coordination,
        now: float,
    ) -> None:
        """Give the units of a lost endpoint to others once its loss is proved."""
        table = self.tables.get(service.name)
        if table is None or not table.units_of(endpoint.name):
            return
        if coordination.failures < 2 and not coordination.exited:
            return
        if record.coordinator != self.instance or not coordination.fenced:
            return
        proof = self._loss_proof(endpoint, record, coordination, now)
        candidates = [i for i in self._healthy(service) if i.name != endpoint.name]
        if proof is None or not candidates:
            return
        if self._blocked(TABLE_PREFIX + service.name, now):
            return
        units = list(table.units_of(endpoint.name))
        changes = choose_owners(table, units, candidates)
        self._write_table(table, changes, proof, now)

    def _loss_proof(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        coordination: _Coordination,
        now: float,
    ) -> Proof | None:
        if coordination.exited:
            return Proof.PROCESS_EXITED
        if not endpoint.checks_tokens:
            return None
        version = self.version_of(RECORD_PREFIX + endpoint.name)
        others = [name for name in record.successors if name not in self._gone]
        missing = [i for i in others if i not in coordination.renouncements]
        if missing:
            if now - coordination.renounce_asked_at >= RENOUNCE_RETRY_SECONDS:
                coordination.renounce_asked_at = now
                self._actions += [
                    AskRenounce(name, endpoint.name, version) for name in missing
                ]
            return None
        bound = max(coordination.reading_at, coordination.renounce_bound)
        bound = max(bound, coordination.acting_since)
        if now <= bound + LEASE_SECONDS * (1 + CLOCK_DRIFT):
            return None
        return Proof.LEASE_EXPIRED

    # Answers of endpoints

    def _lease_replied(
        self, name: str, operation: int, reply: LeaseReply, now: float
    ) -> None:
        coordination = self._coordinations.get(name)
        if coordination is None or coordination.call != operation:
            return
        coordination.call = 0
        if reply.refusal is LeaseRefusal.LOWER_TERM:
            if reply.term > coordination.acting_term:
                self._stop_acting(name, coordination, "the endpoint has a higher term")
            return
        if reply.incarnation != coordination.incarnation:
            if coordination.incarnation and coordination.held:
                self._decide(name, "restarted", f"incarnation {reply.incarnation}")
            coordination.held = {}
        coordination.exited = False
        coordination.failures = 0
        coordination.incarnation = reply.incarnation
        coordination.reading = reply.clock
        coordination.reading_at = now
        coordination.endpoint_draining = reply.draining
        if reply.refusal is None:
            coordination.held = {item.unit: item.sequence for item in reply.held}

    def _lease_failed(self, name: str, operation: int, refused: bool) -> None:
        coordination = self._coordinations.get(name)
        if coordination is None or coordination.call != operation:
            return
        coordination.call = 0
        coordination.failures += 1
        if refused and coordination.incarnation:
            coordination.exited = True
            coordination.held = {}

    # Renouncements

    def _renounce_asked(self, sender: str, endpoint: str, version: int) -> None:
        """Renounce a record version unless this instance acts for the endpoint."""
        coordination = self._coordinations.setdefault(endpoint, _Coordination())
        if coordination.acting_term:
            return
        known = self.version_of(RECORD_PREFIX + endpoint)
        if version < known:
            return
        coordination.renounced_version = max(coordination.renounced_version, version)
        answer = Renounced(self.instance, endpoint, version, coordination.renewed)
        self._actions.append(AnswerRenounce(sender, answer))

    def _renounced(
        self, sender: str, endpoint: str, version: int, renewed: bool, now: float
    ) -> None:
        coordination = self._coordinations.get(endpoint)
        if coordination is None:
            return
        if version != self.version_of(RECORD_PREFIX + endpoint):
            return
        coordination.renouncements[sender] = renewed
        if renewed:
            coordination.renounce_bound = now

    def _unit_drained(self, service: str, unit: int) -> None:
        table = self.tables.get(service)
        owner = None if table is None else table.row(unit).owner
        coordination = self._coordinations.get(owner) if owner else None
        if coordination is not None and unit in coordination.draining:
            coordination.draining.discard(unit)
            coordination.drained.add(unit)

    # Platform objects

    def _record_changed(
        self, name: str, version: int, record: EndpointRecord | None, now: float
    ) -> None:
        pending = self._pending.get(name)
        if pending is not None and pending.unknown:
            self._resolve_unknown(name, pending, version, record, now)
        if version <= self.version_of(name) or record is None:
            return
        self._versions[name] = version
        self.records[record.endpoint] = record
        coordination = self._coordinations.setdefault(record.endpoint, _Coordination())
        coordination.renouncements = {}
        coordination.renounce_bound = -1e9
        if record.writer.startswith(f"{self.instance}#"):
            return
        if record.coordinator == self.instance:
            self._begin_acting(coordination, record.term, now, by_record=True)
            return
        if coordination.acting_term:
            self._stop_acting(
                record.endpoint,
                coordination,
                f"{record.coordinator} is recorded with term {record.term}",
            )

    def _table_changed(
        self, name: str, version: int, encoded: EncodedTable | None
    ) -> None:
        pending = self._pending.get(name)
        if pending is not None and pending.unknown:
            writer = "" if encoded is None else encoded.writer
            self._resolve_table(name, pending, version, writer)
        if version <= self.version_of(name) or encoded is None:
            return
        self._versions[name] = version
        self.tables[encoded.service] = OwnershipTable.decode(encoded)

    def _write_succeeded(
        self, name: str, operation: int, version: int, now: float
    ) -> None:
        pending = self._pending.get(name)
        if pending is None or pending.operation != operation:
            return
        del self._pending[name]
        # The object itself arrives by the read that every write is followed by.
        self._own_write_took_effect(name, pending, now)

    def _own_write_took_effect(
        self, name: str, pending: _PendingWrite, now: float
    ) -> None:
        if name.startswith(RECORD_PREFIX):
            self._own_record_written(name.removeprefix(RECORD_PREFIX), now)
            return
        service = name.removeprefix(TABLE_PREFIX)
        for endpoint in self._endpoints_of(service):
            coordination = self._coordinations.get(endpoint)
            if coordination is None or not coordination.acting_term:
                continue
            if pending.sent_at >= coordination.acting_since:
                coordination.fenced = True
        for unit, (owner, target) in pending.moved.items():
            self._decide(f"{service}/{unit}", f"{owner} to {target}", pending.why)

    def _own_record_written(self, endpoint: str, now: float) -> None:
        record = self.records.get(endpoint)
        coordination = self._coordinations.setdefault(endpoint, _Coordination())
        if record is None:
            return
        if record.coordinator != self.instance:
            self._stop_acting(endpoint, coordination, "handed over")
            return
        if coordination.acting_term == 0:
            by_record = record.epoch > 1
            self._begin_acting(coordination, record.term, now, by_record=by_record)
            coordination.fenced = record.epoch == 1
        coordination.acting_term = record.term
        coordination.next_call_at = now

    def _write_conflicted(self, name: str, operation: int, now: float) -> None:
        pending = self._pending.get(name)
        if pending is None or pending.operation != operation:
            return
        del self._pending[name]
        self._retry_at[name] = now + RETRY_WRITE_SECONDS
        names = [name]
        if name.startswith(TABLE_PREFIX):
            service = name.removeprefix(TABLE_PREFIX)
            names += [
                RECORD_PREFIX + endpoint
                for endpoint in self._endpoints_of(service)
                if self.acts_for(endpoint)
            ]
        self._actions.append(ReadObjects(tuple(names)))

    def _write_unknown(self, name: str, operation: int, now: float) -> None:
        pending = self._pending.get(name)
        if pending is None or pending.operation != operation:
            return
        pending.unknown = True
        self._actions.append(ReadObjects((name,)))

    def _resolve_unknown(
        self,
        name: str,
        pending: _PendingWrite,
        version: int,
        record: EndpointRecord | None,
        now: float,
    ) -> None:
        if record is not None and record.writer == pending.mark:
            self._versions[name] = version
            self.records[record.endpoint] = record
            del self._pending[name]
            self._own_write_took_effect(name, pending, now)
        elif version > pending.if_version:
            del self._pending[name]

    def _resolve_table(
        self, name: str, pending: _PendingWrite, version: int, writer: str
    ) -> None:
        if writer == pending.mark:
            del self._pending[name]
            self._own_write_took_effect(name, pending, pending.sent_at)
        elif version > pending.if_version:
            del self._pending[name]

    def _write_record(self, record: EndpointRecord, now: float) -> None:
        name = RECORD_PREFIX + record.endpoint
        operation = next(self._operations)
        mark = f"{self.instance}#{operation}"
        version = self.version_of(name)
        self._pending[name] = _PendingWrite(operation, version, mark, now)
        marked = msgspec.structs.replace(record, writer=mark)
        self._actions.append(WriteRecord(name, version, marked, operation))

    def _write_table(
        self,
        table: OwnershipTable,
        changes: dict[int, str],
        proof: Proof | None,
        now: float,
    ) -> None:
        moved = {
            unit: (table.row(unit).owner, target) for unit, target in changes.items()
        }
        why = "" if proof is None else proof.value
        self._send_table(table.with_owners(changes), now, moved, why)

    def _write_targets(
        self, table: OwnershipTable, targets: dict[int, str | None], now: float
    ) -> None:
        self._send_table(table.with_targets(targets), now, {}, "")

    def _send_table(
        self,
        table: OwnershipTable,
        now: float,
        moved: dict[int, tuple[str | None, str]],
        why: str,
    ) -> None:
        name = TABLE_PREFIX + table.service
        operation = next(self._operations)
        mark = f"{self.instance}#{operation}"
        version = self.version_of(name)
        self._pending[name] = _PendingWrite(operation, version, mark, now, moved, why)
        self._actions.append(WriteTable(name, version, table.encode(mark), operation))

    # Helpers

    def _blocked(self, name: str, now: float) -> bool:
        """Tell whether a write of `name` is under way or was refused just now."""
        pending = self._pending.get(name)
        if pending is not None:
            if pending.unknown and now >= self._retry_at.get(name, 0):
                self._retry_at[name] = now + RETRY_WRITE_SECONDS
                self._actions.append(ReadObjects((name,)))
            return True
        return now < self._retry_at.get(name, 0)

    def _begin_acting(
        self,
        coordination: _Coordination,
        term: int,
        now: float,
        by_record: bool = False,
    ) -> None:
        coordination.acting_term = term
        coordination.acting_since = now
        coordination.fenced = False
        coordination.needs_fence_to_renew = by_record
        coordination.incarnation = ""
        coordination.reading_at = -1e9
        coordination.held = {}
        coordination.failures = 0
        coordination.exited = False
        coordination.renewed = False
        coordination.call = 0
        coordination.next_call_at = now
        coordination.draining.clear()
        coordination.drained.clear()

    def _stop_acting(
        self, endpoint: str, coordination: _Coordination, why: str
    ) -> None:
        if not coordination.acting_term:
            return
        self._decide(endpoint, f"stopped acting under {coordination.acting_term}", why)
        coordination.acting_term = 0
        coordination.held = {}
        coordination.call = 0

    def _decide(self, subject: str, what: str, why: str) -> None:
        decision = Decision(self._wall, self.instance, subject, what, why)
        self._actions.append(Record(decision))

    def _live_instances(self) -> list[str]:
        return [
            name
            for name in self._zones
            if name not in self._suspected and name not in self._gone
        ]

    def _zone_instances(self, endpoint: Endpoint) -> list[str]:
        """Return the live instances of the endpoint's zone, or all if it has none."""
        live = self._live_instances()
        same_zone = [name for name in live if self._zones[name] == endpoint.zone]
        return same_zone or live

    def _successors(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the live instances that are to succeed this one, best first."""
        others = [name for name in self._live_instances() if name != self.instance]
        same_zone = [i for i in others if self._zones[i] == endpoint.zone]
        ranked = sorted(
            same_zone or others,
            key=lambda name: rendezvous_score(endpoint.name, name),
            reverse=True,
        )
        return tuple(ranked[:MAX_SUCCESSORS])

    def _healthy(self, service: Service) -> list[Endpoint]:
        """Return the endpoints that may get new units."""
        return [
            item
            for item in service.endpoints
            if item.state is EndpointState.ACTIVE and not self._known_lost(item.name)
        ]

    def _known_lost(self, endpoint: str) -> bool:
        coordination = self._coordinations.get(endpoint)
        if coordination is None or not coordination.acting_term:
            return False
        return coordination.failures >= 2 or coordination.exited

    def _endpoints_of(self, service: str) -> Iterable[str]:
        found = self.cfg.service(service)
        return () if found is None else (item.name for item in found.endpoints)
