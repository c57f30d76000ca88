"""Concurrency limit, retry budget and retry backoff."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.domain.configuration import Endpoint, Rank
from arbutusflow.domain.limits import (
    BACKOFF_MAX_SECONDS,
    MAX_MULTIPLE,
    REPORT_LIFETIME_SECONDS,
    RETRY_RATIO,
    RETRY_RESERVE,
    AdaptiveLimit,
    Finish,
    RetryBudget,
    backoff_seconds,
)
from arbutusflow.measure.queueing import Model, measure

ENDPOINT = Endpoint("shop-1", "a", "127.0.0.1", 9001, slots=4)


def limit_after(*observations, slow_start=False):
    """Observe (finish, latency, in flight) in order; None means at the limit."""
    limit = AdaptiveLimit.from_config(ENDPOINT, slow_start=slow_start)
    for finish, latency, in_flight in observations:
        limit.observe(finish, latency, in_flight or limit.current(0.0))
    return limit


AT_LIMIT = (Finish.COMPLETED, 0.1, None)
IDLE = (Finish.COMPLETED, 0.1, 1)
SLOW = (Finish.COMPLETED, 0.5, None)
SHED = (Finish.OVERLOADED, 0.1, None)
FAILED = (Finish.FAILED, 0.1, None)


@pytest.mark.parametrize(
    ("observations", "expected"),
    [
        ([], 4),
        ([AT_LIMIT] * 64, 5),
        ([AT_LIMIT] * 2000, 4 * MAX_MULTIPLE),
        ([IDLE] * 2000, 4),
        ([FAILED] * 2000, 4),
        ([SHED], 2),
        ([SHED] * 4, 2),
        ([SHED] * 10, 1),
        ([AT_LIMIT] * 64 + [SLOW] * 80, 3),
        ([SHED] * 1000, 1),
        ([SHED] * 1000 + [AT_LIMIT] * 16, 2),
    ],
)
def test_limit_after_observations(observations, expected):
    """Guards against a limit that ignores overload or increases without evidence."""
    assert limit_after(*observations).current(0.0) == expected


def closed_loop(limit, latency_of, completions=6000):
    """Return the limits over time while the endpoint is always at the limit."""
    limits = []
    for _ in range(completions):
        limits.append(limit.current(0.0))
        limit.observe(Finish.COMPLETED, latency_of(limits[-1]), limits[-1])
    return limits


def test_limit_finds_the_capacity_and_rarely_exceeds_it():
    """Guards against work that queues inside the endpoint, without priorities."""
    configured = closed_loop(limit_after(), lambda limit: 0.1 * max(1, limit / 4))
    assert max(configured) <= 5
    assert configured.count(4) > 0.8 * len(configured)
    larger = closed_loop(limit_after(), lambda limit: 0.1 * max(1, limit / 9))
    assert set(larger[3000:]) <= {9, 10}


def test_limit_recovers_if_the_endpoint_became_permanently_slower():
    """Guards against a limit that compares with an outdated baseline."""
    limit = limit_after(*[AT_LIMIT] * 100)
    slower = closed_loop(limit, lambda limit: 0.3 * max(1, limit / 4))
    assert min(slower) >= 2
    assert min(slower[3000:]) >= 4


def test_goodput_recovers_after_floods_and_urgent_work_keeps_its_share():
    """Guards against a limit that collapses when answers are late for the caller.

    If late answers count as overload, only a quarter of the normal requests is
    answered in time after a background flood of half the capacity. Without a limit,
    all are.
    """
    model = Model(flood=2.0, phase_seconds=4.0)
    goodput = {
        (row.policy, row.phase, row.rank): row.goodput_per_second
        for row in measure(model)
    }
    ours, plain = "shares, adaptive", "FIFO, no limit"
    for rank in Rank:
        for phase in ("between", "after"):
            kept = goodput[ours, phase, rank] / goodput[plain, phase, rank]
            assert kept > 0.9
        flood = "flood u"
        assert goodput[ours, flood, rank] > goodput[plain, flood, rank]
    flood = "flood b"
    assert goodput[ours, flood, Rank.URGENT] > 2 * goodput[plain, flood, Rank.URGENT]
    assert goodput["no shares", "flood u", Rank.BACKGROUND] < 1.0


def test_cold_or_restarted_endpoint_starts_slowly():
    """Guards against sending the full load to a process that just started."""
    limit = limit_after(slow_start=True)
    assert limit.current(0.0) == 1
    limit.observe(Finish.COMPLETED, 0.1, 1)
    assert limit.current(0.0) == 2
    limit = limit_after(*[AT_LIMIT] * 200)
    limit.restart()
    assert limit.current(0.0) == 1
    for _ in range(3):
        limit.observe(Finish.COMPLETED, 0.1, 1)
    assert limit.current(0.0) == ENDPOINT.slots


@pytest.mark.parametrize(
    ("load", "expected"), [(0, 4), (4, 4), (5, 3), (1000, 2), (-5, 4)]
)
def test_report_lowers_the_limit_within_bounds_until_it_expires(load, expected):
    """Guards against a late or wrong report that stops or overloads a server."""
    limit = limit_after()
    limit.report(load, 0.0)
    assert limit.current(0.0) == expected
    assert limit.current(REPORT_LIFETIME_SECONDS) == 4


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(
    slots=st.integers(1, 8),
    seed=st.integers(0, 10**6),
    shed=st.sampled_from([0.0, 0.01, 0.3]),
)
def test_limit_stays_within_its_bounds_and_reports_never_raise_it(slots, seed, shed):
    """Guards against a limit of zero, an unbounded one, and trust in reports."""
    rng = random.Random(seed)
    endpoint = Endpoint("shop-1", "a", "127.0.0.1", 9001, slots=slots)
    reported = AdaptiveLimit.from_config(endpoint)
    observed = AdaptiveLimit.from_config(endpoint)
    for step in range(400):
        now = step * 0.05
        finish = Finish.OVERLOADED if rng.random() < shed else Finish.COMPLETED
        latency, in_flight = rng.expovariate(10.0), rng.randint(1, 4 * slots)
        for limit in (reported, observed):
            limit.observe(finish, latency, in_flight)
        reported.report(rng.randint(-3, 60), now)
        learned = observed.current(now)
        assert 1 <= learned <= MAX_MULTIPLE * slots
        assert min(learned, max(1, slots // 2)) <= reported.current(now) <= learned


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(st.lists(st.booleans(), max_size=300))
def test_retries_never_exceed_a_tenth_of_requests_plus_ten(events):
    """Guards against retries that multiply an overload."""
    budget = RetryBudget()
    requests = retries = 0
    for is_request in events:
        if is_request:
            requests += 1
            budget.request()
        else:
            retries += budget.take()
        assert retries <= RETRY_RATIO * requests + RETRY_RESERVE + 1e-6


def test_backoff_is_exponential_with_jitter_and_an_upper_bound():
    """Guards against simultaneous and immediate retries."""
    rng = random.Random(1)
    for retry in range(1, 12):
        max_delay = min(BACKOFF_MAX_SECONDS, 0.025 * 2**retry)
        times = {backoff_seconds(retry, rng) for _ in range(50)}
        assert all(max_delay / 2 <= time <= max_delay for time in times)
        assert len(times) == 50
