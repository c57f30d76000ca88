"""End-to-end tests: two instances, a store and endpoints on loopback addresses.

Guards against errors in the integration of components: wiring, settings, readiness,
graceful shutdown. Waits poll for a state with a long timeout, so that the result does
not depend on the speed of the host.
"""

import asyncio
import contextlib
import dataclasses
import os

import pytest

from arbutusflow.gateway.callers.connection import (
    NEW_CONNECTION_SECONDS,
    CallerConnection,
)
from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.process import Gateway
from arbutusflow.platform import settings as platform_settings
from tests.gateway.fakes import FakeTransport
from tests.gateway.object_platform import SETTINGS, FakeEndpoint, ObjectStore
from tests.gateway.test_documents import CONFIGURATION
from tests.loopback import free_ports, own_host

WAIT_TIMEOUT_SECONDS = 30.0
HOST = own_host()


async def wait_until(condition):
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not await condition():
            await asyncio.sleep(0.05)


class Cluster:
    """Store, endpoints and gateway instances of one test."""

    evacuation_seconds = None  # In the settings.

    def __init__(self, directory):
        self.directory = directory
        self.store = ObjectStore()
        self.ports = {}
        self.endpoints = []
        self.gateways = {}
        self.runs = {}

    async def start(self):
        (self.ports["store"],) = free_ports(HOST, 1)
        await self.store.server.start(HOST, self.ports["store"])
        self.store.put("config", "main", CONFIGURATION)
        for name, service in (("i-1", "a"), ("i-2", "a"), ("i-3", "b")):
            await self.add_endpoint(name, service)
        for name in ("n1", "n2"):
            await self.add_gateway(name)

    async def add_endpoint(self, name, service, zone="z"):
        endpoint = FakeEndpoint(name, partitioned=service == "a")
        (port,) = free_ports(HOST, 1)
        await endpoint.server.start(HOST, port)
        self.endpoints.append(endpoint)
        info = {"service": service, "version": "v", "zone": zone, "slots": 2}
        status = {"state": "ready", "seq": 1, "coldLeftS": 0}
        self.store.put(
            "servers",
            name,
            {"address": f"{HOST}:{port}", "info": info, "status": status, "born": 1},
        )

    async def add_gateway(self, name, ports=None):
        if ports is None:
            ports = dict(
                zip(("front", "ready", "peer"), free_ports(HOST, 3), strict=True)
            )
        self.ports[name] = ports
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                host=HOST,
                zone="z",
                store_host=HOST,
                store=self.ports["store"],
                **ports,
            )
        )
        cfg = platform_settings.load_settings(path)
        # All instances on a host would use the same port for metrics.
        changes = {"metrics_port": None, "evacuation_seconds": self.evacuation_seconds}
        gateway = Gateway(dataclasses.replace(cfg, **changes), path)
        gateway.log._fd = os.open(os.devnull, os.O_WRONLY)
        self.gateways[name] = gateway
        self.runs[name] = asyncio.create_task(gateway.run())
        await wait_until(lambda: self.is_ready(name))

    async def is_ready(self, name):
        with contextlib.suppress(Exception):
            address = Address(HOST, self.ports[name]["ready"])
            conn = await ClientConnection.open(address, 1.0)
            head = b"GET /arbutusflow/ready HTTP/1.1\r\nHost: h\r\n\r\n"
            return (await conn.exchange(head, b"", 1.0)).status == 200
        return False

    async def send_request(self, name, path=b"/x/1", method=b"GET", key=b"7", body=b""):
        address = Address(HOST, self.ports[name]["front"])
        conn = await ClientConnection.open(address, 1.0)
        head = (
            b"%b %b HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
            b"Deadline-Ms: 5000\r\nShard-Key: %b\r\nContent-Length: %d\r\n\r\n"
            % (method, path, id(conn), key, len(body))
        )
        response = await conn.exchange(head, body, 6.0)
        conn.close()
        return response

    async def is_served(self, name, **options):
        return (await self.send_request(name, **options)).status == 200

    async def is_key_served(self, name):
        """Return whether key 7 has an owner.

        A tenth of the route's requests go to a service without keys, so one that is
        served does not show it.
        """
        return all([await self.is_served(name) for _ in range(10)])


def run_with_cluster(scenario, directory):
    async def main():
        cluster = Cluster(directory)
        await cluster.start()
        try:
            return await scenario(cluster)
        finally:
            for task in cluster.runs.values():
                task.cancel()
            await asyncio.gather(*cluster.runs.values(), return_exceptions=True)

    return asyncio.run(main())


@pytest.mark.parametrize("key", [b"7", b"65535"])
def test_keys_are_granted_and_served_by_every_instance(tmp_path, key):
    async def scenario(cluster):
        for name in ("n1", "n2"):
            await wait_until(lambda name=name: cluster.is_served(name, key=key))
        return await cluster.send_request("n1", b"/y/1", b"POST", body=b"logo")

    response = run_with_cluster(scenario, tmp_path)
    assert (response.status, response.body) == (200, b"POST /y/1logo")


def test_an_unknown_path_gets_404_and_a_malformed_key_gets_400(tmp_path):
    async def scenario(cluster):
        return [
            (await cluster.send_request("n1", b"/nowhere")).status,
            (await cluster.send_request("n1", b"/x/1", key=b"x")).status,
        ]

    # A tenth of the route's requests go to a service without keys.
    statuses = run_with_cluster(scenario, tmp_path)
    assert statuses[0] == 404
    assert statuses[1] in (200, 400)


