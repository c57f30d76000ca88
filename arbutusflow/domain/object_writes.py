"""Conditional updates of platform objects, one at a time for each object.

Invariant: a write counts as under way until a version later than the one it was
conditional on has been seen. Only then can it no longer take effect. Until then
nothing may be done that would be wrong if it did.
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

RETRY_SECONDS = 0.25  # At most four calls a second for each object in an outage.


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A conditional update that may still take effect.

    `moved` maps units to their owner before and after; `why` is the proof.
    """

    action: WriteRecord | WriteTable
    mark: str
    moved: dict[int, tuple[str | None, str]] = dataclasses.field(default_factory=dict)
    why: str = ""
    unresolved: bool = False  # The answer was lost or was a conflict.
    resend: bool = False  # A read showed that it has not taken effect so far.
    next_try_at: float = -math.inf


class ObjectWriter:
    """Writes under way and what became of them."""

    def __init__(self, state: OwnershipState) -> None:
        self._state = state
        self._pending: dict[str, PendingWrite] = {}
        self._asked_at: dict[str, float] = {}

    def has_pending_write(self, name: str) -> bool:
        """Tell whether a write of `name` may still take effect."""
        return name in self._pending

    def units_moving_away(self, service: str, endpoint: str) -> set[int]:
        """Return the units of `endpoint` that a write under way gives to others."""
        pending = self._pending.get(TABLE_PREFIX + service)
        if pending is None:
            return set()
        return {unit for unit, (owner, _) in pending.moved.items() if owner == endpoint}

    def write_record(self, record: EndpointRecord) -> None:
        """Write `record` if its object still has the version seen here."""
        state = self._state
        name = RECORD_PREFIX + record.endpoint
        operation = state.next_operation()
        mark = f"{state.write_id_prefix}{operation}"
        marked = msgspec.structs.replace(record, writer=mark)
        action = WriteRecord(name, state.versions.get(name, 0), marked, operation)
        self._pending[name] = PendingWrite(action, mark)
        state.actions.append(action)

    def write_table(
        self,
        table: OwnershipTable,
        moved: dict[int, tuple[str | None, str]] | None = None,
        why: str = "",
    ) -> None:
        """Write `table` and fence it for each endpoint coordinated here."""
        state = self._state
        name = TABLE_PREFIX + table.service
        epochs = {
            endpoint: record.epoch
            for endpoint, record in sorted(state.records.items())
            if record.service == table.service
            and state.is_recorded_coordinator(endpoint)
        }
        operation = state.next_operation()
        mark = f"{state.write_id_prefix}{operation}"
        encoded = table.with_epochs(epochs).encode(mark)
        action = WriteTable(name, state.versions.get(name, 0), encoded, operation)
        self._pending[name] = PendingWrite(action, mark, moved or {}, why)
        state.actions.append(action)

    def read(self, names: Iterable[str], now: float) -> None:
        """Read those of `names` that were not asked for just now."""
        due = [
            name
            for name in names
            if now >= self._asked_at.get(name, -math.inf) + RETRY_SECONDS
        ]
        self._asked_at.update(dict.fromkeys(due, now))
        if due:
            self._state.actions.append(ReadObjects(tuple(due)))

    def tick(self, now: float) -> None:
        """Read or send again what has no answer."""
        for name, pending in self._pending.items():
            if not pending.unresolved or now < pending.next_try_at:
                continue
            pending.next_try_at = now + RETRY_SECONDS
            if not pending.resend:
                self._state.actions.append(ReadObjects((name,)))
                continue
            # The same content and mark: whichever copy takes effect, it is the same
            # write, and the conditional update lets at most one do so.
            pending.resend = pending.unresolved = False
            operation = self._state.next_operation()
            pending.action = dataclasses.replace(pending.action, operation=operation)
            self._state.actions.append(pending.action)

    def resolve(self, name: str, version: int, writer: str) -> None:
        """Resolve the write of `name` by a version of the object."""
        pending = self._pending.get(name)
        if pending is None:
            return
        if version <= pending.action.if_version:
            pending.resend = pending.unresolved
            return
        del self._pending[name]
        if writer != pending.mark:
            return
        subject = name.removeprefix(TABLE_PREFIX)
        for unit, (owner, target) in pending.moved.items():
            self._state.record_decision(
                f"{subject}/{unit}", f"{owner} to {target}", pending.why
            )

    def read_back(self, name: str, operation: int, now: float) -> None:
        """Find out by reading whether a write took effect.

        A conflict is no proof that it did not: the conflict may be with an earlier
        copy of the same write. After a conflict on a table the table is read first
        and the endpoint records second.
        """
        pending = self._pending.get(name)
        if pending is None or pending.action.operation != operation:
            return
        pending.unresolved = True
        pending.next_try_at = now + RETRY_SECONDS
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
