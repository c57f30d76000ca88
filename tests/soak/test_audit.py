"""The audit of the soak reports what breaks a promise, and nothing else.

Guards against checks of the soak that never fail, and against false alarms.
"""

import asyncio

import pytest

from arbutusflow.gateway.callers.messages import CallerRequest
from arbutusflow.platform import wire
from tests.soak.audit import PROMISES, Audit, AuditedEndpoint
from tests.soak.world import SoakWorld


def _check_answer(tmp_path, status, method, ran, body=b"POST /y/1r1"):
    """Return the violations after an answer to request r1."""
    world = SoakWorld(1, tmp_path, instances=0)
    if ran:
        world.audit.count_run(b"r1", method)
    world.check_answer(status, body, b"r1", method, b"/y/1", b"r1")
    world.audit.check_refusals()
    return world.audit.violations


@pytest.mark.parametrize("status", sorted(PROMISES))
def test_an_order_that_ran_after_a_promise_is_a_violation(tmp_path, status):
    assert len(_check_answer(tmp_path, status, b"POST", ran=True)) == 1
    assert _check_answer(tmp_path, status, b"POST", ran=False) == []


@pytest.mark.parametrize("status", [500, 502, 504])
def test_a_status_that_promises_nothing_may_follow_a_run(tmp_path, status):
    assert _check_answer(tmp_path, status, b"POST", ran=True) == []


@pytest.mark.parametrize("status", [0, 99, 199, 600])
def test_a_status_that_http_does_not_have_is_a_violation(tmp_path, status):
    assert len(_check_answer(tmp_path, status, b"POST", ran=True)) == 1


def test_a_lookup_may_run_although_it_was_refused(tmp_path):
    assert _check_answer(tmp_path, 503, b"GET", ran=True) == []


def test_the_answer_of_another_request_is_a_violation(tmp_path):
    assert _check_answer(tmp_path, 200, b"POST", ran=True) == []
    assert len(_check_answer(tmp_path, 200, b"POST", ran=True, body=b"POST r2")) == 1


def test_an_order_that_ran_twice_is_a_violation_and_tells_its_history():
    audit = Audit()
    audit.record_event(b"r1", "e1 runs it")
    for _ in range(2):
        audit.count_run(b"r1", b"POST")
        audit.count_run(b"r2", b"GET")
    (violation,) = audit.violations
    assert "r1 ran more than once" in violation
    assert "e1 runs it" in violation


@pytest.mark.parametrize(
    ("first", "token", "count"), [(0, 8, 1), (9, 8, 1), (10, 8, 0), (0, 6, 2)]
)
def test_two_owners_and_tokens_that_do_not_rise_are_violations(first, token, count):
    """The first owner has keys 0 to 9 with token 7."""
    audit = Audit()
    owner, other = (AuditedEndpoint(name, "keyed", audit) for name in ("e1", "e2"))
    owner._grant({"from": 0, "to": 9, "fence": 7, "holdS": 4.0})
    other._grant({"from": first, "to": 20, "fence": token, "holdS": 4.0})
    assert len(audit.violations) == count


def test_a_released_key_may_have_another_owner():
    audit = Audit()
    owner, other = (AuditedEndpoint(name, "keyed", audit) for name in ("e1", "e2"))
    owner._grant({"from": 0, "to": 9, "fence": 7, "holdS": 4.0})
    owner._release({"from": 0, "to": 9, "fence": 7})
    other._grant({"from": 0, "to": 9, "fence": 8, "holdS": 4.0})
    assert audit.violations == []


@pytest.mark.parametrize("rejected", [True, False])
def test_an_endpoint_does_not_run_what_it_rejects(rejected):
    audit = Audit()
    endpoint = AuditedEndpoint("e1", "plain", audit)
    endpoint.rejected_share = 1.0 if rejected else 0.0
    headers = [(wire.REQUEST_ID, b"r1"), (wire.EXPECTED_ENDPOINT, b"e1")]
    req = CallerRequest(b"POST", b"/y/1", headers, b"r1", 0.0)
    reply = asyncio.run(endpoint._handle(req))
    assert reply.status == (503 if rejected else 200)
    assert ((wire.NOT_RUN, b"1") in reply.headers) == rejected
    assert audit.run_counts == ({} if rejected else {b"r1": 1})
