"""Drain notices of endpoints, given in a lease reply or by refusing requests."""

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


class StubEndpointClient:
    """Stub client: lease replies report no drain, requests are refused as draining."""

    incarnation = "one"

    async def renew(self, endpoint, renewal):
        return LeaseReply(self.incarnation, 1.0, 16, (), 0, False, None)

    async def send(self, *request):
        headers = {"arbutus-ran": "no", "arbutus-refusal": "draining"}
        return CurlResponse(503, headers, b"")


def test_draining_refusal_counts_as_notice_until_the_process_exits():
    """Guards against units that stay at an endpoint that refuses their requests."""

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
            may_dispatch=lambda name, now: True,
            dispatch_token=lambda *arguments: Token(16, 1),
        )
        endpoints = StubEndpointClient()
        control = ControlTask(core, None, endpoints, {}, None)
        traffic = TrafficTask(core, endpoints, {}, None)
        traffic.on_endpoint_draining = control.mark_draining
        lease = SendRenewal(ENDPOINT, LeaseRenewal("entry-1", 16), 1)

        async def reported_draining():
            await control._renew_lease(lease)
            return events[-1].reply.draining

        assert not await reported_draining()
        task = asyncio.create_task(traffic.dispatch(request("badge-7", 1)))
        while not control._draining_incarnations:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert await reported_draining()
        endpoints.incarnation = "two"
        assert not await reported_draining(), "the new process was reported as draining"

    asyncio.run(run())


def test_draining_stand_in_refuses_requests_when_it_holds_no_unit():
    """Guards against a stand-in that refuses less than a draining real endpoint."""

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

        path = "/requests/registry/lookup/badge-7"
        await lease(1, add=(UnitGrant(3, 1),))
        await post("/control/drain")
        assert (await post(path))[b"arbutus-ran"] == b"yes", (
            "the endpoint refused a request while it still held the unit"
        )
        assert (await lease(2, drop=(3,))).draining
        assert (await post(path))[b"arbutus-refusal"] == b"draining"

    asyncio.run(run())
