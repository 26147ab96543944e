"""Reads request and answer headers, and selects the headers to forward."""

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from ...kernel.counts import parse_count
from ...listing import ServerNotice, read_notice

__all__ = [
    "AnswerFacts",
    "HeaderNames",
    "RequestFacts",
    "ServerLoad",
    "build_request_headers",
    "filter_answer_headers",
    "read_answer_facts",
    "read_answered_id",
    "read_request_facts",
    "read_resumed_event_id",
]

Headers = list[tuple[bytes, bytes]]

# Largest number of shared parts whose ids are read; prompts have a few.
MAX_SHARED_PARTS = 32
# A reported percentage: a decimal number, with or without a fraction.
_PERCENT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Headers that concern a single connection and are never forwarded.
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
        Id of one attempt of a caller; servers repeat it in their answer.
    deadline : bytes
        Milliseconds for which the sender waits for the answer.
    server_id : bytes
        Set by the entry: the server that the request is addressed to.
    not_run : bytes
        In a server's refusal: the request did not run there.
    leaving : bytes
        In any answer, with the value 1: the server is about to stop.
    rate_limit : bytes
        In any answer: the requests per second that the server takes from all hosts
        together, a decimal number.
    load : bytes
        In answers: running requests, waiting requests and slots, separated by commas;
        from some servers also the time that work takes now, in percent of the usual.
    urgency : bytes
        Set by the entry: rank of the request, 0 is served first and 9 last.
    model : bytes
        The model, and the adapter after a slash.
    tokens : bytes
        Number of prompt tokens and largest number of output tokens, separated by a
        comma.
    prefix : bytes
        Parts of the prompt in order, as ID:TOKENS separated by commas.
    caller : bytes
        Credentials of the caller, by which its requests are told from others'.
    last_event_id : bytes
        Id of the event after which a stream is resumed.
    resumes : bytes
        In a client's resume of a stream: its attempt that brought the first event.
    key : bytes
        The key of a customer, and nothing else; never forwarded to a server of a
        deployment with customers.
    customer : bytes
        Set by the entry: name of the customer that holds the key.
    reserved : frozenset of bytes
        Headers that only the entry may set; those of a caller are dropped.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    server_id: bytes = b"x-cowslip-server"
    not_run: bytes = b"x-cowslip-not-run"
    leaving: bytes = b"x-cowslip-leaving"
    rate_limit: bytes = b"x-cowslip-limit"
    load: bytes = b"x-cowslip-load"
    urgency: bytes = b"x-cowslip-urgency"
    model: bytes = b"x-cowslip-model"
    tokens: bytes = b"x-cowslip-tokens"
    prefix: bytes = b"x-cowslip-prefix"
    caller: bytes = b"authorization"
    last_event_id: bytes = b"last-event-id"
    resumes: bytes = b"x-cowslip-resumes"
    key: bytes = b"x-cowslip-key"
    customer: bytes = b"x-cowslip-customer"
    reserved: frozenset[bytes] = frozenset()


class RequestFacts(NamedTuple):
    """Values of a caller's headers.

    Parameters
    ----------
    request_id : str
    caller_timeout_ms : float or None
        How long the caller waits, counted from the arrival of its request; None if it
        did not say.
    model, adapter : str
        Empty if the request names none.
    n_prompt_tokens, n_output_tokens : int
    prefix_hash : int
        Hash of the parts of the prompt that other requests may share; 0 if none.
    n_shared_tokens : int
        Number of tokens of these parts.
    shared_parts : tuple of str
        Ids of these parts, in order, up to `MAX_SHARED_PARTS`.
    is_resume : bool
        Whether the client resumes a stream.
    resumed_id : str
        The attempt that began it; empty if that is not said, or in two ways.
    """

    request_id: str
    caller_timeout_ms: float | None
    model: str = ""
    adapter: str = ""
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    prefix_hash: int = 0
    n_shared_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    is_resume: bool = False
    resumed_id: str = ""


class ServerLoad(NamedTuple):
    """The load that a server reports with an answer.

    Parameters
    ----------
    n_running, n_waiting, n_slots : int
    slowdown_percent : float or None
        Time that work takes there now, in percent of the usual time; None if the
        server does not report it.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowdown_percent: float | None = None


class AnswerFacts(NamedTuple):
    """Values of a server's headers.

    Parameters
    ----------
    request_id : str
    not_run : bool
        Whether the server states that the request did not run there.
    load : ServerLoad or None
        None if the answer contains no load report or a malformed one.
    notice : ServerNotice
    is_load_malformed : bool
    """

    request_id: str
    not_run: bool
    load: ServerLoad | None
    notice: ServerNotice
    is_load_malformed: bool = False


def read_request_facts(headers: Headers, names: HeaderNames) -> RequestFacts:
    """Read a caller's headers; unreadable values count as absent."""
    values_by_name = dict(headers)
    model, _, adapter = _read_text(values_by_name, names.model).partition("/")
    tokens = _read_numbers(_read_text(values_by_name, names.tokens))
    timeout_ms = parse_count(_read_text(values_by_name, names.deadline))
    return RequestFacts(
        _read_text(values_by_name, names.request_id),
        None if timeout_ms is None else float(timeout_ms),
        model,
        adapter,
        tokens[0] if tokens else 0,
        tokens[1] if len(tokens) > 1 else 0,
        *_read_shared_prefix(_read_text(values_by_name, names.prefix)),
        names.last_event_id in values_by_name,
        _read_only_value(headers, names.resumes),
    )


