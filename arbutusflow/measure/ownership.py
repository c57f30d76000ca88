"""Unavailability, ownership churn, load imbalance and number of platform calls.

The decision core runs against fakes in simulated time, so all results depend only
on the seed. The seed determines which endpoint a fault hits and at what time
between two lease renewals.
"""

import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Any

import xxhash

from arbutusflow.domain.configuration import Configuration, Endpoint, EndpointState
from arbutusflow.domain.hotkeys import HeavyHitters, HotKeyPolicy, OwnedKeyWeight
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import choose_owners, rendezvous
from arbutusflow.measure.results import Row, at_most
from arbutusflow.measure.world import load_fakes

STEP_SECONDS = 0.02
SETTLE_SECONDS = 5.0
TRIALS_PER_FAULT = 5
LOSS_TARGET_SECONDS = 3.0  # A key must be served again within 3 s of a loss.
PLANNED_CHANGE_TARGET_SECONDS = 0.0
OBSERVATION_SECONDS = 6.0
CHURN_SETTLE_SECONDS = 120.0
CHURN_UNITS = 64
CHURN_ENDPOINTS = 4
IDLE_SECONDS = 60.0

World = Any  # `tests/fakes.py` has no type annotations.


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault to inject.

    `target` is the longest allowed unavailability in seconds. `checks_tokens` is
    true if the endpoints of the deployment check fencing tokens.
    """

    name: str
    inject: Callable[[World, str], None]
    target: float | None
    checks_tokens: bool = True


def _endpoint_exits(world: World, endpoint: str) -> None:
    world.endpoints[endpoint].exit()


def _endpoint_freezes(world: World, endpoint: str) -> None:
    world.endpoints[endpoint].freeze()


def _coordinator_exits(world: World, endpoint: str) -> None:
    world.exit(world.coordinator(endpoint))


def _coordinator_freezes(world: World, endpoint: str) -> None:
    world.pause(world.coordinator(endpoint))


def _coordinator_stops(world: World, endpoint: str) -> None:
    world.stop(world.coordinator(endpoint))


def _endpoint_drains(world: World, endpoint: str) -> None:
    world.configure(with_states(world.cfg, {endpoint: EndpointState.DRAINING}))


def _platform_down(world: World, endpoint: str) -> None:
    world.platform.up = False


def _platform_down_and_coordinator_exits(world: World, endpoint: str) -> None:
    world.platform.up = False
    _coordinator_exits(world, endpoint)


FAULTS = (
    Fault("endpoint exits", _endpoint_exits, LOSS_TARGET_SECONDS),
    Fault("endpoint freezes", _endpoint_freezes, LOSS_TARGET_SECONDS),
    Fault("coordinator exits", _coordinator_exits, LOSS_TARGET_SECONDS),
    Fault("coordinator freezes", _coordinator_freezes, LOSS_TARGET_SECONDS),
    Fault(
        "coordinator exits, no token check",
        _coordinator_exits,
        LOSS_TARGET_SECONDS,
        checks_tokens=False,
    ),
    Fault(
        "coordinator exits during a platform outage",
        _platform_down_and_coordinator_exits,
        LOSS_TARGET_SECONDS,
    ),
    Fault("platform down", _platform_down, PLANNED_CHANGE_TARGET_SECONDS),
    Fault(
        "planned stop of a coordinator",
        _coordinator_stops,
        PLANNED_CHANGE_TARGET_SECONDS,
    ),
    Fault(
        "planned drain of an endpoint", _endpoint_drains, PLANNED_CHANGE_TARGET_SECONDS
    ),
)


def with_states(
    cfg: Configuration, states: dict[str, EndpointState], *added: Endpoint
) -> Configuration:
    """Return the next configuration, with changed states and added endpoints."""
    service = cfg.services[0]
    endpoints = tuple(
        dataclasses.replace(item, state=states.get(item.name, item.state))
        for item in service.endpoints
    )
    service = dataclasses.replace(service, endpoints=(*endpoints, *added))
    return dataclasses.replace(cfg, number=cfg.number + 1, services=(service,))


@dataclasses.dataclass(slots=True)
class Observation:
    """Results of observing one fault.

    `unavailable` is the longest time in seconds for which any unit was not served;
    `second_owners` counts the invariant checks that failed.
    """

    unavailable: float = 0.0
    second_owners: int = 0


def measure_unavailable(
    seed: int, core_type: type[OwnershipCore] = OwnershipCore
) -> list[Row]:
    """Return the longest unavailability over all trials of each fault."""
    rows = []
    second_owners = 0
    for fault in FAULTS:
        observations = [
            _observe_fault(
                fault, random.Random(f"{seed}/{fault.name}/{trial}"), core_type
            )
            for trial in range(TRIALS_PER_FAULT)
        ]
        second_owners += sum(item.second_owners for item in observations)
        worst = max(item.unavailable for item in observations)
        rows.append(
            at_most(f"unavailable: {fault.name}", worst, "s", seed, fault.target)
        )
    second_owner_row = at_most(
        "moments with a second owner", second_owners, "count", seed, 0.0
    )
    return [*rows, second_owner_row]


def _observe_fault(
    fault: Fault, rng: random.Random, core_type: type[OwnershipCore]
) -> Observation:
    fakes = load_fakes()
    world = fakes.World(
        fakes.swaps_configuration(checks_tokens=fault.checks_tokens),
        core_type=core_type,
    )
    observation = Observation()
    _count_second_owners(world, observation)
    world.settle()
    world.run(SETTLE_SECONDS + rng.random())
    fault.inject(world, rng.choice(sorted(world.endpoints)))
    unserved = dict.fromkeys(world.units(), 0.0)
    for _ in range(round(OBSERVATION_SECONDS / STEP_SECONDS)):
        world.run(STEP_SECONDS)
        for unit in world.units():
            served = world.served_by(unit) is not None
            unserved[unit] = 0.0 if served else unserved[unit] + STEP_SECONDS
        observation.unavailable = max(observation.unavailable, *unserved.values())
    return observation


def _count_second_owners(world: World, observation: Observation) -> None:
    """Count failures of the invariant checks of the fakes instead of raising them."""
    check = world.check

    def counting_check() -> None:
        try:
            check()
        except AssertionError:
            observation.second_owners += 1

    world.check = counting_check


def measure_churn(seed: int) -> list[Row]:
    """Return the units that move on join, leave and rolling replacement.

    Values are relative to the smallest possible number of moves. The baseline
    assigns units by their hash modulo the number of endpoints.
    """
    changes = {
        "join of an endpoint": _join,
        "leave of an endpoint": _leave,
        "rolling replacement": _replace_all,
    }
    rows = []
    for name, change in changes.items():
        world = _churn_world(seed)
        minimum, modulo = change(world, random.Random(f"{seed}/{name}"))
        moved = sum(" to " in decision.what for decision in world.decisions)
        rows.append(
            at_most(
                f"ownership churn: {name}",
                moved / minimum,
                "x least possible",
                seed,
                None,
                modulo / minimum,
            )
        )
    return rows


def _churn_world(seed: int) -> World:
    fakes = load_fakes()
    world = fakes.World(fakes.swaps_configuration(CHURN_ENDPOINTS, CHURN_UNITS))
    world.check = lambda: None  # Slow with many units; measure_unavailable does check.
    world.settle()
    world.run(SETTLE_SECONDS + random.Random(seed).random())
    world.decisions.clear()
    return world


def _new_endpoint(number: int) -> Endpoint:
    return Endpoint(f"new-{number}", "a", "127.0.0.1", 9100 + number)


def _join(world: World, rng: random.Random) -> tuple[int, int]:
    world.configure(with_states(world.cfg, {}, _new_endpoint(0)))
    world.run(CHURN_SETTLE_SECONDS)
    minimum = CHURN_UNITS // (CHURN_ENDPOINTS + 1)
    return minimum, _modulo_moves(CHURN_ENDPOINTS, CHURN_ENDPOINTS + 1)


def _leave(world: World, rng: random.Random) -> tuple[int, int]:
    name = rng.choice(sorted(world.endpoints))
    minimum = len(world.platform.table().units_of(name))
    world.configure(with_states(world.cfg, {name: EndpointState.DRAINING}))
    world.run(CHURN_SETTLE_SECONDS)
    return minimum, _modulo_moves(CHURN_ENDPOINTS, CHURN_ENDPOINTS - 1)


def _replace_all(world: World, rng: random.Random) -> tuple[int, int]:
    names = sorted(world.endpoints)
    rng.shuffle(names)
    for number, name in enumerate(names):
        states = {name: EndpointState.DRAINING}
        world.configure(with_states(world.cfg, states, _new_endpoint(number)))
        world.run(CHURN_SETTLE_SECONDS)
    moves_on_join = _modulo_moves(CHURN_ENDPOINTS, CHURN_ENDPOINTS + 1)
    moves_on_leave = _modulo_moves(CHURN_ENDPOINTS + 1, CHURN_ENDPOINTS)
    return CHURN_UNITS, CHURN_ENDPOINTS * (moves_on_join + moves_on_leave)


def _modulo_moves(before: int, after: int) -> int:
    hashes = [
        xxhash.xxh3_64_intdigest(str(unit).encode()) for unit in range(CHURN_UNITS)
    ]
    return sum(value % before != value % after for value in hashes)


# Imbalance

IMBALANCE_ENDPOINTS = 15  # Size of the largest service deployed today.
IMBALANCE_UNITS = 256
IMBALANCE_KEYS = 20_000
ZIPF_EXPONENT = 1.1
SAMPLED_REQUESTS_PER_ROUND = 20_000
REBALANCE_ROUNDS = 12
HOTTEST_KEYS = 32


def measure_imbalance(seed: int) -> list[Row]:
    """Return the highest endpoint load over the mean load for each placement."""
    rng = random.Random(f"{seed}/imbalance")
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(IMBALANCE_KEYS)]
    keys = [f"key-{rng.getrandbits(64):016x}" for _ in weights]
    load = dict(zip(keys, weights, strict=True))
    endpoints = [
        Endpoint(f"e{i}", f"zone-{i % 4}", "127.0.0.1", 9000 + i)
        for i in range(IMBALANCE_ENDPOINTS)
    ]
    names = [item.name for item in endpoints]
    hashes = {key: xxhash.xxh3_64_intdigest(key.encode()) for key in keys}
    modulo = {key: names[hashes[key] % len(names)] for key in keys}
    rendezvous_owners = {key: rendezvous(key, names) or "" for key in keys}
    table = OwnershipTable.empty("swaps", IMBALANCE_UNITS)
    owners = choose_owners(table, range(IMBALANCE_UNITS), endpoints)
    placed = {key: owners[hashes[key] % IMBALANCE_UNITS] for key in keys}
    moved = _with_hot_keys_moved(placed, hashes, load, names, rng)
    baseline = _imbalance(load, modulo, names)
    results = {
        "plain hashing": baseline,
        "rendezvous hashing": _imbalance(load, rendezvous_owners, names),
        "ownership table": _imbalance(load, placed, names),
        "ownership table and hot keys moved": _imbalance(load, moved, names),
    }
    # A key has one owner, so no placement can be better than the hottest key allows.
    lower_bound = max(1.0, max(weights) * len(names) / sum(weights))
    results["best possible"] = lower_bound
    return [
        at_most(f"imbalance: {name}", value, "max/mean", seed, None, baseline)
        for name, value in results.items()
    ]


def _imbalance(
    load: dict[str, float], owners: dict[str, str], names: list[str]
) -> float:
    loads = dict.fromkeys(names, 0.0)
    for key, weight in load.items():
        loads[owners[key]] += weight
    return max(loads.values()) / (sum(loads.values()) / len(names))


def _with_hot_keys_moved(
    placed: dict[str, str],
    hashes: dict[str, int],
    load: dict[str, float],
    names: list[str],
    rng: random.Random,
) -> dict[str, str]:
    """Return the owners after `REBALANCE_ROUNDS` rounds of the hot-key policy.

    Each key that the policy moves goes to the endpoint with the lowest observed
    load. The sketch of heavy hitters observes sampled requests, as on a coordinator.
    """
    owners = dict(placed)
    key_of = {value: key for key, value in hashes.items()}
    sketch, policy = HeavyHitters(), HotKeyPolicy()
    keys, weights = list(load), list(load.values())
    for number in range(REBALANCE_ROUNDS):
        now = number * 10.0
        observed = dict.fromkeys(names, 0.0)
        counts: collections.Counter[str] = collections.Counter()
        for key in rng.choices(keys, weights, k=SAMPLED_REQUESTS_PER_ROUND):
            sketch.observe(hashes[key], 1.0, now)
            observed[owners[key]] += 1.0
            counts[key] += 1
        loads = [
            OwnedKeyWeight(owners[key_of[item.key_hash]], item)
            for item in sketch.hottest(HOTTEST_KEYS)
        ]
        for move in policy.decide("swaps", loads, observed):
            key = key_of[move.key_hash]
            observed[owners[key]] -= counts[key]
            if move.hot:
                owners[key] = min(names, key=lambda name: (observed[name], name))
            else:
                owners[key] = placed[key]
            observed[owners[key]] += counts[key]
            policy.move_ended("swaps", move.key_hash, moved=True)
    return owners


# Platform calls


def measure_platform_calls(seed: int) -> list[Row]:
    """Return the rate of platform calls when idle, and the calls that a change causes.

    Long-polling watches are not counted; there is one for each availability
    zone. Calls of a change are counted per endpoint that is lost, drained or handed
    over.
    """
    idle_world, calls = _world_with_counted_calls(seed)
    idle_world.run(IDLE_SECONDS)
    rate = len(calls) / IDLE_SECONDS
    # Heartbeats make no platform calls.
    rows = [at_most("platform calls without a change", rate, "1/s", seed, 0.0)]
    for fault in FAULTS:
        if fault.inject in (_endpoint_exits, _coordinator_stops, _endpoint_drains):
            rows += _platform_call_rows(fault, seed)
    return rows


def _platform_call_rows(fault: Fault, seed: int) -> list[Row]:
    world, calls = _world_with_counted_calls(seed)
    endpoint = sorted(world.endpoints)[0]
    coordinator = world.coordinator(endpoint)
    affected = 1
    if fault.inject is _coordinator_stops:
        affected = sum(world.coordinator(n) == coordinator for n in world.endpoints)
    fault.inject(world, endpoint)
    world.run(OBSERVATION_SECONDS)
    tables = sum(name.startswith("write table/") for name in calls)
    unit = "calls/endpoint"
    return [
        at_most(f"platform calls: {fault.name}", len(calls) / affected, unit, seed),
        at_most(f"table writes: {fault.name}", tables / affected, unit, seed),
    ]


def _world_with_counted_calls(seed: int) -> tuple[World, list[str]]:
    """Return a settled world and the list to which its platform calls are appended."""
    fakes = load_fakes()
    calls: list[str] = []
    world = fakes.World(fakes.swaps_configuration())
    world.settle()
    world.run(SETTLE_SECONDS + random.Random(seed).random())
    write, read = world._write, world._read

    def counted_write(instance: Any, name: str, *arguments: object) -> None:
        calls.append(f"write {name}")
        write(instance, name, *arguments)

    def counted_read(instance: Any, names: tuple[str, ...]) -> None:
        calls.extend(f"read {name}" for name in names)
        read(instance, names)

    world._write, world._read = counted_write, counted_read
    return world, calls
