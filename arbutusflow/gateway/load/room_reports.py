"""Exchange of what instances have seen of endpoints, and of what follows from it.

Each instance counts the answers of endpoints. A follower reports the counts to its
granter; a granter adds its own, and reports the sums to the other granters of its zone.
Each granter learns one figure for each endpoint from all of them, and tells its
followers the figures that have changed.

Invariants: messages are bounded, whatever the number of endpoints. A sample is counted
once at each granter. Figures that nobody tells any more are forgotten.
"""

import collections
import dataclasses
from collections.abc import Mapping

import msgspec

from arbutusflow.gateway.load.endpoint_room import (
    INITIAL_SERVICE_SECONDS,
    MAX_IN_FLIGHT,
    MAX_SECONDS,
    MIN_SECONDS,
    NO_SAMPLES,
    BandSum,
    DecayedSums,
    EndpointRoom,
    Samples,
    add_samples,
    band_of,
    is_valid,
    learn,
)
from arbutusflow.gateway.model import Endpoint

REPORT_SECONDS = 1.0  # Between reports of samples.
LEARN_SECONDS = 0.5  # Between updates of the figures.
# Endpoints in one report of samples, those with the most answers first: 27 bytes each.
MAX_SAMPLED_ENDPOINTS = 64
# Figures in one digest, of 16 bytes each: digests are sent every 0.15 s at most.
MAX_TOLD_FIGURES = 12
REPEATED_FIGURES = 2  # Of these, told again in turn: a digest may be lost.
TOLD_RATIO = 1.15  # Smaller changes are not told at once.
# A follower forgets a figure that was not told again for this long.
FIGURE_EXPIRY_SECONDS = 30.0
MAX_SAMPLE_SECONDS = 30.0  # Of one answer, so that one does not decide a figure.


class RoomFigure(msgspec.Struct, array_like=True, frozen=True):
    """What a granter tells of an endpoint."""

    endpoint: str
    milliseconds: int
    tenths: int  # Of requests at once.
    answers: int

    @classmethod
    def from_room(cls, endpoint: str, room: EndpointRoom) -> "RoomFigure":
        """Encode a figure; fractions beyond its precision are lost."""
        return cls(
            endpoint,
            max(1, round(room.seconds * 1000)),
            max(10, round(room.in_flight * 10)),
            round(room.answers),
        )

    def to_room(self, known: EndpointRoom | None, now: float) -> EndpointRoom:
        """Decode the figure."""
        seconds = min(max(self.milliseconds / 1000, MIN_SECONDS), MAX_SECONDS)
        in_flight = min(max(self.tenths / 10, 1.0), MAX_IN_FLIGHT)
        answers = float(max(0, self.answers))
        return EndpointRoom(seconds, in_flight, answers).follow(known, now)


def _ratio(room: EndpointRoom, seconds: float, in_flight: float) -> float:
    """Return by which factor two figures differ, at least 1."""
    ratios = (seconds / room.seconds, in_flight / room.in_flight)
    return max(max(ratio, 1 / ratio) for ratio in ratios)


class SampleCounts:
    """Answers of endpoints that have not been reported yet."""

    def __init__(self) -> None:
        self._samples: dict[str, Samples] = {}

    def count(self, endpoint: Endpoint, in_flight: int, seconds: float) -> None:
        """Count an answer; `in_flight` requests were at the endpoint, this one too."""
        band = band_of(in_flight, endpoint.slots)
        milliseconds = round(1000 * min(seconds, MAX_SAMPLE_SECONDS))
        one = list(NO_SAMPLES)
        one[band] = BandSum(1, milliseconds, in_flight)
        self.add({endpoint.id: (one[0], one[1], one[2])})

    def add(self, samples: Mapping[str, Samples]) -> None:
        """Add the samples of another instance."""
        for name, sums in samples.items():
            if not is_valid(sums):
                continue
            self._samples[name] = add_samples(self._samples.get(name, NO_SAMPLES), sums)

    def take(self) -> dict[str, Samples]:
        """Return the samples to report, and forget all of them."""
        samples, self._samples = self._samples, {}
        if len(samples) <= MAX_SAMPLED_ENDPOINTS:
            return samples
        names = sorted(samples, key=lambda name: -sum(b.count for b in samples[name]))
        return {name: samples[name] for name in names[:MAX_SAMPLED_ENDPOINTS]}


@dataclasses.dataclass(slots=True)
class _Learned:
    """What a granter knows of one process of an endpoint."""

    sums: DecayedSums
    room: EndpointRoom | None = None


