"""The numbered configuration document and the patches that change it.

Invariants: a patch is applied only against the number that it names; a number
is used once; the identifier of a recent patch stays in the document, so an
answer that was lost can be resolved by asking for the identifier.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from arbutusflow.domain.errors import ConfigurationError

MAX_APPLIED_PATCHES = 256  # Operators resolve a lost answer within minutes.

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Number = Annotated[int, msgspec.Meta(ge=0)]
PatchId = Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
Meta = msgspec.Meta


class Rank(enum.Enum):
    """Importance of a kind of work; the operator sets it, never the caller."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"

    # Queues look ranks up some twenty times a request, and `Enum` hashes the name
    # by a Python call. Members are compared by identity.
    __hash__ = object.__hash__


class EndpointState(enum.Enum):
    """What the operator wants of an endpoint."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One server that owns keys exclusively.

    `slots` is the number of requests that it runs at once; `connections` the
    number of connections that it accepts from all entry instances together.
    """

    name: Annotated[Name, Meta(description="Name, unique among all endpoints.")]
    zone: Annotated[Name, Meta(description="Availability zone.")]
    host: Annotated[Host, Meta(description="IP address.")]
    port: Annotated[Port, Meta(description="TCP port.")]
    slots: Annotated[
        int,
        Meta(
            ge=1,
            le=4096,
            description="Requests that it runs at once.",
            extra={"unit": "requests"},
        ),
    ] = 2
    connections: Annotated[
        int,
        Meta(
            ge=1,
            le=10_000,
            description="Connections that it accepts from all instances together.",
            extra={"unit": "connections"},
        ),
    ] = 100
    checks_tokens: Annotated[
        bool,
        Meta(description="Whether it refuses work whose fencing token is out of date."),
    ] = True
    weight: Annotated[
        float,
        Meta(gt=0, le=1000, description="Share of the keys relative to the others."),
    ] = 1.0
    state: Annotated[
        EndpointState,
        Meta(description="A draining endpoint keeps no key and gets no new one."),
    ] = EndpointState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work of a service."""

    name: Annotated[Name, Meta(description="Name, unique in its service.")]
    rank: Annotated[Rank, Meta(description="Importance; urgent work is served first.")]
    repeatable: Annotated[
        bool,
        Meta(description="Whether running a request twice has the effect of once."),
    ]
    timeout_ms: Annotated[
        Milliseconds, Meta(description="Longest time from arrival to answer.")
    ] = 5_000
    progress_ms: Annotated[
        Milliseconds,
        Meta(
            description="Longest time in which no byte moves between the coordinator "
            "and the endpoint before a request that may be repeated is sent again "
            "on another connection; at most half of the timeout takes effect."
        ),
    ] = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service, its kinds of work and the endpoints that own its keys."""

    name: Annotated[Name, Meta(description="Name, unique among all services.")]
    kinds: Annotated[tuple[Kind, ...], Meta(description="Kinds of work; at least one.")]
    endpoints: Annotated[
        tuple[Endpoint, ...], Meta(description="Servers that own the keys.")
    ] = ()
    partitions: Annotated[
        int,
        Meta(
            ge=1,
            le=65_536,
            description="Parts that the keys are divided into; it cannot change.",
            extra={"unit": "partitions"},
        ),
    ] = 256

    def kind(self, name: str) -> Kind | None:
        """Return the kind of work called `name`, if there is one."""
        return next((kind for kind in self.kinds if kind.name == name), None)

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint called `name`, if there is one."""
        return next((item for item in self.endpoints if item.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits that protect the entry instances."""

    body_bytes: Annotated[
        int,
        Meta(ge=1024, le=67_108_864, description="Largest body of a request."),
    ] = 8_388_608
    held_body_bytes: Annotated[
        int,
        Meta(
            ge=1024,
            le=17_179_869_184,
            description="Bodies of all requests that an instance holds at once, as "
            "the entry hop and as the coordinator; bodies of up to 16 KiB do not "
            "count. It has to be at least `body_bytes` for the largest requests to "
            "be served.",
        ),
    ] = 134_217_728
    queue_per_endpoint: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description="Requests that wait for one endpoint at most.",
            extra={"unit": "requests"},
        ),
    ] = 256
    retained_answers: Annotated[
        int,
        Meta(
            ge=1,
            le=1_000_000,
            description="Answers that a coordinator keeps for resent requests.",
            extra={"unit": "answers"},
        ),
    ] = 50_000
    request_id_skew_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description="How far a caller's clock may be ahead. For this time and "
            "the next limit after the loss of a coordinator, work that may not be "
            "repeated gets the outcome unknown.",
        ),
    ] = 1_000
    instance_clocks_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description="How far the clocks of two entry instances may differ.",
        ),
    ] = 250


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedPatch:
    """A patch that took effect, and the number that it produced."""

    id: Annotated[str, Meta(description="Identifier of the patch.")]
    number: Annotated[int, Meta(description="Number that it produced.")]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One numbered state of what the operators want.

    `lost_zones` are availability zones that an operator declared lost: their
    instances count as gone until the zone is restored, their endpoints until they
    answer again.
    """

    number: Annotated[
        Number, Meta(description="Number of the state; each patch raises it by 1.")
    ] = 0
    services: Annotated[
        tuple[Service, ...], Meta(description="Services that are routed.")
    ] = ()
    limits: Annotated[
        Limits, Meta(description="Limits that protect the entry instances.")
    ] = Limits()
    applied: Annotated[
        tuple[AppliedPatch, ...],
        Meta(description="The most recent patches; written by the product."),
    ] = ()
    lost_zones: Annotated[
        tuple[Name, ...],
        Meta(description="Zones that an operator declared lost."),
    ] = ()

    def service(self, name: str) -> Service | None:
        """Return the service called `name`, if there is one."""
        return next((item for item in self.services if item.name == name), None)


class PutService(msgspec.Struct, frozen=True, tag="put_service"):
    """Creates or replaces a service."""

    service: Service


class RemoveService(msgspec.Struct, frozen=True, tag="remove_service"):
    """Removes a service."""

    name: str


class PutEndpoint(msgspec.Struct, frozen=True, tag="put_endpoint"):
    """Creates or replaces an endpoint of a service."""

    service: str
    endpoint: Endpoint


class RemoveEndpoint(msgspec.Struct, frozen=True, tag="remove_endpoint"):
    """Removes an endpoint of a service."""

    service: str
    name: str


class SetEndpointState(msgspec.Struct, frozen=True, tag="set_endpoint_state"):
    """Activates or drains an endpoint."""

    service: str
    name: str
    state: EndpointState


class PutKind(msgspec.Struct, frozen=True, tag="put_kind"):
    """Creates or replaces a kind of work of a service."""

    service: str
    kind: Kind


class SetLimits(msgspec.Struct, frozen=True, tag="set_limits"):
    """Replaces the limits."""

    limits: Limits


class DeclareZoneLost(msgspec.Struct, frozen=True, tag="declare_zone_lost"):
    """Declares that every instance and endpoint of a zone has stopped for good.

    It is a proof on which keys move, so it has to be true: a server of the zone
    that still runs could execute work beside its successor.
    """

    zone: Name


class RestoreZone(msgspec.Struct, frozen=True, tag="restore_zone"):
    """Takes back the declaration that a zone is lost."""

    zone: Name


Operation = (
    PutService
    | RemoveService
    | PutEndpoint
    | RemoveEndpoint
    | SetEndpointState
    | PutKind
    | SetLimits
    | DeclareZoneLost
    | RestoreZone
)


class Patch(msgspec.Struct, frozen=True):
    """Operations against one numbered configuration, applied whole or not at all."""

    id: PatchId
    against: Number
    operations: tuple[Operation, ...]


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The patch took effect as configuration `number`."""

    number: int


