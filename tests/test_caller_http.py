"""Invalid requests get a 4xx response with a stable reason and do not run.

The tests pass bytes directly to the protocol, on an event loop with a simulated
clock, so no test opens a socket or waits.
"""

import asyncio
import base64
import hashlib

import msgspec
import pytest
import uvicorn
from uvicorn.server import ServerState

from arbutusflow.adapters.caller_http import CallerApplication
from arbutusflow.adapters.caller_protocol import make_protocol_class
from arbutusflow.adapters.peer_messages import ForwardReply
from arbutusflow.adapters.settings import CallerLimits
from arbutusflow.domain.configuration import (
    Configuration,
    Kind,
    Limits,
    Rank,
    Service,
)
from arbutusflow.domain.reasons import RefusalReason

CFG = Configuration(
    1,
    (
        Service(
            "registry",
            (Kind("lookup", Rank.URGENT, True), Kind("issue", Rank.URGENT, False)),
        ),
    ),
    Limits(body_bytes=1024),
)
LIMITS = CallerLimits(header_bytes=1024, header_count=8, connections=2, receive_ms=500)
REQUEST_ID = "0198c5b8-7e6a-7000-8000-0123456789ab"
DIGEST = base64.b64encode(hashlib.sha256(b"hello").digest()).decode()


