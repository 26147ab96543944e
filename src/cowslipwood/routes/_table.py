"""Finds the route of a request."""

import random
from collections.abc import Iterable

from ._document import Route

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """Routes by host, looked up by the longest prefix.

    Parameters
    ----------
    routes : iterable of Route
    """

    def __init__(self, routes: Iterable[Route] = ()):
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            held = self._by_host.setdefault(route.host.lower(), {})
            held[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path.

        Prefixes end with a slash, so only the path's own slashes are tried.
        """
        by_prefix = self._by_host.get(host.lower())
        if by_prefix is None:
            by_prefix = self._by_host.get(host.lower().rpartition(":")[0])
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, drawn by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [part.weight for part in route.services]
    return rng.choices(route.services, weights)[0].service
