"""Callers of the demo: they send requests at a rate and record how each ended.

A caller uses the instances that pass their readiness check, as behind a load balancer,
keeps connections for a short time, and never repeats a request that was sent.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Sequence

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError, HttpResponse
from arbutusflow.request_ids import new_request_id
from arbutusflow.standins.demo_world import (
    DEADLINE_SECONDS,
    Call,
    is_ready,
    request_head,
)
from arbutusflow.standins.gateway_fleet import GatewayInstance
from arbutusflow.standins.key_endpoint import answer_body
from arbutusflow.standins.promises import NO_ANSWER, NO_CONNECTION, Outcome, SentRequest

# How long after its deadline a caller still waits for the answer.
ANSWER_MARGIN_SECONDS = 3.0
CONNECT_SECONDS = 1.0
# Connections that are idle for longer are not used: the instance may be closing them.
MAX_IDLE_SECONDS = 1.0
MAX_CONNECTS = 3  # Instances that a caller tries before it gives up.
CHECK_PERIOD_SECONDS = 0.5
CHECK_MISSES = 2  # Failed checks in a row that end the use of an instance.
MAX_IN_FLIGHT = 400  # Requests beyond are not sent, and are counted.
# Statuses by which callers learn that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset({400, 404, 408, 413, 421, 429, 431, 503})


class Rotation:
    """Instances that get new requests, by their readiness checks."""

    def __init__(
        self, instances: Sequence[GatewayInstance], rng: random.Random
    ) -> None:
        self._instances = instances
        self._rng = rng
        self._misses = {instance.name: 0 for instance in instances}

    def choose(self) -> GatewayInstance:
        """Return the instance that gets the next request."""
        ready = [i for i in self._instances if self._misses[i.name] < CHECK_MISSES]
        return self._rng.choice(ready or self._instances)

    async def check(self, instance: GatewayInstance) -> None:
        """Check one instance until cancelled."""
        while True:
            is_in_use = await is_ready(instance)
            self._misses[instance.name] = (
                0 if is_in_use else self._misses[instance.name] + 1
            )
            await asyncio.sleep(CHECK_PERIOD_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    conn: ClientConnection
    connected_at: float
    since: float

    @property
    def usable(self) -> bool:
        return self.conn.usable and time.monotonic() - self.since < MAX_IDLE_SECONDS


class Callers:
    """Sends requests through the instances in rotation."""

    def __init__(self, rotation: Rotation) -> None:
        self._rotation = rotation
        self._idle: dict[Address, list[_Idle]] = {}
        self._in_flight: set[asyncio.Task[None]] = set()
        self.sent: list[SentRequest] = []
        self.not_sent = 0  # Because too many were in flight.

    @property
    def in_flight(self) -> int:
        """Number of requests without an end."""
        return len(self._in_flight)

    def send(self, part: str, call: Call, key: int) -> None:
        """Send a request in the background."""
        if len(self._in_flight) >= MAX_IN_FLIGHT:
            self.not_sent += 1
            return
        task = asyncio.ensure_future(self._send(part, call, key))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def finish(self) -> None:
        """Wait until all requests have ended, and close the connections."""
        await asyncio.gather(*self._in_flight)
        for idle in self._idle.values():
            for item in idle:
                item.conn.close()

    async def _send(self, part: str, call: Call, key: int) -> None:
        request_id = new_request_id()
        sent_at = time.monotonic()
        opened = await self._connect()
        if opened is None:
            self._record(part, call, request_id, sent_at, "", NO_CONNECTION)
            return
        instance, conn, connected_at = opened
        name, address = instance.name, instance.settings.caller_address
        sent_at = time.monotonic()
        try:
            response = await conn.exchange(
                request_head(call, request_id, key),
                b"",
                DEADLINE_SECONDS + ANSWER_MARGIN_SECONDS,
            )
        except ExchangeError as exc:
            if exc.sent:
                self._record(
                    part,
                    call,
                    request_id,
                    sent_at,
                    name,
                    NO_ANSWER,
                    connected_at=connected_at,
                )
            else:
                self._record(part, call, request_id, sent_at, "", NO_CONNECTION)
            return
        if conn.usable:
            self._idle.setdefault(address, []).append(
                _Idle(conn, connected_at, time.monotonic())
            )
        else:
            conn.close()
        self._record_response(part, call, request_id, sent_at, name, response)

    async def _connect(
        self,
    ) -> tuple[GatewayInstance, ClientConnection, float] | None:
        """Return an instance, a connection to it, and when that was opened."""
        for _ in range(MAX_CONNECTS):
            instance = self._rotation.choose()
            address = instance.settings.caller_address
            idle = self._idle.get(address, [])
            while idle:
                item = idle.pop()
                if item.usable:
                    return instance, item.conn, item.connected_at
                item.conn.close()
            connected_at = time.monotonic()
            try:
                conn = await ClientConnection.open(address, CONNECT_SECONDS)
                return instance, conn, connected_at
            except ExchangeError:
                continue
        return None

    def _record_response(
        self,
        part: str,
        call: Call,
        request_id: str,
        sent_at: float,
        instance: str,
        response: HttpResponse,
    ) -> None:
        if response.status != 200:
            outcome = Outcome.UNKNOWN
            # A refusal promises nothing about a request that may run more than once.
            if response.status in NOT_RUN_STATUSES and not call.repeatable:
                outcome = Outcome.NOT_RUN
            reason = response.body.decode("latin-1").strip() or str(response.status)
            self._record(part, call, request_id, sent_at, instance, reason, outcome)
            return
        service = response.body.partition(b" ")[0].decode("latin-1")
        own = response.body == answer_body(service, request_id.encode())
        self.sent.append(
            SentRequest(
                request_id,
                part,
                call.route,
                call.repeatable,
                Outcome.ANSWERED,
                "",
                sent_at,
                time.monotonic(),
                own_answer=own,
                instance=instance,
                service=service,
            )
        )

    def _record(
        self,
        part: str,
        call: Call,
        request_id: str,
        sent_at: float,
        instance: str,
        reason: str,
        outcome: Outcome | None = None,
        connected_at: float = 0.0,
    ) -> None:
        """Record a request without an answer; one without an instance was not sent."""
        if outcome is None:
            outcome = Outcome.UNKNOWN if instance else Outcome.NOT_RUN
        self.sent.append(
            SentRequest(
                request_id,
                part,
                call.route,
                call.repeatable,
                outcome,
                reason,
                sent_at,
                time.monotonic(),
                instance=instance,
                connected_at=connected_at,
            )
        )
