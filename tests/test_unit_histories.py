"""Handover of request histories between coordinators."""

import types

import pytest

from arbutusflow.adapters.peer_messages import EncodedRequestRecord, HistoryTransfer
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
IN_PROGRESS = EncodedRequestRecord(
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
def harness():
    """Histories of instance i0, with the delivered events and the messages to i1."""
    core, events, sent = FakeCore(), [], []
    delivery = types.SimpleNamespace(
        export_unit=lambda service, unit, wall_time: UnitHistoryImported(
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


def test_first_owner_of_a_unit_needs_no_history(harness):
    """Guards against refusals of the first requests for a new service."""
    harness.core.set_owner(0, "e0", "i0", epoch=1)
    harness.histories.ownership_changed(10.0)
    assert harness.events == [UnitHistoryImported("swaps", 0, 0.0, ())]


def test_returning_coordinator_waits_for_the_history(harness):
    """Guards against running requests again that another coordinator has run."""
    harness.histories.ownership_changed(10.0)
    harness.core.set_owner(0, "e0", "i1", epoch=2)
    harness.histories.ownership_changed(11.0)
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(12.0)
    assert harness.histories.is_history_awaited("swaps", 0)
    assert [type(event) for event in harness.events[1:]] == [UnitMoving, UnitReleased]


@pytest.mark.parametrize("early", [True, False])
def test_history_for_the_current_epoch_is_imported(harness, early):
    """Guards against refusals of new requests after a planned move."""
    harness.core.set_owner(0, "e0", "i1", epoch=2)
    harness.histories.ownership_changed(10.0)
    message = history_message(1, 3)
    if early:
        harness.histories.import_history(message, 10.0)
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(10.1)
    if not early:
        harness.histories.import_history(message, 10.2)
    assert harness.events == [UnitHistoryImported("swaps", 0, 3.0, ())]
    assert not harness.histories.is_history_awaited("swaps", 0)


def test_history_is_imported_after_the_epoch_rose(harness):
    """Guards against refusals when the epoch rises before the history arrives.

    The new coordinator raises it if it records other successors right after it has
    taken over.
    """
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(10.0)
    harness.core.set_owner(0, "e0", "i0", epoch=4)
    harness.histories.ownership_changed(10.1)
    harness.histories.import_history(history_message(1, 3), 10.2)
    assert harness.events == [UnitHistoryImported("swaps", 0, 3.0, ())]


@pytest.mark.parametrize(("sequence", "epoch"), [(1, 2), (2, 3), (0, 3)])
def test_history_for_another_sequence_or_epoch_is_not_imported(
    harness, sequence, epoch
):
    """Guards against an outdated history that is treated as complete."""
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(10.0)
    harness.histories.import_history(history_message(sequence, epoch), 10.1)
    assert harness.events == []
    harness.histories.tick(10.0 + HISTORY_WAIT_SECONDS)
    assert isinstance(harness.events[0], UnitTakenOverWithoutHistory)


def test_history_goes_to_the_next_coordinator(harness):
    """Guards against a history that is sent with the wrong sequence and epoch."""
    harness.histories.ownership_changed(10.0)
    harness.core.set_owner(0, "e1", "i1", epoch=5)
    harness.histories.ownership_changed(11.0)
    assert harness.sent == [HistoryTransfer("swaps", 0, 2, 5, 3.0, ())]


@pytest.mark.parametrize(("epoch", "count"), [(2, 1), (3, 0)])
def test_history_waits_for_the_next_coordinators_record(harness, epoch, count):
    """Guards against losing the history when the next coordinator is not recorded yet.

    After a later epoch the history may lack requests that another instance ran.
    """
    harness.histories.ownership_changed(10.0)
    harness.core.coordinated = set()
    harness.histories.ownership_changed(11.0)
    assert harness.sent == []
    harness.core.set_owner(0, "e0", "i1", epoch=epoch)
    harness.histories.ownership_changed(11.2)
    assert harness.sent == [HistoryTransfer("swaps", 0, 1, 2, 3.0, ())][:count]


def test_history_that_never_arrived_is_not_handed_over(harness):
    """Guards against passing on a history as complete that was never received."""
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(10.0)
    harness.core.set_owner(0, "e0", "i1", epoch=4)
    harness.histories.ownership_changed(10.1)
    assert harness.sent == []


@pytest.mark.parametrize(
    ("outcomes", "until"), [((), 0.0), ((IN_PROGRESS,), 10.1 + KIND.timeout_ms / 1000)]
)
def test_requests_of_the_previous_coordinator_delay_a_move(harness, outcomes, until):
    """Guards against moving a unit while earlier requests for it may still run."""
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(10.0)
    harness.histories.import_history(history_message(1, 3, *outcomes), 10.1)
    assert harness.histories.previous_requests_until("swaps", 0) == pytest.approx(until)


def test_lost_coordinator_may_have_requests_in_flight(harness):
    """Guards against moving a unit while a lost coordinator's request is running."""
    harness.core.set_owner(0, "e0", "i0", epoch=3)
    harness.histories.ownership_changed(10.0)
    harness.histories.tick(10.5)
    assert harness.histories.previous_requests_until("swaps", 0) == pytest.approx(14.5)
