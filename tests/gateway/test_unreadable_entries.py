"""Entries of the store that cannot be read, among others that can.

Guards against one entry of another writer that hides all others of its kind: no
instance could start, and none would learn that an endpoint leaves.
"""

import asyncio
import time
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.errors import PlatformError
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.endpoint_directory import EndpointDirectory
from arbutusflow.gateway.model import Address, HttpResponse, StorePoint
from arbutusflow.gateway.peers import CopyTransfer
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform import entries
from arbutusflow.platform.entries import split_event, split_page
from arbutusflow.platform.steps import finish
from arbutusflow.platform.store import StoreClient
from tests.gateway.fakes import FakeLog
from tests.gateway.test_documents import ENTRY
from tests.gateway.virtual_time import run

DEEP = 200_000
SPOILT_VALUES = {
    "surrogate": rb'"\udcff\udcfe"',
    "not UTF-8": b'"\xff\xfe"',
    "beyond 64 bits": b"123456789012345678901234567890",
    "out of range": b"1e999",
    "NaN": b"NaN",
    "infinity": b"-Infinity",
    "nested arrays": b"[" * DEEP + b"]" * DEEP,
    "nested objects": b'{"a":' * 5000 + b"1" + b"}" * 5000,
    "control character": b'"\x01"',
    "bad escape": rb'"\q"',
    "brackets in a string": b'"]},{[\\""',
    "trailing comma": b'{"a":1,}',
    "megabytes": b'"' + b"x" * 3_000_000 + b'"',
    "null": b"null",
    "array": b"[[],{}]",
}
# These are readable; they only have to do no harm.
READABLE = ("brackets in a string", "null")
MAX_SECONDS = 5.0  # For a list with 3 MB; a test host can be slow.


def entry(number):
    metadata = {"name": f"i-{number}", "revision": number + 1}
    return msgspec.json.encode(ENTRY | {"metadata": metadata})


def spoilt_entry(value, number=999):
    return (
        b'{"metadata":{"name":"i-%d","revision":7},"spec":{"info":{"version":%b}}}'
        % (number, value)
    )


def page(field, parts, tail=b'"hasMore":false,"asOf":40'):
    return b'{"%b":[%b],%b}' % (field.encode(), b",".join(parts), tail)


class Store(StoreClient):
    """Answers a list and then a watch."""

    def __init__(self, listed, watched=None):
        super().__init__(Address("store", 1))
        self.listed, self.watched = listed, watched

    async def _call(self, method, path, *args, **options):
        if "watch=" not in path:
            return HttpResponse(200, b"", (), self.listed, reusable=True)
        if self.watched is None or "watch=40" not in path:
            await asyncio.sleep(60.0)
        return HttpResponse(200, b"", (), self.watched, reusable=True)


def listed_endpoints(store):
    """Return the endpoints in use after a list and a watch, and the log."""

    async def main():
        log = FakeLog()
        copy = ObjectCopy(store, "servers", 15.0, lambda: None, log)
        task = asyncio.create_task(copy.run())
        await asyncio.sleep(1.0)
        task.cancel()
        directory = EndpointDirectory(copy, lambda now: 100.0, log)
        directory.update(0.0)
        return set(directory.endpoints), copy, log.events

    return run(main())


@pytest.mark.parametrize("kind", SPOILT_VALUES)
def test_an_unreadable_entry_of_a_list_hides_no_other(kind):
    parts = [entry(n) for n in range(9)]
    parts.insert(4, spoilt_entry(SPOILT_VALUES[kind]))
    started = time.monotonic()
    names, copy, events = listed_endpoints(Store(page("items", parts)))
    assert time.monotonic() - started < MAX_SECONDS
    assert names == {f"i-{n}" for n in range(9)}
    logged = [f for name, f in events if name == "store_entry_unreadable"]
    assert len(logged) == (0 if kind in READABLE else 1)
    if logged:
        assert (logged[0]["name"], logged[0]["revision"]) == ("i-999", 7)
        assert len(copy.objects["i-999"].raw) == 1


@pytest.mark.parametrize("kind", SPOILT_VALUES)
def test_an_unreadable_entry_of_a_watch_hides_no_other(kind):
    """The endpoint whose entry became unreadable is not used any more."""
    events = [spoilt_entry(SPOILT_VALUES[kind], 3), entry(5)]
    parts = [b'{"object":%b,"removed":false}' % event for event in events]
    parts.append(b'{"object":%b,"removed":true}' % entry(0))
    store = Store(
        page("items", [entry(n) for n in range(4)]),
        page("events", parts, b'"asOf":44'),
    )
    assert listed_endpoints(store)[0] == {"i-1", "i-2", "i-5"}


@pytest.mark.parametrize("name", [rb'"\udcff"', b"7", b"null", b'["a"]'])
def test_an_entry_without_a_readable_name_is_left_out_and_logged(name):
    parts = [b'{"metadata":{"name":%b},"spec":{}}' % name, entry(1)]
    names, _, events = listed_endpoints(Store(page("items", parts)))
    assert names == {"i-1"}
    assert [name for name, _ in events].count("store_entry_unreadable") == 1


UNNAMED = rb'{"metadata":{"name":"\udcff"},"spec":{}}'
MORE = b'"hasMore":true,"asOf":40'


