"""The command that runs an entry instance."""

import pathlib
from typing import Annotated

import typer


def entry(
    settings: Annotated[pathlib.Path, typer.Argument(help="Settings file (YAML).")],
) -> None:
    """Run one entry instance until SIGTERM; SIGHUP reads the settings again."""
    from arbutusflow.adapters.settings import load_settings

    # The file is checked before the slow imports, so a wrong one fails at once.
    checked = load_settings(settings)
    from arbutusflow.runtime.entry import run_entry

    run_entry(checked, lambda: load_settings(settings))
