"""Callers outside the operators' control, at one real process of the product.

Guards against a process that such callers end, fill or occupy for good. Each test
checks that the process lives, that its peak in memory and its descriptors stay within
its settings, and that an ordinary request is answered while the hostile connections are
still open. `--log-cli-level=INFO` prints what was measured.
"""

import itertools

import pytest

from tests.hostile.crowd import (
    Caller,
    Crowd,
    chunked_upload,
    filled,
    head,
    in_pieces,
    upload,
)
from tests.hostile.world import Limits, play

pytestmark = pytest.mark.hostile

HEADER_BYTES = 16_000  # Within the limit of 16,384, also with the first lines.
PIECE_BYTES = 16_384
READ_BYTES = 262_144  # The process reads up to so many bytes at a time.
BODY_BYTES = 3_000_000


def _open_head(line):
    return [head() + filled(line, HEADER_BYTES)]


def _over_limit(line=b"a:\r\n"):
    return [head() + filled(line, READ_BYTES)]


def _endless_head():
    return [head(), *[filled(b"X-Abc: 12\r\n", PIECE_BYTES)] * 64]


def _empty_lines():
    return [b"\r\n" * (READ_BYTES // 2)] * 8


def _body(missing=0):
    return [upload(BODY_BYTES), bytes(BODY_BYTES - missing)]


def _tiny_chunks(count=60_000):
    return [chunked_upload(), b"1\r\nx\r\n" * count]


def _extensions(number):
    """Return one extension without end, or many short ones."""
    if number % 2:
        return [chunked_upload() + b"5;", *[b"x" * PIECE_BYTES] * 64]
    chunk = b"1;" + b"a=b;" * 250 + b"\r\nx\r\n"
    return [chunked_upload(), *[filled(chunk, PIECE_BYTES)] * 64]


def _trailers():
    return [chunked_upload() + b"0\r\n", *[filled(b"a:\r\n", PIECE_BYTES)] * 64]


def _pipelined(repeats=4):
    return [filled(head() + b"\r\n", READ_BYTES)] * repeats


def _slow_head():
    first = head() + b"X-Slow: "
    return itertools.chain([first], itertools.repeat(b"x"))


def test_short_header_lines(tmp_path):
    """Guards against heads of legal size that take many times it in memory."""
    crowd = Crowd(Caller(_open_head(b"a:\r\n")) for _ in range(200))
    assert play(tmp_path, crowd, Limits()) == []


def test_odd_header_lines(tmp_path):
    """Guards against the same with empty names, empty values and folded lines."""
    lines = (b"a:\r\n", b"!: \t\r\n", b"a: b\r\n c\r\n")
    heads = [_open_head(line) for line in lines]
    # A rejected head: a line without a name behind many others.
    heads.append([head() + filled(b"a:\r\n", HEADER_BYTES) + b":b\r\n"])
    crowd = Crowd(Caller(heads[n % 4]) for n in range(400))
    assert play(tmp_path, crowd, Limits()) == []


def test_heads_over_the_limit(tmp_path):
    """Guards against a limit that is checked after a whole read became objects."""
    crowd = Crowd(Caller(_over_limit()) for _ in range(40))
    assert play(tmp_path, crowd, Limits()) == []


def test_heads_without_end(tmp_path):
    """Guards against rejected heads that stay in memory while their callers send on."""
    crowd = Crowd(Caller(_endless_head()) for _ in range(100))
    assert play(tmp_path, crowd, Limits()) == []


def test_empty_lines_without_end(tmp_path):
    """Guards against bytes before a request that no limit counts."""
    crowd = Crowd(Caller(_empty_lines()) for _ in range(60))
    assert play(tmp_path, crowd, Limits()) == []


def test_large_bodies_sent_whole(tmp_path):
    """Guards against bodies of legal size that together exceed the memory."""
    crowd = Crowd(Caller(_body()) for _ in range(60))
    assert play(tmp_path, crowd, Limits(memory_mb=120)) == []


def test_large_bodies_piece_by_piece(tmp_path):
    """Guards against the same when each read takes little."""
    pieces = (list(in_pieces(b"".join(_body()), PIECE_BYTES)) for _ in range(60))
    crowd = Crowd(Caller(each) for each in pieces)
    assert play(tmp_path, crowd, Limits(memory_mb=120)) == []


def test_large_bodies_that_stop_one_byte_short(tmp_path):
    """Guards against bodies that hold the memory of all others and never end."""
    crowd = Crowd(Caller(_body(missing=1)) for _ in range(60))
    assert play(tmp_path, crowd, Limits(memory_mb=120)) == []


def test_chunks_of_one_byte(tmp_path):
    """Guards against work and memory for each chunk within one turn of the loop."""
    crowd = Crowd(Caller(_tiny_chunks()) for _ in range(24))
    assert play(tmp_path, crowd, Limits()) == []


def test_long_runs_of_chunk_extensions(tmp_path):
    """Guards against extensions that no limit counts."""
    crowd = Crowd(Caller(_extensions(n)) for n in range(60))
    assert play(tmp_path, crowd, Limits()) == []


def test_long_runs_of_trailers(tmp_path):
    """Guards against trailers that no limit counts."""
    crowd = Crowd(Caller(_trailers()) for _ in range(60))
    assert play(tmp_path, crowd, Limits()) == []


def test_one_byte_a_second_on_thousands_of_connections(tmp_path):
    """Guards against callers that take all connections and never send a request."""
    callers = [Caller(_slow_head(), pause=1.0) for _ in range(3000)]
    limits = Limits(header_seconds=3.0, idle_seconds=15.0)
    assert play(tmp_path, Crowd(callers, act_seconds=8.0), limits) == []


def test_large_answers_that_are_never_read(tmp_path):
    """Guards against answers that stay in memory as no caller takes them."""
    ask = head(b"/safe/2000000/10") + b"\r\n"
    crowd = Crowd(Caller([ask] * 4) for _ in range(60))
    assert play(tmp_path, crowd, Limits(memory_mb=120)) == []


def test_requests_sent_ahead_without_end(tmp_path):
    """Guards against a read of many requests that all become tasks at once."""
    crowd = Crowd(Caller(_pipelined()) for _ in range(8))
    assert play(tmp_path, crowd, Limits()) == []


def test_a_mix(tmp_path):
    """Guards against kinds that are each bounded, but not all together."""
    kinds = (
        *[_open_head(b"a:\r\n")] * 8,
        *[_open_head(b"!: \t\r\n")] * 4,
        _over_limit(),
        _endless_head(),
        _empty_lines(),
        _body(),
        _body(missing=1),
        _tiny_chunks(10_000),
        _extensions(0),
        _trailers(),
        [head(b"/safe/2000000/10") + b"\r\n"],
        _pipelined(1),
    )
    crowd = Crowd(Caller(pieces) for pieces in kinds * 6)
    assert play(tmp_path, crowd, Limits(memory_mb=120)) == []
