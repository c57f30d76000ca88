"""Process of one gateway instance: components, timers, startup and shutdown."""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import resource
import signal
import sys
import types
from collections.abc import Callable, Coroutine, Mapping
from typing import NoReturn

import msgspec

from arbutusflow.errors import (
    SettingsError,
)
from arbutusflow.gateway import error_reports, evacuations, key_demand
from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.memory_account import MemoryAccount
from arbutusflow.gateway.callers.messages import CallerRequest, CallerResponse, Headers
from arbutusflow.gateway.callers.server import MAX_READ_SECONDS, CallerServer
from arbutusflow.gateway.callers.turned_away import TurnedAway
from arbutusflow.gateway.configuration_updates import ConfigurationUpdates
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.crash_strikes import CrashStrikes
from arbutusflow.gateway.dispatch import Dispatcher
from arbutusflow.gateway.endpoint_directory import EndpointDirectory
from arbutusflow.gateway.evacuations import Evacuations
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.event_loop import SuspendAwareEventLoop
from arbutusflow.gateway.fleet import (
    InstanceRecord,
)
from arbutusflow.gateway.fleet_task import (
    WATCH_SECONDS,
    ZONE_REPORT_SECONDS,
    FleetTask,
)
from arbutusflow.gateway.instance_state import (
    STATE_PATH,
    EndpointFigure,
    InstanceState,
)
from arbutusflow.gateway.leaving_checks import LeavingChecks
from arbutusflow.gateway.lifecycle import Lifecycle, Phase, Work
from arbutusflow.gateway.load.admission import Admission
from arbutusflow.gateway.load.cold_rate import ColdSends, sender_count
from arbutusflow.gateway.load.endpoint_load import EndpointTable
from arbutusflow.gateway.load.endpoint_room import EndpointRoom
from arbutusflow.gateway.load.retry_budget import RetryBudget
from arbutusflow.gateway.load.room_reports import RoomExchange
from arbutusflow.gateway.memory_watch import (
    MemoryWatch,
    current_bytes,
    peak_bytes,
    return_large_blocks,
)
from arbutusflow.gateway.metrics import GatewayMetrics
from arbutusflow.gateway.model import (
    Address,
    Configuration,
    EndpointProcess,
    GatewaySettings,
    StorePoint,
)
from arbutusflow.gateway.peers import (
    FleetDigest,
    FollowerReport,
    PeerReport,
    StrikeReport,
)
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.gateway.strike_reports import StrikeReports
from arbutusflow.gateway.timers import TimerService, run_each
from arbutusflow.platform import wire
from arbutusflow.platform.documents import decode_configuration_in_steps
from arbutusflow.platform.store import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINTS_KIND,
    EVACUATIONS_KIND,
    StoreClient,
)

TICK_INTERVAL_SECONDS = 0.05
# Largest part of the grace period that a signal counts as noticed late.
MAX_LAG_FRACTION = 1 / 6
PRUNE_INTERVAL_SECONDS = 1.0
COLD_LOG_SECONDS = 1.0  # All endpoints are looked at.
MEMORY_CHECK_SECONDS = 0.5
# Fraction of an endpoint's connection limit that all instances together may keep idle.
# The rest is for connections in use, and for those of a restarted fleet while the
# endpoint still counts the old ones.
IDLE_CONNECTIONS_FRACTION = 0.35
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
# Fields that are used from the start on only.
FIXED_SETTINGS = (
    "instance",
    "zone",
    "peer_host",
    "peer_port",
    "metrics_port",
    "store_address",
    "drain_seconds",
    "max_lease_seconds",
    "evacuation_seconds",
    "learn_room",
)
# Interval for batching changes of endpoint entries, which change in groups, mainly when
# all endpoints start. The delay is acceptable because a leaving endpoint continues to
# serve for 2 s.
ENDPOINT_BATCH_SECONDS = 0.25
BODY_MEMORY_FRACTION = 0.3  # Share of the memory limit available for request bodies.
RESPONSE_MEMORY_FRACTION = 0.2  # The same for the bodies of responses.
FILE_DESCRIPTORS = 200  # Of the limit on descriptors; not available to sockets.
MAX_SOCKETS = 65_536  # If no limit is known.
OWN_DESCRIPTORS = 20  # Listening sockets, connections to the store, and others.
# Share of the rest for connections of callers; each request in progress needs another
# one to an endpoint, and some of these stay open for reuse.
CALLER_CONNECTIONS_FRACTION = 0.6
LEAVE_TIMEOUT_SECONDS = 0.2  # For the write that deregisters this instance.
# Endpoints that say that they leave are named in all reports of this period.
LEAVING_REPORT_SECONDS = 5.0
MAX_LOGGED_IDS = 8  # Of the requests of one connection; bounds the size of a line.
FLEET_LOAD = "fleet"  # Names the load of the fleet among the loads of instances.


