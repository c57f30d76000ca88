"""HTTP client: a `pycurl` multi handle driven by an event loop.

Invariants: every transfer ends exactly one future; handles are used by the
loop's thread only. libcurl silently repeats a request whose reused connection
closes before the answer; a callback before each request prevents that for work
that may not be repeated and for all bodies. The same callback lets work that may
not be repeated go out only on a connection that was opened for it or brought a
whole answer within the last second. After a timeout no connection that was open
then is used again.
"""

import asyncio
import collections
import dataclasses
import errno
import io
import math
import select
import time
import urllib.parse
from collections.abc import Callable
from typing import Any, NamedTuple, Self

import pycurl

from arbutusflow.domain.errors import EndpointError

CONNECT_TIMEOUT_MS = 300  # Endpoints open a connection in about 1 ms.
IDLE_CONNECTION_SECONDS = 5  # Older connections may have gone silent.
LIVE_SECONDS = 1.0  # A connection that answered so recently counts as alive.
MAX_LIVE_CONNECTIONS = 4_096  # One that is forgotten is replaced by a new one.
MAX_IDLE_HANDLES = 512
# A middlebox that lost track of one connection has usually lost the others, too.
# libcurl compares the idle time in whole seconds, so one second is added.
AVOID_POOL_SECONDS = IDLE_CONNECTION_SECONDS + 1
PROGRESS_CHECK_SECONDS = 0.1
KEPT_BODY_BYTES = 4_096  # An idle handle keeps no larger body in memory.
EPOLL_MASKS = {
    pycurl.POLL_NONE: 0,
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CurlRequest:
    """A request to one URL; `timeout_ms` covers the whole transfer.

    With `live_connection` it is sent at most once, on a connection that is new or
    was used within `LIVE_SECONDS`. A transfer without a byte in either direction for
    `progress_ms` is given up; 0 switches this off. A fresh connection is closed
    after its transfer.
    """

    method: str
    url: str
    headers: tuple[str, ...] = ()
    body: bytes = b""
    timeout_ms: int = 5_000
    progress_ms: int = 0
    fresh_connection: bool = False
    live_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CurlResponse:
    """A whole answer. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CurlError(EndpointError):
    """The transfer failed.

    `sent` is False only if no byte of the request can have reached the server;
    `refused` tells that the connection was refused.
    """

    def __init__(self, message: str, code: int, sent: bool, refused: bool) -> None:
        super().__init__(message)
        self.code = code
        self.sent = sent
        self.refused = refused


class CurlLoop:
    """Runs transfers concurrently on an event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_host_connections: int = 100,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._loop = loop
        self._live = _LiveConnections(clock)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
        # libcurl changes its sockets with each transfer. An epoll object of their
        # own costs a system call then; readers of the loop cost objects as well.
        self._epoll = select.epoll()
        loop.add_reader(self._epoll.fileno(), self._on_sockets)
        self._watched: set[int] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timeout_at = math.inf
        self._is_due = False
        self._idle: dict[_Shape, list[_Transfer]] = {}
        self._idle_count = 0
        self._running: dict[pycurl.Curl, _Transfer] = {}
        self._clock = clock
        self._avoid_pool_until: dict[str, float] = {}
        self._progress_timer: asyncio.TimerHandle | None = None

    async def perform(self, req: CurlRequest) -> CurlResponse:
        """Run a transfer; raise `CurlError` unless the whole answer arrived."""
        transfer = self._take(_Shape.of(req))
        fresh = req.fresh_connection or self._avoids_pool(req.url)
        transfer.prepare(req, self._loop.create_future(), fresh)
        handle = transfer.handle
        self._running[handle] = transfer
        if req.progress_ms and self._progress_timer is None:
            self._schedule_progress_check()
        self._multi.add_handle(handle)
        self._act_soon()
        try:
            response = await transfer.done
        finally:
            if self._running.pop(handle, None) is not None:
                self._multi.remove_handle(handle)
        # The handle of a failed transfer is not used again.
        self._give_back(transfer)
        return response

    def check_progress(self) -> None:
        """Give up the transfers that made no progress in time."""
        for handle, transfer in list(self._running.items()):
            if transfer.is_silent():
                # Removing a handle before its transfer ends closes the connection.
                message = "no byte arrived or left in time"
                self._finish(handle, pycurl.E_OPERATION_TIMEDOUT, message)

    def _schedule_progress_check(self) -> None:
        # One check for all transfers costs less than a timer for each.
        self._progress_timer = self._loop.call_later(
            PROGRESS_CHECK_SECONDS, self._on_progress_timer
        )

    def _on_progress_timer(self) -> None:
        self._progress_timer = None
        self.check_progress()
        if self._running:
            self._schedule_progress_check()

    def _avoids_pool(self, url: str) -> bool:
        if not self._avoid_pool_until:
            return False
        origin = urllib.parse.urlsplit(url).netloc
        until = self._avoid_pool_until.get(origin, -math.inf)
        if until <= self._clock():
            self._avoid_pool_until.pop(origin, None)
            return False
        return True

    def close(self) -> None:
        """Fail the running transfers and free the handles."""
        for timer in (self._timer, self._progress_timer):
            if timer is not None:
                timer.cancel()
        for handle, transfer in list(self._running.items()):
            self._multi.remove_handle(handle)
            del self._running[handle]
            if not transfer.done.done():
                transfer.done.set_exception(
                    CurlError("the client was closed", 0, True, False)
                )
        self._idle.clear()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, None)
        if not self._epoll.closed:
            self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()

    def _take(self, shape: "_Shape") -> "_Transfer":
        idle = self._idle.get(shape)
        if not idle:
            return _Transfer(shape, self._live)
        self._idle_count -= 1
        return idle.pop()

    def _give_back(self, transfer: "_Transfer") -> None:
        if self._idle_count < MAX_IDLE_HANDLES and not self._epoll.closed:
            transfer.release()
            self._idle.setdefault(transfer.shape, []).append(transfer)
            self._idle_count += 1

    def _watch_socket(self, what: int, fd: int, multi: object, data: object) -> None:
        if self._epoll.closed:
            return
        if what == pycurl.POLL_REMOVE:
            if fd in self._watched:
                self._watched.remove(fd)
                self._epoll.unregister(fd)
            return
        mask = EPOLL_MASKS[what]
        if fd in self._watched:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
            self._watched.add(fd)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timeout_at = math.inf
            return
        if timeout_ms == 0:
            self._act_soon()
            return
        self._timeout_at = self._loop.time() + timeout_ms / 1000
        # Most timeouts move with each transfer and never pass. A timer that is due
        # earlier stays and looks at the time then.
        if self._timer is None or self._timer.when() > self._timeout_at:
            self._start_timer()

    def _start_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._timeout_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._timeout_at > self._loop.time():
            if self._timeout_at < math.inf:
                self._start_timer()
            return
        self._act()

    def _act_soon(self) -> None:
        """Let libcurl act once for all transfers that begin in this turn."""
        if not self._is_due:
            self._is_due = True
            self._loop.call_soon(self._act)

    def _act(self) -> None:
        self._is_due = False
        # libcurl sets the next timeout, if there is one, during the call.
        self._timeout_at = math.inf
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_transfers()

    def _on_sockets(self) -> None:
        for fd, events in self._epoll.poll(0):
            mask = pycurl.CSELECT_IN if events & ~select.EPOLLOUT else 0
            if events & select.EPOLLOUT:
                mask |= pycurl.CSELECT_OUT
            # An earlier action of this round may have closed the socket.
            if fd in self._watched:
                self._multi.socket_action(fd, mask)
        self._finish_transfers()

    def _finish_transfers(self) -> None:
        while True:
            queued, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._finish(handle)
            for handle, code, message in failed:
                self._finish(handle, code, message)
            if not queued:
                return

    def _finish(self, handle: pycurl.Curl, code: int = 0, message: str = "") -> None:
        transfer = self._running.pop(handle, None)
        if transfer is None:
            return
        self._multi.remove_handle(handle)
        if code == pycurl.E_OPERATION_TIMEDOUT:
            origin = urllib.parse.urlsplit(transfer.url).netloc
            self._avoid_pool_until[origin] = self._clock() + AVOID_POOL_SECONDS
        if transfer.done.done():
            return
        if code and transfer.is_stale:
            # Nothing was sent, because the connection was idle for too long.
            transfer.use_new_connection()
            self._running[handle] = transfer
            self._multi.add_handle(handle)
            self._act_soon()
        elif code:
            transfer.done.set_exception(transfer.error(code, message))
        else:
            transfer.note_answer()
            transfer.done.set_result(transfer.response())


