"""Phases of an instance, with times that need no clock."""

import itertools

import pytest
from hypothesis import given, strategies as st

from arbutusflow.gateway.lifecycle import Lifecycle, Phase, StopPlan, Work
from arbutusflow.gateway.response_times import (
    MIN_RESPONSES,
    WINDOW_SECONDS,
    LongestResponseTimes,
)

GRACE_SECONDS = 6.0
IDLE = Work(0, connections_busy=False, deregistered=True)
BUSY = Work(1, connections_busy=True)
NEW_CONNECTION = Work(0, connections_busy=True, deregistered=True)
REGISTERED = Work(0, connections_busy=False)
ANY_WORK = st.sampled_from([IDLE, BUSY, NEW_CONNECTION, REGISTERED])


def _stopped(grace_seconds=GRACE_SECONDS):
    lifecycle = Lifecycle()
    lifecycle.become_ready(0.0)
    lifecycle.stop(0.0, grace_seconds)
    return lifecycle


def _advance(lifecycle, work, now):
    """Return all phases entered at this time."""
    entered = []
    while True:
        previous = lifecycle.phase
        if lifecycle.advance(work, now) is previous:
            return entered
        entered.append(lifecycle.phase)


def test_an_instance_is_ready_only_between_its_start_and_a_stop():
    lifecycle = Lifecycle()
    assert not lifecycle.ready
    lifecycle.become_ready(0.0)
    assert lifecycle.ready
    lifecycle.stop(0.0, GRACE_SECONDS)
    lifecycle.become_ready(0.0)
    assert not lifecycle.ready


def test_a_second_signal_changes_nothing():
    lifecycle = _stopped()
    plan = lifecycle.plan
    assert not lifecycle.stop(3.0, GRACE_SECONDS)
    assert lifecycle.plan is plan


def test_an_idle_instance_ends_when_the_balancer_has_had_its_time():
    lifecycle = _stopped()
    assert _advance(lifecycle, IDLE, 2.5) == []
    assert _advance(lifecycle, IDLE, 2.7)[-1] is Phase.ENDED


def test_requests_are_accepted_while_others_are_pending_but_not_until_the_end():
    """Guards against requests that are read when no time is left to serve them."""
    lifecycle = _stopped()
    assert _advance(lifecycle, BUSY, 2.7) == [Phase.DRAINING]
    assert _advance(lifecycle, BUSY, 4.2) == []
    assert _advance(lifecycle, BUSY, 4.4) == [Phase.CLOSING]


def test_pending_requests_get_final_answers_before_the_end():
    """Guards against a process that ends with requests that it has read."""
    lifecycle = _stopped()
    _advance(lifecycle, BUSY, 5.2)
    assert lifecycle.phase is Phase.CLOSING
    assert _advance(lifecycle, BUSY, 5.35) == [Phase.ENDING]
    assert _advance(lifecycle, BUSY, 5.5) == []
    assert _advance(lifecycle, BUSY, 5.65) == [Phase.ENDED]


def test_an_instance_waits_for_requests_though_no_connection_is_busy():
    """Guards against a stop that looks at connections only."""
    lifecycle = _stopped()
    _advance(lifecycle, IDLE, 2.5)
    pending = Work(1, connections_busy=False, deregistered=True)
    assert _advance(lifecycle, pending, 4.4)[-1] is Phase.CLOSING


def test_the_time_of_the_latest_change_of_phase_is_known():
    lifecycle = Lifecycle(1.0)
    assert lifecycle.phase_since == 1.0
    lifecycle.become_ready(2.0)
    assert lifecycle.phase_since == 2.0
    lifecycle.stop(3.0, GRACE_SECONDS)
    assert lifecycle.phase_since == 3.0
    _advance(lifecycle, BUSY, 5.7)
    assert (lifecycle.phase, lifecycle.phase_since) == (Phase.DRAINING, 5.7)


def test_a_new_connection_gets_time_before_the_process_ends():
    lifecycle = _stopped()
    _advance(lifecycle, NEW_CONNECTION, 2.7)
    assert lifecycle.phase is Phase.CLOSING
    assert _advance(lifecycle, IDLE, 2.8)[-1] is Phase.ENDED


def test_requests_that_arrive_while_an_instance_deregisters_are_waited_for():
    """Guards against a process that ends in the same moment in which it deregisters."""
    lifecycle = _stopped()
    assert _advance(lifecycle, REGISTERED, 2.7)[-1] is Phase.CLOSING
    assert _advance(lifecycle, BUSY, 2.75) == []
    assert _advance(lifecycle, IDLE, 3.0)[-1] is Phase.ENDED


