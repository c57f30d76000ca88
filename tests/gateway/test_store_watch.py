"""Copies of the store's objects when calls are lost or get no answer."""

import asyncio
import dataclasses

import pytest

from arbutusflow.errors import PlatformUnavailableError
from arbutusflow.gateway.model import StorePoint
from arbutusflow.gateway.store_probes import StoreProbes
from arbutusflow.gateway.store_watch import ObjectCopy
from tests.gateway.fakes import FakeLog, at
from tests.gateway.sim_fleet import OTHER_KIND, SimStore, SimStoreClient
from tests.gateway.virtual_time import run


class _Client(SimStoreClient):
    """Raises an error when a list call times out, as the real client does."""

    async def list(self, kind, timeout, progress, **options):
        call = super().list(kind, timeout, progress, **options)
        return await _with_timeout(timeout, call)


async def _with_timeout(timeout, call):
    try:
        async with asyncio.timeout(timeout):
            return await call
    except TimeoutError as exc:
        raise PlatformUnavailableError("no answer in time") from exc


def run_scenario(scenario, on_change=lambda: None):
    async def main():
        store = SimStore()
        client = _Client(store, "n1")
        writer = SimStoreClient(store, "writer")
        copy = ObjectCopy(client, "kind", 15.0, on_change, FakeLog())
        task = asyncio.create_task(copy.run())
        try:
            return await scenario(store, writer, copy)
        finally:
            task.cancel()

    return run(main())


async def _check(probes, seconds):
    """Let the probes of a granter go on for some time."""
    loop = asyncio.get_running_loop()
    for _ in range(round(seconds / 0.05)):
        probes.check_as_granter(loop.time())
        await asyncio.sleep(0.05)


def test_changes_arrive():
    async def scenario(store, writer, copy):
        await asyncio.sleep(1.0)
        await writer.create("kind", "a", {"x": 1})
        await asyncio.sleep(0.1)
        return copy.objects["a"].spec

    assert run_scenario(scenario) == {"x": 1}


def test_an_older_object_does_not_replace_a_later_one():
    async def scenario(store, writer, copy):
        old = await writer.create("kind", "a", 1)
        new = await writer.replace("kind", "a", 2, old.revision)
        await asyncio.sleep(0.5)
        copy.adopt(old)
        return copy.objects["a"] == new

    assert run_scenario(scenario)


def test_a_dropped_call_times_out_early():
    """Guards against a dropped call that keeps an old configuration for 3.9 s."""

    async def scenario(store, writer, copy):
        store.unresponsive_to.add("n1")
        copy.report_call_failure("a call failed")
        await asyncio.sleep(0.3)
        store.unresponsive_to.clear()  # The call under way stays unanswered.
        await writer.create("kind", "a", 1)
        await asyncio.sleep(1.5)
        return "a" in copy.objects

    assert run_scenario(scenario)


def test_a_broken_watch_is_detected_by_revisions_of_peers():
    async def scenario(store, writer, copy):
        await asyncio.sleep(1.0)
        store.changed = asyncio.Event()  # The watch under way sees no more changes.
        item = await writer.create("kind", "a", 1)
        loop = asyncio.get_running_loop()
        for _ in range(10):
            await asyncio.sleep(0.1)
            copy.note_peer_revision(item.revision, loop.time())
        return "a" in copy.objects

    assert run_scenario(scenario)


@pytest.mark.parametrize("silent_seconds", [0.0, 0.7, 5.0])
def test_a_watch_whose_connection_is_silent_is_restarted(silent_seconds):
    """Guards against an old configuration in force while the store answers other calls.

    Nobody else tells of the change: the watches of all readers are silent, as after a
    fault that takes all open connections and leaves new ones intact.
    """

    async def scenario(store, writer, copy):
        probes = StoreProbes(copy._store, {"kind": copy}, lambda: None)
        await _check(probes, 1.0)
        store.changed = asyncio.Event()  # The watch under way sees no more changes.
        await _check(probes, silent_seconds)
        await writer.create("kind", "a", 1)
        await _check(probes, 1.5)
        return "a" in copy.objects

    assert run_scenario(scenario)


