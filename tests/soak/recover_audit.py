"""Checks that requests are served again after all instances were killed.

RECOVER: of the requests sent later than `RECOVERY_SECONDS` after the instances are
back, at least a quarter is served, if a quarter or more was before.
"""

import dataclasses
from collections.abc import Iterable

from tests.soak.records import PlayedCall

RECOVERY_SECONDS = 15.0  # `recoveryS` of the settings of the soak.
SERVED_SHARE = 0.25
MIN_REQUESTS = 8  # A share of fewer says nothing.


@dataclasses.dataclass(frozen=True)
class FinalKill:
    """The last time at which all instances were killed, on the clock of the run."""

    at: float
    back_at: float  # When the last of them was started again.


@dataclasses.dataclass(frozen=True)
class RecoveryReport:
    """Requests before the kill and after the recovery."""

    sent_before: int
    served_before: int
    sent_after: int
    served_after: int

    @property
    def judged(self) -> bool:
        """Whether there is enough to judge."""
        return (
            min(self.sent_before, self.sent_after) >= MIN_REQUESTS
            and self.served_before >= SERVED_SHARE * self.sent_before
        )

    @property
    def recovered(self) -> bool:
        """Whether enough requests are served."""
        return not self.judged or self.served_after >= SERVED_SHARE * self.sent_after


def judge_recovery(calls: Iterable[PlayedCall], kill: FinalKill) -> RecoveryReport:
    """Return how many requests were served before and after a kill."""
    before, after = [], []
    for call in calls:
        if call.left_at is not None:
            continue
        served = call.status is not None and 200 <= call.status < 300
        if call.ended_at is not None and call.ended_at < kill.at:
            before.append(served)
        elif call.sent_at > kill.back_at + RECOVERY_SECONDS:
            after.append(served)
    return RecoveryReport(len(before), sum(before), len(after), sum(after))
