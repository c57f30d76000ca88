"""The checks for CONFIG and ROUTE, just inside and just outside each of their bounds.

Guards against checks of the soak that never fail, and against false alarms.
"""

import random

import pytest

from tests.soak.config_audit import HandledCall, Outcome, is_late, outcomes, regresses
from tests.soak.configurations import ConfigurationHistory, Route, Version
from tests.soak.records import PlayedCall, RequestRecord
from tests.soak.route_audit import strange_services

MOVED_EARLY = Route("moved", b"/m/", "safe", ("plain",))
MOVED_LATE = Route("moved", b"/m/", "safe", ("spare",))
DROPPED = Route("dropped", b"/old/", "safe", ("plain",))
ADDED = Route("added", b"/new/", "safe", ("plain",))


def history():
    """Return versions sent at 0 s and 10 s, which differ in three routes."""
    found = ConfigurationHistory(random.Random(1))
    found.versions = [
        Version(1, 0.0, (MOVED_EARLY, DROPPED)),
        Version(5, 10.0, (MOVED_LATE, ADDED)),
    ]
    return found


@pytest.mark.parametrize(
    ("path", "service"), [(b"/m/1", "plain"), (b"/old/1", "plain"), (b"/new/1", None)]
)
@pytest.mark.parametrize(("began_at", "late"), [(11.9, False), (12.1, True)])
def test_what_only_the_older_version_allows_is_late(path, service, began_at, late):
    outcome = Outcome(path, service, began_at + 0.1)
    assert is_late(history(), began_at, outcome) is late


@pytest.mark.parametrize(
    ("path", "service"), [(b"/m/1", "spare"), (b"/old/1", None), (b"/new/1", "plain")]
)
def test_what_the_newer_version_allows_is_never_late(path, service):
    assert not is_late(history(), 20.0, Outcome(path, service, 20.1))


def test_a_version_sent_while_a_request_is_on_its_way_may_be_in_force():
    cfg = history()
    cfg.versions.append(Version(6, 20.0, (MOVED_EARLY, DROPPED)))
    assert not is_late(cfg, 19.9, Outcome(b"/m/1", "plain", 20.1))
    assert is_late(cfg, 19.8, Outcome(b"/m/1", "plain", 19.9))


def test_what_no_version_allows_is_left_to_the_check_of_routes():
    assert not is_late(history(), 20.0, Outcome(b"/never/1", "plain", 20.1))


def call(path, *, status=None, began_at=20.0):
    return PlayedCall(
        b"r1",
        "n0",
        True,
        False,
        30.0,
        began_at,
        ended_at=20.5,
        status=status,
        target=path,
        began_at=began_at,
    )


def ran(*services):
    runs = [(20.1, 20.2) for _ in services]
    return RequestRecord(
        True, runs, services=list(services), planned_ends=[20.2] * len(runs)
    )


def test_runs_and_refusals_without_a_route_are_outcomes():
    assert outcomes(call(b"/m/1", status=200), ran("plain", "spare")) == [
        Outcome(b"/m/1", "plain", 20.1),
        Outcome(b"/m/1", "spare", 20.1),
    ]
    assert outcomes(call(b"/m/1", status=404), ran()) == [Outcome(b"/m/1", None, 20.5)]
    assert outcomes(call(b"/m/1", status=503), ran()) == []


@pytest.mark.parametrize(
    ("process", "began_at", "disturbed", "count"),
    [
        (1, 10.7, False, 0),
        (1, 10.8, False, 1),
        (1, 12.4, True, 0),
        (1, 12.6, True, 1),
        (2, 10.8, False, 0),
    ],
)
def test_a_process_does_not_go_back_behind_a_version_that_was_seen(
    process, began_at, disturbed, count
):
    """An endpoint saw the effect of the second version through process 1 at 10.5 s."""
    new = HandledCall(
        b"r1", ("n0", 1), 10.4, Outcome(b"/new/1", "plain", 10.5), disturbed=False
    )
    old = HandledCall(
        b"r2",
        ("n0", process),
        began_at,
        Outcome(b"/new/1", None, began_at + 0.1),
        disturbed,
    )
    found = regresses(history(), [old, new])
    assert [item.request_id for item, _ in found] == [b"r2"] * count


def test_a_refusal_is_not_seen_by_an_endpoint_and_proves_no_version():
    gone = HandledCall(
        b"r1", ("n0", 1), 10.4, Outcome(b"/old/1", None, 10.5), disturbed=False
    )
    old = HandledCall(
        b"r2", ("n0", 1), 11.0, Outcome(b"/old/1", "plain", 11.1), disturbed=False
    )
    assert regresses(history(), [gone, old]) == []


@pytest.mark.parametrize(
    ("path", "services", "strange"),
    [
        (b"/m/1", ["plain"], []),
        (b"/m/1", ["plain", "keyed"], ["keyed"]),
        (b"/old/1", ["plain"], []),
        (b"/old/1", ["spare"], ["spare"]),
        (b"/never/1", ["plain"], ["plain"]),
    ],
)
def test_a_run_at_a_service_without_a_route_is_a_violation(path, services, strange):
    assert strange_services(history(), call(path), ran(*services)) == strange


def test_a_run_before_the_first_version_that_allows_it_is_a_violation():
    early = RequestRecord(True, [(9.9, 10.0)], services=["plain"], planned_ends=[10.0])
    assert strange_services(history(), call(b"/new/1"), early) == ["plain"]


def test_the_longest_prefix_decides():
    version = Version(1, 0.0, (ADDED, Route("in", b"/new/in/", "safe", ("spare",))))
    assert version.allows(b"/new/in/1", "spare")
    assert not version.allows(b"/new/in/1", "plain")
    assert version.allows(b"/other/", None)


def test_drawn_versions_add_remove_and_move_routes():
    cfg = ConfigurationHistory(random.Random(1))
    for number in range(30):
        cfg.add(float(number))
    names = [{route.name for route in version.routes} for version in cfg.versions]
    moved = {r.services for v in cfg.versions for r in v.routes if r.name == "moved"}
    assert any(names[i] - names[i + 1] for i in range(29))
    assert all(names[i + 1] - names[i] for i in range(29))
    assert len(moved) == 3


@pytest.mark.parametrize(
    ("since", "until", "seconds"),
    [(0.0, 9.9, 2.0), (0.0, 10.1, 1.0), (10.1, 20.1, 1.0), (20.1, 30.0, 3.0)],
)
def test_the_shortest_timeout_of_the_versions_that_may_be_in_force(
    since, until, seconds
):
    """Guards against requests excused by a time-out that is not in force any more."""
    cfg = ConfigurationHistory(random.Random(1))
    for sent_at, timeout in ((0.0, 2.0), (10.0, 1.0), (20.0, 3.0)):
        cfg.timeout_range = (timeout, timeout)
        cfg.add(sent_at)
    assert cfg.shortest_timeout(b"/p/1", since, until) == seconds
    assert cfg.shortest_timeout(b"/u/1", since, until) == 60.0  # Uploads have none.
