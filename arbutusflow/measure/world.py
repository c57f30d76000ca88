"""Access to the fakes of the tests for measurements in simulated time.

Tests, behaviour scenarios and measurements share one model of network, clocks and
failures. The fakes are test code, which is not installed, so these measurements run
only in a checkout.
"""

import functools
import importlib.util
import pathlib
import types

from arbutusflow.measure.results import MeasureError

TESTS_DIRECTORY = pathlib.Path(__file__).parents[2] / "tests"


@functools.cache
def load_test_module(name: str) -> types.ModuleType:
    """Import `tests/<name>.py` from the checkout that contains this package."""
    path = TESTS_DIRECTORY / f"{name}.py"
    if not path.exists():
        raise MeasureError(f"{path} is missing; run this measurement in a git checkout")
    spec = importlib.util.spec_from_file_location(f"arbutusflow_{name}", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def load_fakes() -> types.ModuleType:
    """Return the module with fakes for the interfaces of the ownership core."""
    return load_test_module("fakes")


def load_delivery_simulation() -> types.ModuleType:
    """Return the module that simulates coordinators, requests and faults."""
    return load_test_module("test_delivery")
