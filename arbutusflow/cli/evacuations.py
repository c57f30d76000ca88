"""Command that prints which availability zones instances treat as evacuated."""

from typing import TYPE_CHECKING

import typer

from arbutusflow.cli.exit_status import ExitStatus
from arbutusflow.cli.options import InstancesArgument, JsonOption, print_json

if TYPE_CHECKING:
    from arbutusflow.gateway.instance_state import InstanceState


def evacuations(addresses: InstancesArgument, as_json: JsonOption = False) -> None:
    """Print the evacuated availability zones as instances know them.

    For each: since when, its endpoints, those with requests in flight, those with keys,
    and the services that have no ready endpoint in other zones. Exit status 3 if one of
    the instances does not respond.
    """
    from arbutusflow.cli.state_client import read_states

    states = read_states(addresses)
    if as_json:
        print_json(
            {name: state and state.evacuated_zones for name, state in states.items()}
        )
    else:
        typer.echo(
            f"{'instance':<24}{'evacuated':<18}{'for s':>8}{'endpoints':>11}"
            f"{'requests':>10}{'keys':>6}  only there"
        )
        for address, state in states.items():
            for line in _lines(state) if state else [f"{address:<42}no response"]:
                typer.echo(line)
    if None in states.values():
        raise typer.Exit(ExitStatus.UNREACHABLE)


def _lines(state: "InstanceState") -> list[str]:
    if not state.evacuated_zones:
        return [f"{state.instance:<24}none"]
    return [
        f"{state.instance:<24}{zone.zone:<18}{zone.seconds:>8.1f}{zone.endpoints:>11}"
        f"{zone.endpoints_with_requests:>10}{zone.endpoints_with_keys:>6}"
        f"  {', '.join(zone.services_only_there)}".rstrip()
        for zone in state.evacuated_zones
    ]
