"""The checks for GONE and RECOVER, just inside and just outside each of their bounds.

Guards against checks of the soak that never fail, and against false alarms.
"""

import pytest

from tests.soak.gone_audit import judge_leaving
from tests.soak.records import Arrival, PlayedCall, RequestRecord
from tests.soak.recover_audit import FinalKill, judge_recovery


def left(*, idempotent=True):
    """Return a request whose caller left at 10 s."""
    return PlayedCall(
        b"r1", "n0", idempotent, False, 20.0, 9.0, ended_at=10.0, left_at=10.0
    )


def arriving(at):
    return RequestRecord(arrivals=[Arrival(at, "e1")])


def working(end, planned=12.0):
    return RequestRecord(True, [(9.1, end)], services=["plain"], planned_ends=[planned])


@pytest.mark.parametrize(
    ("arrivals", "broken"),
    [
        ([10.4] * 9, False),
        ([10.6] * 3, False),
        ([10.6] * 4, True),
        ([10.6] * 3 + [10.4], False),
    ],
)
def test_more_than_a_few_late_arrivals_are_a_violation(arrivals, broken):
    pairs = [(left(idempotent=False), arriving(at)) for at in arrivals]
    assert judge_leaving(pairs).arrives_late is broken


@pytest.mark.parametrize(
    ("ends", "broken"),
    [
        ([10.4, 10.4, 10.4, 10.6], False),
        ([10.4, 10.4, 10.6, 10.6], True),
        ([10.4, 10.4, None, None], True),
        ([10.6, 10.6, 10.6], False),  # Too few to say.
    ],
)
def test_work_on_more_than_a_quarter_of_the_requests_is_a_violation(ends, broken):
    report = judge_leaving((left(), working(end)) for end in ends)
    assert report.works_on is broken


def test_only_idempotent_requests_that_would_have_lasted_count():
    short = [(left(), working(10.45, planned=10.45)) for _ in range(8)]
    orders = [(left(idempotent=False), working(12.0)) for _ in range(8)]
    report = judge_leaving([*short, *orders])
    assert (report.lasting, report.works_on) == ([], False)


def test_a_caller_that_waits_is_not_judged():
    waits = PlayedCall(b"r1", "n0", True, False, 20.0, 9.0, ended_at=10.0)
    report = judge_leaving([(waits, working(12.0)), (waits, arriving(15.0))] * 8)
    assert (report.late, report.lasting) == ([], [])


KILL = FinalKill(at=100.0, back_at=102.0)


def sent(sent_at, status):
    return PlayedCall(
        b"r", "n0", True, False, sent_at + 2, sent_at, sent_at + 0.1, status
    )


def recovery(served_before, served_after, sent_at=117.1):
    """Judge 20 requests before the kill and 20 sent after the recovery."""
    calls = [sent(90.0, 200 if n < served_before else 503) for n in range(20)]
    calls += [sent(sent_at, 200 if n < served_after else 503) for n in range(20)]
    return judge_recovery(calls, KILL)


@pytest.mark.parametrize(("served", "recovered"), [(5, True), (4, False), (0, False)])
def test_less_than_a_quarter_served_after_the_recovery_is_a_violation(
    served, recovered
):
    assert recovery(20, served).recovered is recovered


def test_requests_sent_during_the_recovery_are_not_judged():
    assert not recovery(20, 0, sent_at=117.1).recovered
    assert recovery(20, 0, sent_at=116.9).recovered


@pytest.mark.parametrize(("served", "judged"), [(5, True), (4, False)])
def test_a_quarter_must_have_been_served_before(served, judged):
    report = recovery(served, 0)
    assert (report.judged, report.recovered) == (judged, not judged)
