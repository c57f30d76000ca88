"""Which requests for keys may try an owner to which no connection could be opened.

No other endpoint can serve the keys, and the connection may fail only because the owner
is at its limit of connections or because its next process is not ready yet. One request
at a time therefore tries the owner again, after short pauses, and the others wait for
the result.
"""

import dataclasses

# A process is replaced within about a second, and a limit of connections frees up
# within a service time. The pause doubles with each failure.
INITIAL_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.4
# A probe without a result in this time has ended otherwise; it is longer than a
# connection may take to open (0.3 s).
PROBE_SECONDS = 0.35
# After this long without a connection, requests are refused at once instead of waiting,
# except for the probes. The owner has probably been lost then.
MAX_WAITED_FOR_SECONDS = 1.2
# Without a request in this time, what is known of the owner is out of date.
FORGOTTEN_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class OwnerProbes:
    """Failed connections to one endpoint since the last one that was opened."""

    failed_since: float | None = None
    retry_at: float = 0.0  # When the next request may try.
    probing: bool = False
    pause_seconds: float = INITIAL_PAUSE_SECONDS

    def wait_seconds(self, now: float) -> float:
        """Return for how long no request may try the owner; 0 if one may."""
        return 0.0 if self.failed_since is None else max(0.0, self.retry_at - now)

    def may_wait(self, now: float) -> bool:
        """Return whether requests wait for the owner, rather than being refused."""
        return (
            self.failed_since is None
            or now - self.failed_since < MAX_WAITED_FOR_SECONDS
        )

    def begin(self, now: float) -> None:
        """Note that a request tries the owner; the others wait meanwhile."""
        if self.failed_since is not None:
            self.retry_at, self.probing = now + PROBE_SECONDS, True

    def fail(self, now: float) -> None:
        """Note that no connection could be opened."""
        if self.failed_since is None or now - self.retry_at >= FORGOTTEN_SECONDS:
            self.failed_since, self.pause_seconds = now, INITIAL_PAUSE_SECONDS
        elif self.probing or now >= self.retry_at:
            self.pause_seconds = min(MAX_PAUSE_SECONDS, 2 * self.pause_seconds)
        else:
            return  # Begun before the first failure, like the one that was noted.
        self.retry_at, self.probing = now + self.pause_seconds, False

    def note_answer(self, now: float) -> None:
        """Note that the owner answered a request on a connection opened earlier.

        It lives, and that connection may be free for the next request.
        """
        if self.failed_since is not None:
            self.failed_since, self.pause_seconds = now, INITIAL_PAUSE_SECONDS
            if not self.probing:
                self.retry_at = now

    def succeed(self) -> None:
        """Note that there is a connection."""
        self.failed_since, self.probing = None, False
        self.pause_seconds = INITIAL_PAUSE_SECONDS
