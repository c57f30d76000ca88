"""Messages between entry instances on a peer stream.

A frame is a MessagePack list of messages, so that many small messages share one
write. A reply carries the `id` of the message that it answers.
"""

import msgspec

from arbutusflow.adapters.platform import StoredObject


class ForwardRequest(msgspec.Struct, frozen=True, tag="fwd"):
    """A caller's request on its way to the coordinator of its endpoint.

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
    """Outcome of a forwarded request; `status` and `body` are the endpoint's."""

    id: int
    outcome: str
    reason: str = ""
    detail: str = ""
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    retry_after_ms: int = 0


class CancelRequest(msgspec.Struct, frozen=True, tag="cancel"):
    """The caller of forwarded request `id` has left."""

    id: int


class StreamPing(msgspec.Struct, frozen=True, tag="ping"):
    """Asks the peer for a sign that the stream still carries messages."""

    id: int


class StreamPong(msgspec.Struct, frozen=True, tag="pong"):
    """Answers ping `id`."""

    id: int


class ObjectsChanged(msgspec.Struct, frozen=True, tag="changed"):
    """Platform objects that the sender has learnt."""

    objects: tuple[StoredObject, ...]


class VersionsRequest(msgspec.Struct, frozen=True, tag="versions"):
    """Asks for objects that are newer than the named versions."""

    id: int
    versions: dict[str, int]


class VersionsReply(msgspec.Struct, frozen=True, tag="versions_reply"):
    """Objects that the answering instance holds in a newer version."""

    id: int
    objects: tuple[StoredObject, ...]


class RenouncementRequest(msgspec.Struct, frozen=True, tag="renounce"):
    """Asks the receiver never to act on a version of an endpoint record."""

    sender: str
    endpoint: str
    version: int


class RenouncementReply(msgspec.Struct, frozen=True, tag="renounced"):
    """The sender will not act on that version of the endpoint record."""

    sender: str
    endpoint: str
    version: int
    renewed: bool


class KnownOutcome(msgspec.Struct, frozen=True):
    """What is known of a request identifier; `reason` is empty for an answer."""

    request_id: str
    created: float
    digest: bytes
    repeatable: bool
    reason: str = ""
    may_have_run: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class KnownStrike(msgspec.Struct, frozen=True):
    """Endpoint exits counted against an identifier or a digest of content."""

    count: int
    age_seconds: float
    request_id: str = ""
    digest: bytes = b""


class HistoryTransfer(msgspec.Struct, frozen=True, tag="history"):
    """Request history of a unit from its earlier coordinator.

    `sequence` and `epoch` name the owner's row and the record under which the
    receiver coordinates the unit. All identifiers that were created after
    `complete_after` and may have run are in `outcomes`, if `complete`; otherwise
    the message carries strikes only.
    """

    service: str
    unit: int
    sequence: int
    epoch: int
    complete_after: float
    outcomes: tuple[KnownOutcome, ...]
    strikes: tuple[KnownStrike, ...] = ()
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
    """Return the frame that holds `messages`."""
    return _encoder.encode(messages)


def decode_frame(frame: bytes) -> list[PeerMessage]:
    """Return the messages of `frame`; `msgspec.DecodeError` if it is malformed."""
    return _decoder.decode(frame)
