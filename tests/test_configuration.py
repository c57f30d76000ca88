"""Configuration patches: numbers, identifiers and validation rules."""

import dataclasses

import pytest

from arbutusflow.domain.configuration import (
    Accepted,
    Configuration,
    DeclareZoneLost,
    Endpoint,
    EndpointState,
    Invalid,
    Kind,
    Patch,
    PutEndpoint,
    PutService,
    Rank,
    RemoveEndpoint,
    RestoreZone,
    Service,
    SetEndpointState,
    Stale,
    apply_patch,
)

ISSUE = Service("issuance", (Kind("issue", Rank.URGENT, repeatable=False),))
FIRST = Endpoint("issuance-1", "a", "127.0.0.1", 9001)


def applied(*operations):
    patch = Patch("patch-0001", 0, operations)
    return apply_patch(Configuration(), patch)


def test_patch_against_the_current_number_takes_effect():
    result, cfg = applied(PutService(ISSUE), PutEndpoint("issuance", FIRST))
    assert result == Accepted(1)
    assert cfg.service("issuance").endpoint("issuance-1") == FIRST


def test_stale_patch_is_refused_with_both_numbers():
    """Guards against lost updates by concurrent operators."""
    _, cfg = applied(PutService(ISSUE))
    result, after = apply_patch(cfg, Patch("patch-0002", 0, (PutService(ISSUE),)))
    assert result == Stale(against=0, current=1)
    assert after is cfg


def test_resent_patch_returns_its_earlier_number():
    """Guards against refusing a resent patch as stale after a lost answer."""
    _, cfg = applied(PutService(ISSUE))
    result, after = apply_patch(cfg, Patch("patch-0001", 0, (PutService(ISSUE),)))
    assert result == Accepted(1)
    assert after is cfg


@pytest.mark.parametrize(
    ("operations", "expected_text"),
    [
        ((PutEndpoint("absent", FIRST),), "no service absent"),
        ((PutService(ISSUE), RemoveEndpoint("issuance", "x")), "no endpoint x"),
        (
            (
                PutService(ISSUE),
                SetEndpointState("issuance", "y", EndpointState.DRAINING),
            ),
            "no endpoint y",
        ),
        ((PutService(Service("empty", ())),), "no kind of work"),
        (
            (
                PutService(ISSUE),
                PutEndpoint("issuance", FIRST),
                PutEndpoint("issuance", dataclasses.replace(FIRST, port=9002)),
            ),
            "port of endpoint issuance-1 cannot change",
        ),
        (
            (
                PutService(dataclasses.replace(ISSUE, endpoints=(FIRST,))),
                PutService(
                    dataclasses.replace(
                        ISSUE,
                        endpoints=(dataclasses.replace(FIRST, checks_tokens=False),),
                    )
                ),
            ),
            "checks_tokens of endpoint issuance-1 cannot change",
        ),
        (
            (
                PutService(ISSUE),
                PutEndpoint("issuance", FIRST),
                PutEndpoint("issuance", Endpoint("two", "a", "127.0.0.1", 9001)),
            ),
            "belongs to two endpoints",
        ),
    ],
)
def test_patch_that_breaks_a_rule_changes_nothing(operations, expected_text):
    result, cfg = applied(*operations)
    assert isinstance(result, Invalid)
    assert expected_text in result.problems[0]
    assert cfg == Configuration()


def test_zone_stays_declared_lost_until_it_is_restored():
    endpoint = Endpoint("issuance-1", "zone-a", "127.0.0.1", 9001)
    kinds = (Kind("issue", Rank.URGENT, repeatable=False),)
    create = PutService(Service("issuance", kinds, (endpoint,)))
    patch = Patch("patch-0001", 0, (create, DeclareZoneLost("zone-a")))
    result, cfg = apply_patch(Configuration(), patch)
    assert (result, cfg.lost_zones) == (Accepted(1), ("zone-a",))
    result, cfg = apply_patch(cfg, Patch("patch-0002", 1, (RestoreZone("zone-a"),)))
    assert (result, cfg.lost_zones) == (Accepted(2), ())


@pytest.mark.parametrize("operation", [DeclareZoneLost("zone-z"), RestoreZone("a")])
def test_unknown_zone_is_refused(operation):
    """Guards against storing a mistyped zone that matches nothing."""
    result, cfg = apply_patch(Configuration(), Patch("patch-0001", 0, (operation,)))
    assert isinstance(result, Invalid)
    assert cfg == Configuration()
