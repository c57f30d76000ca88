"""Plays seeds of the soak: `python -m tests.soak.runner --first 1 --count 50`."""

import asyncio
import pathlib
import tempfile
import time

import typer

from tests.soak import faults
from tests.soak.world import SoakWorld

CALLERS = 8
FAULT_END_SECONDS = 20.0  # The longest fault ends within this time.
LATE_RUN_SECONDS = 2.0  # Work that was refused would have run by then.


async def play_seed(
    seed: int, directory: pathlib.Path, instances: int, seconds: float
) -> tuple[list[str], dict[int, int], list[str]]:
    """Return the violations, the answers by status and the faults of a run."""
    world = SoakWorld(seed, directory, instances)
    try:
        await world.start()
        for _ in range(CALLERS):
            world.spawn(world.call_forever())
        played = await faults.play(world, seconds)
        callers = CALLERS
        until = time.monotonic() + FAULT_END_SECONDS
        while len(world.tasks) > callers and time.monotonic() < until:
            await asyncio.sleep(0.1)
        for proxy in (*world.store_proxies, *world.proxies.values()):
            proxy.heal()
        await world.settle()
        world.calling = False
        await asyncio.sleep(LATE_RUN_SECONDS)
        world.audit.check_refusals()
    finally:
        await world.close()
    return world.audit.violations, world.answers, played


def main(
    first: int = 1, count: int = 1, instances: int = 4, seconds: float = 15.0
) -> None:
    """Play seeds one after the other; logs of failed ones are kept."""
    failed = []
    for seed in range(first, first + count):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, answers, played = asyncio.run(
            play_seed(seed, directory, instances, seconds)
        )
        typer.echo(f"seed {seed}: {len(played)} faults, answers {answers}")
        for violation in violations:
            typer.echo(f"  {violation}")
        if violations:
            typer.echo(f"  faults: {', '.join(played)}; logs: {directory}")
            failed.append(seed)
    typer.echo(f"{count} seeds, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
