"""Request targets of the store.

Invariant: a target is printable ASCII without spaces, whatever the names are, and the
store reads the same names from it.
"""

from urllib.parse import quote, urlencode

from arbutusflow.errors import PlatformError

OBJECTS_PATH = "/arbutusflow/objects/"
# Segments that clients and proxies resolve instead of passing them on.
_RESOLVED_SEGMENTS = frozenset({"", ".", ".."})


def kind_target(kind: str, **query: str | int) -> str:
    """Return the target of all objects of a kind, with options in its query.

    Raises PlatformError for text that is not Unicode.
    """
    target = OBJECTS_PATH + _segment(kind)
    return f"{target}?{_encoded(query)}" if query else target


def object_target(kind: str, name: str, **query: str | int) -> str:
    """Return the target of one object, with options in its query.

    Raises PlatformError for a name that cannot stand in a path.
    """
    target = f"{OBJECTS_PATH}{_segment(kind)}/{_segment(name)}"
    return f"{target}?{_encoded(query)}" if query else target


def _segment(text: str) -> str:
    if text in _RESOLVED_SEGMENTS:
        raise PlatformError(f"{text!r} cannot stand in the path of an object")
    try:
        return quote(text, safe="")
    except UnicodeEncodeError as exc:
        raise PlatformError(f"a name of an object is not Unicode: {exc}") from exc


def _encoded(query: dict[str, str | int]) -> str:
    try:
        return urlencode(query, quote_via=quote, safe="")
    except UnicodeEncodeError as exc:
        raise PlatformError(f"an option of a call is not Unicode: {exc}") from exc
