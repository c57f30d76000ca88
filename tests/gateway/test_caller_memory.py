"""Memory and processor time that one or many callers may take.

Guards against a process that runs out of memory or answers nobody, because callers send
what is legal in an expensive form, or stop within it.
"""

import asyncio

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import (
    LEAST_BYTES_PER_SECOND,
    MAX_PIPELINED_REQUESTS,
    CallerConnection,
)
from arbutusflow.gateway.callers.memory_account import CONNECTION_BYTES, MemoryAccount
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.request_reader import CALLS_PER_TURN
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.callers.turned_away import TurnedAway
from arbutusflow.gateway.model import CallerLimits
from tests.gateway.fakes import FakeTransport
from tests.gateway.test_caller_server import statuses
from tests.gateway.virtual_time import run

GET = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n"
UPLOAD = b"POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
POST = b"POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
SHORT_LINES = b"a:\r\n" * 3500
LIMITS = CallerLimits(16_384, 10**6, 3.0, 15.0)


class _World:
    """A server whose handlers answer when the test allows it."""

    def __init__(self, limit=float("inf")):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.targets = []
        self.reasons = []
        self.errors = []
        self.server = CallerServer(
            self._handle, BodyBudget(lambda: 10**9), lambda *x: self.errors.append(x)
        )
        self.server.limits = LIMITS
        self.server.account = MemoryAccount(limit)
        self.server.turned_away = TurnedAway(count=self.reasons.append)

    async def _handle(self, req):
        self.targets.append(req.target)
        await self.may_answer.wait()
        return CallerResponse(200)

    def connect(self, *pieces):
        conn, transport = CallerConnection(self.server), FakeTransport()
        conn.connection_made(transport)
        for piece in pieces:
            conn.data_received(piece)
        return conn, transport

    @property
    def held(self):
        return self.server.account.held_bytes


def _play(scenario, limit=float("inf")):
    async def main():
        world = _World(limit)
        result = await scenario(world)
        assert world.errors == []
        return result

    return run(main())


def test_a_head_is_charged_as_the_objects_that_it_becomes():
    """Guards against 1 kB of short lines that takes 30 kB, unseen."""

    async def scenario(world):
        conn, _ = world.connect(HEAD + SHORT_LINES)
        await asyncio.sleep(0.1)
        held = world.held
        conn.data_received(b"\r\n")
        await asyncio.sleep(0.1)
        answered = world.held
        conn.connection_lost(None)
        return held, answered, world.held

    held, answered, left = _play(scenario)
    assert held > 100 * len(SHORT_LINES) // 4
    assert (answered, left) == (CONNECTION_BYTES, 0)


def test_a_single_head_of_legal_size_is_served_whatever_its_lines_are():
    async def scenario(world):
        _, transport = world.connect(HEAD + SHORT_LINES + b"\r\n")
        await asyncio.sleep(0.1)
        return statuses(transport)

    assert _play(scenario) == [200]


def test_open_heads_are_rejected_when_the_account_is_full():
    """Guards against heads that are each legal and together exceed the memory."""
    limit = 3_000_000

    async def scenario(world):
        most = 0
        hostile = []
        for _ in range(50):
            hostile.append(world.connect(HEAD + SHORT_LINES)[1])
            await asyncio.sleep(0.01)
            most = max(most, world.held)
        _, ordinary = world.connect(GET % b"a")
        await asyncio.sleep(0.1)
        rejected = [statuses(transport) for transport in hostile]
        return most, statuses(ordinary), rejected, world.targets, world.reasons

    most, ordinary, rejected, targets, reasons = _play(scenario, limit)
    assert most <= limit + 100_000
    assert ordinary == [200]
    assert rejected.count([503]) >= 40
    assert targets == [b"/a"]  # Nothing that was rejected has run.
    assert set(reasons) == {"memory_full"}


def test_a_request_in_hand_is_answered_although_what_follows_it_is_rejected():
    """Guards against an eviction under a request at an endpoint."""

    async def scenario(world):
        world.may_answer.clear()
        conn, transport = world.connect(GET % b"a", HEAD + SHORT_LINES)
        await asyncio.sleep(0.1)
        unanswered = statuses(transport)
        world.may_answer.set()
        await asyncio.sleep(0.1)
        return unanswered, statuses(transport), conn.holding.reading_bytes

    assert _play(scenario, 300_000) == ([], [200, 503], 0)


def test_no_request_is_passed_on_while_requests_in_hand_fill_the_account():
    async def scenario(world):
        world.may_answer.clear()
        kept = [world.connect(GET % b"a")[1] for _ in range(10)]
        await asyncio.sleep(0.1)
        _, refused = world.connect(GET % b"b")
        await asyncio.sleep(0.1)
        world.may_answer.set()
        await asyncio.sleep(0.1)
        return [statuses(x) for x in kept], statuses(refused), world.targets

    kept, refused, targets = _play(scenario, 100_000)
    assert refused == [503]
    assert b"/b" not in targets
    assert kept.count([200]) == len(targets)


