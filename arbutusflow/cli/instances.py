"""Command that prints what instances are doing."""

from typing import TYPE_CHECKING

import typer

from arbutusflow.cli.exit_status import ExitStatus
from arbutusflow.cli.options import InstancesArgument, JsonOption, print_json

if TYPE_CHECKING:
    from arbutusflow.gateway.instance_state import InstanceState


def instances(
    addresses: InstancesArgument,
    as_json: JsonOption = False,
) -> None:
    """Print the phase, the pending work and the configuration of instances.

    Exit status 3 if one of them does not respond.
    """
    from arbutusflow.cli.state_client import read_states

    states = read_states(addresses)
    if as_json:
        print_json(states)
    else:
        typer.echo(
            f"{'instance':<24}{'zone':<18}{'phase':<18}{'for s':>8}"
            f"{'requests':>10}{'ends in s':>11}{'version':>9}{'for s':>9}"
        )
        for address, state in states.items():
            typer.echo(_line(state) if state else f"{address:<42}no response")
    if None in states.values():
        raise typer.Exit(ExitStatus.UNREACHABLE)


def _line(state: "InstanceState") -> str:
    ends_in = "" if state.ends_in_seconds is None else f"{state.ends_in_seconds:.1f}"
    version = "none" if state.configuration is None else str(state.configuration)
    since = (
        ""
        if state.configuration_seconds is None
        else f"{state.configuration_seconds:.1f}"
    )
    return (
        f"{state.instance:<24}{state.zone:<18}{state.phase:<18}"
        f"{state.phase_seconds:>8.1f}{state.requests:>10}{ends_in:>11}"
        f"{version:>9}{since:>9}"
    )
