"""Command that runs an entry instance."""

import pathlib
from typing import Annotated

import typer


def entry(
    settings: Annotated[pathlib.Path, typer.Argument(help="Settings file (YAML).")],
) -> None:
    """Run one entry instance until SIGTERM; SIGHUP reloads the settings."""
    from arbutusflow.adapters.settings import load_settings

    # The file is validated before the slow imports, so that an invalid one fails fast.
    validated = load_settings(settings)
    from arbutusflow.runtime.entry import run_entry

    run_entry(validated, lambda: load_settings(settings))
