"""What the headers of requests and answers say, and which of them are passed on."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from ...listing import ServerNotice, read_notice

__all__ = [
    "AnswerFacts",
    "HeaderNames",
    "RequestFacts",
    "read_answer",
    "read_request_facts",
    "request_headers",
    "response_headers",
]

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class HeaderNames(NamedTuple):
    """Lower-case names of the headers that the entry reads or sets.

    Parameters
    ----------
    request_id : bytes
        One for each attempt of a caller; servers repeat it in their answer.
    deadline : bytes
        Milliseconds for which the sender will wait.
    server_id : bytes
        Set by the entry: the server that the request is meant for.
    not_run : bytes
        In a server's refusal: the request did not run there.
    leaving : bytes
        In any answer, with the value 1: the server is about to stop.
    load : bytes
        In answers: running, waiting and slots, with commas between.
    urgency : bytes
        Set by the entry: 0 goes first, 9 last.
    model : bytes
        The model, and an adapter after a slash.
    tokens : bytes
        Prompt tokens and the most output tokens, with a comma between.
    prefix : bytes
        Parts of the prompt in order, as ID:TOKENS with commas between.
    last_event_id : bytes
        The event after which a stream goes on.
    reserved : frozenset of bytes
        Headers that only the entry may set; a caller's own are dropped.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    server_id: bytes = b"x-cowslip-server"
    not_run: bytes = b"x-cowslip-not-run"
    leaving: bytes = b"x-cowslip-leaving"
    load: bytes = b"x-cowslip-load"
    urgency: bytes = b"x-cowslip-urgency"
    model: bytes = b"x-cowslip-model"
    tokens: bytes = b"x-cowslip-tokens"
    prefix: bytes = b"x-cowslip-prefix"
    last_event_id: bytes = b"last-event-id"
    reserved: frozenset[bytes] = frozenset()


class RequestFacts(NamedTuple):
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str
    left_ms : float or None
        How long the caller will wait; None when it did not say.
    model, adapter : str
        Empty when none is asked for.
    n_prompt_tokens, n_output_tokens : int
    prefix_hash : int
        Hash of the parts of the prompt that other requests may share; 0 for none.
    n_shared_tokens : int
        Tokens of these parts.
    """

    request_id: str
    left_ms: float | None
    model: str = ""
    adapter: str = ""
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    prefix_hash: int = 0
    n_shared_tokens: int = 0


class AnswerFacts(NamedTuple):
    """What a server's headers say.

    Parameters
    ----------
    request_id : str
    not_run : bool
    load : tuple of int or None
        Running, waiting and slots.
    notice : ServerNotice
    """

    request_id: str
    not_run: bool
    load: tuple[int, int, int] | None
    notice: ServerNotice


def read_request_facts(headers: Headers, names: HeaderNames) -> RequestFacts:
    """Read a caller's headers; values that cannot be read count as absent."""
    held = dict(headers)
    model, _, adapter = _text(held, names.model).partition("/")
    tokens = _numbers(_text(held, names.tokens))
    left = _text(held, names.deadline)
    return RequestFacts(
        _text(held, names.request_id),
        float(left) if left.isascii() and left.isdigit() else None,
        model,
        adapter,
        tokens[0] if tokens else 0,
        tokens[1] if len(tokens) > 1 else 0,
        *_shared_prefix(_text(held, names.prefix)),
    )


def read_answer(
    status: int, headers: Iterable[tuple[bytes, bytes]], names: HeaderNames
) -> AnswerFacts:
    """Read a server's headers."""
    headers = list(headers)
    held = dict(headers)
    load = _numbers(_text(held, names.load))
    return AnswerFacts(
        _text(held, names.request_id),
        names.not_run in held,
        (load[0], load[1], load[2]) if len(load) == 3 else None,
        read_notice(status, headers, names.leaving),
    )


def request_headers(
    headers: Headers,
    names: HeaderNames,
    own: Sequence[tuple[bytes, bytes]],
    n_body: int,
) -> Headers:
    """Return the headers to send to a server.

    Parameters
    ----------
    headers : list of tuple of bytes
        The caller's.
    names : HeaderNames
    own : sequence of tuple of bytes
        What the entry sets; the caller's headers of these names are dropped.
    n_body : int
        Bytes of the body, which is sent with a length.
    """
    listed = _connection_names(headers)
    dropped = (_HOP_BY_HOP | names.reserved | listed | {name for name, _ in own}) | {
        b"content-length",
        names.deadline,
        names.server_id,
        names.urgency,
    }
    kept = [pair for pair in headers if pair[0] not in dropped]
    had_length = any(
        name in (b"content-length", b"transfer-encoding") for name, _ in headers
    )
    if n_body or had_length:
        kept.append((b"content-length", str(n_body).encode()))
    return [*kept, *own]


def response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return a server's headers without those of its connection."""
    pairs = list(headers)
    dropped = _HOP_BY_HOP | _connection_names(pairs)
    return [pair for pair in pairs if pair[0] not in dropped]


def _connection_names(headers: Headers) -> frozenset[bytes]:
    """Return the headers that ``Connection`` declares to be its own."""
    names = b",".join(value for name, value in headers if name == b"connection")
    if not names:
        return frozenset()
    kept = {b"close", b"host", b"content-length"}
    listed = {name.strip().lower() for name in names.split(b",")}
    return frozenset(listed - kept)


def _text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _numbers(text: str) -> list[int]:
    parts = text.split(",")
    if not all(part.strip().isdigit() for part in parts):
        return []
    return [int(part) for part in parts]


def _shared_prefix(text: str) -> tuple[int, int]:
    """Return the hash and tokens of all parts but the last, which is one's own."""
    shared = text.rpartition(",")[0]
    if not shared:
        return 0, 0
    sizes = (part.rpartition(":")[2] for part in shared.split(","))
    n_tokens = sum(int(size) for size in sizes if size.isdigit())
    return xxhash.xxh3_64_intdigest(shared.encode()), n_tokens
