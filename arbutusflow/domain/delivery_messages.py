"""Events that the delivery of requests takes and actions that it returns.

A *ticket* is the number that the traffic task gives to each copy of a request that
arrives; numbers are not used twice in one process. The first copy's ticket names
the request in the queue and at the endpoint.
"""

import dataclasses
import enum

import xxhash

from arbutusflow.domain.admission import QueuedRequest
from arbutusflow.domain.configuration import Rank
from arbutusflow.domain.crash_guard import StrikeRecord
from arbutusflow.domain.reasons import Refusal, RefusalReason, RetryReason

DIGEST_BYTES = 16


def content_digest(service: str, kind: str, key: str, body: bytes) -> bytes:
    """Return 16 bytes that name the service, kind, key and content of a request."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), kind.encode(), key.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return digest.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for one unit, as it arrives at the unit's coordinator.

    `request_id` is the text of the `Arbutus-Request-Id` header or empty.
    `deadline` is in seconds of the coordinator's monotonic clock.
    """

    service: str
    unit: int
    endpoint: str
    kind: str
    rank: Rank
    repeatable: bool
    caller: str
    digest: bytes
    deadline: float
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an endpoint, whose length and digest were checked."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Bytes that the retained answer takes."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + headers


class Failure(enum.Enum):
    """How an attempt at an endpoint ended without a whole answer."""

    REFUSED = "refused"
    DRAINING = "draining"
    LEASE_NOT_HELD = "lease_not_held"
    CONNECTION_FAILED = "connection_failed"
    CONNECTION_LOST = "connection_lost"
    ANSWER_INCOMPLETE = "answer_incomplete"
    DIGEST_MISMATCH = "digest_mismatch"
    PROGRESS_TIMEOUT = "progress_timeout"
    DEADLINE_PASSED = "deadline_passed"
    ENDPOINT_EXITED = "endpoint_exited"


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A copy of a request arrived; `wall` is this instance's wall clock."""

    ticket: int
    request: Request
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """The queue returned the request; nothing was sent yet.

    The answer contains `Send`, or the task ends the queue's slot with
    `EndpointQueue.finished(ticket, now, Finish.NOT_SENT)` first and then carries
    out the actions.
    """

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedFromQueue:
    """The queue dropped the request; it was not dispatched this time."""

    ticket: int
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's answer arrived whole and matched its digest."""

    ticket: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without a whole answer."""

    ticket: int
    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointExited:
    """The endpoint's process `incarnation` is proven to have ended.

    Attempts that are in flight or were lost shortly before count as suspects. A
    second report of the same incarnation changes nothing.
    """

    endpoint: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """The time of a `ScheduleRetry` has come."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """Nobody waits for this copy any more."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitTakenOver:
    """This instance begins to coordinate the unit without its request history."""

    service: str
    unit: int
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnitMoving:
    """Another instance is to coordinate the unit; its history is exported next.

    Requests that wait for a retry are refused, so that their entry instance can
    send them to the next coordinator.
    """

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitReleased:
    """This instance no longer coordinates the unit.

    For a planned move, take `Delivery.export_unit` first.
    """

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """What is known of a finished request identifier.

    `created` is the creation time in the identifier, in seconds of the wall clock.
    """

    request_id: str
    created: float
    digest: bytes
    repeatable: bool
    result: Answer | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StrikesImported:
    """An earlier coordinator of the unit counted endpoint exits for its requests."""

    service: str
    unit: int
    strikes: tuple[StrikeRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UnitHistoryImported:
    """This instance begins to coordinate the unit with its request history.

    All identifiers of the unit that were created after `complete_after` and may
    have run are in `requests`. It must come from the coordinator directly before
    this one and before the first request; it takes the place of `UnitTakenOver`.
    """

    service: str
    unit: int
    complete_after: float
    requests: tuple[RequestRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; `wall` is this instance's wall clock."""

    wall: float


Event = (
    Arrived
    | Dispatched
    | DroppedFromQueue
    | Answered
    | AttemptFailed
    | EndpointExited
    | RetryDue
    | CallerLeft
    | UnitTakenOver
    | UnitHistoryImported
    | StrikesImported
    | UnitMoving
    | UnitReleased
    | Tick
)


# Actions


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueue:
    """Offer the request to the queue of `endpoint`."""

    endpoint: str
    queued: QueuedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the dispatched request; on a connection other than its last one."""

    ticket: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleRetry:
    """Report `RetryDue` at `at`, in seconds of the monotonic clock."""

    ticket: int
    at: float
    reason: RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class CancelQueued:
    """Cancel the request in the queue of `endpoint`; report nothing back."""

    endpoint: str
    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the endpoint that nobody waits; still report how the attempt ends."""

    endpoint: str
    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyAnswer:
    """Pass the whole answer to the copy's caller."""

    ticket: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyRefusal:
    """Tell the copy's caller that it gets no answer."""

    ticket: int
    refusal: Refusal


Action = (
    Enqueue
    | Send
    | ScheduleRetry
    | CancelQueued
    | CancelAttempt
    | ReplyAnswer
    | ReplyRefusal
)
