"""Hand-over of request histories between coordinators."""

import types

import pytest

from arbutusflow.adapters.peer_messages import HistoryTransfer, KnownOutcome
from arbutusflow.domain.configuration import Configuration, Kind, Rank, Service
from arbutusflow.domain.delivery_messages import (
    UnitHistoryImported,
    UnitMoving,
    UnitReleased,
    UnitTakenOver,
)
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.reasons import RefusalReason
from arbutusflow.domain.records import EndpointRecord
from arbutusflow.runtime.unit_histories import HISTORY_WAIT_SECONDS, UnitHistories

KIND = Kind("swap", Rank.URGENT, repeatable=False, timeout_ms=4_000)
SENT = KnownOutcome(
    "id-1", 7.0, b"", repeatable=False, reason=RefusalReason.IN_PROGRESS.value
)


class FakeCore:
    """An instance's view: which endpoints it acts for, records and the table."""

    def __init__(self):
        self.cfg = Configuration(services=(Service("swaps", (KIND,), partitions=1),))
        self.records, self.tables, self.acting = {}, {}, set()
        self.own(0, "e0", "i0", epoch=1)

    def own(self, unit, endpoint, coordinator, epoch):
        """Record the owner of the unit and the owner's coordinator."""
        table = self.tables.get("swaps", OwnershipTable.empty("swaps", 1))
        if table.row(unit).owner != endpoint:
            self.tables["swaps"] = table.with_owners({unit: endpoint})
        self.records[endpoint] = EndpointRecord(
            endpoint, "swaps", "a", epoch, coordinator, (), "process", ""
        )
        self.acting = {n for n, r in self.records.items() if r.coordinator == "i0"}

    def is_coordinating(self, endpoint):
        return endpoint in self.acting


@pytest.fixture
def world():
    """Histories of instance i0, what they deliver and what they send to i1."""
    core, events, sent = FakeCore(), [], []
    delivery = types.SimpleNamespace(
        export_unit=lambda service, unit, wall: UnitHistoryImported(
            service, unit, 3.0, ()
        ),
        export_strikes=lambda service, unit, now: (),
    )
    links = {"i1": types.SimpleNamespace(send=sent.append)}
    histories = UnitHistories(
        core, delivery, links, lambda event, now: events.append(event)
    )
    return types.SimpleNamespace(
        core=core, events=events, sent=sent, histories=histories
    )


def told(sequence, epoch, *outcomes):
    return HistoryTransfer("swaps", 0, sequence, epoch, 3.0, outcomes)


def test_first_owner_of_a_unit_needs_no_history(world):
    """Guards against refusing the first requests of a new service."""
    world.core.own(0, "e0", "i0", epoch=1)
    world.histories.ownership_changed(10.0)
    assert world.events == [UnitHistoryImported("swaps", 0, 0.0, ())]


def test_coordinator_that_was_replaced_is_not_the_first_one(world):
    """Guards against running what another coordinator ran in between."""
    world.histories.ownership_changed(10.0)
    world.core.own(0, "e0", "i1", epoch=2)
    world.histories.ownership_changed(11.0)
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(12.0)
    assert world.histories.is_awaited("swaps", 0)
    assert [type(event) for event in world.events[1:]] == [UnitMoving, UnitReleased]


@pytest.mark.parametrize("early", [True, False])
def test_history_for_this_tenure_is_adopted(world, early):
    """Guards against refusing requests after a planned move."""
    world.core.own(0, "e0", "i1", epoch=2)
    world.histories.ownership_changed(10.0)
    message = told(1, 3)
    if early:
        world.histories.take(message, 10.0)
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(10.1)
    if not early:
        world.histories.take(message, 10.2)
    assert world.events == [UnitHistoryImported("swaps", 0, 3.0, ())]
    assert not world.histories.is_awaited("swaps", 0)


def test_history_is_adopted_after_the_epoch_rose(world):
    """Guards against refusals when the heir records new successors at once."""
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(10.0)
    world.core.own(0, "e0", "i0", epoch=4)
    world.histories.ownership_changed(10.1)
    world.histories.take(told(1, 3), 10.2)
    assert world.events == [UnitHistoryImported("swaps", 0, 3.0, ())]


@pytest.mark.parametrize(("sequence", "epoch"), [(1, 2), (2, 3), (0, 3)])
def test_history_of_another_tenure_is_not_adopted(world, sequence, epoch):
    """Guards against taking an old history for a complete one."""
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(10.0)
    world.histories.take(told(sequence, epoch), 10.1)
    assert world.events == []
    world.histories.tick(10.0 + HISTORY_WAIT_SECONDS)
    assert isinstance(world.events[0], UnitTakenOver)


def test_history_goes_to_the_next_coordinator(world):
    """Guards against a history that is sent for a tenure it does not belong to."""
    world.histories.ownership_changed(10.0)
    world.core.own(0, "e1", "i1", epoch=5)
    world.histories.ownership_changed(11.0)
    assert world.sent == [HistoryTransfer("swaps", 0, 2, 5, 3.0, ())]


@pytest.mark.parametrize(("epoch", "count"), [(2, 1), (3, 0)])
def test_history_waits_for_the_record_of_the_heir(world, epoch, count):
    """Guards against a lost history when an instance ends before its heir begins.

    After a later epoch the history may lack what another instance ran.
    """
    world.histories.ownership_changed(10.0)
    world.core.acting = set()
    world.histories.ownership_changed(11.0)
    assert world.sent == []
    world.core.own(0, "e0", "i1", epoch=epoch)
    world.histories.ownership_changed(11.2)
    assert world.sent == [HistoryTransfer("swaps", 0, 1, 2, 3.0, ())][:count]


def test_history_that_never_arrived_is_not_passed_on(world):
    """Guards against a chain of hand-overs that loses a history unnoticed."""
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(10.0)
    world.core.own(0, "e0", "i1", epoch=4)
    world.histories.ownership_changed(10.1)
    assert world.sent == []


@pytest.mark.parametrize(
    ("outcomes", "until"), [((), 0.0), ((SENT,), 10.1 + KIND.timeout_ms / 1000)]
)
def test_requests_of_the_earlier_coordinator_hold_up_a_move(world, outcomes, until):
    """Guards against two endpoints running work for one key after two moves."""
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(10.0)
    world.histories.take(told(1, 3, *outcomes), 10.1)
    assert world.histories.foreign_until("swaps", 0) == pytest.approx(until)


def test_lost_coordinator_may_have_requests_in_flight(world):
    """Guards against moving a unit while a lost coordinator's request still runs."""
    world.core.own(0, "e0", "i0", epoch=3)
    world.histories.ownership_changed(10.0)
    world.histories.tick(10.5)
    assert world.histories.foreign_until("swaps", 0) == pytest.approx(14.5)
