"""The store comes back from a copy of before the first table, and all are killed."""

import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    Headers,
    Hold,
    Message,
    Server,
    Store,
    World,
    ask,
    configuration,
    play,
    reply,
    route,
)

INSTANCES = 3
SERVERS = 3  # A further one joins.
FLEET_SECONDS = 10.0  # For which the processes run before the first server starts.
HEARTBEAT_SECONDS = 0.87
COPY_AGE_SECONDS = 4.0  # Of the copy, when the store comes back.
AWAY_SECONDS = 0.3
RESTART_SECONDS = 0.3
HELD_SECONDS = 0.5  # Two servers may not hold the same keys for longer.


class GoneError(Exception):
    """The store does not have the history that a watch asks for."""


class DrillStore(Store):
    """A store that can come back from a copy, in a new era."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 0
        self.away = False
        self.table_at: float | None = None  # When the first table was written.
        self._copies: list[tuple[float, int, dict[tuple[str, str], Any]]] = []

    def _note(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        now = time.monotonic()
        if self.table_at is None and item["metadata"]["name"].startswith("keys"):
            self.table_at = now
        self._copies.append((now, self.revision, dict(self.objects)))
        super()._note(kind, item, removed=removed)

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one call; all answers tell the era once there was a drill."""
        answer = _Answer(writer, self)
        if self.away:
            answer.write(reply(503))
            return
        await super().handle(message, answer)  # type: ignore[arg-type]

    async def _answer(
        self, method: str, kind: str, name: str, query: Headers, document: Any
    ) -> tuple[int, Any]:
        try:
            return await super()._answer(method, kind, name, query, document)
        except GoneError:
            return 410, {}

    async def _watch(self, kind: str, since: int, wait: float) -> dict[str, Any]:
        era, until = self.era, time.monotonic() + wait
        while True:
            if self.era != era or since > self.revision:
                raise GoneError
            found = [c for c in self.changes if c[0] > since and c[1] == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                events = [{"removed": r, "object": item} for _, _, r, item in found]
                return {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def leave(self) -> None:
        """Refuse all calls, and end those under way."""
        self.away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, age: float) -> float:
        """Come back from a copy that is so many seconds old; return its age."""
        now = time.monotonic()
        known = [copy for copy in self._copies if copy[0] <= now - age]
        taken_at, self.revision, objects = known[-1]
        self.objects = dict(objects)
        self.changes = [c for c in self.changes if c[0] <= self.revision]
        self.era += 1
        self.away = False
        return now - taken_at


class _Answer:
    """Adds the era to the answers of the store."""

    def __init__(self, writer: asyncio.StreamWriter, store: DrillStore) -> None:
        self._writer, self._store = writer, store

    def write(self, data: bytes) -> None:
        """Write an answer."""
        if self._store.era:
            header = b"\r\nStore-Era: %d\r\n" % self._store.era
            data = data.replace(b"\r\n", header, 1)
        self._writer.write(data)


class Watcher:
    """Looks which keys are held by two servers that are up, and for how long."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._since: dict[tuple[str, str], float] = {}
        self.longest = 0.0
        self._known: set[tuple[str, int, int, int]] = set()

    async def run(self) -> None:
        """Watch all servers until cancelled."""
        while True:
            self._look(time.monotonic())
            await asyncio.sleep(0.02)

    def _look(self, now: float) -> None:
        for number, one in enumerate(self._world.servers):
            for hold in one.holds:
                self._note_hold(one.name, hold, now)
            for two in self._world.servers[number + 1 :]:
                self._compare(one, two, now)

    def _note_hold(self, name: str, hold: Hold, now: float) -> None:
        key = name, hold.first, hold.last, hold.fence
        if key not in self._known and now < hold.until:
            self._known.add(key)
            self._world.note(
                f"{name} holds {hold.first} to {hold.last} with fence {hold.fence}"
            )

    def _compare(self, one: Server, two: Server, now: float) -> None:
        pair = one.name, two.name
        both = [
            (max(a.first, b.first), min(a.last, b.last), a.fence, b.fence)
            for a in one.holds
            for b in two.holds
            if now < min(a.until, b.until)
            and max(a.first, b.first) <= min(a.last, b.last)
        ]
        if not both:
            self._since.pop(pair, None)
            return
        if pair not in self._since:
            self._since[pair] = now
            self._world.note(f"held by both {pair} (first, last, fences): {both}")
        self.longest = max(self.longest, now - self._since[pair])


async def heartbeats(world: World, known: set[str]) -> None:
    """Let each server write its entry where the store does not have it."""
    store = world.store
    while True:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        if store.away:  # type: ignore[attr-defined]
            continue
        for server in world.servers:
            if server.name in known and ("servers", server.name) not in store.objects:
                world.write_entry(server)
                world.note(f"{server.name} wrote its entry again")


async def send_requests(world: World, counts: collections.Counter[int]) -> None:
    """Send requests with all keys to all instances in turn."""
    rng, number = random.Random(5), 0
    while True:
        instance = world.instances[number % INSTANCES]
        request_id, key = f"r-{number}", rng.randrange(65536)
        answer = await ask(instance.front, "GET /lookup/a", request_id, key=key)
        reason = answer.body.decode("latin-1").strip() or answer.detail
        world.note(
            f"{request_id} with key {key} to {instance.name}: {answer.status} {reason}"
        )
        counts[answer.status] += 1
        number += 1
        await asyncio.sleep(0.03)


async def body(world: World) -> bool:
    """Play the case; return whether OWNER held."""
    world.store = store = DrillStore()
    await world.start_store()
    routes = [route("lookup", "/lookup/", "safe", "registro")]
    document = configuration(7, routes, ["registro"], sharded=("registro",))
    store.put("config", "main", document)
    known: set[str] = set()
    world.start_instances(INSTANCES)
    await asyncio.sleep(FLEET_SECONDS)
    for number in range(SERVERS):
        server = Server(f"i-7f3a91c{number}", "registro", f"z{number}", sharded=True)
        await world.start_server(server)
        known.add(server.name)
    beats = asyncio.create_task(heartbeats(world, known))
    watcher = Watcher(world)
    watching = asyncio.create_task(watcher.run())
    while store.table_at is None:
        await asyncio.sleep(0.02)
    world.note("the first table of keys is in the store")
    late = Server(f"i-7f3a91c{SERVERS}", "registro", "z0", sharded=True)
    await world.start_server(late)
    known.add(late.name)
    world.note(f"{late.name} joins")
    counts: collections.Counter[int] = collections.Counter()
    clients = asyncio.create_task(send_requests(world, counts))
    await asyncio.sleep(store.table_at + COPY_AGE_SECONDS - 0.5 - time.monotonic())
    if world.trouble:
        store.leave()
        for instance in world.instances:
            instance.kill()
        world.note("the store is away, and all processes are killed")
        await asyncio.sleep(AWAY_SECONDS)
        age = store.come_back(COPY_AGE_SECONDS)
        world.note(f"the store is back from a copy that is {age:.1f} s old")
        for instance in world.instances:
            instance.start()
        world.note("all processes are started again")
    await asyncio.sleep(12.0)
    for task in (clients, beats, watching):
        task.cancel()
    world.note(
        f"answers by status: {dict(counts)}; longest time for which two servers held"
        f" the same keys: {watcher.longest:.2f} s"
    )
    return watcher.longest <= HELD_SECONDS


if __name__ == "__main__":
    play(__file__, body)
