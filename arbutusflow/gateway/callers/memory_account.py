"""Account of the memory that callers make an instance hold, and whom to evict.

Invariants: what a connection is charged for is returned when it closes; a connection
is chosen for eviction only for what it holds besides the requests that it has handed
over, since an endpoint may be running these. The account knows no connection and reads
no clock.
"""

import dataclasses
import heapq
import math
from collections.abc import Callable

# Measured in CPython 3.11: a connection without a request takes 4.5 kB, and 1,000 heads
# of 4,000 lines of 4 bytes take 121 bytes for each line, which is two objects for the
# name and the value, a tuple, and its place in a list. Names and values of several
# bytes are counted as received on top.
CONNECTION_BYTES = 8_192
HEADER_BYTES = 128
WAITING_BYTES = 1_024  # A request that has not been passed to its handler.
# Handler, its task, and the connection to an endpoint.
REQUEST_BYTES = 16_384
# Part of the memory that is left for what is not counted, or counted too low.
MARGIN_FRACTION = 0.25
# The least part of the memory for callers, if the process is large at its start.
LEAST_FRACTION = 0.1
# Evictions go on until this part of the bound is held, so that each one of many small
# additions does not look at all connections again.
RELIEF_FRACTION = 0.9
# Callers that send or take this many bytes per second are not behind: a slow link of
# 0.5 Mbit/s is as fast.
STEADY_BYTES_PER_SECOND = 65_536
# What arrives or is taken faster counts for so long after it, so that a body which came
# at once and stopped just short of its end is behind soon.
MOST_AHEAD_SECONDS = 1.0
# A body that is behind for so long may be given up for another one.
STALLED_SECONDS = 1.0
LEAST_STALLED_BYTES = 16_384
LEAST_SECONDS = 0.001  # Lag of a caller that is not behind, to compare what they hold.


