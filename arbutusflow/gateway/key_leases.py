"""Key tables in force, who holds a key, and the renewal of leases.

Invariant: a grant is sent only for a range that the table in the store names as
owned and not leaving, and only while `Fleet.may_grant` holds.
"""

import asyncio
import collections
from collections.abc import Callable, Coroutine

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import (
    DUTY_RANK,
    TABLE_PREFIX,
    Fleet,
    GranterGroup,
    granter_group,
)
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import GrantId, KeyRange, KeyTable, StoredTable
from arbutusflow.gateway.model import Answer, Endpoint
from arbutusflow.gateway.peers import (
    PeerReport,
    TableAsked,
    TableChanged,
    TableTold,
)
from arbutusflow.gateway.store_watch import ObjectCopy

RENEW_SECONDS = 1.0  # Three renewals may fail before a lease ends.
# The next instance in line takes over when a renewal is late by this much.
TAKE_OVER_SECONDS = 0.4
# Instances further down the line never do: in a large fleet they hear of renewals late,
# and would all renew at once.
MAX_TAKE_OVER_RANK = 5
# An owner that was just granted a key gets the grant within some milliseconds.
GRANT_WAIT_SECONDS = 0.03
# Tables of a service that changes can be told against. A table of 65 endpoints has
# 8 kB in 78 ranges, a change some hundred bytes.
KEPT_TABLES = 12
MAX_FORMER_ENDPOINTS = 4096  # Bounds the memory for endpoints that have gone.


