"""Concurrent configuration patches of several operators, and the cost of a patch.

Counts of lost, reverted and stale patches depend only on the seed; processor time
depends on the host.
"""

import random

import msgspec

from arbutusflow.domain.configuration import (
    Accepted,
    Configuration,
    Endpoint,
    EndpointState,
    Kind,
    Patch,
    PutEndpoint,
    Rank,
    Service,
    SetEndpointState,
    apply_patch,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import ConfigurationChanged
from arbutusflow.measure.fits import median_seconds
from arbutusflow.measure.results import Row, at_most

OPERATOR_COUNT = 8
PATCH_COUNT = 400
LOST_ANSWER_PROBABILITY = 0.2
SERVICE_COUNT = 4  # As in the deployments of today.


def deployment(endpoints: int) -> Configuration:
    """Return a configuration with `endpoints` endpoints in `SERVICE_COUNT` services."""
    kinds = (Kind("swap", Rank.URGENT, repeatable=False),)
    services = tuple(
        Service(
            f"service-{number}",
            kinds,
            tuple(
                Endpoint(
                    f"service-{number}-{i}",
                    f"zone-{i % 18}",
                    "10.0.0.1",
                    1024 + (number * endpoints + i) % 60_000,
                )
                for i in range(number, endpoints, SERVICE_COUNT)
            ),
        )
        for number in range(SERVICE_COUNT)
    )
    return Configuration(1, services)


def measure_races(seed: int) -> list[Row]:
    """Count lost, reverted and stale patches when several operators patch concurrently.

    An operator whose patch is refused as stale reads the configuration number again.
    If the answer to a patch is lost, the operator sends the same patch again.
    """
    rng = random.Random(f"{seed}/races")
    cfg = deployment(8)
    names = [item.name for item in cfg.services[0].endpoints]
    history = [cfg]
    known_numbers = [cfg.number] * OPERATOR_COUNT
    accepted: dict[str, int] = {}
    stale = 0
    for patch_number in range(PATCH_COUNT):
        operator = rng.randrange(OPERATOR_COUNT)
        state = rng.choice(list(EndpointState))
        operation = SetEndpointState("service-0", rng.choice(names), state)
        patch = Patch(f"patch-{patch_number:06}", known_numbers[operator], (operation,))
        result, cfg = apply_patch(cfg, patch)
        if isinstance(result, Accepted) and rng.random() < LOST_ANSWER_PROBABILITY:
            result, cfg = apply_patch(cfg, patch)
        if isinstance(result, Accepted):
            accepted[patch.id] = result.number
            history.append(cfg)
        else:
            stale += 1
        known_numbers[operator] = cfg.number
    lost = cfg.number - history[0].number - len(set(accepted.values()))
    return [
        at_most(
            "accepted patches lost or counted twice", abs(lost), "count", seed, 0.0
        ),
        at_most(
            "configurations that reverted",
            _count_reversions(history, rng),
            "count",
            seed,
            0.0,
        ),
        at_most("patches refused as stale", stale / PATCH_COUNT, "of sent", seed),
    ]


def _count_reversions(history: list[Configuration], rng: random.Random) -> int:
    """Count the reversions of an instance to an older configuration.

    Configurations arrive in random order and repeatedly.
    """
    arrivals = [rng.choice(history) for _ in range(4 * len(history))]
    core = OwnershipCore.from_config("instance", "zone-0", history[0])
    reversions = 0
    for now, cfg in enumerate(arrivals):
        before = core.cfg.number
        core.handle(ConfigurationChanged(cfg), float(now))
        reversions += core.cfg.number < before
    return reversions


def measure_patch_cost(seed: int) -> list[Row]:
    """Return the processor time of a patch at the size of the deployments of today."""
    cfg = deployment(41)
    added = Endpoint("added", "zone-0", "10.0.0.2", 1024)
    operation = PutEndpoint("service-0", added)

    def apply() -> None:
        stored = msgspec.msgpack.decode(msgspec.msgpack.encode(cfg), type=Configuration)
        _, changed = apply_patch(stored, Patch("measured-patch", 1, (operation,)))
        msgspec.msgpack.encode(changed)

    return [
        at_most("processor time of a patch", 1e3 * median_seconds(apply), "ms", seed)
    ]
