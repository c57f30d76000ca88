"""Command that prints the state of one entry instance."""

import typer

from arbutusflow.cli.options import AdminOption, JsonOption, print_json


def status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Print the state of an entry instance."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.runtime.control import InstanceStatus

    instance_status = AdminClient.from_text(admin).get("/status", InstanceStatus)
    if as_json:
        print_json(instance_status)
        return
    typer.echo(
        f"instance {instance_status.instance} in {instance_status.zone}, "
        f"configuration {instance_status.configuration}"
    )
    for service, counts in sorted(instance_status.units.items()):
        unowned = counts.get("", 0)
        owners = len(counts) - (1 if unowned else 0)
        typer.echo(
            f"service {service}: {sum(counts.values())} units, {owners} owners, "
            f"{unowned} units without an owner"
        )
    typer.echo(f"{'endpoint':<24}{'coordinator':<16}{'term':>8}  acting here")
    for item in instance_status.endpoints:
        acting = "yes" if item.acting else "no"
        typer.echo(f"{item.endpoint:<24}{item.coordinator:<16}{item.term:>8}  {acting}")
