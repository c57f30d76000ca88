"""The instances of the fleet and their right to grant keys.

Safety of ownership rests on two rules:

- An instance grants keys only while it has read the fleet's objects from the store
  within `TOUCH_SECONDS`, or every other recorded instance has vouched for it within
  that time.
- Before keys move, each recorded instance has applied the table that says so. The
  planner no longer vouches for an instance that does not report that, so it stops
  to grant after `TOUCH_SECONDS`.
"""

import dataclasses
import functools
from collections.abc import Iterable

import msgspec
import xxhash

from arbutusflow.gateway.key_table import lease_expiry
from arbutusflow.gateway.model import Address, Endpoint
from arbutusflow.gateway.peers import ALIVE_SECONDS, PeerReports, PeerState
from arbutusflow.gateway.store_watch import ObjectCopy

FLEET_KIND = "arbutusflow"
INSTANCE_PREFIX = "instance-"
TABLE_PREFIX = "keys-"
# Bounds how long a cut-off instance goes on to grant, and so how long its silence
# delays a move. Ten reports across zones may be lost before it takes effect.
TOUCH_SECONDS = 3.0
TOUCH_SLACK_SECONDS = 0.3  # For reports under way when sending stopped.
# A gap between two timer ticks that shows that the process stood still; what
# arrived meanwhile says nothing about now.
STALL_SECONDS = 0.5
EXCLUDE_AFTER_SECONDS = 1.0  # Without applying a table that moves keys.
# A silent instance is removed from the records when every lease that it may have
# granted has ended.
FORGET_SECONDS = 9.0
# The endpoints of a zone are renewed by this many instances, so that few instances need
# the right to grant, which costs calls to the store whenever somebody is silent.
GRANTER_GROUPS = 2
MAX_STANDBY_RANK = 1  # Instances up to this rank keep the right to grant at all times.
# When all instances start, each sees all others and all endpoints register, one by one.
QUIET_START_SECONDS = 2.0
WATCH_DUTY = "watch"  # Ranks the instances of a zone for watching the store.
MAX_CACHED_SCORES = 4096  # Instances times partitioned services, with room to spare.


class InstanceRecord(msgspec.Struct, frozen=True):
    """How an instance is found by the others."""

    name: str
    life: int
    host: str
    port: int
    zone: str


@functools.lru_cache(maxsize=MAX_CACHED_SCORES)
def score(*parts: str) -> int:
    """Return a hash that ranks instances alike everywhere."""
    return _hash(*parts)


