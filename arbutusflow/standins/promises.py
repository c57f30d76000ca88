"""Promises of the product that the demo checks, on what callers and endpoints saw.

Every check returns one message for each broken promise. All checks are pure functions
of records, so that a test can plant each broken promise.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence

from arbutusflow.standins.key_endpoint import Holding

CALM_PART = "calm"
NO_ANSWER = "no_answer"  # Reason of a request that was sent and got no answer.
NO_CONNECTION = "no_connection"  # Reason of a request that was not sent.
APPLY_SECONDS = 2.0  # In which a new configuration is in force everywhere.
MIN_ANSWERED_SHARE = 0.99  # Of the requests of the calm part.
MAX_NAMED_REASONS = 3


class Outcome(enum.Enum):
    """What a caller was told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and its end as its caller saw it. Times are in seconds."""

    request_id: str
    part: str  # Part of the demo in which it was sent.
    group: str  # Service and kind of work.
    repeatable: bool
    outcome: Outcome
    reason: str  # Why it was not answered, or "".
    sent_at: float
    ended_at: float
    own_answer: bool = True  # False for the answer of another request.
    instance: str = ""  # That it was sent to.
    connected_at: float = 0.0  # When its connection was opened.
    service: str = ""  # That answered it.


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of an instance, as the one who stopped it saw it."""

    instance: str
    exit_status: int | None  # None if it had to be killed.
    seconds: float  # Until the process ended.
    allowed_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class FinalState:
    """State of an instance after the last part."""

    instance: str
    exit_status: int | None  # None while it runs.
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A version that gave the requests of one route to another service."""

    route: str
    before: str  # Service that answers until the change.
    after: str
    written_at: float  # Seconds on the clock of the requests.


def broken_request_promises(
    sent: Iterable[SentRequest], runs: Mapping[str, int]
) -> list[str]:
    """Compare what callers were told with `runs`, the runs of each identifier."""
    broken = []
    for item in sent:
        count = runs.get(item.request_id, 0)
        if not item.own_answer:
            broken.append(
                f"request {item.request_id} got the answer of another request"
            )
        if item.outcome is Outcome.NOT_RUN and count:
            broken.append(f"request {item.request_id} was reported as not run, but ran")
        if item.outcome is Outcome.ANSWERED and not count:
            broken.append(f"request {item.request_id} was answered, but never ran")
        if not item.repeatable and count > 1:
            broken.append(f"request {item.request_id} ran {count} times")
    return broken


def unanswered(
    sent: Iterable[SentRequest], kills: Sequence[tuple[str, float]]
) -> list[str]:
    """Return the requests without any answer, but for those that a kill cut off.

    `kills` are instances that were killed, and when. A kill cuts off the requests on
    connections that were open then, also those sent before the caller reads its end.
    """
    return [
        f"request {item.request_id} to {item.instance} got no answer within"
        f" {item.ended_at - item.sent_at:.2f} s"
        for item in sent
        if item.reason == NO_ANSWER
        and not any(
            item.instance == instance and item.connected_at <= at <= item.ended_at
            for instance, at in kills
        )
    ]


def second_owners(holdings: Iterable[Holding]) -> list[str]:
    """Return where two endpoints held a key at once, or where a token did not rise."""
    broken: dict[str, None] = {}  # Renewals repeat a message.
    held: list[Holding] = []
    # Latest token of each endpoint and range.
    tokens: dict[tuple[str, int, int], int] = {}
    for item in sorted(holdings, key=lambda holding: holding.since):
        held = [other for other in held if other.until > item.since]
        for other in held:
            if other.endpoint != item.endpoint and _share_keys(other, item):
                holders = f"{other.endpoint} and {item.endpoint}"
                broken[f"{_keys_text(other, item)} held by {holders} at once"] = None
        for (endpoint, first, last), token in tokens.items():
            if endpoint == item.endpoint or first > item.last or last < item.first:
                continue
            if token >= item.token:
                broken[
                    f"keys {item.first}-{item.last}: token {item.token} of"
                    f" {item.endpoint} is not above token {token} of {endpoint}"
                ] = None
        held.append(item)
        tokens[item.endpoint, item.first, item.last] = item.token
    return list(broken)


def _share_keys(one: Holding, other: Holding) -> bool:
    return one.first <= other.last and other.first <= one.last


def _keys_text(one: Holding, other: Holding) -> str:
    return f"keys {max(one.first, other.first)}-{min(one.last, other.last)}"


def unclean_stops(stops: Iterable[PlannedStop]) -> list[str]:
    """Return the planned stops that did not end with status 0 in time."""
    broken = []
    for stop in stops:
        if stop.exit_status is None:
            broken.append(
                f"{stop.instance} still ran {stop.seconds:.1f} s after its planned stop"
            )
        elif stop.exit_status != 0:
            broken.append(
                f"{stop.instance} ended its planned stop with status {stop.exit_status}"
            )
        elif stop.seconds > stop.allowed_seconds:
            broken.append(
                f"the planned stop of {stop.instance} took {stop.seconds:.1f} s, more"
                f" than {stop.allowed_seconds:g} s"
            )
    return broken


def missing_instances(states: Iterable[FinalState]) -> list[str]:
    """Return the instances that do not serve at the end, as all were started again."""
    broken = []
    for state in states:
        if state.exit_status is not None:
            broken.append(
                f"{state.instance} is not there at the end: it ended with status"
                f" {state.exit_status}"
            )
        elif not state.ready:
            broken.append(f"{state.instance} is not ready at the end")
    return broken


def wrong_configuration(
    sent: Iterable[SentRequest], change: ConfigurationChange
) -> list[str]:
    """Return the requests that a service answered which the configuration forbids.

    Both services are right for requests in flight at the change, and for those sent in
    the `APPLY_SECONDS` after it.
    """
    broken = []
    for item in sent:
        if item.group != change.route or item.outcome is not Outcome.ANSWERED:
            continue
        allowed = set()
        if item.sent_at < change.written_at + APPLY_SECONDS:
            allowed.add(change.before)
        if item.ended_at >= change.written_at:
            allowed.add(change.after)
        if item.service not in allowed:
            broken.append(
                f"request {item.request_id} was answered by {item.service}"
                f" {item.sent_at - change.written_at:+.2f} s from the configuration"
                f" change to {change.after}"
            )
    return broken


def unserved_calm_part(sent: Iterable[SentRequest]) -> list[str]:
    """Return why too few requests of the calm part were answered, if so."""
    calm = [item for item in sent if item.part == CALM_PART]
    if not calm:
        return ["no request was sent in the calm part"]
    answered = sum(item.outcome is Outcome.ANSWERED for item in calm)
    if answered >= MIN_ANSWERED_SHARE * len(calm):
        return []
    return [
        f"only {answered} of {len(calm)} requests of the calm part were answered, fewer"
        f" than {MIN_ANSWERED_SHARE * 100:g} in 100; the others: {_reasons(calm)}"
    ]


def _reasons(items: Sequence[SentRequest]) -> str:
    counts = collections.Counter(
        item.reason or item.outcome.value
        for item in items
        if item.outcome is not Outcome.ANSWERED
    )
    named = counts.most_common(MAX_NAMED_REASONS)
    texts = [f"{count} {reason}" for reason, count in named]
    if len(counts) > len(named):
        texts.append(f"{len(counts) - len(named)} more reasons")
    return ", ".join(texts)
