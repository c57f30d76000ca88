"""Checks that instances close no connection under requests that they have read.

LOST, reload: a request sent up to `APPLY_SECONDS` after SIGHUP is not cut off after
the signal.
LOST, configuration: from the sending of a configuration until `APPLY_SECONDS` and one
second after its acknowledgement, an instance does not cut requests off over
`MAX_CUT_RATIO` times as often as at other times, as shares of the requests that end.
LOST, any time: an instance in touch that has passed a request of a kept connection on
to an endpoint closes that connection without an answer at most three times.
Planned stops are judged by `lost_audit`.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from tests.soak.callers import CallRecord
from tests.soak.config_audit import APPLY_SECONDS
from tests.soak.lost_audit import (
    DEADLINE_SLACK_SECONDS,
    LOSS_SLACK_SECONDS,
    EndpointRecord,
)

MAX_CUT_REQUESTS = 3
CONFIGURATION_WINDOW_SECONDS = APPLY_SECONDS + 1.0
MAX_CUT_RATIO = 3
USED_SHARE = 0.7  # Of its time; later a request is not counted beside a configuration.


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


def cut_by_configurations(
    calls: Iterable[tuple[CallRecord, EndpointRecord]], sent: Sequence[float]
) -> list[CallRecord]:
    """Return the requests that instances cut off too often beside configurations.

    `sent` holds when configurations were sent; the store acknowledges them at once.
    """
    of_instance: dict[str, _CutCounts] = {}
    for call, endpoint in calls:
        if call.ended_at is None:
            continue
        counts = of_instance.setdefault(call.instance, _CutCounts())
        cut = is_cut(call, endpoint)
        if any(0 <= call.ended_at - at <= CONFIGURATION_WINDOW_SECONDS for at in sent):
            counts.beside += 1
            used = call.ended_at - call.began_at
            if cut and used < USED_SHARE * (call.deadline_at - call.began_at):
                counts.cut_beside.append(call)
        else:
            counts.other += 1
            counts.cut_other += cut
    return [
        call
        for counts in of_instance.values()
        if counts.too_often
        for call in counts.cut_beside
    ]


@dataclasses.dataclass
class _CutCounts:
    """Requests of an instance that ended beside configurations, and at other times."""

    beside: int = 0
    cut_beside: list[CallRecord] = dataclasses.field(default_factory=list)
    other: int = 0
    cut_other: int = 0

    @property
    def too_often(self) -> bool:
        # Shares are compared without a division, as no other request may have ended.
        cut = len(self.cut_beside)
        return cut * self.other > MAX_CUT_RATIO * self.cut_other * self.beside or (
            cut > 0 and self.other == 0
        )
