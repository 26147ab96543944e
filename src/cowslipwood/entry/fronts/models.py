"""The front end ``models``: ``GET /v1/models`` and ``/v1/models/{name}``."""

from typing import Any

from ...catalogue import Entry, EntryKind
from ...kernel.codes import Code, failure
from ...kernel.registry import PluginKind, register
from .._serving import CallerRequest, Serving
from ..taking._answer_writer import AnswerWriter

__all__ = ["Models"]

_PATH = "/v1/models"


@register(PluginKind.FRONT_END, "models")
class Models:
    """Lists the catalogued models and adapters."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return method == "GET" and (path == _PATH or path.startswith(_PATH + "/"))

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, serving: Serving
    ) -> None:
        """Serve one request to its end."""
        name = request.http.path.removeprefix(_PATH).removeprefix("/")
        entries = serving.view.entries
        if not name:
            listed = [_model(each) for each in entries.values() if _is_model(each)]
            await writer.send_json({"object": "list", "data": listed})
        elif name in entries and _is_model(entries[name]):
            await writer.send_json(_model(entries[name]))
        else:
            await writer.refuse(failure(Code.NO_SUCH_MODEL, f"model: {name[:80]!r}"))


def _is_model(entry: Entry) -> bool:
    return entry.kind is not EntryKind.SERVICE


def _model(entry: Entry) -> dict[str, Any]:
    return {
        "id": entry.name,
        "object": "model",
        "created": 0,
        "owned_by": entry.owner,
        "parent": entry.base or None,
    }