def read_token_total(headers: Headers, names: HeaderNames) -> int | None:
    """Return the number of prompt and output tokens; None if it is not readable."""
    numbers = _read_numbers(_read_text(dict(headers), names.tokens))
    return sum(numbers) if len(numbers) == 2 else None


def read_resumed_event_id(headers: Headers, names: HeaderNames) -> bytes:
    """Return the id of the last event that a client has; empty for none."""
    wanted = names.last_event_id
    return next((value.strip() for name, value in headers if name == wanted), b"")


def read_answer_facts(
    status: int, headers: Iterable[tuple[bytes, bytes]], names: HeaderNames
) -> AnswerFacts:
    """Read a server's headers."""
    headers = list(headers)
    values_by_name = dict(headers)
    load = _read_server_load(headers, names.load)
    return AnswerFacts(
        read_answered_id(headers, names),
        names.not_run in values_by_name,
        load,
        read_notice(status, headers, names.leaving, names.rate_limit),
        load is None and names.load in values_by_name,
    )


def read_answered_id(headers: Iterable[tuple[bytes, bytes]], names: HeaderNames) -> str:
    """Return the id of the request that an answer names; empty if it names none."""
    return _read_text(dict(headers), names.request_id)


def build_request_headers(
    headers: Headers,
    names: HeaderNames,
    entry_headers: Sequence[tuple[bytes, bytes]],
    n_body_bytes: int,
) -> Headers:
    """Return the headers to send to a server.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers of the caller.
    names : HeaderNames
    entry_headers : sequence of tuple of bytes
        Headers that the entry sets; the caller's headers of these names are dropped.
    n_body_bytes : int
        Length of the body, which is sent in the content-length header.
    """
    connection_names = _read_connection_names(headers)
    dropped = (
        _HOP_BY_HOP
        | names.reserved
        | connection_names
        | {name for name, _ in entry_headers}
    ) | {
        b"content-length",
        names.deadline,
        names.server_id,
        names.urgency,
    }
    kept = [pair for pair in headers if pair[0] not in dropped]
    had_length = any(
        name in (b"content-length", b"transfer-encoding") for name, _ in headers
    )
    if n_body_bytes or had_length:
        kept.append((b"content-length", str(n_body_bytes).encode()))
    return [*kept, *entry_headers]


def filter_answer_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return a server's headers without those that concern its connection."""
    pairs = list(headers)
    dropped = _HOP_BY_HOP | _read_connection_names(pairs)
    return [pair for pair in pairs if pair[0] not in dropped]


def _read_connection_names(headers: Headers) -> frozenset[bytes]:
    """Return the header names that ``Connection`` lists and that may be dropped."""
    names = b",".join(value for name, value in headers if name == b"connection")
    if not names:
        return frozenset()
    never_dropped = {b"close", b"host", b"content-length"}
    listed = {name.strip().lower() for name in names.split(b",")}
    return frozenset(listed - never_dropped)


def _read_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _read_only_value(headers: Headers, name: bytes) -> str:
    """Return the value of a header; empty if it is absent or has several."""
    values = {value for each, value in headers if each == name}
    return values.pop().decode("latin-1").strip() if len(values) == 1 else ""


def _read_numbers(text: str) -> list[int]:
    numbers = [parse_count(part.strip()) for part in text.split(",")]
    return [] if None in numbers else numbers


def _read_server_load(headers: Headers, name: bytes) -> ServerLoad | None:
    """Return the reported load; None if it is absent, malformed or contradictory."""
    first, *rest = _read_only_value(headers, name).split(",", 3)
    numbers = _read_numbers(",".join((first, *rest[:2])))
    if len(numbers) != 3:
        return None
    if len(rest) < 3:
        return ServerLoad(*numbers)
    percent = rest[2].strip()
    if not _PERCENT.fullmatch(percent) or not float(percent):
        return None
    return ServerLoad(*numbers, float(percent))


def _read_shared_prefix(text: str) -> tuple[int, int, tuple[str, ...]]:
    """Return hash, token count and ids of the shared parts.

    These are all parts but the last, which belongs to this request alone.
    """
    shared = text.rpartition(",")[0]
    if not shared:
        return 0, 0, ()
    parts = [part.strip().partition(":") for part in shared.split(",")]
    n_tokens = sum(parse_count(size) or 0 for _, _, size in parts)
    part_ids = tuple(part_id for part_id, _, _ in parts[:MAX_SHARED_PARTS])
    return xxhash.xxh3_64_intdigest(shared.encode()), n_tokens, part_ids
