"""Damaged documents, datagrams and HTTP messages, generated at random.

Guards against input that raises an error that nobody handles: it would end a connection
without an answer, end the handling of messages, or leave a configuration half applied.
"""

import asyncio
import copy
import dataclasses
import os
import random
import sys

import pytest
from hypothesis import example, given, settings, strategies as st

from arbutusflow.errors import ConfigurationError
from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import (
    MAX_PIPELINED_REQUESTS,
    READ_BYTES,
    CallerConnection,
)
from arbutusflow.gateway.callers.memory_account import (
    CONNECTION_BYTES,
    HEADER_BYTES,
    REQUEST_BYTES,
    WAITING_BYTES,
)
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.request_reader import LONG_SLICE_BYTES
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.early_end import CHECK_SECONDS, SETTLING_SECONDS
from arbutusflow.gateway.model import CallerLimits, ExchangeError
from arbutusflow.gateway.routing import RouteTable, WeightedRoundRobin
from arbutusflow.platform.documents import decode_configuration, decode_endpoint
from tests.gateway.fakes import FakeTransport
from tests.gateway.sim_fleet import run_fleet
from tests.gateway.test_documents import CONFIGURATION, ENTRY
from tests.gateway.virtual_time import run

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=4,
)
REQUESTS = (
    b"POST /x/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
    b"POST /x/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\nTrailer: t\r\n\r\nGET /x/c HTTP/1.1\r\nHost: h\r\n\r\n"
)
RESPONSES = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n",
)
LIMITS = CallerLimits(
    header_bytes=512, body_bytes=100, header_seconds=1.0, idle_seconds=2.0
)
DATAGRAMS = 4000
MAX_TURNS = 1000  # Until reading goes on, unless no request is answered.
# Of what callers send without end; more of them are for runs by hand.
FUZZ_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "100"))
GET = b"GET /x/c HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"GET /x/a HTTP/1.1\r\nHost: h\r\n"
UPLOAD = b"POST /x/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a caller may repeat: heads, ends of heads, lines, trailers, chunks, bodies.
HOSTILE_PARTS = (
    GET,
    HEAD,
    UPLOAD,
    b"\r\n",
    b"a:\r\n",
    b"a: b\r\n",
    b"long-name: long-value-of-a-header\r\n",
    b"x" * 50,
    b"1\r\nx\r\n",
    b"1;e=f\r\nx\r\n",
    b"0\r\n",
    b"POST /x/b HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n",
)


def _paths(document, prefix=()):
    """Return the paths of all values of a document."""
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        yield (*prefix, key)
        yield from _paths(value, (*prefix, key))


def _damaged(document):
    """Return a strategy for copies of a document with one value replaced."""

    def replace(path, value):
        result = parent = copy.deepcopy(document)
        for key in path[:-1]:
            parent = parent[key]
        parent[path[-1]] = value
        return result

    return st.builds(replace, st.sampled_from(list(_paths(document))), JSON_VALUES)


@st.composite
def _damaged_bytes(draw, data):
    """Draw bytes that are changed, removed or inserted at a few places, in pieces."""
    result = bytearray(data)
    for _ in range(draw(st.integers(0, 3))):
        at = draw(st.integers(0, len(result)))
        removed = draw(st.integers(0, 4))
        result[at : at + removed] = draw(st.binary(max_size=6))
    cuts = sorted(draw(st.lists(st.integers(0, len(result)), max_size=4)))
    bounds = zip([0, *cuts], [*cuts, len(result)], strict=True)
    return [bytes(result[start:end]) for start, end in bounds]


@settings(max_examples=400, deadline=None)
@given(spec=_damaged(CONFIGURATION))
def test_a_damaged_configuration_is_rejected_or_can_be_applied(spec):
    try:
        cfg = decode_configuration(spec)
    except ConfigurationError:
        return
    routes, selector = RouteTable(cfg), WeightedRoundRobin()
    for route in cfg.routes:
        assert routes.match(route.host, route.prefix + "rest") is not None
        assert {selector.choose(route) for _ in range(5)} <= {
            target.service for target in route.targets
        }
        assert 0 <= route.timeout_seconds < float("inf")


@settings(max_examples=400, deadline=None)
@given(item=_damaged(ENTRY))
def test_a_damaged_endpoint_entry_is_rejected_or_has_usable_values(item):
    try:
        endpoint = decode_endpoint(item)
    except ValueError:
        return
    assert endpoint.slots >= 1
    assert 0 <= endpoint.cold_seconds < float("inf")
    assert 0 < endpoint.address.port < 65536


