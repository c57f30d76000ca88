"""Checks that instances close no connection under requests that they have read.

LOST, reload: a request sent up to `APPLY_SECONDS` after SIGHUP is not cut off after
the signal.
LOST, any time: an instance in touch that has passed a request of a kept connection on
to an endpoint closes that connection without an answer at most three times.
Planned stops are judged by `lost_audit`.
"""

from collections.abc import Iterable

from tests.soak.callers import CallRecord
from tests.soak.config_audit import APPLY_SECONDS
from tests.soak.lost_audit import (
    DEADLINE_SLACK_SECONDS,
    LOSS_SLACK_SECONDS,
    EndpointRecord,
)

MAX_CUT_REQUESTS = 3


def is_cut(call: CallRecord, endpoint: EndpointRecord) -> bool:
    """Return whether the instance ended a connection under a request it had read.

    The caller has waited for the answer.
    """
    if call.ended_at is None or call.status is not None or endpoint.broken_off:
        return False
    if call.ended_at >= call.deadline_at - DEADLINE_SLACK_SECONDS:
        return False
    if endpoint.arrived:
        return True
    return not call.behind and call.ended_at > call.sent_at + LOSS_SLACK_SECONDS


def is_cut_by_reload(
    call: CallRecord, endpoint: EndpointRecord, reloads: Iterable[float]
) -> bool:
    """Return whether a request was cut off around a SIGHUP of its instance."""
    ended = call.ended_at
    return (
        ended is not None
        and is_cut(call, endpoint)
        and any(at <= ended and call.sent_at <= at + APPLY_SECONDS for at in reloads)
    )
