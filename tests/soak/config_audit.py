"""Checks that requests are handled by the configuration that must be in force.

CONFIG, late: a request sent later than `APPLY_SECONDS` after the acknowledgement of a
version must not be handled as only an older version allows.
CONFIG, regress: after an endpoint saw the effect of a version through one process of an
instance, a request sent `ROLLBACK_SLACK_SECONDS` later through the same process must
not be handled as only an older version allows.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from tests.soak.configurations import ConfigurationHistory
from tests.soak.records import PlayedCall, RequestRecord

APPLY_SECONDS = 2.0  # `configApplyS` of the settings of the soak.
ROLLBACK_SLACK_SECONDS = 0.25
DISTURBED_FACTOR = 8.0  # Of the slack at an instance that was slowed down.


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request was handled: run by a service, or refused as without a route."""

    path: bytes
    service: str | None  # None for status 404.
    at: float


def outcomes(call: PlayedCall, record: RequestRecord) -> list[Outcome]:
    """Return how a request was handled."""
    runs = zip(record.runs, record.services, strict=True)
    found = [Outcome(call.path, service, start) for (start, _), service in runs]
    if call.status == 404 and not call.signed and call.ended_at is not None:
        found.append(Outcome(call.path, None, call.ended_at))
    return found


def is_late(history: ConfigurationHistory, began_at: float, outcome: Outcome) -> bool:
    """Return whether only versions that are too old allow an outcome.

    The instance is in touch; `began_at` is when the request was sent.
    """
    bound = history.newest_index(began_at - APPLY_SECONDS)
    allowing = history.allowing(outcome.path, outcome.service, outcome.at)
    return bool(allowing) and max(allowing) < bound


@dataclasses.dataclass(frozen=True)
class HandledCall:
    """An outcome at one process of an instance."""

    request_id: bytes
    process: tuple[str, int]  # Name of the instance, and the number of its start.
    began_at: float
    outcome: Outcome
    disturbed: bool  # Whether the instance was slowed down.


def regresses(
    history: ConfigurationHistory, calls: Iterable[HandledCall]
) -> list[tuple[HandledCall, int]]:
    """Return calls handled by older versions than their process had shown.

    The second item is the index of the version that was shown.
    """
    by_process: dict[tuple[str, int], list[HandledCall]] = {}
    for call in calls:
        by_process.setdefault(call.process, []).append(call)
    found = []
    for of_process in by_process.values():
        effects = _effects(history, of_process)
        for call in of_process:
            slack = ROLLBACK_SLACK_SECONDS * (DISTURBED_FACTOR if call.disturbed else 1)
            shown = max(
                (index for at, index in effects if at < call.began_at - slack),
                default=0,
            )
            out = call.outcome
            allowing = history.allowing(out.path, out.service, out.at)
            if allowing and max(allowing) < shown:
                found.append((call, shown))
    return found


def _effects(
    history: ConfigurationHistory, calls: Sequence[HandledCall]
) -> list[tuple[float, int]]:
    """Return when endpoints saw the effect of which version."""
    effects = []
    for call in calls:
        out = call.outcome
        if out.service is None:
            continue
        allowing = history.allowing(out.path, out.service, out.at)
        if allowing and allowing[0] > 0:
            effects.append((out.at, allowing[0]))
    return effects
