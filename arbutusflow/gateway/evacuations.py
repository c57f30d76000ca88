"""Decides what the evacuation of availability zones means for their endpoints.

An operator writes an object to the store whose name is that of a zone; its content does
not matter. Until the object is removed, endpoints of the zone count as draining, so
that they get no new work and their keys move to other zones.

The endpoints of a service that has no ready endpoint in another zone keep their keys,
because there is no other owner. They are served at first, and rejected later.

Invariants: an evacuated endpoint gets no request later than a fixed time after this
instance learned of the evacuation, or from then on if the object may have been written
long before. An evacuation is in force until the store is known to lack the object, also
while the store does not answer.
"""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Set
from typing import Protocol

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import STALL_SECONDS
from arbutusflow.gateway.instance_state import EvacuatedZone
from arbutusflow.gateway.load.endpoint_load import EndpointState
from arbutusflow.gateway.model import Endpoint, EvacuationTimes, StorePoint

# Share of the bound in which endpoints still serve their keys, from when this instance
# learned of the evacuation. The rest is for the propagation, which takes up to 1.3 s.
SERVE_FRACTION = 0.5
# How long endpoints of a zone that returns count as cold without an entry that was
# written since: longer than two heartbeats of 0.87 s take.
POSSIBLY_COLD_SECONDS = 2.0
MAX_RETRY_AFTER_SECONDS = 1.0
# An instance that does not know the evacuations becomes ready if the store has not
# answered for this long.
STORE_SILENCE_SECONDS = 3.0
# How a copy of the objects was updated if it was known what they were just before.
INCREMENTAL_UPDATES = ("watch", "changes")


