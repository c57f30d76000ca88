"""Sends patches and reports the results, for all commands that change something."""

import re
import uuid
from typing import TYPE_CHECKING, Any

import typer

from arbutusflow.cli.options import print_json
from arbutusflow.errors import (
    OutcomeUnknownError,
    RefusedError,
    SettingsError,
)

if TYPE_CHECKING:
    from arbutusflow.adapters.settings import PatchFile


def send_operations(
    admin: str, patch_id: str | None, as_json: bool, *operations: Any
) -> None:
    """Apply `operations` to the configuration in force and print the result."""
    from arbutusflow.adapters.settings import PatchFile

    send_patch(admin, PatchFile(operations), patch_id, as_json)


def send_patch(
    admin: str, file: "PatchFile", patch_id: str | None, as_json: bool
) -> None:
    """Send a patch and print the result; raise unless it is accepted."""
    from arbutusflow.adapters.admin_client import AdminClient
    from arbutusflow.domain.configuration import (
        Accepted,
        Configuration,
        Invalid,
        PatchResult,
        Stale,
    )

    if patch_id is not None and not re.fullmatch(r".{8,64}", patch_id):
        raise SettingsError("--id must have 8 to 64 characters")
    client = AdminClient.from_text(admin)
    number = client.get("/config", Configuration).number if file.against is None else 0
    patch = file.to_patch(number, patch_id or file.id or uuid.uuid4().hex)
    try:
        result: Any = client.change("/config/patch", patch, PatchResult)  # type: ignore[arg-type]
    except OutcomeUnknownError as exc:
        raise OutcomeUnknownError(
            f"{exc}; look for patch {patch.id} with `arbutusflow config history`, or "
            f"send it again with --id {patch.id}"
        ) from exc
    match result:
        case Accepted(number):
            if as_json:
                print_json({"result": "accepted", "number": number, "id": patch.id})
            else:
                typer.echo(f"configuration {number} is accepted (patch {patch.id})")
        case Stale(against, current):
            raise RefusedError(
                f"the patch was made for configuration {against}, but {current} is in "
                "force; review it with `arbutusflow config get` and update the patch"
            )
        case Invalid(problems):
            raise RefusedError(f"the patch is invalid: {'; '.join(problems)}")
