"""The program ``cowslip-standin``: one stand-in for a system outside."""

from typing import NamedTuple

import anyio

from ..kernel.http import HttpServer, bind_socket
from ..kernel.lifecycle import run_program
from ..kernel.logs import get_logger
from ..kernel.settings import address, one_of, within
from ..standins.engine import EngineConfig, StandinEngine
from ..standins.service import StandinService

__all__ = ["StandinSettings", "main", "run_standin"]


class StandinSettings(NamedTuple):
    """A stand-in engine or plain service, for tests and trials.

    Parameters
    ----------
    kind : str
        engine or service.
    listen : str
        ip:port.
    capacity_bytes : int
        Accelerator memory of an engine, in bytes.
    knee_in_flight : int
        Requests served at full speed at once.
    first_token_ms : float
        Milliseconds to the first token, or to a service's answer.
    between_tokens_ms : float
        Milliseconds between tokens.
    load_ms : float
        Milliseconds that a load takes.
    checks_fence : bool
        Refuse orders with an old fencing number.
    """

    kind: str
    listen: str = "127.0.0.1:8300"
    capacity_bytes: int = 16_000_000_000
    knee_in_flight: int = 16
    first_token_ms: float = 5.0
    between_tokens_ms: float = 1.0
    load_ms: float = 50.0
    checks_fence: bool = True


CHECKS = {
    "kind": one_of("engine", "service"),
    "listen": address(),
    "capacity_bytes": within(0, 2**50),
    "knee_in_flight": within(1, 100_000),
}


async def run_standin(settings: StandinSettings, stop: anyio.Event) -> None:
    """Run a stand-in until `stop` is set."""
    if settings.kind == "engine":
        app = StandinEngine(EngineConfig(*settings[2:]))
    else:
        app = StandinService(settings.first_token_ms)
    server = HttpServer(app, bind_socket(settings.listen))
    get_logger().info("listening", addr=settings.listen)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await stop.wait()
        server.stop()


def main() -> None:
    """Run a stand-in until SIGTERM."""
    run_program("cowslip-standin", StandinSettings, CHECKS, run_standin)
