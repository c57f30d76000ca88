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
import subprocess
import sys
import tempfile
import time

import typer

from tests.soak.audit import AuditedEndpoint
from tests.soak.callers import Answer, Caller, CallerSocket, CallRecord
from tests.soak.gateway_process import ZONES, GatewayProcess, ProcessLimits
from tests.soak.proxy import ResponseFaults
from tests.soak.stop_report import StopJudge, StopReport, count_moved_keys
from tests.soak.stop_scenarios import SCENARIOS, StopScenario
from tests.soak.stop_troubles import Troubles
from tests.soak.world import ROOT, SoakWorld

MIN_STOPS = 2  # Of a run, also on a host that is too slow for its seconds.


class StopPlayer:
    """Callers, balancer and operator of one run."""

    def __init__(self, world: SoakWorld, scenario: StopScenario) -> None:
        self._world = world
        self._scenario = scenario
        self._rng = world.rng
        self._stopping: set[str] = set()
        self._stops: dict[str, list[float]] = {}
        self._ends: dict[str, list[float]] = {}  # Of the processes that were stopped.
        self._troubles = Troubles(world, scenario)
        self._calls: list[CallRecord] = []
        self._stop_seconds: list[float] = []

    async def run(self) -> StopReport:
        """Play the scenario and judge what was seen."""
        scenario, world = self._scenario, self._world
        world.spawn(world.lateness.measure(lambda: world.callers_active))
        for gateway in world.gateways:
            world.spawn(world.balancer.check(gateway))
        for number in range(scenario.callers):
            insists = number < scenario.insistent * scenario.callers
            world.spawn(self._call(number, insists=insists))
        self._troubles.start()
        await asyncio.sleep(1.0)
        grants, store_calls = len(world.audit.granted), world.store.calls
        if scenario.rolling:
            await self._restart_all()
        else:
            await self._stop_instances()
        granted = world.audit.granted
        moved = count_moved_keys(granted, grants)
        grants = len(granted) - grants
        store_calls = world.store.calls - store_calls
        world.callers_active = False
        until = time.monotonic() + scenario.habits.deadline_seconds[1] + 3.0
        while world.tasks and time.monotonic() < until:
            await asyncio.sleep(0.1)
        world.audit.check_refusals()
        judge = StopJudge(world, self._stops, self._troubles.reloads, self._ends)
        judge.judge(self._calls)
        return StopReport(
            self._calls,
            judge.lost,
            [judge.describe(call) for call in self._calls if call.status is None],
            dict(judge.judged),
            world.audit.violations,
            self._stop_seconds,
            sum(gateway.kills for gateway in world.gateways),
            judge.final_answers,
            judge.late_answers,
            world.lateness.longest_seconds,
            grants,
            moved,
            store_calls,
        )

    def _check_answer(self, call: CallRecord, answer: Answer) -> None:
        self._world.check_answer(
            answer.status,
            answer.body,
            call.request_id,
            call.method,
            call.target,
            call.body,
        )

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
            if scenario.one_zone:
                zone = self._rng.choice(ZONES)
                running = [g for g in running if g.zone == zone]
                count = min(count, len(running))
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
        scenario, rng = self._scenario, self._rng
        await self._end(gateway)
        gateway.start()
        while rng.random() < scenario.again_share:
            if rng.random() < 0.5:
                # It may not be ready yet.
                await asyncio.sleep(rng.uniform(*scenario.again_seconds))
            else:
                await self._wait_until_back(gateway)
            await self._end(gateway)
            gateway.start()
        await self._wait_until_back(gateway)
        self._stopping.discard(gateway.name)

    async def _wait_until_back(self, gateway: GatewayProcess) -> None:
        while self._world.balancer.is_out(gateway):
            if not gateway.running:
                self._world.audit.record_violation(f"{gateway.name} does not start")
                return
            await asyncio.sleep(0.05)

    async def _end(self, gateway: GatewayProcess) -> None:
        """Stop an instance as planned, and wait until it can be started again."""
        await self._troubles.before_stop(gateway)
        start = time.monotonic()
        self._stops.setdefault(gateway.name, []).append(start)
        self._troubles.beside_stop(gateway)
        await gateway.end(signal.SIGTERM)
        ended = time.monotonic()
        self._ends.setdefault(gateway.name, []).append(ended)
        self._stop_seconds.append(ended - start)
        gateway.write_settings(gateway.settings)  # A half-written file ends a start.
        await asyncio.sleep(self._rng.uniform(0.0, self._scenario.off_seconds))

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
                slow = rng.random() < habits.slow_reads
                rate = rng.uniform(*habits.slow_rates) if slow else None
                sock = await CallerSocket.open(gateway.address, rate)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                with contextlib.suppress(OSError):
                    while self._world.callers_active:
                        if not await caller.exchange(sock, gateway.name) or insists:
                            break
                        idle = rng.random() < habits.idle
                        pause = habits.idle_seconds if idle else (0.0, 0.2)
                        await asyncio.sleep(rng.uniform(*pause))
            finally:
                sock.close()


