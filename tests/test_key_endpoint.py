"""The endpoint of the demo, which has to be as strict as those of the platform."""

import asyncio
import random
import time

import pytest

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, Endpoint
from arbutusflow.platform import wire
from arbutusflow.standins.key_endpoint import KeyEndpoint
from tests.loopback import free_ports, own_host

KEY = 7


def run_with_endpoint(scenario, work_seconds=0.0):
    async def main():
        host = own_host()
        (port,) = free_ports(host, 1)
        entry = Endpoint(
            "e1", "registry", Address(host, port), "zone-a", 1, False, 0.0, 1
        )
        errors = []
        endpoint = KeyEndpoint(
            entry,
            (work_seconds, work_seconds),
            random.Random(1),
            errors.append,
            partitioned=True,
        )
        await endpoint.server.start(host, port)
        try:
            await scenario(endpoint)
        finally:
            endpoint.server.close()
        assert errors == []

    asyncio.run(main())


async def send(endpoint, target, body=b"", key=KEY, expected=b"e1"):
    conn = await ClientConnection.open(endpoint.entry.address, 5.0)
    lines = [
        b"POST %b HTTP/1.1" % target,
        b"Host: h",
        b"Content-Length: %d" % len(body),
        wire.REQUEST_ID + b": r1",
        wire.EXPECTED_ENDPOINT + b": " + expected,
        wire.KEY + b": %d" % key,
    ]
    try:
        return await conn.exchange(b"\r\n".join(lines) + b"\r\n\r\n", body, 5.0)
    finally:
        conn.close()


async def grant(endpoint, token, first=0, last=99, seconds=5.0):
    body = wire.encode_grant(first, last, token, seconds, "")
    return (await send(endpoint, wire.GRANT_PATH, body)).status


async def release(endpoint, token, first=0, last=99):
    return await send(
        endpoint, wire.RELEASE_PATH, wire.encode_release(first, last, token)
    )


def test_it_runs_requests_only_for_keys_that_it_holds():
    """Guards against a stand-in that hides requests sent to a wrong owner."""

    async def scenario(endpoint):
        refused = await send(endpoint, b"/x")
        assert (refused.status, refused.header(wire.NOT_RUN)) == (421, b"1")
        assert await grant(endpoint, 1) == 200
        assert (await send(endpoint, b"/x")).status == 200
        assert (await send(endpoint, b"/x", key=100)).status == 421
        assert (await send(endpoint, b"/x", expected=b"e2")).status == 421
        assert endpoint.runs == ["r1"]

    run_with_endpoint(scenario)


def test_a_lease_ends_by_itself():
    """Guards against a stand-in that holds keys for ever."""

    async def scenario(endpoint):
        assert await grant(endpoint, 1, seconds=0.05) == 200
        await asyncio.sleep(0.1)
        assert (await send(endpoint, b"/x")).status == 421

    run_with_endpoint(scenario)


@pytest.mark.parametrize(("token", "status"), [(4, 409), (5, 200), (6, 200)])
def test_a_grant_with_a_lower_token_is_refused(token, status):
    """Guards against a stand-in that accepts a late grant."""

    async def scenario(endpoint):
        assert await grant(endpoint, 5) == 200
        assert await grant(endpoint, token, first=50, last=200) == status

    run_with_endpoint(scenario)


def test_a_release_is_answered_after_the_work_and_counts_as_held_until_then():
    """Guards against a second owner that the records of the stand-in do not show."""

    async def scenario(endpoint):
        await grant(endpoint, 1)
        work = asyncio.create_task(send(endpoint, b"/x"))
        while not endpoint.runs:
            await asyncio.sleep(0.001)
        answer = await release(endpoint, 1)
        ended = time.monotonic()
        assert work.done() or (await work).status == 200
        assert answer.header(wire.HANDOVER)
        (held,) = endpoint.holdings
        assert held.until - held.since >= 0.2
        assert held.until <= ended
        assert not endpoint.holds(KEY, ended)

    run_with_endpoint(scenario, work_seconds=0.2)


def test_parts_of_a_range_stay_held_when_the_middle_is_released():
    """Guards against a stand-in that loses keys which it was not asked to release."""

    async def scenario(endpoint):
        await grant(endpoint, 1)
        await release(endpoint, 1, first=40, last=59)
        now = time.monotonic()
        assert [k for k in (39, 40, 59, 60) if endpoint.holds(k, now)] == [39, 60]

    run_with_endpoint(scenario)
