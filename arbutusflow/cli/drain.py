"""Commands that take an endpoint or an entry instance out of service."""

from typing import Annotated

import typer

from arbutusflow.cli.options import (
    AdminOption,
    JsonOption,
    PatchIdOption,
    print_json,
)

app = typer.Typer(no_args_is_help=True, help="Planned stops without a lost request.")


@app.command()
def endpoint(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    name: Annotated[str, typer.Argument(help="Name of the endpoint.")],
    admin: AdminOption,
    undo: Annotated[bool, typer.Option("--undo", help="Activate it again.")] = False,
    patch_id: PatchIdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Move the keys of an endpoint away and give it no new ones."""
    from arbutusflow.cli.changes import send_operations
    from arbutusflow.domain.configuration import EndpointState, SetEndpointState

    state = EndpointState.ACTIVE if undo else EndpointState.DRAINING
    operation = SetEndpointState(service, name, state)
    send_operations(admin, patch_id, as_json, operation)


@app.command()
def entry(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Stop the entry instance at the admin address gracefully."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.adapters.admin_messages import StopAccepted

    answer = AdminClient.from_text(admin).change("/drain", {}, StopAccepted)
    if as_json:
        print_json(answer)
    else:
        typer.echo(f"{answer.instance} hands its work over and stops")
