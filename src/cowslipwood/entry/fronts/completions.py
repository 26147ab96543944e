"""The front end ``completions``: ``POST /v1/completions``."""

from typing import Any

from ...kernel.registry import PluginKind, register
from .._serving import CallerRequest, Serving
from ..taking._answer_writer import AnswerWriter
from ._fields import BadFieldError
from ._writing import Kind, serve_completion

__all__ = ["Completions"]


class _TextShape:
    """Choices of ``text_completion`` objects."""

    def opening(self) -> None:
        """Return nothing: the first event is like the others."""

    def chunk(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice of one event of a stream."""
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""
        return self.chunk(text, finish_reason)


def _prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise BadFieldError("prompt", "a string, or a list with one string")
    return prompt


_KIND = Kind(_TextShape(), "text_completion", "text_completion", "cmpl-", _prompt)


@register(PluginKind.FRONT_END, "completions")
class Completions:
    """Serves text completions."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return method == "POST" and path == "/v1/completions"

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, serving: Serving
    ) -> None:
        """Serve one request to its end."""
        await serve_completion(_KIND, request, writer, serving)
