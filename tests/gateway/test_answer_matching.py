"""Which answer belongs to which send, at endpoints that delay, double and cut answers.

Guards against taking a late or second copy of an answer for the answer to a later send,
of another request or of the same one.
"""

import asyncio
import contextlib
import dataclasses

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.errors import PlatformUnavailableError
from arbutusflow.gateway.client_connection import MAX_EXCHANGES, ClientConnection
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import KeyRange
from arbutusflow.gateway.model import (
    Address,
    Endpoint as ListedEndpoint,
    ExchangeError,
)
from arbutusflow.platform.store import StoreClient
from tests.gateway.fakes import FakeLog, FakeTransport, at
from tests.gateway.virtual_time import run

TIMEOUT_SECONDS = 0.5
DELAYS = st.sampled_from([0.001, 0.03, 0.2, 0.6, 2.0])


@dataclasses.dataclass(frozen=True)
class Answering:
    """How an endpoint treats one send."""

    delay: float
    copies: tuple[float, ...] = ()  # Delays of further copies of the answer.
    answered: bool = True
    cut: bool = False  # The answer breaks off and the connection ends.
    echoes_id: bool = True
    status: bytes = b"200"


class Endpoint:
    """Endpoint whose answer to each send is the number of the send."""

    def __init__(self, script):
        self.script = list(script)
        self.sends = 0
        self.connections = 0

    async def open(
        self, address, timeout, id_header=None, budget=None, on_stray=lambda: None
    ):
        self.connections += 1
        conn = ClientConnection(id_header, budget, on_stray)
        conn.connection_made(_Link(self, conn))
        return conn

    def receive(self, link, data):
        self.sends += 1
        how = self.script.pop(0) if self.script else Answering(0.001)
        if not how.answered:
            return
        head, _, _ = data.partition(b"\r\n\r\n")
        ids = [x for x in head.split(b"\r\n") if x.startswith(b"Request-Id")]
        lines = [b"HTTP/1.1 %b X" % how.status, *(ids if how.echoes_id else [])]
        body = b"%d" % self.sends
        lines += [b"Content-Length: %d" % len(body), b"", body]
        answer = b"\r\n".join(lines)
        loop = asyncio.get_running_loop()
        if how.cut:
            loop.call_later(how.delay, link.deliver, answer[:-1], True)
            return
        for delay in (how.delay, *how.copies):
            loop.call_later(delay, link.deliver, answer)


class _Link(FakeTransport):
    def __init__(self, endpoint, conn):
        super().__init__()
        self._endpoint = endpoint
        self._conn = conn

    def write(self, data):
        self._endpoint.receive(self, data)

    def deliver(self, data, ends=False):
        if self.closed:
            return
        self._conn.data_received(data)
        if ends:
            self._conn.connection_lost(None)


async def send(pool, endpoint, request_id):
    """Return the number of the send and that in the answer, or None without one."""
    head = b"POST / HTTP/1.1\r\nRequest-Id: %b\r\n\r\n" % request_id
    async with pool.connection(
        Address("h", 1), at_most_once=False, timeout=1.0, request_id=request_id
    ) as conn:
        number = endpoint.sends + 1
        answer = await conn.exchange(head, b"", TIMEOUT_SECONDS, request_id)
        return number, int(answer.body)


@pytest.fixture
def connect_to(monkeypatch):
    def connect(endpoint):
        monkeypatch.setattr(ClientConnection, "open", endpoint.open)
        return ConnectionPool(b"request-id")

    return connect


def test_a_second_copy_of_a_rejection_does_not_answer_the_repeat(connect_to):
    """The endpoint rejects an order and sends the rejection again 30 ms later, while it
    runs the repeat of the order."""
    endpoint = Endpoint([Answering(0.001, copies=(0.03,)), Answering(0.1)])

    async def scenario():
        pool = connect_to(endpoint)
        return [await send(pool, endpoint, b"a") for _ in range(2)]

    assert run(scenario()) == [(1, 1), (2, 2)]


