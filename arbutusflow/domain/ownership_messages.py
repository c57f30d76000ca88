"""Events that the ownership core takes and actions that it returns."""

import dataclasses

from arbutusflow.domain.configuration import Configuration, Endpoint
from arbutusflow.domain.partitions import EncodedTable
from arbutusflow.domain.records import (
    Decision,
    EndpointRecord,
    LeaseRenewal,
    LeaseReply,
    Proof,
)

# Events


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; `wall` is the wall clock for the decision record."""

    wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force here."""

    cfg: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class RecordChanged:
    """A version of an endpoint record was seen; version 0 means that none exists."""

    name: str
    version: int
    record: EndpointRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanged:
    """A version of an ownership table was seen; version 0 means that none exists."""

    name: str
    version: int
    table: EncodedTable | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """A conditional update took effect as `version`."""

    name: str
    operation: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflicted:
    """A conditional update was refused; the object has another version."""

    name: str
    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The answer of a conditional update was lost; it may have taken effect."""

    name: str
    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalReplied:
    """An endpoint answered a renewal that was sent as `operation`."""

    endpoint: str
    operation: int
    reply: LeaseReply


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalFailed:
    """A renewal had no answer; `refused` means that the connection was refused."""

    endpoint: str
    operation: int
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """View of the entry instances.

    `zones` maps each known instance to its zone. `suspected` have not answered;
    `gone` are proven to have ended (exit proof, platform list or operator).
    `leaving` still act for what they have not handed over, but get nothing new.
    """

    zones: dict[str, str]
    suspected: frozenset[str]
    gone: frozenset[str]
    leaving: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RenounceRequested:
    """`sender` asks this instance never to act on record `version` of `endpoint`."""

    sender: str
    endpoint: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renounced:
    """`sender` will not act on record `version` or an earlier one.

    `renewed` tells whether a renewal that it sent may still keep the lease valid.
    """

    sender: str
    endpoint: str
    version: int
    renewed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnitDrained:
    """No request of the unit is in flight and none will be dispatched."""

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDeclaredLost:
    """The endpoint's process has ended for good.

    `proof` is `PLATFORM_GONE` once the platform has listed it as gone for longer
    than the list's lag, or `OPERATOR_DECLARED`. The event goes to every instance.
    """

    endpoint: str
    proof: Proof


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The instance is to hand over its endpoints and stop."""


Event = (
    Tick
    | ConfigurationChanged
    | RecordChanged
    | TableChanged
    | WriteSucceeded
    | WriteConflicted
    | WriteUnknown
    | RenewalReplied
    | RenewalFailed
    | MembersChanged
    | RenounceRequested
    | Renounced
    | UnitDrained
    | EndpointDeclaredLost
    | StopRequested
)


# Actions


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Update an endpoint record if its version is `if_version`."""

    name: str
    if_version: int
    record: EndpointRecord
    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteTable:
    """Update an ownership table if its version is `if_version`."""

    name: str
    if_version: int
    table: EncodedTable
    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObjects:
    """Read the named objects one after the other, in this order."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendRenewal:
    """Send a renewal to an endpoint and report `RenewalReplied` or `RenewalFailed`."""

    endpoint: Endpoint
    renewal: LeaseRenewal
    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRenounce:
    """Ask `instance` to renounce record `version` of `endpoint`."""

    instance: str
    endpoint: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmRenounce:
    """Tell `instance` that this instance has renounced."""

    instance: str
    answer: Renounced


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUnit:
    """Stop dispatching the unit and report `UnitDrained` when none is in flight.

    After a take-over, requests that the earlier coordinator dispatched count as in
    flight until their longest deadline has passed.
    """

    service: str
    unit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDecision:
    """Append to the decision record."""

    decision: Decision


Action = (
    WriteRecord
    | WriteTable
    | ReadObjects
    | SendRenewal
    | RequestRenounce
    | ConfirmRenounce
    | DrainUnit
    | RecordDecision
)
