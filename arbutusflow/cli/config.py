"""Commands that read, check and change the configuration document."""

import pathlib
from typing import Annotated, Any

import typer

from arbutusflow.cli.options import (
    AdminOption,
    JsonOption,
    PatchIdOption,
    print_json,
)

app = typer.Typer(
    no_args_is_help=True, help="Read, check and change the configuration."
)

PatchArgument = Annotated[pathlib.Path, typer.Argument(help="Patch file (YAML).")]
FileArgument = Annotated[
    pathlib.Path, typer.Argument(help="Configuration or patch file (YAML).")
]
ConfigurationArgument = Annotated[
    pathlib.Path, typer.Argument(help="Configuration file (YAML).")
]


@app.command()
def get(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Print the configuration in force."""
    from arbutusflow.domain.configuration import Configuration

    cfg = _fetch_configuration(admin, Configuration)
    if as_json:
        print_json(cfg)
    else:
        typer.echo(to_yaml(cfg), nl=False)


@app.command()
def patch(
    file: PatchArgument,
    admin: AdminOption,
    patch_id: PatchIdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Apply a patch to the configuration, atomically."""
    from arbutusflow.adapters.settings import load_patch
    from arbutusflow.cli.changes import send_patch

    send_patch(admin, load_patch(file), patch_id, as_json)


@app.command()
def check(file: FileArgument) -> None:
    """Check a configuration or patch file without sending it."""
    from arbutusflow.adapters.documents import top_level_fields
    from arbutusflow.adapters.settings import load_configuration, load_patch

    if "operations" in top_level_fields(file):
        count = len(load_patch(file).operations)
        typer.echo(f"{file} is a valid patch, operations: {count}")
        return
    cfg = load_configuration(file)
    endpoints = sum(len(service.endpoints) for service in cfg.services)
    typer.echo(
        f"{file} is a valid configuration, services: {len(cfg.services)}, "
        f"endpoints: {endpoints}"
    )


@app.command()
def diff(file: ConfigurationArgument, admin: AdminOption) -> None:
    """Compare the configuration in force with a file; exit status 1 if they differ."""
    import dataclasses
    import difflib

    from arbutusflow.adapters.settings import load_configuration
    from arbutusflow.domain.configuration import Configuration

    desired = load_configuration(file)
    in_force = _fetch_configuration(admin, Configuration)
    # Only the desired content is compared, not the number and the applied patches.
    desired = dataclasses.replace(
        desired, number=in_force.number, applied=in_force.applied
    )
    lines = list(
        difflib.unified_diff(
            to_yaml(in_force).splitlines(),
            to_yaml(desired).splitlines(),
            f"configuration {in_force.number}",
            str(file),
            lineterm="",
        )
    )
    for line in lines:
        typer.echo(line)
    if lines:
        raise typer.Exit(1)


@app.command()
def history(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Print the recent patches, newest first."""
    from arbutusflow.domain.configuration import Configuration

    applied = tuple(reversed(_fetch_configuration(admin, Configuration).applied))
    if as_json:
        print_json(applied)
        return
    for item in applied:
        typer.echo(f"{item.number:>8}  {item.id}")


def to_yaml(cfg: Any) -> str:
    """Return a configuration as a YAML document that `check` accepts."""
    import msgspec
    import yaml

    text: str = yaml.safe_dump(msgspec.to_builtins(cfg), sort_keys=False)
    return text


def _fetch_configuration(admin: str, document_type: Any) -> Any:
    from arbutusflow.adapters.admin_client import AdminClient

    return AdminClient.from_text(admin).get("/config", document_type)
