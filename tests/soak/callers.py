"""Callers on plain sockets, which read and send when they choose, and their records.

A kept connection is used until the instance closes it. Callers that send ahead, send
bodies in pieces, read late or open connections to an instance that stops show what a
planned stop does to each of them.
"""

import asyncio
import contextlib
import dataclasses
import random
import select
import socket
import struct
import time
from collections.abc import Callable

from arbutusflow.gateway.model import Address
from arbutusflow.platform import wire

CONNECT_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 1.5  # How long after its deadline a caller waits for an answer.
RECEIVE_BYTES = 65536
SLOW_BYTES = 8192  # That a caller reads at a time that reads slowly.
WATCH_SECONDS = 0.02  # How often a caller that does not read looks for the end.
KEYED_TARGET = b"/x/1"
SAFE_TARGETS = (KEYED_TARGET, b"/p/1")
ORDER_TARGET = b"/y/1"
UPLOAD_TARGET = b"/u/1"
SIZED_TARGET = b"/p/bytes-%d"  # Its answer has about so many bytes.
BODY_PIECES = 12  # In which a body is sent slowly.
# Place of the milliseconds since the last segment arrived, in what TCP_INFO returns.
_LAST_SEGMENT = struct.Struct("56xI")


@dataclasses.dataclass
class CallRecord:
    """One request as its caller saw it. Times are seconds on the clock of the run."""

    request_id: bytes
    instance: str
    idempotent: bool
    behind: bool  # Sent behind another request on its connection.
    deadline_at: float
    sent_at: float = 0.0  # When its last byte was sent.
    ended_at: float | None = (
        None  # When the answer was complete, or the connection ended.
    )
    status: int | None = None  # None without a complete answer.
    signed: bool = False  # Whether the answer is that of an endpoint.
    method: bytes = b"GET"
    target: bytes = b""
    body: bytes = b""
    keyed: bool = False  # Whether its service is partitioned by key.
    began_at: float = 0.0  # When its first byte was sent.
    # Whether the caller closed the connection because it had waited long enough.
    gave_up: bool = False

    def describe(self) -> str:
        """Return the request and its end, for a failure message."""
        kind = "GET" if self.idempotent else "POST"
        behind = " behind another" if self.behind else ""
        name = self.request_id.decode()
        return f"{name} ({kind}{behind}) at {self.instance}, status {self.status}"


def _split(data: bytes, count: int) -> list[bytes]:
    size = -(-len(data) // count)
    return [data[i : i + size] for i in range(0, len(data), size)]


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer."""

    status: int
    headers: dict[bytes, bytes]  # Names are in lower case.
    body: bytes

    @property
    def closes(self) -> bool:
        """Whether the connection ends with this answer."""
        return self.headers.get(b"connection", b"").lower() == b"close"


class CallerSocket:
    """A connection whose answers are read only when asked for."""

    def __init__(self, sock: socket.socket, bytes_a_second: float | None) -> None:
        self._sock = sock
        self._bytes_a_second = bytes_a_second
        self._received = b""
        # When the instance has closed its side, as far as it is known; an end that is
        # noticed late counts from its arrival, a reset from when it is noticed.
        self.ended_at: float | None = None
        self._poll = select.poll()
        self._poll.register(sock, select.POLLRDHUP)

    @classmethod
    async def open(
        cls, address: Address, bytes_a_second: float | None = None
    ) -> "CallerSocket":
        """Connect; with a rate it reads slowly, `SLOW_BYTES` at a time.

        Raises OSError or TimeoutError.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if bytes_a_second is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BYTES)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await asyncio.get_running_loop().sock_connect(
                    sock, (address.host, address.port)
                )
        except BaseException:
            sock.close()
            raise
        return cls(sock, bytes_a_second)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def end_sending(self) -> None:
        """End the sending side; answers can still be read. Raises OSError."""
        self._sock.shutdown(socket.SHUT_WR)

    async def send(self, data: bytes) -> None:
        """Send all bytes. Raises OSError."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def note_end(self) -> None:
        """Note whether the instance has closed its side, also while nothing is read."""
        if self.ended_at is not None:
            return
        for _, events in self._poll.poll(0):
            self.ended_at = time.monotonic()
            if not events & (select.POLLERR | select.POLLHUP):
                self.ended_at -= self._silent_seconds()

    def _silent_seconds(self) -> float:
        """Return how long ago the last segment arrived. A reset does not count."""
        info = self._sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_SEGMENT.size
        )
        return float(_LAST_SEGMENT.unpack(info)[0]) / 1000

    async def wait(self, seconds: float) -> None:
        """Wait without reading."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(WATCH_SECONDS)
            self.note_end()

    async def read_answer(self) -> Answer:
        """Read one answer. Raises EOFError or OSError if the connection ends before."""
        while b"\r\n\r\n" not in self._received:
            await self._receive()
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        pairs = (line.partition(b":") for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get(b"content-length", b"0"))
        while len(self._received) < length:
            await self._receive()
        body, self._received = self._received[:length], self._received[length:]
        return Answer(int(lines[0].split()[1]), headers, body)

    async def _receive(self) -> None:
        size = RECEIVE_BYTES if self._bytes_a_second is None else SLOW_BYTES
        data = await asyncio.get_running_loop().sock_recv(self._sock, size)
        if not data:
            self.note_end()
            raise EOFError
        if self._bytes_a_second is not None:
            await asyncio.sleep(len(data) / self._bytes_a_second)
        self._received += data


