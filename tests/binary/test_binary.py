"""Runs the executable `dist/arbutusflow` without the packages of this environment."""

import http.client
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from arbutusflow import __version__
from arbutusflow.gateway.instance_state import STATE_PATH
from arbutusflow.platform.settings import METRICS_PORT, SETTINGS_VARIABLE
from tests.gateway.object_platform import SETTINGS
from tests.loopback import free_ports, own_host

EXECUTABLE = pathlib.Path(__file__).parents[2] / "dist" / "arbutusflow"
BASE_BIN = pathlib.Path(sys.base_prefix) / "bin"
WAIT_SECONDS = 120.0  # Far longer than a start takes, even on a busy host.


@pytest.fixture
def env(tmp_path):
    """Environment variables that select a Python without the project's dependencies."""
    return {
        "PATH": f"{BASE_BIN}:/usr/bin:/bin",
        "SHIV_ROOT": str(tmp_path / "unpacked"),
    }


def is_running(address):
    try:
        conn = http.client.HTTPConnection(address, timeout=5)
        conn.request("GET", STATE_PATH)
        return conn.getresponse().status == 200
    except OSError:
        return False


def test_version_is_printed_and_file_is_unpacked(env, tmp_path):
    """Guards against a dependency that is missing from the executable.

    The executable runs without installed packages, so a missing one fails the test.
    """
    done = subprocess.run(
        [EXECUTABLE, "version"], env=env, capture_output=True, text=True
    )
    assert (done.stdout, done.stderr) == (f"{__version__}\n", "")
    assert len(list((tmp_path / "unpacked").glob("arbutusflow_*"))) >= 1


def test_gateway_starts_and_stops(env, tmp_path):
    """Guards against a wrapper with a child process, and a failed stop on SIGTERM."""
    host = own_host()
    front, ready, peer, store = free_ports(host, 4)
    settings = tmp_path / "instance.toml"
    settings.write_text(
        SETTINGS.format(
            name="instance-1",
            zone="zone-a",
            host=host,
            front=front,
            ready=ready,
            peer=peer,
            store_host=host,
            store=store,
        )
    )
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            [EXECUTABLE, "gateway"],
            env={**env, SETTINGS_VARIABLE: str(settings)},
            stdout=log,
            stderr=log,
        )
    address = f"{host}:{METRICS_PORT}"
    try:
        until = time.monotonic() + WAIT_SECONDS
        while not is_running(address):
            assert process.poll() is None, (tmp_path / "log").read_text()
            assert time.monotonic() < until
            time.sleep(0.05)
        path = f"/proc/{process.pid}/task/{process.pid}/children"
        assert pathlib.Path(path).read_text() == ""
        done = subprocess.run(
            [EXECUTABLE, "instances", address], env=env, capture_output=True, text=True
        )
        (line,) = done.stdout.splitlines()[1:]
        assert line.split()[:3] == ["instance-1", "zone-a", "starting"]
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
