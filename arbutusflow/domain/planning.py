"""Assignment and rebalancing of a service's units, by one instance at a time.

Invariant: the planner assigns owners to unowned units and sets targets of owned
units; it never changes an existing owner. Safety does not depend on there being a
single planner, because its updates are conditional on the table version.
"""

import collections

from arbutusflow.domain.configuration import Service
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership_state import TABLE_PREFIX, OwnershipState
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import choose_owners, rebalance, rendezvous
from arbutusflow.domain.records import Proof

# The first assignment waits this long for the other endpoints to answer. Otherwise
# the first endpoint would get all units. Keys must be served within 3 s.
INITIAL_ASSIGNMENT_DELAY_SECONDS = 1.0
MAX_MOVES_PER_MINUTE = 64  # A quarter of the 256 units of a service.
MAX_CONCURRENT_MOVES = 4  # Limits the units whose requests wait at once.
MOVE_RATE_WINDOW_SECONDS = 60.0


class Planner:
    """Assigns and rebalances the units of the services that this instance plans."""

    def __init__(self, state: OwnershipState, writer: ObjectWriter) -> None:
        self._state = state
        self._writer = writer
        self._candidates_since: dict[str, float] = {}
        # By service: table version and endpoint weights that needed no moves.
        self._balanced_inputs: dict[str, tuple[int, tuple[tuple[str, float], ...]]] = {}
        self._recent_move_times: dict[str, collections.deque[float]] = {}

    def tick(self, service: Service, now: float) -> None:
        """Assign unowned units of `service`, or rebalance within the move limits."""
        state = self._state
        name = TABLE_PREFIX + service.name
        if name not in state.versions:
            self._writer.request_read((name,), now)
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
        settled = now - since >= INITIAL_ASSIGNMENT_DELAY_SECONDS or (
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
        if self._balanced_inputs.get(service.name) == (version, weights):
            return
        recent_move_times = self._recent_move_times.setdefault(
            service.name, collections.deque()
        )
        while (
            recent_move_times and now - recent_move_times[0] >= MOVE_RATE_WINDOW_SECONDS
        ):
            recent_move_times.popleft()
        moves_in_progress = len(table.planned_moves())
        limit = min(
            MAX_MOVES_PER_MINUTE - len(recent_move_times),
            MAX_CONCURRENT_MOVES - moves_in_progress,
        )
        if limit <= 0:
            return
        moves: dict[int, str | None] = {}
        moves.update(rebalance(table, candidates, limit))
        if moves:
            recent_move_times.extend([now] * len(moves))
            self._writer.write_table(table.with_targets(moves))
        elif not moves_in_progress:
            self._balanced_inputs[service.name] = (version, weights)
