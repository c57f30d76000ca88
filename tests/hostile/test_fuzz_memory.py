"""Memory that one connection holds, for any sequence of reads.

Guards against bytes of a caller that become many times their size in memory, also while
a single read is processed. `FUZZ_EXAMPLES=20000` plays longer.
"""

import asyncio
import itertools
import os
import tracemalloc

from hypothesis import example, given, settings, strategies as st

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import (
    MAX_PIPELINED_REQUESTS,
    CallerConnection,
)
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.model import CallerLimits
from tests.gateway.fakes import FakeTransport
from tests.gateway.virtual_time import run
from tests.hostile.crowd import chunked_upload, head, upload

# A run of CI always plays the same ones.
LONG_EXAMPLES = os.environ.get("FUZZ_EXAMPLES")
EXAMPLES = int(LONG_EXAMPLES or 150)
LIMITS = CallerLimits(
    header_bytes=1024, body_bytes=32_768, header_seconds=3.0, idle_seconds=15.0
)
BODY_BUDGET_BYTES = 65_536  # For all bodies of the instance.
READ_BYTES = 262_144  # The event loop reads up to so many bytes at a time.
# A line of five bytes, as `ab:\r\n`, becomes a tuple (72 bytes with what the garbage
# collector adds), a place in a list (9) and a name (35).
HEAD_FACTOR = 32
REQUEST_BYTES = 8192  # The objects of a request beside its head and body.
CONNECTION_BYTES = 65_536  # The objects of a connection.
# One request more than may wait is being read. A body may be copied once, and so may
# the part of a read that is processed later.
MAX_HELD_BYTES = (
    CONNECTION_BYTES
    + (MAX_PIPELINED_REQUESTS + 1) * (REQUEST_BYTES + HEAD_FACTOR * LIMITS.header_bytes)
    + 2 * BODY_BUDGET_BYTES
    + 2 * READ_BYTES
)

START = head()
GET = START + b"\r\n"
CHUNKED = chunked_upload()
OPENINGS = (START, GET, CHUNKED, upload(20), upload(30_000), b"")
FRAGMENTS = (
    *OPENINGS,
    b"a:\r\n",
    b"ab:\r\n",
    b"X-Abc: 12\r\n",
    b"!: \t\r\n",
    b":b\r\n",
    b"a: b\r\n c\r\n",
    b"\r\n",
    b"x",
    b"1\r\nx\r\n",
    b"1;a=b\r\nx\r\n",
    b"5;",
    b"0\r\n",
    b"0\r\n\r\n",
    b"GET /",
    b"\0\xff",
)
# Fragments and how often each is repeated, behind an opening.
RUN = st.tuples(
    st.sampled_from(FRAGMENTS), st.sampled_from([1, 2, 15, 200, 3000, 60_000])
)
RUNS = st.builds(
    lambda opening, runs: [(opening, 1), *runs],
    st.sampled_from(OPENINGS),
    st.lists(RUN, min_size=1, max_size=5),
)


class _Transport(FakeTransport):
    """Drops what is written, and tells whether the connection reads."""

    paused = False

    def write(self, data):
        pass

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


def _reads(runs, sizes):
    """Return bytes as a connection reads them: in pieces of these sizes, in turn."""
    data = b"".join((part * count)[:READ_BYTES] for part, count in runs)
    reads, start = [], 0
    for size in itertools.cycle(sizes):
        if start >= len(data):
            return reads
        reads.append(data[start : start + size])
        start += size
    raise AssertionError("no sizes")


def _held_bytes(reads, answers):
    """Return the most that one connection held, also while it processed a read."""

    async def main():
        async def handle(req):
            if not answers:
                await asyncio.Event().wait()
            return CallerResponse(200)

        def fail(during, exc):
            raise exc

        server = CallerServer(handle, BodyBudget(lambda: BODY_BUDGET_BYTES), fail)
        server.limits = LIMITS
        tracemalloc.start()
        try:
            conn, transport = CallerConnection(server), _Transport()
            conn.connection_made(transport)
            for data in reads:
                if transport.closed or transport.paused:
                    break
                conn.data_received(data)
                for _ in range(3):
                    await asyncio.sleep(0)
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    return run(main())


@settings(max_examples=EXAMPLES, deadline=None, derandomize=not LONG_EXAMPLES)
@example([(START, 1), (b"a:\r\n", 60_000)], [READ_BYTES], False)
@example([(GET, 3000)], [READ_BYTES], False)
@example([(CHUNKED, 1), (b"1\r\nx\r\n", 60_000)], [READ_BYTES], False)
@given(
    RUNS,
    st.lists(st.sampled_from([1000, 16_384, READ_BYTES]), min_size=1, max_size=3),
    st.booleans(),
)
def test_one_connection_holds_a_bounded_amount(runs, sizes, answers):
    assert _held_bytes(_reads(runs, sizes), answers) <= MAX_HELD_BYTES


def test_the_bound_allows_what_the_limits_allow():
    """Guards against a bound that legal requests exceed."""
    # The limit counts a name, a value and four bytes for each line.
    lines = (LIMITS.header_bytes - len(GET)) // 6
    one = START + b"ab:\r\n" * lines + b"\r\n"
    body = b"x" * 20
    requests = [one] * MAX_PIPELINED_REQUESTS + [upload(len(body)) + body]
    held = _held_bytes(requests, answers=False)
    # The lower bound shows that none was rejected.
    assert MAX_HELD_BYTES / 8 < held <= MAX_HELD_BYTES
