"""The program ``cowslipctl``: operators' edits and questions."""

import logging
import os
import sys
import uuid
from pathlib import Path
from typing import Any

import anyio
import defopt
import orjson
from returns.result import Failure as Err
from returns.result import Result

from ..kernel.codes import CODE_INFO, Failure
from ..kernel.keeper_link import KeeperLink
from ..kernel.logs import configure_logs
from ..kernel.messages import Hello, OperatorReply, OperatorRequest
from ..kernel.tokens import read_token

__all__ = ["main"]

REQUEST_TIMEOUT_MS = 10_000
CONNECT_WAIT_MS = 5_000
DEFAULT_KEEPERS = "127.0.0.1:8100"


async def _ignore(value: Any) -> None:
    pass


async def _ask(keepers: str, request: OperatorRequest) -> Result[Any, Failure]:
    token = read_token(os.environ.get("COWSLIP_CLUSTER_TOKEN", ""))
    hello = Hello("operator", os.environ.get("USER", "operator"), "", "", token)
    ready = anyio.Event()

    async def on_connect(channel: Any) -> None:
        ready.set()

    link = KeeperLink(keepers, hello, _ignore, on_connect)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        with anyio.move_on_after(CONNECT_WAIT_MS / 1000):
            await ready.wait()
        answer = await link.request(request, REQUEST_TIMEOUT_MS)
        tasks.cancel_scope.cancel()
    return answer


def _call(
    op: str,
    *,
    keepers: str,
    name: str = "",
    body: bytes = b"",
    edit_id: str = "",
    expect_revision: int = -1,
) -> None:
    token = read_token(os.environ.get("COWSLIP_OPERATOR_TOKEN", ""))
    request = OperatorRequest(
        op, name, body, edit_id or uuid.uuid4().hex, expect_revision, token
    )
    answer = anyio.run(_ask, keepers, request)
    if isinstance(answer, Err):
        fault = answer.failure()
        print(
            f"error {fault.code.value} {fault.code.name}: {fault.message}",
            file=sys.stderr,
        )
        sys.exit(CODE_INFO[fault.code].exit_status)
    reply: OperatorReply = answer.unwrap()
    print(orjson.dumps(orjson.loads(reply.body), option=orjson.OPT_INDENT_2).decode())


def put(
    file: Path,
    *,
    keepers: str = DEFAULT_KEEPERS,
    edit_id: str = "",
    expect_revision: int = -1,
) -> None:
    """Put a catalogue entry.

    Parameters
    ----------
    file : Path
        JSON file with the entry.
    keepers : str
        ip:port of each keeper, with commas between.
    edit_id : str
        The same id again gets the same answer.
    expect_revision : int
        Revision of the entry that the edit is based on; -1 for any.
    """
    _call(
        "put",
        keepers=keepers,
        body=file.read_bytes(),
        edit_id=edit_id,
        expect_revision=expect_revision,
    )


def status(*, keepers: str = DEFAULT_KEEPERS) -> None:
    """Show the keepers, entries and backend servers.

    Parameters
    ----------
    keepers : str
        ip:port of each keeper, with commas between.
    """
    _call("status", keepers=keepers)


def main() -> None:
    """Run one operator command."""
    configure_logs("cowslipctl", logging.ERROR)
    defopt.run([put, status])
