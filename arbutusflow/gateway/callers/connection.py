"""One connection from a caller: reads its requests and writes the responses in order.

Invariants: responses are sent in the order of the requests; every complete request gets
a response unless its caller disconnects or an earlier response closes the connection;
nothing after a malformed request is processed.
"""

import asyncio
import collections
import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

from arbutusflow.gateway.callers.memory_account import REQUEST_BYTES, Holding
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

# Reading pauses at this number of unanswered requests on a connection, and so many are
# with the handler at a time. The requests of one slice of the input may exceed it.
MAX_PIPELINED_REQUESTS = 16
READ_BYTES = 16_384  # At a time: more waits in the kernel for the next turn.
LONG_READ_BYTES = 65_536  # While a body arrives.
# Least mean rate of a body that has been arriving for longer than a caller may be idle.
# A modem of 1990 sends 300 bytes per second.
LEAST_BYTES_PER_SECOND = 64
WAITING_SECONDS = 0.1  # Until time limits are looked at again while input waits.
# How long after its start a connection is not closed as idle by a planned stop.
NEW_CONNECTION_SECONDS = 0.25


class _PipelinedRequest:
    """One request in the pipeline of a connection, and its response."""

    __slots__ = (
        "charge",
        "keep_alive",
        "ready_bytes",
        "reply",
        "request",
        "reserved_bytes",
        "task",
    )

    def __init__(self, request: CallerRequest | None, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.reply: CallerResponse | None = None
        # Set when the request is passed to the handler.
        self.task: asyncio.Task[None] | None = None
        self.reserved_bytes = 0  # Of the budget for bodies.
        self.charge = 0  # Of the account for the memory of callers.
        self.ready_bytes = 0  # Of a response that waits for those before it.


class _Limit(enum.Enum):
    """What the timer of a connection limits."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


class CallerConnection(asyncio.BufferedProtocol):
    """One connection from a caller."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._pipeline: collections.deque[_PipelinedRequest] = collections.deque()
        # Those at its end that have not been passed to the handler.
        self._waiting: collections.deque[_PipelinedRequest] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._limit: _Limit | None = None  # Of the timer.
        self._opened_at = self.idle_since = self._loop.time()
        self.holding = Holding(server.account)
        self._reader = RequestReader(self, server, self.holding)
        self._body_began_at = 0.0  # Times when reading was paused do not count.
        self._body_at = 0.0  # When the latest part of the body arrived.
        self._body_size = 0  # Of the parts that have arrived by then.
        self._paused_at = 0.0
        self._has_turn = False  # Whether the rest of the input has its turn soon.
        self._lost = False
        self._closing: TwoStepClose | None = None  # Set when the responses have ended.
        self._watch: CallerWatch | None = None  # Set while there is a transport.
        self._latest_request: CallerRequest | None = None  # That has a response.
        self._end_cause: str | None = None  # Why this instance ends the connection.
        self._reading_paused = False
        self._writing_paused = False
        self._ready_bytes = 0  # Of responses behind one that is not there yet.
        self._unsent_bytes = 0  # As counted by the budget for them.
        self._latest_charge = 0  # For the latest request, while it is kept.

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
        """Whether bytes of the caller are read in one of the next iterations."""
        if (
            self._transport is None
            or self._reader.closed
            or self._transport.is_closing()
        ):
            return False
        if self._reader.has_rest:
            return True
        return not self._reading_paused and unread_bytes(self._transport) > 0

    # Callbacks of `asyncio.Protocol`.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._watch = CallerWatch(
            transport, lambda: bool(self._pipeline), self._end_for_caller
        )
        # Responses that the kernel does not take are counted from their first byte.
        transport.set_write_buffer_limits(high=0)
        self._server.connections.add(self)
        peer = transport.get_extra_info("peername")
        self._server.account.open(
            self.holding, peer[0] if peer else "", self._loop.time()
        )
        self._start_timer(self._server.limits.idle_seconds, _Limit.IDLE)
        if self._server.stopping:
            self.prepare_end()
        self._server.make_room_soon()

    def prepare_end(self) -> None:
        """Let the kernel take what the caller may not read before the process ends."""
        if self._transport is not None:
            enlarge_send_buffer(self._transport, self._server.send_buffer_limit)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the cancellable requests of a caller that disconnected."""
        self._lost = True
        self._reader.close()
        self._server.connections.discard(self)
        self._stop_timer()
        if self._closing is not None:
            self._closing.stop()
        if self._watch is not None:
            self._watch.stop()
        self._count_unsent()
        self._report_end(self._end_cause or _end_cause(exc))
        for pipelined in self._pipeline:
            if pipelined.task is None or pipelined.reply is not None:
                # No task that ends later returns it.
                self._return_charge(pipelined)
            elif pipelined.request and pipelined.request.cancellable:
                pipelined.task.cancel()
                # The task may never begin.
                self._return_charge(pipelined)
        self._waiting.clear()
        self._server.account.close(self.holding)

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
        if not self.is_full:
            self._resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next bytes, which all connections share."""
        size = LONG_READ_BYTES if self._reader.in_body else READ_BYTES
        return self._server.read_buffer(LONG_READ_BYTES)[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read into the buffer."""
        self.data_received(bytes(self._server.read_buffer(LONG_READ_BYTES)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._reader.feed(data)
        self._continue_reading()

    def _continue_reading(self) -> None:
        """Start the time limits of what is being read, and read on if possible."""
        reader = self._reader
        if reader.closed:
            return
        if reader.request_started:
            self._limit_request()
        if self.is_full:
            self._pause()
        elif reader.has_rest:
            self._pause()
            self._ask_for_turn()

    def _ask_for_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._server.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        """Pass the next request to the handler, or parse more of the input."""
        self._has_turn = False
        if self._lost:
            return
        try:
            if self._waiting:
                self._start_next()
            elif not (self.is_full or self._writing_paused):
                # Else it goes on when the responses are written.
                self._read_on()
        except Exception as exc:
            # A bug in this program. The rest of the input would never be read.
            self._server.on_error("reading a request", exc)
            if self._transport is not None:
                self._transport.abort()

    def _read_on(self) -> None:
        self._reader.read_on()
        self._continue_reading()
        if not (self._reader.has_rest or self.is_full or self._writing_paused):
            self._resume()

    # Calls of the reader.

    @property
    def has_pending(self) -> bool:
        """Whether requests that were read before have no response."""
        return bool(self._pipeline)

    @property
    def is_full(self) -> bool:
        """Whether so many requests have no response that no more are read."""
        return len(self._pipeline) >= MAX_PIPELINED_REQUESTS

    def ask_for_body(self) -> None:
        """Let the caller send the body."""
        if not self._pipeline:
            # Behind another request it would stand before or within its response.
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def accept(
        self, req: CallerRequest, keep_alive: bool, reserved_bytes: int, charge: int
    ) -> None:
        """Serve a complete request, at once unless others are before it."""
        self._stop_timer()
        pipelined = _PipelinedRequest(req, keep_alive)
        pipelined.reserved_bytes = reserved_bytes
        self._pipeline.append(pipelined)
        if len(self._pipeline) == 1:
            self._start(pipelined, charge + reserved_bytes)
        else:
            pipelined.charge = charge + reserved_bytes
            self.holding.add_request(pipelined.charge)
            self._waiting.append(pipelined)
            self._ask_for_turn()

    # Responses.

    def _start(self, pipelined: _PipelinedRequest, charge: int) -> None:
        """Pass a request to the handler; `charge` is what is not charged for it yet."""
        charge += REQUEST_BYTES
        self.holding.add_request(charge)
        pipelined.charge += charge
        pipelined.task = self._loop.create_task(self._serve(pipelined))

    def _start_next(self) -> None:
        """Pass the next waiting request to the handler, unless it has many."""
        started = len(self._pipeline) - len(self._waiting)
        if self._waiting and started < MAX_PIPELINED_REQUESTS:
            self._start(self._waiting.popleft(), 0)
            if self._waiting or self._reader.has_rest:
                self._ask_for_turn()

    async def _serve(self, pipelined: _PipelinedRequest) -> None:
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
            if pipelined.reserved_bytes:
                self._return_body(pipelined)
            if self._lost:
                self._return_charge(pipelined)
        # Else the response is written at once, or was dropped.
        if self._pipeline and self._pipeline[0] is not pipelined:
            pipelined.ready_bytes = len(pipelined.reply.body)
            self._count_unsent(pipelined.ready_bytes)
        self._write_ready_responses()

    def _return_body(self, pipelined: _PipelinedRequest) -> None:
        """Drop the body of a request that has been served."""
        size, pipelined.reserved_bytes = pipelined.reserved_bytes, 0
        pipelined.request = _without_body(pipelined.request)
        pipelined.charge -= size
        self.holding.add_request(-size)
        self._server.budget.release(size)

    def _return_charge(self, pipelined: _PipelinedRequest) -> None:
        """Return all that is charged for a request, once."""
        if pipelined.reserved_bytes:
            self._return_body(pipelined)
        self.holding.add_request(-pipelined.charge)
        pipelined.charge = 0

    def reject(
        self,
        status: int,
        reason: str,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Respond with an error and process no further input.

        The reason is reported; it is empty if the caller is not the cause.
        """
        if reason:
            self._server.report_turned_away(self.holding, reason)
        self._close_input()
        pipelined = _PipelinedRequest(None, keep_alive=False)
        pipelined.reply = CallerResponse(status, headers)
        self._pipeline.append(pipelined)
        self._write_ready_responses()

    def evict(self, reason: str = "memory_full") -> None:
        """Return memory: reject what is being read, or close the connection.

        What is being read has not run. Requests that were read before it are answered.
        """
        if self._lost or self._transport is None or self._transport.is_closing():
            return
        if self._pipeline or (self._reader.request_started and not self._unsent_bytes):
            if not self._reader.closed:
                self.reject(503, reason, RETRY_SOON)
        elif self._unsent_bytes:
            self._server.report_turned_away(self.holding, reason)
            self.report_unsent(reason)
            self._close_input()
            self._transport.abort()
            self._count_unsent()
        elif not self.is_closing:
            self.close_if_idle()

    def update_holding(self) -> None:
        """Count what the caller has taken of its responses."""
        if self._writing_paused:
            self._count_unsent()

    def _close_input(self) -> None:
        """Process no further input; a request that is not complete is dropped."""
        self._reader.close()
        self._stop_timer()

    def finish(self) -> None:
        """Cancel the handlers, which respond, and close the connection after that."""
        if self.is_closing:
            return
        if self._reader.request_started:
            self.reject(503, "", RETRY_SOON)
        elif not self._pipeline and self._has_unread_input():
            return  # It is rejected when it is read.
        else:
            self._close_input()
        while self._waiting:
            self._waiting.popleft().reply = CallerResponse(503, RETRY_SOON)
        if self._pipeline:
            self._write_ready_responses()
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
                data = self._encode(pipelined.reply, keep, head_only)
                if self._watch is not None:
                    data = data[self._watch.take_written() :]
                # It is kept until the response is taken, to be reported.
                self._latest_request = pipelined.request
                self._latest_charge = pipelined.charge
                self._return_charge(pipelined)
                self._write(data)
                if pipelined.ready_bytes or self._writing_paused:
                    # The transport reports only the first bytes that it keeps.
                    self._count_unsent(-pipelined.ready_bytes)
                if not self._writing_paused:
                    self._latest_request, self._latest_charge = None, 0
            if not keep:
                # Only behind a request that itself asked for the close.
                self._cancel_pipeline("behind_closing_response")
                self._close_after_response()
                return
        if self._waiting and not self._lost:
            # At once if nothing else is with the handler.
            if self._waiting[0] is self._pipeline[0]:
                self._start_next()
            else:
                self._ask_for_turn()
        if not self._pipeline and not self._lost:
            self.idle_since = self._loop.time()
            # The caller takes this response, or sends the next request.
            self.holding.restart(self.idle_since)
            if not self._reader.request_started:
                self._start_timer(self._server.limits.idle_seconds, _Limit.IDLE)
            else:
                # A head that began to arrive behind an earlier request has no timer.
                # The caller may have waited with its body for this response.
                self._body_at = self._body_began_at = self.idle_since
                self._limit_request()
        if not self._writing_paused and not self.is_full:
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
            self._return_charge(pipelined)
        self._pipeline.clear()
        self._waiting.clear()
        self._count_unsent(-self._ready_bytes)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _count_unsent(self, ready_bytes: int = 0) -> None:
        """Count the responses in memory that the kernel has not taken.

        `ready_bytes` is how many more of them wait for those before them.
        """
        self._ready_bytes += ready_bytes
        size = 0
        if self._transport is not None and not self._transport.is_closing():
            size = self._ready_bytes
            if self._writing_paused:
                size += self._transport.get_write_buffer_size()
        if not self._writing_paused:
            self._latest_request, self._latest_charge = None, 0
        change, self._unsent_bytes = size - self._unsent_bytes, size
        if change < 0:
            self.holding.advance(-change, self._loop.time())
        if change:
            self.holding.set_answers(size + (self._latest_charge if size else 0))
            self._server.count_unsent(change)

    def _close_idle(self) -> None:
        """Close the connection, in two steps if its caller still reads a response.

        It stays open if a request waits to be read.
        """
        if self._has_unread_input():
            return
        if self._transport is not None and unsent_bytes(self._transport):
            self._close_after_response()
            return
        self._reader.close()
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

    def _start_timer(self, seconds: float, limit: _Limit) -> None:
        self._stop_timer()
        self._limit = limit
        self._timer = self._loop.call_later(max(0.0, seconds), self._time_out)

    def _stop_timer(self) -> None:
        self._limit = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _limit_request(self) -> None:
        """Start the time limit of what is being read, if it has none."""
        now = self._loop.time()
        if not self._reader.in_body:
            if self._limit is not _Limit.HEAD and not self._pipeline:
                self._measure_progress(now)
                self._start_timer(self._server.limits.header_seconds, _Limit.HEAD)
        elif self._limit is not _Limit.BODY:
            self._measure_progress(now)
            self._body_began_at = now
            self._body_at, self._body_size = now, self._reader.body_size
            self._start_timer(self._body_due(now)[0] - now, _Limit.BODY)
        elif self._reader.body_size != self._body_size:
            self.holding.advance(self._reader.body_size - self._body_size, now)
            self._body_at, self._body_size = now, self._reader.body_size

    def _measure_progress(self, now: float) -> None:
        if not self._unsent_bytes:
            self.holding.restart(now)

    def _body_due(self, now: float) -> tuple[float, str]:
        """Return when the body is late, unless more arrives, and the reason."""
        idle = self._server.limits.idle_seconds
        if self._pipeline or self._reading_paused:
            self._body_at = now  # The caller may wait for its responses.
        if self._pipeline:
            self._body_began_at = now
        due = min(self._body_at + idle, self._reader.read_until)
        if self._reading_paused:
            return due, "too_late"
        covered = self._reader.body_size / LEAST_BYTES_PER_SECOND
        slow_at = self._body_began_at + max(idle, covered)
        return (due, "too_late") if due <= slow_at else (slow_at, "body_too_slow")

    def _time_out(self) -> None:
        limit, self._limit, self._timer = self._limit, None, None
        reader, now = self._reader, self._loop.time()
        if not reader.request_started:
            if reader.has_rest:
                self._start_timer(WAITING_SECONDS, _Limit.IDLE)
            elif not self._pipeline:
                self._close_idle()
        elif limit is _Limit.BODY:
            due, reason = self._body_due(now)
            if now < due:
                self._start_timer(due - now, _Limit.BODY)
            else:
                self.reject(408, reason)
        elif reader.has_rest and limit is _Limit.HEAD:
            self._start_timer(WAITING_SECONDS, _Limit.HEAD)
        elif not self._pipeline:
            self.reject(408, "too_late")

    def _pause(self) -> None:
        if (
            not self._reading_paused
            and self._transport
            and not self._transport.is_closing()
        ):
            self._reading_paused = True
            self._paused_at = self._loop.time()
            self._transport.pause_reading()
            if self._watch is not None:
                self._watch.pause()

    def _resume(self) -> None:
        if self._reader.has_rest:
            self._ask_for_turn()
        elif (
            self._reading_paused
            and self._transport
            and not self._transport.is_closing()
        ):
            self._reading_paused = False
            self._body_began_at += self._loop.time() - self._paused_at
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
