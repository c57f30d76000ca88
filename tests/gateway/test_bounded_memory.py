"""Collections that must not grow with the time that a process runs.

Guards against a process that is killed for its memory after hours or weeks, with all
that it was passing on.
"""

from arbutusflow.gateway.retry_budget import RetryBudget

WINDOW_SECONDS = 10.0


def test_requests_are_forgotten_without_any_retry():
    """Requests were forgotten only when a retry was considered."""
    budget = RetryBudget(0.2, 60.0, WINDOW_SECONDS)
    for number in range(20_000):
        budget.count_request("a", number / 100)
        budget.count_retry("a", number / 100)
    most = 100 * WINDOW_SECONDS + 1
    assert len(budget._requests["a"]) <= most
    assert len(budget._retries["a"]) <= most
