"""Lines that tell how close a process came to its limit on memory."""

from arbutusflow.gateway import memory_watch
from arbutusflow.gateway.memory_watch import STEPS, MemoryWatch
from tests.gateway.fakes import FakeLog


def test_each_step_towards_the_limit_is_logged_once(monkeypatch):
    """Guards against a process that is killed for its memory, without a sign before."""
    log, peak = FakeLog(), 0
    monkeypatch.setattr(memory_watch, "peak_bytes", lambda: peak)
    watch = MemoryWatch(1000, lambda: {"pending": peak}, log)
    for peak in (100, 499, 500, 550, 600, 600, 850, 900, 2000):  # noqa: B007
        watch.check()
    fields = [fields for event, fields in log.events if event == "memory_peak"]
    assert [item["pending"] for item in fields] == [500, 600, 850, 900]
    assert all(item["limit_bytes"] == 1000 for item in fields)
    assert len(fields) <= len(STEPS)
