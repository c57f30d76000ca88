"""Goodput by rank during overload, and outcomes of requests under faults.

Both run in simulated time, so the results depend only on the seed.
"""

import random

from arbutusflow.domain.configuration import Rank
from arbutusflow.measure import queueing
from arbutusflow.measure.queueing import Model
from arbutusflow.measure.results import MeasureError, Row, at_least, at_most
from arbutusflow.measure.world import load_delivery_simulation

FLOODS = (2.0, 5.0)
PRODUCT_POLICY = "shares, adaptive"
FIFO_POLICY = "FIFO, no limit"
# Of 10 dispatches during an urgent flood, at least 2 are normal and 1 is background.
GUARANTEED_ANSWER_SHARE = {Rank.NORMAL: 0.2, Rank.BACKGROUND: 0.1}
SCHEDULES = 200
RowsByPhaseAndRank = dict[tuple[str, Rank], queueing.Row]
STEPS_PER_SCHEDULE = 60


def measure_floods(seed: int) -> list[Row]:
    """Return the goodput and latency of each rank while another floods the endpoint.

    The baseline dispatches requests in order of arrival without a limit.
    """
    rows = []
    for flood in FLOODS:
        simulated = queueing.measure(Model(flood=flood, seed=seed))
        product, baseline = (
            _rows_of_policy(simulated, PRODUCT_POLICY),
            _rows_of_policy(simulated, FIFO_POLICY),
        )
        for (phase, rank), row in product.items():
            flooding = queueing.FLOODS.get(phase)
            if flooding in (None, rank):
                continue
            name = f"{flooding.value} flood x{flood:g}: {rank.value}"
            rows += [
                at_least(
                    f"{name} answered in time",
                    _answered_share(row),
                    "of offered",
                    seed,
                    None,
                    _answered_share(baseline[phase, rank]),
                ),
                at_most(
                    f"{name} p99",
                    row.p99_ms,
                    "ms",
                    seed,
                    None,
                    baseline[phase, rank].p99_ms,
                ),
            ]
            if flooding is Rank.URGENT:
                rows.append(
                    _guaranteed_share_row(name, rank, phase, seed, product, baseline)
                )
    return rows


def _rows_of_policy(rows: list[queueing.Row], policy: str) -> RowsByPhaseAndRank:
    rows_by_key = {(row.phase, row.rank): row for row in rows if row.policy == policy}
    if not rows_by_key:
        raise MeasureError(f"the queue model has no policy named {policy!r}")
    return rows_by_key


def _guaranteed_share_row(
    name: str,
    rank: Rank,
    phase: str,
    seed: int,
    product: RowsByPhaseAndRank,
    baseline: RowsByPhaseAndRank,
) -> Row:
    """Compare the rank's share of the answers in time with its guaranteed share.

    Both lower ranks are offered more load than their guaranteed share, so requests
    of theirs are always queued.
    """

    def share_of_answers(rows_by_key: RowsByPhaseAndRank) -> float:
        total = sum(rows_by_key[phase, other].goodput_per_second for other in Rank)
        return rows_by_key[phase, rank].goodput_per_second / total

    return at_least(
        f"{name} part of answers",
        share_of_answers(product),
        "of answers",
        seed,
        GUARANTEED_ANSWER_SHARE[rank],
        share_of_answers(baseline),
    )


def _answered_share(row: queueing.Row) -> float:
    return row.goodput_per_second / row.offered_per_second


def measure_outcomes(seed: int) -> list[Row]:
    """Return the number of violated guarantees in seeded schedules with faults.

    Violations are: a second run of a request that is not repeatable, `not-run` for
    a request that ran, the answer of another request, and a missing or second reply.
    """
    world = load_delivery_simulation()
    rng = random.Random(f"{seed}/outcomes")
    failures = [None, *world.Failure]
    broken = sum(
        len(world.run_schedule(_schedule(rng, failures))) for _ in range(SCHEDULES)
    )
    name = f"broken promises in {SCHEDULES * STEPS_PER_SCHEDULE} steps with faults"
    return [at_most(name, broken, "count", seed, 0.0)]


def _schedule(rng: random.Random, failures: list[object]) -> list[tuple[object, ...]]:
    """Return random steps for `run_schedule`: arrivals, attempts, faults and so on."""
    step_factories = (
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
    return [
        rng.choices(step_factories, weights)[0]() for _ in range(STEPS_PER_SCHEDULE)
    ]
