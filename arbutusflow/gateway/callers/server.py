"""HTTP/1.1 server for callers: accepts connections and ends them at a planned stop."""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable, Iterable

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import CallerConnection
from arbutusflow.gateway.callers.listener import Listener
from arbutusflow.gateway.callers.memory_account import Holding, MemoryAccount
from arbutusflow.gateway.callers.messages import (
    CallerRequest,
    CallerResponse,
    Headers,
)
from arbutusflow.gateway.callers.request_reader import ReadTurns
from arbutusflow.gateway.callers.turned_away import TurnedAway
from arbutusflow.gateway.closing import read_send_buffer_limit
from arbutusflow.gateway.model import Address, CallerLimits

# Idle connections that are closed at a time to make room for new ones.
CLOSED_FOR_ROOM = 16
CLOSED_AT_ONCE = 200  # Idle connections that one call of `close_idle` closes.
# For a request whose body takes longer than any caller waits.
MAX_READ_SECONDS = 60.0
# How much is returned at a time when the budget for bodies is full.
BODY_RELIEF_BYTES = 1_048_576
# After evictions that were not enough, none are tried for this time: what is held then
# is at endpoints, and looking at all connections takes milliseconds.
EVICTION_PAUSE_SECONDS = 0.05
# Used until a configuration is available.
DEFAULT_LIMITS = CallerLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)

Handler = Callable[[CallerRequest], Awaitable[CallerResponse]]
# Logs an exception raised by a handler; the first argument names the activity.
ErrorHandler = Callable[[str, BaseException], None]
# Called for a request that this instance ends without a response; the second argument
# names the cause.
CutHandler = Callable[[CallerRequest, str], None]
# Called when a connection ends with unanswered requests; the first argument names the
# cause.
EndHandler = Callable[[str, list[CallerRequest]], None]


