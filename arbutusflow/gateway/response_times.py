"""Longest response time of each service in the last seconds.

Invariants: a time counts for at least `WINDOW_SECONDS` and at most twice as long. Only
responses to requests that an endpoint has run make a service count as measured. A
request in flight counts with its age, so a service that becomes slow is noticed before
it responds.
"""

import dataclasses
import itertools

WINDOW_SECONDS = 10.0
# Fewer responses say too little about the longest one.
MIN_RESPONSES = 5


@dataclasses.dataclass(slots=True)
class _Window:
    """Responses within one period."""

    began: float
    responses: int = 0
    longest: float = 0.0


class LongestResponseTimes:
    """Longest response times, by service."""

    def __init__(self) -> None:
        # The current period and the one before.
        self._windows: dict[str, tuple[_Window, _Window]] = {}
        # When each request in flight was sent, oldest first.
        self._in_flight: dict[str, dict[int, float]] = {}
        self._numbers = itertools.count()

    def begin(self, service: str, now: float) -> int:
        """Note that a request is sent; return its number."""
        number = next(self._numbers)
        self._in_flight.setdefault(service, {})[number] = now
        return number

    def end(self, service: str, number: int, now: float, *, has_run: bool) -> None:
        """Note the end of an exchange.

        `has_run` tells whether an endpoint has run the request and responded.
        """
        sent_at = self._in_flight[service].pop(number)
        window, _earlier = self._current(service, now)
        window.longest = max(window.longest, now - sent_at)
        window.responses += has_run

    def longest(self, service: str, now: float) -> float | None:
        """Return the longest time in seconds, or None if too few are known."""
        windows = self._current(service, now)
        if sum(window.responses for window in windows) < MIN_RESPONSES:
            return None
        oldest = next(iter(self._in_flight.get(service, {}).values()), now)
        return max(now - oldest, *(window.longest for window in windows))

    def _current(self, service: str, now: float) -> tuple[_Window, _Window]:
        """Return the windows of the service; older times no longer count."""
        windows = self._windows.get(service)
        if windows is None or now - windows[0].began >= 2 * WINDOW_SECONDS:
            windows = _Window(now), _Window(now - WINDOW_SECONDS)
        elif now - windows[0].began >= WINDOW_SECONDS:
            windows = _Window(windows[0].began + WINDOW_SECONDS), windows[0]
        self._windows[service] = windows
        return windows
