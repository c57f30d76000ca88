"""Finds the route of a request and the service that serves it."""

from arbutusflow.gateway.model import Configuration, Route


class RouteTable:
    """Routes of one configuration by host and longest path prefix."""

    def __init__(self, cfg: Configuration) -> None:
        self._hosts: dict[str, list[Route]] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class WeightedChoice:
    """Deals the requests of a route to its services in proportion to the weights.

    Smooth weighted round robin: shares are met within one request, where random
    numbers would need hundreds.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        credit = self._credits.setdefault(route.name, {})
        total = 0.0
        best = route.targets[0].service
        for target in route.targets:
            total += target.weight
            credit[target.service] = credit.get(target.service, 0.0) + target.weight
            if credit[target.service] > credit.get(best, 0.0):
                best = target.service
        credit[best] -= total
        return best
