"""Plays the parts of the demo on a running deployment, and records what happens."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine

from arbutusflow.gateway.model import KEY_SPACE
from arbutusflow.standins.demo_callers import Callers, Rotation
from arbutusflow.standins.demo_world import (
    CALLS,
    FAST_ENDPOINT,
    MOVED_ROUTE,
    PLAIN_SERVICE,
    SPARE_SERVICE,
    WATCHED_KEYS,
    Call,
    DemoWorld,
    configuration,
    is_ready,
)
from arbutusflow.standins.gateway_fleet import STOP_SECONDS, GatewayInstance
from arbutusflow.standins.key_endpoint import Holding
from arbutusflow.standins.promises import (
    CALM_PART,
    ConfigurationChange,
    FinalState,
    PlannedStop,
    SentRequest,
)

REQUEST_RATE = 150.0  # Requests per second.
RATE_FACTORS = {"burst": 3.0, "hot key": 1.5}  # Of other parts: 1.
HOT_SHARE = 0.9  # Of the requests with a key, in the part with a hot key.
SEND_PERIOD_SECONDS = 0.01
# Requests that are due for longer, because this process got no processor, are skipped:
# sent all at once, they would be a burst that no caller made.
MAX_LATE_SECONDS = 0.05
WATCH_PERIOD_SECONDS = 0.05
KILLED, STOPPED = 0, 1  # Instances that are ended, by number.
# Of a part: how much of it passes before its event, and before the instance returns.
EVENT_SHARE, RETURN_SHARE = 0.1, 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of the demo."""

    name: str
    share: float  # Of the time of the demo.


PARTS = (
    Part(CALM_PART, 0.2),
    Part("burst", 0.12),
    Part("instance killed", 0.2),
    Part("planned stop", 0.2),
    Part("hot key", 0.16),
    Part("configuration change", 0.12),
)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSample:
    """How many of the watched keys had no owner at a time."""

    at: float
    part: str
    unowned: int
    watched: int


@dataclasses.dataclass
class Recording:
    """All that was seen in one run. Times are on the monotonic clock, in seconds."""

    seed: int
    began_at: float
    sent: list[SentRequest] = dataclasses.field(default_factory=list)
    not_sent: int = 0  # Because too many were in flight.
    skipped: int = 0  # Because this process was late.
    part_times: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)
    owner_samples: list[OwnerSample] = dataclasses.field(default_factory=list)
    # Longest time without an owner of any watched key, by part.
    unowned_seconds: dict[str, float] = dataclasses.field(default_factory=dict)
    longest_sample_gap: float = 0.0  # Between two samples of the owners.
    kills: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    stops: list[PlannedStop] = dataclasses.field(default_factory=list)
    final_states: list[FinalState] = dataclasses.field(default_factory=list)
    change: ConfigurationChange | None = None
    events: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    holdings: list[Holding] = dataclasses.field(default_factory=list)


def due_requests(count: int, seconds: float, rate: float) -> tuple[int, int]:
    """Return how many requests to send now, and how many to skip as too late.

    `count` were sent or skipped in the `seconds` since the begin, at `rate` a second.
    """
    behind = max(0, int(seconds * rate) - count)
    due = min(behind, max(1, int(MAX_LATE_SECONDS * rate)))
    return due, behind - due


