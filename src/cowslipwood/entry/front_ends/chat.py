"""The front end ``chat``: ``POST /v1/chat/completions``."""

from typing import Any

from ...kernel.registry import PluginKind, register
from .._components import CallerRequest, EntryComponents
from ..receiving._answer_writer import AnswerWriter
from ._completion import CompletionKind, serve_completion
from ._completion_fields import BadFieldError

__all__ = ["Chat", "make_chat_prompt"]


class _ChatShape:
    """Makes choices of ``chat.completion`` and ``chat.completion.chunk`` objects."""

    def make_first_choice(self) -> dict[str, Any]:
        """Return the choice that names the role of the message's author."""
        delta = {"role": "assistant", "content": ""}
        return {"index": 0, "delta": delta, "finish_reason": None}

    def make_event_choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice of one event of a stream."""
        delta = {"content": text} if finish_reason is None else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def make_whole_choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of an answer that is not streamed."""
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": finish_reason}


def make_chat_prompt(messages: list[dict[str, Any]]) -> str:
    """Return the prompt for a list of chat messages, with one line for each.

    Raises
    ------
    BadFieldError
        When a message has no role, or its content is not text.
    """
    lines = [
        _format_message(f"messages[{i}]", message) for i, message in enumerate(messages)
    ]
    return "\n".join(lines)


def _format_message(field: str, message: Any) -> str:
    if not isinstance(message, dict):
        raise BadFieldError(field, "an object")
    role = message.get("role")
    if not isinstance(role, str):
        raise BadFieldError(f"{field}.role", "a string")
    return f"{role}: {_read_content(f'{field}.content', message.get('content'))}"


def _read_content(field: str, content: Any) -> str:
    if isinstance(content, str):
        return content
    if content is None:
        return ""
    if not isinstance(content, list):
        raise BadFieldError(field, "a string, or a list of text parts")
    texts = []
    for part in content:
        text = part.get("text") if isinstance(part, dict) else None
        if not isinstance(text, str):
            raise BadFieldError(field, "parts with a text")
        texts.append(text)
    return "".join(texts)


def _read_prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadFieldError("messages", "a list with at least one message")
    return make_chat_prompt(messages)


_COMPLETION_KIND = CompletionKind(
    _ChatShape(), "chat.completion", "chat.completion.chunk", "chatcmpl-", _read_prompt
)


@register(PluginKind.FRONT_END, "chat")
class Chat:
    """Serves chat completions."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return method == "POST" and path == "/v1/chat/completions"

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, components: EntryComponents
    ) -> None:
        """Serve one request to its end."""
        await serve_completion(_COMPLETION_KIND, request, writer, components)
