"""Promises of the product that the demo checks, on what callers and endpoints saw.

Every check returns one message for each broken promise. All checks are pure functions
of records, so that a test can plant each broken promise.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence

CALM_PART = "calm"
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
