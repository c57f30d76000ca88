"""Entry point of the command line.

Slow imports are inside the commands that need them, so that other commands start fast.
"""

from typing import Any

import typer
from typer.core import TyperGroup

from arbutusflow import __version__
from arbutusflow.cli import configuration, explain, gateway, reference
from arbutusflow.cli.evacuations import evacuations
from arbutusflow.cli.exit_status import exit_status_for
from arbutusflow.cli.instances import instances
from arbutusflow.errors import ArbutusflowError

EPILOG = (
    "Exit status: 0 success, 1 refused or failed, 2 usage error or invalid file, "
    "3 instance unreachable."
)


class ErrorReportingGroup(TyperGroup):
    """Command group that reports errors in one sentence and with an exit status."""

    def invoke(self, ctx: Any) -> Any:
        """Run the selected command."""
        try:
            return super().invoke(ctx)
        except ArbutusflowError as exc:
            typer.echo(f"arbutusflow: {exc}", err=True)
            raise typer.Exit(exit_status_for(exc)) from exc


app = typer.Typer(
    cls=ErrorReportingGroup,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="Router for endpoints that own keys exclusively.",
    epilog=EPILOG,
)
app.command("gateway")(gateway.gateway)
app.command("instances")(instances)
app.command("evacuations")(evacuations)
app.add_typer(explain.app, name="explain")
app.add_typer(reference.app, name="reference")
app.add_typer(configuration.app, name="config")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line."""
    app()
