"""Process of one entry instance on the platform: wiring, timers, start and stop."""

import asyncio
import pathlib
import random
import signal
from collections.abc import Callable, Coroutine

import msgspec

from arbutusflow.domain.body_budget import BodyBudget
from arbutusflow.domain.crash_guard import CrashGuard
from arbutusflow.domain.errors import (
    ConfigurationError,
    ConflictError,
    PlatformError,
    SettingsError,
)
from arbutusflow.gateway import key_demand
from arbutusflow.gateway.admission import Admission
from arbutusflow.gateway.caller_server import CallerRequest, CallerServer, Reply
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.dispatch import Dispatcher
from arbutusflow.gateway.endpoint_directory import EndpointDirectory
from arbutusflow.gateway.endpoint_load import EndpointTable
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import (
    FLEET_KIND,
    INSTANCE_PREFIX,
    STALL_SECONDS,
    Fleet,
    InstanceRecord,
)
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.key_table import StoredTable
from arbutusflow.gateway.metrics import GatewayMetrics
from arbutusflow.gateway.model import Address, Configuration, Endpoint, GatewaySettings
from arbutusflow.gateway.peers import (
    PeerReport,
    PeerReports,
    StrikeReport,
    TableAsked,
    TableTold,
)
from arbutusflow.gateway.retry_budget import RetryBudget
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform import wire
from arbutusflow.platform.documents import decode_configuration
from arbutusflow.platform.store import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINTS_KIND,
    StoreClient,
)
from arbutusflow.runtime.timers import TimerService

TICK_SECONDS = 0.05
ZONE_REPORT_SECONDS = 0.05  # Load reports inside a zone cost next to nothing.
FLEET_REPORT_SECONDS = 0.3  # Reports across zones are priced by the byte.
PRUNE_SECONDS = 1.0
SETTINGS_CHECK_SECONDS = 1.0
# A waiting watch is one call; a connection that lost its path is found by TCP
# keep-alive, so the wait only bounds what one lost answer costs.
WATCH_SECONDS = 15.0
# Wait of the fleet's watch while the right to grant rests on it.
FLEET_WATCH_SECONDS = 1.0
BODY_MEMORY_FRACTION = 0.3
# The platform takes an instance out of rotation after two readiness checks, one a
# second; a connection opened until then is served.
ROTATION_SECONDS = 2.6
STOP_MARGIN_SECONDS = 0.4  # Before SIGKILL.
REGISTER_PAUSE_SECONDS = 0.3
# The store tells of a change within some milliseconds.
TABLE_ASK_SECONDS = 0.1
REPORTED_STRIKES = 8
NO_EARLIER_LIFE_SECONDS = 1e6  # Longer ago than any lease lasts.


