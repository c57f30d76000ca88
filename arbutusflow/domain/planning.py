"""Choice of owners for a whole service, by one instance at a time.

Invariant: the planner assigns units without an owner and names targets; it never
changes an owner. Safety does not depend on there being one planner: its updates
are conditional on the table's version.
"""

import collections

from arbutusflow.domain.configuration import Service
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership_state import TABLE_PREFIX, OwnershipState
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import choose_owners, rebalance, rendezvous
from arbutusflow.domain.records import Proof

# The first assignment waits this long for the other endpoints to answer, so the
# first one does not get every unit; keys are to be served within 3 s.
SETTLE_SECONDS = 1.0
# A quarter of the 256 units of a service may move within a minute.
CHURN_MOVES_PER_MINUTE = 64
MOVES_AT_ONCE = 4  # Requests of few units wait at any moment.
MINUTE_SECONDS = 60.0


class Planner:
    """Assignment and rebalancing of the services that this instance plans."""

    def __init__(self, state: OwnershipState, writer: ObjectWriter) -> None:
        self._state = state
        self._writer = writer
        self._candidates_since: dict[str, float] = {}
        # Table version and weights for which there was nothing to move.
        self._balanced: dict[str, tuple[int, tuple[tuple[str, float], ...]]] = {}
        self._moves: dict[str, collections.deque[float]] = {}

    def tick(self, service: Service, now: float) -> None:
        """Assign units without an owner, and rebalance within the churn budget."""
        state = self._state
        name = TABLE_PREFIX + service.name
        if name not in state.versions:
            self._writer.read((name,), now)
            return
        if state.stopping or self._writer.has_pending_write(name):
            return
        if rendezvous(service.name, state.live_instances()) != state.instance:
            return
        candidates = state.eligible_endpoints(service)
        if not candidates:
            self._candidates_since.pop(service.name, None)
            return
        since = self._candidates_since.setdefault(service.name, now)
        settled = now - since >= SETTLE_SECONDS or (
            len(candidates) == len(service.endpoints)
        )
        if not settled:
            return
        table = state.tables.get(service.name)
        if table is None:
            table = OwnershipTable.empty(service.name, service.partitions)
        unowned = table.unowned()
        if unowned:
            changes = choose_owners(table, unowned, candidates)
            moved: dict[int, tuple[str | None, str]] = {
                unit: (None, owner) for unit, owner in changes.items()
            }
            why = Proof.NEVER_OWNED.value
            self._writer.write_table(table.with_owners(changes), moved, why)
            return
        self._rebalance(service, table, now)

    def _rebalance(self, service: Service, table: OwnershipTable, now: float) -> None:
        candidates = self._state.eligible_endpoints(service)
        weights = tuple((item.name, item.weight) for item in candidates)
        version = self._state.versions[TABLE_PREFIX + service.name]
        if self._balanced.get(service.name) == (version, weights):
            return
        recent = self._moves.setdefault(service.name, collections.deque())
        while recent and now - recent[0] >= MINUTE_SECONDS:
            recent.popleft()
        under_way = len(table.planned_moves())
        limit = min(CHURN_MOVES_PER_MINUTE - len(recent), MOVES_AT_ONCE - under_way)
        if limit <= 0:
            return
        moves: dict[int, str | None] = {}
        moves.update(rebalance(table, candidates, limit))
        if moves:
            recent.extend([now] * len(moves))
            self._writer.write_table(table.with_targets(moves))
        elif not under_way:
            self._balanced[service.name] = (version, weights)
