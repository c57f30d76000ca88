"""Planned stops of real processes under load; each test is one seeded run.

`python -m tests.soak.stops` plays them longer.
"""

import asyncio
import dataclasses

import pytest

from tests.soak.stops import SCENARIOS, play_stops

SECONDS = 4.0  # In which stops begin.


def _play(name, directory):
    scenario = dataclasses.replace(SCENARIOS[name], instances=4, seconds=SECONDS)
    return asyncio.run(play_stops(1, directory, scenario))


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("insistent", id="callers-keep-coming"),
        pytest.param("full", id="requests-wait-at-endpoints"),
        pytest.param("ahead", id="requests-behind-others"),
        pytest.param("steady", id="callers-follow-readiness"),
        pytest.param("uneven", id="runs-differ-in-length"),
        pytest.param("disturbed", id="signals-reloads-and-silent-stores-beside-it"),
        pytest.param("series", id="the-same-instance-again-while-it-starts"),
        pytest.param("configurations", id="configurations-in-quick-series"),
        pytest.param("kept", id="idle-connections-are-used-again"),
        pytest.param("bodies", id="large-bodies-at-a-slow-link"),
        pytest.param("acredita", id="short-time-outs-and-uploads-without-one"),
    ],
)
def test_a_planned_stop_leaves_no_request_without_its_answer(name, tmp_path):
    """Guards against connections that end under requests read before the end."""
    report = _play(name, tmp_path)
    assert report.violations == []
    assert report.lost == [], report.summary()
    assert len(report.stop_seconds) > 1


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("half-closed", id="callers-end-their-sending-side"),
        pytest.param("interim", id="endpoints-send-interim-responses"),
    ],
)
def test_an_instance_in_touch_leaves_no_request_without_its_answer(name, tmp_path):
    """Guards against connections that end under requests while nothing is stopped."""
    report = _play(name, tmp_path)
    assert report.violations == []
    assert report.unanswered == [], report.summary()
    assert report.lost == []
    assert report.judged["in touch"] > 0
