"""When the parts of a run were disturbed, and which instances were in touch.

An instance is in touch at a moment if it, its link to the store and the store have been
undisturbed for `STABLE_WINDOW_SECONDS` before. Planned work (SIGTERM) disturbs the
instance, too; `unplanned` tells it apart. Times are seconds on the clock of the run.
"""

import contextlib
import dataclasses
import time
from collections.abc import Callable, Iterator

STABLE_WINDOW_SECONDS = 3.0  # `stableWindowS` of the settings of the soak.
STORE = "store"


@dataclasses.dataclass
class Span:
    """A time in which a part was disturbed."""

    subject: str  # Name of an instance or of an endpoint, or `STORE`.
    start: float
    end: float | None  # None while it lasts.
    planned: bool
    note: str = ""

    def describe(self, zero: float) -> str:
        """Return the span in one line, with the seconds since `zero`."""
        until = "the end" if self.end is None else f"{self.end - zero:.3f}"
        kind = "planned" if self.planned else "unplanned"
        return f"{self.start - zero:.3f} to {until} {self.subject}: {kind} {self.note}"

    def overlaps(self, since: float, until: float) -> bool:
        """Whether some moment of the time lies in this span."""
        return self.start <= until and (self.end is None or self.end >= since)


class Disturbances:
    """All disturbances of a run."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._spans: list[Span] = []

    def record(self, subject: str, *, planned: bool = False, note: str = "") -> None:
        """Record a disturbance of a moment, such as a signal."""
        now = self._clock()
        self._spans.append(Span(subject, now, now, planned, note))

    def lines(self, zero: float) -> list[str]:
        """Return all disturbances in order, with the seconds since `zero`."""
        return [span.describe(zero) for span in self._spans]

    @contextlib.contextmanager
    def lasting(
        self, *subjects: str, planned: bool = False, note: str = ""
    ) -> Iterator[None]:
        """Record a disturbance that lasts as long as the context."""
        now = self._clock()
        spans = [Span(subject, now, None, planned, note) for subject in subjects]
        self._spans += spans
        try:
            yield
        finally:
            for span in spans:
                span.end = self._clock()

    def calm(self, subject: str, since: float, until: float) -> bool:
        """Whether a part was undisturbed from the window before `since` on."""
        since -= STABLE_WINDOW_SECONDS
        return not any(
            span.subject == subject and span.overlaps(since, until)
            for span in self._spans
        )

    def endpoint_calm(
        self, endpoint: str, since: float, arrived: float, until: float
    ) -> bool:
        """Whether an endpoint was undisturbed while it had a request.

        A planned end excuses only requests that are there then.
        """
        since -= STABLE_WINDOW_SECONDS
        return not any(
            span.subject == endpoint
            and span.overlaps(arrived if span.planned else since, until)
            for span in self._spans
        )

    def slowed(self, instance: str, since: float, until: float) -> bool:
        """Whether an instance was disturbed other than by planned work.

        Signals of an operator and changes of the configuration slow no process down.
        """
        since -= STABLE_WINDOW_SECONDS
        return any(
            span.subject == instance
            and not span.planned
            and span.overlaps(since, until)
            for span in self._spans
        )

    def in_touch(self, instance: str, since: float, until: float) -> bool:
        """Whether an instance was in touch from `since` to `until`."""
        return self.calm(instance, since, until) and self.calm(STORE, since, until)

    def unplanned(self, since: float, until: float, *, keyed: bool) -> bool:
        """Whether unplanned disturbances excuse a request of this time.

        Those of the store alone excuse only requests with a key.
        """
        since -= STABLE_WINDOW_SECONDS
        return any(
            not span.planned
            and (keyed or span.subject != STORE)
            and span.overlaps(since, until)
            for span in self._spans
        )

    @property
    def last_end(self) -> float:
        """When the last unplanned disturbance ended; now if one lasts."""
        ends = [
            self._clock() if span.end is None else span.end
            for span in self._spans
            if not span.planned
        ]
        return max(ends, default=-1e9)
