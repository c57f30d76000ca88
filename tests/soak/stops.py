"""Planned stops of real processes, one after the other and overlapping, under load.

Usage: `python -m tests.soak.stops --seed 1 --seconds 45`. Callers of several kinds keep
sending; a balancer takes instances out of rotation that fail their readiness checks.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile
import time
from collections.abc import Iterable

import typer

from tests.soak.callers import Answer, Caller, CallerHabits, CallerSocket, CallRecord
from tests.soak.connection_audit import is_cut_by_reload
from tests.soak.gateway_process import GatewayProcess
from tests.soak.lost_audit import is_lost
from tests.soak.world import ROOT, SoakWorld

ROUTE_TIMEOUT_SECONDS = 9.0  # Longer than any caller waits.
# After the end of a disturbance of the store; `stableWindowS` of the platform.
STABLE_SECONDS = 3.0
MIN_STOPS = 2  # Of a run, also on a host that is too slow for its seconds.
LAG_PERIOD_SECONDS = 0.05
EARLY_STOP_SHARE = 0.25  # Of the starts that are followed by a stop at once.
EARLY_STOP_SECONDS = (0.3, 1.5)


@dataclasses.dataclass(frozen=True)
class StopScenario:
    """What a run plays. Times are seconds."""

    instances: int = 3
    callers: int = 30
    # Share of the callers that go on opening connections to an instance that stops.
    insistent: float = 0.0
    habits: CallerHabits = CallerHabits()
    work_range: tuple[float, float] = (0.1, 1.0)
    # Share of the runs that take `tail_factor` times as long as drawn.
    tail_share: float = 0.0
    tail_factor: float = 5.0
    running_limit: int | None = None  # Of each endpoint; the others wait there.
    at_once: int = 1  # Most instances that are stopped together.
    gap_range: tuple[float, float] = (0.5, 2.0)  # From the start of one to the next.
    # Whether second signals, reloads, configurations, a silent store and stops right
    # after the start come beside the stops.
    disturbed: bool = False
    # Whether each instance is stopped once, `at_once` together, the next ones when all
    # are back in rotation; `seconds` then has no effect.
    rolling: bool = False
    seconds: float = 12.0


@dataclasses.dataclass
class StopReport:
    """What a run showed."""

    calls: list[CallRecord]
    lost: list[str]
    unanswered: list[str]  # All of them, also those that the rule excepts.
    violations: list[str]
    stop_seconds: list[float]  # How long each stop took.
    # How late this process, with its callers and endpoints, was at most. What was seen
    # has that much uncertainty.
    longest_lag: float
    grants: int  # Orders by which endpoints got keys, while stops were played.
    store_calls: int

    def latencies(self) -> str:
        """Return the latencies of successes: median, 99 in 100 and the longest."""
        times = sorted(c.ended_at - c.sent_at for c in self.calls if c.status == 200)
        if not times:
            return "no success"
        median, high = times[len(times) // 2], times[int(0.99 * (len(times) - 1))]
        return f"{median:.3f}, {high:.3f}, {times[-1]:.3f} s"

    def summary(self) -> str:
        """Return the figures of the run in one line."""
        statuses: dict[int | None, int] = {}
        for call in self.calls:
            statuses[call.status] = statuses.get(call.status, 0) + 1
        longest = max(self.stop_seconds, default=0.0)
        return (
            f"{len(self.calls)} requests, {len(self.stop_seconds)} stops, the longest"
            f" {longest:.2f} s; answers by status: {statuses}; lost: {len(self.lost)};"
            f" latency {self.latencies()}; {self.grants} grants,"
            f" {self.store_calls} calls to the store; observer late by at most"
            f" {self.longest_lag:.2f} s"
        )


class StopPlayer:
    """Callers, balancer and operator of one run."""

    def __init__(self, world: SoakWorld, scenario: StopScenario) -> None:
        self._world = world
        self._scenario = scenario
        self._rng = world.rng
        self._stopping: set[str] = set()
        self._stops: dict[str, list[float]] = {}
        self._reloads: dict[str, list[float]] = {}
        # Begin and end of the times in which the store did not answer an instance.
        self._silences: dict[str, list[tuple[float, float]]] = {}
        self._calls: list[CallRecord] = []
        self._stop_seconds: list[float] = []
        self._longest_lag = 0.0

    async def run(self) -> StopReport:
        """Play the scenario and judge what was seen."""
        scenario, world = self._scenario, self._world
        world.spawn(self._measure_lag())
        for gateway in world.gateways:
            world.spawn(world.balancer.check(gateway))
        for number in range(scenario.callers):
            insists = number < scenario.insistent * scenario.callers
            world.spawn(self._call(number, insists=insists))
        await asyncio.sleep(1.0)
        grants, store_calls = len(world.audit.granted), world.store.calls
        if scenario.rolling:
            await self._restart_all()
        else:
            await self._stop_instances()
        grants = len(world.audit.granted) - grants
        store_calls = world.store.calls - store_calls
        world.callers_active = False
        until = time.monotonic() + scenario.habits.deadline_seconds[1] + 3.0
        while world.tasks and time.monotonic() < until:
            await asyncio.sleep(0.1)
        world.audit.check_refusals()
        return StopReport(
            self._calls,
            list(self._lost()),
            self._unanswered(),
            world.audit.violations,
            self._stop_seconds,
            self._longest_lag,
            grants,
            store_calls,
        )

    async def _measure_lag(self) -> None:
        while self._world.callers_active:
            due = time.monotonic() + LAG_PERIOD_SECONDS
            await asyncio.sleep(LAG_PERIOD_SECONDS)
            self._longest_lag = max(self._longest_lag, time.monotonic() - due)

    def _check_answer(self, call: CallRecord, answer: Answer) -> None:
        self._world.check_answer(
            answer.status,
            answer.body,
            call.request_id,
            call.method,
            call.target,
            call.body,
        )

    def _store_was_silent(self, call: CallRecord) -> bool:
        """Whether the store did not answer the instance around a request."""
        return any(
            begin <= (call.ended_at or 0.0) and call.sent_at <= end + STABLE_SECONDS
            for begin, end in self._silences.get(call.instance, ())
        )

    def _lost(self) -> Iterable[str]:
        for call in self._calls:
            seen = self._world.audit.seen[call.request_id]
            if call.keyed and self._store_was_silent(call):
                continue
            reloads = self._reloads.get(call.instance, ())
            if is_cut_by_reload(call, seen, reloads):
                yield f"around a reload: {self._describe(call)}"
            if is_lost(call, seen, self._stops):
                yield self._describe(call)

    def _describe(self, call: CallRecord) -> str:
        """Return what was seen of a request, with times after the latest SIGTERM."""
        seen, ended = self._world.audit.seen[call.request_id], call.ended_at or 0.0
        stops = self._stops.get(call.instance, ())
        stop = max((t for t in stops if t <= ended), default=None)
        if stop is None:
            return f"{call.describe()}: no stop before"
        runs = [(f"{a - stop:+.2f}", b and f"{b - stop:+.2f}") for a, b in seen.runs]
        return (
            f"{call.describe()}: sent {call.sent_at - stop:+.2f} s, ended"
            f" {ended - stop:+.2f} s, deadline {call.deadline_at - stop:+.2f} s after"
            f" SIGTERM; arrived: {seen.arrived}, runs: {runs}"
        )

    def _unanswered(self) -> list[str]:
        """Describe all requests without an answer, also those that are excepted."""
        return [self._describe(call) for call in self._calls if call.status is None]

    async def _stop_instances(self) -> None:
        scenario = self._scenario
        stops: set[asyncio.Task[None]] = set()
        until = time.monotonic() + scenario.seconds
        while time.monotonic() < until or len(stops) < MIN_STOPS:
            running = [g for g in self._world.gateways if g.name not in self._stopping]
            count = min(
                self._rng.randint(1, scenario.at_once),
                scenario.at_once - len(self._stopping),
                len(running),
            )
            for gateway in self._rng.sample(running, max(count, 0)):
                self._stopping.add(gateway.name)
                stops.add(asyncio.create_task(self._stop(gateway)))
            await asyncio.sleep(self._rng.uniform(*scenario.gap_range))
        await asyncio.gather(*stops)

    async def _restart_all(self) -> None:
        """Restart each instance once; with `at_once` 0 only the load is played."""
        gateways, count = self._world.gateways, self._scenario.at_once
        if not count:
            await asyncio.sleep(self._scenario.seconds)
            return
        for first in range(0, len(gateways), count):
            group = gateways[first : first + count]
            self._stopping.update(gateway.name for gateway in group)
            await asyncio.gather(*(self._stop(gateway) for gateway in group))

    async def _stop(self, gateway: GatewayProcess) -> None:
        disturbed = self._scenario.disturbed
        if disturbed:
            self._world.spawn(self._disturb(gateway))
        await self._end(gateway)
        gateway.start()
        if disturbed and self._rng.random() < EARLY_STOP_SHARE:
            # It may not be ready yet.
            await asyncio.sleep(self._rng.uniform(*EARLY_STOP_SECONDS))
            await self._end(gateway)
            gateway.start()
        while self._world.balancer.is_out(gateway):
            await asyncio.sleep(0.05)
        self._stopping.discard(gateway.name)

    async def _end(self, gateway: GatewayProcess) -> None:
        """Stop an instance as planned, and wait until it can be started again."""
        start = time.monotonic()
        self._stops.setdefault(gateway.name, []).append(start)
        await gateway.end(signal.SIGTERM)
        self._stop_seconds.append(time.monotonic() - start)
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def _disturb(self, gateway: GatewayProcess) -> None:
        """Do one more thing to an instance that is being stopped."""
        kind, process = self._rng.randrange(4), gateway.process
        if kind == 1:
            # The reload begins shortly before the stop.
            slack = f"retryBudgetSlack = {self._rng.randint(50, 90)}"
            gateway.write_settings(
                gateway.settings.replace("retryBudgetSlack = 60", slack)
            )
            self._reloads.setdefault(gateway.name, []).append(time.monotonic())
            gateway.signal(signal.SIGHUP)
            return
        await asyncio.sleep(self._rng.uniform(0.0, 3.0))
        if kind == 0:
            if gateway.process is process:
                gateway.signal(signal.SIGTERM)
        elif kind == 2:
            self._world.write_configuration()
        else:
            number = self._world.gateways.index(gateway)
            proxy = self._world.store_proxies[number]
            seconds, now = self._rng.uniform(1.0, 6.0), time.monotonic()
            silences = self._silences.setdefault(gateway.name, [])
            silences.append((now, now + seconds))
            proxy.block()
            await asyncio.sleep(seconds)
            proxy.clear_faults()

    def _choose_instance(self, *, insists: bool) -> GatewayProcess:
        gateways = self._world.gateways
        stopping = [g for g in gateways if g.name in self._stopping]
        if insists and stopping:
            return self._rng.choice(stopping)
        return self._world.balancer.choose()

    async def _call(self, number: int, *, insists: bool) -> None:
        rng = random.Random(self._rng.random())
        habits, calls = self._scenario.habits, self._calls
        caller = Caller(f"c{number}", rng, habits, calls, self._check_answer)
        while self._world.callers_active:
            gateway = self._choose_instance(insists=insists)
            try:
                sock = await CallerSocket.open(gateway.address)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                with contextlib.suppress(OSError):
                    while self._world.callers_active:
                        if not await caller.exchange(sock, gateway.name) or insists:
                            break
                        await asyncio.sleep(rng.uniform(0.0, 0.2))
            finally:
                sock.close()


async def play_stops(
    seed: int,
    directory: pathlib.Path,
    scenario: StopScenario,
    product: pathlib.Path = ROOT,
) -> StopReport:
    """Play one run with real processes of the gateway of `product`."""
    world = SoakWorld(seed, directory, scenario.instances, product)
    world.timeout_seconds = ROUTE_TIMEOUT_SECONDS
    try:
        await world.start()
        for endpoint in world.endpoints.values():
            endpoint.work_range = scenario.work_range
            endpoint.tail_share = scenario.tail_share
            endpoint.tail_factor = scenario.tail_factor
            if scenario.running_limit is not None:
                endpoint.running_limit = asyncio.Semaphore(scenario.running_limit)
        return await StopPlayer(world, scenario).run()
    finally:
        await world.close()


SCENARIOS = {
    "steady": StopScenario(at_once=2, instances=6),
    "ahead": StopScenario(at_once=2, instances=6, habits=CallerHabits(ahead=0.6)),
    "insistent": StopScenario(
        at_once=2,
        instances=6,
        insistent=0.34,
        habits=CallerHabits(chunked=0.5, in_pieces=0.3),
    ),
    "full": StopScenario(
        at_once=2,
        instances=6,
        callers=60,
        work_range=(1.0, 8.0),
        running_limit=3,
        habits=CallerHabits(deadline_seconds=(2.5, 8.5)),
    ),
    "disturbed": StopScenario(
        at_once=3,
        instances=6,
        insistent=0.2,
        habits=CallerHabits(ahead=0.1, chunked=0.5, in_pieces=0.2),
        disturbed=True,
    ),
    # What was measured lately says little about how long the next run takes.
    "uneven": StopScenario(
        at_once=2,
        instances=6,
        callers=48,
        insistent=0.5,
        habits=CallerHabits(chunked=0.3, in_pieces=0.2, deadline_seconds=(2.5, 8.5)),
        work_range=(0.05, 0.6),
        tail_share=0.1,
        tail_factor=8.0,
    ),
    # The callers leave room for what the restarts move elsewhere.
    "rolling": StopScenario(callers=24, work_range=(0.05, 0.3), rolling=True),
    "late-readers": StopScenario(
        at_once=2, instances=6, habits=CallerHabits(reads_late=0.5)
    ),
}


def main(
    scenario: str = "insistent",
    seed: int = 1,
    seconds: float = 45.0,
    product: pathlib.Path = ROOT,
    instances: int = 6,
    at_once: int = 2,
) -> None:
    """Play one scenario, and print its figures and the requests that were cut off."""
    chosen = dataclasses.replace(
        SCENARIOS[scenario], seconds=seconds, instances=instances, at_once=at_once
    )
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"stops-{seed}-"))
    report = asyncio.run(play_stops(seed, directory, chosen, product))
    typer.echo(f"{scenario}, seed {seed}: {report.summary()}; logs: {directory}")
    (directory / "unanswered.txt").write_text("\n".join(report.unanswered))
    for line in (*report.lost, *report.violations):
        typer.echo(f"  {line}")
    raise typer.Exit(1 if report.lost or report.violations else 0)


if __name__ == "__main__":
    typer.run(main)
