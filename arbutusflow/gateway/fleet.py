"""The instances of the fleet and their right to grant keys.

An instance vouches for another one by sending it reports with the `vouches` flag. The
safety of ownership rests on two rules:

- An instance grants keys only if, within the last `CONTACT_TIMEOUT_SECONDS`, its copy
  of the fleet's objects was current or every other recorded instance vouched for it.
- Keys move only after every recorded instance has applied the table that marks them as
  leaving, or has lost the right to grant. The planner stops vouching for an instance
  that does not report the table, which then loses that right after
  `CONTACT_TIMEOUT_SECONDS`. An instance that nobody hears may read the store until it
  has the table, so this counts from the table, or from when its record said that
  reading the store gives it no right (`StoreRight`).

Both hold within an era of the store. Evidence of an era counts only for tables of that
era. When an instance learns of a later era, the end of its right by earlier tables is
fixed; see `docs/decisions/store-eras.md`.
"""

import dataclasses
import enum
import functools
import itertools
import re
from collections.abc import Iterable

import msgspec
import xxhash

from arbutusflow.gateway.key_orders import GRANT_TIMEOUT_SECONDS
from arbutusflow.gateway.key_table import lease_expiry
from arbutusflow.gateway.model import BEFORE_ALL, Address, Endpoint, StorePoint
from arbutusflow.gateway.peers import ALIVE_SECONDS, PeerReports, PeerState
from arbutusflow.gateway.store_watch import ObjectCopy

FLEET_KIND = "arbutusflow"
INSTANCE_PREFIX = "instance-"
TABLE_PREFIX = "keys-"
# Of tables of later eras, followed by the era and the service: no late write of an
# earlier era reaches them, and no restored table is taken for one of this era.
ERA_TABLE_PREFIX = "keys."
_ERA_TABLE_NAME = re.compile(
    re.escape(ERA_TABLE_PREFIX) + r"(?P<era>[1-9][0-9]{0,6})-(?P<service>.*)", re.DOTALL
)
# Bounds how long an isolated instance continues to grant keys, and so how long it
# delays a move. Ten consecutive reports across zones may be lost without effect.
CONTACT_TIMEOUT_SECONDS = 3.0
CONTACT_SLACK_SECONDS = 0.3  # For reports in transit when vouching stopped.
# A gap between two timer ticks that shows that the process was suspended. Messages
# that arrived meanwhile do not prove current contact.
STALL_SECONDS = 0.5
EXCLUDE_AFTER_SECONDS = 1.0  # Without applying a table that moves keys.
# The record of an unresponsive instance is removed after every lease that it may have
# granted has expired. It is not revoked a second time sooner than that either.
RECORD_EXPIRY_SECONDS = 9.0
# The leases of a zone's endpoints are divided among this many instances. Few instances
# then need the right to grant, which costs calls to the store while any is
# unresponsive.
GRANTER_GROUPS = 2
MAX_STANDBY_RANK = 1  # Instances up to this rank always maintain the right to grant.
# Within which an instance that reads the store confirms its right; a slow store takes
# about 0.3 s for each of the call and the answer of the watch.
CONFIRM_SECONDS = 1.0
# When the fleet starts, the store changes with every instance and endpoint that
# registers, and a close watch would return each change separately.
STARTUP_GRACE_SECONDS = 2.0
WATCHER_ROLE = "watch"  # Hash input that ranks instances as watchers.
# Instances that see all changes of the store at once; in two zones, if possible, so
# that the loss of one delays no change.
READER_COUNT = 2
ERA_MEMORY_SECONDS = 12.0  # No grant by a table of an earlier era lasts so long.
MAX_CACHED_HASHES = 4096  # More than instances times partitioned services.
MAX_CACHED_GROUPS = 16_384  # More than endpoints of partitioned services.


