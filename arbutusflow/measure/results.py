"""Result rows of measurements, and their output as text and JSON.

Invariant: a row's target comes from the stated requirements, never from a
measured value; without a stated requirement the target is null.
"""

import collections
import pathlib
import statistics
import subprocess
from collections.abc import Iterable, Sequence

import msgspec

from arbutusflow.errors import ArbutusflowError

DECIMAL_PLACES = 9  # Hides rounding errors of sums of clock steps.
TOLERANCE = 10.0**-DECIMAL_PLACES


class MeasureError(ArbutusflowError):
    """A measurement failed, or its result cannot be read."""


class Row(msgspec.Struct, frozen=True):
    """One measured value.

    `baseline` is the value of a simpler alternative in the same run. `met` is null
    if there is no target.
    """

    measure: str
    value: float
    unit: str
    target: float | None
    met: bool | None
    baseline: float | None
    seed: int


class StoredRow(Row, frozen=True):
    """A row of the baseline file, with the commit that was measured."""

    commit: str


def at_most(
    measure: str,
    value: float,
    unit: str,
    seed: int,
    target: float | None = None,
    baseline: float | None = None,
) -> Row:
    """Return a row whose target, if any, is an upper bound."""
    met = None if target is None else value <= target + TOLERANCE
    return Row(measure, round(value, DECIMAL_PLACES), unit, target, met, baseline, seed)


def at_least(
    measure: str,
    value: float,
    unit: str,
    seed: int,
    target: float | None = None,
    baseline: float | None = None,
) -> Row:
    """Return a row whose target, if any, is a lower bound."""
    met = None if target is None else value >= target - TOLERANCE
    return Row(measure, round(value, DECIMAL_PLACES), unit, target, met, baseline, seed)


def format_number(value: float | None) -> str:
    """Format a number with four significant digits, None as a dash."""
    if value is None:
        return "-"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.4g}"


def format_met(met: bool | None) -> str:
    """Format whether a target was met; a dash means that there is no target."""
    return {None: "-", True: "yes", False: "NO"}[met]


def text_table(headings: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """Return a text table with the first column left-aligned, the others right."""
    cells = [list(headings), *(list(line) for line in lines)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(headings))]
    return "\n".join(
        "  ".join(
            text.ljust(width) if index == 0 else text.rjust(width)
            for index, (text, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in cells
    )


def render_table(rows: Iterable[Row]) -> str:
    """Return the rows as a text table."""
    headings = ("measure", "value", "unit", "target", "met", "baseline", "seed")
    return text_table(
        headings,
        (
            (
                row.measure,
                format_number(row.value),
                row.unit,
                format_number(row.target),
                format_met(row.met),
                format_number(row.baseline),
                str(row.seed),
            )
            for row in rows
        ),
    )


def to_json(rows: Sequence[Row]) -> bytes:
    """Return the rows as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(rows), indent=1) + b"\n"


def from_json(path: pathlib.Path) -> list[Row]:
    """Read the rows that `to_json` wrote to `path`."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=list[Row])
    except (OSError, msgspec.MsgspecError) as exc:
        raise MeasureError(f"{path} is not output of `measure --json`: {exc}") from exc


def append_rows(rows: Iterable[Row], path: pathlib.Path) -> None:
    """Append each row as a line of JSON, with the hash of the checked-out commit."""
    commit = checked_out_commit()
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        for row in rows:
            stored = StoredRow(**msgspec.structs.asdict(row), commit=commit)
            file.write(msgspec.json.encode(stored) + b"\n")


def compare_table(before: Sequence[Row], after: Sequence[Row]) -> str:
    """Return a table of both results with the mean and range of each measure."""
    rows_before, rows_after = _by_measure(before), _by_measure(after)
    lines = []
    for measure in {**rows_before, **rows_after}:
        old_rows, new_rows = rows_before.get(measure, []), rows_after.get(measure, [])
        lines.append(
            (
                measure,
                (old_rows or new_rows)[0].unit,
                _mean_and_range(old_rows),
                _mean_and_range(new_rows),
                _relative_change(old_rows, new_rows),
            )
        )
    return text_table(("measure", "unit", "A", "B", "change"), lines)


def _by_measure(rows: Iterable[Row]) -> dict[str, list[Row]]:
    grouped: dict[str, list[Row]] = collections.defaultdict(list)
    for row in rows:
        grouped[row.measure].append(row)
    return dict(grouped)


def _mean(rows: Sequence[Row]) -> float:
    return statistics.fmean(row.value for row in rows)


def _mean_and_range(rows: Sequence[Row]) -> str:
    if not rows:
        return "-"
    values = [row.value for row in rows]
    if len(values) == 1:
        return format_number(values[0])
    return (
        f"{format_number(_mean(rows))} "
        f"({format_number(min(values))} to {format_number(max(values))})"
    )


def _relative_change(before: Sequence[Row], after: Sequence[Row]) -> str:
    if not before or not after:
        return "-"
    if _mean(before) == 0:
        return "0 %" if _mean(after) == 0 else "from 0"
    return f"{100 * (_mean(after) / _mean(before) - 1):+.1f} %"


def checked_out_commit() -> str:
    """Return the hash of the checked-out commit, marked if the code was modified."""
    try:
        head = _git("rev-parse", "HEAD")
        modified = _git("status", "--porcelain", "--", "arbutusflow")
    except (OSError, subprocess.CalledProcessError) as exc:
        raise MeasureError(
            f"cannot determine the commit; run in a git checkout: {exc}"
        ) from exc
    return f"{head}+changes" if modified else head


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ("git", *arguments), check=True, capture_output=True, text=True
    )
    return completed.stdout.strip()
