"""The whole catalogue of routes as one document, and what makes it valid."""

import enum
import math
from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._decode import FieldError, decode_record

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "ModelSpec",
    "Route",
    "RouteDocument",
    "RouteKind",
    "ServiceSpec",
    "WeightedService",
    "parse_document",
]


class RouteKind(enum.StrEnum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and its part of a route's requests."""

    service: str
    weight: float = 1.0


class Route(NamedTuple):
    """Requests of one host under one path prefix.

    Parameters
    ----------
    name, host, path_prefix : str
    kind : RouteKind
    timeout_ms : float
        Longest time that a request may be kept waiting for its answer.
    services : tuple of WeightedService
    target_latency_ms : float
        Time to the answer, or to the first event of a stream.
    priority : int
        0 goes first.
    max_attempts : int
        Servers that one request may be sent to.
    is_sticky : bool
        Whether requests share parts of their prompts.
    is_resumable : bool
        Whether a stream may go on at another server after its last event.
    gap_target_ms : float
        Longest pause between two events that is still in time; 0 for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    services: tuple[WeightedService, ...]
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_sticky: bool = False
    is_resumable: bool = False
    gap_target_ms: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


class ModelSpec(NamedTuple):
    """One model that the engines of a service can hold.

    Parameters
    ----------
    name : str
    weights_mb : float
    load_time_s, warm_load_s, disk_load_s : float
        Time of a load from the weight store, the host's memory or its disk.
    n_adapters : int
    adapter_size_mb : float
    """

    name: str
    weights_mb: float
    load_time_s: float = 0.0
    warm_load_s: float = 0.0
    disk_load_s: float = 0.0
    n_adapters: int = 0
    adapter_size_mb: float = 0.0


class EngineSpec(NamedTuple):
    """The engines of a service.

    Parameters
    ----------
    n_slots : int
        Requests in one batch.
    weights_mb : float
        Room for weights and adapters together on one server.
    max_adapters : int
    loads_per_s : float
        Loads that the weight store allows over all servers.
    kv_cache_tokens : int
    models : tuple of ModelSpec
    """

    n_slots: int
    weights_mb: float
    max_adapters: int
    loads_per_s: float
    kv_cache_tokens: int
    models: tuple[ModelSpec, ...]


class ServiceSpec(NamedTuple):
    """A service behind the routes; `engine` is None for a plain one."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineSpec | None = None


class CallerLimits(NamedTuple):
    """What one caller may send, and how long it may take."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8_388_608
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class RouteDocument(NamedTuple):
    """All routes and services under one version that only rises."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service of that name."""
        return next((each for each in self.services if each.name == name), None)


def parse_document(data: bytes) -> Result[RouteDocument, Failure]:
    """Decode and check a document.

    Returns
    -------
    Result
        Fails with BAD_JSON, or BAD_VALUE naming the first field that is wrong.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        return Err(failure(Code.BAD_JSON, str(exc)))
    return document_from_json(value)


def document_from_json(value: Any) -> Result[RouteDocument, Failure]:
    """Return the document of a parsed JSON value; fails with BAD_VALUE."""
    try:
        document = decode_record(RouteDocument, value)
        _check(document)
    except FieldError as exc:
        return Err(failure(Code.BAD_VALUE, str(exc)))
    return Success(document)


def _check(document: RouteDocument) -> None:
    """Raise FieldError when the document cannot be obeyed."""
    if document.version < 1:
        raise FieldError("version: expected 1 or more")
    known = {service.name for service in document.services}
    if len(known) != len(document.services):
        raise FieldError("services: a name stands twice")
    places = set()
    for route in document.routes:
        _check_route(route, known)
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            raise FieldError(f"route {route.name}: another has its host and prefix")
        places.add(place)


def _check_route(route: Route, known: set[str]) -> None:
    where = f"route {route.name}"
    for part in route.services:
        if part.service not in known:
            raise FieldError(f"{where}: unknown service {part.service!r}")
        if not (math.isfinite(part.weight) and part.weight >= 0):
            raise FieldError(f"{where}: weights must be 0 or more")
    if not sum(part.weight for part in route.services) > 0:
        raise FieldError(f"{where}: the weights add up to 0")
    if not route.timeout_ms > 0:
        raise FieldError(f"{where}.timeout_ms: expected more than 0")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        raise FieldError(f"{where}.path_prefix: must begin and end with a slash")
