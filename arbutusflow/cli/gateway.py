"""Command that runs an instance on the platform."""

import errno
from typing import TYPE_CHECKING

import typer

from arbutusflow.cli.exit_status import exit_status_for
from arbutusflow.errors import ArbutusflowError, SettingsError

if TYPE_CHECKING:
    from arbutusflow.gateway.model import GatewaySettings


def gateway() -> None:
    """Run one instance on the platform, with settings from the platform."""
    from arbutusflow.platform.settings import load_settings, settings_path

    try:
        path = settings_path()
        cfg = load_settings(path)
    except ArbutusflowError as exc:
        typer.echo(f"arbutusflow: {exc}", err=True)
        raise typer.Exit(exit_status_for(exc)) from exc
    from arbutusflow.gateway.process import run_gateway

    try:
        run_gateway(cfg, path)
    except OSError as exc:
        if exc.errno not in (errno.EADDRINUSE, errno.EADDRNOTAVAIL):
            raise
        raise _listen_error(cfg, exc) from exc


def _listen_error(cfg: "GatewaySettings", exc: OSError) -> SettingsError:
    """Return the error for addresses of which one cannot be bound.

    The error of a datagram socket does not say which one, so all are named.
    """
    addresses = [
        f"{address.host}:{address.port}"
        for address in (cfg.caller_address, cfg.readiness_address)
    ]
    addresses += [
        f"{cfg.peer_host}:{port}"
        for port in (cfg.metrics_port, cfg.peer_port)
        if port is not None
    ]
    return SettingsError(
        f"cannot listen on {', '.join(addresses[:-1])} and {addresses[-1]} (datagrams):"
        f" {exc.strerror}; stop the process that uses the address, or name another one "
        "in the settings file"
    )
