"""The store client and copies of objects when the store changes its era.

Guards against objects of a lost part that stay in force, writes under a revision that
was given out again, and answers of an earlier era that are used.
"""

import asyncio
import contextlib
import socket

import pytest

from arbutusflow.errors import (
    ConflictError,
    HistoryGoneError,
    PlatformUnavailableError,
)
from arbutusflow.gateway.client_connection import ResponseProgress
from arbutusflow.gateway.endpoint_directory import (
    OUTDATED_ENTRY_SECONDS,
    REREGISTRATION_SECONDS,
    EndpointDirectory,
)
from arbutusflow.gateway.fleet import parse_table_name, table_name
from arbutusflow.gateway.key_planner import first_table_of_era
from arbutusflow.gateway.key_table import TOKENS_PER_ERA, KeyRange, KeyTable
from arbutusflow.gateway.model import KEY_SPACE, Address, StorePoint
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform import wire
from arbutusflow.platform.store import StoreClient, StoredObject
from tests.gateway.fakes import FakeLog, FakeStore, at
from tests.gateway.object_platform import ObjectStore
from tests.gateway.test_documents import ENTRY
from tests.gateway.test_endpoints import FakeCopy
from tests.gateway.virtual_time import run

HOST = "127.0.0.1"


@contextlib.asynccontextmanager
async def _store_and_client():
    store = ObjectStore()
    await store.server.start(HOST, 0)
    port = store.server.port
    try:
        yield store, StoreClient(Address(HOST, port))
    finally:
        store.server.stop_accepting()


async def _list(client):
    return await client.list("k", 2.0, ResponseProgress(2.0))


def _run_with_store(scenario):
    async def main():
        async with _store_and_client() as (store, client):
            return await scenario(store, client)

    return asyncio.run(main())


def test_a_write_that_was_not_sent_is_known_to_have_no_effect():
    """Guards against a wait for the effect of a write that the store refused to take,
    and against a lost answer that counts as one that was not sent."""

    async def scenario(store, client):
        store.lose_answers = True
        with pytest.raises(PlatformUnavailableError) as lost:
            await client.create("k", "a", 1)
        with socket.create_server((HOST, 0)) as unused:
            port = unused.getsockname()[1]
        with pytest.raises(PlatformUnavailableError) as refused:
            await StoreClient(Address(HOST, port)).create("k", "b", 1)
        return lost.value.sent, refused.value.sent

    assert _run_with_store(scenario) == (True, False)


def test_points_of_a_later_era_come_after_all_earlier_ones():
    """Guards against an order by number alone, and against plain numbers."""
    assert at(70, era=0) < at(3, era=1) < at(4, era=1)
    with pytest.raises(TypeError):
        _ = at(3) < 4


@pytest.mark.parametrize(
    ("header", "era"),
    [
        (None, 0),
        (b"0", 0),
        (b" 7 ", 7),
        (b"-1", None),
        (b"1.5", None),
        (b"x", None),
        (b"", None),
        (b"%d" % wire.MAX_ERA, wire.MAX_ERA),
        (b"%d" % (wire.MAX_ERA + 1), None),
        (b"9" * 400, None),
    ],
)
def test_an_era_is_a_bounded_whole_number(header, era):
    """Guards against tokens beyond 53 bits, and errors from bad headers."""
    assert wire.parse_era(header) == era
    assert (wire.MAX_ERA + 1) * TOKENS_PER_ERA < 2**53


def test_the_era_is_read_from_every_answer():
    """Guards against an era that is learnt from successes only."""

    async def scenario(store, client):
        eras = []
        item = await client.create("k", "a", 1)
        await client.get("k", "a")
        store.era_header = b"1"
        assert await client.get("k", "missing") is None  # 404
        eras.append(client.era.current)
        store.era_header = b"2"
        store.compact()
        with pytest.raises(HistoryGoneError):  # 410
            await client.watch("k", at(1), 1.0, ResponseProgress(2.0), may_lag=False)
        eras.append(client.era.current)
        store.era_header, store.down = b"3", True
        with pytest.raises(PlatformUnavailableError):  # 503
            await _list(client)
        eras.append(client.era.current)
        store.era_header, store.down = b"4", False
        with pytest.raises(PlatformUnavailableError):  # 409 in another era.
            await client.create("k", "a", 2)
        eras.append(client.era.current)
        assert item.revision.era == 0
        return eras

    assert _run_with_store(scenario) == [1, 2, 3, 4]


