"""Bounds how many requests are sent to a second endpoint.

The bound holds for the fleet. Each instance spends the part that its own requests
earn and an equal part of the constant allowance, so nothing is coordinated.
"""

import collections

# Part of the bound that is used: requests in flight between two windows and
# instances that restart with an empty count must not exceed the whole.
SAFETY_FRACTION = 0.7


class RetryBudget:
    """Sliding count of requests and repeats of each service."""

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def set_bounds(self, ratio: float, slack: float, window_seconds: float) -> None:
        """Take over changed settings."""
        self._ratio, self._slack, self._window = ratio, slack, window_seconds

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, collections.deque()).append(now)

    def allows(self, service: str, instances: int, now: float) -> bool:
        """Return whether one more repeat fits the window."""
        requests = self._recent(self._requests, service, now)
        repeats = self._recent(self._repeats, service, now)
        bound = self._ratio * requests + self._slack / max(1, instances)
        return repeats + 1 <= SAFETY_FRACTION * bound

    def count_repeat(self, service: str, now: float) -> None:
        """Count a request that is sent once more."""
        self._repeats.setdefault(service, collections.deque()).append(now)

    def _recent(
        self, events: dict[str, collections.deque[float]], service: str, now: float
    ) -> int:
        times = events.get(service)
        if not times:
            return 0
        while times and now - times[0] > self._window:
            times.popleft()
        return len(times)
