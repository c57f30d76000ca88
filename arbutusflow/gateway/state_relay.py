"""Sends copies of the store's objects to instances that cannot read the store.

An instance that starts while the store is unreachable, or in a zone that is cut off
from it, has no configuration and no endpoints. Other instances that still have their
copies send them.

Invariants: objects from a peer never replace objects read from the store. They do not
give an instance the right to grant keys, because it is not registered.
"""

import zlib
from typing import Any

import msgspec

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Address
from arbutusflow.gateway.peers import PeerReports, StateRequest, StateTransfer
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import StoredObject

REQUEST_INTERVAL_SECONDS = 0.4
MAX_STATE_BYTES = 60_000  # A datagram holds 65,507 bytes.
COMPRESSION_LEVEL = 1  # Sufficient, because objects repeat the same field names.


class StateRelay:
    """Requests missing objects from peers, and answers their requests."""

    def __init__(
        self, copies: dict[str, ObjectCopy], peers: PeerReports, log: EventLog
    ) -> None:
        self._copies = copies
        self._peers = peers
        self._log = log
        self._requested_at: dict[str, float] = {}

    def request_missing(self, source: Address, now: float) -> None:
        """Request all kinds of objects that this instance lacks from a peer."""
        for kind, copy in self._copies.items():
            if copy.usable or copy.unreachable_since is None:
                continue
            if now - self._requested_at.get(kind, -1e9) < REQUEST_INTERVAL_SECONDS:
                continue
            self._requested_at[kind] = now
            self._peers.send(StateRequest(kind), [source])

    def send_copy(self, kind: str, source: Address) -> None:
        """Send this instance's copy of the objects of a kind to a peer."""
        copy = self._copies.get(kind)
        if copy is None or not copy.was_read:
            return
        objects = [(o.name, o.revision, o.raw) for o in copy.objects.values()]
        packed = zlib.compress(msgspec.msgpack.encode(objects), COMPRESSION_LEVEL)
        if len(packed) > MAX_STATE_BYTES:
            self._log.write_rate_limited(
                "state_too_large", kind=kind, bytes=len(packed)
            )
            return
        self._peers.send(StateTransfer(kind, packed), [source])

    def use_transfer(self, message: StateTransfer) -> None:
        """Use the objects that a peer sent until the store can be read."""
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
        copy.use_peer_copy(
            StoredObject(name, revision, raw.get("spec"), raw)
            for name, revision, raw in objects
            if isinstance(raw, dict)
        )
