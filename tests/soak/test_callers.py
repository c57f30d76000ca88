"""What callers record of connections that end while they don't read."""

import asyncio
import random
import socket
import struct
import threading
import time

import pytest

from arbutusflow.gateway.model import Address
from tests.loopback import own_host
from tests.soak.callers import Caller, CallerHabits, CallerSocket
from tests.soak.lost_audit import LOSS_SLACK_SECONDS, EndpointRecord, is_lost

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
LATE_SECONDS = 0.3
HABITS = CallerHabits(reads_late=1.0, late_seconds=LATE_SECONDS)


def _serve(listener, answers, seconds, resets):
    """Answer so many requests, read one more if it comes, and close after a time."""
    conn, _ = listener.accept()
    with conn:
        for _ in range(answers):
            conn.recv(65536)
            conn.sendall(ANSWER)
        if not answers:
            conn.recv(65536)
        time.sleep(seconds)
        if resets:
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@pytest.fixture
def play():
    """Return a function that plays requests with a peer in a thread of its own."""

    def run(habits, answers, seconds, still_seconds, *, resets=False):
        records = []

        async def call(address):
            sock = await CallerSocket.open(address)
            first = Caller("a", random.Random(1), CallerHabits(), records, _ignore)
            later = Caller("b", random.Random(1), habits, records, _ignore)
            for _ in range(answers):
                assert await first.exchange(sock, "n0")
            if not answers:
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, time.sleep, still_seconds)
            else:
                time.sleep(still_seconds)  # The process of the callers stands still.
            await later.exchange(sock, "n0")
            sock.close()

        with socket.create_server((own_host(), 0)) as listener:
            args = listener, answers, seconds, resets
            peer = threading.Thread(target=_serve, args=args)
            peer.start()
            asyncio.run(call(Address(*listener.getsockname())))
            peer.join()
        return records[-1]

    return run


def _ignore(record, answer):
    pass


def _is_lost(record):
    return is_lost(record, EndpointRecord(), {"n0": [record.began_at - 1.0]})


def test_a_connection_that_ended_before_the_request_was_sent_is_told(play):
    """Guards against ends that count from when a caller looks: its process stood still
    until the connection had ended as idle, and it reads late."""
    record = play(HABITS, answers=1, seconds=0.1, still_seconds=0.4)
    assert record.status is None
    assert record.ended_at < record.sent_at
    assert not _is_lost(record)


@pytest.mark.parametrize("habits", [HABITS, CallerHabits()], ids=["late", "at-once"])
@pytest.mark.parametrize("still_seconds", [0.0, 0.5])
@pytest.mark.parametrize(("seconds", "lost"), [(0.05, False), (0.35, True)])
def test_the_end_counts_from_its_arrival(play, habits, still_seconds, seconds, lost):
    """Guards against ends that count late, and requests lost in time that don't count,
    while the process of the callers stands still or does not read."""
    record = play(habits, answers=0, seconds=seconds, still_seconds=still_seconds)
    assert record.status is None
    assert (record.ended_at - record.sent_at > LOSS_SLACK_SECONDS) is lost
    assert _is_lost(record) is lost


@pytest.mark.parametrize("habits", [HABITS, CallerHabits()], ids=["late", "at-once"])
@pytest.mark.parametrize("still_seconds", [0.0, 0.5])
def test_a_reset_does_not_count_from_an_earlier_segment(play, habits, still_seconds):
    """Guards against lost requests whose reset counts from when they were received."""
    record = play(
        habits, answers=0, seconds=0.35, still_seconds=still_seconds, resets=True
    )
    assert record.status is None
    assert _is_lost(record)


def test_a_request_in_pieces_counts_from_its_first_to_its_last_byte(play):
    """Guards against a pause that counts to the time of the request, or to the slack
    after its last byte."""
    habits = CallerHabits(in_pieces=1.0, piece_seconds=0.6)
    record = play(habits, answers=0, seconds=1.0, still_seconds=0.0)
    assert record.method == b"POST"  # Head and body.
    assert 0.25 < record.sent_at - record.began_at < 0.45
