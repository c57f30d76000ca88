"""Lists of objects that arrive in several pages.

Guards against an endpoint that had left, or a key table that was replaced, being used
again by an instance that has just started: it missed what changed between two pages.
"""

import asyncio

import msgspec

from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.model import Address, HttpResponse
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoreClient
from tests.gateway.fakes import FakeLog, at
from tests.gateway.virtual_time import run


def _object(name, revision):
    return {"metadata": {"name": name, "revision": revision}, "spec": revision}


class _PagedStore(StoreClient):
    """Answers a list with two pages, between which objects change at revision 6."""

    def __init__(self):
        super().__init__(Address("store", 1))
        self.watched_from = []

    async def _call(self, method, path, *args, **options):
        if "watch=" in path:
            revision = int(path.split("watch=")[1].split("&")[0])
            self.watched_from.append(revision)
            if revision >= 6:
                await asyncio.sleep(60.0)
            removal = {"object": _object("a-left", 5), "removed": True}
            change = {"object": _object("a-moved", 6), "removed": False}
            return _response(events=[removal, change], asOf=6)
        if "after=" in path:
            return _response(items=[_object("b", 6)], hasMore=False, asOf=6)
        items = [_object("a-left", 3), _object("a-moved", 4)]
        return _response(items=items, hasMore=True, asOf=4)


def _response(**document):
    return HttpResponse(200, b"", (), msgspec.json.encode(document), reusable=True)


def test_changes_between_the_pages_of_a_list_are_not_missed():
    async def main():
        store = _PagedStore()
        copy = ObjectCopy(store, "k", 15.0, lambda: None, FakeLog())
        task = asyncio.create_task(copy.run())
        await asyncio.sleep(1.0)
        task.cancel()
        return store.watched_from[0], {n: i.spec for n, i in copy.objects.items()}

    assert run(main()) == (4, {"a-moved": 6, "b": 6})


def test_a_later_object_of_a_page_is_kept():
    """An object of a later page can be newer than the revision of the list."""

    async def main():
        store = _PagedStore()
        snapshot = await store.list("servers", 1.0, ResponseProgress(1.0))
        return snapshot.revision, [item.revision for item in snapshot.objects]

    assert run(main()) == (at(4), [at(3), at(4), at(6)])