class Holding:
    """What one connection makes the instance hold."""

    __slots__ = (
        "_account",
        "address",
        "answer_bytes",
        "covered_until",
        "reading_bytes",
        "request_bytes",
    )

    def __init__(self, account: "MemoryAccount") -> None:
        self._account = account
        self.address = ""
        self.reading_bytes = 0  # Of the request that arrives, and unparsed input.
        self.request_bytes = 0  # Of complete requests without a response.
        self.answer_bytes = 0  # Of responses that the caller has not taken.
        # Until when what was sent or taken suffices for a steady caller.
        self.covered_until = 0.0

    @property
    def held_bytes(self) -> int:
        """All that the connection is charged for."""
        return (
            CONNECTION_BYTES
            + self.reading_bytes
            + self.request_bytes
            + self.answer_bytes
        )

    @property
    def evictable_bytes(self) -> int:
        """What an eviction returns at once.

        With requests in hand, it is only what is being read behind them.
        """
        if self.request_bytes:
            return self.reading_bytes
        return CONNECTION_BYTES + self.reading_bytes + self.answer_bytes

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing but the open connection."""
        return not (self.reading_bytes or self.request_bytes or self.answer_bytes)

    def set_reading(self, size: int) -> None:
        """Charge for what is being read."""
        self._account.held_bytes += size - self.reading_bytes
        self.reading_bytes = size

    def add_request(self, size: int) -> None:
        """Charge for a complete request; a negative size returns it."""
        self._account.held_bytes += size
        self.request_bytes += size

    def set_answers(self, size: int) -> None:
        """Charge for responses that have not been taken."""
        self._account.held_bytes += size - self.answer_bytes
        self.answer_bytes = size

    def restart(self, now: float) -> None:
        """Measure progress from now on."""
        self.covered_until = now

    def advance(self, size: int, now: float) -> None:
        """Note that the caller has sent or taken so many bytes."""
        covered = self.covered_until + size / STEADY_BYTES_PER_SECOND
        self.covered_until = min(covered, now + MOST_AHEAD_SECONDS)

    def burden(self, now: float) -> float:
        """Return what is held, times the seconds that the caller is behind."""
        return self.evictable_bytes * max(now - self.covered_until, LEAST_SECONDS)


@dataclasses.dataclass(slots=True)
class _Address:
    """The connections of one address, for a choice."""

    held_bytes: int = 0
    holdings: list[Holding] = dataclasses.field(default_factory=list)
    is_sorted: bool = False


class MemoryAccount:
    """Account of all connections of callers of one process."""

    def __init__(
        self,
        limit_bytes: float = math.inf,
        other_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._memory_bytes = limit_bytes
        # What is held for callers and counted elsewhere: responses being read.
        self._other_bytes = other_bytes
        self.held_bytes = 0
        self._holdings: set[Holding] = set()

    @classmethod
    def from_memory(
        cls, memory_bytes: int, start_bytes: int, other_bytes: Callable[[], int]
    ) -> "MemoryAccount":
        """Return the account of a process that has `start_bytes` at its start."""
        account = cls(memory_bytes, other_bytes)
        account.set_start(start_bytes)
        return account

    def set_start(self, process_bytes: int) -> None:
        """Set the bound for a process of this size, beside what callers hold now."""
        own = process_bytes - self.total_bytes
        most = (1.0 - MARGIN_FRACTION) * self._memory_bytes - own
        self.limit_bytes = max(most, LEAST_FRACTION * self._memory_bytes)

    @property
    def total_bytes(self) -> int:
        """All that callers make the instance hold."""
        return self.held_bytes + self._other_bytes()

    @property
    def is_full(self) -> bool:
        """Whether more is held than the bound allows."""
        return self.total_bytes > self.limit_bytes

    def open(self, holding: Holding, address: str, now: float) -> None:
        """Charge for a new connection, and count it with its address from now on."""
        holding.address = address
        holding.restart(now)
        self._holdings.add(holding)
        self.held_bytes += CONNECTION_BYTES

    def close(self, holding: Holding) -> None:
        """Return all that a connection is charged for, once."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            holding.set_reading(0)
            holding.set_answers(0)
            # Requests that go on without their caller return their part themselves.
            self.held_bytes -= CONNECTION_BYTES

    def choose(self, now: float) -> list[Holding]:
        """Return the connections to evict, those that come first in front.

        Idle ones return little, so they are chosen only if the others are not enough
        to get back to the bound.
        """
        excess = self.total_bytes - RELIEF_FRACTION * self.limit_bytes
        chosen, returned = self._choose(now, excess, idle=False)
        excess = self.total_bytes - self.limit_bytes - returned
        if excess > 0:
            chosen += self._choose(now, excess, idle=True)[0]
        return chosen

    def choose_stalled(self, now: float, size: int) -> list[Holding]:
        """Return the connections whose bodies to give up for one of this size."""
        stalled = [
            holding
            for holding in self._holdings
            if holding.reading_bytes >= LEAST_STALLED_BYTES
            and now - holding.covered_until >= STALLED_SECONDS
        ]
        stalled.sort(key=lambda holding: holding.burden(now), reverse=True)
        chosen: list[Holding] = []
        for holding in stalled:
            if size <= 0:
                break
            chosen.append(holding)
            size -= holding.reading_bytes
        return chosen

    def _choose(
        self, now: float, excess: float, *, idle: bool
    ) -> tuple[list[Holding], int]:
        addresses: dict[str, _Address] = {}
        for holding in self._holdings:
            item = addresses.setdefault(holding.address, _Address())
            item.held_bytes += holding.held_bytes
            if holding.evictable_bytes and holding.is_idle is idle:
                item.holdings.append(holding)
        heap = [
            (-item.held_bytes, name)
            for name, item in addresses.items()
            if item.holdings
        ]
        heapq.heapify(heap)
        chosen: list[Holding] = []
        returned = 0
        while heap and returned < excess:
            _, name = heap[0]
            item = addresses[name]
            if not item.is_sorted:
                item.holdings.sort(key=lambda holding: holding.burden(now))
                item.is_sorted = True
            holding = item.holdings.pop()
            chosen.append(holding)
            returned += holding.evictable_bytes
            item.held_bytes -= holding.evictable_bytes
            if item.holdings:
                heapq.heapreplace(heap, (-item.held_bytes, name))
            else:
                heapq.heappop(heap)
        return chosen, returned
