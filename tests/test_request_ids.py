"""Identifiers that the project's own callers create for their requests."""

import ast
import pathlib
import time
import uuid

import pytest

from arbutusflow.request_ids import new_request_id

PACKAGE = pathlib.Path(__file__).parent.parent / "arbutusflow"
START_NS = 1_765_000_000_123_456_789
RATE = 5_000  # Identifiers a second.
SECONDS = 3


@pytest.fixture
def clock(monkeypatch):
    """Return the time of day in a list of one number, which the test changes."""
    now_ns = [START_NS]
    monkeypatch.setattr(time, "time_ns", lambda: now_ns[0])
    return now_ns


def test_identifiers_at_5000_a_second_carry_the_millisecond_of_the_clock(clock):
    """Guards against identifiers that run ahead of the clock, which are refused."""
    ahead = []
    for _ in range(RATE * SECONDS):
        created_ms = uuid.UUID(new_request_id()).int >> 80
        ahead.append(created_ms - clock[0] // 1_000_000)
        clock[0] += 1_000_000_000 // RATE
    assert (min(ahead), max(ahead)) == (0, 0)


def test_identifiers_of_one_millisecond_differ(clock):
    """Guards against the answer of another request that has the same identifier."""
    ids = {new_request_id() for _ in range(RATE)}
    assert len(ids) == RATE


def test_identifiers_are_of_version_7():
    """Guards against identifiers that are refused as malformed."""
    parsed = uuid.UUID(new_request_id())
    assert (parsed.version, parsed.variant) == (7, uuid.RFC_4122)


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda p: str(p.relative_to(PACKAGE))
)
def test_no_module_creates_identifiers_by_uuid6(path):
    """Guards against `uuid6.uuid7`, whose identifiers run ahead of the clock."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names = [node.module]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        assert "uuid6" not in names
