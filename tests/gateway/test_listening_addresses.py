"""Listening addresses that change while an instance runs."""

import asyncio
import re
import socket

import pytest

from tests.gateway.fakes import FakeLog
from tests.gateway.test_whole_path import HOST, run_with_cluster, wait_until
from tests.loopback import free_ports

GET = (
    b"GET /y/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
    b"Deadline-Ms: 5000\r\n\r\n"
)
QUEUED_CONNECTIONS = 4  # Fewer than fill the endpoint.


async def _exchange(reader, writer, number):
    """Send one request and read its whole answer; return the status."""
    writer.write(GET % number)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6.0)
    (length,) = re.findall(rb"(?i)content-length: (\d+)", head)
    await reader.readexactly(int(length))
    return head.split()[1]


def _change(cluster, new_port, name="front"):
    """Write another port into the settings file; return the log from now on."""
    gateway, old = cluster.gateways["n1"], cluster.ports["n1"][name]
    text = gateway._path.read_text()
    assert f":{old}" in text
    gateway._path.write_text(text.replace(f":{old}", f":{new_port}"))
    log = FakeLog()
    gateway.log.write = gateway.log.write_rate_limited = log.write
    return log


def _is_listened_at(port):
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0


@pytest.mark.parametrize("stops", [False, True], ids=["runs", "stops"])
def test_a_changed_address_loses_no_connection_of_the_old_one(stops, tmp_path):
    """Guards against resets of connections that are open or queued at the old address.

    The new one is listened at first, so at no time are callers refused.
    """

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", path=b"/y/1"))
        gateway, old = cluster.gateways["n1"], cluster.ports["n1"]["front"]
        kept = await asyncio.open_connection(HOST, old)
        statuses = [await _exchange(*kept, 1)]
        (new,) = free_ports(HOST, 1)
        _change(cluster, new)
        queued = []
        for number in range(QUEUED_CONNECTIONS):
            sock = socket.create_connection((HOST, old))
            sock.sendall(GET % (100 + number))
            queued.append(sock)
        gateway._stop() if stops else gateway._reload()
        assert _is_listened_at(new)
        for sock in queued:
            reader, writer = await asyncio.open_connection(sock=sock)
            line = await asyncio.wait_for(reader.readline(), 6.0)
            statuses.append(line.split()[1])
            writer.close()
        cluster.ports["n1"]["front"] = new
        assert await cluster.is_served("n1", path=b"/y/1")
        statuses.append(await _exchange(*kept, 2))
        kept[1].close()
        return statuses, _is_listened_at(old)

    statuses, old_listens = run_with_cluster(scenario, tmp_path)
    assert statuses == [b"200"] * (QUEUED_CONNECTIONS + 2)
    assert not old_listens


@pytest.mark.parametrize("name", ["front", "ready"])
def test_an_address_in_use_is_logged_and_the_old_one_stays(name, tmp_path):
    """Guards against an instance that ends to listen and cannot begin elsewhere."""

    async def scenario(cluster):
        gateway = cluster.gateways["n1"]
        with socket.create_server((HOST, 0)) as other:
            port = other.getsockname()[1]
            log = _change(cluster, port, name)
            gateway._reload()
            await asyncio.sleep(0.1)
            old_listens = _is_listened_at(cluster.ports["n1"][name])
        return log.events, port, old_listens

    events, port, old_listens = run_with_cluster(scenario, tmp_path)
    failures = [fields for event, fields in events if event == "listening_not_moved"]
    assert [fields["address"] for fields in failures] == [f"{HOST}:{port}"]
    assert old_listens


def test_a_changed_readiness_address_is_answered(tmp_path):
    """Guards against an instance that the balancer takes out of rotation."""

    async def scenario(cluster):
        (new,) = free_ports(HOST, 1)
        old = cluster.ports["n1"]["ready"]
        _change(cluster, new, "ready")
        cluster.gateways["n1"]._reload()
        cluster.ports["n1"]["ready"] = new
        ready = await cluster.is_ready("n1")
        return ready, _is_listened_at(old)

    assert run_with_cluster(scenario, tmp_path) == (True, False)


def test_an_address_that_changes_when_listening_has_ended_is_not_used(tmp_path):
    """Guards against connections that are accepted in the last part of a stop."""

    async def scenario(cluster):
        gateway = cluster.gateways["n1"]
        gateway._stop()
        gateway.caller_server.stop_accepting()
        await asyncio.sleep(0.1)
        (new,) = free_ports(HOST, 1)
        _change(cluster, new)
        gateway._reload()
        return _is_listened_at(new)

    assert run_with_cluster(scenario, tmp_path) is False
