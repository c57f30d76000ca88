"""Reports of errors that no other code handles, and of the end of a process by one.

Invariants: whatever the event loop, the libraries and the interpreter report goes to
the event log, so nothing waits for a reader of standard error. A process that ends
otherwise than as planned writes one line about it, if it still runs code.
"""

import asyncio
import logging
import os
import signal
import sys
import types
from collections.abc import Callable
from typing import Any

from arbutusflow.gateway.event_log import EventLog

STDERR = 2
# They end a process that has no handler. Their line is written, and then they do.
FATAL_SIGNALS = (signal.SIGQUIT, signal.SIGXCPU)
# Without a meaning for an instance.
UNUSED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2)

# Returns what the process was doing, for the line about its end.
Describe = Callable[[], dict[str, Any]]


class _LibraryHandler(logging.Handler):
    """Writes what libraries and the interpreter log to the event log."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        if record.exc_info and record.exc_info[1] is not None:
            self._log.write_exception(record.getMessage(), record.exc_info[1])
            return
        self._log.write_rate_limited(
            "library_message", logger=record.name, detail=record.getMessage()
        )


def install(loop: asyncio.AbstractEventLoop, log: EventLog) -> None:
    """Write all errors that no other code handles to the event log."""

    def report_loop(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        _report(log, context["message"], context.get("exception"))

    def report_unraisable(args: Any) -> None:
        message = args.err_msg or "Exception ignored in"
        _report(log, f"{message} {args.object!r}", args.exc_value)

    loop.set_exception_handler(report_loop)
    logging.basicConfig(handlers=[_LibraryHandler(log)], force=True)
    logging.captureWarnings(True)
    sys.unraisablehook = report_unraisable
    try:
        # Tracebacks of the interpreter itself must not wait for a reader either.
        os.set_blocking(STDERR, False)
    except OSError:
        return  # Standard error is closed.


def _report(log: EventLog, message: str, exc: BaseException | None) -> None:
    if exc is None:
        log.write_rate_limited("library_message", logger="asyncio", detail=message)
    else:
        log.write_exception(message, exc)


def handle_signals(log: EventLog, describe: Describe) -> None:
    """Report the signals that have no meaning here, and those that end the process.

    These handlers run between two instructions, also while a callback holds the event
    loop.
    """

    def ignore(number: int, frame: types.FrameType | None) -> None:
        log.write("signal_ignored", signal=signal.Signals(number).name)

    def end(number: int, frame: types.FrameType | None) -> None:
        log_end(log, describe, signal.Signals(number).name)
        signal.signal(number, signal.SIG_DFL)
        os.kill(os.getpid(), number)

    for number in UNUSED_SIGNALS:
        signal.signal(number, ignore)
    for number in FATAL_SIGNALS:
        signal.signal(number, end)


def log_end(
    log: EventLog,
    describe: Describe,
    reason: str,
    exc: BaseException | None = None,
) -> None:
    """Write the line about the end of a process that was not planned."""
    if exc is not None:
        log.write_exception("the process ends", exc)
    log.write("ended", reason=reason, **describe())
