"""Life of an instance from its start to the end of a planned stop.

A state machine without network or clock; `process` carries out what it decides.

Invariants: phases follow each other in the order of `Phase` and never go back. Each
request that is read before the end gets an answer: one that is read while the instance
leaves rotation is sent to an endpoint if it is expected to end by `answers_until`, a
later one only if its deadline is before that. What has no answer then gets a final one.
Listening ends when callers have had time to learn that the instance stops, and at the
latest when no further request could be served.
"""

import dataclasses
import enum

# The balancer takes an instance out of rotation after two failed readiness checks, made
# once a second. Connections opened until then are served.
ROTATION_SECONDS = 2.6
END_MARGIN_SECONDS = 0.4  # Between the end of the process and SIGKILL.
# The same if SIGTERM was noticed late: it may have arrived after that, too.
MIN_END_MARGIN_SECONDS = 0.1
# Between the final answers and the end: they are written, and connections are closed.
FINAL_ANSWER_SECONDS = 0.3
# Work at endpoints goes on into this last part of the grace period.
LAST_PART_FRACTION = 1 / 6
# Largest parts of a short grace period for each of these.
MAX_ROTATION_FRACTION = 0.5
MAX_END_MARGIN_FRACTION = 0.08
MAX_MIN_END_MARGIN_FRACTION = 0.02
MAX_FINAL_ANSWER_FRACTION = 0.06
# Requests that arrive later than this before the final answers are not worth accepting.
ACCEPT_MARGIN_SECONDS = 1.0
# Requests vary around the longest response time that was measured.
RESPONSE_TIME_MARGIN = 1.2


class Phase(enum.IntEnum):
    """Phase of the life of an instance."""

    STARTING = 0  # The configuration or the endpoints are not known yet.
    READY = 1
    # Not ready; new connections and requests are served as usual.
    LEAVING_ROTATION = 2
    # Idle connections are closed; new connections are still accepted.
    DRAINING = 3
    # No connection is accepted; what was accepted is served. The instance deregisters.
    CLOSING = 4
    # Requests without an answer have got a final one; connections are closed.
    ENDING = 5
    ENDED = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What an instance still has to do before it ends."""

    requests: int  # Read completely or in part, and not answered.
    # Whether a connection has a request or is too new to have sent one, has unsent
    # bytes, or is closing.
    connections_busy: bool
    deregistered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of a planned stop, on the clock of the event loop."""

    began: float
    rotation_until: float
    accepts_until: float
    answers_until: float
    ends_at: float

    @classmethod
    def from_grace(
        cls, began: float, grace_seconds: float, lag: float = 0.0
    ) -> "StopPlan":
        """Return the times of a stop that may last `grace_seconds`.

        The signal arrived at `began` or up to `lag` seconds later. The order of the
        times holds for any grace period, also for one that is too short for all.
        """
        margin = min(END_MARGIN_SECONDS, MAX_END_MARGIN_FRACTION * grace_seconds)
        final = min(FINAL_ANSWER_SECONDS, MAX_FINAL_ANSWER_FRACTION * grace_seconds)
        least = min(MIN_END_MARGIN_SECONDS, MAX_MIN_END_MARGIN_FRACTION * grace_seconds)
        last_part = began + lag + (1 - LAST_PART_FRACTION) * grace_seconds
        until = began + grace_seconds - final
        answers_until = max(until - margin, min(last_part, until - least))
        ends_at = answers_until + final
        rotation_until = began + min(
            ROTATION_SECONDS, MAX_ROTATION_FRACTION * grace_seconds
        )
        accepts_until = max(rotation_until, answers_until - ACCEPT_MARGIN_SECONDS)
        return cls(began, rotation_until, accepts_until, answers_until, ends_at)


class Lifecycle:
    """Phase of an instance, and which requests it may still pass on."""

    def __init__(self, now: float = 0.0) -> None:
        self.phase = Phase.STARTING
        self.phase_since = now
        self.plan: StopPlan | None = None

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers."""
        return self.phase is Phase.READY

    @property
    def stopping(self) -> bool:
        """Whether a stop has begun."""
        return self.plan is not None

    def become_ready(self, now: float) -> None:
        """Note that the configuration and the endpoints are known."""
        if self.phase is Phase.STARTING:
            self._enter(Phase.READY, now)

    def stop(self, now: float, grace_seconds: float, lag: float = 0.0) -> bool:
        """Begin a planned stop; return False if one has begun before.

        Its signal arrived up to `lag` seconds ago.
        """
        if self.plan is not None:
            return False
        self.plan = StopPlan.from_grace(now - lag, grace_seconds, lag)
        self._enter(Phase.LEAVING_ROTATION, now)
        return True

    def advance(self, work: Work, now: float) -> Phase:
        """Return the phase at `now`, which is at most one later than the last one."""
        plan = self.plan
        if plan is None:
            return self.phase
        if self.phase is Phase.LEAVING_ROTATION:
            ends = now >= plan.rotation_until
        elif self.phase is Phase.DRAINING:
            ends = not work.requests or now >= plan.accepts_until
        elif self.phase is Phase.CLOSING:
            busy = work.requests or work.connections_busy or not work.deregistered
            ends = not busy or now >= plan.answers_until
        elif self.phase is Phase.ENDING:
            ends = not work.connections_busy or now >= plan.ends_at
        else:
            ends = False
        if ends:
            self._enter(Phase(self.phase + 1), now)
        return self.phase

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase, self.phase_since = phase, now

    def admits(
        self, longest_seconds: float | None, read_at: float, until: float, now: float
    ) -> bool:
        """Return whether a request may be sent to an endpoint.

        `longest_seconds` is the longest response time measured lately, None if there is
        none; `read_at` is when the request was complete, and `until` when it ends in
        any case. Response times are no bound for later ones, so they count only for
        requests whose callers could not know that the instance stops.
        """
        if self.plan is None or until <= self.plan.answers_until:
            return True
        if longest_seconds is None or read_at > self.plan.rotation_until:
            return False
        remaining = self.plan.answers_until - now
        return longest_seconds * RESPONSE_TIME_MARGIN <= remaining
