"""Requests for keys whose owner takes no connections for a moment."""

import pytest

from arbutusflow.gateway.load.owner_probes import (
    MAX_PAUSE_SECONDS,
    MAX_WAITED_FOR_SECONDS,
    OwnerProbes,
)
from tests.gateway.test_dispatch import NOT_CONNECTED, OK, handle

KEY_WAIT_SECONDS = 0.4  # That a request waits for its owner.
STEP_SECONDS = 0.01


def serve(back_after, seconds, rate=20):
    """Let requests for one owner arrive while it takes no connections for some time.

    Return the share that was served, and how often a connection was tried.
    """
    probes, waiting, served, refused, tries = OwnerProbes(), [], 0, 0, 0
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if step % round(1 / rate / STEP_SECONDS) == 0:
            waiting.append(now)
        for begun in list(waiting):
            if probes.wait_seconds(now):
                if probes.may_wait(now) and now - begun < KEY_WAIT_SECONDS:
                    continue
                refused += 1
            else:
                probes.begin(now)
                tries += 1
                if now < back_after:
                    probes.fail(now)
                    continue
                probes.succeed()
                served += 1
            waiting.remove(begun)
    return served / (served + refused), tries - served


@pytest.mark.parametrize("back_after", [0.1, 0.25, 0.35])
def test_no_request_is_refused_while_a_process_is_replaced_quickly(back_after):
    """20 requests per second for keys of an owner that is away for a moment.

    Guards against refusing all of them for 0.4 s and longer (7,096 of 61,000 refusals
    of one day), and against as many connections as there are requests.
    """
    share, failures = serve(back_after, 2.0)
    assert share == 1.0
    assert failures <= 4


def test_an_owner_that_stays_away_costs_few_tries_and_holds_few_requests():
    """Guards against a burst of connections to a host in trouble, and against requests
    that all wait although the owner is lost."""
    share, failures = serve(10.0, 10.0)
    assert share == 0.0
    assert failures <= 5 + 10.0 / MAX_PAUSE_SECONDS
    probes = OwnerProbes()
    probes.fail(0.0)
    assert probes.may_wait(MAX_WAITED_FOR_SECONDS - 0.1)
    assert not probes.may_wait(MAX_WAITED_FOR_SECONDS)


def test_an_owner_is_tried_soon_after_it_is_back():
    """Guards against a pause of 3 s, which the doubled backoff came to before."""
    probes = OwnerProbes()
    for _ in range(10):
        now = probes.retry_at
        probes.begin(now)
        probes.fail(now)
    assert probes.wait_seconds(now) == pytest.approx(MAX_PAUSE_SECONDS)


def test_connections_that_fail_together_count_once():
    """Guards against the longest pause at once because several requests failed."""
    probes = OwnerProbes()
    for _ in range(8):
        probes.begin(5.0)
    for _ in range(8):
        probes.fail(5.0)
    assert probes.wait_seconds(5.0) < 2 * 0.05


def test_an_answer_shows_that_an_owner_at_its_limit_of_connections_lives():
    """It takes no further connections, and answers on those that are open.

    Guards against refusals while the next request could use one of them.
    """
    probes = OwnerProbes()
    for now in (0.0, 0.5, 1.0, 1.5):
        probes.begin(now)
        probes.fail(now)
    probes.note_answer(1.6)
    assert not probes.wait_seconds(1.6)
    assert probes.may_wait(1.6 + MAX_WAITED_FOR_SECONDS / 2)
    probes.begin(1.6)
    assert probes.wait_seconds(1.6)  # One at a time still.


def test_a_request_is_sent_when_its_owner_takes_connections_again():
    """Guards against status 503 for a request of which nothing has been sent."""
    reply, sent, seconds = handle(*[NOT_CONNECTED] * 3, OK, partitioned=True)
    assert (reply.status, len(sent)) == (200, 1)
    assert seconds < KEY_WAIT_SECONDS


def test_a_request_for_a_lost_owner_is_refused_soon():
    reply, sent, seconds = handle(NOT_CONNECTED, partitioned=True, timeout=5.0)
    assert (reply.status, reply.body, sent) == (503, b"owner_unreachable\n", [])
    assert seconds <= KEY_WAIT_SECONDS + 0.05
