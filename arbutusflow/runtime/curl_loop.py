"""HTTP client: a `pycurl` multi handle driven by an event loop.

Invariants: every transfer completes exactly one future, and handles are used from the
loop's thread only. libcurl silently resends a request whose reused connection closes
before the response. A pre-request callback prevents this for non-repeatable requests
and for all requests with a body. The callback also lets non-repeatable requests use
only connections that were opened for them or delivered a complete response within the
last second. After a timeout, no connection that was open to that server at the time is
used again.
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

from arbutusflow.errors import EndpointError

CONNECT_TIMEOUT_MS = 300  # Connecting to an endpoint takes about 1 ms.
# A middlebox may silently drop connections that were idle for longer.
IDLE_CONNECTION_SECONDS = 5
# Non-repeatable requests reuse a connection only within this time of its last response.
RECENT_CONNECTION_SECONDS = 1.0
# For a connection that is evicted from the table, such requests open a new one.
MAX_RECENT_CONNECTIONS = 4_096
MAX_IDLE_HANDLES = 512
# How long pooled connections to a server are not used after a timeout: a middlebox that
# lost the state of one connection has usually lost that of the others, too. Afterwards
# they exceed the maximum idle time. libcurl compares it in whole seconds, so one second
# is added.
AVOID_POOL_SECONDS = IDLE_CONNECTION_SECONDS + 1
PROGRESS_CHECK_SECONDS = 0.1
MAX_KEPT_BODY_BYTES = 4_096  # Larger bodies are released when a handle becomes idle.
EPOLL_MASKS = {
    pycurl.POLL_NONE: 0,
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CurlRequest:
    """A request to one URL; `timeout_ms` covers the whole transfer.

    With `recent_connection` the request is sent at most once, on a connection that is
    new or delivered a response within `RECENT_CONNECTION_SECONDS`. With
    `fresh_connection` it is sent on a new connection, which is closed after the
    transfer. A transfer fails if no byte moves in either direction for `progress_ms`; 0
    disables this timeout.
    """

    method: str
    url: str
    headers: tuple[str, ...] = ()
    body: bytes = b""
    timeout_ms: int = 5_000
    progress_ms: int = 0
    fresh_connection: bool = False
    recent_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CurlResponse:
    """A complete response. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CurlError(EndpointError):
    """The transfer failed.

    `sent` is False only if no byte of the request can have reached the server.
    `refused` is True if the server refused the connection.
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
        self._recent_connections = _RecentConnections(clock)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
        # libcurl registers and removes sockets with each transfer. A separate epoll
        # object needs one system call for this; a reader of the event loop would also
        # need new objects.
        self._epoll = select.epoll()
        loop.add_reader(self._epoll.fileno(), self._on_sockets)
        self._watched: set[int] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timeout_at = math.inf
        self._is_processing_scheduled = False
        self._idle_transfers: dict[_HandleOptions, list[_Transfer]] = {}
        self._idle_count = 0
        self._running: dict[pycurl.Curl, _Transfer] = {}
        self._clock = clock
        self._avoid_pool_until: dict[str, float] = {}
        self._progress_timer: asyncio.TimerHandle | None = None

    async def perform(self, req: CurlRequest) -> CurlResponse:
        """Run a transfer; raise `CurlError` unless the complete response arrived."""
        transfer = self._acquire_transfer(_HandleOptions.of(req))
        fresh = req.fresh_connection or self._is_pool_avoided(req.url)
        transfer.prepare(req, self._loop.create_future(), fresh)
        handle = transfer.handle
        self._running[handle] = transfer
        if req.progress_ms and self._progress_timer is None:
            self._schedule_progress_check()
        self._multi.add_handle(handle)
        self._schedule_processing()
        try:
            response = await transfer.done
        finally:
            if self._running.pop(handle, None) is not None:
                self._multi.remove_handle(handle)
        # The handle of a failed transfer is not reused.
        self._release_transfer(transfer)
        return response

    def check_progress(self) -> None:
        """Fail the transfers that exceeded their progress timeout."""
        for handle, transfer in list(self._running.items()):
            if transfer.is_stalled():
                # Removing a handle before its transfer ends closes the connection.
                message = "no bytes sent or received within the progress timeout"
                self._finish(handle, pycurl.E_OPERATION_TIMEDOUT, message)

    def _schedule_progress_check(self) -> None:
        # One periodic check costs less than a timer for each transfer.
        self._progress_timer = self._loop.call_later(
            PROGRESS_CHECK_SECONDS, self._on_progress_timer
        )

    def _on_progress_timer(self) -> None:
        self._progress_timer = None
        self.check_progress()
        if self._running:
            self._schedule_progress_check()

    def _is_pool_avoided(self, url: str) -> bool:
        if not self._avoid_pool_until:
            return False
        origin = urllib.parse.urlsplit(url).netloc
        until = self._avoid_pool_until.get(origin, -math.inf)
        if until <= self._clock():
            self._avoid_pool_until.pop(origin, None)
            return False
        return True

    def close(self) -> None:
        """Fail the running transfers and release the handles."""
        for timer in (self._timer, self._progress_timer):
            if timer is not None:
                timer.cancel()
        for handle, transfer in list(self._running.items()):
            self._multi.remove_handle(handle)
            del self._running[handle]
            if not transfer.done.done():
                transfer.done.set_exception(
                    CurlError("the HTTP client was closed", 0, True, False)
                )
        self._idle_transfers.clear()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, None)
        if not self._epoll.closed:
            self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()

    def _acquire_transfer(self, options: "_HandleOptions") -> "_Transfer":
        idle = self._idle_transfers.get(options)
        if not idle:
            return _Transfer(options, self._recent_connections)
        self._idle_count -= 1
        return idle.pop()

    def _release_transfer(self, transfer: "_Transfer") -> None:
        if self._idle_count < MAX_IDLE_HANDLES and not self._epoll.closed:
            transfer.release()
            self._idle_transfers.setdefault(transfer.options, []).append(transfer)
            self._idle_count += 1

    def _watch_socket(
        self, poll_mode: int, fd: int, multi: object, data: object
    ) -> None:
        if self._epoll.closed:
            return
        if poll_mode == pycurl.POLL_REMOVE:
            if fd in self._watched:
                self._watched.remove(fd)
                self._epoll.unregister(fd)
            return
        mask = EPOLL_MASKS[poll_mode]
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
            self._schedule_processing()
            return
        self._timeout_at = self._loop.time() + timeout_ms / 1000
        # libcurl moves the timeout with each transfer, and it rarely expires. A timer
        # that fires earlier is kept; it checks the timeout when it fires.
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
        self._process_transfers()

    def _schedule_processing(self) -> None:
        """Call libcurl once for all transfers that start in this loop iteration."""
        if not self._is_processing_scheduled:
            self._is_processing_scheduled = True
            self._loop.call_soon(self._process_transfers)

    def _process_transfers(self) -> None:
        self._is_processing_scheduled = False
        # libcurl sets the next timeout, if any, during the call.
        self._timeout_at = math.inf
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_transfers()

    def _on_sockets(self) -> None:
        for fd, events in self._epoll.poll(0):
            mask = pycurl.CSELECT_IN if events & ~select.EPOLLOUT else 0
            if events & select.EPOLLOUT:
                mask |= pycurl.CSELECT_OUT
            # An earlier call in this loop may have closed the socket.
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
            # Nothing was sent, because the connection had been idle for too long.
            transfer.prepare_new_connection()
            self._running[handle] = transfer
            self._multi.add_handle(handle)
            self._schedule_processing()
        elif code:
            transfer.done.set_exception(transfer.error(code, message))
        else:
            transfer.record_response()
            transfer.done.set_result(transfer.response())


class _HandleOptions(NamedTuple):
    """Properties of a request that are fixed when its handle is created."""

    method: str
    has_body: bool
    recent_connection: bool

    @classmethod
    def of(cls, req: CurlRequest) -> Self:
        has_body = bool(req.body) or req.method in ("POST", "PUT")
        return cls(req.method, has_body, req.recent_connection)


Connection = tuple[str, str, int, int]  # Addresses and ports of both ends.


class _RecentConnections:
    """Time of the last complete response on each connection."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._last_responses: collections.OrderedDict[Connection, float] = (
            collections.OrderedDict()
        )

    def record_response(self, connection: Connection) -> None:
        """Record that a complete response has just arrived."""
        self._last_responses[connection] = self.clock()
        self._last_responses.move_to_end(connection)
        if len(self._last_responses) > MAX_RECENT_CONNECTIONS:
            self._last_responses.popitem(last=False)

    def is_recent(self, connection: Connection) -> bool:
        """Return whether the last response is within `RECENT_CONNECTION_SECONDS`."""
        last_response = self._last_responses.get(connection, -math.inf)
        return self.clock() - last_response <= RECENT_CONNECTION_SECONDS


