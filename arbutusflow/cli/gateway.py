"""Command that runs an entry instance on the platform."""

import typer

from arbutusflow.cli.exit_status import exit_status_for
from arbutusflow.errors import ArbutusflowError


def gateway() -> None:
    """Run one entry instance on the platform, with settings from the platform."""
    from arbutusflow.platform.settings import load_settings, settings_path

    try:
        path = settings_path()
        cfg = load_settings(path)
    except ArbutusflowError as exc:
        typer.echo(f"arbutusflow: {exc}", err=True)
        raise typer.Exit(exit_status_for(exc)) from exc
    from arbutusflow.gateway.process import run_gateway

    run_gateway(cfg, path)
