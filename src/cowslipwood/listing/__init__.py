"""The platform's list of backend servers, and what servers hold."""

from ._servers import (
    ListedModel,
    ListedServer,
    ListSource,
    holding_key,
    listed_keys,
    service_key,
)

__all__ = [
    "ListSource",
    "ListedModel",
    "ListedServer",
    "holding_key",
    "listed_keys",
    "service_key",
]
