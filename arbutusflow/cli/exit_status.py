"""Exit statuses of the command line; scripts depend on them."""

import enum

from arbutusflow.errors import (
    ArbutusflowError,
    InstanceUnreachableError,
    SettingsError,
)


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    DONE = 0
    # Refused, warnings of a check, or an error without a status of its own.
    FAILED = 1
    INVALID_INPUT = 2  # An invalid file or argument.
    UNREACHABLE = 3  # No response from an instance.


def exit_status_for(exc: ArbutusflowError) -> ExitStatus:
    """Return `FAILED` for errors that have no exit status of their own."""
    match exc:
        case SettingsError():
            return ExitStatus.INVALID_INPUT
        case InstanceUnreachableError():
            return ExitStatus.UNREACHABLE
        case _:
            return ExitStatus.FAILED
