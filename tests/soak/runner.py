"""Runs the soak test with a range of seeds.

Usage: `python -m tests.soak.runner --first 1 --count 50`.
"""

import asyncio
import pathlib
import tempfile
import time

import typer

from tests.soak import faults
from tests.soak.world import ROOT, SoakWorld

CALLERS = 24
FAULT_END_SECONDS = 20.0  # Longest wait for the injected faults to end.
# Wait before the check that no refused request has run.
LATE_RUN_SECONDS = 2.0


async def run_seed(
    seed: int,
    directory: pathlib.Path,
    instances: int,
    seconds: float,
    product: pathlib.Path = ROOT,
) -> tuple[list[str], dict[int, int], list[str]]:
    """Run one seed; return violations, number of answers by status, and faults.

    `product` is the repository whose gateway the instances run.
    """
    world = SoakWorld(seed, directory, instances, product)
    try:
        await world.start()
        for _ in range(CALLERS):
            world.spawn(world.send_requests())
        injected = await faults.inject_faults(world, seconds)
        callers = CALLERS
        until = time.monotonic() + FAULT_END_SECONDS
        # Only the tasks of the callers remain once all faults have ended.
        while len(world.tasks) > callers and time.monotonic() < until:
            await asyncio.sleep(0.1)
        for proxy in (*world.store_proxies, *world.proxies.values()):
            proxy.clear_faults()
        await world.settle()
        world.callers_active = False
        await asyncio.sleep(LATE_RUN_SECONDS)
        world.audit.check_refusals()
    finally:
        await world.close()
    return world.audit.violations, world.answer_counts, injected


def main(
    first: int = 1,
    count: int = 1,
    instances: int = 4,
    seconds: float = 15.0,
    product: pathlib.Path = ROOT,
) -> None:
    """Run seeds one after the other, and print where the logs of failed ones are."""
    failed = []
    for seed in range(first, first + count):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, answers, injected = asyncio.run(
            run_seed(seed, directory, instances, seconds, product)
        )
        typer.echo(f"seed {seed}: {len(injected)} faults, answers by status: {answers}")
        for violation in violations:
            typer.echo(f"  {violation}")
        if violations:
            typer.echo(f"  faults: {', '.join(injected)}; logs: {directory}")
            failed.append(seed)
    typer.echo(f"{count} seeds, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
