"""Signals that reach a process while it can't act on them at once.

It still imports its modules, or a callback holds the event loop.
"""

import asyncio
import os
import signal
import subprocess
import sys
import time

import pytest

from arbutusflow.gateway.lifecycle import (
    FINAL_ANSWER_SECONDS,
    LAST_PART_FRACTION,
    MIN_END_MARGIN_SECONDS,
)
from arbutusflow.gateway.process import MAX_LAG_FRACTION, TICK_INTERVAL_SECONDS
from tests.gateway.statement_instance import StatementInstance

GRACE_SECONDS = 6.0  # Of the instances of the tests.
# Puts a module in the place of the command line that sends SIGHUP to the process when
# it is used, as the platform may do while the real one is being imported.
_CODE = """
import os, runpy, signal, sys, types
module = types.ModuleType("arbutusflow.cli.main")
module.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print("runs"))
sys.modules["arbutusflow.cli.main"] = module
sys.argv = ["arbutusflow", {command!r}]
runpy.run_module("arbutusflow", run_name="__main__", alter_sys=False)
"""


def _start(command):
    return subprocess.run(
        [sys.executable, "-c", _CODE.format(command=command)],
        capture_output=True,
        text=True,
        check=False,
        # A run of the tests that outlives its terminal was started without it.
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    )


def test_a_reload_signal_does_not_end_a_gateway_that_starts():
    """Guards against a process that ends because its settings change at its start.

    Until it has installed its handlers, it ignores the signal.
    """
    done = _start("gateway")
    assert (done.returncode, done.stdout) == (0, "runs\n")


def test_a_reload_signal_ends_other_commands_as_usual():
    assert _start("version").returncode == -signal.SIGHUP


@pytest.mark.parametrize("held_seconds", [0.0, 0.6, 2.0])
def test_a_stop_begins_at_the_latest_when_its_signal_arrives(held_seconds):
    """Guards against a stop that SIGKILL ends, because the signal was noticed late.

    A long pause of the process does not use the grace period up.
    """

    async def stop():
        loop, instance = asyncio.get_running_loop(), StatementInstance("a")
        gateway = instance.gateway
        gateway.handle_signals()
        gateway._tick()
        await asyncio.sleep(TICK_INTERVAL_SECONDS)
        os.kill(os.getpid(), signal.SIGTERM)
        sent_at = loop.time()
        time.sleep(held_seconds)  # Holds the event loop.
        await asyncio.sleep(0.01)
        return sent_at - gateway.lifecycle.plan.began

    early = asyncio.run(stop())
    if held_seconds > GRACE_SECONDS * MAX_LAG_FRACTION:
        assert early == pytest.approx(GRACE_SECONDS * MAX_LAG_FRACTION - 2.0, abs=0.1)
    else:
        assert 0.0 <= early < 5 * TICK_INTERVAL_SECONDS


def test_a_stop_signal_behind_many_others_is_not_lost(capfd):
    """Guards against a stop that never begins, and is ended by SIGKILL.

    While a callback holds the event loop, other signals may fill the pipe that tells it
    of signals.
    """

    async def stop():
        gateway = StatementInstance("a").gateway
        gateway.handle_signals()
        for _ in range(3000):
            os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(3):
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            gateway._tick()
        return gateway.lifecycle.stopping

    assert asyncio.run(stop())
    assert "wakeup fd" not in capfd.readouterr().err


@pytest.mark.parametrize("held_seconds", [0.0, 0.4, 0.6])
def test_a_signal_after_a_pause_leaves_work_at_endpoints_its_time(held_seconds):
    """Guards against final answers before the last part of the grace period, because
    the signal counts as sent when the process last ran before it."""

    async def stop():
        gateway = StatementInstance("a").gateway
        now = asyncio.get_running_loop().time()
        gateway._ticked_at = now - held_seconds
        gateway._note_stop_signal(signal.SIGTERM, None)
        gateway._stop()
        return now, gateway.lifecycle.plan

    now, plan = asyncio.run(stop())
    last_part = now + GRACE_SECONDS * (1 - LAST_PART_FRACTION)
    latest = plan.began + GRACE_SECONDS - MIN_END_MARGIN_SECONDS - FINAL_ANSWER_SECONDS
    assert plan.answers_until >= min(last_part, latest)
    assert plan.ends_at <= plan.began + GRACE_SECONDS - MIN_END_MARGIN_SECONDS


def test_one_signal_is_not_logged_as_a_repeated_stop():
    """Guards against a log that tells of a second SIGTERM where there was one."""

    async def stop(signals):
        gateway, events = StatementInstance("a").gateway, []
        gateway.log.write = lambda event, **fields: events.append(event)
        gateway.handle_signals()
        os.kill(os.getpid(), signal.SIGTERM)
        gateway._tick()  # Before the event loop is told of the signal.
        for _ in range(signals - 1):
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.05)
        return events.count("stopping"), events.count("stop_repeated")

    assert asyncio.run(stop(1)) == (1, 0)
    assert asyncio.run(stop(2)) == (1, 1)
