"""One self-contained HTML page with the rows and their plots."""

import base64
import html
import io
from collections.abc import Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from arbutusflow.measure.fits import Fit  # noqa: E402
from arbutusflow.measure.results import Row, figure, met_text  # noqa: E402

STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid #ccc; padding: .25em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
tr.missed td { background: #fde8e6; }
img { max-width: 100%; }
"""
COLUMNS = 3


def render_html(title: str, rows: Sequence[Row], fits: Sequence[Fit]) -> str:
    """Return the page; plots are PNG data URIs, so it needs no other file."""
    plots = [_image(_targets(rows), "values over their targets")]
    if fits:
        plots.append(_image(_lines(fits), "fitted lines"))
    body = "\n".join(_line(row) for row in rows)
    name = html.escape(title)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{name}</title><style>{STYLE}</style></head><body>\n"
        f"<h1>{name}</h1>\n{''.join(plots)}\n<table>\n<tr><th>measure<th>value<th>unit"
        f"<th>target<th>met<th>baseline<th>seed</tr>\n{body}\n</table>\n</body></html>\n"
    )


def _line(row: Row) -> str:
    cells = (
        row.measure,
        figure(row.value),
        row.unit,
        figure(row.target),
        met_text(row.met),
        figure(row.baseline),
        str(row.seed),
    )
    missed = ' class="missed"' if row.met is False else ""
    return f"<tr{missed}>" + "".join(f"<td>{html.escape(c)}" for c in cells) + "</tr>"


def _targets(rows: Sequence[Row]) -> Figure:
    """Draw values with their targets, one panel for each unit.

    Rows of several seeds are drawn as several points on one line.
    """
    stated = [row for row in rows if row.target is not None]
    units = list(dict.fromkeys(row.unit for row in stated)) or ["-"]
    names = {
        u: list(dict.fromkeys(r.measure for r in stated if r.unit == u)) for u in units
    }
    heights = [max(1, len(names[unit])) for unit in units]
    drawn = Figure(figsize=(10, 0.4 * sum(heights) + 0.9 * len(units)))
    panels = drawn.subplots(len(units), squeeze=False, height_ratios=heights)
    for panel, unit in zip(panels[:, 0], units, strict=True):
        _panel(panel, unit, [row for row in stated if row.unit == unit], names[unit])
    drawn.tight_layout()
    return drawn


def _panel(panel: Axes, unit: str, rows: Sequence[Row], names: Sequence[str]) -> None:
    for row in rows:
        assert row.target is not None
        place = names.index(row.measure)
        colour = "tab:blue" if row.met else "tab:red"
        panel.plot(row.value, place, "o", color=colour)
        panel.plot(row.target, place, "|", color="black", markersize=14)
    panel.set_yticks(range(len(names)), labels=names)
    panel.set_ylim(len(names) - 0.5, -0.5)
    panel.set_xlabel(f"{unit} (bar: target, red: missed)")


def _lines(fits: Sequence[Fit]) -> Figure:
    """Draw the measured points and the line of each fit."""
    height = -(-len(fits) // COLUMNS)
    drawn = Figure(figsize=(11, 2.6 * height))
    panels = drawn.subplots(height, COLUMNS, squeeze=False).flat
    for fit, panel in zip(fits, panels, strict=False):
        panel.plot(fit.sizes, fit.values, "o")
        panel.plot(fit.sizes, [fit.at(size) for size in fit.sizes])
        panel.set_title(fit.name, fontsize=9)
        panel.set_xlabel(f"{fit.per}s", fontsize=8)
        panel.set_ylabel(fit.unit, fontsize=8)
        panel.tick_params(labelsize=7)
    for panel in list(panels):
        panel.set_visible(False)
    drawn.tight_layout()
    return drawn


def _image(drawn: Figure, text: str) -> str:
    file = io.BytesIO()
    drawn.savefig(file, format="png", dpi=100)
    data = base64.b64encode(file.getvalue()).decode()
    return f'<p><img alt="{html.escape(text)}" src="data:image/png;base64,{data}"></p>'
