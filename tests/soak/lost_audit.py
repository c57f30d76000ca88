"""Finds the requests that a planned stop has cut off, from what was seen outside.

A request that an instance has read gets a complete answer although the instance is
stopped. Its caller sees otherwise if its connection ends without one, after the request
has reached an endpoint or later than `LOSS_SLACK_SECONDS` after its last byte was sent,
or if the instance answers in place of an endpoint that is still at work. The window of
a stop takes in the process that is started next.

Not counted: requests that had reached their deadline; requests behind another one that
reached no endpoint; requests sent early in the stop whose endpoint is at work in the
last part of the grace period.
"""

import dataclasses

from tests.soak.callers import CallRecord
from tests.soak.gateway_process import GRACE_SECONDS

WINDOW_SECONDS = GRACE_SECONDS + 1.0  # After SIGTERM.
LOSS_SLACK_SECONDS = 0.2
# A request sent later than this after SIGTERM is answered before the end in any case.
EARLY_SECONDS = 3.0
LAST_PART_SECONDS = GRACE_SECONDS / 6


@dataclasses.dataclass
class EndpointRecord:
    """What endpoints saw of a request. Times are seconds on the clock of the run."""

    arrived: bool = False
    # Start and end of each run; an end is None while the endpoint is at work.
    runs: list[tuple[float, float | None]] = dataclasses.field(default_factory=list)
    # When runs ended because the instance ended their connection.
    cut_at: list[float] = dataclasses.field(default_factory=list)
    broken_off: bool = False  # By the endpoint or on the way.

    def at_work(self, since: float, until: float) -> bool:
        """Whether an endpoint was at work at some moment of this time."""
        return any(
            start < until and (end is None or end > since) for start, end in self.runs
        )


def is_lost(
    call: CallRecord,
    endpoint: EndpointRecord,
    stops: dict[str, list[float]],
) -> bool:
    """Return whether a planned stop of its instance has cut the request off.

    `stops` holds the times at which each instance got SIGTERM; their windows overlap.
    """
    if call.signed or call.gave_up or endpoint.broken_off:
        return False
    return any(
        _is_lost_by(call, endpoint, stop) for stop in stops.get(call.instance, ())
    )


def _is_lost_by(call: CallRecord, endpoint: EndpointRecord, stop: float) -> bool:
    ended, until = call.ended_at, stop + WINDOW_SECONDS
    if ended is None:
        return False
    end_of_grace = stop + GRACE_SECONDS
    excused = call.sent_at <= stop + EARLY_SECONDS and endpoint.at_work(
        end_of_grace - LAST_PART_SECONDS, end_of_grace
    )
    if excused:
        return False
    if call.status is not None:
        # However late its caller reads the answer that came in place of the endpoint's.
        replaced = [*endpoint.cut_at]
        if endpoint.at_work(ended, ended):
            replaced.append(ended)
        return any(stop <= at <= until and at < call.deadline_at for at in replaced)
    if not stop <= ended <= until or ended >= call.deadline_at:
        return False
    if call.behind and not endpoint.arrived:
        return False
    return endpoint.arrived or ended > call.sent_at + LOSS_SLACK_SECONDS
