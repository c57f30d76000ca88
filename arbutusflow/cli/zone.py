"""Commands for availability zones."""

from typing import Annotated

import typer

from arbutusflow.cli.options import AdminOption, JsonOption, PatchIdOption

app = typer.Typer(
    no_args_is_help=True, help="Declare availability zones lost or restore them."
)

ZoneArgument = Annotated[str, typer.Argument(help="Name of the availability zone.")]


@app.command("declare-lost")
def declare_lost(
    zone: ZoneArgument,
    admin: AdminOption,
    all_stopped: Annotated[
        bool,
        typer.Option(
            "--all-stopped",
            help="Confirms that every instance and endpoint of the zone has stopped.",
        ),
    ] = False,
    patch_id: PatchIdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Declare an availability zone lost, so that its keys move to other zones.

    An endpoint of the zone that still runs could execute requests twice.
    """
    from arbutusflow.cli.changes import send_operations
    from arbutusflow.domain.configuration import DeclareZoneLost
    from arbutusflow.errors import SettingsError

    if not all_stopped:
        raise SettingsError(
            f"make sure that all instances and endpoints of {zone} have stopped, then "
            "pass --all-stopped"
        )
    send_operations(admin, patch_id, as_json, DeclareZoneLost(zone))


@app.command()
def restore(
    zone: ZoneArgument,
    admin: AdminOption,
    patch_id: PatchIdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Revoke the declaration that an availability zone is lost."""
    from arbutusflow.cli.changes import send_operations
    from arbutusflow.domain.configuration import RestoreZone

    send_operations(admin, patch_id, as_json, RestoreZone(zone))
