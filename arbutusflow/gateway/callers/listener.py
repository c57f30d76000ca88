"""Listening socket whose end loses no connection that was accepted before.

Invariants: a connection that the kernel or the event loop has accepted when listening
ends gets its protocol, also if this process has no descriptor for it at first; later
ones are refused by the kernel. One iteration of the event loop accepts a limited number
of connections.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

BACKLOG = 1024  # Connections that the kernel accepts ahead of this process.
MAX_ACCEPTS = 64  # In one iteration of the event loop.
# Pause before accepting again when descriptors, memory or room are short.
RETRY_SECONDS = 0.05
REPORT_INTERVAL_SECONDS = 1.0  # Between reports that resources are short.
_SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Listener:
    """Accepts connections at one address."""

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        on_error: Callable[[str, BaseException], None],
        has_room: Callable[[], bool] = lambda: True,
    ) -> None:
        self._make_protocol = make_protocol
        self._on_error = on_error
        self._has_room = has_room  # Whether another connection may be accepted now.
        self._sock: socket.socket | None = None
        # Connections that are being set up.
        self._accepting: set[asyncio.Task[object]] = set()
        self._stopping = False
        self._accepts_left = BACKLOG  # After `stop`.
        self._reported_at = float("-inf")

    def start(self, host: str, port: int) -> None:
        """Start listening. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._sock.setblocking(False)
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    @property
    def port(self) -> int:
        """The listening port; port 0 lets the operating system choose it."""
        assert self._sock is not None
        return int(self._sock.getsockname()[1])

    @property
    def accepting(self) -> int:
        """Number of accepted connections that have no protocol yet."""
        return len(self._accepting)

    @property
    def is_busy(self) -> bool:
        """Whether connections that were accepted in time have no protocol yet."""
        return bool(self._accepting) or (self._stopping and self.is_open)

    @property
    def is_open(self) -> bool:
        """Whether the kernel holds connections for this process."""
        return self._sock is not None and self._sock.fileno() >= 0

    def stop(self) -> None:
        """End listening when the connections that the kernel has accepted are taken."""
        if self._stopping or not self.is_open:
            return
        self._stopping = True
        self._pause()
        asyncio.get_running_loop().call_soon(self._accept)

    def _accept(self) -> None:
        """Take connections from the kernel, or pause if that is not possible now."""
        if not self.is_open:
            return
        for _ in range(MAX_ACCEPTS):
            if not self._accept_one():
                return
        if self._stopping:
            asyncio.get_running_loop().call_soon(self._accept)

    def _accept_one(self) -> bool:
        """Take one connection; return whether the next may be taken at once."""
        assert self._sock is not None
        if self._stopping and self._accepts_left <= 0:
            self._end_if_stopping()
            return False
        if not self._has_room():
            self._retry_later()
            return False
        try:
            sock, _address = self._sock.accept()
        except ConnectionAbortedError:
            return True  # The caller has reset it.
        except (BlockingIOError, InterruptedError):
            self._end_if_stopping()
            return False
        except OSError as exc:
            self._report(exc)
            if exc.errno in _SHORTAGES:
                self._retry_later()
            else:
                self._end_if_stopping()
            return False
        if self._stopping:
            self._accepts_left -= 1
        self._set_up(sock)
        return True

    def _end_if_stopping(self) -> None:
        """End listening after `stop`, as no connection is left to be taken."""
        if self._stopping and self._sock is not None:
            self._sock.close()

    def _set_up(self, sock: socket.socket) -> None:
        setup = asyncio.get_running_loop().connect_accepted_socket(
            self._make_protocol, sock
        )
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(setup)
        self._accepting.add(task)
        task.add_done_callback(self._finish_accepting)

    def _finish_accepting(self, task: asyncio.Task[object]) -> None:
        self._accepting.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._on_error("setting up a connection", exc)

    def _pause(self) -> None:
        assert self._sock is not None
        asyncio.get_running_loop().remove_reader(self._sock)

    def _retry_later(self) -> None:
        """Accept again soon; until then the kernel holds the connections."""
        self._pause()
        asyncio.get_running_loop().call_later(RETRY_SECONDS, self._resume)

    def _resume(self) -> None:
        if self._stopping:
            self._accept()
        elif self.is_open:
            assert self._sock is not None
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _report(self, exc: OSError) -> None:
        """Report an error, but not each time that accepting is tried again."""
        now = asyncio.get_running_loop().time()
        if now - self._reported_at >= REPORT_INTERVAL_SECONDS:
            self._reported_at = now
            self._on_error("accepting connections", exc)
