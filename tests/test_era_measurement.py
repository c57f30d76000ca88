"""What the measurement of returns of the store computes from what it saw."""

from arbutusflow.standins.era_measurement import (
    Case,
    Outcome,
    era_learnt_at,
    most_in_a_second,
    refused_seconds,
    refused_share,
)


def test_the_worst_second_is_found_at_any_offset():
    """Guards against calls that are counted by whole seconds of the clock."""
    assert most_in_a_second([]) == 0
    assert most_in_a_second([0.1, 0.7, 0.8, 0.9, 1.6, 1.65, 2.0]) == 5


def test_periods_with_many_refused_requests_are_counted():
    """Guards against a single refused request that counts as a time of refusals."""
    refused = [Outcome(10.0 + i / 40, True, i % 2 == 0) for i in range(40)]
    served = [Outcome(11.0 + i / 40, True, i != 0) for i in range(40)]
    assert refused_share(refused) == 0.5
    assert refused_seconds(refused + served, 10.0) == 1.0
    assert refused_share([]) == 0.0


def test_the_line_of_an_era_is_found_among_others():
    """Guards against the time of another era, and against output that is no line."""
    lines = [
        b"warning",
        b'{"time":5.0,"event":"store_era","old":1,"new":2}',
        b'{"time":6.5,"event":"store_era","old":2,"new":3}',
    ]
    assert era_learnt_at(lines, 3) == 6.5
    assert era_learnt_at(lines, 4) is None


def test_the_drain_is_in_the_part_that_is_lost():
    """Guards against a copy that holds the changes of the key table."""
    assert all(Case(age, 0.3).lead_seconds < age for age in (1.0, 3.0, 6.0))
