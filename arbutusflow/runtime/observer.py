"""Observability of requests and of an instance's state.

Requests are counted, logged and recorded; neither they nor their replies are changed.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from arbutusflow.adapters.log_level import Level
from arbutusflow.adapters.logs import is_logged, log_event
from arbutusflow.adapters.metrics import (
    FLUSH_INTERVAL_SECONDS,
    GAUGE_INTERVAL_SECONDS,
    Metrics,
)
from arbutusflow.adapters.peer_messages import ForwardReply, ForwardRequest
from arbutusflow.domain.partitions import unit_of_key
from arbutusflow.domain.reasons import RefusalReason, RetryReason
from arbutusflow.gateway.timers import Timers
from arbutusflow.runtime.control import ControlTask
from arbutusflow.runtime.request_log import RequestLog, RequestOutcome

RequestHandler = Callable[[ForwardRequest], Awaitable[ForwardReply]]

ENTRY_ROLE, COORDINATOR_ROLE = "entry", "coordinator"
SKEW_WARNING_INTERVAL_SECONDS = 1.0


class Observer:
    """Writes the request log, the event log and the metrics of one instance."""

    def __init__(
        self, control: ControlTask, metrics: Metrics, request_log: RequestLog
    ) -> None:
        self._control = control
        self._metrics = metrics
        self._request_log = request_log
        self._retries: dict[str, list[str]] = {}
        self._next_skew_warning_at = 0.0

    def start(self, timers: Timers) -> None:
        """Start the timers that flush metrics and set the gauges."""
        timers.subscribe(FLUSH_INTERVAL_SECONDS, self._metrics.flush)
        timers.subscribe(GAUGE_INTERVAL_SECONDS, self.update_gauges)

    async def observe(
        self, role: str, handler: RequestHandler, req: ForwardRequest
    ) -> ForwardReply:
        """Return the reply of `handler` after recording the request's outcome."""
        received, started = time.time(), time.monotonic()
        retries = self._retries.setdefault(req.request_id, [])
        try:
            reply = await handler(req)
        except asyncio.CancelledError:
            # An attempt may be in flight, so the outcome is unknown here.
            reason = RefusalReason.CALLER_LEFT
            cancelled_reply = ForwardReply(
                req.id, "unknown", reason.value, "the caller left before the answer"
            )
            duration_ms = (time.monotonic() - started) * 1000
            self._request_log.record(
                self._outcome_of(
                    role, received, duration_ms, req, cancelled_reply, retries
                )
            )
            raise
        finally:
            self._retries.pop(req.request_id, None)
        duration_ms = (time.monotonic() - started) * 1000
        outcome = self._outcome_of(role, received, duration_ms, req, reply, retries)
        self._request_log.record(outcome)
        if role == ENTRY_ROLE:
            self._metrics.finished(
                outcome.service, outcome.rank, outcome.outcome, duration_ms
            )
        level = self._level_of(reply, started)
        if is_logged(level):
            log_event(
                "request",
                level,
                request_id=outcome.request_id,
                role=role,
                service=outcome.service,
                kind=outcome.kind,
                outcome=outcome.outcome,
                reason=outcome.reason,
                detail=outcome.detail,
                duration_ms=round(duration_ms, 3),
                endpoint=outcome.endpoint,
                coordinator=outcome.coordinator,
                retries=outcome.retries,
            )
        return reply

    def _level_of(self, reply: ForwardReply, now: float) -> Level:
        """Return the level of the line of a request.

        One request a second whose identifier is ahead of the clock is a warning: the
        operator has to know, and a caller can send thousands of them.
        """
        if reply.outcome == "unknown":
            return Level.WARNING
        is_skewed = reply.reason == RefusalReason.REQUEST_ID_SKEW.value
        if not is_skewed or now < self._next_skew_warning_at:
            return Level.DEBUG
        self._next_skew_warning_at = now + SKEW_WARNING_INTERVAL_SECONDS
        return Level.WARNING

    def record_retry(self, request_id: str, reason: RetryReason) -> None:
        """Count a retry and keep its reason for the outcome of the request."""
        self._metrics.retried(reason)
        # A request without an entry has no waiting caller any more.
        if request_id in self._retries:
            self._retries[request_id].append(reason.value)

    def update_gauges(self) -> None:
        """Set the gauges of units, platform calls and configuration."""
        status = self._control.status()
        coordinated = {item.endpoint for item in status.endpoints if item.acting}
        for service, counts in status.units.items():
            owned = sum(
                count for owner, count in counts.items() if owner in coordinated
            )
            self._metrics.gauge(f"units_owned.{service}", owned)
            self._metrics.gauge(f"units_unowned.{service}", counts.get("", 0))
        for kind, calls in status.platform_calls.items():
            self._metrics.gauge(f"platform_calls.{kind}", calls)
        self._metrics.gauge("configuration_number", status.configuration)

    def _outcome_of(
        self,
        role: str,
        received: float,
        duration_ms: float,
        req: ForwardRequest,
        reply: ForwardReply,
        retries: list[str],
    ) -> RequestOutcome:
        core = self._control.core
        service = core.cfg.service(req.service)
        kind = service.kind(req.kind) if service else None
        unit = unit_of_key(req.key, service.partitions) if service else -1
        endpoint = core.owner_of(req.service, unit) if service else None
        coordinator = core.coordinator_of(endpoint) if endpoint else None
        return RequestOutcome(
            request_id=req.request_id,
            instance=core.instance,
            role=role,
            received=received,
            duration_ms=duration_ms,
            service=req.service,
            kind=req.kind,
            key=req.key,
            rank=kind.rank.value if kind else "none",
            outcome=reply.outcome,
            reason=reply.reason,
            detail=reply.detail,
            status=reply.status,
            request_bytes=len(req.body),
            answer_bytes=len(reply.body),
            unit=unit,
            endpoint=endpoint or "",
            coordinator=coordinator or "",
            retries=tuple(retries),
        )