@pytest.mark.parametrize("header", [None, b"1", b"", b"-3", b"abc", b"9" * 30])
def test_an_answer_of_an_earlier_or_malformed_era_is_discarded(header):
    """Guards against an answer from before the store went back."""

    async def scenario(store, client):
        rejected = []
        client.era.on_rejected = rejected.append
        store.put("k", "a", 1)
        store.era_header = b"2"
        before = await _list(client)
        store.era_header = header
        with pytest.raises(PlatformUnavailableError):
            await _list(client)
        with pytest.raises(PlatformUnavailableError):
            await client.create("k", "b", 1)
        store.era_header = b"2"
        after = await _list(client)
        return client.era.current, len(rejected), after.revision > before.revision

    assert _run_with_store(scenario) == (2, 2, True)


def test_a_revision_of_an_earlier_era_is_no_condition():
    """Guards against replacing an object that was never read, under a revision that was
    given out again."""

    async def scenario(store, client):
        copy = store.keep_copy()
        item = await client.create("k", "a", "lost")
        store.go_back(copy)
        store.put("k", "a", "of another client")  # The same revision again.
        assert store.revision == item.revision.number
        # Not known here yet: the write is executed, but does not count.
        with pytest.raises(PlatformUnavailableError):
            await client.replace("k", "a", "first", item.revision)
        calls = store.calls
        with pytest.raises(ConflictError):
            await client.replace("k", "a", "second", item.revision)
        with pytest.raises(ConflictError):
            await client.delete("k", "a", item.revision)
        return calls == store.calls, store.spec("k", "a")

    assert _run_with_store(scenario) == (True, "first")


def test_a_copy_takes_the_objects_of_a_new_era_although_their_revisions_are_lower():
    """Guards against a copy that keeps what the store has lost."""

    async def scenario(store, client):
        log, eras = FakeLog(), []
        client.era.subscribers.append(lambda before, by: eras.append((before, by)))
        copy = ObjectCopy(client, "k", 5.0, lambda: None, log)
        task = asyncio.create_task(copy.run())
        store.put("k", "kept", 1)
        kept = store.keep_copy()
        store.put("k", "lost", 1)
        store.put("k", "kept", 2)
        await asyncio.sleep(0.3)
        before = copy.revision
        store.go_back(kept)
        await asyncio.sleep(1.2)
        store.put("k", "new", 1)
        await asyncio.sleep(0.3)
        task.cancel()
        specs = {name: item.spec for name, item in copy.objects.items()}
        return (
            specs,
            copy.revision > before,
            copy.changes_between(before, copy.relayed_revision),
            eras,
        )

    specs, later, changes, eras = _run_with_store(scenario)
    assert specs == {"kept": 1, "new": 1}
    assert later
    assert changes is None
    assert eras == [(0, "answer")]


def test_changes_of_another_era_are_not_applied():
    """Guards against changes that are applied to a state that they do not follow."""

    async def scenario():
        copy = ObjectCopy(FakeStore(), "k", 5.0, lambda: None, FakeLog())
        copy.set_parked(True)

        def item(point, value):
            return StoredObject("a", point, value, {"spec": value})

        copy.use_relayed_objects(at(10), [item(at(10), 1)])
        copy.apply_relayed_changes(at(9), at(5, era=1), [])
        assert copy.revision == at(10)
        copy.use_relayed_objects(at(5, era=1), [item(at(4, era=1), 2)])
        copy.use_relayed_objects(at(20), [item(at(20), 3)])
        return copy.objects["a"].spec, copy.revision, copy.era.current

    assert run(scenario()) == (2, at(5, era=1), 1)


