"""Outcomes of requests, and the reasons for refusals and retries.

Each reason is part of a counter name and has an entry in the reference
documentation. `REFUSALS` is the only mapping from a refusal to its outcome and its
HTTP status.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Whether a request ran; the value is sent to the caller as a response header."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"

    @property
    def description(self) -> str:
        """One-sentence explanation for the reference documentation."""
        return _OUTCOME_DESCRIPTIONS[self]


class RefusalReason(enum.Enum):
    """Why a request ended without an answer from an endpoint."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KIND = "unknown_kind"
    BODY_TOO_LARGE = "body_too_large"
    UPLOAD_INCOMPLETE = "upload_incomplete"
    REQUEST_ID_MISSING = "request_id_missing"
    REQUEST_ID_INVALID = "request_id_invalid"
    REQUEST_ID_SKEW = "request_id_skew"
    REQUEST_ID_EXPIRED = "request_id_expired"
    BEFORE_TAKEOVER = "before_takeover"
    ANSWER_EVICTED = "answer_evicted"
    IN_PROGRESS = "in_progress"
    QUEUE_FULL = "queue_full"
    SHED_FOR_URGENT = "shed_for_urgent"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_PASSED_IN_FLIGHT = "deadline_passed_in_flight"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    NO_OWNER = "no_owner"
    NO_COORDINATOR = "no_coordinator"
    COORDINATOR_LOST = "coordinator_lost"
    UNIT_MOVING = "unit_moving"
    LEASE_NOT_HELD = "lease_not_held"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_DRAINING = "endpoint_draining"
    CONNECTION_FAILED = "connection_failed"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ANSWER_DIGEST_MISMATCH = "answer_digest_mismatch"
    PROGRESS_TIMEOUT = "progress_timeout"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    STOPPING = "stopping"
    CALLER_LEFT = "caller_left"

    @property
    def outcome(self) -> Outcome:
        """Outcome, unless an earlier attempt of the request may have run."""
        return REFUSALS[self].outcome

    @property
    def status(self) -> int:
        """HTTP status, unless an earlier attempt of the request may have run."""
        return REFUSALS[self].status

    @property
    def description(self) -> str:
        """One-sentence explanation for the reference documentation."""
        return REFUSALS[self].description


class RetryReason(enum.Enum):
    """Why a coordinator sends a request again."""

    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_DRAINING = "endpoint_draining"
    LEASE_NOT_HELD = "lease_not_held"
    CONNECTION_FAILED = "connection_failed"
    ENDPOINT_LOST = "endpoint_lost"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ANSWER_DIGEST_MISMATCH = "answer_digest_mismatch"
    PROGRESS_TIMEOUT = "progress_timeout"

    @property
    def description(self) -> str:
        """One-sentence explanation for the reference documentation."""
        return _RETRY_DESCRIPTIONS[self]


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalRule:
    """Outcome and HTTP status of a refusal, and its text in the documentation."""

    outcome: Outcome
    status: int
    description: str


UNKNOWN_OUTCOME_STATUS = 504

_OUTCOME_DESCRIPTIONS = {
    Outcome.ANSWERED: "The caller has the whole answer of the endpoint.",
    Outcome.NOT_RUN: "It is proved that no endpoint ran the request.",
    Outcome.UNKNOWN: "The request may have run, once or not at all.",
}

_RETRY_DESCRIPTIONS = {
    RetryReason.ENDPOINT_REFUSED: "The endpoint said that it did not run the request.",
    RetryReason.ENDPOINT_DRAINING: "The endpoint is leaving and did not run it.",
    RetryReason.LEASE_NOT_HELD: "The endpoint held no valid lease for the unit.",
    RetryReason.CONNECTION_FAILED: "No byte of the request was sent.",
    RetryReason.ENDPOINT_LOST: "The connection ended before the answer.",
    RetryReason.ANSWER_INCOMPLETE: "The answer was shorter than it declared.",
    RetryReason.ANSWER_DIGEST_MISMATCH: "The answer did not match its digest.",
    RetryReason.PROGRESS_TIMEOUT: "The connection made no progress in time.",
}


def _client_error(description: str, status: int = 400) -> RefusalRule:
    return RefusalRule(Outcome.NOT_RUN, status, description)


def _too_many_requests(description: str) -> RefusalRule:
    return RefusalRule(Outcome.NOT_RUN, 429, description)


def _not_run(description: str) -> RefusalRule:
    return RefusalRule(Outcome.NOT_RUN, 503, description)


def _unknown(description: str) -> RefusalRule:
    return RefusalRule(Outcome.UNKNOWN, UNKNOWN_OUTCOME_STATUS, description)