class _Shape(NamedTuple):
    """What a handle is prepared for; it never changes for a handle."""

    method: str
    has_body: bool
    live_connection: bool

    @classmethod
    def of(cls, req: CurlRequest) -> Self:
        has_body = bool(req.body) or req.method in ("POST", "PUT")
        return cls(req.method, has_body, req.live_connection)


Connection = tuple[str, str, int, int]  # Addresses and ports of both ends.


class _LiveConnections:
    """Connections that brought a whole answer, by the time of the last one."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._answered: collections.OrderedDict[Connection, float] = (
            collections.OrderedDict()
        )

    def note(self, connection: Connection) -> None:
        """Note that a whole answer arrived now."""
        self._answered[connection] = self.clock()
        self._answered.move_to_end(connection)
        if len(self._answered) > MAX_LIVE_CONNECTIONS:
            self._answered.popitem(last=False)

    def includes(self, connection: Connection) -> bool:
        """Tell whether the last answer is recent enough."""
        answered = self._answered.get(connection, -math.inf)
        return self.clock() - answered <= LIVE_SECONDS


class _Transfer:
    """A prepared handle that collects the answer of one transfer at a time."""

    def __init__(self, shape: _Shape, live: _LiveConnections) -> None:
        self.shape = shape
        self.is_stale = False
        self._live = live
        self._sends_once = shape.has_body or shape.live_connection
        self._connection: Connection = ("", "", 0, 0)
        self._opened = False
        self._fresh = False
        self._closes = False
        self.url = ""
        self._progress_seconds = math.inf
        self._moved = (0, 0, 0)
        self._moved_at = 0.0
        self._deadline = 0.0
        self.done: asyncio.Future[CurlResponse]
        self._lines: list[bytes] = []
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._tries = 0
        self.handle = pycurl.Curl()
        setopt = self.handle.setopt
        setopt(pycurl.CUSTOMREQUEST, shape.method)
        if shape.has_body:
            setopt(pycurl.POST, 1)
        setopt(pycurl.NOSIGNAL, 1)
        setopt(pycurl.NOPROXY, "*")
        setopt(pycurl.TCP_NODELAY, 1)
        setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_SECONDS)
        setopt(pycurl.SOCKOPTFUNCTION, self._on_opened)
        setopt(pycurl.PREREQFUNCTION, self._before_request)
        setopt(pycurl.HEADERFUNCTION, self._lines.append)
        setopt(pycurl.WRITEFUNCTION, self._parts.append)

    def prepare(
        self, req: CurlRequest, done: "asyncio.Future[CurlResponse]", fresh: bool
    ) -> None:
        """Set what differs between requests."""
        self.done = done
        self.url = req.url
        self._progress_seconds = req.progress_ms / 1000 or math.inf
        self._moved = (0, 0, 0)
        self._moved_at = self._live.clock()
        self._tries = 0
        self._opened = self.is_stale = False
        self._deadline = self._live.clock() + req.timeout_ms / 1000
        setopt = self.handle.setopt
        setopt(pycurl.URL, req.url)
        # An empty Expect header avoids a round trip before the body is sent.
        setopt(pycurl.HTTPHEADER, [*req.headers, "Expect:"])
        if self.shape.has_body:
            setopt(pycurl.POSTFIELDS, req.body)
            self._body_bytes = len(req.body)
        setopt(pycurl.TIMEOUT_MS, max(1, req.timeout_ms))
        setopt(pycurl.CONNECTTIMEOUT_MS, min(CONNECT_TIMEOUT_MS, req.timeout_ms))
        if self._fresh != fresh:
            setopt(pycurl.FRESH_CONNECT, int(fresh))
            self._fresh = fresh
        if self._closes != req.fresh_connection:
            # Otherwise each of them would stay open in the pool until it is full.
            setopt(pycurl.FORBID_REUSE, int(req.fresh_connection))
            self._closes = req.fresh_connection

    def is_silent(self) -> bool:
        """Tell whether no byte moved for longer than the request allows."""
        if self._progress_seconds == math.inf:
            return False
        sent = int(self.handle.getinfo(pycurl.SIZE_UPLOAD_T))
        moved = (len(self._lines), len(self._parts), sent)
        now = self._live.clock()
        if moved != self._moved:
            self._moved, self._moved_at = moved, now
        return now - self._moved_at >= self._progress_seconds

    def use_new_connection(self) -> None:
        """Prepare the same request for a connection of its own."""
        self._tries = 0
        self._opened = self.is_stale = False
        self._fresh = True
        self._lines.clear()
        remaining_ms = int((self._deadline - self._live.clock()) * 1000)
        self.handle.setopt(pycurl.TIMEOUT_MS, max(1, remaining_ms))
        self.handle.setopt(pycurl.FRESH_CONNECT, 1)

    def note_answer(self) -> None:
        """Note that the connection is alive."""
        self._live.note(self._connection)

    def response(self) -> CurlResponse:
        """Return the answer once the transfer has succeeded."""
        headers = {}
        for line in self._lines:
            name, colon, value = line.decode("latin-1").partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        status = self.handle.getinfo(pycurl.RESPONSE_CODE)
        return CurlResponse(status, headers, b"".join(self._parts))

    def error(self, code: int, message: str) -> CurlError:
        """Return why the transfer failed."""
        getinfo = self.handle.getinfo
        sent = self._tries > 1 or getinfo(pycurl.REQUEST_SIZE) > 0
        refused = getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
        refused = refused and code == pycurl.E_COULDNT_CONNECT
        return CurlError(message, code, sent, refused)

    def _on_opened(self, fd: int, purpose: int) -> int:
        self._opened = True
        return int(pycurl.SOCKOPT_OK)

    def _before_request(self, *connection: Any) -> int:
        # libcurl sends a request again whose reused connection closes before the
        # answer. The request may have taken effect by then.
        self._tries += 1
        if self._tries > 1 and self._sends_once:
            return int(pycurl.PREREQFUNC_ABORT)
        if self.shape.live_connection and not self._opened:
            self.is_stale = not self._live.includes(connection)
            if self.is_stale:
                return int(pycurl.PREREQFUNC_ABORT)
        self._connection = connection
        return int(pycurl.PREREQFUNC_OK)

    def release(self) -> None:
        """Drop what belongs to the last transfer."""
        self._lines.clear()
        self._parts.clear()
        if self._body_bytes > KEPT_BODY_BYTES:
            self.handle.setopt(pycurl.POSTFIELDS, b"")
        self._body_bytes = 0


def set_body(handle: pycurl.Curl, method: str, body: bytes) -> None:
    """Make `handle` send `body`, which may hold any bytes."""
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    # COPYPOSTFIELDS of pycurl rejects zero bytes. Reading from a buffer also keeps
    # libcurl from sending the body again by itself: it cannot rewind the buffer.
    handle.setopt(pycurl.POSTFIELDSIZE_LARGE, len(body))
    handle.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)