def test_tables_of_each_era_have_names_of_their_own():
    """Guards against a late write that replaces a table of a later era."""
    for service in ("a", "1-a", "a.b", "keys.1-a"):
        names = [table_name(service, era) for era in (0, 1, 12)]
        assert [parse_table_name(n) for n in names] == [
            (service, 0),
            (service, 1),
            (service, 12),
        ]
    assert parse_table_name("instance-a") is None
    assert parse_table_name("keys.x-a") is None
    # Python reads no number of so many digits, and these are digits as well.
    assert parse_table_name(f"keys.{'9' * 5000}-a") is None
    assert parse_table_name("keys.\u0663-a") is None


def test_only_ranges_that_cannot_have_moved_keep_their_owner():
    """Guards against keeping the owner of a range that may have a new one."""
    ranges = (
        KeyRange(0, 99, "e0", 1, 3),
        KeyRange(100, 199, "e1", 1, 4).as_leaving(6, 9),
        KeyRange.unowned(200, 299, 1),
        KeyRange.unowned(300, KEY_SPACE - 1, 1).as_leaving(5, 9),
    )
    earlier = KeyTable("s", TOKENS_PER_ERA + 7, ranges)
    first = first_table_of_era(earlier, 1, 2, proved=True)
    first.check()
    assert first.ranges == (
        ranges[0],
        KeyRange.unowned(100, 199, 2),
        ranges[2],
        KeyRange.unowned(300, KEY_SPACE - 1, 2),
    )
    assert first.next_token == 2 * TOKENS_PER_ERA
    skipped = first_table_of_era(earlier, 1, 3, proved=True)
    assert skipped.ranges == (ranges[0], KeyRange.unowned(100, KEY_SPACE - 1, 3))
    unproved = first_table_of_era(earlier, 1, 2, proved=False)
    assert unproved.ranges == (KeyRange.unowned(0, KEY_SPACE - 1, 2),)


# Entries of endpoints.


def _entry(number):
    status = {"state": "ready", "seq": number, "coldLeftS": 0}
    return ENTRY | {"metadata": {"name": "a"}, "status": status}


def _put(copy, era, number):
    """Make `number` the entry of the endpoint in an era; None removes it."""
    copy.revision = StorePoint(era, copy.revision.number + 1)
    copy.objects = {}
    if number is not None:
        copy.objects["a"] = StoredObject("a", copy.revision, None, _entry(number))


def test_an_endpoint_that_left_is_not_listed_again_by_a_restored_entry():
    """Guards against requests to an endpoint whose removal the store has lost."""
    copy = FakeCopy()
    directory = EndpointDirectory(copy, lambda now: 100.0, FakeLog())
    listed = []
    for now, era, number in ((0.0, 0, 5), (1.0, 0, None), (2.0, 1, 5)):
        copy.era_entered_at = 2.0 if era else -1e9
        _put(copy, era, number)
        directory.update(now)
        listed.append(set(directory.endpoints))
    assert listed == [{"a"}, set(), set()]
    # It is still there if it writes its entry again.
    _put(copy, 1, 6)
    directory.update(2.5)
    assert set(directory.endpoints) == {"a"}


def test_a_restored_entry_that_stays_is_accepted():
    """The store removes entries that nobody writes."""
    copy = FakeCopy()
    directory = EndpointDirectory(copy, lambda now: 100.0, FakeLog())
    for now, era, number in ((0.0, 0, 5), (1.0, 0, None), (2.0, 1, 5)):
        copy.era_entered_at = 2.0 if era else -1e9
        _put(copy, era, number)
        directory.update(now)
    assert not directory.expire(2.0 + OUTDATED_ENTRY_SECONDS - 0.1)
    assert directory.expire(2.0 + OUTDATED_ENTRY_SECONDS)
    assert set(directory.endpoints) == {"a"}


def test_an_entry_that_the_store_has_lost_is_retained_until_it_is_written_again():
    """Guards against endpoints that vanish with the lost part, though they serve."""
    copy = FakeCopy()
    directory = EndpointDirectory(copy, lambda now: 100.0, FakeLog())
    _put(copy, 0, 5)
    directory.update(0.0)
    copy.era_entered_at = 1.0
    _put(copy, 1, None)
    directory.update(1.0)
    assert not directory.expire(1.0 + REREGISTRATION_SECONDS - 0.1)
    assert set(directory.endpoints) == {"a"}
    assert directory.expire(1.0 + REREGISTRATION_SECONDS)
    assert directory.endpoints == {}
