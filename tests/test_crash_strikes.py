"""Strikes against a request that crashes endpoints follow its unit."""

import random
from types import SimpleNamespace

import pytest

from arbutusflow.adapters.peer_messages import decode_frame, encode_frame
from arbutusflow.domain import delivery_messages as messages
from arbutusflow.domain.configuration import Configuration, Limits, Rank
from arbutusflow.domain.delivery import Delivery
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.reasons import RefusalReason
from arbutusflow.runtime.unit_histories import UnitHistories

WALL = 1_800_000_000.0
UNIT = 1


class Coordinator:
    """One instance with its delivery core; what it sends is kept."""

    def __init__(self, name, now):
        self.name, self.now, self.tickets, self.told = name, now, 0, []
        self.delivery = Delivery.from_config(Limits(), random.Random(1))
        self.core = SimpleNamespace(
            records={},
            tables={},
            is_coordinating=self.is_coordinating,
            cfg=Configuration(),
        )
        link = SimpleNamespace(send=self.told.append)
        links = {f"entry-{number}": link for number in range(4)}
        self.histories = UnitHistories(self.core, self.delivery, links, self.handle)

    def is_coordinating(self, endpoint):
        return self.core.records[endpoint].coordinator == self.name

    def handle(self, event, now=None):
        return self.delivery.handle(event, self.now)

    def owner_is(self, number):
        """Let endpoint and entry instance `number` own the unit."""
        endpoint = f"shop-{number}"
        record = SimpleNamespace(
            service="shop",
            endpoint=endpoint,
            epoch=number + 1,
            coordinator=f"entry-{number}",
        )
        self.core.records = {endpoint: record}
        table = OwnershipTable.empty("shop", 4)
        self.core.tables = {"shop": table.with_owners({UNIT: endpoint})}
        self.histories.ownership_changed(self.now)

    def run_and_crash(self, number):
        """Return the reason for a refusal, or let the endpoint exit."""
        self.tickets += 1
        request = messages.Request(
            "shop",
            UNIT,
            f"shop-{number}",
            "browse",
            Rank.NORMAL,
            True,
            "caller",
            b"digest of the content",
            self.now + 10,
        )
        arrived = self.handle(messages.Arrived(self.tickets, request, WALL))
        if isinstance(arrived[0], messages.ReplyRefusal):
            return arrived[0].refusal.reason
        assert isinstance(arrived[0], messages.Enqueue)
        self.handle(messages.Dispatched(self.tickets))
        self.handle(messages.EndpointExited(f"shop-{number}", "process"))
        return None


@pytest.mark.parametrize("complete", [True, False])
def test_third_coordinator_refuses_what_crashed_two_endpoints(complete):
    """Guards against one endpoint exit for each coordinator that the unit reaches.

    A coordinator that never got the history passes strikes on all the same. The
    monotonic clocks of the instances are far apart.
    """
    crashes = []
    told = []
    for number in range(1, 4):
        one = Coordinator(f"entry-{number}", now=10.0 ** (number + 2))
        one.owner_is(number)
        for message in told:
            one.histories.take(message, one.now)
        if complete:
            one.histories.tick(one.now + 1)
        crashes.append(one.run_and_crash(number))
        one.owner_is(number + 1 if number < 3 else 0)
        told = decode_frame(encode_frame(one.told))
        assert [message.complete for message in told] == [complete]
    assert crashes == [None, None, RefusalReason.CRASHES_ENDPOINTS]
