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
