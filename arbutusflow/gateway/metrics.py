"""Counters and latency histograms in the Prometheus text format."""

from collections.abc import Mapping

import prometheus_client

# Upper bounds in seconds, from one hop on a fast network to the longest deadline.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class GatewayMetrics:
    """Metrics of one gateway process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._outcomes = prometheus_client.Counter(
            "arbutusflow_requests",
            "Requests by outcome: answered, or the reason of the refusal",
            ["outcome"],
            registry=self.registry,
        )
        self._connection_ends = prometheus_client.Counter(
            "arbutusflow_connections_ended",
            "Connections of callers that ended with unanswered requests, by cause",
            ["cause"],
            registry=self.registry,
        )
        self._turned_away = prometheus_client.Counter(
            "arbutusflow_callers_turned_away",
            "Callers that were rejected or closed for what they sent or held",
            ["reason"],
            registry=self.registry,
        )
        self._latency = prometheus_client.Histogram(
            "arbutusflow_request_seconds",
            "Time from the first byte of a request to its answer",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._gauges = prometheus_client.Gauge(
            "arbutusflow_state",
            "Current values of the process",
            ["name"],
            registry=self.registry,
        )

        self._transfers = prometheus_client.Gauge(
            "arbutusflow_transfers",
            "Changes of the store's objects between instances, since the start",
            ["kind", "event"],
            registry=self.registry,
        )

    def count_outcome(self, outcome: str) -> None:
        """Count a request or an attempt by its outcome."""
        self._outcomes.labels(outcome).inc()

    def count_connection_end(self, cause: str) -> None:
        """Count a connection that ended with unanswered requests, by the cause."""
        self._connection_ends.labels(cause).inc()

    def count_turned_away(self, reason: str) -> None:
        """Count a caller that was rejected or closed, by the reason."""
        self._turned_away.labels(reason).inc()

    def observe_latency(self, seconds: float) -> None:
        """Record the latency of a request."""
        self._latency.observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._gauges.labels(name).set(value)

    def set_transfers(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Set the counts of transfers between instances, by kind and event."""
        for (kind, event), count in counts.items():
            self._transfers.labels(kind, event).set(count)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
