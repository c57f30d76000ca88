"""Placement: balance by weight, spread over zones, least movement."""

import dataclasses

import pytest

from arbutusflow.domain.configuration import Endpoint
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.placement import choose_owners, rebalance


def endpoints(*weights, zones="ab"):
    return [
        Endpoint(f"e{i}", zones[i % len(zones)], "h", 1 + i, weight=weight)
        for i, weight in enumerate(weights)
    ]


def assigned(candidates, units=256):
    table = OwnershipTable.empty("swaps", units)
    return table.with_owners(choose_owners(table, range(units), candidates))


@pytest.mark.parametrize("weights", [(1, 1, 1), (1, 2, 5), (0.5, 3)])
def test_units_follow_the_weights(weights):
    counts = assigned(endpoints(*weights)).counts()
    for index, weight in enumerate(weights):
        assert abs(counts[f"e{index}"] - 256 * weight / sum(weights)) <= 1


def test_zones_share_the_units_evenly():
    """Guards against all first units of a small service landing in one zone."""
    table = assigned(endpoints(1, 1, 1, 1), units=2)
    assert {int(name[1]) % 2 for name in table.counts()} == {0, 1}


def test_orphaned_units_move_and_no_others():
    everyone = endpoints(1, 1, 1, 1)
    table = assigned(everyone)
    lost = table.units_of("e0")
    changes = choose_owners(table, list(lost), everyone[1:])
    assert changes.keys() == lost.keys()
    counts = table.with_owners(changes).counts()
    assert max(counts.values()) - min(counts.values()) <= 1


@pytest.mark.parametrize(
    ("after", "least"),
    [
        (endpoints(1, 1, 1, 1), 64),  # One of four joins.
        ([*endpoints(1, 1), dataclasses.replace(endpoints(1, 1, 1)[2], weight=2)], 43),
    ],
    ids=["join", "weight"],
)
def test_rebalance_moves_the_least_and_ends(after, least):
    table = assigned(endpoints(1, 1, 1))
    moves = rebalance(table, after, 256)
    assert abs(len(moves) - least) <= 1
    assert rebalance(table.with_owners(moves), after, 256) == {}


def test_rebalance_keeps_to_its_limit_and_to_planned_moves():
    table, after = assigned(endpoints(1, 1, 1)), endpoints(1, 1, 1, 1)
    first = rebalance(table, after, 4)
    assert len(first) == 4
    planned = table.with_targets(dict(first))
    assert not first.keys() & rebalance(planned, after, 256).keys()
