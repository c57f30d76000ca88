"""Relay of platform objects by the watcher of an availability zone."""

import asyncio
import concurrent.futures

import pytest

from arbutusflow.adapters.peer_messages import ObjectsChanged
from arbutusflow.adapters.platform import Changes, StoredObject, Written
from arbutusflow.domain.configuration import (
    Configuration,
    Kind,
    Patch,
    PutService,
    Rank,
    Service,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import MembersChanged
from arbutusflow.runtime.control import CONFIGURATION_NAME, ControlTask


def completed(value):
    fut = concurrent.futures.Future()
    fut.set_result(value)
    return fut


class FakePlatform:
    """Fake platform: responds to reads and writes at once, to watches on request."""

    def __init__(self):
        self.calls = {}
        self.stored = StoredObject(CONFIGURATION_NAME, 0, b"")
        self.watches = []

    def read(self, name):
        return completed(self.stored)

    def write(self, name, if_version, value):
        self.stored = StoredObject(name, if_version + 1, value)
        return completed(Written(if_version + 1))

    def watch(self, after_revision, wait_ms):
        self.watches.append(concurrent.futures.Future())
        return self.watches[-1]

    def instances(self):
        return concurrent.futures.Future()


class FakeLink:
    """Records the messages sent to a peer."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class IdleTimers:
    """Timers that never fire, so that the peer receives objects only by the relay."""

    def subscribe(self, period_seconds, callback):
        return lambda: None


async def run_until_idle():
    """Run all coroutines until they wait for an outside event."""
    for _ in range(50):
        await asyncio.sleep(0)


async def relayed_objects(own_patch):
    """Return the objects that the watcher sends to a peer after a patch."""
    platform, link = FakePlatform(), FakeLink()
    core = OwnershipCore.from_config("entry-1", "zone-a", Configuration())
    control = ControlTask(core, platform, None, {"entry-2": link}, IdleTimers())
    zones = {"entry-1": "zone-a", "entry-2": "zone-a"}
    control.update_members(MembersChanged(zones, frozenset(), frozenset()))
    control.start()
    await run_until_idle()
    service = Service("swaps", (Kind("swap", Rank.NORMAL, repeatable=True),))
    patch = Patch("patch-0001", 0, (PutService(service),))
    if own_patch:
        await control.patch(patch)
    else:
        other = ControlTask(core, platform, None, {}, IdleTimers())
        await other.patch(patch)
    platform.watches[0].set_result(Changes(1, (platform.stored,)))
    await run_until_idle()
    control.stop()
    return [
        stored
        for message in link.sent
        if isinstance(message, ObjectsChanged)
        for stored in message.objects
        if stored.name == CONFIGURATION_NAME
    ]


@pytest.mark.parametrize("own_patch", [False, True])
def test_watcher_relays_each_change_to_its_zone(own_patch):
    """Guards against a change that reaches peers only by anti-entropy.

    When the watch reports the watcher's own write, the watcher already has the object,
    but its peers do not.
    """
    assert [stored.version for stored in asyncio.run(relayed_objects(own_patch))] == [1]
