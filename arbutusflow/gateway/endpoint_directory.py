"""Endpoints listed in the store, retained across outages of the store.

Invariants: an entry that disappears while the store is unreachable, or shortly after,
is retained until running endpoints have had time to register again. An entry of an
earlier process of an endpoint, or of before it began to drain, does not replace what is
known of it: the store may execute a write seconds late. The same holds for an entry of
a process that has left, when the store comes back from an older copy.
"""

import dataclasses
from collections.abc import Callable

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Endpoint, EndpointProcess, StorePoint
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.documents import decode_endpoint, entry_number
from arbutusflow.platform.store import StoredObject

# Running endpoints that can reach the store register again within about 2 s.
REREGISTRATION_SECONDS = 2.5
# A running endpoint overwrites an outdated entry with its next heartbeat, and an entry
# without three heartbeats is removed. One that stays longer belongs to a process whose
# host has an earlier time of day.
OUTDATED_ENTRY_SECONDS = 3.0
MAX_REMEMBERED_PROCESSES = 4096  # Bounds the memory for endpoints that have left.


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    """A process whose entry was removed."""

    era: int  # Of the store, when the removal was read.
    started_ms: int
    number: int | None  # Of its latest entry that was read; see `entry_number`.


class EndpointDirectory:
    """Decodes the entries of endpoints; `endpoints` holds listed and retained ones."""

    def __init__(
        self,
        copy: ObjectCopy,
        store_available_seconds: Callable[[float], float],
        log: EventLog,
    ) -> None:
        self._copy = copy
        # Returns the longest time for which the store has answered any live instance.
        self._store_available_seconds = store_available_seconds
        self._log = log
        self._retained: dict[str, Endpoint] = {}
        self._unreadable_revisions: dict[str, StorePoint] = {}
        # Decoded entries: one change must not cost the decoding of thousands.
        self._decoded: dict[str, tuple[StoredObject, Endpoint]] = {}
        # The latest known process of each identifier, also after it has left.
        self._latest: dict[str, Endpoint] = {}
        # Since when an entry shows an earlier process than the latest known one.
        self._outdated_since: dict[str, float] = {}
        self._numbers: dict[str, int | None] = {}  # Of the latest entries.
        # Processes that have left, by identifier; latest last.
        self._departed: dict[str, _Departure] = {}
        self._era = copy.revision.era
        self.endpoints: dict[str, Endpoint] = {}

    def update(self, now: float) -> None:
        """Apply the entries in this instance's copy of the store."""
        # Entries that the store has lost are written again, as after an outage.
        lost_entries = self._copy.revision.era != self._era
        self._era = self._copy.revision.era
        listed = self._list(now)
        for name, endpoint in self.endpoints.items():
            if name not in listed and (
                lost_entries or self._awaiting_reregistration(now)
            ):
                self._retained.setdefault(name, endpoint)
        for name in listed:
            self._retained.pop(name, None)
        self._set_listed(listed)

    def mark_leaving(self, process: EndpointProcess) -> bool:
        """Treat a process as draining because it said so itself.

        Returns whether this is news. Holds until another process takes its place, also
        if its entry was removed and is listed again.
        """
        name, started_ms = process
        known = self.endpoints.get(name) or self._latest.get(name)
        if known is None or known.draining or known.started_ms != started_ms:
            return False
        leaving = dataclasses.replace(known, draining=True)
        self._remember(leaving)
        if name in self._retained:
            self._retained[name] = leaving
        if name in self.endpoints:
            self._set_listed({**self.endpoints, name: leaving})
        return True

    def expire(self, now: float) -> bool:
        """Drop retained entries that were not registered again in time.

        Also accepts entries that have shown an earlier process for too long to be
        outdated. Returns whether any endpoint changed.
        """
        in_era_seconds = now - self._copy.era_entered_at
        drops = (
            bool(self._retained)
            and not self._awaiting_reregistration(now)
            and in_era_seconds >= REREGISTRATION_SECONDS
        )
        accepts = any(
            now - since >= OUTDATED_ENTRY_SECONDS
            for since in self._outdated_since.values()
        )
        if in_era_seconds >= OUTDATED_ENTRY_SECONDS:
            accepts = accepts or self._has_restored_entries()
        if not drops and not accepts:
            return False
        if drops:
            self._retained.clear()
        self._set_listed(self._list(now))
        return True

    def _awaiting_reregistration(self, now: float) -> bool:
        if self._copy.unreachable_since is not None:
            return True
        return self._store_available_seconds(now) < REREGISTRATION_SECONDS

    def _set_listed(self, listed: dict[str, Endpoint]) -> None:
        current = {**self._retained, **listed}
        for name in self.endpoints.keys() - current.keys():
            self._note_departure(self.endpoints[name])
            self._log.write(
                "endpoint_gone", endpoint=name, revision=self._copy.revision.number
            )
        for name, endpoint in current.items():
            known = self.endpoints.get(name)
            if known is endpoint:
                continue
            # Also logged when the draining state or the start time changes.
            if known is None or (known.draining, known.started_ms) != (
                endpoint.draining,
                endpoint.started_ms,
            ):
                self._log.write(
                    "endpoint_listed",
                    endpoint=name,
                    service=endpoint.service,
                    zone=endpoint.zone,
                    draining=endpoint.draining,
                    revision=self._copy.revision.number,
                )
        self.endpoints = current

    def _list(self, now: float) -> dict[str, Endpoint]:
        """Return the entries in the copy, and what is known for outdated ones."""
        listed = {
            name: entry
            for name, entry in self._decode().items()
            if not self._is_restored(entry, now)
        }
        for name in self._outdated_since.keys() - listed.keys():
            del self._outdated_since[name]
        for name, entry in listed.items():
            known = self._latest.get(name)
            if known is entry:
                continue
            if known is None or not self._is_outdated(entry, known, now):
                self._remember(entry)
            else:
                listed[name] = known
        return listed

    def _note_departure(self, endpoint: Endpoint) -> None:
        self._departed.pop(endpoint.id, None)
        self._departed[endpoint.id] = _Departure(
            self._era, endpoint.started_ms, self._numbers.pop(endpoint.id, None)
        )
        while len(self._departed) > MAX_REMEMBERED_PROCESSES:
            del self._departed[next(iter(self._departed))]

    def _is_restored(self, entry: Endpoint, now: float) -> bool:
        """Return whether an entry is of a process that left in an earlier era.

        A process that is still there writes it again with a higher number. An entry
        that nobody writes is removed by the store after three heartbeats.
        """
        departure = self._departed.get(entry.id)
        if departure is None:
            return False
        number = self._numbers.get(entry.id)
        if (
            departure.era == self._era
            or departure.started_ms != entry.started_ms
            or number is None
            or departure.number is None
            or number > departure.number
            or now - self._copy.era_entered_at >= OUTDATED_ENTRY_SECONDS
        ):
            del self._departed[entry.id]
            return False
        return True

    def _has_restored_entries(self) -> bool:
        return any(
            name in self._decoded and departure.era != self._era
            for name, departure in self._departed.items()
        )

    def _is_outdated(self, entry: Endpoint, known: Endpoint, now: float) -> bool:
        """Return whether an entry is of before `known`, of the same endpoint."""
        if entry.started_ms >= known.started_ms:
            self._outdated_since.pop(entry.id, None)
            # An endpoint that drains does not become ready again. Entries without a
            # start time (0) may be of different processes.
            same = entry.started_ms == known.started_ms > 0
            return same and known.draining and not entry.draining
        since = self._outdated_since.get(entry.id)
        if since is None:
            since = self._outdated_since[entry.id] = now
            self._log.write(
                "endpoint_entry_outdated",
                endpoint=entry.id,
                started_ms=entry.started_ms,
                known_started_ms=known.started_ms,
                revision=self._copy.revision.number,
            )
        if now - since < OUTDATED_ENTRY_SECONDS:
            return True
        del self._outdated_since[entry.id]
        return False

    def _remember(self, endpoint: Endpoint) -> None:
        self._latest.pop(endpoint.id, None)
        self._latest[endpoint.id] = endpoint
        while len(self._latest) > MAX_REMEMBERED_PROCESSES:
            del self._latest[next(iter(self._latest))]

    def _decode(self) -> dict[str, Endpoint]:
        decoded: dict[str, tuple[StoredObject, Endpoint]] = {}
        for name, item in self._copy.objects.items():
            known = self._decoded.get(name)
            if known is not None and known[0] is item:
                decoded[name] = known
                continue
            try:
                decoded[name] = item, decode_endpoint(item.raw)
                self._numbers[name] = entry_number(item.raw)
            except ValueError as exc:
                if self._unreadable_revisions.get(name) != item.revision:
                    self._unreadable_revisions[name] = item.revision
                    self._log.write_rate_limited(
                        "endpoint_unreadable", endpoint=name, detail=str(exc)
                    )
        self._decoded = decoded
        return {name: endpoint for name, (_, endpoint) in decoded.items()}
