"""Lets the suite pass over the failures that KNOWN-RED.txt lists, and prints them.

Only the tests named there are affected: they run as always, and every other failure
still fails the suite. A listed test that no longer exists fails the collection.

Tests that are marked `long` start first: parallel workers would wait for one that
started last.
"""

import pathlib

import pytest

LIST = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"


def _known_red():
    """Return the test IDs that start an entry, which is a line that begins "tests/"."""
    if not LIST.exists():
        return set()
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return {line.strip() for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(config, items):
    listed = _known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
    # The message of an error in a parallel worker is lost; the controller checks then.
    if not hasattr(config, "workerinput"):
        _check_all_listed_exist(config, [item.nodeid for item in items])
    # The sort is stable, so all workers have the same order.
    items.sort(key=lambda item: item.get_closest_marker("long") is None)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node, ids):
    _check_all_listed_exist(node.config, ids)


def _check_all_listed_exist(config, collected):
    """Raise UsageError if a listed test of a collected or missing file is missing."""
    if config.getoption("keyword") or any("::" in arg for arg in config.args):
        return
    collected_files = {test.partition("::")[0] for test in collected}
    missing = {
        test
        for test in _known_red() - set(collected)
        if (file := test.partition("::")[0]) in collected_files
        or not (LIST.parent / file).exists()
    }
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {sorted(missing)}")


def pytest_terminal_summary(terminalreporter):
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f"known red, {outcome}: {report.nodeid}")
