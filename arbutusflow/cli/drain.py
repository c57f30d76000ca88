"""Commands that take an endpoint or an entry instance out of service."""

from typing import Annotated

import typer

from arbutusflow.cli.options import (
    AdminOption,
    JsonOption,
    PatchIdOption,
    print_json,
)

app = typer.Typer(no_args_is_help=True, help="Planned shutdowns that lose no request.")


@app.command()
def endpoint(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    name: Annotated[str, typer.Argument(help="Name of the endpoint.")],
    admin: AdminOption,
    undo: Annotated[
        bool, typer.Option("--undo", help="Reactivate the endpoint.")
    ] = False,
    patch_id: PatchIdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Move all keys away from an endpoint and assign it no new ones."""
    from arbutusflow.cli.changes import send_operations
    from arbutusflow.domain.configuration import EndpointState, SetEndpointState

    state = EndpointState.ACTIVE if undo else EndpointState.DRAINING
    operation = SetEndpointState(service, name, state)
    send_operations(admin, patch_id, as_json, operation)


@app.command()
def entry(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Shut down the entry instance at the admin address gracefully."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.adapters.admin_messages import StopAccepted

    response = AdminClient.from_text(admin).change("/drain", {}, StopAccepted)
    if as_json:
        print_json(response)
    else:
        typer.echo(f"{response.instance} is handing over its endpoints and will stop")
