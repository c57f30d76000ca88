"""The check for cut-off requests, just inside and just outside each of its bounds."""

import dataclasses

import pytest

from tests.soak.callers import CallRecord
from tests.soak.lost_audit import EndpointRecord, is_lost

STOPS = {"n0": [100.0]}
CALL = CallRecord(
    b"r", "n0", True, False, deadline_at=110.0, sent_at=104.0, ended_at=105.0
)
ARRIVED = EndpointRecord(arrived=True, runs=[(104.0, 104.5)])


def judge(call=CALL, endpoint=ARRIVED, **changes):
    return is_lost(dataclasses.replace(call, **changes), endpoint, STOPS)


def test_a_cut_request_that_reached_an_endpoint_is_lost():
    assert judge()
    assert not judge(status=200, signed=True)
    assert not judge(status=503)


@pytest.mark.parametrize("ended, lost", [(99.9, False), (106.9, True), (107.1, False)])
def test_only_ends_between_the_signal_and_the_end_of_the_window_count(ended, lost):
    assert judge(sent_at=99.0, ended_at=ended) is lost


@pytest.mark.parametrize("ended, lost", [(104.1, False), (104.3, True)])
def test_a_request_that_reached_no_endpoint_may_cross_the_close(ended, lost):
    assert judge(endpoint=EndpointRecord(), ended_at=ended) is lost


def test_a_request_behind_another_counts_once_it_reached_an_endpoint():
    assert judge(behind=True)
    assert not judge(endpoint=EndpointRecord(), behind=True)


@pytest.mark.parametrize("sent, lost", [(102.9, False), (103.1, True)])
def test_work_at_the_end_of_the_grace_period_excuses_early_requests(sent, lost):
    endpoint = EndpointRecord(arrived=True, runs=[(sent, None)])
    assert judge(endpoint=endpoint, sent_at=sent, ended_at=105.9) is lost


def test_a_queued_request_is_not_excused_by_work_that_never_began():
    endpoint = EndpointRecord(arrived=True)
    assert judge(endpoint=endpoint, sent_at=101.0, ended_at=105.7)


@pytest.mark.parametrize(
    "cut_at, lost", [(99.9, False), (104.9, True), (106.9, True), (107.1, False)]
)
@pytest.mark.parametrize("read_after", [0.0, 1.0])
def test_an_answer_in_place_of_an_endpoint_at_work_counts(cut_at, lost, read_after):
    """Guards against answers that their callers read after the window of the stop."""
    cut = EndpointRecord(arrived=True, runs=[(104.0, cut_at)], cut_at=[cut_at])
    ended = cut_at + read_after
    assert judge(endpoint=cut, status=502, ended_at=ended) is lost
    assert not judge(status=502)


@pytest.mark.parametrize("limit, lost", [(104.9, False), (104.91, True)])
def test_an_answer_in_place_of_an_endpoint_at_its_deadline_does_not_count(limit, lost):
    """Guards against answers of the instance just before the deadline."""
    cut = EndpointRecord(arrived=True, runs=[(104.0, 104.9)], cut_at=[104.9])
    assert judge(endpoint=cut, status=504, ended_at=104.9, deadline_at=limit) is lost


@pytest.mark.parametrize("status", [502, 503, 504])
@pytest.mark.parametrize("end, lost", [(104.9, False), (105.1, True), (None, True)])
def test_an_answer_beside_a_run_that_goes_on_counts(end, lost, status):
    """Guards against answers of the instance that leave the run where it is."""
    running = EndpointRecord(arrived=True, runs=[(104.0, end)])
    assert judge(endpoint=running, status=status, ended_at=105.0) is lost


@pytest.mark.parametrize("first, lost", [(98.6, True), (98.4, False)])
def test_the_windows_of_two_stops_overlap(first, lost):
    """Guards against cuts in the window of a stop that the next signal hides."""
    cut = EndpointRecord(arrived=True, runs=[(104.0, 105.5)], cut_at=[105.5])
    call = dataclasses.replace(CALL, status=502, ended_at=106.2)
    assert is_lost(call, cut, {"n0": [first, 106.0]}) is lost


@pytest.mark.parametrize("status", [502, 503, 504, None])
@pytest.mark.parametrize("cut_at, lost", [(106.9, True), (107.1, False)])
def test_the_process_that_is_started_next_is_judged_up_to_the_window(
    status, cut_at, lost
):
    """Guards against cuts by the next process that only its own stops would count."""
    cut = EndpointRecord(arrived=True, runs=[(103.5, cut_at)], cut_at=[cut_at])
    assert judge(endpoint=cut, sent_at=103.5, status=status, ended_at=cut_at) is lost


def test_a_caller_that_gives_up_has_not_been_cut_off():
    """Guards against requests behind one whose caller closed the connection."""
    assert judge()
    assert not judge(gave_up=True)


def test_a_deadline_and_a_broken_answer_excuse_the_instance():
    assert not judge(deadline_at=105.0)
    assert not judge(endpoint=dataclasses.replace(ARRIVED, broken_off=True))
