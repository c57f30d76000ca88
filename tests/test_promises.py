"""Each promise that the demo checks, planted as broken."""

import dataclasses

import pytest

from arbutusflow.standins.promises import (
    CALM_PART,
    Outcome,
    SentRequest,
    broken_request_promises,
    unserved_calm_part,
)

ANSWERED = SentRequest(
    "r1", CALM_PART, "issuance/issue", False, Outcome.ANSWERED, "", 0.0, 0.01
)
REFUSED = dataclasses.replace(ANSWERED, outcome=Outcome.NOT_RUN, reason="queue_full")
UNKNOWN = dataclasses.replace(ANSWERED, outcome=Outcome.UNKNOWN, reason="lost")
REPEATABLE = dataclasses.replace(ANSWERED, repeatable=True)


@pytest.mark.parametrize(
    ("item", "runs"),
    [(ANSWERED, 1), (REFUSED, 0), (UNKNOWN, 0), (UNKNOWN, 1), (REPEATABLE, 2)],
)
def test_kept_promises_are_not_reported(item, runs):
    """Guards against a demo that fails although the product works."""
    assert broken_request_promises([item], {"r1": runs}) == []


@pytest.mark.parametrize(
    ("item", "runs", "text"),
    [
        (dataclasses.replace(ANSWERED, own_answer=False), 1, "of another request"),
        (REFUSED, 1, "was reported as not run, but ran"),
        (ANSWERED, 0, "was answered, but never ran"),
        (ANSWERED, 2, "ran 2 times"),
        (UNKNOWN, 3, "ran 3 times"),
    ],
)
def test_a_broken_promise_is_reported(item, runs, text):
    """Guards against a demo that ends with 0 although a promise was broken."""
    (message,) = broken_request_promises([item], {"r1": runs})
    assert "r1" in message
    assert text in message


@pytest.mark.parametrize(("refused", "fails"), [(1, False), (2, True), (100, True)])
def test_fewer_than_99_answers_of_100_in_the_calm_part_fail(refused, fails):
    """Guards against a demo that refuses its requests and ends with 0."""
    sent = [REFUSED] * refused + [ANSWERED] * (100 - refused)
    messages = unserved_calm_part(sent)
    assert bool(messages) is fails
    if fails:
        assert f"only {100 - refused} of 100" in messages[0]
        assert f"{refused} queue_full" in messages[0]


def test_other_parts_do_not_count_as_calm():
    """Guards against answers of other parts that hide refusals, and the reverse."""
    burst = dataclasses.replace(REFUSED, part="burst")
    assert unserved_calm_part([ANSWERED, *[burst] * 100]) == []
    assert unserved_calm_part([REFUSED, *[dataclasses.replace(ANSWERED, part="x")] * 9])


def test_a_calm_part_without_requests_fails():
    """Guards against a demo that sends nothing and ends with 0."""
    assert unserved_calm_part([]) == ["no request was sent in the calm part"]
