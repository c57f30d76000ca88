"""Model of a partitioned service under load, without network and clock.

Each step, callers send random requests by key, endpoints serve as many as they can,
and the planner moves keys by the demand that it measures, as `KeyMoves` does: one
write marks ranges once per second, and they have new owners `MOVE_SECONDS` later.
Nobody serves a range that is leaving.
"""

import dataclasses
import math
import random
from collections.abc import Callable

from arbutusflow.gateway.key_demand import (
    DECAY_PERIOD_SECONDS,
    KeyDemand,
    sum_reports,
)
from arbutusflow.gateway.key_planner import KeyLoads, plan
from arbutusflow.gateway.key_table import KeyRange, KeyTable
from arbutusflow.gateway.model import KEY_SPACE, Address, Endpoint
from tests.gateway.fakes import FakeLeavingState

STEP_SECONDS = 0.1
PLAN_SECONDS = 1.0
MOVE_SECONDS = 0.4  # Agreement, release, write and grant.
MEAN_SERVICE_SECONDS = 0.23
SLOTS = 2
REPORTING_INSTANCES = 6

# Requests per second by key at a time.
Demand = Callable[[float], dict[int, float]]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a run of the model served, and what its moves cost."""

    served: float  # Share of the requests.
    moved: float  # Keys that changed hands, as a multiple of all keys.
    writes: int  # Of the table.
    ranges: int  # In the last table.


def make_endpoints(count: int) -> dict[str, Endpoint]:
    """Return the endpoints of a service."""
    return {
        f"e{n}": Endpoint(f"e{n}", "s", Address(f"e{n}", 1), "z", SLOTS, False, 0.0, 1)
        for n in range(count)
    }


def uniform_demand(total: float, keys: int, rng: random.Random) -> dict[int, float]:
    """Return a steady demand that is spread over random keys."""
    weights = {rng.randrange(KEY_SPACE): rng.uniform(0.2, 1.8) for _ in range(keys)}
    scale = total / sum(weights.values())
    return {key: weight * scale for key, weight in weights.items()}


def with_hot_set(
    base: dict[int, float], first: int, count: int, share: float
) -> dict[int, float]:
    """Return a demand of which adjacent keys get a share."""
    total = sum(base.values())
    result = {key: rate * (1 - share) for key, rate in base.items()}
    for key in range(first, first + count):
        result[key] = result.get(key, 0.0) + total * share / count
    return result


class KeyLoadModel:
    """Endpoints, the planner and the measured demand of one service."""

    def __init__(self, endpoints: int, demand: Demand, seed: int) -> None:
        self.rng = random.Random(seed)
        self.demand = demand
        self.endpoints = make_endpoints(endpoints)
        speeds = [0.6, 1.0, 1.4]
        self.capacity = {
            name: SLOTS / MEAN_SERVICE_SECONDS * self.rng.choice(speeds)
            for name in self.endpoints
        }
        self.table = plan(
            KeyTable.empty("s"),
            self.endpoints,
            self.capacity,
            KeyLoads({}),
            FakeLeavingState(),
            balance=False,
        )
        self._demands = [KeyDemand() for _ in range(REPORTING_INSTANCES)]
        self._leaving_since: dict[KeyRange, float] = {}
        self._served = self._sent = self._moved = 0.0
        self._writes = 0

    def run(self, seconds: float) -> Outcome:
        """Play the demand and return its outcome."""
        steps = round(seconds / STEP_SECONDS)
        for step in range(steps):
            now = step * STEP_SECONDS
            self._serve(self.demand(now))
            if step % round(DECAY_PERIOD_SECONDS / STEP_SECONDS) == 0:
                for measured in self._demands:
                    measured.decay()
            self._plan(now, balance=step % round(PLAN_SECONDS / STEP_SECONDS) == 0)
        return Outcome(
            self._served / self._sent,
            self._moved / KEY_SPACE,
            self._writes,
            len(self.table.ranges),
        )

    def _serve(self, demand: dict[int, float]) -> None:
        by_endpoint = dict.fromkeys(self.endpoints, 0)
        for key, rate in demand.items():
            count = self._poisson(rate * STEP_SECONDS)
            if not count:
                continue
            self._sent += count
            for _ in range(count):
                self.rng.choice(self._demands).count("s", key)
            key_range = self.table.find(key)
            if not key_range.leaving:
                by_endpoint[key_range.endpoint] += count
        for name, count in by_endpoint.items():
            # Requests above the capacity find the queue full.
            self._served += min(count, self.capacity[name] * STEP_SECONDS + SLOTS)

    def _poisson(self, mean: float) -> int:
        limit, count, product = math.exp(-mean), 0, self.rng.random()
        while product > limit:
            count += 1
            product *= self.rng.random()
        return count

    def _plan(self, now: float, *, balance: bool) -> None:
        if not balance and not any(r.leaving for r in self.table.ranges):
            return
        loads = KeyLoads(sum_reports(d.report("s") for d in self._demands))
        planned = plan(
            self.table,
            self.endpoints,
            self.capacity,
            loads,
            FakeLeavingState(lambda key_range: self._handover(key_range, now)),
            balance=balance,
        )
        if planned == self.table:
            return
        planned.check()
        self._writes += 1
        before = {r.grant_id for r in self.table.ranges}
        for key_range in planned.ranges:
            if key_range.leaving and key_range not in self._leaving_since:
                self._leaving_since[key_range] = now
            elif not key_range.leaving and key_range.grant_id not in before:
                old = self.table.find(key_range.first)
                if old.endpoint != key_range.endpoint:
                    self._moved += key_range.key_count
        self.table = planned

    def _handover(self, key_range: KeyRange, now: float) -> str | None:
        since = self._leaving_since.get(key_range)
        return "h" if since is not None and now - since >= MOVE_SECONDS else None
