"""Tests of the heavy-hitter sketch and of the policy that moves hot keys."""

import collections
import heapq
import random

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.domain.hotkeys import (
    MAX_CONCURRENT_MOVES,
    SKETCH_COUNTERS,
    HeavyHitters,
    HotKeyPolicy,
    KeyMove,
    KeyWeight,
    OwnedKeyWeight,
)

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=200)
SERVICE = "swaps"


@PROPERTY
@given(
    st.lists(
        st.tuples(st.integers(0, 30), st.integers(1, 100), st.integers(0, 4)),
        max_size=300,
    ),
    st.integers(1, 12),
)
def test_reported_bounds_contain_the_true_weight(observations, capacity):
    # Guards against moving a key because of the weight of other keys, and against
    # evicting a heavy key.
    sketch = HeavyHitters(capacity, halving_seconds=10)
    exact = collections.Counter()
    now = 0
    for key, weight, elapsed in observations:
        exact[key] += weight
        sketch.observe(key, weight, now)
        halvings = (now + elapsed) // 10 - now // 10
        now += elapsed
        for observed in exact:
            exact[observed] *= 0.5**halvings
    sketch.decay(now)
    reported = {item.key_hash: item for item in sketch.hottest(capacity)}
    assert len(sketch) == len(reported) <= capacity
    assert sketch.total == pytest.approx(sum(exact.values()))
    tolerance = 1e-9 * (1 + sketch.total)
    for key, item in reported.items():
        assert (
            item.lower_bound - tolerance <= exact[key] <= item.upper_bound + tolerance
        )
        assert item.upper_bound - item.lower_bound <= sketch.error_bound + tolerance
    for key, weight in exact.items():
        assert key in reported or weight <= sketch.error_bound + tolerance


def test_hot_keys_are_found_in_a_long_tail_and_decay_when_no_longer_hot():
    # Guards against keys that were hot earlier and hide those that are hot now.
    rng = random.Random(7)
    sketch = HeavyHitters()
    for phase in range(2):
        hot = range(phase * 100, phase * 100 + 10)
        for step in range(40_000):
            key = rng.choice(hot) if step % 2 else rng.randrange(1000, 10**9)
            sketch.observe(key, 1, phase * 60 + step / 1000)
        assert {item.key_hash for item in sketch.hottest(10)} == set(hot)
        assert len(sketch) == SKETCH_COUNTERS


def test_order_of_keys_with_equal_weight_is_deterministic():
    # Guards against ties that are broken by the order of insertion.
    first, second = HeavyHitters(), HeavyHitters()
    for key in range(20):
        first.observe(key, 5, 0)
        second.observe(19 - key, 5, 0)
    assert first.hottest(20) == second.hottest(20)


def test_observation_cost_does_not_grow_with_the_capacity(monkeypatch):
    # Guards against a linear search of the counters at each eviction.
    replacements = collections.Counter()
    original = heapq.heapreplace

    def counting_heapreplace(heap, item):
        replacements[len(heap)] += 1
        return original(heap, item)

    monkeypatch.setattr(
        "arbutusflow.domain.hotkeys.heapq.heapreplace", counting_heapreplace
    )
    rng = random.Random(3)
    for capacity in (16, SKETCH_COUNTERS):
        sketch = HeavyHitters(capacity)
        for _ in range(20_000):
            sketch.observe(rng.randrange(4 * capacity), 1, 0)
        # One replacement per eviction and at most one per incremented counter.
        assert replacements[capacity] <= 20_000


@pytest.mark.parametrize(
    ("kind", "arguments"),
    [(HeavyHitters, (0, 1)), (HeavyHitters, (1, 0)), (HotKeyPolicy, (0.1, 0.1))],
)
def test_invalid_parameters_are_rejected(kind, arguments):
    # Guards against a division by zero and against keys that move back and forth.
    with pytest.raises(ValueError, match="must"):
        kind(*arguments)


def load(key, lower_bound, upper_bound=None, endpoint="one"):
    weight = KeyWeight(
        key, lower_bound, lower_bound if upper_bound is None else upper_bound
    )
    return OwnedKeyWeight(endpoint, weight)


@pytest.mark.parametrize(
    ("loads", "total", "hot"),
    [
        ([load(1, 201)], 1000, {1}),
        ([load(1, 200)], 1000, set()),
        ([load(1, 100, upper_bound=900)], 1000, set()),
        ([load(1, 50)], 60, set()),
        ([load(1, 300), load(2, 300), load(3, 100)], 1000, {1, 2}),
    ],
)
def test_key_becomes_hot_above_the_enter_share(loads, total, hot):
    # Guards against moves that are due to the estimation error of the sketch, and
    # against moves from endpoints that are nearly idle.
    policy = HotKeyPolicy()
    moves = policy.decide(SERVICE, loads, {"one": total})
    assert policy.hot_keys(SERVICE) == {move.key_hash for move in moves} == hot


@pytest.mark.parametrize(
    ("share", "cooled"), [(0.19, False), (0.06, False), (0.04, True), (None, True)]
)
def test_hot_key_cools_only_below_the_leave_share(share, cooled):
    # Guards against a key that moves back and forth around a single threshold.
    policy = HotKeyPolicy()
    policy.decide(SERVICE, [load(1, 300)], {"one": 1000})
    policy.move_ended(SERVICE, 1, moved=True)
    loads = [] if share is None else [load(1, share * 1000)]
    moves = policy.decide(SERVICE, loads, {"one": 1000})
    assert moves == ([KeyMove(SERVICE, 1, "one", hot=False)] if cooled else [])


@pytest.mark.parametrize("hot", [True, False])
def test_failed_move_is_retried(hot):
    # Guards against a placement that never ends and a hot key that never moves.
    policy = HotKeyPolicy()
    loads, totals = [load(1, 300)], {"one": 1000}
    first = policy.decide(SERVICE, loads, totals)
    if not hot:
        policy.move_ended(SERVICE, 1, moved=True)
        loads = []
        first = policy.decide(SERVICE, loads, totals)
    assert policy.decide(SERVICE, loads, totals) == []
    policy.move_ended(SERVICE, 1, moved=False)
    assert policy.decide(SERVICE, loads, totals) == first
    assert first[0].hot is hot


@PROPERTY
@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.integers(0, 8), st.integers(0, 1000)),
            st.sets(st.integers(0, 8)),
            st.booleans(),
        ),
        max_size=20,
    )
)
def test_concurrent_moves_of_a_service_are_limited(rounds):
    # Guards against a load spike that moves many keys at once.
    policy = HotKeyPolicy()
    in_progress = set()
    for weights, ended, moved in rounds:
        loads = [load(key, weight) for key, weight in weights.items()]
        for move in policy.decide(SERVICE, loads, {"one": 1000}):
            assert move.key_hash not in in_progress
            in_progress.add(move.key_hash)
        assert len(in_progress) <= MAX_CONCURRENT_MOVES
        for key in ended:
            policy.move_ended(SERVICE, key, moved=moved)
        in_progress -= ended
    other = policy.decide("other", [load(1, 900)], {"one": 1000})
    assert [move.service for move in other] == ["other"]
