"""Plans and carries out moves of keys between endpoints.

Only the instance that is the planner of a service (`Fleet.is_planner`) begins to move
its keys. It finishes its moves even if another one has become the planner.

Invariants: a range is assigned to another owner only under the conditions stated in
`key_planner`. A new table is stored before any instance grants keys under it. Only the
instance that the table names closes, releases and assigns a leaving range. Another one
takes it over by a new table, which the former has to apply like any instance that
grants keys.
"""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Collection, Coroutine

import msgspec

from arbutusflow.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from arbutusflow.gateway import key_planner
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import FLEET_KIND, Fleet, table_name
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.key_orders import (
    GRANT_TIMEOUT_SECONDS,
    KeyOrders,
    closing_expiry,
)
from arbutusflow.gateway.key_table import (
    GrantId,
    KeyRange,
    KeyTable,
    StoredTable,
    lease_expiry,
)
from arbutusflow.gateway.model import BEFORE_ALL, Endpoint, StorePoint
from arbutusflow.gateway.peers import PeerReports
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoreClient, StoredObject

# The first table of a service waits until the set of listed endpoints is stable for
# this long, because endpoints that start together register one after the other.
INITIAL_SETTLE_SECONDS = 0.6
RELEASE_RETRY_SECONDS = 0.3
# A move that waits this long for other instances is cancelled. A table reaches all
# instances within a second, and the leases on the keys that move remain valid for at
# least one second after that.
MAX_INSTANCE_WAIT_SECONDS = 1.8
# A move that would have to wait this long for a lease to expire is cancelled at once.
MAX_LEASE_WAIT_SECONDS = 1.0
WAIT_LOG_SECONDS = 1.0
# The planner takes over a leaving range that another instance has not moved by then.
TAKE_OVER_SECONDS = 1.5
# The same if no reports of that instance arrive, but it may read the store. It waits up
# to 7.6 s after the mark, until this instance has lost the right to grant and a lease
# by it has expired. Two that took a range from each other sooner would never move it.
SILENT_TAKE_OVER_SECONDS = 9.0
# Each write of a table costs every instance a call to the store, and demand is
# reported only once a second.
BALANCE_INTERVAL_SECONDS = 1.0
# After learning of a new era of the store: all live instances have reported by then
# which tables they have, unless reports were lost.
ERA_REPORT_SECONDS = 1.0
# Then the planner no longer waits for a later table that another instance has reported,
# or for one that held the right to grant.
MAX_ERA_REPORT_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class _Revocation:
    """Progress of taking a leaving range from its owner."""

    revision: StorePoint  # Of the table that marks the range as leaving.
    first_seen_at: float
    key_range: KeyRange  # As the table marks it.
    # When this instance first saw the range leaving, and whether another one was to
    # close it then.
    leaving_since: float
    taken_over: bool
    # When this instance learned that all others had stopped granting the range.
    grants_known_stopped_at: float | None = None
    release_in_progress: bool = False
    retry_at: float = 0.0
    release_handover: str | None = None  # Set after the release; may be empty.
    # End of the leases of closing grants that were not confirmed to this instance.
    closed_until: float = -1e9
    wait_logged_at: float = 0.0  # When a wait for an instance was last logged.

    def __post_init__(self) -> None:
        self.wait_logged_at = self.first_seen_at

    def is_of(self, key_range: KeyRange) -> bool:
        """Return whether this is about a range as its table marks it now."""
        return self.key_range.closing_token == key_range.closing_token


