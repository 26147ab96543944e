"""Finds the route of a request."""

import random
from collections.abc import Iterable

from ._document import Route

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """Routes by host and path prefix; the longest matching prefix wins.

    Parameters
    ----------
    routes : iterable of Route
    """

    def __init__(self, routes: Iterable[Route] = ()):
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that the path starts with.

        The host is first looked up as it is, then without its port. Prefixes end with
        a slash, so only prefixes up to a slash of the path are looked up.
        """
        routes_by_prefix = self._routes_by_host.get(host.lower())
        if routes_by_prefix is None:
            routes_by_prefix = self._routes_by_host.get(host.lower().rpartition(":")[0])
        if routes_by_prefix is None:
            return None
        slash_position = path.rfind("/")
        while slash_position >= 0:
            route = routes_by_prefix.get(path[: slash_position + 1])
            if route is not None:
                return route
            slash_position = path.rfind("/", 0, slash_position)
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Return the name of one of the route's services, drawn at random by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [weighted_service.weight for weighted_service in route.services]
    return rng.choices(route.services, weights)[0].service
