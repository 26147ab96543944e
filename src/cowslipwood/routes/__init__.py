"""Routes by host and path prefix, and the document that lists them all."""

from ._decode import FieldError, decode_record, encode_record
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
    "CallerLimits",
    "EngineSpec",
    "FieldError",
    "ModelSpec",
    "Route",
    "RouteDocument",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
    "decode_record",
    "encode_record",
    "parse_document",
    "pick_service",
]
