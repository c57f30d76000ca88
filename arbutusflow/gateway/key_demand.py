"""Counts requests by key, so that busy keys can be spread over the endpoints."""

import collections
import heapq
from collections.abc import Iterable, Mapping, Sequence

from arbutusflow.gateway.endpoint_load import INITIAL_SERVICE_SECONDS
from arbutusflow.gateway.model import Endpoint

DECAY_PERIOD_SECONDS = 0.5
# Weight of the past after a period: busy keys change within seconds.
DECAY = 0.7
FORGET_BELOW = 0.05
REPORTED_KEYS = 80  # Reported one by one; a report must fit a datagram.
BUCKET_WIDTH = 1024  # Keys that are reported together otherwise.
HUNDREDTHS = 100
MAX_WEIGHT = 10  # Answers that the moving average of an instance rests on.
MIN_SERVICE_SECONDS = 0.001


class KeyDemand:
    """Decayed number of requests by service and key."""

    def __init__(self) -> None:
        self._weights: dict[str, collections.defaultdict[int, float]] = {}

    def count(self, service: str, key: int) -> None:
        """Count a request, whether it is served or not."""
        weights = self._weights.get(service)
        if weights is None:
            weights = self._weights[service] = collections.defaultdict(float)
        weights[key] += 1.0

    def decay(self) -> None:
        """Let one period pass."""
        for service, weights in self._weights.items():
            self._weights[service] = collections.defaultdict(
                float,
                {
                    key: weight * DECAY
                    for key, weight in weights.items()
                    if weight * DECAY >= FORGET_BELOW
                },
            )

    def report(self, service: str) -> dict[int, int]:
        """Return hundredths of requests per second by key.

        Keys beyond the busiest are summed into the middle key of their bucket.
        """
        weights: Mapping[int, float] = self._weights.get(service, {})
        rate = (1 - DECAY) / DECAY_PERIOD_SECONDS * HUNDREDTHS
        top = heapq.nlargest(REPORTED_KEYS, weights, key=lambda key: weights[key])
        exact = set(top)
        result: collections.defaultdict[int, float] = collections.defaultdict(float)
        for key, weight in weights.items():
            place = key if key in exact else key | (BUCKET_WIDTH // 2 - 1)
            result[place] += weight * rate
        return {key: round(value) for key, value in result.items()}


def capacities(
    endpoints: Iterable[Endpoint], measured: Sequence[Mapping[str, tuple[float, int]]]
) -> dict[str, float]:
    """Return the requests per second that each endpoint can serve.

    `measured` are the seconds of one request and the answers behind them, as each
    instance measured them; one instance alone sees too few answers of an endpoint.
    """
    result = {}
    for endpoint in endpoints:
        # The first guess counts for one answer.
        total, weight = INITIAL_SERVICE_SECONDS, 1
        for times in measured:
            seconds, answers = times.get(endpoint.id, (0.0, 0))
            answers = min(answers, MAX_WEIGHT)
            total += seconds * answers
            weight += answers
        seconds = max(total / weight, MIN_SERVICE_SECONDS)
        result[endpoint.id] = endpoint.slots / seconds
    return result


def sum_reports(reports: Iterable[Mapping[int, int]]) -> dict[int, float]:
    """Return requests per second by key over all instances."""
    total: collections.defaultdict[int, float] = collections.defaultdict(float)
    for report in reports:
        for key, value in report.items():
            total[key] += value / HUNDREDTHS
    return dict(total)
