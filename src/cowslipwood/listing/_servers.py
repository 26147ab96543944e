"""Records of the server list, and the keys by which servers are looked up."""

import ipaddress
from typing import NamedTuple, Protocol

from returns.result import Result

from ..kernel.codes import Failure
from ..kernel.messages import ServerView
from ..kernel.settings import parse_address

__all__ = [
    "ListedModel",
    "ListedServer",
    "ServerListSource",
    "check_server",
    "list_holding_keys",
    "make_holding_key",
    "service_key",
    "to_server_view",
]

# Longest id of a server, in characters.
MAX_ID_LENGTH = 256
# Largest number of requests that a server runs at once; messages between the daemons
# hold numbers of 32 bits.
MAX_SLOTS = 1_000_000
# Prefix that distinguishes the keys of plain services from those of models.
SERVICE_KEY_PREFIX = "service:"


class ListedModel(NamedTuple):
    """A model that a server holds, and the adapters of this model that it holds."""

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class ListedServer(NamedTuple):
    """One server in the platform's list.

    Parameters
    ----------
    server_id : str
    service, zone : str
    addr : str
        ``ip:port``.
    n_slots : int
        Number of requests that the server runs at once.
    is_leaving : bool
        Whether the server takes no new requests.
    born_ms : int
        When the server started, as Unix time; distinguishes two incarnations that
        have the same id.
    models : tuple of ListedModel
    software_version : str
        Version of the server's software, not of its weights; empty if it is not known.
    """

    server_id: str
    service: str
    zone: str
    addr: str
    n_slots: int = 0
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[ListedModel, ...] = ()
    software_version: str = ""


class ServerListSource(Protocol):
    """A source of the platform's list of backend servers."""

    async def read(self) -> Result[list[ListedServer], Failure]:
        """Return all servers; elements that cannot be decoded are left out."""


def check_server(server: ListedServer) -> None:
    """Check the values of a listed server that later steps could not handle.

    Raises
    ------
    ValueError
        When the address is not an IP address and a port, the id does not fit into a
        header, or a number is out of its range.
    """
    host, port = parse_address(server.addr)
    ipaddress.ip_address(host)
    if not port:
        raise ValueError("expected a port from 1 to 65535")
    if len(server.server_id) > MAX_ID_LENGTH or not _is_header_text(server.server_id):
        raise ValueError(f"expected an id of up to {MAX_ID_LENGTH} characters")
    if len(server.software_version) > MAX_ID_LENGTH:
        raise ValueError(f"expected a version of up to {MAX_ID_LENGTH} characters")
    if not 0 <= server.n_slots <= MAX_SLOTS:
        raise ValueError(f"expected up to {MAX_SLOTS} slots, got {server.n_slots}")


def _is_header_text(text: str) -> bool:
    return text.isascii() and text.isprintable() and text == text.strip()


def service_key(name: str) -> str:
    """Return the key by which the servers of a plain service are looked up."""
    return SERVICE_KEY_PREFIX + name


def make_holding_key(service: str, model: str, adapter: str = "") -> str:
    """Return the key by which servers that hold a model or adapter are looked up."""
    if not model:
        return service_key(service)
    return f"{service}|{model}/{adapter}" if adapter else f"{service}|{model}"


def list_holding_keys(server: ListedServer) -> frozenset[str]:
    """Return the keys of all models and adapters that a server holds."""
    keys = set()
    for model in server.models:
        keys.add(make_holding_key(server.service, model.name))
        for adapter in model.adapters:
            keys.add(make_holding_key(server.service, model.name, adapter))
    return frozenset(keys)


def to_server_view(
    server: ListedServer, keys: tuple[str, ...], is_engine: bool = False
) -> ServerView:
    """Convert a listed server to the record that the routing view uses.

    Parameters
    ----------
    server : ListedServer
    keys : tuple of str
        Models and adapters that the server is ready for.
    is_engine : bool
        Whether the document says that the server's service has engines. The list shows
        it only for a server that holds a model; one without may be about to get one.
    """
    has_models = bool(server.models or keys)
    return ServerView(
        server_id=server.server_id,
        incarnation=str(server.born_ms),
        zone=server.zone,
        http_addr=server.addr,
        kind="engine" if is_engine or has_models else "service",
        service_name=server.service,
        leaving=server.is_leaving,
        ready=keys,
        n_in_flight=0,
        n_queued=0,
        wait_ms=0.0,
        knee_in_flight=server.n_slots,
        software_version=server.software_version,
    )
