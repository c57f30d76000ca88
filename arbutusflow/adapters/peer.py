"""Streams between entry instances over `grpclib`.

Each instance opens one stream to each peer that it sends to; replies are received on
the same stream. Invariants: when a stream breaks, every pending call on it fails, and
the error states whether the message may have left this process. A stream on which
nothing is received any more is closed and reopened.
"""

import asyncio
import contextlib
import functools
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server
import msgspec

from arbutusflow.adapters.logs import log_exception
from arbutusflow.adapters.peer_messages import (
    CancelRequest,
    ForwardReply,
    ForwardRequest,
    PeerMessage,
    Reply,
    StreamPing,
    StreamPong,
    decode_frame,
    encode_frame,
)
from arbutusflow.adapters.settings import Address
from arbutusflow.errors import PeerError

STREAM_METHOD = "/arbutusflow.Peer/Stream"
CONNECT_TIMEOUT_SECONDS = 0.5
RECONNECT_DELAY_SECONDS = 0.2
CLOSE_TIMEOUT_SECONDS = 0.2
PING_INTERVAL_SECONDS = 0.5
# Ticks are counted instead of seconds, so that a pause of this process is not mistaken
# for an unresponsive peer.
MAX_SILENT_TICKS = 4
# A ping is queued behind large bodies, which take seconds to send to a busy peer.
MAX_BLOCKED_TICKS = 20
# Clients ping much more often. This only frees resources of streams without clients.
SERVER_IDLE_TIMEOUT_SECONDS = 30.0
MAX_BATCH_BYTES = 1_048_576  # Both ends hold a complete frame in memory.
MAX_BATCH_MESSAGES = 128  # Bounds the delay of the first message of a frame.

Handler = Callable[[PeerMessage], Awaitable[Reply | None]]


class PeerCallError(PeerError):
    """A call to a peer failed.

    `sent` is true if the peer may have received the message; `timed_out` is true if the
    call timed out while the stream stayed open.
    """

    def __init__(self, message: str, sent: bool, timed_out: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out


class _PassthroughCodec(grpclib.encoding.base.CodecBase):
    """Passes frames through unchanged; `msgspec` has already encoded them."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: object) -> bytes:
        return message

    def decode(self, data: bytes, message_type: object) -> bytes:
        return data


class PeerLink:
    """The stream to one peer; reconnects whenever it breaks."""

    def __init__(
        self,
        address: Address,
        on_connection_refused: Callable[[], None] = lambda: None,
        ping_interval_seconds: float = PING_INTERVAL_SECONDS,
    ) -> None:
        self.address = address
        self._ping_interval_seconds = ping_interval_seconds
        self._silent_ticks = 0  # While a pong is awaited.
        self._blocked_ticks = 0  # While a queued ping is not sent yet.
        self._is_awaiting_pong = False
        self._silence_timeout = asyncio.timeout(None)
        self._on_connection_refused = on_connection_refused
        self._queue: asyncio.Queue[PeerMessage] = asyncio.Queue()
        self._pending_calls: dict[int, asyncio.Future[Reply]] = {}
        self._message_ids = itertools.count(1)
        self._connected = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def next_id(self) -> int:
        """Return a new identifier for a message that expects a reply."""
        return next(self._message_ids)

    def send(self, message: PeerMessage) -> None:
        """Send a message without a reply; drop it while disconnected."""
        if self._connected.is_set():
            self._queue.put_nowait(message)

    async def call(self, message: PeerMessage, timeout: float) -> Reply:
        """Send a message and return its reply; raise `PeerCallError` without one."""
        if not self._connected.is_set():
            try:
                async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT_SECONDS)):
                    await self._connected.wait()
            except TimeoutError:
                raise PeerCallError("the peer is not connected", sent=False) from None
        message_id: int = message.id  # type: ignore[union-attr]
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[Reply] = loop.create_future()
        self._pending_calls[message_id] = fut
        self._queue.put_nowait(message)
        # This is cheaper than `asyncio.timeout`, which cancels the task.
        timer = loop.call_later(timeout, _time_out, fut)
        try:
            return await fut
        finally:
            timer.cancel()
            self._pending_calls.pop(message_id, None)

    def tick(self) -> None:
        """Send a ping, or close the stream if nothing was received for too long."""
        if not self._connected.is_set():
            return
        if self._is_awaiting_pong:
            self._silent_ticks += 1
        elif self._blocked_ticks:
            self._blocked_ticks += 1
        if (
            self._silent_ticks >= MAX_SILENT_TICKS
            or self._blocked_ticks > MAX_BLOCKED_TICKS
        ):
            self._silence_timeout.reschedule(asyncio.get_running_loop().time())
            return
        if not self._is_awaiting_pong and not self._blocked_ticks:
            self._blocked_ticks = 1
            self._queue.put_nowait(StreamPing(self.next_id()))

    async def close(self) -> None:
        """Close the stream and stop reconnecting."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            try:
                await self._connect()
            except ConnectionRefusedError:
                self._on_connection_refused()
            except (OSError, grpclib.exceptions.StreamTerminatedError):
                pass
            except (grpclib.exceptions.GRPCError, msgspec.DecodeError) as exc:
                log_exception("peer stream failed", exc)
            self._disconnect()
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _connect(self) -> None:
        channel = grpclib.client.Channel(
            self.address.host, self.address.port, codec=_PassthroughCodec()
        )
        method = grpclib.client.StreamStreamMethod(channel, STREAM_METHOD, bytes, bytes)
        loop = asyncio.get_running_loop()
        try:
            # Closing waits until the socket is writable, which may never happen.
            async with (
                asyncio.timeout(CONNECT_TIMEOUT_SECONDS) as limit,
                method.open() as stream,
            ):
                await stream.send_request()
                limit.reschedule(None)
                try:
                    await self._receive(stream)
                finally:
                    limit.reschedule(loop.time() + CLOSE_TIMEOUT_SECONDS)
                    await stream.cancel()
        finally:
            channel.close()

    async def _receive(self, stream: Any) -> None:
        tasks = [
            asyncio.create_task(self._send_frames(stream)),
            asyncio.create_task(self._ping_periodically()),
        ]
        try:
            async with asyncio.timeout(None) as self._silence_timeout:
                self._reset_silence_counters()
                self._connected.set()
                while (frame := await stream.recv_message()) is not None:
                    self._reset_silence_counters()
                    self._resolve_calls(decode_frame(frame))
        finally:
            self._connected.clear()
            for task in tasks:
                task.cancel()

    async def _ping_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._ping_interval_seconds)
            self.tick()

    async def _send_frames(self, stream: Any) -> None:
        while True:
            batch = await _next_batch(self._queue)
            await stream.send_message(encode_frame(batch))
            if any(isinstance(message, StreamPing) for message in batch):
                self._blocked_ticks = 0
                self._is_awaiting_pong = True

    def _reset_silence_counters(self) -> None:
        self._silent_ticks = self._blocked_ticks = 0
        self._is_awaiting_pong = False

    def _resolve_calls(self, messages: list[PeerMessage]) -> None:
        for message in messages:
            fut = self._pending_calls.get(message.id)  # type: ignore[union-attr]
            if fut is not None and not fut.done():
                fut.set_result(message)  # type: ignore[arg-type]

    def _disconnect(self) -> None:
        self._connected.clear()
        while not self._queue.empty():
            self._queue.get_nowait()
        for fut in self._pending_calls.values():
            if not fut.done():
                fut.set_exception(PeerCallError("the peer stream broke", sent=True))


