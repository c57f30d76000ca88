"""Wiring of one entry process, and its graceful stop.

Order of a stop: readiness fails, coordination is handed over, callers'
connections are closed once their requests are answered, forwarded requests
finish, the process ends.
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
from arbutusflow.adapters.platform import ListedInstance, PlatformClient
from arbutusflow.adapters.settings import (
    RELOADABLE_FIELDS,
    Address,
    EntrySettings,
)
from arbutusflow.domain.configuration import Configuration
from arbutusflow.domain.errors import SettingsError
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
from arbutusflow.runtime.control import ControlTask
from arbutusflow.runtime.curl_loop import CurlLoop
from arbutusflow.runtime.membership_task import MembershipTask
from arbutusflow.runtime.observer import COORDINATOR, ENTRY, Observer
from arbutusflow.runtime.peers import PeerDirectory
from arbutusflow.runtime.request_log import RequestLog
from arbutusflow.runtime.timers import TimerService
from arbutusflow.runtime.traffic import TrafficTask

READINESS_LEAD_SECONDS = 0.5  # Lets the balancer notice before connections close.
HAND_OVER_SECONDS = 5.0
FINISH_SECONDS = 20.0
POLL_SECONDS = 0.05
# An instance that knows no other yet would claim the endpoints of all zones.
JOIN_SECONDS = 1.0
# Closing an idle connection races with the caller's next request, which then has
# no answer. Most clients drop idle connections after 60 s or less themselves.
KEEP_ALIVE_SECONDS = 75

Reload = Callable[[], EntrySettings]


class _Server(uvicorn.Server):
    """A server that leaves signals to the entry process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handler."""
        yield


class EntryProcess:
    """All tasks of one entry instance."""

    def __init__(self, settings: EntrySettings, reload: Reload | None = None) -> None:
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._load_again = reload
        self._stopping = asyncio.Event()
        self._curl = CurlLoop(loop)
        self._endpoints = EndpointClient(self._curl)
        self._platform = PlatformClient.from_config(settings.platform_url)
        timers = TimerService(loop, log_exception)
        # A process that starts again is another instance: it has kept nothing.
        self._instance = f"{settings.instance}.{secrets.token_hex(4)}"
        self._membership: MembershipTask | None = None
        self._peers = PeerDirectory(
            self._instance, settings.zone, self._take_members, self._peer_refused
        )
        links = self._peers.links
        core = OwnershipCore.from_config(self._instance, settings.zone, Configuration())
        self._control = ControlTask(
            core, self._platform, self._endpoints, links, timers
        )
        self._control.on_listed = self._take_list
        self._control.on_configuration = self._take_configuration
        self._lost_zones: frozenset[str] = frozenset()
        self._declared_gone: set[str] = set()
        self._control.is_watcher = self._peers.is_watcher
        self._traffic = TrafficTask(core, self._endpoints, links, timers)
        self._control.traffic = self._traffic
        self._traffic.unit_drained = self._unit_drained
        self._traffic.endpoint_drains = self._control.endpoint_drains
        self._timers = timers
        self._metrics = ReloadableMetrics(settings.instance)
        self._metrics.set_address(settings.statsd)
        self._request_log = RequestLog()
        self._observer = Observer(self._control, self._metrics, self._request_log)
        self._traffic.retry_scheduled = self._observer.retry_scheduled

    async def run(self) -> None:
        """Serve until a stop is asked for, then stop gracefully."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        callers = CallerApplication(
            lambda: self._control.core.cfg,
            self._accept,
            self._metrics.refused,
            self._traffic.bodies,
        )
        admin = AdminApplication(
            self._control, self._request_log, self._is_ready, self._stopping.set
        )
        protocol = make_protocol_class(settings.limits, self._metrics.refused)
        async with (
            peer_server(settings.peer, self._on_peer_message),
            _http_server(admin, settings.admin),
            _http_server(callers, settings.caller, protocol),
            self._join() as membership,
        ):
            self._membership = membership
            await self._start()
            await self._stopping.wait()
            membership.submit(LeaveRequested())
            await self._hand_over()
        await self._finish()

    @contextlib.asynccontextmanager
    async def _join(self) -> AsyncIterator[MembershipTask]:
        settings = self._settings
        core = MembershipCore.from_config(
            self._instance,
            settings.zone,
            MemberAddress(settings.peer.host, settings.peer.port),
            [MemberAddress(seed.host, seed.port) for seed in settings.seeds],
            secrets.randbits(32),
        )
        opened = MembershipTask.opened(
            core,
            MemberAddress(settings.peer.host, settings.peer.port),
            self._timers,
            time.monotonic,
            self._peers.take_view,
        )
        async with contextlib.AsyncExitStack() as stack:
            try:
                task = await stack.enter_async_context(opened)
            except OSError as exc:
                raise settings.peer.listen_error(exc) from exc
            yield task

    async def _start(self) -> None:
        """Start the tasks once the other instances had time to answer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_SECONDS):
                await self._stopping.wait()
        self._control.start()
        self._traffic.start()
        self._observer.start(self._timers)
        log_event("started", instance=self._instance, zone=self._settings.zone)

    def _take_members(self, members: MembersChanged) -> None:
        self._control.take_members(members)
        if self._peers.has_ended() and not self._stopping.is_set():
            # Others may have taken over what this instance coordinated. Only a new
            # process, which is another instance, can join again.
            log_event("declared_gone", Level.ERROR, instance=self._instance)
            self._stopping.set()
        # The membership core reports its view while it handles an event.
        asyncio.get_running_loop().call_soon(self._declare_lost_members)

    def _take_configuration(self, cfg: Configuration) -> None:
        """Tell the cores which zones an operator declared lost.

        An endpoint is declared lost once for each declaration of its zone: if it
        answers again later, it is served again.
        """
        fresh = frozenset(cfg.lost_zones) - self._lost_zones
        self._lost_zones = frozenset(cfg.lost_zones)
        for service in cfg.services:
            for endpoint in service.endpoints:
                if endpoint.zone in fresh:
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
        unknown = lost - self._declared_gone
        if self._membership is None or not unknown:
            return
        self._declared_gone |= unknown
        for zone in sorted({members.zones[name] for name in unknown}):
            self._membership.submit(ZoneDeclaredLost(zone))

    def _peer_refused(self, instance: str) -> None:
        if self._membership is not None:
            self._membership.submit(ConnectionRefused(instance))

    def _take_list(self, instances: tuple[ListedInstance, ...]) -> None:
        if self._membership is not None:
            self._membership.submit(self._peers.listed(instances))

    def reload(self) -> None:
        """Take over the settings that can change while the process runs.

        A wrong file changes nothing; other settings wait for the next start.
        """
        if self._load_again is None:
            return
        try:
            fresh = self._load_again()
        except SettingsError as exc:
            log_event("settings_rejected", Level.ERROR, detail=str(exc))
            return
        changed = {
            field.name
            for field in dataclasses.fields(EntrySettings)
            if getattr(fresh, field.name) != getattr(self._settings, field.name)
        }
        set_level(fresh.log_level)
        if "statsd" in changed:
            self._metrics.set_address(fresh.statsd)
        in_force = {name: getattr(fresh, name) for name in RELOADABLE_FIELDS}
        self._settings = dataclasses.replace(self._settings, **in_force)
        log_event(
            "settings_reloaded",
            changed=sorted(changed & RELOADABLE_FIELDS),
            need_restart=sorted(changed - RELOADABLE_FIELDS),
        )

    async def _accept(self, req: ForwardRequest) -> ForwardReply:
        return await self._observer.observe(ENTRY, self._traffic.accept, req)

    def _is_ready(self) -> bool:
        return not self._stopping.is_set() and self._control.core.cfg.number > 0

    def _unit_drained(self, service: str, unit: int) -> None:
        self._control.handle(UnitDrained(service, unit))

    async def _on_peer_message(self, message: PeerMessage) -> Reply | None:
        match message:
            case ForwardRequest():
                return await self._observer.observe(
                    COORDINATOR, self._traffic.dispatch_forwarded, message
                )
            case ObjectsChanged(objects):
                self._control.learn(objects)
            case HistoryTransfer():
                self._traffic.take_history(message)
            case VersionsRequest():
                return self._control.on_versions_asked(message)
            case RenouncementRequest():
                self._control.on_renouncement_asked(message)
            case RenouncementReply():
                self._control.on_renouncement_told(message)
        return None

    async def _hand_over(self) -> None:
        log_event("stopping", instance=self._instance)
        self._control.handle(StopRequested())
        await asyncio.sleep(READINESS_LEAD_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HAND_OVER_SECONDS):
                while not self._control.core.handed_over():
                    await asyncio.sleep(POLL_SECONDS)

    async def _finish(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_SECONDS):
                while self._traffic.in_flight:
                    await asyncio.sleep(POLL_SECONDS)
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
    """Serve `application` on `address` while the context is open."""
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
        timeout_graceful_shutdown=int(FINISH_SECONDS),
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
    """Return a listening socket; `uvicorn` would end the process without a reason."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        listening = socket.create_server((address.host, address.port), family=family)
    except OSError as exc:
        raise address.listen_error(exc) from exc
    # asyncio sets this only on sockets made with an explicit protocol number.
    # Without it, a second write waits for the acknowledgement of the first, which
    # a receiver may delay by 40 ms. Accepted sockets inherit it.
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening


def run_entry(settings: EntrySettings, reload: Reload | None = None) -> None:
    """Run one entry instance until SIGTERM; SIGHUP calls `reload` for settings."""
    start_logging(settings.log_level)
    asyncio.run(_run(settings, reload))


async def _run(settings: EntrySettings, reload: Reload | None) -> None:
    await EntryProcess(settings, reload).run()
