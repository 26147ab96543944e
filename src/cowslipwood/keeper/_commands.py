"""The commands of the replicated log and their encoding."""

from typing import Any, NamedTuple

from returns.result import Result

from ..kernel.codes import Failure
from ..kernel.messages import ClaimAttempt, ClaimBegin, ClaimFinish, DesiredModel
from ..kernel.wire import (
    Envelope,
    decode_message,
    decode_record,
    encode_record,
    message,
)

__all__ = [
    "ApplyCommand",
    "AssignCommand",
    "ClaimAttemptCommand",
    "ClaimBeginCommand",
    "ClaimFinishCommand",
    "DrainCommand",
    "EditCommand",
    "VersionsCommand",
    "decode_command",
    "encode_command",
]


@message("commands")
class EditCommand(NamedTuple):
    """An operator's edit of the catalogue."""

    edit_id: str
    op: str
    name: str
    entry: bytes
    expect_revision: int
    operator: str
    wall_ms: int
    max_memory_bytes: int


@message("commands")
class AssignCommand(NamedTuple):
    """Assigns the models that one backend server is to hold."""

    server_id: str
    desired: tuple[DesiredModel, ...]


@message("commands")
class ApplyCommand(NamedTuple):
    """Applies a whole document of routes if its version is the highest so far.

    `needs_key` says whether requests need a customer's key, also where the document has
    no customers. Commands of earlier programs leave it out.
    """

    version: int
    source: bytes
    document: bytes
    needs_key: bool = False


@message("commands")
class DrainCommand(NamedTuple):
    """Drains a backend server for an operator, or ends its drain."""

    server_id: str
    drained: bool


@message("commands")
class VersionsCommand(NamedTuple):
    """Records the software versions of a service's listed servers."""

    service: str
    versions: tuple[str, ...]
    wall_ms: int


@message("commands")
class ClaimBeginCommand(NamedTuple):
    """Opens or reads a claim, by the leader's clock and limits."""

    begin: ClaimBegin
    wall_ms: int
    keep_ms: int
    max_claims: int


@message("commands")
class ClaimAttemptCommand(NamedTuple):
    """Opens the next attempt of a claim."""

    attempt: ClaimAttempt
    wall_ms: int


@message("commands")
class ClaimFinishCommand(NamedTuple):
    """Records the outcome of an attempt."""

    finish: ClaimFinish
    wall_ms: int
    max_answer_bytes: int
    max_answers_bytes: int


def encode_command(command: Any) -> bytes:
    """Return the log entry of a command."""
    kind = type(command).__name__
    return encode_record(Envelope(0, 0, kind, encode_record(command)))


def decode_command(data: bytes) -> Result[Any, Failure]:
    """Decode a log entry; fails with BAD_MESSAGE."""
    return decode_record(Envelope, data).bind(decode_message)
