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
import heapq
import itertools
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
# Endpoints of one update, in turn; with more of them, each is updated less often.
MAX_LEARNED_AT_ONCE = 200
MEANS_SECONDS = 2.0  # Between updates of the mean time of a request of each service.
# Endpoints with a lower decayed number of answers are forgotten by a granter: by then
# what is left is the mean of their service.
MIN_ANSWERS = 0.1
# Endpoints in one report of samples, those with the most answers first: 27 bytes each.
# The followers of a granter share a number of them, and the granters of a zone as well,
# so that what a granter receives does not grow with their number.
MAX_SAMPLED_ENDPOINTS = 64
MAX_SAMPLED_BY_ALL = 128
# Figures in one digest, of 19 bytes each: digests are sent every 0.15 s at most.
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
        """Return the samples, and forget them."""
        samples, self._samples = self._samples, {}
        return samples


def to_report(samples: Mapping[str, Samples], senders: int) -> dict[str, Samples]:
    """Return the samples for a report; so many instances report to the receivers."""
    limit = max(1, min(MAX_SAMPLED_ENDPOINTS, MAX_SAMPLED_BY_ALL // max(1, senders)))
    names = heapq.nlargest(
        limit, samples, key=lambda name: sum(band.count for band in samples[name])
    )
    return {name: samples[name] for name in names}


@dataclasses.dataclass(slots=True)
class _Learned:
    """What a granter knows of one process of an endpoint."""

    at: float  # Time that the sums are decayed to.
    sums: DecayedSums = DecayedSums()
    room: EndpointRoom | None = None
    learned_at: float | None = None  # Time of the figure.

    def add(self, samples: Samples, now: float) -> None:
        """Add samples of now."""
        self.sums, self.at = self.sums.after(now - self.at).plus(samples), now


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
        self._to_learn: dict[str, None] = {}  # Those of `_learned`, in turn.
        self._untold: dict[str, None] = {}  # Endpoints to compare with `_told`.
        self._means: dict[str, float] = {}  # Time of a request, by service.
        self._means_at = -1e9
        self.rooms: dict[str, EndpointRoom] = {}
        self.changed: set[str] = set()  # Endpoints whose figure the user has not seen.

    def count(self, endpoint: Endpoint, in_flight: int, seconds: float) -> None:
        """Count an answer of an endpoint."""
        self._own.count(endpoint, in_flight, seconds)

    def take_samples(self, now: float, senders: int = 1) -> dict[str, Samples]:
        """Return the samples for a report to granters; empty if none is due.

        A granter itself learns from all that it has.
        """
        if now - self._reported_at < REPORT_SECONDS:
            return {}
        self._reported_at = now
        samples = self._own.take()
        self._learn_from(samples, now)
        return to_report(samples, senders)

    def add_follower(self, samples: Mapping[str, Samples]) -> None:
        """Use the samples of a follower; they are reported to the other granters."""
        self._own.add(samples)

    def add_granter(self, samples: Mapping[str, Samples], now: float) -> None:
        """Use the samples of another granter of the zone."""
        self._learn_from(samples, now)

    def _learn_from(self, samples: Mapping[str, Samples], now: float) -> None:
        for name, sums in samples.items():
            if not is_valid(sums):
                continue
            if name not in self._learned:
                self._learned[name] = _Learned(now)
                self._to_learn[name] = None
            self._learned[name].add(sums, now)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint; an earlier process says nothing about a later one."""
        self._learned.pop(endpoint, None)
        self._to_learn.pop(endpoint, None)
        self._told.pop(endpoint, None)
        self._heard_at.pop(endpoint, None)
        self.rooms.pop(endpoint, None)
        self.changed.add(endpoint)

    def learn(self, endpoints: Mapping[str, Endpoint], now: float) -> None:
        """Update the figures of a granter."""
        if now - self._learned_at < LEARN_SECONDS:
            return
        self._learned_at = now
        self._heard_at = {}
        if now - self._means_at >= MEANS_SECONDS:
            self._means, self._means_at = self._service_seconds(endpoints), now
        for name in list(itertools.islice(self._to_learn, MAX_LEARNED_AT_ONCE)):
            learned, endpoint = self._learned[name], endpoints.get(name)
            learned.sums, learned.at = learned.sums.after(now - learned.at), now
            if endpoint is None or learned.sums.answers < MIN_ANSWERS:
                self.forget(name)
                continue
            before = now if learned.learned_at is None else learned.learned_at
            learned.room = self.rooms[name] = learn(
                learned.room,
                learned.sums,
                endpoint.slots,
                self._means.get(endpoint.service, INITIAL_SERVICE_SECONDS),
                now - before,
                now,
            )
            learned.learned_at = now
            self.changed.add(name)
            self._untold[name] = None
            del self._to_learn[name]
            self._to_learn[name] = None

    def _service_seconds(self, endpoints: Mapping[str, Endpoint]) -> dict[str, float]:
        """Return the mean time of a request by service, over its endpoints' answers."""
        totals: dict[str, list[float]] = {}
        for name, learned in self._learned.items():
            endpoint, sums = endpoints.get(name), learned.sums
            if endpoint is None:
                continue
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
        names: list[str] = []
        for name in list(self._untold):
            if len(names) == MAX_TOLD_FIGURES - REPEATED_FIGURES:
                break
            del self._untold[name]
            room, told = self.rooms.get(name), self._told.get(name)
            if room is not None and (
                told is None or _ratio(told, room.seconds, room.in_flight) > TOLD_RATIO
            ):
                names.append(name)
        for _ in range(min(REPEATED_FIGURES, len(self.rooms))):
            if not self._turn:
                self._turn.extend(self.rooms)
            name = self._turn.popleft()
            if name in self.rooms and name not in names:
                names.append(name)
        self._told.update({name: self.rooms[name] for name in names})
        return tuple(RoomFigure.from_room(name, self.rooms[name]) for name in names)

    def apply(self, figures: tuple[RoomFigure, ...], now: float) -> None:
        """Use the figures that a granter tells."""
        for figure in figures:
            known = self.rooms.get(figure.endpoint)
            self.rooms[figure.endpoint] = figure.to_room(known, now)
            self._heard_at[figure.endpoint] = now
            self.changed.add(figure.endpoint)

    def expire(self, now: float) -> None:
        """Forget figures that nobody has told for long; called by a follower."""
        if now - self._learned_at < LEARN_SECONDS:
            return
        self._learned_at = now
        self._learned.clear()
        self._to_learn.clear()
        for name in list(self.rooms):
            # Those that this instance learned as a granter count as told now.
            if now - self._heard_at.setdefault(name, now) >= FIGURE_EXPIRY_SECONDS:
                self.forget(name)