class Stale(msgspec.Struct, frozen=True, tag="stale"):
    """The patch was made against another number than the current one."""

    against: int
    current: int


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The patch breaks rules; nothing changed."""

    problems: tuple[str, ...]


PatchResult = Accepted | Stale | Invalid


def apply_patch(
    current: Configuration, patch: Patch
) -> tuple[PatchResult, Configuration]:
    """Return the result of `patch` and the configuration after it.

    The configuration is `current` itself unless the patch takes effect now. A
    patch whose identifier was applied before gives its earlier number again.
    """
    for applied in current.applied:
        if applied.id == patch.id:
            return Accepted(applied.number), current
    if patch.against != current.number:
        return Stale(patch.against, current.number), current
    try:
        changed = current
        for operation in patch.operations:
            changed = _apply_operation(changed, operation)
        problems = check_configuration(changed)
    except ConfigurationError as exc:
        problems = (str(exc),)
    if problems:
        return Invalid(problems), current
    number = current.number + 1
    applied_patches = (*current.applied, AppliedPatch(patch.id, number))
    return Accepted(number), dataclasses.replace(
        changed, number=number, applied=applied_patches[-MAX_APPLIED_PATCHES:]
    )


def check_configuration(cfg: Configuration) -> tuple[str, ...]:
    """Return one sentence for each rule that `cfg` breaks."""
    problems = []
    for name in _repeated(service.name for service in cfg.services):
        problems.append(f"service {name} is defined twice; give it one definition")
    addresses = []
    for service in cfg.services:
        if not service.kinds:
            problems.append(f"service {service.name} has no kind of work; add one")
        for name in _repeated(kind.name for kind in service.kinds):
            problems.append(f"service {service.name} defines kind {name} twice")
        addresses += [f"{item.host}:{item.port}" for item in service.endpoints]
    names = (item.name for service in cfg.services for item in service.endpoints)
    for name in _repeated(names):
        problems.append(f"endpoint name {name} is used twice; names are global")
    for address in _repeated(addresses):
        problems.append(f"address {address} belongs to two endpoints")
    return tuple(problems)


def _repeated(names: object) -> list[str]:
    seen: set[str] = set()
    repeated: list[str] = []
    for name in names:  # type: ignore[attr-defined]
        if name in seen:
            repeated.append(name)
        seen.add(name)
    return repeated


def _apply_operation(cfg: Configuration, operation: Operation) -> Configuration:
    match operation:
        case PutService(service):
            return _with_service(cfg, service)
        case RemoveService(name):
            _require_service(cfg, name)
            rest = tuple(item for item in cfg.services if item.name != name)
            return dataclasses.replace(cfg, services=rest)
        case PutEndpoint(name, endpoint):
            service = _require_service(cfg, name)
            return _with_service(cfg, _with_endpoint(service, endpoint))
        case RemoveEndpoint(service_name, name):
            service = _require_service(cfg, service_name)
            _require_endpoint(service, name)
            kept = tuple(item for item in service.endpoints if item.name != name)
            return _with_service(cfg, dataclasses.replace(service, endpoints=kept))
        case SetEndpointState(service_name, name, state):
            service = _require_service(cfg, service_name)
            endpoint = _require_endpoint(service, name)
            changed = dataclasses.replace(endpoint, state=state)
            return _with_service(cfg, _with_endpoint(service, changed))
        case PutKind(service_name, kind):
            service = _require_service(cfg, service_name)
            kinds = tuple(item for item in service.kinds if item.name != kind.name)
            return _with_service(
                cfg, dataclasses.replace(service, kinds=(*kinds, kind))
            )
        case SetLimits(limits):
            return dataclasses.replace(cfg, limits=limits)
        case DeclareZoneLost(zone):
            _require_zone(cfg, zone)
            lost = tuple(sorted({*cfg.lost_zones, zone}))
            return dataclasses.replace(cfg, lost_zones=lost)
        case RestoreZone(zone):
            if zone not in cfg.lost_zones:
                raise ConfigurationError(f"zone {zone} is not declared lost")
            kept_zones = tuple(item for item in cfg.lost_zones if item != zone)
            return dataclasses.replace(cfg, lost_zones=kept_zones)


def _with_service(cfg: Configuration, service: Service) -> Configuration:
    previous = cfg.service(service.name)
    if previous is None:
        return dataclasses.replace(cfg, services=(*cfg.services, service))
    if previous.partitions != service.partitions:
        raise ConfigurationError(
            f"service {service.name} has {previous.partitions} partitions; the number "
            "cannot change, so remove the service and create another one"
        )
    for endpoint in service.endpoints:
        known = previous.endpoint(endpoint.name)
        if known is not None:
            _require_same_process(known, endpoint)
    services = tuple(
        service if item.name == service.name else item for item in cfg.services
    )
    return dataclasses.replace(cfg, services=services)


def _with_endpoint(service: Service, endpoint: Endpoint) -> Service:
    previous = service.endpoint(endpoint.name)
    if previous is None:
        return dataclasses.replace(service, endpoints=(*service.endpoints, endpoint))
    _require_same_process(previous, endpoint)
    endpoints = tuple(
        endpoint if item.name == endpoint.name else item for item in service.endpoints
    )
    return dataclasses.replace(service, endpoints=endpoints)


def _require_same_process(previous: Endpoint, endpoint: Endpoint) -> None:
    """Refuse a change after which another process would answer for an endpoint.

    A refused connection at the new address would prove that the process at the old
    one has exited, though it may still run.
    """
    for field in ("host", "port", "checks_tokens", "zone"):
        if getattr(previous, field) != getattr(endpoint, field):
            raise ConfigurationError(
                f"{field} of endpoint {endpoint.name} cannot change; drain it, remove "
                "it and add an endpoint under another name"
            )


def _require_zone(cfg: Configuration, zone: str) -> None:
    """Refuse a zone without an endpoint; a typing error must not be stored."""
    zones = {item.zone for service in cfg.services for item in service.endpoints}
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        raise ConfigurationError(f"there is no zone {zone}; the zones are {known}")


def _require_service(cfg: Configuration, name: str) -> Service:
    service = cfg.service(name)
    if service is None:
        raise ConfigurationError(f"there is no service {name}; create it first")
    return service


def _require_endpoint(service: Service, name: str) -> Endpoint:
    endpoint = service.endpoint(name)
    if endpoint is None:
        raise ConfigurationError(f"service {service.name} has no endpoint {name}")
    return endpoint
