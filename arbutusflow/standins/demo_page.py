"""Writes one HTML page with the figures and plots of a run of the demo.

Invariant: the page holds all that it shows, so that it opens without a network.
"""

import collections
import html
import io
import pathlib
from collections.abc import Iterable, Sequence

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from arbutusflow.standins.demo_play import Recording
from arbutusflow.standins.demo_report import Check, PartSummary, percentile
from arbutusflow.standins.promises import Outcome

BUCKET_SECONDS = 0.5  # Of requests and latencies over time.
PLOT_INCHES = (11.0, 11.0)
MAX_LABEL_CHARACTERS = 40
_STYLE = """
body { font-family: sans-serif; margin: 2em auto; max-width: 70em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #ccc; padding: 0.3em 0.6em; text-align: right; }
td.text, th.text { text-align: left; }
.broken { color: #b00020; font-weight: bold; }
svg { width: 100%; height: auto; }
"""


def write_page(
    path: pathlib.Path,
    recording: Recording,
    rows: Sequence[PartSummary],
    checks: Sequence[Check],
) -> None:
    """Write the page. Raises OSError."""
    broken = [text for check in checks for text in check.broken]
    result = (
        f'<p class="broken">{len(broken)} promises broken</p>'
        if broken
        else "<p>All promises were kept.</p>"
    )
    parts = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8"><title>arbutusflow demo</title>',
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>arbutusflow demo</h1><p>Seed {recording.seed}.</p>",
        result,
        _table(
            ("part", "sent", "served", "p50 ms", "p99 ms", "no owner s", "refused"),
            [
                (
                    row.name,
                    str(row.sent),
                    str(row.answered),
                    f"{row.p50_ms:.1f}",
                    f"{row.p99_ms:.1f}",
                    f"{row.unowned_seconds:.2f}",
                    ", ".join(f"{n} {reason}" for reason, n in row.refused.items()),
                )
                for row in rows
            ],
        ),
        _table(
            ("promise", "checked", "broken"),
            [(c.promise, str(c.cases), str(len(c.broken))) for c in checks],
        ),
        _events(recording),
        *(f'<p class="broken">{html.escape(text)}</p>' for text in broken),
        _plots(recording),
        "</body></html>",
    ]
    path.write_text("\n".join(parts), encoding="utf-8")


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    def line(tag: str, cells: Sequence[str]) -> str:
        parts = []
        for name, cell in zip(head, cells, strict=True):
            is_text = name in ("part", "promise", "refused")
            kind = ' class="text"' if is_text else ""
            parts.append(f"<{tag}{kind}>{html.escape(cell)}</{tag}>")
        return f"<tr>{''.join(parts)}</tr>"

    body = "".join(line("td", cells) for cells in rows)
    return f"<table>{line('th', head)}{body}</table>"


def _events(recording: Recording) -> str:
    lines = (
        f"<li>{at - recording.began_at:.1f} s: {html.escape(text)}</li>"
        for at, text in recording.events
    )
    return f"<p>Events, dotted in the plots:</p><ul>{''.join(lines)}</ul>"


def _plots(recording: Recording) -> str:
    """Return all plots over time as one inline SVG."""
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    requests, latency, owners, instances = figure.subplots(4, 1, sharex=True)
    _plot_requests(requests, recording)
    _plot_latency(latency, recording)
    _plot_owners(owners, recording)
    _plot_instances(instances, recording)
    instances.set_xlabel("seconds since the start of the calm part")
    for axes in (requests, latency, owners, instances):
        _mark_parts(axes, recording)
    for name, (begin, _) in recording.part_times.items():
        requests.text(
            begin - recording.began_at,
            1.02,
            name,
            transform=requests.get_xaxis_transform(),
            fontsize=8,
        )
    output = io.StringIO()
    # Without a date, equal runs give equal pages.
    figure.savefig(output, format="svg", metadata={"Date": None})
    text = output.getvalue()
    return text[text.index("<svg") :]


def _bucket(recording: Recording, at: float) -> float:
    """Return the begin of the bucket of a time, since the start of the run."""
    return (at - recording.began_at) // BUCKET_SECONDS * BUCKET_SECONDS


def _mark_parts(axes: Axes, recording: Recording) -> None:
    for number, (begin, end) in enumerate(recording.part_times.values()):
        if number % 2:
            axes.axvspan(
                begin - recording.began_at, end - recording.began_at, color="#f0f0f0"
            )
    for at, _ in recording.events:
        axes.axvline(at - recording.began_at, color="#888", linestyle=":")
    axes.grid(axis="y", alpha=0.3)


def _all_times(counts: Iterable[collections.Counter[float]]) -> list[float]:
    """Return the buckets of all lines, so that one is 0 where only others have some."""
    return sorted({at for by_time in counts for at in by_time})


def _plot_requests(axes: Axes, recording: Recording) -> None:
    counts: dict[str, collections.Counter[float]] = collections.defaultdict(
        collections.Counter
    )
    for item in recording.sent:
        answered = item.outcome is Outcome.ANSWERED
        name = "served" if answered else item.reason[:MAX_LABEL_CHARACTERS]
        counts[name][_bucket(recording, item.sent_at)] += 1
    times = _all_times(counts.values())
    for name, by_time in sorted(counts.items(), key=lambda pair: pair[0] != "served"):
        axes.plot(times, [by_time[at] / BUCKET_SECONDS for at in times], label=name)
    axes.set_ylabel("requests per second,\nby when they were sent")
    axes.legend(fontsize=7, loc="upper right")


def _plot_latency(axes: Axes, recording: Recording) -> None:
    values: dict[float, list[float]] = collections.defaultdict(list)
    for item in recording.sent:
        if item.outcome is Outcome.ANSWERED:
            seconds = item.ended_at - item.sent_at
            values[_bucket(recording, item.sent_at)].append(seconds * 1000)
    times = sorted(values)
    for share, name in ((0.5, "median"), (0.99, "99th percentile")):
        axes.plot(times, [percentile(values[at], share) for at in times], label=name)
    axes.set_yscale("log")
    axes.set_ylabel("latency of answers, ms")
    axes.legend(fontsize=7, loc="upper right")


def _plot_owners(axes: Axes, recording: Recording) -> None:
    times = [item.at - recording.began_at for item in recording.owner_samples]
    shares = [100 * item.unowned / item.watched for item in recording.owner_samples]
    axes.plot(times, shares)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("keys without an owner, %")


def _plot_instances(axes: Axes, recording: Recording) -> None:
    counts: dict[str, collections.Counter[float]] = collections.defaultdict(
        collections.Counter
    )
    for item in recording.sent:
        if item.instance:
            counts[item.instance][_bucket(recording, item.sent_at)] += 1
    times = _all_times(counts.values())
    for name, by_time in sorted(counts.items()):
        axes.plot(times, [by_time[at] / BUCKET_SECONDS for at in times], label=name)
    axes.set_ylabel("requests per second,\nby instance")
    axes.legend(fontsize=7, loc="upper right")
