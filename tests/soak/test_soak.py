"""A short run of the soak with real processes; `runner` plays more seeds by hand."""

import asyncio

import pytest

from tests.soak.runner import play_seed

# Seeds that failed once are added here, each with a line on its cause.
SEEDS = [1]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults_of_real_processes(seed, tmp_path):
    violations, answers, _ = asyncio.run(
        play_seed(seed, tmp_path, instances=3, seconds=8.0)
    )
    assert violations == []
    assert answers.get(200, 0) > 0
