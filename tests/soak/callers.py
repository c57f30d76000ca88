"""Callers on plain sockets, which read and send when they choose, and their records.

A kept connection is used until the instance closes it. Callers that send ahead, send
bodies in pieces, read late or open connections to an instance that stops show what a
planned stop does to each of them.
"""

import asyncio
import contextlib
import dataclasses
import random
import socket
import time
from collections.abc import Callable

from arbutusflow.gateway.model import Address
from arbutusflow.platform import wire

CONNECT_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 1.5  # How long after its deadline a caller waits for an answer.
RECEIVE_BYTES = 65536
CLOSE_CHECK_SECONDS = 0.02  # Between looks of a caller that reads late.
# Of a caller that reads slowly, at 0.4 MB/s.
SLOW_BYTES = 8192
SLOW_PAUSE_SECONDS = 0.02
KEYED_TARGET = b"/x/1"
SAFE_TARGETS = (KEYED_TARGET, b"/p/1")
LARGE_TARGET = b"/p/large"  # Its answer is large.
ORDER_TARGET = b"/y/1"
UPLOAD_TARGET = b"/u/1"
BODY_PIECES = 12  # In which a body is sent slowly.


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

    def __init__(self, sock: socket.socket, *, slow: bool = False) -> None:
        self._sock = sock
        self._slow = slow
        self._received = b""

    @classmethod
    async def open(cls, address: Address, *, slow: bool = False) -> "CallerSocket":
        """Connect; a slow one takes `SLOW_BYTES` at a time.

        Raises OSError or TimeoutError.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if slow:
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
        return cls(sock, slow=slow)

    async def watch(self, seconds: float) -> float | None:
        """Wait; return when the connection ended without an answer, if it did.

        Nothing is read: what the kernel has received stays there.
        """
        until, closed_at = time.monotonic() + seconds, None
        while (remaining := until - time.monotonic()) > 0.0:
            if closed_at is None and self._has_ended():
                closed_at = time.monotonic()
            await asyncio.sleep(min(remaining, CLOSE_CHECK_SECONDS))
        return closed_at

    def _has_ended(self) -> bool:
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    async def send(self, data: bytes) -> None:
        """Send all bytes. Raises OSError."""
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

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
        size = SLOW_BYTES if self._slow else RECEIVE_BYTES
        data = await asyncio.get_running_loop().sock_recv(self._sock, size)
        if self._slow:
            await asyncio.sleep(SLOW_PAUSE_SECONDS)
        if not data:
            raise EOFError
        self._received += data


@dataclasses.dataclass(frozen=True)
class CallerHabits:
    """What a caller does beside sending one request and reading its answer.

    Shares are between 0 and 1, drawn for each request.
    """

    ahead: float = 0.0  # Sends a second safe request behind the first.
    chunked: float = 0.0  # Sends its body in chunks.
    in_pieces: float = 0.0  # Sends the request in pieces, over `piece_seconds`.
    reads_late: float = 0.0  # Sends the next request before it reads the answer.
    piece_seconds: float = 0.3
    late_seconds: float = 1.5
    uploads: float = 0.0  # Of the requests that are not safe: with a large body.
    large: float = 0.0  # Share of the safe requests whose answer is large.
    upload_bytes: tuple[int, int] = (60_000, 360_000)
    # How long a large body takes, as at a slow link; its deadline counts from the first
    # byte.
    upload_seconds: tuple[float, float] = (0.1, 1.5)
    slow_reads: float = 0.0  # Of its connections: reads slowly from them.
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
        if safe and self._chance(self._habits.large):
            target = LARGE_TARGET
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
        """Send one or two requests; return whether the connection can be kept."""
        ahead = self._chance(self._habits.ahead)
        safe = ahead or self._chance(0.5)
        record, parts = self._new_request(instance, safe=safe, behind=False)
        pending = [record]
        upload = record.target == UPLOAD_TARGET
        if upload or self._chance(self._habits.in_pieces):
            seconds = self._habits.piece_seconds
            if upload:
                seconds = self._rng.uniform(*self._habits.upload_seconds)
            pause = seconds / len(parts)
            for part in parts:
                await sock.send(part)
                await asyncio.sleep(pause)
        else:
            await sock.send(b"".join(parts))
        record.sent_at = time.monotonic()
        if ahead:
            second, parts = self._new_request(instance, safe=True, behind=True)
            with contextlib.suppress(OSError):  # The connection has ended.
                await sock.send(b"".join(parts))
                second.sent_at = time.monotonic()
                pending.append(second)
        elif self._chance(self._habits.reads_late):
            # More bytes arrive at the instance while the answer is on its way; only
            # the first request is judged.
            closed_at = await sock.watch(self._habits.late_seconds)
            with contextlib.suppress(OSError):
                await sock.send(b"GET /x/1 HTTP/1.1\r\nHost: ")
            closed_at = closed_at or await sock.watch(self._habits.late_seconds)
            await self._read_answers(sock, pending)
            if record.status is None and closed_at is not None:
                record.ended_at = closed_at
            return False
        return await self._read_answers(sock, pending)

    async def _read_answers(
        self, sock: CallerSocket, pending: list[CallRecord]
    ) -> bool:
        """Read the answers in order; return whether the connection can be kept."""
        self._records += pending
        closed = False
        for record in pending:
            with contextlib.suppress(EOFError, OSError, TimeoutError):
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time()
                    + record.deadline_at
                    - time.monotonic()
                    + ANSWER_MARGIN_SECONDS
                ):
                    if not closed:
                        answer = await sock.read_answer()
                        record.status = answer.status
                        record.signed = wire.SIGNATURE.lower() in answer.headers
                        closed = answer.closes
                        self._on_answer(record, answer)
            record.ended_at = time.monotonic()
            closed = closed or record.status is None
        return not closed
