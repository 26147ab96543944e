"""The program ``cowslipctl``: operators' edits and questions."""

import inspect
import logging
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
import defopt
import orjson
from returns.result import Failure as Err

from ..kernel.codes import CODE_INFO, Code, Failure
from ..kernel.logs import configure_logs
from ..kernel.settings import ENV_PREFIX, SHARED_SETTINGS, exit_with, peer_list
from ..kernel.tokens import read_token
from ._ctl_client import Access, Command, run_command
from ._ctl_tables import render

__all__ = ["main"]

DEFAULT_KEEPERS = "127.0.0.1:8100"
ANY_REVISION = -1


def put(
    file: Path,
    *,
    expect_revision: int = ANY_REVISION,
    edit_id: str = "",
    wait: bool = False,
) -> Command:
    """Put a catalogue entry.

    Parameters
    ----------
    file : Path
        JSON file with the entry; - reads standard input.
    expect_revision : int
        Revision of the entry that the edit is based on, 0 for a new entry, -1
        for any.
    edit_id : str
        The same id again gets the same answer; made when empty.
    wait : bool
        Wait until every live process has applied the edit.
    """
    body = sys.stdin.buffer.read() if str(file) == "-" else _read(file)
    return Command("put", "", body, edit_id, expect_revision, wait)


def delete(
    name: str,
    *,
    expect_revision: int = ANY_REVISION,
    edit_id: str = "",
    wait: bool = False,
) -> Command:
    """Delete a catalogue entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    expect_revision : int
        Revision of the entry that the edit is based on; -1 for any.
    edit_id : str
        The same id again gets the same answer; made when empty.
    wait : bool
        Wait until every live process has applied the edit.
    """
    return Command("delete", name, b"", edit_id, expect_revision, wait)


def get(name: str) -> Command:
    """Show one catalogue entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    """
    return Command("get", name)


def list_entries() -> Command:
    """List the catalogue."""
    return Command("list")


def history() -> Command:
    """List the accepted edits, the newest last."""
    return Command("history")


def status() -> Command:
    """Show the keepers, entries and backend servers, and revisions in force."""
    return Command("status")


def members() -> Command:
    """List the keepers."""
    return Command("members")


def replace_member(old: str, new: str) -> Command:
    """Replace a keeper that lost its disk by a new one.

    Parameters
    ----------
    old : str
        Id of the keeper that is gone.
    new : str
        id=ip:port of the new keeper, which is running with an empty disk.
    """
    return Command("replace-member", old, new.encode())


def drain(server: str, *, undo: bool = False) -> Command:
    """Give a backend server no new work and move its models elsewhere.

    Parameters
    ----------
    server : str
        Id of the backend server.
    undo : bool
        Take the drain back.
    """
    return Command("undrain" if undo else "drain", server)


def apply(file: Path, *, version: int) -> Command:
    """Replace the whole document of routes by a newer one.

    The same version again changes nothing and is acknowledged.

    Parameters
    ----------
    file : Path
        JSON file with the document; - reads standard input.
    version : int
        Takes effect when it is higher than the one in force.
    """
    body = sys.stdin.buffer.read() if str(file) == "-" else _read(file)
    try:
        value = {**orjson.loads(body), "version": version}
    except (orjson.JSONDecodeError, TypeError) as exc:
        exit_with(Code.BAD_JSON, f"{file}: {exc}")
    return Command("apply", body=orjson.dumps(value), version=version)


def document() -> Command:
    """Show the document of routes in force."""
    return Command("document")


COMMANDS = {
    "apply": apply,
    "document": document,
    "put": put,
    "delete": delete,
    "get": get,
    "list": list_entries,
    "history": history,
    "status": status,
    "members": members,
    "replace-member": replace_member,
    "drain": drain,
}


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as exc:
        exit_with(Code.BAD_SETTING, f"cannot read {file}: {exc.strerror}")


def _with_access(command: Callable[..., Command]) -> Callable[..., None]:
    """Add the flags that every command has, and send what it returns."""
    common = [
        inspect.Parameter(
            "keepers",
            inspect.Parameter.KEYWORD_ONLY,
            annotation=str,
            default=os.environ.get("COWSLIP_KEEPERS", DEFAULT_KEEPERS),
        ),
        inspect.Parameter(
            "json", inspect.Parameter.KEYWORD_ONLY, annotation=bool, default=False
        ),
    ]

    def run(*args: Any, keepers: str, json: bool, **kwargs: Any) -> None:
        _send(command(*args, **kwargs), keepers, json)

    own = inspect.signature(command).parameters.values()
    run.__signature__ = inspect.Signature([*own, *common])
    run.__annotations__ = {p.name: p.annotation for p in [*own, *common]}
    run.__doc__ = _with_common_help(inspect.getdoc(command))
    return run


def _with_common_help(doc: str) -> str:
    heading = "" if "Parameters\n---" in doc else "\n\nParameters\n----------"
    return (
        f"{doc}{heading}\n"
        "keepers : str\n    ip:port of each keeper, with commas between.\n"
        "json : bool\n    Print JSON in place of a table.\n"
    )


def _send(command: Command, keepers: str, as_json: bool) -> None:
    check = peer_list()
    if not check.holds(keepers):
        exit_with(
            Code.BAD_SETTING, f"--keepers is {keepers!r}; allowed: {check.allowed}"
        )
    access = Access(
        keepers,
        os.environ.get("USER", "operator"),
        read_token(os.environ.get("COWSLIP_CLUSTER_TOKEN", "")),
        read_token(os.environ.get("COWSLIP_OPERATOR_TOKEN", "")),
    )
    answer = anyio.run(run_command, access, command)
    if isinstance(answer, Err):
        _fail(answer.failure(), as_json)
    value = answer.unwrap()
    if as_json:
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
    else:
        print(render(command.op, value))


def _fail(fault: Failure, as_json: bool) -> None:
    if as_json:
        value = {
            "code": fault.code.value,
            "name": fault.code.name,
            "message": fault.message,
            "outcome": fault.outcome.value,
            "retry_after_ms": fault.retry_after_ms,
        }
        print(orjson.dumps({"error": value}).decode())
    print(
        f"error {fault.code.value} {fault.code.name}: {fault.message}", file=sys.stderr
    )
    sys.exit(CODE_INFO[fault.code].exit_status)


def _command_first(argv: Sequence[str]) -> list[str]:
    """Move flags that stand before the command behind it."""
    for place, word in enumerate(argv):
        if word in COMMANDS:
            return [word, *argv[place + 1 :], *argv[:place]]
    return list(argv)


def _check_environment() -> None:
    for variable in os.environ:
        name = variable.removeprefix(ENV_PREFIX).lower()
        if variable.startswith(ENV_PREFIX) and name not in SHARED_SETTINGS:
            exit_with(Code.UNKNOWN_SETTING, f"{variable} is not known")


def main() -> None:
    """Run one operator command."""
    configure_logs("cowslipctl", logging.ERROR)
    _check_environment()
    commands = {name: _with_access(command) for name, command in COMMANDS.items()}
    try:
        defopt.run(commands, argv=_command_first(sys.argv[1:]))
    except SystemExit as exc:
        if exc.code == 2:
            exit_with(Code.BAD_SETTING, "see the line above, or --help")
        raise
