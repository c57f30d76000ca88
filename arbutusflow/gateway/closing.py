"""Closes connections to callers without discarding what they have not read yet.

Closing a socket with unread bytes sends a reset, which discards what the kernel has not
delivered. A connection is therefore closed in two steps: this side ends, and what still
arrives is read and discarded by the owner of the transport; then the socket is closed.

The kernel delivers what it has been given, also when the process has ended, unless the
caller sends more: that is answered by a reset. What is then left in the memory of the
process is lost, so the send buffers are enlarged when a stop begins.

Invariants: nothing is written after `begin`; a caller that goes on reading gets all
that was written; one that reads nothing for the stall time is reset.
"""

import asyncio
import contextlib
import fcntl
import os
import pathlib
import socket
import struct
import termios

# For how long input is discarded after all that was written has been delivered, and how
# often this is checked.
LINGER_SECONDS = 0.5
SEND_BUFFER_LIMIT_PATH = pathlib.Path("/proc/sys/net/core/wmem_max")
_INT = struct.Struct("i")


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer has not acknowledged."""
    return transport.get_write_buffer_size() + _kernel_bytes(
        transport, termios.TIOCOUTQ
    )


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel has received and the event loop hasn't read."""
    return _kernel_bytes(transport, termios.FIONREAD)


def socket_error(transport: asyncio.Transport) -> str:
    """Return the pending error of a connection, empty if there is none."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return ""
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return os.strerror(number) if number else ""


def enlarge_send_buffer(transport: asyncio.Transport, allowed: int) -> None:
    """Let the kernel take `allowed` bytes of what is written.

    To be called before the buffer is full: the kernel reports room only when a third of
    the buffer is free.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    with contextlib.suppress(OSError):  # The caller has reset the connection.
        # The kernel doubles it, for what it keeps beside the bytes.
        if 2 * allowed > sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, allowed)


def read_send_buffer_limit() -> int:
    """Return the largest send buffer that may be set, 0 if the system does not tell.

    To be read at the start, as it takes a descriptor.
    """
    try:
        return int(SEND_BUFFER_LIMIT_PATH.read_text())
    except (OSError, ValueError):
        return 0


def _kernel_bytes(transport: asyncio.Transport, queue: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        reply = fcntl.ioctl(sock.fileno(), queue, bytes(_INT.size))
    except OSError:
        return 0  # The system does not tell; then only the own buffer counts.
    return int(_INT.unpack(reply)[0])


class TwoStepClose:
    """Closing of one connection.

    The owner discards what it receives, and calls `stop` when the connection is lost.
    """

    def __init__(self, transport: asyncio.Transport, stall_seconds: float) -> None:
        self._transport = transport
        self._stall_seconds = stall_seconds
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._unsent = 0
        self._progress_at = self._loop.time()

    def begin(self) -> None:
        """End this side of the connection."""
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()  # The caller has reset the connection.
            return
        self._unsent = unsent_bytes(self._transport)
        self._timer = self._loop.call_later(LINGER_SECONDS, self._check)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        unsent, now = unsent_bytes(self._transport), self._loop.time()
        if not unsent and not self._unsent:
            self._transport.close()
            return
        if unsent < self._unsent:
            self._progress_at = now
        elif now - self._progress_at >= self._stall_seconds:
            self._transport.abort()
            return
        self._unsent = unsent
        self._timer = self._loop.call_later(LINGER_SECONDS, self._check)