class StoreRight(enum.StrEnum):
    """Whether an instance may grant keys because it reads the store.

    Another instance revokes this when it no longer hears from the instance. One that
    has ended does not answer. One that reads the store confirms that it does.
    """

    UNSTATED = ""  # By an earlier version, which holds the right and is not asked.
    HELD = "held"
    REVOKED = "revoked"
    CONFIRMED = "confirmed"  # Held again, although others may not hear from it.


class InstanceRecord(msgspec.Struct, frozen=True):
    """Registration of an instance in the store, by which others find it."""

    name: str
    life: int  # Random number that identifies the process (its incarnation).
    host: str
    port: int
    zone: str
    store_right: StoreRight = StoreRight.UNSTATED

    def with_right(self, right: StoreRight) -> "InstanceRecord":
        """Return the record with another right."""
        return msgspec.structs.replace(self, store_right=right)


def table_name(service: str, era: int) -> str:
    """Return the name under which the table of a service is stored in an era."""
    return f"{ERA_TABLE_PREFIX}{era}-{service}" if era else TABLE_PREFIX + service


def parse_table_name(name: str) -> tuple[str, int] | None:
    """Return the service and the era of a stored table; None for other objects."""
    if name.startswith(TABLE_PREFIX):
        return name.removeprefix(TABLE_PREFIX), 0
    match = _ERA_TABLE_NAME.fullmatch(name)
    return (match["service"], int(match["era"])) if match else None


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def rank_hash(*parts: str) -> int:
    """Return a hash that ranks instances the same way on every instance."""
    return _hash(*parts)


