"""The check for requests cut beside configurations, on both sides of each bound."""

import dataclasses

import pytest

from tests.soak.callers import CallRecord
from tests.soak.connection_audit import cut_by_configurations
from tests.soak.lost_audit import EndpointRecord

SENT = [100.0]
ARRIVED = EndpointRecord(arrived=True)
CALL = CallRecord(
    b"r", "n0", True, False, 111.0, sent_at=101.0, ended_at=101.5, began_at=101.0
)


def ended(count, at, **changes):
    call = dataclasses.replace(CALL, ended_at=at, **changes)
    return [(call, ARRIVED)] * count


def answered(count, at):
    return ended(count, at, status=200, signed=True)


def lost(*groups):
    return len(
        cut_by_configurations([pair for group in groups for pair in group], SENT)
    )


@pytest.mark.parametrize(
    ("ended_at", "expected"), [(99.9, 0), (100.1, 1), (102.9, 1), (103.1, 0)]
)
def test_only_cuts_until_one_second_after_the_bound_count(ended_at, expected):
    others = answered(9, 90.0), answered(9, 101.0)
    assert lost(*others, ended(1, ended_at)) == expected


@pytest.mark.parametrize(("beside", "expected"), [(3, 0), (4, 4)])
def test_cuts_over_three_times_as_often_count(beside, expected):
    calm = answered(99, 90.0), ended(1, 90.0)
    assert lost(*calm, answered(100 - beside, 101.0), ended(beside, 101.0)) == expected


def test_cuts_are_counted_for_each_instance():
    """Guards against a fault of one instance that others' cuts hide."""
    of_another = ended(9, 90.0, instance="n1")
    assert lost(answered(9, 90.0), of_another, ended(1, 101.0)) == 1


@pytest.mark.parametrize(("limit", "expected"), [(101.71, 0), (101.72, 1)])
def test_a_request_that_has_used_seven_tenths_of_its_time_is_not_counted(
    limit, expected
):
    assert lost(answered(9, 90.0), ended(1, 101.5, deadline_at=limit)) == expected


def test_answers_and_what_an_endpoint_broke_off_are_no_cuts():
    broken = [(CALL, EndpointRecord(arrived=True, broken_off=True))]
    assert lost(answered(9, 90.0), answered(9, 101.0), broken) == 0


def test_cuts_count_if_nothing_ended_at_other_times():
    assert lost(ended(1, 101.0)) == 1
