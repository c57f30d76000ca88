"""Numbered configuration document and the patches that change it.

Invariants:
- A patch is applied only to the configuration number that it names.
- Each configuration number is used once.
- The document contains the identifiers of recent patches, so a client that got no
  answer can find out whether its patch took effect.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from arbutusflow.errors import ConfigurationError

# Operators look up the result of a patch within minutes after a lost answer.
MAX_APPLIED_PATCHES = 256

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Number = Annotated[int, msgspec.Meta(ge=0)]
PatchId = Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
Meta = msgspec.Meta


class Rank(enum.Enum):
    """Priority of a kind of work, set by the operator and never by the caller."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"

    # Queues hash ranks about twenty times per request, and `Enum.__hash__` hashes the
    # name in a Python call. Members are compared by identity.
    __hash__ = object.__hash__


class EndpointState(enum.Enum):
    """State of an endpoint as requested by the operator."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Server that exclusively owns a part of the keys.

    `slots` is the number of requests that it runs concurrently, and `connections`
    the number of connections that it accepts from all entry instances together.
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
        Meta(description="A draining endpoint gives up its keys and gets no new ones."),
    ] = EndpointState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Kind of work of a service."""

    name: Annotated[Name, Meta(description="Name, unique in its service.")]
    rank: Annotated[Rank, Meta(description="Importance; urgent work is served first.")]
    repeatable: Annotated[
        bool,
        Meta(
            description="Whether running a request twice has the same effect as once."
        ),
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
    """Service with its kinds of work and the endpoints that own its keys."""

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
            description="Number of partitions of the keys; it cannot be changed.",
            extra={"unit": "partitions"},
        ),
    ] = 256

    def kind(self, name: str) -> Kind | None:
        """Return the kind of work with this name, or None."""
        return next((kind for kind in self.kinds if kind.name == name), None)

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with this name, or None."""
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
            description="Total size of the request bodies that an instance holds at "
            "once, as the entry hop and as the coordinator; bodies of up to 16 KiB do "
            "not count. It must be at least `body_bytes`, or the largest requests are "
            "refused.",
        ),
    ] = 134_217_728
    queue_per_endpoint: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description="Largest number of requests that wait for one endpoint.",
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
            description="How far a caller's clock may be ahead. After the loss of a "
            "coordinator, requests that may not be repeated get the outcome unknown "
            "for the sum of this limit and the next one.",
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
    """Patch that took effect, and the configuration number that it produced."""

    id: Annotated[str, Meta(description="Identifier of the patch.")]
    number: Annotated[int, Meta(description="Number that it produced.")]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One numbered version of the configuration that operators maintain.

    `lost_zones` are the availability zones that an operator declared lost. Their
    instances count as gone until the zone is restored, and their endpoints until
    they answer again.
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
        Meta(description="The most recent patches; maintained by the router."),
    ] = ()
    lost_zones: Annotated[
        tuple[Name, ...],
        Meta(description="Zones that an operator declared lost."),
    ] = ()

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
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
    """Declares that all instances and endpoints of a zone have stopped permanently.

    Keys are moved on the strength of this declaration, so it must be true. An
    endpoint of the zone that is still running could execute work concurrently with
    the new owner of its keys.
    """

    zone: Name


class RestoreZone(msgspec.Struct, frozen=True, tag="restore_zone"):
    """Revokes the declaration that a zone is lost."""

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
    """Operations on one configuration number, applied atomically."""

    id: PatchId
    against: Number
    operations: tuple[Operation, ...]


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Result of a patch that took effect as configuration `number`."""

    number: int


class Stale(msgspec.Struct, frozen=True, tag="stale"):
    """Result of a patch that was made against an outdated number."""

    against: int
    current: int


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """Result of a patch that breaks rules; the configuration is unchanged."""

    problems: tuple[str, ...]


PatchResult = Accepted | Stale | Invalid


def apply_patch(
    current: Configuration, patch: Patch
) -> tuple[PatchResult, Configuration]:
    """Return the result of `patch` and the resulting configuration.

    The configuration is `current` itself unless this call applies the patch. For an
    identifier that was applied before, the result contains the number that the patch
    produced then.
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
    """Return a description of each rule that `cfg` breaks."""
    problems = []
    for name in _duplicates(service.name for service in cfg.services):
        problems.append(f"service {name} is defined twice; give it one definition")
    addresses = []
    for service in cfg.services:
        if not service.kinds:
            problems.append(f"service {service.name} has no kind of work; add one")
        for name in _duplicates(kind.name for kind in service.kinds):
            problems.append(f"service {service.name} defines kind {name} twice")
        addresses += [f"{item.host}:{item.port}" for item in service.endpoints]
    names = (item.name for service in cfg.services for item in service.endpoints)
    for name in _duplicates(names):
        problems.append(f"endpoint name {name} is used twice; names are global")
    for address in _duplicates(addresses):
        problems.append(f"address {address} belongs to two endpoints")
    return tuple(problems)


def _duplicates(names: object) -> list[str]:
    seen: set[str] = set()
    duplicates: list[str] = []
    for name in names:  # type: ignore[attr-defined]
        if name in seen:
            duplicates.append(name)
        seen.add(name)
    return duplicates


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
    """Reject a change after which another process would stand for the endpoint.

    A refused connection counts as proof that the endpoint's process has exited. At a
    new address it would prove nothing about the process at the old address, which
    may still be running.
    """
    for field in ("host", "port", "checks_tokens", "zone"):
        if getattr(previous, field) != getattr(endpoint, field):
            raise ConfigurationError(
                f"{field} of endpoint {endpoint.name} cannot change; drain it, remove "
                "it and add an endpoint under another name"
            )


def _require_zone(cfg: Configuration, zone: str) -> None:
    """Reject a zone without endpoints, so that a typing error is not stored."""
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
