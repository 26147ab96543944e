"""Records of the list, and the keys under which servers are found."""

from typing import NamedTuple, Protocol

from returns.result import Result

from ..kernel.codes import Failure
from ..kernel.messages import ServerView

__all__ = [
    "ListSource",
    "ListedModel",
    "ListedServer",
    "as_view",
    "holding_key",
    "listed_keys",
    "service_key",
]

SERVICE_PREFIX = "service:"


class ListedModel(NamedTuple):
    """A model that a server holds, and the adapters of it."""

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class ListedServer(NamedTuple):
    """One entry of the platform's list.

    Parameters
    ----------
    server_id : str
    service, zone : str
    addr : str
        ``ip:port``.
    n_slots : int
        Requests that it works on at once.
    is_leaving : bool
        Whether it takes no new work.
    born_ms : int
        When it started, Unix time; tells two lives under one id apart.
    models : tuple of ListedModel
    """

    server_id: str
    service: str
    zone: str
    addr: str
    n_slots: int = 0
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[ListedModel, ...] = ()


class ListSource(Protocol):
    """The platform's list of backend servers."""

    async def read(self) -> Result[list[ListedServer], Failure]:
        """Return all servers; entries that cannot be read are left out."""


def service_key(name: str) -> str:
    """Return the key under which the servers of a plain service are found."""
    return SERVICE_PREFIX + name


def holding_key(service: str, model: str, adapter: str = "") -> str:
    """Return the key under which a service's servers list what they hold."""
    if not model:
        return service_key(service)
    return f"{service}|{model}/{adapter}" if adapter else f"{service}|{model}"


def listed_keys(server: ListedServer) -> frozenset[str]:
    """Return the keys of all that a server holds."""
    keys = set()
    for model in server.models:
        keys.add(holding_key(server.service, model.name))
        for adapter in model.adapters:
            keys.add(holding_key(server.service, model.name, adapter))
    return frozenset(keys)


def as_view(server: ListedServer, keys: tuple[str, ...]) -> ServerView:
    """Return a listed server as the routing view shows it."""
    return ServerView(
        server_id=server.server_id,
        incarnation=str(server.born_ms),
        zone=server.zone,
        http_addr=server.addr,
        kind="engine" if server.models else "service",
        service_name=server.service,
        leaving=server.is_leaving,
        ready=keys,
        n_in_flight=0,
        n_queued=0,
        wait_ms=0.0,
        knee_in_flight=server.n_slots,
    )
