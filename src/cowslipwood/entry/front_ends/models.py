"""The front end ``models``: ``GET /v1/models`` and ``/v1/models/{name}``."""

from typing import Any

from ...catalogue import CatalogueEntry, EntryKind
from ...kernel.codes import Code, failure
from ...kernel.registry import PluginKind, register
from .._components import CallerRequest, EntryComponents
from ..receiving._answer_writer import AnswerWriter

__all__ = ["Models"]

_MODELS_PATH = "/v1/models"


@register(PluginKind.FRONT_END, "models")
class Models:
    """Lists the models and adapters of the catalogue."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return method == "GET" and (
            path == _MODELS_PATH or path.startswith(_MODELS_PATH + "/")
        )

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, components: EntryComponents
    ) -> None:
        """Serve one request to its end."""
        name = request.http.path.removeprefix(_MODELS_PATH).removeprefix("/")
        entries = components.view.entries
        if not name:
            models = [
                _model_to_json(entry) for entry in entries.values() if _is_model(entry)
            ]
            await writer.send_json({"object": "list", "data": models})
        elif name in entries and _is_model(entries[name]):
            await writer.send_json(_model_to_json(entries[name]))
        else:
            await writer.send_failure(
                failure(Code.NO_SUCH_MODEL, f"model: {name[:80]!r}")
            )


def _is_model(entry: CatalogueEntry) -> bool:
    return entry.kind is not EntryKind.SERVICE


def _model_to_json(entry: CatalogueEntry) -> dict[str, Any]:
    return {
        "id": entry.name,
        "object": "model",
        "created": 0,
        "owned_by": entry.owner,
        "parent": entry.base or None,
    }
