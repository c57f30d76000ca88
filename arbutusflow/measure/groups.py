"""Groups of measurements, and a runner for several seeds."""

import dataclasses
from collections.abc import Callable, Sequence

from tqdm import tqdm

from arbutusflow.measure import capacity, configuration, ownership, requests
from arbutusflow.measure.fits import Fit
from arbutusflow.measure.results import Row

Measure = Callable[[int], list[Row]]

GROUPS: dict[str, tuple[Measure, ...]] = {
    "ownership": (
        ownership.measure_unavailable,
        ownership.measure_churn,
        ownership.measure_imbalance,
        ownership.measure_platform_calls,
    ),
    "requests": (requests.measure_floods, requests.measure_outcomes),
    "config": (configuration.measure_races, configuration.measure_patch_cost),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Rows of all seeds, and the fits of the last seed."""

    rows: list[Row]
    fits: list[Fit]


def run(groups: Sequence[str], seeds: Sequence[int]) -> Result:
    """Run groups of measurements, with a progress bar on standard error."""
    rows: list[Row] = []
    fits: list[Fit] = []
    with tqdm(
        total=len(seeds) * sum(_step_count(group) for group in groups)
    ) as progress:
        for seed in seeds:
            fits = []
            for group in groups:
                progress.set_description(group)
                for measure in GROUPS.get(group, ()):
                    rows += measure(seed)
                    progress.update()
                if group == "capacity":
                    for step in capacity.STEPS.values():
                        fits += step(seed)
                        progress.update()
                    rows += capacity.rows_of(fits, seed)
    return Result(rows, fits)


def _step_count(group: str) -> int:
    return len(capacity.STEPS) if group == "capacity" else len(GROUPS[group])
