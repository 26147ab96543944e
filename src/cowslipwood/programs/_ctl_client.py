"""Sends an operator's command to the leading keeper and returns the answer."""

import math
import uuid
from typing import Any, NamedTuple

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.keeper_addresses import KeeperAddresses
from ..kernel.keeper_link import KeeperLink
from ..kernel.messages import (
    AppliedDocument,
    ApplyDocument,
    Hello,
    OperatorReply,
    OperatorRequest,
    ReadDocument,
)

__all__ = ["KeeperAccess", "OperatorCommand", "run_command"]

# Time in milliseconds to wait for the reply to one request.
REPLY_TIMEOUT_MS = 3_000
# Time in milliseconds after which a command whose requests fail is not sent again.
COMMAND_TIMEOUT_MS = 15_000
# Time in milliseconds to wait until every live process has applied an edit.
IN_FORCE_TIMEOUT_MS = 19_000
# Time in milliseconds between two requests.
POLL_INTERVAL_MS = 25
# Failures after which the same request is sent again.
_RETRIED_CODES = (
    Code.NOT_LEADER,
    Code.NO_QUORUM,
    Code.PEER_GONE,
    Code.PEER_SILENT,
    Code.SEND_TIMEOUT,
)


class KeeperAccess(NamedTuple):
    """The addresses of the keepers and the credentials for them.

    Parameters
    ----------
    keepers : str
        Comma-separated ``ip:port`` of the keepers.
    operator : str
        Name of the operator, for the edit history.
    cluster_token : str
    operator_token : str
    """

    keepers: str
    operator: str
    cluster_token: str
    operator_token: str


class OperatorCommand(NamedTuple):
    """One command of an operator.

    Parameters
    ----------
    op : str
        Name of the operation.
    name : str
        Name of the catalogue entry, server or keeper that the operation concerns.
    body : bytes
    edit_id : str
        Identifies an edit, which runs at most once; a random one when empty.
    expect_revision : int
        Revision of the catalogue entry that the edit is based on; -1 for any.
    wait : bool
        Wait until every live process has applied the edit.
    version : int
        Version of the document of routes that is applied.
    """

    op: str
    name: str = ""
    body: bytes = b""
    edit_id: str = ""
    expect_revision: int = -1
    wait: bool = False
    version: int = 0


async def run_command(
    access: KeeperAccess, command: OperatorCommand
) -> Result[Any, Failure]:
    """Return the JSON value that answers a command.

    When an answer is lost, the request is sent again with the same edit id, so that
    an edit runs at most once. With `wait`, fails with WAIT_TIMEOUT when a live process
    has not applied the edit within ``IN_FORCE_TIMEOUT_MS``.
    """
    hello = Hello("operator", access.operator, "", "", access.cluster_token)
    client = _Client(access, hello)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.link.run)
        answer = await client.execute(command)
        if command.wait and not isinstance(answer, Err):
            answer = await client.wait_until_applied(answer.unwrap()["revision"])
        tasks.cancel_scope.cancel()
    return answer


class _Client:
    """Sends commands over a connection that `link` keeps to the leading keeper."""

    def __init__(self, access: KeeperAccess, hello: Hello):
        self._operator_token = access.operator_token
        self.link = KeeperLink(
            KeeperAddresses.parse(access.keepers), hello, _ignore_message
        )

    async def execute(self, command: OperatorCommand) -> Result[Any, Failure]:
        """Send the request until there is an answer or the time has passed."""
        request = self._make_request(command)
        deadline_ms = monotonic_ms() + COMMAND_TIMEOUT_MS
        while True:
            answer = await self.link.request(request, REPLY_TIMEOUT_MS)
            if not isinstance(answer, Err):
                return Success(_decode_reply(answer.unwrap()))
            if answer.failure().code not in _RETRIED_CODES:
                return answer
            if self.link.token_refusal is not None:
                return Err(self.link.token_refusal)
            if monotonic_ms() > deadline_ms:
                return answer
            await anyio.sleep(POLL_INTERVAL_MS / 1000)

    def _make_request(self, command: OperatorCommand) -> Any:
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

    async def wait_until_applied(self, revision: int) -> Result[Any, Failure]:
        """Poll the status until every live process has applied the revision."""
        deadline_ms = monotonic_ms() + IN_FORCE_TIMEOUT_MS
        behind_ids: list[str] = []
        while monotonic_ms() < deadline_ms:
            status = await self.execute(OperatorCommand("status"))
            if isinstance(status, Err):
                return status
            behind_ids = _find_behind_ids(status.unwrap(), revision)
            if not behind_ids:
                return Success({"revision": revision, "in_force": True})
            await anyio.sleep(POLL_INTERVAL_MS / 1000)
        listed_ids = ", ".join(behind_ids[:10])
        return Err(
            failure(
                Code.WAIT_TIMEOUT,
                f"revision {revision} is accepted; behind: {listed_ids}",
            )
        )


def _decode_reply(reply: OperatorReply | AppliedDocument) -> Any:
    """Return the JSON value that a reply contains."""
    match reply:
        case AppliedDocument(version, b""):
            return {"version": version}
        case AppliedDocument(_, source):
            return orjson.loads(source)
        case OperatorReply(body, _):
            return orjson.loads(body)


def _find_behind_ids(status: dict[str, Any], revision: int) -> list[str]:
    """Return the ids of the live processes that have not applied a revision."""
    processes = [
        *((item["server_id"], item["revision"]) for item in status["servers"]),
        *((item["entry_id"], item["revision"]) for item in status["entries"]),
        *(
            (item["keeper_id"], item.get("revision", math.inf))
            for item in status.get("keepers", [])
        ),
    ]
    return [id_ for id_, applied_revision in processes if applied_revision < revision]


async def _ignore_message(value: Any) -> None:
    pass
