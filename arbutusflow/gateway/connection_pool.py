"""Pool of connections to endpoints, limited to this instance's share of their limits.

Invariant: a connection is either idle in the pool or used by one exchange.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError

# Fraction of the announced keep-alive time for which a connection is reused. Endpoints
# keep idle connections for about 10 s and announce it in whole seconds; whether a
# request that is sent while the endpoint closes the connection has run is not known.
KEEP_ALIVE_REUSE_FRACTION = 0.5
MAX_IDLE_SECONDS = 4.0
# If the peer or the network path has lost an idle connection, the first write on it
# fails. For a request that is not idempotent the outcome would then be unknown.
MAX_IDLE_AT_MOST_ONCE_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 0.3
# An endpoint resets connections above its limit right after accepting them. Requests
# that are not idempotent are sent only after such a reset would have arrived.
RESET_WAIT_FACTOR = 2.0  # In multiples of the time that it took to connect.
MAX_RESET_WAIT_SECONDS = 0.01
# Maximum number of idle connections per address while this instance's share of the
# endpoint's connection limit is not known.
DEFAULT_MAX_IDLE = 2


class ConnectionPool:
    """Idle and used connections by address."""

    def __init__(self, id_header: bytes, budget: BodyBudget | None = None) -> None:
        self._id_header = id_header
        self._budget = budget  # Memory for the bodies of responses.
        self._idle: dict[Address, collections.deque[ClientConnection]] = {}
        self._in_use: collections.Counter[Address] = collections.Counter()
        self._max_idle: dict[Address, int] = {}
        self.opened = 0
        self.strays = 0  # How often bytes arrived that belong to no request in flight.

    def set_max_idle(self, limits: dict[Address, int]) -> None:
        """Set the maximum number of idle connections to each address.

        After a power failure of this instance the endpoint keeps the connections that
        were open, and they count towards its connection limit until it closes them.
        """
        self._max_idle = limits

    @contextlib.asynccontextmanager
    async def connection(
        self,
        address: Address,
        *,
        at_most_once: bool,
        timeout: float,
        fresh: bool = False,
        request_id: bytes | None = None,
    ) -> AsyncIterator[ClientConnection]:
        """Provide a connection and return it to the pool if it is still usable.

        With `fresh` a new connection is opened, so that no late response to an earlier
        request can be taken for the response to this one. The connection has never
        carried a request with the identifier `request_id`.

        Raises ExchangeError with `sent` false if no connection can be opened.
        """
        conn = None if fresh else self._take_idle(address, at_most_once, request_id)
        if conn is None:
            conn = await self._connect(address, at_most_once, timeout)
        self._in_use[address] += 1
        try:
            yield conn
        finally:
            self._in_use[address] -= 1
            if not self._in_use[address]:
                del self._in_use[address]
            idle = self._idle.setdefault(address, collections.deque())
            if conn.usable:
                idle.append(conn)
            else:
                conn.close()
            while len(idle) > self._max_idle.get(address, DEFAULT_MAX_IDLE):
                idle.popleft().close()

    async def _connect(
        self, address: Address, at_most_once: bool, timeout: float
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        started = loop.time()
        conn = await ClientConnection.open(
            address,
            min(timeout, CONNECT_TIMEOUT_SECONDS),
            self._id_header,
            self._budget,
            self._count_stray,
        )
        self.opened += 1
        if at_most_once:
            wait = RESET_WAIT_FACTOR * (loop.time() - started)
            await asyncio.sleep(min(wait, MAX_RESET_WAIT_SECONDS))
            if not conn.usable:
                raise ExchangeError(
                    "the connection was reset after connecting", sent=False
                )
        return conn

    def _take_idle(
        self, address: Address, at_most_once: bool, request_id: bytes | None
    ) -> ClientConnection | None:
        idle = self._idle.get(address)
        if not idle:
            return None
        now = asyncio.get_running_loop().time()
        max_idle_seconds = (
            MAX_IDLE_AT_MOST_ONCE_SECONDS if at_most_once else MAX_IDLE_SECONDS
        )
        # The most recently used one is least likely to be stale.
        for index in range(len(idle) - 1, -1, -1):
            conn = idle[index]
            idle_seconds = now - conn.idle_since
            if not conn.usable or idle_seconds >= MAX_IDLE_SECONDS:
                del idle[index]
                conn.close()
                continue
            limit = min(
                max_idle_seconds, conn.keep_alive_seconds * KEEP_ALIVE_REUSE_FRACTION
            )
            if idle_seconds >= limit:
                return None
            if not conn.has_carried(request_id):
                del idle[index]
                return conn
        return None

    def _count_stray(self) -> None:
        self.strays += 1

    def in_use(self, address: Address) -> int:
        """Return the number of current exchanges with an address."""
        return self._in_use[address]

    def prune(self) -> None:
        """Close idle connections that are unusable or idle for too long."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and (
                not idle[0].usable or now - idle[0].idle_since >= MAX_IDLE_SECONDS
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close_idle(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()
