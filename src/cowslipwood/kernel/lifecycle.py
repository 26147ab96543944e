"""Runs a daemon: loads its settings, sets up its logs and stops it on a signal."""

import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio

from .codes import Code
from .logs import bounded_stdout, configure_logs, get_logger
from .settings import Check, exit_with, load_settings

__all__ = ["require_tokens", "run_daemon", "run_program", "set_event_on_signal"]


def run_program(
    name: str,
    settings_type: type,
    checks: Mapping[str, Check],
    serve: Callable[[Any, anyio.Event], Awaitable[Any]],
) -> Any:
    """Load the settings and run a daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    name : str
        The program's name, for the logs.
    settings_type : type
        ``NamedTuple`` class of the settings.
    checks : mapping of str to Check
        Conditions by field name.
    serve : callable
        Coroutine function that takes the settings and the event that is set when
        it is to stop; it completes open work before it returns.

    Returns
    -------
    object
        What `serve` returned.
    """
    settings = load_settings(settings_type, checks, os.environ, sys.argv[1:])
    return run_daemon(name, settings, serve)


def run_daemon(
    name: str, settings: Any, serve: Callable[[Any, anyio.Event], Awaitable[Any]]
) -> Any:
    """Run a daemon with settings that are already loaded; see `run_program`."""
    configure_logs(name, output=bounded_stdout())

    async def run() -> Any:
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(set_event_on_signal, stop)
            result = await serve(settings, stop)
            tasks.cancel_scope.cancel()
        get_logger().info("stopped")
        return result

    try:
        return anyio.run(run)
    except BaseExceptionGroup as group:
        _reraise_system_exit(group)
        raise


def _reraise_system_exit(group: BaseExceptionGroup) -> None:
    """Raise the ``SystemExit`` of `exit_with` that a task group has wrapped."""
    system_exit = group.subgroup(SystemExit)
    while isinstance(system_exit, BaseExceptionGroup):
        system_exit = system_exit.exceptions[0]
    if system_exit is not None:
        raise system_exit


async def set_event_on_signal(stop: anyio.Event) -> None:
    """Set the event on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            get_logger().info("stopping", signal=signal.Signals(signum).name)
            stop.set()


def require_tokens(listen: str, allow_no_token: bool, *tokens: str) -> None:
    """End the process with TOKEN_NEEDED when a token is missing.

    Tokens may be empty only if the process listens on loopback and the setting
    `allow_no_token` is given.
    """
    if all(tokens):
        return
    on_loopback = listen.startswith(("127.", "[::1]"))
    if not (on_loopback and allow_no_token):
        exit_with(
            Code.TOKEN_NEEDED,
            "give the tokens, or --allow-no-token when listening on loopback",
        )