class Gateway:
    """All parts of one process."""

    def __init__(self, cfg: GatewaySettings, path: pathlib.Path) -> None:
        self._loop = asyncio.get_running_loop()
        self._cfg = cfg
        self._path = path
        self._settings_text = _read(path)
        self._rng = random.Random()
        self._started = self._loop.time()
        self._last_tick = self._started
        self._stopping_since: float | None = None
        self._ended = asyncio.Event()
        self._number = 0
        self._strikes: list[StrikeReport] = []
        self._strike_count = 0
        self._adopted_strikes: dict[str, int] = {}
        self._sent_load: dict[str, int] = {}
        self._registering = False
        self._registered_once = False
        self._behind: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._configuration: Configuration | None = None
        self.log = EventLog(cfg.instance)
        self.metrics = GatewayMetrics()
        self._build()

    def _build(self) -> None:
        cfg, log, now = self._cfg, self.log, self._loop.time()
        life = self._rng.getrandbits(48)
        me = InstanceRecord(cfg.instance, life, cfg.peer_host, cfg.peer_port, cfg.zone)
        self.store = StoreClient(cfg.store_address)
        self.peers = PeerReports(
            cfg.instance, self._on_report, self._on_table_message, log
        )
        self.fleet_copy = ObjectCopy(
            self.store, FLEET_KIND, WATCH_SECONDS, self._on_fleet, log
        )
        self.config_copy = ObjectCopy(
            self.store, CONFIGURATION_KIND, WATCH_SECONDS, self._on_configuration, log
        )
        self.endpoint_copy = ObjectCopy(
            self.store, ENDPOINTS_KIND, WATCH_SECONDS, self._on_endpoints, log
        )
        self.fleet = Fleet(me, self.fleet_copy, self.peers, now)
        self.endpoints = EndpointTable(cfg.zone)
        self.directory = EndpointDirectory(
            self.endpoint_copy, self.fleet.store_answers_for, log
        )
        self.pool = ConnectionPool(wire.REQUEST_ID)
        self.leases = KeyLeases(
            self.fleet,
            self.fleet_copy,
            self.store,
            self.peers,
            ConnectionPool(wire.REQUEST_ID),
            log,
            cfg.max_lease_seconds,
        )
        self.leases.loads_of = self._loads_of
        self.leases.capacity_of = self._capacity_of
        self.demand = key_demand.KeyDemand()
        self.guard = CrashGuard()
        self.budget = RetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_seconds
        )
        self.dispatcher = Dispatcher(
            endpoints=self.endpoints,
            pool=self.pool,
            leases=self.leases,
            admission=Admission(self.endpoints, self._rng),
            budget=self.budget,
            demand=self.demand,
            guard=self.guard,
            log=log,
            instances=lambda: len(self.fleet.records) or 1,
            on_strike=self._on_strike,
            count=self.metrics.count,
            observe=self.metrics.observe,
        )
        body_bytes = int(cfg.memory_bytes * BODY_MEMORY_FRACTION)
        self.callers = CallerServer(
            self.dispatcher.handle, BodyBudget(lambda: body_bytes)
        )
        self.readiness = CallerServer(self._readiness, BodyBudget(lambda: 0))

    # Running.

    async def run(self) -> None:
        """Serve until SIGTERM. Raises OSError if an address is taken."""
        cfg = self._cfg
        for number, action in (
            (signal.SIGTERM, self._stop),
            (signal.SIGINT, self._stop),
            (signal.SIGHUP, self._reload),
        ):
            self._loop.add_signal_handler(number, action)
        await self._loop.create_datagram_endpoint(
            lambda: self.peers, local_addr=(cfg.peer_host, cfg.peer_port)
        )
        await self.callers.start(cfg.caller_address.host, cfg.caller_address.port)
        await self.readiness.start(
            cfg.readiness_address.host, cfg.readiness_address.port
        )
        if cfg.metrics_port is not None:
            metrics = CallerServer(self._metrics, BodyBudget(lambda: 0))
            await metrics.start(cfg.peer_host, cfg.metrics_port)
        self.log.write("started", zone=cfg.zone, life=self.fleet.me.life)
        timers = TimerService(self._loop, self.log.write_exception)
        for period, callback in self._subscriptions():
            timers.subscribe(period, callback)
        for copy in (self.config_copy, self.endpoint_copy, self.fleet_copy):
            self._start(copy.run())
        await self._ended.wait()
        self.log.write("stopped", dropped_lines=self.log.dropped)

    def _subscriptions(self) -> list[tuple[float, Callable[[], None]]]:
        return [
            (TICK_SECONDS, self._tick),
            (ZONE_REPORT_SECONDS, self._report_to_zone),
            (FLEET_REPORT_SECONDS, self._report_to_fleet),
            (key_demand.PERIOD_SECONDS, self._report_demand),
            (PRUNE_SECONDS, self.pool.prune),
            (SETTINGS_CHECK_SECONDS, self._reload),
        ]

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tick(self) -> None:
        now = self._loop.time()
        if now - self._last_tick > STALL_SECONDS:
            self.log.write("stalled", seconds=round(now - self._last_tick, 3))
            self.fleet.note_stall(now)
        self._last_tick = now
        if self.directory.settle(now):
            self._use_endpoints(now)
        self.fleet.exclude_silent(now)
        self.fleet_copy.wait_seconds = (
            WATCH_SECONDS if self.fleet.is_vouched_for(now) else FLEET_WATCH_SECONDS
        )
        self._maintain_records(now)
        self._tick_leases(now)
        if self._stopping_since is not None:
            self._continue_stop(now)

    def _tick_leases(self, now: float) -> None:
        if self._configuration is not None:
            keyed = [s.name for s in self._configuration.services.values() if s.keyed]
            self.leases.tick(keyed, now)

    # What arrives from the store.

    def _on_configuration(self) -> None:
        item = self.config_copy.objects.get(CONFIGURATION_NAME)
        if item is None:
            return
        try:
            cfg = decode_configuration(item.spec)
        except ConfigurationError as exc:
            self.log.write("configuration_rejected", detail=str(exc))
            return
        known = self._configuration
        if known is not None and cfg.version <= known.version:
            return
        self._configuration = cfg
        self.callers.limits = cfg.limits
        self.dispatcher.use(cfg)
        self.log.write("configuration", version=cfg.version, routes=len(cfg.routes))

    def _on_endpoints(self) -> None:
        self.directory.update(self._loop.time())
        self._use_endpoints(self._loop.time())

    def _use_endpoints(self, now: float) -> None:
        self.endpoints.update(self.directory.endpoints, now)
        self.leases.update_endpoints(self.directory.endpoints)

    def _on_fleet(self) -> None:
        now = self._loop.time()
        self.fleet.update(now)
        self.leases.update_tables(now)
        self._tick_leases(now)

    # Records in the store.

    def _maintain_records(self, now: float) -> None:
        if self._registering or not self.fleet_copy.known or self._stopping_since:
            return
        if not self.fleet.registered:
            self._registering = True
            self._start(self._register())
            return
        for record in self.fleet.forgotten(now):
            if self.fleet.is_planner(record.name, now):
                self._registering = True
                self._start(self._forget(record))
                return

    async def _register(self) -> None:
        name = INSTANCE_PREFIX + self.fleet.me.name
        spec = msgspec.to_builtins(self.fleet.me)
        known = self.fleet_copy.objects.get(name)
        try:
            if known is None:
                item = await self.store.create(FLEET_KIND, name, spec)
                if not self._registered_once:
                    self.fleet.earlier_life_until = -NO_EARLIER_LIFE_SECONDS
            else:
                item = await self.store.replace(FLEET_KIND, name, spec, known.revision)
            self.fleet_copy.adopt(item)
            self.fleet.update(self._loop.time())
            self._registered_once = True
            self.log.write("registered", life=self.fleet.me.life)
        except ConflictError:
            self.fleet_copy.read_again()
            await asyncio.sleep(REGISTER_PAUSE_SECONDS)
        except PlatformError as exc:
            self.log.sample("register_failed", detail=str(exc))
            await asyncio.sleep(REGISTER_PAUSE_SECONDS)
        finally:
            self._registering = False

    async def _forget(self, record: InstanceRecord) -> None:
        name = INSTANCE_PREFIX + record.name
        item = self.fleet_copy.objects.get(name)
        try:
            if item is not None:
                await self.store.delete(FLEET_KIND, name, item.revision)
                self.log.write("instance_forgotten", name=record.name)
        except PlatformError as exc:
            self.log.sample("forget_failed", name=record.name, detail=str(exc))
        finally:
            await asyncio.sleep(REGISTER_PAUSE_SECONDS)
            self._registering = False

    # Reports between instances.

    def _report(
        self,
        loads: dict[str, dict[int, int]],
        in_flight: dict[str, int],
        *,
        vouches: bool,
    ) -> PeerReport:
        now = self._loop.time()
        self._number += 1
        return PeerReport(
            instance=self.fleet.me.name,
            life=self.fleet.me.life,
            number=self._number,
            zone=self.fleet.me.zone,
            earlier_life_age=round(now - self.fleet.earlier_life_until, 3),
            tables=self.fleet.applied if self.fleet.registered else {},
            touch_age=round(self.endpoint_copy.touch_age(now), 3),
            in_flight=in_flight,
            leases=self.leases.lease_reports(now),
            vouches=vouches,
            strikes=tuple(self._strikes[-REPORTED_STRIKES:]),
            key_loads=loads,
        )

    def _in_flight(self) -> dict[str, int]:
        return {
            name: state.own
            for name, state in self.endpoints.states.items()
            if state.own
        }

    def _report_to_zone(self) -> None:
        load = self._in_flight()
        if load == self._sent_load:
            return
        self._sent_load = load
        self._send_reports(load, self.fleet.me.zone)

    def _report_to_fleet(self) -> None:
        self._send_reports(self._in_flight(), None)

    def _send_reports(self, load: dict[str, int], zone: str | None) -> None:
        for vouched in (True, False):
            targets = self.fleet.targets(vouched=vouched, zone=zone)
            if targets:
                self.peers.send(self._report({}, load, vouches=vouched), targets)

    def _report_demand(self) -> None:
        self.demand.decay()
        if self._configuration is None:
            return
        now = self._loop.time()
        for service in self._configuration.services.values():
            if not service.keyed or self.fleet.is_planner(service.name, now):
                continue
            report = self._report(
                {service.name: self.demand.report(service.name)},
                self._in_flight(),
                vouches=False,
            )
            planner = self.fleet.planner(service.name, now)
            self.peers.send(report, [Address(planner.host, planner.port)])

    def _loads_of(self, service: str) -> dict[int, float]:
        reports = [self.demand.report(service)]
        reports += [
            peer.loads[service]
            for peer in self.peers.alive(self._loop.time())
            if service in peer.loads
        ]
        return key_demand.sum_reports(reports)

    def _capacity_of(self, endpoint: Endpoint) -> float:
        state = self.endpoints.states.get(endpoint.id)
        return state.capacity() if state is not None else float(endpoint.slots)

    def _on_table_message(
        self, message: TableAsked | TableTold, source: Address
    ) -> None:
        now = self._loop.time()
        if isinstance(message, TableTold):
            self.leases.adopt_table(StoredTable(message.table, message.revision), now)
            self._tick_leases(now)
            return
        stored = self.leases.tables.get(message.service)
        if stored is not None:
            self.peers.send(TableTold(stored.table, stored.revision), [source])

    def _ask_for_tables(self, report: PeerReport, source: Address, now: float) -> None:
        """Ask a peer for later tables that the store has not told in time."""
        for service, revision in report.tables.items():
            if revision <= self.fleet.applied.get(service, 0):
                self._behind.pop(service, None)
            elif now - self._behind.setdefault(service, now) >= TABLE_ASK_SECONDS:
                self._behind[service] = now
                self.peers.send(TableAsked(service), [source])

    def _on_report(self, report: PeerReport, source: Address) -> None:
        now = self._loop.time()
        self._ask_for_tables(report, source, now)
        for name, state in self.endpoints.states.items():
            count = report.in_flight.get(name, 0)
            if count or report.instance in state.peers:
                state.peers[report.instance] = (count, now)
        last = self._adopted_strikes.get(report.instance, 0)
        for strike in report.strikes:
            if strike.number > last:
                self.guard.strike({strike.digest: ("", 0)}, now)
                last = strike.number
        self._adopted_strikes[report.instance] = last

    def _on_strike(self, digest: bytes) -> None:
        self._strike_count += 1
        # Numbers of an earlier life of this instance are lower.
        number = int(self._started * 1000) + self._strike_count
        self._strikes.append(StrikeReport(number, digest))
        self.log.write("request_struck", digest=digest.hex())
        self._report_to_fleet()

    # Readiness and metrics.

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return (
            self._stopping_since is None
            and self._configuration is not None
            and self.endpoint_copy.known
        )

    async def _readiness(self, req: CallerRequest) -> Reply:
        if req.target != wire.READINESS_PATH:
            return Reply(404)
        return Reply(200 if self.ready else 503)

    async def _metrics(self, req: CallerRequest) -> Reply:
        self.metrics.set("store_calls", self.store.calls)
        self.metrics.set("connections_opened", self.pool.opened)
        self.metrics.set("log_lines_dropped", self.log.dropped)
        return Reply(200, ((b"Content-Type", b"text/plain"),), self.metrics.text())

    # Settings and stop.

    def _reload(self) -> None:
        text = _read(self._path)
        if text == self._settings_text:
            return
        self._settings_text = text
        from arbutusflow.platform.settings import load_settings

        try:
            cfg = load_settings(self._path)
        except SettingsError as exc:
            self.log.write("settings_rejected", detail=str(exc))
            return
        self._cfg = cfg
        self.budget.set_bounds(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_seconds
        )
        self.log.write("settings_reloaded")

    def _stop(self) -> None:
        if self._stopping_since is None:
            self._stopping_since = self._loop.time()
            self.leases.stopping = True
            self.callers.announce_stop()
            self.log.write("stopping", active=self.callers.active)

    def _continue_stop(self, now: float) -> None:
        assert self._stopping_since is not None
        elapsed = now - self._stopping_since
        if elapsed < ROTATION_SECONDS:
            return
        self.callers.close_idle()
        deadline = self._cfg.stop_seconds - STOP_MARGIN_SECONDS
        if not self.callers.active or elapsed >= deadline:
            self.callers.stop_accepting()
            if not self._registering:
                self._registering = True
                self._start(self._leave())

    async def _leave(self) -> None:
        """Remove the own record, so that nobody waits for this instance."""
        name = INSTANCE_PREFIX + self.fleet.me.name
        item = self.fleet_copy.objects.get(name)
        try:
            async with asyncio.timeout(STOP_MARGIN_SECONDS / 2):
                unanswered = self.leases.has_unanswered(self._loop.time())
                if item is not None and self.fleet.registered and not unanswered:
                    await self.store.delete(FLEET_KIND, name, item.revision)
        except (PlatformError, TimeoutError) as exc:
            self.log.write("leave_unrecorded", detail=repr(exc))
        self._ended.set()


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""  # Replaced at this moment; the next check reads it.


def run_gateway(cfg: GatewaySettings, path: pathlib.Path) -> None:
    """Run an instance until SIGTERM."""

    async def main() -> None:
        await Gateway(cfg, path).run()

    asyncio.run(main())
