"""Logs as JSON lines on standard error, written by `eliot`.

Each line has a `level`; lines below the chosen level are not written. The lines
about one request carry its `request_id` at every instance that it passes.

Invariant: no payload, no header value of a caller and no secret is logged.
"""

import logging
import sys

import eliot

from arbutusflow.adapters.log_level import Level
from arbutusflow.domain.records import Decision

_ORDER = {level: number for number, level in enumerate(Level)}
_least = Level.INFO


def start_logging(least: Level = Level.INFO) -> None:
    """Send the process's log to standard error."""
    set_level(least)
    eliot.to_file(sys.stderr)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.ERROR, force=True)


class _LibraryHandler(logging.Handler):
    """Writes the errors of libraries as lines of the same log."""

    def emit(self, record: logging.LogRecord) -> None:
        exc = record.exc_info[1] if record.exc_info else None
        log_event(
            "library",
            Level.ERROR,
            logger=record.name,
            detail=record.getMessage(),
            error=repr(exc) if exc else "",
        )


def set_level(least: Level) -> None:
    """Write lines of `least` importance and above from now on."""
    global _least  # noqa: PLW0603 - the log is one stream of the process
    _least = least


def is_logged(level: Level) -> bool:
    """Return whether lines of `level` are written."""
    return _ORDER[level] >= _ORDER[_least]


def log_event(name: str, /, level: Level = Level.INFO, **fields: object) -> None:
    """Log one event with its fields."""
    if is_logged(level):
        eliot.log_message(
            message_type=f"arbutusflow:{name}", level=level.value, **fields
        )


def log_exception(event: str, exc: BaseException) -> None:
    """Log an error that the process goes on after."""
    log_event(
        "error",
        Level.ERROR,
        during=event,
        error=type(exc).__name__,
        detail=str(exc),
    )


def log_decision(decision: Decision) -> None:
    """Log one entry of the decision record."""
    log_event(
        "decision", subject=decision.subject, what=decision.what, why=decision.why
    )
