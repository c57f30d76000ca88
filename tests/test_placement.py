"""Placement of units: balance by weight and zone, minimal movement."""

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


def assign_all(candidates, units=256):
    table = OwnershipTable.empty("swaps", units)
    return table.with_owners(choose_owners(table, range(units), candidates))


@pytest.mark.parametrize("weights", [(1, 1, 1), (1, 2, 5), (0.5, 3)])
def test_unit_counts_are_proportional_to_weights(weights):
    counts = assign_all(endpoints(*weights)).counts()
    for index, weight in enumerate(weights):
        assert abs(counts[f"e{index}"] - 256 * weight / sum(weights)) <= 1


def test_zones_get_equal_shares_of_units():
    """Guards against a small service whose units are all assigned to one zone."""
    table = assign_all(endpoints(1, 1, 1, 1), units=2)
    assert {int(name[1]) % 2 for name in table.counts()} == {0, 1}


def test_only_units_of_a_lost_endpoint_move():
    candidates = endpoints(1, 1, 1, 1)
    table = assign_all(candidates)
    lost = table.units_of("e0")
    changes = choose_owners(table, list(lost), candidates[1:])
    assert changes.keys() == lost.keys()
    counts = table.with_owners(changes).counts()
    assert max(counts.values()) - min(counts.values()) <= 1


@pytest.mark.parametrize(
    ("after", "expected_moves"),
    [
        (endpoints(1, 1, 1, 1), 64),  # A fourth endpoint joins.
        ([*endpoints(1, 1), dataclasses.replace(endpoints(1, 1, 1)[2], weight=2)], 43),
    ],
    ids=["join", "weight"],
)
def test_rebalance_moves_the_minimum_and_terminates(after, expected_moves):
    table = assign_all(endpoints(1, 1, 1))
    moves = rebalance(table, after, 256)
    assert abs(len(moves) - expected_moves) <= 1
    assert rebalance(table.with_owners(moves), after, 256) == {}


def test_rebalance_respects_the_limit_and_planned_moves():
    table, after = assign_all(endpoints(1, 1, 1)), endpoints(1, 1, 1, 1)
    moves = rebalance(table, after, 4)
    assert len(moves) == 4
    planned = table.with_targets(dict(moves))
    assert not moves.keys() & rebalance(planned, after, 256).keys()
