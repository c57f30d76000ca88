"""Deployment of the demo: configuration, store, endpoints and instances.

The store and the endpoints run in this process; the instances are real processes.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time
from collections.abc import AsyncIterator, Sequence

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import (
    KEY_SPACE,
    CallerLimits,
    Configuration,
    Endpoint,
    ExchangeError,
    Repeatability,
    Route,
    Service,
    WeightedService,
)
from arbutusflow.platform import wire
from arbutusflow.request_ids import new_request_id
from arbutusflow.standins.embedded_server import ErrorHandler
from arbutusflow.standins.gateway_fleet import (
    GatewayInstance,
    Network,
    running_instances,
)
from arbutusflow.standins.key_endpoint import KeyEndpoint
from arbutusflow.standins.object_store import ObjectStore

HOST = "badges.example"
ZONES = ("zone-a", "zone-b")
INSTANCE_ZONES = ZONES * 2  # One instance for each entry.
KEYED_SERVICE, PLAIN_SERVICE, SPARE_SERVICE = "registry", "artwork", "notices"
ENDPOINT_COUNTS = {KEYED_SERVICE: 6, PLAIN_SERVICE: 4, SPARE_SERVICE: 2}
ENDPOINT_COUNT = sum(ENDPOINT_COUNTS.values())
SLOTS = 2
FAST_ENDPOINT, FAST_SLOTS = f"{KEYED_SERVICE}-6", 4  # Can serve the hot key whole.
WORK_SECONDS = (0.01, 0.03)  # Shortest and longest work of a request.
TIMEOUT_SECONDS = 3.0
START_SECONDS = 40.0  # Longest wait until all keys are served.
CHECK_SECONDS = 1.0  # Timeout of a readiness check.
DEADLINE_SECONDS = 2.0  # Of a request.
STARTED_KEYS = tuple(range(0, KEY_SPACE, KEY_SPACE // 16))  # Served before the start.
WATCHED_KEYS = tuple(range(0, KEY_SPACE, KEY_SPACE // 64))


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A kind of request that callers send."""

    route: str
    method: bytes
    prefix: str
    service: str
    keyed: bool

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.method == b"GET"


CALLS = (
    Call("lookup", b"GET", "/lookup/", KEYED_SERVICE, keyed=True),
    Call("issue", b"POST", "/issue/", KEYED_SERVICE, keyed=True),
    Call("artwork", b"GET", "/artwork/", PLAIN_SERVICE, keyed=False),
    Call("notice", b"GET", "/notice/", PLAIN_SERVICE, keyed=False),
)
# The configuration change gives the requests of this route to another service.
MOVED_ROUTE = "notice"


class StartError(Exception):
    """The instances did not serve all keys in time, or one of them ended."""


def configuration(version: int, moved_to: str = PLAIN_SERVICE) -> Configuration:
    """Return a version of the configuration."""
    routes = [
        Route(
            call.route,
            HOST,
            call.prefix,
            Repeatability.IDEMPOTENT if call.repeatable else Repeatability.AT_MOST_ONCE,
            (
                WeightedService(
                    moved_to if call.route == MOVED_ROUTE else call.service, 1.0
                ),
            ),
            timeout_seconds=TIMEOUT_SECONDS,
            objective_seconds=0.5,
            rank=1,
            max_attempts=2,
        )
        for call in CALLS
    ]
    services = {
        name: Service(name, "/health", 49, partitioned=name == KEYED_SERVICE)
        for name in ENDPOINT_COUNTS
    }
    limits = CallerLimits(16_384, 1_048_576, 3.0, 15.0)
    return Configuration(version, tuple(routes), services, limits)