class RoomExchange:
    """Figures of all endpoints at one instance.

    A granter learns them from samples; a follower is told them.
    """

    def __init__(self) -> None:
        self._own = SampleCounts()  # To be reported.
        self._reported_at = self._learned_at = -1e9
        self._learned: dict[str, _Learned] = {}
        self._told: dict[str, EndpointRoom] = {}  # As last told to followers.
        self._turn: collections.deque[str] = collections.deque()
        self._heard_at: dict[str, float] = {}  # When a figure was last told.
        self.rooms: dict[str, EndpointRoom] = {}

    def count(self, endpoint: Endpoint, in_flight: int, seconds: float) -> None:
        """Count an answer of an endpoint."""
        self._own.count(endpoint, in_flight, seconds)

    def take_samples(self, now: float) -> dict[str, Samples]:
        """Return the samples for a report; empty if none is due.

        A granter learns from them as well.
        """
        if now - self._reported_at < REPORT_SECONDS:
            return {}
        self._reported_at = now
        samples = self._own.take()
        self._learn_from(samples)
        return samples

    def add_follower(self, samples: Mapping[str, Samples]) -> None:
        """Use the samples of a follower; they are reported to the other granters."""
        self._own.add(samples)

    def add_granter(self, samples: Mapping[str, Samples]) -> None:
        """Use the samples of another granter of the zone."""
        self._learn_from(samples)

    def _learn_from(self, samples: Mapping[str, Samples]) -> None:
        for name, sums in samples.items():
            if not is_valid(sums):
                continue
            learned = self._learned.setdefault(name, _Learned(DecayedSums()))
            learned.sums = learned.sums.plus(sums)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint; an earlier process says nothing about a later one."""
        self._learned.pop(endpoint, None)
        self._told.pop(endpoint, None)
        self._heard_at.pop(endpoint, None)
        self.rooms.pop(endpoint, None)

    def learn(self, endpoints: Mapping[str, Endpoint], now: float) -> None:
        """Update the figures of a granter."""
        elapsed = now - self._learned_at
        if elapsed < LEARN_SECONDS:
            return
        elapsed, self._learned_at = min(elapsed, 10.0), now
        for name in self._learned.keys() - endpoints.keys():
            del self._learned[name]
        means = self._service_seconds(endpoints)
        for name, learned in self._learned.items():
            endpoint = endpoints[name]
            learned.sums = learned.sums.after(elapsed)
            learned.room = learn(
                learned.room,
                learned.sums,
                endpoint.slots,
                means[endpoint.service],
                elapsed,
                now,
            )
        self._heard_at = {}
        self.rooms = {
            name: learned.room
            for name, learned in self._learned.items()
            if learned.room is not None
        }

    def _service_seconds(self, endpoints: Mapping[str, Endpoint]) -> dict[str, float]:
        """Return the mean time of a request by service, over its endpoints' answers."""
        totals: dict[str, list[float]] = {}
        for name, learned in self._learned.items():
            endpoint, sums = endpoints[name], learned.sums
            total = totals.setdefault(endpoint.service, [0.0, 0.0])
            for count, seconds, in_flight in zip(
                sums.counts, sums.seconds, sums.in_flight, strict=True
            ):
                if count:
                    total[0] += seconds / max(1.0, in_flight / count / endpoint.slots)
                    total[1] += count
        return {
            service: seconds / count if count else INITIAL_SERVICE_SECONDS
            for service, (seconds, count) in totals.items()
        }

    def figures_to_tell(self) -> tuple[RoomFigure, ...]:
        """Return the figures for the next digest."""
        changed = [
            name
            for name, room in self.rooms.items()
            if (told := self._told.get(name)) is None
            or _ratio(told, room.seconds, room.in_flight) > TOLD_RATIO
        ]
        names = changed[: MAX_TOLD_FIGURES - REPEATED_FIGURES]
        for _ in range(min(REPEATED_FIGURES, len(self.rooms))):
            if not self._turn:
                self._turn.extend(self.rooms)
            name = self._turn.popleft()
            if name in self.rooms and name not in names:
                names.append(name)
        self._told = {k: v for k, v in self._told.items() if k in self.rooms}
        self._told.update({name: self.rooms[name] for name in names})
        return tuple(RoomFigure.from_room(name, self.rooms[name]) for name in names)

    def apply(self, figures: tuple[RoomFigure, ...], now: float) -> None:
        """Use the figures that a granter tells."""
        for figure in figures:
            known = self.rooms.get(figure.endpoint)
            self.rooms[figure.endpoint] = figure.to_room(known, now)
            self._heard_at[figure.endpoint] = now

    def expire(self, now: float) -> None:
        """Forget figures that nobody has told for long; called by a follower."""
        self._learned.clear()
        for name in list(self.rooms):
            # Those that this instance learned as a granter count as told now.
            if now - self._heard_at.setdefault(name, now) >= FIGURE_EXPIRY_SECONDS:
                self.forget(name)