def test_another_idle_connection_serves_a_repeat(connect_to):
    """Guards against a new connection, which counts towards the limit of the endpoint,
    while an idle one that has not carried the request is there."""
    endpoint = Endpoint([Answering(0.1), Answering(0.2)])

    async def scenario():
        pool = connect_to(endpoint)
        first = await asyncio.gather(
            send(pool, endpoint, b"b"), send(pool, endpoint, b"a")
        )
        return first, await send(pool, endpoint, b"a"), pool.opened

    # The connection of the second request is the most recently used one.
    assert run(scenario()) == ([(1, 1), (2, 2)], (3, 3), 2)


@pytest.mark.parametrize("request_ids", [(b"a",), (b"a", b"b")])
def test_a_second_copy_of_an_answer_is_counted(connect_to, request_ids):
    """Guards against copies that operators cannot see, while the connection is idle or
    carries the next request."""
    endpoint = Endpoint([Answering(0.001, copies=(0.01,)), Answering(0.1)])

    async def scenario():
        pool = connect_to(endpoint)
        for request_id in request_ids:
            await send(pool, endpoint, request_id)
        await asyncio.sleep(0.1)
        return pool.strays

    assert run(scenario()) == 1


def test_a_connection_refuses_an_identifier_that_it_has_carried(connect_to):
    """Guards against callers of the pool that forget to name the request."""
    endpoint = Endpoint([])

    async def scenario():
        conn = await endpoint.open(None, 1.0, b"request-id")
        head = b"POST / HTTP/1.1\r\nRequest-Id: a\r\n\r\n"
        await conn.exchange(head, b"", 1.0, b"a")
        with pytest.raises(ExchangeError) as caught:
            await conn.exchange(head, b"", 1.0, b"a")
        return caught.value.sent

    assert run(scenario()) is False


def test_a_connection_is_closed_after_a_number_of_exchanges(connect_to):
    """Guards against memory for identifiers that grows with the age of connections."""
    endpoint = Endpoint([])

    async def scenario():
        pool = connect_to(endpoint)
        for number in range(MAX_EXCHANGES + 1):
            await send(pool, endpoint, b"%d" % number)

    run(scenario())
    assert endpoint.connections == 2


@settings(max_examples=300, deadline=None)
@given(
    script=st.lists(
        st.builds(
            Answering,
            delay=DELAYS,
            copies=st.lists(DELAYS, max_size=2).map(tuple),
            answered=st.sampled_from([True, True, True, False]),
            cut=st.sampled_from([False, False, False, True]),
            echoes_id=st.booleans(),
        ),
        max_size=12,
    ),
    sends=st.lists(st.tuples(st.sampled_from([b"a", b"b", b"c"]), DELAYS), max_size=12),
)
def test_an_answer_belongs_to_the_send_that_gets_it(script, sends):
    endpoint = Endpoint(script)

    async def scenario():
        pool, pairs = ConnectionPool(b"request-id"), []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ClientConnection, "open", endpoint.open)
            for request_id, pause in sends:
                with contextlib.suppress(ExchangeError):
                    pairs.append(await send(pool, endpoint, request_id))
                await asyncio.sleep(pause / 10)
        return pairs

    assert all(sent == answered for sent, answered in run(scenario()))


ENDPOINT = ListedEndpoint("e1", "s", Address("h", 1), "z", 2, False, 0.0, 1)
KEY_RANGE = KeyRange(0, 9, "e1", 1, 7)
LEAVING = KEY_RANGE.as_leaving(9, 1)


def make_orders(pool):
    return KeyOrders(pool, FakeLog(), 10.0)


def test_confirmations_on_which_a_move_depends_belong_to_no_other_order(connect_to):
    """The answers of orders have no identifier, and second copies of them come late.

    Guards against taking a copy of the answer to a grant for the confirmation that the
    endpoint refuses earlier grants, or that it released the keys.
    """
    copies = Answering(0.001, copies=(0.03, 0.2), echoes_id=False)
    endpoint = Endpoint([copies, Answering(0.0, answered=False)] * 2)

    async def scenario():
        orders = make_orders(connect_to(endpoint))
        confirmed = []
        for _ in range(2):
            await orders.grant(ENDPOINT, KEY_RANGE)
            closed = await orders.close_grants(ENDPOINT, LEAVING, lambda: True)
            confirmed.append(closed)
        return confirmed, await orders.release(ENDPOINT, LEAVING)

    assert run(scenario()) == ([False, False], "")
    assert endpoint.connections == 5