class PeerService:
    """Server side of the streams; passes each message to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the method table required by `grpclib`."""
        return {
            STREAM_METHOD: grpclib.const.Handler(
                self._serve, grpclib.const.Cardinality.STREAM_STREAM, bytes, bytes
            )
        }

    async def _serve(self, stream: Any) -> None:
        replies: asyncio.Queue[PeerMessage] = asyncio.Queue()
        # Identifiers are chosen by the sender and unique on its stream.
        forward_tasks: dict[int, asyncio.Task[None]] = {}
        await stream.send_initial_metadata()
        sender = asyncio.create_task(self._send_replies(stream, replies))
        try:
            while (frame := await _next_frame(stream)) is not None:
                for message in decode_frame(frame):
                    if isinstance(message, StreamPing):
                        replies.put_nowait(StreamPong(message.id))
                        continue
                    if isinstance(message, CancelRequest):
                        if message.id in forward_tasks:
                            forward_tasks[message.id].cancel()
                        continue
                    task = asyncio.create_task(self._handle(message, replies))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                    if isinstance(message, ForwardRequest):
                        forward_tasks[message.id] = task
                        task.add_done_callback(
                            functools.partial(_discard_task, forward_tasks, message.id)
                        )
        except TimeoutError:
            return
        finally:
            sender.cancel()

    async def _handle(
        self, message: PeerMessage, replies: "asyncio.Queue[PeerMessage]"
    ) -> None:
        try:
            reply = await self._handler(message)
        except Exception as exc:
            log_exception("peer message failed", exc)
            return
        if reply is not None:
            replies.put_nowait(reply)

    async def _send_replies(
        self, stream: Any, replies: "asyncio.Queue[PeerMessage]"
    ) -> None:
        while True:
            await stream.send_message(encode_frame(await _next_batch(replies)))


@contextlib.asynccontextmanager
async def peer_server(address: Address, handler: Handler) -> AsyncIterator[None]:
    """Serve peer streams on `address` while the context is active."""
    server = grpclib.server.Server([PeerService(handler)], codec=_PassthroughCodec())
    try:
        await server.start(address.host, address.port)
    except OSError as exc:
        raise address.listen_error(exc) from exc
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()


def _discard_task(
    forward_tasks: dict[int, asyncio.Task[None]],
    message_id: int,
    task: asyncio.Task[None],
) -> None:
    if forward_tasks.get(message_id) is task:
        del forward_tasks[message_id]


def _time_out(fut: "asyncio.Future[Reply]") -> None:
    if not fut.done():
        fut.set_exception(
            PeerCallError("the peer did not reply in time", sent=True, timed_out=True)
        )


def _body_bytes(message: PeerMessage) -> int:
    if isinstance(message, ForwardRequest | ForwardReply):
        return len(message.body)
    return 0


async def _next_frame(stream: Any) -> bytes | None:
    async with asyncio.timeout(SERVER_IDLE_TIMEOUT_SECONDS):
        frame: bytes | None = await stream.recv_message()
        return frame


async def _next_batch(queue: "asyncio.Queue[PeerMessage]") -> list[PeerMessage]:
    batch = [await queue.get()]
    size = _body_bytes(batch[0])
    while (
        len(batch) < MAX_BATCH_MESSAGES and size < MAX_BATCH_BYTES and not queue.empty()
    ):
        batch.append(queue.get_nowait())
        size += _body_bytes(batch[-1])
    return batch
