"""Which endpoints are used: lists, load, failures, and what waits."""

import random

import pytest

from arbutusflow.gateway.admission import Admission
from arbutusflow.gateway.endpoint_directory import RETURN_SECONDS, EndpointDirectory
from arbutusflow.gateway.endpoint_load import EndpointTable
from arbutusflow.gateway.model import (
    Address,
    Endpoint,
    Repeatability,
    Route,
    WeightedService,
)
from arbutusflow.gateway.retry_budget import RetryBudget
from arbutusflow.gateway.routing import RouteTable, WeightedChoice
from arbutusflow.platform.documents import decode_configuration
from arbutusflow.platform.store import StoredObject
from tests.gateway.fakes import FakeLog
from tests.gateway.test_documents import CONFIGURATION, ENTRY


class FakeCopy:
    """Entries of the store and when it answered."""

    def __init__(self, *names):
        self.lost_at = None
        self.revision = 1
        self.list(*names)

    def list(self, *names):
        self.objects = {n: StoredObject(n, 1, None, entry(n)) for n in names}


def entry(name):
    return ENTRY | {"metadata": {"name": name}}


def directory(copy, answers_for=100.0):
    result = EndpointDirectory(copy, lambda now: answers_for, FakeLog())
    result.update(0.0)
    return result


def test_an_entry_that_vanished_is_gone():
    """An instance that had been cut off sent work to an endpoint that had left."""
    copy = FakeCopy("a", "b")
    listed = directory(copy)
    copy.list("a")
    listed.update(1.0)
    assert set(listed.endpoints) == {"a"}


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_may_be_back():
    copy = FakeCopy("a", "b")
    answers_for = 0.1
    listed = EndpointDirectory(copy, lambda now: answers_for, FakeLog())
    listed.update(0.0)
    copy.list("a")
    listed.update(1.0)
    assert set(listed.endpoints) == {"a", "b"}
    answers_for = RETURN_SECONDS
    assert listed.settle(5.0)
    assert set(listed.endpoints) == {"a"}


def test_an_unreadable_entry_leaves_the_others_in_use():
    copy = FakeCopy("a", "b")
    copy.objects["b"] = StoredObject("b", 1, None, {"metadata": {"name": "b"}})
    assert set(directory(copy).endpoints) == {"a"}


def table(*zones, draining=()):
    result = EndpointTable("z0", drain_seconds=2.0)
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


def test_work_goes_where_it_is_expected_to_take_least():
    result = table("z0", "z0")
    result.states["e0"].own = 4
    assert chosen(result) == "e1"


def test_the_load_that_others_report_counts():
    result = table("z0", "z0")
    result.take_report("n1", {"e0": 4}, 10.0)
    assert chosen(result) == "e1"


def test_load_that_an_instance_reports_is_counted_once_and_ends_with_it():
    result = table("z0", "z0")
    e0 = result.states["e0"]
    result.take_report("n1", {"e0": 4}, 10.0)
    result.take_report("n2", {"e0": 1, "e1": 1, "unknown": 1}, 10.0)
    result.take_report("n1", {"e0": 2}, 10.5)
    assert e0.others(10.5) == 3
    result.drop_old_reports(11.6)
    assert e0.others(11.6) == 2
    result.drop_old_reports(12.1)
    assert e0.others(12.1) == 0


def test_load_reported_before_an_endpoint_is_listed_counts():
    result = table("z0")
    result.take_report("n1", {"e1": 3}, 10.0)
    listed = {name: state.endpoint for name, state in result.states.items()}
    joined = Endpoint("e1", "s", Address("e1", 1), "z0", 2, False, 0.0, 1)
    result.update(listed | {"e1": joined}, 10.1)
    assert result.states["e1"].others(10.2) == 3


def test_large_bodies_stay_in_their_zone_within_their_objective():
    """Uploads of 60 kB between zones cost more than anything else on calm days."""
    result = table("z0", "z1")
    result.states["e0"].own = 4
    assert chosen(result) == "e1"
    assert chosen(result, local_seconds=0.6) == "e0"
    result.states["e0"].own = 16
    assert chosen(result, local_seconds=0.6) == "e1"


