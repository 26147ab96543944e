"""The platform's list of backend servers, and what servers hold."""

from ._http_list import HttpList
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
    "as_view",
    "holding_key",
    "listed_keys",
    "service_key",
]
