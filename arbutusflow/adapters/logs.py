"""Logs as JSON lines on standard error, written by `eliot`.

Invariant: no payload and no secret of a request is logged.
"""

import sys

import eliot

from arbutusflow.domain.records import Decision


def start_logging() -> None:
    """Send the process's log to standard error."""
    eliot.to_file(sys.stderr)


def log_event(name: str, /, **fields: object) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=f"arbutusflow:{name}", **fields)


def log_exception(event: str, exc: BaseException) -> None:
    """Log an error that the process goes on after."""
    log_event("error", during=event, error=type(exc).__name__, detail=str(exc))


def log_decision(decision: Decision) -> None:
    """Log one entry of the decision record."""
    log_event(
        "decision", subject=decision.subject, what=decision.what, why=decision.why
    )
