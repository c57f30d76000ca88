"""Client of the platform's object store.

Each call is one HTTP exchange. After an exception other than ConflictError, the outcome
of a write is unknown: it may still take effect seconds later if its precondition holds.
The same holds if its answer is of another era of the store than its call.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from arbutusflow.errors import (
    ConflictError,
    HistoryGoneError,
    ListCutOffError,
    PlatformError,
    PlatformUnavailableError,
)
from arbutusflow.gateway.client_connection import ClientConnection, ResponseProgress
from arbutusflow.gateway.model import (
    Address,
    ExchangeError,
    HttpResponse,
    StorePoint,
)
from arbutusflow.platform import entries, entry_fields, wire
from arbutusflow.platform.steps import Result, Steps, finish, finish_between_events
from arbutusflow.platform.targets import kind_target, marker_behind, object_target

# The store normally responds within milliseconds; a slow one takes up to 60 times as
# long.
CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 0.7
# Added to the wait time of a watch before the call times out.
WATCH_SLACK_SECONDS = 3.0
PEEK_WAIT_MS = 1  # Of a watch that only returns the changes that there are.
MAX_IDLE_SECONDS = 8.0
MAX_SHOWN_TARGET_CHARACTERS = 120  # Of a target in a message.
DECODED_BYTES_PER_STEP = 262_144
# A call with these is refused again, however often it is repeated.
REFUSED_STATUSES = (400, 404, 405, 413, 414, 422, 431)
SLOW_DECODING_SECONDS = 0.1  # The event loop goes round meanwhile.

ENDPOINTS_KIND = "servers"  # The platform calls endpoints servers.
CONFIGURATION_KIND = "config"
EVACUATIONS_KIND = "evacuations"  # Objects have the names of availability zones.
CONFIGURATION_NAME = "main"
PROBE_NAME = "none"  # Of an object that does not exist, so that its answer is small.


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object in the store; `raw` is the whole document, `spec` its content."""

    name: str
    revision: StorePoint
    spec: Any
    raw: dict[str, Any]
    unreadable: str = ""  # Why `spec` and `raw` lack the content, if they do.
    # Bytes of `raw` as it is sent to other instances.
    size: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of one kind at one revision of the store, or some later ones."""

    objects: tuple[StoredObject, ...]
    revision: StorePoint
    left_out: tuple[str, ...] = ()  # Why entries without readable names are missing.


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A write of an object or, if `removed`, its removal."""

    object: StoredObject
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Result of a watch; the next watch continues from `revision`."""

    changes: tuple[Change, ...]
    revision: StorePoint
    left_out: tuple[str, ...] = ()  # As in `Snapshot`.


class StoreEra:
    """The latest era of the store that any answer or another instance has shown.

    Invariant: it never goes back.
    """

    def __init__(self) -> None:
        self.current = 0
        # Called with the era before and how the new one was learnt.
        self.subscribers: list[Callable[[int, str], None]] = []
        # Called with the header of an answer that is discarded because of it.
        self.on_rejected: Callable[[str], None] = lambda header: None

    def advance(self, era: int, learnt_by: str) -> None:
        """Note an era; later ones are told to the subscribers."""
        if era <= self.current:
            return
        before, self.current = self.current, era
        for subscriber in self.subscribers:
            subscriber(before, learnt_by)

    def accept(self, header: bytes | None) -> int:
        """Return the era of an answer. Raises PlatformError if it is to be discarded.

        An answer of an earlier era may describe what the store has lost since.
        """
        era = wire.parse_era(header)
        if era is None or era < self.current:
            text = "missing" if header is None else header[:32].decode("latin-1")
            self.on_rejected(text)
            raise PlatformUnavailableError(
                f"the store answered with era {text} in era {self.current}"
            )
        self.advance(era, "answer")
        return era


# Of entries that others write, by kind; entries of other kinds are decoded whole.
_FIELDS: dict[str, msgspec.json.Decoder[Any]] = {
    ENDPOINTS_KIND: entry_fields.ENDPOINT_ENTRY,
    EVACUATIONS_KIND: entry_fields.NAMED_ENTRY,
}


def _decode_object(data: bytes, kind: str, era: int) -> Steps[StoredObject]:
    """Decode one object; its content is left out if it cannot be read.

    Raises ValueError if not even its name can be used.
    """
    entry = entries.decode_entry(data, _FIELDS.get(kind, entry_fields.ANY_ENTRY))
    if entry.reason:
        name, revision = yield from entries.decode_name(data)
        metadata = {"name": name, "revision": revision}
        point = StorePoint(era, revision)
        return StoredObject(name, point, None, {"metadata": metadata}, entry.reason)
    raw = entry.document
    if not isinstance(raw, dict):
        raise ValueError("an object of the store must be a JSON object")
    name, revision = entries.checked_name(raw.get("metadata"))
    point = StorePoint(era, revision)
    return StoredObject(name, point, raw.get("spec"), raw, size=entry.size)


class _Pause:
    """Tells when so many bytes were decoded that the event loop should go round."""

    def __init__(self) -> None:
        self._bytes = 0

    def is_due(self, part: bytes) -> bool:
        """Count a part that is to be decoded; return whether to pause before it."""
        due = self._bytes + len(part) > DECODED_BYTES_PER_STEP and self._bytes > 0
        self._bytes = len(part) if due else self._bytes + len(part)
        return due


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodedPage:
    """The objects of a page of a list, and why others are missing."""

    objects: list[StoredObject]
    left_out: tuple[str, ...]
    marker: str | None  # Behind which the list may go on.
    revision: int
    has_more: bool


def _decode_page(response: HttpResponse, kind: str) -> Steps[_DecodedPage]:
    page = yield from entries.split_page(response.body, "items")
    objects, left_out = [], []
    guessed: str | None = None
    pause, era = _Pause(), _era_of(response)
    for part in page.entries:
        if pause.is_due(part):
            yield
        try:
            item = yield from _decode_object(part, kind, era)
            objects.append(item)
        except ValueError as exc:
            left_out.append(str(exc))
            marker = yield from entries.marker_of_unreadable(part)
            guessed = marker or guessed
    # A name that is known exactly comes first: the order of others is not certain.
    last = objects[-1].name if objects else guessed
    marker = None if last is None else marker_behind(last)
    return _DecodedPage(objects, tuple(left_out), marker, page.revision, page.has_more)


def _decode_changes(
    parts: list[bytes], kind: str, era: int
) -> Steps[tuple[list[Change], tuple[str, ...]]]:
    """Return the changes of objects with readable names, and why others are missing."""
    changes, left_out = [], []
    pause = _Pause()
    for part in parts:
        if pause.is_due(part):
            yield
        try:
            data, removed = yield from entries.split_event(part)
            item = yield from _decode_object(data, kind, era)
            changes.append(Change(item, removed))
        except ValueError as exc:
            left_out.append(str(exc))
    return changes, tuple(left_out)


class StoreClient:
    """Client of the store; concurrent calls use separate connections."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []
        self.calls = 0  # Number of calls made.
        self.era = StoreEra()
        # Called with kind, bytes and seconds of an answer that takes long to decode.
        self.on_slow_decoding: Callable[[str, int, float], None] = lambda *args: None

    async def list(
        self,
        kind: str,
        timeout: float,
        progress: ResponseProgress,
        *,
        may_lag: bool = False,
    ) -> Snapshot:
        """Return the objects of a kind. Raises PlatformError.

        The revision is that of the first page: a watch from there reports all that
        changed between the pages again. Raises ListCutOffError if the list cannot go
        on, because no entry of a page has a name behind which another page begins, or
        because the store refuses the next page.

        `timeout` in seconds applies to the first byte of each page. With `may_lag` the
        objects may be seconds old; such a call is priced at a tenth of others.
        """
        objects: list[StoredObject] = []
        left_out: list[str] = []
        used_markers: list[str] = []
        first_revision: StorePoint | None = None
        query: dict[str, str | int] = {"serializable": 1} if may_lag else {}
        while True:
            response = await self._call(
                "GET",
                kind_target(kind, **query),
                timeout=timeout,
                accepted_statuses=(200, *REFUSED_STATUSES) if used_markers else (200,),
                progress=progress,
            )
            era = _era_of(response)
            if first_revision is not None and first_revision.era != era:
                raise PlatformUnavailableError("the list spans two eras of the store")
            if response.status != 200:
                assert first_revision is not None
                reason = f"the store refuses the next page with {response.status}"
                break
            page = await self._decode(_decode_page(response, kind), response, kind)
            objects.extend(page.objects)
            left_out.extend(page.left_out)
            if first_revision is None:
                first_revision = StorePoint(era, page.revision)
            if not page.has_more:
                return Snapshot(tuple(objects), first_revision, tuple(left_out))
            if page.marker is None:
                reason = "its last page has no name to go on behind"
                break
            if page.marker in used_markers:
                reason = "the store repeats a page"
                break
            used_markers.append(page.marker)
            query["after"] = page.marker
        raise ListCutOffError(
            f"the list of {kind} cannot go on: {reason}",
            Snapshot(tuple(objects), first_revision, tuple(left_out)),
            used_markers[-1] if used_markers else "",
        )

    async def watch(
        self,
        kind: str,
        revision: StorePoint,
        wait_seconds: float,
        progress: ResponseProgress,
        *,
        may_lag: bool,
    ) -> Changes:
        """Wait for changes after `revision`.

        With `may_lag` the store may report changes seconds late. Such a watch is priced
        at a tenth of one that reports changes at once.

        Raises HistoryGoneError if the store does not have the changes after `revision`,
        also because it has entered another era, and PlatformError on other errors.
        """
        response = await self._call(
            "GET",
            _watch_target(kind, revision, int(wait_seconds * 1000), may_lag=may_lag),
            timeout=wait_seconds + WATCH_SLACK_SECONDS,
            progress=progress,
        )
        steps = _decode_watch(response, kind, revision)
        return await self._decode(steps, response, kind)

    async def peek(
        self,
        kind: str,
        revision: StorePoint,
        timeout: float,
        progress: ResponseProgress,
    ) -> Changes:
        """Return the changes after `revision` without waiting for any.

        They may lag by seconds; the call is priced at a tenth of others. `timeout` in
        seconds applies to the first byte.

        Raises HistoryGoneError if the store does not have the changes after `revision`,
        also because it has entered another era, and PlatformError on other errors.
        """
        target = _watch_target(kind, revision, PEEK_WAIT_MS, may_lag=True)
        response = await self._call("GET", target, timeout=timeout, progress=progress)
        steps = _decode_watch(response, kind, revision)
        return await self._decode(steps, response, kind)

    async def _decode(
        self, steps: Steps[Result], response: HttpResponse, kind: str
    ) -> Result:
        """Decode an answer while other events are handled. Raises what that raises."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            return await finish_between_events(steps, steps_at_once=1)
        finally:
            seconds = loop.time() - started
            if seconds >= SLOW_DECODING_SECONDS:
                self.on_slow_decoding(kind, len(response.body), seconds)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist. Raises PlatformError."""
        response = await self._call(
            "GET", object_target(kind, name), accepted_statuses=(200, 404)
        )
        return _decode_answer(response, kind) if response.status == 200 else None

    async def probe(self, timeout: float) -> None:
        """Check whether the store answers a small call, at a tenth of the price.

        Raises PlatformError if it does not within `timeout` seconds.
        """
        await self._call(
            "GET",
            object_target(CONFIGURATION_KIND, PROBE_NAME, serializable=1),
            timeout=timeout,
            accepted_statuses=(200, 404),
        )

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises ConflictError if it exists, and PlatformError on other errors.
        """
        document = {"metadata": {"name": name}, "spec": spec}
        response = await self._call("POST", kind_target(kind), document)
        return _decode_answer(response, kind)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: StorePoint
    ) -> StoredObject:
        """Replace an object if its revision is still `revision`.

        Raises ConflictError if it is not, and PlatformError on other errors.
        """
        self._check_condition(revision)
        metadata = {"name": name, "revision": revision.number}
        document = {"metadata": metadata, "spec": spec}
        response = await self._call("PUT", object_target(kind, name), document)
        return _decode_answer(response, kind)

    async def delete(self, kind: str, name: str, revision: StorePoint) -> None:
        """Delete an object if its revision is still `revision`.

        Succeeds if the object does not exist. Raises ConflictError if it has another
        revision, and PlatformError on other errors.
        """
        self._check_condition(revision)
        target = object_target(kind, name, revision=revision.number)
        await self._call("DELETE", target, accepted_statuses=(200, 204, 404))

    def _check_condition(self, revision: StorePoint) -> None:
        """Raise ConflictError if a revision is not of the current era.

        The store may have given out its number again.
        """
        if revision.era != self.era.current:
            raise ConflictError(None)

    async def _call(
        self,
        method: str,
        target: str,
        document: Any = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
        accepted_statuses: tuple[int, ...] = (200, 201),
        progress: ResponseProgress | None = None,
    ) -> HttpResponse:
        """Return an answer of the current era. Raises PlatformError."""
        body = b"" if document is None else msgspec.json.encode(document)
        host = f"{self._address.host}:{self._address.port}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
        if document is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        self.calls += 1
        called_in = self.era.current
        response = await self._exchange(head, body, timeout, progress)
        era = self.era.accept(response.header(wire.STORE_ERA))
        if method != "GET" and era != called_in:
            # The condition of the write may have met a revision of another era.
            raise PlatformUnavailableError("the store has entered another era")
        if response.status in accepted_statuses:
            return response
        if response.status == 409:
            raise ConflictError(_decode_conflict(response))
        if response.status == 410:
            raise HistoryGoneError("the store no longer has the requested history")
        shown = target[:MAX_SHOWN_TARGET_CHARACTERS]
        raise PlatformUnavailableError(
            f"the store responded with status {response.status} to {method} {shown}"
        )

    async def _exchange(
        self,
        head: bytes,
        body: bytes,
        timeout: float,
        progress: ResponseProgress | None,
    ) -> HttpResponse:
        try:
            conn = self._take_idle() or await ClientConnection.open(
                self._address, CONNECT_TIMEOUT_SECONDS
            )
            response = await conn.exchange(head, body, timeout, progress=progress)
        except ExchangeError as exc:
            raise PlatformUnavailableError(
                f"store call failed: {exc.detail}", sent=exc.sent
            ) from exc
        if conn.usable:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    def _take_idle(self) -> ClientConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < MAX_IDLE_SECONDS:
                return conn
            conn.close()
        return None


def _watch_target(
    kind: str, revision: StorePoint, wait_ms: int, *, may_lag: bool
) -> str:
    query: dict[str, str | int] = {"watch": revision.number, "waitMs": wait_ms}
    if may_lag:
        query["serializable"] = 1
    return kind_target(kind, **query)


def _era_of(response: HttpResponse) -> int:
    """Return the era of an answer that was accepted."""
    return wire.parse_era(response.header(wire.STORE_ERA)) or 0


def _decode_watch(
    response: HttpResponse, kind: str, revision: StorePoint
) -> Steps[Changes]:
    era = _era_of(response)
    if era != revision.era:
        raise HistoryGoneError("the store has entered another era")
    page = yield from entries.split_page(response.body, "events")
    changes, left_out = yield from _decode_changes(page.entries, kind, era)
    return Changes(tuple(changes), StorePoint(era, page.revision), left_out)


def _decode_answer(response: HttpResponse, kind: str) -> StoredObject:
    """Decode an answer with one object. Raises PlatformError."""
    try:
        return finish(_decode_object(response.body, kind, _era_of(response)))
    except ValueError as exc:
        raise PlatformError(f"malformed response from the store: {exc}") from exc


def _decode_conflict(response: HttpResponse) -> StoredObject | None:
    try:
        return finish(_decode_object(response.body, "", _era_of(response)))
    except ValueError:
        return None  # The calling code reads the object again.
