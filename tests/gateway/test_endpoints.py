"""Endpoint selection, admission, retry budget and routes."""

import dataclasses
import random

import pytest

from arbutusflow.gateway import endpoint_directory
from arbutusflow.gateway.endpoint_directory import (
    OUTDATED_ENTRY_SECONDS,
    REREGISTRATION_SECONDS,
    EndpointDirectory,
)
from arbutusflow.gateway.load.admission import Admission
from arbutusflow.gateway.load.endpoint_load import EndpointTable
from arbutusflow.gateway.load.retry_budget import RetryBudget
from arbutusflow.gateway.model import (
    Address,
    Endpoint,
    Repeatability,
    Route,
    WeightedService,
)
from arbutusflow.gateway.routing import RouteTable, WeightedRoundRobin
from arbutusflow.platform.documents import decode_configuration, decode_endpoint
from arbutusflow.platform.store import StoredObject
from tests.gateway.fakes import FakeLog, at
from tests.gateway.test_documents import CONFIGURATION, ENTRY


class FakeCopy:
    """Fake copy of the endpoint entries in the store."""

    def __init__(self, *names):
        self.unreachable_since = None
        self.revision = at(1)
        self.era_entered_at = -1e9
        self.list(*names)

    def list(self, *names):
        self.objects = {n: StoredObject(n, at(1), None, entry(n)) for n in names}


def entry(name):
    return ENTRY | {"metadata": {"name": name}}


def make_directory(copy, available_for=100.0):
    result = EndpointDirectory(copy, lambda now: available_for, FakeLog())
    result.update(0.0)
    return result


def test_an_endpoint_is_dropped_when_its_entry_is_removed():
    """Guards against sending requests to an endpoint that has left."""
    copy = FakeCopy("a", "b")
    directory = make_directory(copy)
    copy.list("a")
    directory.update(1.0)
    assert set(directory.endpoints) == {"a"}


def test_entries_removed_during_an_outage_are_retained_until_reregistration():
    copy = FakeCopy("a", "b")
    available_for = 0.1
    directory = EndpointDirectory(copy, lambda now: available_for, FakeLog())
    directory.update(0.0)
    copy.list("a")
    directory.update(1.0)
    assert set(directory.endpoints) == {"a", "b"}
    available_for = REREGISTRATION_SECONDS
    assert directory.expire(5.0)
    assert set(directory.endpoints) == {"a"}


def put_entry(copy, revision, started_ms, state="ready"):
    """Replace the entry of endpoint "a" by one of the given process."""
    status = ENTRY["spec"]["status"] | {"state": state}
    spec = ENTRY["spec"] | {"status": status, "born": started_ms}
    raw = {"metadata": {"name": "a"}, "spec": spec}
    copy.objects = {**copy.objects, "a": StoredObject("a", at(revision), None, raw)}


def test_an_entry_of_an_earlier_process_does_not_replace_a_later_one():
    """The last write of a crashed process may be executed after the start of the next.

    Guards against taking the running process for gone until its next heartbeat.
    """
    copy = FakeCopy("a", "b")
    directory = make_directory(copy)
    for revision, started_ms in ((2, 2000), (3, 1000)):
        put_entry(copy, revision, started_ms)
        directory.update(float(revision))
        assert directory.endpoints["a"].started_ms == 2000
    put_entry(copy, 4, 2000)
    directory.update(3.8)
    assert not directory.expire(10.0)
    assert directory.endpoints["a"].started_ms == 2000


def test_an_entry_of_an_earlier_process_that_stays_is_accepted():
    """Guards against ignoring for good a process whose host has an earlier time."""
    copy = FakeCopy("a", "b")
    directory = make_directory(copy)
    for revision, started_ms in ((2, 2000), (3, 1000)):
        put_entry(copy, revision, started_ms)
        directory.update(float(revision))
    assert not directory.expire(3.0 + OUTDATED_ENTRY_SECONDS - 0.1)
    assert directory.expire(3.0 + OUTDATED_ENTRY_SECONDS)
    assert directory.endpoints["a"].started_ms == 1000


def test_an_endpoint_that_drains_does_not_become_ready_again_by_a_late_write():
    """Guards against sending requests to an endpoint that is leaving or has left."""
    copy = FakeCopy("a", "b")
    directory = make_directory(copy)
    put_entry(copy, 2, 2000, "draining")
    directory.update(2.0)
    put_entry(copy, 3, 2000)
    directory.update(3.0)
    assert directory.endpoints["a"].draining
    copy.list("b")
    directory.update(4.0)
    put_entry(copy, 5, 2000)
    directory.update(5.0)
    assert directory.endpoints["a"].draining
    put_entry(copy, 6, 3000)
    directory.update(6.0)
    assert not directory.endpoints["a"].draining


