"""Endpoints that say that they drain, in a lease reply or by refusing work."""

import asyncio
from types import SimpleNamespace

import msgspec

from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Kind,
    Rank,
    Service,
)
from arbutusflow.domain.ownership_messages import SendRenewal
from arbutusflow.domain.records import LeaseRenewal, LeaseReply, Token, UnitGrant
from arbutusflow.runtime.control import ControlTask
from arbutusflow.runtime.curl_loop import CurlResponse
from arbutusflow.runtime.traffic import TrafficTask
from arbutusflow.standins.endpoint_server import EndpointStandIn
from tests.test_cancellation import request

ENDPOINT = Endpoint("registry-1", "zone-a", "127.0.0.1", 1)
CFG = Configuration(
    1, (Service("registry", (Kind("lookup", Rank.URGENT, True),), (ENDPOINT,)),)
)


class Endpoints:
    """Reports no drain, whatever work it refuses."""

    incarnation = "one"

    async def renew(self, endpoint, renewal):
        return LeaseReply(self.incarnation, 1.0, 16, (), 0, False, None)

    async def run(self, *work):
        headers = {"arbutus-ran": "no", "arbutus-refusal": "draining"}
        return CurlResponse(503, headers, b"")


def test_refusal_of_work_counts_as_notice_until_the_process_ends():
    """Guards against units that stay where work is refused as draining."""

    async def run():
        events = []
        core = SimpleNamespace(
            cfg=CFG,
            instance="entry-1",
            zone="zone-a",
            records={},
            tables={},
            handle=lambda event, now: events.append(event) or [],
            owner_of=lambda service, unit: ENDPOINT.name,
            is_coordinating=lambda name: True,
            lease_held=lambda name, now: True,
            dispatch_token=lambda *ask: Token(16, 1),
        )
        endpoints = Endpoints()
        control = ControlTask(core, None, endpoints, {}, None)
        traffic = TrafficTask(core, endpoints, {}, None)
        traffic.endpoint_drains = control.endpoint_drains
        lease = SendRenewal(ENDPOINT, LeaseRenewal("entry-1", 16), 1)

        async def reported():
            await control._send_lease(lease)
            return events[-1].reply.draining

        assert not await reported()
        task = asyncio.create_task(traffic.dispatch(request("badge-7", 1)))
        while not control._draining:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert await reported()
        endpoints.incarnation = "two"
        assert not await reported(), "a new process does not drain"

    asyncio.run(run())


def test_stand_in_refuses_work_once_it_drains_and_holds_no_unit():
    """Guards against a stand-in that runs work which a real endpoint refuses."""

    async def run():
        endpoint = EndpointStandIn("registry-1", 1, 0.0, checks_tokens=False)
        sent = []

        async def post(path, value=b""):
            async def receive():
                return {"type": "http.request", "body": value}

            async def send(message):
                sent.append(message)

            await endpoint({"raw_path": path.encode(), "headers": []}, receive, send)
            return dict(sent[-2]["headers"])

        async def lease(number, **changes):
            renewal = LeaseRenewal(
                "entry-1", 16, endpoint._lease.incarnation, number=number, **changes
            )
            await post("/control/lease", msgspec.json.encode(renewal))
            return msgspec.json.decode(sent[-1]["body"], type=LeaseReply)

        work = "/requests/registry/lookup/badge-7"
        await lease(1, add=(UnitGrant(3, 1),))
        await post("/control/drain")
        assert (await post(work))[b"arbutus-ran"] == b"yes", "its unit is still there"
        assert (await lease(2, drop=(3,))).draining
        assert (await post(work))[b"arbutus-refusal"] == b"draining"

    asyncio.run(run())
