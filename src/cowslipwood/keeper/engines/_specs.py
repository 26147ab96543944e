"""The engine specifications of one version of the document."""

from collections.abc import Mapping
from typing import NamedTuple

from ...routes import EngineSpec, ModelSpec, RouteDocument

__all__ = ["EngineSpecs", "make_engine_specs"]


class EngineSpecs(NamedTuple):
    """The services of one document that have engines.

    Parameters
    ----------
    version : int
        Version of the document; 0 for none.
    by_service : mapping of str to EngineSpec
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
    """Return the specifications of a document; those of none are empty."""
    if document is None:
        return EngineSpecs(0, {})
    return EngineSpecs(
        document.version,
        {
            service.name: service.engine
            for service in document.services
            if service.engine is not None
        },
    )
