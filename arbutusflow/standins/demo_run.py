"""One run of the demo: checks its needs, plays it, and reports.

Exit status: 0 if all promises were kept, 1 if not or if the product did not work, 2 if
the demo could not be run here, 130 after an interrupt. No process is left in any case.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import sys
import tempfile
import types
from collections.abc import Iterator

import typer
from tqdm import tqdm

from arbutusflow.standins.demo_page import write_page
from arbutusflow.standins.demo_play import Player, Recording
from arbutusflow.standins.demo_report import (
    check_lines,
    check_promises,
    summarise,
    table_lines,
)
from arbutusflow.standins.demo_world import (
    ENDPOINT_COUNT,
    INSTANCE_ZONES,
    StartError,
    running_world,
)
from arbutusflow.standins.gateway_fleet import AddressInUseError, Network

STATUS_KEPT, STATUS_FAILED, STATUS_BAD_INPUT, STATUS_INTERRUPTED = 0, 1, 2, 130
BAR_FORMAT = "{desc} |{bar}| {n:.0f} of {total:.0f} s"


@dataclasses.dataclass(frozen=True, slots=True)
class DemoOptions:
    """Options of the command."""

    seed: int
    seconds: float  # Length of all parts together.
    keep: bool  # Whether the logs stay after the run.
    page: pathlib.Path
    network: str  # As `127.X.Y`; "" for addresses by the process identifier.


def run_demo(options: DemoOptions) -> int:
    """Run the demo and return the exit status."""
    try:
        with _other_signals_interrupt():
            return _run_checked(options)
    except KeyboardInterrupt:
        return _fail("interrupted; all its processes have ended", STATUS_INTERRUPTED)


@contextlib.contextmanager
def _other_signals_interrupt() -> Iterator[None]:
    """Let SIGTERM and SIGHUP do the same as Ctrl-C, which ends all processes.

    While the event loop runs, it takes SIGINT between two callbacks, so that the start
    of a process is not interrupted before it is noted.
    """

    def interrupt(number: int, frame: types.FrameType | None) -> None:
        signal.raise_signal(signal.SIGINT)

    numbers = (signal.SIGTERM, signal.SIGHUP)
    former = [signal.signal(number, interrupt) for number in numbers]
    try:
        yield
    finally:
        for number, handler in zip(numbers, former, strict=True):
            signal.signal(number, handler)


def _run_checked(options: DemoOptions) -> int:
    try:
        network = _network(options)
        network.check_free(len(INSTANCE_ZONES), ENDPOINT_COUNT)
        _check_writable(options.page)
    except (AddressInUseError, OSError, ValueError) as exc:
        return _fail(str(exc), STATUS_BAD_INPUT)
    try:
        with _log_directory(keep=options.keep) as directory:
            recording = asyncio.run(_play(options, network, directory))
        return _report(options, recording)
    except StartError as exc:
        return _fail(str(exc), STATUS_FAILED)
    except OSError as exc:  # An address or the page was lost since the check.
        return _fail(str(exc), STATUS_BAD_INPUT)


def _network(options: DemoOptions) -> Network:
    if options.network:
        return Network.parse(options.network)
    return Network.of_process(os.getpid())


def _check_writable(path: pathlib.Path) -> None:
    """Raise OSError unless the page can be written."""
    try:
        if path.exists():
            path.open("ab").close()
        else:
            with tempfile.NamedTemporaryFile(dir=path.parent):
                pass
    except OSError as exc:
        raise OSError(f"the page {path} cannot be written: {exc.strerror}") from exc


@contextlib.contextmanager
def _log_directory(*, keep: bool) -> Iterator[pathlib.Path]:
    if not keep:
        with tempfile.TemporaryDirectory(prefix="arbutusflow-demo-") as name:
            yield pathlib.Path(name)
        return
    directory = pathlib.Path(tempfile.mkdtemp(prefix="arbutusflow-demo-"))
    typer.echo(f"logs: {directory}")
    yield directory


async def _play(
    options: DemoOptions, network: Network, directory: pathlib.Path
) -> Recording:
    errors: list[BaseException] = []
    rng = random.Random(options.seed)
    typer.echo(
        f"{len(INSTANCE_ZONES)} instances, {ENDPOINT_COUNT} endpoints and a store on"
        f" {network.prefix}.0/24, seed {options.seed}"
    )
    async with running_world(network, directory, rng, errors.append) as world:
        # Without a terminal there is no bar.
        with tqdm(total=options.seconds, bar_format=BAR_FORMAT, disable=None) as bar:

            def show(part: str, seconds: float) -> None:
                bar.set_description(f"{part:<20}", refresh=False)
                bar.update(seconds)

            player = Player(world, options.seed, options.seconds, show)
            recording = await player.run()
    if errors:
        raise errors[0]  # A fault of a stand-in, so that nothing was shown.
    return recording


def _report(options: DemoOptions, recording: Recording) -> int:
    rows, checks = summarise(recording), check_promises(recording)
    typer.echo("\n".join([*table_lines(rows), "", *check_lines(checks)]))
    if recording.not_sent:
        typer.echo(f"not sent, with too many in flight: {recording.not_sent}")
    if recording.skipped:
        typer.echo(f"not sent, because the demo itself was late: {recording.skipped}")
    write_page(options.page, recording, rows, checks)
    typer.echo(f"page: {options.page.resolve()}")
    broken = sum(len(check.broken) for check in checks)
    if not broken:
        return STATUS_KEPT
    return _fail(f"{broken} promises broken; the first are above", STATUS_FAILED)


def _fail(text: str, status: int) -> int:
    sys.stdout.flush()
    sys.stderr.write(f"demo: {text}\n")
    return status
