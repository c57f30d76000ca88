"""JSON messages of the admin address.

They are separate from `AdminApplication` so that the command line can decode them
without importing the serving path.
"""

import msgspec

from arbutusflow.domain.records import Decision


class ErrorResponse(msgspec.Struct, frozen=True):
    """JSON body of an error response to an operator."""

    error: str


class KeyExplanation(msgspec.Struct, frozen=True):
    """The owner of a key and the decisions that led to it."""

    service: str
    key: str
    unit: int
    owner: str | None
    sequence: int
    coordinator: str | None
    term: int
    decisions: tuple[Decision, ...]


class StopAccepted(msgspec.Struct, frozen=True):
    """The instance has started a graceful shutdown."""

    instance: str
