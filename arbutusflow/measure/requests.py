"""Service by rank during floods, and outcomes of requests under faults.

Both run on a controlled clock, so the figures depend on the seed only.
"""

import random

from arbutusflow.domain.configuration import Rank
from arbutusflow.measure import queueing
from arbutusflow.measure.queueing import Model
from arbutusflow.measure.results import MeasureError, Row, at_least, at_most
from arbutusflow.measure.world import load_delivery_world

FLOODS = (2.0, 5.0)
OURS = "shares, adaptive"
PLAIN = "FIFO, no limit"
# Of 10 dispatches in an urgent flood, at least 2 are normal and 1 is background.
GUARANTEED_SHARE = {Rank.NORMAL: 0.2, Rank.BACKGROUND: 0.1}
RUNS = 200
Cells = dict[tuple[str, Rank], queueing.Row]
STEPS = 60


def measure_floods(seed: int) -> list[Row]:
    """Return what each rank keeps while another floods the endpoint.

    The baseline passes requests on in order of arrival without a limit.
    """
    rows = []
    for flood in FLOODS:
        found = queueing.measure(Model(flood=flood, seed=seed))
        ours, plain = _cells(found, OURS), _cells(found, PLAIN)
        for (phase, rank), row in ours.items():
            flooding = queueing.FLOODS.get(phase)
            if flooding in (None, rank):
                continue
            name = f"{flooding.value} flood x{flood:g}: {rank.value}"
            rows += [
                at_least(
                    f"{name} answered in time",
                    _share(row),
                    "of offered",
                    seed,
                    None,
                    _share(plain[phase, rank]),
                ),
                at_most(
                    f"{name} p99",
                    row.p99_ms,
                    "ms",
                    seed,
                    None,
                    plain[phase, rank].p99_ms,
                ),
            ]
            if flooding is Rank.URGENT:
                rows.append(_guaranteed(name, rank, phase, seed, ours, plain))
    return rows


def _cells(rows: list[queueing.Row], policy: str) -> Cells:
    cells = {(row.phase, row.rank): row for row in rows if row.policy == policy}
    if not cells:
        raise MeasureError(f"the queue model has no policy {policy!r}")
    return cells


def _guaranteed(
    name: str, rank: Rank, phase: str, seed: int, ours: Cells, plain: Cells
) -> Row:
    """Return the rank's part of all answers in time against its guaranteed part.

    Both lower ranks offer more than their guaranteed part, so they always wait.
    """

    def part(cells: Cells) -> float:
        total = sum(cells[phase, other].goodput_per_second for other in Rank)
        return cells[phase, rank].goodput_per_second / total

    return at_least(
        f"{name} part of answers",
        part(ours),
        "of answers",
        seed,
        GUARANTEED_SHARE[rank],
        part(plain),
    )


def _share(row: queueing.Row) -> float:
    return row.goodput_per_second / row.offered_per_second


def measure_outcomes(seed: int) -> list[Row]:
    """Return how many promises broke in seeded schedules of requests and faults.

    A promise is broken by a second run of a kind that may not be repeated, a false
    `not-run`, a foreign answer, and a missing or second reply.
    """
    world = load_delivery_world()
    rng = random.Random(f"{seed}/outcomes")
    failures = [None, *world.Failure]
    broken = sum(len(world.run_schedule(_schedule(rng, failures))) for _ in range(RUNS))
    name = f"broken promises in {RUNS * STEPS} steps with faults"
    return [at_most(name, broken, "count", seed, 0.0)]


def _schedule(rng: random.Random, failures: list[object]) -> list[tuple[object, ...]]:
    """Return steps of the delivery world: arrivals, attempts, faults, take-overs."""
    makers = (
        lambda: ("arrive", rng.randrange(6), rng.choice((-4.0, 0.0, 4.9))),
        lambda: ("serve", rng.randrange(6), rng.choice(failures)),
        lambda: ("renew",),
        lambda: ("anonymous",),
        lambda: ("dispatch", rng.choice(failures), rng.random() < 0.5),
        lambda: ("end", rng.randrange(4)),
        lambda: ("advance", rng.choice((0.01, 0.2, 3.0, 6.0, 125.0))),
        lambda: ("leave", rng.randrange(4)),
        lambda: (rng.choice(("take_over", "move")),),
    )
    weights = (6, 2, 1, 1, 6, 5, 2, 1, 1)
    return [rng.choices(makers, weights)[0]() for _ in range(STEPS)]
