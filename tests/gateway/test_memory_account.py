"""Who is evicted when callers hold too much, and how that is reported.

Guards against an instance that runs out of memory, and against one that keeps within it
at the cost of callers who hold little or whose requests are at an endpoint.
"""

import pytest

from arbutusflow.gateway.callers.memory_account import (
    CONNECTION_BYTES,
    LEAST_FRACTION,
    MARGIN_FRACTION,
    STEADY_BYTES_PER_SECOND,
    Holding,
    MemoryAccount,
)
from arbutusflow.gateway.callers.turned_away import (
    MAX_LINES_PER_PERIOD,
    PERIOD_SECONDS,
    TurnedAway,
)

NOW = 100.0
LIMIT = 1_000_000


def hold(account, address="a", reading=0, request=0, answers=0, since=NOW - 5.0):
    holding = Holding(account)
    account.open(holding, address, since)
    holding.set_reading(reading)
    holding.add_request(request)
    holding.set_answers(answers)
    return holding


def test_nobody_is_evicted_while_there_is_memory():
    account = MemoryAccount(LIMIT)
    hold(account, reading=LIMIT // 2)
    assert not account.is_full
    assert account.choose(NOW) == []


def test_the_address_that_holds_most_comes_first():
    """Guards against one address that displaces the callers of all others."""
    account = MemoryAccount(LIMIT)
    big = hold(account, "other", reading=LIMIT // 4)
    many = [hold(account, "many", reading=LIMIT // 20) for _ in range(16)]
    chosen = account.choose(NOW)
    assert account.is_full
    assert set(chosen) <= set(many)
    assert big not in chosen


@pytest.mark.parametrize("kind", ["reading", "answers"])
def test_the_least_progress_for_what_is_held_comes_first(kind):
    """Guards against bodies that arrive steadily and are given up for stopped ones."""
    account = MemoryAccount(LIMIT)
    stopped = hold(account, **{kind: LIMIT // 2})
    steady = hold(account, **{kind: LIMIT // 2})
    steady.advance(5 * STEADY_BYTES_PER_SECOND, NOW)
    small = hold(account, reading=200, since=NOW - 0.1)
    chosen = account.choose(NOW)
    assert chosen == [stopped]
    assert small not in chosen


def test_a_body_that_came_at_once_and_stopped_is_behind_soon():
    """Guards against a credit of minutes for large bodies one byte short."""
    account = MemoryAccount(LIMIT)
    stopped = hold(account, reading=LIMIT // 2, since=NOW - 5.0)
    stopped.advance(LIMIT, NOW - 5.0)
    coming = hold(account, reading=LIMIT // 2, since=NOW - 5.0)
    coming.advance(LIMIT, NOW)
    assert account.choose(NOW) == [stopped]
    assert account.choose_stalled(NOW, 1) == [stopped]
    assert account.choose_stalled(NOW - 4.0, 1) == []


def test_a_request_at_an_endpoint_is_never_evicted():
    account = MemoryAccount(LIMIT)
    hold(account, request=2 * LIMIT)
    assert account.choose(NOW) == []


def test_what_is_read_behind_a_request_at_an_endpoint_can_be_evicted():
    """Guards against a caller that protects any amount by one slow request."""
    account = MemoryAccount(LIMIT)
    behind = hold(account, request=1000, reading=2 * LIMIT)
    assert account.choose(NOW) == [behind]
    assert behind.evictable_bytes == 2 * LIMIT


def test_idle_connections_are_closed_only_if_that_is_necessary():
    """Guards against a loss of all kept connections for one large caller."""
    account = MemoryAccount(20 * CONNECTION_BYTES)
    idle = [hold(account) for _ in range(19)]
    large = hold(account, "b", reading=2 * CONNECTION_BYTES)
    assert account.choose(NOW) == [large]
    idle += [hold(account, "c", since=NOW) for _ in range(10)]
    chosen = account.choose(NOW)
    assert chosen[0] is large
    assert set(chosen[1:]) <= set(idle)
    assert account.total_bytes - sum(x.evictable_bytes for x in chosen) <= (
        account.limit_bytes
    )


def test_all_is_returned_when_connections_close():
    """Guards against memory that counts as held for ever."""
    account = MemoryAccount(LIMIT)
    holding = hold(account, reading=10, request=20, answers=30)
    account.close(holding)
    account.close(holding)
    assert account.held_bytes == 20  # Its handler still runs.
    holding.add_request(-20)
    assert account.held_bytes == 0


def test_the_bound_leaves_a_margin_and_the_process_at_its_start():
    account = MemoryAccount.from_memory(LIMIT, 100_000, lambda: 50_000)
    assert account.limit_bytes == (1 - MARGIN_FRACTION) * LIMIT - 50_000
    assert account.total_bytes == 50_000
    account.set_start(LIMIT)
    assert account.limit_bytes == LEAST_FRACTION * LIMIT


def test_lines_about_callers_are_limited_and_all_cases_are_counted():
    """Guards against an attack that hides all other lines of the log."""
    lines, counted = [], []
    reports = TurnedAway(lambda *line: lines.append(line), counted.append)
    for _ in range(5):
        reports.report("a", "too_late", 7, NOW)
    for number in range(100):
        reports.report(f"b{number}", "too_late", 7, NOW)
    reports.report("a", "too_late", 8, NOW + PERIOD_SECONDS)
    assert len(lines) == MAX_LINES_PER_PERIOD + 1
    assert lines[0] == ("a", "too_late", 7, 1)
    assert lines[-1] == ("a", "too_late", 8, 5)
    assert len(counted) == 106
