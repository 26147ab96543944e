"""The engine specifications of one version of the document, fit to plan with."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ...kernel.logs import get_logger
from ...routes import EngineSpec, ModelSpec, RouteDocument

__all__ = ["EngineSpecs", "make_engine_specs"]

# Bounds of the numbers that planning divides by, rounds or converts to other units. A
# document may contain any number; one outside its bounds counts as the nearest bound,
# and planning needs no cases of its own for it.
#
# An engine runs at least one request at a time.
SLOTS_BOUNDS = (1, 1_000_000)
ADAPTERS_BOUNDS = (0, 1_000_000)
SIZE_BOUNDS_MB = (0.0, 1e12)
LOADS_BOUNDS_PER_S = (0.0, 1e6)
# A day; estimates in milliseconds then fit every message.
LOAD_TIME_BOUNDS_S = (0.0, 86_400.0)

_ENGINE_BOUNDS = {
    "n_slots": SLOTS_BOUNDS,
    "weights_mb": SIZE_BOUNDS_MB,
    "max_adapters": ADAPTERS_BOUNDS,
    "loads_per_s": LOADS_BOUNDS_PER_S,
}
_MODEL_BOUNDS = {
    "weights_mb": SIZE_BOUNDS_MB,
    "load_time_s": LOAD_TIME_BOUNDS_S,
    "warm_load_s": LOAD_TIME_BOUNDS_S,
    "disk_load_s": LOAD_TIME_BOUNDS_S,
    "adapter_size_mb": SIZE_BOUNDS_MB,
}


class EngineSpecs(NamedTuple):
    """The services of one document that have engines.

    Parameters
    ----------
    version : int
        Version of the document; 0 for none.
    by_service : mapping of str to EngineSpec
        All numbers are within the bounds of this module.
    """

    version: int
    by_service: Mapping[str, EngineSpec]

    def find_model(self, service: str, model: str) -> ModelSpec | None:
        """Return a model of a service; None if the document has no such model."""
        spec = self.by_service.get(service)
        return spec.find_model(model) if spec is not None else None

    def list_model_names(self) -> set[str]:
        """Return the names of the models of all services."""
        return {
            model.name for spec in self.by_service.values() for model in spec.models
        }


def make_engine_specs(document: RouteDocument | None) -> EngineSpecs:
    """Return the specifications of a document; logs numbers that are out of bounds."""
    if document is None:
        return EngineSpecs(0, {})
    return EngineSpecs(
        document.version,
        {
            service.name: _bound_engine(service.engine, service.name, document.version)
            for service in document.services
            if service.engine is not None
        },
    )


def _bound_engine(spec: EngineSpec, service: str, version: int) -> EngineSpec:
    models = tuple(
        _bound_numbers(
            model, _MODEL_BOUNDS, version=version, service=service, model=model.name
        )
        for model in spec.models
    )
    bounded = _bound_numbers(spec, _ENGINE_BOUNDS, version=version, service=service)
    return bounded._replace(models=models)


def _bound_numbers(
    record: Any, bounds: Mapping[str, tuple[float, float]], **labels: Any
) -> Any:
    """Return a record with each field within its bounds; log those that are not."""
    changes = {}
    for field, (lowest, highest) in bounds.items():
        value = getattr(record, field)
        bounded = min(max(value, lowest), highest)
        if bounded != value:
            changes[field] = bounded
            get_logger().warning(
                "engine_number_bounded",
                field=field,
                value=value,
                used=bounded,
                **labels,
            )
    return record._replace(**changes) if changes else record