def _serve(pieces):
    """Return what a caller is sent, and the errors that were not handled."""

    async def main():
        errors = []

        async def handle(req):
            return CallerResponse(200, body=req.target + req.body)

        server = CallerServer(
            handle, BodyBudget(lambda: 10**6), lambda *args: errors.append(args)
        )
        server.limits = LIMITS
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        for piece in pieces:
            if not transport.closed:
                conn.data_received(piece)
        await asyncio.sleep(10.0)
        return transport.written, transport.closed, errors

    return run(main())


@settings(max_examples=300, deadline=None)
@given(pieces=_damaged_bytes(REQUESTS))
def test_damaged_requests_are_answered_the_same_way_in_any_pieces(pieces):
    written, closed, errors = _serve(pieces)
    assert closed
    assert errors == []
    assert written == _serve([b"".join(pieces)])[0]


class _PausingTransport(FakeTransport):
    """Records whether reading is paused."""

    paused = False

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


def _real_size(reader):
    """Return the memory of what a reader holds, as the interpreter counts it."""
    headers = reader._headers
    objects = [headers, *headers, reader._body, reader._rest, reader._target]
    objects += [part for pair in headers for part in pair]
    return sum(map(sys.getsizeof, objects))


@settings(max_examples=FUZZ_EXAMPLES, deadline=None)
@given(
    parts=st.lists(
        st.tuples(st.sampled_from(HOSTILE_PARTS), st.integers(1, 2000)), max_size=8
    ),
    size=st.integers(100, READ_BYTES),
    answers=st.booleans(),
)
def test_one_connection_holds_a_bounded_amount_of_memory(parts, size, answers):
    """Guards against bytes that become much more memory than the account knows of."""
    data = b"".join(part * count for part, count in parts)[: 4 * READ_BYTES]
    # Full rows of requests, and one slice of more; each byte may become a line in part.
    received = MAX_PIPELINED_REQUESTS * (LIMITS.header_bytes + LIMITS.body_bytes)
    received += LONG_SLICE_BYTES
    bound = CONNECTION_BYTES + len(data) + received * (1 + HEADER_BYTES // 4)
    bound += MAX_PIPELINED_REQUESTS * REQUEST_BYTES
    bound += received // len(b"GET / HTTP/1.1\r\n\r\n") * WAITING_BYTES

    async def main():
        may_answer = asyncio.Event()
        errors = []

        async def handle(req):
            await may_answer.wait()
            return CallerResponse(200)

        server = CallerServer(
            handle, BodyBudget(lambda: 10**6), lambda *args: errors.append(args)
        )
        server.limits = LIMITS
        if answers:
            may_answer.set()
        conn, transport = CallerConnection(server), _PausingTransport()
        conn.connection_made(transport)
        for at in range(0, len(data), size):
            for _ in range(MAX_TURNS):
                if not transport.paused:
                    break
                await asyncio.sleep(0)
            if transport.paused or transport.closed:
                break
            conn.data_received(data[at : at + size])
            holding = conn.holding
            assert server.account.held_bytes == holding.held_bytes <= bound
            assert _real_size(conn._reader) <= holding.reading_bytes + 1000
            await asyncio.sleep(0)
        conn.connection_lost(None)
        may_answer.set()
        await asyncio.sleep(0.1)
        assert errors == []
        assert (server.account.held_bytes, server.budget.held_bytes) == (0, 0)

    run(main())


def _exchange(pieces):
    """Return the body of the response that is accepted, or None."""

    async def main():
        conn, transport = ClientConnection(b"request-id"), FakeTransport()
        conn.connection_made(transport)
        exchange = asyncio.create_task(conn.exchange(b"x", b"", 1.0, b"a"))
        await asyncio.sleep(0)
        for piece in pieces:
            if not transport.closed:
                conn.data_received(piece)
        if not transport.closed:
            conn.connection_lost(None)
        try:
            return (await exchange).body
        except ExchangeError:
            return None

    return run(main())


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(RESPONSES).flatmap(_damaged_bytes))
def test_damaged_responses_are_accepted_or_refused_in_any_pieces(pieces):
    whole = _exchange([b"".join(pieces)])
    in_pieces = _exchange(pieces)
    # Bytes behind a complete response spoil it only if they arrive with it.
    assert whole is None or in_pieces == whole