def test_an_invalid_entry_does_not_affect_the_others():
    copy = FakeCopy("a", "b")
    copy.objects["b"] = StoredObject("b", at(1), None, {"metadata": {"name": "b"}})
    assert set(make_directory(copy).endpoints) == {"a"}


def table(*zones, draining=()):
    result = EndpointTable("z0", 2.0, random.Random(1))
    result.update(
        {
            f"e{n}": Endpoint(
                f"e{n}", "s", Address(f"e{n}", 1), zone, 2, f"e{n}" in draining, 0.0, 1
            )
            for n, zone in enumerate(zones)
        },
        0.0,
    )
    return result


def chosen(result, **options):
    return result.choose("s", set(), 10.0, **options).endpoint.id


def test_the_endpoint_with_the_lowest_expected_response_time_is_chosen():
    result = table("z0", "z0")
    result.states["e0"].own_in_flight = 4
    assert chosen(result) == "e1"


def test_load_reported_by_other_instances_is_considered():
    result = table("z0", "z0")
    result.update_peer_report("n1", {"e0": 4}, 10.0)
    assert chosen(result) == "e1"


def test_a_peer_report_replaces_the_previous_one_and_expires():
    result = table("z0", "z0")
    e0 = result.states["e0"]
    result.update_peer_report("n1", {"e0": 4}, 10.0)
    result.update_peer_report("n2", {"e0": 1, "e1": 1, "unknown": 1}, 10.0)
    result.update_peer_report("n1", {"e0": 2}, 10.5)
    assert e0.other_in_flight(10.5) == 3
    result.expire_peer_reports(11.6)
    assert e0.other_in_flight(11.6) == 2
    result.expire_peer_reports(12.1)
    assert e0.other_in_flight(12.1) == 0


def test_load_reported_before_an_endpoint_is_listed_is_considered():
    result = table("z0")
    result.update_peer_report("n1", {"e1": 3}, 10.0)
    listed = {name: state.endpoint for name, state in result.states.items()}
    joined = Endpoint("e1", "s", Address("e1", 1), "z0", 2, False, 0.0, 1)
    result.update(listed | {"e1": joined}, 10.1)
    assert result.states["e1"].other_in_flight(10.2) == 3


def test_large_bodies_stay_in_their_availability_zone_within_the_objective():
    """Traffic between availability zones is charged.

    At low load, 60 kB uploads between availability zones would be the largest cost.
    """
    result = table("z0", "z1")
    result.states["e0"].own_in_flight = 4
    assert chosen(result) == "e1"
    assert chosen(result, local_seconds=0.6) == "e0"
    result.states["e0"].own_in_flight = 16
    assert chosen(result, local_seconds=0.6) == "e1"


def test_an_endpoint_that_returns_errors_is_chosen_less():
    result = table("z0", "z0")
    for _ in range(5):
        result.states["e0"].record_outcome(True)
    result.states["e1"].own_in_flight = 2
    assert chosen(result) == "e1"


def test_an_unreachable_endpoint_is_not_chosen_during_backoff():
    result = table("z0", "z0")
    result.states["e0"].mark_unreachable(10.0)
    assert chosen(result) == "e1"
    assert result.choose("s", {"e1"}, 20.0).endpoint.id == "e0"


def test_a_draining_endpoint_is_not_chosen_but_serves_its_keys_at_first():
    result = table("z0", "z0", draining={"e0"})
    assert chosen(result) == "e1"
    assert result.may_serve_keys(result.states["e0"], 0.5)
    assert not result.may_serve_keys(result.states["e0"], 1.9)


def test_a_new_endpoint_gets_a_request_after_its_cold_start():
    """Guards against a new endpoint that gets no requests at low load.

    It would never be chosen while endpoints with lower service times are idle.
    """
    result = table("z0", "z0")
    joined = Endpoint("e9", "s", Address("e9", 1), "z0", 2, False, 3.0, 1)
    listed = {name: state.endpoint for name, state in result.states.items()}
    result.update(listed | {"e9": joined}, 10.0)
    assert result.choose("s", set(), 12.0).endpoint.id != "e9"
    assert result.choose("s", set(), 13.0).endpoint.id == "e9"
    assert result.choose("s", set(), 13.1).endpoint.id != "e9"


def cold_after(*entries, limited=True):
    """Return until when it is cold; entries are numbers and cold times, 1 s apart."""
    result = table("z0")
    result.set_cold_rates({"s": 1.0} if limited else {}, 0.0)
    first = result.states["e0"].endpoint
    for second, (number, seconds) in enumerate(entries):
        changes = {"entry_number": number, "cold_seconds": seconds}
        result.update({"e0": dataclasses.replace(first, **changes)}, second)
        result.update({"e0": result.states["e0"].endpoint}, second + 0.5)
    return result.states["e0"].cold_until


