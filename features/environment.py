"""Makes the modules in `tests/` importable from the steps, and ends simulations."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]


def after_scenario(context, scenario):
    """End the simulated fleet of the scenario."""
    if "fleet" in context:
        context.fleet.close()
