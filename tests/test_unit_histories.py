"""Handover of request histories between coordinators."""

import types

import pytest

from arbutusflow.adapters.peer_messages import HistoryTransfer, KnownOutcome
from arbutusflow.domain.configuration import Configuration, Kind, Rank, Service
from arbutusflow.domain.delivery_messages import (
    UnitHistoryImported,
    UnitMoving,
    UnitReleased,
    UnitTakenOverWithoutHistory,
)
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.reasons import RefusalReason
from arbutusflow.domain.records import EndpointRecord
from arbutusflow.runtime.unit_histories import HISTORY_WAIT_SECONDS, UnitHistories

KIND = Kind("swap", Rank.URGENT, repeatable=False, timeout_ms=4_000)
IN_PROGRESS = KnownOutcome(
    "id-1", 7.0, b"", repeatable=False, reason=RefusalReason.IN_PROGRESS.value
)


class FakeCore:
    """State of an instance: the endpoints it coordinates, the records and the table."""

    def __init__(self):
        self.cfg = Configuration(services=(Service("swaps", (KIND,), partitions=1),))
        self.records, self.tables, self.coordinated = {}, {}, set()
        self.set_owner(0, "e0", "i0", epoch=1)

    def set_owner(self, unit, endpoint, coordinator, epoch):
        """Set the owner of the unit and the owner's coordinator."""
        table = self.tables.get("swaps", OwnershipTable.empty("swaps", 1))
        if table.row(unit).owner != endpoint:
            self.tables["swaps"] = table.with_owners({unit: endpoint})
        self.records[endpoint] = EndpointRecord(
            endpoint, "swaps", "a", epoch, coordinator, (), "process", ""
        )
        self.coordinated = {n for n, r in self.records.items() if r.coordinator == "i0"}

    def is_coordinating(self, endpoint):
        return endpoint in self.coordinated


@pytest.fixture
def setup():
    """Histories of instance i0, with the delivered events and the messages to i1."""
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


def history_message(sequence, epoch, *outcomes):
    return HistoryTransfer("swaps", 0, sequence, epoch, 3.0, outcomes)


def test_first_owner_of_a_unit_needs_no_history(setup):
    """Guards against refusals of the first requests for a new service."""
    setup.core.set_owner(0, "e0", "i0", epoch=1)
    setup.histories.ownership_changed(10.0)
    assert setup.events == [UnitHistoryImported("swaps", 0, 0.0, ())]


def test_returning_coordinator_waits_for_the_history(setup):
    """Guards against rerunning requests that a coordinator in between ran."""
    setup.histories.ownership_changed(10.0)
    setup.core.set_owner(0, "e0", "i1", epoch=2)
    setup.histories.ownership_changed(11.0)
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(12.0)
    assert setup.histories.is_history_awaited("swaps", 0)
    assert [type(event) for event in setup.events[1:]] == [UnitMoving, UnitReleased]


@pytest.mark.parametrize("early", [True, False])
def test_history_of_this_tenure_is_imported(setup, early):
    """Guards against refusals of new requests after a planned move."""
    setup.core.set_owner(0, "e0", "i1", epoch=2)
    setup.histories.ownership_changed(10.0)
    message = history_message(1, 3)
    if early:
        setup.histories.import_history(message, 10.0)
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(10.1)
    if not early:
        setup.histories.import_history(message, 10.2)
    assert setup.events == [UnitHistoryImported("swaps", 0, 3.0, ())]
    assert not setup.histories.is_history_awaited("swaps", 0)


def test_history_is_imported_after_the_epoch_rose(setup):
    """Guards against refusals when the epoch rises before the history arrives.

    The new coordinator raises it when it records new successors at once.
    """
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(10.0)
    setup.core.set_owner(0, "e0", "i0", epoch=4)
    setup.histories.ownership_changed(10.1)
    setup.histories.import_history(history_message(1, 3), 10.2)
    assert setup.events == [UnitHistoryImported("swaps", 0, 3.0, ())]


@pytest.mark.parametrize(("sequence", "epoch"), [(1, 2), (2, 3), (0, 3)])
def test_history_of_another_tenure_is_not_imported(setup, sequence, epoch):
    """Guards against an outdated history that is treated as complete."""
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(10.0)
    setup.histories.import_history(history_message(sequence, epoch), 10.1)
    assert setup.events == []
    setup.histories.tick(10.0 + HISTORY_WAIT_SECONDS)
    assert isinstance(setup.events[0], UnitTakenOverWithoutHistory)


def test_history_goes_to_the_next_coordinator(setup):
    """Guards against a history that is sent with the wrong sequence and epoch."""
    setup.histories.ownership_changed(10.0)
    setup.core.set_owner(0, "e1", "i1", epoch=5)
    setup.histories.ownership_changed(11.0)
    assert setup.sent == [HistoryTransfer("swaps", 0, 2, 5, 3.0, ())]


@pytest.mark.parametrize(("epoch", "count"), [(2, 1), (3, 0)])
def test_history_waits_for_the_next_coordinators_record(setup, epoch, count):
    """Guards against a lost history if coordination ends before the next record exists.

    After a later epoch the history may lack requests that another instance ran.
    """
    setup.histories.ownership_changed(10.0)
    setup.core.coordinated = set()
    setup.histories.ownership_changed(11.0)
    assert setup.sent == []
    setup.core.set_owner(0, "e0", "i1", epoch=epoch)
    setup.histories.ownership_changed(11.2)
    assert setup.sent == [HistoryTransfer("swaps", 0, 1, 2, 3.0, ())][:count]


def test_history_that_never_arrived_is_not_handed_over(setup):
    """Guards against an incomplete history that a chain of handovers marks complete."""
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(10.0)
    setup.core.set_owner(0, "e0", "i1", epoch=4)
    setup.histories.ownership_changed(10.1)
    assert setup.sent == []


@pytest.mark.parametrize(
    ("outcomes", "until"), [((), 0.0), ((IN_PROGRESS,), 10.1 + KIND.timeout_ms / 1000)]
)
def test_requests_of_the_previous_coordinator_delay_a_move(setup, outcomes, until):
    """Guards against two endpoints that run requests for one key after two moves."""
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(10.0)
    setup.histories.import_history(history_message(1, 3, *outcomes), 10.1)
    assert setup.histories.previous_requests_until("swaps", 0) == pytest.approx(until)


def test_lost_coordinator_may_have_requests_in_flight(setup):
    """Guards against moving a unit while a lost coordinator's request is running."""
    setup.core.set_owner(0, "e0", "i0", epoch=3)
    setup.histories.ownership_changed(10.0)
    setup.histories.tick(10.5)
    assert setup.histories.previous_requests_until("swaps", 0) == pytest.approx(14.5)
