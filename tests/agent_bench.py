"""Runs an agent as a separate process with a stand-in engine and a fake keeper."""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from cowslipwood.standins.engine import EngineConfig, StandinEngine

from .fake_keeper import FakeKeeper, fake_keeper
from .processes import Cluster, free_port
from .served import Client, run_http_server, wait_until

__all__ = ["TOKEN", "AgentHarness", "run_agent_harness"]

# Cluster token of the processes that `Cluster` starts.
TOKEN = "cluster-secret"


class AgentHarness:
    """One agent process, its engine and its keeper.

    Parameters
    ----------
    cluster : Cluster
        Starts and ends the agent's process.
    keeper : FakeKeeper
    engine : StandinEngine
    engine_client : Client
        Client of the engine's HTTP interface.
    flags : tuple of str
        Additional flags of the agent.
    """

    def __init__(
        self,
        cluster: Cluster,
        keeper: FakeKeeper,
        engine: StandinEngine,
        engine_client: Client,
        flags: tuple[str, ...],
    ):
        self.keeper = keeper
        self.engine = engine
        self._cluster = cluster
        self._engine_client = engine_client
        self._flags = flags
        self._port = free_port()
        self.client = Client(f"127.0.0.1:{self._port}")

    async def start(self) -> None:
        """Start the agent's process and wait for its first report.

        Reports of a process that was killed may still arrive after it, so that the
        report has to come from another incarnation than the last one.
        """
        earlier = self.keeper.report.incarnation if self.keeper.report else None
        self._cluster.start(
            "agent",
            "agent",
            "--server-id=s1",
            f"--keepers={self.keeper.addr}",
            f"--backend-url={self._engine_client.url}",
            f"--listen=127.0.0.1:{self._port}",
            "--report-ms=20",
            *self._flags,
        )
        await wait_until(
            lambda: self._has_reported_since(earlier), "the agent's first report"
        )

    def _has_reported_since(self, earlier: str | None) -> bool:
        """Return whether the newest report is from another incarnation."""
        report = self.keeper.report
        return report is not None and report.incarnation != earlier

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the agent's process."""
        self.process.send_signal(signum)

    @property
    def process(self) -> Any:
        """Process of the agent."""
        return self._cluster.processes["agent"]

    async def kill(self) -> None:
        """Kill the agent's process and wait until it has ended."""
        self.process.kill()
        self.process.wait()

    def make_headers(self, **headers: str) -> dict[str, str]:
        """Return the headers of a call from an entry."""
        return {
            "authorization": f"Bearer {TOKEN}",
            "x_cowslip_server": "s1",
            **headers,
        }

    async def send_call(self, body: Any, **headers: str) -> tuple[int, Any]:
        """Call the agent as an entry does and return the status and the body."""
        return await self.client.call(
            "POST", "/v1/completions", body, **self.make_headers(**headers)
        )

    def open_stream(self, body: Any) -> Any:
        """Return an async context manager for a call with a streamed answer."""
        return self.client.stream("/v1/completions", body, **self.make_headers())


@asynccontextmanager
async def run_agent_harness(
    config: EngineConfig, *flags: str
) -> AsyncIterator[AgentHarness]:
    """Run an agent with an engine and a keeper.

    Orders that the engine still holds back are released at the end.
    """
    engine = StandinEngine(config)
    async with fake_keeper() as keeper, run_http_server(engine) as client:
        with Cluster() as cluster:
            harness = AgentHarness(cluster, keeper, engine, client, flags)
            try:
                await harness.start()
                yield harness
            finally:
                engine.faults.set_faults({"hold_orders": 0})