def _hash(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


# Zone of endpoints and a number below `GRANTER_GROUPS`.
GranterGroup = tuple[str, int]


def granter_group(endpoint: Endpoint) -> GranterGroup:
    """Return the group of endpoints whose leases the same instance renews."""
    return endpoint.zone, _hash(endpoint.id) % GRANTER_GROUPS


def _granter_key(record: InstanceRecord, group: GranterGroup) -> tuple[bool, int]:
    zone, number = group
    return record.zone != zone, _hash(record.name, zone, str(number))


@dataclasses.dataclass(slots=True)
class _Exclusion:
    """An instance that is not vouched for."""

    life: int
    since: float
    # Revisions of tables that keys moved by, because this instance had stopped to
    # grant, by service. It is not vouched for before it goes by them.
    relied: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Departed:
    """A life of an instance that is recorded no more."""

    at: float  # When its record was seen to be gone.
    peer: PeerState | None  # What it last reported.

    def last_grant(self, endpoint: str) -> float:
        """Return when it may have granted keys to an endpoint last."""
        # An instance stops to grant longer before it removes its record than a report
        # may be old, so that report names its last grant.
        if self.peer is None or self.at - self.peer.heard >= ALIVE_SECONDS:
            return self.at
        return self.peer.last_grant_times(endpoint)[0]


class Fleet:
    """Recorded instances, who was heard of, and who is not vouched for."""

    def __init__(
        self,
        own_record: InstanceRecord,
        copy: ObjectCopy,
        peers: PeerReports,
        now: float,
    ) -> None:
        self.own_record = own_record
        self._copy = copy
        self._peers = peers
        self._started = now
        # When an earlier life of this instance may have sent its last grant. A
        # process that ends as planned removes its record when it has stopped to.
        self.previous_incarnation_until = now
        self._first_seen: dict[tuple[str, int], float] = {}
        self._excluded: dict[str, _Exclusion] = {}
        self._touch_reset = -1e9
        # Revision that others apply and this instance does not, and since when, by
        # service.
        self._missing: dict[str, tuple[int, float]] = {}
        self._departed: list[_Departed] = []
        self._watching_since: float | None = None
        self.records: dict[str, InstanceRecord] = {}
        # Instances that renew a group's leases before this one does; computed when it
        # is needed.
        self._ahead: dict[GranterGroup, list[InstanceRecord]] = {}
        self._alive_at = -1e9
        self._alive: list[InstanceRecord] = []
        self.applied: dict[str, int] = {}  # Revisions of the tables in force here.

    def update(self, now: float) -> None:
        """Take over the records that the store holds."""
        records: dict[str, InstanceRecord] = {}
        for name, item in self._copy.objects.items():
            if not name.startswith(INSTANCE_PREFIX):
                continue
            try:
                record = msgspec.convert(item.spec, InstanceRecord)
            except msgspec.ValidationError:
                continue  # Only this project writes this kind; a later version may.
            records[record.name] = record
            self._first_seen.setdefault((record.name, record.life), now)
        if records != self.records:
            self._note_departures(records, now)
            self.records = records
            self._ahead.clear()
            self._alive_at = -1e9
        for name, exclusion in list(self._excluded.items()):
            if name not in records or records[name].life != exclusion.life:
                del self._excluded[name]

    def _note_departures(self, records: dict[str, InstanceRecord], now: float) -> None:
        if self._watching_since is None:
            self._watching_since = now
        for name, record in self.records.items():
            current = records.get(name)
            if current is not None and current.life == record.life:
                continue
            peer = self._peers.peers.get(name)
            if peer is not None and peer.report.life != record.life:
                peer = None
            self._departed.append(_Departed(now, peer))

    def latest_grant_of_removed(self, endpoint: str, now: float) -> float:
        """Return when an instance that is recorded no more may have granted last.

        A planned end removes the record while the leases that it renewed still last.
        """
        self._departed = [d for d in self._departed if now < lease_expiry(d.at)]
        # What left before this instance followed the records is not known.
        latest = self._watching_since if self._watching_since else self._started
        for departed in self._departed:
            latest = max(latest, departed.last_grant(endpoint))
        return latest

    @property
    def registered(self) -> bool:
        """Whether the record of this life is in the store."""
        record = self.records.get(self.own_record.name)
        return record is not None and record.life == self.own_record.life

    def others(self) -> Iterable[InstanceRecord]:
        """Return the records of all other instances."""
        return (r for r in self.records.values() if r.name != self.own_record.name)

    @property
    def zone_size(self) -> int:
        """Number of recorded instances in the own zone."""
        return sum(r.zone == self.own_record.zone for r in self.records.values())

    def last_report_at(self, record: InstanceRecord) -> float | None:
        """Return when this life of an instance was last heard of."""
        peer = self._peers.peers.get(record.name)
        if peer is None or peer.report.life != record.life:
            return None
        return peer.heard

    def targets(self, *, vouched: bool, zone: str | None = None) -> list[Address]:
        """Return the addresses of the others, of one zone or of all.

        `vouched` selects those that this instance vouches for, or the excluded ones.
        """
        return [
            Address(record.host, record.port)
            for record in self.others()
            if (record.name not in self._excluded) == vouched
            and zone in (None, record.zone)
        ]

    def alive(self, now: float) -> list[InstanceRecord]:
        """Return this instance and those that were heard of recently."""
        if now != self._alive_at:
            self._alive_at = now
            self._alive = [
                self.own_record,
                *(record for record in self.others() if self._is_alive(record, now)),
            ]
        return self._alive

    def _is_alive(self, record: InstanceRecord, now: float) -> bool:
        heard = self.last_report_at(record)
        return heard is not None and now - heard < ALIVE_SECONDS

    def has_store_contact(self, now: float) -> bool:
        """Return whether the store was read recently enough to write a plan."""
        return self._copy.lost_at is None and self._copy.known

    def store_available_seconds(self, now: float) -> float:
        """Return for how long the store has answered any instance that is heard of.

        A single instance that was cut off thereby learns that the store was not
        away: entries that it finds missing are gone.
        """
        longest = self._copy.connected_seconds(now)
        for peer in self._peers.alive(now):
            if peer.report.touch_age >= 0:
                longest = max(longest, peer.report.touch_age + now - peer.heard)
        return longest

    # The right to grant.

    def reset_contact(self, now: float) -> None:
        """Forget all contact: the process stood still."""
        self._touch_reset = now
        self._copy.current_at = -1e9

    def may_grant(self, now: float) -> bool:
        """Return whether this instance may grant keys by its copy of the tables."""
        if not self.registered:
            return False
        if now - self._copy.current_at < TOUCH_SECONDS:
            return True
        return self.is_vouched_for(now)

    def is_vouched_for(self, now: float) -> bool:
        """Return whether every other recorded instance vouched for this one lately.

        Not so if one of them has applied a later revision for some time: an
        instance that joined since then may count on this one to be silent.
        """
        for record in self.others():
            if self.last_report_at(record) is None:
                return False
            vouched = self._peers.peers[record.name].vouched
            if vouched < self._touch_reset or now - vouched >= TOUCH_SECONDS:
                return False
        return not self._is_behind(now)

    def _is_behind(self, now: float) -> bool:
        """Return whether a revision that others apply is missing here for too long.

        Later ones may follow all the time; each counts from when it was heard of.
        """
        for peer in self._peers.alive(now):
            for service, revision in peer.report.tables.items():
                if revision > self.applied.get(service, 0):
                    self._missing.setdefault(service, (revision, now))
        behind = False
        for service, (revision, since) in list(self._missing.items()):
            if self.applied.get(service, 0) >= revision:
                del self._missing[service]
            elif now - since >= EXCLUDE_AFTER_SECONDS:
                behind = True
        return behind

    # Agreement on a revision.

    def has_applied(self, record: InstanceRecord, service: str, revision: int) -> bool:
        """Return whether an instance goes by a table of at least the revision."""
        if self.last_report_at(record) is None:
            return False
        report = self._peers.peers[record.name].report
        return report.tables.get(service, 0) >= revision

    def grants_stopped_at(
        self,
        record: InstanceRecord,
        service: str,
        revision: int,
        since: float,
        now: float,
    ) -> float | None:
        """Return when an instance had stopped to act on tables before `revision`.

        None if it may still do so. `since` is when this instance first saw the
        revision. An instance that does not apply it in time is not vouched for.
        """
        if self.has_applied(record, service, revision):
            return since
        if record.name not in self._excluded and now - since >= EXCLUDE_AFTER_SECONDS:
            self._excluded[record.name] = _Exclusion(record.life, now)
        silent_at = self._grant_right_lost_at(record, now)
        if silent_at is not None:
            relied = self._excluded[record.name].relied
            relied[service] = max(revision, relied.get(service, 0))
        return silent_at

    def _grant_right_lost_at(self, record: InstanceRecord, now: float) -> float | None:
        """Return when an excluded instance had lost the right to grant."""
        exclusion = self._excluded.get(record.name)
        if exclusion is None:
            return None
        silent_at = exclusion.since + TOUCH_SECONDS + TOUCH_SLACK_SECONDS
        return silent_at if now >= silent_at else None

    def latest_possible_grant(self, record: InstanceRecord, now: float) -> float:
        """Return when an instance that reports nothing may have granted last."""
        silent_at = self._grant_right_lost_at(record, now)
        return now if silent_at is None else silent_at

    def can_move_without_wait(self, now: float) -> bool:
        """Return whether keys could move without waiting for a lease to end.

        Not so while a lease of an instance that went silent, or that started
        without a planned end before, may last.
        """
        if now < lease_expiry(self.previous_incarnation_until):
            return False
        for record in self.others():
            heard = self.last_report_at(record)
            if heard is None or now - heard >= ALIVE_SECONDS:
                possible = self.latest_possible_grant(record, now)
            else:
                age = self._peers.peers[record.name].report.earlier_life_age
                possible = heard - age
            if now < lease_expiry(possible):
                return False
        return True

    def exclude_silent(self, now: float) -> None:
        """No longer vouch for instances that are not heard of."""
        for record in self.others():
            seen = self._first_seen.get((record.name, record.life), now)
            last = max(self.last_report_at(record) or -1e9, seen, self._started)
            if now - last >= ALIVE_SECONDS and record.name not in self._excluded:
                self._excluded[record.name] = _Exclusion(record.life, now)
            elif now - last < ALIVE_SECONDS / 2 and record.name in self._excluded:
                self._readmit(record)

    def _readmit(self, record: InstanceRecord) -> None:
        # Not the latest revision: tables may change more often than reports arrive.
        if all(
            self.has_applied(record, service, revision)
            for service, revision in self._excluded[record.name].relied.items()
        ):
            del self._excluded[record.name]

    def expired_records(self, now: float) -> list[InstanceRecord]:
        """Return the instances whose records are to be removed."""
        result = []
        for record in self.others():
            exclusion = self._excluded.get(record.name)
            heard = self.last_report_at(record)
            if exclusion is None or now - exclusion.since < FORGET_SECONDS:
                continue
            if heard is None or now - heard >= FORGET_SECONDS:
                result.append(record)
        return result

    # Duties.

    def rank_for(self, endpoint: Endpoint, now: float) -> int:
        """Return the place of this instance in the order of granters."""
        return self.rank_in(granter_group(endpoint), now)

    def rank_in(self, group: GranterGroup, now: float) -> int:
        """Return the place of this instance in the order of a group's granters."""
        ahead = self._ahead.get(group)
        if ahead is None:
            own_key = _granter_key(self.own_record, group)
            ahead = self._ahead[group] = [
                record
                for record in self.others()
                if _granter_key(record, group) < own_key
            ]
        return sum(self._is_alive(record, now) for record in ahead)

    def planner(self, service: str, now: float) -> InstanceRecord:
        """Return the instance that plans the keys of a service."""
        return min(self._in_contact(now), key=lambda r: score(r.name, service))

    def is_zone_watcher(self, now: float) -> bool:
        """Return whether this instance is the one of its zone to watch closely.

        The others learn from its reports that they are behind. Nobody watches closely
        who has just started: others are recorded and not heard of yet.
        """
        if now - self._started < QUIET_START_SECONDS and len(self.records) > 1:
            return False
        zone = [r for r in self._in_contact(now) if r.zone == self.own_record.zone]
        return min(zone, key=lambda r: score(r.name, WATCH_DUTY)) is self.own_record

    def _in_contact(self, now: float) -> list[InstanceRecord]:
        """Return this instance and the alive ones that reach the store."""
        result = [self.own_record]
        for record in self.alive(now)[1:]:
            peer = self._peers.peers.get(record.name)
            if peer is not None and peer.report.touch_age >= 0:
                result.append(record)
        return result

    def is_planner(self, service: str, now: float) -> bool:
        """Return whether this instance is the one to plan a service's keys."""
        return self.planner(service, now) is self.own_record
