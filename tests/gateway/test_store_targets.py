"""Names of objects in the targets of calls to the store.

Guards against a name that changes the meaning of a call: a space ended the list of all
endpoints, so that no instance learned of any after a restart.
"""

import asyncio
import json
import re
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from arbutusflow.errors import ListCutOffError, PlatformError
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.model import Address, HttpResponse
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.entries import MAX_NAME_CHARACTERS
from arbutusflow.platform.store import StoreClient, StoredObject
from arbutusflow.platform.targets import OBJECTS_PATH
from tests.gateway.fakes import FakeLog, at
from tests.gateway.virtual_time import run

REQUEST_LINE = re.compile(rb"([A-Z]+) ([!-~]+) HTTP/1\.1\r\n")
ODD_NAMES = ["a b", "a&after=z", "a#b", "a+b", "a%20b", "a?watch=1", "a/b", "../b"]
ODD_NAMES += ["a\r\nX: y", "a\x00b", "žluť", "\U0001f40e", "n" * 3000, "m" * 1_000_000]
MAX_TARGET_BYTES = 8000  # What common servers take.
NAMES = st.text(st.characters(exclude_categories=["Cs"]), max_size=12)


def entry(name):
    return {"metadata": {"name": name, "revision": 3}, "spec": {"name": name}}


class StrictStore(StoreClient):
    """Lists one object a page, and refuses request lines that are no HTTP."""

    def __init__(self, names):
        super().__init__(Address("store", 1))
        self.names = sorted(names)

    async def _exchange(self, head, body, timeout, progress):
        line = REQUEST_LINE.match(head)
        if line is None:
            return self.reply(400, {})
        if len(line[2]) > MAX_TARGET_BYTES:
            return self.reply(414, {})
        url = urlsplit(line[2].decode())
        query = parse_qs(url.query, keep_blank_values=True)
        kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
        if unquote(kind) != "servers" or len(query) != url.query.count("="):
            return self.reply(400, {})
        if "watch" in query:
            await asyncio.sleep(60.0)
        if name:
            known = unquote(name) in self.names
            return self.reply(*((200, entry(unquote(name))) if known else (404, {})))
        if line[1] == b"POST":
            return self.reply(201, msgspec.json.decode(body))
        after = query.get("after", [None])[0]
        left = [n for n in self.names if after is None or n > after]
        items = [entry(n) for n in left[:1]]
        return self.reply(200, {"items": items, "hasMore": len(left) > 1, "asOf": 9})

    def reply(self, status, document):
        # Unlike msgspec, the encoder of the standard library takes lone surrogates.
        return HttpResponse(status, b"", (), json.dumps(document).encode(), True)


def read_copy(store, *, accepts_parts=False, names_before=()):
    """Return a copy after its first list, and the log."""

    async def main():
        log = FakeLog()
        copy = ObjectCopy(store, "servers", 15.0, lambda: None, log)
        copy.accepts_parts = accepts_parts
        if names_before:
            known = [StoredObject(name, at(2), None, {}) for name in names_before]
            copy.use_relayed_objects(at(2), known)
            copy.relist()
        task = asyncio.create_task(copy.run())
        await asyncio.sleep(3.0)
        task.cancel()
        return copy, log

    return run(main())


def listed_names(names):
    return set(read_copy(StrictStore(names))[0].objects)


@settings(deadline=None)
@given(names=st.sets(NAMES.filter(bool), min_size=1, max_size=5))
@example(names={*ODD_NAMES, "i-1", "zz"})
def test_a_list_goes_on_behind_any_name(names):
    assert listed_names(names) == {n for n in names if len(n) <= MAX_NAME_CHARACTERS}


@pytest.mark.parametrize("name", ["", "\ud83d", "b\udc00x", "a\\\ud800\\"])
def test_a_list_goes_on_behind_a_name_that_no_call_can_hold(name):
    names = {"a", "b", "c", "\uffee", "\U0001f40e"}
    readable = names | ({name} if not name else set())
    assert listed_names(names | {name}) == readable


class DeadEndStore(StrictStore):
    """Refuses the page behind an object, or repeats the one before."""

    def __init__(self, names, end, *, repeats):
        super().__init__(names)
        self.end, self.repeats = end, repeats

    async def _call(self, method, target, *args, **options):
        if not target.endswith(f"after={self.end}"):
            return await super()._call(method, target, *args, **options)
        if self.repeats:
            target = target.removesuffix(f"after={self.end}").rstrip("?&")
            return await super()._call(method, target, *args, **options)
        return self.reply(400, {})


@pytest.mark.parametrize("repeats", [False, True])
def test_a_list_that_is_cut_off_costs_no_entry_that_was_read(repeats):
    """Guards against a restart after which no endpoint is known, and a list that is
    read for ever."""
    store = DeadEndStore({"a", "b", "d"}, "b", repeats=repeats)
    copy, log = read_copy(
        store, accepts_parts=True, names_before=("a", "aa", "b", "c", "d")
    )
    # "aa" would have been listed; nothing is known of what stands behind "b".
    assert set(copy.objects) == {"a", "b", "c", "d"}
    assert (copy.lists_cut_off, copy.unreachable_since) == (1, None)
    assert [event for event, _ in log.events].count("store_list_cut_off") == 1
    assert store.calls <= 5  # Pages, one more, and a watch.


def test_a_store_that_repeats_its_first_page_is_asked_twice():
    """Guards against a call for each object of a page, and all of it kept each time."""

    class FirstPageStore(StrictStore):
        async def _call(self, method, target, *args, **options):
            self.calls += 1
            items = [entry(f"e{number}") for number in range(300)]
            return self.reply(200, {"items": items, "hasMore": True, "asOf": 9})

    async def main():
        store = FirstPageStore([])
        with pytest.raises(ListCutOffError) as caught:
            await store.list("servers", 1.0, ResponseProgress(1.0))
        return store.calls, len(caught.value.part.objects)

    assert run(main()) == (2, 600)


def test_a_copy_for_which_a_missing_object_counts_takes_no_part_of_a_list():
    """Guards against keys that are assigned anew because a table was not listed."""
    store = DeadEndStore({"a", "b", "d"}, "b", repeats=False)
    copy, log = read_copy(store)
    assert not copy.objects and not copy.was_read
    assert copy.lists_cut_off > 1
    assert copy.unreachable_since is not None


@settings(deadline=None)
@given(name=NAMES.filter(lambda name: name not in ("", ".", "..")))
@example(name="a b")
@example(name="../b")
def test_any_object_can_be_read_and_written(name):
    async def main():
        store = StrictStore([name])
        item = await store.get("servers", name)
        replaced = await store.replace("servers", name, {}, item.revision)
        await store.delete("servers", name, item.revision)
        created = await store.create("servers", name, {})
        return {item.name, replaced.name, created.name}

    assert run(main()) == {name}


@pytest.mark.parametrize("name", ["", ".", "..", "\udcff"])
def test_a_name_that_no_path_can_hold_is_refused_before_the_call(name):
    """Guards against a call on another object, or on all of a kind."""

    async def main():
        store = StrictStore([name])
        with pytest.raises(PlatformError):
            await store.delete("servers", name, at(3))
        return store.calls

    assert run(main()) == 0


def test_a_refused_call_is_told_with_its_target():
    async def main():
        with pytest.raises(PlatformError, match="400 to GET /arbutusflow/objects/x"):
            await StrictStore([]).list("x", 1.0, ResponseProgress(1.0))

    run(main())
