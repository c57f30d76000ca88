"""Transfer of strikes when the unit of a crashing request moves."""

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
    """One instance with its delivery state machine; records the messages it sends."""

    def __init__(self, name, now):
        self.name, self.now, self.tickets, self.sent_messages = name, now, 0, []
        self.delivery = Delivery.from_config(Limits(), random.Random(1))
        self.core = SimpleNamespace(
            records={},
            tables={},
            is_coordinating=self.is_coordinating,
            cfg=Configuration(),
        )
        link = SimpleNamespace(send=self.sent_messages.append)
        links = {f"entry-{number}": link for number in range(4)}
        self.histories = UnitHistories(self.core, self.delivery, links, self.handle)

    def is_coordinating(self, endpoint):
        return self.core.records[endpoint].coordinator == self.name

    def handle(self, event, now=None):
        return self.delivery.handle(event, self.now)

    def set_owner(self, number):
        """Make endpoint `number` the owner and instance `number` the coordinator."""
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

    def crash_endpoint(self, number):
        """Send the request and let the endpoint exit, or return the refusal reason."""
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
    """Guards against one more endpoint exit at each coordinator of the unit.

    A coordinator that did not receive the request history still passes strikes on.
    The monotonic clocks of the instances differ widely.
    """
    crashes = []
    sent_messages = []
    for number in range(1, 4):
        coordinator = Coordinator(f"entry-{number}", now=10.0 ** (number + 2))
        coordinator.set_owner(number)
        for message in sent_messages:
            coordinator.histories.import_history(message, coordinator.now)
        if complete:
            coordinator.histories.tick(coordinator.now + 1)
        crashes.append(coordinator.crash_endpoint(number))
        coordinator.set_owner(number + 1 if number < 3 else 0)
        sent_messages = decode_frame(encode_frame(coordinator.sent_messages))
        assert [message.complete for message in sent_messages] == [complete]
    assert crashes == [None, None, RefusalReason.CRASHES_ENDPOINTS]
