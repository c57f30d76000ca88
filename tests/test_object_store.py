"""The store of the demo, called by the client of the product."""

import asyncio
import dataclasses
import random
import time

import pytest

from arbutusflow.errors import ConflictError, HistoryGoneError
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.model import Address, StorePoint
from arbutusflow.platform.documents import decode_configuration, decode_endpoint
from arbutusflow.platform.other_side import encode_settings
from arbutusflow.platform.settings import load_settings
from arbutusflow.platform.store import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINTS_KIND,
    StoreClient,
)
from arbutusflow.standins.demo_world import DemoWorld, configuration
from arbutusflow.standins.gateway_fleet import GatewayInstance, Network
from arbutusflow.standins.object_store import ObjectStore
from tests.loopback import free_ports, own_host


def run_with_store(scenario):
    async def main():
        host = own_host()
        (port,) = free_ports(host, 1)
        errors = []
        store = ObjectStore(errors.append)
        await store.server.start(host, port)
        store.address = host, port
        try:
            await scenario(store, StoreClient(Address(host, port)))
        finally:
            store.server.close()
        assert errors == []

    asyncio.run(main())


def test_writes_need_the_revision_that_they_name():
    """Guards against a store in which two planners overwrite each other."""

    async def scenario(_, client):
        first = await client.create("k", "a", {"n": 1})
        with pytest.raises(ConflictError):
            await client.create("k", "a", {"n": 2})
        second = await client.replace("k", "a", {"n": 3}, first.revision)
        with pytest.raises(ConflictError):
            await client.replace("k", "a", {"n": 4}, first.revision)
        with pytest.raises(ConflictError):
            await client.delete("k", "a", first.revision)
        assert (await client.get("k", "a")).spec == {"n": 3}
        await client.delete("k", "a", second.revision)
        assert await client.get("k", "a") is None

    run_with_store(scenario)


def test_a_watch_waits_for_the_next_change_and_tells_removals():
    """Guards against a store that hides changes from the instances."""

    async def scenario(_, client):
        progress = ResponseProgress(1.0)
        item = await client.create("k", "a", 1)
        listed = await client.list("k", 2.0, progress)
        assert [entry.name for entry in listed.objects] == ["a"]
        watch = asyncio.create_task(
            client.watch("k", listed.revision, 5.0, ResponseProgress(6.0), may_lag=True)
        )
        await asyncio.sleep(0.05)
        await client.create("other", "b", 1)
        assert not watch.done()
        await client.delete("k", "a", item.revision)
        found = await watch
        assert [(c.object.name, c.removed) for c in found.changes] == [("a", True)]

    run_with_store(scenario)


def test_the_configuration_and_endpoints_of_the_demo_are_read_as_meant():
    """Guards against a deployment that the product reads differently."""

    async def scenario(store, client):
        cfg = configuration(3, "notices")
        store.put_configuration(cfg)
        item = await client.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        assert decode_configuration(item.spec) == cfg
        world = DemoWorld([], Network("127.0.0"), random.Random(1), print)
        entry = dataclasses.replace(world.endpoints[0].entry, draining=True)
        store.put_endpoint(entry)
        found = await client.get(ENDPOINTS_KIND, entry.id)
        assert decode_endpoint(found.raw) == entry

    run_with_store(scenario)


def test_the_settings_of_an_instance_are_read_as_meant(tmp_path):
    """Guards against instances that run with other settings than the demo says."""
    instance = GatewayInstance(0, "zone-a", Network("127.3.4"), tmp_path)
    path = tmp_path / "settings.toml"
    path.write_text(encode_settings(instance.settings))
    assert load_settings(path) == instance.settings


def test_a_store_that_goes_back_ends_watches_and_tells_its_era_in_each_answer():
    """Guards against a stand-in that hides a drill from what reads its answers."""

    async def scenario(store, client):
        store.state.era = 1
        went_back_at = time.monotonic()
        progress = ResponseProgress(6.0)
        await client.list("k", 2.0, progress)  # It learns the era.
        item = await client.create("k", "a", 1)
        watch = asyncio.create_task(
            client.watch("k", item.revision, 5.0, progress, may_lag=False)
        )
        await asyncio.sleep(0.05)
        store.state.go_back(went_back_at)
        with pytest.raises(HistoryGoneError):
            await watch
        with pytest.raises(HistoryGoneError):
            await client.watch("k", item.revision, 5.0, progress, may_lag=False)
        created = await client.create("k", "b", 1)
        assert created.revision == StorePoint(2, item.revision.number)
        store.state.leave()
        reader, writer = await asyncio.open_connection(*store.address)
        writer.write(b"GET /arbutusflow/objects/k HTTP/1.1\r\nHost: h\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nstore-era: 2\r\n" in head

    run_with_store(scenario)
