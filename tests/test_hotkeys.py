"""Heavy-hitter sketch and the policy that moves hot keys."""

import collections
import heapq
import random

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.domain.hotkeys import (
    COUNTERS,
    MAX_CONCURRENT_MOVES,
    HeavyHitters,
    HotKeyPolicy,
    KeyLoad,
    KeyMove,
    KeyWeight,
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
    # Guards against a key that is moved because of other keys' weight, and against
    # a heavy key that was evicted.
    sketch = HeavyHitters(capacity, halving_seconds=10)
    exact = collections.Counter()
    now = 0
    for key, weight, pause in observations:
        exact[key] += weight
        sketch.observe(key, weight, now)
        halvings = (now + pause) // 10 - now // 10
        now += pause
        for counted in exact:
            exact[counted] *= 0.5**halvings
    sketch.decay(now)
    reported = {item.key_hash: item for item in sketch.hottest(capacity)}
    assert len(sketch) == len(reported) <= capacity
    assert sketch.total == pytest.approx(sum(exact.values()))
    slack = 1e-9 * (1 + sketch.total)
    for key, item in reported.items():
        assert item.at_least - slack <= exact[key] <= item.at_most + slack
        assert item.at_most - item.at_least <= sketch.error_bound + slack
    for key, weight in exact.items():
        assert key in reported or weight <= sketch.error_bound + slack


def test_hot_keys_stand_out_of_a_long_tail_and_fade_when_they_cool():
    # Guards against yesterday's hot keys that hide today's.
    numbers = random.Random(7)
    sketch = HeavyHitters()
    for phase in range(2):
        hot = range(phase * 100, phase * 100 + 10)
        for step in range(40_000):
            key = numbers.choice(hot) if step % 2 else numbers.randrange(1000, 10**9)
            sketch.observe(key, 1, phase * 60 + step / 1000)
        assert {item.key_hash for item in sketch.hottest(10)} == set(hot)
        assert len(sketch) == COUNTERS


def test_same_observations_give_the_same_answer_in_the_same_order():
    # Guards against ties that depend on the order of insertion.
    first, second = HeavyHitters(), HeavyHitters()
    for key in range(20):
        first.observe(key, 5, 0)
        second.observe(19 - key, 5, 0)
    assert first.hottest(20) == second.hottest(20)


def test_observation_cost_does_not_grow_with_the_capacity(monkeypatch):
    # Guards against a search through all counters at each eviction.
    replaced = collections.Counter()
    original = heapq.heapreplace

    def counted(heap, item):
        replaced[len(heap)] += 1
        return original(heap, item)

    monkeypatch.setattr("arbutusflow.domain.hotkeys.heapq.heapreplace", counted)
    numbers = random.Random(3)
    for capacity in (16, COUNTERS):
        sketch = HeavyHitters(capacity)
        for _ in range(20_000):
            sketch.observe(numbers.randrange(4 * capacity), 1, 0)
        # One replacement per eviction and at most one per raised counter.
        assert replaced[capacity] <= 20_000


@pytest.mark.parametrize(
    ("kind", "arguments"),
    [(HeavyHitters, (0, 1)), (HeavyHitters, (1, 0)), (HotKeyPolicy, (0.1, 0.1))],
)
def test_senseless_settings_are_refused(kind, arguments):
    # Guards against a division by zero and against keys that move to and fro.
    with pytest.raises(ValueError, match="must"):
        kind(*arguments)


def load(key, at_least, at_most=None, endpoint="one"):
    weight = KeyWeight(key, at_least, at_least if at_most is None else at_most)
    return KeyLoad(endpoint, weight)


@pytest.mark.parametrize(
    ("loads", "total", "hot"),
    [
        ([load(1, 201)], 1000, {1}),
        ([load(1, 200)], 1000, set()),
        ([load(1, 100, at_most=900)], 1000, set()),
        ([load(1, 50)], 60, set()),
        ([load(1, 300), load(2, 300), load(3, 100)], 1000, {1, 2}),
    ],
)
def test_key_becomes_hot_above_the_enter_share(loads, total, hot):
    # Guards against moves on estimates that the sketch's error can explain, and on
    # endpoints that are nearly idle.
    policy = HotKeyPolicy()
    moves = policy.decide(SERVICE, loads, {"one": total})
    assert policy.hot_keys(SERVICE) == {move.key_hash for move in moves} == hot


@pytest.mark.parametrize(
    ("share", "cooled"), [(0.19, False), (0.06, False), (0.04, True), (None, True)]
)
def test_hot_key_cools_only_below_the_leave_share(share, cooled):
    # Guards against a key that moves to and fro around one threshold.
    policy = HotKeyPolicy()
    policy.decide(SERVICE, [load(1, 300)], {"one": 1000})
    policy.move_ended(SERVICE, 1, moved=True)
    loads = [] if share is None else [load(1, share * 1000)]
    moves = policy.decide(SERVICE, loads, {"one": 1000})
    assert moves == ([KeyMove(SERVICE, 1, "one", hot=False)] if cooled else [])


@pytest.mark.parametrize("hot", [True, False])
def test_failed_move_is_tried_again(hot):
    # Guards against an override that stays for ever, or a hot key that never moves.
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
def test_few_moves_of_a_service_are_under_way(rounds):
    # Guards against a load jump that moves many keys at once.
    policy = HotKeyPolicy()
    under_way = set()
    for weights, ended, moved in rounds:
        loads = [load(key, weight) for key, weight in weights.items()]
        for move in policy.decide(SERVICE, loads, {"one": 1000}):
            assert move.key_hash not in under_way
            under_way.add(move.key_hash)
        assert len(under_way) <= MAX_CONCURRENT_MOVES
        for key in ended:
            policy.move_ended(SERVICE, key, moved=moved)
        under_way -= ended
    other = policy.decide("other", [load(1, 900)], {"one": 1000})
    assert [move.service for move in other] == ["other"]
