"""Datagrams between entry instances, and events and actions of their membership.

Invariant: every field of a datagram is bounded, so one member update always fits
into a datagram together with any message header.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Annotated

import msgspec

from arbutusflow.domain.records import Proof

MAX_DATAGRAM_BYTES = 1_200  # Passes every common path without fragmentation.

# Printable ASCII, so that a length in characters is a length in bytes.
InstanceId = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
ZoneName = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,63}$")]
MAX_INCARNATION = 2**32 - 1
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
Sequence = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Digest = Annotated[int, msgspec.Meta(ge=0)]
# Optional identifiers are empty when absent.
OptionalId = Annotated[str, msgspec.Meta(pattern="^[!-~]{0,64}$")]


class Address(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Address of an instance: IP number and port."""

    host: Annotated[str, msgspec.Meta(pattern="^[0-9a-fA-F.:]{1,45}$")]
    port: Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Status(enum.IntEnum):
    """Status of a member in a datagram."""

    ALIVE = 0
    SUSPECTED = 1
    LEFT = 2
    GONE = 3


# Only these prove that the process of an entry instance has ended.
GONE_PROOFS = frozenset(
    (Proof.PROCESS_EXITED, Proof.PLATFORM_GONE, Proof.OPERATOR_DECLARED)
)


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one instance knows about a member.

    `age` is the time since the suspicion began in tenths of a second, up to 10.
    It lets all instances end the suspicion together, however late they hear.
    """

    instance: InstanceId
    zone: ZoneName
    address: Address
    incarnation: Incarnation
    status: Status
    age: Annotated[int, msgspec.Meta(ge=0, le=10)] = 0
    proof: Proof | None = None


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks `target` to answer; an empty target is whoever has the address.

    A `cursor` also asks for the part of the member list that follows it. With
    `exchange` the receiver is to take over the sender's list too.
    """

    sequence: Sequence
    sender: InstanceId
    incarnation: Incarnation
    target: OptionalId
    cursor: OptionalId | None = None
    exchange: bool = False
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping.

    `relayed_for` names the probed member in an indirect answer. `knows_you` is
    false when the sender needs the receiver's own update. `next_cursor` is set in
    a part of the member list and empty in the last one. `digest` covers the
    sender's members that have neither left nor gone.
    """

    sequence: Sequence
    sender: InstanceId
    incarnation: Incarnation
    digest: Digest
    relayed_for: OptionalId = ""
    knows_you: bool = True
    next_cursor: OptionalId | None = None
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to ping `target` and to pass the answer on."""

    sequence: Sequence
    sender: InstanceId
    incarnation: Incarnation
    target: InstanceId
    address: Address
    updates: tuple[MemberUpdate, ...] = ()


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Announces that the sender stops; its own update comes first."""

    sender: InstanceId
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | Ack | PingRequest | Leave


class MemberState(enum.Enum):
    """State of an instance in a view."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"
    GONE = "gone"


class Member(msgspec.Struct, frozen=True, gc=False):
    """A known instance; `proof` is set if and only if it is gone."""

    zone: str
    address: Address
    state: MemberState
    proof: Proof | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """All known instances as one of them sees them, itself included."""

    instance: str
    members: Mapping[str, Member]


class ListedState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list, which lags."""

    instance: InstanceId
    zone: ZoneName
    address: Address
    state: ListedState


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A well-formed datagram arrived from `source`."""

    message: Message
    source: Address


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's whole list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionRefused:
    """The address of `instance` refused a connection, so its process has exited."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class OtherIdentityFound:
    """Another identifier answered at the address of `instance`."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneDeclaredLost:
    """An operator declared that all instances known in `zone` are lost."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This instance is to announce that it stops."""


Event = (
    Tick
    | DatagramReceived
    | InstancesListed
    | ConnectionRefused
    | OtherIdentityFound
    | ZoneDeclaredLost
    | LeaveRequested
)


# Actions


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send `message` to `address`; its encoding has at most MAX_DATAGRAM_BYTES."""

    address: Address
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view of this instance changed."""

    view: View


Action = SendDatagram | ViewChanged
