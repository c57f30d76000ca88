"""Exchange of strikes against requests between instances (see `crash_strikes`).

Invariants: a strike is counted once, however often it is reported. Reports and memory
are bounded.
"""

import collections
from collections.abc import Callable

from arbutusflow.gateway.crash_strikes import CrashStrikes
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import EndpointProcess
from arbutusflow.gateway.peers import StrikeReport

# Strikes are repeated in all reports of this period, because datagrams can be lost.
REPORT_SECONDS = 3.0
MAX_REPORTED_STRIKES = 8  # Bounds the size of a report.
MAX_KNOWN_STRIKES = 1024  # Bounds the memory for strikes that were counted.


class StrikeReports:
    """Strikes that one instance reports, its own and those of others."""

    def __init__(
        self,
        instance: str,
        crash_strikes: CrashStrikes,
        log: EventLog,
        started_at: float,
        clock: Callable[[], float],
    ) -> None:
        self._instance = instance
        self._crash_strikes = crash_strikes
        self._log = log
        self._started_at = started_at
        self._clock = clock
        # Called when there is a strike to report at once.
        self.on_news: Callable[[], None] = lambda: None
        self._count = 0
        self._recent: collections.deque[tuple[float, StrikeReport]] = collections.deque(
            maxlen=MAX_REPORTED_STRIKES
        )
        # Strikes that were counted, by instance and number; oldest first.
        self._known: dict[tuple[str, int], None] = {}

    def recent(self) -> tuple[StrikeReport, ...]:
        """Return the strikes for the next report."""
        since = self._clock() - REPORT_SECONDS
        while self._recent and self._recent[0][0] < since:
            self._recent.popleft()
        return tuple(strike for _, strike in self._recent)

    def learn(self, strikes: tuple[StrikeReport, ...], now: float) -> None:
        """Count the strikes that are new, and repeat them in the next reports."""
        for strike in strikes:
            if self._is_new(strike):
                if strike.endpoint:
                    process = (strike.endpoint, strike.started_ms)
                    self._crash_strikes.add(strike.digest, process, now)
                else:
                    self._crash_strikes.clear(strike.digest)
                self._recent.append((now, strike))

    def report_strike(self, digest: bytes, process: EndpointProcess) -> None:
        """Report that an endpoint ended while it ran a request."""
        self._log.write("request_struck", digest=digest.hex(), endpoint=process[0])
        self._report(digest, *process)

    def report_cleared(self, digest: bytes) -> None:
        """Report that a request has run, which voids its strikes."""
        self._log.write("request_cleared", digest=digest.hex())
        self._report(digest, "", 0)

    def _report(self, digest: bytes, endpoint: str, started_ms: int) -> None:
        self._count += 1
        # Always higher than the numbers used before a restart of this instance.
        number = int(self._started_at * 1000) + self._count
        strike = StrikeReport(number, digest, self._instance, endpoint, started_ms)
        self._is_new(strike)
        self._recent.append((self._clock(), strike))
        self.on_news()

    def _is_new(self, strike: StrikeReport) -> bool:
        strike_id = (strike.instance, strike.number)
        if strike_id in self._known:
            return False
        self._known[strike_id] = None
        if len(self._known) > MAX_KNOWN_STRIKES:
            del self._known[next(iter(self._known))]
        return True
