"""Structured logging: JSON lines on standard error, written by `eliot`.

Each line has a `level`; lines below the configured level are not written. Every
instance that handles a request logs it with the same `request_id`.

Invariant: request bodies, header values of callers and secrets are never logged.
"""

import logging
import sys

import eliot

from arbutusflow.adapters.log_level import Level
from arbutusflow.domain.records import Decision

_SEVERITY = {level: number for number, level in enumerate(Level)}
_min_level = Level.INFO


def start_logging(min_level: Level = Level.INFO) -> None:
    """Configure logging of this process to standard error."""
    set_level(min_level)
    eliot.to_file(sys.stderr)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.ERROR, force=True)


class _LibraryHandler(logging.Handler):
    """Forwards errors that libraries log with `logging` to the JSON log."""

    def emit(self, record: logging.LogRecord) -> None:
        exc = record.exc_info[1] if record.exc_info else None
        log_event(
            "library",
            Level.ERROR,
            logger=record.name,
            detail=record.getMessage(),
            error=repr(exc) if exc else "",
        )


def set_level(min_level: Level) -> None:
    """Set the minimum level of lines that are written."""
    global _min_level  # noqa: PLW0603 - a process has one log stream
    _min_level = min_level


def is_logged(level: Level) -> bool:
    """Return whether lines of `level` are written."""
    return _SEVERITY[level] >= _SEVERITY[_min_level]


def log_event(name: str, /, level: Level = Level.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    if is_logged(level):
        eliot.log_message(
            message_type=f"arbutusflow:{name}", level=level.value, **fields
        )


def log_exception(during: str, exc: BaseException) -> None:
    """Log an error that does not stop the process."""
    log_event(
        "error",
        Level.ERROR,
        during=during,
        error=type(exc).__name__,
        detail=str(exc),
    )


def log_decision(decision: Decision) -> None:
    """Log a decision."""
    log_event(
        "decision", subject=decision.subject, what=decision.what, why=decision.why
    )
