"""Heads of responses that cannot be those of one response.

A response that breaks off in its head is joined with what the connection carries next.
The status line of the second one then stands in the reason phrase or in a header of the
first: a line of its own has no colon, so the parser refuses it.
"""

import re
from collections.abc import Iterable

_STATUS_LINE = re.compile(rb"HTTP/\d(?:\.\d)? \d{3}")


def joined_error(
    reason: bytes, headers: Iterable[tuple[bytes, bytes]], id_header: bytes | None
) -> str:
    """Return how a head shows that it is made of two, empty if it does not."""
    identifiers = set()
    for name, value in headers:
        if _STATUS_LINE.search(value):
            return f"a status line in the header {name.decode('latin-1')[:40]!r}"
        if name.lower() == id_header:
            identifiers.add(value)
    if _STATUS_LINE.search(reason):
        return "a status line in the reason phrase"
    return "two identifiers" if len(identifiers) > 1 else ""
