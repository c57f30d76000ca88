"""Stand-in for the platform: object API, watches and list of instances.

`POST /control/fault` injects faults: an outage, a delay of each call, or responses
that are lost after their update took effect.
"""

import asyncio
import urllib.parse

import msgspec

from arbutusflow.standins.http_server import (
    Receive,
    Scope,
    Send,
    header,
    read_body,
    respond,
    serve,
)
from arbutusflow.standins.platform_objects import (
    Changes,
    PlatformInstance,
    StoredObject,
)

MAX_VALUE_BYTES = 1_000_000


class Fault(msgspec.Struct, frozen=True):
    """Faults that apply to all later calls.

    `lose_answers` is the number of successful writes whose response is not sent.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


class PlatformStandIn:
    """ASGI application with versioned objects in memory and conditional updates."""

    def __init__(self) -> None:
        self._objects: dict[str, tuple[int, StoredObject]] = {}
        self._revision = 0
        self._changed = asyncio.Condition()
        self._instances: tuple[PlatformInstance, ...] = ()
        self._fault = Fault()
        self._responses_to_drop = 0
        self.calls: dict[str, int] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        path, method = scope["path"], scope["method"]
        body = await read_body(receive)
        if path.startswith("/control/"):
            await self._control(path, body, send)
            return
        kind = path.split("/")[1] if method == "GET" else "write"
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self._fault.delay_ms:
            await asyncio.sleep(self._fault.delay_ms / 1000)
        if self._fault.down:
            await respond(send, 503)
        elif path.startswith("/objects/") and method == "GET":
            await self._read(path.removeprefix("/objects/"), send)
        elif path.startswith("/objects/") and method == "PUT":
            await self._write(path.removeprefix("/objects/"), scope, body, send)
        elif path == "/changes":
            await self._watch(scope, send)
        elif path == "/instances":
            await respond(send, 200, msgspec.json.encode(self._instances))
        else:
            await respond(send, 404)

    async def _read(self, name: str, send: Send) -> None:
        if name not in self._objects:
            await respond(send, 404)
            return
        _, stored = self._objects[name]
        version = (("object-version", str(stored.version)),)
        await respond(send, 200, stored.value, version)

    async def _write(self, name: str, scope: Scope, body: bytes, send: Send) -> None:
        if len(body) > MAX_VALUE_BYTES:
            await respond(send, 413)
            return
        current = self._objects[name][1].version if name in self._objects else 0
        if int(header(scope, "if-version", "0")) != current:
            await respond(send, 409, b"", (("object-version", str(current)),))
            return
        self._revision += 1
        stored = StoredObject(name, current + 1, body)
        self._objects[name] = (self._revision, stored)
        async with self._changed:
            self._changed.notify_all()
        if self._responses_to_drop:
            self._responses_to_drop -= 1
            raise ConnectionError("response dropped by an injected fault")
        await respond(send, 200, b"", (("object-version", str(current + 1)),))

    async def _watch(self, scope: Scope, send: Send) -> None:
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        after, wait_ms = int(query["after"][0]), int(query["wait_ms"][0])
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        except TimeoutError:
            pass
        if self._fault.down:
            await respond(send, 503)
            return
        objects = tuple(
            stored for revision, stored in self._objects.values() if revision > after
        )
        changes = Changes(self._revision, objects)
        await respond(send, 200, msgspec.msgpack.encode(changes))

    async def _control(self, path: str, body: bytes, send: Send) -> None:
        if path == "/control/fault":
            self._fault = msgspec.json.decode(body, type=Fault)
            self._responses_to_drop = self._fault.lose_answers
        elif path == "/control/instances":
            self._instances = msgspec.json.decode(
                body, type=tuple[PlatformInstance, ...]
            )
        await respond(send, 200, msgspec.json.encode(self.calls))


def run_platform(host: str, port: int) -> None:
    """Serve the stand-in until SIGTERM or SIGINT."""
    serve(PlatformStandIn(), host, port)
