"""Routes by host and path prefix, and the document with all routes and services."""

from ._customers import MAX_KEY_BYTES, Customer, LimitUnit
from ._decode import FieldError, record_from_json, record_to_json
from ._document import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Route,
    RouteDocument,
    RouteKind,
    ServiceSpec,
    WeightedService,
    parse_document,
)
from ._table import RouteTable, pick_service

__all__ = [
    "MAX_KEY_BYTES",
    "CallerLimits",
    "Customer",
    "EngineSpec",
    "FieldError",
    "LimitUnit",
    "ModelSpec",
    "Route",
    "RouteDocument",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
    "record_from_json",
    "record_to_json",
    "parse_document",
    "pick_service",
]
