"""Command that explains how a request ended."""

import datetime
import pathlib
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True)


@app.callback()
def explain() -> None:
    """Explain how a request ended."""


@app.command()
def trail(
    request_id: Annotated[
        str, typer.Argument(help="Identifier that the caller gave it.")
    ],
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Log files of gateway instances."),
    ],
) -> None:
    """Print the events of a request in the logs of several instances, in order."""
    from arbutusflow.errors import RefusedError
    from arbutusflow.gateway.trail import find_request_events, parse

    lines: list[str] = []
    for path in files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            raise RefusedError(f"cannot read {path}: {exc.strerror}") from exc
        lines.extend(text.splitlines())
    events = find_request_events(parse(lines), request_id)
    if not events:
        raise RefusedError(f"no line of these logs mentions request {request_id}")
    for item in events:
        fields = " ".join(f"{name}={value}" for name, value in item.fields.items())
        typer.echo(
            f"{_format_time(item.time)}  {item.instance}  {item.event}  {fields}"
        )


def _format_time(seconds: float) -> str:
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(timespec="milliseconds")
