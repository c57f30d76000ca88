"""Moves keys between endpoints: the planner's part of ownership.

Invariants: a range gets another owner only on a proof (see `key_planner`); the table
that says so is in the store before anybody grants by it.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine

import msgspec

from arbutusflow.domain.errors import ConflictError, PlatformError
from arbutusflow.gateway import key_planner
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.fleet import FLEET_KIND, TABLE_PREFIX, Fleet
from arbutusflow.gateway.key_leases import KeyLeases
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import (
    GrantId,
    KeyRange,
    KeyTable,
    StoredTable,
    lease_end,
)
from arbutusflow.gateway.model import Endpoint
from arbutusflow.gateway.peers import PeerReports
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoreClient, StoredObject

# The endpoints of a service register one after the other when all start.
SETTLE_SECONDS = 0.6
RELEASE_PAUSE_SECONDS = 0.3
# A move that waits this long for instances is given up: a table reaches all within a
# second, and the lease of its keys lasts a second more.
RETURN_SECONDS = 1.8
# A move that is known to have to wait this long for a lease is given up at once.
LONG_WAIT_SECONDS = 1.0
WAIT_REPORT_SECONDS = 1.0
# Each write of a table costs every instance a call. Demand is reported once a second.
BALANCE_SECONDS = 1.0


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


class KeyMoves:
    """Plans of the services whose planner this instance is."""

    def __init__(
        self,
        fleet: Fleet,
        copy: ObjectCopy,
        store: StoreClient,
        peers: PeerReports,
        leases: KeyLeases,
        orders: KeyOrders,
        log: EventLog,
    ) -> None:
        self._fleet = fleet
        self._copy = copy
        self._store = store
        self._peers = peers
        self._leases = leases
        self._orders = orders
        self._log = log
        self._departures: dict[tuple[str, GrantId], _Departure] = {}
        self._writing: set[str] = set()
        self._balanced_at: dict[str, float] = {}
        self._settling: dict[str, tuple[frozenset[str], float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._rng = random.Random()
        self.loads_of: Callable[[str], dict[int, float]] = lambda service: {}
        self.capacities_of: Callable[[str], dict[str, float]] = lambda service: {}
        self.knows_demand: Callable[[str], bool] = lambda service: True

    def note_table(self, stored: StoredTable, now: float) -> None:
        """Follow the departures of a table from when it is first known.

        Every instance does so, because any may become the planner.
        """
        prefix = stored.table.service
        current = {part.grant for part in stored.table.ranges if part.leaving}
        for key in [k for k in self._departures if k[0] == prefix]:
            if key[1] not in current:
                del self._departures[key]
        for grant in current:
            self._departures.setdefault(
                (prefix, grant), _Departure(stored.revision, now)
            )

    def tick(self, keyed_services: list[str], now: float) -> None:
        """Plan the services whose planner this instance is."""
        if not self._fleet.in_touch(now) or not self._fleet.registered:
            return
        for service in keyed_services:
            if service not in self._writing and self._fleet.is_planner(service, now):
                self._plan(service, now)

    def _plan(self, service: str, now: float) -> None:
        endpoints = {
            name: e
            for name, e in self._leases.endpoints.items()
            if e.service == service
        }
        stored = self._leases.tables.get(service)
        if stored is None and not self._has_settled(service, endpoints, now):
            return
        table = stored.table if stored else KeyTable.empty(service)
        if stored is not None:
            self._advance_departures(service, stored, now)
        balance = (
            now - self._balanced_at.get(service, -1e9) >= BALANCE_SECONDS
            and self._fleet.is_settled(now)
            and self.knows_demand(service)
        )
        proofs: dict[KeyRange, str | None] = {}

        def proof_of(part: KeyRange) -> str | None:
            if part not in proofs:
                proofs[part] = self._proof(service, part, now)
            return proofs[part]

        def return_of(part: KeyRange) -> str | None:
            return self._return(service, part, now)

        if not balance and not key_planner.needs_change(
            table, endpoints, proof_of, return_of
        ):
            return
        planned = key_planner.plan(
            table,
            endpoints,
            self.capacities_of(service),
            key_planner.KeyLoads(self.loads_of(service)),
            proof_of,
            return_of,
            balance=balance,
            pinned=self._pinned(endpoints, now) if balance else (),
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
            self._leases.update_tables(loop.time())
        except ConflictError as exc:
            self._log.write("key_table_conflict", service=service)
            if isinstance(exc.current, StoredObject):
                self._copy.adopt(exc.current)
                self._leases.update_tables(loop.time())
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
                (service, part.grant), _Departure(stored.revision, now)
            )
            if self._copy.revision < departure.revision:
                continue  # An instance may have joined before that is not known yet.
            if departure.stopped is None:
                departure.stopped = self._all_stopped(service, departure, now)
            if departure.stopped is None or departure.released is not None:
                continue
            endpoint = self._leases.last_known(part)
            if endpoint is None or departure.releasing or now < departure.retry_at:
                continue
            if self._return(service, part, now) is not None:
                continue
            departure.releasing = True
            self._start(self._release(service, endpoint, part, departure))

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
            self._log.write_rate_limited(
                "keys_wait_for_instance",
                name=instance,
                revision=departure.revision,
                waited_seconds=round(now - departure.seen, 3),
            )

    async def _release(
        self, service: str, endpoint: Endpoint, part: KeyRange, departure: _Departure
    ) -> None:
        loop = asyncio.get_running_loop()
        self._leases.close(part)
        try:
            departure.released = await self._orders.release(endpoint, part)
        finally:
            departure.releasing = False
            departure.retry_at = loop.time() + RELEASE_PAUSE_SECONDS
        if departure.released is None:
            return
        self._log.write(
            "keys_released",
            endpoint=endpoint.id,
            first=part.first,
            last=part.last,
            token=part.token,
        )
        self.tick([service], loop.time())

    def _proof(self, service: str, part: KeyRange, now: float) -> str | None:
        """Return the handover if the range may move, None if it may not."""
        departure = self._departures.get((service, part.grant))
        if departure is None or departure.stopped is None:
            return None
        sent, unanswered = self._latest_grants(service, part.endpoint, departure, now)
        if departure.released is not None and now >= lease_end(unanswered):
            return departure.released
        if now >= lease_end(max(sent, unanswered)):
            return ""
        return None

    def _return(self, service: str, part: KeyRange, now: float) -> str | None:
        """Return the handover if a range should go back to its owner for now.

        Its lease would lapse otherwise while a silent instance, or a grant without an
        answer, is waited for.
        """
        departure = self._departures.get((service, part.grant))
        if departure is None:
            return None
        owner = self._leases.endpoints.get(part.endpoint)
        if owner is None or owner.draining or owner.started_ms != part.started_ms:
            return None
        if departure.stopped is None:
            return "" if now - departure.seen >= RETURN_SECONDS else None
        if departure.releasing:
            return None
        _, unanswered = self._latest_grants(service, part.endpoint, departure, now)
        waits = lease_end(unanswered) - now
        return (departure.released or "") if waits >= LONG_WAIT_SECONDS else None

    def _pinned(self, endpoints: dict[str, Endpoint], now: float) -> set[str]:
        """Return the endpoints whose keys could not move soon.

        A grant without an answer may take effect there until its lease has ended.
        """
        result = set()
        for name in endpoints:
            _, latest = self._orders.last_grants(name, now)
            for record in self._fleet.others():
                if self._fleet.heard_at(record) is not None:
                    peer = self._peers.peers[record.name]
                    latest = max(latest, peer.last_grants(name)[1])
            if now < lease_end(latest):
                result.add(name)
        return result

    def _latest_grants(
        self, service: str, endpoint: str, departure: _Departure, now: float
    ) -> tuple[float, float]:
        """Return when any instance last sent a grant, and one without an answer."""
        sent, unanswered = self._orders.last_grants(endpoint, now)
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
