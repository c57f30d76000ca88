"""Runs the executable `dist/arbutusflow` without the packages of this environment."""

import contextlib
import http.client
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

import pytest

from arbutusflow import __version__

EXECUTABLE = pathlib.Path(__file__).parents[2] / "dist" / "arbutusflow"
BASE_BIN = pathlib.Path(sys.base_prefix) / "bin"
WAIT_SECONDS = 120.0  # Far longer than a start takes, even on a busy host.
FIRST_PORT = 15_000  # Below the range of ephemeral ports.


@pytest.fixture
def env(tmp_path):
    """Environment variables that select a Python without the project's dependencies."""
    return {
        "PATH": f"{BASE_BIN}:/usr/bin:/bin",
        "SHIV_ROOT": str(tmp_path / "unpacked"),
    }


def free_ports(count):
    ports = []
    for port in range(FIRST_PORT + os.getpid() % 3_000, 19_000):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise AssertionError("no free port")


def is_live(port):
    try:
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        conn.request("GET", "/health/live")
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


def test_entry_process_starts_and_stops(env, tmp_path):
    """Guards against a wrapper with a child process, and a failed stop on SIGTERM."""
    caller, peer, admin, closed_port = free_ports(4)
    lines = [
        "instance: entry-1",
        "zone: zone-a",
        f"platform_url: http://127.0.0.1:{closed_port}",
    ]
    for name, port in (("caller", caller), ("peer", peer), ("admin", admin)):
        lines.append(f"{name}: {{host: 127.0.0.1, port: {port}}}")
    settings = tmp_path / "entry.yaml"
    settings.write_text("\n".join(lines))
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            [EXECUTABLE, "entry", str(settings)], env=env, stdout=log, stderr=log
        )
    try:
        until = time.monotonic() + WAIT_SECONDS
        while not is_live(admin):
            assert process.poll() is None, (tmp_path / "log").read_text()
            assert time.monotonic() < until
            time.sleep(0.05)
        path = f"/proc/{process.pid}/task/{process.pid}/children"
        assert pathlib.Path(path).read_text() == ""
        done = subprocess.run(
            [EXECUTABLE, "status", "--admin", f"127.0.0.1:{admin}"],
            env=env,
            capture_output=True,
            text=True,
        )
        assert re.match(r"instance entry-1\S* in zone-a, configuration 0", done.stdout)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
