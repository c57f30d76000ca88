"""Checks that work ends soon after the caller has left.

GONE, arrivals: after callers have closed their connections, no more than a few requests
reach an endpoint over `GONE_SECONDS` later.
GONE, work: of the idempotent requests that would have lasted so long, endpoints are
still at work on no more than a quarter `GONE_SECONDS` later.
Requests with a key and instances that are not in touch are left out by the caller of
these functions.
"""

import dataclasses
from collections.abc import Iterable

from tests.soak.records import PlayedCall, RequestRecord

GONE_SECONDS = 0.5
MAX_LATE_ARRIVALS = 3
MAX_AT_WORK_SHARE = 0.25
MIN_LASTING_REQUESTS = 4  # A share of fewer says nothing.


@dataclasses.dataclass
class GoneReport:
    """Requests whose callers have left."""

    late: list[bytes] = dataclasses.field(default_factory=list)
    lasting: list[bytes] = dataclasses.field(default_factory=list)
    at_work: list[bytes] = dataclasses.field(default_factory=list)

    @property
    def arrives_late(self) -> bool:
        """Whether too many requests reached an endpoint too late."""
        return len(self.late) > MAX_LATE_ARRIVALS

    @property
    def works_on(self) -> bool:
        """Whether endpoints worked on too many requests."""
        return len(self.lasting) >= MIN_LASTING_REQUESTS and len(
            self.at_work
        ) > MAX_AT_WORK_SHARE * len(self.lasting)


def judge_leaving(calls: Iterable[tuple[PlayedCall, RequestRecord]]) -> GoneReport:
    """Return what became of the requests whose callers have left."""
    report = GoneReport()
    for call, record in calls:
        if call.left_at is None:
            continue
        limit = call.left_at + GONE_SECONDS
        if any(arrival.at > limit for arrival in record.arrivals):
            report.late.append(call.request_id)
        if not call.idempotent:
            continue
        runs = [
            end
            for (start, end), planned in zip(
                record.runs, record.planned_ends, strict=True
            )
            if start <= limit < planned
        ]
        if runs:
            report.lasting.append(call.request_id)
        if any(end is None or end > limit for end in runs):
            report.at_work.append(call.request_id)
    return report
