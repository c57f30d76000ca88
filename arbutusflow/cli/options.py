"""Options shared by several commands."""

from typing import Annotated

import typer

AdminOption = Annotated[
    str,
    typer.Option(
        "--admin",
        envvar="ARBUTUSFLOW_ADMIN",
        metavar="HOST:PORT",
        help="Admin address of a running entry instance.",
        show_default=False,
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
PatchIdOption = Annotated[
    str | None,
    typer.Option(
        "--id",
        metavar="TEXT",
        help="Identifier of the patch, 8 to 64 characters. A patch that is sent again "
        "with the same identifier takes effect only once.",
    ),
]


def print_json(value: object) -> None:
    """Print `value` as one line of JSON."""
    import msgspec

    typer.echo(msgspec.json.encode(value).decode())
