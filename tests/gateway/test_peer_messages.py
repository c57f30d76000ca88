"""Messages between instances that are large, compressed or damaged.

Guards against tables of hundreds of endpoints that fit into no datagram, and against
datagrams that take up memory, end the handling of messages, or are taken for newer than
they are.
"""

import asyncio
import os
import random
import zlib

import msgspec
import pytest

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_table import KeyRange, KeyTable
from arbutusflow.gateway.model import KEY_SPACE, Address
from arbutusflow.gateway.peers import (
    COMPRESSED_MARK,
    MAX_DATAGRAM_BYTES,
    MAX_MESSAGE_BYTES,
    CopyTransfer,
    PeerReport,
    PeerReports,
    QueueMarker,
    TableTransfer,
)
from tests.gateway.fakes import at
from tests.gateway.virtual_time import run

RANGES = 1200  # Of a service with 300 endpoints, after some hot sets.


class _Link:
    """Transport that keeps the datagrams."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, target):
        self.sent.append(data)


LIFE = 5  # Of the receiver.


@pytest.fixture
def received():
    return []


@pytest.fixture
def peers(received):
    log_fd = os.open(os.devnull, os.O_WRONLY)
    result = PeerReports(
        "n0",
        LIFE,
        lambda report, source: None,
        lambda message, source: received.append(message),
        EventLog("n0", fd=log_fd),
    )
    result.connection_made(_Link())
    yield result
    os.close(log_fd)


def _large_table():
    rng = random.Random(1)
    size = KEY_SPACE // RANGES
    ranges = [
        KeyRange(
            n * size,
            KEY_SPACE - 1 if n == RANGES - 1 else (n + 1) * size - 1,
            f"i-{rng.getrandbits(40):010x}",
            1_783_665_570_000 + rng.randrange(100_000),
            n + 1,
            f"{rng.getrandbits(64):016x}",
        )
        for n in range(RANGES)
    ]
    return KeyTable("registry", RANGES + 1, tuple(ranges))


def test_a_table_of_hundreds_of_endpoints_fits_into_a_datagram(peers, received):
    message = TableTransfer(_large_table(), at(7))
    peers.send(message, [Address("n1", 1)])
    (data,) = peers._transport.sent
    assert len(data) <= MAX_DATAGRAM_BYTES
    peers.datagram_received(data, ("n1", 1))
    assert received == [message]


def test_a_message_that_fits_into_no_datagram_is_not_sent(peers):
    noise = random.Random(1).randbytes(2 * MAX_DATAGRAM_BYTES).hex()
    peers.send(
        CopyTransfer("k", at(0), at(1), [("n", at(1), noise)]), [Address("n1", 1)]
    )
    assert peers._transport.sent == []


@pytest.mark.parametrize(
    "data",
    [
        COMPRESSED_MARK,
        COMPRESSED_MARK + b"no compressed data",
        COMPRESSED_MARK + zlib.compress(b"no message"),
        COMPRESSED_MARK + zlib.compress(bytes(4 * MAX_MESSAGE_BYTES)),
        b"",
    ],
)
def test_a_damaged_datagram_is_dropped(peers, received, data):
    peers.datagram_received(data, ("n1", 1))
    assert received == []


def _report(number, *, vouches=True):
    return PeerReport("n1", 9, number, 0.0, {}, 1.0, at(1), at(1), {}, {}, vouches)


def test_a_vouching_counts_from_before_it_arrived(peers):
    """Guards against unread reports that count as sent when they are read at last."""

    def receive(message):
        peers.datagram_received(msgspec.msgpack.encode(message), ("n1", 1))

    async def scenario():
        loop = asyncio.get_running_loop()
        marked_at = loop.time()
        peers.mark_queue(Address("n0", 1))
        (marker,) = peers._transport.sent
        receive(_report(1))
        assert peers.peers["n1"].vouched_at(0) < marked_at - 1000
        await asyncio.sleep(5.0)
        receive(QueueMarker(LIFE + 1, loop.time()))  # Of an earlier incarnation.
        peers.datagram_received(marker, ("n0", 1))
        receive(_report(2))
        assert peers.peers["n1"].vouched_at(0) == marked_at
        assert peers.peers["n1"].received_at == marked_at + 5.0

    run(scenario())


def test_a_report_that_does_not_vouch_ends_the_vouching(peers):
    """Guards against a right to grant that another instance has already ended."""

    async def scenario():
        peers.mark_queue(Address("n0", 1))
        peers.datagram_received(peers._transport.sent[0], ("n0", 1))
        for number, vouches in ((1, True), (2, False)):
            message = _report(number, vouches=vouches)
            peers.datagram_received(msgspec.msgpack.encode(message), ("n1", 1))
        return peers.peers["n1"].vouched_at(0), asyncio.get_running_loop().time()

    vouched_at, now = run(scenario())
    assert vouched_at < now - 1000
