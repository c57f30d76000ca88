"""Grants keys to endpoints, renews the leases and takes keys back.

Invariants: a grant is sent only for a range that the table in the store names as
owned and not leaving, and only while `Fleet.may_grant` holds; a range is given to
another owner only on a proof (see `key_planner`).
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine

import msgspec

from arbutusflow.domain.errors import ConflictError, PlatformError
from arbutusflow.gateway import key_planner
from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import FLEET_KIND, TABLE_PREFIX, Fleet
from arbutusflow.gateway.key_table import (
    LEASE_SECONDS,
    KeyRange,
    KeyTable,
    StoredTable,
    lease_end,
)
from arbutusflow.gateway.model import Answer, Endpoint, ExchangeError
from arbutusflow.gateway.peers import LeaseReport, PeerReport, PeerReports
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform import wire
from arbutusflow.platform.store import StoreClient, StoredObject

RENEW_SECONDS = 1.0  # Three renewals may fail before a lease ends.
# The next instance in line takes over when a renewal is late by this much.
TAKE_OVER_SECONDS = 0.4
MAX_TAKE_OVER_RANK = 5
ORDER_SECONDS = 0.8  # An endpoint answers a grant in milliseconds.
RELEASE_SECONDS = 2.5  # A release is answered when the running work has ended.
# The endpoints of a service register one after the other when all start.
SETTLE_SECONDS = 0.6
RELEASE_PAUSE_SECONDS = 0.3
WAIT_REPORT_SECONDS = 1.0
# Each write of a table costs every instance a call. Demand is reported once a second.
BALANCE_SECONDS = 1.0
# An owner that was just granted a key gets the grant within some milliseconds.
GRANT_WAIT_SECONDS = 0.03
MAX_FORMER_ENDPOINTS = 4096  # Bounds the memory for endpoints that have gone.


@dataclasses.dataclass(slots=True)
class _Sent:
    """Grants of this instance to one endpoint."""

    last: float = -1e9
    unanswered: float | None = None
    renewed: float | None = None


@dataclasses.dataclass(slots=True)
class _Departure:
    """Progress of taking a range from its owner."""

    revision: int  # Of the table in which the range is leaving.
    seen: float
    stopped: float | None = None  # When no instance renewed the range any more.
    releasing: bool = False
    retry_at: float = 0.0
    released: str | None = None  # Handover, which may be empty.
    reported: float = 0.0  # When a wait for an instance was last logged.

    def __post_init__(self) -> None:
        self.reported = self.seen


class KeyLeases:
    """Keys of all partitioned services."""

    def __init__(
        self,
        fleet: Fleet,
        copy: ObjectCopy,
        store: StoreClient,
        peers: PeerReports,
        pool: ConnectionPool,
        log: EventLog,
        lease_seconds: float,
    ) -> None:
        self._fleet = fleet
        self._copy = copy
        self._store = store
        self._peers = peers
        self._pool = pool
        self._log = log
        self._lease_seconds = min(LEASE_SECONDS, lease_seconds)
        self._sent: dict[str, _Sent] = {}
        # When any instance is known to have renewed an endpoint's leases.
        self._renewed: dict[str, float] = {}
        self._granting: set[str] = set()
        self._granted: set[tuple[str, int, int, int]] = set()
        self._refused: set[tuple[str, int, int, int]] = set()
        self._not_held: dict[tuple[str, int, int, int], float] = {}
        self._closed: set[tuple[str, int, int, int]] = set()
        self._changed_at: dict[str, float] = {}
        self._departures: dict[tuple[str, int, int, int], _Departure] = {}
        self._writing: set[str] = set()
        self._balanced_at: dict[str, float] = {}
        self._settling: dict[str, tuple[frozenset[str], float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._keyed: list[str] = []
        self._endpoints: dict[str, Endpoint] = {}
        self._former: dict[str, Endpoint] = {}  # Also those that are listed no more.
        self._rng = random.Random()
        self.tables: dict[str, StoredTable] = {}
        self.loads_of: Callable[[str], dict[int, float]] = lambda service: {}
        self.capacity_of: Callable[[Endpoint], float] = lambda e: float(e.slots)
        # Called with the service when a table with leaving ranges is in force.
        self.on_departures: Callable[[str], None] = lambda service: None
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
        self._fleet.applied[service] = stored.revision
        if any(part.leaving for part in stored.table.ranges):
            self.on_departures(service)

    def _note_changes(
        self, known: StoredTable | None, table: KeyTable, revision: int, now: float
    ) -> None:
        before = {part.grant for part in known.table.ranges} if known else set()
        for part in table.ranges:
            if part.leaving:
                self._departures.setdefault(part.grant, _Departure(revision, now))
            elif part.endpoint and part.grant not in before:
                self._changed_at[part.endpoint] = now
        current = {part.grant for part in table.ranges}
        for grant in before - current:
            self._departures.pop(grant, None)
            self._granted.discard(grant)
            self._refused.discard(grant)
            self._closed.discard(grant)
            self._not_held.pop(grant, None)
        self._log.write(
            "key_table",
            service=table.service,
            revision=revision,
            ranges=len(table.ranges),
            leaving=sum(part.leaving for part in table.ranges),
        )

    def update_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Take over the endpoints that the store lists."""
        self._endpoints = endpoints
        self._former.update(endpoints)
        for name in self._renewed.keys() - endpoints.keys():
            del self._renewed[name]
        while len(self._former) > MAX_FORMER_ENDPOINTS:
            del self._former[next(iter(self._former))]

    def find(self, service: str, key: int) -> KeyRange | None:
        """Return the range of a key."""
        stored = self.tables.get(service)
        return None if stored is None else stored.table.find(key)

    def holder(self, service: str, key: int, now: float) -> str | None:
        """Return the endpoint to which requests for a key may be sent."""
        part = self.find(service, key)
        if part is None or not part.endpoint or part.grant in self._closed:
            return None
        if self._not_held.get(part.grant, 0.0) > now:
            return None
        return part.endpoint if self._last_known(part) is not None else None

    def note_not_held(self, service: str, key: int) -> None:
        """Send no more requests for a key whose owner does not hold it.

        An owner that was just granted the key may not have the grant yet.
        """
        part = self.find(service, key)
        if part is None:
            return
        if part.leaving:
            self._closed.add(part.grant)
        else:
            now = asyncio.get_running_loop().time()
            self._not_held[part.grant] = now + GRANT_WAIT_SECONDS

    # Renewals.

    def tick(self, keyed_services: list[str], now: float) -> None:
        """Do what is due."""
        self._keyed = keyed_services
        if not self.stopping and self._fleet.may_grant(now):
            for service in keyed_services:
                self._renew_due(service, now)
        if self._fleet.in_touch(now) and self._fleet.registered:
            for service in keyed_services:
                if service not in self._writing and self._fleet.is_planner(
                    service, now
                ):
                    self._plan(service, now)

    def _renew_due(self, service: str, now: float) -> None:
        stored = self.tables.get(service)
        if stored is None:
            return
        by_endpoint: dict[str, list[KeyRange]] = {}
        for part in stored.table.ranges:
            if part.endpoint and not part.leaving and part.grant not in self._refused:
                by_endpoint.setdefault(part.endpoint, []).append(part)
        for name, parts in by_endpoint.items():
            endpoint = self._endpoints.get(name)
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
        sent = self._sent.get(endpoint.id)
        if sent is not None and now - sent.last < TAKE_OVER_SECONDS / 2:
            return False
        rank = min(self._fleet.rank_for(endpoint, now), MAX_TAKE_OVER_RANK)
        return now >= due + rank * TAKE_OVER_SECONDS

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
        sent = self._sent.setdefault(endpoint.id, _Sent())
        self._granting.add(endpoint.id)
        complete = True
        try:
            for part in parts:
                if not self._still_granted(part, loop.time()):
                    continue
                begun = loop.time()
                sent.last = begun
                body = wire.encode_grant(
                    part.first,
                    part.last,
                    part.token,
                    self._lease_seconds,
                    part.handover,
                )
                earlier, sent.unanswered = sent.unanswered, begun
                answer = await self._order(
                    endpoint, wire.GRANT_PATH, body, ORDER_SECONDS
                )
                if answer is None:
                    complete = False
                    break
                sent.unanswered = earlier
                self._note_grant(endpoint, part, answer, begun)
                complete = complete and answer.status == 200
            if complete:
                sent.renewed = sent.last
                self._note_renewal(endpoint.id, sent.last)
        finally:
            self._granting.discard(endpoint.id)

    def _still_granted(self, part: KeyRange, now: float) -> bool:
        stored = next((s for s in self.tables.values() if part in s.table.ranges), None)
        return stored is not None and self._fleet.may_grant(now) and not self.stopping

    def _note_grant(
        self, endpoint: Endpoint, part: KeyRange, answer: Answer, begun: float
    ) -> None:
        if answer.status == 200:
            if part.grant not in self._granted:
                self._granted.add(part.grant)
                self._log.write(
                    "keys_granted",
                    endpoint=endpoint.id,
                    first=part.first,
                    last=part.last,
                    token=part.token,
                    handover=bool(part.handover),
                )
            return
        self._log.write(
            "grant_refused",
            endpoint=endpoint.id,
            first=part.first,
            last=part.last,
            token=part.token,
            status=answer.status,
        )
        if answer.status == 409:
            # A later token is in use, so a later table is in the store.
            self._refused.add(part.grant)
            self._copy.read_again()

    async def _order(
        self, endpoint: Endpoint, path: bytes, body: bytes, timeout: float
    ) -> Answer | None:
        """Send an order; None if no answer came."""
        head = (
            b"POST %b HTTP/1.1\r\nHost: %b:%d\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (path, endpoint.address.host.encode(), endpoint.address.port, len(body))
        )
        try:
            async with self._pool.connection(
                endpoint.address,
                at_most_once=False,
                timeout=timeout,
                fresh=path == wire.RELEASE_PATH,
            ) as conn:
                return await conn.exchange(head, body, timeout)
        except ExchangeError as exc:
            self._log.sample(
                "order_unanswered",
                endpoint=endpoint.id,
                path=path.decode(),
                sent=exc.sent,
                detail=exc.detail,
            )
            return None

    def has_unanswered(self, now: float) -> bool:
        """Return whether a grant may still take effect after it got no answer."""
        return bool(self._granting) or any(
            sent.unanswered is not None and now < lease_end(sent.unanswered)
            for sent in self._sent.values()
        )

    def lease_reports(self, now: float) -> dict[str, LeaseReport]:
        """Return what the others need to know about our grants."""
        reports = {}
        for name, sent in self._sent.items():
            if now > lease_end(max(sent.last, sent.unanswered or -1e9)) + RENEW_SECONDS:
                continue
            reports[name] = LeaseReport(
                round(now - sent.last, 3),
                -1.0 if sent.unanswered is None else round(now - sent.unanswered, 3),
                -1.0 if sent.renewed is None else round(now - sent.renewed, 3),
            )
        return reports

    # Planning.

    def _plan(self, service: str, now: float) -> None:
        endpoints = {
            name: e for name, e in self._endpoints.items() if e.service == service
        }
        stored = self.tables.get(service)
        if stored is None and not self._has_settled(service, endpoints, now):
            return
        table = stored.table if stored else KeyTable.empty(service)
        if stored is not None:
            self._advance_departures(service, stored, now)
        balance = now - self._balanced_at.get(
            service, -1e9
        ) >= BALANCE_SECONDS and self._fleet.is_settled(now)
        proofs: dict[KeyRange, str | None] = {}

        def proof_of(part: KeyRange) -> str | None:
            if part not in proofs:
                proofs[part] = self._proof(service, part, now)
            return proofs[part]

        if not balance and not key_planner.needs_change(table, endpoints, proof_of):
            return
        planned = key_planner.plan(
            table,
            endpoints,
            {name: self.capacity_of(e) for name, e in endpoints.items()},
            key_planner.KeyLoads(self.loads_of(service)),
            proof_of,
            balance=balance,
        )
        if balance:
            self._balanced_at[service] = now
        if planned != table and any(part.endpoint for part in planned.ranges):
            self._writing.add(service)
            self._start(self._write(service, planned, stored))

    def _has_settled(
        self, service: str, endpoints: dict[str, Endpoint], now: float
    ) -> bool:
        names = frozenset(name for name, e in endpoints.items() if not e.draining)
        known = self._settling.get(service)
        if known is None or known[0] != names:
            self._settling[service] = (names, now)
            return False
        return bool(names) and now - known[1] >= SETTLE_SECONDS

    async def _write(
        self, service: str, planned: KeyTable, stored: StoredTable | None
    ) -> None:
        loop = asyncio.get_running_loop()
        name = TABLE_PREFIX + service
        spec = msgspec.to_builtins(planned)
        try:
            if stored is None:
                item = await self._store.create(FLEET_KIND, name, spec)
            else:
                item = await self._store.replace(
                    FLEET_KIND, name, spec, stored.revision
                )
            self._copy.adopt(item)
            self.update_tables(loop.time())
        except ConflictError as exc:
            self._log.write("key_table_conflict", service=service)
            if isinstance(exc.current, StoredObject):
                self._copy.adopt(exc.current)
                self.update_tables(loop.time())
            else:
                self._copy.read_again()
        except PlatformError as exc:
            # The write may still take effect; the copy shows whether it did.
            self._log.write("key_table_unwritten", service=service, detail=str(exc))
            self._copy.suspect(str(exc))
            await asyncio.sleep(self._rng.uniform(0.1, 0.3))
        finally:
            self._writing.discard(service)

    # Departures.

    def _advance_departures(
        self, service: str, stored: StoredTable, now: float
    ) -> None:
        for part in stored.table.ranges:
            if not part.leaving:
                continue
            departure = self._departures.setdefault(
                part.grant, _Departure(stored.revision, now)
            )
            if departure.stopped is None:
                departure.stopped = self._all_stopped(service, departure, now)
            if departure.stopped is None or departure.released is not None:
                continue
            endpoint = self._last_known(part)
            if endpoint is None or departure.releasing or now < departure.retry_at:
                continue
            departure.releasing = True
            self._start(self._release(endpoint, part, departure))

    def _last_known(self, part: KeyRange) -> Endpoint | None:
        endpoint = self._former.get(part.endpoint)
        if endpoint is None or endpoint.started_ms != part.started_ms:
            return None
        return endpoint

    def _all_stopped(
        self, service: str, departure: _Departure, now: float
    ) -> float | None:
        # All instances are asked about, because each question may exclude one.
        stops = {
            record.name: self._fleet.stopped_at(
                record, service, departure.revision, departure.seen, now
            )
            for record in self._fleet.others()
        }
        for name, stopped in stops.items():
            if stopped is None:
                self._note_waiting(name, departure, now)
                return None
        return now

    def _note_waiting(self, instance: str, departure: _Departure, now: float) -> None:
        if now - departure.reported >= WAIT_REPORT_SECONDS:
            departure.reported = now
            self._log.sample(
                "keys_wait_for_instance",
                name=instance,
                revision=departure.revision,
                waited_seconds=round(now - departure.seen, 3),
            )

    async def _release(
        self, endpoint: Endpoint, part: KeyRange, departure: _Departure
    ) -> None:
        loop = asyncio.get_running_loop()
        self._closed.add(part.grant)
        body = wire.encode_release(part.first, part.last, part.token)
        answer = await self._order(endpoint, wire.RELEASE_PATH, body, RELEASE_SECONDS)
        departure.releasing = False
        departure.retry_at = loop.time() + RELEASE_PAUSE_SECONDS
        if answer is None or answer.status != 200:
            return
        # An endpoint whose lease has lapsed has nothing to hand over.
        departure.released = (answer.header(wire.HANDOVER) or b"").decode("latin-1")
        self._log.write(
            "keys_released",
            endpoint=endpoint.id,
            first=part.first,
            last=part.last,
            token=part.token,
        )
        self.tick(self._keyed, loop.time())

    def _proof(self, service: str, part: KeyRange, now: float) -> str | None:
        """Return the handover if the range may move, None if it may not."""
        departure = self._departures.get(part.grant)
        if departure is None or departure.stopped is None:
            return None
        sent, unanswered = self._latest_grants(service, part.endpoint, departure, now)
        if departure.released is not None and now >= lease_end(unanswered):
            return departure.released
        if now >= lease_end(max(sent, unanswered)):
            return ""
        return None

    def _latest_grants(
        self, service: str, endpoint: str, departure: _Departure, now: float
    ) -> tuple[float, float]:
        """Return when any instance last sent a grant, and one without an answer."""
        own = self._sent.get(endpoint, _Sent())
        sent, unanswered = own.last, own.unanswered or -1e9
        earlier = self._fleet.earlier_life_until
        sent, unanswered = max(sent, earlier), max(unanswered, earlier)
        for record in self._fleet.others():
            if self._fleet.has_applied(record, service, departure.revision):
                peer = self._peers.peers[record.name]
                last_sent, last_unanswered = peer.last_grants(endpoint)
            else:
                last_sent = self._fleet.last_grant_possible(record, now)
                last_unanswered = last_sent
            sent = max(sent, last_sent)
            unanswered = max(unanswered, last_unanswered)
        # A planned end with an unanswered grant leaves the record in place.
        return max(sent, self._fleet.last_grant_of_departed(endpoint, now)), unanswered

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