@pytest.mark.parametrize("status", [b"000", b"099", b"199", b"700"])
def test_an_order_with_an_invalid_status_counts_neither_as_applied_nor_as_refused(
    connect_to, status
):
    """Guards against an answer from an endpoint in trouble on which a move depends."""
    endpoint = Endpoint([Answering(0.001, status=status)] * 3)

    async def scenario():
        loop = asyncio.get_running_loop()
        orders, started_at = make_orders(connect_to(endpoint)), loop.time()
        answer = await orders.grant(ENDPOINT, KEY_RANGE)
        unconfirmed = orders.may_have_unconfirmed_lease(loop.time())
        closed = await orders.close_grants(ENDPOINT, LEAVING, lambda: True)
        released = await orders.release(ENDPOINT, LEAVING)
        assert loop.time() - started_at < 0.1
        return answer, unconfirmed, closed, released

    assert run(scenario()) == (None, True, False, None)


@pytest.mark.parametrize("status", [b"000", b"099", b"199", b"700"])
def test_a_write_that_the_store_answers_with_an_invalid_status_has_no_known_outcome(
    connect_to, status
):
    endpoint = Endpoint([Answering(0.001, status=status)])

    async def scenario():
        loop = asyncio.get_running_loop()
        connect_to(endpoint)
        store, started_at = StoreClient(Address("h", 1)), loop.time()
        with pytest.raises(PlatformUnavailableError, match="store call failed"):
            await store.replace("servers", "e1", {}, at(1))
        return loop.time() - started_at

    assert run(scenario()) < 0.1


def test_a_leaving_range_is_closed_and_released_with_a_higher_token(connect_to):
    endpoint = Endpoint([])
    bodies = []

    def receive(link, data):
        bodies.append(data.partition(b"\r\n\r\n")[2])
        Endpoint.receive(endpoint, link, data)

    endpoint.receive = receive

    async def scenario():
        orders = make_orders(connect_to(endpoint))
        await orders.close_grants(ENDPOINT, LEAVING, lambda: True)
        await orders.release(ENDPOINT, LEAVING)

    run(scenario())
    assert [msgspec.json.decode(body)["fence"] for body in bodies] == [9, 9]


def test_a_grant_that_was_not_sent_needs_no_wait(monkeypatch):
    """Guards against a wait for the lease of a grant that met no open port."""

    async def refuse(*args):
        raise ExchangeError("refused", sent=False)

    monkeypatch.setattr(ClientConnection, "open", refuse)

    async def scenario():
        orders = make_orders(ConnectionPool(b"request-id"))
        assert await orders.grant(ENDPOINT, KEY_RANGE) is None
        now = asyncio.get_running_loop().time()
        times = orders.last_grant_times("e1", now)
        return times, orders.tried_within("e1", 0.2, now)

    assert run(scenario()) == ((-1e9, -1e9), True)


def test_a_closing_grant_that_was_not_sent_is_told_from_one_without_an_answer(
    monkeypatch,
):
    """Guards against a wait for the lease of a closing grant that met no open port, or
    that the right to grant did not outlast."""
    silent = Endpoint([Answering(0.0, answered=False)])

    async def refuse(*args):
        raise ExchangeError("refused", sent=False)

    async def scenario():
        orders = make_orders(ConnectionPool(b"request-id"))
        results = []
        for open_connection, may_send in (
            (refuse, True),
            (silent.open, False),
            (silent.open, True),
        ):
            monkeypatch.setattr(ClientConnection, "open", open_connection)
            results.append(
                await orders.close_grants(ENDPOINT, LEAVING, lambda may=may_send: may)
            )
        return results

    assert run(scenario()) == [None, None, False]


def test_a_right_to_grant_that_ends_while_connecting_is_not_used(monkeypatch):
    """Guards against a renewal by a table that the others have left behind."""
    endpoint = Endpoint([])

    async def open_slowly(*args):
        await asyncio.sleep(0.3)
        return await endpoint.open(*args)

    monkeypatch.setattr(ClientConnection, "open", open_slowly)

    async def scenario():
        loop = asyncio.get_running_loop()
        right_ends_at = loop.time() + 0.2
        orders = make_orders(ConnectionPool(b"request-id"))
        return await orders.grant(
            ENDPOINT, KEY_RANGE, lambda: loop.time() < right_ends_at
        )

    assert run(scenario()) is None
    assert endpoint.sends == 0
