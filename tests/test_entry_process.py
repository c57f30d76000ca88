"""Entry process: settings, log, cancellation, lost zones and listening sockets."""

import asyncio
import dataclasses
import json
import socket
import types

import eliot
import msgspec
import pytest

from arbutusflow.adapters import logs
from arbutusflow.adapters.log_level import Level
from arbutusflow.adapters.peer import PeerService
from arbutusflow.adapters.peer_messages import (
    CancelRequest,
    ForwardReply,
    ForwardRequest,
    decode_frame,
    encode_frame,
)
from arbutusflow.adapters.settings import Address, EntrySettings
from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Kind,
    Rank,
    Service,
)
from arbutusflow.domain.membership_messages import ZoneDeclaredLost
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import (
    ConfigurationChanged,
    EndpointDeclaredLost,
    MembersChanged,
)
from arbutusflow.domain.reasons import RetryReason
from arbutusflow.domain.records import Proof
from arbutusflow.errors import SettingsError
from arbutusflow.runtime import entry
from arbutusflow.runtime.entry import EntryProcess
from arbutusflow.runtime.observer import COORDINATOR_ROLE, ENTRY_ROLE, Observer
from arbutusflow.runtime.request_log import RequestLog

SETTINGS = EntrySettings(
    "entry-1",
    "zone-a",
    Address("127.0.0.1", 1),
    Address("127.0.0.1", 2),
    Address("127.0.0.1", 3),
    "http://127.0.0.1:4",
)
REQUEST = ForwardRequest(
    0,
    "registry",
    "lookup",
    "badge-7",
    "POST",
    b"payload-of-the-caller",
    "text/secret-type",
    "0198c5b8-7e6a-7000-8000-0123456789ab",
    "shop",
    1000,
)


@pytest.fixture
def log_lines():
    """Records the lines that the process logs."""
    lines = []

    def record(message):
        lines.append(json.loads(json.dumps(message)))

    eliot.add_destinations(record)
    yield lines
    eliot.remove_destination(record)
    logs.set_level(Level.INFO)


def lines_named(log_lines, name):
    return [line for line in log_lines if line["message_type"] == f"arbutusflow:{name}"]


def settings_after_reload(settings, load):
    """Reload a process that runs with `settings`; return its settings afterwards."""

    async def run():
        process = EntryProcess(settings, load)
        process.reload()
        process._curl.close()
        process._platform.close()
        process._metrics.close()
        return process._settings

    return asyncio.run(run())


def test_reload_applies_reloadable_settings_and_names_the_rest(log_lines):
    new_settings = dataclasses.replace(
        SETTINGS,
        log_level=Level.DEBUG,
        statsd=Address("127.0.0.1", 8125),
        zone="zone-b",
    )
    after = settings_after_reload(SETTINGS, lambda: new_settings)
    assert logs.is_logged(Level.DEBUG)
    assert (after.statsd, after.zone) == (new_settings.statsd, "zone-a")
    (line,) = lines_named(log_lines, "settings_reloaded")
    assert line["changed"] == ["log_level", "statsd"]
    assert line["need_restart"] == ["zone"]


def test_invalid_file_changes_nothing_and_does_not_stop_the_process(log_lines):
    """Guards against a typing error in the file that stops a running instance."""

    def load():
        raise SettingsError("s.yaml, line 7, field zoen: unknown field")

    assert settings_after_reload(SETTINGS, load) == SETTINGS
    (line,) = lines_named(log_lines, "settings_rejected")
    assert "line 7" in line["detail"]


class StubControl:
    """Stub of the control task."""

    def __init__(self):
        self.core = OwnershipCore.from_config("entry-1", "zone-a", Configuration())
        kinds = (Kind("lookup", Rank.URGENT, repeatable=True),)
        cfg = Configuration(1, (Service("registry", kinds),))
        self.core.handle(ConfigurationChanged(cfg), 0.0)


class RecordingMetrics:
    """Records what is reported."""

    def __init__(self):
        self.latencies, self.retries = [], []

    def retried(self, reason):
        self.retries.append(reason)

    def finished(self, service, rank, outcome, duration_ms):
        self.latencies.append((service, rank, outcome))


def test_request_is_logged_under_its_identifier_without_its_content(log_lines):
    """Guards against request content in the log and lines that cannot be correlated."""
    logs.set_level(Level.DEBUG)
    metrics, log = RecordingMetrics(), RequestLog()
    observer = Observer(StubControl(), metrics, log)

    async def handler(req):
        return ForwardReply(0, "answered", status=200, body=b"answer-of-the-endpoint")

    for role in (ENTRY_ROLE, COORDINATOR_ROLE):
        asyncio.run(observer.observe(role, handler, REQUEST))
    found = lines_named(log_lines, "request")
    assert [line["role"] for line in found] == [ENTRY_ROLE, COORDINATOR_ROLE]
    assert {line["request_id"] for line in found} == {REQUEST.request_id}
    text = json.dumps(log_lines) + repr(log.find(REQUEST.request_id))
    assert "payload" not in text
    assert "answer-of" not in text
    assert "secret" not in text
    # If the coordinator reported latencies too, forwarded requests would count twice.
    assert metrics.latencies == [("registry", "urgent", "answered")]


def test_refused_identifiers_ahead_of_the_clock_are_logged_once_a_second(log_lines):
    """Guards against refusals of a caller's library that no line of the log names."""
    observer = Observer(StubControl(), RecordingMetrics(), RequestLog())
    detail = "1.5 s ahead, both times"

    async def handler(req):
        return ForwardReply(0, "not-run", "request_id_skew", detail, 400)

    async def observe():
        for _ in range(100):
            await observer.observe(ENTRY_ROLE, handler, REQUEST)

    asyncio.run(observe())
    (found,) = lines_named(log_lines, "request")
    assert (found["level"], found["detail"]) == ("warning", detail)
    observer._next_skew_warning_at -= 1.0
    asyncio.run(observe())
    assert len(lines_named(log_lines, "request")) == 2


