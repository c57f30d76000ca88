"""Control task: connects the ownership core to platform, endpoints and peers.

Invariants: the core is called from the event loop's thread only, and a platform
object is replaced only by a higher version of itself.
"""

import asyncio
import collections
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import msgspec

from arbutusflow.adapters.endpoint import EndpointClient
from arbutusflow.adapters.logs import log_decision, log_event, log_exception
from arbutusflow.adapters.peer import PeerCallError, PeerLink
from arbutusflow.adapters.peer_messages import (
    ObjectsChanged,
    RenouncementReply,
    RenouncementRequest,
    VersionsReply,
    VersionsRequest,
)
from arbutusflow.adapters.platform import (
    Conflict,
    PlatformClient,
    PlatformInstance,
    StoredObject,
    Unknown,
    Written,
)
from arbutusflow.domain.configuration import (
    Accepted,
    Configuration,
    Patch,
    PatchResult,
    apply_patch,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import (
    Action,
    ConfigurationChanged,
    ConfirmRenounce,
    DrainUnit,
    Event,
    MembersChanged,
    ReadObjects,
    RecordChanged,
    RecordDecision,
    RenewalFailed,
    RenewalReplied,
    Renounced,
    RenounceRequested,
    RequestRenounce,
    SendRenewal,
    TableChanged,
    Tick,
    WriteConflicted,
    WriteOutcomeUnknown,
    WriteRecord,
    WriteSucceeded,
    WriteTable,
)
from arbutusflow.domain.ownership_state import RECORD_PREFIX, TABLE_PREFIX
from arbutusflow.domain.partitions import EncodedTable
from arbutusflow.domain.records import Decision, EndpointRecord
from arbutusflow.errors import EndpointError, PlatformUnavailableError
from arbutusflow.gateway.timers import Timers
from arbutusflow.runtime.curl_loop import CurlError

TICK_SECONDS = 0.1
ANTI_ENTROPY_INTERVAL_SECONDS = 1.0
# A silent connection delays changes by this wait, the call timeout of 2 s and the delay
# before the next watch: 3.5 s in total. Changes must be in force within 4 s.
WATCH_WAIT_MS = 1_000
# The list may be tens of seconds out of date, so frequent polling would not help.
LIST_INTERVAL_SECONDS = 5.0
WATCH_RETRY_SECONDS = 0.5
MAX_PATCH_ATTEMPTS = 10
PATCH_RETRY_SECONDS = 0.3
MAX_DECISIONS = 4_096
CONFIGURATION_NAME = "config/main"


class PatchOutcomeUnknownError(PlatformUnavailableError):
    """It is unknown whether a patch took effect.

    Its identifier allows looking it up later, or sending it again safely.
    """


class EndpointStatus(msgspec.Struct, frozen=True):
    """Coordinator of one endpoint, as seen by the instance that reports it.

    `acting` is True if that instance coordinates the endpoint itself.
    """

    endpoint: str
    coordinator: str
    term: int
    acting: bool


class InstanceStatus(msgspec.Struct, frozen=True):
    """State of one entry instance.

    `units` maps each service to the number of units by owner; units without an owner
    are counted under the empty name. `platform_calls` counts the calls of each kind
    since the process started.
    """

    instance: str
    zone: str
    configuration: int
    endpoints: tuple[EndpointStatus, ...]
    units: dict[str, dict[str, int]]
    platform_calls: dict[str, int]


class Traffic(Protocol):
    """Interface of the traffic task that the control task uses."""

    def drain(self, service: str, unit: int) -> None:
        """Stop dispatching for the unit; report when no request is in flight."""
        ...

    def lease_renewed(self, endpoint: str, load: int) -> None:
        """Process the load report of an endpoint whose lease was renewed."""
        ...

    def endpoint_exited(self, endpoint: str, incarnation: str) -> None:
        """Process the proven exit of a process of the endpoint."""
        ...

    def ownership_changed(self) -> None:
        """Process a change of the units that this instance coordinates."""
        ...

    def configure(self, cfg: Configuration) -> None:
        """Apply a new configuration."""
        ...


class ControlTask:
    """Runs the ownership core, the copies of platform objects and the watch."""

    def __init__(
        self,
        core: OwnershipCore,
        platform: PlatformClient,
        endpoints: EndpointClient,
        links: dict[str, PeerLink],
        timers: Timers,
    ) -> None:
        self.core = core
        self.decisions: collections.deque[Decision] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self.members = MembersChanged(
            {core.instance: core.zone}, frozenset(), frozenset()
        )
        self.is_watcher: Callable[[], bool] = lambda: True
        self.on_instances_listed: Callable[[tuple[PlatformInstance, ...]], None] = (
            lambda _: None
        )
        self.on_configuration: Callable[[Configuration], None] = lambda _: None
        self.traffic: Traffic | None = None
        self._platform = platform
        self._endpoints = endpoints
        self._links = links
        self._timers = timers
        self._objects: dict[str, StoredObject] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._rng = random.Random(core.instance)
        self._revision = 0
        self._notified_state: object = None
        self._objects_applied = 0
        self._incarnations: dict[str, str] = {}
        self._draining_incarnations: dict[str, str] = {}

    def start(self) -> None:
        """Start the timer, the watch and the version comparison with peers."""
        self._timers.subscribe(TICK_SECONDS, self._tick)
        self._timers.subscribe(ANTI_ENTROPY_INTERVAL_SECONDS, self._compare_versions)
        self.spawn(self._watch())
        self.spawn(self._poll_instances())

    def stop(self) -> None:
        """Cancel the running coroutines."""
        for task in list(self._tasks):
            task.cancel()

    def update_members(self, members: MembersChanged) -> None:
        """Replace the view of the entry instances."""
        self.members = members
        self.handle(members)

    def handle(self, event: Event) -> None:
        """Pass an event to the core and carry out the returned actions."""
        for action in self.core.handle(event, time.monotonic()):
            self._carry_out(action)
        self._notify_traffic()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine concurrently until it ends or the task is stopped."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def apply_objects(
        self, objects: tuple[StoredObject, ...]
    ) -> tuple[StoredObject, ...]:
        """Apply the objects that are newer than the local copies and return them."""
        return tuple(item for item in objects if self._apply_object(item))

    async def patch(self, patch: Patch) -> PatchResult:
        """Apply an operator's patch; return once the platform has stored it."""
        for _ in range(MAX_PATCH_ATTEMPTS):
            try:
                result = await self._try_patch(patch)
            except PlatformUnavailableError:
                result = None
            if result is not None:
                return result
            await asyncio.sleep(PATCH_RETRY_SECONDS)
        raise PatchOutcomeUnknownError(
            f"the platform does not respond; check later whether patch {patch.id} "
            "took effect, or send it again under the same identifier"
        )

    def status(self) -> InstanceStatus:
        """Return the state of this instance."""
        endpoints = tuple(
            EndpointStatus(
                name,
                record.coordinator,
                record.term,
                self.core.is_coordinating(name),
            )
            for name, record in sorted(self.core.records.items())
        )
        units = {name: table.counts() for name, table in self.core.tables.items()}
        return InstanceStatus(
            self.core.instance,
            self.core.zone,
            self.core.cfg.number,
            endpoints,
            {
                name: {owner or "": count for owner, count in counts.items()}
                for name, counts in units.items()
            },
            dict(self._platform.calls),
        )

    def handle_versions_request(self, message: VersionsRequest) -> VersionsReply:
        """Return the objects that are newer than the versions of the peer."""
        newer = tuple(
            stored
            for name, stored in self._objects.items()
            if stored.version > message.versions.get(name, 0)
        )
        return VersionsReply(message.id, newer)

    def handle_renouncement_request(self, message: RenouncementRequest) -> None:
        """Pass a peer's request for renouncement to the core."""
        self.handle(
            RenounceRequested(message.sender, message.endpoint, message.version)
        )

    def handle_renouncement_reply(self, message: RenouncementReply) -> None:
        """Pass a peer's renouncement to the core."""
        self.handle(
            Renounced(
                message.sender, message.endpoint, message.version, message.renewed
            )
        )

    def _notify_traffic(self) -> None:
        """Notify the traffic task if the coordinated units may have changed."""
        coordinated = tuple(
            name for name in self.core.records if self.core.is_coordinating(name)
        )
        state = (coordinated, self._objects_applied)
        if self.traffic is None or state == self._notified_state:
            return
        self._notified_state = state
        self.traffic.ownership_changed()

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case WriteRecord(name, if_version, record, operation):
                value = msgspec.msgpack.encode(record)
                self.spawn(self._write(name, if_version, value, operation))
            case WriteTable(name, if_version, table, operation):
                value = msgspec.msgpack.encode(table)
                self.spawn(self._write(name, if_version, value, operation))
            case ReadObjects(names):
                self.spawn(self._read(names))
            case SendRenewal():
                self.spawn(self._renew_lease(action))
            case RequestRenounce(instance, endpoint, version):
                if instance in self._links:
                    self._links[instance].send(
                        RenouncementRequest(self.core.instance, endpoint, version)
                    )
            case ConfirmRenounce(instance, answer):
                if instance in self._links:
                    self._links[instance].send(
                        RenouncementReply(
                            answer.sender,
                            answer.endpoint,
                            answer.version,
                            answer.renewed,
                        )
                    )
            case DrainUnit(service, unit):
                if self.traffic is not None:
                    self.traffic.drain(service, unit)
            case RecordDecision(decision):
                self.decisions.append(decision)
                log_decision(decision)

    async def _write(
        self, name: str, if_version: int, value: bytes, operation: int
    ) -> None:
        fut = self._platform.write(name, if_version, value)
        match await asyncio.wrap_future(fut):
            case Written(version):
                self.apply_objects((StoredObject(name, version, value),))
                self.handle(WriteSucceeded(name, operation, version))
            case Conflict():
                self.handle(WriteConflicted(name, operation))
            case Unknown(detail):
                log_event("platform_write_unknown", object=name, detail=detail)
                self.handle(WriteOutcomeUnknown(name, operation))

    async def _read(self, names: tuple[str, ...]) -> None:
        for name in names:
            try:
                stored = await asyncio.wrap_future(self._platform.read(name))
            except PlatformUnavailableError:
                return
            if not self._apply_object(stored):
                # The core resolves a write of unknown outcome by this read, even if the
                # version is not newer.
                self._pass_to_core(stored)

    async def _renew_lease(self, action: SendRenewal) -> None:
        name = action.endpoint.name
        try:
            reply = await self._endpoints.renew(action.endpoint, action.renewal)
        except CurlError as exc:
            if exc.refused:
                self._report_endpoint_exit(name)
            self.handle(RenewalFailed(name, action.operation, exc.refused))
        except EndpointError:
            self.handle(RenewalFailed(name, action.operation, refused=False))
        else:
            if self._incarnations.get(name, reply.incarnation) != reply.incarnation:
                self._report_endpoint_exit(name)
            self._incarnations[name] = reply.incarnation
            if self._draining_incarnations.get(name) == reply.incarnation:
                reply = msgspec.structs.replace(reply, draining=True)
            self.handle(RenewalReplied(name, action.operation, reply))
            if self.traffic is not None and reply.refusal is None:
                self.traffic.lease_renewed(name, reply.load)

    def mark_draining(self, name: str) -> None:
        """Record that the endpoint refused a request because it is draining.

        Its lease replies may be out of date or wrong, so they are disregarded: the
        endpoint counts as draining until its process ends.
        """
        incarnation = self._incarnations.get(name)
        if incarnation is not None:
            self._draining_incarnations[name] = incarnation

    def _report_endpoint_exit(self, name: str) -> None:
        incarnation = self._incarnations.pop(name, None)
        if incarnation is not None and self.traffic is not None:
            self.traffic.endpoint_exited(name, incarnation)

    # Platform objects

    def _apply_object(self, stored: StoredObject) -> bool:
        local_copy = self._objects.get(stored.name)
        if stored.version == 0 or (local_copy and local_copy.version >= stored.version):
            return False
        self._objects[stored.name] = stored
        self._objects_applied += 1
        self._pass_to_core(stored)
        return True

    def _pass_to_core(self, stored: StoredObject) -> None:
        name, version = stored.name, stored.version
        value = stored.value if version else None
        if name.startswith(RECORD_PREFIX):
            record = value and msgspec.msgpack.decode(value, type=EndpointRecord)
            self.handle(RecordChanged(name, version, record or None))
        elif name.startswith(TABLE_PREFIX):
            table = value and msgspec.msgpack.decode(value, type=EncodedTable)
            self.handle(TableChanged(name, version, table or None))
        elif name == CONFIGURATION_NAME and value:
            cfg = msgspec.msgpack.decode(value, type=Configuration)
            log_event("configuration_in_force", number=cfg.number)
            self.handle(ConfigurationChanged(cfg))
            if self.traffic is not None:
                self.traffic.configure(cfg)
            self.on_configuration(cfg)

    async def _watch(self) -> None:
        """Watch the platform while this instance is its zone's watcher."""
        while True:
            if not self.is_watcher():
                await asyncio.sleep(WATCH_RETRY_SECONDS)
                continue
            try:
                changes = await asyncio.wrap_future(
                    self._platform.watch(self._revision, WATCH_WAIT_MS)
                )
            except PlatformUnavailableError:
                await asyncio.sleep(WATCH_RETRY_SECONDS)
                continue
            self._revision = changes.revision
            self.apply_objects(changes.objects)
            # Objects that this instance wrote are not new here, but they are new to
            # the other instances of its availability zone.
            if changes.objects:
                self._relay_to_zone(changes.objects)

    async def _poll_instances(self) -> None:
        """Poll the platform's list while this instance is its zone's watcher."""
        while True:
            if self.is_watcher():
                try:
                    fut = self._platform.instances()
                    self.on_instances_listed(await asyncio.wrap_future(fut))
                except PlatformUnavailableError:
                    pass
            await asyncio.sleep(LIST_INTERVAL_SECONDS)

    def _relay_to_zone(self, objects: tuple[StoredObject, ...]) -> None:
        for instance, link in self._links.items():
            if self.members.zones.get(instance) == self.core.zone:
                link.send(ObjectsChanged(objects))

    def _compare_versions(self) -> None:
        if self._links:
            name = self._rng.choice(sorted(self._links))
            self.spawn(self._fetch_newer_objects(self._links[name]))

    async def _fetch_newer_objects(self, link: PeerLink) -> None:
        versions = {name: item.version for name, item in self._objects.items()}
        try:
            reply = await link.call(VersionsRequest(link.next_id(), versions), 1.0)
        except PeerCallError:
            return
        if isinstance(reply, VersionsReply):
            self.apply_objects(reply.objects)

    async def _try_patch(self, patch: Patch) -> PatchResult | None:
        stored = await asyncio.wrap_future(self._platform.read(CONFIGURATION_NAME))
        self.apply_objects((stored,))
        current = Configuration()
        if stored.version:
            current = msgspec.msgpack.decode(stored.value, type=Configuration)
        result, changed = apply_patch(current, patch)
        if not isinstance(result, Accepted) or changed is current:
            return result
        value = msgspec.msgpack.encode(changed)
        written = await asyncio.wrap_future(
            self._platform.write(CONFIGURATION_NAME, stored.version, value)
        )
        if not isinstance(written, Written):
            # After a conflict or a lost answer, the next attempt reads the stored
            # configuration, which contains the patch's identifier if it took effect.
            return None
        self.apply_objects((StoredObject(CONFIGURATION_NAME, written.version, value),))
        return result

    def _tick(self) -> None:
        self.handle(Tick(time.time()))

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log_exception("control task failed", exc)
