"""The program ``cowslip-solo``: all programs in one process, with stand-in servers.

The roles are the same coroutines that the separate programs run; this module only
chooses their addresses. It is for trials and for the demonstration.
"""

import socket
import sys
import tempfile
from importlib import resources
from typing import Any, NamedTuple

import anyio
import orjson
from returns.result import Failure as Err

from ..agent import AgentSettings, run_agent
from ..entry.through_agents import EntrySettings, run_entry
from ..keeper import KeeperSettings, run_keeper
from ..kernel.lifecycle import run_program
from ..kernel.logs import get_logger
from ..kernel.settings import Check, address
from ._ctl_client import KeeperAccess, OperatorCommand, run_command
from ._demo import run_demo
from .standin import StandinSettings, run_standin

__all__ = ["SoloSettings", "main", "run_solo"]

N_ENGINES = 3
# Loads of models that the keeper permits per second.
LOADS_PER_S = 20.0
ZONES = ("zone-1", "zone-2", "zone-3")
SERVICES = ("rosters", "deliveries")


class SoloSettings(NamedTuple):
    """Run a keeper, an entry, agents and stand-in backend servers in one process.

    Parameters
    ----------
    listen : str
        ip:port at which the entry accepts callers' requests.
    keeper_listen : str
        ip:port on loopback at which the keeper accepts operators' commands;
        cowslipctl uses the default.
    data : str
        Folder for the keeper's log; a temporary folder when empty.
    sample : bool
        Put the sample catalogue at the start.
    demo : bool
        Send a few requests, print the answers, and exit.
    """

    listen: str = "127.0.0.1:8080"
    keeper_listen: str = "127.0.0.1:8100"
    data: str = ""
    sample: bool = True
    demo: bool = False


CHECKS = {
    "listen": address(),
    "keeper_listen": Check(
        "ip:port on loopback", lambda text: text.startswith(("127.", "[::1]"))
    ),
}


class _Role(NamedTuple):
    """A coroutine function and the settings with which it is run."""

    run: Any
    settings: Any


def _free_addresses(count: int) -> list[str]:
    """Return loopback addresses on which nothing listened a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def _make_roles(settings: SoloSettings, data: str) -> list[_Role]:
    n_servers = N_ENGINES + len(SERVICES)
    keeper_http, *addresses = _free_addresses(1 + 2 * n_servers)
    backends = addresses[:n_servers]
    agents = addresses[n_servers:]
    keepers = settings.keeper_listen
    keeper = KeeperSettings(
        keeper_id="keeper-1",
        data=data,
        listen=keepers,
        http_listen=keeper_http,
        loads_per_s=LOADS_PER_S,
        max_loads_at_once=N_ENGINES,
        allow_no_token=True,
    )
    entry = EntrySettings(
        keepers=keepers, listen=settings.listen, entry_id="entry-1", allow_no_token=True
    )
    roles = [_Role(run_keeper, keeper), _Role(run_entry, entry)]
    for index in range(n_servers):
        roles += _make_backend_roles(index, keepers, backends[index], agents[index])
    return roles


def _make_backend_roles(
    index: int, keepers: str, backend: str, agent: str
) -> list[_Role]:
    service = "" if index < N_ENGINES else SERVICES[index - N_ENGINES]
    standin = StandinSettings(kind="service" if service else "engine", listen=backend)
    agent_settings = AgentSettings(
        server_id=f"server-{index + 1}",
        keepers=keepers,
        backend_url=f"http://{backend}",
        listen=agent,
        zone=ZONES[index % len(ZONES)],
        dialect="service" if service else "fenced",
        service_name=service,
        allow_no_token=True,
    )
    return [_Role(run_standin, standin), _Role(run_agent, agent_settings)]


async def _put_sample_catalogue(keepers: str) -> None:
    """Put the sample's entries, with fixed edit ids so that a restart adds none."""
    access = KeeperAccess(keepers, "sample", "", "")
    text = (
        resources.files("cowslipwood.programs") / "sample_catalogue.json"
    ).read_text()
    for value in orjson.loads(text):
        edit_id = f"sample-{value['name']}"
        command = OperatorCommand("put", "", orjson.dumps(value), edit_id)
        result = await run_command(access, command)
        if isinstance(result, Err):
            fault = result.failure()
            get_logger().error(
                "sample_refused", name=value["name"], code=fault.code.value
            )


async def run_solo(settings: SoloSettings, stop: anyio.Event) -> bool:
    """Run every role until `stop` is set or the demonstration has ended.

    Returns
    -------
    bool
        False when the demonstration got an answer that differs from the expected one.
    """
    is_as_expected = True
    with tempfile.TemporaryDirectory(prefix="cowslip-solo-") as temporary_folder:
        roles = _make_roles(settings, settings.data or temporary_folder)
        async with anyio.create_task_group() as tasks:
            for role in roles:
                tasks.start_soon(role.run, role.settings, stop)
            if settings.sample:
                await _put_sample_catalogue(settings.keeper_listen)
            get_logger().info("serving", addr=settings.listen)
            if settings.demo:
                is_as_expected = await run_demo(settings.listen, settings.keeper_listen)
                stop.set()
    return is_as_expected


def main() -> None:
    """Run every role until SIGTERM or SIGINT."""
    is_as_expected = run_program("cowslip-solo", SoloSettings, CHECKS, run_solo)
    sys.exit(0 if is_as_expected else 1)
