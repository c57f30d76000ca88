"""Judges a recording of the demo and describes it in one table."""

import collections
import dataclasses
from collections.abc import Sequence

from arbutusflow.standins.demo_play import PARTS, Recording
from arbutusflow.standins.promises import (
    Outcome,
    SentRequest,
    broken_request_promises,
    missing_instances,
    second_owners,
    unanswered,
    unclean_stops,
    unserved_calm_part,
    wrong_configuration,
)

MAX_NAMED = 10  # Broken promises that are printed.


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A promise, on how many cases it was checked, and how it was broken."""

    promise: str
    cases: int
    broken: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PartSummary:
    """Figures of one part; latencies are those of answers, in milliseconds."""

    name: str
    sent: int
    answered: int
    refused: dict[str, int]  # By reason, most frequent first.
    p50_ms: float
    p99_ms: float
    unowned_seconds: float  # Longest time without an owner of any watched key.


def summarise(recording: Recording) -> list[PartSummary]:
    """Return the figures of each part, and of all together."""
    unowned = recording.unowned_seconds
    rows = []
    for part in PARTS:
        items = [item for item in recording.sent if item.part == part.name]
        rows.append(_summary(part.name, items, unowned.get(part.name, 0.0)))
    longest = max(unowned.values(), default=0.0)
    rows.append(_summary("all", recording.sent, longest))
    return rows


def _summary(
    name: str, items: Sequence[SentRequest], unowned_seconds: float
) -> PartSummary:
    answered = [item for item in items if item.outcome is Outcome.ANSWERED]
    refused = collections.Counter(
        item.reason for item in items if item.outcome is not Outcome.ANSWERED
    )
    seconds = [item.ended_at - item.sent_at for item in answered]
    return PartSummary(
        name,
        len(items),
        len(answered),
        dict(refused.most_common()),
        percentile(seconds, 0.5) * 1000,
        percentile(seconds, 0.99) * 1000,
        unowned_seconds,
    )


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of the values do not exceed; 0.0 without any."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = -int(-share * len(ordered) // 1)  # Rounded up.
    return ordered[max(0, rank - 1)]


def check_promises(recording: Recording) -> list[Check]:
    """Check every promise."""
    sent = recording.sent
    checks = [
        Check(
            "callers are told the truth, and nothing runs twice",
            len(sent),
            broken_request_promises(sent, recording.runs),
        ),
        Check(
            "every request gets an answer, unless its instance is killed",
            len(sent),
            unanswered(sent, recording.kills),
        ),
        Check(
            "a key has one owner at a time, and tokens rise",
            len(recording.holdings),
            second_owners(recording.holdings),
        ),
        Check(
            "a planned stop ends in time, with status 0",
            len(recording.stops),
            unclean_stops(recording.stops),
        ),
        Check(
            "killed and stopped instances serve again at the end",
            len(recording.final_states),
            missing_instances(recording.final_states),
        ),
        Check(
            "99 of 100 requests of the calm part are answered",
            sum(item.part == PARTS[0].name for item in sent),
            unserved_calm_part(sent),
        ),
    ]
    change = recording.change
    if change is not None:
        checks.append(
            Check(
                "a new configuration is in force everywhere within 2 s",
                sum(item.group == change.route for item in sent),
                wrong_configuration(sent, change),
            )
        )
    return checks


def table_lines(rows: Sequence[PartSummary]) -> list[str]:
    """Return the table, one line for each part."""
    lines = [
        f"{'part':<21}{'sent':>7}{'served':>8}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'no owner s':>12}  refused"
    ]
    for row in rows:
        refused = ", ".join(f"{n} {reason}" for reason, n in row.refused.items())
        lines.append(
            f"{row.name:<21}{row.sent:>7}{row.answered:>8}{row.p50_ms:>8.1f}"
            f"{row.p99_ms:>8.1f}{row.unowned_seconds:>12.2f}  {refused or '-'}"
        )
    return lines


def check_lines(checks: Sequence[Check]) -> list[str]:
    """Return one line for each promise, and the first broken ones."""
    lines = [f"{'promise':<62}{'checked':>8}{'broken':>8}"]
    for check in checks:
        lines.append(f"{check.promise:<62}{check.cases:>8}{len(check.broken):>8}")
    broken = [text for check in checks for text in check.broken]
    lines += [f"BROKEN: {text}" for text in broken[:MAX_NAMED]]
    if len(broken) > MAX_NAMED:
        lines.append(f"BROKEN: {len(broken) - MAX_NAMED} more")
    return lines
