"""Membership datagrams between entry instances; events and actions of the core.

Invariant: every datagram field has a maximum size, so at least one member update
fits into a datagram after any message header.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Annotated

import msgspec

from arbutusflow.domain.records import Proof

MAX_DATAGRAM_BYTES = 1_200  # Below the MTU of all common paths: no fragmentation.

# Printable ASCII only, so that the length in characters is the length in bytes.
InstanceId = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
ZoneName = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,63}$")]
MAX_INCARNATION = 2**32 - 1
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Digest = Annotated[int, msgspec.Meta(ge=0)]
# The empty string stands for an absent identifier.
OptionalId = Annotated[str, msgspec.Meta(pattern="^[!-~]{0,64}$")]


class Address(msgspec.Struct, frozen=True, array_like=True, order=True):
    """IP address and port of an instance."""

    host: Annotated[str, msgspec.Meta(pattern="^[0-9a-fA-F.:]{1,45}$")]
    port: Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Status(enum.IntEnum):
    """Status of a member as encoded in datagrams."""

    ALIVE = 0
    SUSPECTED = 1
    LEFT = 2
    GONE = 3


# The only proofs that the process of an entry instance has ended.
GONE_PROOFS = frozenset(
    (Proof.PROCESS_EXITED, Proof.PLATFORM_GONE, Proof.OPERATOR_DECLARED)
)


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What the sender knows about a member.

    `age` is the time since the suspicion began, in tenths of a second, at most 10.
    With it the suspicion timeout expires at the same time on all instances, no
    matter when they receive the update.
    """

    instance: InstanceId
    zone: ZoneName
    address: Address
    incarnation: Incarnation
    status: Status
    age: Annotated[int, msgspec.Meta(ge=0, le=10)] = 0
    proof: Proof | None = None


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks `target` for an ack; an empty target is any instance at the address.

    A `cursor` also requests the page of the member list that follows it. With
    `exchange` the receiver in turn requests the sender's list.
    """

    sequence: SequenceNumber
    sender: InstanceId
    incarnation: Incarnation
    target: OptionalId
    cursor: OptionalId | None = None
    exchange: bool = False
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges a ping.

    `relayed_for` names the probed member in the ack of an indirect probe.
    `knows_you` is false if the sender has no record of the receiver and needs its
    own update. `next_cursor` is set if the ack carries a page of the member list,
    and empty on the last page. `digest` covers the sender's members that are
    neither `left` nor `gone`.
    """

    sequence: SequenceNumber
    sender: InstanceId
    incarnation: Incarnation
    digest: Digest
    relayed_for: OptionalId = ""
    knows_you: bool = True
    next_cursor: OptionalId | None = None
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe `target` and relay its ack (indirect probe)."""

    sequence: SequenceNumber
    sender: InstanceId
    incarnation: Incarnation
    target: InstanceId
    address: Address
    updates: tuple[MemberUpdate, ...] = ()


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Announces that the sender is stopping; its own update is the first one."""

    sender: InstanceId
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | Ack | PingRequest | Leave


class MemberState(enum.Enum):
    """State of an instance in a membership view."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"
    GONE = "gone"


class Member(msgspec.Struct, frozen=True, gc=False):
    """A known instance; `proof` is set if and only if its state is `gone`."""

    zone: str
    address: Address
    state: MemberState
    proof: Proof | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """All instances known to `instance`, including itself."""

    instance: str
    members: Mapping[str, Member]


class ListedState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the platform's instance list, which lags behind reality."""

    instance: InstanceId
    zone: ZoneName
    address: Address
    state: ListedState


# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A well-formed datagram arrived from `source`."""

    message: Message
    source: Address


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's complete instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionRefused:
    """The address of `instance` refused a connection, so its process has exited."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressReused:
    """Another instance answered at the address of `instance`, which has ended."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneDeclaredLost:
    """An operator declared that all instances known in `zone` are lost."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This instance is about to stop and has to announce that it leaves."""


Event = (
    Tick
    | DatagramReceived
    | InstancesListed
    | ConnectionRefused
    | AddressReused
    | ZoneDeclaredLost
    | LeaveRequested
)


# Actions


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send `message` to `address`; it encodes to at most `MAX_DATAGRAM_BYTES`."""

    address: Address
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """Report a changed membership view."""

    view: View


Action = SendDatagram | ViewChanged
