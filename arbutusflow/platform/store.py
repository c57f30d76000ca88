"""Client of the platform's object store.

Each call is one HTTP exchange. An exception means that nothing is known about the
effect of a write: it may still take place seconds later if its condition holds.
"""

import asyncio
import dataclasses
from typing import Any

import msgspec

from arbutusflow.domain.errors import (
    ConflictError,
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
)
from arbutusflow.gateway.client_connection import ClientConnection, ResponseProgress
from arbutusflow.gateway.model import Address, Answer, ExchangeError

CALL_SECONDS = 2.0  # The store answers in milliseconds; slow days take 60 times.
CONNECT_SECONDS = 0.7
# Added to the wait of a watch before the connection counts as silent.
WATCH_SLACK_SECONDS = 3.0
MAX_IDLE_SECONDS = 8.0
_BASE = "/arbutusflow/objects/"
_WRONG_SHAPE = (KeyError, TypeError, ValueError, AttributeError)

ENDPOINTS_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `raw` is the whole document, `spec` its content."""

    name: str
    revision: int
    spec: Any
    raw: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind at one revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An object that was written or, if `removed`, is gone."""

    object: StoredObject
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch returned; continue from `revision`."""

    changes: tuple[Change, ...]
    revision: int


def _decode_object(raw: Any) -> StoredObject:
    """Decode one object. Raises PlatformError."""
    try:
        meta = raw["metadata"]
        return StoredObject(
            name=str(meta["name"]),
            revision=int(meta.get("revision", 0)),
            spec=raw.get("spec"),
            raw=raw,
        )
    except _WRONG_SHAPE as exc:
        raise PlatformError(f"the store's object is malformed: {exc!r}") from exc


def _decode_page(document: Any, items: str) -> tuple[list[Any], int]:
    """Return the entries and the revision of an answer. Raises PlatformError."""
    try:
        return list(document[items]), int(document["asOf"])
    except _WRONG_SHAPE as exc:
        raise PlatformError(f"the store's answer is malformed: {exc!r}") from exc


class StoreClient:
    """Calls to the store, each on a connection of its own at that time."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []
        self.calls = 0

    async def list(
        self, kind: str, timeout: float, receipt: ResponseProgress
    ) -> Snapshot:
        """Return all objects of a kind, as of now. Raises PlatformError.

        `timeout` is in seconds and holds until the first byte of each page.
        """
        objects: list[StoredObject] = []
        query = ""
        while True:
            answer = await self._call(
                "GET", f"{kind}{query}", timeout=timeout, receipt=receipt
            )
            document = _body(answer)
            items, revision = _decode_page(document, "items")
            objects.extend(_decode_object(raw) for raw in items)
            if not items or not document.get("hasMore"):
                return Snapshot(tuple(objects), revision)
            query = f"?after={objects[-1].name}"

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_seconds: float,
        receipt: ResponseProgress,
        *,
        may_lag: bool,
    ) -> Changes:
        """Wait for changes after `revision`.

        With `may_lag` the store may tell of a change seconds late, at a tenth of the
        price. Raises HistoryGoneError if the changes are no longer known, else
        PlatformError.
        """
        path = f"{kind}?watch={revision}&waitMs={int(wait_seconds * 1000)}"
        if may_lag:
            path += "&serializable=1"
        answer = await self._call(
            "GET", path, timeout=wait_seconds + WATCH_SLACK_SECONDS, receipt=receipt
        )
        events, reached = _decode_page(_body(answer), "events")
        return Changes(tuple(_decode_change(event) for event in events), reached)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None if there is none. Raises PlatformError."""
        answer = await self._call("GET", f"{kind}/{name}", allowed=(200, 404))
        return _decode_object(_body(answer)) if answer.status == 200 else None

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object. Raises ConflictError if it exists, PlatformError."""
        document = {"metadata": {"name": name}, "spec": spec}
        return _decode_object(_body(await self._call("POST", kind, document)))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredObject:
        """Write an object if it still has `revision`.

        Raises ConflictError or PlatformError.
        """
        document = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return _decode_object(
            _body(await self._call("PUT", f"{kind}/{name}", document))
        )

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Remove an object if it still has `revision`. Raises PlatformError."""
        path = f"{kind}/{name}?revision={revision}"
        await self._call("DELETE", path, allowed=(200, 204, 404))

    async def _call(
        self,
        method: str,
        path: str,
        document: Any = None,
        timeout: float = CALL_SECONDS,
        allowed: tuple[int, ...] = (200, 201),
        receipt: ResponseProgress | None = None,
    ) -> Answer:
        body = b"" if document is None else msgspec.json.encode(document)
        host = f"{self._address.host}:{self._address.port}"
        lines = [f"{method} {_BASE}{path} HTTP/1.1", f"Host: {host}"]
        if document is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        self.calls += 1
        answer = await self._exchange(head, body, timeout, receipt)
        if answer.status in allowed:
            return answer
        if answer.status == 409:
            raise ConflictError(_conflicting(answer))
        if answer.status == 410:
            raise HistoryGoneError("the store dropped its history")
        raise PlatformUnavailableError(
            f"the store answered {answer.status} to {method}"
        )

    async def _exchange(
        self, head: bytes, body: bytes, timeout: float, receipt: ResponseProgress | None
    ) -> Answer:
        try:
            conn = self._take() or await ClientConnection.open(
                self._address, CONNECT_SECONDS
            )
            answer = await conn.exchange(head, body, timeout, receipt=receipt)
        except ExchangeError as exc:
            raise PlatformUnavailableError(f"store call failed: {exc.detail}") from exc
        if conn.usable:
            self._idle.append(conn)
        else:
            conn.close()
        return answer

    def _take(self) -> ClientConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < MAX_IDLE_SECONDS:
                return conn
            conn.close()
        return None


def _decode_change(event: Any) -> Change:
    try:
        raw, removed = event["object"], bool(event.get("removed"))
    except _WRONG_SHAPE as exc:
        raise PlatformError(f"the store's event is malformed: {exc!r}") from exc
    return Change(_decode_object(raw), removed)


def _body(answer: Answer) -> Any:
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError as exc:
        raise PlatformError(f"the store's answer is malformed: {exc}") from exc


def _conflicting(answer: Answer) -> StoredObject | None:
    try:
        return _decode_object(msgspec.json.decode(answer.body))
    except (msgspec.DecodeError, PlatformError):
        return None  # The caller reads the object again.
