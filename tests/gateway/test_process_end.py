"""What the process of an instance still does after its planned stop has ended."""

import subprocess
import sys
import time

import pytest

# An instance whose stop ends at once, and which leaves something behind.
_CODE = """
import asyncio, atexit, os, sys, time
from arbutusflow.gateway import process
from arbutusflow.gateway.event_log import EventLog

def leave(write=os.write, sleep=time.sleep):
    # Modules may be gone when it is called.
    write(1, b"left\\n")
    sleep({seconds})

class SlowToFree:
    def __del__(self, leave=leave):
        leave()

async def run_on():
    until = time.monotonic() + {seconds}
    while time.monotonic() < until:
        try:
            await asyncio.sleep(0.1)
        except asyncio.CancelledError:
            os.write(1, b"left\\n")  # And goes on, as work that has to be finished.

class Gateway:
    def __init__(self, cfg, path):
        self.log = EventLog("a")

    def describe_work(self):
        return {{}}

    async def run(self):
        loop = asyncio.get_running_loop()
        {left}
        await asyncio.sleep(0.1)
        print("last line")
        sys.stderr.write(f"{{time.time()}}")

process.Gateway = Gateway
process.run_gateway(None, None)
"""
LONG_SECONDS = 10.0  # Far more than a loaded host delays the end of a process.


@pytest.mark.parametrize(
    "left",
    [
        pytest.param("self.task = loop.create_task(run_on())", id="task"),
        pytest.param(
            f"self.call = loop.run_in_executor(None, time.sleep, {LONG_SECONDS})",
            id="thread",
        ),
        pytest.param("process.left = SlowToFree()", id="objects"),
        pytest.param("atexit.register(leave)", id="handler"),
    ],
)
def test_a_process_ends_at_once_after_its_stop(left):
    """Guards against stops that SIGKILL ends, although all is done.

    The plan of a stop leaves some tenths of a second between its end and SIGKILL, so
    nothing that is left may be waited for, run or freed.
    """
    code = _CODE.format(left=left, seconds=LONG_SECONDS)
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False
    )
    ended_at = time.time()
    assert (done.returncode, done.stdout) == (0, "last line\n"), done.stderr
    assert ended_at - float(done.stderr) < LONG_SECONDS / 2


def test_a_process_without_standard_output_ends_with_0():
    """Guards against an end that fails because the reader of the log has gone."""
    code = _CODE.format(left="sys.stdout = None", seconds=LONG_SECONDS)
    done = subprocess.run([sys.executable, "-c", code], check=False, timeout=20.0)
    assert done.returncode == 0


def test_an_error_of_an_instance_is_reported():
    """Guards against an instance that fails and ends like one that was stopped."""
    code = _CODE.format(left="raise OSError('no address')", seconds=LONG_SECONDS)
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False
    )
    assert done.returncode == 1
    assert done.stderr.endswith("OSError: no address\n")
