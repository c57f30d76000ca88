"""HTTP client: a `pycurl` multi handle driven by an event loop.

Invariants: every transfer ends exactly one future; handles are used by the
loop's thread only. libcurl silently repeats a request whose reused connection
closes before the answer, so work that may not be repeated asks for a fresh
connection. After a timeout no connection that was open then is used again.
"""

import asyncio
import dataclasses
import errno
import io
import time
import urllib.parse
from collections.abc import Callable

import pycurl

from arbutusflow.domain.errors import EndpointError

CONNECT_TIMEOUT_MS = 300  # Endpoints open a connection in about 1 ms.
IDLE_CONNECTION_SECONDS = 5  # Older connections may have gone silent.
MAX_IDLE_HANDLES = 512
# A middlebox that lost track of one connection has usually lost the others, too.
# libcurl compares the idle time in whole seconds, so one second is added.
AVOID_POOL_SECONDS = IDLE_CONNECTION_SECONDS + 1
PROGRESS_CHECK_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CurlRequest:
    """A request to one URL; `timeout_ms` covers the whole transfer.

    A transfer without a byte in either direction for `progress_ms` is given up; 0
    switches this off. A fresh connection is closed after its transfer.
    """

    method: str
    url: str
    headers: tuple[str, ...] = ()
    body: bytes = b""
    timeout_ms: int = 5_000
    progress_ms: int = 0
    fresh_connection: bool = False


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
        self._clock = clock
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
        self._timer: asyncio.TimerHandle | None = None
        self._idle: list[pycurl.Curl] = []
        self._running: dict[pycurl.Curl, _Transfer] = {}
        self._avoid_pool_until: dict[str, float] = {}
        self._progress_timer: asyncio.TimerHandle | None = None

    async def perform(self, req: CurlRequest) -> CurlResponse:
        """Run a transfer; raise `CurlError` unless the whole answer arrived."""
        handle = self._idle.pop() if self._idle else pycurl.Curl()
        transfer = _Transfer(self._loop.create_future(), req, self._clock)
        _prepare(handle, req, transfer)
        if self._avoid_pool_until:
            self._avoid_pool(handle, req.url)
        self._running[handle] = transfer
        if req.progress_ms and self._progress_timer is None:
            self._schedule_progress_check()
        self._multi.add_handle(handle)
        self._set_timer(0)
        try:
            return await transfer.done
        finally:
            if self._running.pop(handle, None) is not None:
                self._multi.remove_handle(handle)
            handle.reset()
            if len(self._idle) < MAX_IDLE_HANDLES:
                self._idle.append(handle)

    def check_progress(self) -> None:
        """Give up the transfers that made no progress in time."""
        now = self._clock()
        for handle, transfer in list(self._running.items()):
            if now - transfer.moved_at < transfer.progress_seconds:
                continue
            message = f"no byte for {transfer.progress_seconds:g} s"
            error = _error_of(handle, pycurl.E_OPERATION_TIMEDOUT, message)
            # Removing a handle before its transfer ends closes the connection.
            self._finish(handle, error)

    def close(self) -> None:
        """Fail the running transfers and free the handles."""
        if self._timer is not None:
            self._timer.cancel()
        if self._progress_timer is not None:
            self._progress_timer.cancel()
        for handle, transfer in list(self._running.items()):
            self._multi.remove_handle(handle)
            del self._running[handle]
            if not transfer.done.done():
                transfer.done.set_exception(
                    CurlError("the client was closed", 0, True, False)
                )
        self._idle.clear()

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

    def _avoid_pool(self, handle: pycurl.Curl, url: str) -> None:
        origin = _origin_of(url)
        until = self._avoid_pool_until.get(origin)
        if until is None:
            return
        if until <= self._clock():
            del self._avoid_pool_until[origin]
            return
        handle.setopt(pycurl.FRESH_CONNECT, 1)

    def _watch_socket(self, what: int, fd: int, multi: object, data: object) -> None:
        self._loop.remove_reader(fd)
        self._loop.remove_writer(fd)
        if what & pycurl.POLL_IN and what != pycurl.POLL_REMOVE:
            self._loop.add_reader(fd, self._on_socket, fd, pycurl.CSELECT_IN)
        if what & pycurl.POLL_OUT and what != pycurl.POLL_REMOVE:
            self._loop.add_writer(fd, self._on_socket, fd, pycurl.CSELECT_OUT)

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(timeout_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _on_socket(self, fd: int, mask: int) -> None:
        self._act(fd, mask)

    def _act(self, fd: int, mask: int) -> None:
        self._multi.socket_action(fd, mask)
        while True:
            queued, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._finish(handle, None)
            for handle, code, message in failed:
                self._finish(handle, _error_of(handle, code, message))
            if not queued:
                return

    def _finish(self, handle: pycurl.Curl, error: CurlError | None) -> None:
        transfer = self._running.pop(handle, None)
        if transfer is None:
            return
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        self._multi.remove_handle(handle)
        if error is not None and error.code == pycurl.E_OPERATION_TIMEDOUT:
            until = self._clock() + AVOID_POOL_SECONDS
            self._avoid_pool_until[_origin_of(transfer.url)] = until
        if transfer.done.done():
            return
        if error is not None:
            transfer.done.set_exception(error)
            return
        response = CurlResponse(status, transfer.headers, transfer.body.getvalue())
        transfer.done.set_result(response)


class _Transfer:
    """Collects the answer of one transfer."""

    def __init__(
        self,
        done: "asyncio.Future[CurlResponse]",
        req: CurlRequest,
        clock: Callable[[], float],
    ) -> None:
        self.done = done
        self.url = req.url
        self.headers: dict[str, str] = {}
        self.body = io.BytesIO()
        self.progress_seconds = req.progress_ms / 1000 or float("inf")
        self._upload = io.BytesIO(req.body)
        self._clock = clock
        self.moved_at = clock()

    def read(self, size: int) -> bytes:
        self.moved_at = self._clock()
        return self._upload.read(size)

    def write(self, data: bytes) -> int:
        self.moved_at = self._clock()
        return self.body.write(data)

    def header(self, line: bytes) -> None:
        self.moved_at = self._clock()
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            self.headers[name.strip().lower()] = value.strip()


def set_body(
    handle: pycurl.Curl, method: str, size: int, read: Callable[[int], bytes]
) -> None:
    """Make `handle` send a body of `size` bytes, which may be any bytes."""
    # COPYPOSTFIELDS of pycurl rejects zero bytes, so the body is read from a buffer.
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.POSTFIELDSIZE_LARGE, size)
    handle.setopt(pycurl.READFUNCTION, read)


