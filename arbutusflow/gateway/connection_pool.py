"""Kept connections to the endpoints, within this instance's share of their caps.

Invariant: a connection is either idle in the pool or owned by one exchange.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError

# Endpoints keep idle connections for about 10 s and say so in whole seconds; a
# request that is sent as the endpoint closes may or may not have run.
REUSE_FRACTION = 0.5
REUSE_SECONDS = 4.0
# A connection whose path or other end forgot it fails on the first write, which
# leaves the outcome of a request that may run only once unknown.
REUSE_AT_MOST_ONCE_SECONDS = 2.0
CONNECT_SECONDS = 0.3
# An endpoint resets connections beyond its cap right after they are made. Work that
# may run only once is not sent before such a reset would have arrived.
RESET_WAIT_FACTOR = 2.0  # In times that the connection took to open.
MAX_RESET_WAIT_SECONDS = 0.01
# Connections that are kept per address while the share of its cap is not known.
DEFAULT_IDLE = 2


class ConnectionPool:
    """Connections by address."""

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._idle: dict[Address, collections.deque[ClientConnection]] = {}
        self._open: collections.Counter[Address] = collections.Counter()
        self._idle_limit: dict[Address, int] = {}
        self.opened = 0

    def limit_idle(self, limits: dict[Address, int]) -> None:
        """Take over how many idle connections may be kept to each address.

        After a loss of power the other end keeps the connections that were open, and
        they count towards its cap until it closes them.
        """
        self._idle_limit = limits

    @contextlib.asynccontextmanager
    async def connection(
        self,
        address: Address,
        *,
        at_most_once: bool,
        timeout: float,
        fresh: bool = False,
    ) -> AsyncIterator[ClientConnection]:
        """Lend a connection; it returns to the pool if it is still usable.

        With `fresh` it carried nothing before, so no late answer can be taken for
        the next one.

        Raises ExchangeError with `sent` false if none can be opened.
        """
        conn = None if fresh else self._take(address, at_most_once)
        if conn is None:
            conn = await self._connect(address, at_most_once, timeout)
        self._open[address] += 1
        try:
            yield conn
        finally:
            self._open[address] -= 1
            idle = self._idle.setdefault(address, collections.deque())
            if conn.usable:
                idle.append(conn)
            else:
                conn.close()
            while len(idle) > self._idle_limit.get(address, DEFAULT_IDLE):
                idle.popleft().close()

    async def _connect(
        self, address: Address, at_most_once: bool, timeout: float
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        conn = await ClientConnection.open(
            address, min(timeout, CONNECT_SECONDS), self._id_header
        )
        self.opened += 1
        if at_most_once:
            wait = RESET_WAIT_FACTOR * (loop.time() - begun)
            await asyncio.sleep(min(wait, MAX_RESET_WAIT_SECONDS))
            if not conn.usable:
                raise ExchangeError("the new connection was reset", sent=False)
        return conn

    def _take(self, address: Address, at_most_once: bool) -> ClientConnection | None:
        idle = self._idle.get(address)
        if not idle:
            return None
        now = asyncio.get_running_loop().time()
        bound = REUSE_AT_MOST_ONCE_SECONDS if at_most_once else REUSE_SECONDS
        while idle:
            conn = idle[-1]  # The most recently used one is the safest.
            limit = min(bound, conn.idle_limit * REUSE_FRACTION)
            if conn.usable and now - conn.idle_since < limit:
                idle.pop()
                return conn
            if not conn.usable or now - conn.idle_since >= REUSE_SECONDS:
                idle.pop()
                conn.close()
                continue
            return None
        return None

    def busy(self, address: Address) -> int:
        """Return how many exchanges with the address are under way."""
        return self._open[address]

    def prune(self) -> None:
        """Close connections that will not be used again."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and (
                not idle[0].usable or now - idle[0].idle_since >= REUSE_SECONDS
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def drop(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()
