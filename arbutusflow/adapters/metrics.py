"""Metrics sent over the `statsd` protocol.

`METRICS` lists all metric names; the reference page is generated from it.
Invariant: sending metrics never blocks or fails a request.
"""

import collections
import dataclasses
from typing import Protocol

import statsd

from arbutusflow.adapters.log_level import Level
from arbutusflow.adapters.logs import log_event
from arbutusflow.adapters.settings import Address
from arbutusflow.domain.reasons import RefusalReason, RetryReason

FLUSH_INTERVAL_SECONDS = 1.0
GAUGE_INTERVAL_SECONDS = 10.0
# At about 40 bytes each, this bounds a flush to some 80 KB under overload.
TIMINGS_PER_FLUSH = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """A metric; parts of `name` in angle brackets are placeholders."""

    name: str
    type: str
    unit: str
    description: str


METRICS = (
    Metric(
        "requests.<outcome>",
        "counter",
        "requests",
        "Requests that this instance took from callers, by outcome.",
    ),
    Metric(
        "refusals.<reason>",
        "counter",
        "requests",
        "Requests that this instance answered without an answer of an endpoint.",
    ),
    Metric(
        "retries.<reason>",
        "counter",
        "attempts",
        "Attempts that this instance repeated as coordinator.",
    ),
    Metric(
        "latency.<service>.<rank>",
        "timing",
        "ms",
        "Time from the whole request to its outcome at the instance of the caller.",
    ),
    Metric(
        "timings_dropped",
        "counter",
        "timings",
        f"Latencies beyond the first {TIMINGS_PER_FLUSH} of a second, not sent.",
    ),
    Metric(
        "units_owned.<service>",
        "gauge",
        "units",
        "Units of endpoints that this instance coordinates.",
    ),
    Metric(
        "units_unowned.<service>",
        "gauge",
        "units",
        "Units without an owner, as this instance knows them.",
    ),
    Metric(
        "platform_calls.<kind>",
        "gauge",
        "calls",
        "Platform calls since the start: read, write, watch, instances.",
    ),
    Metric(
        "configuration_number",
        "gauge",
        "number",
        "Number of the configuration in force at this instance.",
    ),
)


class Metrics(Protocol):
    """Interface through which tasks report metrics."""

    def refused(self, reason: RefusalReason) -> None:
        """Count a request whose response does not come from an endpoint."""
        ...

    def retried(self, reason: RetryReason) -> None:
        """Count an attempt that is retried."""
        ...

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a completed request of a caller and record its latency."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def flush(self) -> None:
        """Send the collected metrics."""
        ...

    def close(self) -> None:
        """Close the socket."""
        ...


class NullMetrics:
    """Discards all metrics; used while no address is configured."""

    def refused(self, reason: RefusalReason) -> None:
        """Do nothing."""

    def retried(self, reason: RetryReason) -> None:
        """Do nothing."""

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Collects metrics in memory and sends a few datagrams on each flush."""

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    @classmethod
    def from_config(cls, address: Address, instance: str) -> "StatsdMetrics":
        """Return metrics for `instance` that are sent to `address`."""
        ipv6 = ":" in address.host
        client = statsd.StatsClient(
            address.host, address.port, f"arbutusflow.{instance}", ipv6=ipv6
        )
        return cls(client)

    def refused(self, reason: RefusalReason) -> None:
        """Count a request whose response does not come from an endpoint."""
        self._counters[f"refusals.{reason.value}"] += 1

    def retried(self, reason: RetryReason) -> None:
        """Count an attempt that is retried."""
        self._counters[f"retries.{reason.value}"] += 1

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a completed request of a caller and record its latency."""
        self._counters[f"requests.{outcome}"] += 1
        if len(self._timings) < TIMINGS_PER_FLUSH:
            self._timings.append((f"latency.{service}.{rank}", duration_ms))
        else:
            self._counters["timings_dropped"] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def flush(self) -> None:
        """Send the collected metrics; datagrams that cannot be sent are dropped."""
        with self._client.pipeline() as pipeline:
            for name, count in self._counters.items():
                pipeline.incr(name, count)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
            for name, duration_ms in self._timings:
                pipeline.timing(name, duration_ms)
        self._counters.clear()
        self._gauges.clear()
        self._timings.clear()

    def close(self) -> None:
        """Send the collected metrics and close the socket."""
        self.flush()
        self._client.close()


class ReloadableMetrics:
    """Delegates to a client that is replaced when the settings are reloaded."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._target: Metrics = NullMetrics()

    def set_address(self, address: Address | None) -> None:
        """Send metrics to `address` from now on; None disables sending."""
        target: Metrics = NullMetrics()
        if address is not None:
            try:
                target = StatsdMetrics.from_config(address, self._instance)
            except OSError as exc:
                # Serving has priority: an invalid address only disables metrics.
                log_event("metrics_off", Level.ERROR, detail=str(exc))
        self._target.close()
        self._target = target

    def refused(self, reason: RefusalReason) -> None:
        """Count a request whose response does not come from an endpoint."""
        self._target.refused(reason)

    def retried(self, reason: RetryReason) -> None:
        """Count an attempt that is retried."""
        self._target.retried(reason)

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a completed request of a caller and record its latency."""
        self._target.finished(service, rank, outcome, duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._target.gauge(name, value)

    def flush(self) -> None:
        """Send the collected metrics."""
        self._target.flush()

    def close(self) -> None:
        """Close the socket."""
        self._target.close()


def refusal_reason(text: str) -> RefusalReason | None:
    """Return the reason with the value `text`; log it and return None if unknown."""
    try:
        return RefusalReason(text)
    except ValueError:
        # A peer of another version may send a reason that this version lacks.
        log_event("unregistered_reason", Level.ERROR, reason=text)
        return None
