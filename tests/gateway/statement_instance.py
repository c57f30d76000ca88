"""An instance whose store and key table the test plays, to test endpoints' statements.

All other components are those of a running process, with its wiring.
"""

import dataclasses
import os
import pathlib
import random
from collections.abc import Iterable
from typing import Any

from arbutusflow.gateway.model import Address, GatewaySettings, StorePoint
from arbutusflow.gateway.process import Gateway
from arbutusflow.platform.store import CONFIGURATION_NAME, StoredObject
from tests.gateway.test_documents import CONFIGURATION

DRAIN_SECONDS = 2.0
LOOPBACK = Address("127.0.0.1", 1)
_ROUTES = (("/keyed/", "safe", "a"), ("/safe/", "safe", "b"), ("/once/", "upload", "b"))


def configuration(version: int = 7, *, max_attempts: int = 2) -> dict[str, Any]:
    """Return a configuration with a route for each kind of request."""
    paths = [
        {
            "name": prefix,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutS": 30,
            "targetLatencyS": 5,
            "priority": 0,
            "service": service,
            "maxAttempts": max_attempts,
        }
        for prefix, kind, service in _ROUTES
    ]
    hosts = [{"host": "shop.example", "paths": paths}]
    return CONFIGURATION | {"version": version, "hosts": hosts}


@dataclasses.dataclass(frozen=True)
class Entry:
    """What the store says of an endpoint."""

    name: str
    address: Address
    started_ms: int
    service: str = "b"
    state: str = "ready"

    def stored(self, revision: int) -> StoredObject:
        """Return the object in the store."""
        spec = {
            "address": f"{self.address.host}:{self.address.port}",
            "info": {"service": self.service, "version": "v", "zone": "z", "slots": 2},
            "status": {"state": self.state, "seq": revision, "coldLeftS": 0},
            "born": self.started_ms,
        }
        raw = {"metadata": {"name": self.name, "revision": revision}, "spec": spec}
        return StoredObject(self.name, StorePoint(0, revision), None, raw)


class OwnedKeys:
    """Key table in which one endpoint owns all keys."""

    def __init__(self, owner: str | None = None) -> None:
        self.owner = owner

    def endpoint_for(self, service: str, key: int, now: float) -> str | None:
        return self.owner

    def unowned_seconds(self, service: str, key: int, now: float) -> float:
        return 0.0

    def mark_not_held(self, service: str, key: int) -> None:
        """The test decides who owns keys."""


class StatementInstance:
    """One instance, with what it logs and the copies of the store that it has read."""

    def __init__(self, name: str, seed: int = 1) -> None:
        settings = GatewaySettings(
            instance=name,
            zone="z",
            caller_address=LOOPBACK,
            readiness_address=LOOPBACK,
            metrics_port=None,
            peer_port=1,
            peer_host=LOOPBACK.host,
            store_address=LOOPBACK,
            seeds=(),
            memory_bytes=300_000_000,
            stop_seconds=6.0,
            drain_seconds=DRAIN_SECONDS,
            max_lease_seconds=10.0,
            retry_ratio=0.2,
            retry_window_seconds=10.0,
            retry_slack=60.0,
        )
        self.name = name
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.keys = OwnedKeys()
        self._revision = 1
        self.gateway = gateway = Gateway(settings, pathlib.Path(os.devnull))
        gateway.log.write = gateway.log.write_rate_limited = self._record_event
        # The results must not differ between runs.
        gateway.endpoints._rng = gateway.dispatcher._admission._rng = random.Random(
            seed
        )
        gateway.dispatcher._leases = self.keys
        gateway.directory._store_available_seconds = lambda now: 100.0
        gateway.endpoint_copy.unreachable_since = None
        self.configure(configuration())

    def _record_event(self, event: str, /, **fields: Any) -> None:
        self.events.append((event, fields))

    def configure(self, document: dict[str, Any]) -> None:
        """Let the instance read a configuration."""
        self._revision += 1
        item = StoredObject(
            CONFIGURATION_NAME, StorePoint(0, self._revision), document, {}
        )
        self.gateway.config_copy.objects = {CONFIGURATION_NAME: item}
        self.gateway._on_configuration()

    def list(self, entries: Iterable[Entry]) -> None:
        """Let the instance read the entries of endpoints."""
        self._revision += 1
        self.gateway.endpoint_copy.objects = {
            entry.name: entry.stored(self._revision) for entry in entries
        }
        self.gateway._on_endpoints()

    def is_leaving(self, name: str) -> bool:
        """Return whether the instance takes an endpoint for leaving."""
        return self.gateway.directory.endpoints[name].draining

    def tick(self) -> None:
        """Do the periodic work on endpoints."""
        now = self.gateway._loop.time()
        if self.gateway.directory.expire(now):
            self.gateway._use_endpoints(now)
        self.gateway.endpoints.remove_departed(now)
