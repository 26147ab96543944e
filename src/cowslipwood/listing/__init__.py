"""The platform's list of backend servers, and what servers hold."""

from ._http_list import HttpList
from ._notice import ServerNotice, read_notice
from ._servers import (
    ListedModel,
    ListedServer,
    ListSource,
    as_view,
    holding_key,
    listed_keys,
    service_key,
)

__all__ = [
    "HttpList",
    "ListSource",
    "ListedModel",
    "ListedServer",
    "ServerNotice",
    "as_view",
    "holding_key",
    "listed_keys",
    "read_notice",
    "service_key",
]
