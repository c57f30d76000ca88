"""Unavailable time, ownership churn, imbalance and platform calls.

All figures come from the decision core on the controlled clock of the fakes, so
they depend on the seed only. The seed varies when a fault happens between two
renewals and which endpoint it hits.
"""

import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Any

import xxhash

from arbutusflow.domain.configuration import Configuration, Endpoint, EndpointState
from arbutusflow.domain.hotkeys import HeavyHitters, HotKeyPolicy, KeyLoad
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import choose_owners, rendezvous
from arbutusflow.measure.results import Row, at_most
from arbutusflow.measure.world import load_fakes

STEP_SECONDS = 0.02
SETTLE_SECONDS = 5.0
TRIALS = 5
LOSS_TARGET_SECONDS = 3.0  # A key is served again within 3 s of a loss.
PLANNED_TARGET_SECONDS = 0.0
OBSERVED_SECONDS = 6.0
CHURN_SECONDS = 120.0
CHURN_UNITS = 64
CHURN_ENDPOINTS = 4
QUIET_SECONDS = 60.0

World = Any  # The fakes are not annotated.


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault, the time in which keys must be served again, and the deployment."""

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
    Fault("platform down", _platform_down, PLANNED_TARGET_SECONDS),
    Fault("planned stop of a coordinator", _coordinator_stops, PLANNED_TARGET_SECONDS),
    Fault("planned drain of an endpoint", _endpoint_drains, PLANNED_TARGET_SECONDS),
)


def with_states(
    cfg: Configuration, states: dict[str, EndpointState], *added: Endpoint
) -> Configuration:
    """Return the next configuration, with other states and more endpoints."""
    service = cfg.services[0]
    endpoints = tuple(
        dataclasses.replace(item, state=states.get(item.name, item.state))
        for item in service.endpoints
    )
    service = dataclasses.replace(service, endpoints=(*endpoints, *added))
    return dataclasses.replace(cfg, number=cfg.number + 1, services=(service,))


@dataclasses.dataclass(slots=True)
class Observation:
    """Longest unserved time of any unit, and moments with a second owner."""

    unavailable: float = 0.0
    second_owners: int = 0


def measure_unavailable(
    seed: int, core_type: type[OwnershipCore] = OwnershipCore
) -> list[Row]:
    """Return the unavailable time by kind of failure, the worst of some trials."""
    rows = []
    second_owners = 0
    for fault in FAULTS:
        seen = [
            _observe(fault, random.Random(f"{seed}/{fault.name}/{trial}"), core_type)
            for trial in range(TRIALS)
        ]
        second_owners += sum(item.second_owners for item in seen)
        worst = max(item.unavailable for item in seen)
        rows.append(
            at_most(f"unavailable: {fault.name}", worst, "s", seed, fault.target)
        )
    second = at_most("moments with a second owner", second_owners, "count", seed, 0.0)
    return [*rows, second]


def _observe(
    fault: Fault, rng: random.Random, core_type: type[OwnershipCore]
) -> Observation:
    fakes = load_fakes()
    world = fakes.World(
        fakes.swaps_configuration(checks_tokens=fault.checks_tokens),
        core_type=core_type,
    )
    seen = Observation()
    _count_second_owners(world, seen)
    world.settle()
    world.run(SETTLE_SECONDS + rng.random())
    fault.inject(world, rng.choice(sorted(world.endpoints)))
    unserved = dict.fromkeys(world.units(), 0.0)
    for _ in range(round(OBSERVED_SECONDS / STEP_SECONDS)):
        world.run(STEP_SECONDS)
        for unit in world.units():
            served = world.served_by(unit) is not None
            unserved[unit] = 0.0 if served else unserved[unit] + STEP_SECONDS
        seen.unavailable = max(seen.unavailable, *unserved.values())
    return seen


def _count_second_owners(world: World, seen: Observation) -> None:
    """Count the checks of the fakes that fail, instead of ending the run."""
    check = world.check

    def counted() -> None:
        try:
            check()
        except AssertionError:
            seen.second_owners += 1

    world.check = counted


def measure_churn(seed: int) -> list[Row]:
    """Return moved units on join, leave and rolling replacement.

    The value is relative to the least possible number; the baseline is hashing a
    unit modulo the number of endpoints.
    """
    changes = {
        "join of an endpoint": _join,
        "leave of an endpoint": _leave,
        "rolling replacement": _replace_all,
    }
    rows = []
    for name, change in changes.items():
        world = _churn_world(seed)
        least, plain = change(world, random.Random(f"{seed}/{name}"))
        moved = sum(" to " in decision.what for decision in world.decisions)
        rows.append(
            at_most(
                f"ownership churn: {name}",
                moved / least,
                "x least possible",
                seed,
                None,
                plain / least,
            )
        )
    return rows


def _churn_world(seed: int) -> World:
    fakes = load_fakes()
    world = fakes.World(fakes.swaps_configuration(CHURN_ENDPOINTS, CHURN_UNITS))
    world.check = lambda: None  # Checked by measure_unavailable; slow with many units.
    world.settle()
    world.run(SETTLE_SECONDS + random.Random(seed).random())
    world.decisions.clear()
    return world


def _new_endpoint(number: int) -> Endpoint:
    return Endpoint(f"new-{number}", "a", "127.0.0.1", 9100 + number)


def _join(world: World, rng: random.Random) -> tuple[int, int]:
    world.configure(with_states(world.cfg, {}, _new_endpoint(0)))
    world.run(CHURN_SECONDS)
    least = CHURN_UNITS // (CHURN_ENDPOINTS + 1)
    return least, _modulo_moves(CHURN_ENDPOINTS, CHURN_ENDPOINTS + 1)


def _leave(world: World, rng: random.Random) -> tuple[int, int]:
    name = rng.choice(sorted(world.endpoints))
    least = len(world.platform.table().units_of(name))
    world.configure(with_states(world.cfg, {name: EndpointState.DRAINING}))
    world.run(CHURN_SECONDS)
    return least, _modulo_moves(CHURN_ENDPOINTS, CHURN_ENDPOINTS - 1)


def _replace_all(world: World, rng: random.Random) -> tuple[int, int]:
    names = sorted(world.endpoints)
    rng.shuffle(names)
    for number, name in enumerate(names):
        states = {name: EndpointState.DRAINING}
        world.configure(with_states(world.cfg, states, _new_endpoint(number)))
        world.run(CHURN_SECONDS)
    up = _modulo_moves(CHURN_ENDPOINTS, CHURN_ENDPOINTS + 1)
    down = _modulo_moves(CHURN_ENDPOINTS + 1, CHURN_ENDPOINTS)
    return CHURN_UNITS, CHURN_ENDPOINTS * (up + down)


def _modulo_moves(before: int, after: int) -> int:
    hashes = [
        xxhash.xxh3_64_intdigest(str(unit).encode()) for unit in range(CHURN_UNITS)
    ]
    return sum(value % before != value % after for value in hashes)


# Imbalance

IMBALANCE_ENDPOINTS = 15  # The largest services of the deployments of today.
IMBALANCE_UNITS = 256
IMBALANCE_KEYS = 20_000
ZIPF_EXPONENT = 1.1
SAMPLES_PER_ROUND = 20_000
ROUNDS = 12
HOTTEST = 32


def measure_imbalance(seed: int) -> list[Row]:
    """Return the greatest load of an endpoint over the mean load, by placement."""
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
    plain = {key: names[hashes[key] % len(names)] for key in keys}
    highest = {key: rendezvous(key, names) or "" for key in keys}
    table = OwnershipTable.empty("swaps", IMBALANCE_UNITS)
    owners = choose_owners(table, range(IMBALANCE_UNITS), endpoints)
    placed = {key: owners[hashes[key] % IMBALANCE_UNITS] for key in keys}
    moved = _with_hot_keys_moved(placed, hashes, load, names, rng)
    baseline = _imbalance(load, plain, names)
    results = {
        "plain hashing": baseline,
        "rendezvous hashing": _imbalance(load, highest, names),
        "ownership table": _imbalance(load, placed, names),
        "ownership table and hot keys moved": _imbalance(load, moved, names),
    }
    # One key cannot be divided, so no placement is better than its share.
    floor = max(1.0, max(weights) * len(names) / sum(weights))
    results["best possible"] = floor
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
    """Return the owners after some rounds of the sketch and the hot-key policy.

    Each key that the policy moves goes to the endpoint with the least observed
    load. The sketch sees sampled requests, as a coordinator does.
    """
    owners = dict(placed)
    key_of = {value: key for key, value in hashes.items()}
    sketch, policy = HeavyHitters(), HotKeyPolicy()
    keys, weights = list(load), list(load.values())
    for number in range(ROUNDS):
        now = number * 10.0
        observed = dict.fromkeys(names, 0.0)
        counts: collections.Counter[str] = collections.Counter()
        for key in rng.choices(keys, weights, k=SAMPLES_PER_ROUND):
            sketch.observe(hashes[key], 1.0, now)
            observed[owners[key]] += 1.0
            counts[key] += 1
        loads = [
            KeyLoad(owners[key_of[item.key_hash]], item)
            for item in sketch.hottest(HOTTEST)
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
    """Return the platform calls without a change, and those that a change costs.

    Waiting watches are not counted here; there is one for each zone. The figures
    of a change are for each endpoint that is lost, drained or handed over.
    """
    quiet, calls = _counted_world(seed)
    quiet.run(QUIET_SECONDS)
    rate = len(calls) / QUIET_SECONDS
    # Heartbeats make no platform calls.
    rows = [at_most("platform calls without a change", rate, "1/s", seed, 0.0)]
    for fault in FAULTS:
        if fault.inject in (_endpoint_exits, _coordinator_stops, _endpoint_drains):
            rows += _calls_of(fault, seed)
    return rows


def _calls_of(fault: Fault, seed: int) -> list[Row]:
    world, calls = _counted_world(seed)
    endpoint = sorted(world.endpoints)[0]
    coordinator = world.coordinator(endpoint)
    affected = 1
    if fault.inject is _coordinator_stops:
        affected = sum(world.coordinator(n) == coordinator for n in world.endpoints)
    fault.inject(world, endpoint)
    world.run(OBSERVED_SECONDS)
    tables = sum(name.startswith("write table/") for name in calls)
    unit = "calls/endpoint"
    return [
        at_most(f"platform calls: {fault.name}", len(calls) / affected, unit, seed),
        at_most(f"table writes: {fault.name}", tables / affected, unit, seed),
    ]


def _counted_world(seed: int) -> tuple[World, list[str]]:
    """Return a settled world and the list of platform calls from now on."""
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
