"""What callers and endpoints of an ordinary run saw of each request."""

import dataclasses

from tests.soak.callers import CallRecord
from tests.soak.lost_audit import EndpointRecord


@dataclasses.dataclass
class PlayedCall(CallRecord):
    """One request of a caller. Times are seconds on the clock of the run."""

    key: int = 0
    # When its caller closed the connection without waiting for the answer.
    left_at: float | None = None

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint."""

    at: float
    endpoint: str


@dataclasses.dataclass
class RequestRecord(EndpointRecord):
    """What endpoints saw of a request. The lists of runs have the same length."""

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    services: list[str] = dataclasses.field(default_factory=list)  # Of each run.
    # When each run would end by itself.
    planned_ends: list[float] = dataclasses.field(default_factory=list)
