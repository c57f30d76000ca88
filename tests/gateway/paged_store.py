"""Store by the published protocol, whose lists have several pages.

Shares no code with the client that it tests. Names are bytes and objects are kept as
encoded, so that another writer can leave what no client of this project would write.
"""

import asyncio
import contextlib
import dataclasses
import json
import re
from urllib.parse import unquote_to_bytes

BASE = b"/arbutusflow/objects/"
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576  # Of an object, at most.
REQUEST_LINE = re.compile(rb"(GET|POST|PUT|DELETE) ([!-~]+) HTTP/1\.1\r\n")


@dataclasses.dataclass(frozen=True)
class StoredEntry:
    """An object; `content` holds its encoded members but the metadata."""

    name: bytes
    revision: int
    content: bytes

    def encoded(self):
        head = b'{"metadata":{"name":%b,"revision":%d},'
        return head % (json_string(self.name), self.revision) + self.content + b"}"


def json_string(text):
    """Encode bytes as a JSON string; bytes that are no UTF-8 stay as they are."""
    with contextlib.suppress(UnicodeDecodeError):
        # Lone surrogates become escapes, which is valid JSON.
        return json.dumps(text.decode("utf-8", "surrogatepass")).encode()
    escaped = text.replace(b"\\", b"\\\\").replace(b'"', b'\\"')
    controls = re.compile(rb"[\x00-\x1f]")
    return b'"%b"' % controls.sub(lambda m: b"\\u%04x" % ord(m[0]), escaped)


def decode_form(text):
    """Return the options of a query as a form encodes them."""
    pairs = (part.partition(b"=") for part in text.split(b"&") if part)
    return {
        unquote_to_bytes(name): unquote_to_bytes(value.replace(b"+", b" "))
        for name, _, value in pairs
    }


class PagedStore:
    """Objects by kind and name, with one revision counter."""

    def __init__(self):
        self.revision = 1
        self.objects = {}  # Kind and name to object.
        self.events = []  # Revision, kind, whether removed, and object.
        self.changed = asyncio.Event()
        self.malformed = []  # Beginnings of calls that are no HTTP.
        self.pages = 0  # Of lists that were answered.
        self.port = 0

    def put(self, kind, name, content):
        """Write an object from its encoded members, as any client may."""
        known = self.objects.get((kind, name))
        if known is None or known.content != content:
            self._record(
                kind, StoredEntry(name, self.revision + 1, content), removed=False
            )
        return self.objects[kind, name]

    def remove(self, kind, name):
        self._record(kind, self.objects.pop((kind, name)), removed=True)

    def _record(self, kind, item, *, removed):
        self.revision += 1
        if not removed:
            self.objects[kind, item.name] = item
        self.events.append((self.revision, kind, removed, item))
        self.changed.set()
        self.changed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def serving(self, host):
        server = await asyncio.start_server(self._serve, host, 0, limit=2**22)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader, writer):
        ends = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line = REQUEST_LINE.match(head)
                if line is None:
                    self.malformed.append(head[:80])
                    writer.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
                    break
                length = re.search(rb"\r\ncontent-length: *(\d+)", head, re.IGNORECASE)
                body = await reader.readexactly(int(length[1]) if length else 0)
                status, answer = await self._answer(line[1], line[2], body)
                fields = (status, len(answer), answer)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % fields)
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, options = target.partition(b"#")[0].partition(b"?")
        query = decode_form(options)
        parts = [unquote_to_bytes(p) for p in path.removeprefix(BASE).split(b"/")]
        kind, names = parts[0], parts[1:]
        if method == b"GET" and not names:
            if b"watch" in query:
                return await self._watch(kind, query)
            return 200, self._page(kind, query.get(b"after"))
        # The standard library replaces bytes that are no UTF-8, as stores may.
        document = json.loads(body.decode(errors="replace")) if body else {}
        metadata = document.get("metadata", {})
        name = names[0] if names else metadata["name"].encode()
        known = self.objects.get((kind, name))
        if method == b"GET":
            return (404, b"") if known is None else (200, known.encoded())
        if (known is None) != (method == b"POST"):
            return (404, b"") if known is None else (409, known.encoded())
        condition = metadata.get("revision", query.get(b"revision"))
        if known and condition is not None and int(condition) != known.revision:
            return 409, known.encoded()
        if method == b"DELETE":
            self.remove(kind, name)
            return 200, known.encoded()
        content = b'"spec":' + json.dumps(document["spec"]).encode()
        return 200, self.put(kind, name, content).encoded()

    def _page(self, kind, after):
        self.pages += 1
        names = sorted(n for k, n in self.objects if k == kind)
        left = [n for n in names if after is None or n > after]
        items, size = [], 0
        for name in left[:PAGE_ITEMS]:
            encoded = self.objects[kind, name].encoded()
            if items and size + len(encoded) > PAGE_BYTES:
                break
            items.append(encoded)
            size += len(encoded)
        more = b"true" if len(items) < len(left) else b"false"
        fields = (b",".join(items), more, self.revision)
        return b'{"items":[%b],"hasMore":%b,"asOf":%d}' % fields

    async def _watch(self, kind, query):
        since = int(query[b"watch"])
        if since > self.revision:
            return 410, b""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get(b"waitMs", 0)) / 1000):
                while not (found := self._events_since(kind, since)):
                    await self.changed.wait()
        found = self._events_since(kind, since)
        return 200, b'{"events":[%b],"asOf":%d}' % (b",".join(found), self.revision)

    def _events_since(self, kind, since):
        return [
            b'{"object":%b,"removed":%b}'
            % (item.encoded(), b"true" if removed else b"false")
            for revision, its_kind, removed, item in self.events
            if its_kind == kind and revision > since
        ]
