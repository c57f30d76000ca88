"""Admission control: decides whether a request is sent to its endpoint now.

A request that is not expected to complete in time is refused immediately. Its caller
can then retry or use another service before its deadline, and endpoints do not spend
time on requests whose responses would arrive too late.
"""

import random

from arbutusflow.gateway.load.endpoint_load import EndpointState, EndpointTable
from arbutusflow.gateway.model import Route

# Maximum ratio of the expected response time to the time remaining before the deadline.
# Leaves a margin because the service times of single requests vary around their mean.
DEADLINE_FRACTION = 0.7
# Maximum number of requests per slot of an endpoint, running and queued, by rank. An
# endpoint sheds load beyond about five per slot. Lower limits for less urgent ranks
# reserve capacity for the most urgent one.
MAX_QUEUE_DEPTH_BY_RANK = (4.0, 3.5, 3.0)
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0


class Admission:
    """Compares the expected response time with deadlines and latency objectives."""

    def __init__(self, endpoints: EndpointTable, rng: random.Random) -> None:
        self._endpoints = endpoints
        self._rng = rng

    def check(
        self,
        state: EndpointState,
        route: Route,
        remaining: float,
        elapsed: float,
        now: float,
    ) -> str | None:
        """Return the reason for refusing the request, or None if it may be sent."""
        expected = state.expected_seconds(now)
        if expected > remaining * DEADLINE_FRACTION:
            return "too_late_for_deadline"
        rank = min(route.rank, len(MAX_QUEUE_DEPTH_BY_RANK) - 1)
        in_flight = state.own_in_flight + state.other_in_flight(now) + 1
        depth = in_flight / state.room_slots
        if depth > MAX_QUEUE_DEPTH_BY_RANK[rank]:
            return "endpoint_full"
        objective = max(route.objective_seconds, 2 * state.base_seconds)
        if elapsed + expected > objective and depth > 1:
            return "too_late_for_objective"
        return None

    def retry_after(
        self, service: str, owner: EndpointState | None, remaining: float, now: float
    ) -> float:
        """Return in how many seconds capacity is expected, with random jitter.

        `owner` is the only endpoint that can serve the request, if there is one.
        `remaining` is the time until the caller's deadline; the result is at most a
        third of it, unless all endpoints asked for no requests until later.
        """
        states = [owner] if owner else self._endpoints.for_service(service)
        usable = [s for s in states if s.leaving_since is None and not s.replaced]
        asked = [s.wait_seconds(now) for s in usable]
        if asked and min(asked) > 0:
            return min(asked) * self._rng.uniform(1.0, 1.3)
        waits = [
            max(
                state.expected_seconds(now) - state.base_seconds,
                state.backoff_until - now,
            )
            for state in states
        ]
        wait = min(waits, default=MAX_RETRY_AFTER_SECONDS) * self._rng.uniform(0.5, 1.5)
        bound = min(MAX_RETRY_AFTER_SECONDS, max(remaining, 0.0) / 3)
        return max(MIN_RETRY_AFTER_SECONDS, min(wait, bound))
