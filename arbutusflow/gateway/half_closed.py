"""Tells callers that have closed a connection from those that only send no more.

Both look alike until something is written: a connection that was closed answers with a
reset. So the response that is due is begun, one byte at a time, because a caller that
goes on reading may also close later.

Invariant: what is written is the start of the response that is due, in its order.
"""

import asyncio
from collections.abc import Callable

from arbutusflow.gateway.closing import socket_error

RESPONSE_START = b"HTTP/1.1 "  # Of every response.
# When the first byte that was written is looked after, and how often from then on. The
# event loop watches no connection whose input has ended.
FIRST_CHECK_SECONDS = 0.02
CHECK_SECONDS = 0.05
BYTE_SECONDS = 0.25  # From one byte to the next.


class HalfClosedWatch:
    """Watches one connection whose caller has ended its sending side.

    Its owner calls `take_written` for each response, and `stop` when none is due.
    """

    def __init__(
        self, transport: asyncio.Transport, on_gone: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._on_gone = on_gone
        self._loop = asyncio.get_running_loop()
        self._written = 0  # Bytes of the response that is due.
        self._wrote_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
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

    def _schedule(self, seconds: float) -> None:
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        if socket_error(self._transport):
            self._on_gone()
            return
        if self._loop.time() - self._wrote_at >= BYTE_SECONDS:
            self._write_byte()
        self._schedule(CHECK_SECONDS)

    def _write_byte(self) -> None:
        byte = RESPONSE_START[self._written : self._written + 1]
        if byte:
            self._transport.write(byte)
            self._written += 1
            self._wrote_at = self._loop.time()
