"""The runner explains failures, refuses bad input and leaves no process behind.

Guards against failed seeds that have to be played again to be understood, and against
instances that outlive an interrupted run.
"""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest
from typer.testing import CliRunner

from tests.soak import runner
from tests.soak.failure_folder import write_failure
from tests.soak.gateway_process import GatewayProcess
from tests.soak.world import ROOT, SoakWorld

START_SECONDS = 60.0
LOG_LINE = (
    '{"time":1.5,"instance":"n0","event":"refused","request_id":"r7","reason":"full"}\n'
)


def _world_with_logs(directory):
    world = SoakWorld(1, directory, instances=0)
    for number in range(2):
        gateway = GatewayProcess(number, directory, 1, ROOT, lambda name, number: None)
        gateway.log_path.write_text(LOG_LINE.replace("n0", gateway.name))
        world.gateways.append(gateway)
    return world


def test_a_failed_seed_leaves_all_that_explains_it(tmp_path):
    world = _world_with_logs(tmp_path)
    world.audit.instances[b"r7"] = "n0"
    for request_id, text in ((b"r7", "sent"), (b"r8", "sent"), (b"r7", "refused")):
        world.audit.record_event(request_id, text)
    world.audit.record_violation("r7 was refused but ran", "REFUSED", (b"r7",))
    world.write_configuration()
    with world.disturbances.lasting("n1", note="paused"):
        world.disturbances.record("e1", note="end")
    world.lateness.record(world.audit.started + 3.0, world.audit.started + 3.9)
    world.lateness.record(world.audit.started + 4.0, world.audit.started + 4.1)
    folder = tmp_path / "failures" / "seed-9"
    write_failure(folder, 9, "the command", world, ["0.1 a_fault"])
    run = (folder / "run.txt").read_text()
    assert "seed 9" in run
    assert "the command" in run
    assert "a_fault" in run
    assert "n1: unplanned paused" in run
    assert "e1: unplanned end" in run
    assert run.count("late by") == 1
    assert "3.900 late by 0.90" in run
    assert "version 1: /x/ keyed" in run
    assert "REFUSED" in (folder / "violations.txt").read_text()
    record = (folder / "record.txt").read_text()
    assert "r8" not in record
    assert record.index("r7: 0") < record.index("sent") < record.index("refused\n")
    assert [path.name for path in (folder / "logs").iterdir()] == ["n0.log"]
    assert "reason=full" in (folder / "trail-r7.txt").read_text()


def test_a_violation_about_keys_tells_the_orders_for_these_keys(tmp_path):
    world = _world_with_logs(tmp_path)
    world.audit.record_order(0, 9, "e1 answers 200")
    world.audit.record_order(10, 19, "e2 answers 200")
    world.audit.record_order(5, 12, "e3 answers 200")
    world.audit.record_violation("keys 3-7", "OWNER", keys=(3, 7))
    folder = tmp_path / "seed-9"
    write_failure(folder, 9, "the command", world, [])
    record = (folder / "record.txt").read_text()
    assert "e2" not in record
    assert record.index("e1") < record.index("e3")
    logs = {path.name for path in (folder / "logs").iterdir()}
    assert logs == {"n0.log", "n1.log"}


def _run(*args):
    return CliRunner().invoke(runner.app, [str(arg) for arg in args])


@pytest.mark.parametrize("text", [None, "1 two 3"])
def test_a_seed_file_that_cannot_be_read_is_refused(tmp_path, text):
    path = tmp_path / "seeds"
    if text is not None:
        path.write_text(text)
    result = _run("--seeds", path)
    assert result.exit_code == 2
    assert f"the seed file {path}" in result.output


def test_a_folder_that_cannot_be_written_is_refused(tmp_path):
    (tmp_path / "file").write_text("")
    result = _run("--out", tmp_path / "file" / "below")
    assert result.exit_code == 2
    assert "cannot write to the folder" in result.output


def test_a_missing_build_is_refused(tmp_path):
    result = _run("--product", tmp_path / "none", "--out", tmp_path)
    assert result.exit_code == 2
    assert "holds no build of arbutusflow" in result.output


def _children(pid):
    """Return the identifiers of the processes that a process has started."""
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(word) for word in path.read_text().split()]


def _is_running(pid):
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_the_processes_it_started(tmp_path, number):
    command = [sys.executable, "-m", "tests.soak.runner", "--seconds", "60"]
    command += ["--instances", "2", "--out", str(tmp_path)]
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    with subprocess.Popen(command, cwd=ROOT, env=env) as run:
        try:
            until = time.monotonic() + START_SECONDS
            while len(_children(run.pid)) < 2 and time.monotonic() < until:
                time.sleep(0.05)
            children = _children(run.pid)
            run.send_signal(number)
            assert run.wait(START_SECONDS) == 130
        finally:
            run.kill()
    assert len(children) == 2
    assert [pid for pid in children if _is_running(pid)] == []
    assert list(tmp_path.iterdir()) == []
