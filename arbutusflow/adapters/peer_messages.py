"""Messages that entry instances exchange on a peer stream.

A frame is a MessagePack list of messages, so that many small messages share one
write. A reply has the same `id` as the message that it replies to.
"""

import msgspec

from arbutusflow.adapters.platform import StoredObject


class ForwardRequest(msgspec.Struct, frozen=True, tag="fwd"):
    """A caller's request, forwarded to the coordinator of its endpoint.

    `remaining_ms` is the time left until the caller's deadline.
    """

    id: int
    service: str
    kind: str
    key: str
    method: str
    body: bytes
    content_type: str
    request_id: str
    caller: str
    remaining_ms: int


class ForwardReply(msgspec.Struct, frozen=True, tag="fwd_reply"):
    """Outcome of a forwarded request; `status` and `body` come from the endpoint."""

    id: int
    outcome: str
    reason: str = ""
    detail: str = ""
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    retry_after_ms: int = 0


class CancelRequest(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels forwarded request `id`, whose caller has disconnected."""

    id: int


class StreamPing(msgspec.Struct, frozen=True, tag="ping"):
    """Checks that the stream still carries messages."""

    id: int


class StreamPong(msgspec.Struct, frozen=True, tag="pong"):
    """Reply to ping `id`."""

    id: int


class ObjectsChanged(msgspec.Struct, frozen=True, tag="changed"):
    """Platform objects of which the sender has received new versions."""

    objects: tuple[StoredObject, ...]


class VersionsRequest(msgspec.Struct, frozen=True, tag="versions"):
    """Requests the objects that are newer than the given versions."""

    id: int
    versions: dict[str, int]


class VersionsReply(msgspec.Struct, frozen=True, tag="versions_reply"):
    """Objects of which the replying instance has a newer version."""

    id: int
    objects: tuple[StoredObject, ...]


class RenouncementRequest(msgspec.Struct, frozen=True, tag="renounce"):
    """Asks the receiver to renounce a version of an endpoint record for good."""

    sender: str
    endpoint: str
    version: int


class RenouncementReply(msgspec.Struct, frozen=True, tag="renounced"):
    """The sender will never act on this version of the endpoint record."""

    sender: str
    endpoint: str
    version: int
    renewed: bool


class EncodedRequestRecord(msgspec.Struct, frozen=True):
    """Encoded `RequestRecord`; `reason` is empty if the outcome is a response."""

    request_id: str
    created: float
    digest: bytes
    repeatable: bool
    reason: str = ""
    may_have_run: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class EncodedStrikeRecord(msgspec.Struct, frozen=True):
    """Encoded `StrikeRecord`: number of endpoint exits attributed to a request.

    Either `request_id` or `digest` identifies the request.
    """

    count: int
    age_seconds: float
    request_id: str = ""
    digest: bytes = b""


class HistoryTransfer(msgspec.Struct, frozen=True, tag="history"):
    """Request history of a unit, sent by its previous coordinator.

    `sequence` and `epoch` identify the owner's row and the record under which the
    receiver coordinates the unit. If `complete`, `outcomes` has a record of each
    request that may have run and whose identifier was created after `complete_after`;
    otherwise the message has strikes only.
    """

    service: str
    unit: int
    sequence: int
    epoch: int
    complete_after: float
    outcomes: tuple[EncodedRequestRecord, ...]
    strikes: tuple[EncodedStrikeRecord, ...] = ()
    complete: bool = True


PeerMessage = (
    ForwardRequest
    | ForwardReply
    | CancelRequest
    | StreamPing
    | StreamPong
    | ObjectsChanged
    | VersionsRequest
    | VersionsReply
    | RenouncementRequest
    | RenouncementReply
    | HistoryTransfer
)

Reply = ForwardReply | VersionsReply

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[PeerMessage])


def encode_frame(messages: list[PeerMessage]) -> bytes:
    """Encode `messages` as one frame."""
    return _encoder.encode(messages)


def decode_frame(frame: bytes) -> list[PeerMessage]:
    """Decode a frame; raise `msgspec.DecodeError` if it is malformed."""
    return _decoder.decode(frame)
