"""Detection of requests that crash the endpoints which run them.

A strike is one crash of an endpoint process with the request in flight. Requests are
equal if their content is.

Invariants: a crash counts once for a request, however many exchanges it broke and
however many instances report it. A request that succeeded since is not suspect, as one
that crashes its endpoints never does. A refused request is tried again at bounded
intervals by one instance. Memory is bounded.
"""

import collections
import dataclasses
from collections.abc import Callable

from arbutusflow.gateway.model import EndpointProcess

MAX_STRIKES = 3  # A request with so many is refused.
STRIKE_LIFETIME_SECONDS = 600.0
# From the last strike to the first trial; the wait grows with each further strike, so
# that a request that does crash endpoints gets two trials within the lifetime.
TRIAL_DELAY_SECONDS = 5.0
TRIAL_DELAY_FACTOR = 12.0
MAX_TRACKED_REQUESTS = 4096
# Reports of one crash by several instances arrive within this time. A later one under
# the same start time is of a process whose entry was not known yet.
SAME_CRASH_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes in which a request was in flight."""

    last_strike_at: float
    strikes: int = 0
    next_trial_at: float = 0.0
    # When the latest crash of each process was counted.
    crashed_at: dict[EndpointProcess, float] = dataclasses.field(default_factory=dict)


class CrashStrikes:
    """Strikes of all requests that this instance knows of."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )

    def add(self, digest: bytes, process: EndpointProcess, now: float) -> bool:
        """Record a crash with a request in flight; return False if it was known."""
        suspect = self._find(digest, now)
        if suspect is None:
            suspect = self._suspects[digest] = _Suspect(now)
        if now - suspect.crashed_at.get(process, -1e9) < SAME_CRASH_SECONDS:
            return False
        suspect.crashed_at[process] = suspect.last_strike_at = now
        suspect.strikes += 1
        suspect.next_trial_at = now + self._trial_delay(suspect)
        self._suspects.move_to_end(digest)
        while len(self._suspects) > MAX_TRACKED_REQUESTS:
            self._suspects.popitem(last=False)
        return True

    def clear(self, digest: bytes) -> bool:
        """Forget the strikes of a request that has run; return whether it had any."""
        return self._suspects.pop(digest, None) is not None

    def count(self, digest: bytes, now: float) -> int:
        """Return the number of strikes of a request."""
        suspect = self._find(digest, now)
        return 0 if suspect is None else suspect.strikes

    def refuses(
        self, digest: bytes, now: float, may_try: Callable[[bytes], bool]
    ) -> bool:
        """Return whether a request must not be sent to an endpoint.

        `may_try` tells whether this instance makes the trials of the request. A trial
        that is due is used up by the call.
        """
        suspect = self._find(digest, now)
        if suspect is None or suspect.strikes < MAX_STRIKES:
            return False
        if now < suspect.next_trial_at or not may_try(digest):
            return True
        suspect.next_trial_at = now + self._trial_delay(suspect)
        return False

    def _find(self, digest: bytes, now: float) -> _Suspect | None:
        suspect = self._suspects.get(digest)
        if suspect is None or now - suspect.last_strike_at >= STRIKE_LIFETIME_SECONDS:
            return None
        return suspect

    def _trial_delay(self, suspect: _Suspect) -> float:
        further = max(0, suspect.strikes - MAX_STRIKES)
        return TRIAL_DELAY_SECONDS * TRIAL_DELAY_FACTOR**further
