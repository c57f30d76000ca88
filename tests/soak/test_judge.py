"""The judge of the soak leaves out what disturbances excuse, and reports the rest.

Guards against violations that are excused by mistake, and against false alarms.
"""

import random
import time

import pytest

from tests.soak.audit import Audit
from tests.soak.configurations import ConfigurationHistory
from tests.soak.connection_audit import is_cut, is_cut_by_reload
from tests.soak.disturbances import STORE, Disturbances
from tests.soak.judge import Judge
from tests.soak.lost_audit import EndpointRecord
from tests.soak.records import Arrival, PlayedCall, RequestRecord
from tests.soak.recover_audit import FinalKill


class Run:
    """A judge with a clock that stands at 100 s; 10 s ago /v1/ was dropped."""

    def __init__(self):
        self.now = 100.0
        self.audit = Audit()
        self.history = ConfigurationHistory(random.Random(1))
        self.disturbances = Disturbances(lambda: self.now)
        self.judge = Judge(self.audit, self.history, self.disturbances)
        self.calls = []
        for sent_at in (0.0, 50.0):
            self.history.add(sent_at)

    def play(self, cut_at=(), **changes):
        """Judge a request that an endpoint had reached when its connection ended."""
        fields = {
            "request_id": b"r%d" % len(self.calls),
            "instance": "n0",
            "idempotent": True,
            "behind": False,
            "deadline_at": 110.0,
            "sent_at": 100.0,
            "began_at": 100.0,
            "ended_at": 101.0,
            "target": b"/p/1",
        }
        call = PlayedCall(**(fields | changes))
        self.audit.seen[call.request_id] = RequestRecord(
            True,
            [(100.1, 100.5)],
            arrivals=[Arrival(100.1, "e1")],
            services=["plain"],
            planned_ends=[100.5],
            cut_at=list(cut_at),
        )
        self.calls.append(call)
        self.judge.judge_run(self.calls)
        return [violation.rule for violation in self.audit.found]


def test_a_request_cut_after_a_planned_stop_is_lost():
    run = Run()
    run.judge.stops["n0"].append(99.0)
    assert run.play() == ["LOST"]


@pytest.mark.parametrize(
    ("subject", "at", "keyed", "rules"),
    [
        ("n0", 98.0, False, []),  # As `disturbances` counts it, not planned.
        ("e7", 98.0, False, []),
        ("e7", 96.9, False, ["LOST"]),
        (STORE, 98.0, False, ["LOST"]),
        (STORE, 98.0, True, []),
    ],
)
def test_unplanned_disturbances_excuse_losses_around_a_stop(subject, at, keyed, rules):
    run = Run()
    run.judge.stops["n0"].append(99.0)
    run.now = at
    run.disturbances.record(subject)
    target = b"/x/1" if keyed else b"/p/1"
    found = run.play(keyed=keyed, target=target)
    assert [rule for rule in found if rule != "ROUTE"] == rules


@pytest.mark.parametrize(("cut_at", "rules"), [((100.5,), ["LOST"]), ((), [])])
def test_an_answer_in_place_of_a_finished_one_is_no_loss(cut_at, rules):
    """Guards against false alarms at seeds 4010 and 4011: unmarked rejections."""
    run = Run()
    run.judge.stops["n0"].append(99.0)
    call = {"status": 502, "ended_at": 100.51}
    assert run.play(cut_at, **call) == rules


def test_a_caller_that_left_has_lost_nothing():
    run = Run()
    run.judge.stops["n0"].append(99.0)
    assert run.play(left_at=101.0) == []


@pytest.mark.parametrize(("calls", "rules"), [(3, []), (4, ["LOST"]), (9, ["LOST"])])
def test_more_than_three_cut_connections_are_a_violation_at_any_time(calls, rules):
    run = Run()
    for _ in range(calls):
        found = run.play()
    assert found == rules


