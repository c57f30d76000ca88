"""The handling of KNOWN-RED.txt, in one process and with parallel workers."""

import os
import pathlib
import shutil
import subprocess
import sys

import pytest

CONFTEST = pathlib.Path(__file__).with_name("conftest.py")
TESTS = """
def test_passes():
    pass

def test_fails():
    assert False

def test_also_fails():
    assert False
"""
ENTRY = "tests/test_some.py::{}\n    Seen: a failure.\n"


@pytest.fixture(
    params=[(), ("-p", "xdist", "-n", "2", "--dist", "worksteal")], ids=["one", "two"]
)
def run_suite(request, tmp_path):
    """Return a function that runs the tests above with a list of known failures."""

    def run(*listed, other="", args=("tests",)):
        (tmp_path / "tests").mkdir()
        shutil.copy(CONFTEST, tmp_path / "tests")
        (tmp_path / "tests" / "test_some.py").write_text(TESTS)
        (tmp_path / "KNOWN-RED.txt").write_text(
            "".join(map(ENTRY.format, listed)) + other
        )
        (tmp_path / "pytest.ini").write_text("[pytest]\n")
        return subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
            + [*request.param, *args],
            cwd=tmp_path,
            # The other plug-ins take long to load.
            env={**os.environ, "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
            capture_output=True,
            text=True,
        )

    return run


def test_listed_tests_may_fail_or_pass_and_are_printed(run_suite):
    """Guards against known failures that nobody sees, and entries that stay after the
    fault is mended."""
    done = run_suite("test_passes", "test_fails", "test_also_fails")
    assert done.returncode == 0, done.stdout
    lines = done.stdout.splitlines()
    assert "2 xfailed, 1 xpassed" in lines[-1]
    assert sorted(line for line in lines if line.startswith("known red")) == [
        "known red, xfailed: tests/test_some.py::test_also_fails",
        "known red, xfailed: tests/test_some.py::test_fails",
        "known red, xpassed: tests/test_some.py::test_passes",
    ]


def test_another_failure_fails_the_suite(run_suite):
    """Guards against a list that hides failures it does not name."""
    done = run_suite("test_fails")
    assert done.returncode == 1
    assert "FAILED tests/test_some.py::test_also_fails" in done.stdout
    assert "1 failed, 1 passed, 1 xfailed" in done.stdout.splitlines()[-1]


@pytest.mark.parametrize("file", ["test_some.py", "test_removed.py"])
def test_a_listed_test_that_does_not_exist_fails_the_collection(run_suite, file):
    """Guards against an entry that covers nothing after its test was renamed."""
    renamed = f"tests/{file}::test_renamed"
    done = run_suite("test_fails", "test_also_fails", other=renamed)
    assert done.returncode == pytest.ExitCode.USAGE_ERROR, done.stdout
    message = f"KNOWN-RED.txt lists unknown tests: ['{renamed}']"
    assert message in done.stdout + done.stderr


def test_running_one_test_needs_no_other_that_is_listed(run_suite):
    """Guards against a list that prevents a single test from being run."""
    done = run_suite("test_fails", args=("tests/test_some.py::test_passes",))
    assert done.returncode == 0, done.stdout
