"""Racing operators, and the cost of a patch.

Lost and reverted patches depend on the seed only; processor time on the machine.
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

OPERATORS = 8
PATCHES = 400
LOST_ANSWER_SHARE = 0.2
SERVICES = 4  # As the deployments of today have.


def deployment(endpoints: int) -> Configuration:
    """Return a configuration with `endpoints` in four services."""
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
                for i in range(number, endpoints, SERVICES)
            ),
        )
        for number in range(SERVICES)
    )
    return Configuration(1, services)


def measure_races(seed: int) -> list[Row]:
    """Return what racing operators lose, with versions that arrive out of order.

    Each operator keeps its patch until it is accepted, reads the number again when
    it is refused as stale, and sends the same patch again when an answer is lost.
    """
    rng = random.Random(f"{seed}/races")
    cfg = deployment(8)
    names = [item.name for item in cfg.services[0].endpoints]
    history = [cfg]
    believed = [cfg.number] * OPERATORS
    accepted: dict[str, int] = {}
    stale = 0
    for turn in range(PATCHES):
        operator = rng.randrange(OPERATORS)
        state = rng.choice(list(EndpointState))
        operation = SetEndpointState("service-0", rng.choice(names), state)
        patch = Patch(f"patch-{turn:06}", believed[operator], (operation,))
        result, cfg = apply_patch(cfg, patch)
        if isinstance(result, Accepted) and rng.random() < LOST_ANSWER_SHARE:
            result, cfg = apply_patch(cfg, patch)
        if isinstance(result, Accepted):
            accepted[patch.id] = result.number
            history.append(cfg)
        else:
            stale += 1
        believed[operator] = cfg.number
    lost = cfg.number - history[0].number - len(set(accepted.values()))
    return [
        at_most(
            "accepted patches lost or counted twice", abs(lost), "count", seed, 0.0
        ),
        at_most(
            "configurations that reverted", _reverted(history, rng), "count", seed, 0.0
        ),
        at_most("patches refused as stale", stale / PATCHES, "of sent", seed),
    ]


def _reverted(history: list[Configuration], rng: random.Random) -> int:
    """Return how often an instance went back while versions arrived shuffled."""
    arrivals = [rng.choice(history) for _ in range(4 * len(history))]
    core = OwnershipCore.from_config("instance", "zone-0", history[0])
    reverted = 0
    for now, cfg in enumerate(arrivals):
        before = core.cfg.number
        core.handle(ConfigurationChanged(cfg), float(now))
        reverted += core.cfg.number < before
    return reverted


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
