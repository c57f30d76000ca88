"""Commands about availability zones."""

from typing import Annotated

import typer

from arbutusflow.cli.options import AdminOption, JsonOption, PatchIdOption

app = typer.Typer(no_args_is_help=True, help="Availability zones.")

ZoneArgument = Annotated[str, typer.Argument(help="Name of the zone.")]


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
    """Declare that a zone is lost, so that its keys move to other zones.

    A server of the zone that still runs could execute work twice.
    """
    from arbutusflow.cli.changes import send_operations
    from arbutusflow.domain.configuration import DeclareZoneLost
    from arbutusflow.domain.errors import SettingsError

    if not all_stopped:
        raise SettingsError(
            f"make sure that every instance and endpoint of {zone} has stopped, then "
            "add --all-stopped"
        )
    send_operations(admin, patch_id, as_json, DeclareZoneLost(zone))


@app.command()
def restore(
    zone: ZoneArgument,
    admin: AdminOption,
    patch_id: PatchIdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Take back the declaration that a zone is lost."""
    from arbutusflow.cli.changes import send_operations
    from arbutusflow.domain.configuration import RestoreZone

    send_operations(admin, patch_id, as_json, RestoreZone(zone))
