"""HTTP client: a `pycurl` multi handle driven by an event loop.

Invariants: every transfer ends exactly one future; handles are used by the
loop's thread only. libcurl silently repeats a request whose reused connection
closes before the answer, so work that may not be repeated asks for a fresh
connection.
"""

import asyncio
import dataclasses
import errno
import io

import pycurl

from arbutusflow.domain.errors import EndpointError

CONNECT_TIMEOUT_MS = 300  # Endpoints open a connection in about 1 ms.
IDLE_CONNECTION_SECONDS = 5  # Older connections may have gone silent.
MAX_IDLE_HANDLES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class CurlRequest:
    """A request to one URL; `timeout_ms` covers the whole transfer."""

    method: str
    url: str
    headers: tuple[str, ...] = ()
    body: bytes = b""
    timeout_ms: int = 5_000
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
        self, loop: asyncio.AbstractEventLoop, max_host_connections: int = 100
    ) -> None:
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_host_connections)
        self._timer: asyncio.TimerHandle | None = None
        self._idle: list[pycurl.Curl] = []
        self._running: dict[pycurl.Curl, _Transfer] = {}

    async def perform(self, req: CurlRequest) -> CurlResponse:
        """Run a transfer; raise `CurlError` unless the whole answer arrived."""
        handle = self._idle.pop() if self._idle else pycurl.Curl()
        transfer = _Transfer(self._loop.create_future())
        _prepare(handle, req, transfer)
        self._running[handle] = transfer
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

    def close(self) -> None:
        """Fail the running transfers and free the handles."""
        if self._timer is not None:
            self._timer.cancel()
        for handle, transfer in list(self._running.items()):
            self._multi.remove_handle(handle)
            del self._running[handle]
            if not transfer.done.done():
                transfer.done.set_exception(
                    CurlError("the client was closed", 0, True, False)
                )
        self._idle.clear()

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
        if transfer.done.done():
            return
        if error is not None:
            transfer.done.set_exception(error)
            return
        response = CurlResponse(status, transfer.headers, transfer.body.getvalue())
        transfer.done.set_result(response)


class _Transfer:
    """Collects the answer of one transfer."""

    def __init__(self, done: "asyncio.Future[CurlResponse]") -> None:
        self.done = done
        self.headers: dict[str, str] = {}
        self.body = io.BytesIO()

    def header(self, line: bytes) -> None:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            self.headers[name.strip().lower()] = value.strip()


def set_body(handle: pycurl.Curl, method: str, body: bytes) -> None:
    """Make `handle` send `body`, which may hold any bytes."""
    # COPYPOSTFIELDS of pycurl rejects zero bytes, so the body is read from a buffer.
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.POSTFIELDSIZE_LARGE, len(body))
    handle.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)


def _prepare(handle: pycurl.Curl, req: CurlRequest, transfer: _Transfer) -> None:
    handle.setopt(pycurl.URL, req.url)
    handle.setopt(pycurl.CUSTOMREQUEST, req.method)
    # An empty Expect header avoids a round trip before the body is sent.
    handle.setopt(pycurl.HTTPHEADER, [*req.headers, "Expect:"])
    if req.body or req.method in ("POST", "PUT"):
        set_body(handle, req.method, req.body)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.NOPROXY, "*")
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, req.timeout_ms))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, min(CONNECT_TIMEOUT_MS, req.timeout_ms))
    handle.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_SECONDS)
    handle.setopt(pycurl.FRESH_CONNECT, int(req.fresh_connection))
    handle.setopt(pycurl.HEADERFUNCTION, transfer.header)
    handle.setopt(pycurl.WRITEFUNCTION, transfer.body.write)


def _error_of(handle: pycurl.Curl, code: int, message: str) -> CurlError:
    sent = handle.getinfo(pycurl.REQUEST_SIZE) > 0
    refused = handle.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
    refused = refused and code == pycurl.E_COULDNT_CONNECT
    return CurlError(message, code, sent, refused)
