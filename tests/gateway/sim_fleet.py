"""Several instances with a store and endpoints in one process, in virtual time.

The store, the datagrams and the orders to endpoints can be cut, delayed, lost or
answered late. Every grant that an endpoint applies is checked: two endpoints must
never hold a key at the same time, and its tokens must rise.
"""

import asyncio
import contextlib
import dataclasses
import os
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from arbutusflow.domain.errors import (
    ConflictError,
    HistoryGoneError,
    PlatformUnavailableError,
)
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import InstanceRecord
from arbutusflow.gateway.fleet_task import FleetTask
from arbutusflow.gateway.model import Address, Answer, Endpoint, ExchangeError
from arbutusflow.platform.store import Change, Changes, Snapshot, StoredObject
from tests.gateway.virtual_time import run

SLOW_CLOCK = 1.02  # An endpoint may count a lease two percent too long.
SERVICE = "registry"
PROBED_KEYS = tuple(range(0, 65536, 512))


class SimStore:
    """Linearizable store; `away` names the instances that do not reach it."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[str, StoredObject] = {}
        self.history: list[tuple[int, Change]] = []
        self.forgotten = 0  # Revisions up to this one are no longer in the history.
        self.away: set[str] = set()
        self.mute: set[str] = set()  # Instances whose calls get no answer.
        self.lose_answers = False
        self.reach_seconds = 0.004  # On the way there, and on the way back of a watch.
        self.lag_seconds = 0.0  # Of watches that may lag.
        self.changed = asyncio.Event()

    def record(self, item: StoredObject, removed: bool) -> None:
        if removed:
            del self.objects[item.name]
        else:
            self.objects[item.name] = item
        self.history.append((self.revision, Change(item, removed)))
        self.changed.set()
        self.changed = asyncio.Event()


class SimStoreClient:
    """The calls of one instance; the same methods as the real client."""

    def __init__(self, store: SimStore, name: str) -> None:
        self._store = store
        self._name = name
        self.calls = 0

    async def _reach(self) -> None:
        self.calls += 1
        await asyncio.sleep(self._store.reach_seconds)
        if self._name in self._store.mute:
            await asyncio.sleep(60.0)
        if self._name in self._store.away:
            await asyncio.sleep(0.5)
            raise PlatformUnavailableError("cut off")

    async def list(
        self, kind: str, timeout: float, receipt: ResponseProgress
    ) -> Snapshot:
        await self._reach()
        return Snapshot(tuple(self._store.objects.values()), self._store.revision)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_seconds: float,
        receipt: ResponseProgress,
        *,
        may_lag: bool,
    ) -> Changes:
        await self._reach()
        store = self._store
        if may_lag:
            await asyncio.sleep(min(store.lag_seconds, wait_seconds))
        if revision < store.forgotten:
            raise HistoryGoneError("gone")
        if store.revision <= revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_seconds):
                    await store.changed.wait()
        await self._reach()
        changes = tuple(c for r, c in store.history if r > revision)
        return Changes(changes, store.revision)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        await self._reach()
        if name in self._store.objects:
            raise ConflictError(self._store.objects[name])
        return await self._write(name, spec)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredObject:
        await self._reach()
        known = self._store.objects.get(name)
        if known is None or known.revision != revision:
            raise ConflictError(known)
        return await self._write(name, spec)

    async def _write(self, name: str, spec: Any) -> StoredObject:
        self._store.revision += 1
        spec = msgspec.json.decode(msgspec.json.encode(spec))
        item = StoredObject(name, self._store.revision, spec, {})
        self._store.record(item, removed=False)
        if self._store.lose_answers:
            await asyncio.sleep(0.3)
            raise PlatformUnavailableError("the answer was lost")
        return item

    async def delete(self, kind: str, name: str, revision: int) -> None:
        await self._reach()
        known = self._store.objects.get(name)
        if known is None:
            return
        if known.revision != revision:
            raise ConflictError(known)
        self._store.revision += 1
        self._store.record(known, removed=True)


@dataclasses.dataclass
class _Hold:
    first: int
    last: int
    token: int
    until: float


class OwnershipViolationError(AssertionError):
    """Two endpoints held a key, or a token did not rise."""


class SimEndpoint:
    """Holds of one endpoint by its own slow clock."""

    def __init__(self, world: "SimFleet", endpoint: Endpoint) -> None:
        self.world = world
        self.endpoint = endpoint
        self.holds: list[_Hold] = []
        self.highest: dict[int, int] = {}

    def held(self, key: int, now: float) -> int | None:
        for hold in self.holds:
            if hold.first <= key <= hold.last and now < hold.until:
                return hold.token
        return None

    def grant(self, order: dict[str, Any], arrived: float) -> Answer:
        now = self.world.now
        first, last, token = order["from"], order["to"], order["fence"]
        keys = [key for key in PROBED_KEYS if first <= key <= last]
        if any(self.highest.get(key, 0) > token for key in keys):
            return _answer(409)
        until = arrived + order["holdS"] * SLOW_CLOCK
        self.holds = [h for h in self.holds if (h.first, h.last) != (first, last)]
        for hold in list(self.holds):
            self._cut(hold, first, last)
        self.holds.append(_Hold(first, last, token, until))
        for key in keys:
            self.highest[key] = token
            if until > now:
                self.world.check(self, key, token)
        return _answer(200)

    def release(self, order: dict[str, Any]) -> Answer:
        for hold in list(self.holds):
            self._cut(hold, order["from"], order["to"])
        return _answer(200, ((b"Handover", b"h%d" % order["fence"]),))

    def _cut(self, hold: _Hold, first: int, last: int) -> None:
        if hold.last < first or hold.first > last:
            return
        self.holds.remove(hold)
        if hold.first < first:
            self.holds.append(_Hold(hold.first, first - 1, hold.token, hold.until))
        if hold.last > last:
            self.holds.append(_Hold(last + 1, hold.last, hold.token, hold.until))


def _answer(status: int, headers: tuple[tuple[bytes, bytes], ...] = ()) -> Answer:
    return Answer(status, b"", headers, b"", reusable=True)


class _OrderConnection:
    def __init__(self, world: "SimFleet", sender: str, target: SimEndpoint) -> None:
        self.world, self.sender, self.target = world, sender, target

    async def exchange(self, head: bytes, body: bytes, timeout: float) -> Answer:
        world, order = self.world, msgspec.json.decode(body)
        await asyncio.sleep(world.order_seconds)
        if (self.sender, self.target.endpoint.id) in world.cut_orders:
            await asyncio.sleep(timeout)
            raise ExchangeError("silent", sent=True)
        arrived = world.now
        if b"/release" in head:
            await asyncio.sleep(world.work_seconds)
            return self.target.release(order)
        if world.rng.random() < world.late_share:
            delay = world.rng.uniform(2.0, 12.0)
            world.later(delay, lambda: self.target.grant(order, arrived))
            await asyncio.sleep(timeout)
            raise ExchangeError("no answer", sent=True)
        return self.target.grant(order, arrived)


class _OrderPool:
    def __init__(self, world: "SimFleet", sender: str) -> None:
        self.world, self.sender = world, sender

    @contextlib.asynccontextmanager
    async def connection(self, address: Address, **options: Any) -> Any:
        yield _OrderConnection(self.world, self.sender, self.world.by_address[address])


class _Wire:
    """Datagram transport between the simulated instances."""

    def __init__(self, world: "SimFleet", sender: str) -> None:
        self.world, self.sender = world, sender

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        world = self.world
        if (
            self.sender,
            target[0],
        ) in world.cut_peers or world.rng.random() < world.loss:
            return
        world.later(0.002, lambda: world.deliver(self.sender, target[0], data))


class _Workload:
    def __init__(self, instance: "SimInstance") -> None:
        self._instance = instance

    def in_flight(self) -> dict[str, int]:
        return self._instance.load

    def touch_age(self, now: float) -> float:
        return self._instance.task.copy.touch_age(now)

    def known_revisions(self) -> tuple[int, int]:
        return 0, 0

    def strikes(self) -> tuple[()]:
        return ()

    def take_report(self, report: Any) -> None:
        pass

    def service_times(self, service: str) -> dict[str, tuple[float, int]]:
        return dict.fromkeys(self._instance.world.endpoints, (0.2, 10))


class SimInstance:
    """One life of an instance."""

    def __init__(self, world: "SimFleet", name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.load: dict[str, int] = {}
        self.received = 0  # Datagrams.
        self.frozen = False
        self.ended = False
        life = world.rng.getrandbits(40)
        log = EventLog(name, fd=world.log_fd)
        self.task = FleetTask(
            InstanceRecord(name, life, name, 1, zone),
            SimStoreClient(world.store, name),  # type: ignore[arg-type]
            _OrderPool(world, name),  # type: ignore[arg-type]
            {},
            _Workload(self),
            log,
            max_lease_seconds=10.0,
        )
        self.task.peers.connection_made(_Wire(world, name))  # type: ignore[arg-type]
        self.task.use_services([SERVICE])
        self._work = [
            asyncio.create_task(self.task.copy.run()),
            asyncio.create_task(self._run()),
        ]

    async def _run(self) -> None:
        count = 0
        while True:
            await asyncio.sleep(0.05)
            if self.frozen:
                continue
            count += 1
            self.task.leases.update_endpoints(self.world.listed())
            self.task.tick(self.world.now)
            self.task.report_if_due()
            if count % 10 == 0:
                for key in self.world.busy_keys:
                    self.task.demand.count(SERVICE, key)
                self.task.decay_demand()

    def kill(self) -> None:
        """End without a word."""
        self.ended = True
        for owner in (self.task, self.task.leases, self.task.moves):
            self._work.extend(owner._tasks)
        for task in self._work:
            task.cancel()

    async def stop(self) -> None:
        """End as planned."""
        self.task.leases.stopping = True
        await asyncio.sleep(2.6)
        await self.task.leave(0.2)
        self.kill()


def run_fleet(
    work: Callable[["SimFleet"], Awaitable[Any]], seed: int = 1, instances: int = 5
) -> Any:
    """Run a test's work on a simulated fleet in virtual time."""

    async def main() -> Any:
        log_fd = os.open(os.devnull, os.O_WRONLY)
        world = SimFleet(seed, log_fd, instances)
        try:
            return await work(world)
        finally:
            for instance in world.instances.values():
                instance.kill()
            os.close(log_fd)

    return run(main())