class Transport(asyncio.Transport):
    """Records what a connection writes."""

    def __init__(self, loop):
        super().__init__()
        self.loop, self.sent, self.closed, self.protocol = loop, b"", False, None

    def write(self, data):
        self.sent += data

    def close(self):
        if not self.closed:
            self.closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only when a test calls `advance`."""

    now = 0.0

    def time(self):
        return self.now

    def advance(self, seconds=0.0):
        self.now += seconds

        async def run_pending_callbacks():
            for _ in range(20):
                await asyncio.sleep(0)

        self.run_until_complete(run_pending_callbacks())


class Instance:
    """Caller side of one entry instance, with an endpoint controlled by the test."""

    def __init__(self):
        self.loop = SimulatedLoop()
        self.ran = []
        self.refusals = []
        self.hold = None
        self.cancelled = 0
        app = CallerApplication(lambda: CFG, self.accept, self.refusals.append)
        self.cfg = uvicorn.Config(app, lifespan="off", log_config=None)
        self.cfg.load()
        self.state = ServerState()
        self.protocol = make_protocol_class(LIMITS, self.refusals.append)

    async def accept(self, req):
        self.ran.append(req)
        if self.hold is not None:
            try:
                await self.hold.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return ForwardReply(0, "answered", status=200, body=b"answer")

    def connect(self):
        transport = Transport(self.loop)
        conn = self.protocol(self.cfg, self.state, {}, _loop=self.loop)
        transport.protocol = conn
        conn.connection_made(transport)
        return conn, transport

    def send(self, *chunks):
        """Send bytes on a new connection and return its transport."""
        conn, transport = self.connect()
        for chunk in chunks:
            conn.data_received(chunk)
            self.loop.advance()
        return transport


@pytest.fixture
def instance():
    entry_instance = Instance()
    yield entry_instance
    entry_instance.loop.close()


def request(target="registry/lookup/k", method="POST", headers=(), body=b""):
    length = f"Content-Length: {len(body)}"
    lines = [f"{method} /v1/{target} HTTP/1.1", "Host: h", length, *headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def parse_response(sent):
    """Return status, outcome, reason and JSON body of the first response."""
    head, _, body = sent.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    problem = msgspec.json.decode(body[: int(headers["content-length"])])
    assert headers["arbutus-outcome"] == problem["outcome"]
    assert headers["arbutus-reason"] == problem["reason"]
    return int(lines[0].split()[1]), problem["outcome"], problem["reason"], problem


INVALID_REQUESTS = {
    "no http": (b"\x16\x03\x01 hello\r\n\r\n", 400, "bad_request"),
    "method": (request(method="DELETE"), 405, "bad_request"),
    "path": (request("registry/lookup"), 404, "bad_request"),
    "empty key": (request("registry/lookup/"), 404, "bad_request"),
    "key encoding": (request("registry/lookup/%ff"), 400, "bad_request"),
    "service": (request("nowhere/lookup/k"), 400, "unknown_service"),
    "kind": (request("registry/burn/k"), 400, "unknown_kind"),
    "no identifier": (request("registry/issue/k"), 400, "request_id_missing"),
    "identifier": (
        request(headers=("Arbutus-Request-Id: 7",)),
        400,
        "request_id_invalid",
    ),
    "identifier of version 4": (
        request(headers=("Arbutus-Request-Id: 0198c5b8-7e6a-4000-8000-0123456789ab",)),
        400,
        "request_id_invalid",
    ),
    "two identifiers": (
        request(headers=(f"Arbutus-Request-Id: {REQUEST_ID}",) * 2),
        400,
        "bad_request",
    ),
    "deadline 0": (request(headers=("Arbutus-Deadline-Ms: 0",)), 400, "bad_request"),
    "deadline text": (
        request(headers=("Arbutus-Deadline-Ms: 1e3",)),
        400,
        "bad_request",
    ),
    "deadline too many digits": (
        request(headers=("Arbutus-Deadline-Ms: " + "9" * 900,)),
        400,
        "bad_request",
    ),
    "caller name": (
        request(headers=("Arbutus-Caller: caf\xe9",)),
        400,
        "bad_request",
    ),
    "caller name length": (
        request(headers=("Arbutus-Caller: " + "c" * 256,)),
        400,
        "bad_request",
    ),
    "content type": (request(headers=("Content-Type: \xe9",)), 400, "bad_request"),
    "digest": (
        request(headers=(f"Repr-Digest: sha-256=:{DIGEST}:",), body=b"hullo"),
        400,
        "upload_incomplete",
    ),
    "digest algorithm": (
        request(headers=("Repr-Digest: md5=:AAAA:",), body=b"hello"),
        400,
        "bad_request",
    ),
    "declared size": (
        b"PUT /v1/registry/lookup/k HTTP/1.1\r\nContent-Length: 1025\r\n\r\n",
        413,
        "body_too_large",
    ),
    "chunked size": (
        b"PUT /v1/registry/lookup/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"401\r\n" + b"x" * 1025 + b"\r\n",
        413,
        "body_too_large",
    ),
    "malformed chunk": (
        b"PUT /v1/registry/lookup/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"zz\r\n",
        400,
        "bad_request",
    ),
    "length twice": (
        b"PUT /v1/registry/lookup/k HTTP/1.1\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        400,
        "bad_request",
    ),
    "header size": (
        request(headers=("X: " + "x" * 1025,)),
        431,
        "headers_too_large",
    ),
    "request line size": (request("registry/lookup/" + "k" * 1025), 431, None),
    "header count": (request(headers=("X: 1",) * 9), 431, "headers_too_large"),
    "trailers": (
        b"PUT /v1/registry/lookup/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\na\r\n0\r\n" + b"T: t\r\n" * 9 + b"\r\n",
        431,
        "headers_too_large",
    ),
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_invalid_request_gets_its_status_and_reason_and_does_not_run(instance, name):
    """Guards against a 500, a missing reason, or a bad request that runs anyway."""
    data, status, reason = INVALID_REQUESTS[name]
    transport = instance.send(data)
    actual_status, outcome, actual_reason, problem = parse_response(transport.sent)
    reason = reason or "headers_too_large"
    assert (actual_status, outcome, actual_reason) == (status, "not-run", reason)
    assert problem["detail"]
    assert instance.ran == []
    assert instance.refusals == [RefusalReason(reason)]


def test_valid_request_is_forwarded_with_its_content(instance):
    headers = (f"Arbutus-Request-Id: {REQUEST_ID}", "Arbutus-Caller: shop")
    digest = f"Repr-Digest: sha-512=:AAAA:, sha-256=:{DIGEST}:"
    data = request("registry/issue/a%2Fb", headers=(*headers, digest), body=b"hello")
    transport = instance.send(data[:30], data[30:])
    assert b"arbutus-outcome: answered" in transport.sent
    (req,) = instance.ran
    assert (req.key, req.body, req.caller) == ("a/b", b"hello", "shop")


def test_spellings_of_a_request_id_are_equal(instance):
    """Guards against a resend that runs again because its ID is in upper case."""
    texts = (REQUEST_ID, REQUEST_ID.upper(), f"{{{REQUEST_ID}}}")
    headers = [f"Arbutus-Request-Id: {text}" for text in texts]
    instance.send(*(request(headers=(line,)) for line in headers))
    assert [req.request_id for req in instance.ran] == [REQUEST_ID] * 3


def test_header_that_never_ends_is_refused(instance):
    """Guards against unbounded memory use by a header that never ends."""
    chunks = [b"GET /v1/registry/lookup/k HTTP/1.1\r\nX: ", *[b"x" * 300] * 8]
    transport = instance.send(*chunks)
    assert parse_response(transport.sent)[0] == 431
    assert transport.closed


def test_upload_size_does_not_count_as_header_size(instance):
    """Guards against counting a large body as headers of the next request."""
    first = request(body=b"x" * 1024)
    second = request("registry/lookup/second")
    transport = instance.send(first + second[:20], second[20:])
    assert transport.sent.count(b"arbutus-outcome: answered") == 2
    assert not transport.closed


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"GET /v1/reg", "bad_request"),
        (request(body=b"hello")[:-1], "upload_incomplete"),
    ],
)
def test_request_that_does_not_arrive_in_time_is_refused(instance, data, reason):
    """Guards against connections that slow callers keep open forever."""
    transport = instance.send(data)
    instance.loop.advance(0.49)
    assert transport.sent == b""
    instance.loop.advance(0.02)
    assert parse_response(transport.sent)[:3] == (408, "not-run", reason)
    assert transport.closed
    assert instance.ran == []


def test_connection_without_a_request_is_closed(instance):
    transport = instance.send()
    instance.loop.advance(0.51)
    assert (transport.sent, transport.closed) == (b"", True)


def test_receive_timeout_stops_at_the_last_byte(instance):
    """Guards against closing the connection of a request that awaits its endpoint."""
    instance.hold = asyncio.Event()
    transport = instance.send(request())
    instance.loop.advance(10)
    assert not transport.closed
    instance.hold.set()
    instance.loop.advance()
    assert b"arbutus-outcome: answered" in transport.sent


def test_connection_over_the_limit_is_refused_and_others_keep_working(instance):
    open_connections = [instance.connect() for _ in range(LIMITS.connections)]
    refused = instance.send(request())
    assert parse_response(refused.sent)[:3] == (429, "not-run", "queue_full")
    assert refused.closed
    conn, transport = open_connections[0]
    conn.data_received(request())
    instance.loop.advance()
    assert b"arbutus-outcome: answered" in transport.sent
    assert len(instance.ran) == 1


@pytest.mark.parametrize(
    "second",
    [
        b"\x16\x03\x01\r\n\r\n",
        request(headers=("X: 1",) * 9),
        INVALID_REQUESTS["malformed chunk"][0],
    ],
)
def test_refusal_is_not_sent_before_the_response_of_an_earlier_request(
    instance, second
):
    """Guards against a caller that reads "not-run" for a request that is running.

    The second request on the connection is invalid while the first one runs. A refusal
    sent at once would be taken for the response to the first request.
    """
    instance.hold = asyncio.Event()
    transport = instance.send(request(), second)
    assert transport.sent == b""
    instance.hold.set()
    instance.loop.advance()
    assert transport.sent.count(b"HTTP/1.1 ") == 1
    assert b"arbutus-outcome: answered" in transport.sent
    assert transport.closed
    assert len(instance.ran) == 1


def test_disconnect_of_the_caller_cancels_its_request(instance):
    """Guards against endpoints that keep running requests of disconnected callers."""
    instance.hold = asyncio.Event()
    transport = instance.send(request())
    assert instance.cancelled == 0
    transport.close()
    instance.loop.advance()
    assert (len(instance.ran), instance.cancelled) == (1, 1)
    assert instance.refusals == [RefusalReason.CALLER_LEFT]


def test_refusal_has_a_retry_after_header(instance):
    async def shed(req):
        return ForwardReply(0, "not-run", "queue_full", status=429, retry_after_ms=1200)

    instance.cfg.loaded_app = CallerApplication(lambda: CFG, shed)
    transport = instance.send(request())
    assert parse_response(transport.sent)[3]["retry_after_ms"] == 1200
    assert b"\r\nretry-after: 2\r\n" in transport.sent


def test_internal_error_is_an_unknown_outcome(instance):
    """Guards against an error response without an outcome once a request was sent."""

    async def fail(req):
        raise RuntimeError("fault")

    instance.cfg.loaded_app = CallerApplication(lambda: CFG, fail)
    transport = instance.send(request())
    assert parse_response(transport.sent)[:2] == (504, "unknown")


def test_response_is_written_in_one_call(instance):
    """Guards against separate system calls for the head and body of a response."""
    conn, transport = instance.connect()
    writes = []
    transport.write = writes.append
    conn.data_received(request())
    instance.loop.advance()
    assert len(writes) == 1
    assert writes[0].endswith(b"\r\n\r\nanswer")


def test_large_body_is_written_unchanged_after_its_head(instance):
    """Guards against reordered writes when a body is not coalesced with its head."""
    body = b"x" * 100_000

    async def accept(req):
        return ForwardReply(0, "answered", status=200, body=body)

    instance.cfg.loaded_app = CallerApplication(lambda: CFG, accept)
    transport = instance.send(request())
    assert transport.sent.startswith(b"HTTP/1.1 200")
    assert transport.sent.endswith(b"\r\n\r\n" + body)
