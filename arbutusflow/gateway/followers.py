"""Followers: instances without a record in the store, and the granters they follow.

Only granters are recorded in the store, a few for each availability zone. They grant
keys, and agree among themselves on each move. Every other instance follows one of
them: it reports its load and demand to it, and learns from it what the store holds and
what the rest of the fleet does.

Invariants: a follower never grants keys, so nothing ever waits for one. Its number of
messages does not depend on the size of the fleet. A granter is recorded before it
grants, and keeps its record until it has ended or is known to have ended.
"""

import dataclasses
import random
from collections.abc import Mapping

from arbutusflow.gateway import key_demand
from arbutusflow.gateway.fleet import Fleet, InstanceRecord, rank_hash
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import FleetDigest, FollowerReport
from arbutusflow.gateway.store_watch import ObjectCopy

# Two groups of leases with a granter each, and a standby.
MIN_GRANTERS_PER_ZONE = 3
MAX_FOLLOWERS_PER_GRANTER = 16
FOLLOWER_REPORT_SECONDS = 0.15
# A granter receives at most 33 reports per second from its followers.
REPORT_SECONDS_PER_FOLLOWER = 0.03
# After this time without a digest, a follower tries the next granter.
GRANTER_SILENCE_SECONDS = 1.2
AVOID_SILENT_SECONDS = 4.0
FOLLOWER_EXPIRY_SECONDS = 1.5  # Its requests no longer count then.
# A follower that starts again while the store is unreachable cannot find a granter, so
# its former granter goes on to send digests for this long.
FORMER_FOLLOWER_SECONDS = 20.0
# Instances that start together claim a place as granter one after the other.
CLAIM_SPREAD_SECONDS = 1.0
# Followers that change their granter are counted twice until the former one expires
# them, and the granters learn it from each other.
RECOUNT_SECONDS = 3.0
# Without a digest from any granter for this long, a follower becomes a granter itself.
NO_GRANTER_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _Follower:
    """The latest report of a follower."""

    report: FollowerReport
    source: Address
    received_at: float
    key_loads: dict[str, dict[int, int]]
    service_times: dict[str, tuple[float, int]]


class Followers:
    """The followers of this instance, which is a granter."""

    def __init__(self) -> None:
        self._followers: dict[str, _Follower] = {}

    def accept(self, report: FollowerReport, source: Address, now: float) -> bool:
        """Store a report; return whether the follower is new or has restarted."""
        known = self._followers.get(report.instance)
        is_new = known is None or known.report.life != report.life
        if known is not None and not is_new:
            if report.number <= known.report.number:
                return False
            is_new = now - known.received_at >= FOLLOWER_EXPIRY_SECONDS
        has_loads = bool(report.key_loads) or known is None
        self._followers[report.instance] = _Follower(
            report,
            source,
            now,
            report.key_loads if has_loads or known is None else known.key_loads,
            report.service_times if has_loads or known is None else known.service_times,
        )
        return is_new

    def holds(self, report: FollowerReport) -> bool:
        """Return whether a report is the latest of its sender, and no duplicate."""
        known = self._followers.get(report.instance)
        return known is not None and known.report is report

    def expire(self, now: float) -> None:
        """Forget followers that have been silent for long."""
        for name, follower in list(self._followers.items()):
            if now - follower.received_at >= FORMER_FOLLOWER_SECONDS:
                del self._followers[name]

    def alive(self, now: float) -> list[_Follower]:
        """Return the followers that sent a report recently."""
        return [
            follower
            for follower in self._followers.values()
            if now - follower.received_at < FOLLOWER_EXPIRY_SECONDS
        ]

    def addresses(self) -> list[Address]:
        """Return the addresses of all followers, silent ones included."""
        return [follower.source for follower in self._followers.values()]

    def add_in_flight(self, own: Mapping[str, int], now: float) -> dict[str, int]:
        """Return the requests in flight of this instance and its followers."""
        total = dict(own)
        for follower in self.alive(now):
            for endpoint, count in follower.report.in_flight.items():
                total[endpoint] = total.get(endpoint, 0) + count
        return total

    def add_demand(
        self, service: str, own: dict[int, int], now: float
    ) -> dict[int, int]:
        """Return the demand by key at this instance and its followers."""
        reports = [own]
        reports += [f.key_loads.get(service, {}) for f in self.alive(now)]
        return key_demand.merge_reports(reports)

    def add_service_times(
        self, own: dict[str, tuple[float, int]], now: float
    ) -> dict[str, tuple[float, int]]:
        """Return the mean service times over this instance and its followers."""
        return key_demand.merge_service_times(
            [own, *(f.service_times for f in self.alive(now))]
        )


