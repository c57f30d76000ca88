"""Counts keyed requests that are served while the store goes back again and again.

Usage: `python -m tests.soak.drills --first 1 --count 3`. Faults of endpoints, of their
connections and of instances come between the returns of the store. Prints the share of
the keyed requests that were served in each ten seconds; exits with 1 if a rule broke.
"""

import asyncio
import dataclasses
import math
import pathlib
import random
import tempfile
import time
from typing import Annotated

import typer

from tests.soak import faults
from tests.soak.runner import LATE_RUN_SECONDS
from tests.soak.store_faults import go_back
from tests.soak.workload import Workload
from tests.soak.world import ROOT, SoakWorld

COPY_AGE_SECONDS = (0.3, 6.0)
AWAY_SECONDS = (0.1, 2.5)
GAP_SECONDS = (0.9, 8.0)  # From one return of the store to the next one.
FAULT_GAP_SECONDS = (3.0, 8.0)
FAULTS = (
    faults.endpoint_crashes,
    faults.endpoint_drains,
    faults.endpoint_network_fails,
    faults.responses_disturbed,
)
INSTANCE_FAULTS = (faults.instance_paused, faults.one_instance_killed)
PERIOD_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class DrillPlan:
    """What each seed plays."""

    instances: int
    seconds: float
    product: pathlib.Path


@dataclasses.dataclass(frozen=True)
class DrillResult:
    """What one seed showed."""

    drills: int
    served: list[tuple[int, int]]  # Of the keyed requests in each period, and all.
    violations: list[str]

    def describe(self) -> str:
        """Return the result in one line."""
        parts = " ".join(f"{served}/{sent}" for served, sent in self.served)
        return f"{self.drills} drills, keyed requests served: {parts}"


class DrillPlayer:
    """Plays one seed."""

    def __init__(self, world: SoakWorld, plan: DrillPlan, seed: int) -> None:
        self._world = world
        self._plan = plan
        self._rng = random.Random(f"drills {seed}")
        self._drills = 0

    async def play(self) -> DrillResult:
        """Let the store go back again and again, and judge what callers got."""
        world = self._world
        await world.start()
        world.start_callers()
        began_at = world.first_fault_at = time.monotonic()
        tasks = [asyncio.create_task(self._drill()), asyncio.create_task(self._fail())]
        await asyncio.sleep(self._plan.seconds)
        for task in tasks:
            task.cancel()
        world.callers_active = False
        await asyncio.sleep(LATE_RUN_SECONDS)
        world.judge.judge_run(world.book.ended)
        served = [(0, 0)] * math.ceil(self._plan.seconds / PERIOD_SECONDS)
        for call in world.book.ended:
            number = int((call.began_at - began_at) // PERIOD_SECONDS)
            # Callers that leave early have not waited for an answer.
            if call.keyed and call.left_at is None and 0 <= number < len(served):
                before = served[number]
                served[number] = before[0] + (call.status == 200), before[1] + 1
        return DrillResult(self._drills, served, world.audit.violations)

    async def _drill(self) -> None:
        rng = self._rng
        while True:
            age, away = rng.uniform(*COPY_AGE_SECONDS), rng.uniform(*AWAY_SECONDS)
            await go_back(self._world, age, away)
            self._drills += 1
            await asyncio.sleep(rng.uniform(*GAP_SECONDS))

    async def _fail(self) -> None:
        """Play faults beside the drills; the first two are of instances."""
        pending = list(INSTANCE_FAULTS)
        while True:
            await asyncio.sleep(self._rng.uniform(*FAULT_GAP_SECONDS))
            fault = pending.pop() if pending else self._rng.choice(FAULTS)
            self._world.spawn(fault(self._world))


async def _play_seed(
    seed: int, directory: pathlib.Path, plan: DrillPlan
) -> DrillResult:
    world = SoakWorld(seed, directory, plan.instances, plan.product)
    world.workload = Workload(eras=True)
    try:
        return await DrillPlayer(world, plan, seed).play()
    finally:
        await world.close()
        world.kill_processes()


app = typer.Typer(add_completion=False)


@app.command()
def main(
    first: int = 1,
    count: Annotated[int, typer.Option(min=1)] = 1,
    instances: Annotated[int, typer.Option(min=1)] = 6,
    seconds: float = 75.0,
    product: pathlib.Path = ROOT,
) -> None:
    """Play seeds one after the other."""
    plan = DrillPlan(instances, seconds, product.resolve())
    broken = False
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as directory:
            result = asyncio.run(_play_seed(seed, pathlib.Path(directory), plan))
        typer.echo(f"seed {seed}: {result.describe()}")
        for violation in result.violations:
            typer.echo(f"  {violation}")
        broken = broken or bool(result.violations)
    raise typer.Exit(int(broken))


if __name__ == "__main__":
    app()
