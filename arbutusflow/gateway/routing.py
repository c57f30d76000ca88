"""Matches requests to routes and selects the service of a route."""

from arbutusflow.gateway.model import Configuration, Route


class RouteTable:
    """Routes of one configuration, matched by host and longest path prefix."""

    def __init__(self, cfg: Configuration) -> None:
        self._hosts: dict[str, list[Route]] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class WeightedRoundRobin:
    """Distributes the requests of a route over its services by weight.

    Uses smooth weighted round robin, which keeps each share exact to within one
    request. Random selection would need hundreds of requests to approach the weights.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

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
