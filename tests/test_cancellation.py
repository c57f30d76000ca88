"""Cancellation of a request, at each hop that waits for it, when its caller leaves."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec

from arbutusflow.adapters.caller_http import CallerApplication
from arbutusflow.adapters.peer import PeerLink, peer_server
from arbutusflow.adapters.peer_messages import ForwardReply, ForwardRequest
from arbutusflow.adapters.settings import Address
from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Kind,
    Rank,
    Service,
)
from arbutusflow.domain.reasons import RefusalReason
from arbutusflow.domain.records import Token
from arbutusflow.runtime.curl_loop import CurlResponse
from arbutusflow.runtime.traffic import TrafficTask
from arbutusflow.standins.endpoint_server import EndpointStandIn
from tests.loopback import free_ports, own_host

ENDPOINT = Endpoint("registry-1", "zone-a", "127.0.0.1", 1, slots=1)
CFG = Configuration(
    1, (Service("registry", (Kind("lookup", Rank.URGENT, True),), (ENDPOINT,)),)
)
SCOPE = {
    "type": "http",
    "method": "POST",
    "scheme": "http",
    "server": ("127.0.0.1", 80),
    "path": "/v1/registry/lookup/badge-7",
    "raw_path": b"/v1/registry/lookup/badge-7",
    "query_string": b"",
    "headers": [],
}


def test_request_is_cancelled_when_its_caller_leaves():
    """Guards against requests that keep running after their callers disconnected."""

    async def run():
        disconnected, accepted = asyncio.Event(), asyncio.Event()
        messages = [{"type": "http.request", "body": b""}]
        events, sent = [], []

        async def receive():
            if messages:
                return messages.pop()
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def accept(req):
            accepted.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                events.append("cancelled")
                raise

        async def send(message):
            sent.append(message)

        application = CallerApplication(lambda: CFG, accept, events.append)
        task = asyncio.create_task(application(SCOPE, receive, send))
        await accepted.wait()
        disconnected.set()
        await task
        assert events == ["cancelled", RefusalReason.CALLER_LEFT]
        assert not sent

    asyncio.run(run())


def test_caller_that_stays_connected_gets_its_answer():
    """Guards against a disconnect check that cancels a request being answered."""

    async def run():
        messages = [{"type": "http.request", "body": b""}]
        sent = []

        async def receive():
            return messages.pop() if messages else await asyncio.Event().wait()

        async def accept(req):
            await asyncio.sleep(0)
            return ForwardReply(req.id, "answered", status=200, body=b"ok")

        async def send(message):
            sent.append(message)

        await CallerApplication(lambda: CFG, accept)(SCOPE, receive, send)
        assert sent[-1]["body"] == b"ok"

    asyncio.run(run())


class FakeEndpointClient:
    """Fake endpoint client that answers requests once `answer` is set."""

    def __init__(self):
        self.sent_keys, self.cancelled = [], []
        self.answer = asyncio.Event()

    async def send(self, endpoint, req, *rest):
        self.sent_keys.append(req.key)
        await self.answer.wait()
        return CurlResponse(200, {}, b"ok")

    async def cancel(self, endpoint, request_id):
        self.cancelled.append(request_id)


def request(key, number):
    request_id = f"0198c5b8-7e6a-7000-8000-0123456789a{number}"
    return ForwardRequest(
        number, "registry", "lookup", key, "POST", b"", "", request_id, "shop", 60_000
    )


def test_coordinator_drops_queued_and_cancels_sent_requests():
    """Guards against dispatching requests whose callers have left."""

    async def run():
        core = SimpleNamespace(
            cfg=CFG,
            instance="entry-1",
            owner_of=lambda service, unit: ENDPOINT.name,
            is_coordinating=lambda name: True,
            may_dispatch=lambda name, now: True,
            dispatch_token=lambda *arguments: Token(16, 1),
        )
        endpoints = FakeEndpointClient()
        traffic = TrafficTask(core, endpoints, {}, None)
        tasks = [
            asyncio.create_task(traffic.dispatch(request(key, number)))
            for number, key in enumerate(("sent", "queued", "last"))
        ]
        while not endpoints.sent_keys:
            await asyncio.sleep(0)
        sent, queued, last = tasks
        queued.cancel()
        sent.cancel()
        await asyncio.gather(queued, sent, return_exceptions=True)
        while not endpoints.cancelled:
            await asyncio.sleep(0)
        endpoints.answer.set()
        assert (await last).outcome == "answered"
        assert endpoints.sent_keys == ["sent", "last"]
        assert endpoints.cancelled == [request("sent", 0).request_id]

    asyncio.run(run())


def test_endpoint_drops_a_cancelled_request_that_waits_for_a_slot():
    """Guards against a stand-in that runs a cancelled request."""

    async def run():
        endpoint = EndpointStandIn("registry-1", 1, 0.0, checks_tokens=False)
        await endpoint._slots.acquire()
        answers = {}

        async def post(path, request_id=""):
            async def receive():
                return {"type": "http.request", "body": b""}

            async def send(message):
                answers.setdefault(path, []).append(message)

            headers = [(b"arbutus-request-id", request_id.encode())]
            await endpoint(
                {"raw_path": path.encode(), "headers": headers}, receive, send
            )

        request_task = asyncio.create_task(
            post("/requests/registry/lookup/badge-7", "id-1")
        )
        while not endpoint._waiting:
            await asyncio.sleep(0)
        await post("/control/cancel/id-1")
        await request_task
        await post("/control/cancel/id-2")
        headers = dict(answers["/requests/registry/lookup/badge-7"][0]["headers"])
        assert headers[b"arbutus-ran"] == b"no"
        assert headers[b"arbutus-refusal"] == b"cancelled"
        replies = [
            msgspec.json.decode(answers[f"/control/cancel/id-{number}"][-1]["body"])
            for number in (1, 2)
        ]
        assert replies == [{"cancelled": True}, {"cancelled": False}]
        assert not endpoint._log

    asyncio.run(run())


def test_cancellation_is_forwarded_to_the_coordinator():
    """Guards against a coordinator that ignores the cancel message of the entry hop."""

    async def run():
        address = Address(own_host(), *free_ports(own_host(), 1))
        arrived, cancelled = asyncio.Event(), asyncio.Event()

        async def handler(message):
            arrived.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        core = SimpleNamespace(
            cfg=CFG,
            instance="entry-1",
            owner_of=lambda service, unit: ENDPOINT.name,
            coordinator_of=lambda name: "entry-2",
        )
        async with peer_server(address, handler):
            link = PeerLink(address)
            traffic = TrafficTask(core, FakeEndpointClient(), {"entry-2": link}, None)
            task = asyncio.create_task(traffic.accept(request("badge-7", 1)))
            await arrived.wait()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            await cancelled.wait()
            await link.close()
        assert traffic.in_flight == 0

    asyncio.run(run())
