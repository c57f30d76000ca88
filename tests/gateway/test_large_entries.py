"""Large entries of another writer, among others that are used.

Guards against one such entry that holds the event loop for seconds each time it is
read, so that no request is answered in time, and against keeping its content.
"""

import asyncio
import gc
import sys

import msgspec
import pytest

from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.platform.store import ENDPOINTS_KIND, EVACUATIONS_KIND
from tests.gateway.fakes import at
from tests.gateway.test_unreadable_entries import SPOILT_VALUES, Store, entry, page
from tests.gateway.virtual_time import run

ROWS = 330_000
# Of Python calls until other events are handled; a large entry has a million tokens.
MAX_CALLS_AT_ONCE = 25_000
MAX_KEPT_BYTES = 1000  # Of the content of an entry.
MAX_KEPT_OBJECTS = 100


def large_entry(value, comb=b"[],", place=b"title"):
    rows = b"[" + comb * (3 * ROWS // len(comb)) + b"0]"
    metadata = b'{"name":"export","revision":7}'
    spec = b'{"rows":%b,"%b":%b}' % (rows, place, value)
    return b'{"metadata":%b,"spec":%b}' % (metadata, spec)


class Rounds:
    """Counts Python calls between two rounds of the event loop."""

    def __init__(self):
        self.longest = self.calls = 0

    def profile(self, frame, event, arg):
        self.calls += 1

    async def go_round(self):
        while True:
            self.longest, self.calls = max(self.longest, self.calls), 0
            await asyncio.sleep(0)


def read(kind, listed, watched):
    """Return a list and the changes of a watch, and the longest round."""

    async def main():
        store, rounds = Store(listed, watched), Rounds()
        task = asyncio.create_task(rounds.go_round())
        await asyncio.sleep(0)
        progress = ResponseProgress(1.0)
        sys.setprofile(rounds.profile)
        try:
            snapshot = await store.list(kind, 1.0, progress)
            changes = await store.watch(kind, at(40), 1.0, progress, may_lag=False)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        finally:
            sys.setprofile(None)
        task.cancel()
        return snapshot, changes, rounds.longest

    return run(main())


def read_beside_others(kind, large):
    parts = [entry(1), large, entry(2)]
    events = [b'{"object":%b,"removed":false}' % part for part in parts]
    return read(kind, page("items", parts), page("events", events, b'"asOf":44'))


@pytest.mark.parametrize(
    ("value", "comb"),
    [(value, b"[],") for value in SPOILT_VALUES]
    + [("surrogate", comb) for comb in (b'"",', b"[[],{}],", b'{"a":[[[]]]},')],
)
def test_a_large_entry_does_not_hold_the_event_loop(value, comb):
    large = large_entry(SPOILT_VALUES[value], comb)
    snapshot, changes, longest = read_beside_others(ENDPOINTS_KIND, large)
    assert longest <= MAX_CALLS_AT_ONCE
    listed = [item.name for item in snapshot.objects if not item.unreadable]
    watched = [c.object.name for c in changes.changes if not c.object.unreadable]
    for names in (listed, watched):
        assert [name for name in names if name != "export"] == ["i-1", "i-2"]


@pytest.mark.parametrize("kind", [ENDPOINTS_KIND, EVACUATIONS_KIND])
@pytest.mark.parametrize("value", ["null", "surrogate", "array"])
def test_the_content_of_a_large_entry_is_not_kept(kind, value):
    large = large_entry(SPOILT_VALUES[value])
    read_beside_others(kind, large)  # Fills what is made only once.
    gc.collect()
    before = len(gc.get_objects())
    snapshot, changes, _ = read_beside_others(kind, large)
    gc.collect()
    assert len(gc.get_objects()) - before < MAX_KEPT_OBJECTS
    for item in (snapshot.objects[1], changes.changes[1].object):
        assert (item.name, item.revision) == ("export", at(7))
        assert len(msgspec.json.encode(item.raw)) < MAX_KEPT_BYTES


@pytest.mark.parametrize("value", ["[1]", '{"a":1}', "1e999"])
@pytest.mark.parametrize("field", ["service", "zone", "slots", "version"])
def test_a_field_of_another_type_makes_an_entry_unreadable(field, value):
    document = msgspec.json.decode(entry(3))
    document["spec"]["info"][field] = msgspec.Raw(value.encode())
    spoilt = msgspec.json.encode(document)
    snapshot, _, _ = read_beside_others(ENDPOINTS_KIND, spoilt)
    odd = snapshot.objects[1]
    assert (odd.name, odd.spec, len(odd.raw)) == ("i-3", None, 1)
    assert field in odd.unreadable or "out of range" in odd.unreadable
