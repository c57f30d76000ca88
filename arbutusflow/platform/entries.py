"""Splits answers of the store into entries, and decodes each entry on its own.

Any client of the store can write entries, and the store returns what it was given:
strings that are not Unicode, numbers out of range, nesting without end.

Invariants: an entry that cannot be decoded does not affect the others of the answer.
Time and memory are proportional to the size of the answer. What takes a loop in Python
is done in steps of `TOKENS_PER_STEP`. Of an entry, only the fields that are used are
built.
"""

import dataclasses
import json
import re
from collections.abc import Iterable
from typing import Any

import msgspec

from arbutusflow.errors import PlatformError
from arbutusflow.platform.entry_fields import ANY_ENTRY
from arbutusflow.platform.steps import Steps

# A string without an end goes on to the end of the data.
_STRING = rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)'
_TOKEN = re.compile(rb"%b|[\[{]+|[\]}]+|," % _STRING, re.DOTALL)
_PLAIN = rb'[^"\[\]{}]++|%b' % _STRING
# What is passed over at once below the level of the elements.
_CONTENT = re.compile(
    rb"(?:%b|[\[{](?:%b)*+[\]}]){0,2000}+" % (_PLAIN, _PLAIN), re.DOTALL
)
_KEY = re.compile(rb"\s*(%b)\s*:" % _STRING, re.DOTALL)
# Up to the first escape of a surrogate that is not part of a pair.
_UP_TO_LONE_SURROGATE = re.compile(
    rb"(?:[^\\]++|\\u[dD][89abAB]..\\u[dD][c-fC-F]..|\\(?!u[dD][89a-fA-F]).)*+"
    rb"(?=\\u[dD])",
    re.DOTALL,
)
_BEHIND_SURROGATES = rb"\ue000"  # The first character that sorts behind them.
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
_ENCODE_ERRORS = (OverflowError, RecursionError, UnicodeEncodeError)
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
MAX_REASON_CHARACTERS = 200
MAX_NAME_CHARACTERS = 1000
TOKENS_PER_STEP = 1000
_CONTROL_CHARACTERS = bytes(max(byte, 0x20) for byte in range(256))


class _Page(msgspec.Struct):
    asOf: int  # noqa: N815
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    hasMore: bool = False  # noqa: N815


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: msgspec.Raw = msgspec.Raw(b"false")


class _Named(msgspec.Struct):
    metadata: msgspec.Raw


