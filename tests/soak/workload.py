"""What the requests, endpoints and zones of a run are like, drawn from its seed.

Runs of an endpoint differ much in length: a few take several times as long as others.
Callers wait for less time than the timeouts of the routes, so that the rules on lost
requests need not know these.
"""

import dataclasses
import random

LONG_TIMEOUT_SECONDS = 9.0  # Of all routes in runs with long deadlines.
LONG_DEADLINE_SECONDS = (1.5, 8.0)  # Shortest and longest in these runs.
USUAL_TAIL_SHARE = 0.01
MAX_TAIL_SHARE = 0.08
TAIL_FACTORS = (5.0, 8.0)
MAX_PACE = 8.0


@dataclasses.dataclass(frozen=True)
class Workload:
    """Properties of a run; the defaults are those of a run that draws none."""

    # Of all routes; None for those of each route.
    timeout_seconds: float | None = None
    # Shortest and longest deadline of a caller; None for the usual ones.
    deadline_range: tuple[float, float] | None = None
    # Share of the runs of endpoints that take `tail_factors` times as long.
    tail_share: float = 0.0
    tail_factors: tuple[float, float] = (1.0, 1.0)
    pace: float = 1.0  # By which the work of requests is longer.
    # Number of instances in the first zone; None for as many as in the other one.
    first_zone: int | None = None
    planned_only: bool = False  # Nothing but planned work is played.
    final_kill: bool = False  # All instances are killed at the end.


def draw_workload(seed: int, instances: int, final_kill_share: float) -> Workload:
    """Return the properties of a run."""
    rng = random.Random(f"workload {seed}")
    long = rng.random() < 0.5
    pace = rng.choice((1.0, rng.uniform(1.0, MAX_PACE)))
    tail_share = rng.choice((USUAL_TAIL_SHARE, rng.uniform(0.0, MAX_TAIL_SHARE)))
    uneven = instances > 2 and rng.random() < 0.5
    return Workload(
        timeout_seconds=LONG_TIMEOUT_SECONDS if long else None,
        deadline_range=LONG_DEADLINE_SECONDS if long else None,
        tail_share=tail_share,
        tail_factors=TAIL_FACTORS,
        pace=pace,
        first_zone=instances - 1 if uneven else None,
        planned_only=rng.random() < 0.3,
        final_kill=rng.random() < final_kill_share,
    )
