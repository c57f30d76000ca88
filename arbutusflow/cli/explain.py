"""Commands that explain the state of a key or the history of a request."""

import datetime
import pathlib
from typing import Annotated

import typer

from arbutusflow.cli.options import AdminOption, JsonOption, print_json

app = typer.Typer(
    no_args_is_help=True, help="Explain where a key is owned or how a request ended."
)


@app.command()
def key(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    key: Annotated[str, typer.Argument(help="The key.")],
    admin: AdminOption,
    as_json: JsonOption = False,
) -> None:
    """Print the owner of a key and the decisions about it."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.adapters.admin_messages import KeyExplanation

    client = AdminClient.from_text(admin)
    explanation = client.get("/explain/key", KeyExplanation, service=service, key=key)
    if as_json:
        print_json(explanation)
        return
    typer.echo(
        f"key {explanation.key} of {explanation.service} is in unit {explanation.unit}"
    )
    typer.echo(
        f"owner: {explanation.owner or 'none'} (sequence {explanation.sequence})"
    )
    typer.echo(
        f"coordinator: {explanation.coordinator or 'none'} (term {explanation.term})"
    )
    typer.echo("decisions of this instance, oldest first:")
    for item in explanation.decisions:
        typer.echo(
            f"  {_format_time(item.time)}  {item.subject}: {item.what} ({item.why})"
        )
    if not explanation.decisions:
        typer.echo("  none at this instance; ask the coordinator")


@app.command()
def request(
    request_id: Annotated[str, typer.Argument(help="Value of `Arbutus-Request-Id`.")],
    admin: AdminOption,
    as_json: JsonOption = False,
) -> None:
    """Print how a recent request ended at one instance."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.runtime.request_log import RequestOutcome

    client = AdminClient.from_text(admin)
    outcomes = client.get("/explain/request", tuple[RequestOutcome, ...], id=request_id)
    if as_json:
        print_json(outcomes)
        return
    for item in outcomes:
        ended = f"{item.outcome}, status {item.status}" if item.status else item.outcome
        if item.reason:
            ended += f", reason {item.reason} ({item.detail})"
        typer.echo(
            f"{_format_time(item.received)}  {item.instance} as {item.role}: {ended}"
        )
        typer.echo(
            f"  {item.service}/{item.kind} ({item.rank}), key {item.key}, unit "
            f"{item.unit}, endpoint {item.endpoint or 'none'}, coordinator "
            f"{item.coordinator or 'none'}"
        )
        typer.echo(
            f"  {item.duration_ms:.1f} ms, {item.request_bytes} bytes in, "
            f"{item.answer_bytes} bytes out, retries: "
            f"{', '.join(item.retries) or 'none'}"
        )


@app.command()
def trail(
    request_id: Annotated[str, typer.Argument(help="Value of `Arbutus-Request-Id`.")],
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
