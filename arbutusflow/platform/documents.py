"""Decodes documents that operators and endpoints write to the store."""

import math
from typing import Any

from arbutusflow.errors import ConfigurationError
from arbutusflow.gateway.model import (
    Address,
    CallerLimits,
    Configuration,
    Endpoint,
    Repeatability,
    Route,
    Service,
    WeightedService,
)
from arbutusflow.platform import wire
from arbutusflow.platform.steps import Steps, finish

# Of routes; any other kind may run at most once.
_IDEMPOTENT_KINDS = ("safe", "download")
# Raised for values that cannot be decoded.
MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def decode_configuration(spec: Any) -> Configuration:
    """Decode the operator's configuration. Raises ConfigurationError."""
    return finish(decode_configuration_in_steps(spec))


def decode_configuration_in_steps(spec: Any) -> Steps[Configuration]:
    """Decode the operator's configuration; yield after each route.

    Returns the configuration. Raises ConfigurationError.
    """
    try:
        # Services with other protocols are left out. Their routes remain, and requests
        # to them are refused.
        services = {
            read_text(item["name"]): _service(item)
            for item in spec["services"]
            if item.get("protocol", "h1") == "h1"
        }
        routes = []
        for entry in spec["hosts"]:
            for path in entry["paths"]:
                routes.append(_route(entry["host"], path))
                yield
        return Configuration(
            version=int(spec["version"]),
            routes=tuple(routes),
            services=services,
            limits=_limits(spec["limits"]),
        )
    except MALFORMED_ERRORS as exc:
        raise ConfigurationError(f"malformed configuration: {exc!r}") from exc


def read_text(value: Any) -> str:
    """Return a string. Raises TypeError for any other value."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def read_number(value: Any) -> float:
    """Return a finite number of at least 0. Raises one of `MALFORMED_ERRORS`."""
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{value!r} is not a finite number of at least 0")
    return number


def read_cold_rate(item: dict[str, Any]) -> float | None:
    """Return the rate of a service; 0 if it has one that is no positive number."""
    if "coldPerS" not in item:
        return None
    value = item["coldPerS"]
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    try:
        rate = float(value)
    except OverflowError:
        return 0.0
    return rate if 0.0 < rate < math.inf else 0.0


def _service(item: dict[str, Any]) -> Service:
    return Service(
        name=read_text(item["name"]),
        health_path=item["healthPath"],
        max_connections=int(read_number(item["maxConns"])),
        partitioned=bool(item.get("sharded", False)),
        cold_rate=read_cold_rate(item),
    )


def _route(host: str, item: dict[str, Any]) -> Route:
    if "trafficSplit" in item:
        targets = tuple(
            WeightedService(read_text(part["service"]), read_number(part["weight"]))
            for part in item["trafficSplit"]
        )
    else:
        targets = (WeightedService(read_text(item["service"]), 1.0),)
    if not targets:
        raise ValueError(f"route {item['name']!r} has no service")
    repeatability = (
        Repeatability.IDEMPOTENT
        if item["routeType"] in _IDEMPOTENT_KINDS
        else Repeatability.AT_MOST_ONCE
    )
    return Route(
        name=read_text(item["name"]),
        host=read_text(host).lower(),
        prefix=read_text(item["pathPrefix"]),
        repeatability=repeatability,
        targets=targets,
        timeout_seconds=read_number(item["timeoutS"]),
        objective_seconds=read_number(item["targetLatencyS"]),
        rank=int(read_number(item["priority"])),
        max_attempts=int(read_number(item["maxAttempts"])),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(read_number(item["maxHeaderBytes"])),
        body_bytes=int(read_number(item["maxBodyBytes"])),
        header_seconds=read_number(item["headerTimeoutS"]),
        idle_seconds=read_number(item["idleTimeoutS"]),
    )


def entry_number(item: Any) -> int | None:
    """Return how often an endpoint has written its entry; None if it is unreadable."""
    try:
        status = item.get("status") or item["spec"]["status"]
        number = status["seq"]
    except (KeyError, TypeError, AttributeError):
        return None
    return number if type(number) is int else None


def decode_endpoint(item: Any) -> Endpoint:
    """Decode the document of an endpoint. Raises ValueError.

    Any client of the store can write documents of this kind, so all fields but `born`
    have to be there, and the type of each is checked: requests must not be sent to an
    address from an invalid document.
    """
    try:
        spec = item["spec"] if isinstance(item.get("spec"), dict) else {}
        status_part = item.get("status")
        # A status beside the spec takes precedence over one within it.
        fields = {**spec, **({"status": status_part} if status_part else {})}
        info, status = fields["info"], fields["status"]
        state = status["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        started_ms = fields.get("born", 0)
        slots, cold_seconds = info["slots"], status["coldLeftS"]
        name = item["metadata"]["name"]
        strings = [info[field] for field in ("service", "zone", "version")]
        strings += [name, fields["address"]]
        if not all(isinstance(text, str) and text for text in strings):
            raise ValueError(
                "name, service, address, zone and version must be non-empty strings"
            )
        integers = (slots, status["seq"], started_ms)
        if not all(type(number) is int for number in integers) or slots < 1:
            raise ValueError(
                "seq and born must be integers and slots a positive integer"
            )
        if isinstance(cold_seconds, bool) or not isinstance(cold_seconds, int | float):
            raise ValueError("coldLeftS must be a number")
        return Endpoint(
            id=wire.check_header_text(name),
            service=info["service"],
            address=Address.parse(fields["address"]),
            zone=info["zone"],
            slots=slots,
            draining=state == "draining",
            cold_seconds=read_number(max(0, cold_seconds)),
            started_ms=started_ms,
            entry_number=entry_number(item),
        )
    except MALFORMED_ERRORS as exc:
        raise ValueError(f"malformed endpoint document: {exc!r}") from exc
