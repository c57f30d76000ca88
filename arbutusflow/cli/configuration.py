"""Command that checks a configuration before it is sent."""

import pathlib
from typing import Annotated

import typer

from arbutusflow.cli.exit_status import ExitStatus
from arbutusflow.cli.options import JsonOption, print_json

app = typer.Typer(no_args_is_help=True)


@app.callback()
def config() -> None:
    """Check a configuration before it is sent."""


@app.command()
def check(
    file: Annotated[pathlib.Path, typer.Argument(help="Configuration in JSON.")],
    against: Annotated[
        pathlib.Path | None,
        typer.Option(metavar="FILE", help="Also compare with the version in force."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Print what is wrong with a configuration, one finding in each line.

    Exit status 1 with warnings only, 2 with errors; differences change nothing.
    """
    from arbutusflow.errors import SettingsError
    from arbutusflow.gateway.configuration_check import FindingKind, check, differences
    from arbutusflow.platform.configuration_draft import load_draft

    draft = load_draft(file)
    findings = check(draft)
    if against is not None:
        in_force = load_draft(against)
        if in_force.problems:
            first = in_force.problems[0]
            raise SettingsError(
                f"{against} cannot be in force: {first.place}: {first.value}"
            )
        findings += differences(draft, in_force)
    if as_json:
        print_json(findings)
    else:
        for finding in findings:
            typer.echo(f"{finding.kind.value}: {finding.place}: {finding.text}")
    kinds = {finding.kind for finding in findings}
    if FindingKind.ERROR in kinds:
        raise typer.Exit(ExitStatus.INVALID_INPUT)
    if kinds - {FindingKind.DIFFERENCE}:
        raise typer.Exit(ExitStatus.FAILED)
