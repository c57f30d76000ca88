"""Commands that print the reference pages."""

import typer

app = typer.Typer(no_args_is_help=True, help="Print the pages of docs/reference.")


@app.command()
def settings() -> None:
    """Print the reference page for settings and configuration fields."""
    from arbutusflow.platform.reference import settings_page

    typer.echo(settings_page(), nl=False)


@app.command()
def metrics() -> None:
    """Print the reference page for metrics, outcomes and reasons."""
    from arbutusflow.gateway.reference import metrics_page

    typer.echo(metrics_page(), nl=False)
