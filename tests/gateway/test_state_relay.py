"""Operators see how each change of the store's objects reached an instance, and when.

Guards against late configurations of which nobody can tell whether the store or another
instance was slow, whether requests were lost, or whether repeats filled a link.
"""

import asyncio
import dataclasses
import random

import pytest

from arbutusflow.gateway.metrics import GatewayMetrics
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import CopyRequest, CopyTransfer, PeerReports
from arbutusflow.gateway.state_relay import (
    MAX_BEHIND_SECONDS,
    READ_SPREAD_SECONDS,
    RECEIPT_PROGRESS_SECONDS,
    StateRelay,
)
from tests.gateway.fakes import FakeLog, at
from tests.gateway.sim_fleet import run_fleet
from tests.gateway.test_pieces import KIND, Network, two_nodes
from tests.gateway.test_store_watch import run_scenario
from tests.gateway.virtual_time import run

SOURCE = Address("h", 1)


class Link:
    """Transport that keeps the datagrams."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, target):
        self.sent.append(data)


def make_relay(copy):
    peers = PeerReports("n0", 1, lambda *_: None, lambda *_: None, FakeLog())
    peers.connection_made(Link())
    relay = StateRelay({"kind": copy}, peers, FakeLog(), 0.0)
    relay.link = peers._transport
    return relay


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
        relay.use_transfer(transfer, SOURCE, 0.0)
        arrivals.append(copy.updated_by)
        transfer = CopyTransfer("kind", at(0), item.revision + 2, packed)
        relay.use_transfer(transfer, SOURCE, 0.0)
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
        transfer = CopyTransfer("kind", copy.revision, later, [])
        relay.use_transfer(transfer, SOURCE, 12.0)
        return [*waits, relay.behind_seconds("kind", 13.0)]

    assert run_scenario(scenario) == [0.0, 2.0, 0.0]


def test_requests_and_transfers_are_counted_with_their_repeats():
    """Guards against repeats on a slow link that nothing shows."""

    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        await writer.create("kind", "a", random.Random(1).randbytes(20_000).hex())
        await asyncio.sleep(0.1)
        relay = make_relay(copy)
        for target in ("a", "b", "a"):
            request = CopyRequest("kind", copy.revision - 1)
            relay.send_changes(request, Address(target, 1), 0.0)
        return relay.counts, relay._log.events, relay.link.sent

    counts, events, datagrams = run_scenario(scenario)
    assert counts["kind", "requests_received"] == 3
    assert counts["kind", "transfers_sent"] == 3
    assert counts["kind", "transfers_repeated"] == 1
    size = sum(map(len, datagrams))
    assert counts["kind", "bytes_sent"] == size
    assert counts["kind", "bytes_repeated"] == size / 3
    sent = [fields for event, fields in events if event == "changes_sent"]
    assert [(x["target"], x["repeated"]) for x in sent] == [
        ("a", False),
        ("b", False),
        ("a", True),
    ]


def test_a_copy_that_is_late_tells_how_often_it_asked():
    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        relay = make_relay(copy)
        for now in (10.0, 10.4, 10.7, 10.9):
            relay.request_changes({"kind": copy.revision + 1}, SOURCE, now)
            relay.tick(now)
        copy.set_parked(True)
        transfer = CopyTransfer("kind", copy.revision, copy.revision + 1, [])
        relay.use_transfer(transfer, SOURCE, 11.0)
        relay.use_transfer(transfer, SOURCE, 11.1)
        return relay.counts, relay._log.events

    counts, events = run_scenario(scenario)
    assert counts["kind", "requests_sent"] == 3
    assert counts["kind", "requests_repeated"] == 2
    assert counts["kind", "late"] == 1
    assert counts["kind", "transfers_used"] == 1
    assert counts["kind", "transfers_unused"] == 1
    (late,) = [fields for event, fields in events if event == "changes_late"]
    assert late["requests"] == 3
    (received,) = [fields for event, fields in events if event == "changes_received"]
    assert (received["requests"], received["behind_seconds"]) == (3, 1.0)
    metrics = GatewayMetrics()
    metrics.set_transfers(counts)
    assert b'event="requests_sent",kind="kind"} 3.0' in metrics.render()


@pytest.mark.parametrize("seconds", [0.3, 0.6])
def test_a_copy_that_is_read_from_the_store_takes_changes_of_others(seconds):
    """Guards against changes that arrive but wait for a slow answer of the store."""

    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        item = await writer.create("kind", "a", 1)
        await asyncio.sleep(0.1)
        store.transfer_seconds = lambda name, size: seconds
        first = copy.revision
        store.revision += 5
        copy.list_now()
        await asyncio.sleep(0.05)
        assert not copy.parked
        later = dataclasses.replace(item, revision=first + 10, spec=2, raw={"spec": 2})
        transfer = CopyTransfer("kind", first, first + 10, [_packed(later)])
        make_relay(copy).use_transfer(transfer, SOURCE, 0.0)
        in_force = [copy.objects["a"].spec]
        await asyncio.sleep(1.0)  # The answer of the store is older.
        in_force.append(copy.objects["a"].spec)
        return in_force, copy.revision.number - first.number

    assert run_scenario(scenario) == ([2, 2], 10)


def test_a_watch_that_others_have_overtaken_needs_no_list():
    """Guards against a priced call for all objects after each relayed change."""

    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        item = await writer.create("kind", "a", 1)
        await asyncio.sleep(0.1)
        first, lists = copy.revision, []
        store.transfer_seconds = lambda name, size: lists.append(name) or 0.3
        await writer.create("kind", "b", 1)
        await asyncio.sleep(0.05)  # Its answer is on its way.
        later = dataclasses.replace(item, revision=first + 10, spec=2, raw={"spec": 2})
        transfer = CopyTransfer("kind", first, first + 10, [_packed(later)])
        make_relay(copy).use_transfer(transfer, SOURCE, 0.0)
        store.revision = first.number + 10
        await asyncio.sleep(2.0)
        return copy.objects["a"].spec, copy.revision.number - first.number, len(lists)

    assert run_scenario(scenario) == (2, 10, 1)


def _packed(item):
    return (item.name, item.revision, item.raw)


def test_followers_read_the_store_later_than_granters_and_not_all_at_once():
    """Guards against a change that all instances read at the same moment."""

    async def scenario(sim):
        await asyncio.sleep(6.0)
        delays = {True: [], False: []}
        for instance in sim.instances.values():
            task = instance.task
            delays[task.fleet.registered].append(task.relay.read_delay)
        return delays

    delays = run_fleet(scenario, instances=40)
    assert set(delays[True]) == {0.0}
    assert max(delays[False]) - min(delays[False]) > 0.6 * READ_SPREAD_SECONDS
    assert len(set(delays[False])) > 20


def test_the_store_is_not_read_while_the_changes_are_arriving():
    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, 400_000)
        relay, started = receiver.relay, receiver.now
        relay.request_changes({KIND: at(11)}, source.address, started)
        await asyncio.sleep(0.01)
        (receipt,) = relay._receipts.values()
        late = started + MAX_BEHIND_SECONDS + 0.01
        receipt.progress_at = late
        arriving = relay.is_behind(KIND, late)
        receipt.progress_at = late - RECEIPT_PROGRESS_SECONDS - 0.01
        return arriving, relay.is_behind(KIND, late)

    assert run(scenario()) == (False, True)


def test_a_copy_that_caught_up_by_its_own_watch_is_no_longer_behind():
    """Guards against an instance that goes on watching, and asks others in vain."""

    async def scenario(store, writer, copy):
        await asyncio.sleep(0.5)
        relay = make_relay(copy)
        relay.sources = lambda: [SOURCE]
        for now in (10.0, 10.4, 10.9):
            relay.request_changes({"kind": copy.revision + 1}, SOURCE, now)
            relay.tick(now)
        late = relay.is_behind("kind", 11.0)
        await writer.create("kind", "a", 1)
        await asyncio.sleep(0.1)
        requests = len(relay.link.sent)
        relay.tick(12.0)
        return late, relay.is_behind("kind", 12.0), len(relay.link.sent) - requests

    assert run_scenario(scenario) == (True, False, 0)
