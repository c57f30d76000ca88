"""Connections of callers that end with unanswered requests: cause, log and metrics."""

import asyncio

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import CallerConnection
from arbutusflow.gateway.callers.messages import CallerRequest, CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.reference import CONNECTION_ENDS
from arbutusflow.platform import wire
from tests.gateway.fakes import FakeLog, FakeTransport
from tests.gateway.test_whole_path import run_with_cluster
from tests.gateway.virtual_time import run

GET = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"


class _Played:
    """A connection on a fake transport, whose requests are answered on demand."""

    def __init__(self):
        self.ends, self.errors, self.replies = [], [], {}
        self.server = CallerServer(
            self._handle,
            BodyBudget(lambda: 10**6),
            lambda during, exc: self.errors.append((during, exc)),
        )
        self.server.on_end = lambda cause, requests: self.ends.append(
            (cause, [req.target for req in requests])
        )
        self.conn, self.transport = CallerConnection(self.server), FakeTransport()
        self.conn.connection_made(self.transport)

    async def _handle(self, req):
        self.replies[req.target] = asyncio.get_running_loop().create_future()
        return await self.replies[req.target]

    async def receive(self, *data):
        self.conn.data_received(b"".join(data))
        await asyncio.sleep(0.01)

    async def reply(self, target, **changes):
        self.replies[target].set_result(CallerResponse(200, **changes))
        await asyncio.sleep(0.01)


def _play(scenario):
    async def main():
        played = _Played()
        await scenario(played)
        return played

    return run(main())


async def _reset(played):
    await played.receive(GET % b"a", GET % b"b")
    played.conn.connection_lost(ConnectionResetError())


async def _broken_callback(played):
    await played.receive(GET % b"a", GET % b"b")
    played.conn.connection_lost(RuntimeError("a bug"))


async def _closed(played):
    await played.receive(GET % b"a", GET % b"b")
    played.conn.connection_lost(None)


async def _process_ended(played):
    await played.receive(GET % b"a", GET % b"b")
    played.server.report_cut()


@pytest.mark.parametrize(
    ("cause", "scenario"),
    [
        ("caller_reset", _reset),
        ("error", _broken_callback),
        ("closed", _closed),
        ("process_ended", _process_ended),
    ],
)
def test_the_cause_and_the_requests_are_reported(cause, scenario):
    """Guards against connections that end without a line that tells why."""
    assert _play(scenario).ends == [(cause, [b"/a", b"/b"])]
    assert cause in CONNECTION_ENDS


def test_an_error_while_a_response_is_written_is_reported_once():
    """Guards against requests behind a response that cannot be written."""

    async def scenario(played):
        await played.receive(GET % b"a", GET % b"b")

        def write(data):
            raise RuntimeError("a bug")

        played.transport.write = write
        await played.reply(b"/a")
        played.conn.connection_lost(None)

    played = _play(scenario)
    assert played.ends == [("error", [b"/b"])]
    assert played.transport.aborted
    assert "error" in CONNECTION_ENDS


def test_nothing_is_reported_if_all_requests_have_a_response():
    """Guards against lines for each connection that ends as it should."""

    async def scenario(played):
        await played.receive(GET % b"a")
        await played.reply(b"/a")
        played.conn.connection_lost(None)

    assert _play(scenario).ends == []


def test_a_handler_that_is_cancelled_from_within_gets_a_response():
    """Guards against a connection that hangs, because what its handler waits for was
    cancelled by another part of the process."""

    async def scenario(played):
        await played.receive(GET % b"a", GET % b"b")
        played.replies[b"/a"].cancel()
        await asyncio.sleep(0.01)
        await played.reply(b"/b", body=b"second")

    played = _play(scenario)
    assert played.transport.written.startswith(b"HTTP/1.1 500 ")
    assert played.transport.written.endswith(b"second")
    assert [during for during, _ in played.errors] == ["request"]
    assert played.ends == []


def test_the_log_and_the_metrics_name_what_was_passed_on(tmp_path):
    """Guards against lines that do not tell which requests endpoints were running."""

    async def scenario(cluster):
        gateway, log = cluster.gateways["n1"], FakeLog()
        gateway.log.write_rate_limited = log.write
        requests = [
            CallerRequest(b"GET", b"/", [(wire.REQUEST_ID, b"r%d" % n)], b"", 0.0)
            for n in range(3)
        ]
        requests[1].passed_on = True
        gateway.caller_server.on_end("caller_reset", requests)
        return log.events, gateway.metrics.render().decode()

    events, text = run_with_cluster(scenario, tmp_path)
    fields = {"unanswered": 3, "passed_on": 1, "request_ids": ["r1"]}
    assert events == [("connection_ended", {"cause": "caller_reset", **fields})]
    assert 'arbutusflow_connections_ended_total{cause="caller_reset"} 1.0' in text


def test_a_request_that_was_sent_to_an_endpoint_is_marked(tmp_path):
    """Guards against a line that calls a request that endpoints run not passed on."""

    async def scenario(cluster):
        ends, gateway = [], cluster.gateways["n1"]
        gateway.caller_server.on_end = lambda cause, requests: ends.append(
            [req.passed_on for req in requests]
        )
        cluster.endpoints[2].work_seconds = 0.3
        pending = asyncio.create_task(cluster.send_request("n1", b"/y/1", b"POST"))
        await asyncio.sleep(0.15)
        pending.cancel()  # Resets the connection.
        await asyncio.sleep(0.05)
        return ends

    assert run_with_cluster(scenario, tmp_path) == [[True]]
