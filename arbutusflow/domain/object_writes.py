"""Conditional writes of platform objects, one at a time per object.

Invariant: a write is pending until a version later than its precondition has been
observed. Only then can it no longer take effect. Until then nothing may be done that
would be unsafe if it took effect.
"""

import dataclasses
import math
from collections.abc import Iterable

import msgspec

from arbutusflow.domain.ownership_messages import ReadObjects, WriteRecord, WriteTable
from arbutusflow.domain.ownership_state import (
    RECORD_PREFIX,
    TABLE_PREFIX,
    OwnershipState,
)
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.records import EndpointRecord

RETRY_SECONDS = 0.25  # At most four calls per second and object during an outage.


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A conditional write that may still take effect.

    `write_id` is stored with the object and identifies this write. `moves` maps
    units to their previous and new owners; `reason` is logged for each of them.
    """

    action: WriteRecord | WriteTable
    write_id: str
    moves: dict[int, tuple[str | None, str]] = dataclasses.field(default_factory=dict)
    reason: str = ""
    unresolved: bool = False  # The response was lost or reported a conflict.
    resend: bool = False  # A read showed that it has not taken effect yet.
    next_retry_at: float = -math.inf


class ObjectWriter:
    """Requests conditional writes and finds out whether they took effect."""

    def __init__(self, state: OwnershipState) -> None:
        self._state = state
        self._pending: dict[str, PendingWrite] = {}
        self._read_requested_at: dict[str, float] = {}

    def has_pending_write(self, name: str) -> bool:
        """Return whether a write of `name` may still take effect."""
        return name in self._pending

    def units_moving_away(self, service: str, endpoint: str) -> set[int]:
        """Return the units of `endpoint` that a pending write assigns to others."""
        pending = self._pending.get(TABLE_PREFIX + service)
        if pending is None:
            return set()
        return {unit for unit, (owner, _) in pending.moves.items() if owner == endpoint}

    def write_record(self, record: EndpointRecord) -> None:
        """Request a write of `record`, conditional on the known version."""
        state = self._state
        name = RECORD_PREFIX + record.endpoint
        operation = state.next_operation()
        write_id = f"{state.write_id_prefix}{operation}"
        stored = msgspec.structs.replace(record, writer=write_id)
        action = WriteRecord(name, state.versions.get(name, 0), stored, operation)
        self._pending[name] = PendingWrite(action, write_id)
        state.actions.append(action)

    def write_table(
        self,
        table: OwnershipTable,
        moves: dict[int, tuple[str | None, str]] | None = None,
        reason: str = "",
    ) -> None:
        """Request a write of `table`, conditional on the known version.

        The write also sets the epoch in the table of each endpoint whose recorded
        coordinator is this instance to the epoch of the endpoint's record.
        """
        state = self._state
        name = TABLE_PREFIX + table.service
        epochs = {
            endpoint: record.epoch
            for endpoint, record in sorted(state.records.items())
            if record.service == table.service
            and state.is_recorded_coordinator(endpoint)
        }
        operation = state.next_operation()
        write_id = f"{state.write_id_prefix}{operation}"
        encoded = table.with_epochs(epochs).encode(write_id)
        action = WriteTable(name, state.versions.get(name, 0), encoded, operation)
        self._pending[name] = PendingWrite(action, write_id, moves or {}, reason)
        state.actions.append(action)

    def request_read(self, names: Iterable[str], now: float) -> None:
        """Request a read of those `names` not requested within `RETRY_SECONDS`."""
        due = [
            name
            for name in names
            if now >= self._read_requested_at.get(name, -math.inf) + RETRY_SECONDS
        ]
        self._read_requested_at.update(dict.fromkeys(due, now))
        if due:
            self._state.actions.append(ReadObjects(tuple(due)))

    def tick(self, now: float) -> None:
        """Request a read or a resend of each write whose outcome is unknown."""
        for name, pending in self._pending.items():
            if not pending.unresolved or now < pending.next_retry_at:
                continue
            pending.next_retry_at = now + RETRY_SECONDS
            if not pending.resend:
                self._state.actions.append(ReadObjects((name,)))
                continue
            # The copy has the same content and write ID, so it does not matter which
            # one takes effect. As both are conditional, at most one of them does.
            pending.resend = pending.unresolved = False
            operation = self._state.next_operation()
            pending.action = dataclasses.replace(pending.action, operation=operation)
            self._state.actions.append(pending.action)

    def resolve(self, name: str, version: int, write_id: str) -> None:
        """Determine the outcome of the pending write of `name`.

        `version` is the current version of the object and `write_id` the
        identifier of the write that created it.
        """
        pending = self._pending.get(name)
        if pending is None:
            return
        if version <= pending.action.if_version:
            pending.resend = pending.unresolved
            return
        del self._pending[name]
        if write_id != pending.write_id:
            return
        subject = name.removeprefix(TABLE_PREFIX)
        for unit, (owner, target) in pending.moves.items():
            self._state.record_decision(
                f"{subject}/{unit}", f"{owner} to {target}", pending.reason
            )

    def request_read_back(self, name: str, operation: int, now: float) -> None:
        """Request a read of the object to find out whether a write took effect.

        A conflict does not prove that the write had no effect: the conflicting write
        may be an earlier copy of it. For a table, the table is read first, then the
        records of the endpoints coordinated here.
        """
        pending = self._pending.get(name)
        if pending is None or pending.action.operation != operation:
            return
        pending.unresolved = True
        pending.next_retry_at = now + RETRY_SECONDS
        names = [name]
        if isinstance(pending.action, WriteTable):
            service = name.removeprefix(TABLE_PREFIX)
            names += [
                RECORD_PREFIX + endpoint
                for endpoint, record in sorted(self._state.records.items())
                if record.service == service
                and self._state.is_recorded_coordinator(endpoint)
            ]
        self._state.actions.append(ReadObjects(tuple(names)))
