"""Reads the state of an instance from its metrics address."""

import http.client
import socket

import msgspec
import typer

from arbutusflow.errors import (
    InstanceUnreachableError,
    RefusedError,
    SettingsError,
)
from arbutusflow.gateway.instance_state import STATE_PATH, InstanceState
from arbutusflow.gateway.model import Address

CONNECT_TIMEOUT_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 10.0


def read_states(addresses: list[str]) -> dict[str, InstanceState | None]:
    """Return the states of instances by address; None for those that do not respond.

    These are reported on standard error. Raises SettingsError and RefusedError.
    """
    states: dict[str, InstanceState | None] = {}
    for address in addresses:
        try:
            states[address] = read_state(address)
        except InstanceUnreachableError as exc:
            typer.echo(f"arbutusflow: {address} does not respond ({exc})", err=True)
            states[address] = None
    return states


def read_state(address: str) -> InstanceState:
    """Return the state of the instance at `host:port`.

    Raises SettingsError if the address is malformed, InstanceUnreachableError if
    nothing responds, RefusedError if the response is not the state of an instance.
    """
    status, body = _get(address, STATE_PATH)
    if status != 200:
        raise RefusedError(
            f"{address} responded with status {status}; name the metrics address of an "
            "instance"
        )
    try:
        return msgspec.json.decode(body, type=InstanceState)
    except msgspec.MsgspecError as exc:
        raise RefusedError(
            f"{address} sent a response that this version cannot decode ({exc}); name "
            "the metrics address of an instance of this version"
        ) from exc


def _get(address: str, path: str) -> tuple[int, bytes]:
    try:
        parsed = Address.parse(address)
    except ValueError as exc:
        raise SettingsError(
            f"{address!r} is not an address; write host:port, the port from 1 to 65535"
        ) from exc
    host, port = parsed.host, parsed.port
    conn = http.client.HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_SECONDS)
    try:
        conn.connect()
        assert isinstance(conn.sock, socket.socket)
        conn.sock.settimeout(RESPONSE_TIMEOUT_SECONDS)
        conn.request("GET", path)
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, UnicodeError, http.client.HTTPException) as exc:
        raise InstanceUnreachableError(str(exc) or type(exc).__name__) from exc
    finally:
        conn.close()