def test_keys_of_a_removed_endpoint_move_to_another(tmp_path):
    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1"))
        await wait_until(lambda: cluster.is_served("n1", key=b"65535"))
        cluster.store.remove("servers", "i-1")

        async def moved():
            ranges = cluster.store.spec("arbutusflow", "keys-a")["ranges"]
            return {part["endpoint"] for part in ranges} == {"i-2"}

        await wait_until(moved)
        await wait_until(lambda: cluster.is_served("n2"))
        await wait_until(lambda: cluster.is_served("n2", key=b"65535"))

    run_with_cluster(scenario, tmp_path)


def test_requests_are_served_while_the_store_is_down(tmp_path):
    async def scenario(cluster):
        await wait_until(lambda: cluster.is_key_served("n1"))
        cluster.store.down = True
        statuses = []
        for _ in range(30):
            statuses.append((await cluster.send_request("n1", key=b"7")).status)
            await asyncio.sleep(0.05)
        return set(statuses)

    assert run_with_cluster(scenario, tmp_path) == {200}


def test_graceful_shutdown_completes_requests_and_deregisters(tmp_path):
    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", path=b"/y/1"))
        cluster.endpoints[2].work_seconds = 0.5
        request_task = asyncio.create_task(cluster.send_request("n1", b"/y/1", b"POST"))
        await asyncio.sleep(0.1)
        cluster.gateways["n1"]._stop()
        response = await request_task
        assert not await cluster.is_ready("n1")
        await asyncio.wait_for(cluster.runs["n1"], WAIT_TIMEOUT_SECONDS)
        return response, cluster.store.spec("arbutusflow", "instance-n1")

    response, record = run_with_cluster(scenario, tmp_path)
    assert response.status == 200
    assert not response.reusable  # The connection is closed after the response.
    assert record is None


def test_requests_read_while_an_instance_deregisters_are_answered(tmp_path):
    """Guards against a planned stop that cuts off requests it has just accepted.

    A connection that was accepted just before the listening socket closed may send its
    request while the record is being removed.
    """

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", path=b"/y/1"))
        cluster.endpoints[2].work_seconds = 0.5
        gateway, transport = cluster.gateways["n1"], FakeTransport()
        leave = gateway.fleet_task.leave

        async def leave_and_read(timeout):
            conn = CallerConnection(gateway.caller_server)
            conn.connection_made(transport)
            conn.data_received(
                b"POST /y/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: late\r\n"
                b"Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
            )
            await leave(timeout)

        gateway.fleet_task.leave = leave_and_read
        gateway._stop()
        await asyncio.wait_for(cluster.runs["n1"], WAIT_TIMEOUT_SECONDS)
        return transport.written

    assert run_with_cluster(scenario, tmp_path).startswith(b"HTTP/1.1 200 ")


def test_a_connection_accepted_during_a_stop_gets_time_to_send_its_request(tmp_path):
    """Guards against a reset of a request that is on its way to a new connection."""

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", path=b"/y/1"))
        server, transport = cluster.gateways["n1"].caller_server, FakeTransport()
        server.close_after_responses()
        CallerConnection(server).connection_made(transport)
        server.close_idle()
        closed_at_once = transport.closed
        await asyncio.sleep(2 * NEW_CONNECTION_SECONDS)
        server.close_idle()
        return closed_at_once, transport.closed

    assert run_with_cluster(scenario, tmp_path) == (False, True)


def test_an_instance_started_while_the_store_is_down_gets_its_state_from_peers(
    tmp_path,
):
    """Guards against 503 to all requests until the store is reachable again."""

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1"))
        await wait_until(lambda: cluster.is_served("n2"))
        cluster.runs["n2"].cancel()
        await asyncio.gather(cluster.runs["n2"], return_exceptions=True)
        for server in (
            cluster.gateways["n2"].caller_server,
            cluster.gateways["n2"].readiness_server,
        ):
            server.stop_accepting()
        cluster.gateways["n2"].fleet_task.peers._transport.close()
        await asyncio.sleep(0)
        cluster.store.down = True
        await cluster.add_gateway("n2", ports=cluster.ports["n2"])
        await wait_until(lambda: cluster.is_served("n2"))

    run_with_cluster(scenario, tmp_path)


def test_callers_notice_nothing_when_the_store_comes_back_from_an_older_copy(tmp_path):
    """Guards against keys without an owner, and against the restored configuration."""

    async def scenario(cluster):
        for name in ("n1", "n2"):
            await wait_until(lambda name=name: cluster.is_key_served(name))
        copy = cluster.store.keep_copy()
        version = CONFIGURATION["version"] + 1
        cluster.store.put("config", "main", CONFIGURATION | {"version": version})

        async def has_version():
            return all(
                g.state().configuration == version for g in cluster.gateways.values()
            )

        await wait_until(has_version)
        events = []
        for gateway in cluster.gateways.values():
            gateway.log.write = lambda event, /, **fields: events.append(event)
        cluster.store.go_back(copy)
        statuses = set()
        for _ in range(60):
            statuses.add((await cluster.send_request("n1")).status)
            await asyncio.sleep(0.1)
        eras = {g.store.era.current for g in cluster.gateways.values()}
        return statuses, eras, await has_version(), set(events)

    statuses, eras, has_version, events = run_with_cluster(scenario, tmp_path)
    assert (statuses, eras, has_version) == ({200}, {1}, True)
    assert events >= {"store_era", "configuration_kept", "key_table_reconciled"}
