"""The front end ``chat``: ``POST /v1/chat/completions``."""

from typing import Any

from ...kernel.registry import PluginKind, register
from .._serving import CallerRequest, Serving
from ..taking._answer_writer import AnswerWriter
from ._fields import BadFieldError
from ._writing import Kind, serve_completion

__all__ = ["Chat", "chat_prompt"]


class _ChatShape:
    """Choices of ``chat.completion`` and ``chat.completion.chunk`` objects."""

    def opening(self) -> dict[str, Any]:
        """Return the choice that names the writer."""
        delta = {"role": "assistant", "content": ""}
        return {"index": 0, "delta": delta, "finish_reason": None}

    def chunk(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice of one event of a stream."""
        delta = {"content": text} if finish_reason is None else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def whole(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": finish_reason}


def chat_prompt(messages: list[dict[str, Any]]) -> str:
    """Return the prompt that a list of chat messages makes.

    Raises
    ------
    BadFieldError
        When a message has no role, or its content is not text.
    """
    lines = [_line(f"messages[{i}]", each) for i, each in enumerate(messages)]
    return "\n".join(lines)


def _line(field: str, message: Any) -> str:
    if not isinstance(message, dict):
        raise BadFieldError(field, "an object")
    role = message.get("role")
    if not isinstance(role, str):
        raise BadFieldError(f"{field}.role", "a string")
    return f"{role}: {_content(f'{field}.content', message.get('content'))}"


def _content(field: str, content: Any) -> str:
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


def _prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadFieldError("messages", "a list with at least one message")
    return chat_prompt(messages)


_KIND = Kind(
    _ChatShape(), "chat.completion", "chat.completion.chunk", "chatcmpl-", _prompt
)


@register(PluginKind.FRONT_END, "chat")
class Chat:
    """Serves chat completions."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether this front end serves the request."""
        return method == "POST" and path == "/v1/chat/completions"

    async def serve(
        self, request: CallerRequest, writer: AnswerWriter, serving: Serving
    ) -> None:
        """Serve one request to its end."""
        await serve_completion(_KIND, request, writer, serving)
