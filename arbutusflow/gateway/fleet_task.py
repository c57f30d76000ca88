"""Membership of one instance in the fleet.

A granter registers in the store, exchanges reports with the other granters, and drives
lease renewal and planning. Every other instance follows one of them (see `followers`).
`Workload` is the interface to the requests that the instance serves.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine
from typing import Protocol

import msgspec

from arbutusflow.errors import ConflictError, PlatformError
from arbutusflow.gateway import key_demand
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import (
    FLEET_KIND,
    INSTANCE_PREFIX,
    STALL_SECONDS,
    Fleet,
    InstanceRecord,
    StoreRight,
    rank_hash,
)
from arbutusflow.gateway.followers import (
    CLAIM_SPREAD_SECONDS,
    FOLLOWER_REPORT_SECONDS,
    Followers,
    Following,
    wanted_granters,
)
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.key_moves import KeyMoves
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import StoredTable
from arbutusflow.gateway.load.endpoint_room import Samples
from arbutusflow.gateway.load.room_reports import RoomExchange
from arbutusflow.gateway.model import BEFORE_ALL, Address, StorePoint
from arbutusflow.gateway.peers import (
    CopyRequest,
    CopyTransfer,
    FigureDigest,
    FleetDigest,
    FollowerReport,
    PeerReport,
    PeerReports,
    SampledFollowerReport,
    SampledReport,
    StrikeReport,
    SyncMessage,
    TableChanged,
    TableRequest,
    TableTransfer,
)
from arbutusflow.gateway.pieces import PieceRequest, TransferPiece
from arbutusflow.gateway.state_relay import READ_SPREAD_SECONDS, StateRelay
from arbutusflow.gateway.store_probes import StoreProbes
from arbutusflow.gateway.store_watch import BEHIND_TOLERANCE_SECONDS, ObjectCopy
from arbutusflow.gateway.timers import run_each
from arbutusflow.platform.store import StoreClient, StoredObject

# Each watch is priced as one call, however long it waits. TCP keep-alive detects broken
# connections, so the wait only bounds the delay that a lost answer causes.
WATCH_SECONDS = 15.0
# Used for the fleet's objects while the right to grant keys depends on this watch.
FLEET_WATCH_SECONDS = 1.8
# The same soon after a new era. The right to grant then lasts until the next one if the
# store is away for up to two seconds, and keys keep their owners.
YOUNG_ERA_WATCH_SECONDS = 0.6
YOUNG_ERA_SECONDS = 12.0
REGISTER_RETRY_SECONDS = 0.3
# The store announces a change within milliseconds.
TABLE_REQUEST_DELAY_SECONDS = 0.1
# A table of 65 endpoints is 8 kB, and bytes across zones are priced. Instances of the
# same zone, which report within 0.15 s, are therefore asked first.
OTHER_ZONE_EXTRA_DELAY_SECONDS = 0.4
# Every granter sends reports to every other one. The intervals grow with their number,
# so that a granter of a large fleet receives at most about 40 of these reports per
# second. A report costs about 0.1 ms of processor time, and bytes across zones are
# priced.
ZONE_REPORT_SECONDS = 0.05
ZONE_REPORT_SECONDS_PER_INSTANCE = 0.01
FLEET_REPORT_SECONDS = 0.3  # Reports across zones are priced by the byte.
FLEET_REPORT_SECONDS_PER_INSTANCE = 0.027
MAX_FLEET_REPORT_SECONDS = 0.9  # One may be lost within `ALIVE_SECONDS`.
# Makes the right to grant end this much earlier than the reports alone would.
QUEUE_MARKER_SECONDS = 1.0
MAX_DEMAND_AGE_SECONDS = 2.0  # One report of the demand may be lost.
# Less than all: in a large fleet some report is always late or lost.
MIN_RECENT_DEMAND_SHARE = 0.8
NO_PREVIOUS_INCARNATION_SECONDS = 1e6  # Longer ago than any lease lasts.
ERA_CHECK_SECONDS = 1.0  # Between checks because of reports of a later era.
# Longer than records are usually under way. With the time until a report tells of them,
# a list of granters is then not older than the evidence of the right to grant can be.
MAX_RECORDS_BEHIND_SECONDS = 1.0
REGAIN_SECONDS = 2.0  # Within which all granters regain the store after an outage.
# After its start, an instance waits this long for a granter that sends it the objects
# of the store, before it reads them itself.
RELAY_WAIT_SECONDS = CLAIM_SPREAD_SECONDS + 1.0


class Workload(Protocol):
    """The requests that the instance serves, as far as reports need them."""

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by endpoint."""
        ...

    def connected_seconds(self, now: float) -> float:
        """Return for how long the store has answered; negative if it does not."""
        ...

    def known_revisions(self) -> tuple[StorePoint, StorePoint]:
        """Return the latest revisions of the configuration and of the endpoints."""
        ...

    def strikes(self) -> tuple[StrikeReport, ...]:
        """Return the latest strikes against requests."""
        ...

    def leaving_endpoints(self) -> dict[str, int]:
        """Return the endpoints that said recently that they leave.

        Maps their identifiers to the start times of their processes.
        """
        ...

    def apply_report(self, report: PeerReport) -> None:
        """Use the report of another granter."""
        ...

    def apply_follower(self, report: FollowerReport) -> None:
        """Use the report of a follower."""
        ...

    def apply_digest(self, digest: FleetDigest, reported: dict[str, int]) -> None:
        """Use the digest of a granter.

        `reported` holds the requests in flight that the digest includes for this
        instance.
        """
        ...

    def fleet_in_flight(self) -> dict[str, int]:
        """Return the requests in flight of the whole fleet by endpoint."""
        ...

    def service_times(self, service: str) -> dict[str, tuple[float, int]]:
        """Return mean service time in seconds and number of answers, by endpoint."""
        ...


