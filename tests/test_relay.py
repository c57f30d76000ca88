"""Relay of platform objects by the watcher of a zone."""

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


def done(value):
    fut = concurrent.futures.Future()
    fut.set_result(value)
    return fut


class Platform:
    """Answers reads and writes at once and watches when told to."""

    def __init__(self):
        self.calls = {}
        self.stored = StoredObject(CONFIGURATION_NAME, 0, b"")
        self.watches = []

    def read(self, name):
        return done(self.stored)

    def write(self, name, if_version, value):
        self.stored = StoredObject(name, if_version + 1, value)
        return done(Written(if_version + 1))

    def watch(self, after_revision, wait_ms):
        self.watches.append(concurrent.futures.Future())
        return self.watches[-1]

    def instances(self):
        return concurrent.futures.Future()


class Link:
    """Keeps what is sent to a peer."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class NoTimers:
    """Timers that never fire, so that only the relay can inform the peer."""

    def subscribe(self, period_seconds, callback):
        return lambda: None


async def pump():
    """Let everything run that waits for no outside event."""
    for _ in range(50):
        await asyncio.sleep(0)


async def relayed(own_patch):
    """Return what the watcher sends to a peer of its zone after a change."""
    platform, link = Platform(), Link()
    core = OwnershipCore.from_config("entry-1", "zone-a", Configuration())
    control = ControlTask(core, platform, None, {"entry-2": link}, NoTimers())
    zones = {"entry-1": "zone-a", "entry-2": "zone-a"}
    control.update_members(MembersChanged(zones, frozenset(), frozenset()))
    control.start()
    await pump()
    service = Service("swaps", (Kind("swap", Rank.NORMAL, repeatable=True),))
    patch = Patch("patch-0001", 0, (PutService(service),))
    if own_patch:
        await control.patch(patch)
    else:
        other = ControlTask(core, platform, None, {}, NoTimers())
        await other.patch(patch)
    platform.watches[0].set_result(Changes(1, (platform.stored,)))
    await pump()
    control.stop()
    return [
        stored
        for message in link.sent
        if isinstance(message, ObjectsChanged)
        for stored in message.objects
        if stored.name == CONFIGURATION_NAME
    ]


@pytest.mark.parametrize("own_patch", [False, True])
def test_the_watcher_relays_each_change_to_its_zone(own_patch):
    """Guards against a change that peers learn by anti-entropy only.

    The watcher already knows what it has written itself when the watch reports it.
    """
    assert [stored.version for stored in asyncio.run(relayed(own_patch))] == [1]
