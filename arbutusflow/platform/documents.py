"""Decodes documents that operators and endpoints write to the store."""

from typing import Any

from arbutusflow.domain.errors import ConfigurationError
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

_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_configuration(spec: Any) -> Configuration:
    """Decode the operator's configuration. Raises ConfigurationError."""
    try:
        # Services with other protocols are left out. Their routes remain, and requests
        # to them are refused.
        services = {
            item["name"]: _service(item)
            for item in spec["services"]
            if item.get("protocol", "h1") == "h1"
        }
        return Configuration(
            version=int(spec["version"]),
            routes=tuple(
                _route(entry["host"], path)
                for entry in spec["hosts"]
                for path in entry["paths"]
            ),
            services=services,
            limits=_limits(spec["limits"]),
        )
    except _MALFORMED_ERRORS as exc:
        raise ConfigurationError(f"malformed configuration: {exc!r}") from exc


def _service(item: dict[str, Any]) -> Service:
    return Service(
        name=item["name"],
        health_path=item["healthPath"],
        max_connections=int(item["maxConns"]),
        partitioned=bool(item.get("sharded", False)),
    )


def _route(host: str, item: dict[str, Any]) -> Route:
    if "trafficSplit" in item:
        targets = tuple(
            WeightedService(part["service"], float(part["weight"]))
            for part in item["trafficSplit"]
        )
    else:
        targets = (WeightedService(item["service"], 1.0),)
    repeatability = (
        Repeatability.IDEMPOTENT
        if item["routeType"] == "safe"
        else Repeatability.AT_MOST_ONCE
    )
    return Route(
        name=item["name"],
        host=host.lower(),
        prefix=item["pathPrefix"],
        repeatability=repeatability,
        targets=targets,
        timeout_seconds=float(item["timeoutS"]),
        objective_seconds=float(item["targetLatencyS"]),
        rank=int(item["priority"]),
        max_attempts=int(item["maxAttempts"]),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(item["maxHeaderBytes"]),
        body_bytes=int(item["maxBodyBytes"]),
        header_seconds=float(item["headerTimeoutS"]),
        idle_seconds=float(item["idleTimeoutS"]),
    )


def decode_endpoint(item: Any) -> Endpoint:
    """Decode the document of an endpoint. Raises ValueError.

    Any client of the store can write documents of this kind, so the type of each field
    is checked: requests must not be sent to an address from an invalid document.
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
        strings = (name, info["service"], fields["address"], info["zone"])
        if not all(isinstance(text, str) and text for text in strings):
            raise ValueError(
                "name, service, address and zone must be non-empty strings"
            )
        if type(slots) is not int or slots < 1 or type(started_ms) is not int:
            raise ValueError("slots must be a positive integer and born an integer")
        if isinstance(cold_seconds, bool) or not isinstance(cold_seconds, int | float):
            raise ValueError("coldLeftS must be a number")
        return Endpoint(
            id=name,
            service=info["service"],
            address=Address.parse(fields["address"]),
            zone=info["zone"],
            slots=slots,
            draining=state == "draining",
            cold_seconds=float(cold_seconds),
            started_ms=started_ms,
        )
    except _MALFORMED_ERRORS as exc:
        raise ValueError(f"malformed endpoint document: {exc!r}") from exc
