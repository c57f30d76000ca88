"""Matches requests to routes and selects the service of a route."""

from collections.abc import Iterable

from arbutusflow.gateway.model import Configuration, Route


class RouteTable:
    """Routes of one configuration, matched by host and longest path prefix.

    A match takes as many look-ups as a host has lengths of prefixes, so it does not
    slow down with the number of routes. The first of several routes with the same host
    and prefix counts.
    """

    def __init__(self, cfg: Configuration) -> None:
        # By host, then by length of the prefix, longest first, then by prefix.
        self._hosts: dict[str, dict[int, dict[str, Route]]] = {}
        for route in sorted(cfg.routes, key=lambda r: len(r.prefix), reverse=True):
            lengths = self._hosts.setdefault(route.host, {})
            by_prefix = lengths.setdefault(len(route.prefix), {})
            by_prefix.setdefault(route.prefix, route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for length, by_prefix in self._hosts.get(host, {}).items():
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class WeightedRoundRobin:
    """Distributes the requests of a route over its services by weight.

    Uses smooth weighted round robin, which keeps each share exact to within one
    request. Random selection would need hundreds of requests to approach the weights.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

    def keep(self, routes: Iterable[Route]) -> None:
        """Forget all other routes."""
        names = {route.name for route in routes}
        for name in self._current_weights.keys() - names:
            del self._current_weights[name]

    def choose(self, route: Route) -> str:
        """Return the service for the next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        current = self._current_weights.setdefault(route.name, {})
        total = 0.0
        best = route.targets[0].service
        for target in route.targets:
            total += target.weight
            current[target.service] = current.get(target.service, 0.0) + target.weight
            if current[target.service] > current.get(best, 0.0):
                best = target.service
        current[best] -= total
        return best
