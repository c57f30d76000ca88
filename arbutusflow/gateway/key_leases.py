"""Key tables in force, lookup of the endpoint for a key, and renewal of leases.

Invariant: a grant is sent only for a range that has an owner and is not leaving
according to the table in force, and only while `Fleet.may_grant` holds.
"""

import asyncio
import collections
import functools
from collections.abc import Callable, Collection, Coroutine, Iterable, Mapping

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import (
    MAX_STANDBY_RANK,
    Fleet,
    GranterGroup,
    granter_group,
    parse_table_name,
)
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_planner import KeyLoads
from arbutusflow.gateway.key_table import (
    GrantId,
    KeyRange,
    KeyTable,
    StoredTable,
    lease_expiry,
)
from arbutusflow.gateway.model import Endpoint, HttpResponse, StorePoint
from arbutusflow.gateway.peers import (
    PeerReport,
    TableChanged,
    TableRequest,
    TableTransfer,
)
from arbutusflow.gateway.store_watch import ObjectCopy

RENEW_INTERVAL_SECONDS = 1.0  # Three renewals may fail before a lease expires.
# Each further rank of granters takes over when a renewal is late by this much more.
TAKEOVER_DELAY_SECONDS = 0.4
# Instances of higher ranks never take over: in a large fleet they learn of renewals
# late and would all renew at once.
MAX_TAKEOVER_RANK = 5
# A grant that is on its way to a new owner arrives within milliseconds.
NOT_HELD_PAUSE_SECONDS = 0.03
# Earlier tables kept per service, so that peers can be sent changes instead of whole
# tables. A table of 65 endpoints has 8 kB in 78 ranges, a change some hundred bytes.
TABLE_HISTORY_LENGTH = 12
REFUSED_SECONDS = 1.0  # A later table arrives within this time, if there is one.
MAX_REPORTED_REFUSALS = 8  # Bounds the size of a report.
MAX_REMEMBERED_ENDPOINTS = 4096  # Bounds the memory for unlisted endpoints.


def grant_order(
    key_ranges: Iterable[KeyRange],
    granted: Collection[GrantId],
    demand: Mapping[int, int],
) -> list[KeyRange]:
    """Return the ranges of one endpoint in the order in which they are granted.

    Grants to an endpoint are sent one after the other. Ranges that were not granted
    before have no owner yet, so they come first, the busiest ones ahead.
    """
    loads = KeyLoads(demand)
    return sorted(
        key_ranges,
        key=lambda r: (
            (1, 0.0) if r.grant_id in granted else (0, -loads.of_range(r.first, r.last))
        ),
    )


