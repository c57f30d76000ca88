"""Exit statuses of the command line; scripts depend on them."""

import enum

from arbutusflow.domain.errors import (
    AdminUnreachableError,
    ArbutusflowError,
    OutcomeUnknownError,
    SettingsError,
)


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    UNKNOWN = 4


def exit_status_for(exc: ArbutusflowError) -> ExitStatus:
    """Return the exit status for an error."""
    match exc:
        case SettingsError():
            return ExitStatus.BAD_INPUT
        case AdminUnreachableError():
            return ExitStatus.UNREACHABLE
        case OutcomeUnknownError():
            return ExitStatus.UNKNOWN
        case _:
            return ExitStatus.REFUSED
