"""Concurrency limit of an endpoint, retry budget of a service and backoff.

Invariants: a concurrency limit is at least 1 and at most `MAX_MULTIPLE` times the
endpoint's slots. Only completed requests that this router observed raise it; a
report of the endpoint can only lower it, for a short time and not below half of
the slots. A retry budget never grants more than `RETRY_RESERVE` plus
`RETRY_RATIO` of the requests it counted.
"""

import collections
import enum
import statistics
from typing import Protocol, Self

from arbutusflow.domain.configuration import Endpoint

MAX_MULTIPLE = 4  # An endpoint that runs more at once has its slots configured wrong.
DECREASE_RATIO = 0.7
INFLATED_LATENCY_RATIO = 2.0  # The endpoint queues about as long as it works.
STEADY_LATENCY_RATIO = 1.5
SAMPLES_PER_SLOT = 8  # The median of fewer samples varies too much with 2 slots.
BASELINE_WINDOWS = 64
REPORT_LIFETIME_SECONDS = 1.0  # Reports arrive each 0.4 s with the lease reply.
RETRY_RATIO = 0.1
RETRY_RESERVE = 10
BACKOFF_BASE_SECONDS = 0.025
BACKOFF_MAX_SECONDS = 1.0


class Finish(enum.Enum):
    """How a dispatched request ended, as far as the limit is concerned."""

    COMPLETED = "completed"  # Answered within its deadline.
    OVERLOADED = "overloaded"  # Shed by the endpoint, progress timeout or late.
    FAILED = "failed"  # Another failure; it says nothing about the load.
    NOT_SENT = "not_sent"  # Dispatched by the queue but never sent.


class RandomSource(Protocol):
    """The part of `random.Random` that the decision core uses."""

    def random(self) -> float:
        """Return a number of at least 0 and less than 1."""
        ...


class ConcurrencyLimit(Protocol):
    """Number of requests that may be in flight at one endpoint."""

    def current(self, now: float) -> int:
        """Return the limit; it is at least 1."""
        ...

    def observe(self, finish: Finish, latency: float, in_flight: int) -> None:
        """Learn from a request that ended after `latency` seconds.

        `in_flight` counts the requests at the endpoint when it was dispatched,
        itself included.
        """
        ...

    def report(self, load: int, now: float) -> None:
        """Take the endpoint's own count of requests that it runs or has queued."""
        ...

    def restart(self) -> None:
        """Begin again slowly; the endpoint is cold."""
        ...


class FixedLimit:
    """A limit that never changes; the alternative for measurements."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def current(self, now: float) -> int:
        """Return the fixed number."""
        return self._slots

    def observe(self, finish: Finish, latency: float, in_flight: int) -> None:
        """Ignore the observation."""

    def report(self, load: int, now: float) -> None:
        """Ignore the report."""

    def restart(self) -> None:
        """Ignore the restart."""


class AdaptiveLimit:
    """Additive increase, multiplicative decrease over windows of completions.

    A gradient of latencies was not chosen: with 2 or 3 slots its steps are smaller
    than one request, and latencies of mixed kinds differ more than the load moves
    them. The limit rises by one after a window in which it was used up and the
    median latency stayed near the lowest recent one; it falls when the endpoint
    sheds or the median shows that the endpoint queues.
    """

    def __init__(self, slots: int, *, cold: bool = False) -> None:
        self._slots = slots
        self._limit = 1.0 if cold else float(slots)
        self._slow_start = cold
        self._window: list[float] = []
        self._used_up = False
        self._sheds_to_ignore = 0
        self._baselines: collections.deque[float] = collections.deque(
            maxlen=BASELINE_WINDOWS
        )
        self._reported = 0
        self._reported_until = float("-inf")

    @classmethod
    def from_config(cls, endpoint: Endpoint, *, cold: bool = False) -> Self:
        """Return the limit of a configured endpoint."""
        return cls(endpoint.slots, cold=cold)

    def current(self, now: float) -> int:
        """Return the learned limit, lowered by a recent report of overload."""
        learned = max(1, int(self._limit))
        if now >= self._reported_until:
            return learned
        return min(learned, self._reported)

    def report(self, load: int, now: float) -> None:
        """Lower the limit while the endpoint reports more load than we sent.

        The report may lag or mislead, so it counts for a short time and never
        lowers the limit below half of the slots.
        """
        excess = load - max(int(self._limit), self._slots)
        if excess <= 0:
            self._reported_until = float("-inf")
            return
        floor = max(1, self._slots // 2)
        self._reported = max(floor, int(self._limit) - excess)
        self._reported_until = now + REPORT_LIFETIME_SECONDS

    def restart(self) -> None:
        """Begin at 1 and forget what the previous process showed."""
        self._limit = 1.0
        self._slow_start = True
        self._window.clear()
        self._baselines.clear()
        self._reported_until = float("-inf")

    def observe(self, finish: Finish, latency: float, in_flight: int) -> None:
        """Learn from a request that ended."""
        match finish:
            case Finish.COMPLETED:
                self._completed(latency, in_flight)
            case Finish.OVERLOADED:
                self._slow_start = False
                self._overloaded()
            case Finish.FAILED | Finish.NOT_SENT:
                return

    def _completed(self, latency: float, in_flight: int) -> None:
        if self._slow_start:
            # Doubles the limit for each round of completions.
            self._limit = min(self._limit + 1.0, float(self._slots))
            self._slow_start = self._limit < self._slots
            return
        self._window.append(latency)
        self._used_up = self._used_up or in_flight >= int(self._limit)
        if len(self._window) >= SAMPLES_PER_SLOT * max(1, int(self._limit)):
            self._close_window()

    def _close_window(self) -> None:
        median = statistics.median(self._window)
        self._baselines.append(median)
        baseline = min(self._baselines)
        if median > INFLATED_LATENCY_RATIO * baseline:
            self._decrease()
        elif self._used_up and median <= STEADY_LATENCY_RATIO * baseline:
            self._limit = min(self._limit + 1.0, float(MAX_MULTIPLE * self._slots))
        self._window.clear()
        self._used_up = False
        self._sheds_to_ignore = 0

    def _overloaded(self) -> None:
        # Requests that were in flight together with one that was shed say nothing
        # about the lowered limit.
        if self._sheds_to_ignore:
            self._sheds_to_ignore -= 1
            return
        self._sheds_to_ignore = int(self._limit) - 1
        self._decrease()

    def _decrease(self) -> None:
        self._limit = max(1.0, self._limit * DECREASE_RATIO)


class RetryBudget:
    """Token bucket that bounds the retries of one service.

    Each request adds `RETRY_RATIO` of a token and each retry takes one. The
    bucket holds `RETRY_RESERVE`, so a quiet hour does not save up a retry storm.
    """

    def __init__(self) -> None:
        self._tokens = float(RETRY_RESERVE)

    def request(self) -> None:
        """Count a request."""
        self._tokens = min(self._tokens + RETRY_RATIO, float(RETRY_RESERVE))

    def take(self) -> bool:
        """Take a retry from the budget; return False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_seconds(retry: int, rng: RandomSource) -> float:
    """Return the time before retry number `retry`, counted from 1.

    Half of the time is fixed, so that news of an exited endpoint can arrive before
    the retry; the other half spreads retries that failed together.
    """
    full = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2.0**retry)
    return full * (0.5 + 0.5 * rng.random())