@dataclasses.dataclass(frozen=True)
class _End:
    """How a response without a length ends. Times are seconds after the end."""

    early: bool  # Bytes of the request are unacknowledged when its head arrives.
    acknowledged_after: float | None
    reset_after: float | None

    @property
    def proves_the_response(self) -> bool:
        if not self.early:
            return True
        if self.acknowledged_after is None:
            return False
        settled_after = self.acknowledged_after + SETTLING_SECONDS + 3 * CHECK_SECONDS
        return self.reset_after is None or self.reset_after > settled_after


CALM_END = _End(early=False, acknowledged_after=None, reset_after=None)
ENDS = st.builds(
    _End,
    st.booleans(),
    st.sampled_from([None, 0.0, 0.02, 1.0]),
    st.sampled_from([None, 0.01, 0.05, 0.5, 2.0]),
)


@settings(max_examples=400, deadline=None)
@given(
    status=st.one_of(
        st.integers(0, 1200).map("{:03d}".format),
        st.from_regex(r"[-+ 0-9a-z]{0,5}", fullmatch=True),
    ),
    interim=st.integers(0, 3),
    framing=st.sampled_from(["Content-Length: 2", "Transfer-Encoding: chunked", ""]),
    end=ENDS,
)
@example(status="200 ", interim=0, framing="Content-Length: 2", end=CALM_END)
@example(status="200 a", interim=0, framing="Content-Length: 2", end=CALM_END)
@example(status=" 200", interim=0, framing="Content-Length: 2", end=CALM_END)
def test_only_answers_of_http_with_a_proven_end_are_accepted(
    status, interim, framing, end
):
    head = "HTTP/1.1 102 Wait\r\n\r\n" * interim
    head += f"HTTP/1.1 {status} X\r\nRequest-Id: a\r\n"
    head += f"{framing}\r\n\r\n" if framing else "\r\n"
    body = "2\r\nhi\r\n0\r\n\r\n" if "chunked" in framing else "hi"

    async def main():
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        conn, transport = ClientConnection(b"request-id"), FakeTransport()
        conn.connection_made(transport)
        exchange = asyncio.create_task(conn.exchange(b"x", b"body", 5.0, b"a"))
        await asyncio.sleep(0)
        transport.unsent = 1000 if end.early else 0
        conn.data_received((head + body).encode())
        if not conn.eof_received():
            conn.connection_lost(None)
        if end.acknowledged_after is not None:
            loop.call_later(end.acknowledged_after, setattr, transport, "unsent", 0)
        if end.reset_after is not None:
            loop.call_later(end.reset_after, conn.connection_lost, OSError())
        try:
            response = await exchange
        except ExchangeError:
            response = None
        assert errors == []
        return response

    response = run(main())
    accepted = None if response is None else (str(response.status), response.body)
    # What follows the code and a space is the reason phrase, which may hold spaces.
    code = status.partition(" ")[0]
    if code in ("204", "304"):
        # Bytes after the head are no part of the response, and may spoil it.
        assert accepted in (None, (code, b""))
        return
    of_http = len(code) == 3 and code.isdigit() and 200 <= int(code) <= 599
    proven = bool(framing) or end.proves_the_response
    assert accepted == ((code, b"hi") if of_http and proven else None)


@pytest.mark.parametrize("seed", range(3))
def test_damaged_datagrams_end_no_handler(seed):
    """Any process can send to the port, and versions of the program differ."""

    async def scenario(sim):
        rng, kept = random.Random(seed), []
        deliver = sim.deliver

        def keep(sender, target, data):
            kept.append((sender, data))
            deliver(sender, target, data)

        sim.deliver = keep
        sim.busy_keys = list(range(20_000, 20_080)) * 5
        await asyncio.sleep(8.0)
        receivers = list(sim.instances.values())
        for _ in range(DATAGRAMS):
            sender, data = rng.choice(kept)
            damaged = bytearray(data)
            for _ in range(rng.randint(1, 3)):
                damaged[rng.randrange(len(damaged))] = rng.randrange(256)
            del damaged[rng.choice([len(damaged), rng.randrange(len(damaged))]) :]
            peers = rng.choice(receivers).task.peers
            peers.datagram_received(bytes(damaged), (sender, 1))
        await asyncio.sleep(0.5)
        return len(kept) > 1000

    assert run_fleet(scenario, seed, instances=12)
