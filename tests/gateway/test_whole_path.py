"""Two instances, a store and endpoints on loopback addresses: the whole path.

Guards against parts that work alone and not together: wiring, settings, readiness,
planned ends. Waits poll for a state and have a generous end, so that the verdict does
not depend on the speed of the machine.
"""

import asyncio
import contextlib
import dataclasses
import os
import socket

import pytest

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.process import Gateway
from arbutusflow.platform import settings as platform_settings
from tests.gateway.object_platform import SETTINGS, KeyedEndpoint, ObjectStore
from tests.gateway.test_documents import CONFIGURATION

PATIENCE_SECONDS = 30.0
HOST = "127.0.0.1"


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


async def until(condition):
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not await condition():
            await asyncio.sleep(0.05)


class World:
    """Store, endpoints and instances of one test."""

    def __init__(self, directory):
        self.directory = directory
        self.store = ObjectStore()
        self.ports = {}
        self.endpoints = []
        self.gateways = {}
        self.runs = {}

    async def start(self):
        self.ports["store"] = free_port()
        await self.store.server.start(HOST, self.ports["store"])
        self.store.put("config", "main", CONFIGURATION)
        for name, service in (("i-1", "a"), ("i-2", "a"), ("i-3", "b")):
            await self.add_endpoint(name, service)
        for name in ("n1", "n2"):
            await self.add_gateway(name)

    async def add_endpoint(self, name, service):
        endpoint, port = KeyedEndpoint(name, keyed=service == "a"), free_port()
        await endpoint.server.start(HOST, port)
        self.endpoints.append(endpoint)
        info = {"service": service, "version": "v", "zone": "z", "slots": 2}
        status = {"state": "ready", "seq": 1, "coldLeftS": 0}
        self.store.put(
            "servers",
            name,
            {"address": f"{HOST}:{port}", "info": info, "status": status, "born": 1},
        )

    async def add_gateway(self, name, ports=None):
        ports = ports or {kind: free_port() for kind in ("front", "ready", "peer")}
        self.ports[name] = ports
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name, host=HOST, zone="z", store=self.ports["store"], **ports
            )
        )
        cfg = platform_settings.load_settings(path)
        # The port for metrics is the same for all instances of a machine.
        gateway = Gateway(dataclasses.replace(cfg, metrics_port=None), path)
        gateway.log._fd = os.open(os.devnull, os.O_WRONLY)
        self.gateways[name] = gateway
        self.runs[name] = asyncio.create_task(gateway.run())
        await until(lambda: self.ready(name))

    async def ready(self, name):
        with contextlib.suppress(Exception):
            address = Address(HOST, self.ports[name]["ready"])
            conn = await ClientConnection.open(address, 1.0)
            head = b"GET /arbutusflow/ready HTTP/1.1\r\nHost: h\r\n\r\n"
            return (await conn.exchange(head, b"", 1.0)).status == 200
        return False

    async def ask(self, name, path=b"/x/1", method=b"GET", key=b"7", body=b""):
        address = Address(HOST, self.ports[name]["front"])
        conn = await ClientConnection.open(address, 1.0)
        head = (
            b"%b %b HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
            b"Deadline-Ms: 5000\r\nShard-Key: %b\r\nContent-Length: %d\r\n\r\n"
            % (method, path, id(conn), key, len(body))
        )
        answer = await conn.exchange(head, body, 6.0)
        conn.close()
        return answer

    async def served(self, name, **options):
        return (await self.ask(name, **options)).status == 200


def with_world(work, directory):
    async def main():
        world = World(directory)
        await world.start()
        try:
            return await work(world)
        finally:
            for task in world.runs.values():
                task.cancel()
            await asyncio.gather(*world.runs.values(), return_exceptions=True)

    return asyncio.run(main())


@pytest.mark.parametrize("key", [b"7", b"65535"])
def test_keys_are_granted_and_served_through_every_instance(tmp_path, key):
    async def work(world):
        for name in ("n1", "n2"):
            await until(lambda name=name: world.served(name, key=key))
        return await world.ask("n1", b"/y/1", b"POST", body=b"logo")

    answer = with_world(work, tmp_path)
    assert (answer.status, answer.body) == (200, b"POST /y/1logo")


def test_an_unknown_path_is_not_found_and_a_bad_request_is_said_to_be_bad(tmp_path):
    async def work(world):
        return [
            (await world.ask("n1", b"/nowhere")).status,
            (await world.ask("n1", b"/x/1", key=b"x")).status,
        ]

    # A fifth of the route's requests goes to a service without keys.
    statuses = with_world(work, tmp_path)
    assert statuses[0] == 404
    assert statuses[1] in (200, 400)


def test_keys_of_an_endpoint_that_leaves_are_served_by_another(tmp_path):
    async def work(world):
        await until(lambda: world.served("n1"))
        await until(lambda: world.served("n1", key=b"65535"))
        world.store.remove("servers", "i-1")

        async def moved():
            ranges = world.store.spec("arbutusflow", "keys-a")["ranges"]
            return {part["endpoint"] for part in ranges} == {"i-2"}

        await until(moved)
        await until(lambda: world.served("n2"))
        await until(lambda: world.served("n2", key=b"65535"))

    with_world(work, tmp_path)


def test_service_goes_on_while_the_store_is_down(tmp_path):
    async def work(world):
        await until(lambda: world.served("n1"))
        world.store.down = True
        statuses = []
        for _ in range(30):
            statuses.append((await world.ask("n1", key=b"7")).status)
            await asyncio.sleep(0.05)
        return set(statuses)

    assert with_world(work, tmp_path) == {200}


def test_a_planned_end_answers_what_was_read_and_leaves(tmp_path):
    async def work(world):
        await until(lambda: world.served("n1", path=b"/y/1"))
        world.endpoints[2].work_seconds = 0.5
        asked = asyncio.create_task(world.ask("n1", b"/y/1", b"POST"))
        await asyncio.sleep(0.1)
        world.gateways["n1"]._stop()
        answer = await asked
        assert not await world.ready("n1")
        await asyncio.wait_for(world.runs["n1"], PATIENCE_SECONDS)
        return answer, world.store.spec("arbutusflow", "instance-n1")

    answer, record = with_world(work, tmp_path)
    assert answer.status == 200
    assert not answer.reusable  # The connection ends with the answer.
    assert record is None


def test_an_instance_that_starts_while_the_store_is_down_learns_from_its_peers(
    tmp_path,
):
    """It answered 503 to everything until the store was back."""

    async def work(world):
        await until(lambda: world.served("n1"))
        await until(lambda: world.served("n2"))
        world.runs["n2"].cancel()
        await asyncio.gather(world.runs["n2"], return_exceptions=True)
        for server in (world.gateways["n2"].callers, world.gateways["n2"].readiness):
            server.stop_accepting()
        world.gateways["n2"].membership.peers._transport.close()
        await asyncio.sleep(0)
        world.store.down = True
        await world.add_gateway("n2", ports=world.ports["n2"])
        await until(lambda: world.served("n2"))

    with_world(work, tmp_path)
