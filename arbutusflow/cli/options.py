"""Options shared by several commands."""

from typing import Annotated

import typer

InstancesArgument = Annotated[
    list[str],
    typer.Argument(metavar="HOST:PORT...", help="Metrics addresses of instances."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def print_json(value: object) -> None:
    """Print `value` as one line of JSON."""
    import msgspec

    typer.echo(msgspec.json.encode(value).decode())
