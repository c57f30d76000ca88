"""Types shared by the modules of the gateway, independent of names on the wire.

All durations are in seconds.
"""

import dataclasses
import enum
import re
from collections.abc import Mapping
from typing import Generic, TypeVar

import msgspec

T = TypeVar("T")

KEY_SPACE = 65536  # Keys of a partitioned service are integers from 0 to 65535.


class StorePoint(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Point in time of the store: points of a later era come after all earlier ones.

    The store starts a new era when it comes back from an older copy, and gives out
    revisions again. Within an era they rise.
    """

    era: int
    number: int  # The revision within the era.

    def __add__(self, changes: int) -> "StorePoint":
        """Return the point some changes later."""
        return StorePoint(self.era, self.number + changes)

    def __sub__(self, changes: int) -> "StorePoint":
        """Return the point some changes earlier."""
        return StorePoint(self.era, self.number - changes)


BEFORE_ALL = StorePoint(0, 0)  # Revisions start above 0.

# Identifier and start time of a process of an endpoint.
EndpointProcess = tuple[str, int]


# Names and numbers that a resolver and the header "Host" take.
_ADDRESS = re.compile(
    r"(?P<host>[\w-]{1,63}(?:\.[\w-]{1,63})*\.?|\[?[0-9a-f:.]*:[0-9a-f:.]*\]?)"
    r":(?P<port>\d{1,5})",
    re.ASCII | re.IGNORECASE,
)
MAX_SHOWN_CHARACTERS = 80  # Of an invalid text in a message.


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Host and port; a host holds no character that could end a header."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse `host:port`. Raises ValueError."""
        match = _ADDRESS.fullmatch(text)
        if match is None or not 0 < int(match["port"]) < 65536:
            raise ValueError(f"{text[:MAX_SHOWN_CHARACTERS]!r} is not host:port")
        return cls(match["host"], int(match["port"]))


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process."""

    instance: str
    zone: str
    caller_address: Address
    readiness_address: Address
    metrics_port: int | None
    peer_port: int
    peer_host: str
    store_address: Address
    seeds: tuple[Address, ...]
    memory_bytes: int
    stop_seconds: float  # Time between SIGTERM and SIGKILL.
    drain_seconds: float  # How long a draining endpoint still accepts requests.
    max_lease_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    # A cold endpoint gets at most its rate times the first plus the second per second.
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    # Of which some are for files; None if there is no limit but the system's.
    max_descriptors: int | None = None
    # From when the store has acknowledged the evacuation of an availability zone until
    # no request may reach its endpoints; None if zones cannot be evacuated.
    evacuation_seconds: float | None = None
    # Whether to learn how much each endpoint handles well.
    learn_room: bool = False


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service among the targets of a route, and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Treatment of the requests for one host and path prefix."""

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    targets: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float  # Answers within this time have their full value.
    rank: int  # 0 is the most urgent.
    max_attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests."""

    name: str
    health_path: str
    max_connections: int  # Per endpoint, over all of its clients.
    partitioned: bool  # Whether each key is owned by one of the endpoints.
    # Requests per second that a cold endpoint takes; None if there is no limit, and 0
    # if the configuration has one that is no positive number: it then gets none.
    cold_rate: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and timing of a caller's requests."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Placed(Generic[T]):
    """A value of a document and its place there, such as `hosts[1].host`."""

    place: str
    value: T


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDraft:
    """A service among the targets of a route; None for values that are invalid."""

    service: Placed[str] | None
    weight: Placed[float] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDraft:
    """A route that has not been validated; None for values that are invalid."""

    place: str
    name: Placed[str] | None
    host: Placed[str] | None  # As written, which may be in upper case.
    prefix: Placed[str] | None
    kind: Placed[str] | None
    timeout_seconds: Placed[float] | None
    objective_seconds: Placed[float] | None
    rank: Placed[int] | None
    max_attempts: Placed[int] | None
    targets: Placed[tuple[TargetDraft, ...]] | None
    uploads: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDraft:
    """A service that has not been validated; None for values that are invalid."""

    place: str
    name: Placed[str] | None
    health_path: Placed[str] | None
    max_connections: Placed[int] | None
    protocol: Placed[str]
    partitioned: Placed[bool]
    cold_rate: Placed[float | None]
    served: bool  # Services with other protocols are left out.


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsDraft:
    """Limits that have not been validated; None for values that are invalid."""

    header_bytes: Placed[int] | None
    body_bytes: Placed[int] | None
    header_seconds: Placed[float] | None
    idle_seconds: Placed[float] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDraft:
    """A configuration that has not been validated, with the places of its values.

    `problems` are the values that the decoder refuses, each with the reason.
    """

    version: Placed[int] | None
    hosts: tuple[Placed[str], ...]
    routes: tuple[RouteDraft, ...]
    services: tuple[ServiceDraft, ...]
    limits: LimitsDraft | None
    problems: tuple[Placed[str], ...]
    # Whether the routes and their services are all there.
    references_complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Registration of an endpoint in the store."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_seconds: float  # Remaining duration of the cold start, while it is slow.
    started_ms: int  # Start time of the process; identifies the process.
    # How often the process has written its entry; None if it does not say.
    entry_number: int | None = None

    @property
    def process(self) -> EndpointProcess:
        """Identifier and start time, which identify the process."""
        return self.id, self.started_ms


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationTimes:
    """Until when endpoints of evacuated availability zones may be sent requests."""

    serve_until: Mapping[str, float] = dataclasses.field(default_factory=dict)  # Zones.
    # Endpoints that count as draining for no other reason.
    leaving: frozenset[str] = frozenset()


NO_EVACUATION = EvacuationTimes()


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete HTTP response of an endpoint or of the store."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]  # Names as sent.
    body: bytes
    reusable: bool  # Whether the connection may carry another request.

    def header(self, name: bytes) -> bytes | None:
        """Return the first header with the given lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ExchangeError(Exception):
    """An exchange on a connection ended without a usable response.

    `sent` is whether any byte of the request may have reached the other side, and
    `local` whether this process lacked what the exchange needs, so that it says nothing
    of the other side.
    """

    def __init__(self, detail: str, *, sent: bool, local: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.local = local
