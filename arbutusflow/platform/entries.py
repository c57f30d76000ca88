"""Splits answers of the store into entries, and decodes each entry on its own.

Any client of the store can write entries, and the store returns what it was given:
strings that are not Unicode, numbers out of range, nesting without end.

Invariants: an entry that cannot be decoded does not affect the others of the answer.
Time and memory are proportional to the size of the answer.
"""

import dataclasses
import re
from typing import Any

import msgspec

from arbutusflow.errors import PlatformError

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(rb"%b|[\[{]+|[\]}]+|," % _STRING, re.DOTALL)
_KEY = re.compile(rb"\s*(%b)\s*:" % _STRING, re.DOTALL)
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
_ENCODE_ERRORS = (OverflowError, RecursionError, UnicodeEncodeError)
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
MAX_REASON_CHARACTERS = 200


class _Page(msgspec.Struct):
    asOf: int  # noqa: N815
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    hasMore: bool = False  # noqa: N815


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: msgspec.Raw = msgspec.Raw(b"false")


_page_decoder = msgspec.json.Decoder(_Page)
_event_decoder = msgspec.json.Decoder(_Event)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Encoded entries of one answer, and the revision of the store."""

    entries: list[bytes]
    revision: int
    has_more: bool


def split_page(body: bytes, field: str) -> Page:
    """Split an answer with a list in `field`. Raises PlatformError."""
    try:
        page = _page_decoder.decode(body)
        return Page(
            [bytes(raw) for raw in getattr(page, field)], page.asOf, page.hasMore
        )
    except _DECODE_ERRORS:
        pass  # Some entry is not well-formed; the slower way finds the others.
    members = split_object(body)
    try:
        revision = msgspec.json.decode(members["asOf"], type=int)
        has_more = msgspec.json.decode(members.get("hasMore", b"false"), type=bool)
        return Page(_split(members[field]), revision, has_more)
    except (KeyError, *_DECODE_ERRORS) as exc:
        raise PlatformError(f"malformed response from the store: {exc!r}") from exc


def split_event(data: bytes) -> tuple[bytes, bool]:
    """Return the encoded object of an event, and whether it was removed.

    Raises ValueError if the event has no object.
    """
    try:
        event = _event_decoder.decode(data)
        return bytes(event.object), bytes(event.removed) == b"true"
    except _DECODE_ERRORS:
        pass  # Not well-formed; the slower way may still find the object.
    members = split_object(data)
    if "object" not in members:
        raise ValueError("an event without an object")
    return members["object"], members.get("removed", b"").strip() == b"true"


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the encoded members of an object by key, as far as keys are readable."""
    members = {}
    for part in _split(data):
        match = _KEY.match(part)
        if match is None:
            continue
        try:
            members[msgspec.json.decode(match[1], type=str)] = part[match.end() :]
        except _DECODE_ERRORS:
            continue
    return members


def _split(data: bytes) -> list[bytes]:
    """Return the encoded elements of an array, or members of an object."""
    parts: list[bytes] = []
    depth, start = 0, 0
    for match in _TOKEN.finditer(data):
        token = match[0]
        if token[:1] == b'"':
            continue
        if token[:1] in b"[{":
            if depth == 0:
                start = match.start() + 1
            depth += len(token)
        elif token == b",":
            if depth == 1:
                parts.append(data[start : match.start()])
                start = match.end()
        elif depth <= len(token):
            parts.append(data[start : match.start() + depth - 1])
            break
        else:
            depth -= len(token)
    return [part for part in parts if part.strip()]


def decode_entry(data: bytes) -> tuple[Any, str]:
    """Decode one entry; return it and why it is unreadable, if it is.

    An entry that cannot be sent to other instances is unreadable as well.
    """
    try:
        document = msgspec.json.decode(data)
        msgspec.msgpack.encode(document)
    except (*_DECODE_ERRORS, *_ENCODE_ERRORS) as exc:
        return None, _reason(exc)
    return document, ""


def decode_name(data: bytes) -> tuple[str, int]:
    """Return name and revision of an encoded object. Raises ValueError."""
    try:
        metadata = msgspec.json.decode(split_object(data)["metadata"])
        return checked_name(metadata)
    except (*_DECODE_ERRORS, *_MALFORMED_ERRORS) as exc:
        raise ValueError(f"no readable name: {_reason(exc)}") from exc


def checked_name(metadata: Any) -> tuple[str, int]:
    """Return name and revision of an object's metadata. Raises ValueError."""
    try:
        name, revision = metadata["name"], metadata.get("revision", 0)
    except _MALFORMED_ERRORS as exc:
        raise ValueError(f"no name: {exc!r}") from exc
    if not isinstance(name, str) or type(revision) is not int:
        raise ValueError("the name must be a string and the revision an integer")
    return name, revision


def _reason(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"[:MAX_REASON_CHARACTERS]
