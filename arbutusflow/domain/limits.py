"""Concurrency limit of an endpoint, retry budget of a service and backoff.

Invariants: a concurrency limit is at least 1 and at most `MAX_MULTIPLE` times the
endpoint's slots. Only completed requests that this router observed raise it; a
report of the endpoint can only lower it, for a short time and not below half of
the slots. A retry budget never grants more than `RETRY_RESERVE` plus
`RETRY_RATIO` of the requests it counted.
"""

import enum
import statistics
from typing import Protocol, Self

from arbutusflow.domain.configuration import Endpoint

MAX_MULTIPLE = 4  # An endpoint that runs more at once has its slots configured wrong.
DECREASE_RATIO = 0.7
INFLATED_RATIO = 1.6  # Above the noise of a window by four standard deviations.
# Requests that wait inside the endpoint, estimated from the latency. At the limit
# that just fills the endpoint there are none, one step above it there is one.
FEW_WAITING = 0.5
MAX_PROBE_PAUSE_WINDOWS = 32
SAMPLES_PER_SLOT = 16  # Means of exponential latencies then vary by 14 % at 3 slots.
BASELINE_SMOOTHING = 0.02
MAX_KINDS = 256  # Kinds with a latency of their own; a service has a few.
REPORT_LIFETIME_SECONDS = 1.0  # Reports arrive each 0.4 s with the lease reply.
RETRY_RATIO = 0.1
RETRY_RESERVE = 10
BACKOFF_BASE_SECONDS = 0.025
BACKOFF_MAX_SECONDS = 1.0


class Finish(enum.Enum):
    """How a dispatched request ended, as far as the limit is concerned."""

    COMPLETED = "completed"  # Answered whole, even if late for the caller.
    OVERLOADED = "overloaded"  # Shed by the endpoint, or a progress timeout.
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

    def observe(
        self, finish: Finish, latency: float, in_flight: int, kind: str = ""
    ) -> None:
        """Learn from a request that ended after `latency` seconds.

        `in_flight` counts the requests at the endpoint when it was dispatched,
        itself included. Time in the router's own queue is not part of the latency.
        """
        ...

    def report(self, load: int, now: float) -> None:
        """Take the endpoint's own count of requests that it runs or has queued."""
        ...

    def restart(self) -> None:
        """Begin again slowly; the endpoint is cold."""
        ...

    def configure(self, slots: int) -> None:
        """Apply a changed number of slots."""
        ...


class FixedLimit:
    """A limit that never changes; the alternative for measurements."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def current(self, now: float) -> int:
        """Return the fixed number."""
        return self._slots

    def observe(
        self, finish: Finish, latency: float, in_flight: int, kind: str = ""
    ) -> None:
        """Ignore the observation."""

    def report(self, load: int, now: float) -> None:
        """Ignore the report."""

    def restart(self) -> None:
        """Ignore the restart."""

    def configure(self, slots: int) -> None:
        """Take the new number as the limit."""
        self._slots = slots


class AdaptiveLimit:
    """Additive increase, multiplicative decrease over windows of completions.

    A gradient of latencies was not chosen: with 2 or 3 slots its steps are smaller
    than one request. Latencies are compared with the usual latency of their kind
    at a low load, because kinds differ more than load changes them.

    The limit rises by one after a window in which it was used up and nothing waited
    inside the endpoint. If the next window shows a wait, it goes back, and the next
    trial comes later: urgent work cannot overtake what waits inside the endpoint.
    The limit falls when the endpoint sheds, or down to half of the slots when
    latencies are inflated; at that load the usual latency is learned again, so an
    endpoint that became slower is not held down.
    """

    def __init__(self, slots: int, *, cold: bool = False) -> None:
        self._slots = slots
        self._low = (slots + 1) // 2
        self._limit = 1.0 if cold else float(slots)
        self._slow_start = cold
        self._usual: dict[str, float] = {}
        self._window: list[float] = []
        self._used_up = False
        self._sheds_to_ignore = 0
        self._pause_windows = 0
        self._next_pause_windows = 1
        self._reported = 0
        self._reported_until = float("-inf")

    @classmethod
    def from_config(cls, endpoint: Endpoint, *, cold: bool = False) -> Self:
        """Return the limit of a configured endpoint."""
        return cls(endpoint.slots, cold=cold)

    def configure(self, slots: int) -> None:
        """Apply a changed number of slots; the limit begins at it again."""
        if slots != self._slots:
            self._slots, self._low = slots, (slots + 1) // 2
            if not self._slow_start:
                self._limit = float(slots)

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
        self._usual.clear()
        self._pause_windows = 0
        self._next_pause_windows = 1
        self._reported_until = float("-inf")

    def observe(
        self, finish: Finish, latency: float, in_flight: int, kind: str = ""
    ) -> None:
        """Learn from a request that ended."""
        match finish:
            case Finish.COMPLETED:
                self._completed(latency, in_flight, kind)
            case Finish.OVERLOADED:
                self._slow_start = False
                self._overloaded()
            case Finish.FAILED | Finish.NOT_SENT:
                return

    def _completed(self, latency: float, in_flight: int, kind: str) -> None:
        if self._slow_start:
            # Doubles the limit for each round of completions.
            self._limit = min(self._limit + 1.0, float(self._slots))
            self._slow_start = self._limit < self._slots
            return
        usual = self._usual.get(kind, latency)
        if kind not in self._usual and len(self._usual) >= MAX_KINDS:
            return
        if in_flight <= self._low or kind not in self._usual:
            usual += BASELINE_SMOOTHING * (latency - usual)
            self._usual[kind] = usual
        self._window.append(latency / usual if usual > 0.0 else 1.0)
        self._used_up = self._used_up or in_flight >= int(self._limit)
        if len(self._window) >= SAMPLES_PER_SLOT * int(self._limit):
            self._close_window()

    def _close_window(self) -> None:
        ratio = statistics.fmean(self._window)
        waiting = self._limit * (1.0 - 1.0 / ratio) if ratio > 1.0 else 0.0
        if ratio > INFLATED_RATIO:
            lowered = max(float(self._low), self._limit * DECREASE_RATIO)
            self._limit = min(self._limit, lowered)
        elif waiting > FEW_WAITING:
            self._step_back()
        elif self._used_up:
            self._step_up()
        self._window.clear()
        self._used_up = False
        self._sheds_to_ignore = 0

    def _step_up(self) -> None:
        if self._limit >= self._slots and self._pause_windows:
            self._pause_windows -= 1
            return
        self._limit = min(self._limit + 1.0, float(MAX_MULTIPLE * self._slots))

    def _step_back(self) -> None:
        if self._limit <= self._slots:
            return
        self._limit = max(float(self._slots), self._limit - 1.0)
        self._pause_windows = self._next_pause_windows
        self._next_pause_windows = min(
            2 * self._next_pause_windows, MAX_PROBE_PAUSE_WINDOWS
        )

    def _overloaded(self) -> None:
        # Requests that were in flight together with one that was shed say nothing
        # about the lowered limit.
        if self._sheds_to_ignore:
            self._sheds_to_ignore -= 1
            return
        self._sheds_to_ignore = int(self._limit) - 1
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
