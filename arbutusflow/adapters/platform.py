"""Client for the platform's object API and its list of instances.

Calls block and run on a `concurrent.futures` executor. Invariant: a conditional
update whose response did not arrive is reported as `Unknown`, never as a success or
a conflict.
"""

import concurrent.futures
import io
import threading
import urllib.parse
from collections.abc import Callable
from typing import Self, TypeVar

import msgspec
import pycurl

from arbutusflow.errors import PlatformUnavailableError
from arbutusflow.runtime.curl_loop import set_body

CALL_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 500
MAX_CONCURRENT_CALLS = 8
VERSION_HEADER = "object-version"

Result = TypeVar("Result")


class StoredObject(msgspec.Struct, frozen=True):
    """An object stored by the platform; version 0 means that it does not exist."""

    name: str
    version: int
    value: bytes


class Changes(msgspec.Struct, frozen=True):
    """Objects that changed after a revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


class PlatformInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list, which may be out of date."""

    instance: str
    zone: str
    host: str
    port: int
    state: str


class Written(msgspec.Struct, frozen=True):
    """The update took effect."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """The object has another version; nothing changed."""

    version: int


class Unknown(msgspec.Struct, frozen=True):
    """No valid response arrived; the update may have taken effect."""

    detail: str


WriteResult = Written | Conflict | Unknown


class PlatformClient:
    """Calls the platform, each time on a thread of a small pool."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS, thread_name_prefix="platform"
        )
        self._local = threading.local()
        self._failures = 0
        self.calls: dict[str, int] = {}

    @classmethod
    def from_config(cls, url: str) -> Self:
        """Return a client for the platform at `url`."""
        return cls(url)

    def read(self, name: str) -> "concurrent.futures.Future[StoredObject]":
        """Read an object; raise `PlatformUnavailableError` without a response."""
        return self._submit("read", self._read, name)

    def write(
        self, name: str, if_version: int, value: bytes
    ) -> "concurrent.futures.Future[WriteResult]":
        """Write an object if its version is `if_version` (0: it must not exist)."""
        return self._submit("write", self._write, name, if_version, value)

    def watch(
        self, after_revision: int, wait_ms: int
    ) -> "concurrent.futures.Future[Changes]":
        """Wait up to `wait_ms` for objects that change after a revision."""
        return self._submit("watch", self._watch, after_revision, wait_ms)

    def instances(self) -> "concurrent.futures.Future[tuple[PlatformInstance, ...]]":
        """Return the platform's list of instances."""
        return self._submit("instances", self._instances)

    def close(self) -> None:
        """Cancel calls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(
        self, kind: str, call: Callable[..., Result], *args: object
    ) -> "concurrent.futures.Future[Result]":
        self.calls[kind] = self.calls.get(kind, 0) + 1
        return self._executor.submit(call, *args)

    def _read(self, name: str) -> StoredObject:
        status, headers, body = self._call("GET", f"/objects/{_quote_name(name)}")
        if status == 404:
            return StoredObject(name, 0, b"")
        if status != 200:
            raise PlatformUnavailableError(
                f"reading {name} failed with status {status}"
            )
        return StoredObject(name, int(headers[VERSION_HEADER]), body)

    def _write(self, name: str, if_version: int, value: bytes) -> WriteResult:
        try:
            status, headers, _ = self._call(
                "PUT",
                f"/objects/{_quote_name(name)}",
                value,
                (f"If-Version: {if_version}",),
            )
        except PlatformUnavailableError as exc:
            return Unknown(str(exc))
        if status == 200:
            return Written(int(headers[VERSION_HEADER]))
        if status == 409:
            return Conflict(int(headers[VERSION_HEADER]))
        return Unknown(f"writing {name} failed with status {status}")

    def _watch(self, after_revision: int, wait_ms: int) -> Changes:
        path = f"/changes?after={after_revision}&wait_ms={wait_ms}"
        status, _, body = self._call("GET", path, timeout_ms=wait_ms + CALL_TIMEOUT_MS)
        if status != 200:
            raise PlatformUnavailableError(f"the watch failed with status {status}")
        return msgspec.msgpack.decode(body, type=Changes)

    def _instances(self) -> tuple[PlatformInstance, ...]:
        status, _, body = self._call("GET", "/instances")
        if status != 200:
            raise PlatformUnavailableError(
                f"listing instances failed with status {status}"
            )
        return msgspec.json.decode(body, type=tuple[PlatformInstance, ...])

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: tuple[str, ...] = (),
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, dict[str, str], bytes]:
        handle = self._thread_handle()
        response_body = io.BytesIO()
        response_headers: dict[str, str] = {}

        def collect(line: bytes) -> None:
            name, colon, value = line.decode("latin-1").partition(":")
            if colon:
                response_headers[name.strip().lower()] = value.strip()

        handle.setopt(pycurl.URL, self._url + path)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if body is not None:
            set_body(handle, method, body)
            # libcurl resends a request if a reused connection was closed. The second
            # response would report a conflict with the effect of the first request.
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.NOPROXY, "*")
        handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.WRITEFUNCTION, response_body.write)
        handle.setopt(pycurl.HEADERFUNCTION, collect)
        try:
            handle.perform()
        except pycurl.error as exc:
            self._failures += 1
            raise PlatformUnavailableError(f"platform call failed: {exc}") from exc
        return (
            handle.getinfo(pycurl.RESPONSE_CODE),
            response_headers,
            response_body.getvalue(),
        )

    def _thread_handle(self) -> pycurl.Curl:
        """Return this thread's handle; replace it after a failure in any thread."""
        # Connections of several threads often become unresponsive together. Without
        # this, each of them would time out separately.
        failures = self._failures
        if getattr(self._local, "failures", None) != failures:
            self._local.handle = pycurl.Curl()
            self._local.failures = failures
        handle: pycurl.Curl = self._local.handle
        handle.reset()
        return handle


def _quote_name(name: str) -> str:
    return urllib.parse.quote(name, safe="/")
