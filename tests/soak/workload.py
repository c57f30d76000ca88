"""What the requests, endpoints and zones of a run are like, drawn from its seed.

Runs of an endpoint differ much in length: a few take several times as long as others,
and an endpoint that has just started is slow.
Callers wait for less time than the timeouts of the routes, so that the rules on lost
requests need not know these.
"""

import dataclasses
import random

LONG_TIMEOUT_SECONDS = 9.0  # Of all routes in runs with long deadlines.
LONG_DEADLINE_SECONDS = (1.5, 8.0)  # Shortest and longest in these runs.
USUAL_TAIL_SHARE = 0.01
MAX_TAIL_SHARE = 0.08
# Shares of the seeds with a property.
LONG_SHARE = 0.5
PLANNED_LONG_SHARE = 0.8
LONG_SLOW_SHARE = 0.8  # Slow work, if deadlines are long.
SLOW_SHARE = 0.25  # The same if they are not.
UNEVEN_SHARE = 0.6
QUEUES_SHARE = 0.5
DENSE_SHARE = 0.4  # Of those in which more than planned work is played.
STEADY_SHARE = 0.4
ERAS_SHARE = 0.4
SLOW_PATHS_SHARE = 0.8
PLANNED_SHARE = 0.35
TAIL_FACTORS = (5.0, 8.0)
MAX_PACE = 6.0
MAX_COLD_SECONDS = 6.0
COLD_FACTORS = (2.0, 8.0)
HIGH_PACE = 3.0  # From which on more callers are needed for as many requests.
CALLERS = 24
FAULT_GAP_SECONDS = (0.1, 1.5)
DENSE_GAP_SECONDS = (0.05, 0.6)
MANY_CALLERS = 36


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
    queues: bool = False  # Endpoints run as many requests as they have slots at once.
    # For up to so many seconds after its start an endpoint is slower by a factor.
    cold_seconds: float = 0.0
    cold_factors: tuple[float, float] = (1.0, 1.0)
    pace: float = 1.0  # By which the work of requests is longer.
    callers: int = CALLERS
    # Number of instances in the first zone; None for as many as in the other one.
    first_zone: int | None = None
    slow_paths: bool = True  # Whether callers ask for work that always takes long.
    # Shortest and longest seconds from a fault to the next one.
    fault_gap: tuple[float, float] = FAULT_GAP_SECONDS
    planned_only: bool = False  # Nothing but planned work is played.
    final_kill: bool = False  # All instances are killed at the end.
    eras: bool = False  # The store tells its era, and goes back to copies.


def draw_workload(seed: int, instances: int, final_kill_share: float) -> Workload:
    """Return the properties of a run."""
    rng = random.Random(f"workload {seed}")
    planned_only = rng.random() < PLANNED_SHARE
    long = rng.random() < (PLANNED_LONG_SHARE if planned_only else LONG_SHARE)
    slow = rng.random() < (LONG_SLOW_SHARE if long else SLOW_SHARE)
    # Until endpoints slow down, all runs of one of them take the same time.
    steady = rng.random() < STEADY_SHARE
    pace = rng.uniform(2.0, MAX_PACE) if slow else 1.0
    other_share = rng.uniform(0.0, MAX_TAIL_SHARE)
    tail_share = other_share if rng.random() < 0.33 else USUAL_TAIL_SHARE
    cold_seconds = rng.choice((0.0, MAX_COLD_SECONDS))
    uneven = instances > 2 and rng.random() < UNEVEN_SHARE
    dense = not planned_only and rng.random() < DENSE_SHARE
    return Workload(
        timeout_seconds=LONG_TIMEOUT_SECONDS if long else None,
        deadline_range=LONG_DEADLINE_SECONDS if long else None,
        tail_share=0.0 if steady else tail_share,
        tail_factors=TAIL_FACTORS,
        queues=rng.random() < QUEUES_SHARE,
        cold_seconds=0.0 if steady else cold_seconds,
        cold_factors=COLD_FACTORS,
        pace=pace,
        callers=MANY_CALLERS if pace > HIGH_PACE else CALLERS,
        first_zone=instances - 1 if uneven else None,
        slow_paths=not steady and rng.random() < SLOW_PATHS_SHARE,
        fault_gap=DENSE_GAP_SECONDS if dense else FAULT_GAP_SECONDS,
        planned_only=planned_only,
        final_kill=rng.random() < final_kill_share,
        eras=rng.random() < ERAS_SHARE,
    )
