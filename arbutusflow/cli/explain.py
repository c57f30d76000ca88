"""Commands that explain what happened to a key or a request."""

import datetime
import pathlib
from typing import Annotated

import typer

from arbutusflow.cli.options import AdminOption, JsonOption, print_json

app = typer.Typer(no_args_is_help=True, help="Why a key or a request went its way.")


@app.command()
def key(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    key: Annotated[str, typer.Argument(help="The key.")],
    admin: AdminOption,
    as_json: JsonOption = False,
) -> None:
    """Print who owns a key and the decisions about it."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.adapters.admin_messages import KeyExplanation

    client = AdminClient.from_text(admin)
    found = client.get("/explain/key", KeyExplanation, service=service, key=key)
    if as_json:
        print_json(found)
        return
    typer.echo(f"key {found.key} of {found.service} is in unit {found.unit}")
    typer.echo(f"owner: {found.owner or 'none'} (sequence {found.sequence})")
    typer.echo(f"coordinator: {found.coordinator or 'none'} (term {found.term})")
    typer.echo("decisions of this instance, the oldest first:")
    for item in found.decisions:
        typer.echo(f"  {_time(item.time)}  {item.subject}: {item.what} ({item.why})")
    if not found.decisions:
        typer.echo("  none; ask the coordinator's instance")


@app.command()
def request(
    request_id: Annotated[str, typer.Argument(help="The `Arbutus-Request-Id`.")],
    admin: AdminOption,
    as_json: JsonOption = False,
) -> None:
    """Print how a recent request ended at one instance."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.runtime.request_log import RequestOutcome

    client = AdminClient.from_text(admin)
    found = client.get("/explain/request", tuple[RequestOutcome, ...], id=request_id)
    if as_json:
        print_json(found)
        return
    for item in found:
        ended = f"{item.outcome}, status {item.status}" if item.status else item.outcome
        if item.reason:
            ended += f", reason {item.reason} ({item.detail})"
        typer.echo(f"{_time(item.received)}  {item.instance} as {item.role}: {ended}")
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
    request_id: Annotated[str, typer.Argument(help="Identifier of the request.")],
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of instances on the platform.")
    ],
) -> None:
    """Print what the logs of several instances say about a request, in order."""
    from arbutusflow.domain.errors import RefusedError
    from arbutusflow.gateway.trail import find_request_events, parse

    lines: list[str] = []
    for path in files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            raise RefusedError(f"{path} cannot be read: {exc.strerror}") from exc
        lines.extend(text.splitlines())
    found = find_request_events(parse(lines), request_id)
    if not found:
        raise RefusedError(f"no line of these logs names the request {request_id}")
    for item in found:
        fields = " ".join(f"{name}={value}" for name, value in item.fields.items())
        typer.echo(f"{_time(item.time)}  {item.instance}  {item.event}  {fields}")


def _time(seconds: float) -> str:
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(timespec="milliseconds")
