"""Silent connections, which accept bytes but deliver none, on loopback sockets.

The tests advance simulated clocks. Only the test of the platform client waits for a
real timeout.
"""

import asyncio
import contextlib
from collections import Counter
from types import SimpleNamespace

import pycurl
import pytest

from arbutusflow.adapters.peer import (
    MAX_BLOCKED_TICKS,
    MAX_SILENT_TICKS,
    PeerCallError,
    PeerLink,
    peer_server,
)
from arbutusflow.adapters.peer_messages import VersionsReply, VersionsRequest
from arbutusflow.adapters.platform import PlatformClient
from arbutusflow.adapters.settings import Address
from arbutusflow.errors import PlatformUnavailableError
from arbutusflow.runtime.curl_loop import (
    AVOID_POOL_SECONDS,
    CurlError,
    CurlLoop,
    CurlRequest,
)
from arbutusflow.standins.silent_relay import silent_relay
from tests.loopback import free_ports, own_host

HOST = "127.0.0.1"
LONG_TIMEOUT_SECONDS = 3600.0
PROGRESS_SECONDS = 2.0


async def respond_to_all(reader, writer):
    """Respond to each request on a connection that stays open."""
    with contextlib.closing(writer):
        while await reader.readline():
            while (await reader.readline()).strip():
                pass
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def run_with_curl(steps):
    """Run `steps` with a client that is connected through a relay."""
    clock = SimpleNamespace(now=1000.0)
    server = await asyncio.start_server(respond_to_all, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    curl = CurlLoop(asyncio.get_running_loop(), clock=lambda: clock.now)
    async with silent_relay(HOST, port) as relay:
        url = f"http://{HOST}:{relay.port}/requests"

        def get(fresh=False):
            req = CurlRequest(
                "GET",
                url,
                timeout_ms=60_000,
                progress_ms=int(PROGRESS_SECONDS * 1000),
                fresh_connection=fresh,
            )
            return asyncio.create_task(curl.perform(req))

        await steps(relay, curl, clock, get)
        curl.close()
    server.close()


async def wait_for_progress_timeout(relay, curl, clock, task):
    """Return the error of a request that reaches its progress timeout."""
    await relay.data_discarded.wait()
    clock.now += PROGRESS_SECONDS
    curl.check_progress()
    with pytest.raises(CurlError) as caught:
        await task
    return caught.value


def test_only_one_request_times_out_when_all_pooled_connections_are_silent():
    """Guards against a separate timeout for each silent connection in the pool."""

    async def steps(relay, curl, clock, get):
        await asyncio.gather(*(get() for _ in range(4)))
        opened = relay.opened_connections
        relay.silence()
        error = await wait_for_progress_timeout(relay, curl, clock, get())
        assert (error.code, error.sent) == (pycurl.E_OPERATION_TIMEDOUT, True)
        for _ in range(4):
            assert (await get()).body == b"ok"
        assert relay.opened_connections == opened + 4

    asyncio.run(run_with_curl(steps))


def test_pool_is_used_again_after_the_avoidance_period():
    """Guards against opening a connection per request forever after one timeout."""

    async def steps(relay, curl, clock, get):
        await get()
        relay.silence()
        await wait_for_progress_timeout(relay, curl, clock, get())
        await get()
        clock.now += AVOID_POOL_SECONDS
        await get()
        assert relay.opened_connections == 2

    asyncio.run(run_with_curl(steps))


def test_transfer_with_progress_in_time_continues():
    """Guards against a limit on the total duration instead of on the progress."""

    async def steps(relay, curl, clock, get):
        task = get()
        clock.now += PROGRESS_SECONDS * 0.99
        curl.check_progress()
        assert (await task).body == b"ok"

    asyncio.run(run_with_curl(steps))


def test_fresh_connection_is_closed_after_its_transfer():
    """Guards against idle connections that exhaust an endpoint's connection limit."""

    async def steps(relay, curl, clock, get):
        for _ in range(3):
            await get(fresh=True)
        await get()
        await get()
        assert relay.opened_connections == 4, (
            "expected one connection per fresh request and one for the last two"
        )

    asyncio.run(run_with_curl(steps))


async def run_with_link(steps):
    """Run `steps` with a link that is connected to a peer through a relay."""
    host = own_host()
    (port,) = free_ports(host, 1)
    received = Counter()

    async def handler(message):
        received[message.id] += 1
        return VersionsReply(message.id, ())

    async with (
        peer_server(Address(host, port), handler),
        silent_relay(host, port) as relay,
    ):
        link = PeerLink(
            Address(HOST, relay.port), ping_interval_seconds=LONG_TIMEOUT_SECONDS
        )
        await steps(relay, link)
        await link.close()


async def call(link):
    """Call the peer, retrying until the link is connected."""
    while True:
        try:
            return await link.call(
                VersionsRequest(link.next_id(), {}), LONG_TIMEOUT_SECONDS
            )
        except PeerCallError as exc:
            if exc.sent:
                raise


def test_silent_peer_stream_is_replaced_and_its_calls_fail_as_sent():
    """Guards against calls that wait on a silent stream until their deadline."""

    async def steps(relay, link):
        await call(link)
        relay.silence()
        waiting = asyncio.create_task(call(link))
        await relay.data_discarded.wait()
        link.tick()
        while not link._is_awaiting_pong:
            await asyncio.sleep(0)
        for _ in range(MAX_SILENT_TICKS):
            assert not waiting.done()
            link.tick()
        with pytest.raises(PeerCallError) as caught:
            await waiting
        assert (caught.value.sent, caught.value.timed_out) == (True, False)
        assert isinstance(await call(link), VersionsReply)
        assert relay.opened_connections == 2

    asyncio.run(run_with_link(steps))


def test_peer_that_answers_pings_keeps_its_stream():
    """Guards against closing a stream whose peer answers."""

    async def steps(relay, link):
        await call(link)
        for _ in range(MAX_SILENT_TICKS * 3):
            link.tick()
            await call(link)
        assert relay.opened_connections == 1

    asyncio.run(run_with_link(steps))


def test_only_one_platform_call_times_out_when_all_connections_are_silent():
    """Guards against a separate timeout for each thread with a silent connection."""

    async def run():
        both_received = asyncio.Barrier(2)

        async def respond(reader, writer):
            with contextlib.closing(writer):
                while await reader.readline():
                    while (await reader.readline()).strip():
                        pass
                    barrier = both_received
                    await barrier.wait()
                    writer.write(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(respond, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with silent_relay(HOST, port) as relay:
            client = PlatformClient(f"http://{HOST}:{relay.port}")

            def read_both():
                # A read that timed out before must not count as one of the two: it may
                # have reached the server on the connection of a third thread, because
                # the executor starts one if no other is idle yet.
                nonlocal both_received
                both_received = asyncio.Barrier(2)
                futs = [client.read(name) for name in ("one", "two")]
                return asyncio.gather(*map(asyncio.wrap_future, futs))

            await read_both()
            relay.silence()
            with pytest.raises(PlatformUnavailableError):
                await asyncio.wrap_future(client.read("one"))
            # Version 0: the object does not exist (status 404).
            assert [item.version for item in await read_both()] == [0, 0]
            client.close()
        server.close()

    asyncio.run(run())


def test_queued_ping_that_is_not_sent_yet_does_not_close_the_stream():
    """Guards against closing a stream whose ping waits in the send queue.

    This happens behind large uploads.
    """

    async def steps(relay, link):
        await call(link)
        waiting = asyncio.create_task(call(link))
        await asyncio.sleep(0)
        for _ in range(MAX_BLOCKED_TICKS):
            link.tick()
        assert isinstance(await waiting, VersionsReply)
        assert relay.opened_connections == 1

    asyncio.run(run_with_link(steps))