def test_a_silent_watch_is_noticed_beside_a_copy_that_may_lag():
    """Guards against checks that always go to a copy that cannot be checked."""

    async def scenario(store, writer, copy):
        other = ObjectCopy(copy._store, OTHER_KIND, 15.0, lambda: None, FakeLog())
        other.set_watch_mode(15.0, may_lag=True)
        task = asyncio.create_task(other.run())
        copies = {"kind": copy, OTHER_KIND: other}
        probes = StoreProbes(copy._store, copies, lambda: None)
        await _check(probes, 1.0)
        store.changed = asyncio.Event()  # The watches under way see no more changes.
        await writer.create("kind", "a", 1)
        await _check(probes, 5.0)
        task.cancel()
        return "a" in copy.objects

    assert run_scenario(scenario)


def test_a_watch_that_has_delivered_all_changes_is_not_restarted():
    """Guards against further calls because objects of other kinds have changed."""

    async def scenario(store, writer, copy):
        peek, watch = copy._store.peek, copy._store.watch
        watches = 0

        async def count(*args, **options):
            nonlocal watches
            watches += 1
            return await watch(*args, **options)

        async def peek_later(*args):
            await writer.create("kind", "a", 1)
            missed = await peek(*args)
            # Objects of other kinds have changed between the watch and this.
            later = StorePoint(missed.revision.era, missed.revision.number + 3)
            return dataclasses.replace(missed, revision=later)

        await asyncio.sleep(1.0)
        copy._store.peek, copy._store.watch = peek_later, count
        await copy.check_watch(1.0)
        await asyncio.sleep(0.2)
        return watches

    # The one that follows the answer with the change.
    assert run_scenario(scenario) == 1


def test_the_time_of_the_last_current_copy_is_a_lower_bound():
    """The right to grant keys depends on this time."""

    async def scenario(store, writer, copy):
        await asyncio.sleep(16.0)
        loop = asyncio.get_running_loop()
        assert loop.time() - copy.current_at < 16.0
        store.unreachable_for.add("n1")
        await asyncio.sleep(20.0)
        return loop.time() - copy.current_at

    assert run_scenario(scenario) >= 20.0


def test_an_exception_in_on_change_does_not_end_the_task():
    """Guards against a copy that is never updated again and serves outdated objects."""
    errors = [KeyError("x")]

    def on_change():
        if errors:
            raise errors.pop()

    async def scenario(store, writer, copy):
        await asyncio.sleep(1.0)
        await writer.create("kind", "a", 1)
        await asyncio.sleep(1.0)
        return "a" in copy.objects

    assert run_scenario(scenario, on_change)


@pytest.mark.parametrize("period", [0.1, 1.2])
def test_a_lagging_watch_is_restarted_when_peers_know_later_objects(period):
    """Watches that may lag cost a tenth of others, but a configuration has to be in
    force within 2 s. Guards against treating reports more than a second apart as
    unrelated.
    """

    async def scenario(store, writer, copy):
        copy.set_watch_mode(15.0, may_lag=True)
        store.lag_seconds = 10.0
        await asyncio.sleep(1.0)
        item = await writer.create("kind", "a", 1)
        loop = asyncio.get_running_loop()
        for _ in range(round(3 / period)):
            await asyncio.sleep(period)
            copy.note_peer_revision(item.revision, loop.time())
        await asyncio.sleep(0.1)
        return "a" in copy.objects

    assert run_scenario(scenario)


def test_a_watch_that_may_lag_does_not_make_the_copy_current():
    async def scenario(store, writer, copy):
        copy.set_watch_mode(15.0, may_lag=True)
        await asyncio.sleep(40.0)
        return asyncio.get_running_loop().time() - copy.current_at

    assert run_scenario(scenario) >= 39.0


