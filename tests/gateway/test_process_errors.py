"""What a process leaves in its log when it ends by itself, and what doesn't end it."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import INSTANCE_PREFIX
from arbutusflow.gateway.fleet_task import FLEET_KIND
from tests.gateway.object_platform import SETTINGS
from tests.gateway.test_whole_path import HOST, run_with_cluster, wait_until
from tests.loopback import free_ports, own_host

# Runs an instance in which a part raises an error or reports one.
_CODE = """
import asyncio, gc, logging, pathlib, sys, warnings
from arbutusflow.gateway import process
from arbutusflow.platform.settings import load_settings

def fail(error=MemoryError):
    raise error("played")

class Unraisable:
    def __del__(self):
        fail()

async def fail_later():
    fail()

class Played(process.Gateway):
    def _periodic_callbacks(self):
        {played}
        return super()._periodic_callbacks()

process.Gateway = Played
path = pathlib.Path(sys.argv[1])
process.run_gateway(load_settings(path), path)
"""


@contextlib.contextmanager
def _instance(directory, played="pass", stderr=None):
    """Start an instance without a store, and return its process and log."""
    host = own_host(1)
    front, ready, peer, store = free_ports(host, 4)
    path, log = directory / "n1.toml", directory / "n1.log"
    text = SETTINGS.format(
        name="n1",
        host=host,
        zone="z0",
        front=front,
        ready=ready,
        peer=peer,
        store_host=host,
        store=store,
    )
    path.write_text(text)
    with log.open("wb") as output, open(os.devnull, "wb") as null:
        process = subprocess.Popen(
            [sys.executable, "-c", _CODE.format(played=played), str(path)],
            stdout=output,
            stderr=null if stderr is None else stderr,
        )
    try:
        yield process, log
    finally:
        process.kill()
        process.wait()


def _events(log, name):
    """Return the events of a name so far."""
    lines = map(json.loads, log.read_bytes().splitlines())
    return [line for line in lines if line["event"] == name]


def _await_events(log, name, seconds=10.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(ValueError):  # A line that is half written.
            if found := _events(log, name):
                return found
        time.sleep(0.02)
    raise AssertionError(f"no event {name}: {log.read_text()}")


@pytest.mark.parametrize(
    ("played", "reason"),
    [
        ("fail(ValueError)", "ValueError"),
        ("self._loop.call_soon(fail, SystemExit)", "SystemExit"),
        ("self._loop.call_soon(fail, KeyboardInterrupt)", "KeyboardInterrupt"),
    ],
)
def test_an_error_that_ends_the_process_is_in_its_log(tmp_path, played, reason):
    """Guards against an end of which the log tells nothing."""
    with _instance(tmp_path, played) as (process, log):
        status = process.wait(10.0)
    assert status not in (None, 0)
    (ended,) = _events(log, "ended")
    assert ended["reason"] == reason
    assert ended["peak_bytes"] > 10_000_000
    counts = [ended[name] for name in ("connections", "pending", "sent")]
    assert counts == [0, 0, 0]
    (error,) = _events(log, "error")
    assert "played" in error["detail"]


def test_a_signal_that_ends_the_process_is_in_its_log(tmp_path):
    """Guards against an end of which the log tells nothing."""
    with _instance(tmp_path) as (process, log):
        _await_events(log, "started")
        process.send_signal(signal.SIGQUIT)
        status = process.wait(10.0)
    assert status == -signal.SIGQUIT
    (ended,) = _events(log, "ended")
    assert ended["reason"] == "SIGQUIT"


@pytest.mark.parametrize("number", [signal.SIGUSR1, signal.SIGUSR2])
def test_a_signal_without_a_meaning_does_not_end_the_process(tmp_path, number):
    """Guards against requests that are lost by a signal that asks for nothing."""
    with _instance(tmp_path) as (process, log):
        _await_events(log, "started")
        process.send_signal(number)
        (ignored,) = _await_events(log, "signal_ignored")
        assert process.poll() is None
    assert ignored["signal"] == signal.Signals(number).name


@pytest.mark.parametrize(
    ("played", "during"),
    [
        ("self._loop.call_soon(fail)", "Exception in callback"),
        ("self._loop.create_task(fail_later())", "never retrieved"),
        ("Unraisable()", "Unraisable"),
        ("logging.error('played')", "played"),
        ("warnings.warn('played')", "played"),
    ],
)
def test_errors_that_nothing_handles_are_in_the_log(tmp_path, played, during):
    """Guards against errors that only standard error tells of, or that end anything."""
    played += "; self._loop.call_later(0.2, gc.collect)"
    with _instance(tmp_path, played) as (process, log):
        until = time.monotonic() + 10.0
        while during not in log.read_text():
            assert time.monotonic() < until, log.read_text()
            time.sleep(0.02)
        assert process.poll() is None


def test_a_standard_error_that_nobody_reads_does_not_hold_the_process_up(tmp_path):
    """Guards against an event loop that waits for the reader of a full pipe.

    The store is looked for after the write.
    """
    reader, writer = os.pipe()
    played = "sys.stderr.write('x' * 100000)"
    try:
        with _instance(tmp_path, played, stderr=writer) as (_process, log):
            _await_events(log, "store_lost")
    finally:
        os.close(reader)
        os.close(writer)


@pytest.mark.parametrize("life_before", [None, 5])
def test_a_start_tells_that_the_process_before_did_not_deregister(
    tmp_path, monkeypatch, life_before
):
    """Guards against an end of which neither process tells anything."""
    events = []

    def record(log, event, /, **fields):
        events.append((log._instance, event, fields))

    async def scenario(cluster):
        monkeypatch.setattr(EventLog, "write", record)
        spec = {"name": "n3", "life": life_before, "host": HOST, "port": 1, "zone": "z"}
        if life_before is not None:
            cluster.store.put(FLEET_KIND, INSTANCE_PREFIX + "n3", spec)
        await cluster.add_gateway("n3")

        async def is_registered():
            return any((i, e) == ("n3", "registered") for i, e, _ in events)

        await wait_until(is_registered)

    run_with_cluster(scenario, tmp_path)
    found = [(i, f) for i, event, f in events if event == "earlier_life_unended"]
    assert found == ([] if life_before is None else [("n3", {"life": life_before})])