def _prepare(handle: pycurl.Curl, req: CurlRequest, transfer: _Transfer) -> None:
    handle.setopt(pycurl.URL, req.url)
    handle.setopt(pycurl.CUSTOMREQUEST, req.method)
    # An empty Expect header avoids a round trip before the body is sent.
    handle.setopt(pycurl.HTTPHEADER, [*req.headers, "Expect:"])
    if req.body or req.method in ("POST", "PUT"):
        set_body(handle, req.method, len(req.body), transfer.read)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.NOPROXY, "*")
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, req.timeout_ms))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, min(CONNECT_TIMEOUT_MS, req.timeout_ms))
    handle.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_SECONDS)
    handle.setopt(pycurl.FRESH_CONNECT, int(req.fresh_connection))
    # Otherwise each of them would stay open in the pool until it is full.
    handle.setopt(pycurl.FORBID_REUSE, int(req.fresh_connection))
    handle.setopt(pycurl.HEADERFUNCTION, transfer.header)
    handle.setopt(pycurl.WRITEFUNCTION, transfer.write)


def _origin_of(url: str) -> str:
    return urllib.parse.urlsplit(url).netloc


def _error_of(handle: pycurl.Curl, code: int, message: str) -> CurlError:
    sent = handle.getinfo(pycurl.REQUEST_SIZE) > 0
    refused = handle.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
    refused = refused and code == pycurl.E_COULDNT_CONNECT
    return CurlError(message, code, sent, refused)