def test_request_of_a_caller_that_left_is_recorded():
    observer = Observer(StubControl(), RecordingMetrics(), log := RequestLog())

    async def handler(req):
        raise asyncio.CancelledError

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(observer.observe(ENTRY_ROLE, handler, REQUEST))
    (found,) = log.find(REQUEST.request_id)
    assert (found.outcome, found.reason) == ("unknown", "caller_left")


class FakeStream:
    """Stream between two instances, without sockets."""

    def __init__(self):
        self.received, self.sent = asyncio.Queue(), asyncio.Queue()

    async def send_initial_metadata(self):
        pass

    async def recv_message(self):
        return encode_frame([await self.received.get()])

    async def send_message(self, frame):
        for message in decode_frame(frame):
            self.sent.put_nowait(message)


def test_cancelled_request_is_cancelled_at_the_peer():
    """Guards against a coordinator that runs a request whose caller disconnected."""

    async def run():
        seen = asyncio.Queue()

        async def handler(message):
            if message.id == 2:
                return ForwardReply(2, "answered")
            seen.put_nowait(message.id)
            try:
                return await asyncio.Event().wait()
            except asyncio.CancelledError:
                seen.put_nowait("cancelled")
                raise

        stream = FakeStream()
        service = asyncio.create_task(PeerService(handler)._serve(stream))
        stream.received.put_nowait(msgspec.structs.replace(REQUEST, id=1))
        first = await seen.get()
        for identifier in (1, 7):
            stream.received.put_nowait(CancelRequest(identifier))
        stream.received.put_nowait(msgspec.structs.replace(REQUEST, id=2))
        reply = await stream.sent.get()
        second = await seen.get()
        service.cancel()
        return first, second, reply.id

    # The timeout only ends the test if the cancellation never arrives.
    found = asyncio.run(asyncio.wait_for(run(), 60))
    assert found == (1, "cancelled", 2)


def test_lost_zone_is_reported_once_to_membership_and_ownership():
    """Guards against a declared loss that is stored but has no effect.

    It is reported once: a second report, after the endpoint has returned, would move
    keys away while the endpoint serves them.
    """

    async def run():
        process = EntryProcess(SETTINGS)
        events, submitted = [], []
        process._control.handle = events.append
        process._membership = types.SimpleNamespace(submit=submitted.append)
        process._peers.members = MembersChanged(
            {"a-1": "zone-a", "b-1": "zone-b"}, frozenset(), frozenset()
        )
        endpoints = tuple(
            Endpoint(f"{zone}-endpoint", f"zone-{zone}", "127.0.0.1", port)
            for port, zone in enumerate("ab", 9001)
        )
        service = Service("s", (Kind("k", Rank.URGENT, True),), endpoints)
        for number, lost in enumerate(((), ("zone-b",), ("zone-b",))):
            cfg = Configuration(number, (service,), lost_zones=lost)
            process._on_configuration(cfg)
        process._curl.close()
        process._platform.close()
        return events, submitted

    events, submitted = asyncio.run(run())
    assert events == [EndpointDeclaredLost("b-endpoint", Proof.OPERATOR_DECLARED)]
    assert submitted == [ZoneDeclaredLost("zone-b")]


def test_retries_are_counted_and_recorded():
    metrics, log = RecordingMetrics(), RequestLog()
    observer = Observer(StubControl(), metrics, log)

    async def handler(req):
        observer.record_retry(req.request_id, RetryReason.CONNECTION_FAILED)
        observer.record_retry("another", RetryReason.ENDPOINT_LOST)
        return ForwardReply(0, "answered", status=200)

    for _ in range(2):
        asyncio.run(observer.observe(ENTRY_ROLE, handler, REQUEST))
    found = log.find(REQUEST.request_id)
    assert [item.retries for item in found] == [("connection_failed",)] * 2
    assert len(metrics.retries) == 4


@pytest.mark.parametrize("level", Level)
def test_lines_below_the_level_are_not_written(log_lines, level):
    logs.set_level(level)
    for item in Level:
        logs.log_event("line", item)
    expected = [item.value for item in list(Level)[list(Level).index(level) :]]
    assert [line["level"] for line in log_lines] == expected


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("caller", socket.SOCK_STREAM),
        ("peer", socket.SOCK_STREAM),
        ("peer", socket.SOCK_DGRAM),
        ("admin", socket.SOCK_STREAM),
    ],
)
def test_address_in_use_is_named(name, kind):
    """Guards against a process that exits without naming the address in use."""
    with socket.socket(socket.AF_INET, kind) as server:
        server.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            server.listen()
        used = Address("127.0.0.1", server.getsockname()[1])
        addresses = {
            # Port 0 lets the kernel choose the other ports.
            key: used if key == name else Address("127.0.0.1", 0)
            for key in ("caller", "peer", "admin")
        }
        settings = dataclasses.replace(SETTINGS, **addresses)

        async def run():
            await EntryProcess(settings).run()

        with pytest.raises(SettingsError, match=f"listen on 127.0.0.1:{used.port}"):
            asyncio.run(run())


def test_caller_connections_set_tcp_nodelay():
    """Guards against answers delayed by 40 ms until a TCP acknowledgement arrives."""
    with (
        entry._listen(Address("127.0.0.1", 0)) as listening,
        socket.create_connection(listening.getsockname()),
    ):
        accepted, _ = listening.accept()
        with accepted:
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
