"""Sketch of frequent keys: bounds of its counts."""

import collections
import random

import pytest

from arbutusflow.domain.hotkeys import HotKeySketch


@pytest.mark.parametrize("seed", range(5))
def test_counts_bound_the_true_frequency(seed):
    """Guards against a cold key that looks hot and a hot key that is missed."""
    source = random.Random(seed)
    keys = [f"k{int(source.paretovariate(0.6))}" for _ in range(20_000)]
    sketch = HotKeySketch(capacity=64)
    for key in keys:
        sketch.observe(key)
    true = collections.Counter(keys)
    found = {item.key: item for item in sketch.hottest(64)}
    assert len(found) == 64
    for key, item in found.items():
        assert item.count - item.error <= true[key] <= item.count
    for key, count in true.items():
        assert count <= len(keys) / 64 or key in found


def test_halving_lets_a_new_hot_key_pass_an_old_one():
    sketch = HotKeySketch(capacity=4)
    for _ in range(100):
        sketch.observe("old")
    for _ in range(3):
        sketch.halve()
    for _ in range(20):
        sketch.observe("new")
    assert [item.key for item in sketch.hottest(2)] == ["new", "old"]