@given(
    st.lists(st.tuples(st.floats(0.0, 3.0), ANY_WORK), max_size=30),
    st.one_of(st.just(0.0), st.floats(0.0, 30.0)),
)
def test_phases_never_go_back_and_the_process_ends_in_time(steps, grace_seconds):
    """Guards against a stop that SIGKILL ends, also after a pause of the process."""
    lifecycle = _stopped(grace_seconds)
    phases, now = [lifecycle.phase], 0.0
    for seconds, work in steps:
        now += seconds
        phases += _advance(lifecycle, work, now)
        if now >= lifecycle.plan.ends_at:
            assert lifecycle.phase is Phase.ENDED
    assert all(b == a + 1 for a, b in itertools.pairwise(phases))


@given(st.floats(0.0, 60.0), st.floats(0.0, 1 / 6))
def test_the_times_of_a_stop_are_in_order_for_any_grace_period(grace_seconds, lag):
    plan = StopPlan.from_grace(10.0, grace_seconds, lag * grace_seconds)
    times = [plan.began, plan.rotation_until, plan.accepts_until]
    times += [plan.answers_until, plan.ends_at]
    assert times == sorted(times)
    assert plan.ends_at <= 10.0 + max(grace_seconds, 0.0)


@given(st.floats(0.01, 60.0))
def test_work_at_an_endpoint_is_not_broken_off_before_the_last_sixth(grace_seconds):
    """Guards against a short grace period that is spent on the margins of the end."""
    plan = StopPlan.from_grace(0.0, grace_seconds)
    assert plan.answers_until >= grace_seconds * 5 / 6


@pytest.mark.parametrize("until, admitted", [(5.2, True), (5.4, False)])
def test_a_request_is_admitted_if_its_deadline_is_before_the_final_answers(
    until, admitted
):
    assert _stopped().admits(None, 3.0, until, 3.0) is admitted


@given(st.floats(0.0, 30.0), st.floats(0.0, 30.0), st.floats(0.0, 10.0))
def test_short_responses_admit_no_request_that_is_read_after_the_rotation(
    grace_seconds, read_at, longest
):
    """Guards against a late run that is longer than those before, and is cut off."""
    lifecycle = _stopped(grace_seconds)
    plan = lifecycle.plan
    read_at += plan.rotation_until + 1e-6
    assert not lifecycle.admits(longest, read_at, plan.answers_until + 1e-6, read_at)
    assert lifecycle.admits(longest, read_at, plan.answers_until, read_at)


def _measured(*times, has_run=True, at=0.0):
    measured = LongestResponseTimes()
    for seconds in times:
        number = measured.begin("s", at - seconds)
        measured.end("s", number, at, has_run=has_run)
    return measured


def test_the_longest_response_time_is_forgotten_after_two_windows():
    """Guards against a service without recent responses that counts as immediate."""
    times = _measured(2.0, *[0.1] * MIN_RESPONSES)
    assert times.longest("s", WINDOW_SECONDS + 1.0) == 2.0
    assert times.longest("s", 2 * WINDOW_SECONDS + 1.0) is None
    assert times.longest("other", 0.0) is None


def test_times_of_the_window_before_count_beside_the_current_one():
    times = _measured(2.0, *[0.1] * MIN_RESPONSES)
    number = times.begin("s", WINDOW_SECONDS)
    times.end("s", number, WINDOW_SECONDS + 1.0, has_run=True)
    assert times.longest("s", WINDOW_SECONDS + 2.0) == 2.0


def test_rejections_and_few_responses_do_not_count_as_measured():
    """Guards against an overloaded service that looks fast because it rejects."""
    assert _measured(*[0.01] * 100, has_run=False).longest("s", 0.0) is None
    assert _measured(*[0.01] * (MIN_RESPONSES - 1)).longest("s", 0.0) is None
    assert _measured(*[0.01] * MIN_RESPONSES).longest("s", 0.0) == pytest.approx(0.01)


def test_a_request_in_flight_counts_with_its_age():
    """Guards against a service that has become slow and has not responded since."""
    times = _measured(*[0.1] * MIN_RESPONSES)
    times.begin("s", 1.0)
    times.begin("s", 3.0)
    assert times.longest("s", 4.0) == 3.0


@pytest.mark.parametrize("lag", [0.0, 0.2, 0.3, 0.5, 0.6, 0.8, 1.0])
def test_a_signal_that_is_noticed_late_cuts_no_work_before_the_last_part(lag):
    """Guards against final answers while work at endpoints still has its time.

    The signal may have arrived at any moment of the lag, so SIGKILL may come early, and
    the last sixth of the grace period, in which work may be ended, may begin late.
    """
    plan = StopPlan.from_grace(-lag, GRACE_SECONDS, lag)
    assert plan.ends_at <= GRACE_SECONDS - lag - 0.1 + 1e-9
    assert plan.ends_at - plan.answers_until >= 0.3 - 1e-9
    if lag <= 0.6:
        assert plan.answers_until >= GRACE_SECONDS * 5 / 6 - 1e-9
    else:
        assert plan.ends_at == pytest.approx(GRACE_SECONDS - lag - 0.1)
