"""Concurrency limit of an endpoint, retry budget and retry backoff.

Invariants:
- A concurrency limit is at least 1 and at most `MAX_MULTIPLE` times the endpoint's
  slots.
- Apart from a changed number of slots, only completed requests that this
  coordinator observed raise the limit. A load report of the endpoint can only lower
  it, for a short time and not below half of the slots, rounded down.
- A retry budget grants at most `RETRY_RESERVE` retries plus `RETRY_RATIO` retries
  for each counted request.
"""

import enum
import statistics
from typing import Protocol, Self

from arbutusflow.domain.configuration import Endpoint

# Highest limit, in multiples of the configured slots. An endpoint that can run more
# requests at once has too few slots configured.
MAX_MULTIPLE = 4
DECREASE_RATIO = 0.7
# Mean latency of a window, relative to the baseline, that counts as overload. The
# distance from 1 is four standard deviations of a window's noise.
INFLATED_LATENCY_RATIO = 1.6
# Tolerated estimate of the requests that wait inside the endpoint. None wait at the
# limit that just fills the endpoint, and one waits at the next higher limit.
MAX_WAITING_IN_ENDPOINT = 0.5
MAX_INCREASE_PAUSE_WINDOWS = 32
# A window ends after this many samples times the current limit. At a limit of 3, the
# mean of exponentially distributed latencies then has a standard deviation of 14 %.
SAMPLES_PER_LIMIT_UNIT = 16
BASELINE_EWMA_WEIGHT = 0.02
MAX_TRACKED_KINDS = 256  # Kinds with a latency baseline; a service has a few.
REPORT_LIFETIME_SECONDS = 1.0  # Reports arrive every 0.4 s in lease replies.
RETRY_RATIO = 0.1
RETRY_RESERVE = 10
BACKOFF_BASE_SECONDS = 0.025
BACKOFF_MAX_SECONDS = 1.0


class Finish(enum.Enum):
    """How a dispatched request ended, as an input to the concurrency limit."""

    COMPLETED = "completed"  # Complete answer, even if too late for the caller.
    OVERLOADED = "overloaded"  # Shed by the endpoint, or no answer in time.
    FAILED = "failed"  # Another failure; carries no information on the load.
    NOT_SENT = "not_sent"  # Dispatched by the queue, but not sent.


class RandomSource(Protocol):
    """Subset of `random.Random` that `backoff_seconds` uses."""

    def random(self) -> float:
        """Return a number in the half-open interval [0, 1)."""
        ...


class ConcurrencyLimit(Protocol):
    """Limit on the number of requests in flight at one endpoint."""

    def current(self, now: float) -> int:
        """Return the limit, which is at least 1."""
        ...

    def observe(
        self, finish: Finish, latency: float, in_flight: int, kind: str = ""
    ) -> None:
        """Update the limit from a request that ended after `latency` seconds.

        `in_flight` is the number of requests at the endpoint when it was
        dispatched, including itself. `latency` excludes the time in the
        coordinator's queue.
        """
        ...

    def report(self, load: int, now: float) -> None:
        """Process the endpoint's count of requests that it runs or has queued."""
        ...

    def restart(self) -> None:
        """Return to slow start because the endpoint's process restarted."""
        ...

    def configure(self, slots: int) -> None:
        """Apply a changed number of slots."""
        ...


