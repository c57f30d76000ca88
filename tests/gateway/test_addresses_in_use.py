"""A gateway whose address is in use ends with one sentence."""

import os
import socket
import subprocess
import sys

import pytest

from arbutusflow.platform.settings import METRICS_PORT, SETTINGS_VARIABLE
from tests.gateway.object_platform import SETTINGS
from tests.loopback import free_ports, own_host

START_SECONDS = 60.0  # Far longer than a start takes, even on a busy host.


@pytest.mark.parametrize("name", ["front", "ready", "metrics", "peer"])
def test_an_address_in_use_is_named(tmp_path, name):
    """Guards against a process that ends with a traceback, or names no address."""
    host = own_host()
    front, ready, peer, store = free_ports(host, 4)
    ports = {"front": front, "ready": ready, "metrics": METRICS_PORT, "peer": peer}
    settings = tmp_path / "instance.toml"
    settings.write_text(
        SETTINGS.format(
            name="n1",
            zone="z",
            host=host,
            front=front,
            ready=ready,
            peer=peer,
            store_host=host,
            store=store,
        )
    )
    kind = socket.SOCK_DGRAM if name == "peer" else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind((host, ports[name]))
        if kind == socket.SOCK_STREAM:
            other.listen()
        done = subprocess.run(
            [sys.executable, "-m", "arbutusflow", "gateway"],
            env={**os.environ, SETTINGS_VARIABLE: str(settings)},
            capture_output=True,
            text=True,
            timeout=START_SECONDS,
        )
    assert done.returncode == 2
    assert done.stderr.startswith("arbutusflow: cannot listen on ")
    assert f"{host}:{ports[name]}" in done.stderr
    assert len(done.stderr.splitlines()) == 1