REFUSALS = {
    RefusalReason.BAD_REQUEST: _client_error(
        "The request is malformed, or its identifier was used with other content."
    ),
    RefusalReason.HEADERS_TOO_LARGE: _client_error(
        "The request headers are too large.", 431
    ),
    RefusalReason.UNKNOWN_SERVICE: _client_error(
        "The configuration has no such service."
    ),
    RefusalReason.UNKNOWN_KIND: _client_error("The service has no such kind of work."),
    RefusalReason.BODY_TOO_LARGE: _client_error(
        "The body exceeds the configured size.", 413
    ),
    RefusalReason.UPLOAD_INCOMPLETE: _client_error(
        "The upload did not arrive whole or did not match its digest; none is stored."
    ),
    RefusalReason.REQUEST_ID_MISSING: _client_error(
        "This kind of work may not be repeated and needs a request identifier."
    ),
    RefusalReason.REQUEST_ID_INVALID: _client_error(
        "The request identifier is not a UUID of version 7."
    ),
    RefusalReason.REQUEST_ID_SKEW: _client_error(
        "The request identifier was created too far in the future."
    ),
    RefusalReason.REQUEST_ID_EXPIRED: _unknown(
        "The request identifier is too old to tell whether an earlier copy ran."
    ),
    RefusalReason.BEFORE_TAKEOVER: _unknown(
        "The identifier may have been used before this instance took over the key."
    ),
    RefusalReason.ANSWER_EVICTED: _unknown(
        "The record of the request was dropped to free memory."
    ),
    RefusalReason.IN_PROGRESS: _unknown(
        "An earlier copy is in progress and too many copies wait for its answer."
    ),
    RefusalReason.QUEUE_FULL: _too_many_requests(
        "The queue of the endpoint, or the memory for request bodies, is full."
    ),
    RefusalReason.SHED_FOR_URGENT: _too_many_requests(
        "More urgent work took the place of the request in the full queue."
    ),
    RefusalReason.DEADLINE_PASSED: _not_run("The deadline passed in the queue."),
    RefusalReason.DEADLINE_PASSED_IN_FLIGHT: _unknown(
        "The deadline passed after the request was sent to the endpoint."
    ),
    RefusalReason.DEADLINE_TOO_SHORT: _not_run(
        "The time left is shorter than the endpoint usually needs."
    ),
    RefusalReason.NO_OWNER: _not_run("No endpoint owns the key at the moment."),
    RefusalReason.NO_COORDINATOR: _not_run(
        "No reachable instance coordinates the endpoint that owns the key."
    ),
    RefusalReason.COORDINATOR_LOST: _unknown(
        "The connection to the coordinator ended after the request was forwarded."
    ),
    RefusalReason.UNIT_MOVING: _not_run(
        "The key moves to another endpoint and the move took too long."
    ),
    RefusalReason.LEASE_NOT_HELD: _not_run(
        "The endpoint held no valid lease for the key."
    ),
    RefusalReason.ENDPOINT_REFUSED: _not_run(
        "The endpoint said that it did not run the request."
    ),
    RefusalReason.ENDPOINT_LOST: _unknown(
        "The endpoint or the connection to it was lost before the answer."
    ),
    RefusalReason.ENDPOINT_DRAINING: _not_run(
        "The endpoint is leaving and did not run the request."
    ),
    RefusalReason.CONNECTION_FAILED: _not_run(
        "No connection to the endpoint could be used; no byte was sent."
    ),
    RefusalReason.ANSWER_INCOMPLETE: _unknown(
        "The answer of the endpoint did not arrive whole."
    ),
    RefusalReason.ANSWER_DIGEST_MISMATCH: _unknown(
        "The answer of the endpoint did not match its digest."
    ),
    RefusalReason.PROGRESS_TIMEOUT: _unknown(
        "The connection to the endpoint made no progress in time."
    ),
    RefusalReason.CRASHES_ENDPOINTS: _not_run(
        "The request was in flight when endpoints exited and is not sent again."
    ),
    RefusalReason.RETRY_BUDGET_EXHAUSTED: _not_run(
        "The request could be retried, but the retry budget of the service is used up."
    ),
    RefusalReason.STOPPING: _not_run("The instance is stopping."),
    RefusalReason.CALLER_LEFT: _not_run("The caller left before the request was sent."),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Response to a caller whose request ended without an answer."""

    reason: RefusalReason
    outcome: Outcome
    status: int
    detail: str = ""
    retry_after_ms: int = 0

    @classmethod
    def of(
        cls,
        reason: RefusalReason,
        *,
        may_have_run: bool = False,
        detail: str = "",
        retry_after_ms: int = 0,
    ) -> "Refusal":
        """Return the refusal for `reason`.

        The outcome is `unknown` if an attempt may have run.
        """
        if may_have_run:
            return cls(
                reason,
                Outcome.UNKNOWN,
                UNKNOWN_OUTCOME_STATUS,
                detail or reason.description,
            )
        return cls(
            reason,
            reason.outcome,
            reason.status,
            detail or reason.description,
            retry_after_ms,
        )