@dataclasses.dataclass(frozen=True)
class CallerHabits:
    """What a caller does beside sending one request and reading its answer.

    Shares are between 0 and 1, drawn for each request.
    """

    ahead: float = 0.0  # Sends further safe requests behind the first.
    behind: tuple[int, int] = (1, 1)  # Number of these.
    order_first: float = 0.0  # Of these: the first request is not safe.
    # Of these, but for the first: asks for the close; further ones follow nevertheless.
    closes_in_row: float = 0.0
    chunked: float = 0.0  # Sends its body in chunks.
    in_pieces: float = 0.0  # Sends the request in pieces, over `piece_seconds`.
    reads_late: float = 0.0  # Sends the next request before it reads the answer.
    # Sends a safe request each `further_seconds` until it has all answers or the
    # connection ends.
    keeps_sending: float = 0.0
    further_seconds: tuple[float, float] = (0.05, 0.4)
    piece_seconds: float = 0.3
    late_seconds: float = 1.5
    uploads: float = 0.0  # Of the requests that are not safe: with a large body.
    upload_bytes: tuple[int, int] = (60_000, 360_000)
    # How long a large body takes, as at a slow link; its deadline counts from the first
    # byte.
    upload_seconds: tuple[float, float] = (0.1, 1.5)
    slow_reads: float = 0.0  # Of its connections: reads slowly from them.
    slow_rates: tuple[float, float] = (400_000, 400_000)  # Bytes a second.
    large_answers: float = 0.0  # Of the safe requests: with a large answer.
    answer_bytes: tuple[int, int] = (100_000, 2_000_000)
    # Ends its sending side behind the requests, and then reads their answers.
    ends_sending: float = 0.0
    idle: float = 0.0  # Leaves its connection idle for `idle_seconds`.
    idle_seconds: tuple[float, float] = (0.5, 2.4)
    deadline_seconds: tuple[float, float] = (2.5, 5.0)


