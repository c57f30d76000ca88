"""Event log with a reader that is slow, blocked or closed."""

import json
import os

from arbutusflow.gateway.event_log import (
    MAX_LINES_PER_SECOND,
    MAX_TEXT_CHARACTERS,
    EventLog,
)


def lines(fd):
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            chunk = os.read(fd, 65536)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def test_a_blocked_reader_causes_dropped_lines_but_no_delay():
    """Serving requests must not wait for the reader of the log."""
    reader, writer = os.pipe()
    log = EventLog("n1", fd=writer)
    for number in range(5000):
        log.write("event", number=number, text="x" * 100)
    assert log.dropped > 0
    first = lines(reader)
    log.write("event", number=-1)
    written = first + lines(reader)
    numbers = [e["number"] for e in written if e["event"] == "event"]
    reported = [e["count"] for e in written if e["event"] == "log_lines_dropped"]
    assert numbers[:-1] == sorted(numbers[:-1])
    assert numbers[-1] == -1
    # Each line is either written or counted as dropped, and all drops are reported.
    assert len(numbers) + sum(reported) == 5001
    assert log.dropped == 0


def test_rate_limited_lines_above_the_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    log = EventLog("n1", fd=writer)
    for _ in range(3 * MAX_LINES_PER_SECOND):
        log.write_rate_limited("event")
    assert log.dropped >= MAX_LINES_PER_SECOND
    assert len(lines(reader)) <= 2 * MAX_LINES_PER_SECOND


def test_a_line_with_long_text_is_short_and_one_line():
    """Guards against text of others that fills the log, or ends a line of it."""
    reader, writer = os.pipe()
    log = EventLog("n1", fd=writer)
    log.write("event", name="i-1\r\n\u2028" + "x" * 1_000_000, number=3)
    (line,) = lines(reader)
    assert line["name"].startswith("i-1\r\n\u2028xx")
    assert len(line["name"]) <= MAX_TEXT_CHARACTERS + 3
    assert line["number"] == 3


def test_a_closed_output_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog("n1", fd=writer)
    log.write("event")
    assert log.dropped == 1


def test_a_line_from_within_another_one_keeps_both_complete(monkeypatch):
    """Guards against lines that are written twice or in part, because a handler of a
    signal writes one while another is being written."""
    reader, writer = os.pipe()
    log = EventLog("n1", fd=writer)
    write = os.write

    def interrupted(fd, data):
        monkeypatch.setattr(os, "write", write)
        written = write(fd, data[:10])
        log.write("inner")
        return written

    monkeypatch.setattr(os, "write", interrupted)
    log.write("outer")
    log.write("last")
    assert [e["event"] for e in lines(reader)] == [
        "outer",
        "log_lines_dropped",
        "last",
    ]
