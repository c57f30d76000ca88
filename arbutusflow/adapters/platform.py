"""Client of the platform's object API and of its list of instances.

Calls block; callers run them on a `concurrent.futures` executor. Invariant: a
conditional update whose answer did not arrive is reported as `Unknown`, never
as a success or a conflict.
"""

import concurrent.futures
import io
import threading
import urllib.parse
from collections.abc import Callable
from typing import Self, TypeVar

import msgspec
import pycurl

from arbutusflow.domain.errors import PlatformUnavailableError
from arbutusflow.runtime.curl_loop import set_body

CALL_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 500
MAX_CONCURRENT_CALLS = 8
VERSION_HEADER = "object-version"

Answer = TypeVar("Answer")


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform holds it; version 0 means that it does not exist."""

    name: str
    version: int
    value: bytes


class Changes(msgspec.Struct, frozen=True):
    """Objects that changed after a revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance as the platform lists it; the list lags."""

    instance: str
    zone: str
    host: str
    port: int
    state: str


class Written(msgspec.Struct, frozen=True):
    """The update took effect."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """The object had another version; nothing changed."""

    version: int


class Unknown(msgspec.Struct, frozen=True):
    """The answer was lost; the update may have taken effect."""

    detail: str


WriteResult = Written | Conflict | Unknown


class PlatformClient:
    """Calls to the platform, each on a thread of a small pool."""

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
        """Return a client of the platform at `url`."""
        return cls(url)

    def read(self, name: str) -> "concurrent.futures.Future[StoredObject]":
        """Read one object; `PlatformUnavailableError` if there is no answer."""
        return self._submit("read", self._read, name)

    def write(
        self, name: str, if_version: int, value: bytes
    ) -> "concurrent.futures.Future[WriteResult]":
        """Update an object if its version is `if_version` (0: it must not exist)."""
        return self._submit("write", self._write, name, if_version, value)

    def watch(
        self, after_revision: int, wait_ms: int
    ) -> "concurrent.futures.Future[Changes]":
        """Wait for objects that changed after a revision."""
        return self._submit("watch", self._watch, after_revision, wait_ms)

    def instances(self) -> "concurrent.futures.Future[tuple[ListedInstance, ...]]":
        """Return the platform's list of instances."""
        return self._submit("instances", self._instances)

    def close(self) -> None:
        """Give up calls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(
        self, kind: str, call: Callable[..., Answer], *args: object
    ) -> "concurrent.futures.Future[Answer]":
        self.calls[kind] = self.calls.get(kind, 0) + 1
        return self._executor.submit(call, *args)

    def _read(self, name: str) -> StoredObject:
        status, headers, body = self._call("GET", f"/objects/{_quote(name)}")
        if status == 404:
            return StoredObject(name, 0, b"")
        if status != 200:
            raise PlatformUnavailableError(f"reading {name} gave status {status}")
        return StoredObject(name, int(headers[VERSION_HEADER]), body)

    def _write(self, name: str, if_version: int, value: bytes) -> WriteResult:
        try:
            status, headers, _ = self._call(
                "PUT", f"/objects/{_quote(name)}", value, (f"If-Version: {if_version}",)
            )
        except PlatformUnavailableError as exc:
            return Unknown(str(exc))
        if status == 200:
            return Written(int(headers[VERSION_HEADER]))
        if status == 409:
            return Conflict(int(headers[VERSION_HEADER]))
        return Unknown(f"writing {name} gave status {status}")

    def _watch(self, after_revision: int, wait_ms: int) -> Changes:
        path = f"/changes?after={after_revision}&wait_ms={wait_ms}"
        status, _, body = self._call("GET", path, timeout_ms=wait_ms + CALL_TIMEOUT_MS)
        if status != 200:
            raise PlatformUnavailableError(f"the watch gave status {status}")
        return msgspec.msgpack.decode(body, type=Changes)

    def _instances(self) -> tuple[ListedInstance, ...]:
        status, _, body = self._call("GET", "/instances")
        if status != 200:
            raise PlatformUnavailableError(f"the list gave status {status}")
        return msgspec.json.decode(body, type=tuple[ListedInstance, ...])

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: tuple[str, ...] = (),
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, dict[str, str], bytes]:
        handle = self._handle()
        answer = io.BytesIO()
        received: dict[str, str] = {}

        def collect(line: bytes) -> None:
            name, colon, value = line.decode("latin-1").partition(":")
            if colon:
                received[name.strip().lower()] = value.strip()

        handle.setopt(pycurl.URL, self._url + path)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if body is not None:
            set_body(handle, method, body)
            # libcurl repeats a request on a reused connection that closed; the
            # second answer would be a conflict with the first one's effect.
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.NOPROXY, "*")
        handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.WRITEFUNCTION, answer.write)
        handle.setopt(pycurl.HEADERFUNCTION, collect)
        try:
            handle.perform()
        except pycurl.error as exc:
            self._failures += 1
            raise PlatformUnavailableError(f"platform call failed: {exc}") from exc
        return handle.getinfo(pycurl.RESPONSE_CODE), received, answer.getvalue()

    def _handle(self) -> pycurl.Curl:
        """Return this thread's handle, without connections older than a failure."""
        # Connections of several threads go silent together; each would cost a
        # timeout of its own.
        failures = self._failures
        if getattr(self._local, "failures", None) != failures:
            self._local.handle = pycurl.Curl()
            self._local.failures = failures
        handle: pycurl.Curl = self._local.handle
        handle.reset()
        return handle


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="/")