class KeyLeases:
    """Keys of all partitioned services."""

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
        # When any instance is known to have renewed an endpoint's leases.
        self._renewed: dict[str, float] = {}
        self._granting: set[str] = set()
        self._granted: set[GrantId] = set()
        self._refused: set[GrantId] = set()
        self._not_held: dict[GrantId, float] = {}
        self._closed: set[GrantId] = set()
        self._changed_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.endpoints: dict[str, Endpoint] = {}
        self._groups: dict[str, set[GranterGroup]] = {}  # By service.
        self._former: dict[str, Endpoint] = {}  # Also those that are listed no more.
        self.tables: dict[str, StoredTable] = {}
        self._earlier: dict[str, collections.deque[StoredTable]] = {}
        self.on_table: Callable[[StoredTable], None] = lambda stored: None
        self.stopping = False

    # State that arrives.

    def update_tables(self, now: float) -> None:
        """Take over the tables that the store holds."""
        for name, item in self._copy.objects.items():
            if not name.startswith(TABLE_PREFIX):
                continue
            service = name.removeprefix(TABLE_PREFIX)
            known = self.tables.get(service)
            if known is not None and known.revision >= item.revision:
                continue
            try:
                table = msgspec.convert(item.spec, KeyTable)
                table.check()
            except (msgspec.ValidationError, ValueError) as exc:
                self._log.write("key_table_malformed", service=service, detail=str(exc))
                continue
            self.adopt_table(StoredTable(table, item.revision), now)

    def adopt_table(self, stored: StoredTable, now: float) -> None:
        """Go by a table unless a later one is known."""
        service = stored.table.service
        known = self.tables.get(service)
        if known is not None and known.revision >= stored.revision:
            return
        self._note_changes(known, stored.table, stored.revision, now)
        self.tables[service] = stored
        earlier = self._earlier.setdefault(
            service, collections.deque(maxlen=KEPT_TABLES)
        )
        if known is not None:
            earlier.append(known)
        self._fleet.applied[service] = stored.revision
        self.on_table(stored)

    def answer(self, question: TableAsked) -> TableTold | TableChanged | None:
        """Return what an instance that is behind needs to go by the latest table."""
        stored = self.tables.get(question.service)
        if stored is None:
            return None
        for base in self._earlier.get(question.service, ()):
            if base.revision == question.revision:
                return TableChanged(
                    question.service,
                    base.revision,
                    stored.revision,
                    stored.table.next_token,
                    stored.table.changes_since(base.table),
                )
        return TableTold(stored.table, stored.revision)

    def changed_table(self, message: TableChanged) -> StoredTable | None:
        """Return the table that the changes lead to, None if they do not fit."""
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

    def _note_changes(
        self, known: StoredTable | None, table: KeyTable, revision: int, now: float
    ) -> None:
        before = (
            {key_range.grant_id for key_range in known.table.ranges} if known else set()
        )
        for key_range in table.ranges:
            if (
                key_range.endpoint
                and not key_range.leaving
                and key_range.grant_id not in before
            ):
                self._changed_at[key_range.endpoint] = now
        current = {key_range.grant_id for key_range in table.ranges}
        for grant in before - current:
            self._granted.discard(grant)
            self._refused.discard(grant)
            self._closed.discard(grant)
            self._not_held.pop(grant, None)
        self._log.write(
            "key_table",
            service=table.service,
            revision=revision,
            ranges=len(table.ranges),
            leaving=sum(key_range.leaving for key_range in table.ranges),
        )

    def update_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Take over the endpoints that the store lists."""
        self.endpoints = endpoints
        self._groups = {}
        for endpoint in endpoints.values():
            groups = self._groups.setdefault(endpoint.service, set())
            groups.add(granter_group(endpoint))
        self._former.update(endpoints)
        for name in self._renewed.keys() - endpoints.keys():
            del self._renewed[name]
        while len(self._former) > MAX_FORMER_ENDPOINTS:
            del self._former[next(iter(self._former))]

    def find(self, service: str, key: int) -> KeyRange | None:
        """Return the range of a key."""
        stored = self.tables.get(service)
        return None if stored is None else stored.table.find(key)

    def endpoint_for(self, service: str, key: int, now: float) -> str | None:
        """Return the endpoint to which requests for a key may be sent."""
        key_range = self.find(service, key)
        if (
            key_range is None
            or not key_range.endpoint
            or key_range.grant_id in self._closed
        ):
            return None
        if self._not_held.get(key_range.grant_id, 0.0) > now:
            return None
        return key_range.endpoint if self.last_known(key_range) is not None else None

    def last_known(self, key_range: KeyRange) -> Endpoint | None:
        """Return the owner of a range, also if it is listed no more."""
        endpoint = self._former.get(key_range.endpoint)
        if endpoint is None or endpoint.started_ms != key_range.started_ms:
            return None
        return endpoint

    def close(self, key_range: KeyRange) -> None:
        """Send no more requests for the keys of a range that is being released."""
        self._closed.add(key_range.grant_id)

    def mark_not_held(self, service: str, key: int) -> None:
        """Send no more requests for a key whose owner does not hold it.

        An owner that was just granted the key may not have the grant yet.
        """
        key_range = self.find(service, key)
        if key_range is None:
            return
        if key_range.leaving:
            self._closed.add(key_range.grant_id)
        else:
            now = asyncio.get_running_loop().time()
            self._not_held[key_range.grant_id] = now + GRANT_WAIT_SECONDS

    # Renewals.

    def tick(self, keyed_services: list[str], now: float) -> None:
        """Renew the leases that are due."""
        if not self.stopping and self._fleet.may_grant(now):
            for service in keyed_services:
                self._renew_due(service, now)

    def _renew_due(self, service: str, now: float) -> None:
        stored = self.tables.get(service)
        if stored is None:
            return
        by_endpoint: dict[str, list[KeyRange]] = {}
        for key_range in stored.table.ranges:
            if (
                key_range.endpoint
                and not key_range.leaving
                and key_range.grant_id not in self._refused
            ):
                by_endpoint.setdefault(key_range.endpoint, []).append(key_range)
        for name, parts in by_endpoint.items():
            endpoint = self.endpoints.get(name)
            if endpoint is None or endpoint.started_ms != parts[0].started_ms:
                continue
            if name not in self._granting and self._is_due(endpoint, now):
                self._start(self._grant(endpoint, parts))

    def _is_due(self, endpoint: Endpoint, now: float) -> bool:
        renewed = self._renewed.get(endpoint.id, -1e9)
        changed = self._changed_at.get(endpoint.id, -1e9)
        due = changed if renewed < changed else renewed + RENEW_SECONDS
        if now < due:
            return False
        if self._orders.is_recent(endpoint.id, TAKE_OVER_SECONDS / 2, now):
            return False
        rank = self._fleet.rank_for(endpoint, now)
        return rank <= MAX_TAKE_OVER_RANK and now >= due + rank * TAKE_OVER_SECONDS

    def has_duty(self, now: float) -> bool:
        """Return whether this instance renews leases, or does so next.

        The others need no right to grant until they move up.
        """
        return any(
            self._fleet.rank_in(group, now) <= DUTY_RANK
            for service in self.tables
            for group in self._groups.get(service, ())
        )

    def note_renewals(self, report: PeerReport, heard: float) -> None:
        """Learn which leases another instance has renewed."""
        for endpoint, lease in report.leases.items():
            if lease.renewed_age >= 0:
                self._note_renewal(endpoint, heard - lease.renewed_age)

    def _note_renewal(self, endpoint: str, renewed: float) -> None:
        if renewed > self._renewed.get(endpoint, -1e9):
            self._renewed[endpoint] = renewed

    async def _grant(self, endpoint: Endpoint, parts: list[KeyRange]) -> None:
        loop = asyncio.get_running_loop()
        self._granting.add(endpoint.id)
        first_begun: float | None = None
        complete = True
        try:
            for key_range in parts:
                if not self._still_granted(key_range, loop.time()):
                    continue
                begun = loop.time()
                answer = await self._orders.grant(endpoint, key_range)
                if answer is None:
                    return
                self._note_grant(endpoint, key_range, answer)
                complete = complete and answer.status == 200
                first_begun = begun if first_begun is None else first_begun
            if complete and first_begun is not None:
                self._orders.note_renewed(endpoint.id, first_begun)
                self._note_renewal(endpoint.id, first_begun)
        finally:
            self._granting.discard(endpoint.id)

    def _still_granted(self, key_range: KeyRange, now: float) -> bool:
        stored = next(
            (s for s in self.tables.values() if key_range in s.table.ranges), None
        )
        return stored is not None and self._fleet.may_grant(now) and not self.stopping

    def _note_grant(
        self, endpoint: Endpoint, key_range: KeyRange, answer: Answer
    ) -> None:
        if answer.status == 200:
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
            status=answer.status,
        )
        if answer.status == 409:
            # A later token is in use, so a later table is in the store.
            self._refused.add(key_range.grant_id)
            self._copy.read_again()

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
