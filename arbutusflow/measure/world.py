"""Access to the fakes of the tests, which measurements on the controlled clock use.

Tests, scenarios and measurements share one model of network and clocks, so they
agree about what a failure is. The fakes are test code; these measurements
therefore run in a checkout only.
"""

import functools
import importlib.util
import pathlib
import types

from arbutusflow.measure.results import MeasureError

TESTS = pathlib.Path(__file__).parents[2] / "tests"


@functools.cache
def load_test_module(name: str) -> types.ModuleType:
    """Return the module `tests/<name>.py` of the checkout around this package."""
    path = TESTS / f"{name}.py"
    if not path.exists():
        raise MeasureError(f"{path} is missing; run this measurement in a checkout")
    spec = importlib.util.spec_from_file_location(f"arbutusflow_{name}", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def load_fakes() -> types.ModuleType:
    """Return the fakes at the interfaces of the ownership core."""
    return load_test_module("fakes")


def load_delivery_world() -> types.ModuleType:
    """Return the module with the world of coordinators that requests live in."""
    return load_test_module("test_delivery")
