"""Tells whether an early response that ends with its connection is complete.

A peer may respond before it has read the whole request. If its response has no length,
the end of its side completes the response, but a peer that is about to reset the
connection ends its side in the same way. After the end the event loop does not read the
connection any more, so a reset shows only as an error of the socket or of a write.

Invariants: an early response is complete only if the peer has acknowledged the whole
request, and no reset has come for the settling time after that and after its end. The
check does not end on its own while the peer takes nothing; its owner has a time limit.
"""

import asyncio
from collections.abc import Callable

from arbutusflow.gateway.closing import socket_error, unsent_bytes

CHECK_SECONDS = 0.01
SETTLING_SECONDS = 0.1


class EarlyEnd:
    """Check of one connection whose peer has ended its side.

    Calls `settle` once, with the error or an empty string, unless stopped before. The
    owner calls `stop` when the connection is lost.
    """

    def __init__(
        self, transport: asyncio.Transport, settle: Callable[[str], None]
    ) -> None:
        self._transport = transport
        self._settle = settle
        self._loop = asyncio.get_running_loop()
        self._unsettled_at = self._loop.time()  # When bytes were unsent, or the end.
        self._timer = self._loop.call_later(CHECK_SECONDS, self._check)

    def stop(self) -> None:
        """Cancel the check."""
        self._timer.cancel()

    def _check(self) -> None:
        error, now = socket_error(self._transport), self._loop.time()
        if error:
            self._settle(error)
            return
        if unsent_bytes(self._transport):
            self._unsettled_at = now
        elif now - self._unsettled_at >= SETTLING_SECONDS:
            self._settle("")
            return
        self._timer = self._loop.call_later(CHECK_SECONDS, self._check)