def test_an_answer_that_is_being_taken_is_not_evicted_for_one_that_is_not():
    """Guards against an eviction by how an answer stood when it was written."""

    async def scenario(world, heads):
        callers = [world.connect(GET % b"a") for _ in range(2)]
        await asyncio.sleep(0.01)
        for conn, transport in callers:
            transport.unsent = 1_000_000
            conn.pause_writing()
        await asyncio.sleep(5.0)
        callers[0][1].unsent = 400_000
        for _ in range(heads):
            world.connect(HEAD + SHORT_LINES)
        await asyncio.sleep(0.1)
        return [transport.aborted for _, transport in callers]

    limit = 2_050_000
    assert _play(lambda world: scenario(world, 1), limit) == [False, False]
    assert _play(lambda world: scenario(world, 3), limit) == [False, True]


def test_a_stalled_body_gives_way_to_one_that_arrives():
    """Guards against uploads that are refused for as long as others stay open."""

    async def scenario(world):
        world.server.budget = BodyBudget(lambda: 500_000)
        stalled = [world.connect(POST % 200_001 + b"x" * 200_000) for _ in range(2)]
        await asyncio.sleep(0.5)
        _, early = world.connect(POST % 200_000 + b"x" * 200_000)
        await asyncio.sleep(3.0)
        _, late = world.connect(POST % 200_000 + b"x" * 200_000)
        await asyncio.sleep(0.1)
        return [statuses(x) for x in (early, late, *(y for _, y in stalled))]

    early, late, *stalled = _play(scenario)
    assert (early, late) == ([503], [200])
    assert [503] in stalled


def test_a_body_is_charged_once_while_the_request_behind_it_is_parsed():
    """Guards against refusals and evictions for memory that nobody holds."""

    async def scenario(world):
        world.may_answer.clear()
        conn, transport = world.connect(POST % 1_000_000 + b"x" * 999_990)
        await asyncio.sleep(0.1)
        conn.data_received(b"x" * 10 + GET % b"a")
        world.may_answer.set()
        await asyncio.sleep(0.1)
        return statuses(transport), world.reasons

    assert _play(scenario, 1_500_000) == ([200, 200], [])


def test_an_instance_that_ends_answers_requests_that_wait_for_the_handler():
    """Guards against a stop that waits for a response that nobody writes."""

    async def scenario(world):
        world.may_answer.clear()
        _, transport = world.connect((GET % b"a") * 20 + b"GARBAGE\r\n\r\n")
        world.server.finish()
        await asyncio.sleep(0.1)
        return statuses(transport), world.server.pending_requests, len(world.targets)

    answered, pending, ran = _play(scenario)
    assert answered == [503] * 20 + [400]
    assert (pending, ran) == (0, 0)


def test_answers_that_are_not_taken_are_evicted():
    async def scenario(world):
        conn, transport = world.connect(GET % b"a")
        await asyncio.sleep(0.01)
        transport.unsent = 500_000
        conn.pause_writing()
        await asyncio.sleep(0.01)
        return transport.aborted, world.held, world.reasons

    aborted, held, reasons = _play(scenario, 400_000)
    assert (aborted, held) == (True, CONNECTION_BYTES)
    assert reasons == ["memory_full"]


class _StuckTransport(FakeTransport):
    """Transport to a caller that takes nothing."""

    def __init__(self, conn):
        super().__init__()
        self._conn = conn

    def write(self, data):
        super().write(data)
        self.unsent += len(data)
        if self.unsent == len(data):
            self._conn.pause_writing()


def test_answers_behind_one_that_is_not_taken_are_charged():
    """Guards against answers that end in their order and are counted by nothing."""

    async def scenario(world):
        async def handle(req):
            await asyncio.sleep(0.1 * int(req.target[1:]))
            return CallerResponse(200, body=b"x" * 100_000)

        world.server.handler = handle
        conn = CallerConnection(world.server)
        transport = _StuckTransport(conn)
        conn.connection_made(transport)
        conn.data_received(b"".join(GET % b"%d" % number for number in range(6)))
        await asyncio.sleep(1.0)
        return transport.unsent, world.server.unsent_bytes, conn.holding.answer_bytes

    unsent, counted, charged = _play(scenario)
    assert counted == unsent > 600_000
    assert charged >= unsent


