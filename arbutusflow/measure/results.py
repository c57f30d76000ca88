"""Rows that measurements produce, and their output as text and JSON.

Invariant: a row's target comes from the stated requirements, never from a
measured figure; a row without a stated target has none.
"""

import collections
import pathlib
import statistics
import subprocess
from collections.abc import Iterable, Sequence

import msgspec

from arbutusflow.domain.errors import ArbutusflowError

DIGITS = 9  # Sums of clock steps differ in the digits beyond.
TOLERANCE = 10.0**-DIGITS


class MeasureError(ArbutusflowError):
    """A measurement cannot be made or read."""


class Row(msgspec.Struct, frozen=True):
    """One figure of a run.

    `baseline` is the figure of the plain alternative in the same run. `met` is
    null where no target is stated.
    """

    measure: str
    value: float
    unit: str
    target: float | None
    met: bool | None
    baseline: float | None
    seed: int


class StoredRow(Row, frozen=True):
    """A row of the baseline file, with the commit that it was measured on."""

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
    return Row(measure, round(value, DIGITS), unit, target, met, baseline, seed)


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
    return Row(measure, round(value, DIGITS), unit, target, met, baseline, seed)


def figure(value: float | None) -> str:
    """Return a number with four significant digits, or a dash for none."""
    if value is None:
        return "-"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.4g}"


def met_text(met: bool | None) -> str:
    """Return whether a target was met, or a dash where none is stated."""
    return {None: "-", True: "yes", False: "NO"}[met]


def text_table(headings: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """Return lines with aligned columns; all but the first are right-aligned."""
    cells = [list(headings), *(list(line) for line in lines)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(headings))]
    return "\n".join(
        "  ".join(
            text.ljust(width) if index == 0 else text.rjust(width)
            for index, (text, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in cells
    )


def table_of(rows: Iterable[Row]) -> str:
    """Return the rows as text."""
    headings = ("measure", "value", "unit", "target", "met", "baseline", "seed")
    return text_table(
        headings,
        (
            (
                row.measure,
                figure(row.value),
                row.unit,
                figure(row.target),
                met_text(row.met),
                figure(row.baseline),
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
        raise MeasureError(
            f"{path} holds no result of `measure --json`: {exc}"
        ) from exc


def append_rows(rows: Iterable[Row], path: pathlib.Path) -> None:
    """Append one JSON line per row, with the hash of the commit checked out."""
    commit = checked_out_commit()
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        for row in rows:
            stored = StoredRow(**msgspec.structs.asdict(row), commit=commit)
            file.write(msgspec.json.encode(stored) + b"\n")


def compare_table(before: Sequence[Row], after: Sequence[Row]) -> str:
    """Return both results side by side: mean, and spread from least to greatest."""
    first, second = _by_measure(before), _by_measure(after)
    lines = []
    for measure in {**first, **second}:
        left, right = first.get(measure, []), second.get(measure, [])
        lines.append(
            (
                measure,
                (left or right)[0].unit,
                _spread(left),
                _spread(right),
                _change(left, right),
            )
        )
    return text_table(("measure", "unit", "A", "B", "change"), lines)


def _by_measure(rows: Iterable[Row]) -> dict[str, list[Row]]:
    found: dict[str, list[Row]] = collections.defaultdict(list)
    for row in rows:
        found[row.measure].append(row)
    return dict(found)


def _mean(rows: Sequence[Row]) -> float:
    return statistics.fmean(row.value for row in rows)


def _spread(rows: Sequence[Row]) -> str:
    if not rows:
        return "-"
    values = [row.value for row in rows]
    if len(values) == 1:
        return figure(values[0])
    return f"{figure(_mean(rows))} ({figure(min(values))} to {figure(max(values))})"


def _change(before: Sequence[Row], after: Sequence[Row]) -> str:
    if not before or not after:
        return "-"
    if _mean(before) == 0:
        return "0 %" if _mean(after) == 0 else "from 0"
    return f"{100 * (_mean(after) / _mean(before) - 1):+.1f} %"


def checked_out_commit() -> str:
    """Return the hash of the commit, marked if the tree differs from it."""
    try:
        head = _git("rev-parse", "HEAD")
        changed = _git("status", "--porcelain", "--", "arbutusflow")
    except (OSError, subprocess.CalledProcessError) as exc:
        raise MeasureError(
            f"the commit cannot be read; run in a git checkout: {exc}"
        ) from exc
    return f"{head}+changes" if changed else head


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ("git", *arguments), check=True, capture_output=True, text=True
    )
    return done.stdout.strip()