class Gateway:
    """All components of one gateway process."""

    def __init__(self, cfg: GatewaySettings, path: pathlib.Path) -> None:
        self._loop = asyncio.get_running_loop()
        self._cfg = self._started_cfg = cfg
        self._path = path
        self._settings_text = _read(path)
        self._rng = random.Random()
        self._started_at = self._loop.time()
        self.lifecycle = Lifecycle(self._started_at)
        self._stopped = asyncio.Event()
        # By process of an endpoint that said that it leaves: when it became known.
        self._leaving: dict[EndpointProcess, float] = {}
        self._leave_task: asyncio.Task[None] | None = None
        self._ticked_at = self._started_at
        self._stop_signal_after: float | None = None  # A time before SIGTERM arrived.
        # Whether the event loop may still act on a SIGTERM that began the stop.
        self._signal_is_pending = False
        # Outcomes of requests since the stop began.
        self._outcomes_while_stopping: collections.Counter[str] = collections.Counter()
        self._cold_endpoints: set[str] = set()  # That were logged.
        self._unusable_addresses: set[Address] = set()  # That were logged.
        self._tasks: set[asyncio.Task[None]] = set()
        self._configuration: Configuration | None = None
        self._configuration_since = 0.0  # When it came into force.
        self.log = EventLog(cfg.instance)
        self._timers = TimerService(self._loop, self.log.write_exception)
        self.metrics = GatewayMetrics()
        self.memory_watch = MemoryWatch(cfg.memory_bytes, self.describe_work, self.log)
        self._create_components()

    def _create_components(self) -> None:
        cfg, log = self._cfg, self.log
        self.store = StoreClient(cfg.store_address)
        self.store.era.subscribers.append(self._log_era)
        self.store.era.on_rejected = self._log_rejected_era
        self.store.on_slow_decoding = self._log_slow_decoding
        self.configuration_updates = ConfigurationUpdates(
            decode_configuration_in_steps, log
        )
        self.config_copy = ObjectCopy(
            self.store, CONFIGURATION_KIND, WATCH_SECONDS, self._on_configuration, log
        )
        self.endpoint_copy = ObjectCopy(
            self.store, ENDPOINTS_KIND, WATCH_SECONDS, self._on_endpoints, log
        )
        # An endpoint writes its entry again and again, so a watch shows the others.
        self.endpoint_copy.accepts_parts = True
        self.endpoint_copy.coalesce_seconds = ENDPOINT_BATCH_SECONDS
        self.config_copy.retry_leader = self.endpoint_copy
        self.evacuations = Evacuations(cfg.evacuation_seconds, log)
        self.evacuation_copy = self._evacuation_copy()
        copies = {
            CONFIGURATION_KIND: self.config_copy,
            ENDPOINTS_KIND: self.endpoint_copy,
        }
        if self.evacuation_copy is not None:
            copies[EVACUATIONS_KIND] = self.evacuation_copy
        self.cold_sends = ColdSends(
            cfg.instance,
            cfg.cold_overshoot,
            cfg.cold_slack,
            lambda now: self.fleet_task.fleet.may_grant(now),
        )
        self.endpoints = EndpointTable(
            cfg.zone, cfg.drain_seconds, random.Random(), self.cold_sends
        )
        life = self._rng.getrandbits(48)
        self.fleet_task = FleetTask(
            InstanceRecord(cfg.instance, life, cfg.peer_host, cfg.peer_port, cfg.zone),
            self.store,
            ConnectionPool(wire.REQUEST_ID),
            copies,
            self,
            log,
            cfg.max_lease_seconds,
            self._rng,
        )
        self.fleet_task.copy.retry_leader = self.endpoint_copy
        if cfg.learn_room:
            self.endpoints.rooms = self.fleet_task.rooms = RoomExchange()
        self.fleet_task.moves.cold_endpoints = self.endpoints.limited_names
        self.directory = EndpointDirectory(
            self.endpoint_copy, self.fleet_task.fleet.store_available_seconds, log
        )
        response_bytes = int(cfg.memory_bytes * RESPONSE_MEMORY_FRACTION)
        responses = BodyBudget(lambda: response_bytes)
        self.pool = ConnectionPool(wire.REQUEST_ID, responses)
        self.leaving_checks = LeavingChecks(
            self.endpoints, self.pool, self._health_path, self._on_leaving, log
        )
        self.crash_strikes = CrashStrikes()
        self.strike_reports = StrikeReports(
            cfg.instance, self.crash_strikes, log, self._started_at, self._loop.time
        )
        self.strike_reports.on_news = self.fleet_task.report_to_fleet
        self.retry_budget = RetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_seconds
        )
        self.dispatcher = Dispatcher(
            endpoints=self.endpoints,
            pool=self.pool,
            leases=self.fleet_task.leases,
            admission=Admission(self.endpoints, self._rng),
            retry_budget=self.retry_budget,
            demand=self.fleet_task.demand,
            crash_strikes=self.crash_strikes,
            log=log,
            lifecycle=self.lifecycle,
            instance_count=self.fleet_task.instance_count,
            tries_suspect=self.fleet_task.fleet.tries_suspect,
            on_strike=self.strike_reports.report_strike,
            on_cleared=self.strike_reports.report_cleared,
            on_leaving=self._on_leaving,
            count_outcome=self._count_outcome,
            observe_latency=self.metrics.observe_latency,
        )
        self.fleet_task.orders.on_leaving = self._on_leaving
        self.fleet_task.moves.may_balance = self.evacuations.may_balance
        body_bytes = int(cfg.memory_bytes * BODY_MEMORY_FRACTION)
        self.caller_server = CallerServer(
            self.dispatcher.handle, BodyBudget(lambda: body_bytes), log.write_exception
        )
        self.caller_server.unsent_budget = responses
        self.caller_server.account = MemoryAccount.from_memory(
            cfg.memory_bytes,
            current_bytes(),
            # Those that callers have not taken are in the account itself.
            lambda: max(0, responses.held_bytes - self.caller_server.unsent_bytes),
        )
        self.caller_server.turned_away = TurnedAway(
            self._log_turned_away, self.metrics.count_turned_away
        )
        self.caller_server.max_connections = _max_connections(cfg)
        self.caller_server.read_seconds = _read_seconds
        self.caller_server.on_cut = self._log_cut
        self.caller_server.on_end = self._log_connection_end
        self.readiness_server = CallerServer(
            self._readiness, BodyBudget(lambda: 0), log.write_exception
        )

    def _evacuation_copy(self) -> ObjectCopy | None:
        """Return the copy of evacuations, if the settings enable them."""
        if self._cfg.evacuation_seconds is None:
            return None
        copy = ObjectCopy(
            self.store, EVACUATIONS_KIND, WATCH_SECONDS, self._on_evacuations, self.log
        )
        copy.is_optional, copy.retry_leader = True, self.endpoint_copy
        return copy

    # Main loop and periodic work.

    async def run(self) -> None:
        """Serve until SIGTERM. Raises OSError if an address is in use."""
        cfg = self._cfg
        self.handle_signals()
        await self._loop.create_datagram_endpoint(
            lambda: self.fleet_task.peers, local_addr=(cfg.peer_host, cfg.peer_port)
        )
        # They may have changed meanwhile.
        for server, address in self._listening_addresses():
            await server.start(address.host, address.port)
        if cfg.metrics_port is not None:
            metrics = CallerServer(
                self._metrics, BodyBudget(lambda: 0), self.log.write_exception
            )
            await metrics.start(cfg.peer_host, cfg.metrics_port)
        self.log.write(
            "started",
            zone=cfg.zone,
            life=self.fleet_task.fleet.own_record.life,
            max_connections=self.caller_server.max_connections,
        )
        for period, callback in self._periodic_callbacks():
            self._timers.subscribe(period, callback)
        copies = (self.config_copy, self.endpoint_copy, self.fleet_task.copy)
        for copy in (*copies, *filter(None, [self.evacuation_copy])):
            self._start_task(copy.run())
        await self._stopped.wait()
        self.caller_server.report_cut()
        self._log_stopped()

    def handle_signals(self) -> None:
        """Stop at SIGTERM and SIGINT, and reload the settings at SIGHUP."""
        for number, action in (
            (signal.SIGTERM, self._stop),
            (signal.SIGINT, self._stop),
            (signal.SIGHUP, self._reload),
        ):
            self._loop.add_signal_handler(number, action)
        # A full pipe is no error: the event loop wakes up in any case.
        wakeup_fd = signal.set_wakeup_fd(-1)
        signal.set_wakeup_fd(wakeup_fd, warn_on_full_buffer=False)
        # The event loop may act on the signal late, or not at all behind many others.
        signal.signal(signal.SIGTERM, self._note_stop_signal)
        signal.siginterrupt(signal.SIGTERM, False)
        error_reports.handle_signals(self.log, self.describe_work)

    def _periodic_callbacks(self) -> list[tuple[float, Callable[[], None]]]:
        return [
            (TICK_INTERVAL_SECONDS, self._tick),
            (ZONE_REPORT_SECONDS, self.fleet_task.report_if_due),
            (key_demand.DECAY_PERIOD_SECONDS, self.fleet_task.decay_demand),
            (PRUNE_INTERVAL_SECONDS, self._prune_connections),
            (COLD_LOG_SECONDS, self._log_cold_endpoints),
            (MEMORY_CHECK_SECONDS, self.memory_watch.check),
            (SETTINGS_CHECK_INTERVAL_SECONDS, self._reload),
        ]

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self.log.write_exception("a task of the process", exc)

    def _tick(self) -> None:
        now = self._loop.time()
        self._ticked_at = now
        run_each(
            (
                self._stop_if_asked,
                self.evacuations.tick,
                self._expire_endpoints,
                self.endpoints.remove_departed,
                self.endpoints.expire_peer_reports,
                self._learn_rooms,
                self.fleet_task.tick,
                self._observe_granters,
                self._check_ready,
            ),
            now,
            self.log.write_exception,
        )

    def _learn_rooms(self, now: float) -> None:
        registered = self.fleet_task.fleet.registered
        for name in self.endpoints.learn_rooms(now, as_granter=registered):
            room = self.endpoints.states[name].room
            assert room is not None
            self.log.write_rate_limited(
                "endpoint_room",
                endpoint=name,
                seconds=round(room.seconds, 3),
                in_flight=round(room.in_flight, 1),
                answers=round(room.answers),
            )

    def _expire_endpoints(self, now: float) -> None:
        if self.directory.expire(now):
            self._use_endpoints(now)

    def _observe_granters(self, now: float) -> None:
        self.cold_sends.observe(self.fleet_task.granters(now), now)

    def _log_cold_endpoints(self) -> None:
        """Log the endpoints that have become cold or warm since the last call."""
        now = self._loop.time()
        limited = self.endpoints.limited_endpoints(now)
        for name in self._cold_endpoints - limited.keys():
            self.log.write("endpoint_warm", endpoint=name)
        for name in limited.keys() - self._cold_endpoints:
            state = limited[name]
            self.log.write(
                "endpoint_cold",
                endpoint=name,
                service=state.endpoint.service,
                seconds=round(state.cold_until - now, 3),
            )
        self._cold_endpoints = set(limited)

    def _check_ready(self, now: float) -> None:
        if (
            self._configuration is not None
            and self.endpoint_copy.was_read
            and evacuations.are_known(self.evacuation_copy, now - self._started_at)
        ):
            if self.lifecycle.phase is Phase.STARTING:
                # With the configuration and the endpoints, which may be many.
                self.caller_server.account.set_start(current_bytes())
            self.lifecycle.become_ready(now)

    def _prune_connections(self) -> None:
        """Close stale connections and update the limits on idle ones."""
        if self._configuration is not None:
            services = self._configuration.services
            instance_count = self.fleet_task.instance_count()
            self.pool.set_max_idle(
                {
                    state.endpoint.address: max(
                        1,
                        int(
                            IDLE_CONNECTIONS_FRACTION
                            * services[state.endpoint.service].max_connections
                            / instance_count
                        ),
                    )
                    for state in self.endpoints.states.values()
                    if state.endpoint.service in services
                }
            )
        self.pool.prune()

    # Updates from the store.

    def _log_era(self, before: int, learnt_by: str) -> None:
        era = self.store.era.current
        self.log.write("store_era", old=before, new=era, learnt_by=learnt_by)

    def _log_slow_decoding(self, kind: str, size: int, seconds: float) -> None:
        self.log.write_rate_limited(
            "store_answer_slow", kind=kind, bytes=size, seconds=round(seconds, 3)
        )

    def _log_rejected_era(self, header: str) -> None:
        self.log.write_rate_limited(
            "store_era_rejected", header=header, known=self.store.era.current
        )

    def _on_configuration(self) -> None:
        item = self.config_copy.objects.get(CONFIGURATION_NAME)
        if item is None:
            return
        started, updated_by = self._loop.time(), self.config_copy.updated_by
        # How long this instance knew that another one had later objects.
        behind = self.fleet_task.relay.behind_seconds(CONFIGURATION_KIND, started)
        revision = item.revision
        self.configuration_updates.start(
            item.spec,
            lambda cfg: self._apply_configuration(
                cfg, revision, updated_by, behind, started
            ),
        )

    def _apply_configuration(
        self,
        cfg: Configuration,
        revision: StorePoint,
        updated_by: str,
        behind_seconds: float,
        started: float,
    ) -> None:
        known = self._configuration
        if known is not None and cfg.version <= known.version:
            if cfg.version < known.version:
                self.log.write(
                    "configuration_kept",
                    version=known.version,
                    restored=cfg.version,
                    era=revision.era,
                    revision=revision.number,
                )
            return
        self._configuration, self._configuration_since = cfg, self._loop.time()
        self.caller_server.limits = cfg.limits
        self.dispatcher.apply_configuration(cfg)
        self._apply_cold_rates(cfg, known)
        self.fleet_task.set_partitioned_services(
            [x.name for x in cfg.services.values() if x.partitioned]
        )
        self.log.write(
            "configuration",
            version=cfg.version,
            routes=len(cfg.routes),
            revision=revision.number,
            updated_by=updated_by,
            behind_seconds=round(behind_seconds, 3),
            apply_seconds=round(self._loop.time() - started, 4),
        )

    def _apply_cold_rates(
        self, cfg: Configuration, known: Configuration | None
    ) -> None:
        rates = {
            x.name: x.cold_rate
            for x in cfg.services.values()
            if x.cold_rate is not None
        }
        self.endpoints.set_cold_rates(rates, self._loop.time())
        before = {} if known is None else known.services
        for service, rate in rates.items():
            count = sender_count(rate, self._cfg.cold_overshoot, self._cfg.cold_slack)
            earlier = before.get(service)
            if not count and (earlier is None or earlier.cold_rate != rate):
                self.log.write(
                    "cold_endpoints_unused",
                    service=service,
                    reason="limit_below_2" if rate else "rate_unreadable",
                )

    def _on_endpoints(self) -> None:
        self.directory.update(self._loop.time())
        self._use_endpoints(self._loop.time())

    def _use_endpoints(self, now: float) -> None:
        view = self.evacuations.view(
            self.directory.endpoints,
            self.fleet_task.zones(),
            self.endpoint_copy.revision_of,
            now,
        )
        self.endpoints.update(view.endpoints, now, view.times)
        self.endpoints.note_returned(view.possibly_cold, view.said_cold, now)
        self.leaving_checks.update()
        self.fleet_task.leases.update_endpoints(view.endpoints)

    def _on_evacuations(self) -> None:
        assert self.evacuation_copy is not None
        now = self._loop.time()
        self.evacuations.learn(self.evacuation_copy, now)
        if self.endpoint_copy.was_read:
            self._use_endpoints(now)

    # Reports to and from other instances.

    def in_flight(self) -> dict[str, int]:
        """Return the number of in-flight requests by endpoint."""
        return {
            name: state.own_in_flight
            for name, state in self.endpoints.states.items()
            if state.own_in_flight
        }

    def connected_seconds(self, now: float) -> float:
        """Return for how many seconds the store has been responding.

        Negative if it does not respond.
        """
        return self.endpoint_copy.connected_seconds(now)

    def known_revisions(self) -> tuple[StorePoint, StorePoint]:
        """Return the latest known revisions of the configuration and the endpoints."""
        return self.config_copy.latest_revision, self.endpoint_copy.latest_revision

    def strikes(self) -> tuple[StrikeReport, ...]:
        """Return the recent strikes against requests."""
        return self.strike_reports.recent()

    def service_times(self, service: str) -> dict[str, tuple[float, int]]:
        """Return the mean service time and the number of responses, by endpoint."""
        return {
            state.endpoint.id: (
                round(state.measured_seconds, 4),
                state.measured_responses,
            )
            for state in self.endpoints.for_service(service)
            if state.measured_responses
        }

    def apply_report(self, report: PeerReport) -> None:
        """Apply the load and the strikes that another instance reports."""
        now = self._loop.time()
        self.config_copy.note_peer_revision(report.configuration, now)
        self.endpoint_copy.note_peer_revision(report.endpoints, now)
        self.endpoints.update_peer_report(report.instance, report.in_flight, now)
        self.strike_reports.learn(report.strikes, now)
        self._learn_leaving(report.leaving_endpoints)

    def apply_follower(self, report: FollowerReport) -> None:
        """Apply the load and the strikes that a follower reports."""
        now = self._loop.time()
        self.endpoints.update_peer_report(report.instance, report.in_flight, now)
        self.strike_reports.learn(report.strikes, now)
        self._learn_leaving(report.leaving_endpoints)

    def apply_digest(self, digest: FleetDigest, reported: dict[str, int]) -> None:
        """Apply the load and the strikes of the fleet.

        `reported` holds the requests of this instance that the load includes.
        """
        now = self._loop.time()
        others = {
            endpoint: count - reported.get(endpoint, 0)
            for endpoint, count in digest.in_flight.items()
            if count > reported.get(endpoint, 0)
        }
        self.endpoints.update_peer_report(FLEET_LOAD, others, now)
        self.strike_reports.learn(digest.strikes, now)
        self._learn_leaving(digest.leaving_endpoints)

    def fleet_in_flight(self) -> dict[str, int]:
        """Return the requests in flight of the whole fleet by endpoint."""
        return {
            name: state.own_in_flight + state.peer_in_flight
            for name, state in self.endpoints.states.items()
            if state.own_in_flight + state.peer_in_flight
        }

    # Endpoints that say that they leave.

    def leaving_endpoints(self) -> dict[str, int]:
        """Return the endpoints that said recently that they leave, with start times."""
        since = self._loop.time() - LEAVING_REPORT_SECONDS
        for process in [p for p, at in self._leaving.items() if at < since]:
            del self._leaving[process]
        return dict(self._leaving.keys())

    def _health_path(self, service: str) -> str:
        cfg = self._configuration
        known = None if cfg is None else cfg.services.get(service)
        return "/" if known is None else str(known.health_path)

    def _on_leaving(self, process: EndpointProcess) -> None:
        if self.directory.mark_leaving(process):
            self._use_leaving(process)
        self.leaving_checks.record(process)

    def _use_leaving(self, process: EndpointProcess) -> None:
        """Use what this instance was the first to learn of a process."""
        now = self._loop.time()
        self._leaving[process] = now
        self.log.write(
            "endpoint_says_it_leaves", endpoint=process[0], started_ms=process[1]
        )
        self._use_endpoints(now)
        self.fleet_task.report_to_fleet()

    def _learn_leaving(self, endpoints: dict[str, int]) -> None:
        for process in endpoints.items():
            if self.directory.mark_leaving(process):
                now = self._loop.time()
                self._leaving[process] = now
                self._use_endpoints(now)

    # Readiness and metrics.

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers."""
        return self.lifecycle.ready

    async def _readiness(self, req: CallerRequest) -> CallerResponse:
        if req.target != wire.READINESS_PATH:
            return CallerResponse(404)
        return CallerResponse(200 if self.ready else 503)

    def state(self) -> InstanceState:
        """Return what this instance is doing."""
        now, plan, cfg = self._loop.time(), self.lifecycle.plan, self._configuration
        since = self._configuration_since
        return InstanceState(
            instance=self._cfg.instance,
            zone=self._cfg.zone,
            phase=self.lifecycle.phase.name.lower(),
            phase_seconds=round(now - self.lifecycle.phase_since, 3),
            requests=self.caller_server.pending_requests,
            connections=len(self.caller_server.connections),
            ends_in_seconds=None if plan is None else round(plan.ends_at - now, 3),
            configuration=None if cfg is None else cfg.version,
            configuration_seconds=None if cfg is None else round(now - since, 3),
            evacuated_zones=self.evacuations.describe(
                self.endpoints.states.values(), self.fleet_task.leases.owners(), now
            ),
            rooms={
                name: EndpointFigure(
                    round(room.seconds, 4),
                    round(room.in_flight, 1),
                    round(room.answers, 1),
                    round(now - room.changed_at, 3),
                )
                for name, room in self._rooms().items()
            },
        )

    def _rooms(self) -> Mapping[str, EndpointRoom]:
        """Return what was learned of endpoints."""
        return {} if self.endpoints.rooms is None else self.endpoints.rooms.rooms

    async def _metrics(self, req: CallerRequest) -> CallerResponse:
        if req.target == STATE_PATH.encode():
            headers = ((b"Content-Type", b"application/json"),)
            return CallerResponse(200, headers, msgspec.json.encode(self.state()))
        self.metrics.set_gauge("phase", float(self.lifecycle.phase))
        self.metrics.set_gauge("requests_pending", self.caller_server.pending_requests)
        self.metrics.set_gauge("store_calls", self.store.calls)
        copies = self.fleet_task.relay.copies.values()
        cut_off = sum(copy.lists_cut_off for copy in copies)
        self.metrics.set_gauge("store_lists_cut_off", cut_off)
        self.metrics.set_gauge("store_era", self.store.era.current)
        self.metrics.set_gauge("connections_opened", self.pool.opened)
        self.metrics.set_gauge("evacuated_zones", len(self.evacuations.zones))
        count = self.evacuations.endpoint_count
        self.metrics.set_gauge("evacuated_endpoints", count)
        self.metrics.set_gauge("stray_responses", self.pool.strays)
        self.metrics.set_gauge("log_lines_dropped", self.log.dropped)
        self.metrics.set_gauge("peak_bytes", peak_bytes())
        account = self.caller_server.account
        self.metrics.set_gauge("callers_held_bytes", account.total_bytes)
        self.metrics.set_gauge("callers_limit_bytes", account.limit_bytes)
        for name in ("leaving", "waiting", "cold"):
            count = getattr(self.endpoints, f"choices_past_{name}")
            self.metrics.set_gauge(f"choices_past_{name}", count)
        limited = self.endpoints.limited_endpoints(self._loop.time())
        self.metrics.set_gauge("cold_endpoints", len(limited))
        self.metrics.set_gauge("learned_endpoints", len(self._rooms()))
        self.metrics.set_gauge("cold_sends", self.cold_sends.sends)
        self.metrics.set_transfers(self.fleet_task.relay.counts)
        return CallerResponse(
            200, ((b"Content-Type", b"text/plain"),), self.metrics.render()
        )

    # Settings and shutdown.

    def _reload(self) -> None:
        self._read_settings()
        self._move_listening()

    def _read_settings(self) -> None:
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
        kept = [name for name in FIXED_SETTINGS if self._differs(cfg, name)]
        self._cfg = cfg
        if kept:
            self.log.write("settings_need_restart", fields=kept)
        self.retry_budget.set_limits(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_seconds
        )
        self.cold_sends.set_limits(cfg.cold_overshoot, cfg.cold_slack)
        self.log.write("settings_reloaded")

    def _differs(self, cfg: GatewaySettings, name: str) -> bool:
        """Return whether a setting is not the one that the process was started with."""
        return bool(getattr(cfg, name) != getattr(self._started_cfg, name))

    def _listening_addresses(self) -> tuple[tuple[CallerServer, Address], ...]:
        return (
            (self.caller_server, self._cfg.caller_address),
            (self.readiness_server, self._cfg.readiness_address),
        )

    def _move_listening(self) -> None:
        """Listen at the addresses of the settings.

        One that can't be used is tried again at each check of the settings; until then
        its server listens where it did.
        """
        for server, address in self._listening_addresses():
            if server.address == address:
                continue
            try:
                server.move(address)
            except OSError as exc:
                if address not in self._unusable_addresses:
                    self._unusable_addresses.add(address)
                    detail = f"{address.host}:{address.port}"
                    self.log.write(
                        "listening_not_moved", address=detail, error=str(exc)
                    )
            else:
                self._unusable_addresses.discard(address)

    def _note_stop_signal(self, number: int, frame: types.FrameType | None) -> None:
        """Note when SIGTERM can't have arrived yet.

        The interpreter calls this between two instructions, also while a callback holds
        the event loop. If the process was not running when the signal arrived, this is
        the first that it runs, and its last tick was before.
        """
        if self._stop_signal_after is None:
            self._stop_signal_after = self._ticked_at

    def _stop_if_asked(self, now: float) -> None:
        """Stop if SIGTERM has arrived and the event loop was not told of it."""
        if self._stop_signal_after is not None and not self.lifecycle.stopping:
            self._stop()
            self._signal_is_pending = True

    def _stop(self) -> None:
        try:
            self._reload()  # The grace period may have changed without a signal.
        except Exception as exc:
            self.log.write_exception("reading the settings before a stop", exc)
        now, grace_seconds = self._loop.time(), self._cfg.stop_seconds
        began = now if self._stop_signal_after is None else self._stop_signal_after
        lag = min(now - began, MAX_LAG_FRACTION * grace_seconds)
        if not self.lifecycle.stop(now, grace_seconds, lag):
            if not self._signal_is_pending:
                self.log.write("stop_repeated", phase=self.lifecycle.phase.name)
            self._signal_is_pending = False
            return
        # A timer of its own, so that errors in other periodic work can't hold it up.
        self._timers.subscribe(TICK_INTERVAL_SECONDS, self._continue_stop)
        self.fleet_task.leases.stopping = True
        self.caller_server.close_after_responses()
        self.log.write("stopping", active=self.caller_server.pending_requests)

    def describe_work(self) -> dict[str, int | str]:
        """Return what the process has in hand, for lines about its end or memory."""
        return {
            "phase": self.lifecycle.phase.name.lower(),
            "connections": len(self.caller_server.connections),
            "pending": self.caller_server.pending_requests,
            "sent": sum(self.in_flight().values()),
            "peak_bytes": peak_bytes(),
            "callers_held_bytes": self.caller_server.account.total_bytes,
        }

    def _count_outcome(self, outcome: str) -> None:
        self.metrics.count_outcome(outcome)
        if self.lifecycle.stopping:
            self._outcomes_while_stopping[outcome] += 1

    def _log_cut(self, req: CallerRequest, cause: str) -> None:
        """Log a request that this instance ends without a response."""
        self._count_outcome("cut")
        request_id = req.header(wire.REQUEST_ID) or b""
        self.log.write_rate_limited(
            "request_cut",
            request_id=request_id.decode("latin-1"),
            cause=cause,
            held_seconds=round(self._loop.time() - req.received_at, 4),
        )

    def _log_turned_away(
        self, address: str, reason: str, held_bytes: int, count: int
    ) -> None:
        """Log a caller that was rejected or closed for what it sent or held."""
        self.log.write_rate_limited(
            "caller_turned_away",
            address=address,
            reason=reason,
            held_bytes=held_bytes,
            count=count,
        )

    def _log_connection_end(self, cause: str, requests: list[CallerRequest]) -> None:
        """Log the end of a connection of a caller with unanswered requests."""
        self.metrics.count_connection_end(cause)
        passed_on = [req for req in requests if req.passed_on]
        ids = [req.header(wire.REQUEST_ID) or b"" for req in passed_on[:MAX_LOGGED_IDS]]
        self.log.write_rate_limited(
            "connection_ended",
            cause=cause,
            unanswered=len(requests),
            passed_on=len(passed_on),
            request_ids=[request_id.decode("latin-1") for request_id in ids],
        )

    def _log_stopped(self) -> None:
        plan = self.lifecycle.plan
        assert plan is not None
        self.log.write(
            "stopped",
            seconds=round(self._loop.time() - plan.began, 3),
            outcomes=dict(self._outcomes_while_stopping),
            dropped_lines=self.log.dropped,
        )

    def _continue_stop(self) -> None:
        """Carry out what the phases require that have come since the last call."""
        now = self._loop.time()
        server, phase = self.caller_server, self.lifecycle.phase
        while True:
            deregistered = self._leave_task is not None and self._leave_task.done()
            # Earlier phases ask for requests only, and there are many connections then.
            busy = phase >= Phase.CLOSING and server.is_busy
            work = Work(server.pending_requests, busy, deregistered)
            previous, phase = phase, self.lifecycle.advance(work, now)
            if phase is previous:
                break
            self._enter_phase(phase)
        if phase in (Phase.DRAINING, Phase.CLOSING):
            server.close_idle()

    def _enter_phase(self, phase: Phase) -> None:
        if phase is Phase.CLOSING:
            self._leave_task = self._loop.create_task(self._leave())
            self.caller_server.stop_accepting()
        elif phase is Phase.ENDING:
            self.caller_server.finish()
        elif phase is Phase.ENDED:
            self._start_task(self._end())

    async def _leave(self) -> None:
        try:
            await self.fleet_task.leave(LEAVE_TIMEOUT_SECONDS)
        except Exception as exc:
            self.log.write_exception("deregistering this instance", exc)

    async def _end(self) -> None:
        try:
            if self._leave_task is not None:
                await self._leave_task
        finally:
            self._stopped.set()


def _max_connections(cfg: GatewaySettings) -> int:
    """Return how many connections of callers leave enough for those to endpoints."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [] if soft == resource.RLIM_INFINITY else [soft]
    if cfg.max_descriptors is not None:
        known.append(cfg.max_descriptors - FILE_DESCRIPTORS)
    sockets = min(known, default=MAX_SOCKETS)
    return max(1, int(CALLER_CONNECTIONS_FRACTION * (sockets - OWN_DESCRIPTORS)))


