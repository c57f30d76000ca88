"""Signals that reach a process while it can't act on them at once.

It still imports its modules, or a callback holds the event loop.
"""

import asyncio
import os
import signal
import subprocess
import sys
import threading
import time

from tests.gateway.statement_instance import StatementInstance

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
    )


def test_a_reload_signal_does_not_end_a_gateway_that_starts():
    """Guards against a process that ends because its settings change at its start.

    Until it has installed its handlers, it ignores the signal.
    """
    done = _start("gateway")
    assert (done.returncode, done.stdout) == (0, "runs\n")


def test_a_reload_signal_ends_other_commands_as_usual():
    assert _start("version").returncode == -signal.SIGHUP


def test_a_stop_begins_when_its_signal_arrives():
    """Guards against a stop that SIGKILL ends, because the event loop was held."""

    async def stop():
        loop, instance = asyncio.get_running_loop(), StatementInstance("a")
        instance.gateway.handle_signals()
        sent_at = loop.time() + 0.1
        timer = threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGTERM))
        timer.start()
        time.sleep(0.6)
        await asyncio.sleep(0.05)
        timer.join()
        return instance.gateway.lifecycle.plan.began - sent_at

    assert asyncio.run(stop()) < 0.3
