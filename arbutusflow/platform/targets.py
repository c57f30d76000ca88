"""Request targets of the store.

Invariant: a target is printable ASCII without spaces, whatever the names are, and the
store reads the same names from it.
"""

from urllib.parse import quote, urlencode

from arbutusflow.errors import PlatformError

OBJECTS_PATH = "/arbutusflow/objects/"
MAX_MARKER_CHARACTERS = 340  # Of a name in a query; 4 kB at most when it is encoded.
_HIGHEST_CHARACTER = "\U0010ffff"
# Segments that clients and proxies resolve instead of passing them on.
_RESOLVED_SEGMENTS = frozenset({"", ".", ".."})


def kind_target(kind: str, **query: str | int) -> str:
    """Return the target of all objects of a kind, with options in its query.

    Bytes that `surrogateescape` has escaped stand in the query as they were. Raises
    PlatformError for other text that is not Unicode.
    """
    target = OBJECTS_PATH + _segment(kind)
    return f"{target}?{_encoded(query)}" if query else target


def object_target(kind: str, name: str, **query: str | int) -> str:
    """Return the target of one object, with options in its query.

    Raises PlatformError for a name that cannot stand in a path.
    """
    target = f"{OBJECTS_PATH}{_segment(kind)}/{_segment(name)}"
    return f"{target}?{_encoded(query)}" if query else target


def marker_behind(name: str) -> str:
    """Return the text behind which a list goes on after an object.

    Of a name that no request line may hold, the names with the same long beginning are
    passed over as well.
    """
    if len(name) > MAX_MARKER_CHARACTERS:
        return name[:MAX_MARKER_CHARACTERS] + _HIGHEST_CHARACTER
    return name or "\0"  # A list behind the empty text would begin anew.


def _segment(text: str) -> str:
    if text in _RESOLVED_SEGMENTS:
        raise PlatformError(f"{text!r} cannot stand in the path of an object")
    try:
        return quote(text, safe="")
    except UnicodeEncodeError as exc:
        raise PlatformError(f"a name of an object is not Unicode: {exc}") from exc


def _encoded(query: dict[str, str | int]) -> str:
    try:
        return urlencode(query, quote_via=quote, safe="", errors="surrogateescape")
    except UnicodeEncodeError as exc:
        raise PlatformError(f"an option of a call is not Unicode: {exc}") from exc
