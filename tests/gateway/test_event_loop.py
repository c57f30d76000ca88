"""Suspension of the host, in which CLOCK_MONOTONIC stands still.

Guards against evidence from before a suspension that counts as recent after it.
"""

import asyncio
import time

from arbutusflow.gateway import process
from arbutusflow.gateway.event_loop import SuspendAwareEventLoop


def test_a_timer_is_due_after_a_suspension(monkeypatch):
    suspended = 0.0
    clock_gettime = time.clock_gettime

    def read_clock(clock):
        extra = suspended if clock == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock) + extra

    monkeypatch.setattr(time, "clock_gettime", read_clock)

    async def scenario():
        nonlocal suspended
        loop = asyncio.get_running_loop()
        fired_at = loop.create_future()
        started = loop.time()
        loop.call_later(600.0, lambda: fired_at.set_result(loop.time()))
        await asyncio.sleep(0.01)
        suspended = 600.0
        return await asyncio.wait_for(fired_at, 5.0) - started

    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        assert 600.0 <= runner.run(scenario()) < 605.0


def test_instances_run_on_this_loop(monkeypatch):
    loops = []

    class Gateway:
        def __init__(self, cfg, path):
            self.log = None

        async def run(self):
            loops.append(asyncio.get_running_loop())

    monkeypatch.setattr(process, "Gateway", Gateway)
    monkeypatch.setattr(process, "_end_process", lambda: None)
    # It would change the error handling of the process of the tests.
    monkeypatch.setattr(process.error_reports, "install", lambda loop, log: None)
    process.run_gateway(None, None)
    assert isinstance(loops[0], SuspendAwareEventLoop)
