"""Metrics over the `statsd` protocol.

`METRICS` is the only list of metric names; the reference page is made from it.
Invariant: sending never blocks a request and never fails one.
"""

import collections
import dataclasses
from typing import Protocol

import statsd

from arbutusflow.adapters.log_level import Level
from arbutusflow.adapters.logs import log_event
from arbutusflow.adapters.settings import Address
from arbutusflow.domain.reasons import RefusalReason, RetryReason

FLUSH_SECONDS = 1.0
GAUGE_SECONDS = 10.0
# About 40 bytes each: bounds a flush to some 80 KB in a flood.
TIMINGS_PER_FLUSH = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One metric; parts of `name` in angle brackets stand for names."""

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
    """What the tasks report."""

    def refused(self, reason: RefusalReason) -> None:
        """Count a request that the caller got no endpoint's answer to."""
        ...

    def retried(self, reason: RetryReason) -> None:
        """Count an attempt that is repeated."""
        ...

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a caller's request and its latency."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def flush(self) -> None:
        """Send what was collected."""
        ...

    def close(self) -> None:
        """Free the socket."""
        ...


class NullMetrics:
    """Collects nothing; used while no address is configured."""

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
    """Collects in memory and sends a few datagrams on each flush."""

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    @classmethod
    def from_config(cls, address: Address, instance: str) -> "StatsdMetrics":
        """Return metrics of `instance` that are sent to `address`."""
        ipv6 = ":" in address.host
        client = statsd.StatsClient(
            address.host, address.port, f"arbutusflow.{instance}", ipv6=ipv6
        )
        return cls(client)

    def refused(self, reason: RefusalReason) -> None:
        """Count a request that the caller got no endpoint's answer to."""
        self._counters[f"refusals.{reason.value}"] += 1

    def retried(self, reason: RetryReason) -> None:
        """Count an attempt that is repeated."""
        self._counters[f"retries.{reason.value}"] += 1

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a caller's request and its latency."""
        self._counters[f"requests.{outcome}"] += 1
        if len(self._timings) < TIMINGS_PER_FLUSH:
            self._timings.append((f"latency.{service}.{rank}", duration_ms))
        else:
            self._counters["timings_dropped"] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def flush(self) -> None:
        """Send what was collected; a datagram that cannot be sent is dropped."""
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
        """Send what was collected and free the socket."""
        self.flush()
        self._client.close()


class ReloadableMetrics:
    """Passes on to the client that the settings in force ask for."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._target: Metrics = NullMetrics()

    def set_address(self, address: Address | None) -> None:
        """Send to `address` from now on; None sends nothing."""
        target: Metrics = NullMetrics()
        if address is not None:
            try:
                target = StatsdMetrics.from_config(address, self._instance)
            except OSError as exc:
                # Serving goes before measuring: a wrong address stops nothing.
                log_event("metrics_off", Level.ERROR, detail=str(exc))
        self._target.close()
        self._target = target

    def refused(self, reason: RefusalReason) -> None:
        """Count a request that the caller got no endpoint's answer to."""
        self._target.refused(reason)

    def retried(self, reason: RetryReason) -> None:
        """Count an attempt that is repeated."""
        self._target.retried(reason)

    def finished(
        self, service: str, rank: str, outcome: str, duration_ms: float
    ) -> None:
        """Count a caller's request and its latency."""
        self._target.finished(service, rank, outcome, duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._target.gauge(name, value)

    def flush(self) -> None:
        """Send what was collected."""
        self._target.flush()

    def close(self) -> None:
        """Free the socket."""
        self._target.close()


def refusal_reason(text: str) -> RefusalReason | None:
    """Return the reason called `text`; an unregistered one is logged."""
    try:
        return RefusalReason(text)
    except ValueError:
        # A peer of another version may send a reason that is unknown here.
        log_event("unregistered_reason", Level.ERROR, reason=text)
        return None
