"""The program ``cowslip-solo``: every role in one process, with stand-ins.

The roles are the same coroutines that the separate programs run; only their
addresses are chosen here. It serves trials and the demonstration.
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
from ._ctl_client import Access, Command, run_command
from ._demo import run_demo
from .standin import StandinSettings, run_standin

__all__ = ["SoloSettings", "main", "run_solo"]

N_ENGINES = 3
LOADS_PER_S = 20.0
ZONES = ("zone-1", "zone-2", "zone-3")
SERVICES = ("rosters", "deliveries")


class SoloSettings(NamedTuple):
    """Every role in one process, with stand-in backend servers, on loopback.

    Parameters
    ----------
    listen : str
        ip:port for callers.
    keeper_listen : str
        ip:port for operators; cowslipctl finds it by default.
    data : str
        Folder for the keeper's log; a temporary one when empty.
    sample : bool
        Put the sample catalogue at the start.
    demo : bool
        Send a few requests, print what comes back, and end.
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
    run: Any
    settings: Any


def _free_addresses(count: int) -> list[str]:
    """Return loopback addresses that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def _roles(settings: SoloSettings, data: str) -> list[_Role]:
    n_servers = N_ENGINES + len(SERVICES)
    http, *addresses = _free_addresses(1 + 2 * n_servers)
    backends = addresses[:n_servers]
    agents = addresses[n_servers:]
    keepers = settings.keeper_listen
    keeper = KeeperSettings(
        keeper_id="keeper-1",
        data=data,
        listen=keepers,
        http_listen=http,
        loads_per_s=LOADS_PER_S,
        max_loads_at_once=N_ENGINES,
        allow_no_token=True,
    )
    entry = EntrySettings(
        keepers=keepers, listen=settings.listen, entry_id="entry-1", allow_no_token=True
    )
    roles = [_Role(run_keeper, keeper), _Role(run_entry, entry)]
    for place in range(n_servers):
        roles += _backend(place, keepers, backends[place], agents[place])
    return roles


def _backend(place: int, keepers: str, backend: str, agent: str) -> list[_Role]:
    service = "" if place < N_ENGINES else SERVICES[place - N_ENGINES]
    standin = StandinSettings(kind="service" if service else "engine", listen=backend)
    agent_settings = AgentSettings(
        server_id=f"server-{place + 1}",
        keepers=keepers,
        backend_url=f"http://{backend}",
        listen=agent,
        zone=ZONES[place % len(ZONES)],
        dialect="service" if service else "fenced",
        service_name=service,
        allow_no_token=True,
    )
    return [_Role(run_standin, standin), _Role(run_agent, agent_settings)]


async def _put_sample(keepers: str) -> None:
    """Put the sample's entries under fixed edit ids, so that a restart adds none."""
    access = Access(keepers, "sample", "", "")
    text = (
        resources.files("cowslipwood.programs") / "sample_catalogue.json"
    ).read_text()
    for value in orjson.loads(text):
        edit_id = f"sample-{value['name']}"
        command = Command("put", "", orjson.dumps(value), edit_id)
        put = await run_command(access, command)
        if isinstance(put, Err):
            fault = put.failure()
            get_logger().error(
                "sample_refused", name=value["name"], code=fault.code.value
            )


async def run_solo(settings: SoloSettings, stop: anyio.Event) -> bool:
    """Run every role until `stop` is set or the demonstration has ended.

    Returns
    -------
    bool
        False when the demonstration got an answer that is not the expected one.
    """
    passed = True
    with tempfile.TemporaryDirectory(prefix="cowslip-solo-") as scratch:
        roles = _roles(settings, settings.data or scratch)
        async with anyio.create_task_group() as tasks:
            for role in roles:
                tasks.start_soon(role.run, role.settings, stop)
            if settings.sample:
                await _put_sample(settings.keeper_listen)
            get_logger().info("serving", addr=settings.listen)
            if settings.demo:
                passed = await run_demo(settings.listen, settings.keeper_listen)
                stop.set()
    return passed


def main() -> None:
    """Run every role until SIGTERM."""
    passed = run_program("cowslip-solo", SoloSettings, CHECKS, run_solo)
    sys.exit(0 if passed else 1)