class CallerServer:
    """Accepts connections from callers and tracks the open ones."""

    def __init__(
        self, handler: Handler, budget: BodyBudget, on_error: ErrorHandler
    ) -> None:
        self.handler = handler
        self.budget = budget
        # For responses that callers have not taken yet.
        self.unsent_budget = BodyBudget(lambda: 0)
        # What callers make this instance hold; without a bound unless it is replaced
        # before the server starts.
        self.account = MemoryAccount()
        self.unsent_bytes = 0  # Of the budget for responses, by this server.
        self.turned_away = TurnedAway()
        self.turns = ReadTurns()
        self._read_buffer: memoryview | None = None
        self._no_evictions_until = float("-inf")
        self._no_stalled_until = float("-inf")
        self._makes_room_soon = False
        self.on_error = on_error
        self.on_cut: CutHandler = lambda req, cause: None
        self.on_end: EndHandler = lambda cause, requests: None
        self.limits = DEFAULT_LIMITS
        # Returns by its headers within how many seconds a request has to be complete.
        self.read_seconds: Callable[[Headers], float] = lambda headers: MAX_READ_SECONDS
        self.stopping = False
        self.finished = False  # Whether `finish` was called.
        self.connections: set[CallerConnection] = set()
        self.max_connections: float = float("inf")
        self.send_buffer_limit = read_send_buffer_limit()
        self.address: Address | None = None  # At which it listens, as configured.
        # The latest one, and earlier ones with connections that wait to be set up.
        self._listeners: list[Listener] = []
        self._accepting_ended = False

    def _report_error(self, activity: str, exc: BaseException) -> None:
        self.on_error(activity, exc)

    async def start(self, host: str, port: int) -> None:
        """Start listening. Raises OSError."""
        self._listen(Address(host, port))

    def move(self, address: Address) -> None:
        """Listen at another address, and end listening at the one before.

        What was accepted there is served. Raises OSError; nothing changes then. Without
        effect before the start and after accepting was stopped.
        """
        if self.address in (None, address) or self._accepting_ended:
            return
        previous = self._listeners
        self._listen(address)
        for listener in previous:
            listener.stop()

    def _listen(self, address: Address) -> None:
        listener = Listener(
            lambda: CallerConnection(self), self._report_error, self._has_room
        )
        listener.start(address.host, address.port)
        waiting = [earlier for earlier in self._listeners if earlier.is_open]
        self._listeners = [*waiting, listener]
        self.address = address

    @property
    def port(self) -> int:
        """The listening port; port 0 lets the operating system choose it."""
        return self._listeners[-1].port

    def stop_accepting(self) -> None:
        """End listening soon, and keep the connections accepted until then."""
        self._accepting_ended = True
        for listener in self._listeners:
            listener.stop()

    def _has_room(self) -> bool:
        """Whether another connection may be accepted; else make room for the next."""
        accepting = sum(listener.accepting for listener in self._listeners)
        if len(self.connections) + accepting < self.max_connections:
            return True
        longest_idle = heapq.nsmallest(
            CLOSED_FOR_ROOM,
            (conn for conn in self.connections if conn.is_idle),
            key=lambda conn: conn.idle_since,
        )
        self._call_each(lambda conn: conn.close_if_idle(), longest_idle)
        return False

    def read_buffer(self, size: int) -> memoryview:
        """Return the memory for the bytes that are read next."""
        if self._read_buffer is None:
            self._read_buffer = memoryview(bytearray(size))
        return self._read_buffer

    def count_unsent(self, change: int) -> None:
        """Count responses that callers have not taken, or that they have taken."""
        self.unsent_bytes += change
        self.unsent_budget.count(change)
        if change > 0:
            self.make_room_soon()

    def make_room(self) -> bool:
        """Evict callers until less is held than the bound; return whether it is."""
        now = asyncio.get_running_loop().time()
        if now < self._no_evictions_until:
            return False
        self._call_each(lambda conn: conn.update_holding(), list(self.connections))
        chosen = set(self.account.choose(now))
        self._call_each(
            lambda conn: conn.evict(),
            [conn for conn in self.connections if conn.holding in chosen],
        )
        if self.account.is_full:
            self._no_evictions_until = now + EVICTION_PAUSE_SECONDS
        return not self.account.is_full

    def take_body(self, holding: Holding, size: int) -> bool:
        """Reserve memory for a part of a body, if need be that of stalled ones."""
        if self.budget.take(size):
            return True
        now = asyncio.get_running_loop().time()
        if now < self._no_stalled_until or not self.budget.fits(size):
            return False
        chosen = set(self.account.choose_stalled(now, size + BODY_RELIEF_BYTES))
        chosen.discard(holding)  # It goes on.
        if not chosen:
            self._no_stalled_until = now + EVICTION_PAUSE_SECONDS
            return False
        self._call_each(
            lambda conn: conn.evict("bodies_full"),
            [conn for conn in self.connections if conn.holding in chosen],
        )
        return self.budget.take(size)

    def make_room_soon(self) -> None:
        """Make room outside of the current call, if it is necessary."""
        if self.account.is_full and not self._makes_room_soon:
            self._makes_room_soon = True
            asyncio.get_running_loop().call_soon(self._make_room_if_full)

    def _make_room_if_full(self) -> None:
        self._makes_room_soon = False
        if self.account.is_full:
            self.make_room()

    def report_turned_away(self, holding: Holding, reason: str) -> None:
        """Report a caller that is rejected or closed for what it did or holds."""
        now = asyncio.get_running_loop().time()
        self.turned_away.report(holding.address, reason, holding.held_bytes, now)

    def close_after_responses(self) -> None:
        """Read no further requests on a connection after its next response.

        Requests that were read before are answered; then the connection is closed.
        """
        self.stopping = True
        self._call_each(lambda conn: conn.prepare_end(), list(self.connections))

    def close_idle(self) -> None:
        """Close connections without pending requests, except new ones.

        One call closes `CLOSED_AT_ONCE` of them, as the event loop has other work.
        """
        idle = (conn for conn in list(self.connections) if conn.is_idle)
        chosen = itertools.islice(idle, CLOSED_AT_ONCE)
        self._call_each(lambda conn: conn.close_if_idle(), chosen)

    def finish(self) -> None:
        """Process no further input, and cancel all handlers.

        A handler that is cancelled returns the final response to its request. Requests
        that are not complete, or that are read after this, get status 503.
        """
        self.finished = True
        self._call_each(lambda conn: conn.finish(), list(self.connections))

    def _call_each(
        self,
        method: Callable[[CallerConnection], None],
        connections: Iterable[CallerConnection],
    ) -> None:
        """Call a method for each of the connections, also after an error at one."""
        for conn in connections:
            try:
                method(conn)
            except Exception as exc:
                self.on_error("a connection of a caller", exc)

    def report_cut(self) -> None:
        """Report all complete requests whose response the end of the process cuts."""
        for conn in self.connections:
            conn.report_unanswered("process_ended")
            conn.report_unsent("response_unsent")

    @property
    def pending_requests(self) -> int:
        """Number of requests without a response."""
        return sum(conn.pending_requests for conn in self.connections)

    @property
    def is_busy(self) -> bool:
        """Whether a connection has or may soon have a request, or unsent bytes."""
        return any(listener.is_busy for listener in self._listeners) or any(
            conn.is_busy for conn in self.connections
        )