class KeyLeases:
    """Key tables and lease renewals of all partitioned services."""

    def __init__(
        self,
        fleet: Fleet,
        copy: ObjectCopy,
        orders: KeyOrders,
        log: EventLog,
    ) -> None:
        self._fleet = fleet
        self._copy = copy
        self._orders = orders
        self._log = log
        # When any instance last renewed all leases of an endpoint, by endpoint.
        self._renewed: dict[str, float] = {}
        self._grants_in_progress: set[str] = set()  # Endpoints.
        self._granted: set[GrantId] = set()  # Accepted at least once, and logged.
        self._refused: dict[GrantId, float] = {}  # Since when.
        # When requests may be sent again to an owner that did not hold its range.
        self._not_held_until: dict[GrantId, float] = {}
        self._withdrawn: set[GrantId] = set()  # Ranges that get no more requests.
        # When a table last assigned new ranges to an endpoint.
        self._assigned_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.endpoints: dict[str, Endpoint] = {}
        self._granter_groups: dict[str, set[GranterGroup]] = {}  # By service.
        # Endpoints that are listed or were earlier.
        self._remembered: dict[str, Endpoint] = {}
        self.tables: dict[str, StoredTable] = {}
        # By service and endpoint; computed again when the table or `_refused` changes.
        self._owned: dict[str, dict[str, list[KeyRange]]] = {}
        self._history: dict[str, collections.deque[StoredTable]] = {}
        self.on_table_change: Callable[[StoredTable], None] = lambda stored: None
        # Source of the measured demand, set by `FleetTask`.
        self.demand_of: Callable[[str], dict[int, int]] = lambda service: {}
        self.stopping = False

    # Updates of tables and endpoints.

    def update_tables(self, now: float) -> None:
        """Adopt the tables in this instance's copy of the store."""
        for name, item in self._copy.objects.items():
            parsed = parse_table_name(name)
            # A restored table of an earlier era may have been overtaken by a lost one.
            if parsed is None or parsed[1] != item.revision.era:
                continue
            service = parsed[0]
            previous = self.tables.get(service)
            if previous is not None and previous.revision >= item.revision:
                continue
            try:
                table = msgspec.convert(item.spec, KeyTable)
                table.check()
            except (msgspec.ValidationError, ValueError) as exc:
                self._log.write_rate_limited(
                    "key_table_malformed", service=service, detail=str(exc)
                )
                continue
            self.adopt_table(StoredTable(table, item.revision), now)

    def adopt_table(self, stored: StoredTable, now: float) -> None:
        """Put a table in force unless the same or a later revision already is."""
        service = stored.table.service
        previous = self.tables.get(service)
        if previous is not None and previous.revision >= stored.revision:
            return
        self._copy.era.advance(stored.revision.era, "table")
        self._track_changes(previous, stored.table, stored.revision, now)
        self.tables[service] = stored
        self._owned.pop(service, None)
        history = self._history.setdefault(
            service, collections.deque(maxlen=TABLE_HISTORY_LENGTH)
        )
        if previous is not None:
            history.append(previous)
        self._fleet.applied[service] = stored.revision
        self.on_table_change(stored)

    def table_reply(self, request: TableRequest) -> TableTransfer | TableChanged | None:
        """Return the changes since the requester's table, or the whole table.

        Returns None if this instance has no table of the service.
        """
        stored = self.tables.get(request.service)
        if stored is None:
            return None
        for base in self._history.get(request.service, ()):
            if base.revision == request.revision:
                return _changes_between(base, stored)
        return TableTransfer(stored.table, stored.revision)

    def latest_changes(self, service: str) -> TableChanged | None:
        """Return the changes of the latest table since the one before, if any."""
        history = self._history.get(service)
        return _changes_between(history[-1], self.tables[service]) if history else None

    def resolve_changes(self, message: TableChanged) -> StoredTable | None:
        """Return the table with a peer's changes applied.

        Returns None if the changes are relative to another revision or inconsistent.
        """
        base = self.tables.get(message.service)
        if base is None or base.revision != message.base:
            return None
        try:
            table = base.table.with_changes(message.next_token, message.ranges)
        except ValueError as exc:
            self._log.write(
                "key_table_malformed", service=message.service, detail=str(exc)
            )
            return None
        return StoredTable(table, message.revision)

    def _track_changes(
        self,
        previous: StoredTable | None,
        table: KeyTable,
        revision: StorePoint,
        now: float,
    ) -> None:
        before = (
            {key_range.grant_id for key_range in previous.table.ranges}
            if previous
            else set()
        )
        for key_range in table.ranges:
            if (
                key_range.endpoint
                and not key_range.leaving
                and key_range.grant_id not in before
            ):
                self._assigned_at[key_range.endpoint] = now
        current = {key_range.grant_id for key_range in table.ranges}
        for grant in before - current:
            self._granted.discard(grant)
            self._refused.pop(grant, None)
            self._withdrawn.discard(grant)
            self._not_held_until.pop(grant, None)
        self._log.write(
            "key_table",
            service=table.service,
            era=revision.era,
            revision=revision.number,
            ranges=len(table.ranges),
            leaving=sum(key_range.leaving for key_range in table.ranges),
        )

    def update_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Replace the listed endpoints."""
        self.endpoints = endpoints
        self._granter_groups = {}
        for endpoint in endpoints.values():
            groups = self._granter_groups.setdefault(endpoint.service, set())
            groups.add(granter_group(endpoint))
        self._remembered.update(endpoints)
        for name in self._renewed.keys() - endpoints.keys():
            del self._renewed[name]
        while len(self._remembered) > MAX_REMEMBERED_ENDPOINTS:
            del self._remembered[next(iter(self._remembered))]

    def find(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains a key; None without a table."""
        stored = self.tables.get(service)
        return None if stored is None else stored.table.find(key)

    def endpoint_for(self, service: str, key: int, now: float) -> str | None:
        """Return the endpoint that requests for a key may be sent to, if any."""
        key_range = self.find(service, key)
        if (
            key_range is None
            or not key_range.endpoint
            or key_range.grant_id in self._withdrawn
        ):
            return None
        if self._not_held_until.get(key_range.grant_id, 0.0) > now:
            return None
        return key_range.endpoint if self.find_owner(key_range) is not None else None

    def unowned_seconds(self, service: str, key: int, now: float) -> float:
        """Return how long a key certainly stays without an owner; 0 if not known.

        In a new era of the store an endpoint may hold it that is not known.
        """
        key_range = self.find(service, key)
        if key_range is None or key_range.endpoint or not self._fleet.era:
            return 0.0
        until = self._fleet.earlier_grants_until(now, key_range.unowned_since)
        return max(0.0, lease_expiry(until) - now)

    def owners(self) -> set[str]:
        """Return the endpoints that own keys by the tables in force."""
        tables = self.tables.values()
        return {r.endpoint for stored in tables for r in stored.table.ranges}

    def find_owner(self, key_range: KeyRange) -> Endpoint | None:
        """Return the owner of a range, even if it is no longer listed."""
        endpoint = self._remembered.get(key_range.endpoint)
        if endpoint is None or endpoint.started_ms != key_range.started_ms:
            return None
        return endpoint

    def last_listed(self, name: str) -> Endpoint | None:
        """Return the last process that was listed under an identifier, if any."""
        return self._remembered.get(name)

    def withdraw(self, key_range: KeyRange) -> None:
        """Stop sending requests for the keys of a range that is being released."""
        self._withdrawn.add(key_range.grant_id)

    def mark_not_held(self, service: str, key: int) -> None:
        """Record that the owner of a key answered that it does not hold the key.

        Stops sending requests for the key's range. The stop is temporary unless the
        range is leaving, because a new owner may not have received its grant yet.
        """
        key_range = self.find(service, key)
        if key_range is None:
            return
        if key_range.leaving:
            self._withdrawn.add(key_range.grant_id)
        else:
            now = asyncio.get_running_loop().time()
            self._not_held_until[key_range.grant_id] = now + NOT_HELD_PAUSE_SECONDS

    # Renewals.

    def tick(self, partitioned_services: list[str], now: float) -> None:
        """Renew the leases that are due; called periodically."""
        if self.stopping:
            return
        for service in partitioned_services:
            stored = self.tables.get(service)
            if stored and self._fleet.may_grant_by(stored.revision.era, now):
                self._renew_due(service, now)

    def _renew_due(self, service: str, now: float) -> None:
        demand: dict[int, int] | None = None  # Summed once, over all followers.
        for name, key_ranges in self._owned_ranges(service).items():
            endpoint = self.endpoints.get(name)
            if endpoint is None or name in self._grants_in_progress:
                continue
            if not self._is_due(endpoint, now):
                continue
            due = [r for r in key_ranges if r.started_ms == endpoint.started_ms]
            if len(due) > 1 and any(r.grant_id not in self._granted for r in due):
                demand = self.demand_of(service) if demand is None else demand
                due = grant_order(due, self._granted, demand)
            if due:
                self._spawn(self._grant(endpoint, due))

    def _owned_ranges(self, service: str) -> dict[str, list[KeyRange]]:
        """Return the ranges to renew by endpoint, from the table in force."""
        known = self._owned.get(service)
        if known is not None:
            return known
        by_endpoint = self._owned[service] = {}
        stored = self.tables.get(service)
        for key_range in stored.table.ranges if stored is not None else ():
            if (
                key_range.endpoint
                and not key_range.leaving
                and key_range.grant_id not in self._refused
            ):
                by_endpoint.setdefault(key_range.endpoint, []).append(key_range)
        return by_endpoint

    def _is_due(self, endpoint: Endpoint, now: float) -> bool:
        renewed_at = self._renewed.get(endpoint.id, -1e9)
        assigned = self._assigned_at.get(endpoint.id, -1e9)
        due, pause = renewed_at + RENEW_INTERVAL_SECONDS, TAKEOVER_DELAY_SECONDS / 2
        if renewed_at < assigned:
            # Earlier grants do not include the new ranges, which have no owner yet.
            due, pause = assigned, min(pause, now - assigned)
        if now < due or self._orders.tried_within(endpoint.id, pause, now):
            return False
        rank = self._fleet.rank_for(endpoint, now)
        return rank <= MAX_TAKEOVER_RANK and now >= due + rank * TAKEOVER_DELAY_SECONDS

    def is_granter_or_standby(self, now: float) -> bool:
        """Return whether this instance renews leases or is the standby for it.

        Only these instances need the right to grant.
        """
        return any(
            self._fleet.rank_in(group, now) <= MAX_STANDBY_RANK
            for service in self.tables
            for group in self._granter_groups.get(service, ())
        )

    def record_renewals(self, report: PeerReport, received_at: float) -> None:
        """Record the lease renewals in another instance's report."""
        for endpoint, lease in report.leases.items():
            if lease.renewed_age >= 0:
                self._record_renewal(endpoint, received_at - lease.renewed_age)

    def _record_renewal(self, endpoint: str, renewed_at: float) -> None:
        if renewed_at > self._renewed.get(endpoint, -1e9):
            self._renewed[endpoint] = renewed_at

    async def _grant(self, endpoint: Endpoint, key_ranges: list[KeyRange]) -> None:
        loop = asyncio.get_running_loop()
        self._grants_in_progress.add(endpoint.id)
        first_started_at: float | None = None
        complete = True
        try:
            for key_range in key_ranges:
                if not self._may_renew(key_range):
                    continue
                started_at = loop.time()
                response = await self._orders.grant(
                    endpoint,
                    key_range,
                    functools.partial(self._may_renew, key_range),
                )
                if response is None:
                    return
                self._handle_grant_reply(endpoint, key_range, response)
                complete = complete and response.status == 200
                first_started_at = (
                    started_at if first_started_at is None else first_started_at
                )
            if complete and first_started_at is not None:
                self._orders.record_renewal(endpoint.id, first_started_at)
                self._record_renewal(endpoint.id, first_started_at)
        finally:
            self._grants_in_progress.discard(endpoint.id)

    def _may_renew(self, key_range: KeyRange) -> bool:
        return not self.stopping and self.may_grant(key_range)

    def refused_grants(self, now: float) -> tuple[GrantId, ...]:
        """Return the grants that endpoints have refused for some time.

        In the first era there is a later table then, but a table of a later era may
        name tokens that are lower than what the store has lost.
        """
        if not self._fleet.era:
            return ()
        return tuple(
            grant
            for grant, since in self._refused.items()
            if now - since >= REFUSED_SECONDS
        )[:MAX_REPORTED_REFUSALS]

    def may_grant(self, key_range: KeyRange) -> bool:
        """Return whether a range is in force and this instance may grant it."""
        now = asyncio.get_running_loop().time()
        stored = next(
            (s for s in self.tables.values() if key_range in s.table.ranges), None
        )
        if stored is None:
            return False
        return self._fleet.may_grant_by(stored.revision.era, now)

    def _handle_grant_reply(
        self, endpoint: Endpoint, key_range: KeyRange, response: HttpResponse
    ) -> None:
        if response.status == 200:
            if key_range.grant_id not in self._granted:
                self._granted.add(key_range.grant_id)
                self._log.write(
                    "keys_granted",
                    endpoint=endpoint.id,
                    first=key_range.first,
                    last=key_range.last,
                    token=key_range.token,
                    handover=bool(key_range.handover),
                )
            return
        self._log.write(
            "grant_refused",
            endpoint=endpoint.id,
            first=key_range.first,
            last=key_range.last,
            token=key_range.token,
            status=response.status,
        )
        if response.status == 409:
            # The endpoint has seen a higher token, so the store has a later table.
            now = asyncio.get_running_loop().time()
            self._refused.setdefault(key_range.grant_id, now)
            self._owned.clear()
            self._copy.relist()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _changes_between(base: StoredTable, stored: StoredTable) -> TableChanged:
    return TableChanged(
        stored.table.service,
        base.revision,
        stored.revision,
        stored.table.next_token,
        stored.table.changes_since(base.table),
    )
