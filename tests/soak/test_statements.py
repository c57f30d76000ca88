"""The audit of endpoints' statements reports what breaks them, and nothing else.

Guards against checks of the soak that never fail, and against false alarms.
"""

import pytest

from tests.soak.statements import StatementAudit


class Run:
    """Audit, its reports, and requests that callers send through one instance."""

    def __init__(self):
        self.reports = []
        self.recovered_at = -1e9
        self.audit = StatementAudit(
            lambda *finding: self.reports.append(finding), lambda: self.recovered_at
        )
        self._count = 0

    def send(self, now, arrives_at=None):
        """Send a request that reaches the endpoint; return its identifier."""
        self._count += 1
        request_id = b"r%d" % self._count
        self.audit.record_sent(request_id, "n0", now)
        self.audit.check_arrival(request_id, "e1/1", arrives_at or now)
        return request_id


def leaving_run():
    """Return a run in which an answer with the statement was passed on at 10 s."""
    run = Run()
    request_id = run.send(9.9)
    run.audit.record_leaving(request_id, "e1/1")
    run.audit.record_answer(request_id, 10.0)
    return run


@pytest.mark.parametrize(("sent_at", "count"), [(11.9, 0), (12.0, 0), (12.1, 1)])
def test_a_late_request_to_an_endpoint_that_leaves_is_a_violation(sent_at, count):
    run = leaving_run()
    run.send(sent_at, arrives_at=sent_at + 1.0)
    assert len(run.reports) == count


def test_a_signal_to_the_instance_excuses_requests_to_an_endpoint_that_leaves():
    run = leaving_run()
    run.audit.record_disturbance("n0", 10.5)
    run.send(20.0)
    assert run.reports == []


def test_an_answer_that_was_not_passed_on_binds_no_instance():
    run = Run()
    run.audit.record_leaving(run.send(9.9), "e1/1")
    run.send(20.0)
    assert run.reports == []


def waiting_run():
    """Return a run in which an endpoint asked at 10 s to wait until 14 s."""
    run = Run()
    run.audit.record_wait(run.send(9.9), "e1/1", 10.0, 14.0)
    return run


@pytest.mark.parametrize(
    ("arrivals", "count"),
    [
        ([10.1, 10.2, 10.3, 10.4], 0),
        ([11.0, 12.0], 0),
        ([11.0, 12.0, 13.0], 1),
        ([11.0, 12.0, 13.0, 13.5], 1),
        ([11.0, 12.0, 14.1], 0),
    ],
)
def test_a_third_request_within_a_wait_is_a_violation(arrivals, count):
    run = waiting_run()
    for now in arrivals:
        run.send(now)
    assert len(run.reports) == count


def test_signals_and_network_faults_excuse_requests_within_a_wait():
    for excuse in ("signal", "network"):
        run = waiting_run()
        if excuse == "signal":
            run.audit.record_disturbance("n0", 10.5)
        else:
            run.recovered_at = 10.5
        for now in (11.0, 11.5, 12.0, 12.5):
            run.send(now)
        assert run.reports == []