class Player:
    """Plays the parts in order."""

    def __init__(
        self,
        world: DemoWorld,
        seed: int,
        seconds: float,
        on_progress: Callable[[str, float], None],
    ) -> None:
        self._world = world
        self._seconds = seconds
        self._on_progress = on_progress
        self._rng = random.Random(seed)
        self._hot_key: int | None = None  # While there is one.
        self._rotation = Rotation(world.instances, random.Random(self._rng.random()))
        self._callers = Callers(self._rotation)
        self._part = PARTS[0].name
        self.recording = Recording(seed, time.monotonic())

    async def run(self) -> Recording:
        """Play all parts and return the recording. Raises what a task raised."""
        checks = [self._rotation.check(item) for item in self._world.instances]
        async with _background([*checks, self._watch_owners()]) as raise_failures:
            for part in PARTS:
                await self._play(part)
                raise_failures()
            await self._callers.finish()
        result = self.recording
        for instance in self._world.instances:
            ready, status = await is_ready(instance), instance.exit_status
            result.final_states.append(FinalState(instance.name, status, ready))
        result.sent, result.not_sent = self._callers.sent, self._callers.not_sent
        for endpoint in self._world.endpoints:
            for request_id in endpoint.runs:
                result.runs[request_id] = result.runs.get(request_id, 0) + 1
        for endpoint in self._world.owners:
            result.holdings += endpoint.holdings
        return result

    async def _play(self, part: Part) -> None:
        self._part = part.name
        seconds = part.share * self._seconds
        began = time.monotonic()
        event = self._event_of(part, seconds)
        task = asyncio.ensure_future(event()) if event is not None else None
        try:
            await self._send_until(began + seconds)
            if task is not None:
                await task
        finally:
            if task is not None:
                task.cancel()
        self.recording.part_times[part.name] = (began, time.monotonic())

    def _event_of(
        self, part: Part, seconds: float
    ) -> Callable[[], Awaitable[None]] | None:
        events = {
            "instance killed": self._kill,
            "planned stop": self._stop,
            "hot key": self._heat_key,
            "configuration change": self._change_configuration,
        }
        event = events.get(part.name)
        return None if event is None else lambda: event(seconds)

    async def _send_until(self, until: float) -> None:
        rate = REQUEST_RATE * RATE_FACTORS.get(self._part, 1.0)
        began, count = time.monotonic(), 0
        reported = began
        while (now := time.monotonic()) < until:
            due, late = due_requests(count, now - began, rate)
            self.recording.skipped += late
            for _ in range(due):
                self._send_one()
            count += due + late
            self._on_progress(self._part, now - reported)
            reported = now
            await asyncio.sleep(SEND_PERIOD_SECONDS)
        self._on_progress(self._part, until - reported)

    def _send_one(self) -> None:
        call = self._rng.choice(CALLS)
        self._callers.send(self._part, call, self._draw_key(call))

    def _draw_key(self, call: Call) -> int:
        if self._hot_key is not None and call.keyed and self._rng.random() < HOT_SHARE:
            return self._hot_key
        return self._rng.randrange(KEY_SPACE)

    # Events.

    def _note(self, text: str) -> None:
        self.recording.events.append((time.monotonic(), text))

    async def _kill(self, seconds: float) -> None:
        instance = self._world.instances[KILLED]
        await asyncio.sleep(EVENT_SHARE * seconds)
        self._note(f"{instance.name} killed")
        self.recording.kills.append((instance.name, time.monotonic()))
        instance.kill()
        await asyncio.sleep((RETURN_SHARE - EVENT_SHARE) * seconds)
        self._start(instance)

    async def _stop(self, seconds: float) -> None:
        instance = self._world.instances[STOPPED]
        await asyncio.sleep(EVENT_SHARE * seconds)
        self._note(f"{instance.name} stops")
        began = time.monotonic()
        instance.stop()
        while instance.running and time.monotonic() < began + STOP_SECONDS:
            await asyncio.sleep(0.02)
        took, status = time.monotonic() - began, instance.exit_status
        instance.kill()  # As the platform does after this time.
        self.recording.stops.append(
            PlannedStop(instance.name, status, took, STOP_SECONDS)
        )
        self._start(instance)

    def _start(self, instance: GatewayInstance) -> None:
        self._note(f"{instance.name} starts")
        instance.start()

    async def _heat_key(self, seconds: float) -> None:
        """Send most requests for a key that only the fast endpoint can serve whole."""
        owner = FAST_ENDPOINT
        while owner in ("", FAST_ENDPOINT):
            key = self._rng.randrange(KEY_SPACE)
            owner = self._world.owner_of(key)
        self._note(f"key {key} of {owner} is hot")
        self._hot_key = key
        until = time.monotonic() + (1 - EVENT_SHARE) * seconds
        while time.monotonic() < until:
            now_owner = self._world.owner_of(key)
            if now_owner not in ("", owner):
                owner = now_owner
                self._note(f"key {key} goes to {owner}")
            await asyncio.sleep(WATCH_PERIOD_SECONDS)
        self._hot_key = None

    async def _change_configuration(self, seconds: float) -> None:
        await asyncio.sleep(EVENT_SHARE * seconds)
        self._note(f"requests of {MOVED_ROUTE} go to {SPARE_SERVICE}")
        self.recording.change = ConfigurationChange(
            MOVED_ROUTE, PLAIN_SERVICE, SPARE_SERVICE, time.monotonic()
        )
        self._world.store.put_configuration(configuration(2, SPARE_SERVICE))

    # Owners of keys.

    async def _watch_owners(self) -> None:
        unowned_since: dict[int, float] = {}
        longest, result = self.recording.unowned_seconds, self.recording
        latest = time.monotonic()
        while True:
            now = time.monotonic()
            result.longest_sample_gap = max(result.longest_sample_gap, now - latest)
            latest = now
            hot = self._hot_key
            keys = WATCHED_KEYS if hot is None else (*WATCHED_KEYS, hot)
            unowned = self._world.unowned_keys(keys)
            result.owner_samples.append(
                OwnerSample(now, self._part, len(unowned), len(keys))
            )
            for key in keys:
                if key not in unowned:
                    unowned_since.pop(key, None)
                    continue
                since = unowned_since.setdefault(key, now)
                longest[self._part] = max(longest.get(self._part, 0.0), now - since)
            await asyncio.sleep(WATCH_PERIOD_SECONDS)


@contextlib.asynccontextmanager
async def _background(
    work: list[Coroutine[object, object, None]],
) -> AsyncIterator[Callable[[], None]]:
    """Run endless coroutines; yield a function that raises the error of one."""
    tasks = [asyncio.ensure_future(item) for item in work]

    def raise_failures() -> None:
        for task in tasks:
            if task.done():
                task.result()

    try:
        yield raise_failures
        raise_failures()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
