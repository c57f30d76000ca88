"""Callers that leave: their requests end at every hop that still waits."""

import asyncio
import contextlib
import socket
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


def test_caller_that_leaves_cancels_its_request():
    """Guards against work for callers that no longer wait."""

    async def run():
        left, accepted = asyncio.Event(), asyncio.Event()
        messages = [{"type": "http.request", "body": b""}]
        seen, sent = [], []

        async def receive():
            if messages:
                return messages.pop()
            await left.wait()
            return {"type": "http.disconnect"}

        async def accept(req):
            accepted.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                seen.append("cancelled")
                raise

        async def send(message):
            sent.append(message)

        application = CallerApplication(lambda: CFG, accept, seen.append)
        task = asyncio.create_task(application(SCOPE, receive, send))
        await accepted.wait()
        left.set()
        await task
        assert seen == ["cancelled", RefusalReason.CALLER_LEFT]
        assert not sent

    asyncio.run(run())


def test_caller_that_stays_gets_its_answer():
    """Guards against a watch for the caller that ends an answered request."""

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


class Endpoints:
    """Takes work and answers only when the test says so."""

    def __init__(self):
        self.ran, self.cancelled = [], []
        self.answer = asyncio.Event()

    async def run(self, endpoint, work, *rest):
        self.ran.append(work.key)
        await self.answer.wait()
        return CurlResponse(200, {}, b"ok")

    async def cancel(self, endpoint, request_id):
        self.cancelled.append(request_id)


def request(key, number):
    request_id = f"0198c5b8-7e6a-7000-8000-0123456789a{number}"
    return ForwardRequest(
        number, "registry", "lookup", key, "POST", b"", "", request_id, "shop", 60_000
    )


def test_coordinator_drops_queued_work_and_tells_the_endpoint_of_sent_work():
    """Guards against dispatching what nobody waits for."""

    async def run():
        core = SimpleNamespace(
            cfg=CFG,
            instance="entry-1",
            owner_of=lambda service, unit: ENDPOINT.name,
            is_coordinating=lambda name: True,
            lease_held=lambda name, now: True,
            dispatch_token=lambda *ask: Token(16, 1),
        )
        endpoints = Endpoints()
        traffic = TrafficTask(core, endpoints, {}, None)
        started = [
            asyncio.create_task(traffic.dispatch(request(key, number)))
            for number, key in enumerate(("sent", "queued", "last"))
        ]
        while not endpoints.ran:
            await asyncio.sleep(0)
        sent, queued, last = started
        queued.cancel()
        sent.cancel()
        await asyncio.gather(queued, sent, return_exceptions=True)
        while not endpoints.cancelled:
            await asyncio.sleep(0)
        endpoints.answer.set()
        assert (await last).outcome == "answered"
        assert endpoints.ran == ["sent", "last"]
        assert endpoints.cancelled == [request("sent", 0).request_id]

    asyncio.run(run())


def test_endpoint_ends_a_cancelled_request_that_waits_for_a_slot():
    """Guards against a stand-in that runs what it was told to drop."""

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

        work = asyncio.create_task(post("/requests/registry/lookup/badge-7", "id-1"))
        while not endpoint._waiting:
            await asyncio.sleep(0)
        await post("/control/cancel/id-1")
        await work
        await post("/control/cancel/id-2")
        headers = dict(answers["/requests/registry/lookup/badge-7"][0]["headers"])
        assert headers[b"arbutus-ran"] == b"no"
        assert headers[b"arbutus-refusal"] == b"cancelled"
        told = [
            msgspec.json.decode(answers[f"/control/cancel/id-{number}"][-1]["body"])
            for number in (1, 2)
        ]
        assert told == [{"cancelled": True}, {"cancelled": False}]
        assert not endpoint._log

    asyncio.run(run())


def test_cancellation_reaches_the_coordinator_over_the_peer_stream():
    """Guards against a coordinator that ignores the message of the entry hop."""

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = Address(*free.getsockname())
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
            traffic = TrafficTask(core, Endpoints(), {"entry-2": link}, None)
            task = asyncio.create_task(traffic.accept(request("badge-7", 1)))
            await arrived.wait()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            await cancelled.wait()
            await link.close()
        assert traffic.in_flight == 0

    asyncio.run(run())
