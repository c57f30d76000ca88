"""Lets the suite pass over the failures that KNOWN-RED.txt lists, and prints them.

Only the tests named there are affected: they run as always, and every other failure
still fails the suite. A listed test that no longer exists fails the collection.
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
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    if config.getoption("keyword") or any("::" in arg for arg in config.args):
        return
    missing = listed - {item.nodeid for item in items}
    missing = {test for test in missing if test.partition("::")[0] in collected_files}
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {sorted(missing)}")


def pytest_terminal_summary(terminalreporter):
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(f"known red, {outcome}: {report.nodeid}")
