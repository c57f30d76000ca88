"""Measures the demand by key, so that busy keys can be spread over the endpoints."""

import collections
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence

from arbutusflow.gateway.load.endpoint_room import (
    INITIAL_SERVICE_SECONDS,
    EndpointRoom,
)
from arbutusflow.gateway.model import KEY_SPACE, Endpoint

DECAY_PERIOD_SECONDS = 0.5
# Applied to all counts once per period. Busy keys change within seconds.
DECAY_FACTOR = 0.7
MIN_WEIGHT = 0.05  # Keys below are forgotten.
MAX_REPORTED_KEYS = 80  # Reported individually; a report must fit into a datagram.
GROUP_KEYS = 512  # All other keys are reported as the sum of such a group.
GROUP_COUNT = KEY_SPACE // GROUP_KEYS
# Standard deviation of a measured rate, divided by the square root of the rate, if
# requests are independent of each other.
RATE_DEVIATION = math.sqrt(
    (1 - DECAY_FACTOR) / (DECAY_PERIOD_SECONDS * (1 + DECAY_FACTOR))
)
LOAD_UNITS_PER_REQUEST = 100  # Reports count in hundredths of a request per second.
# Bounds the weight of an instance, whose moving average covers about this many answers.
MAX_ANSWERS_PER_INSTANCE = 10
MIN_SERVICE_SECONDS = 0.001


class KeyDemand:
    """Exponentially decayed request counts by service and key."""

    def __init__(self) -> None:
        self._weights: dict[str, collections.defaultdict[int, float]] = {}

    def count(self, service: str, key: int) -> None:
        """Count a request, whether it is served or not."""
        weights = self._weights.get(service)
        if weights is None:
            weights = self._weights[service] = collections.defaultdict(float)
        weights[key] += 1.0

    def decay(self) -> None:
        """Decay all counts; called once per period."""
        for service, weights in self._weights.items():
            self._weights[service] = collections.defaultdict(
                float,
                {
                    key: weight * DECAY_FACTOR
                    for key, weight in weights.items()
                    if weight * DECAY_FACTOR >= MIN_WEIGHT
                },
            )

    def report(self, service: str) -> dict[int, int]:
        """Return the request rate by key, in hundredths of a request per second.

        The rates of all but the busiest keys are added to the entry of their group,
        see `group_entry`.
        """
        weights: Mapping[int, float] = self._weights.get(service, {})
        rate = (1 - DECAY_FACTOR) / DECAY_PERIOD_SECONDS * LOAD_UNITS_PER_REQUEST
        return _reduce({key: weight * rate for key, weight in weights.items()})


def capacities(
    endpoints: Iterable[Endpoint],
    measured: Sequence[Mapping[str, tuple[float, int]]],
    rooms: Mapping[str, EndpointRoom] | None = None,
) -> dict[str, float]:
    """Return the requests per second that each endpoint can serve.

    `measured` holds for each instance the mean service time in seconds by endpoint and
    the number of answers that it is based on. The means are combined, because a single
    instance sees too few answers of an endpoint. What was learned of an endpoint
    (`rooms`) takes precedence.
    """
    result = {}
    for endpoint in endpoints:
        room = (rooms or {}).get(endpoint.id)
        if room is not None:
            result[endpoint.id] = room.per_second
            continue
        # The initial estimate counts as one answer.
        total_seconds, total_answers = INITIAL_SERVICE_SECONDS, 1
        for times in measured:
            seconds, answers = times.get(endpoint.id, (0.0, 0))
            answers = min(answers, MAX_ANSWERS_PER_INSTANCE)
            total_seconds += seconds * answers
            total_answers += answers
        seconds = max(total_seconds / total_answers, MIN_SERVICE_SECONDS)
        result[endpoint.id] = endpoint.slots / seconds
    return result


def merge_reports(reports: Iterable[Mapping[int, int]]) -> dict[int, int]:
    """Return the sum of reports, reduced to the size of one.

    Keys beyond the busiest ones are added to the entry of their group.
    """
    total: collections.Counter[int] = collections.Counter()
    for report in reports:
        total.update(report)
    return _reduce(total)


def merge_service_times(
    measured: Iterable[Mapping[str, tuple[float, int]]],
) -> dict[str, tuple[float, int]]:
    """Return the mean service times over several instances, by endpoint."""
    seconds: collections.defaultdict[str, float] = collections.defaultdict(float)
    counts: collections.Counter[str] = collections.Counter()
    for times in measured:
        for endpoint, (mean, answers) in times.items():
            answers = min(answers, MAX_ANSWERS_PER_INSTANCE)
            seconds[endpoint] += mean * answers
            counts[endpoint] += answers
    return {
        endpoint: (round(seconds[endpoint] / count, 4), count)
        for endpoint, count in counts.items()
        if count
    }


def group_entry(key: int) -> int:
    """Return the number that stands for the group of a key among the keys of a report.

    It is above all keys.
    """
    return KEY_SPACE + key // GROUP_KEYS


def _reduce(loads: Mapping[int, float]) -> dict[int, int]:
    keys = [key for key in loads if key < KEY_SPACE]
    single = set(heapq.nlargest(MAX_REPORTED_KEYS, keys, key=lambda key: loads[key]))
    result: collections.defaultdict[int, float] = collections.defaultdict(float)
    for key, load in loads.items():
        is_entry = key in single or key >= KEY_SPACE
        result[key if is_entry else group_entry(key)] += load
    return {key: round(value) for key, value in result.items()}


def sum_reports(reports: Iterable[Mapping[int, int]]) -> dict[int, float]:
    """Return the requests per second by key or group, summed over reports."""
    total: collections.defaultdict[int, float] = collections.defaultdict(float)
    for report in reports:
        for key, value in report.items():
            total[key] += value / LOAD_UNITS_PER_REQUEST
    return dict(total)
