"""Callers of an ordinary run: they keep connections, leave early, retry and send ahead.

A connection is used until the instance closes it or an answer says so. A caller retries
on new connections: lookups after any failure, orders only after a status that promises
that they have not run, and requests that were sent behind an answer that closes.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
from collections.abc import Callable

from arbutusflow.platform import wire
from tests.soak.audit import LARGE, PROMISES
from tests.soak.callers import ANSWER_MARGIN_SECONDS, Answer, CallerSocket
from tests.soak.configurations import HOST, MOVED_PREFIX, ConfigurationHistory
from tests.soak.gateway_process import GatewayProcess
from tests.soak.records import PlayedCall
from tests.soak.workload import Workload

KEYS = (1, 9000, 20_000, 33_000, 50_000, 65_535)
BUSY_KEY_SHARE = 0.3  # Share of the requests that are for one key.
DEADLINE_SECONDS = 1.5
SLOW_DEADLINE_SECONDS = 3.5  # Of requests whose work takes long.
SLOW = b"/slow"  # Ends the path of a request whose work takes long.
NO_RETRY_STATUSES = frozenset({400, 401, 404, 413, 431})
MAX_RETRIES = 3
BUSY_GAP_SECONDS = 0.05  # Longest time between two requests on a connection.
LONG_GAP_SECONDS = 3.0
SPACED_SHARE = 0.5  # Of the requests behind others: those sent some time later.
LONGEST_SPACE_SECONDS = 0.5
LATE_READ_SECONDS = 0.8  # Longest time before a large answer is read.
NEWEST_SHARE = 0.6  # Of the probes: those for routes of the two newest versions.
LONGEST_PAUSES_SECONDS = (0.4, 2.5)  # Between two parts of a body.
LEFT_WORK_SHARE = 0.5  # Of the requests that are left: those whose work takes long.
LONGEST_STAY_SECONDS = 0.6  # Of a caller that leaves while work takes long.
MAX_UPLOAD_SHARE = 0.05  # Records keep the bodies.
# More than the buffers of an endpoint that does not read take.
UPLOAD_BYTES = (300_000, 600_000)
PROBE_PERIOD_SECONDS = 0.15  # Of the requests for routes that come and go.


@dataclasses.dataclass(frozen=True)
class LoadHabits:
    """Shares of the requests of one caller at which it does something else."""

    leaves: float
    ahead: float
    slow_body: float
    slow_work: float
    impatient: float  # Retries at once, though it was told to wait.
    long_gap: float
    longest_pause: float  # Seconds between two parts of a body.
    silent_start: float  # Connections that carry nothing for some time.
    large: float  # Lookups whose answer is large.
    deadline_seconds: float = DEADLINE_SECONDS
    slow_deadline_seconds: float = SLOW_DEADLINE_SECONDS
    uploads: float = 0.0  # Of the requests with a body: with a large one.

    @classmethod
    def from_rng(cls, rng: random.Random, workload: Workload) -> "LoadHabits":
        """Draw the habits of a caller; most callers have few of them."""

        def draw(highest: float) -> float:
            return rng.choice((0.0, 0.0, rng.uniform(0.0, highest)))

        slow = rng.choice((0.05, rng.uniform(0.0, 0.8))) * workload.slow_paths
        ahead = rng.choice((0.0, rng.uniform(0.0, 0.8)))
        deadlines = (DEADLINE_SECONDS, SLOW_DEADLINE_SECONDS)
        if workload.deadline_range is not None:
            deadline = rng.uniform(*workload.deadline_range)
            deadlines = (deadline, max(deadline, SLOW_DEADLINE_SECONDS))
        return cls(
            draw(0.4),
            ahead,
            draw(0.5),
            slow,
            draw(1.0),
            draw(0.05),
            rng.choice(LONGEST_PAUSES_SECONDS),
            draw(0.5),
            draw(0.3),
            *deadlines,
            draw(MAX_UPLOAD_SHARE),
        )


class CallBook:
    """Numbers requests, keeps what their callers saw, and tells it to listeners."""

    def __init__(self, on_end: Callable[[PlayedCall, Answer | None], None]) -> None:
        self._numbers = itertools.count(1)
        self.on_end = on_end
        self.on_sent: Callable[[PlayedCall], None] = lambda call: None
        self.ended: list[PlayedCall] = []

    def next_id(self) -> bytes:
        """Return the identifier of a new request."""
        return b"r%d" % next(self._numbers)

    def end(
        self,
        call: PlayedCall,
        answer: Answer | None,
        connection_ended_at: float | None = None,
    ) -> None:
        """Record the end of a request, without an answer that of its connection."""
        call.ended_at = time.monotonic()
        if answer is None and connection_ended_at is not None and not call.gave_up:
            call.ended_at = connection_ended_at
        if answer is not None:
            call.status = answer.status
            call.signed = wire.SIGNATURE.lower() in answer.headers
        self.ended.append(call)
        self.on_end(call, answer)


class LoadCaller:
    """One caller, which sends random requests until the run ends."""

    def __init__(
        self,
        rng: random.Random,
        book: CallBook,
        busy_key: int,
        choose: Callable[[], GatewayProcess],
        is_active: Callable[[], bool],
        workload: Workload,
    ) -> None:
        self._rng = rng
        self._book = book
        self._busy_key = busy_key
        self._choose = choose
        self._is_active = is_active
        self._habits = LoadHabits.from_rng(rng, workload)

    def _chance(self, share: float) -> bool:
        return self._rng.random() < share

    async def run(self) -> None:
        """Use one connection after the other."""
        while self._is_active():
            again = await self._use_connection(self._choose())
            for call, wait in again:
                await self._retry(call, wait)

    async def _use_connection(
        self, gateway: GatewayProcess
    ) -> list[tuple[PlayedCall, float]]:
        """Send requests until the connection ends; return those to be sent again."""
        try:
            sock = await CallerSocket.open(gateway.address)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            return []
        try:
            if self._chance(self._habits.silent_start):
                await asyncio.sleep(self._rng.uniform(0.0, LONG_GAP_SECONDS))
            while self._is_active():
                leaves = self._chance(self._habits.leaves)
                target = self._draw_target()
                slow_paths = self._habits.slow_work > 0.0
                if leaves and slow_paths and self._chance(LEFT_WORK_SHARE):
                    target = b"GET", b"/p" + SLOW, False
                calls = [self.new_call(gateway.name, target)]
                if calls[0].idempotent and self._chance(self._habits.ahead):
                    target = self._draw_target(safe=True)
                    calls.append(self.new_call(gateway.name, target, behind=True))
                keep, again = await self.exchange(sock, calls, leaves=leaves)
                if again or not keep:
                    return again
                longest = BUSY_GAP_SECONDS
                if self._chance(self._habits.long_gap):
                    longest = LONG_GAP_SECONDS
                await asyncio.sleep(self._rng.uniform(0.0, longest))
        finally:
            sock.close()
        return []

    async def _retry(self, call: PlayedCall, wait: float) -> None:
        for _ in range(MAX_RETRIES):
            left = call.deadline_at - time.monotonic()
            if not self._chance(self._habits.impatient):
                await asyncio.sleep(min(wait, left / 3) if left > 0 else 0.0)
            left = call.deadline_at - time.monotonic()
            if left < 0.05 or not self._is_active():
                return
            gateway = self._choose()
            again = self.new_call(
                gateway.name, (call.method, call.target, call.keyed), seconds=left
            )
            again.key = call.key
            try:
                sock = await CallerSocket.open(gateway.address)
            except (OSError, TimeoutError):
                continue
            try:
                _, failed = await self.exchange(sock, [again])
            finally:
                sock.close()
            if not failed:
                return
            _, wait = failed[0]

    def _draw_target(self, *, safe: bool = False) -> tuple[bytes, bytes, bool]:
        """Return method, target and whether the service is partitioned."""
        drawn = self._rng.random()
        if drawn < 0.4 and not safe:
            target, keyed = self._rng.choice(((b"/y/1", False), (b"/z/1", True)))
            return b"POST", target, keyed
        if drawn < 0.7:
            return b"GET", b"/x/1", True
        if drawn < 0.8:
            return b"GET", MOVED_PREFIX + b"1", False
        if self._chance(self._habits.large):
            return b"GET", b"/p" + LARGE, False
        slow = self._chance(self._habits.slow_work)
        return b"GET", b"/p" + (SLOW if slow else b"/1"), False

    def new_call(
        self,
        instance: str,
        kind: tuple[bytes, bytes, bool],
        *,
        behind: bool = False,
        seconds: float | None = None,
    ) -> PlayedCall:
        """Return a new request."""
        method, target, keyed = kind
        if seconds is None:
            slow, habits = target.endswith(SLOW), self._habits
            seconds = habits.slow_deadline_seconds if slow else habits.deadline_seconds
        request_id = self._book.next_id()
        body = request_id if method == b"POST" else b""
        if body and self._chance(self._habits.uploads):
            body *= self._rng.randint(*UPLOAD_BYTES) // len(body)
        return PlayedCall(
            request_id,
            instance,
            method == b"GET",
            behind,
            deadline_at=time.monotonic() + seconds,
            method=method,
            target=target,
            body=body,
            keyed=keyed,
            key=self._choose_key(),
        )

    def _choose_key(self) -> int:
        if self._rng.random() < BUSY_KEY_SHARE:
            return self._busy_key
        return self._rng.choice(KEYS)

    async def exchange(
        self, sock: CallerSocket, calls: list[PlayedCall], *, leaves: bool = False
    ) -> tuple[bool, list[tuple[PlayedCall, float]]]:
        """Send requests and read their answers, or close the connection before.

        Returns whether the connection can be kept, and the requests to be sent again
        with the seconds to wait before.
        """
        leaves_after = None
        if leaves:
            slow = calls[0].target.endswith(SLOW)
            longest = LONGEST_STAY_SECONDS if slow else BUSY_GAP_SECONDS
            leaves_after = self._rng.uniform(0.0, longest)
        for number, call in enumerate(calls):
            if number and self._chance(SPACED_SHARE):
                await sock.wait(self._rng.uniform(0.0, LONGEST_SPACE_SECONDS))
            try:
                await self._send(sock, call)
            except OSError:
                if number == 0:  # The connection was closed while it was idle.
                    self._book.end(call, None)
                    return False, [(call, 0.0)] if call.idempotent else []
                calls = calls[:number]
                break
        keep, closed_by_answer, gave_up = True, False, False
        again: list[tuple[PlayedCall, float]] = []
        for call in calls:
            answer = None
            if keep and leaves_after is None and call.target.endswith(LARGE):
                await sock.wait(self._rng.uniform(0.0, LATE_READ_SECONDS))
            if keep:
                answer = await self._read(sock, call, leaves_after)
                gave_up = call.gave_up
            call.gave_up = gave_up  # Also on requests behind.
            self._book.end(call, answer, sock.ended_at)
            if call.left_at is not None:
                return False, []
            if not keep and call.behind and closed_by_answer:
                again.append((call, 0.0))  # It counts as not read.
            elif self._may_retry(call):
                again.append((call, _wait_seconds(answer)))
            closed_by_answer = answer is not None and answer.closes
            keep = keep and answer is not None and not answer.closes
        return keep, again

    async def _send(self, sock: CallerSocket, call: PlayedCall) -> None:
        left = call.deadline_at - time.monotonic()
        head = b"%b %b HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\n" % (
            call.method,
            call.target,
            HOST.encode(),
            call.request_id,
        )
        head += b"Deadline-Ms: %d\r\nShard-Key: %d\r\nContent-Length: %d\r\n\r\n" % (
            max(left * 1000, 1),
            call.key,
            len(call.body),
        )
        sock.note_end()
        call.began_at = call.sent_at = time.monotonic()
        self._book.on_sent(call)
        try:
            if call.body and self._chance(self._habits.slow_body):
                await sock.send(head + call.body[:1])
                longest = min(self._habits.longest_pause, 0.6 * left)
                await asyncio.sleep(self._rng.uniform(min(0.05, longest), longest))
                await sock.send(call.body[1:])
            else:
                await sock.send(head + call.body)
        finally:
            # Of a request that could not be sent, no instance has read the last byte.
            call.sent_at = time.monotonic()

    async def _read(
        self, sock: CallerSocket, call: PlayedCall, leaves_after: float | None
    ) -> Answer | None:
        """Return the answer, or None if the connection ends or the caller leaves."""
        wait = call.deadline_at - time.monotonic() + ANSWER_MARGIN_SECONDS
        leaves = leaves_after is not None and leaves_after < wait
        try:
            async with asyncio.timeout(leaves_after if leaves else wait):
                return await sock.read_answer()
        except TimeoutError:
            if leaves:
                sock.close()
                call.left_at = time.monotonic()
            else:
                call.gave_up = True
        except (EOFError, OSError):
            pass  # The record of the request shows that its connection ended.
        return None

    @staticmethod
    def _may_retry(call: PlayedCall) -> bool:
        if call.status in NO_RETRY_STATUSES or call.status == 200:
            return False
        return call.idempotent or call.status in PROMISES


def _wait_seconds(answer: Answer | None) -> float:
    text = b"" if answer is None else answer.headers.get(wire.RETRY_AFTER, b"")
    with contextlib.suppress(ValueError):
        return float(text)
    return 0.0


class ProbeCaller(LoadCaller):
    """Asks one instance for routes that were added, were removed or never existed."""

    def __init__(
        self,
        rng: random.Random,
        book: CallBook,
        choose: Callable[[], GatewayProcess],
        is_active: Callable[[], bool],
    ) -> None:
        super().__init__(rng, book, KEYS[0], choose, is_active, Workload())
        self._habits = LoadHabits(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)

    async def probe(
        self,
        gateway: GatewayProcess,
        history: ConfigurationHistory,
        receives: Callable[[GatewayProcess], bool],
    ) -> None:
        """Send one request at a time on kept connections until the run ends."""
        sock: CallerSocket | None = None
        try:
            while self._is_active():
                await asyncio.sleep(self._rng.uniform(0.0, 2 * PROBE_PERIOD_SECONDS))
                if sock is None and receives(gateway):
                    with contextlib.suppress(OSError, TimeoutError):
                        sock = await CallerSocket.open(gateway.address)
                if sock is None:
                    continue
                call = self.new_call(gateway.name, self._draw_probe(history))
                keep, _ = await self.exchange(sock, [call])
                if not keep:
                    sock.close()
                    sock = None
        finally:
            if sock is not None:
                sock.close()

    def _draw_probe(self, history: ConfigurationHistory) -> tuple[bytes, bytes, bool]:
        # Mostly routes that were just added or removed.
        newest = 2 if self._rng.random() < NEWEST_SHARE else 6
        version = self._rng.choice(history.versions[-newest:])
        drawn = self._rng.random()
        if drawn < 0.1:
            return b"GET", b"/never/1", False
        if drawn < 0.3:
            return b"GET", MOVED_PREFIX + b"1", False
        return b"GET", b"/v%d/1" % version.number, False
