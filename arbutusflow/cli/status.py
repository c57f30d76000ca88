"""The command that prints the state of one entry instance."""

import typer

from arbutusflow.cli.options import AdminOption, JsonOption, print_json


def status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Print what an entry instance knows and does."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.runtime.control import InstanceStatus

    found = AdminClient.from_text(admin).get("/status", InstanceStatus)
    if as_json:
        print_json(found)
        return
    typer.echo(
        f"instance {found.instance} in {found.zone}, "
        f"configuration {found.configuration}"
    )
    for service, counts in sorted(found.units.items()):
        unowned = counts.get("", 0)
        owners = len(counts) - (1 if unowned else 0)
        typer.echo(
            f"service {service}: {sum(counts.values())} units, {owners} owners, "
            f"{unowned} units without an owner"
        )
    typer.echo(f"{'endpoint':<24}{'coordinator':<16}{'term':>8}  acting here")
    for item in found.endpoints:
        acting = "yes" if item.acting else "no"
        typer.echo(f"{item.endpoint:<24}{item.coordinator:<16}{item.term:>8}  {acting}")
