"""Restarts of all instances while odd entries of another writer stand in the store.

Guards against one such entry that stops the service: running instances went on, but
after a restart none learned of the endpoints behind it.
"""

import asyncio
import contextlib

import msgspec
import pytest

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import ExchangeError
from tests.gateway.object_platform import FakeEndpoint
from tests.gateway.paged_store import PagedStore
from tests.gateway.test_documents import CONFIGURATION
from tests.gateway.test_foreign_entries import (
    KINDS,
    LAYOUTS,
    RECOVERY_SECONDS,
    SERVICE_OF,
    alone,
    put_all,
)
from tests.loopback import own_host
from tests.soak.gateway_process import GatewayProcess
from tests.soak.world import ROOT

INSTANCES = 3
REQUESTS = 100
MIN_SERVED = 99  # Of `REQUESTS`, as in the calm part of the demo.


class Deployment:
    """A store, endpoints and real instances."""

    def __init__(self, store, directory):
        self.store = store
        self.endpoints = []
        self.instances = [
            GatewayProcess(number, directory, store.port, ROOT, lambda *_: None)
            for number in range(INSTANCES)
        ]
        for instance in self.instances:
            # Without this bound no evacuations are listed.
            bound = "evacuateS = 5\n[provider]"
            instance.write_settings(instance.settings.replace("[provider]", bound))
        self._last_request = 0

    async def start(self):
        spec = msgspec.json.encode(CONFIGURATION)
        self.store.put(b"config", b"main", b'"spec":' + spec)
        for name, service in SERVICE_OF.items():
            endpoint = FakeEndpoint(name.decode(), partitioned=service == "a")
            await endpoint.server.start(own_host(), 0)
            info = {"service": service, "version": "v", "zone": "z0"}
            status = {"state": "ready", "seq": 1, "coldLeftS": 0}
            entry = {
                "address": f"{own_host()}:{endpoint.server.port}",
                "info": info | {"slots": 2},
                "status": status,
                "born": 1,
            }
            self.store.put(b"servers", name, b'"spec":' + msgspec.json.encode(entry))
            self.endpoints.append(endpoint)
        for instance in self.instances:
            instance.start()

    async def restart(self):
        """Kill all instances and start them again, as after a loss of power."""
        for instance in self.instances:
            instance.kill()
        for endpoint in self.endpoints:
            endpoint.ran.clear()
        for instance in self.instances:
            instance.start()

    async def is_served(self, instance, method, key):
        """Send a request; work that may run only once goes to one service."""
        self._last_request += 1
        target = b"/x/1" if method == b"GET" else b"/y/1"
        head = (
            b"%b %b HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
            b"Deadline-Ms: 2000\r\nShard-Key: %d\r\nContent-Length: 0\r\n\r\n"
            % (method, target, self._last_request, key)
        )
        with contextlib.suppress(ExchangeError):
            conn = await ClientConnection.open(instance.address, 1.0)
            try:
                return (await conn.exchange(head, b"", 3.0)).status == 200
            finally:
                conn.close()
        return False

    async def served(self, requests):
        """Return how many of the requests to all instances were served."""
        count = 0
        for number in range(requests):
            instance = self.instances[number % INSTANCES]
            method = b"GET" if number % 4 else b"POST"
            key = number * 65535 // requests
            count += await self.is_served(instance, method, key)
        return count

    async def wait_until_served(self):
        """Wait until a row of requests is served. Raises TimeoutError."""
        async with asyncio.timeout(RECOVERY_SECONDS):
            while await self.served(4 * INSTANCES) < 4 * INSTANCES:
                await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def running_deployment(directory):
    async with PagedStore().serving(own_host()) as store:
        deployment = Deployment(store, directory)
        try:
            await deployment.start()
            yield deployment
        finally:
            for instance in deployment.instances:
                instance.kill()


def play_restart(directory, kind, entries):
    """Restart all instances while entries stand.

    Returns how many of `REQUESTS` were served before and after it, the endpoints that
    got no request after it, and the calls that were no HTTP.
    """

    async def main():
        async with running_deployment(directory) as deployment:
            await deployment.wait_until_served()
            put_all(deployment.store, kind, entries)
            beside = await deployment.served(REQUESTS)
            await deployment.restart()
            # A recovery that takes longer shows in what is served after it.
            with contextlib.suppress(TimeoutError):
                await deployment.wait_until_served()
            after = await deployment.served(REQUESTS)
            idle = [e.name for e in deployment.endpoints if not e.ran]
            return beside, after, idle, deployment.store.malformed

    return asyncio.run(main())


@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("odd", [b"&", b"+", b"#", b"%20", b" ", b"\xff"])
def test_requests_are_served_while_an_odd_entry_stands(tmp_path, layout, odd):
    entries = layout(odd)
    beside, after, idle, malformed = play_restart(tmp_path, b"servers", entries)
    assert beside >= MIN_SERVED and after >= MIN_SERVED
    assert (idle, malformed) == ([], [])


@pytest.mark.parametrize("kind", KINDS[1:])
@pytest.mark.parametrize("odd", [b" &", b"\xff"])
def test_requests_are_served_while_an_odd_object_of_another_kind_stands(
    tmp_path, kind, odd
):
    """Guards against the same in lists of which no part is used."""
    beside, after, idle, malformed = play_restart(tmp_path, kind, alone(odd))
    assert beside >= MIN_SERVED and after >= MIN_SERVED
    assert (idle, malformed) == ([], [])
