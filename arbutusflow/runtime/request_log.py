"""Recent request outcomes of one instance, which `explain request` reads.

Invariant: the number of outcomes kept is bounded, and an outcome holds no
payload.
"""

import collections

import msgspec

OUTCOMES_KEPT = 4_096


class RequestOutcome(msgspec.Struct, frozen=True):
    """How one request ended at one instance.

    `role` is `entry` at the instance that the caller reached and `coordinator` at
    the one that dispatched the request for it. `received` is in seconds of the
    instance's wall clock. `retries` are the reasons of the attempts that were
    repeated. `endpoint` and `coordinator` are those known when the request ended.
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
    """Ring of the most recent outcomes; the oldest is dropped first."""

    def __init__(self, kept: int = OUTCOMES_KEPT) -> None:
        self._outcomes: collections.deque[RequestOutcome] = collections.deque(
            maxlen=kept
        )

    def record(self, outcome: RequestOutcome) -> None:
        """Keep an outcome."""
        self._outcomes.append(outcome)

    def find(self, request_id: str) -> tuple[RequestOutcome, ...]:
        """Return the outcomes of a request, the oldest first."""
        # Operators ask rarely; an index would cost each request instead.
        return tuple(item for item in self._outcomes if item.request_id == request_id)
