"""One connection from a caller: reads its requests and writes the responses in order.

Invariants: responses are sent in the order of the requests; every complete request gets
a response unless its caller disconnects or an earlier response closes the connection;
nothing after a malformed request is processed.
"""

import asyncio
import collections
import dataclasses
import functools
from typing import TYPE_CHECKING

from arbutusflow.gateway.callers.messages import (
    CallerRequest,
    CallerResponse,
    encode_response,
)
from arbutusflow.gateway.callers.request_reader import RETRY_SOON, RequestReader
from arbutusflow.gateway.callers.watch import CallerWatch
from arbutusflow.gateway.closing import (
    TwoStepClose,
    enlarge_send_buffer,
    unread_bytes,
    unsent_bytes,
)

if TYPE_CHECKING:
    from arbutusflow.gateway.callers.server import CallerServer

# Reading pauses at this number of unanswered requests on a connection; the requests of
# one received chunk may exceed it.
MAX_PIPELINED_REQUESTS = 16
# How long after its start a connection is not closed as idle by a planned stop.
NEW_CONNECTION_SECONDS = 0.25


class _PipelinedRequest:
    """One request in the pipeline of a connection, and its response."""

    __slots__ = ("keep_alive", "reply", "request", "task")

    def __init__(self, request: CallerRequest | None, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.reply: CallerResponse | None = None
        self.task: asyncio.Task[None] | None = None


class CallerConnection(asyncio.Protocol):
    """One connection from a caller."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(self, server)
        self._pipeline: collections.deque[_PipelinedRequest] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._opened_at = self.idle_since = self._loop.time()
        self._closing: TwoStepClose | None = None  # Set when the responses have ended.
        self._watch: CallerWatch | None = None  # Set while there is a transport.
        self._latest_request: CallerRequest | None = None  # That has a response.
        self._end_cause: str | None = None  # Why this instance ends the connection.
        self._reading_paused = False
        self._writing_paused = False
        self._ready_bytes = 0  # Of responses behind one that is not there yet.
        self._unsent_bytes = 0  # As counted by the budget for them.

    @property
    def pending_requests(self) -> int:
        """Number of requests without a response, including one being read."""
        return len(self._pipeline) + (1 if self._reader.request_started else 0)

    @property
    def _is_new(self) -> bool:
        """Whether the first request may still be on its way."""
        age = self._loop.time() - self._opened_at
        return not self._reader.closed and age < NEW_CONNECTION_SECONDS

    @property
    def is_closing(self) -> bool:
        """Whether the responses have ended, and what still arrives is discarded."""
        return (
            self._closing is not None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def is_busy(self) -> bool:
        """Whether there is or may soon be a request, or the caller reads a response."""
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        waiting = bool(self.pending_requests or unsent) or self._has_unread_input()
        return waiting or self._is_new or self.is_closing

    @property
    def is_idle(self) -> bool:
        """Whether the connection may be closed without loss."""
        if self._transport is not None and self._transport.is_closing():
            return False
        return not (self.pending_requests or self._is_new or self.is_closing)

    def _has_unread_input(self) -> bool:
        """Whether bytes of the caller are read in the next iteration of the loop."""
        return (
            self._transport is not None
            and not self._reader.closed
            and not self._reading_paused
            and not self._transport.is_closing()
            and unread_bytes(self._transport) > 0
        )

    # Callbacks of `asyncio.Protocol`.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._watch = CallerWatch(
            transport, lambda: bool(self._pipeline), self._end_for_caller
        )
        self._server.connections.add(self)
        self._start_timer(self._server.limits.idle_seconds)
        if self._server.stopping:
            self.prepare_end()

    def prepare_end(self) -> None:
        """Let the kernel take what the caller may not read before the process ends."""
        if self._transport is not None:
            enlarge_send_buffer(self._transport, self._server.send_buffer_limit)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the cancellable requests of a caller that disconnected."""
        self._reader.closed = True
        self._server.connections.discard(self)
        self._stop_timer()
        if self._closing is not None:
            self._closing.stop()
        if self._watch is not None:
            self._watch.stop()
        self._reader.release_body()
        self._count_unsent()
        self._report_end(self._end_cause or _end_cause(exc))
        for pipelined in self._pipeline:
            if (
                pipelined.task is not None
                and pipelined.request
                and pipelined.request.cancellable
            ):
                pipelined.task.cancel()

    def eof_received(self) -> bool:
        """Answer what is complete, unless the caller turns out to be gone."""
        if self._transport is None or self._watch is None:
            return False
        if not self._pipeline:
            if not self._closing and unsent_bytes(self._transport):
                # Asyncio would wait without end for a caller that takes nothing.
                self._close_after_response()
            return self._closing is not None
        self._close_input()
        self._end_cause = "caller_closed"
        self._watch.end_side()
        return True

    def _end_for_caller(self) -> None:
        """End the connection of a caller that is gone."""
        self._end_cause = "caller_closed"
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Pause reading until writing resumes or the ready responses are written."""
        self._writing_paused = True
        self._count_unsent()
        self._pause()

    def resume_writing(self) -> None:
        """Resume reading after the write buffer was drained."""
        self._writing_paused = False
        self._count_unsent()
        if len(self._pipeline) < MAX_PIPELINED_REQUESTS:
            self._resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._reader.feed(data)
        if not self._reader.closed and len(self._pipeline) >= MAX_PIPELINED_REQUESTS:
            self._pause()

    # Calls of the reader.

    @property
    def has_pending(self) -> bool:
        """Whether requests that were read before have no response."""
        return bool(self._pipeline)

    def begin_request(self) -> None:
        """Start the time limit for a head."""
        if not self._pipeline:
            self._start_timer(self._server.limits.header_seconds)

    def begin_body(self, expects_continue: bool) -> None:
        """Start the time limit for a body, and let the caller send it."""
        self._start_body_timer()
        if expects_continue and not self._pipeline:
            # Behind another request it would stand before or within its response.
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def continue_body(self) -> None:
        """Start the time until the next part of the body."""
        self._start_body_timer()

    def accept(self, req: CallerRequest, keep_alive: bool, reserved_bytes: int) -> None:
        """Start the handler for a complete request."""
        self._stop_timer()
        pipelined = _PipelinedRequest(req, keep_alive)
        self._pipeline.append(pipelined)
        pipelined.task = self._loop.create_task(self._serve(pipelined, reserved_bytes))

    # Responses.

    async def _serve(self, pipelined: _PipelinedRequest, reserved_bytes: int) -> None:
        assert pipelined.request is not None
        try:
            pipelined.reply = await self._server.handler(pipelined.request)
        except asyncio.CancelledError as exc:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                return
            # Not this task was cancelled, but something that its handler waited for.
            self._server.on_error("request", exc)
            pipelined.reply = CallerResponse(500)
        except Exception as exc:
            # A bug in this program. Status 500 does not tell whether the request has
            # run.
            self._server.on_error("request", exc)
            pipelined.reply = CallerResponse(500)
        finally:
            if reserved_bytes:
                self._server.budget.release(reserved_bytes)
        if self._pipeline:  # Else the response was dropped.
            self._count_unsent(len(pipelined.reply.body))
        self._write_ready_responses()

    def reject(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Respond with an error and process no further input."""
        self._close_input()
        pipelined = _PipelinedRequest(None, keep_alive=False)
        pipelined.reply = CallerResponse(status, headers)
        self._pipeline.append(pipelined)
        self._write_ready_responses()

    def _close_input(self) -> None:
        """Process no further input; a request that is not complete is dropped."""
        self._reader.close()
        self._stop_timer()

    def finish(self) -> None:
        """Cancel the handlers, which respond, and close the connection after that."""
        if self.is_closing:
            return
        if self._reader.request_started:
            self.reject(503, RETRY_SOON)
        elif not self._pipeline and self._has_unread_input():
            return  # It is rejected when it is read.
        else:
            self._close_input()
        for pipelined in self._pipeline:
            if pipelined.task is not None and pipelined.reply is None:
                pipelined.task.add_done_callback(
                    functools.partial(self._ensure_response, pipelined)
                )
                pipelined.task.cancel()
        if not self._pipeline and not self.is_closing:
            self._close_idle()

    def _ensure_response(
        self, pipelined: _PipelinedRequest, task: "asyncio.Task[None]"
    ) -> None:
        """Respond to a request whose handler was cancelled before it began."""
        if pipelined.reply is None:
            pipelined.reply = CallerResponse(503)
            self._write_ready_responses()

    def _write_ready_responses(self) -> None:
        try:
            self._write_next_responses()
        except Exception as exc:
            # A bug in this program. The responses behind it would never be written.
            self._server.on_error("writing a response", exc)
            self._cancel_pipeline("error")
            if self._transport is not None:
                self._transport.abort()

    def _write_next_responses(self) -> None:
        while self._pipeline and self._pipeline[0].reply is not None:
            pipelined = self._pipeline.popleft()
            if self._server.stopping:
                # Endpoints may be running the requests behind this one.
                self._close_input()
            keep = pipelined.keep_alive
            if self._reader.closed and not self._pipeline:
                keep = False
            if pipelined.reply is not None:
                head_only = (
                    pipelined.request is not None
                    and pipelined.request.method == b"HEAD"
                )
                self._latest_request = _without_body(pipelined.request)
                data = self._encode(pipelined.reply, keep, head_only)
                if self._watch is not None:
                    data = data[self._watch.take_written() :]
                self._write(data)
                self._count_unsent(-len(pipelined.reply.body))
            if not keep:
                # Only behind a request that itself asked for the close.
                self._cancel_pipeline("behind_closing_response")
                self._close_after_response()
                return
        if not self._pipeline:
            self.idle_since = self._loop.time()
            if not self._reader.request_started:
                self._start_timer(self._server.limits.idle_seconds)
            elif not self._reader.in_body:
                # A head that began to arrive behind an earlier request has no timer.
                self._start_timer(self._server.limits.header_seconds)
        if not self._writing_paused:
            self._resume()

    def _encode(self, reply: CallerResponse, keep: bool, head_only: bool) -> bytes:
        try:
            return encode_response(reply, keep, head_only)
        except (TypeError, ValueError) as exc:
            # A bug in this program, as in `_serve`.
            self._server.on_error("encoding a response", exc)
            return encode_response(CallerResponse(500), keep, head_only)

    def report_unanswered(self, cause: str) -> None:
        """Report the complete requests that have no response."""
        for req in self._report_end(cause):
            self._server.on_cut(req, cause)

    def _report_end(self, cause: str) -> list[CallerRequest]:
        """Report the end of the connection; return the requests without a response."""
        requests = [item.request for item in self._pipeline if item.request is not None]
        if requests:
            self._server.on_end(cause, requests)
        return requests

    def report_unsent(self, cause: str) -> None:
        """Report the latest response if its caller has not taken all of it."""
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        if unsent and self._latest_request is not None:
            self._server.on_cut(self._latest_request, cause)

    def _cancel_pipeline(self, cause: str) -> None:
        self.report_unanswered(cause)
        for pipelined in self._pipeline:
            if pipelined.task is not None:
                pipelined.task.cancel()
        self._pipeline.clear()
        self._count_unsent(-self._ready_bytes)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _count_unsent(self, ready_bytes: int = 0) -> None:
        """Count the responses in memory; less than pauses writing is not counted.

        `ready_bytes` is how many more of them wait for those before them.
        """
        self._ready_bytes += ready_bytes
        size = 0
        if self._transport is not None and not self._transport.is_closing():
            size = self._ready_bytes
            if self._writing_paused:
                size += self._transport.get_write_buffer_size()
        change, self._unsent_bytes = size - self._unsent_bytes, size
        if change:
            self._server.unsent_budget.count(change)

    def _close_idle(self) -> None:
        """Close the connection, in two steps if its caller still reads a response.

        It stays open if a request waits to be read.
        """
        if self._has_unread_input():
            return
        if self._transport is not None and unsent_bytes(self._transport):
            self._close_after_response()
            return
        self._reader.closed = True
        if self._transport is not None:
            self._transport.close()

    def _close_after_response(self) -> None:
        """Close the connection in two steps; what still arrives is discarded."""
        self._close_input()
        if self._transport is None or self._transport.is_closing() or self._closing:
            return
        if self._watch is not None:
            self._watch.stop()
        self._resume()
        idle_seconds = self._server.limits.idle_seconds
        self._closing = TwoStepClose(self._transport, idle_seconds)
        self._closing.begin()

    def close_if_idle(self) -> None:
        """Close the connection unless it is new or has a pending request."""
        if self.is_idle:
            self._close_idle()

    # Timers and flow control.

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._time_out)

    def _start_body_timer(self) -> None:
        remaining = self._reader.read_until - self._loop.time()
        self._start_timer(max(0.0, min(self._server.limits.idle_seconds, remaining)))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        if self._pipeline and self._loop.time() < self._reader.read_until:
            if self._reader.request_started:
                self._start_body_timer()
            return
        if self._reader.request_started:
            self.reject(408)
        else:
            self._close_idle()

    def _pause(self) -> None:
        if (
            not self._reading_paused
            and self._transport
            and not self._transport.is_closing()
        ):
            self._reading_paused = True
            self._transport.pause_reading()
            if self._watch is not None:
                self._watch.pause()

    def _resume(self) -> None:
        if (
            self._reading_paused
            and self._transport
            and not self._transport.is_closing()
        ):
            self._reading_paused = False
            self._transport.resume_reading()
            if self._watch is not None:
                self._watch.resume()


def _end_cause(exc: Exception | None) -> str:
    """Return why a connection ended that this instance did not mean to end."""
    if exc is None:
        return "closed"
    return "caller_reset" if isinstance(exc, OSError) else "error"


def _without_body(req: CallerRequest | None) -> CallerRequest | None:
    """Return a request that is kept only to be reported."""
    if req is None or not req.body:
        return req
    return dataclasses.replace(req, body=b"")
