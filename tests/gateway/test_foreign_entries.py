"""Entries of another writer with odd names, in lists of several pages.

Guards against a list that goes on behind such a name and does not reach what stands
behind it: after a restart of all instances, one entry stopped the service.
"""

import asyncio

import pytest

from arbutusflow.errors import ConflictError
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.model import Address
from arbutusflow.platform.store import StoreClient
from tests.gateway.paged_store import PAGE_BYTES, PAGE_ITEMS, VALUE_BYTES, PagedStore
from tests.loopback import own_host

RECOVERY_SECONDS = 15.0  # `recoveryS` of the settings.
# Of each endpoint; all endpoints of one service are listed behind the odd entries.
SERVICE_OF = {b"i-1": "a", b"i-3": "a", b"i-5": "a", b"i-7": "b"}
ENDPOINTS = tuple(SERVICE_OF)
KINDS = (b"servers", b"evacuations", b"config", b"arbutusflow")
# Parts of names: characters with a meaning in a request, escapes, and text that
# something on the way could decode or normalize.
ODD_PARTS = [c.encode() for c in '&+#% ?/;="\\\0\x7fé\u2028\U0001f40e']
ODD_PARTS += [b"%2", b"%20", b"%2B", b"  ", b"&after=i-0", b"/../..", b"\r\nX: y"]
ODD_PARTS.append("e\u0301".encode())
# Parts of names that are no UTF-8, no Unicode, or longer than any call can hold.
UNREADABLE_PARTS = [b"\xff", b"\xff\xfe", b"a\xc3", b"\xc0\xaf", b"\xf4\x90\x80\x80"]
UNREADABLE_PARTS += [b"+\xff&", b"\xed\xb3\xbf", b"\xed\xa0\x80x"]
UNREADABLE_PARTS += [b"\xee\x80\x80\xff", b"\xee\x80\x80\xed\xb3\xbf"]
UNREADABLE_PARTS += [b"n" * 5000, b"\x80" * 5000]


def foreign_content(size=0):
    """Encode members of an entry that has no field of an endpoint."""
    return b'"spec":{"dump":"%b"}' % (b"x" * size)


def among_others(odd):
    """Return entries of which an odd one is the last of a page.

    Which page that is depends on where its name is sorted.
    """
    plain = [b"i-3-%04d" % number for number in range(PAGE_ITEMS - 3)]
    behind = [b"i-4-%04d" % number for number in range(PAGE_ITEMS)]
    return {name: foreign_content() for name in (*plain, b"i-4" + odd, *behind)}


def alone(odd):
    """Return an odd entry that fills a page."""
    return {b"i-4" + odd: foreign_content(PAGE_BYTES)}


def a_whole_page(odd):
    """Return odd entries that fill pages together."""
    return {b"i-4%b%04d" % (odd, n): foreign_content() for n in range(2 * PAGE_ITEMS)}


LAYOUTS = (among_others, alone, a_whole_page)


def put_all(store, kind, entries):
    for name, content in entries.items():
        assert len(content) < VALUE_BYTES
        store.put(kind, name, content)


def list_names(kind, entries):
    """Return the names that a client lists, and the store."""

    async def main():
        async with PagedStore().serving(own_host()) as store:
            put_all(store, kind, entries)
            client = StoreClient(Address(own_host(), store.port))
            async with asyncio.timeout(RECOVERY_SECONDS):
                listed = await client.list(kind.decode(), 5.0, ResponseProgress(5.0))
            return [item.name.encode() for item in listed.objects], store

    return asyncio.run(main())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("odd", ODD_PARTS)
def test_a_list_reaches_each_entry_behind_an_odd_name(kind, layout, odd):
    entries = layout(odd) | dict.fromkeys(ENDPOINTS, foreign_content())
    names, store = list_names(kind, entries)
    assert names == sorted(entries)
    assert (store.pages, store.malformed) == (3, [])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("odd", UNREADABLE_PARTS)
def test_a_list_reaches_each_entry_behind_an_unreadable_name(kind, layout, odd):
    entries = layout(odd) | dict.fromkeys(ENDPOINTS, foreign_content())
    names, store = list_names(kind, entries)
    assert names == sorted(name for name in entries if odd not in name)
    # Of a page, what stands behind its last readable name may be read again.
    assert store.pages <= 4
    assert store.malformed == []


@pytest.mark.parametrize("odd", ODD_PARTS)
def test_an_object_with_an_odd_name_is_read_and_written(odd):
    """Guards against a call that reads, changes or removes another object."""
    name = (b"i-4" + odd).decode()

    async def main():
        async with PagedStore().serving(own_host()) as store:
            put_all(store, b"servers", dict.fromkeys(ENDPOINTS, foreign_content()))
            client = StoreClient(Address(own_host(), store.port))
            created = await client.create("servers", name, {"n": 1})
            with pytest.raises(ConflictError) as caught:
                await client.create("servers", name, {})
            replaced = await client.replace("servers", name, {}, created.revision)
            read = await client.get("servers", name)
            await client.delete("servers", name, replaced.revision)
            gone = await client.get("servers", name)
            answers = (created, caught.value.current, replaced, read)
            return {item.name for item in answers}, gone, store

    names, gone, store = asyncio.run(main())
    assert (names, gone, store.malformed) == ({name}, None, [])
    assert {n for _, n in store.objects} == set(ENDPOINTS)
