"""The program ``cowslipctl``: operators' edits and queries."""

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
from ._ctl_client import KeeperAccess, OperatorCommand, run_command
from ._ctl_tables import render_answer

__all__ = ["main"]

# Addresses of the keepers if neither the flag nor COWSLIP_KEEPERS is given.
DEFAULT_KEEPERS = "127.0.0.1:8100"
# Value of `expect_revision` that accepts any revision of the entry.
ANY_REVISION = -1


def put(
    file: Path,
    *,
    expect_revision: int = ANY_REVISION,
    edit_id: str = "",
    wait: bool = False,
) -> OperatorCommand:
    """Create or replace a catalogue entry.

    Parameters
    ----------
    file : Path
        JSON file with the entry; - reads standard input.
    expect_revision : int
        Revision of the entry that the edit is based on: 0 for a new entry, -1
        for any revision.
    edit_id : str
        Identifies the edit; a repeated command with the same id runs once and
        gets the same answer. A random id when empty.
    wait : bool
        Wait until every live process has applied the edit.
    """
    body = sys.stdin.buffer.read() if str(file) == "-" else _read_file(file)
    return OperatorCommand("put", "", body, edit_id, expect_revision, wait)


def delete(
    name: str,
    *,
    expect_revision: int = ANY_REVISION,
    edit_id: str = "",
    wait: bool = False,
) -> OperatorCommand:
    """Delete a catalogue entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    expect_revision : int
        Revision of the entry that the edit is based on; -1 for any revision.
    edit_id : str
        Identifies the edit; a repeated command with the same id runs once and
        gets the same answer. A random id when empty.
    wait : bool
        Wait until every live process has applied the edit.
    """
    return OperatorCommand("delete", name, b"", edit_id, expect_revision, wait)


def get(name: str) -> OperatorCommand:
    """Show one catalogue entry.

    Parameters
    ----------
    name : str
        Name of the entry.
    """
    return OperatorCommand("get", name)


def list_entries() -> OperatorCommand:
    """List the catalogue entries."""
    return OperatorCommand("list")


def history() -> OperatorCommand:
    """List the accepted edits, the most recent one last."""
    return OperatorCommand("history")


def status() -> OperatorCommand:
    """Show the keepers, entries and backend servers, and the revisions in force."""
    return OperatorCommand("status")


def members() -> OperatorCommand:
    """List the keepers."""
    return OperatorCommand("members")


def replace_member(old: str, new: str) -> OperatorCommand:
    """Replace a keeper that lost its data with a new keeper.

    Parameters
    ----------
    old : str
        Id of the keeper to remove.
    new : str
        id=ip:port of the new keeper, which must be running without data.
    """
    return OperatorCommand("replace-member", old, new.encode())


def drain(server: str, *, undo: bool = False) -> OperatorCommand:
    """Send a backend server no new work and move its models to other servers.

    Parameters
    ----------
    server : str
        Id of the backend server.
    undo : bool
        End the drain, so that the server gets work again.
    """
    return OperatorCommand("undrain" if undo else "drain", server)


def apply(file: Path, *, version: int) -> OperatorCommand:
    """Replace the whole document of routes with a newer version.

    Applying the version in force again is accepted and changes nothing.

    Parameters
    ----------
    file : Path
        JSON file with the document; - reads standard input.
    version : int
        Version of the document; it takes effect if it is higher than the version
        in force.
    """
    body = sys.stdin.buffer.read() if str(file) == "-" else _read_file(file)
    try:
        value = {**orjson.loads(body), "version": version}
    except (orjson.JSONDecodeError, TypeError) as exc:
        exit_with(Code.BAD_JSON, f"{file}: {exc}")
    return OperatorCommand("apply", body=orjson.dumps(value), version=version)


def document() -> OperatorCommand:
    """Show the document of routes in force."""
    return OperatorCommand("document")


def blocked_parts() -> OperatorCommand:
    """List the prompt parts that entries refuse because servers ended under them."""
    return OperatorCommand("blocked-parts")


def limited_servers() -> OperatorCommand:
    """List the servers that have named a limit of requests per second."""
    return OperatorCommand("limited-servers")


def customers() -> OperatorCommand:
    """List the customers with their limits and their use of all entries."""
    return OperatorCommand("customers")


def allow_part(part: str) -> OperatorCommand:
    """Let entries send prompts with a part to servers again.

    For ten minutes no end of a server is held against the part.

    Parameters
    ----------
    part : str
        Id of the part.
    """
    return OperatorCommand("allow-part", part)


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
    "blocked-parts": blocked_parts,
    "allow-part": allow_part,
    "limited-servers": limited_servers,
    "customers": customers,
}


def _read_file(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as exc:
        exit_with(Code.BAD_SETTING, f"cannot read {file}: {exc.strerror}")


def _add_common_flags(command: Callable[..., OperatorCommand]) -> Callable[..., None]:
    """Return a function that runs the command that `command` returns.

    It has the parameters of `command` and those that all commands share.
    """
    common_parameters = [
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
        _run_and_print(command(*args, **kwargs), keepers, json)

    own_parameters = inspect.signature(command).parameters.values()
    run.__signature__ = inspect.Signature([*own_parameters, *common_parameters])
    run.__annotations__ = {
        p.name: p.annotation for p in [*own_parameters, *common_parameters]
    }
    run.__doc__ = _add_common_help(inspect.getdoc(command))
    return run


def _add_common_help(docstring: str) -> str:
    heading = "" if "Parameters\n---" in docstring else "\n\nParameters\n----------"
    return (
        f"{docstring}{heading}\n"
        "keepers : str\n    ip:port of each keeper, separated by commas.\n"
        "json : bool\n    Print JSON instead of a table.\n"
    )


def _run_and_print(command: OperatorCommand, keepers: str, as_json: bool) -> None:
    check = peer_list()
    if not check.is_allowed(keepers):
        exit_with(
            Code.BAD_SETTING, f"--keepers is {keepers!r}; allowed: {check.description}"
        )
    access = KeeperAccess(
        keepers,
        os.environ.get("USER", "operator"),
        read_token(os.environ.get("COWSLIP_CLUSTER_TOKEN", "")),
        read_token(os.environ.get("COWSLIP_OPERATOR_TOKEN", "")),
    )
    answer = anyio.run(run_command, access, command)
    if isinstance(answer, Err):
        _exit_with_failure(answer.failure(), as_json)
    value = answer.unwrap()
    if as_json:
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
    else:
        print(render_answer(command.op, value))


def _exit_with_failure(fault: Failure, as_json: bool) -> None:
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


def _move_command_first(argv: Sequence[str]) -> list[str]:
    """Return the arguments with the command's name before all flags."""
    for index, argument in enumerate(argv):
        if argument in COMMANDS:
            return [argument, *argv[index + 1 :], *argv[:index]]
    return list(argv)


def _check_environment() -> None:
    for variable in os.environ:
        name = variable.removeprefix(ENV_PREFIX).lower()
        if variable.startswith(ENV_PREFIX) and name not in SHARED_SETTINGS:
            exit_with(Code.UNKNOWN_SETTING, f"{variable} is not known")


def main() -> None:
    """Run one command of an operator."""
    configure_logs("cowslipctl", logging.ERROR)
    _check_environment()
    commands = {name: _add_common_flags(command) for name, command in COMMANDS.items()}
    try:
        defopt.run(commands, argv=_move_command_first(sys.argv[1:]))
    except SystemExit as exc:
        if exc.code == 2:
            exit_with(Code.BAD_SETTING, "see the line above, or --help")
        raise
