"""The front end ``completions``: ``POST /v1/completions``."""

from typing import Any

from ...kernel.registry import PluginKind, register
from .._components import CallerRequest, EntryComponents
from ..receiving._answer_writer import AnswerWriter
from ._completion import CompletionKind, serve_completion
from ._completion_fields import BadFieldError

__all__ = ["Completions"]


class _TextShape:
    """Makes choices of ``text_completion`` objects."""

    def make_first_choice(self) -> None:
        """Return None: a text completion has no event before its first token."""

    def make_event_choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice of one event of a stream."""
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def make_whole_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of an answer that is not streamed."""
        return self.make_event_choice(text, finish_reason)


def _read_prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise BadFieldError("prompt", "a string, or a list with one string")
    return prompt


_COMPLETION_KIND = CompletionKind(
    _TextShape(), "text_completion", "text_completion", "cmpl-", _read_prompt
)


@register(PluginKind.FRONT_END, "completions")
class Completions:
    """Serves text completions."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return method == "POST" and path == "/v1/completions"

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, components: EntryComponents
    ) -> None:
        """Serve one request to its end."""
        await serve_completion(_COMPLETION_KIND, request, writer, components)
