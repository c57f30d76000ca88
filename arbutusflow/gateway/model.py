"""Types that the parts of the gateway share. No wire name appears here.

All durations are in seconds.
"""

import dataclasses
import enum

KEY_SPACE = 65536  # Keys of a partitioned service are integers from 0 to 65535.


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IPv4 address and port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse `host:port`. Raises ValueError."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} is not host:port")
        return cls(host, int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What one process is told at its start."""

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
    drain_seconds: float  # How long a leaving endpoint still accepts requests.
    max_lease_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Share of a route's requests that one service gets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    targets: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float  # An answer within it has its full value.
    rank: int  # 0 is the most urgent.
    max_attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that do the same work."""

    name: str
    health_path: str
    max_connections: int  # Of each endpoint, over all its callers.
    partitioned: bool  # A key has one owner among the endpoints.


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send."""

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
class Endpoint:
    """What an endpoint says of itself in the store."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_seconds: float  # How much longer it is slow after its start.
    started_ms: int  # Start of its process; another value is another process.


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Whole response of an endpoint or of the store."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]  # Names as sent.
    body: bytes
    reusable: bool  # Whether the connection may carry another request.

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ExchangeError(Exception):
    """An exchange on a connection ended without a usable answer.

    `sent` tells whether any byte of the request may have reached the other side.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
