"""Commands that run measurements, which are imported only when a command runs."""

import pathlib
import platform
from collections.abc import Sequence
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from arbutusflow.measure.groups import Result
    from arbutusflow.measure.results import Row

app = typer.Typer(
    no_args_is_help=True, help="Measurements; they require a source checkout."
)

Seed = Annotated[int, typer.Option(help="First seed.")]
Seeds = Annotated[int, typer.Option(min=1, help="Number of seeds to run.")]
Json = Annotated[bool, typer.Option("--json", help="Print the rows as JSON.")]
Html = Annotated[
    pathlib.Path | None, typer.Option("--html", help="Write an HTML page with plots.")
]
Append = Annotated[
    pathlib.Path | None,
    typer.Option("--append", help="Append the rows and the commit to a file."),
]
Page = Annotated[
    pathlib.Path | None, typer.Option("--page", help="Write the capacity page.")
]
PortOffset = Annotated[
    int, typer.Option(help="Offset added to the ports of the local processes.")
]
Processes = Annotated[
    bool,
    typer.Option(
        "--processes",
        help="Also measure when a change is in force on all local processes.",
    ),
]
GROUP_NAMES = ("ownership", "requests", "config", "capacity")


@app.command()
def ownership(
    seed: Seed = 1,
    seeds: Seeds = 1,
    json: Json = False,
    html: Html = None,
    append: Append = None,
) -> None:
    """Measure unavailability, churn, imbalance and platform calls."""
    _measure(("ownership",), seed, seeds, json, html, append)


@app.command()
def requests(
    seed: Seed = 1,
    seeds: Seeds = 1,
    json: Json = False,
    html: Html = None,
    append: Append = None,
) -> None:
    """Measure service per rank under overload, and outcomes under faults."""
    _measure(("requests",), seed, seeds, json, html, append)


@app.command()
def config(
    seed: Seed = 1,
    seeds: Seeds = 1,
    json: Json = False,
    html: Html = None,
    append: Append = None,
    processes: Processes = False,
    port_offset: PortOffset = 6_000,
) -> None:
    """Measure concurrent patches and the cost of a patch."""
    extra_rows: list[Row] = []
    if processes:
        from arbutusflow.measure.in_force import measure_in_force, rows_of

        extra_rows = rows_of(measure_in_force(port_offset), seed)
    _measure(("config",), seed, seeds, json, html, append, extra_rows)


@app.command()
def capacity(
    seed: Seed = 1,
    seeds: Seeds = 1,
    json: Json = False,
    html: Html = None,
    append: Append = None,
    page: Page = None,
    port_offset: PortOffset = 6_000,
) -> None:
    """Measure how CPU time, memory and bytes scale; --page writes the capacity page."""
    result = _measure(("capacity",), seed, seeds, json, html, append)
    if page is not None:
        _write_page(page, result, seed, port_offset)


@app.command("all")
def all_groups(
    seed: Seed = 1,
    seeds: Seeds = 1,
    json: Json = False,
    html: Html = None,
    append: Append = None,
) -> None:
    """Run all measurements."""
    _measure(GROUP_NAMES, seed, seeds, json, html, append)


@app.command()
def compare(
    before: Annotated[pathlib.Path, typer.Argument(help="Result A, from --json.")],
    after: Annotated[pathlib.Path, typer.Argument(help="Result B, from --json.")],
) -> None:
    """Compare two results, with the spread over their seeds."""
    from arbutusflow.measure.results import compare_table, from_json

    typer.echo(compare_table(from_json(before), from_json(after)))


def _measure(
    groups: Sequence[str],
    seed: int,
    seeds: int,
    json: bool,
    html: pathlib.Path | None,
    append: pathlib.Path | None,
    extra_rows: "Sequence[Row]" = (),
) -> "Result":
    from arbutusflow.measure import groups as measure_groups
    from arbutusflow.measure.results import append_rows, render_table, to_json

    result = measure_groups.run(groups, range(seed, seed + seeds))
    result.rows.extend(extra_rows)
    if json:
        typer.echo(to_json(result.rows), nl=False)
    else:
        typer.echo(render_table(result.rows))
    if html is not None:
        from arbutusflow.measure.page import render_html

        title = f"arbutusflow measure: {', '.join(groups)}"
        html.write_text(render_html(title, result.rows, result.fits))
    if append is not None:
        append_rows(result.rows, append)
    return result


def _write_page(
    path: pathlib.Path, result: "Result", seed: int, port_offset: int
) -> None:
    from arbutusflow.measure import capacity_page, groups as measure_groups
    from arbutusflow.measure.capacity import resident_megabytes
    from arbutusflow.measure.hot_path import measure_hot_path
    from arbutusflow.measure.in_force import measure_in_force
    from arbutusflow.measure.results import checked_out_commit

    rows = measure_groups.run(("ownership",), (seed,)).rows
    costs = {cost.path: cost for cost in measure_hot_path(port_offset=port_offset)}
    full, half = (
        costs[f"both hops, repeatable, {name} load"] for name in ("full", "half")
    )
    request_cost = capacity_page.RequestCost(
        full.entry_cpu_us,
        full.coordinator_cpu_us,
        half.p99_ms,
        f"{half.requests_per_second:,.0f} requests/s through one entry instance",
    )
    load = capacity_page.LoadModel(
        result.fits, capacity_page.DesignSize(), resident_megabytes()
    )
    origin = (
        f"Seed {seed}, commit {checked_out_commit()}, Python "
        f"{platform.python_version()} on {platform.machine()}."
    )
    in_force = max(measure_in_force(port_offset))
    path.write_text(capacity_page.render(load, rows, request_cost, in_force, origin))
