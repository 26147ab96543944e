"""Starting and stopping a program."""

import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio

from .codes import Code
from .logs import bounded_stdout, configure_logs, get_logger
from .settings import Check, exit_with, load_settings

__all__ = ["check_tokens", "run_daemon", "run_program", "set_on_signal"]


def run_program(
    name: str,
    record: type,
    checks: Mapping[str, Check],
    serve: Callable[[Any, anyio.Event], Awaitable[Any]],
) -> Any:
    """Load the settings and run a daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    name : str
        The program's name, for logs.
    record : type
        Settings ``NamedTuple``.
    checks : mapping of str to Check
    serve : callable
        Coroutine function of the settings and the event that asks it to stop;
        it drains before it returns.

    Returns
    -------
    object
        What `serve` returned.
    """
    settings = load_settings(record, checks, os.environ, sys.argv[1:])
    return run_daemon(name, settings, serve)


def run_daemon(
    name: str, settings: Any, serve: Callable[[Any, anyio.Event], Awaitable[Any]]
) -> Any:
    """Run a daemon with settings that are loaded already; see `run_program`."""
    configure_logs(name, output=bounded_stdout())

    async def run() -> Any:
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(set_on_signal, stop)
            ended = await serve(settings, stop)
            tasks.cancel_scope.cancel()
        get_logger().info("stopped")
        return ended

    try:
        return anyio.run(run)
    except BaseExceptionGroup as group:
        _exit_if_asked(group)
        raise


def _exit_if_asked(group: BaseExceptionGroup) -> None:
    """End the process as `exit_with` asked inside a task group."""
    exits = group.subgroup(SystemExit)
    while isinstance(exits, BaseExceptionGroup):
        exits = exits.exceptions[0]
    if exits is not None:
        raise exits


async def set_on_signal(stop: anyio.Event) -> None:
    """Set the event on the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            get_logger().info("stopping", signal=signal.Signals(signum).name)
            stop.set()


def check_tokens(listen: str, allow_no_token: bool, *tokens: str) -> None:
    """End the process with TOKEN_NEEDED when a token is missing.

    Tokens may be empty only on loopback and with the explicit flag.
    """
    if all(tokens):
        return
    on_loopback = listen.startswith(("127.", "[::1]"))
    if not (on_loopback and allow_no_token):
        exit_with(
            Code.TOKEN_NEEDED,
            "give the tokens, or --allow-no-token when listening on loopback",
        )
