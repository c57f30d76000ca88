"""Makes the modules in `tests/` importable from the steps, and ends simulations."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))


def after_scenario(context, scenario):
    """End the simulated fleet of the scenario."""
    if "fleet" in context:
        context.fleet.close()
