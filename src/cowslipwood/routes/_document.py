"""The route document: all routes and services, and the checks on them."""

import enum
import math
from typing import Any, NamedTuple

import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.codes import Code, Failure, failure
from ._customers import Customer, check_customers
from ._decode import FieldError, record_from_json

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
    """Whether the requests of a route may be repeated, and whether they stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route.

    Parameters
    ----------
    service : str
    weight : float
        Share of the route's requests, relative to the sum of all weights.
    """

    service: str
    weight: float = 1.0


class Route(NamedTuple):
    """How requests for one host and path prefix are served.

    Parameters
    ----------
    name, host, path_prefix : str
    kind : RouteKind
    timeout_ms : float
        Time limit for the answer to a request.
    services : tuple of WeightedService
    target_latency_ms : float
        Target for the time to the answer, or to the first event of a stream.
    priority : int
        0 is the highest priority.
    max_attempts : int
        Number of servers that one request may be sent to.
    is_sticky : bool
        Whether requests share parts of their prompts.
    is_resumable : bool
        Whether another server may continue a stream after the last event sent.
    gap_target_ms : float
        Target for the longest pause between two events; 0 for no target.
    needs_no_key : bool
        Whether requests are served without a customer's key.
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
    needs_no_key: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request of this route may run more than once.

        Only streams can be resumed, whatever else a route says.
        """
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


class ModelSpec(NamedTuple):
    """One model that the engines of a service can load.

    Parameters
    ----------
    name : str
    weights_mb : float
    load_time_s, warm_load_s, disk_load_s : float
        Time to load the model from the weight store, from the host's memory, or from
        the host's disk.
    n_adapters : int
        Number of adapters of the model.
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
    """Capacity of the engines of a service, and the models they can load.

    Parameters
    ----------
    n_slots : int
        Number of requests in one batch.
    weights_mb : float
        Memory for weights and adapters together on one server.
    max_adapters : int
        Number of adapters that one server may have loaded.
    loads_per_s : float
        Loads per second that the weight store allows, summed over all servers.
    kv_cache_tokens : int
        Size of the KV cache in tokens.
    models : tuple of ModelSpec
    """

    n_slots: int
    weights_mb: float
    max_adapters: int
    loads_per_s: float
    kv_cache_tokens: int
    models: tuple[ModelSpec, ...]

    def find_model(self, name: str) -> ModelSpec | None:
        """Return the model with this name; None if there is none."""
        return next((model for model in self.models if model.name == name), None)


class ServiceSpec(NamedTuple):
    """A service that routes send requests to; `engine` is None without engines."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineSpec | None = None


class CallerLimits(NamedTuple):
    """Limits on the size of one caller's requests and on the time they take."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8_388_608
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class RouteDocument(NamedTuple):
    """All routes, services and customers, with a version that only increases.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : tuple of ServiceSpec
    limits : CallerLimits
    customers : tuple of Customer or None
        Customers of whom requests need a key, except on routes with `needs_no_key`.
        If it is empty, no key is valid. None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] | None = None

    @property
    def needs_key(self) -> bool:
        """Whether requests need a customer's key."""
        return self.customers is not None

    def list_customers(self) -> tuple[Customer, ...]:
        """Return the customers; empty also where requests need no key."""
        return self.customers or ()

    def list_engine_services(self) -> list[str]:
        """Return the names of the services that have engines."""
        return [service.name for service in self.services if service.engine is not None]

    def set_key_need(self, needs_key: bool) -> "RouteDocument":
        """Return the document as it is in force.

        Whether requests need a key is decided when a document is committed, because a
        document without customers keeps the need for keys of the one before. Documents
        that earlier programs have stored have empty customers in either case.

        Parameters
        ----------
        needs_key : bool
            What was decided; a document with customers always needs a key.
        """
        if self.customers:
            return self
        return self._replace(customers=() if needs_key else None)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service with this name; None if there is none."""
        return next(
            (service for service in self.services if service.name == name), None
        )


def parse_document(data: bytes) -> Result[RouteDocument, Failure]:
    """Decode and check a document.

    Returns
    -------
    Result
        Fails with BAD_JSON, or with BAD_VALUE, which names the first invalid field.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        return Err(failure(Code.BAD_JSON, str(exc)))
    return document_from_json(value)


def document_from_json(value: Any) -> Result[RouteDocument, Failure]:
    """Check a parsed JSON value and return the document; fails with BAD_VALUE."""
    try:
        document = record_from_json(RouteDocument, value)
        _check_document(document)
    except FieldError as exc:
        return Err(failure(Code.BAD_VALUE, str(exc)))
    return Success(document)


def _check_document(document: RouteDocument) -> None:
    """Raise FieldError when the document is contradictory or incomplete."""
    if document.version < 1:
        raise FieldError("version: expected 1 or more")
    service_names = {service.name for service in document.services}
    if len(service_names) != len(document.services):
        raise FieldError("services: a name stands twice")
    used_hosts_and_prefixes = set()
    for route in document.routes:
        _check_route(route, service_names)
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in used_hosts_and_prefixes:
            raise FieldError(f"route {route.name}: another has its host and prefix")
        used_hosts_and_prefixes.add(host_and_prefix)
    check_customers(document.list_customers())


def _check_route(route: Route, service_names: set[str]) -> None:
    route_label = f"route {route.name}"
    for weighted_service in route.services:
        if weighted_service.service not in service_names:
            raise FieldError(
                f"{route_label}: unknown service {weighted_service.service!r}"
            )
        if not (
            math.isfinite(weighted_service.weight) and weighted_service.weight >= 0
        ):
            raise FieldError(f"{route_label}: weights must be 0 or more")
    if not sum(weighted_service.weight for weighted_service in route.services) > 0:
        raise FieldError(f"{route_label}: the weights add up to 0")
    if not route.timeout_ms > 0:
        raise FieldError(f"{route_label}.timeout_ms: expected more than 0")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        raise FieldError(f"{route_label}.path_prefix: must begin and end with a slash")
