"""The command that runs an entry instance on the platform."""

import typer

from arbutusflow.cli.exit_status import status_of
from arbutusflow.domain.errors import ArbutusflowError


def gateway() -> None:
    """Run one entry instance on the platform; its settings come from there."""
    from arbutusflow.platform.settings import load_settings, settings_path

    try:
        path = settings_path()
        cfg = load_settings(path)
    except ArbutusflowError as exc:
        typer.echo(f"arbutusflow: {exc}", err=True)
        raise typer.Exit(status_of(exc)) from exc
    from arbutusflow.gateway.process import run_gateway

    run_gateway(cfg, path)