def _start_busy(limits: ProcessLimits) -> subprocess.Popen[bytes]:
    """Start a process that spends all processor time that it gets."""
    code = "while True: pass"
    return subprocess.Popen([sys.executable, "-c", code], preexec_fn=limits.apply)


async def play_stops(
    seed: int,
    directory: pathlib.Path,
    scenario: StopScenario,
    product: pathlib.Path = ROOT,
) -> StopReport:
    """Play one run with real processes of the gateway of `product`."""
    world = SoakWorld(seed, directory, scenario.instances, product)
    world.history.timeout_range = scenario.timeout_range
    world.history.idle_choices = scenario.idle_choices
    world.history.other_routes = scenario.other_routes
    world.limits = scenario.limits
    busy = [_start_busy(scenario.limits) for _ in range(scenario.busy_processes)]

    def set_work(endpoint: AuditedEndpoint) -> None:
        endpoint.work_range = scenario.work_range
        endpoint.tail_share = scenario.tail_share
        endpoint.tail_factor = scenario.tail_factor
        endpoint.rejected_share = scenario.rejected_share
        endpoint.failed_share = scenario.failed_share
        endpoint.closing_share = scenario.closing_share
        if scenario.running_limit is not None:
            endpoint.running_limit = asyncio.Semaphore(scenario.running_limit)

    try:
        await world.start()
        world.on_endpoint = set_work
        for endpoint in world.endpoints.values():
            set_work(endpoint)
        if scenario.interim_share:
            faults = ResponseFaults(world.rng, interim=scenario.interim_share)
            for proxy in world.proxies.values():
                proxy.response_faults = faults
        return await StopPlayer(world, scenario).run()
    finally:
        for process in busy:
            process.kill()
            process.wait()
        await world.close()


def main(
    scenario: str = "insistent",
    seed: int = 1,
    seconds: float = 45.0,
    product: pathlib.Path = ROOT,
    instances: int = 6,
    at_once: int | None = None,
) -> None:
    """Play one scenario, and print its figures and the requests that were cut off."""
    chosen = SCENARIOS[scenario]
    chosen = dataclasses.replace(chosen, seconds=seconds, instances=instances)
    if at_once is not None:
        chosen = dataclasses.replace(chosen, at_once=at_once)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"stops-{seed}-"))
    report = asyncio.run(play_stops(seed, directory, chosen, product))
    typer.echo(f"{scenario}, seed {seed}: {report.summary()}; logs: {directory}")
    (directory / "unanswered.txt").write_text("\n".join(report.unanswered))
    for line in (*report.lost, *report.violations):
        typer.echo(f"  {line}")
    raise typer.Exit(1 if report.lost or report.violations else 0)


if __name__ == "__main__":
    typer.run(main)
