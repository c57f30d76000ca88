"""Evacuations from the store to the endpoints, with real processes' components."""

import asyncio

import pytest

from tests.gateway.test_whole_path import Cluster, run_with_cluster, wait_until

BOUND_SECONDS = 3.0


@pytest.fixture(autouse=True)
def _enable_evacuations(monkeypatch):
    monkeypatch.setattr(Cluster, "evacuation_seconds", BOUND_SECONDS)


class Callers:
    """Callers of all instances, until the end of a `with` block."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.replies = []

    async def _send(self, name, path, key):
        while True:
            reply = await self.cluster.send_request(name, path, b"POST", key)
            self.replies.append((path, reply))
            await asyncio.sleep(0.02)

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self._send(name, path, key))
            for name in ("n1", "n2")
            for path in (b"/x/1", b"/y/1")
            for key in (b"7", b"65535")
        ]
        return self

    async def __aexit__(self, *exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _evacuate(cluster, callers, zone):
    """Return what ran in the zone after the bound, and the answers since then."""
    cluster.store.put("evacuations", zone, {})
    await asyncio.sleep(BOUND_SECONDS)
    there = [e for e in cluster.endpoints if cluster.zones[e.name] in zone]
    before = [len(endpoint.ran) for endpoint in there]
    callers.replies.clear()
    await asyncio.sleep(1.0)
    return [len(e.ran) for e in there] == before, list(callers.replies)


def test_nothing_reaches_an_evacuated_zone_after_the_bound(tmp_path):
    """Guards against requests in an evacuated zone, and against callers without answers
    while another zone has endpoints."""

    async def scenario(cluster):
        cluster.zones = {"i-1": "z", "i-2": "z", "i-3": "z", "i-4": "y", "i-5": "y"}
        await cluster.add_endpoint("i-4", "a", "y")
        await cluster.add_endpoint("i-5", "b", "y")
        for name in ("n1", "n2"):
            await wait_until(lambda name=name: cluster.is_key_served(name))
        async with Callers(cluster) as callers:
            quiet, replies = await _evacuate(cluster, callers, "y")
            assert quiet
            assert {reply.status for _, reply in replies} == {200}
            quiet, replies = await _evacuate(cluster, callers, "z")
            assert quiet
            assert {r.body for _, r in replies} == {b"zone_evacuated\n"}
            waits = {r.header(b"retry-after") for _, r in replies}
            assert waits == {b"1.00"}  # Less than a third of 5 s.
            (first, second) = cluster.gateways["n1"].state().evacuated_zones
            assert (first.zone, first.endpoints, first.endpoints_with_keys) == (
                "y",
                2,
                0,
            )
            assert second.services_only_there == ("a", "b")
            assert second.endpoints_with_keys == 2
            await cluster.add_gateway("n3")  # It learns of old entries.
            assert (await cluster.send_request("n3")).body == b"zone_evacuated\n"
            cluster.store.remove("evacuations", "z")
            for name in ("n1", "n2"):
                await wait_until(
                    lambda name=name: cluster.is_served(name, path=b"/y/1")
                )
                await wait_until(lambda name=name: cluster.is_key_served(name))

    run_with_cluster(scenario, tmp_path)
