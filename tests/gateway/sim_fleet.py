"""Simulation of several instances with a store and endpoints in virtual time.

Store calls, datagrams and orders to endpoints can be blocked, delayed, lost or answered
late. Links can have a bandwidth: bytes wait for those before them. A datagram that is
larger than a packet is lost if any of its fragments is. Endpoints reject grants with a
token lower than an earlier one. Every grant that an endpoint applies is checked: no
other endpoint may hold one of its keys, or have had one with the same or a higher
token.

The store can go back to an earlier copy, in a new era. Revisions are given out again
then, so a number alone names no state. Every table that an instance puts in force is
checked: it must not be from an era before that of the table in force.
"""

import asyncio
import bisect
import contextlib
import dataclasses
import math
import operator
import os
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from arbutusflow.errors import (
    ConflictError,
    HistoryGoneError,
    PlatformUnavailableError,
)
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.evacuations import Evacuations
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import InstanceRecord
from arbutusflow.gateway.fleet_task import WATCH_SECONDS, FleetTask
from arbutusflow.gateway.key_table import KeyTable, StoredTable
from arbutusflow.gateway.model import (
    Address,
    Endpoint,
    ExchangeError,
    HttpResponse,
    StorePoint,
)
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import (
    EVACUATIONS_KIND,
    Change,
    Changes,
    Snapshot,
    StoredObject,
    StoreEra,
)
from tests.gateway.virtual_time import run

SLOW_CLOCK_FACTOR = 1.02  # The clock of an endpoint may run 2 % slow.
# Received datagrams that the kernel keeps for a suspended instance. Fewer than on a
# real host, because there are fewer instances that send any.
MAX_UNREAD_DATAGRAMS = 10
PACKET_BYTES = 1480  # Of a datagram, at an MTU of 1,500 bytes.
PACKET_HEADER_BYTES = 20
SERVICE = "registry"
SAMPLED_KEYS = tuple(range(0, 65536, 512))
OTHER_KIND = "config"  # Objects that no instance writes.
OTHER_NAME = "main"
ZONES = ("z0", "z1", "z2")  # An object with such a name is an evacuation.
TABLE_NAME = "keys"  # Start of the names of key tables.


