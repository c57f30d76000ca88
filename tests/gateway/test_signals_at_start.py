"""Signals that reach a process while it still imports its modules.

Guards against a process that SIGHUP ends because the settings file changed while the
process was starting: until it has installed its handlers, the signal is ignored.
"""

import signal
import subprocess
import sys

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
    done = _start("gateway")
    assert (done.returncode, done.stdout) == (0, "runs\n")


def test_a_reload_signal_ends_other_commands_as_usual():
    assert _start("version").returncode == -signal.SIGHUP