class Following:
    """The granter that this instance follows while it is not recorded itself."""

    def __init__(
        self, own_record: InstanceRecord, fleet: Fleet, now: float, rng: random.Random
    ) -> None:
        self._own_record = own_record
        self._fleet = fleet
        self._rng = rng
        self._target: Address | None = None
        self._target_since = now
        self._avoid_until: dict[Address, float] = {}
        # Granters that cannot read the store, while another one can.
        self._without_contact_until: dict[Address, float] = {}
        self._digest_at = -1e9
        self._last_contact = now
        self.digest: FleetDigest | None = None
        # Whether this instance had a record that the store may have lost.
        self.reclaims = False
        # When this instance may claim a place as granter; None if none is vacant.
        self._claim_at: float | None = None
        self._claim_read_started = False  # A current list was requested for the claim.

    def target(self, now: float) -> Address | None:
        """Return the address of the granter to report to, if any is known."""
        current = self._target
        last = max(self._target_since, self._digest_at)
        if current is not None and now - last >= GRANTER_SILENCE_SECONDS:
            self.avoid(current, now)
        candidates = sorted(
            self._fleet.others(),
            key=lambda r: (
                r.zone != self._own_record.zone,
                rank_hash(self._own_record.name, r.name),
            ),
        )
        addresses = [Address(r.host, r.port) for r in candidates]
        usable = [a for a in addresses if not self._is_avoided(a, now)]
        best = next(iter(usable or addresses), None)
        if best is not None and best != current:
            self._target, self._target_since = best, now
        return self._target

    def avoid(self, granter: Address, now: float) -> None:
        """Follow another granter for some time."""
        self._avoid_until[granter] = now + AVOID_SILENT_SECONDS
        if granter == self._target:
            self._target_since = now

    def _is_avoided(self, granter: Address, now: float) -> bool:
        until = (self._avoid_until, self._without_contact_until)
        return any(now < times.get(granter, -1e9) for times in until)

    def accept(self, digest: FleetDigest, source: Address, now: float) -> bool:
        """Store a digest; return whether it is from the granter that is followed."""
        if self._target is None:
            # The store was not read yet: the former granter still sends digests.
            self._target, self._target_since = source, now
        if source != self._target:
            return False
        known = self.digest
        is_same_life = known is not None and known.life == digest.life
        if known is not None and is_same_life and digest.number <= known.number:
            return False
        self.digest, self._digest_at, self._last_contact = digest, now, now
        if self.granters_lost_store(now):
            # Else all followers would gather at the granter that lost it last.
            self._without_contact_until.clear()
        elif digest.leaving:
            self._leave(digest, source, now)
        return True

    def _leave(self, digest: FleetDigest, source: Address, now: float) -> None:
        if digest.touch_age >= 0:
            self.avoid(source, now)
            return
        without_contact = [source]
        for name in digest.without_contact:
            record = self._fleet.records.get(name)
            if record is not None:
                without_contact.append(Address(record.host, record.port))
        until = now + AVOID_SILENT_SECONDS
        self._without_contact_until.update(dict.fromkeys(without_contact, until))
        self._target_since = now

    def is_alive(self, now: float) -> bool:
        """Return whether a granter sent a digest recently."""
        return now - self._digest_at < GRANTER_SILENCE_SECONDS

    def granters_lost_store(self, now: float) -> bool:
        """Return whether no granter can read the store, as the one followed reports."""
        digest = self.digest
        if digest is None or not self.is_alive(now):
            return False
        return digest.touch_age < 0 and not digest.leaving

    @property
    def report_seconds(self) -> float:
        """Interval between reports to the granter."""
        followers = self.digest.followers if self.digest else 0
        return max(FOLLOWER_REPORT_SECONDS, REPORT_SECONDS_PER_FOLLOWER * followers)

    # Places of granters.

    def may_claim(self, copy: ObjectCopy, now: float) -> bool:
        """Return whether this instance should become a granter now.

        An instance whose previous incarnation has a record takes it over at once. Other
        claims wait for a random time, and for a current list of the records.
        """
        if not copy.was_read:
            return False
        if self._own_record.name in self._fleet.records:
            return True
        delay = self._claim_delay(now)
        if delay is None:
            self._claim_at = None
            return False
        if self._claim_at is None:
            self._claim_at = now + delay + self._rng.uniform(0.0, CLAIM_SPREAD_SECONDS)
            self._claim_read_started = False
        if now < self._claim_at:
            return False
        if copy.current_at >= self._claim_at:
            return True
        if not self._claim_read_started:
            self._claim_read_started = True
            copy.list_now()
        return False

    def is_claiming(self, now: float) -> bool:
        """Return whether a current list of the records is needed for a claim."""
        return self._claim_at is not None and now >= self._claim_at

    @property
    def has_pending_claim(self) -> bool:
        """Whether a place is vacant that this instance will claim."""
        return self._claim_at is not None

    def _claim_delay(self, now: float) -> float | None:
        """Return for how long a place has to stay vacant; None if none is vacant."""
        if self.granters_lost_store(now):
            return None  # No claim could be recorded.
        if self.reclaims:
            return 0.0
        if self._fleet.zone_size < MIN_GRANTERS_PER_ZONE:
            return 0.0
        if now - self._last_contact >= NO_GRANTER_SECONDS:
            return 0.0
        if self.digest is None or self._fleet.zone_size >= self.digest.wanted_granters:
            return None
        granter = self._fleet.records.get(self.digest.instance)
        is_same_zone = granter is not None and granter.zone == self._own_record.zone
        return RECOUNT_SECONDS if is_same_zone else None


def wanted_granters(zone_instances: int) -> int:
    """Return the number of granters for a zone with this many instances."""
    followers = MAX_FOLLOWERS_PER_GRANTER
    return max(MIN_GRANTERS_PER_ZONE, -(-zone_instances // (followers + 1)))
