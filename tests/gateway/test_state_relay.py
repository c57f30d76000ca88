"""Operators see how each change of the store's objects reached an instance, and when.

Guards against late configurations of which nobody can tell whether the store or another
instance was slow.
"""

import asyncio

from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import CopyTransfer
from arbutusflow.gateway.state_relay import MAX_BEHIND_SECONDS, StateRelay
from tests.gateway.test_store_watch import run_scenario

SOURCE = Address("h", 1)


class FakePeers:
    """Accepts messages and sends none."""

    def send(self, message, targets):
        pass


def make_relay(copy):
    return StateRelay({"kind": copy}, FakePeers())


def test_a_copy_tells_how_its_latest_objects_arrived():
    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        arrivals = [copy.updated_by]
        item = await writer.create("kind", "a", 1)
        await asyncio.sleep(0.1)
        arrivals.append(copy.updated_by)
        copy.set_parked(True)
        relay = make_relay(copy)
        packed = [("a", item.revision + 1, item.raw)]
        transfer = CopyTransfer("kind", copy.revision, item.revision + 1, packed)
        relay.use_transfer(transfer, 0.0)
        arrivals.append(copy.updated_by)
        relay.use_transfer(CopyTransfer("kind", 0, item.revision + 2, packed), 0.0)
        return [*arrivals, copy.updated_by]

    assert run_scenario(scenario) == ["list", "watch", "changes", "objects"]


def test_an_instance_tells_for_how_long_it_knew_of_later_objects():
    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        relay = make_relay(copy)
        later = copy.revision + 1
        waits = [relay.behind_seconds("kind", 10.0)]
        for now in (10.0, 11.0):
            relay.request_changes({"kind": later}, SOURCE, now)
        waits.append(relay.behind_seconds("kind", 12.0))
        assert relay.is_behind("kind", 10.0 + MAX_BEHIND_SECONDS)
        copy.set_parked(True)
        relay.use_transfer(CopyTransfer("kind", copy.revision, later, []), 12.0)
        return [*waits, relay.behind_seconds("kind", 13.0)]

    assert run_scenario(scenario) == [0.0, 2.0, 0.0]
