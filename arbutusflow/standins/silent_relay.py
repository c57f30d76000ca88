"""TCP relay that can make its open connections go silent.

It stands in for a middlebox that lost track of connections: they stay open and
accept bytes, but nothing is passed on. Connections that open later are relayed.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

READ_BYTES = 65_536


class SilentRelay:
    """Relays connections to one address."""

    def __init__(self, host: str, port: int) -> None:
        self.port = 0
        self.opened = 0
        self.swallowed = asyncio.Event()
        self._target = (host, port)
        self._silent: set[int] = set()
        self._open: dict[int, asyncio.Task[None]] = {}

    @property
    def open_connections(self) -> int:
        """Return the number of connections that the client has not closed."""
        return len(self._open)

    def silence(self) -> None:
        """Make the connections that are open now go silent."""
        self._silent |= set(self._open)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until the client closes it."""
        self.opened += 1
        number = self.opened
        task = asyncio.current_task()
        assert task is not None
        self._open[number] = task
        answers: asyncio.Task[None] | None = None
        try:
            back, forth = await asyncio.open_connection(*self._target)
            answers = asyncio.create_task(self._pass_on(number, back, writer))
            await self._pass_on(number, reader, forth)
            forth.close()
        except OSError:
            pass
        finally:
            del self._open[number]
            if answers is not None:
                answers.cancel()
            writer.close()

    async def _pass_on(
        self, number: int, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(READ_BYTES):
            if number in self._silent:
                self.swallowed.set()
                continue
            target.write(data)
            await target.drain()

    def close(self) -> None:
        """Close all connections."""
        for task in self._open.values():
            task.cancel()


@contextlib.asynccontextmanager
async def silent_relay(host: str, port: int) -> AsyncIterator[SilentRelay]:
    """Relay a free loopback port to `host` and `port` while the context is open."""
    relay = SilentRelay(host, port)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    relay.port = server.sockets[0].getsockname()[1]
    try:
        yield relay
    finally:
        server.close()
        relay.close()
        await server.wait_closed()
