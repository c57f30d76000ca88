"""Large bodies: memory budget, and transfer between instances."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
import pytest

from arbutusflow.adapters import peer
from arbutusflow.adapters.caller_http import CallerApplication
from arbutusflow.adapters.endpoint import repr_digest
from arbutusflow.adapters.peer import PeerLink, peer_server
from arbutusflow.adapters.peer_messages import ForwardReply
from arbutusflow.adapters.settings import Address
from arbutusflow.domain.configuration import Configuration, Limits
from arbutusflow.gateway.body_budget import SMALL_BODY_BYTES
from arbutusflow.runtime.traffic import TrafficTask
from tests.loopback import free_ports, own_host
from tests.test_cancellation import CFG, SCOPE, request

BODY = random.Random(8).randbytes(Limits().body_bytes)
MAX_BODY_BYTES = 100_000
SMALL_BUDGET_CFG = Configuration(
    1, CFG.services, Limits(MAX_BODY_BYTES, MAX_BODY_BYTES)
)


class Caller:
    """A caller that sends one request with a body in two parts."""

    def __init__(self, size, content_length_sent):
        header = [(b"content-length", b"%d" % size)] if content_length_sent else []
        self.scope = {**SCOPE, "headers": header}
        self.parts = [b"x" * (size // 2), b"x" * (size - size // 2)]
        self.sent = []

    async def receive(self):
        if not self.parts:
            await asyncio.Event().wait()
        body = self.parts.pop()
        return {"type": "http.request", "body": body, "more_body": bool(self.parts)}

    async def send(self, message):
        self.sent.append(message)


@pytest.mark.parametrize("content_length_sent", [True, False])
def test_bodies_over_the_budget_are_refused_until_others_are_released(
    content_length_sent,
):
    """Guards against concurrent uploads that exhaust the memory."""

    async def run():
        arrived, release = asyncio.Event(), asyncio.Event()

        async def accept(req):
            arrived.set()
            await release.wait()
            return ForwardReply(req.id, "answered", status=200)

        application = CallerApplication(lambda: SMALL_BUDGET_CFG, accept)

        async def upload(size):
            caller = Caller(size, content_length_sent)
            await application(caller.scope, caller.receive, caller.send)
            return caller.sent

        first = asyncio.create_task(upload(60_000))
        await arrived.wait()
        start, body = await upload(60_000)
        problem = msgspec.json.decode(body["body"])
        assert (start["status"], problem["outcome"]) == (429, "not-run")
        assert problem["reason"] == "queue_full"
        assert problem["retry_after_ms"] > 0
        small = asyncio.create_task(upload(SMALL_BODY_BYTES))
        await asyncio.sleep(0)
        assert not small.done(), "the small body was refused"
        release.set()
        assert (await small)[0]["status"] == 200
        assert (await first)[0]["status"] == 200
        assert (await upload(MAX_BODY_BYTES))[0]["status"] == 200

    asyncio.run(run())


def test_coordinator_refuses_forwarded_bodies_over_the_budget():
    """Guards against a coordinator that accepts the uploads of all entry instances."""

    async def run():
        core = SimpleNamespace(cfg=SMALL_BUDGET_CFG, instance="entry-1")
        traffic = TrafficTask(core, None, {}, None)
        assert traffic.body_budget.take(60_000)
        large = msgspec.structs.replace(request("badge-7", 1), body=b"x" * 60_000)
        reply = await traffic.dispatch_forwarded(large)
        assert (reply.outcome, reply.reason) == ("not-run", "queue_full")
        assert traffic.body_budget.held_bytes == 60_000

    asyncio.run(run())


def test_largest_bodies_pass_the_peer_stream_intact_in_bounded_frames(monkeypatch):
    """Guards against truncated bodies and frames with more than one large body."""

    async def run():
        address = Address(own_host(), *free_ports(own_host(), 1))
        frames = []

        def encode(messages, encode=peer.encode_frame):
            frames.append([len(getattr(item, "body", b"")) for item in messages])
            return encode(messages)

        monkeypatch.setattr(peer, "encode_frame", encode)

        async def handler(message):
            digest = repr_digest(message.body).encode()
            return ForwardReply(message.id, "answered", body=digest)

        async with peer_server(address, handler):
            # Pings also use identifiers of the link, so calls must take theirs from it.
            link = PeerLink(address, ping_interval_seconds=0.01)
            uploads = [
                msgspec.structs.replace(request("logo", link.next_id()), body=BODY)
                for _ in range(3)
            ]
            replies = await asyncio.gather(*(link.call(i, 60.0) for i in uploads))
            await link.close()
        assert {reply.body for reply in replies} == {repr_digest(BODY).encode()}
        assert max(sizes.count(len(BODY)) for sizes in frames) == 1

    asyncio.run(run())
