"""Longest response time of each service in the last seconds.

Invariant: a time counts for at least `WINDOW_SECONDS` and at most twice as long.
"""

import dataclasses

WINDOW_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class _Window:
    """Longest times in the current period and in the one before."""

    began: float
    longest: float
    earlier: float | None = None


class LongestResponseTimes:
    """Longest response times, by service."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def record(self, service: str, seconds: float, now: float) -> None:
        """Record the response time of one request."""
        window = self._current(service, now)
        if window is None:
            self._windows[service] = _Window(now, seconds)
        elif seconds > window.longest:
            window.longest = seconds

    def longest(self, service: str, now: float) -> float | None:
        """Return the longest response time in seconds, or None if there is none."""
        window = self._current(service, now)
        if window is None:
            return None
        return max(window.longest, window.earlier or 0.0)

    def _current(self, service: str, now: float) -> _Window | None:
        """Return the window of the service; older times no longer count."""
        window = self._windows.get(service)
        if window is None or now - window.began < WINDOW_SECONDS:
            return window
        if now - window.began < 2 * WINDOW_SECONDS:
            window.earlier, window.longest = window.longest, 0.0
            window.began += WINDOW_SECONDS
            return window
        del self._windows[service]
        return None
