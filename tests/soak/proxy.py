"""Loopback proxy that delays, holds, silences, refuses or resets TCP connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultyProxy:
    """Forwards connections to one target.

    A cut holds bytes until it heals, as a partition does, in one direction or both.
    Silenced connections deliver nothing any more, while new ones work.
    """

    def __init__(self, target_port: int, host: str = "127.0.0.1") -> None:
        self._target_port = target_port
        self._host = host
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self.port = 0
        self.delay_seconds = 0.0
        self.refuses = False
        self.open_up = asyncio.Event()  # Towards the target.
        self.open_down = asyncio.Event()
        self.heal()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def heal(self) -> None:
        """Deliver again; silenced connections stay silent."""
        self.open_up.set()
        self.open_down.set()
        self.refuses, self.delay_seconds = False, 0.0

    def cut(self, *, up: bool = True, down: bool = True) -> None:
        """Hold the bytes of one direction or of both."""
        if up:
            self.open_up.clear()
        if down:
            self.open_down.clear()

    def silence(self) -> None:
        """Let the open connections deliver nothing for ever."""
        for link in self._links:
            link.silent = True

    def reset(self) -> None:
        """Reset the open connections."""
        for link in list(self._links):
            link.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = _Link(self, writer)
        if self.refuses:
            link.reset()
            return
        self._links.add(link)
        try:
            up_reader, link.target = await asyncio.open_connection(
                self._host, self._target_port
            )
            await asyncio.gather(
                link.pump(reader, link.target, self.open_up),
                link.pump(up_reader, writer, self.open_down),
            )
        except (OSError, asyncio.CancelledError):
            pass  # Either side ended, or the run; both sides are reset below.
        finally:
            self._links.discard(link)
            link.reset()


class _Link:
    """One proxied connection."""

    def __init__(self, proxy: FaultyProxy, writer: asyncio.StreamWriter) -> None:
        self._proxy = proxy
        self._writer = writer
        self.target: asyncio.StreamWriter | None = None
        self.silent = False

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self._proxy.delay_seconds:
                await asyncio.sleep(self._proxy.delay_seconds)
            await is_open.wait()
            if self.silent and data:
                continue
            if self.silent:
                return
            if not data:
                raise ConnectionResetError  # Ends the other direction, too.
            writer.write(data)
            await writer.drain()

    def reset(self) -> None:
        for writer in (self._writer, self.target):
            if writer is None:
                continue
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()
