"""Writes all that explains a failed seed into one folder, without running it again.

`run.txt` holds the seed, the command, the faults, who was disturbed when, how late the
process of the run was, and the versions of the configuration; `violations.txt` the
violations; `record.txt` the lines about their requests and keys in order; `logs/` the
logs of the instances concerned; `trail-ID.txt` what `arbutusflow explain trail` tells
of a request.
"""

import pathlib
import shutil
import subprocess
import sys

from tests.soak.audit import Violation
from tests.soak.world import ROOT, SoakWorld

MAX_TRAILS = 10
MAX_REQUESTS = 20  # Of one violation.
TRAIL_SECONDS = 60.0


def write_failure(
    folder: pathlib.Path, seed: int, command: str, world: SoakWorld, faults: list[str]
) -> None:
    """Write the folder of a failed seed."""
    folder.mkdir(parents=True, exist_ok=True)
    found = world.audit.found
    started = f"Times are seconds; 0 is {world.started_unix:.3f} (Unix)."
    zero = world.audit.started
    lines = [f"seed {seed}", command, started, "faults:", *faults]
    lines += ["disturbances:", *world.disturbances.lines(zero)]
    lines += ["lateness of this run's process:", *world.lateness.lines(zero)]
    lines.append("configurations:")
    lines += [version.describe(zero) for version in world.history.versions]
    _write(folder / "run.txt", lines)
    _write(folder / "violations.txt", world.audit.violations)
    _write(folder / "record.txt", _record_lines(world, found))
    (folder / "logs").mkdir(exist_ok=True)
    logs = []
    for name in _instances(world, found):
        gateway = next(g for g in world.gateways if g.name == name)
        logs.append(folder / "logs" / f"{name}.log")
        shutil.copyfile(gateway.log_path, logs[-1])
    ids = list(dict.fromkeys(i for violation in found for i in violation.request_ids))
    for request_id in ids[:MAX_TRAILS]:
        name = request_id.decode()
        _write(folder / f"trail-{name}.txt", [_trail(name, logs)])


def _write(path: pathlib.Path, lines: list[str]) -> None:
    path.write_text("".join(f"{line}\n" for line in lines))


def _record_lines(world: SoakWorld, found: list[Violation]) -> list[str]:
    lines: list[str] = []
    for violation in found:
        lines.append(violation.describe())
        for request_id in violation.request_ids[:MAX_REQUESTS]:
            name = request_id.decode()
            lines += [f"  {name}: {line}" for line in world.audit.lines(request_id)]
        if violation.keys is not None:
            first, last = violation.keys
            lines += [
                f"  {line.at:.3f} keys {line.first}-{line.last}: {line.text}"
                for line in world.audit.orders
                if line.first <= last and line.last >= first
            ]
    return lines


def _instances(world: SoakWorld, found: list[Violation]) -> list[str]:
    """Return the instances concerned; all, if a violation names none."""
    names = {violation.instance for violation in found}
    for violation in found:
        for request_id in violation.request_ids:
            names.add(world.audit.instances.get(request_id))
        if not violation.request_ids and violation.instance is None:
            names |= {gateway.name for gateway in world.gateways}
    return sorted(name for name in names if name is not None)


def _trail(request_id: str, logs: list[pathlib.Path]) -> str:
    """Return the trail of a request, or why there is none."""
    command = [sys.executable, "-m", "arbutusflow", "explain", "trail", request_id]
    done = subprocess.run(
        [*command, *(str(path.resolve()) for path in logs)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TRAIL_SECONDS,
        check=False,
    )
    return done.stdout + done.stderr
