"""Input events and resulting actions of the delivery state machine.

Each arrival of a request, including a resend with the same request identifier, is a
copy of it. A *ticket* is the number that the runtime assigns to a copy on arrival.
Numbers are unique within a process. The ticket of the first copy identifies the
request in the queue and at the endpoint.
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
    """Return a 16-byte hash of the service, kind, key and body of a request."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), kind.encode(), key.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(body)
    return digest.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for one unit, as received by the unit's coordinator.

    `request_id` is the value of the `Arbutus-Request-Id` header, or empty without
    that header. `digest` is the `content_digest` of the request.
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
    """A complete answer of an endpoint, with verified length and digest."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Size of the headers and the body, counted against the retention limit."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + headers


class Failure(enum.Enum):
    """Reason why an attempt at an endpoint ended without a complete answer."""

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
    """A copy of a request arrived; `wall` is the wall-clock time in Unix seconds."""

    ticket: int
    request: Request
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """The queue dispatched the request; nothing was sent yet.

    If the returned actions do not include `Send`, the runtime must first free
    the slot with `EndpointQueue.finished(ticket, now, Finish.NOT_SENT)` and then
    carry out the actions.
    """

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedFromQueue:
    """The queue dropped the request without dispatching it."""

    ticket: int
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the endpoint arrived and matched its digest."""

    ticket: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without a complete answer."""

    ticket: int
    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointExited:
    """The endpoint's process `incarnation` is proven to have exited.

    Each request whose attempt is in flight, or failed shortly before and may have
    run, gets a strike (see `crash_guard`). A repeated report of the same incarnation
    has no effect.
    """

    endpoint: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """The time of a `ScheduleRetry` action has been reached."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of this copy no longer waits for a reply."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitTakenOverWithoutHistory:
    """This instance became the coordinator of the unit without its history."""

    service: str
    unit: int
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnitMoving:
    """The unit is about to get another coordinator; its history is exported next.

    Requests that wait for a retry are refused, so that the instance that forwarded
    them can send them to the next coordinator.
    """

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitReleased:
    """This instance no longer coordinates the unit.

    For a planned move, call `Delivery.export_unit` before this event.
    """

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """Result recorded for a request identifier.

    `created` is the creation time encoded in the identifier, in Unix seconds.
    """

    request_id: str
    created: float
    digest: bytes
    repeatable: bool
    result: Answer | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StrikesImported:
    """Strikes that a previous coordinator counted arrived for this unit."""

    service: str
    unit: int
    strikes: tuple[StrikeRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UnitHistoryImported:
    """This instance became the coordinator of the unit and has its history.

    `requests` has a record of each request of the unit that may have run and whose
    identifier was created after `complete_after`. The history must come from the
    immediately preceding coordinator, and this event must precede the unit's first
    request. It is delivered instead of `UnitTakenOverWithoutHistory`.
    """

    service: str
    unit: int
    complete_after: float
    requests: tuple[RequestRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that expires old entries; `wall` is in Unix seconds."""

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
    | UnitTakenOverWithoutHistory
    | UnitHistoryImported
    | StrikesImported
    | UnitMoving
    | UnitReleased
    | Tick
)


# Actions


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueue:
    """Add the request to the queue of `endpoint`."""

    endpoint: str
    queued: QueuedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the dispatched request, on a new connection if `attempt` exceeds 1."""

    ticket: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleRetry:
    """Deliver `RetryDue` at time `at`, in seconds of the monotonic clock."""

    ticket: int
    at: float
    reason: RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class CancelQueued:
    """Remove the request from the queue of `endpoint`; no event follows."""

    endpoint: str
    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the endpoint that no caller waits for the request any more.

    The result of the attempt is still reported, because it determines the reply to
    a resend.
    """

    endpoint: str
    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyAnswer:
    """Send the complete answer to the caller of the copy."""

    ticket: int
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyRefusal:
    """Send a refusal to the caller of the copy."""

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
