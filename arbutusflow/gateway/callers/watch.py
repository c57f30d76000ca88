"""Notices callers that have closed a connection from which nothing is read.

Nothing is read after the caller has ended its side, nor while reading is paused; the
event loop then watches the connection for nothing. A caller that has closed and one
that only sends no more look alike until something is written: a connection that was
closed answers with a reset. So once the caller's side has ended, the response that is
due is begun, one byte at a time, because a caller that goes on reading may close later.

Invariant: what is written is the start of the response that is due, in its order.
"""

import asyncio
import select
from collections.abc import Callable

from arbutusflow.gateway.callers.messages import RESPONSE_START

# How soon a reset is looked for after a byte was written, and how often from then on.
FIRST_CHECK_SECONDS = 0.02
CHECK_SECONDS = 0.05
BYTE_SECONDS = 0.25  # From one byte to the next.


class CallerWatch:
    """Watches one connection.

    Its owner calls `take_written` for each response, and `stop` when it closes.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        is_due: Callable[[], bool],
        on_gone: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._is_due = is_due  # Whether a response is due.
        self._on_gone = on_gone
        self._loop = asyncio.get_running_loop()
        self._side_ended = False  # Whether the caller sends no more.
        self._written = 0  # Bytes of the response that is due.
        self._wrote_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._socket = transport.get_extra_info("socket")

    def pause(self) -> None:
        """Watch the connection while reading is paused and a response is due."""
        if self._timer is None and self._is_due():
            self._schedule(CHECK_SECONDS)

    def resume(self) -> None:
        """Leave the end of the caller's side to the event loop, unless it is known."""
        if not self._side_ended:
            self.stop()

    def end_side(self) -> None:
        """Begin the responses that are due, and watch for a reset."""
        if self._side_ended:
            return
        self._side_ended = True
        self.stop()
        self._write_byte()
        self._schedule(FIRST_CHECK_SECONDS)

    def take_written(self) -> int:
        """Return how many bytes of a response are written; the next one is then due."""
        written, self._written = self._written, 0
        return written

    def stop(self) -> None:
        """Write no further bytes, and report nothing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, seconds: float) -> None:
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        events = self._events()
        if events & select.POLLERR:
            self._on_gone()
        elif events & select.POLLRDHUP and not self._side_ended:
            self.end_side()
        else:
            pause = CHECK_SECONDS
            if self._side_ended and self._loop.time() - self._wrote_at >= BYTE_SECONDS:
                self._write_byte()
                pause = FIRST_CHECK_SECONDS
            if self._side_ended or self._is_due():
                self._schedule(pause)

    def _events(self) -> int:
        if self._socket is None or self._socket.fileno() < 0:
            return 0
        poll = select.poll()
        poll.register(self._socket, select.POLLRDHUP)
        return sum(events for _, events in poll.poll(0))

    def _write_byte(self) -> None:
        byte = RESPONSE_START[self._written : self._written + 1]
        if byte and self._is_due():
            self._transport.write(byte)
            self._written += 1
            self._wrote_at = self._loop.time()
