"""Codecs of the other side of the platform's protocol: of its store and endpoints.

Stand-ins use them, so that only this package knows the platform's names. The other
modules decode what this one encodes, and the reverse.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from arbutusflow.gateway.model import (
    Configuration,
    Endpoint,
    GatewaySettings,
    Repeatability,
    Route,
)
from arbutusflow.platform import wire
from arbutusflow.platform.targets import OBJECTS_PATH

_SETTINGS = """\
nodeName = "{instance}"
ip = "{peer_host}"
zone = "{zone}"
internalPorts = [{peer_port}, {peer_port}]
[listen]
front = "{caller}"
ready = "{readiness}"
[limits]
memoryMb = {memory:g}
[bounds]
graceS = {grace:g}
drainS = {drain:g}
maxHoldS = {lease:g}
retryBudgetRatio = {ratio:g}
budgetWindowS = {window:g}
retryBudgetSlack = {slack:g}
[provider]
address = "{store}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCall:
    """A decoded call to the store. `name` is "" for calls of a whole kind."""

    method: str
    kind: str
    name: str
    revision: int | None  # Condition of a write; None for an unconditional one.
    watch_revision: int | None  # None for other calls than watches.
    wait_seconds: float  # How long a watch waits for a change.
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class KeyOrder:
    """An order about a range of keys; the lease is 0 seconds in a release."""

    first: int
    last: int
    token: int
    lease_seconds: float


def decode_store_call(method: str, target: str, body: bytes) -> StoreCall:
    """Decode a call to the store. Raises ValueError."""
    url = urlsplit(target)
    if not url.path.startswith(OBJECTS_PATH):
        raise ValueError(f"{target!r} is not a path of the store")
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
    document = msgspec.json.decode(body) if body else {}
    metadata = document.get("metadata", query)
    revision, watch = metadata.get("revision"), query.get("watch")
    return StoreCall(
        method,
        kind,
        unquote(name) or document.get("metadata", {}).get("name", ""),
        None if revision is None else int(revision),
        None if watch is None else int(watch),
        int(query.get("waitMs", "0")) / 1000,
        document.get("spec"),
    )


def encode_object(name: str, revision: int, spec: Any) -> dict[str, Any]:
    """Encode an object of the store."""
    metadata = {"name": name, "revision": revision}
    return {"metadata": metadata, "spec": spec, "status": None}


def encode_objects(objects: Iterable[Mapping[str, Any]], revision: int) -> bytes:
    """Encode the answer to a list."""
    page = {"items": list(objects), "hasMore": False, "asOf": revision}
    return msgspec.json.encode(page)


def encode_changes(
    changes: Iterable[tuple[bool, Mapping[str, Any]]], revision: int
) -> bytes:
    """Encode the answer to a watch; each change is "removed" and an object."""
    events = [{"removed": removed, "object": item} for removed, item in changes]
    return msgspec.json.encode({"events": events, "asOf": revision})


def encode_configuration(cfg: Configuration) -> dict[str, Any]:
    """Encode the document that the operator writes."""
    hosts: dict[str, list[dict[str, Any]]] = {}
    for route in cfg.routes:
        hosts.setdefault(route.host, []).append(_encode_route(route))
    return {
        "version": cfg.version,
        "services": [
            {
                "name": service.name,
                "healthPath": service.health_path,
                "maxConns": service.max_connections,
                "protocol": "h1",
                "sharded": service.partitioned,
            }
            for service in cfg.services.values()
        ],
        "limits": {
            "maxHeaderBytes": cfg.limits.header_bytes,
            "maxBodyBytes": cfg.limits.body_bytes,
            "headerTimeoutS": cfg.limits.header_seconds,
            "idleTimeoutS": cfg.limits.idle_seconds,
        },
        "hosts": [{"host": host, "paths": paths} for host, paths in hosts.items()],
    }


def _encode_route(route: Route) -> dict[str, Any]:
    safe = route.repeatability is Repeatability.IDEMPOTENT
    targets = [{"service": t.service, "weight": t.weight} for t in route.targets]
    return {
        "name": route.name,
        "pathPrefix": route.prefix,
        "routeType": "safe" if safe else "unsafe",
        "timeoutS": route.timeout_seconds,
        "targetLatencyS": route.objective_seconds,
        "priority": route.rank,
        "maxAttempts": route.max_attempts,
        "trafficSplit": targets,
    }


def encode_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    """Encode the content of the object by which an endpoint registers itself."""
    return {
        "address": f"{endpoint.address.host}:{endpoint.address.port}",
        "info": {
            "service": endpoint.service,
            "version": "v",
            "zone": endpoint.zone,
            "slots": endpoint.slots,
        },
        "status": {
            "state": "draining" if endpoint.draining else "ready",
            "seq": 1 if endpoint.entry_number is None else endpoint.entry_number,
            "coldLeftS": endpoint.cold_seconds,
        },
        "born": endpoint.started_ms,
    }


def encode_settings(cfg: GatewaySettings) -> str:
    """Encode the settings file of an instance; its metrics port is fixed."""
    return _SETTINGS.format(
        instance=cfg.instance,
        peer_host=cfg.peer_host,
        zone=cfg.zone,
        peer_port=cfg.peer_port,
        caller=f"{cfg.caller_address.host}:{cfg.caller_address.port}",
        readiness=f"{cfg.readiness_address.host}:{cfg.readiness_address.port}",
        memory=cfg.memory_bytes / 1_000_000,
        grace=cfg.stop_seconds,
        drain=cfg.drain_seconds,
        lease=cfg.max_lease_seconds,
        ratio=cfg.retry_ratio,
        window=cfg.retry_window_seconds,
        slack=cfg.retry_slack,
        store=f"{cfg.store_address.host}:{cfg.store_address.port}",
    )


def decode_key_order(target: bytes, body: bytes) -> KeyOrder:
    """Decode a grant or a release. Raises ValueError."""
    try:
        fields = msgspec.json.decode(body)
        lease = float(fields["holdS"]) if target == wire.GRANT_PATH else 0.0
        return KeyOrder(fields["from"], fields["to"], fields["fence"], lease)
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed order: {exc!r}") from exc