@pytest.mark.parametrize(
    "data",
    [
        UPLOAD + b"1\r\nx\r\n" * 8000,
        HEAD + SHORT_LINES,
        UPLOAD + b"0\r\n" + SHORT_LINES,
        UPLOAD + b"1;x\r\nx\r\n" * 8000,
    ],
    ids=["chunks", "lines", "trailers", "extensions"],
)
def test_what_takes_long_to_parse_has_a_share_of_each_turn(data):
    """Guards against callers who leave no time for others."""

    async def scenario(world):
        conn, _ = world.connect(data)
        reader, rests, calls = conn._reader, [], []
        while reader.has_rest:
            rests.append(len(reader._rest))
            calls.append(reader._calls)
            await asyncio.sleep(0)
        return rests, calls

    rests, calls = _play(scenario)
    assert len(rests) > 5
    assert rests == sorted(rests, reverse=True)
    assert max(calls) <= 2 * CALLS_PER_TURN


def test_the_rest_of_a_read_is_served_in_order():
    """Guards against requests that are lost or reordered by the turns."""
    names = [b"%d" % number for number in range(300)]

    async def scenario(world):
        _, transport = world.connect(b"".join(GET % name for name in names))
        most = 0
        while not transport.closed:
            await asyncio.sleep(0)
            most = max(most, len(world.targets) - transport.written.count(b"200"))
            if len(world.targets) == len(names):
                await asyncio.sleep(0.1)
                break
        return world.targets, statuses(transport), most

    targets, answered, most = _play(scenario)
    assert targets == [b"/" + name for name in names]
    assert answered == [200] * len(names)
    assert most <= MAX_PIPELINED_REQUESTS


def test_a_caller_that_sends_a_row_and_leaves_holds_nothing():
    """Guards against memory that counts as held for ever."""

    async def scenario(world):
        world.may_answer.clear()
        conn, _ = world.connect(POST % 5 + b"abcde" + (GET % b"a") * 100)
        if world.held:
            await asyncio.sleep(0)
        conn.connection_lost(None)
        world.may_answer.set()
        await asyncio.sleep(0.1)
        return world.held, world.server.budget.held_bytes

    assert _play(scenario) == (0, 0)


def test_a_caller_that_leaves_before_a_response_that_is_ready_holds_nothing():
    """Guards against an account that grows with each of them until it is full."""

    async def scenario(world):
        async def handle(req):
            req.cancellable = req.method == b"GET"
            await asyncio.sleep(1.0 if req.cancellable else 0.0)
            return CallerResponse(200)

        world.server.handler = handle
        conn, _ = world.connect(GET % b"a" + POST % 5 + b"abcde")
        await asyncio.sleep(0.1)
        conn.connection_lost(None)
        await asyncio.sleep(2.0)
        return world.held, world.server.budget.held_bytes

    assert _play(scenario) == (0, 0)


def test_a_task_that_never_begins_returns_the_memory_of_its_body():
    """Guards against a budget that shrinks with each caller who leaves at once."""

    async def scenario(world):
        conn, _ = world.connect(POST % 5 + b"abcde")
        conn.connection_lost(None)
        await asyncio.sleep(0.1)
        return world.held, world.server.budget.held_bytes

    assert _play(scenario) == (0, 0)


@pytest.mark.parametrize(
    ("rate", "status"), [(LEAST_BYTES_PER_SECOND // 2, 408), (100, 200)]
)
def test_a_body_has_to_arrive_at_a_lowest_rate(rate, status):
    """Guards against bodies that hold memory for the longest time that is allowed."""
    seconds = 40

    async def scenario(world):
        conn, transport = world.connect(POST % (rate * seconds))
        for _ in range(seconds):
            await asyncio.sleep(1.0)
            conn.data_received(b"x" * rate)
        await asyncio.sleep(0.1)
        return statuses(transport), world.reasons

    reasons = ["body_too_slow"] if status == 408 else []
    assert _play(scenario) == ([status], reasons)


@pytest.mark.parametrize(("working", "thinking"), [(16.0, 0.1), (14.5, 1.0)])
def test_a_body_may_wait_for_the_response_before_it(working, thinking):
    """Guards against status 408 for a caller that sends once it has its response,
    whether its rate or its time has run out meanwhile."""

    async def scenario(world):
        world.may_answer.clear()
        conn, transport = world.connect(GET % b"a" + POST % 100)
        await asyncio.sleep(working)
        world.may_answer.set()
        await asyncio.sleep(thinking)
        conn.data_received(b"x" * 100)
        await asyncio.sleep(0.1)
        return statuses(transport), world.reasons

    assert _play(scenario) == ([200, 200], [])


@pytest.mark.parametrize(("lines", "status"), [(7000, 200), (8500, 431)])
def test_empty_lines_count_towards_the_head_that_follows(lines, status):
    """Guards against empty lines without end that nothing limits."""

    async def scenario(world):
        _, transport = world.connect(b"\r\n" * lines, GET % b"a")
        await asyncio.sleep(0.1)
        return statuses(transport)

    assert _play(scenario) == [status]
