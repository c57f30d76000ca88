"""Listening socket whose end loses no connection that was accepted before.

Invariants: a connection that the kernel or the event loop has accepted when listening
ends gets its protocol; later ones are refused by the kernel.
"""

import asyncio
import socket
from collections.abc import Callable, Iterator

BACKLOG = 1024  # Connections that the kernel accepts ahead of this process.


class Listener:
    """Accepts connections at one address."""

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        on_error: Callable[[str, BaseException], None],
    ) -> None:
        self._make_protocol = make_protocol
        self._on_error = on_error
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        # Connections that are being set up when listening ends.
        self._accepting: set[asyncio.Task[object]] = set()

    async def start(self, host: str, port: int) -> None:
        """Start listening. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._sock.setblocking(False)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, sock=self._sock, backlog=BACKLOG
        )

    @property
    def port(self) -> int:
        """The listening port; port 0 lets the operating system choose it."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def is_busy(self) -> bool:
        """Whether accepted connections have no protocol yet."""
        return bool(self._accepting)

    def stop(self) -> None:
        """End listening soon."""
        if self._sock is None or self._sock.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        # asyncio drops connections that it has accepted and not set up when the server
        # is closed. They are set up in the next iteration of the loop.
        loop.call_soon(self._close)

    def _close(self) -> None:
        assert self._server is not None
        loop = asyncio.get_running_loop()
        for sock in self._accept_queued():
            setup = loop.connect_accepted_socket(self._make_protocol, sock)
            task: asyncio.Task[object] = loop.create_task(setup)
            self._accepting.add(task)
            task.add_done_callback(self._finish_accepting)
        self._server.close()

    def _accept_queued(self) -> Iterator[socket.socket]:
        assert self._sock is not None
        for _ in range(BACKLOG):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue  # The caller has reset it.
            except OSError as exc:
                self._on_error("accepting queued connections", exc)
                return
            sock.setblocking(False)
            yield sock

    def _finish_accepting(self, task: asyncio.Task[object]) -> None:
        self._accepting.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._on_error("accepting queued connections", exc)
