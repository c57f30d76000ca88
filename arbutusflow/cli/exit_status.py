"""Exit statuses of the command line; scripts depend on them."""

import enum

from arbutusflow.domain.errors import (
    AdminUnreachableError,
    ArbutusflowError,
    OutcomeUnknownError,
    SettingsError,
)


class ExitStatus(enum.IntEnum):
    """What a command reports to the shell."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    UNKNOWN = 4


def status_of(exc: ArbutusflowError) -> ExitStatus:
    """Return the exit status of an error."""
    match exc:
        case SettingsError():
            return ExitStatus.BAD_INPUT
        case AdminUnreachableError():
            return ExitStatus.UNREACHABLE
        case OutcomeUnknownError():
            return ExitStatus.UNKNOWN
        case _:
            return ExitStatus.REFUSED
