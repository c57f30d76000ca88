"""Reads the settings file that the platform writes for a gateway process."""

import os
import pathlib
import tomllib
from typing import Any

from arbutusflow.errors import SettingsError
from arbutusflow.gateway.model import Address, GatewaySettings

SETTINGS_VARIABLE = "ARBUTUSFLOW_CONFIG"
# Has precedence over the field `learnRoom` of the file.
LEARN_ROOM_VARIABLE = "ARBUTUSFLOW_LEARN_ROOM"
# Port for metrics; `deploy/system.toml` announces it to the platform.
METRICS_PORT = 9187


def settings_path() -> pathlib.Path:
    """Return the path of the settings file. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the environment variable {SETTINGS_VARIABLE} is not set")
    return pathlib.Path(path)


def load_settings(path: pathlib.Path) -> GatewaySettings:
    """Read and validate the settings. Raises SettingsError."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return _decode(document)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path} cannot be read: {exc}") from exc
    except RecursionError as exc:
        raise SettingsError(f"{path} is nested too deeply") from exc
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        IndexError,
        OverflowError,
    ) as exc:
        raise SettingsError(f"{path}: a field is missing or invalid: {exc!r}") from exc


def _period(value: Any) -> float:
    """Return a period in seconds. Raises ValueError if it is negative or not finite."""
    seconds = float(value)
    if not 0.0 <= seconds < float("inf"):
        raise ValueError(f"{value} is not a period in seconds")
    return seconds


def _amount(value: Any) -> float:
    """Return a number. Raises ValueError if it is negative, not finite or no number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    amount = float(value)
    if not 0.0 <= amount < float("inf"):
        raise ValueError(f"{value} is not a finite number of at least 0")
    return amount


def _count(value: Any) -> int | None:
    return None if value is None else int(value)


def _optional_period(value: Any) -> float | None:
    return None if value is None else _period(value)


def _switch(value: Any, variable: str) -> bool:
    """Return whether a feature is on; a variable of the environment has precedence.

    Raises ValueError if the value is no boolean.
    """
    text = os.environ.get(variable)
    if text is not None:
        value = {"true": True, "false": False}.get(text)
    if not isinstance(value, bool):
        raise ValueError(f"{variable} must be true or false")
    return value


def _decode(document: dict[str, Any]) -> GatewaySettings:
    listen, bounds = document["listen"], document["bounds"]
    return GatewaySettings(
        instance=str(document["nodeName"]),
        zone=str(document["zone"]),
        caller_address=Address.parse(listen["front"]),
        readiness_address=Address.parse(listen["ready"]),
        metrics_port=METRICS_PORT,
        peer_port=int(document["internalPorts"][0]),
        peer_host=str(document["ip"]),
        store_address=Address.parse(document["provider"]["address"]),
        seeds=tuple(Address.parse(seed) for seed in document.get("seeds", ())),
        memory_bytes=int(float(document["limits"]["memoryMb"]) * 1_000_000),
        max_descriptors=_count(document["limits"].get("maxFds")),
        stop_seconds=_period(bounds["graceS"]),
        drain_seconds=float(bounds["drainS"]),
        max_lease_seconds=float(bounds["maxHoldS"]),
        retry_ratio=float(bounds["retryBudgetRatio"]),
        retry_window_seconds=float(bounds["budgetWindowS"]),
        retry_slack=float(bounds["retryBudgetSlack"]),
        learn_room=_switch(document.get("learnRoom", False), LEARN_ROOM_VARIABLE),
        cold_overshoot=_amount(bounds.get("coldOvershoot", 1.0)),
        cold_slack=_amount(bounds.get("coldSlack", 0.0)),
        evacuation_seconds=_optional_period(bounds.get("evacuateS")),
    )
