"""The command of the demo: exit status, bad input, and what it leaves behind."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from arbutusflow.gateway.model import Address
from arbutusflow.platform import wire
from arbutusflow.standins import demo, demo_run, demo_world
from arbutusflow.standins.demo_play import due_requests
from arbutusflow.standins.demo_run import DemoOptions, run_demo
from arbutusflow.standins.embedded_server import Reply
from arbutusflow.standins.gateway_fleet import CALLER_PORT, METRICS_PORT, Network
from arbutusflow.standins.key_endpoint import KeyEndpoint
from tests.loopback import own_host

COMMAND = [sys.executable, "-m", "arbutusflow.standins.demo"]
WAIT_SECONDS = 60.0


def own_network():
    return own_host().rpartition(".")[0]


def run_command(*arguments):
    return subprocess.run(
        [*COMMAND, *arguments], capture_output=True, text=True, timeout=WAIT_SECONDS
    )


def assert_one_line(result, *fragments):
    """The command ended with 2 and wrote one line, without a traceback."""
    assert result.returncode == 2, result.stderr
    (line,) = result.stderr.splitlines()
    assert line.startswith("demo: ")
    for fragment in fragments:
        assert fragment in line


def play(tmp_path, seconds=10.0):
    page = tmp_path / "page.html"
    return run_demo(DemoOptions(1, seconds, False, page, own_network())), page


def test_it_ends_with_0_and_writes_a_page_that_needs_no_network(tmp_path, capsys):
    """Guards against a first command that shows no working product."""
    status, page = play(tmp_path)
    shown = capsys.readouterr().out
    assert status == 0, shown
    assert str(page) in shown
    text = page.read_text()
    assert "<svg" in text
    for word in ('src="', "<link", "<script", "@import"):
        assert word not in text


async def refuse(self, req, request_id, key):
    """Refuse a request in the place of an endpoint that would run it."""
    return Reply(503, ((wire.REQUEST_ID, request_id), (wire.NOT_RUN, b"1")))


def test_it_ends_with_1_when_requests_of_the_calm_part_are_refused(
    tmp_path, capsys, monkeypatch
):
    """Guards against a demo that refuses its requests and ends with 0."""
    run = KeyEndpoint._run

    async def run_lookups(self, req, request_id, key):
        # The lookups of the start have to be served.
        is_lookup = req.target.startswith(b"/lookup/")
        return await (run if is_lookup else refuse)(self, req, request_id, key)

    monkeypatch.setattr(KeyEndpoint, "_run", run_lookups)
    status, _ = play(tmp_path)
    assert status == 1
    assert "requests of the calm part were answered" in capsys.readouterr().out


def test_it_ends_with_1_when_endpoints_run_no_request(tmp_path, capsys, monkeypatch):
    """Guards against a demo that begins, or waits for ever, without a served key."""
    monkeypatch.setattr(KeyEndpoint, "_run", refuse)
    monkeypatch.setattr(demo_world, "START_SECONDS", 8.0)
    status, page = play(tmp_path)
    assert status == 1
    assert "0 serve keys" in capsys.readouterr().err
    assert not page.exists()


def test_it_ends_with_1_when_an_answer_belongs_to_another_request(
    tmp_path, capsys, monkeypatch
):
    """Guards against broken promises that the whole demo does not notice."""
    run = KeyEndpoint._run

    async def answer_wrongly(self, req, request_id, key):
        reply = await run(self, req, request_id, key)
        return Reply(reply.status, reply.headers, reply.body + b"0")

    monkeypatch.setattr(KeyEndpoint, "_run", answer_wrongly)
    status, _ = play(tmp_path)
    assert status == 1
    assert "got the answer of another request" in capsys.readouterr().out


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupt_leaves_no_process(tmp_path, number):
    """Guards against instances that run on after Ctrl-C."""
    network = Network(own_network())
    process = subprocess.Popen(
        [*COMMAND, "--page", str(tmp_path / "p.html"), "--network", network.prefix],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        # A shell starts background commands, such as a run of the tests, without it.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.default_int_handler),
    )
    children = []
    try:
        wait_for(lambda: accepts(Address(network.host(1), CALLER_PORT)))
        children = children_of(process.pid)
        assert len(children) == 4
        process.send_signal(number)
        _, errors = process.communicate(timeout=WAIT_SECONDS)
    finally:
        left = [pid for pid in children if pathlib.Path(f"/proc/{pid}").exists()]
        for pid in (process.pid, *left):
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        process.wait()
    assert process.returncode == 130
    assert errors == "demo: interrupted; all its processes have ended\n"
    assert left == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupt_while_an_instance_is_started_leaves_no_process(
    tmp_path, monkeypatch, number
):
    """Guards against an instance that runs on because its start was interrupted."""
    started = []

    class InterruptedPopen(subprocess.Popen):
        def __init__(self, *args, **options):
            super().__init__(*args, **options)
            started.append(self)
            if len(started) == 2:
                signal.raise_signal(number)

    monkeypatch.setattr(subprocess, "Popen", InterruptedPopen)
    former = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        status, _ = play(tmp_path)
        running = [process for process in started if process.poll() is None]
    finally:
        signal.signal(signal.SIGINT, former)
        for process in started:
            process.kill()
            process.wait()
    assert status == 130
    assert started
    assert running == []


def wait_for(condition):
    until = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.05)


def accepts(address):
    with socket.socket() as sock:
        return sock.connect_ex((address.host, address.port)) == 0


def children_of(pid):
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(text) for text in path.read_text().split()]


def test_an_address_in_use_is_named(tmp_path):
    """Guards against instances that fail at their start with a traceback."""
    network = own_network()
    with socket.create_server((f"{network}.2", METRICS_PORT)):
        page = tmp_path / "page.html"
        result = run_command("--network", network, "--page", str(page))
    assert_one_line(result, f"{network}.2:{METRICS_PORT}", "in use")
    assert not page.exists()


@pytest.mark.parametrize("name", ["missing/page.html", "file/page.html", ""])
def test_a_page_that_cannot_be_written_is_named(tmp_path, name):
    """Guards against a run whose result is lost at its end."""
    (tmp_path / "file").write_text("")
    page = tmp_path / name
    assert_one_line(run_command("--page", str(page)), str(page))


@pytest.mark.parametrize(
    "arguments",
    [
        ("--seconds", "5"),
        ("--seconds", "x"),
        ("--seconds", "nan"),
        ("--seed", "x"),
        ("--network", "10.0.0"),
        ("--network", "127.0.256"),
        ("--unknown",),
    ],
)
def test_wrong_options_are_refused(arguments):
    """Guards against tracebacks, and against addresses that are not of loopback."""
    assert_one_line(run_command(*arguments))


@pytest.mark.parametrize(
    ("version", "packages", "text"),
    [
        ((3, 10, 9), (), "Python 3.11 or later is needed, this is 3.10.9"),
        ((3, 11, 0), ("no_such_package_a",), "missing: no_such_package_a"),
        ((3, 11, 0), ("typer",), ""),
    ],
)
def test_what_is_missing_is_named(version, packages, text):
    """Guards against an import error as the first thing that a new user sees."""
    found = demo.missing_need(version, packages)
    assert text in found
    assert bool(found) is bool(text)


def test_the_listed_packages_are_those_that_the_demo_imports():
    """Guards against a package whose absence is noticed only by its import."""
    for name in demo.PACKAGES:
        assert demo.missing_need((3, 11), (name,)) == ""
    assert {"matplotlib", "tqdm"} <= set(demo.PACKAGES)


@pytest.mark.parametrize(
    ("count", "seconds", "expected"),
    [(0, 0.01, (1, 0)), (1, 0.01, (0, 0)), (100, 1.04, (4, 0)), (0, 2.0, (5, 195))],
)
def test_requests_that_the_demo_is_late_for_are_skipped(count, seconds, expected):
    """Guards against refusals of a burst that the demo makes by its own delay."""
    assert due_requests(count, seconds, rate=100.0) == expected


def test_an_instance_that_ends_at_its_start_fails_the_demo(
    tmp_path, capsys, monkeypatch
):
    """Guards against a wait until the timeout, and against a missing reason."""
    monkeypatch.setattr(demo_run.sys, "executable", "/bin/false")
    status, _ = play(tmp_path)
    assert status == 1
    assert "instance-1 ended with status 1" in capsys.readouterr().err