@pytest.mark.parametrize(
    ("entries", "until"),
    [
        ([(1, 0.0), (2, 5.0)], 6.0),  # It turns cold.
        ([(1, 5.0), (2, 5.0)], 6.0),  # Its time begins again.
        ([(1, 9.0), (2, 1.0)], 2.0),  # A later entry is right.
        ([(2, 9.0), (1, 1.0)], 9.0),  # One that was written before is not.
        ([(1, 5.0), (1, 5.0)], 5.0),  # The same entry was read again.
        ([(None, 0.0), (None, 5.0)], 6.0),
    ],
)
def test_an_endpoint_is_cold_again_by_a_later_entry(entries, until):
    """Guards against the usual load for a process that turns cold while it runs."""
    assert cold_after(*entries) == until
    assert cold_after(*entries, limited=False) <= 0.0


def route(rank=1, objective=0.5):
    return Route(
        "r",
        "h",
        "/",
        Repeatability.IDEMPOTENT,
        (WeightedService("s", 1.0),),
        2.0,
        objective,
        rank,
        2,
    )


def refusal_reason(own_in_flight, rank=1, remaining=2.0, objective=0.5):
    result = table("z0")
    result.states["e0"].own_in_flight = own_in_flight
    admission = Admission(result, random.Random(1))
    return admission.check(
        result.states["e0"], route(rank, objective), remaining, 0.0, 10.0
    )


@pytest.mark.parametrize(
    "own_in_flight, options, reason",
    [
        (0, {}, None),
        (2, {}, None),
        (0, {"remaining": 0.1}, "too_late_for_deadline"),
        (6, {}, "too_late_for_objective"),
        (6, {"objective": 2.0, "rank": 2}, "endpoint_full"),
        (6, {"objective": 2.0, "rank": 0}, None),
    ],
)
def test_requests_that_cannot_be_served_in_time_are_refused(
    own_in_flight, options, reason
):
    """Guards against queueing requests that miss their deadline and delay others."""
    assert refusal_reason(own_in_flight, **options) == reason


def retry_after_values(owner=None, remaining=3.0):
    result = table("z0", "z0")
    result.states["e0"].own_in_flight = 8
    admission = Admission(result, random.Random(1))
    state = result.states[owner] if owner else None
    return [admission.retry_after("s", state, remaining, 10.0) for _ in range(50)]


def test_retry_after_is_spread_around_the_expected_wait():
    """Guards against telling callers of a hot key to retry immediately.

    They would be refused again: idle endpoints that do not hold the key do not help.
    """
    waits = retry_after_values("e0")
    assert len({round(wait, 2) for wait in waits}) > 10
    assert sum(waits) / len(waits) > 0.3  # Four rounds of 0.15 s are queued at e0.


def test_retry_after_is_at_most_a_third_of_the_remaining_time():
    assert max(retry_after_values("e0", remaining=0.6)) <= 0.2


def test_retry_after_is_minimal_when_endpoints_have_capacity():
    assert max(retry_after_values()) == 0.1


def test_retries_of_all_instances_stay_within_the_common_budget():
    """Ten instances that each use their full share must not exceed the budget."""
    instances, ratio, slack, window = 10, 0.2, 60.0, 10.0
    budgets = [RetryBudget(ratio, slack, window) for _ in range(instances)]
    requests = retries = 0
    for step in range(100):
        for budget in budgets:
            now = step * 0.1
            budget.count_request("s", now)
            requests += 1
            while budget.allows("s", instances, now):
                budget.count_retry("s", now)
                retries += 1
    assert 0 < retries <= ratio * requests + slack


def test_a_request_matches_by_host_and_path_prefix():
    routes = RouteTable(decode_configuration(CONFIGURATION))
    assert routes.match("shop.example", "/x/1").name == "r1"
    assert routes.match("shop.example", "/z/1") is None
    assert routes.match("other.example", "/x/1") is None


def test_weights_are_met_over_twenty_requests():
    route = decode_configuration(CONFIGURATION).routes[0]
    selector = WeightedRoundRobin()
    assert [selector.choose(route) for _ in range(20)].count("b") == 2


def test_a_change_of_one_entry_decodes_only_that_entry(monkeypatch):
    """Guards against thousands of entries that are decoded again with each change."""
    decoded = []

    def decode(item):
        decoded.append(item["metadata"]["name"])
        return decode_endpoint(item)

    monkeypatch.setattr(endpoint_directory, "decode_endpoint", decode)
    names = [f"e{number}" for number in range(300)]
    copy = FakeCopy(*names)
    directory = make_directory(copy)
    changed = {**entry("e7"), "status": {"state": "draining", "seq": 2, "coldLeftS": 0}}
    copy.objects["e7"] = StoredObject("e7", at(2), None, changed)
    decoded.clear()
    directory.update(1.0)
    assert decoded == ["e7"]
    assert [n for n in names if directory.endpoints[n].draining] == ["e7"]