class ObjectNames(Protocol):
    """The part of a copy of the store's objects that matters here."""

    revision: StorePoint
    updated_by: str
    unreachable_since: float | None
    reachable_since: float

    @property
    def names(self) -> Set[str]:
        """The names of the objects."""

    @property
    def was_read(self) -> bool:
        """Whether the objects were ever read."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """An evacuation in force, as this instance learned of it."""

    since: float
    serve_until: float  # Requests for keys may be sent to the zone until then.


@dataclasses.dataclass(slots=True)
class _Return:
    """A zone whose evacuation has ended."""

    revision: StorePoint  # Of the store, at which the object was known to be removed.
    until: float  # Endpoints without a later entry count as cold until then.
    awaited: set[str] | None = None  # These endpoints; None if not determined yet.


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationView:
    """The endpoints as the rest of the process sees them."""

    endpoints: dict[str, Endpoint]
    times: EvacuationTimes
    # By endpoint: seconds for which it counts as cold, at least.
    possibly_cold: Mapping[str, float] = dataclasses.field(default_factory=dict)
    # By endpoint: the same as its entry says, which was written after the evacuation.
    said_cold: Mapping[str, float] = dataclasses.field(default_factory=dict)


class Evacuations:
    """The evacuations that one instance knows."""

    def __init__(self, seconds: float | None, log: EventLog) -> None:
        self._seconds = 0.0 if seconds is None else seconds
        self._log = log
        self._logged: set[str] = set()  # Zones whose evacuation was logged.
        self._returns: dict[str, _Return] = {}
        self._last_tick: float | None = None
        self._stalled_at = -1e9
        # Endpoints of evacuated zones as listed, and as draining ones.
        self._drained: dict[str, tuple[Endpoint, Endpoint]] = {}
        self.zones: dict[str, ZoneEvacuation] = {}
        # Services without a ready endpoint outside the evacuated zones, by zone.
        self.services_only_there: dict[str, list[str]] = {}
        self.endpoint_count = 0  # In evacuated zones.

    def tick(self, now: float) -> None:
        """Notice when the process was suspended; called by a timer."""
        self._note_stall(now)
        self._last_tick = now

    def _note_stall(self, now: float) -> None:
        if self._last_tick is not None and now - self._last_tick > STALL_SECONDS:
            self._stalled_at = now

    def learn(self, copy: ObjectNames, now: float) -> None:
        """Learn which objects the store has.

        A rewritten object whose removal was not seen continues its evacuation.
        """
        self._note_stall(now)
        for zone in self.zones.keys() - copy.names:
            since = self.zones.pop(zone).since
            self._returns[zone] = _Return(copy.revision, now + POSSIBLY_COLD_SECONDS)
            if zone in self._logged:
                self._logged.discard(zone)
                seconds = round(now - since, 3)
                self._log.write("evacuation_ended", zone=zone, seconds=seconds)
        serve_seconds = SERVE_FRACTION * self._seconds
        if not self._is_recent(copy, now):
            serve_seconds = 0.0
        for zone in copy.names - self.zones.keys():
            self._returns.pop(zone, None)
            self.zones[zone] = ZoneEvacuation(now, now + serve_seconds)

    def _is_recent(self, copy: ObjectNames, now: float) -> bool:
        """Return whether objects that are new to a copy were written just now.

        Those that are there when the objects are first read, after an outage of the
        store or after a suspension may have been written long before.
        """
        if copy.updated_by not in INCREMENTAL_UPDATES:
            return False
        if copy.unreachable_since is not None:
            return False
        since = max(copy.reachable_since, self._stalled_at)
        return now - since >= SERVE_FRACTION * self._seconds

    def view(
        self,
        endpoints: dict[str, Endpoint],
        known_zones: Collection[str],
        revision_of: Callable[[str], StorePoint | None],
        now: float,
    ) -> EvacuationView:
        """Return the listed endpoints as the rest of the process has to see them.

        `known_zones` are those of instances; `revision_of` returns the revision of the
        entry of an endpoint.
        """
        if not self.zones and not self._returns:
            self._drained, self.services_only_there, self.endpoint_count = {}, {}, 0
            return EvacuationView(endpoints, EvacuationTimes())
        elsewhere = {
            e.service
            for e in endpoints.values()
            if e.zone not in self.zones and not e.draining
        }
        seen: dict[str, Endpoint] = {}
        drained: dict[str, tuple[Endpoint, Endpoint]] = {}
        counts = dict.fromkeys(self.zones, 0)
        only_there: dict[str, set[str]] = {zone: set() for zone in self.zones}
        for name, endpoint in endpoints.items():
            seen[name] = endpoint
            if endpoint.zone not in self.zones:
                continue
            counts[endpoint.zone] += 1
            if endpoint.service not in elsewhere:
                only_there[endpoint.zone].add(endpoint.service)
            elif not endpoint.draining:
                drained[name] = self._drain(endpoint)
                seen[name] = drained[name][1]
        self._drained = drained
        self.services_only_there = {z: sorted(s) for z, s in only_there.items()}
        self.endpoint_count = sum(counts.values())
        self._log_new(counts, {e.zone for e in endpoints.values()} | {*known_zones})
        serve_until = {zone: e.serve_until for zone, e in self.zones.items()}
        times = EvacuationTimes(serve_until, frozenset(drained))
        return EvacuationView(
            seen, times, *self._cold_seconds(endpoints, revision_of, now)
        )

    def may_balance(self, service: str) -> bool:
        """Return whether keys of a service may move to even out the load.

        Those of a service that exists only in evacuated zones stay where they are.
        """
        return not any(service in names for names in self.services_only_there.values())

    def describe(
        self, states: Iterable[EndpointState], owners: Collection[str], now: float
    ) -> tuple[EvacuatedZone, ...]:
        """Return the evacuated zones for operators; `owners` have keys."""
        there: dict[str, list[EndpointState]] = {zone: [] for zone in self.zones}
        for state in states:
            there.get(state.endpoint.zone, []).append(state)
        return tuple(
            EvacuatedZone(
                zone,
                round(now - self.zones[zone].since, 3),
                endpoints=len(found),
                endpoints_with_requests=sum(
                    s.own_in_flight + s.peer_in_flight > 0 for s in found
                ),
                endpoints_with_keys=sum(s.endpoint.id in owners for s in found),
                services_only_there=tuple(self.services_only_there.get(zone, ())),
            )
            for zone, found in sorted(there.items())
        )

    def _drain(self, endpoint: Endpoint) -> tuple[Endpoint, Endpoint]:
        known = self._drained.get(endpoint.id)
        if known is not None and known[0] is endpoint:
            return known
        return endpoint, dataclasses.replace(endpoint, draining=True)

    def _log_new(self, counts: Mapping[str, int], known_zones: set[str]) -> None:
        for zone in sorted(self.zones.keys() - self._logged):
            self._logged.add(zone)
            self._log.write(
                "evacuation_began",
                zone=zone,
                endpoints=counts[zone],
                services_only_there=self.services_only_there[zone],
                serve_seconds=round(
                    self.zones[zone].serve_until - self.zones[zone].since, 3
                ),
            )
            if zone not in known_zones:
                self._log.write("evacuation_unknown_zone", zone=zone)

    def _cold_seconds(
        self,
        endpoints: Mapping[str, Endpoint],
        revision_of: Callable[[str], StorePoint | None],
        now: float,
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return what is new of the cold time of endpoints in zones that return."""
        possibly_cold: dict[str, float] = {}
        said_cold: dict[str, float] = {}
        for zone, returned in list(self._returns.items()):
            if now >= returned.until:
                del self._returns[zone]
                continue
            names = returned.awaited
            if names is None:
                names = {n for n, e in endpoints.items() if e.zone == zone}
            told = {
                n
                for n in names
                if (revision_of(n) or returned.revision) > returned.revision
            }
            if returned.awaited is None:
                left = returned.until - now
                possibly_cold.update(dict.fromkeys(names - told, left))
            else:
                said_cold.update(
                    {n: endpoints[n].cold_seconds for n in told if n in endpoints}
                )
            returned.awaited = names - told
        return possibly_cold, said_cold


def are_known(copy: ObjectNames | None, running_seconds: float) -> bool:
    """Return whether an instance knows the evacuations as far as it can.

    `copy` is None if the settings enable none. `running_seconds` is the time since the
    start of the process.
    """
    if copy is None or copy.was_read:
        return True
    return (
        copy.unreachable_since is not None and running_seconds >= STORE_SILENCE_SECONDS
    )


def retry_after(remaining: float) -> float:
    """Return when a caller may retry that has `remaining` seconds left."""
    return min(MAX_RETRY_AFTER_SECONDS, max(remaining, 0.0) / 3)
