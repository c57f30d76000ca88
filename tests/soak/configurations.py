"""Configurations of a run: their documents, and what each of them allows.

Routes that stay allow the traffic of ordinary callers; others are added, removed and
moved between services from version to version, and tell which version is in force.
"""

import dataclasses
import functools
import random
from typing import Any

from tests.gateway.test_documents import CONFIGURATION

HOST = "shop.example"
TIMEOUT_SECONDS = 1.5
NO_TIMEOUT_SECONDS = 60.0  # Longer than any caller waits.
SLOW_TIMEOUT_SECONDS = 4.0
MAX_ADDED_ROUTES = 4  # Older ones are removed.
ROUTES_A_HOST = 50  # Of the hosts that no caller uses.
SERVICES = ("keyed", "plain", "spare")
MOVED_PREFIX = b"/m/"
# Which services the moved route may name; two share its requests.
MOVED_TARGETS = (("plain",), ("spare",), ("plain", "spare"))


@dataclasses.dataclass(frozen=True)
class Route:
    """One route of a version."""

    name: str
    prefix: bytes
    kind: str
    services: tuple[str, ...]
    timeout_seconds: float = TIMEOUT_SECONDS

    def document(self) -> dict[str, object]:
        """Return the entry of the configuration document."""
        targets: dict[str, object] = {"service": self.services[0]}
        if len(self.services) > 1:
            parts = [{"service": name, "weight": 50} for name in self.services]
            targets = {"trafficSplit": parts}
        return {
            "name": self.name,
            "pathPrefix": self.prefix.decode(),
            "routeType": self.kind,
            "timeoutS": self.timeout_seconds,
            "targetLatencyS": 0.5,
            "priority": 1,
            "maxAttempts": 2,
            **targets,
        }


LASTING_ROUTES = (
    Route("lookup", b"/x/", "safe", ("keyed",)),
    Route("order", b"/y/", "unsafe", ("plain",)),
    Route("keyed-order", b"/z/", "unsafe", ("keyed",)),
    Route("browse", b"/p/", "safe", ("plain",), SLOW_TIMEOUT_SECONDS),
    Route("upload", b"/u/", "upload", ("plain",), NO_TIMEOUT_SECONDS),
)


@dataclasses.dataclass(frozen=True)
class Version:
    """A version of the configuration. The store acknowledges it when it is sent."""

    number: int
    sent_at: float  # Seconds on the clock of the run.
    routes: tuple[Route, ...]
    idle_seconds: float | None = None  # Limit for callers, if it is not the usual one.
    other_routes: int = 0  # Of other hosts, which no caller uses.

    def route_for(self, path: bytes) -> Route | None:
        """Return the route of a path."""
        matching = (route for route in self.routes if path.startswith(route.prefix))
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def describe(self, zero: float) -> str:
        """Return the version in one line, with the seconds since `zero`."""
        routes = (f"{r.prefix.decode()} {'+'.join(r.services)}" for r in self.routes)
        return f"{self.sent_at - zero:.3f} version {self.number}: {', '.join(routes)}"

    def allows(self, path: bytes, service: str | None) -> bool:
        """Whether a request may go to this service; None stands for status 404."""
        route = self.route_for(path)
        return service is None if route is None else service in route.services

    def document(self) -> dict[str, object]:
        """Return the document that the operator writes to the store."""
        template: Any = CONFIGURATION["services"]
        services = [
            {**template[0 if name == "keyed" else 1], "name": name} for name in SERVICES
        ]
        paths = [route.document() for route in self.routes]
        limits: Any = CONFIGURATION["limits"]
        if self.idle_seconds is not None:
            limits = {**limits, "idleTimeoutS": self.idle_seconds}
        return {
            **CONFIGURATION,
            "limits": limits,
            "version": self.number,
            "services": services,
            "hosts": [
                {"host": HOST, "paths": paths},
                *_other_hosts(self.other_routes),
            ],
        }


@functools.cache
def _other_hosts(count: int) -> list[dict[str, object]]:
    """Return entries of hosts that have so many routes together."""
    return [
        {
            "host": f"other{first}.example",
            "paths": [
                Route(f"o{i}", b"/o%d/" % i, "safe", ("plain",)).document()
                for i in range(first, min(first + ROUTES_A_HOST, count))
            ],
        }
        for first in range(0, count, ROUTES_A_HOST)
    ]


class ConfigurationHistory:
    """The versions that the operator has sent, in order."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.versions: list[Version] = []
        # Shortest and longest time-out of all routes but uploads, if they are set.
        self.timeout_range: tuple[float, float] | None = None
        self.idle_choices: tuple[float, ...] = ()  # Of the limit for callers.
        self.other_routes = 0  # Of each version.

    def add(self, now: float) -> Version:
        """Draw, record and return the next version."""
        number, added = 1, []
        if self.versions:
            number = self.versions[-1].number + self._rng.randint(1, 5)
            added = list(self.versions[-1].routes[len(LASTING_ROUTES) + 1 :])
        targets = self._rng.choice(MOVED_TARGETS)
        service = self._rng.choice(("plain", "spare"))
        added.append(Route(f"v{number}", b"/v%d/" % number, "safe", (service,)))
        while len(added) > MAX_ADDED_ROUTES or (
            len(added) > 1 and self._rng.random() < 0.3
        ):
            del added[self._rng.randrange(len(added) - 1)]
        moved = Route("moved", MOVED_PREFIX, "safe", targets)
        routes = (*LASTING_ROUTES, moved, *added)
        if self.timeout_range is not None:
            seconds = self._rng.uniform(*self.timeout_range)
            routes = tuple(
                route
                if route.kind == "upload"
                else dataclasses.replace(route, timeout_seconds=seconds)
                for route in routes
            )
        idle = self._rng.choice(self.idle_choices) if self.idle_choices else None
        version = Version(number, now, routes, idle, self.other_routes)
        self.versions.append(version)
        return version

    def newest_index(self, until: float) -> int:
        """Return the index of the last version sent until then, or -1."""
        found = -1
        for index, version in enumerate(self.versions):
            if version.sent_at <= until:
                found = index
        return found

    def shortest_timeout(self, path: bytes, since: float, until: float) -> float:
        """Return the shortest time-out of a path in versions that may be in force.

        `since` is the earliest time at which a superseded version was in force.
        """
        ends = [version.sent_at for version in self.versions[1:]] + [float("inf")]
        return min(
            route.timeout_seconds
            for version, end in zip(self.versions, ends, strict=True)
            if version.sent_at <= until
            and end >= since
            and (route := version.route_for(path)) is not None
        )

    def allowing(self, path: bytes, service: str | None, until: float) -> list[int]:
        """Return the indexes of the versions sent until then that allow an outcome."""
        return [
            index
            for index, version in enumerate(self.versions)
            if version.sent_at <= until and version.allows(path, service)
        ]