class SimFleet:
    """The world: instances, endpoints, store and faults."""

    def __init__(self, seed: int, log_fd: int, instances: int = 5) -> None:
        self.rng = random.Random(seed)
        self.log_fd = log_fd
        self.loop = asyncio.get_running_loop()
        self.store = SimStore()
        self.cut_orders: set[tuple[str, str]] = set()
        self.cut_peers: set[tuple[str, str]] = set()
        self.loss = 0.01  # Share of datagrams.
        self.late_share = 0.0
        self.order_seconds = 0.002  # Until an order arrives.
        self.work_seconds = 0.1
        self.busy_keys: list[int] = []
        self.endpoints: dict[str, SimEndpoint] = {}
        self.by_address: dict[Address, SimEndpoint] = {}
        self.unlisted: set[str] = set()
        self.highest: dict[int, int] = {}
        self.violations: list[str] = []
        for number in range(4):
            self.add_endpoint(f"e{number}", f"z{number % 2}")
        self.instances = {
            f"n{number}": SimInstance(self, f"n{number}", f"z{number % 2}")
            for number in range(instances)
        }

    @property
    def now(self) -> float:
        """Virtual time."""
        return self.loop.time()

    def add_endpoint(self, name: str, zone: str) -> None:
        """Start an endpoint."""
        address = Address(name, 1)
        endpoint = Endpoint(name, SERVICE, address, zone, 2, False, 0.0, 1)
        self.endpoints[name] = SimEndpoint(self, endpoint)
        self.by_address[address] = self.endpoints[name]

    def listed(self) -> dict[str, Endpoint]:
        """Return what the store lists."""
        return {
            name: e.endpoint
            for name, e in self.endpoints.items()
            if name not in self.unlisted
        }

    def later(self, seconds: float, action: Any) -> None:
        """Do something at a later time."""
        self.loop.call_later(seconds, action)

    def deliver(self, sender: str, target: str, data: bytes) -> None:
        """Hand a datagram to an instance; a frozen one gets it when it wakes."""
        instance = self.instances.get(target)
        if instance is None or instance.ended:
            return
        if instance.frozen:
            self.later(0.1, lambda: self.deliver(sender, target, data))
            return
        instance.received += 1
        instance.task.peers.datagram_received(data, (sender, 1))

    def check(self, holder: SimEndpoint, key: int, token: int) -> None:
        """Raise if another endpoint holds the key or had a higher token."""
        for other in self.endpoints.values():
            if other is not holder and other.held(key, self.now) is not None:
                self.violations.append(
                    f"{self.now:.3f}: key {key} at {holder.endpoint.id} (token {token})"
                    f" and {other.endpoint.id} (token {other.held(key, self.now)})"
                )

    def restart(self, name: str) -> None:
        """Kill an instance and start its next life."""
        zone = self.instances[name].zone
        self.instances[name].kill()
        self.instances[name] = SimInstance(self, name, zone)

    def owned_share(self) -> float:
        """Return the share of keys that some endpoint holds."""
        held = sum(
            any(e.held(key, self.now) is not None for e in self.endpoints.values())
            for key in PROBED_KEYS
        )
        return held / len(PROBED_KEYS)
