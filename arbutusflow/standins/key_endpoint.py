"""Stand-in of an endpoint of the platform: runs requests for the keys it holds.

Invariants: with keys, a request runs only while the endpoint holds a lease on its key;
a grant with a token below one that it has seen for a key changes nothing; a release is
answered when the work for its keys has ended.
"""

import asyncio
import dataclasses
import random
import time

from arbutusflow.gateway.model import Endpoint
from arbutusflow.platform import wire
from arbutusflow.platform.other_side import KeyOrder, decode_key_order
from arbutusflow.standins.embedded_server import (
    EmbeddedServer,
    ErrorHandler,
    Reply,
    Request,
)

RELEASE_POLL_SECONDS = 0.005
_NOT_RUN = ((wire.NOT_RUN, b"1"),)


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A time in which an endpoint held a range of keys, on the monotonic clock.

    Times are in seconds. `until` is the end of the lease, or of an earlier release.
    """

    endpoint: str
    first: int
    last: int
    token: int
    since: float
    until: float

    def holds(self, key: int, now: float) -> bool:
        """Whether the key was held at a time."""
        return self.first <= key <= self.last and self.since <= now < self.until


class KeyEndpoint:
    """One endpoint, with a number of slots in which it runs requests."""

    def __init__(
        self,
        entry: Endpoint,
        work_seconds: tuple[float, float],
        rng: random.Random,
        on_error: ErrorHandler,
        *,
        partitioned: bool,
    ) -> None:
        self.entry = entry
        self.server = EmbeddedServer(self._handle, on_error)
        self.runs: list[str] = []  # Identifiers of the requests that it began to run.
        self.ended_holdings: list[Holding] = []
        self._holdings: list[Holding] = []  # Those that were not released or replaced.
        self._seen_tokens: dict[tuple[int, int], int] = {}  # Highest, by range.
        self._work_seconds = work_seconds
        self._rng = rng
        self._partitioned = partitioned
        self._slots = asyncio.Semaphore(entry.slots)
        self._running: list[int | None] = []  # Keys of the requests that run.
        self._waiting = 0

    @property
    def holdings(self) -> list[Holding]:
        """All times in which it held keys, and those in which it still does."""
        return self.ended_holdings + self._holdings

    def holds(self, key: int, now: float) -> bool:
        """Whether it holds a lease on a key."""
        return any(item.holds(key, now) for item in self._holdings)

    async def _handle(self, req: Request) -> Reply:
        request_id = req.headers.get(wire.REQUEST_ID, b"")
        echoed = ((wire.REQUEST_ID, request_id),)
        name = self.entry.id.encode()
        expected = req.headers.get(wire.EXPECTED_ENDPOINT)
        if expected not in (None, name):
            return Reply(421, (*echoed, (wire.ENDPOINT_ID, name)))
        if req.target == wire.GRANT_PATH:
            return self._grant(decode_key_order(req.target, req.body))
        if req.target == wire.RELEASE_PATH:
            return await self._release(decode_key_order(req.target, req.body))
        key = wire.parse_key(req.headers.get(wire.KEY))
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if self._partitioned and (
                key is None or not self.holds(key, time.monotonic())
            ):
                return Reply(421, echoed + _NOT_RUN)
            return await self._run(req, request_id, key)
        finally:
            self._slots.release()

    async def _run(self, req: Request, request_id: bytes, key: int | None) -> Reply:
        self.runs.append(request_id.decode())
        self._running.append(key)
        try:
            await asyncio.sleep(self._rng.uniform(*self._work_seconds))
        finally:
            self._running.remove(key)
        load = b"%d,%d,%d" % (len(self._running), self._waiting, self.entry.slots)
        headers = (
            (wire.REQUEST_ID, request_id),
            (wire.SIGNATURE, b"seal"),
            (wire.ENDPOINT_LOAD, load),
        )
        return Reply(200, headers, answer_body(self.entry.service, request_id))

    def _grant(self, order: KeyOrder) -> Reply:
        if any(
            first <= order.last and last >= order.first and token > order.token
            for (first, last), token in self._seen_tokens.items()
        ):
            return Reply(409)
        self._seen_tokens[order.first, order.last] = order.token
        now = time.monotonic()
        self._end_holdings(order, now)
        until = now + order.lease_seconds
        self._holdings.append(
            Holding(self.entry.id, order.first, order.last, order.token, now, until)
        )
        return Reply(200)

    async def _release(self, order: KeyOrder) -> Reply:
        # New work for the keys is refused from here on.
        released = self._end_holdings(order, time.monotonic())
        try:
            while any(
                key is not None and order.first <= key <= order.last
                for key in self._running
            ):
                await asyncio.sleep(RELEASE_POLL_SECONDS)
        finally:
            # The keys count as held until the work for them has ended.
            now = time.monotonic()
            for item in released:
                self.ended_holdings.remove(item)
                self.ended_holdings.append(dataclasses.replace(item, until=now))
        return Reply(200, ((wire.HANDOVER, b"handover"),))

    def _end_holdings(self, order: KeyOrder, now: float) -> list[Holding]:
        """End the leases on keys of an order now; return those that had not ended."""
        kept, ended = [], []
        for item in self._holdings:
            if item.last < order.first or item.first > order.last:
                kept.append(item)
                continue
            if item.first < order.first:
                kept.append(dataclasses.replace(item, last=order.first - 1))
            if item.last > order.last:
                kept.append(dataclasses.replace(item, first=order.last + 1))
            part = dataclasses.replace(
                item,
                first=max(item.first, order.first),
                last=min(item.last, order.last),
                until=min(item.until, now),
            )
            self.ended_holdings.append(part)
            if item.until > now:
                ended.append(part)
        self._holdings = kept
        return ended


def answer_body(service: str, request_id: bytes) -> bytes:
    """Return the body of the answer of an endpoint of a service to a request."""
    return service.encode() + b" " + request_id