def test_an_instance_that_is_not_in_touch_may_cut_connections():
    run = Run()
    run.disturbances.record("n0")
    for _ in range(9):
        found = run.play()
    assert found == []


@pytest.mark.parametrize(
    ("disturbed_at", "rules"), [(96.9, ["CONFIG"]), (97.1, []), (None, ["CONFIG"])]
)
def test_a_late_configuration_counts_at_instances_in_touch(disturbed_at, rules):
    run = Run()
    if disturbed_at is not None:
        run.now = disturbed_at
        run.disturbances.record("n0")
    target = b"/v%d/1" % run.history.versions[1].number
    dropped = {"target": target, "status": 404}
    call_id = b"r0"
    run.calls.append(
        PlayedCall(
            call_id,
            "n0",
            True,
            False,
            110.0,
            100.0,
            101.0,
            began_at=100.0,
            **dropped,
        )
    )
    run.judge.judge_run(run.calls)
    assert [violation.rule for violation in run.audit.found] == rules


def test_requests_are_judged_once_and_not_before_their_time():
    run = Run()
    run.judge.stops["n0"].append(time.monotonic() - 1.0)
    now = time.monotonic()
    call = PlayedCall(b"r1", "n0", True, False, now + 9, now - 0.5, now, began_at=now)
    run.audit.seen[b"r1"].arrived = True
    run.judge.judge_ended([call])
    assert run.audit.found == []
    for _ in range(2):
        run.judge.judge_ended([call], final=True)
    assert [violation.rule for violation in run.audit.found] == ["LOST"]


@pytest.mark.parametrize(
    ("last_fault_at", "rules"), [(None, ["RECOVER"]), (90.0, []), (80.0, ["RECOVER"])]
)
def test_the_recovery_begins_after_the_last_disturbance(last_fault_at, rules):
    run = Run()
    run.judge.final_kill = FinalKill(at=70.0, back_at=72.0)
    if last_fault_at is not None:
        run.now = last_fault_at
        run.disturbances.record("e7")
    for number in range(20):
        sent_at, status = (60.0, 200) if number < 10 else (100.0, 503)
        call = PlayedCall(
            b"r%d" % number,
            "n0",
            True,
            False,
            sent_at + 2,
            sent_at,
            sent_at + 1,
            status,
        )
        run.calls.append(call)
    run.judge.judge_run(run.calls)
    assert [violation.rule for violation in run.audit.found] == rules


@pytest.mark.parametrize(
    ("changes", "endpoint", "cut"),
    [
        ({}, EndpointRecord(arrived=True), True),
        ({"status": 200}, EndpointRecord(arrived=True), False),
        ({"deadline_at": 101.0}, EndpointRecord(arrived=True), False),
        ({}, EndpointRecord(arrived=True, broken_off=True), False),
        ({"ended_at": 100.1}, EndpointRecord(), False),
        ({"ended_at": 100.3}, EndpointRecord(), True),
        ({"behind": True}, EndpointRecord(), False),
    ],
)
def test_what_counts_as_cut(changes, endpoint, cut):
    fields = {"deadline_at": 110.0, "sent_at": 100.0, "ended_at": 101.0}
    call = PlayedCall(b"r", "n0", True, **({"behind": False} | fields | changes))
    assert is_cut(call, endpoint) is cut


@pytest.mark.parametrize(
    ("reload_at", "cut"), [(101.1, False), (100.9, True), (98.1, True), (97.9, False)]
)
def test_a_reload_is_charged_with_requests_cut_after_it(reload_at, cut):
    call = PlayedCall(b"r", "n0", True, False, 110.0, 100.0, 101.0)
    assert is_cut_by_reload(call, EndpointRecord(arrived=True), [reload_at]) is cut


