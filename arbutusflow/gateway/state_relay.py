"""Passes copies of the store's objects to instances that cannot read the store.

An instance that starts while the store is away, or in a zone that is cut off from it,
has no configuration and knows no endpoint. Others of its zone that still have their
copies tell it.

Invariants: what a peer told never replaces what was read from the store; it gives no
right to grant keys, because the instance is not registered.
"""

import zlib
from typing import Any

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import PeerReports, StateAsked, StateTold
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoredObject

ASK_PAUSE_SECONDS = 0.4
MAX_STATE_BYTES = 60_000  # A datagram holds 65,507 bytes.
COMPRESSION_LEVEL = 1  # Entries repeat the same field names.


class StateRelay:
    """Asks for objects of unknown kinds, and answers such questions."""

    def __init__(
        self, copies: dict[str, ObjectCopy], peers: PeerReports, log: EventLog
    ) -> None:
        self._copies = copies
        self._peers = peers
        self._log = log
        self._asked: dict[str, float] = {}

    def note_peer(self, source: Address, now: float) -> None:
        """Ask an instance that was heard of for what is not known here."""
        for kind, copy in self._copies.items():
            if copy.usable or copy.lost_at is None:
                continue
            if now - self._asked.get(kind, -1e9) < ASK_PAUSE_SECONDS:
                continue
            self._asked[kind] = now
            self._peers.send(StateAsked(kind), [source])

    def answer(self, kind: str, source: Address) -> None:
        """Tell another instance the objects of a kind."""
        copy = self._copies.get(kind)
        if copy is None or not copy.known:
            return
        objects = [(o.name, o.revision, o.raw) for o in copy.objects.values()]
        packed = zlib.compress(msgspec.msgpack.encode(objects), COMPRESSION_LEVEL)
        if len(packed) > MAX_STATE_BYTES:
            self._log.write_rate_limited(
                "state_too_large", kind=kind, bytes=len(packed)
            )
            return
        self._peers.send(StateTold(kind, packed), [source])

    def take(self, message: StateTold) -> None:
        """Use the objects that another instance told until the store is read."""
        copy = self._copies.get(message.kind)
        if copy is None or copy.usable:
            return
        try:
            objects = msgspec.msgpack.decode(
                zlib.decompress(message.packed), type=list[tuple[str, int, Any]]
            )
        except (zlib.error, msgspec.MsgspecError) as exc:
            self._log.write_rate_limited(
                "state_malformed", kind=message.kind, detail=str(exc)
            )
            return
        copy.use_told(
            StoredObject(name, revision, raw.get("spec"), raw)
            for name, revision, raw in objects
            if isinstance(raw, dict)
        )