_page_decoder = msgspec.json.Decoder(_Page)
_event_decoder = msgspec.json.Decoder(_Event)
_named_decoder = msgspec.json.Decoder(_Named)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Encoded entries of one answer, and the revision of the store."""

    entries: list[bytes]
    revision: int
    has_more: bool


def split_page(body: bytes, field: str) -> Steps[Page]:
    """Split an answer with a list in `field`. Raises PlatformError."""
    for text in _readings(body):
        try:
            page = _page_decoder.decode(text)
        except _DECODE_ERRORS:
            continue
        parts = _originals(body, text, getattr(page, field))
        return Page(parts, page.asOf, page.hasMore)
    members = yield from split_object(body)
    try:
        revision = msgspec.json.decode(members["asOf"], type=int)
        has_more = msgspec.json.decode(members.get("hasMore", b"false"), type=bool)
        parts = yield from _split(members[field])
    except (KeyError, *_DECODE_ERRORS) as exc:
        raise PlatformError(f"malformed response from the store: {exc!r}") from exc
    return Page(parts, revision, has_more)


def split_event(data: bytes) -> Steps[tuple[bytes, bool]]:
    """Return the encoded object of an event, and whether it was removed.

    Raises ValueError if the event has no object.
    """
    for text in _readings(data):
        try:
            event = _event_decoder.decode(text)
        except _DECODE_ERRORS:
            continue
        removed = bytes(event.removed) == b"true"
        return _originals(data, text, [event.object])[0], removed
    members = yield from split_object(data)
    if "object" not in members:
        raise ValueError("an event without an object")
    return members["object"], members.get("removed", b"").strip() == b"true"


def _readings(data: bytes) -> Iterable[bytes]:
    """Return encoded JSON, then its outline: other text, but the same structure.

    The outline replaces, byte for byte, what the decoder does not take although it is
    clear where it ends: escapes, control characters and numbers that are none.
    """
    yield data
    outline = data.translate(_CONTROL_CHARACTERS)
    # Escapes are read from the left, so a quote after two backslashes ends its string.
    outline = outline.replace(rb"\\", b"__").replace(rb"\"", b"__").replace(b"\\", b"_")
    yield outline.replace(b"NaN", b"111").replace(b"Infinity", b"11111111")


def _originals(data: bytes, text: bytes, raws: Iterable[msgspec.Raw]) -> list[bytes]:
    """Return the parts of `data` at the places of consecutive parts of `text`."""
    if text is data:
        return [bytes(raw) for raw in raws]
    parts, end = [], 0
    for raw in raws:
        start = text.index(bytes(raw), end)
        end = start + len(bytes(raw))
        parts.append(data[start:end])
    return parts


def split_object(data: bytes) -> Steps[dict[str, bytes]]:
    """Return the encoded members of an object by key, as far as keys are readable."""
    members = {}
    parts = yield from _split(data)
    for number, part in enumerate(parts, 1):
        if number % TOKENS_PER_STEP == 0:
            yield
        match = _KEY.match(part)
        if match is None:
            continue
        try:
            members[msgspec.json.decode(match[1], type=str)] = part[match.end() :]
        except _DECODE_ERRORS:
            continue
    return members


def _split(data: bytes) -> Steps[list[bytes]]:
    """Return the encoded elements of an array, or members of an object."""
    parts: list[bytes] = []
    depth = start = place = tokens = 0
    while match := _next_token(data, place, depth):
        tokens += 1
        if tokens % TOKENS_PER_STEP == 0:
            yield
        token, place = match[0], match.end()
        if token[:1] in b"[{":
            if depth == 0:
                start = match.start() + 1
            depth += len(token)
        elif token == b",":
            if depth == 1:
                parts.append(data[start : match.start()])
                start = place
        elif token[:1] in b"]}":
            if depth <= len(token):
                parts.append(data[start : match.start() + depth - 1])
                break
            depth -= len(token)
    return [part for part in parts if part.strip()]


def _next_token(data: bytes, place: int, depth: int) -> re.Match[bytes] | None:
    """Return the next brackets, comma or string from a place on.

    Below the level of the elements, flat content is passed over.
    """
    content = _CONTENT.match(data, place) if depth > 1 else None
    return _TOKEN.search(data, content.end() if content else place)


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedEntry:
    """The fields of an entry, or why it is unreadable."""

    document: Any
    size: int  # In bytes, as it is sent to other instances.
    reason: str = ""


def decode_entry(
    data: bytes, fields: msgspec.json.Decoder[Any] = ANY_ENTRY
) -> DecodedEntry:
    """Decode one entry.

    An entry is unreadable if it cannot be sent to other instances, or if one of the
    `fields` has a structure that it does not have in any readable entry.
    """
    try:
        document = msgspec.to_builtins(fields.decode(data))
        return DecodedEntry(document, len(msgspec.msgpack.encode(document)))
    except (*_DECODE_ERRORS, *_ENCODE_ERRORS) as exc:
        return DecodedEntry(None, 0, _reason(exc))


def decode_name(data: bytes) -> Steps[tuple[str, int]]:
    """Return name and revision of an encoded object. Raises ValueError."""
    try:
        encoded = yield from _encoded_metadata(data)
        return checked_name(msgspec.json.decode(encoded))
    except (*_DECODE_ERRORS, *_MALFORMED_ERRORS) as exc:
        raise ValueError(f"no readable name: {_reason(exc)}") from exc


def _encoded_metadata(data: bytes) -> Steps[bytes]:
    for text in _readings(data):
        try:
            return _originals(data, text, [_named_decoder.decode(text).metadata])[0]
        except _DECODE_ERRORS:
            continue
    members = yield from split_object(data)
    return members["metadata"]


def marker_of_unreadable(data: bytes) -> Steps[str | None]:
    """Return the text behind which a list goes on after an entry without usable name.

    Bytes that are no UTF-8 are escaped as `surrogateescape` does. Returns None if the
    name is no text.
    """
    try:
        metadata = yield from _encoded_metadata(data)
        members = yield from split_object(metadata)
        text = members["name"]
        if not text.lstrip().startswith(b'"'):
            return None
        if match := _UP_TO_LONE_SURROGATE.match(text):
            text = match[0] + _BEHIND_SURROGATES + b'"'
        # Unlike msgspec, the decoder of the standard library takes escaped bytes, and
        # control characters as they are.
        name: str = json.loads(text.decode(errors="surrogateescape"), strict=False)
    except (KeyError, ValueError):
        return None
    return name


def checked_name(metadata: Any) -> tuple[str, int]:
    """Return name and revision of an object's metadata. Raises ValueError."""
    try:
        name, revision = metadata["name"], metadata.get("revision", 0)
    except _MALFORMED_ERRORS as exc:
        raise ValueError(f"no name: {exc!r}") from exc
    if not isinstance(name, str) or type(revision) is not int:
        raise ValueError("the name must be a string and the revision an integer")
    if len(name) > MAX_NAME_CHARACTERS:
        raise ValueError(f"the name {name[:80]!r}... is too long")
    return name, revision


def _reason(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"[:MAX_REASON_CHARACTERS]
