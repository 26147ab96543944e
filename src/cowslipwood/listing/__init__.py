"""The platform's list of backend servers, and what servers hold."""

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
    "ListSource",
    "ListedModel",
    "ListedServer",
    "as_view",
    "holding_key",
    "listed_keys",
    "service_key",
]