class KeyMoves:
    """Plans the key tables of the services whose planner this instance is."""

    def __init__(
        self,
        fleet: Fleet,
        copy: ObjectCopy,
        store: StoreClient,
        peers: PeerReports,
        leases: KeyLeases,
        orders: KeyOrders,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._copy = copy
        self._store = store
        self._peers = peers
        self._leases = leases
        self._orders = orders
        self._log = log
        # Of the leaving ranges of all tables, by service.
        self._revocations: dict[str, dict[GrantId, _Revocation]] = {}
        self._writing: set[str] = set()
        # By service: era of the latest write whose outcome is not known.
        self._unknown_writes: dict[str, int] = {}
        self._balanced_at: dict[str, float] = {}
        # Listed endpoints of a service without a table, and since when they are listed.
        self._listed_since: dict[str, tuple[frozenset[str], float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._rng = rng  # Jitter of retries.
        # Sources of the measured demand, set by `FleetTask`.
        self.loads_of: Callable[[str], dict[int, float]] = lambda service: {}
        self.capacities_of: Callable[[str], dict[str, float]] = lambda service: {}
        self.has_recent_demand: Callable[[str], bool] = lambda service: True
        # Returns the endpoints of a service that get no keys while others are warm.
        self.cold_endpoints: Callable[[str, float], Collection[str]] = (
            lambda service, now: ()
        )
        # Whether keys of a service may move to even out the load; set by the process.
        self.may_balance: Callable[[str], bool] = lambda service: True

    def track_table(self, stored: StoredTable, now: float) -> None:
        """Start tracking the leaving ranges of a new table.

        All instances do this, because any of them may become the planner.
        """
        known_revocations = self._revocations.get(stored.table.service, {})
        current: dict[GrantId, _Revocation] = {}
        for key_range in stored.table.ranges:
            if not key_range.leaving:
                continue
            grant = key_range.grant_id
            known = known_revocations.get(grant)
            if known is not None and known.is_of(key_range):
                current[grant] = known
                continue
            current[grant] = _Revocation(
                revision=stored.revision,
                first_seen_at=now,
                key_range=key_range,
                leaving_since=now if known is None else known.leaving_since,
                taken_over=known is not None,
            )
        self._revocations[stored.table.service] = current

    def tick(self, partitioned_services: list[str], now: float) -> None:
        """Plan the services whose planner this instance is, and finish its moves."""
        if not self._fleet.has_store_contact(now) or not self._fleet.registered:
            return
        # Tables of an earlier era cannot be written any more, so a move by them would
        # only take keys from their owner.
        if self._copy.revision.era != self._fleet.era or self._fleet.knows_of_later_era(
            now
        ):
            return
        for service in partitioned_services:
            if service not in self._writing and (
                self._fleet.is_planner(service, now) or self._has_own_moves(service)
            ):
                self._plan(service, now)

    def _has_own_moves(self, service: str) -> bool:
        """Return whether this instance has begun moves, as the planner of before."""
        return any(
            self._is_own_move(revocation.key_range)
            for revocation in self._revocations.get(service, {}).values()
        )

    def _is_own_move(self, key_range: KeyRange) -> bool:
        life = self._fleet.own_record.life
        return key_range.leaving and key_range.closer_life == life

    def _plan(self, service: str, now: float) -> None:
        endpoints = {
            name: e
            for name, e in self._leases.endpoints.items()
            if e.service == service
        }
        stored = self._leases.tables.get(service)
        if stored is not None and stored.revision.era != self._fleet.era:
            if self._fleet.is_planner(service, now):
                self._begin_era(service, stored, now)
            return
        if stored is None and not self._is_endpoint_set_stable(service, endpoints, now):
            return
        era = self._fleet.era
        table = stored.table if stored else KeyTable.empty(service, era)
        if stored is not None:
            self._advance_revocations(service, stored, now)
        balance = (
            now - self._balanced_at.get(service, -1e9) >= BALANCE_INTERVAL_SECONDS
            and self._fleet.is_planner(service, now)
            and self._fleet.can_move_without_wait(now)
            and self.has_recent_demand(service)
            and self.may_balance(service)
        )
        leaving = _LeavingState(self, service, now)
        if not balance and not key_planner.needs_change(table, endpoints, leaving):
            return
        planned = key_planner.plan(
            table,
            endpoints,
            self.capacities_of(service),
            key_planner.KeyLoads(self.loads_of(service)),
            leaving,
            balance=balance,
            immovable=self._immovable_endpoints(endpoints, now) if balance else (),
            cold=self.cold_endpoints(service, now),
            own_life=self._fleet.own_record.life,
        )
        if balance:
            self._balanced_at[service] = now
        if planned != table and any(r.endpoint or r.leaving for r in planned.ranges):
            self._writing.add(service)
            self._spawn(self._write(service, era, planned, stored))

    def _begin_era(self, service: str, earlier: StoredTable, now: float) -> None:
        """Write the first table of the era, once the latest earlier one is known."""
        fleet = self._fleet
        known_seconds = now - fleet.era_since
        if known_seconds < ERA_REPORT_SECONDS:
            return
        is_latest = all(
            peer.report.tables.get(service, BEFORE_ALL) <= earlier.revision
            for peer in self._peers.alive(now)
        )
        proved = is_latest and fleet.holder_of_right_is_known(earlier.revision.era, now)
        if not proved and known_seconds < MAX_ERA_REPORT_SECONDS:
            return
        first = key_planner.first_table_of_era(
            earlier.table,
            earlier.revision.era,
            fleet.era,
            proved=proved,
            settled_lives=fleet.settled_lives(
                now, own_write_unknown=self.has_unknown_write()
            ),
            listed=self._leases.endpoints,
        )
        waits = [
            lease_expiry(fleet.earlier_grants_until(now, r.unowned_since)) - now
            for r in first.ranges
            if not r.endpoint
        ]
        self._log.write(
            "key_table_reconciled",
            service=service,
            era=fleet.era,
            earlier_era=earlier.revision.era,
            earlier_revision=earlier.revision.number,
            proved=proved,
            kept=sum(bool(key_range.endpoint) for key_range in first.ranges),
            waiting=sum(not key_range.endpoint for key_range in first.ranges),
            wait_seconds=round(max([0.0, *waits]), 3),
        )
        self._writing.add(service)
        self._spawn(self._write(service, fleet.era, first, None))

    def _is_endpoint_set_stable(
        self, service: str, endpoints: dict[str, Endpoint], now: float
    ) -> bool:
        names = frozenset(name for name, e in endpoints.items() if not e.draining)
        known = self._listed_since.get(service)
        if known is None or known[0] != names:
            self._listed_since[service] = (names, now)
            return False
        return bool(names) and now - known[1] >= INITIAL_SETTLE_SECONDS

    async def _write(
        self, service: str, era: int, planned: KeyTable, stored: StoredTable | None
    ) -> None:
        loop = asyncio.get_running_loop()
        unknown_before = self._unknown_writes.get(service)
        self._unknown_writes[service] = era
        name = table_name(service, era)
        spec = msgspec.to_builtins(planned)
        try:
            if stored is None:
                item = await self._store.create(FLEET_KIND, name, spec)
            else:
                item = await self._store.replace(
                    FLEET_KIND, name, spec, stored.revision
                )
            self._note_known_write(service, era, item.revision)
            self._copy.adopt(item)
            self._leases.update_tables(loop.time())
        except ConflictError as exc:
            self._log.write("key_table_conflict", service=service)
            if isinstance(exc.current, StoredObject):
                self._note_known_write(service, era, exc.current.revision)
                self._copy.adopt(exc.current)
                self._leases.update_tables(loop.time())
            else:
                self._copy.relist()
        except PlatformError as exc:
            # The write may still take effect; reading the store again shows whether
            # it did.
            if (
                isinstance(exc, PlatformUnavailableError)
                and not exc.sent
                and unknown_before is None
            ):
                del self._unknown_writes[service]
            self._log.write("key_table_unwritten", service=service, detail=str(exc))
            self._copy.report_call_failure(str(exc))
            await asyncio.sleep(self._rng.uniform(0.1, 0.3))
        finally:
            self._writing.discard(service)

    def _note_known_write(self, service: str, era: int, latest: StorePoint) -> None:
        """Note that the store answered a write in its era with the latest revision.

        No earlier write of this instance can still take effect then.
        """
        if latest.era == era:
            self._unknown_writes.pop(service, None)

    def has_unknown_write(self) -> bool:
        """Return whether the outcome of a write in the era before is not known."""
        return self._fleet.era - 1 in self._unknown_writes.values()

    # Revocation of leaving ranges.

    def _advance_revocations(
        self, service: str, stored: StoredTable, now: float
    ) -> None:
        for key_range in stored.table.ranges:
            if not key_range.leaving:
                continue
            revocation = self._find_revocation(service, key_range)
            if revocation is None:
                continue
            if self._copy.revision < revocation.revision:
                # This copy of the store is older than the table, so it may lack an
                # instance that registered before the table was written.
                continue
            if revocation.grants_known_stopped_at is None:
                revocation.grants_known_stopped_at = self._grants_known_stopped_at(
                    service, revocation, now
                )
                if revocation.taken_over:
                    # A closing grant of another instance may be on its way.
                    revocation.closed_until = closing_expiry(
                        now + GRANT_TIMEOUT_SECONDS
                    )
            if not self._is_own_move(key_range):
                continue
            if (
                revocation.grants_known_stopped_at is None
                or revocation.release_handover is not None
            ):
                continue
            # A later process under the same identifier may hold the range by a renewal
            # that was meant for its predecessor.
            endpoint = self._leases.last_listed(key_range.endpoint)
            if (
                endpoint is None
                or revocation.release_in_progress
                or now < revocation.retry_at
            ):
                continue
            if self._handover_if_cancelled(service, key_range, now) is not None:
                continue
            revocation.release_in_progress = True
            self._spawn(self._release(service, endpoint, key_range, revocation))

    def _grants_known_stopped_at(
        self, service: str, revocation: _Revocation, now: float
    ) -> float | None:
        # Checks all instances before evaluating the results, because each check may
        # exclude an instance: this one then no longer vouches for it.
        stops = {
            record.name: self._fleet.grants_stopped_at(
                record, service, revocation.revision, revocation.first_seen_at, now
            )
            for record in self._fleet.others()
        }
        for name, stopped in stops.items():
            if stopped is None:
                self._log_wait(name, revocation, now)
                return None
        return now

    def _log_wait(self, instance: str, revocation: _Revocation, now: float) -> None:
        if now - revocation.wait_logged_at >= WAIT_LOG_SECONDS:
            revocation.wait_logged_at = now
            self._log.write_rate_limited(
                "keys_wait_for_instance",
                name=instance,
                revision=revocation.revision.number,
                waited_seconds=round(now - revocation.first_seen_at, 3),
            )

    async def _release(
        self,
        service: str,
        endpoint: Endpoint,
        key_range: KeyRange,
        revocation: _Revocation,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._leases.withdraw(key_range)
        closed: bool | None = False
        try:
            # One of the earlier grants may be on its way although it counts as
            # answered: an endpoint may send an answer twice, and the answers of orders
            # have no identifier.
            closed = await self._orders.close_grants(
                endpoint,
                key_range,
                functools.partial(self._leases.may_grant, key_range),
            )
            if closed:
                revocation.release_handover = await self._orders.release(
                    endpoint, key_range
                )
        finally:
            revocation.release_in_progress = False
            revocation.retry_at = loop.time() + RELEASE_RETRY_SECONDS
            if revocation.release_handover is None and closed is not None:
                revocation.closed_until = closing_expiry(loop.time())
                # Leaves time to assign the keys if the owner does not respond.
                revocation.retry_at = revocation.closed_until + RELEASE_RETRY_SECONDS
        if revocation.release_handover is None:
            return
        self._log.write(
            "keys_released",
            endpoint=endpoint.id,
            first=key_range.first,
            last=key_range.last,
            token=key_range.token,
        )
        self.tick([service], loop.time())

    def _find_revocation(self, service: str, key_range: KeyRange) -> _Revocation | None:
        """Return the progress of taking a range, as its table marks it, if any."""
        revocation = self._revocations.get(service, {}).get(key_range.grant_id)
        if revocation is None or not revocation.is_of(key_range):
            return None
        return revocation

    def _alive_lives(self, now: float) -> set[int]:
        return {record.life for record in self._fleet.alive(now)}

    def _must_take_over(
        self, service: str, key_range: KeyRange, leaving: "_LeavingState", now: float
    ) -> bool:
        """Return whether this instance has to move a range in place of another one."""
        if not key_range.leaving or self._is_own_move(key_range):
            return False
        revocation = self._find_revocation(service, key_range)
        if revocation is None or not self._fleet.is_planner(service, now):
            return False
        wait_seconds = 0.0
        if key_range.closer_life in leaving.alive_lives:
            wait_seconds = TAKE_OVER_SECONDS
        elif self._fleet.may_read_store(key_range.closer_life, now):
            wait_seconds = SILENT_TAKE_OVER_SECONDS
        return (
            now - revocation.first_seen_at >= wait_seconds
            and self._handover_if_cancelled(service, key_range, now) is None
        )

    def _handover_if_transferable(
        self, service: str, key_range: KeyRange, now: float
    ) -> str | None:
        """Return the handover if a leaving range may be granted to another owner.

        Returns None while the current owner may still hold the range. The handover is
        empty if the range was not released and its lease has expired instead.
        """
        revocation = self._find_revocation(service, key_range)
        if revocation is None or revocation.grants_known_stopped_at is None:
            return None
        if not self._is_own_move(key_range):
            return None
        if not key_range.endpoint:
            return "" if self._may_assign_unowned(key_range, now) else None
        if revocation.release_in_progress or now < revocation.closed_until:
            return None
        sent, unanswered = self._latest_grant_times(
            service, key_range.endpoint, revocation, now
        )
        if revocation.release_handover is not None and now >= lease_expiry(unanswered):
            return revocation.release_handover
        if now >= lease_expiry(max(sent, unanswered)):
            return ""
        return None

    def _may_assign_unowned(self, key_range: KeyRange, now: float) -> bool:
        """Return whether no endpoint can hold a range that has no owner."""
        until = self._fleet.earlier_grants_until(now, key_range.unowned_since)
        return now >= lease_expiry(until)

    def _handover_if_cancelled(
        self, service: str, key_range: KeyRange, now: float
    ) -> str | None:
        """Return the handover if the move of a leaving range should be cancelled.

        Otherwise the lease would expire while the move waits for an unresponsive
        instance or for an unanswered grant. Returns None if the move should continue.
        """
        revocation = self._find_revocation(service, key_range)
        if revocation is None:
            return None
        owner = self._leases.endpoints.get(key_range.endpoint)
        if owner is None or owner.draining or owner.started_ms < key_range.started_ms:
            return None
        if revocation.grants_known_stopped_at is None:
            return (
                ""
                if now - revocation.leaving_since >= MAX_INSTANCE_WAIT_SECONDS
                else None
            )
        if revocation.release_in_progress:
            return None
        _, unanswered = self._latest_grant_times(
            service, key_range.endpoint, revocation, now
        )
        lease_wait = lease_expiry(unanswered) - now
        return (
            (revocation.release_handover or "")
            if lease_wait >= MAX_LEASE_WAIT_SECONDS
            else None
        )

    def _immovable_endpoints(
        self, endpoints: dict[str, Endpoint], now: float
    ) -> set[str]:
        """Return the endpoints whose keys cannot move yet.

        A grant that they did not answer may take effect until its lease has expired.
        """
        result = set()
        for name in endpoints:
            _, latest = self._orders.last_grant_times(name, now)
            for record in self._fleet.others():
                if self._fleet.last_report_at(record) is not None:
                    peer = self._peers.peers[record.name]
                    latest = max(latest, peer.last_grant_times(name)[1])
            if now < lease_expiry(latest):
                result.add(name)
        return result

    def _latest_grant_times(
        self, service: str, endpoint: str, revocation: _Revocation, now: float
    ) -> tuple[float, float]:
        """Return upper bounds of the times of the latest grants to an endpoint.

        The first is for all grants by any instance, the second for unanswered ones.
        """
        sent, unanswered = self._orders.last_grant_times(endpoint, now)
        earlier = self._fleet.previous_incarnation_until
        sent, unanswered = max(sent, earlier), max(unanswered, earlier)
        for record in self._fleet.others():
            if self._fleet.has_applied(record, service, revocation.revision):
                peer = self._peers.peers[record.name]
                last_sent, last_unanswered = peer.last_grant_times(endpoint)
            else:
                last_sent = self._fleet.latest_possible_grant(
                    record, now, revocation.first_seen_at
                )
                last_unanswered = last_sent
            sent = max(sent, last_sent)
            unanswered = max(unanswered, last_unanswered)
        # An instance that shuts down with an unanswered grant keeps its record, so only
        # answered grants of removed instances have to be considered.
        return max(sent, self._fleet.latest_grant_of_removed(endpoint, now)), unanswered

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _LeavingState:
    """The `key_planner.LeavingState` of a service at one time."""

    def __init__(self, moves: KeyMoves, service: str, now: float) -> None:
        self._moves = moves
        self._service = service
        self._now = now
        self._handovers: dict[KeyRange, str | None] = {}

    @functools.cached_property
    def alive_lives(self) -> set[int]:
        """Incarnations of the instances that are alive."""
        return self._moves._alive_lives(self._now)

    def handover_if_transferable(self, key_range: KeyRange) -> str | None:
        if key_range not in self._handovers:
            self._handovers[key_range] = self._moves._handover_if_transferable(
                self._service, key_range, self._now
            )
        return self._handovers[key_range]

    def handover_if_cancelled(self, key_range: KeyRange) -> str | None:
        return self._moves._handover_if_cancelled(self._service, key_range, self._now)

    def may_assign_unowned(self, key_range: KeyRange) -> bool:
        return self._moves._may_assign_unowned(key_range, self._now)

    def must_agree_on_unowned(self) -> bool:
        return self._moves._fleet.has_earlier_era

    @functools.cached_property
    def refused(self) -> set[GrantId]:
        """Grants that endpoints refuse, as any live instance reports."""
        result = set(self._moves._leases.refused_grants(self._now))
        for peer in self._moves._peers.alive(self._now):
            result.update(peer.report.refused)
        return result

    def is_refused(self, key_range: KeyRange) -> bool:
        return key_range.grant_id in self.refused

    def must_take_over(self, key_range: KeyRange) -> bool:
        return self._moves._must_take_over(self._service, key_range, self, self._now)