class SimStore:
    """Linearizable store, in which faults can be injected for single instances."""

    def __init__(self) -> None:
        self.revision = 10
        self.era = 0
        # Copies that the store can go back to: time, revision and objects.
        self.copies: list[tuple[float, int, dict[str, StoredObject]]] = []
        # First and last era in which the store held a key table, by its content.
        self.table_eras: dict[bytes, tuple[int, int]] = {}
        self.objects: dict[str, StoredObject] = {}
        self.history: list[tuple[int, Change]] = []
        self.compacted_revision = 0  # Watches from below are rejected.
        self.unreachable_for: set[str] = set()  # Instances whose calls fail.
        self.unresponsive_to: set[str] = set()  # Instances whose calls get no answer.
        self.lose_answers = False
        self.down = False  # Each call fails at once.
        self.late_answers = 0  # Of an earlier era.
        self.answer_seconds = 0.0  # Of a write, besides.
        # By instance: seconds that answers are on their way after they were made.
        self.late_seconds: dict[str, float] = {}
        self.transit_seconds = 0.004  # Per call, and again for the reply of a watch.
        self.lag_seconds = 0.0  # Delay of watches that may lag, at their start.
        self.change_lag_seconds = 0.0  # The same for changes while they wait.
        self.changed = asyncio.Event()
        # Seconds until an answer of some bytes has reached an instance.
        self.transfer_seconds: Callable[[str, int], float] = lambda name, size: 0.0
        self._sizes: dict[tuple[str, StorePoint], int] = {}

    @property
    def point(self) -> StorePoint:
        """The latest revision, with the era."""
        return StorePoint(self.era, self.revision)

    def keep_copy(self, now: float) -> None:
        """Keep a copy to go back to."""
        self.copies.append((now, self.revision, dict(self.objects)))

    def go_back(self, until: float) -> None:
        """Come back from the latest copy that is not later than a time."""
        self.copies = [c for c in self.copies if c[0] <= until] or self.copies[:1]
        _, self.revision, objects = self.copies[-1]
        other = self.objects.get(OTHER_NAME)
        self.era += 1
        # Reads show all objects as of this era.
        self.objects = {n: self._in_era(item) for n, item in objects.items()}
        self.history = [
            (revision, Change(self._in_era(change.object), change.removed))
            for revision, change in self.history
            if revision <= self.revision
        ]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        for item in self.objects.values():
            self._note_table(item)
        known = self.objects.get(OTHER_NAME)
        if other is not None and (known is None or known.spec != other.spec):
            self.write_other(other.spec["value"])  # Its writer does so at once.
        self.changed.set()
        self.changed = asyncio.Event()

    def _note_table(self, item: StoredObject) -> None:
        if item.name.startswith(TABLE_NAME):
            content = encode_content(item.spec)
            first, _ = self.table_eras.get(content, (self.era, self.era))
            self.table_eras[content] = first, self.era

    def _in_era(self, item: StoredObject) -> StoredObject:
        point = StorePoint(self.era, item.revision.number)
        return dataclasses.replace(item, revision=point)

    def size_of(self, items: Iterable[StoredObject]) -> int:
        """Return the bytes of an answer with these objects."""
        total = 0
        for item in items:
            key = item.name, item.revision
            if key not in self._sizes:
                self._sizes[key] = len(msgspec.json.encode(item.raw))
            total += self._sizes[key]
        return total

    def changes_since(self, revision: int, kind: str) -> tuple[Change, ...]:
        """Return the changes of one kind after a revision."""
        # Each change has a higher revision than the one before.
        first = bisect.bisect_right(self.history, revision, key=operator.itemgetter(0))
        return tuple(
            change
            for _, change in self.history[first:]
            if _is_of_kind(change.object, kind)
        )

    def write_other(self, value: Any) -> None:
        """Write the object that all instances have to learn."""
        self.revision += 1
        spec = {"value": value}
        item = StoredObject(OTHER_NAME, self.point, spec, {"spec": spec})
        self.record(item, removed=False)

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Write or remove the evacuation of a zone, as an operator does."""
        self.revision += 1
        item = StoredObject(zone, self.point, {}, {"spec": {}})
        self.record(item, removed=not evacuated)

    def record(self, item: StoredObject, removed: bool) -> None:
        if removed:
            del self.objects[item.name]
        else:
            self.objects[item.name] = item
        self.history.append((self.revision, Change(item, removed)))
        self._note_table(item)
        self.keep_copy(asyncio.get_running_loop().time())
        self.changed.set()
        self.changed = asyncio.Event()


def encode_content(table: Any) -> bytes:
    """Return bytes that are equal for equal key tables, decoded or not."""
    return msgspec.json.encode(msgspec.to_builtins(table), order="deterministic")


def _is_of_kind(item: StoredObject, kind: str) -> bool:
    kinds = {OTHER_NAME: OTHER_KIND, **dict.fromkeys(ZONES, EVACUATIONS_KIND)}
    # All other objects are of any other kind.
    return kinds.get(item.name, kind) == kind and (
        item.name in kinds or kind not in kinds.values()
    )


class SimStoreClient:
    """Store client of one instance, with the interface of the real client."""

    def __init__(self, store: SimStore, name: str) -> None:
        self._store = store
        self._name = name
        self.calls = 0
        self.probes = 0
        self.era = StoreEra()

    def _accept(self, era: int) -> None:
        """Learn the era of an answer; one of an earlier era is discarded."""
        if era != self._store.era:  # It was on its way when the store went back.
            self._store.late_answers += 1
        self.era.accept(b"%d" % era)

    async def _wait_late(self) -> None:
        """Let an answer be late that the store has made."""
        seconds = self._store.late_seconds.get(self._name, 0.0)
        if seconds:
            await asyncio.sleep(seconds)

    async def _reach_store(self) -> None:
        self.calls += 1
        await asyncio.sleep(self._store.transit_seconds)
        if self._store.down:
            raise PlatformUnavailableError("down", sent=False)
        if self._name in self._store.unresponsive_to:
            await asyncio.sleep(60.0)
        if self._name in self._store.unreachable_for:
            await asyncio.sleep(0.5)
            raise PlatformUnavailableError("cut off")

    async def list(
        self,
        kind: str,
        timeout: float,
        progress: ResponseProgress,
        *,
        may_lag: bool = False,
    ) -> Snapshot:
        await self._reach_store()
        objects = self._store.objects.values()
        items = tuple(i for i in objects if _is_of_kind(i, kind))
        revision = self._store.point
        await self._receive(items)
        await self._wait_late()
        self._accept(revision.era)
        return Snapshot(items, revision)

    async def _receive(self, items: Iterable[StoredObject]) -> None:
        size = self._store.size_of(items)
        await asyncio.sleep(self._store.transfer_seconds(self._name, size))

    async def watch(
        self,
        kind: str,
        revision: StorePoint,
        wait_seconds: float,
        progress: ResponseProgress,
        *,
        may_lag: bool,
    ) -> Changes:
        await self._reach_store()
        store = self._store
        if may_lag:
            await asyncio.sleep(min(store.lag_seconds, wait_seconds))
        number, era = revision.number, store.era
        if not store.compacted_revision <= number <= store.revision:
            self._accept(era)
            raise HistoryGoneError("gone")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while store.era == era and not store.changes_since(number, kind):
                    await store.changed.wait()
        if may_lag:
            await asyncio.sleep(store.change_lag_seconds)
        if store.era != era:
            raise PlatformUnavailableError("cut off")
        await self._reach_store()
        result = Changes(store.changes_since(number, kind), store.point)
        await self._receive(change.object for change in result.changes)
        await self._wait_late()
        self._accept(result.revision.era)
        if result.revision.era != revision.era:
            raise HistoryGoneError("another era")
        return result

    async def probe(self, timeout: float) -> None:
        self.probes += 1
        self.calls -= 1  # Probes are counted on their own: they cost a tenth.
        try:
            async with asyncio.timeout(timeout):
                await self._reach_store()
                self._accept(self._store.era)
        except TimeoutError as exc:
            raise PlatformUnavailableError("no answer") from exc

    async def peek(
        self,
        kind: str,
        revision: StorePoint,
        timeout: float,
        progress: ResponseProgress,
    ) -> Changes:
        await self.probe(timeout)
        store, number = self._store, revision.number
        in_history = store.compacted_revision <= number <= store.revision
        if revision.era != store.era or not in_history:
            raise HistoryGoneError("gone")
        return Changes(store.changes_since(number, kind), store.point)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        called_in = self.era.current
        await self._reach_store()
        if name in self._store.objects:
            self._accept_write(called_in, self._store.era)
            raise ConflictError(self._store.objects[name])
        return await self._write(name, spec, called_in)

    def _accept_write(self, called_in: int, era: int) -> None:
        """Learn the era of an answer to a write, whose call was of an era as well."""
        self._accept(era)
        if era != called_in:
            raise PlatformUnavailableError("another era")

    def _check_condition(self, revision: StorePoint) -> None:
        if revision.era != self.era.current:
            raise ConflictError(None)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: StorePoint
    ) -> StoredObject:
        self._check_condition(revision)
        await self._reach_store()
        known = self._store.objects.get(name)
        if known is None or known.revision.number != revision.number:
            self._accept_write(revision.era, self._store.era)
            raise ConflictError(known)
        return await self._write(name, spec, revision.era)

    async def _write(self, name: str, spec: Any, called_in: int) -> StoredObject:
        self._store.revision += 1
        spec = msgspec.json.decode(msgspec.json.encode(spec))
        item = StoredObject(name, self._store.point, spec, {"spec": spec})
        self._store.record(item, removed=False)
        if self._store.lose_answers:
            await asyncio.sleep(0.3)
            raise PlatformUnavailableError("the answer was lost")
        await asyncio.sleep(self._store.answer_seconds)
        await self._wait_late()
        self._accept_write(called_in, item.revision.era)
        return item

    async def delete(self, kind: str, name: str, revision: StorePoint) -> None:
        self._check_condition(revision)
        await self._reach_store()
        known = self._store.objects.get(name)
        if known is not None and known.revision.number == revision.number:
            self._store.revision += 1
            self._store.record(known, removed=True)
            known = None
        self._accept_write(revision.era, self._store.era)
        if known is not None:
            raise ConflictError(known)


@dataclasses.dataclass
class _Lease:
    first: int
    last: int
    token: int
    until: float


class OwnershipViolationError(AssertionError):
    """Two endpoints held a key, or a token did not increase."""


class SimEndpoint:
    """Leases of one endpoint, which it measures by a slow clock."""

    def __init__(self, sim: "SimFleet", endpoint: Endpoint) -> None:
        self.sim = sim
        self.endpoint = endpoint
        self.leases: list[_Lease] = []
        self.highest_tokens: dict[int, int] = {}

    def restart(self) -> None:
        """Forget everything, as the next process under the same identifier does."""
        self.leases, self.highest_tokens = [], {}
        self.endpoint = dataclasses.replace(
            self.endpoint, started_ms=self.endpoint.started_ms + 1000
        )

    def token_for(self, key: int, now: float) -> int | None:
        for lease in self.leases:
            if lease.first <= key <= lease.last and now < lease.until:
                return lease.token
        return None

    def grant(self, order: dict[str, Any], arrived: float) -> HttpResponse:
        now = self.sim.now
        first, last, token = order["from"], order["to"], order["fence"]
        keys = [key for key in SAMPLED_KEYS if first <= key <= last]
        if any(self.highest_tokens.get(key, 0) > token for key in keys):
            return _response(409)
        until = arrived + order["holdS"] * SLOW_CLOCK_FACTOR
        self.leases = [h for h in self.leases if (h.first, h.last) != (first, last)]
        for lease in list(self.leases):
            self._remove_keys(lease, first, last)
        self.leases.append(_Lease(first, last, token, until))
        for key in keys:
            self.highest_tokens[key] = token
            if until > now:
                self.sim.check_grant(self, key, token)
                if arrived == now:
                    self.sim.check_token(self, key, token)
        return _response(200)

    def release(self, order: dict[str, Any]) -> HttpResponse:
        for lease in list(self.leases):
            self._remove_keys(lease, order["from"], order["to"])
        return _response(200, ((b"Handover", b"h%d" % order["fence"]),))

    def _remove_keys(self, lease: _Lease, first: int, last: int) -> None:
        if lease.last < first or lease.first > last:
            return
        self.leases.remove(lease)
        if lease.first < first:
            self.leases.append(_Lease(lease.first, first - 1, lease.token, lease.until))
        if lease.last > last:
            self.leases.append(_Lease(last + 1, lease.last, lease.token, lease.until))


def _response(
    status: int, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> HttpResponse:
    return HttpResponse(status, b"", headers, b"", reusable=True)


_Answer = Callable[[HttpResponse | None], None]


class _OrderConnection:
    def __init__(
        self, sim: "SimFleet", sender: str, target: SimEndpoint, fresh: bool
    ) -> None:
        self.sim, self.sender, self.target = sim, sender, target
        self.fresh = fresh

    async def exchange(self, head: bytes, body: bytes, timeout: float) -> HttpResponse:
        sim, order = self.sim, msgspec.json.decode(body)
        answered: asyncio.Future[HttpResponse | None] = sim.loop.create_future()

        def answer(response: HttpResponse | None) -> None:
            if not answered.done():
                answered.set_result(response)

        # What was sent arrives even if the sender ends meanwhile.
        arrive = self._arrive_release if b"/release" in head else self._arrive_grant
        sim.call_later(sim.order_seconds, lambda: arrive(order, answer))
        response = await answered
        if response is None:
            await asyncio.sleep(timeout)
            raise ExchangeError("no answer", sent=True)
        return response

    @property
    def _is_blocked(self) -> bool:
        return (self.sender, self.target.endpoint.id) in self.sim.blocked_orders

    def _arrive_release(self, order: dict[str, Any], answer: _Answer) -> None:
        if self._is_blocked:
            answer(None)
            return
        self.sim.call_later(
            self.sim.release_seconds, lambda: answer(self.target.release(order))
        )

    def _arrive_grant(self, order: dict[str, Any], answer: _Answer) -> None:
        sim, arrived = self.sim, self.sim.now
        if self._is_blocked:
            answer(None)
        elif not self.fresh and sim.rng.random() < sim.misled_share:
            # The sender gets a second copy of the answer to an earlier order.
            delay = sim.rng.uniform(0.5, 6.0)
            sim.call_later(delay, lambda: self.target.grant(order, arrived))
            answer(_response(200))
        elif sim.rng.random() < sim.late_grant_share:
            delay = sim.rng.uniform(2.0, 12.0)
            sim.call_later(delay, lambda: self.target.grant(order, arrived))
            answer(None)
        else:
            answer(self.target.grant(order, arrived))


class _OrderPool:
    def __init__(self, sim: "SimFleet", sender: str) -> None:
        self.sim, self.sender = sim, sender

    @contextlib.asynccontextmanager
    async def connection(self, address: Address, **options: Any) -> Any:
        target = self.sim.by_address[address]
        pair = (self.sender, target.endpoint.id)
        if pair in self.sim.refused_orders or pair[1] in self.sim.closed_ports:
            raise ExchangeError("refused", sent=False)
        fresh = options.get("fresh", False)
        yield _OrderConnection(self.sim, self.sender, target, fresh)


class _DatagramTransport:
    """Datagram transport between the simulated instances."""

    def __init__(self, sim: "SimFleet", sender: str) -> None:
        self.sim, self.sender = sim, sender

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        sim = self.sim
        if (
            self.sender,
            target[0],
        ) in sim.blocked_datagrams or sim.rng.random() < sim.datagram_loss:
            return
        seconds, arrives = sim.carry(self.sender, target[0], len(data))
        if arrives:
            sim.call_later(seconds, lambda: sim.deliver(self.sender, target[0], data))


class _Workload:
    def __init__(self, instance: "SimInstance") -> None:
        self._instance = instance

    def in_flight(self) -> dict[str, int]:
        return self._instance.load

    def connected_seconds(self, now: float) -> float:
        return self._instance.task.copy.connected_seconds(now)

    def known_revisions(self) -> tuple[StorePoint, StorePoint]:
        return StorePoint(0, 0), StorePoint(0, 0)

    def strikes(self) -> tuple[()]:
        return ()

    def leaving_endpoints(self) -> dict[str, int]:
        return {}

    def apply_report(self, report: Any) -> None:
        pass

    def apply_follower(self, report: Any) -> None:
        pass

    def apply_digest(self, digest: Any, reported: dict[str, int]) -> None:
        pass

    def fleet_in_flight(self) -> dict[str, int]:
        return self._instance.load

    def service_times(self, service: str) -> dict[str, tuple[float, int]]:
        return dict.fromkeys(self._instance.sim.endpoints, (0.2, 10))


class SimInstance:
    """One incarnation of an instance."""

    # Whether instances also keep a copy of `OTHER_KIND`.
    has_other_copy = False
    # Bound for evacuations; no copy of them if None.
    evacuation_seconds: float | None = None

    def __init__(self, sim: "SimFleet", name: str, zone: str) -> None:
        self.sim, self.name, self.zone = sim, name, zone
        self.load: dict[str, int] = {}
        self.received = 0  # Datagrams.
        self.suspended = False
        # Datagrams that arrive while it is suspended; later ones are dropped.
        self.unread: list[tuple[str, bytes]] = []
        self.stopped = False
        # By revision of `OTHER_KIND`: when it was in force here.
        self.in_force_at: dict[StorePoint, float] = {}
        life = sim.rng.getrandbits(40)
        log, client = EventLog(name, fd=sim.log_fd), SimStoreClient(sim.store, name)
        copies = {}
        if self.has_other_copy:
            self.other_copy = copies[OTHER_KIND] = ObjectCopy(
                client,  # type: ignore[arg-type]
                OTHER_KIND,
                WATCH_SECONDS,
                self._note_other,
                log,
                random.Random(life + 1),
            )
        self.evacuations = Evacuations(self.evacuation_seconds, log)
        if self.evacuation_seconds is not None:
            self.evacuation_copy = copies[EVACUATIONS_KIND] = ObjectCopy(
                client,  # type: ignore[arg-type]
                EVACUATIONS_KIND,
                WATCH_SECONDS,
                self._note_evacuations,
                log,
                random.Random(life + 2),
            )
            self.evacuation_copy.is_optional = True
        self.task = FleetTask(
            InstanceRecord(name, life, name, 1, zone),
            client,  # type: ignore[arg-type]
            _OrderPool(sim, name),  # type: ignore[arg-type]
            copies,
            _Workload(self),
            log,
            max_lease_seconds=10.0,
            rng=random.Random(life),
        )
        self.task.moves.may_balance = self.evacuations.may_balance
        self.task.peers.connection_made(_DatagramTransport(sim, name))  # type: ignore[arg-type]
        self._check_tables()
        self.task.set_partitioned_services([SERVICE])
        self._background_tasks = [
            asyncio.create_task(self.task.copy.run()),
            asyncio.create_task(self._run()),
            *(asyncio.create_task(copy.run()) for copy in copies.values()),
        ]

    def _check_tables(self) -> None:
        """Check each table that this instance puts in force."""
        in_force: dict[str, KeyTable] = {}
        leases = self.task.leases
        note = leases.on_table_change

        def check(stored: StoredTable) -> None:
            service = stored.table.service
            self.sim.check_table(self.name, in_force.get(service), stored.table)
            in_force[service] = stored.table
            note(stored)

        leases.on_table_change = check

    def _note_other(self) -> None:
        item = self.other_copy.objects.get(OTHER_NAME)
        if item is not None:
            self.in_force_at.setdefault(item.revision, self.sim.now)

    def _note_evacuations(self) -> None:
        self.evacuations.learn(self.evacuation_copy, self.sim.now)
        self._use_endpoints()

    def _use_endpoints(self) -> None:
        listed = self.sim.listed_endpoints(self.name)
        view = self.evacuations.view(listed, ZONES, lambda name: None, self.sim.now)
        self.task.leases.update_endpoints(view.endpoints)

    async def _run(self) -> None:
        count = 0
        while True:
            await asyncio.sleep(0.05)
            if self.suspended:
                continue
            count += 1
            self.evacuations.tick(self.sim.now)
            self._use_endpoints()
            self.task.tick(self.sim.now)
            for sender, data in self.unread:
                self.task.peers.datagram_received(data, (sender, 1))
            self.unread.clear()
            self.task.report_if_due()
            if count % 10 == 0:
                for key in self.sim.busy_keys:
                    self.task.demand.count(SERVICE, key)
                self.task.decay_demand()

    def kill(self) -> None:
        """Stop at once, without deregistering."""
        self.stopped = True
        self.task.probes.close()
        for owner in (self.task, self.task.leases, self.task.moves):
            self._background_tasks.extend(owner._tasks)
        for task in self._background_tasks:
            task.cancel()

    async def stop(self) -> None:
        """Shut down gracefully, as after SIGTERM."""
        self.task.leases.stopping = True
        await asyncio.sleep(2.6)
        await self.task.leave(0.2)
        self.kill()


def run_fleet(
    scenario: Callable[["SimFleet"], Awaitable[Any]], seed: int = 1, instances: int = 5
) -> Any:
    """Run a test function on a simulated fleet in virtual time."""

    async def main() -> Any:
        log_fd = os.open(os.devnull, os.O_WRONLY)
        sim = SimFleet(seed, log_fd, instances)
        try:
            return await scenario(sim)
        finally:
            for instance in sim.instances.values():
                instance.kill()
            os.close(log_fd)

    return run(main())


class SimFleet:
    """Simulated instances, endpoints and store, with the faults to inject."""

    zone_count = 2  # Of instances.

    def __init__(self, seed: int, log_fd: int, instances: int = 5) -> None:
        self.rng = random.Random(seed)
        self.log_fd = log_fd
        self.loop = asyncio.get_running_loop()
        self.store = SimStore()
        self.blocked_orders: set[tuple[str, str]] = set()
        self.closed_ports: set[str] = set()  # Endpoints that refuse connections.
        # The same for single senders.
        self.refused_orders: set[tuple[str, str]] = set()
        self.blocked_datagrams: set[tuple[str, str]] = set()
        self.datagram_loss = 0.01  # Share of datagrams that are lost.
        self.packet_loss = 0.0  # Share of the packets of datagrams that are lost.
        # By instance: bandwidth of its link, the same in both directions.
        self.link_bytes_per_second: dict[str, float] = {}
        self.store_bytes_per_second = math.inf
        self.datagram_bytes = 0  # Sent by all instances.
        self._link_free_at: dict[str, float] = {}
        self.late_grant_share = 0.0
        # Share of the grants on pooled connections that are applied late although an
        # answer arrives at once.
        self.misled_share = 0.0
        self.order_seconds = 0.002  # Transit time of an order.
        self.release_seconds = 0.1
        self.busy_keys: list[int] = []
        self.endpoints: dict[str, SimEndpoint] = {}
        self.by_address: dict[Address, SimEndpoint] = {}
        self.unlisted: set[str] = set()
        # Entries that an instance still sees, by instance and endpoint.
        self.outdated_entries: dict[tuple[str, str], Endpoint] = {}
        # By key and endpoint: highest token with which the endpoint had the key.
        self.taken_tokens: dict[int, dict[str, int]] = {}
        self.violations: list[str] = []
        for number in range(4):
            self.add_endpoint(f"e{number}", f"z{number % 2}")
        self.instances = {
            f"n{number}": SimInstance(
                self, f"n{number}", f"z{number % self.zone_count}"
            )
            for number in range(instances)
        }

    @property
    def now(self) -> float:
        """Current virtual time."""
        return self.loop.time()

    def add_endpoint(self, name: str, zone: str) -> None:
        """Add a listed endpoint."""
        address = Address(name, 1)
        endpoint = Endpoint(name, SERVICE, address, zone, 2, False, 0.0, 1)
        self.endpoints[name] = SimEndpoint(self, endpoint)
        self.by_address[address] = self.endpoints[name]

    def listed_endpoints(self, instance: str) -> dict[str, Endpoint]:
        """Return the endpoints that an instance knows to be registered."""
        listed = {
            name: e.endpoint
            for name, e in self.endpoints.items()
            if name not in self.unlisted
        }
        outdated = {
            name: endpoint
            for (reader, name), endpoint in self.outdated_entries.items()
            if reader == instance
        }
        return listed | outdated

    def restart_endpoint(self, name: str, learn_seconds: dict[str, float]) -> None:
        """Replace the process of an endpoint under the same identifier and address.

        `learn_seconds` says after how long each instance learns of it; 0 if missing.
        """
        process = self.endpoints[name]
        outdated = process.endpoint
        process.restart()
        for instance, seconds in learn_seconds.items():
            self.show_outdated_entry(instance, outdated, seconds)

    def show_outdated_entry(
        self, instance: str, endpoint: Endpoint, seconds: float
    ) -> None:
        """Make an instance see the entry of an earlier process for some time."""
        self.outdated_entries[instance, endpoint.id] = endpoint
        self.call_later(
            seconds, lambda: self.outdated_entries.pop((instance, endpoint.id), None)
        )

    def call_later(self, seconds: float, action: Any) -> None:
        """Call `action` after a delay in virtual time."""
        self.loop.call_later(seconds, action)

    def set_links(
        self, bytes_per_second: dict[str, float], store_bytes_per_second: float
    ) -> None:
        """Give the links of instances and of the store a bandwidth."""
        self.link_bytes_per_second = bytes_per_second
        self.store_bytes_per_second = store_bytes_per_second
        self.store.transfer_seconds = self._answer_seconds

    def carry(self, sender: str, target: str, size: int) -> tuple[float, bool]:
        """Return after how many seconds a datagram arrives, and whether it does."""
        packets = math.ceil(size / PACKET_BYTES)
        size += packets * PACKET_HEADER_BYTES
        self.datagram_bytes += size
        arrived = self._pass(f"{sender} out", self._rate(sender), size, self.now)
        # No random number without loss, so that other scenarios keep their course.
        share = self.packet_loss
        lost = share > 0 and self.rng.random() >= (1 - share) ** packets
        if not lost:
            arrived = self._pass(f"{target} in", self._rate(target), size, arrived)
        return arrived - self.now + 0.002, not lost

    def _rate(self, instance: str) -> float:
        return self.link_bytes_per_second.get(instance, math.inf)

    def _pass(self, link: str, rate: float, size: int, start: float) -> float:
        """Return when the bytes have passed a link that they reach at `start`."""
        start = max(start, self._link_free_at.get(link, 0.0))
        self._link_free_at[link] = start + size / rate
        return self._link_free_at[link]

    def _answer_seconds(self, instance: str, size: int) -> float:
        sent = self._pass("store out", self.store_bytes_per_second, size, self.now)
        rate = self._rate(instance)
        # The last byte cannot arrive before it was sent; others arrive meanwhile.
        return max(sent, self._pass(f"{instance} in", rate, size, self.now)) - self.now

    def deliver(self, sender: str, target: str, data: bytes) -> None:
        """Deliver a datagram; a suspended instance receives it after it resumes."""
        instance = self.instances.get(target)
        if instance is None or instance.stopped:
            return
        instance.received += 1
        if instance.suspended:
            if len(instance.unread) < MAX_UNREAD_DATAGRAMS:
                instance.unread.append((sender, data))
            return
        instance.task.peers.datagram_received(data, (sender, 1))

    def check_grant(self, holder: SimEndpoint, key: int, token: int) -> None:
        """Record a violation if another endpoint holds the key."""
        for other in self.endpoints.values():
            if other is not holder and other.token_for(key, self.now) is not None:
                self.violations.append(
                    f"{self.now:.3f}: key {key} at {holder.endpoint.id} (token {token})"
                    f" and {other.endpoint.id} (token {other.token_for(key, self.now)})"
                )

    def check_token(self, holder: SimEndpoint, key: int, token: int) -> None:
        """Record a violation if another endpoint had the key with as high a token."""
        taken = self.taken_tokens.setdefault(key, {})
        for name, other in taken.items():
            if name != holder.endpoint.id and other >= token:
                self.violations.append(
                    f"{self.now:.3f}: key {key} goes to {holder.endpoint.id} with token"
                    f" {token}, although {name} had it with token {other}"
                )
        name = holder.endpoint.id
        taken[name] = max(token, taken.get(name, 0))

    def check_table(
        self, instance: str, before: KeyTable | None, after: KeyTable
    ) -> None:
        """Record a violation if an instance returns to a table of an older era."""
        if before is None:
            return
        eras = self.store.table_eras
        known = eras.get(encode_content(before)), eras.get(encode_content(after))
        if known[0] is not None and known[1] is not None and known[1][1] < known[0][0]:
            self.violations.append(
                f"{self.now:.3f}: {instance} returns from a table of era {known[0][0]}"
                f" to one of era {known[1][1]}"
            )

    async def store_goes_back(self, age: float, away: float) -> None:
        """Take the store away; it comes back in the state of `age` seconds before."""
        until = self.now - age
        self.store.down = True
        await asyncio.sleep(away)
        self.store.go_back(until)
        self.store.down = False

    def restart(self, name: str) -> None:
        """Kill an instance and start its next incarnation."""
        zone = self.instances[name].zone
        self.instances[name].kill()
        self.instances[name] = SimInstance(self, name, zone)

    def held_key_share(self) -> float:
        """Return the share of sampled keys that an endpoint holds."""
        held = sum(
            any(e.token_for(key, self.now) is not None for e in self.endpoints.values())
            for key in SAMPLED_KEYS
        )
        return held / len(SAMPLED_KEYS)