def test_a_stricter_watch_mode_takes_effect_at_once():
    async def scenario(store, writer, copy):
        copy.set_watch_mode(15.0, may_lag=True)
        await asyncio.sleep(5.0)
        copy.set_watch_mode(1.0, may_lag=False)
        await asyncio.sleep(1.5)
        return asyncio.get_running_loop().time() - copy.current_at

    assert run_scenario(scenario) < 1.5


def test_a_long_answer_in_transit_is_not_cancelled():
    """A configuration of 1,600 routes takes 0.6 s over a link of 5 Mbit/s.

    Guards against cancelling and restarting its transfer when a peer knows the version.
    """

    async def scenario(store, writer, copy):
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        for _ in range(10):
            copy._progress.received_at = loop.time()
            copy.note_peer_revision(at(10**6), loop.time())
            await asyncio.sleep(0.1)
        return copy.unreachable_since

    assert run_scenario(scenario) is None


def test_changes_on_a_watch_that_may_lag_are_coalesced():
    """Otherwise each of 68 instances makes 74 calls while 168 endpoints register."""

    async def scenario(store, writer, copy):
        copy.coalesce_seconds = 0.25
        copy.set_watch_mode(15.0, may_lag=True)
        await asyncio.sleep(1.0)
        before = copy._store.calls
        for number in range(20):
            await writer.create("kind", f"e{number}", 1)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        return copy._store.calls - before, len(copy.objects)

    calls, objects = run_scenario(scenario)
    assert objects == 20
    # One watch per 0.25 s, which the simulated store counts as two calls.
    assert calls <= 2 * 6


def test_one_copy_retries_an_unreachable_store_for_all():
    """Rejected calls are priced as well.

    Guards against 24 instances that each call a store that rejects their calls for
    three kinds of object, three times a second.
    """

    async def main():
        store = SimStore()
        client = _Client(store, "n1")
        copies = [
            ObjectCopy(client, kind, 15.0, lambda: None, FakeLog())
            for kind in ("a", "b", "c")
        ]
        for copy in copies[1:]:
            copy.retry_leader = copies[0]
        tasks = [asyncio.create_task(copy.run()) for copy in copies]
        await asyncio.sleep(1.0)
        store.unreachable_for.add("n1")
        for copy in copies:
            copy.report_call_failure("a call failed")
        await asyncio.sleep(2.0)
        before = client.calls
        await asyncio.sleep(9.0)
        calls = client.calls - before
        store.unreachable_for.clear()
        await asyncio.sleep(1.5)
        for task in tasks:
            task.cancel()
        return calls, [copy.unreachable_since for copy in copies]

    calls, lost_times = run(main())
    assert calls <= 9 * 1.5 + 2 * 9 / 1.5  # One copy calls about once a second.
    assert lost_times == [None, None, None]


def test_a_restarted_watch_gets_time_to_complete():
    """On a saturated link a call takes longer than 0.3 s.

    Guards against cancelling and restarting it each time, which delays a configuration
    by 5 s.
    """

    async def scenario(store, writer, copy):
        copy.set_watch_mode(15.0, may_lag=True)
        store.lag_seconds = 10.0
        await asyncio.sleep(1.0)
        item = await writer.create("kind", "a", 1)
        loop = asyncio.get_running_loop()
        store.transit_seconds = 0.3  # Twice in each call.
        for _ in range(25):
            await asyncio.sleep(0.1)
            copy.note_peer_revision(item.revision, loop.time())
        return "a" in copy.objects

    assert run_scenario(scenario)


def test_the_task_ends_when_it_is_cancelled_together_with_its_call():
    """Guards against a process that does not exit.

    The cancellation of the task must not be mistaken for that of its call.
    """

    async def scenario(store, writer, copy):
        await asyncio.sleep(1.0)
        task = next(
            t for t in asyncio.all_tasks() if "ObjectCopy.run" in repr(t.get_coro())
        )
        copy.set_watch_mode(1.0, may_lag=False)
        task.cancel()
        await asyncio.wait([task], timeout=5.0)
        return task.done()

    assert run_scenario(scenario)
