"""The program ``cowslip-standin``: one stand-in for an external system.

Tests, trials and benchmarks use it in place of an engine, a service, a weight store or
a platform.
"""

from typing import Any, NamedTuple

import anyio

from ..kernel.byte_budget import ByteBudget
from ..kernel.http import HttpServer, bind_socket
from ..kernel.lifecycle import run_program
from ..kernel.logs import get_logger
from ..kernel.settings import Check, address, one_of, within
from ..standins.engine import EngineConfig, StandinEngine
from ..standins.platform import StandinPlatform
from ..standins.service import StandinService
from ..standins.store import StandinStore, StoreConfig

__all__ = ["StandinSettings", "main", "run_standin"]


# Bytes that a stand-in holds for its clients, and its part of the descriptors for
# their connections.
MAX_HELD_BYTES = 200_000_000
CONNECTIONS_SHARE = 0.8


class StandinSettings(NamedTuple):
    """Run a stand-in engine, plain service, weight store or platform list.

    Parameters
    ----------
    kind : str
        What is simulated: engine, service, store or platform.
    listen : str
        ip:port at which it listens.
    capacity_bytes : int
        Accelerator memory of an engine, in bytes.
    knee_in_flight : int
        Number of concurrent requests up to which each is served at full speed.
    first_token_ms : float
        Time to the first token, or to a service's answer, in milliseconds.
    between_tokens_ms : float
        Time between two tokens, in milliseconds.
    load_ms : float
        Time that a load takes in addition to fetching the weights, in milliseconds.
    checks_fence : bool
        Refuse orders with an outdated fencing number.
    max_running : int
        Number of requests that an engine runs at once; further requests wait, in
        the order of their priority.
    prefill_ms_per_token : float
        Time to the first token for each prompt token that is not cached, in
        milliseconds.
    prefix_cache_blocks : int
        Size of an engine's prefix cache in blocks of 16 tokens.
    kv_bytes_per_token : int
        Bytes of KV cache for each token of the prompt and the answer.
    adapter_low_ms : float
        Shortest time that an adapter takes while no more than `knee_in_flight`
        requests run, in milliseconds.
    adapter_high_ms : float
        Longest time that an adapter takes while no more than `knee_in_flight`
        requests run, in milliseconds.
    adapter_time : str
        When an adapter takes its time: call, at the first token of each call, or
        attach, only at a call whose adapter is not among those used last.
    report_lag_ms : float
        Time by which reported load, or the platform's list, is outdated, in
        milliseconds.
    store_url : str
        http://ip:port of the weight store from which an engine loads; empty for none.
    loads_per_s : float
        Number of loads that a store begins per second.
    full_speed_loads : int
        Number of concurrent loads up to which a store serves each at full speed.
    fetch_ms : float
        Time that one load from a store takes at full speed, in milliseconds.
    """

    kind: str
    listen: str = "127.0.0.1:8300"
    capacity_bytes: int = 16_000_000_000
    knee_in_flight: int = 16
    first_token_ms: float = 5.0
    between_tokens_ms: float = 1.0
    load_ms: float = 50.0
    checks_fence: bool = True
    max_running: int = 256
    prefill_ms_per_token: float = 0.01
    prefix_cache_blocks: int = 4_096
    kv_bytes_per_token: int = 1_000
    adapter_low_ms: float = 5.0
    adapter_high_ms: float = 7.0
    adapter_time: str = "call"
    report_lag_ms: float = 0.0
    store_url: str = ""
    loads_per_s: float = 1.0
    full_speed_loads: int = 2
    fetch_ms: float = 200.0


CHECKS = {
    "kind": one_of("engine", "service", "store", "platform"),
    "listen": address(),
    "capacity_bytes": within(0, 2**50),
    "knee_in_flight": within(1, 100_000),
    "max_running": within(1, 100_000),
    "adapter_time": one_of("call", "attach"),
    "store_url": Check("http://ip:port, or empty", lambda s: s[:7] in ("", "http://")),
    "loads_per_s": within(0.001, 100_000),
    "full_speed_loads": within(1, 100_000),
}


def _make_app(settings: StandinSettings) -> Any:
    values = settings._asdict()
    match settings.kind:
        case "engine":
            fields = {name: values[name] for name in EngineConfig._fields}
            return StandinEngine(EngineConfig(**fields))
        case "store":
            fields = {name: values[name] for name in StoreConfig._fields}
            return StandinStore(StoreConfig(**fields))
        case "platform":
            return StandinPlatform(settings.report_lag_ms)
        case _:
            return StandinService(settings.first_token_ms, settings.knee_in_flight)


async def run_standin(settings: StandinSettings, stop: anyio.Event) -> None:
    """Run a stand-in until `stop` is set."""
    server = HttpServer(
        _make_app(settings),
        bind_socket(settings.listen),
        budget=ByteBudget(MAX_HELD_BYTES),
        connections_share=CONNECTIONS_SHARE,
    )
    get_logger().info("listening", addr=settings.listen)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await stop.wait()
        server.stop()


def main() -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    run_program("cowslip-standin", StandinSettings, CHECKS, run_standin)