class PagedStore(StoreClient):
    """Answers a list with several pages, by the value of `after`."""

    def __init__(self, pages):
        super().__init__(Address("store", 1))
        self.pages = pages

    async def _call(self, method, path, *args, **options):
        _, _, after = path.partition("after=")
        return HttpResponse(200, b"", (), self.pages[after], reusable=True)


def list_pages(pages):
    async def main():
        return await PagedStore(pages).list("servers", 1.0, ResponseProgress(1.0))

    return run(main())


def test_a_list_goes_on_behind_entries_without_readable_names():
    snapshot = list_pages(
        {
            "": page("items", [entry(1), UNNAMED], MORE),
            "i-1": page("items", [UNNAMED, entry(2)], MORE),
            "i-2": page("items", [entry(3)]),
        }
    )
    assert [item.name for item in snapshot.objects] == ["i-1", "i-2", "i-3"]


@pytest.mark.parametrize(
    "raw, after", [(b"i-1\x01", "i-1%01"), (b"i-1\r\n", "i-1%0D%0A")]
)
def test_a_list_goes_on_behind_a_name_that_is_no_well_formed_string(raw, after):
    """Guards against endpoints that are lost behind an entry alone on its page."""
    odd = b'{"metadata":{"name":"%b"},"spec":{}}' % raw
    pages = {"": page("items", [odd], MORE), after: page("items", [entry(2)])}
    assert [item.name for item in list_pages(pages).objects] == ["i-2"]


NO_TEXT = b'{"metadata":{"name":7},"spec":{}}'


@pytest.mark.parametrize("first", [[], [entry(1)]])
@pytest.mark.parametrize("parts", [[NO_TEXT, NO_TEXT], []])
def test_a_list_that_cannot_go_on_is_an_error(first, parts):
    """Guards against a list that looks complete although the store has more entries.

    Endpoints on its missing pages would count as gone.
    """
    pages = {"": page("items", parts, MORE)}
    if first:
        pages = {"": page("items", first, MORE), "i-1": pages[""]}
    with pytest.raises(PlatformError, match="cannot go on"):
        list_pages(pages)


@pytest.mark.parametrize("kind", SPOILT_VALUES)
def test_other_instances_can_be_sent_what_was_read(kind):
    """Guards against a number that no datagram can carry and that ends the relay."""
    parts = [entry(1), spoilt_entry(SPOILT_VALUES[kind])]

    async def main():
        return await Store(page("items", parts)).list(
            "servers", 1.0, ResponseProgress(1.0)
        )

    objects = run(main()).objects
    changes = [(item.name, item.revision, item.raw) for item in objects]
    assert msgspec.msgpack.encode(
        CopyTransfer("servers", StorePoint(0, 0), StorePoint(0, 40), changes)
    )


@pytest.mark.parametrize(
    "body",
    [b"", b"null", b"[]", b"{}", b'{"items":[],"asOf":"x"}', b'{"items":['],
)
def test_an_answer_without_entries_or_revision_is_an_error(body):
    with pytest.raises(PlatformError):
        finish(split_page(body, "items"))


@pytest.mark.parametrize(
    "event",
    [
        b'{"object":{"a":1},"removed":true}',
        b' { "removed" : true , "other":[1,{}], "object" : {"a":[]} } ',
        rb'{"\u006fbject":{"a":"]},"},"removed":false}',
        b'{"object":1,"object":{"a":2},"removed":true,"removed":false}',
        b'{"object":{"a":1}}',
        b'{"object":null,"removed":"true"}',
        b'{"object":{"a":1},"removed":null}',
    ],
)
def test_both_ways_to_split_an_event_agree(event, monkeypatch):
    """Guards against an event that means something else beside an unreadable one."""
    fast = finish(split_event(event))

    def fail(data):
        raise msgspec.DecodeError("not well-formed")

    monkeypatch.setattr(entries, "_event_decoder", SimpleNamespace(decode=fail))
    data, removed = finish(split_event(event))
    assert (data.strip(), removed) == fast


@pytest.mark.parametrize("event", [b"{}", b"7", b"null", b'{"removed":true}'])
def test_an_event_without_an_object_is_left_out_and_logged(event):
    parts = [event, b'{"object":%b,"removed":false}' % entry(5)]
    store = Store(page("items", [entry(1)]), page("events", parts, b'"asOf":44'))
    names, _, events = listed_endpoints(store)
    assert names == {"i-1", "i-5"}
    assert [name for name, _ in events].count("store_entry_unreadable") == 1


def _as_string(data):
    """Return a JSON string with any bytes but unescaped quotes and backslashes."""
    return b'"%b"' % data.replace(b"\\", b"").replace(b'"', rb"\"")


@settings(max_examples=300, deadline=None)
@given(
    spoilt=st.dictionaries(
        st.integers(0, 29),
        st.one_of(
            st.binary(max_size=20).map(_as_string),
            st.sampled_from(sorted(set(SPOILT_VALUES.values()), key=len)[:10]),
        ),
        max_size=3,
    )
)
def test_nine_of_ten_entries_are_used_whatever_the_others_hold(spoilt):
    parts = [spoilt_entry(spoilt[n], n) if n in spoilt else entry(n) for n in range(30)]

    async def main():
        return await Store(page("items", parts)).list(
            "servers", 1.0, ResponseProgress(1.0)
        )

    snapshot = run(main())
    readable = {item.name for item in snapshot.objects if not item.unreadable}
    assert {f"i-{n}" for n in range(30) if n not in spoilt} <= readable
    assert len(snapshot.objects) + len(snapshot.left_out) == 30
