"""Finds out which process of an endpoint said that it leaves.

Answers do not name the process. An endpoint may start again under its identifier and
say that it leaves before this instance has read the entry of the new process; the
answer then seems to be from the earlier one.

Invariants: a process that may be the one that said so gets no requests until it has
answered a health check on a connection that was opened after its entry was read. By
then the earlier process is gone. If that answer says that it leaves, the process counts
as leaving since the first statement; otherwise it gets requests at once. Memory is
bounded.
"""

import asyncio
import dataclasses
import urllib.parse
from collections.abc import Callable

from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.load.endpoint_load import EndpointState, EndpointTable
from arbutusflow.gateway.model import EndpointProcess, ExchangeError
from arbutusflow.platform import wire

CHECK_TIMEOUT_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.25  # After a check without an answer.
MAX_STATEMENTS = 4096  # Bounds the memory for endpoints that have left.


@dataclasses.dataclass(slots=True)
class _Statement:
    """What an endpoint has said, in one answer or more."""

    process: EndpointProcess  # To which the latest request was sent.
    first_at: float
    last_at: float


class LeavingChecks:
    """Statements of endpoints, and health checks of processes that may have made one.

    The health check is a request of this instance, not of a caller, so an endpoint that
    leaves may get it.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        pool: ConnectionPool,
        # Returns the path of the health check of a service.
        health_path: Callable[[str], str],
        on_leaving: Callable[[EndpointProcess], None],
        log: EventLog,
    ) -> None:
        self._endpoints = endpoints
        self._pool = pool
        self._health_path = health_path
        self._on_leaving = on_leaving
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._statements: dict[str, _Statement] = {}  # By endpoint.
        self._checks: dict[EndpointProcess, asyncio.Task[None]] = {}

    def record(self, process: EndpointProcess) -> None:
        """Record that the answer to a request to a process says that it leaves.

        If the process is known to be that one, it must be listed as draining by now.
        """
        name, now = process[0], self._loop.time()
        known = self._statements.pop(name, None)
        first_at = now if known is None else known.first_at
        self._statements[name] = _Statement(process, first_at, now)
        while len(self._statements) > MAX_STATEMENTS:
            del self._statements[next(iter(self._statements))]
        self._apply(name)

    def update(self) -> None:
        """Apply the statements to processes whose entries have been read since."""
        for name in self._statements.keys() & self._endpoints.states.keys():
            self._apply(name)

    def _apply(self, name: str) -> None:
        state, statement = self._endpoints.states.get(name), self._statements[name]
        if state is None:
            return
        process = state.endpoint.process
        # Entries without a start time (0) may be of different processes.
        same = process[1] != 0 or state.endpoint.draining
        if same and process == statement.process:
            self._set_leaving_since(state, statement)
            state.end_check()
            return
        state.begin_check()
        if process not in self._checks:
            self._checks[process] = self._loop.create_task(self._check(process))

    def _set_leaving_since(self, state: EndpointState, statement: _Statement) -> None:
        """Let the time for requests with keys begin with the first statement."""
        since = state.leaving_since
        if since is not None and since > statement.first_at:
            state.leaving_since = statement.first_at

    def _find_pending(self, process: EndpointProcess) -> EndpointState | None:
        """Return the state of a process if it may have made a statement."""
        state = self._endpoints.states.get(process[0])
        if (
            state is None
            or state.endpoint.process != process
            or not state.pending_check
        ):
            return None
        return state

    async def _check(self, process: EndpointProcess) -> None:
        """Send health checks to a process until an answer shows whether it leaves."""
        try:
            while (state := self._find_pending(process)) is not None:
                started = self._loop.time()
                if not self._endpoints.may_send(state, started):
                    # Until this instance may send a request, nothing depends on the
                    # result, and checks of all instances at once are a load, too.
                    await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                    continue
                self._endpoints.note_send(state, started)
                leaving = await self._says_leaving(state)
                if not self._resolve(process, leaving, started):
                    await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            del self._checks[process]

    def _resolve(
        self, process: EndpointProcess, leaving: bool | None, started: float
    ) -> bool:
        """Use the result of a check; return whether the process is in doubt no more."""
        state, statement = self._find_pending(process), self._statements.get(process[0])
        if state is None:
            return True
        if statement is None:
            state.end_check()  # It was discarded to bound the memory.
            return True
        if leaving is None or (not leaving and statement.last_at > started):
            return False
        self._log.write(
            "endpoint_leaving_checked",
            endpoint=process[0],
            started_ms=process[1],
            leaving=leaving,
            seconds=round(self._loop.time() - statement.first_at, 3),
        )
        if leaving:
            self._on_leaving(process)
        else:
            del self._statements[process[0]]
            state.end_check()
        return True

    async def _says_leaving(self, state: EndpointState) -> bool | None:
        """Ask an endpoint whether it leaves; return None without its answer."""
        endpoint = state.endpoint
        path = urllib.parse.quote(self._health_path(endpoint.service), "/?&=%:,;~")
        address = endpoint.address
        head = b"GET /%b HTTP/1.1\r\nHost: %b:%d\r\n%b: %b\r\n\r\n" % (
            path.removeprefix("/").encode(),
            address.host.encode(),
            address.port,
            wire.EXPECTED_ENDPOINT,
            endpoint.id.encode(),
        )
        try:
            async with self._pool.connection(
                address, at_most_once=False, timeout=CHECK_TIMEOUT_SECONDS, fresh=True
            ) as conn:
                response = await conn.exchange(head, b"", CHECK_TIMEOUT_SECONDS)
        except ExchangeError as exc:
            self._log.write_rate_limited(
                "endpoint_check_unanswered", endpoint=endpoint.id, detail=exc.detail
            )
            return None
        if response.status == 421:
            return None  # Another endpoint uses the address.
        self._record_cold_time(state, response.header(wire.COLD_LEFT))
        return wire.parse_leaving(response.header(wire.LEAVING))

    def _record_cold_time(self, state: EndpointState, header: bytes | None) -> None:
        """Use what an endpoint says about how long it is cold."""
        seconds = wire.parse_cold_left(header)
        if seconds:
            self._endpoints.record_cold(state, seconds, self._loop.time())
        elif seconds is None and header is not None:
            self._log.write_rate_limited(
                "cold_time_malformed", endpoint=state.endpoint.id, header=repr(header)
            )
