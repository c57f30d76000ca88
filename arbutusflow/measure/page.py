"""Self-contained HTML page with a table and plots of measured results."""

import base64
import html
import io
from collections.abc import Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from arbutusflow.measure.fits import Fit  # noqa: E402
from arbutusflow.measure.results import Row, format_met, format_number  # noqa: E402

STYLESHEET = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid #ccc; padding: .25em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
tr.missed td { background: #fde8e6; }
img { max-width: 100%; }
"""
PLOT_COLUMNS = 3


def render_html(title: str, rows: Sequence[Row], fits: Sequence[Fit]) -> str:
    """Return the page, which embeds its plots as PNG data URIs."""
    plots = [_image_tag(_plot_targets(rows), "values over their targets")]
    if fits:
        plots.append(_image_tag(_plot_fits(fits), "fitted lines"))
    body = "\n".join(_table_row(row) for row in rows)
    escaped_title = html.escape(title)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{escaped_title}</title><style>{STYLESHEET}</style></head><body>\n"
        f"<h1>{escaped_title}</h1>\n{''.join(plots)}\n<table>\n<tr><th>measure<th>value<th>unit"
        f"<th>target<th>met<th>baseline<th>seed</tr>\n{body}\n</table>\n</body></html>\n"
    )


def _table_row(row: Row) -> str:
    cells = (
        row.measure,
        format_number(row.value),
        row.unit,
        format_number(row.target),
        format_met(row.met),
        format_number(row.baseline),
        str(row.seed),
    )
    missed = ' class="missed"' if row.met is False else ""
    return f"<tr{missed}>" + "".join(f"<td>{html.escape(c)}" for c in cells) + "</tr>"


def _plot_targets(rows: Sequence[Row]) -> Figure:
    """Plot values with their targets, one panel for each unit.

    Values of the same measure for several seeds share a line.
    """
    rows_with_target = [row for row in rows if row.target is not None]
    units = list(dict.fromkeys(row.unit for row in rows_with_target)) or ["-"]
    names = {
        u: list(dict.fromkeys(r.measure for r in rows_with_target if r.unit == u))
        for u in units
    }
    panel_heights = [max(1, len(names[unit])) for unit in units]
    figure = Figure(figsize=(10, 0.4 * sum(panel_heights) + 0.9 * len(units)))
    panels = figure.subplots(len(units), squeeze=False, height_ratios=panel_heights)
    for panel, unit in zip(panels[:, 0], units, strict=True):
        _draw_panel(
            panel,
            unit,
            [row for row in rows_with_target if row.unit == unit],
            names[unit],
        )
    figure.tight_layout()
    return figure


def _draw_panel(
    panel: Axes, unit: str, rows: Sequence[Row], names: Sequence[str]
) -> None:
    for row in rows:
        assert row.target is not None
        position = names.index(row.measure)
        colour = "tab:blue" if row.met else "tab:red"
        panel.plot(row.value, position, "o", color=colour)
        panel.plot(row.target, position, "|", color="black", markersize=14)
    panel.set_yticks(range(len(names)), labels=names)
    panel.set_ylim(len(names) - 0.5, -0.5)
    panel.set_xlabel(f"{unit} (bar: target, red: missed)")


def _plot_fits(fits: Sequence[Fit]) -> Figure:
    """Plot the measured values and the fitted line of each fit."""
    panel_rows = -(-len(fits) // PLOT_COLUMNS)
    figure = Figure(figsize=(11, 2.6 * panel_rows))
    panels = figure.subplots(panel_rows, PLOT_COLUMNS, squeeze=False).flat
    for fit, panel in zip(fits, panels, strict=False):
        panel.plot(fit.sizes, fit.values, "o")
        panel.plot(fit.sizes, [fit.at(size) for size in fit.sizes])
        panel.set_title(fit.name, fontsize=9)
        panel.set_xlabel(f"{fit.per}s", fontsize=8)
        panel.set_ylabel(fit.unit, fontsize=8)
        panel.tick_params(labelsize=7)
    for panel in list(panels):
        panel.set_visible(False)
    figure.tight_layout()
    return figure


def _image_tag(figure: Figure, alt: str) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=100)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<p><img alt="{html.escape(alt)}" src="data:image/png;base64,{data}"></p>'
