"""Command line. Heavy imports stand inside the commands that need them."""

import pathlib
import sys
from typing import Annotated

import typer

from arbutusflow import __version__
from arbutusflow.domain.errors import ArbutusflowError

app = typer.Typer(no_args_is_help=True, add_completion=False)
standin = typer.Typer(no_args_is_help=True, help="Stand-ins for tests and the demo.")
app.add_typer(standin, name="standin")


@app.command()
def entry(
    settings: Annotated[pathlib.Path, typer.Argument(help="Settings file (YAML).")],
) -> None:
    """Run one entry instance."""
    from arbutusflow.adapters.settings import load_settings
    from arbutusflow.runtime.entry import run_entry

    run_entry(load_settings(settings))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@standin.command("platform")
def standin_platform(host: str = "127.0.0.1", port: int = 8000) -> None:
    """Run the stand-in for the platform."""
    from arbutusflow.standins.platform_server import run_platform

    run_platform(host, port)


@standin.command("endpoint")
def standin_endpoint(
    name: str,
    host: str = "127.0.0.1",
    port: int = 9000,
    slots: int = 2,
    service_ms: float = 5.0,
    checks_tokens: bool = True,
) -> None:
    """Run the stand-in for one endpoint."""
    from arbutusflow.standins.endpoint_server import run_endpoint

    run_endpoint(name, host, port, slots, service_ms, checks_tokens)


def main() -> None:
    """Run the command line; an error of the project ends it with one sentence."""
    try:
        app()
    except ArbutusflowError as exc:
        typer.echo(f"arbutusflow: {exc}", err=True)
        sys.exit(2)