class FleetTask:
    """Runs the membership, the reports and the key leases of one instance."""

    def __init__(
        self,
        own_record: InstanceRecord,
        store: StoreClient,
        pool: ConnectionPool,
        copies: dict[str, ObjectCopy],
        workload: Workload,
        log: EventLog,
        max_lease_seconds: float,
        rng: random.Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._workload = workload
        self._log = log
        self._last_tick = self._loop.time()
        self._queue_marked_at = -1e9
        self._grant_evidence = "none"  # As last logged.
        self._report_number = 0
        self._last_zone_state: tuple[dict[str, int], tuple[StorePoint, ...]] = ({}, ())
        self._zone_reported_at = self._fleet_reported_at = self._digest_at = -1e9
        self._started = self._loop.time()
        # By kind: revisions when a report or a digest was last due.
        self._told_revisions: dict[str, StorePoint] = {}
        self._reported_in_flight: dict[str, int] = {}  # In the latest follower report.
        self._demand_due = False
        self._lost_contact: set[str] = set()  # Instances that cannot read the store.
        self._writing_record = False
        self._registered_once = False
        # By service: table revision in force, and when a later one was first reported
        # or last requested.
        self._behind_since: dict[str, tuple[StorePoint, float]] = {}
        self._partitioned_services: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.demand = key_demand.KeyDemand()
        # What endpoints handle well; None if it is not to be learned.
        self.rooms: RoomExchange | None = None
        self.peers = PeerReports(
            own_record.name, own_record.life, self._on_report, self._on_message, log
        )
        self.copy = ObjectCopy(
            store,
            FLEET_KIND,
            WATCH_SECONDS,
            self._on_fleet_change,
            log,
            rng,
            relayed_prefix=INSTANCE_PREFIX,
        )
        # Shows which instances are granters; a claim to become one reads them again.
        self.copy.list_may_lag = True
        for copy in copies.values():
            copy.set_parked(True)
        self.relay = StateRelay(
            {FLEET_KIND: self.copy, **copies}, self.peers, log, self._loop.time()
        )
        self.relay.sources = self._relay_sources
        share = rank_hash(own_record.name) % 1000 / 1000
        self._read_delay = READ_SPREAD_SECONDS * share  # As a follower.
        self.probes = StoreProbes(store, self.relay.copies, self.report_to_fleet)
        self.fleet = Fleet(own_record, self.copy, self.peers, self._loop.time())
        self._era_checked_at = -1e9
        store.era.subscribers.append(self._on_era)
        self.followers = Followers()
        self.following = Following(own_record, self.fleet, self._loop.time(), rng)
        self.orders = KeyOrders(pool, log, max_lease_seconds)
        self.leases = KeyLeases(self.fleet, self.copy, self.orders, log)
        self.leases.on_table_change = self._on_table_change
        self.leases.demand_of = self._local_demand
        self.moves = KeyMoves(
            self.fleet,
            self.copy,
            store,
            self.peers,
            self.leases,
            self.orders,
            log,
            rng,
        )
        self.moves.loads_of = self._loads_of
        self.moves.capacities_of = self._capacities_of
        self.moves.has_recent_demand = self._has_recent_demand

    def tick(self, now: float) -> None:
        """Perform all periodic work except reports; called by a timer."""
        if now - self._last_tick > STALL_SECONDS:
            self._log.write("stalled", seconds=round(now - self._last_tick, 3))
            self.fleet.reset_contact(now)
        self._last_tick = now
        parts = (
            self._maintain_records,
            *(self._granter_parts if self.fleet.registered else ()),
            self._check_store,
            self.relay.tick,
            self._update_watch_modes,
            self._tick_leases,
            self._tick_moves,
        )
        run_each(parts, now, self._log.write_exception)

    @property
    def _granter_parts(self) -> tuple[Callable[[float], None], ...]:
        return (
            self._mark_queue,
            self.followers.expire,
            self.fleet.exclude_unresponsive,
            self._log_right_to_grant,
        )

    def _mark_queue(self, now: float) -> None:
        if now - self._queue_marked_at >= QUEUE_MARKER_SECONDS:
            self._queue_marked_at = now
            record = self.fleet.own_record
            self.peers.mark_queue(Address(record.host, record.port))

    def _log_right_to_grant(self, now: float) -> None:
        """Log when the right to grant is gained, lost or rests on other evidence."""
        evidence = self.fleet.grant_evidence(now)
        if evidence != self._grant_evidence:
            self._grant_evidence = evidence
            self._log.write("right_to_grant", evidence=evidence)

    def _check_store(self, now: float) -> None:
        if self.fleet.registered:
            self.probes.check_as_granter(now)
            return
        lost = self.following.granters_lost_store(now)
        self.probes.check_as_follower(now, granters_lost_store=lost)

    def _update_watch_modes(self, now: float) -> None:
        """Call the store for each copy only as often as the current roles require."""
        self.relay.read_delay = 0.0 if self.fleet.registered else self._read_delay
        for kind, copy in self.relay.copies.items():
            if not self.fleet.registered:
                copy.set_watch_mode(
                    WATCH_SECONDS, may_lag=not self.probes.follower_reads
                )
                copy.set_parked(self._is_relayed_to_follower(kind, copy, now))
                continue
            wait_seconds, may_lag = WATCH_SECONDS, not self.fleet.is_reader(now)
            if copy is self.copy:
                if self._needs_current_records(now):
                    wait_seconds, may_lag = self._fleet_watch_seconds(now), False
                elif self._is_any_planner(now):
                    may_lag = False
            copy.set_watch_mode(wait_seconds, may_lag=may_lag)
            copy.set_parked(may_lag and self._is_relayed_to_granter(kind, copy, now))

    def _needs_current_records(self, now: float) -> bool:
        """Return whether the right to grant keys depends on a current copy."""
        return not self.fleet.is_vouched_for(now) and self.leases.is_granter_or_standby(
            now
        )

    def _fleet_watch_seconds(self, now: float) -> float:
        """Return how long a watch waits while the right to grant depends on it."""
        if self.fleet.era and now - self.fleet.era_since < YOUNG_ERA_SECONDS:
            return YOUNG_ERA_WATCH_SECONDS
        return FLEET_WATCH_SECONDS

    def _is_any_planner(self, now: float) -> bool:
        return any(
            self.fleet.is_planner(service, now) for service in self.leases.tables
        )

    def _is_relayed_to_granter(self, kind: str, copy: ObjectCopy, now: float) -> bool:
        """Return whether a copy of a granter is updated without calls to the store.

        Records are sent by any other granter, other objects by one of the same zone,
        because bytes across zones are priced.
        """
        if not copy.was_read or copy.unreachable_since is not None:
            return False
        if self.relay.is_behind(kind, now) or not self.fleet.has_peer_with_contact(now):
            return False
        if copy.is_optional and not self._all_keep(kind, now):
            return False
        return copy is self.copy or not self.fleet.is_zone_watcher(now)

    def _all_keep(self, kind: str, now: float) -> bool:
        """Return whether all live granters keep copies of a kind.

        They may have other settings while these are changed.
        """
        return all(kind in peer.report.copies for peer in self.peers.alive(now))

    def _granter_tells(self, kind: str, now: float) -> bool:
        """Return whether the granter has read a copy of a kind, or will do so soon."""
        digest = self.following.digest
        if self.following.granters_lost_store(now):
            return True  # Calls of followers would be in vain as well.
        if digest is None or kind not in digest.copies:
            return False
        is_read = digest.copies[kind] > BEFORE_ALL
        return is_read or now - self._started < RELAY_WAIT_SECONDS

    def _is_relayed_to_follower(self, kind: str, copy: ObjectCopy, now: float) -> bool:
        """Return whether a copy of a follower is updated without calls to the store."""
        if self.relay.is_behind(kind, now):
            return False
        if copy is self.copy and (not copy.was_read or self.following.is_claiming(now)):
            return False
        if self.following.is_alive(now):
            is_told = not copy.is_optional or self._granter_tells(kind, now)
            return is_told and not self.probes.follower_reads
        if self.copy.unreachable_since is not None:
            return False
        if copy is self.copy:
            return self.following.has_pending_claim
        return not copy.was_read and now - self._started < RELAY_WAIT_SECONDS

    def _tick_keys(self, now: float) -> None:
        self._tick_leases(now)
        self._tick_moves(now)

    def _tick_leases(self, now: float) -> None:
        self.leases.tick(self._partitioned_services, now)

    def _tick_moves(self, now: float) -> None:
        self.moves.tick(self._partitioned_services, now)

    def granters(self, now: float) -> Collection[str] | None:
        """Return the names of all granters, if this instance has the right to grant.

        Returns None without that right, and if it does not rest on the store and others
        have had later records for some time.
        """
        evidence = self.fleet.grant_evidence(now)
        behind = self.relay.behind_seconds(FLEET_KIND, now)
        if evidence == "none":
            return None
        if evidence == "vouched" and behind >= MAX_RECORDS_BEHIND_SECONDS:
            return None
        return self.fleet.records.keys()

    def set_partitioned_services(self, services: list[str]) -> None:
        """Set the names of the services whose keys have owners."""
        self._partitioned_services = services

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_fleet_change(self) -> None:
        now = self._loop.time()
        self.fleet.update(now)
        self.leases.update_tables(now)
        self._tick_keys(now)

    # Eras of the store.

    def _on_era(self, before: int, learnt_by: str) -> None:
        now = self._loop.time()
        self.following.reclaims = self.fleet.registered or self.following.reclaims
        self.fleet.enter_era(self._store.era.current, now)
        self._digest_at = self._fleet_reported_at = -1e9  # The others check the store.

    def _check_reported_era(self, era: int, now: float) -> None:
        """Check the store if another instance reports a later era of it.

        What a report says of an era gives no right, and takes none.
        """
        if era <= self.fleet.era or now - self._era_checked_at < ERA_CHECK_SECONDS:
            return
        self._era_checked_at = now
        self.probes.check_now()

    # Records in the store.

    def _maintain_records(self, now: float) -> None:
        if self._writing_record or not self.copy.was_read or self.leases.stopping:
            return
        if not self.fleet.registered:
            if self.following.may_claim(self.copy, now):
                self._writing_record = True
                self._spawn(self._register())
            return
        right = self.fleet.due_right(now)
        if right is not None:
            self._writing_record = True
            known = self._stored_record(self.fleet.own_record)
            self._spawn(self._write_right(self.fleet.own_record, right, known))
            return
        for record in self.fleet.expired_records(now):
            if self.fleet.is_planner(record.name, now):
                self._writing_record = True
                self._spawn(self._remove_record(record, self._stored_record(record)))
                return
        if not self.fleet.has_store_contact(now):
            return
        for record in self.fleet.records_to_revoke(now):
            if self.fleet.is_planner(record.name, now):
                self._writing_record = True
                known = self._stored_record(record)
                self._spawn(self._write_right(record, StoreRight.REVOKED, known))
                return

    def _stored_record(self, record: InstanceRecord) -> StoredObject:
        return self.copy.objects[INSTANCE_PREFIX + record.name]

    async def _write_right(
        self, record: InstanceRecord, right: StoreRight, known: StoredObject
    ) -> None:
        """Write into a record whether reading the store gives the right to grant.

        `known` is the record as it was when that was decided: it may say since then
        that the instance lives.
        """
        spec = msgspec.to_builtins(record.with_right(right))
        try:
            item = await self._store.replace(
                FLEET_KIND, known.name, spec, known.revision
            )
            self.copy.adopt(item)
            self.fleet.update(self._loop.time())
            self._log.write("store_right", name=record.name, right=right.value)
        except ConflictError:
            self.copy.relist()
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        except PlatformError as exc:
            self._log.write_rate_limited(
                "store_right_unwritten", name=record.name, detail=str(exc)
            )
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        finally:
            self._writing_record = False

    def _log_earlier_life(self, known: StoredObject) -> None:
        """Log that an earlier process of this instance has not deregistered."""
        life = known.spec.get("life") if isinstance(known.spec, dict) else None
        if not self._registered_once and life != self.fleet.own_record.life:
            self._log.write("earlier_life_unended", life=life)

    async def _register(self) -> None:
        name = INSTANCE_PREFIX + self.fleet.own_record.name
        spec = msgspec.to_builtins(self.fleet.own_record.with_right(StoreRight.HELD))
        known = self.copy.objects.get(name)
        try:
            if known is None:
                item = await self._store.create(FLEET_KIND, name, spec)
                if not self._registered_once:
                    self.fleet.previous_incarnation_until = (
                        -NO_PREVIOUS_INCARNATION_SECONDS
                    )
            else:
                item = await self._store.replace(FLEET_KIND, name, spec, known.revision)
                self._log_earlier_life(known)
            self.copy.adopt(item)
            self.fleet.note_registered(self._loop.time())
            self.fleet.update(self._loop.time())
            self._registered_once, self.following.reclaims = True, False
            self._log.write("registered", life=self.fleet.own_record.life)
        except ConflictError:
            self.copy.relist()
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        except PlatformError as exc:
            self._log.write_rate_limited("register_failed", detail=str(exc))
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
        finally:
            self._writing_record = False

    async def _remove_record(self, record: InstanceRecord, known: StoredObject) -> None:
        try:
            await self._store.delete(FLEET_KIND, known.name, known.revision)
            self._log.write("instance_forgotten", name=record.name)
        except PlatformError as exc:
            self._log.write_rate_limited(
                "forget_failed", name=record.name, detail=str(exc)
            )
        finally:
            await asyncio.sleep(REGISTER_RETRY_SECONDS)
            self._writing_record = False

    # Reports between instances.

    def _make_report(
        self,
        loads: dict[str, dict[int, int]],
        in_flight: dict[str, int],
        *,
        vouches: bool,
    ) -> PeerReport:
        now = self._loop.time()
        times: dict[str, tuple[float, int]] = {}
        for service in loads:
            times.update(self._service_times(service, now))
        self._report_number += 1
        return PeerReport(
            instance=self.fleet.own_record.name,
            life=self.fleet.own_record.life,
            number=self._report_number,
            earlier_life_age=round(now - self.fleet.previous_incarnation_until, 3),
            tables=self.fleet.applied if self.fleet.registered else {},
            touch_age=self._touch_age(now),
            configuration=self._workload.known_revisions()[0],
            endpoints=self._workload.known_revisions()[1],
            in_flight=in_flight,
            leases=self.orders.lease_reports(now),
            vouches=vouches,
            strikes=self._workload.strikes(),
            key_loads=loads,
            service_times=times,
            instances=1 + len(self.followers.alive(now)),
            copies=self.relay.revisions(),
            leaving_endpoints=self._workload.leaving_endpoints(),
            era=self.fleet.era,
            era_ages=self.fleet.eras.ages(now),
            right_since=self.fleet.right_since,
            unknown_write=self.moves.has_unknown_write(),
            refused=self.leases.refused_grants(now),
        )

    def _take_samples(self) -> dict[str, Samples]:
        """Return the samples of endpoints' answers that are due."""
        if self.rooms is None:
            return {}
        digest = self.following.digest
        # Those that report to the same granters as this instance.
        senders = 1 if digest is None else digest.followers
        if self.fleet.registered:
            senders = self.fleet.zone_size - 1
        return self.rooms.take_samples(self._loop.time(), senders)

    def _touch_age(self, now: float) -> float:
        """Return for how long the store has answered; negative if it does not."""
        return round(
            min(
                self._workload.connected_seconds(now), self.copy.connected_seconds(now)
            ),
            3,
        )

    def _in_flight(self) -> dict[str, int]:
        """Return the requests of this instance and its followers, by endpoint."""
        return self.followers.add_in_flight(
            self._workload.in_flight(), self._loop.time()
        )

    def _service_times(self, service: str, now: float) -> dict[str, tuple[float, int]]:
        return self.followers.add_service_times(
            self._workload.service_times(service), now
        )

    def zones(self) -> set[str]:
        """Return the availability zones of this instance and of the granters."""
        own = self.fleet.own_record.zone
        return {own, *(record.zone for record in self.fleet.records.values())}

    def instance_count(self, zone: str | None = None) -> int:
        """Return the number of instances of a zone or of the whole fleet."""
        now = self._loop.time()
        if not self.fleet.registered:
            digest = self.following.digest
            return digest.instances if digest else max(1, len(self.fleet.records))
        count = 1 + sum(
            zone in (None, follower.report.zone)
            for follower in self.followers.alive(now)
        )
        for record in self.fleet.alive(now)[1:]:
            if zone in (None, record.zone):
                count += self.peers.peers[record.name].report.instances
        return count

    def report_if_due(self) -> None:
        """Send a regular report if one is due; called by a timer."""
        now = self._loop.time()
        if not self.fleet.registered:
            if now - self._fleet_reported_at >= self.following.report_seconds:
                self.report_to_granter()
            return
        revisions = self._relayed_revisions()
        has_news = revisions != self._told_revisions
        has_urgent_news = any(
            self.relay.copies[kind].is_optional
            and revision != self._told_revisions.get(kind)
            for kind, revision in revisions.items()
        )
        self._told_revisions = revisions
        if has_news or now - self._digest_at >= FOLLOWER_REPORT_SECONDS:
            self._digest_at = now
            self._send_digest(self.followers.addresses())
        fleet_size = len(self.fleet.records)
        period = FLEET_REPORT_SECONDS_PER_INSTANCE * fleet_size
        period = min(max(FLEET_REPORT_SECONDS, period), MAX_FLEET_REPORT_SECONDS)
        # The other zones have to act on some kinds within a bound, and their own
        # watchers may lag.
        is_urgent = has_urgent_news and self.fleet.is_reader(now)
        if is_urgent or now - self._fleet_reported_at >= period:
            self.report_to_fleet()
            return
        if has_news and self.fleet.is_zone_watcher(now):
            # Its zone learns later objects from this instance.
            self.report_to_zone()
            return
        period = ZONE_REPORT_SECONDS_PER_INSTANCE * self.fleet.zone_size
        if self.followers.alive(now):
            period = max(period, FLEET_REPORT_SECONDS)
        if now - self._zone_reported_at >= max(ZONE_REPORT_SECONDS, period):
            self.report_to_zone()

    def _relayed_revisions(self) -> dict[str, StorePoint]:
        """Return by kind the revisions of objects that others learn from reports only.

        Key tables are sent to others when they change.
        """
        revisions = self.relay.revisions()
        del revisions[FLEET_KIND]
        return revisions

    def report_to_zone(self) -> None:
        """Send a report to this instance's zone if load or revisions have changed."""
        self._zone_reported_at = self._loop.time()
        load = self._in_flight()
        revisions = (
            *self._workload.known_revisions(),
            *self._relayed_revisions().values(),
            *self.fleet.applied.values(),
        )
        if (load, revisions) == self._last_zone_state:
            return
        self._last_zone_state = (load, revisions)
        self._send_reports(load, self.fleet.own_record.zone)

    def report_to_fleet(self) -> None:
        """Send a report to all granters, or to the one that this instance follows."""
        if not self.fleet.registered:
            self.report_to_granter()
            return
        self._fleet_reported_at = self._zone_reported_at = self._loop.time()
        self._send_reports(self._in_flight(), None)

    def report_to_granter(self) -> None:
        """Send a report to the granter that this instance follows."""
        now = self._fleet_reported_at = self._loop.time()
        granter = self.following.target(now)
        if granter is None:
            return
        loads, times = {}, {}
        if self._demand_due:
            self._demand_due = False
            for service in self._partitioned_services:
                loads[service] = self.demand.report(service)
                times.update(self._workload.service_times(service))
        self._report_number += 1
        self._reported_in_flight = self._workload.in_flight()
        record = self.fleet.own_record
        report = FollowerReport(
            record.name,
            record.life,
            self._report_number,
            record.zone,
            self._reported_in_flight,
            self._workload.strikes(),
            loads,
            times,
            self._workload.leaving_endpoints(),
        )
        samples = self._take_samples()
        if samples:
            report = SampledFollowerReport(
                **msgspec.structs.asdict(report), samples=samples
            )
        self.peers.send(report, [granter])

    def _send_digest(self, targets: list[Address]) -> None:
        if not targets:
            return
        now = self._loop.time()
        touch_age = self._touch_age(now)
        self._report_number += 1
        digest = FleetDigest(
            instance=self.fleet.own_record.name,
            life=self.fleet.own_record.life,
            number=self._report_number,
            copies=self.relay.revisions(),
            tables=self.fleet.applied,
            touch_age=touch_age,
            in_flight=self._workload.fleet_in_flight(),
            followers=len(self.followers.alive(now)),
            instances=self.instance_count(),
            wanted_granters=wanted_granters(
                self.instance_count(self.fleet.own_record.zone)
            ),
            # Another granter that can read the store serves the followers better. After
            # an outage granters regain the store one after the other, and followers
            # must not gather at the first.
            leaving=self.leases.stopping
            or (
                touch_age < 0 and self.fleet.peer_contact_seconds(now) >= REGAIN_SECONDS
            ),
            strikes=self._workload.strikes(),
            without_contact=tuple(self._lost_contact & self.fleet.records.keys()),
            leaving_endpoints=self._workload.leaving_endpoints(),
        )
        figures = () if self.rooms is None else self.rooms.figures_to_tell()
        if figures:
            digest = FigureDigest(**msgspec.structs.asdict(digest), rooms=figures)
        self.peers.send(digest, targets)

    def _send_reports(self, load: dict[str, int], zone: str | None) -> None:
        demand = self._due_demand() if zone is None else {}
        samples = self._take_samples()
        for vouched in (True, False):
            targets = self.fleet.targets(vouched=vouched, zone=zone)
            for planner, loads in demand.items():
                if planner in targets:
                    targets.remove(planner)
                    report = self._make_report(loads, load, vouches=vouched)
                    self._send_report(report, [planner], samples)
            if targets:
                report = self._make_report({}, load, vouches=vouched)
                self._send_report(report, targets, samples)

    def _send_report(
        self, report: PeerReport, targets: list[Address], samples: dict[str, Samples]
    ) -> None:
        """Send a report, with the samples to the granters of this zone only.

        Reports across zones are priced by the byte.
        """
        if samples:
            zone = self.fleet.own_record.zone
            near = {
                Address(record.host, record.port)
                for record in self.fleet.others()
                if record.zone == zone
            }
            fields = msgspec.structs.asdict(report)
            extended = SampledReport(**fields, samples=samples)
            self.peers.send(extended, [target for target in targets if target in near])
            targets = [target for target in targets if target not in near]
        self.peers.send(report, targets)

    def decay_demand(self) -> None:
        """Decay the demand, and send it to the planners with the next report."""
        self.demand.decay()
        self._demand_due = True

    def _due_demand(self) -> dict[Address, dict[str, dict[int, int]]]:
        """Return the demand by address of the planner, once per decay period."""
        if not self._demand_due:
            return {}
        self._demand_due = False
        result: dict[Address, dict[str, dict[int, int]]] = {}
        for service in self._partitioned_services:
            planner = self.fleet.planner(service, self._loop.time())
            address = Address(planner.host, planner.port)
            result.setdefault(address, {})[service] = self._local_demand(service)
        return result

    def _local_demand(self, service: str) -> dict[int, int]:
        """Return the demand by key at this instance and its followers."""
        return self.followers.add_demand(
            service, self.demand.report(service), self._loop.time()
        )

    def _on_table_change(self, stored: StoredTable) -> None:
        self.moves.track_table(stored, self._loop.time())
        self._send_table_changes(stored)
        if self.fleet.registered and any(
            key_range.leaving for key_range in stored.table.ranges
        ):
            self._report_applied(stored.table.service)

    def _send_table_changes(self, stored: StoredTable) -> None:
        """Send a new table to those that learn it from this instance.

        The planner sends the tables that it has stored to all granters, and each
        granter sends them to its followers. Lost messages are requested again.
        """
        if not self.fleet.registered:
            return
        service = stored.table.service
        targets = self.followers.addresses()
        if self.fleet.is_planner(service, self._loop.time()):
            targets += [Address(r.host, r.port) for r in self.fleet.others()]
        message = self.leases.latest_changes(service)
        if message is not None:
            self.peers.send(message, targets)

    def _report_applied(self, service: str) -> None:
        """Report an applied table to the planner at once, because moves wait for it."""
        planner = self.fleet.planner(service, self._loop.time())
        if planner is not self.fleet.own_record:
            report = self._make_report(
                {}, self._in_flight(), vouches=self.fleet.vouches_for(planner)
            )
            self.peers.send(report, [Address(planner.host, planner.port)])

    def _loads_of(self, service: str) -> dict[int, float]:
        reports = [self._local_demand(service)]
        reports += [
            peer.loads[service]
            for peer in self.peers.alive(self._loop.time())
            if service in peer.loads
        ]
        return key_demand.sum_reports(reports)

    def _has_recent_demand(self, service: str) -> bool:
        """Return whether most live instances reported their demand recently.

        An instance that has just become the planner knows only its own demand.
        """
        now = self._loop.time()
        recent = [
            service in peer.loads and now - peer.loads_at < MAX_DEMAND_AGE_SECONDS
            for peer in self.peers.alive(now)
            if peer.report.instance in self.fleet.records
        ]
        return sum(recent) >= MIN_RECENT_DEMAND_SHARE * len(recent)

    def _capacities_of(self, service: str) -> dict[str, float]:
        """Return the requests per second that each endpoint can serve."""
        now = self._loop.time()
        measured = [self._service_times(service, now)]
        measured += [p.service_times for p in self.peers.alive(now)]
        return key_demand.capacities(
            [e for e in self.leases.endpoints.values() if e.service == service],
            measured,
            None if self.rooms is None else self.rooms.rooms,
        )

    def _on_message(self, message: SyncMessage, source: Address) -> None:
        now = self._loop.time()
        match message:
            case TableTransfer():
                table = StoredTable(message.table, message.revision)
                self.leases.adopt_table(table, now)
                self._tick_keys(now)
            case TableChanged():
                stored = self.leases.resolve_changes(message)
                if stored is not None:
                    self.leases.adopt_table(stored, now)
                    self._tick_keys(now)
            case TableRequest():
                reply = self.leases.table_reply(message)
                if reply is not None:
                    self.peers.send(reply, [source])
            case CopyRequest():
                self.relay.send_changes(message, source, now)
            case CopyTransfer():
                self.relay.use_transfer(message, source, now)
            case TransferPiece():
                self.relay.accept_piece(message, source, now)
            case PieceRequest():
                self.relay.send_pieces(message, source, now)
            case FollowerReport():
                self._on_follower_report(message, source, now)
            case FleetDigest():
                self._on_digest(message, source, now)

    def _on_follower_report(
        self, report: FollowerReport, source: Address, now: float
    ) -> None:
        if not self.fleet.registered:
            return
        is_new = self.followers.accept(report, source, now)
        self._workload.apply_follower(report)
        if (
            self.rooms is not None
            and isinstance(report, SampledFollowerReport)
            and self.followers.holds(report)
        ):
            self.rooms.add_follower(report.samples)
        if is_new:
            self._send_digest([source])

    def _on_digest(self, digest: FleetDigest, source: Address, now: float) -> None:
        if self.fleet.registered or not self.following.accept(digest, source, now):
            return
        self._update_watch_modes(now)
        for copy in self.relay.copies.values():
            if copy.parked:
                copy.note_relayed_contact(digest.touch_age, now)
        self.relay.request_changes(digest.copies, source, now)
        self._request_tables(digest.tables, source, 0.0, now)
        self._workload.apply_digest(digest, self._reported_in_flight)
        if self.rooms is not None and isinstance(digest, FigureDigest):
            self.rooms.apply(digest.rooms, now)

    def _relay_sources(self) -> list[Address]:
        """Return the granters that may send copies, those of the own zone first."""
        own = self.fleet.own_record
        records = sorted(
            self.fleet.others(),
            key=lambda r: (r.zone != own.zone, rank_hash(own.name, r.name)),
        )
        return [Address(r.host, r.port) for r in records]

    def _request_tables(
        self, tables: dict[str, StorePoint], source: Address, delay: float, now: float
    ) -> None:
        """Request later tables from an instance that has had them for some time.

        `delay` in seconds is how long the store has to send them first.
        """
        for service, revision in tables.items():
            applied = self.fleet.applied.get(service, BEFORE_ALL)
            if revision <= applied:
                continue
            # Reports of instances that are behind as well must not delay the request.
            known, since = self._behind_since.get(service, (None, now))
            if known != applied:
                since = now
            if now - since >= delay:
                since = now
                self.peers.send(TableRequest(service, applied), [source])
            self._behind_since[service] = (applied, since)

    def _on_report(self, report: PeerReport, source: Address) -> None:
        now = self._loop.time()
        self._check_reported_era(report.era, now)
        if report.touch_age >= 0:
            self._lost_contact.discard(report.instance)
        elif report.instance not in self._lost_contact:
            # This instance may have to watch next, and the store may be silent towards
            # it as well.
            self._lost_contact.add(report.instance)
            self.probes.wanted = True
        delay = 0.0
        if self.copy.unreachable_since is None:
            delay += TABLE_REQUEST_DELAY_SECONDS
        record = self.fleet.records.get(report.instance)
        if record is None or record.zone != self.fleet.own_record.zone:
            delay += OTHER_ZONE_EXTRA_DELAY_SECONDS
        self._request_tables(report.tables, source, delay, now)
        self.relay.request_missing(source, now)
        self._request_copies(report, record, source, now)
        self.leases.record_renewals(report, now)
        self._workload.apply_report(report)
        if self.rooms is not None and isinstance(report, SampledReport):
            self.rooms.add_granter(report.samples, now)

    def _request_copies(
        self,
        report: PeerReport,
        record: InstanceRecord | None,
        source: Address,
        now: float,
    ) -> None:
        """Request changes of the copies that this granter does not watch."""
        is_same_zone = record is not None and record.zone == self.fleet.own_record.zone
        for kind, copy in self.relay.copies.items():
            # A copy that is read because it is behind still takes what arrives first.
            if not (copy.parked or copy.is_optional or self.relay.is_behind(kind, now)):
                continue
            # The watcher of the zone may have lost the store without noticing.
            delay = OTHER_ZONE_EXTRA_DELAY_SECONDS
            if is_same_zone or copy is self.copy:
                delay = 0.0
            if not copy.parked and copy.is_optional:
                delay = 0.0 if copy.may_lag else BEHIND_TOLERANCE_SECONDS
            revisions = {kind: report.copies.get(kind, BEFORE_ALL)}
            self.relay.request_changes(revisions, source, now, delay)

    async def leave(self, timeout: float) -> None:
        """Remove this instance's record, so that no move waits for this instance.

        The record stays if a grant without an answer may still take effect.
        """
        self.probes.close()
        name = INSTANCE_PREFIX + self.fleet.own_record.name
        item = self.copy.objects.get(name)
        try:
            async with asyncio.timeout(timeout):
                unconfirmed = self.orders.may_have_unconfirmed_lease(self._loop.time())
                if item is not None and self.fleet.registered and not unconfirmed:
                    await self._store.delete(FLEET_KIND, name, item.revision)
        except (PlatformError, TimeoutError) as exc:
            self._log.write("leave_unrecorded", detail=repr(exc))
