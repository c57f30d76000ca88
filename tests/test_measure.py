"""Tests of the measurements: determinism, detection of faults, and output."""

import dataclasses
import pathlib
import subprocess
import sys

import pytest
from typer.testing import CliRunner

from arbutusflow.cli.main import app
from arbutusflow.domain import ownership_state
from arbutusflow.domain.admission import EndpointQueue
from arbutusflow.domain.configuration import Rank
from arbutusflow.domain.coordination import Coordinator
from arbutusflow.domain.records import Proof
from arbutusflow.measure import (
    capacity,
    capacity_page,
    configuration,
    ownership,
    requests,
    results,
)
from arbutusflow.measure.fits import Fit
from arbutusflow.measure.page import render_html


def value_by_measure(rows):
    return {row.measure: row.value for row in rows}


def met_by_measure(rows):
    return {row.measure: row.met for row in rows}


@pytest.fixture
def fewer_trials(monkeypatch):
    """Reduce the number of trials and their length."""
    monkeypatch.setattr(ownership, "TRIALS_PER_FAULT", 1)
    monkeypatch.setattr(ownership, "OBSERVATION_SECONDS", 3.0)
    monkeypatch.setattr(ownership, "IDLE_SECONDS", 5.0)
    monkeypatch.setattr(requests, "FLOODS", (2.0,))
    monkeypatch.setattr(requests, "SCHEDULES", 10)


@pytest.mark.usefixtures("fewer_trials")
@pytest.mark.parametrize(
    "measure",
    [
        ownership.measure_unavailable,
        ownership.measure_imbalance,
        ownership.measure_platform_calls,
        requests.measure_floods,
        requests.measure_outcomes,
        configuration.measure_races,
    ],
)
def test_measurement_is_deterministic_for_a_seed(measure):
    """Guards against real clocks, hash order or unseeded random numbers."""
    assert measure(7) == measure(7)


@pytest.mark.usefixtures("fewer_trials")
@pytest.mark.parametrize(
    "measure", [ownership.measure_unavailable, ownership.measure_imbalance]
)
def test_result_depends_on_the_seed(measure):
    """Guards against a measurement that ignores its seed."""
    assert value_by_measure(measure(7)) != value_by_measure(measure(8))


@pytest.mark.usefixtures("fewer_trials")
def test_second_owner_is_detected_if_leases_are_not_awaited(monkeypatch):
    """Guards against an ownership measurement that cannot detect a second owner.

    The core is changed to declare an endpoint lost at the first failure, before its
    lease has expired.
    """
    name = "moments with a second owner"
    assert met_by_measure(ownership.measure_unavailable(1))[name] is True
    monkeypatch.setattr(ownership_state, "FAILURES_UNTIL_LOST", 1)
    monkeypatch.setattr(
        Coordinator, "_loss_proof", lambda *arguments: Proof.LEASE_EXPIRED
    )
    rows = ownership.measure_unavailable(1)
    assert met_by_measure(rows)[name] is False
    assert value_by_measure(rows)[name] > 0


@pytest.mark.usefixtures("fewer_trials")
def test_queue_that_ignores_ranks_is_detected(monkeypatch):
    """Guards against a request measurement that does not depend on ranks.

    The queue is changed to treat all requests as normal ones.
    """
    urgent = "background flood x2: urgent answered in time"
    guaranteed = "urgent flood x2: background part of answers"
    with_ranks = value_by_measure(requests.measure_floods(1))
    offer = EndpointQueue.offer

    def offer_as_normal(self, request, now):
        return offer(self, dataclasses.replace(request, rank=Rank.NORMAL), now)

    monkeypatch.setattr(EndpointQueue, "offer", offer_as_normal)
    rows = requests.measure_floods(1)
    assert value_by_measure(rows)[urgent] < with_ranks[urgent]
    assert value_by_measure(rows)[guaranteed] < with_ranks[guaranteed]
    assert met_by_measure(rows)[guaranteed] is False


def test_fit_recovers_a_line_and_its_residual():
    """Guards against swapped slope and intercept and a residual that is always 0."""
    line = Fit.through("x", "us", "unit", (1, 2, 3, 4), (5.0, 7.0, 9.0, 11.0))
    assert (line.slope, line.intercept) == pytest.approx((2.0, 3.0))
    assert line.residual == pytest.approx(0.0)
    assert line.at(10) == pytest.approx(23.0)
    deviating = Fit.through("x", "us", "unit", (1, 2, 3, 4), (5.0, 7.0, 9.0, 31.0))
    # Deviations from the least-squares line: 4, -2, -8, 6; mean value: 13.
    assert deviating.residual == pytest.approx((120 / 4) ** 0.5 / 13)


@pytest.mark.parametrize(
    ("make", "value", "met"),
    [
        (results.at_most, 3.0, True),
        (results.at_most, 3.1, False),
        (results.at_least, 3.0, True),
        (results.at_least, 2.9, False),
    ],
)
def test_met_depends_on_the_direction_of_the_target(make, value, met):
    """Guards against a lower bound that is evaluated as an upper one."""
    assert make("m", value, "s", 1, 3.0).met is met
    assert make("m", value, "s", 1).met is None