def _read_seconds(headers: Headers) -> float:
    """Return within how many seconds a request has to be read: its deadline."""
    text = next((value for name, value in headers if name == wire.DEADLINE), b"")
    return min(wire.parse_deadline(text) or MAX_READ_SECONDS, MAX_READ_SECONDS)


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""  # The file is being replaced; the next check reads it.


def run_gateway(cfg: GatewaySettings, path: pathlib.Path) -> NoReturn:
    """Run an instance until SIGTERM, and end the process then.

    Any error is logged and raised again. Raises OSError if an address is in use.
    """
    gateway: Gateway | None = None
    return_large_blocks()

    async def main() -> None:
        nonlocal gateway
        gateway = Gateway(cfg, path)
        error_reports.install(asyncio.get_running_loop(), gateway.log)
        await gateway.run()

    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        try:
            runner.run(main())
        except BaseException as exc:
            # Before the runner cancels what was under way.
            if gateway is not None:
                name = type(exc).__name__
                error_reports.log_end(gateway.log, gateway.describe_work, name, exc)
            raise
        _end_process()


def _end_process() -> NoReturn:
    """End the process at once.

    The kernel has all that callers get, and the log is not buffered. What the
    interpreter does at its end grows with the number of connections, and it would wait
    for tasks and threads.
    """
    for stream in filter(None, (sys.stdout, sys.stderr)):
        with contextlib.suppress(OSError):
            stream.flush()
    os._exit(0)
