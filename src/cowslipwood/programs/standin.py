"""The program ``cowslip-standin``: one stand-in for a system outside."""

from typing import Any, NamedTuple

import anyio

from ..kernel.http import HttpServer, bind_socket
from ..kernel.lifecycle import run_program
from ..kernel.logs import get_logger
from ..kernel.settings import Check, address, one_of, within
from ..standins.engine import EngineConfig, StandinEngine
from ..standins.platform import StandinPlatform
from ..standins.service import StandinService
from ..standins.store import StandinStore, StoreConfig

__all__ = ["StandinSettings", "main", "run_standin"]


class StandinSettings(NamedTuple):
    """A stand-in engine, plain service, weight store or platform list.

    Parameters
    ----------
    kind : str
        engine, service, store or platform.
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
        Milliseconds that a load takes beyond fetching the weights.
    checks_fence : bool
        Refuse orders with an old fencing number.
    max_running : int
        Requests that an engine runs at once; more wait by priority.
    prefill_ms_per_token : float
        Milliseconds to the first token for each prompt token not cached.
    prefix_cache_blocks : int
        Blocks of 16 tokens that an engine's prefix cache holds.
    kv_bytes_per_token : int
        Bytes of KV cache for each token of prompt and answer.
    adapter_low_ms : float
        Shortest time that an adapter takes below the knee, in milliseconds.
    adapter_high_ms : float
        Longest time that an adapter takes below the knee, in milliseconds.
    adapter_time : str
        What takes an adapter's time: call or attach.
    report_lag_ms : float
        Milliseconds by which reported load or the platform's list lags.
    store_url : str
        http://ip:port of the weight store that an engine loads from, or empty.
    loads_per_s : float
        Loads that a store begins per second.
    full_speed_loads : int
        Loads that a store serves at full speed at once.
    fetch_ms : float
        Milliseconds that one load from a store takes at full speed.
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
    server = HttpServer(_make_app(settings), bind_socket(settings.listen))
    get_logger().info("listening", addr=settings.listen)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await stop.wait()
        server.stop()


def main() -> None:
    """Run a stand-in until SIGTERM."""
    run_program("cowslip-standin", StandinSettings, CHECKS, run_standin)
