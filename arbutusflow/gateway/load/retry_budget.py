"""Limits the number of retries.

The limit applies to the whole fleet. Each instance may use the part that its own
requests contribute and an equal share of the constant allowance, so no coordination is
needed.
"""

import collections

# Fraction of the limit that is used. The margin covers requests in flight across a
# window boundary and instances that restart with empty counters.
SAFETY_FRACTION = 0.7


class RetryBudget:
    """Counts of requests and retries per service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_limits(self, ratio: float, slack: float, window_seconds: float) -> None:
        """Apply changed settings."""
        self._ratio, self._slack, self._window_seconds = ratio, slack, window_seconds

    def count_request(self, service: str, now: float) -> None:
        """Record a caller's request."""
        self._record(self._requests, service, now)

    def allows(self, service: str, instances: int, now: float) -> bool:
        """Return whether another retry is within the limit."""
        requests = self._count_in_window(self._requests, service, now)
        retries = self._count_in_window(self._retries, service, now)
        limit = self._ratio * requests + self._slack / max(1, instances)
        return retries + 1 <= SAFETY_FRACTION * limit

    def count_retry(self, service: str, now: float) -> None:
        """Record a retry."""
        self._record(self._retries, service, now)

    def _record(
        self,
        timestamps_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> None:
        timestamps_by_service.setdefault(service, collections.deque()).append(now)
        self._count_in_window(timestamps_by_service, service, now)

    def _count_in_window(
        self,
        timestamps_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> int:
        timestamps = timestamps_by_service.get(service)
        if not timestamps:
            return 0
        while timestamps and now - timestamps[0] > self._window_seconds:
            timestamps.popleft()
        return len(timestamps)