class Caller:
    """Builds and sends the requests of one caller, and records their ends."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        habits: CallerHabits,
        records: list[CallRecord],
        on_answer: Callable[[CallRecord, Answer], None],
    ) -> None:
        self._on_answer = on_answer
        self._name = name
        self._rng = rng
        self._habits = habits
        self._records = records
        self._count = 0

    def _chance(self, share: float) -> bool:
        return self._rng.random() < share

    def _new_request(
        self, instance: str, *, safe: bool, behind: bool
    ) -> tuple[CallRecord, list[bytes]]:
        """Return the record of a new request, and its bytes in pieces."""
        self._count += 1
        request_id = b"%b-%d" % (self._name.encode(), self._count)
        seconds = self._rng.uniform(*self._habits.deadline_seconds)
        upload = not safe and self._chance(self._habits.uploads)
        target, body = self._rng.choice(SAFE_TARGETS), b""
        if self._chance(self._habits.large_answers):
            target = SIZED_TARGET % self._rng.randint(*self._habits.answer_bytes)
        if not safe:
            target = UPLOAD_TARGET if upload else ORDER_TARGET
            body = request_id * 20
        if upload:
            body = bytes(self._rng.randint(*self._habits.upload_bytes))
        record = CallRecord(
            request_id,
            instance,
            safe,
            behind,
            time.monotonic() + seconds,
            method=b"GET" if safe else b"POST",
            target=target,
            body=body,
            keyed=target == KEYED_TARGET,
            began_at=time.monotonic(),
        )
        lines = [
            b"%b %b HTTP/1.1" % (record.method, record.target),
            b"Host: shop.example",
            wire.REQUEST_ID + b": " + request_id,
            wire.DEADLINE + b": %d" % (seconds * 1000),
            wire.KEY + b": %d" % self._rng.choice((1, 20_000, 50_000)),
        ]
        if behind and self._chance(self._habits.closes_in_row):
            lines.append(b"Connection: close")
        if not safe and self._chance(self._habits.chunked):
            lines.append(b"Transfer-Encoding: chunked")
            pieces = _split(body, BODY_PIECES if upload else 2)
            parts = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
            parts.append(b"0\r\n\r\n")
        else:
            lines.append(b"Content-Length: %d" % len(body))
            parts = _split(body, BODY_PIECES if upload else 1) if body else []
        return record, [b"\r\n".join(lines) + b"\r\n\r\n", *parts]

    async def exchange(self, sock: CallerSocket, instance: str) -> bool:
        """Send one or more requests; return whether the connection can be kept."""
        habits = self._habits
        ahead = self._chance(habits.ahead)
        safe = self._chance(1.0 - habits.order_first if ahead else 0.5)
        sock.note_end()
        record, parts = self._new_request(instance, safe=safe, behind=False)
        pending = [record]
        upload = record.target == UPLOAD_TARGET
        if upload or self._chance(habits.in_pieces):
            seconds = habits.piece_seconds
            if upload:
                seconds = self._rng.uniform(*habits.upload_seconds)
            pause = seconds / len(parts)
            for number, part in enumerate(parts):
                if number:
                    await asyncio.sleep(pause)
                await sock.send(part)
        else:
            await sock.send(b"".join(parts))
        record.sent_at = time.monotonic()
        if ahead:
            for _ in range(self._rng.randint(*habits.behind)):
                further, parts = self._new_request(instance, safe=True, behind=True)
                with contextlib.suppress(OSError):  # The connection has ended.
                    await sock.send(b"".join(parts))
                    further.sent_at = time.monotonic()
                    pending.append(further)
        elif self._chance(habits.reads_late):
            # More bytes arrive at the instance while the answer is on its way; only
            # the first request is judged.
            await sock.wait(habits.late_seconds)
            with contextlib.suppress(OSError):
                await sock.send(b"GET /x/1 HTTP/1.1\r\nHost: ")
            await sock.wait(habits.late_seconds)
            await self._read_answers(sock, pending)
            return False
        if self._chance(habits.ends_sending):
            with contextlib.suppress(OSError):  # The connection has ended.
                sock.end_sending()
            await self._read_answers(sock, pending)
            return False
        if self._chance(habits.keeps_sending):
            sending = asyncio.create_task(self._send_on(sock, instance, pending))
            try:
                return await self._read_answers(sock, pending)
            finally:
                sending.cancel()
        return await self._read_answers(sock, pending)

    async def _send_on(
        self, sock: CallerSocket, instance: str, pending: list[CallRecord]
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(self._rng.uniform(*self._habits.further_seconds))
                further, parts = self._new_request(instance, safe=True, behind=True)
                await sock.send(b"".join(parts))
                further.sent_at = time.monotonic()
                pending.append(further)
                self._records.append(further)

    async def _read_answers(
        self, sock: CallerSocket, pending: list[CallRecord]
    ) -> bool:
        """Read the answers in order; return whether the connection can be kept."""
        self._records += pending
        closed = gave_up = False
        # More may be appended meanwhile.
        for record in pending:
            with contextlib.suppress(EOFError, OSError):
                if not closed:
                    answer = await self._read_in_time(sock, record)
                    gave_up = answer is None
                    if answer is not None:
                        record.status = answer.status
                        record.signed = wire.SIGNATURE.lower() in answer.headers
                        closed = answer.closes
                        self._on_answer(record, answer)
            record.ended_at = time.monotonic()
            if record.status is None and not gave_up:
                record.ended_at = sock.ended_at or record.ended_at
            record.gave_up = gave_up
            closed = closed or record.status is None
        return not closed

    async def _read_in_time(
        self, sock: CallerSocket, record: CallRecord
    ) -> Answer | None:
        """Return the answer, or None if it takes longer than the caller waits."""
        until = record.deadline_at + ANSWER_MARGIN_SECONDS - time.monotonic()
        try:
            async with asyncio.timeout(until):
                return await sock.read_answer()
        except TimeoutError:
            return None
