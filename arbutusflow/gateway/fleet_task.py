"""Task that keeps an instance a member of the fleet.

It registers the instance in the store, exchanges reports with the others and drives
the leases of keys. What the instance serves is behind `Workload`.
"""

import asyncio
from collections.abc import Coroutine
from typing import Protocol

import msgspec

from arbutusflow.domain.errors import ConflictError, PlatformError
from arbutusflow.gateway import key_demand
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import (
    FLEET_KIND,
    INSTANCE_PREFIX,
    STALL_SECONDS,
    Fleet,
    InstanceRecord,
)
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.key_moves import KeyMoves
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import StoredTable
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import (
    PeerReport,
    PeerReports,
    Question,
    StateAsked,
    StateTold,
    StrikeReport,
    TableAsked,
    TableChanged,
    TableTold,
)
from arbutusflow.gateway.state_relay import StateRelay
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoreClient

# A waiting watch is one call; a connection that lost its path is found by TCP
# keep-alive, so the wait only bounds what one lost answer costs.
WATCH_SECONDS = 15.0
# Wait of the fleet's watch while the right to grant rests on it.
FLEET_WATCH_SECONDS = 1.0
REGISTER_PAUSE_SECONDS = 0.3
# The store tells of a change within some milliseconds.
TABLE_ASK_SECONDS = 0.1
# A table of 65 endpoints is 8 kB, and bytes across zones are priced: instances of the
# own zone, which report within 0.15 s, are asked first.
OTHER_ZONE_ASK_SECONDS = 0.4
# Reports go from each instance to each other one. Beyond these sizes of the zone and of
# the fleet they are sent less often, so that an instance receives at most about 100
# and 75 a second. A report costs about 0.1 ms of processor time, and bytes across zones
# are priced.
ZONE_REPORT_SECONDS = 0.05
ZONE_REPORT_SECONDS_PER_INSTANCE = 0.01
FLEET_REPORT_SECONDS = 0.3  # Reports across zones are priced by the byte.
FLEET_REPORT_SECONDS_PER_INSTANCE = 0.0135
MAX_FLEET_REPORT_SECONDS = 0.9  # One may be lost before `ALIVE_SECONDS` end.
MAX_DEMAND_AGE_SECONDS = 2.0  # One report of the demand may be lost.
# In a large fleet some report is always late or lost.
KNOWN_DEMAND_SHARE = 0.8
NO_EARLIER_LIFE_SECONDS = 1e6  # Longer ago than any lease lasts.


