"""Properties of a run that are drawn from its seed."""

import asyncio
import collections
import random
import subprocess
import sys
import time

import pytest

from tests.soak.audit import SLOW_WORK_SECONDS, Audit, AuditedEndpoint
from tests.soak.faults import FAMILIES, PLANNED, draw_phase, endpoints_slow_down
from tests.soak.gateway_process import GatewayProcess
from tests.soak.load import SLOW_DEADLINE_SECONDS, LoadHabits
from tests.soak.planned_work import handles_reload
from tests.soak.workload import TAIL_FACTORS, Workload, draw_workload
from tests.soak.world import ROOT, SoakWorld

SEEDS = range(1, 401)


def test_a_seed_always_draws_the_same_run():
    """Guards against failed seeds that cannot be played again."""
    assert [draw_workload(s, 4, 0.2) for s in SEEDS] == [
        draw_workload(s, 4, 0.2) for s in SEEDS
    ]


def test_seeds_draw_runs_of_all_kinds():
    """Guards against a soak that never plays one of the properties."""
    runs = [draw_workload(seed, 4, 0.2) for seed in SEEDS]
    for name in (
        "timeout_seconds",
        "first_zone",
        "planned_only",
        "final_kill",
        "cold_seconds",
        "queues",
        "slow_paths",
    ):
        set_in = sum(bool(getattr(run, name)) for run in runs)
        assert 0.1 * len(runs) < set_in < 0.7 * len(runs), name
    shares = {run.tail_share for run in runs}
    assert {0.0, 0.01} < shares and max(shares) > 0.05


def test_faults_of_some_seeds_follow_each_other_closely():
    """Guards against faults that are over before the next one begins."""
    gaps = collections.Counter(draw_workload(s, 4, 0.2).fault_gap for s in SEEDS)
    assert len(gaps) == 2
    assert min(gaps.values()) > 0.1 * len(SEEDS)


def test_callers_give_up_before_the_timeout_of_their_route():
    """Guards against requests that time out and are counted as lost."""
    for seed in SEEDS:
        workload = draw_workload(seed, 4, 0.2)
        habits = LoadHabits.from_rng(random.Random(seed), workload)
        longest = max(habits.deadline_seconds, habits.slow_deadline_seconds)
        if workload.timeout_seconds is None:
            assert longest == SLOW_DEADLINE_SECONDS
        else:
            assert longest < workload.timeout_seconds


def test_a_few_runs_take_several_times_as_long():
    """Guards against endpoints whose measured times bound those that follow."""
    endpoint = AuditedEndpoint("e1", "plain", Audit())
    endpoint.usual_seconds, endpoint.tail_share, endpoint.tail_factor = 0.1, 0.01, 5.0
    drawn = collections.Counter(endpoint._draw_work(b"/p/1") for _ in range(10_000))
    assert drawn.keys() == {0.1, 0.5}
    assert 50 < drawn[0.5] < 200
    slow = [endpoint._draw_work(b"/p/slow") for _ in range(2000)]
    assert max(slow) > 2 * SLOW_WORK_SECONDS[1]


async def _add_endpoint(world):
    try:
        return await world.add_endpoint("plain")
    finally:
        await world.close()


def test_endpoints_and_zones_of_a_world_follow_its_workload(tmp_path):
    """Guards against properties that are drawn and not played."""
    world = SoakWorld(1, tmp_path, 4)
    world.workload = Workload(
        tail_share=0.05,
        tail_factors=TAIL_FACTORS,
        pace=4.0,
        first_zone=3,
        queues=True,
    )
    endpoint = asyncio.run(_add_endpoint(world))
    assert endpoint.tail_share == 0.05
    assert endpoint.running_limit is not None
    assert TAIL_FACTORS[0] <= endpoint.tail_factor <= TAIL_FACTORS[1]
    assert 0.04 <= endpoint.usual_seconds <= 0.32
    zones = [
        GatewayProcess(number, tmp_path, 1, ROOT, lambda *_: None, 3).zone
        for number in range(4)
    ]
    assert zones == ["z0", "z0", "z0", "z1"]


def test_an_endpoint_that_has_just_started_is_slow():
    """Guards against endpoints that are as fast at their start as ever."""
    endpoint = AuditedEndpoint("e1", "plain", Audit())
    endpoint.usual_seconds, endpoint.cold_factor = 0.1, 4.0
    assert endpoint._draw_work(b"/p/1") == 0.1
    endpoint.cold_until = time.monotonic() + 60.0
    assert endpoint._draw_work(b"/p/1") == 0.4


def test_slow_endpoints_become_fast_again(tmp_path):
    """Guards against endpoints that stay slow, so that no more is seen of the rest."""
    world = SoakWorld(1, tmp_path, 4)
    endpoint = AuditedEndpoint("e1", "plain", Audit())
    endpoint.usual_seconds = 0.1
    world.endpoints["e1"] = endpoint
    asyncio.run(endpoints_slow_down(world))
    low, high = TAIL_FACTORS
    assert 0.1 * low <= endpoint._draw_work(b"/p/1") <= 0.1 * high
    assert endpoint.cold_until < time.monotonic() + 10.0


def test_phases_repeat_a_few_faults_or_mix_many():
    """Guards against faults that never overlap with themselves or with all others."""
    rng = random.Random(1)
    everything = {fault for family in FAMILIES for fault in family}
    sizes = collections.Counter()
    for _ in range(1000):
        unplanned = set(draw_phase(rng)) & everything
        sizes[len(unplanned)] += 1
    assert sizes[0] > 100  # Planned work alone.
    assert sum(sizes[number] for number in (2, 3, 4)) > 100
    assert sizes[len(everything)] > 100
    assert set(PLANNED).isdisjoint(everything)


@pytest.mark.parametrize(
    "prepare, handles",
    [
        pytest.param("SIG_DFL", False, id="default"),
        pytest.param("SIG_IGN", True, id="ignored"),
    ],
)
def test_a_process_that_handles_reloads_is_told_apart(prepare, handles):
    """Guards against SIGHUP that ends a process whose interpreter has not started."""
    text = f"import signal; signal.signal(signal.SIGHUP, signal.{prepare})"
    process = subprocess.Popen(
        [sys.executable, "-c", f"{text}; print(flush=True); input()"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        process.stdout.readline()
        assert handles_reload(process.pid) == handles
    finally:
        process.kill()
        process.communicate()
    assert not handles_reload(process.pid)
