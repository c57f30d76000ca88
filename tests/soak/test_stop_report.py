"""How a run of planned stops is judged, on both sides of each bound."""

import collections
import random
import types

import pytest

from tests.soak.audit import Audit
from tests.soak.callers import CallRecord
from tests.soak.configurations import ConfigurationHistory
from tests.soak.disturbances import Disturbances
from tests.soak.records import Arrival, RequestRecord
from tests.soak.stop_report import StopJudge
from tests.soak.stop_troubles import SILENT_STORE


class Run:
    """One run whose records are written by hand. SIGTERM comes at 100 s."""

    def __init__(self):
        self.now = 0.0
        self.disturbances = Disturbances(lambda: self.now)
        history = ConfigurationHistory(random.Random(1))
        history.timeout_range = (30.0, 30.0)
        history.add(0.0)
        self.audit = Audit()
        self.world = types.SimpleNamespace(
            audit=self.audit, history=history, disturbances=self.disturbances
        )
        self.stops, self.ends = {}, {}
        self.reloads = collections.defaultdict(list)
        self.calls = []

    def add(self, sent_at, ended_at, *, arrived=True, **changes):
        """Add a request that has no answer, or with `status` one of the instance."""
        fields = {"deadline_at": 120.0, "target": b"/p/1", "began_at": sent_at}
        request_id = b"r%d" % len(self.calls)
        self.calls.append(
            CallRecord(
                request_id,
                "n0",
                idempotent=True,
                behind=False,
                sent_at=sent_at,
                ended_at=ended_at,
                **(fields | changes),
            )
        )
        if arrived:
            self.audit.seen[request_id] = RequestRecord(
                True,
                [(sent_at, sent_at + 0.2)],
                arrivals=[Arrival(sent_at, "e1")],
            )

    def lost(self):
        judge = StopJudge(self.world, self.stops, self.reloads, self.ends)
        judge.judge(self.calls)
        return len(judge.lost)


@pytest.fixture
def run():
    return Run()


@pytest.mark.parametrize(
    ("process_end", "changes", "lost"),
    [
        (105.6, {}, 1),
        (107.1, {}, 0),
        (105.6, {"gave_up": True}, 0),
        (105.6, {"deadline_at": 105.5}, 0),
    ],
)
def test_an_incomplete_answer_ends_with_its_process(run, process_end, changes, lost):
    """Guards against answers cut by the end of a process whose slow caller learns of it
    only when it has read the rest, after the window of the stop."""
    run.stops["n0"], run.ends["n0"] = [100.0], [process_end]
    run.add(100.5, 112.0, **changes)
    assert run.lost() == lost


@pytest.mark.parametrize(("ended_at", "lost"), [(106.9, 1), (107.1, 0)])
def test_the_next_process_is_judged_up_to_the_end_of_the_window(run, ended_at, lost):
    """Guards against cuts at a process that was started again at once."""
    run.stops["n0"], run.ends["n0"] = [100.0], [102.7]
    run.add(103.5, ended_at)
    assert run.lost() == lost


def test_an_answer_that_is_read_after_the_window_counts(run):
    """Guards against answers in place of a run that late readers hide."""
    run.stops["n0"] = [100.0]
    run.add(103.5, 108.0, status=502)
    run.audit.seen[b"r0"].cut_at.append(103.6)
    assert run.lost() == 1


@pytest.mark.parametrize(("count", "lost"), [(3, 0), (4, 4)])
@pytest.mark.parametrize("limit", [120.0, 50.5])
def test_more_than_three_connections_closed_in_touch_count(run, count, lost, limit):
    """Guards against closes at any time, also of requests whose time is over."""
    for number in range(count):
        run.add(50.0 + number, 51.0 + number, deadline_at=limit + number)
    assert run.lost() == lost


def test_requests_whose_callers_give_up_are_not_closed_in_touch(run):
    """Guards against false alarms behind a request whose caller stops waiting."""
    for number in range(9):
        run.add(50.0 + number, 51.0 + number, gave_up=True)
    assert run.lost() == 0


@pytest.mark.parametrize(("sent_at", "lost"), [(51.9, 1), (52.1, 0)])
def test_a_reload_is_charged_with_what_is_sent_up_to_its_bound(run, sent_at, lost):
    """Guards against cuts after SIGHUP that nothing else judges."""
    run.reloads["n0"].append(50.0)
    run.add(sent_at, 59.0)
    assert run.lost() == lost


@pytest.mark.parametrize(("keyed", "lost"), [(False, 1), (True, 0)])
def test_a_silent_store_excuses_only_requests_with_a_key(run, keyed, lost):
    """Guards against stops in which a disturbed store hides each loss."""
    run.stops["n0"], run.now = [100.0], 101.0
    run.disturbances.record(SILENT_STORE + "n0")
    run.add(103.5, 104.0, keyed=keyed)
    assert run.lost() == lost


@pytest.mark.parametrize(
    ("planned", "at", "lost"),
    [(True, 103.4, 1), (True, 103.6, 0), (False, 103.4, 0), (False, 100.4, 1)],
)
def test_a_planned_end_of_an_endpoint_excuses_only_what_it_had(run, planned, at, lost):
    """Guards against losses that an endpoint's planned end before them excuses."""
    run.stops["n0"], run.now = [100.0], at
    run.disturbances.record("e1", planned=planned)
    run.add(103.5, 104.0)
    assert run.lost() == lost
