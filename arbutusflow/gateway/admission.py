"""Decides whether a request is worth sending now.

A request is refused at once when it is not expected to be answered in time, so that
its caller can come back or go elsewhere while it still has time, and so that the
endpoints spend their time on work whose answer is still wanted.
"""

import random

from arbutusflow.gateway.endpoint_load import EndpointState, EndpointTable
from arbutusflow.gateway.model import Route

# Share of the time left that the expected answer time may take: the work of single
# requests varies around its mean.
DEADLINE_FRACTION = 0.7
# Requests at an endpoint per slot, running and waiting. An endpoint sheds work beyond
# about five per slot; the least urgent work leaves room for the most urgent.
MAX_DEPTH_BY_RANK = (4.0, 3.5, 3.0)
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.0


class Admission:
    """Checks requests against the expected answer time."""

    def __init__(self, endpoints: EndpointTable, rng: random.Random) -> None:
        self._endpoints = endpoints
        self._rng = rng

    def check(
        self,
        state: EndpointState,
        route: Route,
        left: float,
        waited: float,
        now: float,
    ) -> str | None:
        """Return why the request is refused, None if it may be sent."""
        expected = state.expected_seconds(now)
        if expected > left * DEADLINE_FRACTION:
            return "too_late_for_deadline"
        rank = min(route.rank, len(MAX_DEPTH_BY_RANK) - 1)
        depth = (state.own + state.others(now) + 1) / state.endpoint.slots
        if depth > MAX_DEPTH_BY_RANK[rank]:
            return "endpoint_full"
        objective = max(route.objective_seconds, 2 * state.service_seconds)
        if waited + expected > objective and depth > 1:
            return "too_late_for_objective"
        return None

    def retry_after(
        self, service: str, owner: EndpointState | None, left: float, now: float
    ) -> float:
        """Return after how many seconds room is expected, spread over callers.

        `owner` is the only endpoint that can serve the request, if there is one.
        `left` is the time that the caller has; it waits for a third of it at most.
        """
        states = [owner] if owner else self._endpoints.of_service(service)
        waits = [
            max(s.expected_seconds(now) - s.service_seconds, s.down_until - now)
            for s in states
        ]
        wait = min(waits, default=MAX_RETRY_AFTER_SECONDS) * self._rng.uniform(0.5, 1.5)
        bound = min(MAX_RETRY_AFTER_SECONDS, max(left, 0.0) / 3)
        return max(MIN_RETRY_AFTER_SECONDS, min(wait, bound))
