"""Process of one entry instance on the platform: wiring, timers, start and stop."""

import asyncio
import collections
import pathlib
import random
import signal
from collections.abc import Callable, Coroutine

from arbutusflow.domain.body_budget import BodyBudget
from arbutusflow.domain.crash_guard import CrashGuard
from arbutusflow.domain.errors import (
    ConfigurationError,
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
    InstanceRecord,
)
from arbutusflow.gateway.fleet_task import (
    WATCH_SECONDS,
    ZONE_REPORT_SECONDS,
    FleetTask,
)
from arbutusflow.gateway.metrics import GatewayMetrics
from arbutusflow.gateway.model import Configuration, GatewaySettings
from arbutusflow.gateway.peers import (
    PeerReport,
    StrikeReport,
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
PRUNE_SECONDS = 1.0
# Part of an endpoint's cap that all instances together may hold idle; the rest is for
# connections in use and for the next life of the fleet.
IDLE_SHARE = 0.35
SETTINGS_CHECK_SECONDS = 1.0
# Entries of endpoints change in groups, most of all when all start; a leaving endpoint
# goes on to serve for two seconds.
GATHER_SECONDS = 0.25
BODY_MEMORY_FRACTION = 0.3
# The platform takes an instance out of rotation after two readiness checks, one a
# second; a connection opened until then is served.
ROTATION_SECONDS = 2.6
STOP_MARGIN_SECONDS = 0.4  # Before SIGKILL.
# Strikes are repeated in all reports of this time, because datagrams are lost.
STRIKE_REPORT_SECONDS = 3.0
MAX_REPORTED_STRIKES = 8  # Bounds the size of a report.


class Gateway:
    """All parts of one process."""

    def __init__(self, cfg: GatewaySettings, path: pathlib.Path) -> None:
        self._loop = asyncio.get_running_loop()
        self._cfg = cfg
        self._path = path
        self._settings_text = _read(path)
        self._rng = random.Random()
        self._started = self._loop.time()
        self._stopping_since: float | None = None
        self._ended = asyncio.Event()
        self._strikes: collections.deque[tuple[float, StrikeReport]] = (
            collections.deque(maxlen=MAX_REPORTED_STRIKES)
        )
        self._strike_count = 0
        self._adopted_strikes: dict[str, int] = {}
        self._leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._configuration: Configuration | None = None
        self.log = EventLog(cfg.instance)
        self.metrics = GatewayMetrics()
        self._build()

    def _build(self) -> None:
        cfg, log = self._cfg, self.log
        self.store = StoreClient(cfg.store_address)
        self.config_copy = ObjectCopy(
            self.store, CONFIGURATION_KIND, WATCH_SECONDS, self._on_configuration, log
        )
        self.endpoint_copy = ObjectCopy(
            self.store, ENDPOINTS_KIND, WATCH_SECONDS, self._on_endpoints, log
        )
        self.endpoint_copy.coalesce_seconds = GATHER_SECONDS
        self.config_copy.retry_leader = self.endpoint_copy
        self.endpoints = EndpointTable(cfg.zone, cfg.drain_seconds)
        life = self._rng.getrandbits(48)
        self.membership = FleetTask(
            InstanceRecord(cfg.instance, life, cfg.peer_host, cfg.peer_port, cfg.zone),
            self.store,
            ConnectionPool(wire.REQUEST_ID),
            {
                CONFIGURATION_KIND: self.config_copy,
                ENDPOINTS_KIND: self.endpoint_copy,
            },
            self,
            log,
            cfg.max_lease_seconds,
        )
        self.membership.copy.retry_leader = self.endpoint_copy
        self.directory = EndpointDirectory(
            self.endpoint_copy, self.membership.fleet.store_available_seconds, log
        )
        self.pool = ConnectionPool(wire.REQUEST_ID)
        self.guard = CrashGuard()
        self.budget = RetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_seconds
        )
        self.dispatcher = Dispatcher(
            endpoints=self.endpoints,
            pool=self.pool,
            leases=self.membership.leases,
            admission=Admission(self.endpoints, self._rng),
            budget=self.budget,
            demand=self.membership.demand,
            guard=self.guard,
            log=log,
            instances=lambda: len(self.membership.fleet.records) or 1,
            on_strike=self._on_strike,
            count=self.metrics.count,
            observe=self.metrics.observe,
        )
        body_bytes = int(cfg.memory_bytes * BODY_MEMORY_FRACTION)
        self.callers = CallerServer(
            self.dispatcher.handle, BodyBudget(lambda: body_bytes), log.write_exception
        )
        self.readiness = CallerServer(
            self._readiness, BodyBudget(lambda: 0), log.write_exception
        )

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
            lambda: self.membership.peers, local_addr=(cfg.peer_host, cfg.peer_port)
        )
        await self.callers.start(cfg.caller_address.host, cfg.caller_address.port)
        await self.readiness.start(
            cfg.readiness_address.host, cfg.readiness_address.port
        )
        if cfg.metrics_port is not None:
            metrics = CallerServer(
                self._metrics, BodyBudget(lambda: 0), self.log.write_exception
            )
            await metrics.start(cfg.peer_host, cfg.metrics_port)
        self.log.write(
            "started", zone=cfg.zone, life=self.membership.fleet.own_record.life
        )
        timers = TimerService(self._loop, self.log.write_exception)
        for period, callback in self._subscriptions():
            timers.subscribe(period, callback)
        for copy in (self.config_copy, self.endpoint_copy, self.membership.copy):
            self._start(copy.run())
        await self._ended.wait()
        self.log.write("stopped", dropped_lines=self.log.dropped)

    def _subscriptions(self) -> list[tuple[float, Callable[[], None]]]:
        return [
            (TICK_SECONDS, self._tick),
            (ZONE_REPORT_SECONDS, self.membership.report_if_due),
            (key_demand.DECAY_PERIOD_SECONDS, self.membership.decay_demand),
            (PRUNE_SECONDS, self._prune_connections),
            (SETTINGS_CHECK_SECONDS, self._reload),
        ]

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tick(self) -> None:
        now = self._loop.time()
        if self.directory.settle(now):
            self._use_endpoints(now)
        self.endpoints.forget_departed(now)
        self.endpoints.drop_old_reports(now)
        self.membership.tick(now)
        may_lag = not self.membership.fleet.is_zone_watcher(now)
        for copy in (self.config_copy, self.endpoint_copy):
            copy.set_watch_mode(WATCH_SECONDS, may_lag=may_lag)
        if self._stopping_since is not None:
            self._continue_stop(now)

    def _prune_connections(self) -> None:
        """Close what will not be used, and share the caps of the endpoints out."""
        if self._configuration is not None:
            services = self._configuration.services
            instances = max(1, len(self.membership.fleet.records))
            self.pool.limit_idle(
                {
                    state.endpoint.address: max(
                        1,
                        int(
                            IDLE_SHARE
                            * services[state.endpoint.service].max_connections
                            / instances
                        ),
                    )
                    for state in self.endpoints.states.values()
                    if state.endpoint.service in services
                }
            )
        self.pool.prune()

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
        self.membership.set_partitioned_services(
            [x.name for x in cfg.services.values() if x.partitioned]
        )
        self.log.write("configuration", version=cfg.version, routes=len(cfg.routes))

    def _on_endpoints(self) -> None:
        self.directory.update(self._loop.time())
        self._use_endpoints(self._loop.time())

    def _use_endpoints(self, now: float) -> None:
        self.endpoints.update(self.directory.endpoints, now)
        self.membership.leases.update_endpoints(self.directory.endpoints)

    # What the fleet needs to know.

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by endpoint."""
        return {
            name: state.own
            for name, state in self.endpoints.states.items()
            if state.own
        }

    def connected_seconds(self, now: float) -> float:
        """Return for how long the store has answered; negative if it does not."""
        return self.endpoint_copy.connected_seconds(now)

    def known_revisions(self) -> tuple[int, int]:
        """Return the latest revisions of the configuration and of the endpoints."""
        return self.config_copy.latest_revision, self.endpoint_copy.latest_revision

    def strikes(self) -> tuple[StrikeReport, ...]:
        """Return the strikes against requests of the last seconds."""
        since = self._loop.time() - STRIKE_REPORT_SECONDS
        while self._strikes and self._strikes[0][0] < since:
            self._strikes.popleft()
        return tuple(strike for _, strike in self._strikes)

    def service_times(self, service: str) -> dict[str, tuple[float, int]]:
        """Return seconds of one request and the answers behind them, by endpoint."""
        return {
            state.endpoint.id: (round(state.measured_seconds, 4), state.answers)
            for state in self.endpoints.of_service(service)
            if state.answers
        }

    def apply_report(self, report: PeerReport) -> None:
        """Learn the load and the strikes that another instance reports."""
        now = self._loop.time()
        self.config_copy.note_peer_revision(report.configuration, now)
        self.endpoint_copy.note_peer_revision(report.endpoints, now)
        self.endpoints.take_report(report.instance, report.in_flight, now)
        last = self._adopted_strikes.get(report.instance, 0)
        for strike in report.strikes:
            if strike.number > last:
                self.guard.add_strikes({strike.digest: ("", 0)}, now)
                last = strike.number
        self._adopted_strikes[report.instance] = last

    def _on_strike(self, digest: bytes) -> None:
        self._strike_count += 1
        # Numbers of an earlier life of this instance are lower.
        number = int(self._started * 1000) + self._strike_count
        self._strikes.append((self._loop.time(), StrikeReport(number, digest)))
        self.log.write("request_struck", digest=digest.hex())
        self.membership.report_to_fleet()

    # Readiness and metrics.

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return (
            self._stopping_since is None
            and self._configuration is not None
            and self.endpoint_copy.usable
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
            self.membership.leases.stopping = True
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
            if not self._leaving:
                self._leaving = True
                self._start(self._leave())

    async def _leave(self) -> None:
        await self.membership.leave(STOP_MARGIN_SECONDS / 2)
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
