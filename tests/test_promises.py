"""Each promise that the demo checks, planted as broken."""

import dataclasses

import pytest

from arbutusflow.standins.key_endpoint import Holding
from arbutusflow.standins.promises import (
    APPLY_SECONDS,
    CALM_PART,
    NO_ANSWER,
    ConfigurationChange,
    FinalState,
    Outcome,
    PlannedStop,
    SentRequest,
    broken_request_promises,
    missing_instances,
    second_owners,
    unanswered,
    unclean_stops,
    unserved_calm_part,
    wrong_configuration,
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


CUT = dataclasses.replace(
    UNKNOWN,
    reason=NO_ANSWER,
    instance="instance-1",
    connected_at=4.0,
    sent_at=5.0,
    ended_at=6.0,
)


@pytest.mark.parametrize(
    ("kills", "fails"),
    [
        ([], True),
        ([("instance-1", 5.5)], False),
        ([("instance-2", 5.5)], True),
        ([("instance-1", 4.5)], False),
        ([("instance-1", 3.9)], True),
        ([("instance-1", 6.1)], True),
    ],
)
def test_a_request_without_an_answer_is_reported_unless_a_kill_cut_it(kills, fails):
    """Guards against requests that a planned stop loses, and against false reports."""
    messages = unanswered([CUT, ANSWERED, REFUSED], kills)
    assert bool(messages) is fails
    assert all("r1 to instance-1 got no answer" in text for text in messages)


FIRST = Holding("e1", 0, 99, 1, since=0.0, until=10.0)


@pytest.mark.parametrize(
    "second",
    [
        Holding("e2", 0, 99, 2, since=10.0, until=14.0),
        Holding("e2", 100, 199, 2, since=1.0, until=4.0),
        Holding("e1", 0, 99, 1, since=9.0, until=14.0),
    ],
    ids=["later", "other keys", "renewed"],
)
def test_one_owner_at_a_time_is_not_reported(second):
    """Guards against a demo that fails on moves and renewals."""
    assert second_owners([second, FIRST]) == []


@pytest.mark.parametrize("reverse", [False, True])
def test_two_owners_at_once_are_reported(reverse):
    """Guards against a key that two endpoints hold at the same time."""
    second = Holding("e2", 50, 199, 2, since=9.99, until=14.0)
    holdings = [second, FIRST] if reverse else [FIRST, second]
    assert second_owners(holdings) == ["keys 50-99 held by e1 and e2 at once"]


@pytest.mark.parametrize("token", [4, 5])
def test_a_token_that_does_not_rise_is_reported(token):
    """Guards against an owner whose work a store would refuse, or should have."""
    first = dataclasses.replace(FIRST, token=5)
    later = Holding("e2", 10, 20, token, since=11.0, until=14.0)
    (message,) = second_owners([first, later])
    assert f"token {token} of e2 is not above token 5 of e1" in message


@pytest.mark.parametrize(
    ("status", "seconds", "text"),
    [
        (0, 5.9, None),
        (None, 6.0, "still ran 6.0 s after"),
        (1, 2.0, "with status 1"),
        (0, 6.2, "took 6.2 s, more than 6 s"),
    ],
)
def test_a_planned_stop_must_end_with_0_in_time(status, seconds, text):
    """Guards against a stop that the platform ends by SIGKILL."""
    messages = unclean_stops([PlannedStop("instance-2", status, seconds, 6.0)])
    assert len(messages) == (text is not None)
    assert all(text in message for message in messages)


@pytest.mark.parametrize(
    ("status", "ready", "text"),
    [
        (None, True, None),
        (None, False, "instance-1 is not ready"),
        (1, False, "ended with status 1"),
        (-9, False, "ended with status -9"),
    ],
)
def test_instances_must_serve_again_at_the_end(status, ready, text):
    """Guards against an instance that does not come back after its end."""
    messages = missing_instances([FinalState("instance-1", status, ready)])
    assert len(messages) == (text is not None)
    assert all(text in message for message in messages)


CHANGE = ConfigurationChange("notice", "artwork", "notices", written_at=100.0)


@pytest.mark.parametrize(
    ("service", "sent_at", "ended_at", "fails"),
    [
        ("artwork", 90.0, 90.1, False),
        ("notices", 90.0, 90.1, True),
        ("notices", 99.9, 100.1, False),
        ("artwork", 100.0 + APPLY_SECONDS - 0.1, 103.0, False),
        ("artwork", 100.0 + APPLY_SECONDS, 103.0, True),
        ("notices", 100.5, 100.6, False),
        ("registry", 100.5, 100.6, True),
    ],
)
def test_requests_follow_the_configuration(service, sent_at, ended_at, fails):
    """Guards against a version that comes into force late, or before it is written."""
    item = dataclasses.replace(
        ANSWERED, group="notice", service=service, sent_at=sent_at, ended_at=ended_at
    )
    other = dataclasses.replace(item, group="lookup", service="registry")
    assert bool(wrong_configuration([item, other], CHANGE)) is fails
