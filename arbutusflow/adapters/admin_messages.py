"""JSON messages of the admin address.

They stand apart from the application so that the command line reads them without
importing the serving path.
"""

import msgspec

from arbutusflow.domain.records import Decision


class Refusal(msgspec.Struct, frozen=True):
    """JSON body of a refused operator request."""

    error: str


class KeyExplanation(msgspec.Struct, frozen=True):
    """Who owns a key and how that came about."""

    service: str
    key: str
    unit: int
    owner: str | None
    sequence: int
    coordinator: str | None
    term: int
    decisions: tuple[Decision, ...]


class Stopping(msgspec.Struct, frozen=True):
    """The instance began a graceful stop."""

    instance: str