def test_an_endpoint_that_fails_part_of_its_work_gets_less():
    result = table("z0", "z0")
    for _ in range(5):
        result.states["e0"].note_outcome(True)
    result.states["e1"].own = 2
    assert chosen(result) == "e1"


def test_an_unreachable_endpoint_is_left_alone_for_a_while():
    result = table("z0", "z0")
    result.states["e0"].note_unreachable(10.0)
    assert chosen(result) == "e1"
    assert result.choose("s", {"e1"}, 20.0).endpoint.id == "e0"


def test_a_leaving_endpoint_gets_no_new_work_but_its_keys_for_a_while():
    result = table("z0", "z0", draining={"e0"})
    assert chosen(result) == "e1"
    assert result.may_use(result.states["e0"], 0.5)
    assert not result.may_use(result.states["e0"], 1.9)


def test_an_endpoint_that_joins_gets_work_when_it_is_warm():
    """At a low load its measured peers were always preferred to it."""
    result = table("z0", "z0")
    joined = Endpoint("e9", "s", Address("e9", 1), "z0", 2, False, 3.0, 1)
    listed = {name: state.endpoint for name, state in result.states.items()}
    result.update(listed | {"e9": joined}, 10.0)
    assert result.choose("s", set(), 12.0).endpoint.id != "e9"
    assert result.choose("s", set(), 13.0).endpoint.id == "e9"
    assert result.choose("s", set(), 13.1).endpoint.id != "e9"


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


def verdict(own, rank=1, left=2.0, objective=0.5):
    result = table("z0")
    result.states["e0"].own = own
    admission = Admission(result, random.Random(1))
    return admission.check(result.states["e0"], route(rank, objective), left, 0.0, 10.0)


@pytest.mark.parametrize(
    "own, options, reason",
    [
        (0, {}, None),
        (2, {}, None),
        (0, {"left": 0.1}, "too_late_for_deadline"),
        (6, {}, "too_late_for_objective"),
        (6, {"objective": 2.0, "rank": 2}, "endpoint_full"),
        (6, {"objective": 2.0, "rank": 0}, None),
    ],
)
def test_a_burst_is_refused_as_far_as_it_cannot_be_served_in_time(own, options, reason):
    """Held to the end, it used to cost its whole worth and delay the rest."""
    assert verdict(own, **options) == reason


def retry_times(owner=None, left=3.0):
    result = table("z0", "z0")
    result.states["e0"].own = 8
    admission = Admission(result, random.Random(1))
    state = result.states[owner] if owner else None
    return [admission.retry_after("s", state, left, 10.0) for _ in range(50)]


def test_returning_callers_are_spread_over_the_time_at_which_room_appears():
    """Callers of a busy key were told to come back at once, while idle endpoints
    that do not hold the key were counted, and were refused again."""
    waits = retry_times("e0")
    assert len({round(wait, 2) for wait in waits}) > 10
    assert sum(waits) / len(waits) > 0.3  # Four rounds of 0.15 s wait there.


def test_a_caller_is_not_told_to_wait_longer_than_it_would():
    assert max(retry_times("e0", left=0.6)) <= 0.2


def test_where_there_is_room_callers_come_back_soon():
    assert max(retry_times()) == 0.1


def test_repeats_stay_within_the_budget_of_the_fleet():
    """Ten instances that each spend their part must not exceed the whole."""
    instances, ratio, slack, window = 10, 0.2, 60.0, 10.0
    budgets = [RetryBudget(ratio, slack, window) for _ in range(instances)]
    requests = repeats = 0
    for step in range(100):
        for budget in budgets:
            now = step * 0.1
            budget.count_request("s", now)
            requests += 1
            while budget.allows("s", instances, now):
                budget.count_repeat("s", now)
                repeats += 1
    assert 0 < repeats <= ratio * requests + slack


def test_the_longest_prefix_of_the_host_is_the_route():
    routes = RouteTable(decode_configuration(CONFIGURATION))
    assert routes.match("shop.example", "/x/1").name == "r1"
    assert routes.match("shop.example", "/z/1") is None
    assert routes.match("other.example", "/x/1") is None


def test_a_split_is_met_within_a_few_requests():
    route = decode_configuration(CONFIGURATION).routes[0]
    choice = WeightedChoice()
    assert [choice.choose(route) for _ in range(20)].count("b") == 2