def _hash(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


# Zone of the endpoints, and a number below `GRANTER_GROUPS`.
GranterGroup = tuple[str, int]


def granter_group(endpoint: Endpoint) -> GranterGroup:
    """Return the group of an endpoint; one instance renews the leases of a group."""
    return endpoint.zone, _group_number(endpoint.id)


@functools.lru_cache(maxsize=MAX_CACHED_GROUPS)
def _group_number(endpoint_id: str) -> int:
    return _hash(endpoint_id) % GRANTER_GROUPS


def _granter_sort_key(record: InstanceRecord, group: GranterGroup) -> tuple[bool, int]:
    zone, number = group
    return record.zone != zone, _hash(record.name, zone, str(number))


@dataclasses.dataclass(slots=True)
class _Exclusion:
    """An instance that this instance does not vouch for."""

    life: int
    since: float
    # By service: revision of the table that keys moved by on the assumption that the
    # instance had lost the right to grant. It must apply it before it is readmitted.
    required_revisions: dict[str, StorePoint] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _RemovedIncarnation:
    """An incarnation of an instance that no longer has a record."""

    removed_at: float  # When this instance saw that the record was gone.
    peer: PeerState | None  # Its last report, if known.

    def latest_grant(self, endpoint: str) -> float:
        """Return the latest time at which it may have granted keys to an endpoint."""
        # An instance stops granting before it removes its record, by more than the
        # maximum age of a report. A recent report therefore includes its last grant.
        if (
            self.peer is None
            or self.removed_at - self.peer.arrived_after >= ALIVE_SECONDS
        ):
            return self.removed_at
        return self.peer.last_grant_times(endpoint)[0]


def first_age(era_ages: dict[int, float], era: int) -> float:
    """Return the age of the first known era from `era` on; negative if not known.

    It is also negative if no era before it was known: nothing was granted by one then.
    """
    later = [known for known in era_ages if known >= era]
    return era_ages[min(later)] if later else -1.0


class EraHistory:
    """When an instance learned of each era of the store, as long as this matters."""

    def __init__(self) -> None:
        self._learned_at: dict[int, float] = {}
        # The first known era, unless the instance knows the fleet since era 0.
        self._first: int | None = None
        self.knew_earlier = False  # Than the current era.
        self.known_since = -1e9  # When the first known era was learned of.

    def note(self, era: int, now: float, *, knew_earlier: bool) -> None:
        """Note that the instance learned of an era."""
        if not knew_earlier:
            self._learned_at.clear()
            self._first, self.known_since = era, now
        self.knew_earlier = knew_earlier
        self._learned_at[era] = now
        eras = list(self._learned_at)
        for known, following in itertools.pairwise(eras):
            if now - self._learned_at[following] >= ERA_MEMORY_SECONDS:
                del self._learned_at[known]

    def ages(self, now: float) -> dict[int, float]:
        """Return the ages for `PeerReport.era_ages`."""
        return {
            era: -1.0 if era == self._first else round(now - at, 3)
            for era, at in self._learned_at.items()
        }


class Fleet:
    """Recorded instances, their liveness, and which of them are not vouched for."""

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
        # Latest time at which a previous incarnation of this instance may have granted
        # keys. A process that shuts down gracefully stops granting and then removes its
        # record.
        self.previous_incarnation_until = now
        self._first_seen: dict[tuple[str, int], float] = {}
        self._excluded: dict[str, _Exclusion] = {}
        # By instance: revision of its record, and when that was first seen.
        self._record_seen: dict[str, tuple[StorePoint, float]] = {}
        self._contact_reset_at = -1e9
        # By service: a revision that others have applied and this instance has not, and
        # when it was first reported.
        self._missing_revisions: dict[str, tuple[StorePoint, float]] = {}
        self._removed: list[_RemovedIncarnation] = []
        self._records_known_since: float | None = None
        self.records: dict[str, InstanceRecord] = {}
        # Instances that rank before this one as granters of a group; computed lazily.
        self._granters_ahead: dict[GranterGroup, list[InstanceRecord]] = {}
        # Ranks at `_ranks_at`, because one tick asks for the rank for many endpoints.
        self._ranks_at = -1e9
        self._ranks: dict[GranterGroup, int] = {}
        self._alive_at = -1e9
        self._alive: list[InstanceRecord] = []
        # Revisions of the tables in force.
        self.applied: dict[str, StorePoint] = {}
        self.era = copy.era.current
        self.era_since = now  # When this instance learned of the era.
        self.eras = EraHistory()
        # See `PeerReport.right_since`.
        self.right_since = self.era
        # By era: until when it may grant by tables of that earlier era.
        self._earlier_right_until: dict[int, float] = {}

    def update(self, now: float) -> None:
        """Update the records from this instance's copy of the store."""
        records: dict[str, InstanceRecord] = {}
        for name, item in self._copy.objects.items():
            if not name.startswith(INSTANCE_PREFIX):
                continue
            try:
                record = msgspec.convert(item.spec, InstanceRecord)
            except msgspec.ValidationError:
                continue  # Written by a later version of this program.
            if name != INSTANCE_PREFIX + record.name:
                continue  # No instance writes its record under another name.
            records[record.name] = record
            if self._record_seen.get(record.name, (None,))[0] != item.revision:
                self._record_seen[record.name] = item.revision, now
            self._first_seen.setdefault((record.name, record.life), now)
        if records != self.records:
            self._track_removed(records, now)
            self.records = records
            for name in self._record_seen.keys() - records.keys():
                del self._record_seen[name]
            self._granters_ahead.clear()
            self._ranks_at = self._alive_at = -1e9
        for name, exclusion in list(self._excluded.items()):
            if name not in records or records[name].life != exclusion.life:
                del self._excluded[name]

    def _track_removed(self, records: dict[str, InstanceRecord], now: float) -> None:
        if self._records_known_since is None:
            self._records_known_since = now
        for name, record in self.records.items():
            current = records.get(name)
            if current is not None and current.life == record.life:
                continue
            peer = self._peers.peers.get(name)
            if peer is not None and peer.report.life != record.life:
                peer = None
            self._removed.append(_RemovedIncarnation(now, peer))

    def latest_grant_of_removed(self, endpoint: str, now: float) -> float:
        """Return when an instance without a record may last have granted keys.

        An instance that shuts down gracefully removes its record while the leases that
        it renewed are still valid.
        """
        self._removed = [d for d in self._removed if now < lease_expiry(d.removed_at)]
        # Records removed before this instance first read them are unknown.
        latest = (
            self._records_known_since if self._records_known_since else self._started
        )
        for removed in self._removed:
            latest = max(latest, removed.latest_grant(endpoint))
        return max(latest, self.earlier_grants_until(now))

    @property
    def registered(self) -> bool:
        """Whether the record of this incarnation is in the store."""
        record = self.records.get(self.own_record.name)
        return record is not None and record.life == self.own_record.life

    @property
    def _store_right_since(self) -> StorePoint | None:
        """Since when reading the store gives the right to grant; None if it doesn't.

        What was read before may lack tables by which others moved keys meanwhile.
        """
        item = self._copy.objects.get(INSTANCE_PREFIX + self.own_record.name)
        if item is None or not self.registered:
            return None
        if self.records[self.own_record.name].store_right is StoreRight.REVOKED:
            return None
        return item.revision

    def _read_at(self) -> float:
        """Return when the store was last read in a way that gives the right to grant.

        Very early if never.
        """
        since = self._store_right_since
        if since is None or self._copy.current_revision < since:
            return -1e9
        return self._copy.current_at

    def due_right(self, now: float) -> StoreRight | None:
        """Return what this instance's record should say of its right; None if it does.

        The record says that others may not hear from it until all have.
        """
        if not self.registered:
            return None
        match self.records[self.own_record.name].store_right:
            case StoreRight.REVOKED:
                return StoreRight.CONFIRMED
            case StoreRight.CONFIRMED if self.is_vouched_for(now):
                return StoreRight.HELD
        return None

    def note_registered(self, now: float) -> None:
        """Start to judge the other instances: they send no reports to followers."""
        self._started = now

    def others(self) -> Iterable[InstanceRecord]:
        """Return the records of all other instances."""
        return (r for r in self.records.values() if r.name != self.own_record.name)

    @property
    def zone_size(self) -> int:
        """Number of recorded instances in this instance's zone."""
        return sum(r.zone == self.own_record.zone for r in self.records.values())

    def last_report_at(self, record: InstanceRecord) -> float | None:
        """Return when the recorded incarnation last sent a report, if it ever did."""
        peer = self._peers.peers.get(record.name)
        if peer is None or peer.report.life != record.life:
            return None
        return peer.received_at

    def targets(self, *, vouched: bool, zone: str | None = None) -> list[Address]:
        """Return the addresses of other instances, in one zone or in all zones.

        `vouched` selects the instances that this one vouches for; otherwise the
        excluded ones are returned.
        """
        return [
            Address(record.host, record.port)
            for record in self.others()
            if self.vouches_for(record) == vouched and zone in (None, record.zone)
        ]

    def vouches_for(self, record: InstanceRecord) -> bool:
        """Return whether reports to an instance count towards its right to grant."""
        return record.name not in self._excluded

    def alive(self, now: float) -> list[InstanceRecord]:
        """Return this instance, then those that sent a report recently."""
        if now != self._alive_at:
            self._alive_at = now
            self._alive = [
                self.own_record,
                *(record for record in self.others() if self._is_alive(record, now)),
            ]
        return self._alive

    def _is_alive(self, record: InstanceRecord, now: float) -> bool:
        last_report = self.last_report_at(record)
        return last_report is not None and now - last_report < ALIVE_SECONDS

    def has_store_contact(self, now: float) -> bool:
        """Return whether this instance can read the store, as planning requires."""
        return self._copy.unreachable_since is None and self._copy.was_read

    def has_peer_with_contact(self, now: float) -> bool:
        """Return whether another live instance can read the store."""
        return len(self._with_store_contact(now)) > 1

    def peer_contact_seconds(self, now: float) -> float:
        """Return for how long a live peer has read the store; 0 if none can."""
        contacts = (
            peer.report.touch_age + now - peer.received_at
            for peer in self._peers.alive(now)
            if peer.report.touch_age >= 0 and peer.report.instance in self.records
        )
        return max(contacts, default=0.0)

    def store_available_seconds(self, now: float) -> float:
        """Return the longest time for which the store has answered any live instance.

        An instance that was isolated can thereby tell that the store was available
        meanwhile, so that entries that are missing were really removed.
        """
        longest = self._copy.connected_seconds(now)
        for peer in self._peers.alive(now):
            if peer.report.touch_age >= 0:
                longest = max(longest, peer.report.touch_age + now - peer.received_at)
        return longest

    # The right to grant.

    def reset_contact(self, now: float) -> None:
        """Discard all evidence of contact, after the process was suspended."""
        self._contact_reset_at = now
        self._copy.current_at = -1e9
        self._earlier_right_until.clear()

    def may_grant(self, now: float) -> bool:
        """Return whether this instance may grant keys by its tables of this era."""
        return self.grant_evidence(now) != "none"

    def may_grant_by(self, era: int, now: float) -> bool:
        """Return whether this instance may grant keys by its tables of some era."""
        if era == self.era:
            return self.may_grant(now)
        return now < self._earlier_right_until.get(era, -1e9)

    def enter_era(self, era: int, now: float) -> None:
        """Note a later era, and until when tables of earlier ones may be granted by."""
        until = -1e9
        if self._copy.was_read:
            until = self._right_until(now)
            self._copy.current_at = -1e9
            self._earlier_right_until[self.era] = until
        if now >= until or era != self.era + 1:
            self.right_since = era
        self.eras.note(era, now, knew_earlier=self._copy.was_read)
        self.era, self.era_since = era, now
        self._ranks_at = self._alive_at = -1e9

    def _right_until(self, now: float) -> float:
        """Return how long the right to grant lasts without new evidence."""
        if not self.may_grant(now):
            return -1e9
        until = self._read_at() + CONTACT_TIMEOUT_SECONDS
        if self.is_vouched_for(now):
            vouched = (
                self._peers.peers[record.name].vouched_at(self.era)
                for record in self.others()
            )
            until = max(until, min(vouched, default=now) + CONTACT_TIMEOUT_SECONDS)
        return until

    def knows_of_later_era(self, now: float) -> bool:
        """Return whether a live instance has reported a later era than known here."""
        return any(peer.report.era > self.era for peer in self._peers.alive(now))

    @property
    def has_earlier_era(self) -> bool:
        """Whether keys may have been granted in an era before the current one.

        That no table, record or live instance shows it is no proof: the store may have
        lost the tables, and the instances that knew them may have ended.
        """
        return self.era > 0

    def _learned_at(self, era: int, now: float) -> list[float]:
        """Return when live peers that knew an era before `era` learned of it.

        One that has not yet may learn of it now, and grant until then.
        """
        learned_at = []
        for peer in self._peers.alive(now):
            if peer.report.era < era:
                learned_at.append(now)
                continue
            age = first_age(peer.report.era_ages, era)
            if age >= 0:
                learned_at.append(peer.received_at - age)
        return learned_at

    def earlier_grants_until(self, now: float, era: int = 0) -> float:
        """Return until when grants by tables before an era may arrive at endpoints.

        The era is the current one if none is given. Very early in the first era.
        """
        if not self.has_earlier_era:
            return -1e9
        era = era or self.era
        learned_at = self._learned_at(era, now)
        own_age = first_age(self.eras.ages(now), era)
        if own_age >= 0:
            learned_at.append(now - own_age)
        elif not learned_at:
            learned_at.append(self.eras.known_since)
        return (
            max(learned_at)
            + CONTACT_TIMEOUT_SECONDS
            + CONTACT_SLACK_SECONDS
            + GRANT_TIMEOUT_SECONDS
        )

    def holder_of_right_is_known(self, era: int, now: float) -> bool:
        """Return whether a live instance could grant at the end of each era from `era`.

        It had agreed to all changes of owners in these eras, as far as it has their
        tables in force.
        """
        return self.right_since <= era or any(
            peer.report.era == self.era and peer.report.right_since <= era
            for peer in self._peers.alive(now)
        )

    def settled_lives(self, now: float, *, own_write_unknown: bool) -> set[int]:
        """Return the live incarnations whose moves of the era just before are known.

        They held the right to grant at its end, so that no other one can have taken
        over what they were to close, and know the outcome of all their writes.
        """
        lives = {
            peer.report.life
            for peer in self._peers.alive(now)
            if peer.report.era == self.era
            and peer.report.right_since < self.era
            and not peer.report.unknown_write
        }
        if self.right_since < self.era and not own_write_unknown:
            lives.add(self.own_record.life)
        return lives

    def grant_evidence(self, now: float) -> str:
        """Return what the right to grant rests on: "store", "vouched" or "none"."""
        if not self.registered or self._copy.revision.era != self.era:
            return "none"
        if now - self._read_at() < CONTACT_TIMEOUT_SECONDS:
            return "store"
        return "vouched" if self.is_vouched_for(now) else "none"

    def is_vouched_for(self, now: float) -> bool:
        """Return whether every other recorded instance vouched for this one recently.

        Returns False if another instance has applied a later revision for some time:
        an instance that joined since then may rely on this one having stopped.
        """
        if self._copy.revision.era != self.era:
            return False
        for record in self.others():
            if self.last_report_at(record) is None:
                return False
            vouched = self._peers.peers[record.name].vouched_at(self.era)
            if (
                vouched < self._contact_reset_at
                or now - vouched >= CONTACT_TIMEOUT_SECONDS
            ):
                return False
        return not self._is_behind(now)

    def _is_behind(self, now: float) -> bool:
        """Return whether a revision that others have applied is missing for too long.

        Tables may change continually, so the time allowed is counted for each revision
        from when it was first reported.
        """
        for peer in self._peers.alive(now):
            for service, revision in peer.report.tables.items():
                if revision > self.applied.get(service, BEFORE_ALL):
                    self._missing_revisions.setdefault(service, (revision, now))
        behind = False
        for service, (revision, since) in list(self._missing_revisions.items()):
            if self.applied.get(service, BEFORE_ALL) >= revision:
                del self._missing_revisions[service]
            elif now - since >= EXCLUDE_AFTER_SECONDS:
                behind = True
        return behind

    # Agreement on a revision.

    def has_applied(
        self, record: InstanceRecord, service: str, revision: StorePoint
    ) -> bool:
        """Return whether an instance has applied a table of at least `revision`."""
        if self.last_report_at(record) is None:
            return False
        report = self._peers.peers[record.name].report
        return report.tables.get(service, BEFORE_ALL) >= revision

    def grants_stopped_at(
        self,
        record: InstanceRecord,
        service: str,
        revision: StorePoint,
        since: float,
        now: float,
    ) -> float | None:
        """Return when an instance had stopped granting by tables before `revision`.

        Returns None while it may still do so. `since` is when this instance first saw
        the revision. An instance that does not apply it in time is excluded: it is no
        longer vouched for.
        """
        if self.has_applied(record, service, revision):
            return since
        if record.name not in self._excluded and now - since >= EXCLUDE_AFTER_SECONDS:
            self._excluded[record.name] = _Exclusion(record.life, now)
        right_lost_at = self._grant_right_lost_at(record, since, now)
        if right_lost_at is not None:
            required_revisions = self._excluded[record.name].required_revisions
            required_revisions[service] = max(
                revision, required_revisions.get(service, BEFORE_ALL)
            )
        return right_lost_at

    def _grant_right_lost_at(
        self, record: InstanceRecord, since: float, now: float
    ) -> float | None:
        """Return when an excluded instance lost the right to grant; None before.

        `since` is when this instance first saw a table that the other one has not
        applied, and so not read.
        """
        exclusion = self._excluded.get(record.name)
        if exclusion is None:
            return None
        read_until = since
        if record.store_right is StoreRight.REVOKED:
            read_until = min(since, self._record_seen[record.name][1])
        right_lost_at = (
            max(exclusion.since, read_until)
            + CONTACT_TIMEOUT_SECONDS
            + CONTACT_SLACK_SECONDS
        )
        return right_lost_at if now >= right_lost_at else None

    def latest_possible_grant(
        self, record: InstanceRecord, now: float, since: float | None = None
    ) -> float:
        """Return when an instance that sends no reports may last have granted keys.

        `since` is as in `grants_stopped_at`; without it, it may have read the store
        until now unless its record says otherwise.
        """
        since = now if since is None else since
        right_lost_at = self._grant_right_lost_at(record, since, now)
        return now if right_lost_at is None else right_lost_at

    def may_read_store(self, life: int, now: float) -> bool:
        """Return whether another incarnation may read the store, as its record says.

        One that does confirms its right soon after it was revoked.
        """
        return any(
            record.life == life
            and (
                record.store_right is not StoreRight.REVOKED
                or now - self._record_seen[record.name][1] < CONFIRM_SECONDS
            )
            for record in self.others()
        )

    def can_move_without_wait(self, now: float) -> bool:
        """Return whether keys can move without waiting for a lease to expire.

        Returns False while a lease may be valid that was granted by an unresponsive
        instance or by a previous incarnation that did not shut down gracefully.
        """
        earlier = max(self.previous_incarnation_until, self.earlier_grants_until(now))
        if now < lease_expiry(earlier):
            return False
        for record in self.others():
            last_report = self.last_report_at(record)
            if last_report is None or now - last_report >= ALIVE_SECONDS:
                latest_grant = self.latest_possible_grant(record, now)
            else:
                age = self._peers.peers[record.name].report.earlier_life_age
                latest_grant = last_report - age
            if now < lease_expiry(latest_grant):
                return False
        return True

    def exclude_unresponsive(self, now: float) -> None:
        """Stop vouching for unresponsive instances; readmit those that report again."""
        for record in self.others():
            silent = self._silent_seconds(record, now)
            if silent >= ALIVE_SECONDS and record.name not in self._excluded:
                self._excluded[record.name] = _Exclusion(record.life, now)
            elif silent < ALIVE_SECONDS / 2 and record.name in self._excluded:
                self._readmit(record)

    def _silent_seconds(self, record: InstanceRecord, now: float) -> float:
        """Return for how long no report of an instance has arrived."""
        seen = self._first_seen.get((record.name, record.life), now)
        return now - max(self.last_report_at(record) or -1e9, seen, self._started)

    def _readmit(self, record: InstanceRecord) -> None:
        # Requires the revisions that were relied on, not the latest ones, because
        # tables may change more often than reports arrive.
        if all(
            self.has_applied(record, service, revision)
            for service, revision in self._excluded[
                record.name
            ].required_revisions.items()
        ):
            del self._excluded[record.name]

    def records_to_revoke(self, now: float) -> list[InstanceRecord]:
        """Return the silent instances that may hold the right by reading the store.

        An instance that hears from no other one is probably the one that is cut off,
        and waits longer.
        """
        hears_others = len(self.alive(now)) > 1
        result = []
        for record in self.others():
            silent = self._silent_seconds(record, now)
            unchanged = now - self._record_seen[record.name][1]
            if record.name not in self._excluded or silent < ALIVE_SECONDS:
                continue
            if record.store_right is StoreRight.HELD:
                is_due = hears_others or silent >= RECORD_EXPIRY_SECONDS
            else:
                is_due = (
                    record.store_right is StoreRight.CONFIRMED
                    and unchanged >= RECORD_EXPIRY_SECONDS
                )
            if is_due:
                result.append(record)
        return result

    def expired_records(self, now: float) -> list[InstanceRecord]:
        """Return the instances whose records expire because they sent no reports."""
        result = []
        for record in self.others():
            exclusion = self._excluded.get(record.name)
            last_report = self.last_report_at(record)
            if exclusion is None or now - exclusion.since < RECORD_EXPIRY_SECONDS:
                continue
            unchanged = now - self._record_seen[record.name][1]
            if record.store_right is not StoreRight.UNSTATED and (
                record.store_right is not StoreRight.REVOKED
                or unchanged < RECORD_EXPIRY_SECONDS
            ):
                continue  # It may hold the right, or have held it until just now.
            if last_report is None or now - last_report >= RECORD_EXPIRY_SECONDS:
                result.append(record)
        return result

    # Roles: granter, planner and watcher.

    def rank_for(self, endpoint: Endpoint, now: float) -> int:
        """Return the rank of this instance as granter of an endpoint; 0 is first."""
        return self.rank_in(granter_group(endpoint), now)

    def rank_in(self, group: GranterGroup, now: float) -> int:
        """Return the rank of this instance as granter of a group; 0 is first."""
        if now != self._ranks_at:
            self._ranks_at = now
            self._ranks.clear()
        rank = self._ranks.get(group)
        if rank is None:
            rank = self._ranks[group] = self._count_granters_ahead(group, now)
        return rank

    def _count_granters_ahead(self, group: GranterGroup, now: float) -> int:
        ahead = self._granters_ahead.get(group)
        if ahead is None:
            own_key = _granter_sort_key(self.own_record, group)
            ahead = self._granters_ahead[group] = [
                record
                for record in self.others()
                if _granter_sort_key(record, group) < own_key
            ]
        return sum(self._is_alive(record, now) for record in ahead)

    def planner(self, service: str, now: float) -> InstanceRecord:
        """Return the instance that plans the keys of a service."""
        return min(
            self._with_store_contact(now), key=lambda r: rank_hash(r.name, service)
        )

    def tries_suspect(self, digest: bytes) -> bool:
        """Return whether this instance tries a request that is refused otherwise."""
        if not self.registered:
            return False
        first = min(self.records.values(), key=lambda r: _hash(r.name, digest.hex()))
        return first.name == self.own_record.name

    def is_reader(self, now: float) -> bool:
        """Return whether this instance watches the store closely for the fleet."""
        if not self.registered:
            return False
        # The first of each zone, so that two readers are in different zones.
        first_by_zone: dict[str, InstanceRecord] = {}
        for record in self._watchers(now):
            first_by_zone.setdefault(record.zone, record)
        return self.own_record in list(first_by_zone.values())[:READER_COUNT]

    def is_zone_watcher(self, now: float) -> bool:
        """Return whether this instance watches the store for its zone.

        Its changes may be late, at a tenth of the price. The other instances of the
        zone learn the changes from it. A new instance does not, unless the zone has no
        others.
        """
        if not self.registered:
            return False
        zone = [r for r in self._watchers(now) if r.zone == self.own_record.zone]
        return not zone or zone[0] is self.own_record

    def _is_new(self, record: InstanceRecord, now: float) -> bool:
        """Return whether an instance may lack reports of the recorded instances."""
        seen = self._first_seen.get((record.name, record.life), now)
        started = self._started if record is self.own_record else seen
        return now - started < STARTUP_GRACE_SECONDS and len(self.records) > 1

    def _watchers(self, now: float) -> list[InstanceRecord]:
        """Return the instances that can read the store, without new ones."""
        return sorted(
            (r for r in self._with_store_contact(now) if not self._is_new(r, now)),
            key=lambda r: rank_hash(r.name, WATCHER_ROLE),
        )

    def _with_store_contact(self, now: float) -> list[InstanceRecord]:
        """Return this instance and the live ones that can read the store."""
        result = [self.own_record]
        for record in self.alive(now)[1:]:
            peer = self._peers.peers.get(record.name)
            if peer is not None and peer.report.touch_age >= 0:
                result.append(record)
        return result

    def is_planner(self, service: str, now: float) -> bool:
        """Return whether this instance plans the keys of a service."""
        return self.planner(service, now) is self.own_record
