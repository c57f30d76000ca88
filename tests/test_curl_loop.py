"""Transfers of the HTTP client against a server of this file on loopback."""

import asyncio
import contextlib

import pytest

from arbutusflow.runtime.curl_loop import CurlError, CurlLoop, CurlRequest

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers requests until `closes` is set, then closes instead of answering."""

    def __init__(self):
        self.bodies = []
        self.connections = 0
        self.closes = False

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
                self.bodies.append(await reader.readexactly(int(length or 0)))
                if self.closes:
                    break
                writer.write(ANSWER)
        writer.close()


def run(scenario):
    """Run `scenario(server, send)`; `send(**fields)` makes one request."""

    async def main():
        server = Server()
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]

        def clock():
            return send.now

        curl = CurlLoop(asyncio.get_running_loop(), clock=clock)

        async def send(method="POST", **fields):
            url = f"http://127.0.0.1:{port}/"
            return await curl.perform(CurlRequest(method, url, **fields))

        send.now = 0.0
        try:
            await scenario(server, send)
        finally:
            curl.close()
            listening.close()

    asyncio.run(main())


ONCE = {"live_connection": True}


@pytest.mark.parametrize(
    ("method", "body", "options"),
    [
        ("POST", b"", {}),
        ("POST", b"fee", {}),
        ("POST", b"fee", ONCE),
        ("GET", b"", ONCE),
    ],
)
def test_a_request_is_not_sent_again_by_libcurl(method, body, options):
    """Guards against a silent second run when a reused connection closes."""

    async def scenario(server, send):
        await send(body=body)
        server.closes = True
        with pytest.raises(CurlError) as caught:
            await send(method, body=body, **options)
        assert caught.value.sent
        # libcurl may open another connection, but sends nothing on it.
        assert server.bodies == [body, body]

    run(scenario)


@pytest.mark.parametrize(("idle_seconds", "connections"), [(0.9, 1), (1.1, 2)])
def test_work_that_may_not_be_repeated_needs_a_live_connection(
    idle_seconds, connections
):
    """Guards against sending it on a connection that was idle for over a second."""

    async def scenario(server, send):
        await send()
        send.now += idle_seconds
        assert (await send(body=b"fee", **ONCE)).body == b"ok"
        assert server.bodies == [b"", b"fee"]
        assert server.connections == connections

    run(scenario)


def test_a_prepared_handle_carries_nothing_over():
    """Guards against headers or bodies of an earlier request on a reused handle."""

    async def scenario(server, send):
        bodies = [b"a\0\xff" * 9_000, b"", b"b\0c"]
        for body in bodies:
            response = await send(body=body)
            assert (response.status, response.body) == (200, b"ok")
            assert response.headers == {"content-length": "2"}
        assert (await send("GET")).body == b"ok"
        assert server.bodies == [*bodies, b""]

    run(scenario)


def test_a_transfer_ends_at_its_timeout_after_longer_ones():
    """Guards against a timer that was set for an earlier transfer and not moved."""

    async def scenario(server, send):
        await send(timeout_ms=60_000)
        silent = await asyncio.start_server(lambda *streams: None, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        curl = CurlLoop(asyncio.get_running_loop())
        url = f"http://127.0.0.1:{port}/"
        long = asyncio.create_task(
            curl.perform(CurlRequest("GET", url, (), b"", 9_000))
        )
        with pytest.raises(CurlError) as caught:
            await curl.perform(CurlRequest("GET", url, timeout_ms=50))
        assert caught.value.code == 28  # CURLE_OPERATION_TIMEDOUT
        assert not long.done()
        curl.close()
        with pytest.raises(CurlError):
            await long
        silent.close()

    run(scenario)
