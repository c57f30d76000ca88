"""Evacuations from the store to the endpoints, with real processes' components."""

import asyncio

from tests.gateway.test_whole_path import Cluster, run_with_cluster, wait_until

BOUND_SECONDS = 3.0


async def _send_all(cluster, replies):
    """Send requests of each kind to all instances, one after the other."""
    while True:
        for name in ("n1", "n2"):
            for path, key in ((b"/x/1", b"7"), (b"/x/1", b"65535"), (b"/y/1", b"7")):
                replies.append(await cluster.send_request(name, path, b"POST", key))


async def _evacuate(cluster, replies, zone, endpoints):
    """Evacuate a zone; return the reasons after the bound, and what instances know.

    None of the requests ran there.
    """
    # Its content does not matter.
    cluster.store.put("evacuations", zone, ["no document"])
    await asyncio.sleep(BOUND_SECONDS)
    ran = [len(endpoint.ran) for endpoint in endpoints]
    replies.clear()
    await asyncio.sleep(1.0)
    assert [len(endpoint.ran) for endpoint in endpoints] == ran
    states = [g.state().evacuated_zones[-1] for g in cluster.gateways.values()]
    return {b"" if r.status == 200 else r.body for r in replies}, states


def test_nothing_reaches_an_evacuated_zone_after_the_bound(tmp_path, monkeypatch):
    """Guards against requests in an evacuated zone, and against refusals while another
    zone has endpoints."""

    async def scenario(cluster):
        await cluster.add_endpoint("i-4", "a", "y")
        await cluster.add_endpoint("i-5", "b", "y")
        for name in ("n1", "n2"):
            await wait_until(lambda name=name: cluster.is_key_served(name))
        replies, endpoints = [], cluster.endpoints
        callers = asyncio.create_task(_send_all(cluster, replies))
        reasons, states = await _evacuate(cluster, replies, "y", endpoints[3:])
        assert b"" in reasons
        assert b"zone_evacuated\n" not in reasons
        assert [state.endpoints_with_keys for state in states] == [0, 0]
        reasons, states = await _evacuate(cluster, replies, "z", endpoints)
        assert reasons == {b"zone_evacuated\n"}
        assert {state.services_only_there for state in states} == {("a", "b")}
        assert {r.header(b"retry-after") for r in replies} == {b"1.00"}
        await cluster.add_gateway("n3")  # It learns of old entries.
        assert (await cluster.send_request("n3")).body == b"zone_evacuated\n"
        cluster.store.remove("evacuations", "z")
        for name in ("n1", "n2"):
            await wait_until(lambda name=name: cluster.is_key_served(name))
        callers.cancel()

    monkeypatch.setattr(Cluster, "evacuation_seconds", BOUND_SECONDS)
    run_with_cluster(scenario, tmp_path)
