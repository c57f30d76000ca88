"""Recent request outcomes of one instance, for `explain request`.

Invariant: the number of outcomes is bounded, and an outcome contains no payload.
"""

import collections

import msgspec

MAX_OUTCOMES = 4_096


class RequestOutcome(msgspec.Struct, frozen=True):
    """Outcome of one request at one instance.

    `role` is `entry` at the instance that received the request from the caller, and
    `coordinator` at the instance that dispatched a forwarded request. `received` is in
    seconds of the instance's wall clock. `retries` lists the reason of each retry.
    `endpoint` and `coordinator` are those known when the request ended.
    """

    request_id: str
    instance: str
    role: str
    received: float
    duration_ms: float
    service: str
    kind: str
    key: str
    rank: str
    outcome: str
    reason: str
    detail: str
    status: int
    request_bytes: int
    answer_bytes: int
    unit: int = -1
    endpoint: str = ""
    coordinator: str = ""
    retries: tuple[str, ...] = ()


class RequestLog:
    """Ring buffer of the most recent outcomes."""

    def __init__(self, max_outcomes: int = MAX_OUTCOMES) -> None:
        self._outcomes: collections.deque[RequestOutcome] = collections.deque(
            maxlen=max_outcomes
        )

    def record(self, outcome: RequestOutcome) -> None:
        """Add an outcome; when the buffer is full, the oldest one is dropped."""
        self._outcomes.append(outcome)

    def find(self, request_id: str) -> tuple[RequestOutcome, ...]:
        """Return the outcomes of a request, oldest first."""
        # Lookups are rare, so a linear scan is cheaper than an index that each request
        # would have to update.
        return tuple(item for item in self._outcomes if item.request_id == request_id)