@pytest.mark.parametrize(
    ("ended_at", "calm_cuts", "rules"),
    [(52.9, 0, ["LOST"]), (53.1, 0, []), (52.9, 1, []), (49.9, 0, [])],
)
def test_the_judge_finds_requests_cut_beside_a_configuration(
    ended_at, calm_cuts, rules
):
    """The second version was sent at 50 s; an instance may cut some at any time."""
    run = Run()
    calls = {b"cut": (None, ended_at)} | {b"ok%d" % n: (200, 51.0) for n in range(2)}
    calls |= {b"calm%d" % n: (None, 70.0) for n in range(calm_cuts)}
    for request_id, (status, ended) in calls.items():
        call = PlayedCall(request_id, "n0", True, False, 110.0, ended - 1, ended)
        call.status, call.began_at, call.target = status, ended - 1, b"/p/1"
        run.calls.append(call)
        run.audit.seen[request_id].arrived = True
    run.calls.sort(key=lambda call: call.ended_at)
    run.judge.judge_run(run.calls)
    assert [violation.rule for violation in run.audit.found] == rules


@pytest.mark.parametrize(
    "sent_at, started_at, late",
    [
        pytest.param(100.0, 0.0, 1, id="late"),
        pytest.param(98.0, 0.0, 0, id="early"),
        pytest.param(100.0, 99.0, 0, id="next-process"),
    ],
)
def test_requests_late_in_a_stop_are_counted(sent_at, started_at, late):
    """Guards against runs that seem to judge late requests and play none."""
    run = Run()
    run.judge.stops["n0"].append(96.5)
    run.judge.starts["n0"].append(started_at)
    run.play(sent_at=sent_at, began_at=sent_at, status=200, signed=True)
    assert run.judge.judged["LOST"] == 1
    assert run.judge.judged["LOST late"] == late


@pytest.mark.parametrize(
    "planned, rules",
    [
        pytest.param(True, ["CONFIG"], id="reload-slows-nothing"),
        pytest.param(False, [], id="paused"),
    ],
)
def test_planned_work_does_not_excuse_a_step_back(planned, rules):
    """Guards against steps back that any signal of an operator excuses."""
    run = Run()
    run.now = 99.0
    run.disturbances.record("n0", planned=planned)
    run.now = 102.0
    run.judge.starts["n0"].append(0.0)
    route = run.history.versions[1].routes[-1]
    for number, (began_at, status) in enumerate([(100.0, 200), (101.0, 404)]):
        call = PlayedCall(
            b"r%d" % number,
            "n0",
            idempotent=True,
            behind=False,
            deadline_at=110.0,
            sent_at=began_at,
            began_at=began_at,
            ended_at=began_at + 0.2,
            target=route.prefix + b"1",
            status=status,
            signed=status == 200,
        )
        run.calls.append(call)
    run.audit.seen[b"r0"] = RequestRecord(
        True, [(100.1, 100.2)], services=list(route.services), planned_ends=[100.2]
    )
    run.judge.judge_run(run.calls)
    assert [violation.rule for violation in run.audit.found] == rules


@pytest.mark.parametrize(
    "ended_at, arrived, rules",
    [
        pytest.param(99.9, False, [], id="ended-before"),
        pytest.param(100.1, False, [], id="crosses-the-close"),
        pytest.param(99.9, True, ["LOST"], id="passed-on"),
        pytest.param(100.7, False, ["LOST"], id="cut"),
    ],
)
def test_a_request_is_judged_by_the_end_of_its_connection(ended_at, arrived, rules):
    """Guards against requests on closed connections that are counted as lost, and lost
    requests of late readers that are not."""
    run = Run()
    run.judge.stops["n0"].append(99.0)
    call = PlayedCall(
        b"r0",
        "n0",
        idempotent=True,
        behind=False,
        deadline_at=110.0,
        sent_at=100.0,
        began_at=100.0,
        ended_at=ended_at,
        target=b"/p/large",
    )
    run.audit.seen[b"r0"] = RequestRecord(arrived)
    run.judge.judge_run([call])
    assert [violation.rule for violation in run.audit.found] == rules