def test_compare_prints_mean_and_range_over_seeds_of_both_results(tmp_path):
    """Guards against a comparison that drops seeds or swaps the results."""
    for name, figures in (("a", (2.0, 4.0)), ("b", (6.0, 6.0))):
        rows = [results.at_most("m", v, "s", seed) for seed, v in enumerate(figures)]
        (tmp_path / name).write_bytes(results.to_json(rows))
    paths = [str(tmp_path / name) for name in "ab"]
    output = CliRunner().invoke(app, ["measure", "compare", *paths]).output
    columns = ["m", "s", "3 (2 to 4)", "6 (6 to 6)", "+100.0 %"]
    assert [text.strip() for text in output.splitlines()[1].split("  ") if text] == (
        columns
    )


def test_append_writes_one_line_for_each_row(tmp_path):
    """Guards against lost rows and rows without a commit."""
    path = tmp_path / "docs" / "baseline.jsonl"
    arguments = ["measure", "config", "--json", "--append", str(path)]
    for _ in range(2):
        result = CliRunner().invoke(app, arguments)
        assert result.exit_code == 0, result.output
    lines = path.read_text().splitlines()
    rows = [results.msgspec.json.decode(line) for line in lines]
    assert len(rows) == 2 * len({row["measure"] for row in rows})
    head = results.checked_out_commit()
    assert {row["commit"] for row in rows} == {head}


def test_html_page_embeds_its_plots():
    """Guards against plots in separate files."""
    rows = [results.at_most("a <b>", 4.0, "s", 1, 3.0)]
    fit = Fit.through("x", "us", "unit", (1, 2), (1.0, 2.0))
    page = render_html("title", rows, [fit])
    assert page.count("data:image/png;base64,") == page.count("src=") == 2
    assert "a &lt;b&gt;" in page
    assert '<tr class="missed">' in page


def test_command_line_does_not_import_the_measurements():
    """Guards against entry instances that load the measurement libraries."""
    program = (
        "import sys, arbutusflow.cli.main\n"
        "names = ('matplotlib', 'numpy', 'tqdm', 'arbutusflow.measure')\n"
        "print(*(name for name in names if name in sys.modules))"
    )
    root = pathlib.Path(__file__).parents[1]
    result = subprocess.run(
        (sys.executable, "-c", program), capture_output=True, text=True, cwd=root
    )
    assert (result.returncode, result.stdout.strip(), result.stderr) == (0, "", "")


def load_model_with_tick_cost(tick_us):
    """Return a load model in which all costs are 0 except ticks over endpoints."""
    names = {
        *("table scan", "table value", "table memory", "table decode"),
        *("relay of a table change", "core memory, endpoints known"),
        *("coordination a second", "lease exchange bytes", "planner tick"),
        *("lease exchange codec", "configuration value", "configuration decode"),
        *("configuration patch", "configuration memory", "peer codec of a request"),
        *("peer bytes of a request", "membership bytes a second"),
        *("membership processor time a second", "membership memory"),
    }
    fits = [Fit.through(name, "us", "unit", (1, 2), (0.0, 0.0)) for name in names]
    tick = (tick_us, 2 * tick_us)
    fits.append(
        Fit.through("core tick, endpoints known", "us", "endpoint", (1, 2), tick)
    )
    return capacity_page.LoadModel(fits, capacity_page.DesignSize(), 50.0)


@pytest.mark.parametrize(("tick_us", "missed"), [(0.1, False), (10.0, True)])
def test_capacity_page_lists_a_missed_target(tick_us, missed):
    """Guards against a page that reports every target as met."""
    names = (
        "unavailable: planned drain of an endpoint",
        "unavailable: endpoint freezes",
        "unavailable: platform down",
        "platform calls: endpoint exits",
        "platform calls: planned drain of an endpoint",
        "platform calls: planned stop of a coordinator",
        "table writes: endpoint exits",
        "table writes: planned drain of an endpoint",
        "table writes: planned stop of a coordinator",
    )
    rows = [results.at_most(name, 1.0, "s", 1) for name in names]
    cost = capacity_page.RequestCost(1.0, 1.0, 5.0, "a load")
    page = capacity_page.render(
        load_model_with_tick_cost(tick_us), rows, cost, 1.0, "origin"
    )
    line = "- control, processor of an entry instance: "
    lines = [item for item in page.splitlines() if item.startswith(line)]
    assert bool(lines) is missed
    size = capacity_page.DesignSize()
    if missed:
        cores = size.endpoints * tick_us * 1e-6 / capacity_page.TICK_SECONDS
        assert f"{cores / capacity_page.CONTROL_TARGET_CORES:.1f} times" in lines[0]


def test_encoded_lease_exchange_grows_with_held_units():
    """Guards against a fit over values that were all measured at the same size."""
    fits = {fit.name: fit for fit in capacity.measure_leases(1)}
    assert fits["lease exchange bytes"].slope > 0
    assert len(set(fits["lease exchange bytes"].values)) == len(
        capacity.HELD_UNIT_COUNTS
    )
