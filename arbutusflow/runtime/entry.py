"""Wiring and graceful shutdown of one entry process.

Order of a shutdown: the readiness check fails, coordination is handed over, callers'
connections are closed once their requests are answered, forwarded requests finish,
and the process ends.
"""

import asyncio
import contextlib
import dataclasses
import secrets
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator

import uvicorn

from arbutusflow.adapters.admin_http import AdminApplication
from arbutusflow.adapters.caller_http import CallerApplication
from arbutusflow.adapters.caller_protocol import make_protocol_class
from arbutusflow.adapters.endpoint import EndpointClient
from arbutusflow.adapters.log_level import Level
from arbutusflow.adapters.logs import log_event, log_exception, set_level, start_logging
from arbutusflow.adapters.metrics import ReloadableMetrics
from arbutusflow.adapters.peer import peer_server
from arbutusflow.adapters.peer_messages import (
    ForwardReply,
    ForwardRequest,
    HistoryTransfer,
    ObjectsChanged,
    PeerMessage,
    RenouncementReply,
    RenouncementRequest,
    Reply,
    VersionsRequest,
)
from arbutusflow.adapters.platform import PlatformClient, PlatformInstance
from arbutusflow.adapters.settings import (
    RELOADABLE_FIELDS,
    Address,
    EntrySettings,
)
from arbutusflow.domain.configuration import Configuration
from arbutusflow.domain.membership import MembershipCore
from arbutusflow.domain.membership_messages import (
    Address as MemberAddress,
    ConnectionRefused,
    LeaveRequested,
    ZoneDeclaredLost,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import (
    EndpointDeclaredLost,
    MembersChanged,
    StopRequested,
    UnitDrained,
)
from arbutusflow.domain.records import Proof
from arbutusflow.errors import SettingsError
from arbutusflow.gateway.timers import TimerService
from arbutusflow.runtime.control import ControlTask
from arbutusflow.runtime.curl_loop import CurlLoop
from arbutusflow.runtime.membership_task import MembershipTask
from arbutusflow.runtime.observer import COORDINATOR_ROLE, ENTRY_ROLE, Observer
from arbutusflow.runtime.peers import PeerDirectory
from arbutusflow.runtime.request_log import RequestLog
from arbutusflow.runtime.traffic import TrafficTask

# Lets the load balancer notice the failed readiness check before connections close.
READINESS_DELAY_SECONDS = 0.5
HANDOVER_TIMEOUT_SECONDS = 5.0
FINISH_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
# Time to learn of other instances. An instance that knows no other one would claim the
# endpoints of all availability zones.
JOIN_WAIT_SECONDS = 1.0
# Closing an idle connection can race with the caller's next request, which then gets no
# answer. Most clients close idle connections themselves after 60 s or less.
KEEP_ALIVE_SECONDS = 75

Reload = Callable[[], EntrySettings]


class _Server(uvicorn.Server):
    """HTTP server that leaves signal handling to the entry process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class EntryProcess:
    """Creates and connects the tasks of one entry instance."""

    def __init__(self, settings: EntrySettings, reload: Reload | None = None) -> None:
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._load_settings = reload
        self._stopping = asyncio.Event()
        self._curl = CurlLoop(loop)
        self._endpoints = EndpointClient(self._curl)
        self._platform = PlatformClient.from_config(settings.platform_url)
        timers = TimerService(loop, log_exception)
        # A restarted process is a new instance, because it has kept no state.
        self._instance = f"{settings.instance}.{secrets.token_hex(4)}"
        self._membership: MembershipTask | None = None
        self._peers = PeerDirectory(
            self._instance,
            settings.zone,
            self._on_members,
            self._on_peer_connection_refused,
        )
        links = self._peers.links
        core = OwnershipCore.from_config(self._instance, settings.zone, Configuration())
        self._control = ControlTask(
            core, self._platform, self._endpoints, links, timers
        )
        self._control.on_instances_listed = self._on_instances_listed
        self._control.on_configuration = self._on_configuration
        self._lost_zones: frozenset[str] = frozenset()
        self._reported_gone: set[str] = set()
        self._control.is_watcher = self._peers.is_watcher
        self._traffic = TrafficTask(core, self._endpoints, links, timers)
        self._control.traffic = self._traffic
        self._traffic.on_unit_drained = self._on_unit_drained
        self._traffic.on_endpoint_draining = self._control.mark_draining
        self._timers = timers
        self._metrics = ReloadableMetrics(settings.instance)
        self._metrics.set_address(settings.statsd)
        self._request_log = RequestLog()
        self._observer = Observer(self._control, self._metrics, self._request_log)
        self._traffic.on_retry_scheduled = self._observer.record_retry

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        callers = CallerApplication(
            lambda: self._control.core.cfg,
            self._accept,
            self._metrics.refused,
            self._traffic.body_budget,
        )
        admin = AdminApplication(
            self._control, self._request_log, self._is_ready, self._stopping.set
        )
        protocol = make_protocol_class(settings.limits, self._metrics.refused)
        async with (
            peer_server(settings.peer, self._on_peer_message),
            _http_server(admin, settings.admin),
            _http_server(callers, settings.caller, protocol),
            self._run_membership() as membership,
        ):
            self._membership = membership
            await self._start()
            await self._stopping.wait()
            membership.submit(LeaveRequested())
            await self._hand_over_coordination()
        await self._shut_down()

    @contextlib.asynccontextmanager
    async def _run_membership(self) -> AsyncIterator[MembershipTask]:
        settings = self._settings
        core = MembershipCore.from_config(
            self._instance,
            settings.zone,
            MemberAddress(settings.peer.host, settings.peer.port),
            [MemberAddress(seed.host, seed.port) for seed in settings.seeds],
            secrets.randbits(32),
        )
        membership = MembershipTask.open(
            core,
            MemberAddress(settings.peer.host, settings.peer.port),
            self._timers,
            time.monotonic,
            self._peers.update_view,
        )
        async with contextlib.AsyncExitStack() as stack:
            try:
                task = await stack.enter_async_context(membership)
            except OSError as exc:
                raise settings.peer.listen_error(exc) from exc
            yield task

    async def _start(self) -> None:
        """Start the tasks after the other instances have had time to respond."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_WAIT_SECONDS):
                await self._stopping.wait()
        self._control.start()
        self._traffic.start()
        self._observer.start(self._timers)
        log_event("started", instance=self._instance, zone=self._settings.zone)

    def _on_members(self, members: MembersChanged) -> None:
        self._control.update_members(members)
        if self._peers.is_declared_gone() and not self._stopping.is_set():
            # Others may have taken over the endpoints that this instance coordinated.
            # Only a new process, which is a new instance, can join again.
            log_event("declared_gone", Level.ERROR, instance=self._instance)
            self._stopping.set()
        # This is called while the membership core handles an event, so the next event
        # is deferred.
        asyncio.get_running_loop().call_soon(self._declare_lost_members)

    def _on_configuration(self, cfg: Configuration) -> None:
        """Pass the availability zones that an operator declared lost to the cores.

        An endpoint is reported lost only once for each declaration of its zone, so if
        it responds later, it is used again.
        """
        newly_lost = frozenset(cfg.lost_zones) - self._lost_zones
        self._lost_zones = frozenset(cfg.lost_zones)
        for service in cfg.services:
            for endpoint in service.endpoints:
                if endpoint.zone in newly_lost:
                    self._control.handle(
                        EndpointDeclaredLost(endpoint.name, Proof.OPERATOR_DECLARED)
                    )
        self._declare_lost_members()

    def _declare_lost_members(self) -> None:
        members = self._peers.members
        lost = {
            name
            for name, zone in members.zones.items()
            if zone in self._lost_zones and name not in members.gone
        }
        unreported = lost - self._reported_gone
        if self._membership is None or not unreported:
            return
        self._reported_gone |= unreported
        for zone in sorted({members.zones[name] for name in unreported}):
            self._membership.submit(ZoneDeclaredLost(zone))

    def _on_peer_connection_refused(self, instance: str) -> None:
        if self._membership is not None:
            self._membership.submit(ConnectionRefused(instance))

    def _on_instances_listed(self, instances: tuple[PlatformInstance, ...]) -> None:
        if self._membership is not None:
            self._membership.submit(self._peers.resolve_instances(instances))

    def reload(self) -> None:
        """Reload the settings that can change while the process runs.

        An invalid file changes nothing. Other changed settings need a restart.
        """
        if self._load_settings is None:
            return
        try:
            new_settings = self._load_settings()
        except SettingsError as exc:
            log_event("settings_rejected", Level.ERROR, detail=str(exc))
            return
        changed = {
            field.name
            for field in dataclasses.fields(EntrySettings)
            if getattr(new_settings, field.name) != getattr(self._settings, field.name)
        }
        set_level(new_settings.log_level)
        if "statsd" in changed:
            self._metrics.set_address(new_settings.statsd)
        in_force = {name: getattr(new_settings, name) for name in RELOADABLE_FIELDS}
        self._settings = dataclasses.replace(self._settings, **in_force)
        log_event(
            "settings_reloaded",
            changed=sorted(changed & RELOADABLE_FIELDS),
            need_restart=sorted(changed - RELOADABLE_FIELDS),
        )

    async def _accept(self, req: ForwardRequest) -> ForwardReply:
        return await self._observer.observe(ENTRY_ROLE, self._traffic.accept, req)

    def _is_ready(self) -> bool:
        return not self._stopping.is_set() and self._control.core.cfg.number > 0

    def _on_unit_drained(self, service: str, unit: int) -> None:
        self._control.handle(UnitDrained(service, unit))

    async def _on_peer_message(self, message: PeerMessage) -> Reply | None:
        match message:
            case ForwardRequest():
                return await self._observer.observe(
                    COORDINATOR_ROLE, self._traffic.dispatch_forwarded, message
                )
            case ObjectsChanged(objects):
                self._control.apply_objects(objects)
            case HistoryTransfer():
                self._traffic.import_history(message)
            case VersionsRequest():
                return self._control.handle_versions_request(message)
            case RenouncementRequest():
                self._control.handle_renouncement_request(message)
            case RenouncementReply():
                self._control.handle_renouncement_reply(message)
        return None

    async def _hand_over_coordination(self) -> None:
        log_event("stopping", instance=self._instance)
        self._control.handle(StopRequested())
        await asyncio.sleep(READINESS_DELAY_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                while not self._control.core.is_handover_finished():
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _shut_down(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_TIMEOUT_SECONDS):
                while self._traffic.in_flight:
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._control.stop()
        await self._peers.close()
        self._curl.close()
        self._platform.close()
        self._metrics.close()
        log_event("stopped", instance=self._instance)


@contextlib.asynccontextmanager
async def _http_server(
    application: object,
    address: Address,
    protocol: type[asyncio.Protocol] | str = "httptools",
) -> AsyncIterator[None]:
    """Serve `application` at `address` while the context is open."""
    cfg = uvicorn.Config(
        application,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="error",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=int(FINISH_TIMEOUT_SECONDS),
    )
    server = _Server(cfg)
    listening = _listen(address)
    task = asyncio.create_task(server.serve([listening]))
    try:
        yield
    finally:
        server.should_exit = True
        await task


def _listen(address: Address) -> socket.socket:
    """Return a listening socket.

    `uvicorn` would exit without naming the address if it cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        listening = socket.create_server((address.host, address.port), family=family)
    except OSError as exc:
        raise address.listen_error(exc) from exc
    # asyncio sets TCP_NODELAY only on sockets that were created with an explicit
    # protocol number. Without it, a second write waits for the acknowledgement of the
    # first, which a receiver may delay by 40 ms. Accepted sockets inherit the option.
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening


def run_entry(settings: EntrySettings, reload: Reload | None = None) -> None:
    """Run one entry instance until SIGTERM or SIGINT.

    SIGHUP calls `reload` to read the settings again.
    """
    start_logging(settings.log_level)
    asyncio.run(_run(settings, reload))


async def _run(settings: EntrySettings, reload: Reload | None) -> None:
    await EntryProcess(settings, reload).run()
