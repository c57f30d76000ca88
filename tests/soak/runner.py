"""Runs the soak test with a range of seeds.

Usage: `python -m tests.soak.runner --first 1 --count 50`. Each failed seed leaves a
folder that explains it. The exit status is 1 if a seed failed, 2 for bad arguments and
130 after an interrupt; no process of a run stays behind.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import shlex
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Annotated

import typer

from tests.soak import faults
from tests.soak.failure_folder import write_failure
from tests.soak.recover_audit import RECOVERY_SECONDS
from tests.soak.workload import draw_workload
from tests.soak.world import ROOT, SoakWorld

FAULT_END_SECONDS = 20.0  # Longest wait for the injected faults to end.
# Wait before the check that no refused request has run.
LATE_RUN_SECONDS = 2.0
FINAL_KILL_SHARE = 0.15  # Of the seeds, in which all instances are killed at the end.
AFTER_RECOVERY_SECONDS = 4.0
JUDGE_PERIOD_SECONDS = 1.0
FAILURES = pathlib.Path(tempfile.gettempdir()) / "soak-failures"


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """What each seed plays."""

    instances: int = 4
    seconds: float = 15.0  # In which faults begin.
    product: pathlib.Path = ROOT  # Repository whose gateway the instances run.
    stop_early: bool = False  # End a seed once a violation is found.
    eras: bool = False  # The store goes back in each seed, not only where drawn.


@dataclasses.dataclass(frozen=True)
class SeedResult:
    """What one seed showed."""

    seed: int
    violations: list[str]
    rules: list[str]  # In the order in which they were found.
    found_after: float | None  # Seconds from the first fault to the first violation.
    answers: dict[int, int]  # Number of answers by status.
    judged: dict[str, int]  # Number of requests that each rule was judged on.
    faults: list[str]
    late_seconds: float  # Longest delay of the event loop of the run.

    def describe(self) -> str:
        """Return the result in one line."""
        judged = ", ".join(f"{rule} {count}" for rule, count in self.judged.items())
        text = f"seed {self.seed}: {len(self.faults)} faults, answers by status:"
        text += f" {self.answers}, judged: {judged}"
        text += f"; late by at most {self.late_seconds:.2f} s"
        if self.found_after is None:
            return text
        rules = ", ".join(dict.fromkeys(self.rules))
        return f"{text}; FOUND {rules} after {self.found_after:.1f} s"


async def _judge_while_running(world: SoakWorld) -> None:
    while world.callers_active:
        world.judge.judge_ended(world.book.ended)
        await asyncio.sleep(JUDGE_PERIOD_SECONDS)


async def _play(world: SoakWorld, plan: RunPlan, injected: list[str]) -> None:
    """Play a seed and append its faults."""
    await world.start()
    world.start_callers()
    world.spawn(_judge_while_running(world), background=True)
    await faults.inject_faults(world, plan.seconds, injected)
    until = time.monotonic() + FAULT_END_SECONDS
    while world.active_faults and time.monotonic() < until:
        await asyncio.sleep(0.1)
    for proxy in (*world.store_proxies, *world.proxies.values()):
        proxy.clear_faults()
    if world.workload.final_kill:
        injected.append("all_instances_killed at the end")
        await faults.all_instances_killed(world)
        await asyncio.sleep(RECOVERY_SECONDS + AFTER_RECOVERY_SECONDS)
    await world.settle()
    world.callers_active = False
    await asyncio.sleep(LATE_RUN_SECONDS)


async def _stop_when_found(world: SoakWorld, play: "asyncio.Task[None]") -> None:
    while not play.done():
        await asyncio.sleep(0.2)
        if world.audit.found:
            play.cancel()
            return


async def run_seed(
    seed: int, directory: pathlib.Path, plan: RunPlan, failures: pathlib.Path, cmd: str
) -> SeedResult:
    """Run one seed; a failed one leaves a folder below `failures`."""
    world = SoakWorld(seed, directory, plan.instances, plan.product)
    workload = draw_workload(seed, plan.instances, FINAL_KILL_SHARE)
    if plan.eras:
        workload = dataclasses.replace(workload, eras=True)
    world.workload = workload
    injected: list[str] = []
    with _processes_end(world):
        play = asyncio.ensure_future(_play(world, plan, injected))
        try:
            if plan.stop_early:
                watch = asyncio.ensure_future(_stop_when_found(world, play))
                await asyncio.wait([play, watch], return_when=asyncio.ALL_COMPLETED)
                if not play.cancelled():
                    play.result()
            else:
                await play
            world.judge.judge_run(world.book.ended)
        finally:
            play.cancel()  # It must start no process while the run ends.
            await asyncio.gather(play, return_exceptions=True)
            await world.close()
    found = world.audit.found
    if found:
        write_failure(failures / f"seed-{seed}", seed, cmd, world, injected)
    began = world.first_fault_at or world.audit.started
    return SeedResult(
        seed,
        world.audit.violations,
        [violation.rule for violation in found],
        found[0].at - (began - world.audit.started) if found else None,
        world.answer_counts,
        dict(world.judge.judged),
        injected,
        world.lateness.longest_seconds,
    )


@contextlib.contextmanager
def _processes_end(world: SoakWorld) -> Iterator[None]:
    """Kill the processes of a run in any case, also if its end is interrupted."""
    try:
        yield
    finally:
        world.kill_processes()


def _fail(text: str) -> typer.Exit:
    typer.echo(f"error: {text}", err=True)
    return typer.Exit(2)


def _read_seeds(path: pathlib.Path) -> list[int]:
    try:
        return [int(word) for word in path.read_text().split()]
    except OSError as exc:
        raise _fail(f"cannot read the seed file {path}: {exc.strerror}") from exc
    except ValueError as exc:
        raise _fail(f"the seed file {path} must hold whole numbers only") from exc


def _check_folder(path: pathlib.Path) -> None:
    try:
        path.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryFile(dir=path):
            return
    except OSError as exc:
        raise _fail(f"cannot write to the folder {path}: {exc.strerror}") from exc


app = typer.Typer(add_completion=False)


@app.command()
def main(
    first: int = 1,
    count: Annotated[int, typer.Option(min=1)] = 1,
    instances: Annotated[int, typer.Option(min=1)] = 4,
    seconds: float = 15.0,
    product: pathlib.Path = ROOT,
    seeds: Annotated[
        pathlib.Path | None, typer.Option(help="File of seeds, instead of a range.")
    ] = None,
    out: Annotated[
        pathlib.Path, typer.Option(help="Gets a folder for each failed seed.")
    ] = FAILURES,
    stop_early: Annotated[
        bool, typer.Option("--stop-early", help="End a seed at its first violation.")
    ] = False,
    eras: Annotated[
        bool, typer.Option("--eras", help="Let the store go back in each seed.")
    ] = False,
) -> None:
    """Run seeds one after the other; a failed one leaves a folder."""
    numbers = list(range(first, first + count)) if seeds is None else _read_seeds(seeds)
    if not (product / "arbutusflow" / "__main__.py").is_file():
        raise _fail(f"{product} holds no build of arbutusflow")
    _check_folder(out)
    plan = RunPlan(instances, seconds, product.resolve(), stop_early, eras)
    failed = []
    # Ends a run in the same way as an interrupt of the terminal.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    for seed in numbers:
        command = shlex.join(
            f"python -m tests.soak.runner --first {seed} --count 1 --seconds {seconds}"
            f" --instances {instances} --product {product}{' --eras' * eras}".split()
        )
        with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as name:
            run = run_seed(seed, pathlib.Path(name), plan, out, command)
            try:
                result = asyncio.run(run)
            except KeyboardInterrupt:
                typer.echo(f"interrupted in seed {seed}", err=True)
                raise typer.Exit(130) from None
        typer.echo(result.describe())
        for violation in result.violations:
            typer.echo(f"  {violation}")
        if result.violations:
            typer.echo(f"  explained in {out / f'seed-{seed}'}")
            failed.append(seed)
        sys.stdout.flush()
    typer.echo(f"{len(numbers)} seeds, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    app()