class FixedLimit:
    """Constant limit, used as the reference in measurements."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def current(self, now: float) -> int:
        """Return the constant limit."""
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
        """Set the limit to the new number of slots."""
        self._slots = slots


class AdaptiveLimit:
    """AIMD limit (additive increase, multiplicative decrease) over completion windows.

    A latency gradient is not used, because with 2 or 3 slots its steps are smaller
    than one request. Each latency is compared with the baseline of its kind at low
    load, because latencies differ more between kinds than between loads.

    The limit increases by one after a window in which it was reached and no request
    waited inside the endpoint. If the next window shows waiting, the increase is
    reverted and the pause before the next attempt doubles, because urgent work
    cannot overtake requests that wait inside the endpoint.

    The limit decreases when a request ends as `Finish.OVERLOADED`. It also decreases,
    down to half of the slots, rounded up, when latencies are inflated. At that load
    the baseline is updated, so the limit recovers at an endpoint that became
    permanently slower.
    """

    def __init__(self, slots: int, *, slow_start: bool = False) -> None:
        self._slots = slots
        self._low_load = (slots + 1) // 2
        self._limit = 1.0 if slow_start else float(slots)
        self._slow_start = slow_start
        self._baseline_latency: dict[str, float] = {}
        self._window: list[float] = []
        self._limit_reached = False
        self._overloads_to_ignore = 0
        self._pause_windows = 0
        self._next_pause_windows = 1
        self._reported_limit = 0
        self._reported_until = float("-inf")

    @classmethod
    def from_config(cls, endpoint: Endpoint, *, slow_start: bool = False) -> Self:
        """Create the limit of a configured endpoint."""
        return cls(endpoint.slots, slow_start=slow_start)

    def configure(self, slots: int) -> None:
        """Apply a changed number of slots and reset the limit to it."""
        if slots != self._slots:
            self._slots, self._low_load = slots, (slots + 1) // 2
            if not self._slow_start:
                self._limit = float(slots)

    def current(self, now: float) -> int:
        """Return the learned limit, lowered by a recent overload report."""
        learned = max(1, int(self._limit))
        if now >= self._reported_until:
            return learned
        return min(learned, self._reported_limit)

    def report(self, load: int, now: float) -> None:
        """Lower the limit if the reported load exceeds what this coordinator may send.

        A report may be late or wrong, so it expires after a short time and never
        lowers the limit below half of the slots, rounded down.
        """
        excess = load - max(int(self._limit), self._slots)
        if excess <= 0:
            self._reported_until = float("-inf")
            return
        floor = max(1, self._slots // 2)
        self._reported_limit = max(floor, int(self._limit) - excess)
        self._reported_until = now + REPORT_LIFETIME_SECONDS

    def restart(self) -> None:
        """Reset the limit to 1 and discard the latencies of the previous process."""
        self._limit = 1.0
        self._slow_start = True
        self._window.clear()
        self._baseline_latency.clear()
        self._pause_windows = 0
        self._next_pause_windows = 1
        self._reported_until = float("-inf")

    def observe(
        self, finish: Finish, latency: float, in_flight: int, kind: str = ""
    ) -> None:
        """Update the limit from a request that ended."""
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
            # Each round of completions doubles the limit.
            self._limit = min(self._limit + 1.0, float(self._slots))
            self._slow_start = self._limit < self._slots
            return
        baseline = self._baseline_latency.get(kind, latency)
        if (
            kind not in self._baseline_latency
            and len(self._baseline_latency) >= MAX_TRACKED_KINDS
        ):
            return
        if in_flight <= self._low_load or kind not in self._baseline_latency:
            baseline += BASELINE_EWMA_WEIGHT * (latency - baseline)
            self._baseline_latency[kind] = baseline
        self._window.append(latency / baseline if baseline > 0.0 else 1.0)
        self._limit_reached = self._limit_reached or in_flight >= int(self._limit)
        if len(self._window) >= SAMPLES_PER_LIMIT_UNIT * int(self._limit):
            self._close_window()

    def _close_window(self) -> None:
        ratio = statistics.fmean(self._window)
        waiting = self._limit * (1.0 - 1.0 / ratio) if ratio > 1.0 else 0.0
        if ratio > INFLATED_LATENCY_RATIO:
            lowered = max(float(self._low_load), self._limit * DECREASE_RATIO)
            self._limit = min(self._limit, lowered)
        elif waiting > MAX_WAITING_IN_ENDPOINT:
            self._revert_increase()
        elif self._limit_reached:
            self._increase_limit()
        self._window.clear()
        self._limit_reached = False
        self._overloads_to_ignore = 0

    def _increase_limit(self) -> None:
        if self._limit >= self._slots and self._pause_windows:
            self._pause_windows -= 1
            return
        self._limit = min(self._limit + 1.0, float(MAX_MULTIPLE * self._slots))

    def _revert_increase(self) -> None:
        if self._limit <= self._slots:
            return
        self._limit = max(float(self._slots), self._limit - 1.0)
        self._pause_windows = self._next_pause_windows
        self._next_pause_windows = min(
            2 * self._next_pause_windows, MAX_INCREASE_PAUSE_WINDOWS
        )

    def _overloaded(self) -> None:
        # Requests that were dispatched before the decrease carry no information on
        # the lowered limit.
        if self._overloads_to_ignore:
            self._overloads_to_ignore -= 1
            return
        self._overloads_to_ignore = int(self._limit) - 1
        self._limit = max(1.0, self._limit * DECREASE_RATIO)


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Each request adds `RETRY_RATIO` tokens and each retry takes one. The bucket
    holds at most `RETRY_RESERVE` tokens, so the budget that accumulates during low
    retry rates does not permit a retry storm.
    """

    def __init__(self) -> None:
        self._tokens = float(RETRY_RESERVE)

    def request(self) -> None:
        """Add the tokens earned by one request."""
        self._tokens = min(self._tokens + RETRY_RATIO, float(RETRY_RESERVE))

    def take(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_seconds(retry: int, rng: RandomSource) -> float:
    """Return the delay before retry number `retry`, counted from 1.

    Half of the delay is fixed, so that a notice of the endpoint's exit can arrive
    before the retry. The other half is random, to spread the retries of requests
    that failed at the same time.
    """
    max_delay = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2.0**retry)
    return max_delay * (0.5 + 0.5 * rng.random())