class DemoWorld:
    """The running deployment."""

    def __init__(
        self,
        instances: list[GatewayInstance],
        network: Network,
        rng: random.Random,
        on_error: ErrorHandler,
    ) -> None:
        self.instances = instances
        self.store = ObjectStore(on_error)
        self._network = network
        numbers = iter(range(ENDPOINT_COUNT))
        self.endpoints = [
            KeyEndpoint(
                self._entry(service, number, next(numbers)),
                WORK_SECONDS,
                random.Random(rng.random()),
                on_error,
                partitioned=service == KEYED_SERVICE,
            )
            for service, count in ENDPOINT_COUNTS.items()
            for number in range(count)
        ]

    def _entry(self, service: str, number: int, address_number: int) -> Endpoint:
        name = f"{service}-{number + 1}"
        return Endpoint(
            id=name,
            service=service,
            address=self._network.endpoint(address_number),
            zone=ZONES[number % len(ZONES)],
            slots=FAST_SLOTS if name == FAST_ENDPOINT else SLOTS,
            draining=False,
            cold_seconds=0.0,
            started_ms=1,
            entry_number=1,
        )

    @property
    def owners(self) -> list[KeyEndpoint]:
        """The endpoints that own keys."""
        return [e for e in self.endpoints if e.entry.service == KEYED_SERVICE]

    async def start(self) -> None:
        """Start the store and the endpoints. Raises OSError."""
        store = self._network.store
        await self.store.server.start(store.host, store.port)
        self.store.put_configuration(configuration(1))
        for endpoint in self.endpoints:
            address = endpoint.entry.address
            await endpoint.server.start(address.host, address.port)
            self.store.put_endpoint(endpoint.entry)

    def close(self) -> None:
        """Stop the store and the endpoints."""
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()

    def owner_of(self, key: int) -> str:
        """Return the endpoint that holds a key now, or ""."""
        now = time.monotonic()
        found = (e.entry.id for e in self.owners if e.holds(key, now))
        return next(found, "")

    def unowned_keys(self, keys: Sequence[int] = WATCHED_KEYS) -> list[int]:
        """Return those of the keys that no endpoint holds now."""
        now = time.monotonic()
        owners = self.owners
        return [
            key
            for key in keys
            if not any(endpoint.holds(key, now) for endpoint in owners)
        ]

    async def wait_until_served(self) -> None:
        """Wait until all instances are ready and serve keys of all owners.

        An instance is ready before it knows the owners of keys. Raises StartError.
        """
        until = time.monotonic() + START_SECONDS
        while True:
            for instance in self.instances:
                if not instance.running:
                    raise StartError(
                        f"{instance.name} ended with status {instance.exit_status}:"
                        f" {instance.last_line()}"
                    )
            ready = [await is_ready(instance) for instance in self.instances]
            serving = [
                all(ready) and await serves_keys(instance, STARTED_KEYS)
                for instance in self.instances
            ]
            if all(serving) and not self.unowned_keys():
                return
            if time.monotonic() > until:
                unowned = len(self.unowned_keys())
                raise StartError(
                    f"after {START_SECONDS:g} s {sum(ready)} of {len(ready)} instances"
                    f" are ready, {sum(serving)} serve keys, and {unowned} of"
                    f" {len(WATCHED_KEYS)} watched keys have no owner"
                )
            await asyncio.sleep(0.1)


def request_head(call: Call, request_id: str, key: int) -> bytes:
    """Return the bytes of a request without a body."""
    lines = [
        b"%b %b1 HTTP/1.1" % (call.method, call.prefix.encode()),
        b"Host: " + HOST.encode(),
        wire.REQUEST_ID + b": " + request_id.encode(),
        wire.DEADLINE + b": " + wire.format_deadline(DEADLINE_SECONDS),
        b"Content-Length: 0",
    ]
    if call.keyed:
        lines.append(wire.KEY + b": %d" % key)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def serves_keys(instance: GatewayInstance, keys: Sequence[int]) -> bool:
    """Return whether an instance serves a request for each of some keys."""
    try:
        conn = await ClientConnection.open(
            instance.settings.caller_address, CHECK_SECONDS
        )
    except ExchangeError:
        return False
    try:
        for key in keys:
            head = request_head(CALLS[0], new_request_id(), key)
            if (await conn.exchange(head, b"", DEADLINE_SECONDS)).status != 200:
                return False
        return True
    except ExchangeError:
        return False
    finally:
        conn.close()


async def is_ready(instance: GatewayInstance) -> bool:
    """Return whether an instance passes its readiness check."""
    head = b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % wire.READINESS_PATH
    address = instance.settings.readiness_address
    try:
        conn = await ClientConnection.open(address, CHECK_SECONDS)
    except ExchangeError:
        return False
    try:
        return (await conn.exchange(head, b"", CHECK_SECONDS)).status == 200
    except ExchangeError:
        return False
    finally:
        conn.close()


@contextlib.asynccontextmanager
async def running_world(
    network: Network,
    directory: pathlib.Path,
    rng: random.Random,
    on_error: ErrorHandler,
) -> AsyncIterator[DemoWorld]:
    """Run the deployment while the context is open. Raises OSError and StartError."""
    with contextlib.ExitStack() as stack:
        context = running_instances(INSTANCE_ZONES, network, directory)
        world = DemoWorld(stack.enter_context(context), network, rng, on_error)
        stack.callback(world.close)
        await world.start()
        await world.wait_until_served()
        yield world
