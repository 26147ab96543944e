"""Sends one operator command to the leading keeper."""

import math
import uuid
from typing import Any, NamedTuple

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.keeper_link import KeeperLink
from ..kernel.messages import (
    AppliedDocument,
    ApplyDocument,
    Hello,
    OperatorReply,
    OperatorRequest,
    ReadDocument,
)

__all__ = ["Access", "Command", "run_command"]

ANSWER_TIMEOUT_MS = 3_000
GIVE_UP_MS = 15_000
WAIT_LIMIT_MS = 19_000
POLL_MS = 25
_TRY_AGAIN = (
    Code.NOT_LEADER,
    Code.NO_QUORUM,
    Code.PEER_GONE,
    Code.PEER_SILENT,
    Code.SEND_TIMEOUT,
)


class Access(NamedTuple):
    """Where the keepers are and what opens them."""

    keepers: str
    operator: str
    cluster_token: str
    operator_token: str


class Command(NamedTuple):
    """One operator command.

    Parameters
    ----------
    op : str
    name : str
    body : bytes
    edit_id : str
        Made when empty.
    expect_revision : int
    wait : bool
        Wait until the edit is in force everywhere.
    version : int
        Of the document of routes that is applied.
    """

    op: str
    name: str = ""
    body: bytes = b""
    edit_id: str = ""
    expect_revision: int = -1
    wait: bool = False
    version: int = 0


async def run_command(access: Access, command: Command) -> Result[Any, Failure]:
    """Return the JSON value that answers a command.

    A lost answer is asked for again under the same edit id, which runs the
    edit at most once. With `wait`, fails with WAIT_TIMEOUT when a live process
    has not applied the edit within ``WAIT_LIMIT_MS``.
    """
    hello = Hello("operator", access.operator, "", "", access.cluster_token)
    client = _Client(access, hello)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.link.run)
        answer = await client.ask(command)
        if command.wait and not isinstance(answer, Err):
            answer = await client.wait(answer.unwrap()["revision"])
        tasks.cancel_scope.cancel()
    return answer


class _Client:
    def __init__(self, access: Access, hello: Hello):
        self._operator_token = access.operator_token
        self.link = KeeperLink(access.keepers, hello, _ignore)

    async def ask(self, command: Command) -> Result[Any, Failure]:
        """Ask until there is an answer or the time is over."""
        request = self._request(command)
        give_up_at_ms = monotonic_ms() + GIVE_UP_MS
        while True:
            answer = await self.link.request(request, ANSWER_TIMEOUT_MS)
            if not isinstance(answer, Err):
                return Success(_value(answer.unwrap()))
            if answer.failure().code not in _TRY_AGAIN:
                return answer
            if self.link.token_refusal is not None:
                return Err(self.link.token_refusal)
            if monotonic_ms() > give_up_at_ms:
                return answer
            await anyio.sleep(POLL_MS / 1000)

    def _request(self, command: Command) -> Any:
        """Return the message that carries a command."""
        match command.op:
            case "apply":
                return ApplyDocument(
                    command.version, command.body, command.body, self._operator_token
                )
            case "document":
                return ReadDocument()
            case op:
                return OperatorRequest(
                    op,
                    command.name,
                    command.body,
                    command.edit_id or uuid.uuid4().hex,
                    command.expect_revision,
                    self._operator_token,
                )

    async def wait(self, revision: int) -> Result[Any, Failure]:
        """Poll the status until every live process has the revision."""
        give_up_at_ms = monotonic_ms() + WAIT_LIMIT_MS
        behind: list[str] = []
        while monotonic_ms() < give_up_at_ms:
            asked = await self.ask(Command("status"))
            if isinstance(asked, Err):
                return asked
            behind = _behind(asked.unwrap(), revision)
            if not behind:
                return Success({"revision": revision, "in_force": True})
            await anyio.sleep(POLL_MS / 1000)
        shown = ", ".join(behind[:10])
        return Err(
            failure(
                Code.WAIT_TIMEOUT, f"revision {revision} is accepted; behind: {shown}"
            )
        )


def _value(reply: OperatorReply | AppliedDocument) -> Any:
    """Return the JSON value of an answer."""
    match reply:
        case AppliedDocument(version, b""):
            return {"version": version}
        case AppliedDocument(_, source):
            return orjson.loads(source)
        case OperatorReply(body, _):
            return orjson.loads(body)


def _behind(status: dict[str, Any], revision: int) -> list[str]:
    """Return the live processes that have not applied a revision."""
    processes = [
        *((item["server_id"], item["revision"]) for item in status["servers"]),
        *((item["entry_id"], item["revision"]) for item in status["entries"]),
        *(
            (item["keeper_id"], item.get("revision", math.inf))
            for item in status.get("keepers", [])
        ),
    ]
    return [name for name, held in processes if held < revision]


async def _ignore(value: Any) -> None:
    pass