class Workload(Protocol):
    """What the instance serves, as far as the others need to know."""

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by endpoint."""
        ...

    def touch_age(self, now: float) -> float:
        """Return for how long the store has answered; negative if it does not."""
        ...

    def known_revisions(self) -> tuple[int, int]:
        """Return the latest revisions of the configuration and of the endpoints."""
        ...

    def strikes(self) -> tuple[StrikeReport, ...]:
        """Return the latest strikes against requests."""
        ...

    def take_report(self, report: PeerReport) -> None:
        """Learn from the report of another instance."""
        ...

    def service_times(self, service: str) -> dict[str, tuple[float, int]]:
        """Return seconds of one request and the answers behind them, by endpoint."""
        ...


class FleetTask:
    """Membership, reports and key leases of one instance."""

    def __init__(
        self,
        me: InstanceRecord,
        store: StoreClient,
        pool: ConnectionPool,
        copies: dict[str, ObjectCopy],
        workload: Workload,
        log: EventLog,
        max_lease_seconds: float,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._workload = workload
        self._log = log
        self._last_tick = self._loop.time()
        self._number = 0
        self._sent_to_zone: tuple[dict[str, int], tuple[int, ...]] = ({}, ())
        self._zone_reported = self._fleet_reported = -1e9
        self._demand_due = False
        self._writing_record = False
        self._registered_once = False
        # Revision in force and when a later one was first heard of or asked for.
        self._behind: dict[str, tuple[int, float]] = {}
        self._keyed: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.demand = key_demand.KeyDemand()
        self.peers = PeerReports(me.name, self._on_report, self._on_message, log)
        self.copy = ObjectCopy(store, FLEET_KIND, WATCH_SECONDS, self._on_fleet, log)
        self.relay = StateRelay({FLEET_KIND: self.copy, **copies}, self.peers, log)
        self.fleet = Fleet(me, self.copy, self.peers, self._loop.time())
        self.orders = KeyOrders(pool, log, max_lease_seconds)
        self.leases = KeyLeases(self.fleet, self.copy, self.orders, log)
        self.leases.on_table = self._on_table
        self.moves = KeyMoves(
            self.fleet, self.copy, store, self.peers, self.leases, self.orders, log
        )
        self.moves.loads_of = self._loads_of
        self.moves.capacities_of = self._capacities_of
        self.moves.knows_demand = self._knows_demand

    def tick(self, now: float) -> None:
        """Do what is due; called by a timer."""
        if now - self._last_tick > STALL_SECONDS:
            self._log.write("stalled", seconds=round(now - self._last_tick, 3))
            self.fleet.note_stall(now)
        self._last_tick = now
        self.fleet.exclude_silent(now)
        self._set_watch(now)
        self._maintain_records(now)
        self._tick_keys(now)

    def _set_watch(self, now: float) -> None:
        """Watch the fleet's objects as closely as the duties of the moment need it."""
        if not self.fleet.is_vouched_for(now) and self.leases.has_duty(now):
            self.copy.use(FLEET_WATCH_SECONDS, may_lag=False)
            return
        plans = any(
            self.fleet.is_planner(service, now) for service in self.leases.tables
        )
        may_lag = not plans and not self.fleet.is_watcher(now)
        self.copy.use(WATCH_SECONDS, may_lag=may_lag)

    def _tick_keys(self, now: float) -> None:
        self.leases.tick(self._keyed, now)
        self.moves.tick(self._keyed, now)

    def use_services(self, keyed: list[str]) -> None:
        """Take over the names of the services whose keys have owners."""
        self._keyed = keyed

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_fleet(self) -> None:
        now = self._loop.time()
        self.fleet.update(now)
        self.leases.update_tables(now)
        self._tick_keys(now)

    # Records in the store.

    def _maintain_records(self, now: float) -> None:
        if self._writing_record or not self.copy.known or self.leases.stopping:
            return
        if not self.fleet.registered:
            self._writing_record = True
            self._start(self._register())
            return
        for record in self.fleet.forgotten(now):
            if self.fleet.is_planner(record.name, now):
                self._writing_record = True
                self._start(self._forget(record))
                return

    async def _register(self) -> None:
        name = INSTANCE_PREFIX + self.fleet.me.name
        spec = msgspec.to_builtins(self.fleet.me)
        known = self.copy.objects.get(name)
        try:
            if known is None:
                item = await self._store.create(FLEET_KIND, name, spec)
                if not self._registered_once:
                    self.fleet.earlier_life_until = -NO_EARLIER_LIFE_SECONDS
            else:
                item = await self._store.replace(FLEET_KIND, name, spec, known.revision)
            self.copy.adopt(item)
            self.fleet.update(self._loop.time())
            self._registered_once = True
            self._log.write("registered", life=self.fleet.me.life)
        except ConflictError:
            self.copy.read_again()
            await asyncio.sleep(REGISTER_PAUSE_SECONDS)
        except PlatformError as exc:
            self._log.write_rate_limited("register_failed", detail=str(exc))
            await asyncio.sleep(REGISTER_PAUSE_SECONDS)
        finally:
            self._writing_record = False

    async def _forget(self, record: InstanceRecord) -> None:
        name = INSTANCE_PREFIX + record.name
        item = self.copy.objects.get(name)
        try:
            if item is not None:
                await self._store.delete(FLEET_KIND, name, item.revision)
                self._log.write("instance_forgotten", name=record.name)
        except PlatformError as exc:
            self._log.write_rate_limited(
                "forget_failed", name=record.name, detail=str(exc)
            )
        finally:
            await asyncio.sleep(REGISTER_PAUSE_SECONDS)
            self._writing_record = False

    # Reports between instances.

    def _report(
        self,
        loads: dict[str, dict[int, int]],
        in_flight: dict[str, int],
        *,
        vouches: bool,
    ) -> PeerReport:
        now = self._loop.time()
        times: dict[str, tuple[float, int]] = {}
        for service in loads:
            times.update(self._workload.service_times(service))
        self._number += 1
        return PeerReport(
            instance=self.fleet.me.name,
            life=self.fleet.me.life,
            number=self._number,
            earlier_life_age=round(now - self.fleet.earlier_life_until, 3),
            tables=self.fleet.applied if self.fleet.registered else {},
            touch_age=round(
                min(self._workload.touch_age(now), self.copy.touch_age(now)), 3
            ),
            configuration=self._workload.known_revisions()[0],
            endpoints=self._workload.known_revisions()[1],
            in_flight=in_flight,
            leases=self.orders.reports(now),
            vouches=vouches,
            strikes=self._workload.strikes(),
            key_loads=loads,
            service_times=times,
        )

    def report_if_due(self) -> None:
        """Send the regular reports; called by a timer."""
        now = self._loop.time()
        size = len(self.fleet.records)
        period = FLEET_REPORT_SECONDS_PER_INSTANCE * size
        period = min(max(FLEET_REPORT_SECONDS, period), MAX_FLEET_REPORT_SECONDS)
        if now - self._fleet_reported >= period:
            self.report_to_fleet()
            return
        period = ZONE_REPORT_SECONDS_PER_INSTANCE * self.fleet.zone_size
        if now - self._zone_reported >= max(ZONE_REPORT_SECONDS, period):
            self.report_to_zone()

    def report_to_zone(self) -> None:
        """Tell the own zone of a changed load or of news from the store."""
        self._zone_reported = self._loop.time()
        load = self._workload.in_flight()
        news = (*self._workload.known_revisions(), *self.fleet.applied.values())
        if (load, news) == self._sent_to_zone:
            return
        self._sent_to_zone = (load, news)
        self._send_reports(load, self.fleet.me.zone)

    def report_to_fleet(self) -> None:
        """Send a report to all others."""
        self._fleet_reported = self._zone_reported = self._loop.time()
        self._send_reports(self._workload.in_flight(), None)

    def _send_reports(self, load: dict[str, int], zone: str | None) -> None:
        demand = self._due_demand() if zone is None else {}
        for vouched in (True, False):
            targets = self.fleet.targets(vouched=vouched, zone=zone)
            for planner, loads in demand.items():
                if planner in targets:
                    targets.remove(planner)
                    report = self._report(loads, load, vouches=vouched)
                    self.peers.send(report, [planner])
            if targets:
                self.peers.send(self._report({}, load, vouches=vouched), targets)

    def decay_demand(self) -> None:
        """Let a period of the demand pass; the next report tells the planners."""
        self.demand.decay()
        self._demand_due = True

    def _due_demand(self) -> dict[Address, dict[str, dict[int, int]]]:
        """Return the demand for keys that other instances plan, once a period."""
        if not self._demand_due:
            return {}
        self._demand_due = False
        result: dict[Address, dict[str, dict[int, int]]] = {}
        for service in self._keyed:
            planner = self.fleet.planner(service, self._loop.time())
            address = Address(planner.host, planner.port)
            result.setdefault(address, {})[service] = self.demand.report(service)
        return result

    def _on_table(self, stored: StoredTable) -> None:
        self.moves.note_table(stored, self._loop.time())
        if any(part.leaving for part in stored.table.ranges):
            self._report_applied(stored.table.service)

    def _report_applied(self, service: str) -> None:
        """Tell the planner at once that a table is in force: keys wait for it."""
        planner = self.fleet.planner(service, self._loop.time())
        if planner is not self.fleet.me:
            report = self._report({}, self._workload.in_flight(), vouches=False)
            self.peers.send(report, [Address(planner.host, planner.port)])

    def _loads_of(self, service: str) -> dict[int, float]:
        reports = [self.demand.report(service)]
        reports += [
            peer.loads[service]
            for peer in self.peers.alive(self._loop.time())
            if service in peer.loads
        ]
        return key_demand.sum_reports(reports)

    def _knows_demand(self, service: str) -> bool:
        """Return whether nearly all live instances told their demand lately.

        An instance that has just become the planner knows only its own.
        """
        now = self._loop.time()
        recent = [
            service in peer.loads and now - peer.loads_at < MAX_DEMAND_AGE_SECONDS
            for peer in self.peers.alive(now)
            if peer.report.instance in self.fleet.records
        ]
        return sum(recent) >= KNOWN_DEMAND_SHARE * len(recent)

    def _capacities_of(self, service: str) -> dict[str, float]:
        """Return the requests per second that each endpoint can serve."""
        measured = [self._workload.service_times(service)]
        measured += [p.service_times for p in self.peers.alive(self._loop.time())]
        return key_demand.capacities(
            [e for e in self.leases.endpoints.values() if e.service == service],
            measured,
        )

    def _on_message(self, message: Question, source: Address) -> None:
        now = self._loop.time()
        match message:
            case TableTold():
                table = StoredTable(message.table, message.revision)
                self.leases.adopt_table(table, now)
                self._tick_keys(now)
            case TableChanged():
                stored = self.leases.changed_table(message)
                if stored is not None:
                    self.leases.adopt_table(stored, now)
                    self._tick_keys(now)
            case TableAsked():
                answer = self.leases.answer(message)
                if answer is not None:
                    self.peers.send(answer, [source])
            case StateAsked():
                self.relay.answer(message.kind, source)
            case StateTold():
                self.relay.take(message)

    def _ask_for_tables(self, report: PeerReport, source: Address, now: float) -> None:
        """Ask a peer for later tables that the store has not told in time."""
        for service, revision in report.tables.items():
            applied = self.fleet.applied.get(service, 0)
            if revision <= applied:
                continue
            # Reports of others that are behind, too, must not put the question off.
            known, since = self._behind.get(service, (-1, now))
            if known != applied:
                since = now
            patience = TABLE_ASK_SECONDS if self.copy.lost_at is None else 0.0
            record = self.fleet.records.get(report.instance)
            if record is None or record.zone != self.fleet.me.zone:
                patience += OTHER_ZONE_ASK_SECONDS
            if now - since >= patience:
                since = now
                self.peers.send(TableAsked(service, applied), [source])
            self._behind[service] = (applied, since)

    def _on_report(self, report: PeerReport, source: Address) -> None:
        now = self._loop.time()
        self._ask_for_tables(report, source, now)
        self.relay.note_peer(source, now)
        self.leases.note_renewals(report, now)
        self._workload.take_report(report)

    async def leave(self, timeout: float) -> None:
        """Remove the own record, so that nobody waits for this instance."""
        name = INSTANCE_PREFIX + self.fleet.me.name
        item = self.copy.objects.get(name)
        try:
            async with asyncio.timeout(timeout):
                unanswered = self.orders.has_unanswered(self._loop.time())
                if item is not None and self.fleet.registered and not unanswered:
                    await self._store.delete(FLEET_KIND, name, item.revision)
        except (PlatformError, TimeoutError) as exc:
            self._log.write("leave_unrecorded", detail=repr(exc))
