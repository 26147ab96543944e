"""Reads the platform's list of backend servers and the notices in their answers."""

from ._http_list import HttpServerList
from ._notice import ServerNotice, read_notice
from ._servers import (
    ListedModel,
    ListedServer,
    ListSource,
    holding_key,
    listed_keys,
    service_key,
    to_server_view,
)

__all__ = [
    "HttpServerList",
    "ListSource",
    "ListedModel",
    "ListedServer",
    "ServerNotice",
    "holding_key",
    "listed_keys",
    "read_notice",
    "service_key",
    "to_server_view",
]