class _Transfer:
    """A reusable handle that receives the response of one transfer at a time."""

    def __init__(
        self, options: _HandleOptions, recent_connections: _RecentConnections
    ) -> None:
        self.options = options
        self.is_stale = False
        self._recent_connections = recent_connections
        self._prevents_resend = options.has_body or options.recent_connection
        self._connection: Connection = ("", "", 0, 0)
        self._is_new_connection = False
        self._fresh = False
        self._forbids_reuse = False
        self.url = ""
        self._progress_seconds = math.inf
        self._progress = (0, 0, 0)
        self._progress_at = 0.0
        self._deadline = 0.0
        self.done: asyncio.Future[CurlResponse]
        self._header_lines: list[bytes] = []
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._request_attempts = 0
        self.handle = pycurl.Curl()
        setopt = self.handle.setopt
        setopt(pycurl.CUSTOMREQUEST, options.method)
        if options.has_body:
            setopt(pycurl.POST, 1)
        setopt(pycurl.NOSIGNAL, 1)
        setopt(pycurl.NOPROXY, "*")
        setopt(pycurl.TCP_NODELAY, 1)
        setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_SECONDS)
        setopt(pycurl.SOCKOPTFUNCTION, self._on_socket_opened)
        setopt(pycurl.PREREQFUNCTION, self._before_request)
        setopt(pycurl.HEADERFUNCTION, self._header_lines.append)
        setopt(pycurl.WRITEFUNCTION, self._body_parts.append)

    def prepare(
        self, req: CurlRequest, done: "asyncio.Future[CurlResponse]", fresh: bool
    ) -> None:
        """Configure the handle for the next request."""
        self.done = done
        self.url = req.url
        self._progress_seconds = req.progress_ms / 1000 or math.inf
        self._progress = (0, 0, 0)
        self._progress_at = self._recent_connections.clock()
        self._request_attempts = 0
        self._is_new_connection = self.is_stale = False
        self._deadline = self._recent_connections.clock() + req.timeout_ms / 1000
        setopt = self.handle.setopt
        setopt(pycurl.URL, req.url)
        # An empty Expect header disables `100-continue` and its round trip.
        setopt(pycurl.HTTPHEADER, [*req.headers, "Expect:"])
        if self.options.has_body:
            setopt(pycurl.POSTFIELDS, req.body)
            self._body_bytes = len(req.body)
        setopt(pycurl.TIMEOUT_MS, max(1, req.timeout_ms))
        setopt(pycurl.CONNECTTIMEOUT_MS, min(CONNECT_TIMEOUT_MS, req.timeout_ms))
        if self._fresh != fresh:
            setopt(pycurl.FRESH_CONNECT, int(fresh))
            self._fresh = fresh
        if self._forbids_reuse != req.fresh_connection:
            # Otherwise these connections would stay in the pool until it is full.
            setopt(pycurl.FORBID_REUSE, int(req.fresh_connection))
            self._forbids_reuse = req.fresh_connection

    def is_stalled(self) -> bool:
        """Return whether no byte moved within the progress timeout."""
        if self._progress_seconds == math.inf:
            return False
        sent = int(self.handle.getinfo(pycurl.SIZE_UPLOAD_T))
        progress = (len(self._header_lines), len(self._body_parts), sent)
        now = self._recent_connections.clock()
        if progress != self._progress:
            self._progress, self._progress_at = progress, now
        return now - self._progress_at >= self._progress_seconds

    def prepare_new_connection(self) -> None:
        """Prepare the same request for a new connection."""
        self._request_attempts = 0
        self._is_new_connection = self.is_stale = False
        self._fresh = True
        self._header_lines.clear()
        remaining_ms = int((self._deadline - self._recent_connections.clock()) * 1000)
        self.handle.setopt(pycurl.TIMEOUT_MS, max(1, remaining_ms))
        self.handle.setopt(pycurl.FRESH_CONNECT, 1)

    def record_response(self) -> None:
        """Record the response for the connection."""
        self._recent_connections.record_response(self._connection)

    def response(self) -> CurlResponse:
        """Return the response of a successful transfer."""
        headers = {}
        for line in self._header_lines:
            name, colon, value = line.decode("latin-1").partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        status = self.handle.getinfo(pycurl.RESPONSE_CODE)
        return CurlResponse(status, headers, b"".join(self._body_parts))

    def error(self, code: int, message: str) -> CurlError:
        """Return the error of a failed transfer."""
        getinfo = self.handle.getinfo
        sent = self._request_attempts > 1 or getinfo(pycurl.REQUEST_SIZE) > 0
        refused = getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
        refused = refused and code == pycurl.E_COULDNT_CONNECT
        return CurlError(message, code, sent, refused)

    def _on_socket_opened(self, fd: int, purpose: int) -> int:
        self._is_new_connection = True
        return int(pycurl.SOCKOPT_OK)

    def _before_request(self, *connection: Any) -> int:
        # libcurl resends a request if a reused connection closes before the response.
        # The request may have taken effect by then.
        self._request_attempts += 1
        if self._request_attempts > 1 and self._prevents_resend:
            return int(pycurl.PREREQFUNC_ABORT)
        if self.options.recent_connection and not self._is_new_connection:
            self.is_stale = not self._recent_connections.is_recent(connection)
            if self.is_stale:
                return int(pycurl.PREREQFUNC_ABORT)
        self._connection = connection
        return int(pycurl.PREREQFUNC_OK)

    def release(self) -> None:
        """Discard the data of the last transfer."""
        self._header_lines.clear()
        self._body_parts.clear()
        if self._body_bytes > MAX_KEPT_BODY_BYTES:
            self.handle.setopt(pycurl.POSTFIELDS, b"")
        self._body_bytes = 0


def set_body(handle: pycurl.Curl, method: str, body: bytes) -> None:
    """Make `handle` send `body`, which may contain any bytes."""
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    # COPYPOSTFIELDS of pycurl rejects zero bytes. Reading from a buffer also prevents
    # libcurl from resending the body by itself, because it cannot rewind the buffer.
    handle.setopt(pycurl.POSTFIELDSIZE_LARGE, len(body))
    handle.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)
