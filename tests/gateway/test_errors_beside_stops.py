"""Errors in one part of an instance, which must not silence the other parts."""

import asyncio
import time

import pytest

from arbutusflow.gateway.body_budget import BodyBudget
from arbutusflow.gateway.callers.connection import CallerConnection
from arbutusflow.gateway.callers.messages import CallerResponse
from arbutusflow.gateway.callers.server import CallerServer
from arbutusflow.gateway.lifecycle import Phase
from arbutusflow.platform import settings as platform_settings
from tests.gateway.fakes import FakeLog, FakeTransport, at
from tests.gateway.statement_instance import StatementInstance
from tests.gateway.test_whole_path import (
    WAIT_TIMEOUT_SECONDS,
    run_with_cluster,
    wait_until,
)
from tests.gateway.virtual_time import run

GRACE_SECONDS = 6.0  # Of the instances of the tests.
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def _fail(*args, **kwargs):
    raise RuntimeError("a bug")


def _stop_beside(directory, break_part):
    """Stop an instance with a pending request after `break_part` has been called.

    Returns the status of the request, the seconds that the stop took, and the log.
    """

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", path=b"/y/1"))
        cluster.endpoints[2].work_seconds = 0.25  # Of a time-out of 1.2 s.
        pending = asyncio.create_task(cluster.send_request("n1", b"/y/1", b"POST"))
        await asyncio.sleep(0.1)
        gateway, log = cluster.gateways["n1"], FakeLog()
        gateway.log.write = gateway.log.write_rate_limited = log.write
        break_part(gateway)
        began = time.monotonic()
        gateway._stop()
        response = await pending
        await asyncio.wait_for(cluster.runs["n1"], WAIT_TIMEOUT_SECONDS)
        return response.status, time.monotonic() - began, log.events

    return run_with_cluster(scenario, directory)


def _errors(events):
    return {fields["error"] for name, fields in events if name == "error"}


@pytest.mark.parametrize(
    "component, part",
    [
        ("directory", "expire"),
        ("endpoints", "remove_departed"),
        ("endpoints", "expire_peer_reports"),
        ("fleet_task", "tick"),
        ("fleet_task", "leave"),
        ("caller_server", "stop_accepting"),
        ("caller_server", "close_idle"),
    ],
)
def test_an_error_in_another_part_holds_up_no_stop(component, part, tmp_path):
    """Guards against a stop that SIGKILL ends, because work before it fails."""

    def break_part(gateway):
        setattr(getattr(gateway, component), part, _fail)

    status, seconds, events = _stop_beside(tmp_path, break_part)
    assert status == 200
    assert seconds < GRACE_SECONDS
    assert "RuntimeError" in _errors(events)


def test_settings_that_cannot_be_used_hold_up_no_stop(tmp_path, monkeypatch):
    """Guards against a signal handler that fails before the stop begins."""

    def break_part(gateway):
        monkeypatch.setattr(platform_settings, "load_settings", _fail)
        gateway._path.write_text("changed")

    status, seconds, events = _stop_beside(tmp_path, break_part)
    assert status == 200
    assert seconds < GRACE_SECONDS
    assert "RuntimeError" in _errors(events)


def test_a_settings_file_that_is_nested_without_end_is_rejected(tmp_path):
    """Guards against an error of the parser that is none of its documented ones."""
    path = tmp_path / "settings.toml"
    path.write_text("a = " + "[" * 100_000)
    with pytest.raises(platform_settings.SettingsError):
        platform_settings.load_settings(path)


@pytest.mark.parametrize("part", ["finish", "close_if_idle"])
def test_an_error_at_one_connection_leaves_the_others_no_worse(part):
    """Guards against callers without an answer, because another connection fails."""

    async def main():
        errors = []

        async def wait(req):
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                return CallerResponse(502)

        server = CallerServer(
            wait, BodyBudget(lambda: 10**6), lambda during, exc: errors.append(exc)
        )
        transports = []
        for _ in range(3):
            conn, transport = CallerConnection(server), FakeTransport()
            conn.connection_made(transport)
            transports.append(transport)
            if part == "finish":
                conn.data_received(GET)
        await asyncio.sleep(1.0)
        first = next(iter(server.connections))
        setattr(first, part, _fail)
        server.finish() if part == "finish" else server.close_idle()
        await asyncio.sleep(0.1)
        return errors, [bool(t.written) or t.closed for t in transports]

    errors, served = run(main())
    assert [type(exc) for exc in errors] == [RuntimeError]
    assert sorted(served) == [False, True, True]


def test_a_response_that_cannot_be_written_ends_in_status_500():
    """Guards against a caller that waits for an answer that never comes."""

    async def main():
        errors = []

        async def respond(req):
            return CallerResponse(200, ((b"X", None),))

        server = CallerServer(
            respond, BodyBudget(lambda: 10**6), lambda during, exc: errors.append(exc)
        )
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        conn.data_received(GET)
        await asyncio.sleep(0.1)
        return errors, transport

    errors, transport = run(main())
    assert [type(exc) for exc in errors] == [TypeError]
    assert transport.written.startswith(b"HTTP/1.1 500 ")


def test_an_error_in_the_work_of_the_fleet_keeps_no_instance_from_being_ready():
    """Guards against an instance that stays out of rotation."""

    async def main():
        instance = StatementInstance("a")
        gateway = instance.gateway
        gateway.endpoint_copy.revision = at(1)
        for component, part in (("directory", "expire"), ("fleet_task", "tick")):
            setattr(getattr(gateway, component), part, _fail)
        while gateway._configuration is None:
            await asyncio.sleep(0.01)
        gateway._tick()
        return gateway.lifecycle.phase

    assert asyncio.run(main()) is Phase.READY


@pytest.mark.parametrize(
    "component, part",
    [
        ("followers", "expire"),
        ("fleet", "exclude_unresponsive"),
        ("probes", "check_as_granter"),
        ("relay", "tick"),
    ],
)
def test_an_error_in_a_part_of_the_fleet_holds_up_no_renewal(component, part):
    """Guards against leases that lapse, because work before their renewal fails."""

    async def main():
        task = StatementInstance("a").gateway.fleet_task
        record = task.fleet.own_record
        task.copy.on_change = lambda: None
        task.fleet.records[record.name] = record
        setattr(getattr(task, component), part, _fail)
        renewed = []
        task.leases.tick = lambda services, now: renewed.append(now)
        task.tick(1.0)
        return renewed

    assert asyncio.run(main()) == [1.0]


def test_an_error_while_a_response_is_written_is_reported_and_strands_no_other():
    """Guards against callers that wait without end, and errors that nobody learns of.

    A later response is written or the connection is closed.
    """

    async def main():
        errors = []

        async def respond(req):
            return CallerResponse(200, body=req.target)

        server = CallerServer(
            respond, BodyBudget(lambda: 10**6), lambda during, exc: errors.append(exc)
        )
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        conn, transport = CallerConnection(server), FakeTransport()
        conn.connection_made(transport)
        transport.write = _fail
        conn.data_received(GET * 3)
        await asyncio.sleep(0.1)
        return errors, conn.pending_requests, transport.closed

    errors, pending, closed = run(main())
    assert [type(exc) for exc in errors][:1] == [RuntimeError]
    assert closed or not pending
