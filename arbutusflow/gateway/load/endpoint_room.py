"""How much an endpoint handles well: time of a request, and requests at once.

Endpoints of one service differ in speed, and some slow down before all of their slots
are in use. An instance sees too few answers of one endpoint to learn that alone, so
answers are summed by the number of requests that were at the endpoint, and the sums of
many instances are merged.

Invariants: the figure never exceeds the slots of the endpoint, and never falls below
one request. Few answers change it little: it starts at the mean of its service.
"""

import dataclasses
from collections.abc import Sequence

import msgspec

# Requests at an endpoint by band: up to half of its slots, up to all, and above.
BANDS = 3
# Estimate of the time of a request until answers have been measured.
INITIAL_SERVICE_SECONDS = 0.15
# Sums lose this part of their weight each second, so that a change for some seconds is
# followed while it lasts.
DECAY_PER_SECOND = 0.3
# Answers that the mean of the service counts for, beside those of the endpoint.
PRIOR_ANSWERS = 3.0
# Answers of a band from which its mean is used rather than that of a fuller band.
MIN_BAND_ANSWERS = 3.0
# Answers that take less than this multiple of the time at an endpoint with free slots
# do not show that it slows down: single times vary.
SLOWED_RATIO = 1.25
# Requests at once by which the figure grows within a second. It falls at once: a figure
# that is too high costs callers their time, one that is too low only room.
GROWTH_PER_SECOND = 1.0
MIN_SECONDS = 0.001
MAX_SECONDS = 60.0
MAX_IN_FLIGHT = 10_000.0
MAX_COUNT = 1_000_000  # Answers in one report.
CHANGE_RATIO = 1.5  # Smaller changes are not logged, and not shown as the last change.


class BandSum(msgspec.Struct, array_like=True, frozen=True):
    """Answers to requests that were sent within one band of requests at an endpoint."""

    count: int = 0
    milliseconds: int = 0  # Sum of their times.
    in_flight: int = 0  # Sum of the requests at the endpoint, this one included.


Samples = tuple[BandSum, BandSum, BandSum]
NO_SAMPLES: Samples = (BandSum(), BandSum(), BandSum())


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRoom:
    """What an endpoint handles well."""

    seconds: float  # Time of a request while the endpoint has room.
    in_flight: float  # Requests at once that take no longer than that.
    answers: float = 0.0  # Decayed number of answers that the figure is based on.
    # When it had last changed by over half, and requests per second then.
    changed_at: float = -1e9
    changed_to: float = 0.0

    def __post_init__(self) -> None:
        if not self.changed_to:
            object.__setattr__(self, "changed_to", self.per_second)

    def follow(self, known: "EndpointRoom | None", now: float) -> "EndpointRoom":
        """Return this figure with the time of the last change after a known one."""
        changed_at, changed_to = now, self.per_second
        if known is not None:
            ratio = self.per_second / known.changed_to
            if 1 / CHANGE_RATIO <= ratio <= CHANGE_RATIO:
                changed_at, changed_to = known.changed_at, known.changed_to
        return dataclasses.replace(self, changed_at=changed_at, changed_to=changed_to)

    @property
    def per_second(self) -> float:
        """Requests per second that the endpoint can serve."""
        return self.in_flight / self.seconds


def band_of(in_flight: int, slots: int) -> int:
    """Return the band of a number of requests at an endpoint."""
    if in_flight <= max(1, slots // 2):
        return 0
    return 1 if in_flight <= slots else 2


def is_valid(samples: Samples) -> bool:
    """Return whether samples of another instance may be used.

    Each answer has taken no time or more, and one request or more was there.
    """
    return all(
        0 <= band.count <= MAX_COUNT
        and 0 <= band.milliseconds <= 1000 * MAX_SECONDS * band.count
        and band.count <= band.in_flight <= MAX_IN_FLIGHT * band.count
        for band in samples
    )


def add_samples(first: Samples, second: Samples) -> Samples:
    """Return the sums of two sets of samples."""
    low, middle, high = (
        BandSum(
            a.count + b.count,
            a.milliseconds + b.milliseconds,
            a.in_flight + b.in_flight,
        )
        for a, b in zip(first, second, strict=True)
    )
    return low, middle, high


@dataclasses.dataclass(frozen=True, slots=True)
class DecayedSums:
    """Samples of one endpoint over the latest seconds, older ones with less weight."""

    counts: tuple[float, ...] = (0.0,) * BANDS
    seconds: tuple[float, ...] = (0.0,) * BANDS
    in_flight: tuple[float, ...] = (0.0,) * BANDS

    def after(self, elapsed: float) -> "DecayedSums":
        """Return the sums some seconds later."""
        factor = (1 - DECAY_PER_SECOND) ** max(0.0, elapsed)
        return DecayedSums(
            _scaled(self.counts, factor),
            _scaled(self.seconds, factor),
            _scaled(self.in_flight, factor),
        )

    def plus(self, samples: Samples) -> "DecayedSums":
        """Return the sums with new samples."""
        return DecayedSums(
            _added(self.counts, [band.count for band in samples]),
            _added(self.seconds, [band.milliseconds / 1000 for band in samples]),
            _added(self.in_flight, [band.in_flight for band in samples]),
        )

    @property
    def answers(self) -> float:
        """Weight of all answers."""
        return sum(self.counts)


def _scaled(values: Sequence[float], factor: float) -> tuple[float, ...]:
    return tuple(value * factor for value in values)


def _added(values: Sequence[float], more: Sequence[float]) -> tuple[float, ...]:
    return tuple(a + b for a, b in zip(values, more, strict=True))


def learn(
    known: EndpointRoom | None,
    sums: DecayedSums,
    slots: int,
    service_seconds: float,
    elapsed: float,
    now: float,
) -> EndpointRoom:
    """Return the next figure of an endpoint.

    `service_seconds` is the mean time of its service, `elapsed` the seconds since the
    figure that is `known`.
    """
    seconds = _seconds(sums, slots, service_seconds)
    target = _in_flight(sums, slots, seconds)
    before = float(slots) if known is None else known.in_flight
    in_flight = min(target, before + GROWTH_PER_SECOND * elapsed)
    return EndpointRoom(seconds, in_flight, sums.answers).follow(known, now)


def _seconds(sums: DecayedSums, slots: int, service_seconds: float) -> float:
    """Return the time of a request while the endpoint has room."""
    count, total = PRIOR_ANSWERS, PRIOR_ANSWERS * service_seconds
    for band in range(BANDS):
        if sums.counts[band]:
            # Above the slots, each request waits for those ahead of it.
            mean_in_flight = sums.in_flight[band] / sums.counts[band]
            count += sums.counts[band]
            total += sums.seconds[band] / max(1.0, mean_in_flight / slots)
        if count >= PRIOR_ANSWERS + MIN_BAND_ANSWERS:
            break
    return min(max(total / count, MIN_SECONDS), MAX_SECONDS)


def _in_flight(sums: DecayedSums, slots: int, seconds: float) -> float:
    """Return how many requests at once take no longer than `seconds`.

    By Little's law, an endpoint that is full serves as many requests in a second as are
    there, divided by the time that each takes.
    """
    weight, total = PRIOR_ANSWERS, PRIOR_ANSWERS * slots
    for band in range(1, BANDS):
        count = sums.counts[band]
        if not count:
            continue
        at_once = sums.in_flight[band] / count
        ratio = sums.seconds[band] / count / seconds
        shown = at_once / ratio if ratio > SLOWED_RATIO else float(slots)
        weight += count
        total += count * min(shown, slots)
    return min(max(total / weight, 1.0), float(slots))
