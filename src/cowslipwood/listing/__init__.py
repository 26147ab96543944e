"""Reads the platform's list of backend servers and the notices in their answers."""

from ._http_list import HttpServerList
from ._notice import ServerNotice, read_notice
from ._servers import (
    ListedModel,
    ListedServer,
    ServerListSource,
    check_server,
    list_holding_keys,
    make_holding_key,
    service_key,
    to_server_view,
)

__all__ = [
    "HttpServerList",
    "ListedModel",
    "ListedServer",
    "ServerListSource",
    "ServerNotice",
    "check_server",
    "list_holding_keys",
    "make_holding_key",
    "read_notice",
    "service_key",
    "to_server_view",
]
