"""An agent as a real process between a stand-in engine and a fake keeper."""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from cowslipwood.standins.engine import EngineConfig, StandinEngine

from .fake_keeper import FakeKeeper, fake_keeper
from .processes import Cluster, free_port
from .served import Client, serving, until

__all__ = ["AgentBench", "agent_bench"]

TOKEN = "cluster-secret"


class AgentBench:
    """One agent, its engine and its keeper."""

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

        Reports of a process that was killed may still be on their way.
        """
        before = self.keeper.report.incarnation if self.keeper.report else None
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
        await until(lambda: self._has_reported(before), "the agent's report")

    def _has_reported(self, before: str | None) -> bool:
        """Return whether a report came from another incarnation than before."""
        report = self.keeper.report
        return report is not None and report.incarnation != before

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the agent."""
        self.process.send_signal(signum)

    @property
    def process(self) -> Any:
        """The agent's process."""
        return self._cluster.processes["agent"]

    async def kill(self) -> None:
        """Kill the agent and wait for its end."""
        self.process.kill()
        self.process.wait()

    def headers(self, **headers: str) -> dict[str, str]:
        """Return the headers of an entry's call."""
        return {
            "authorization": f"Bearer {TOKEN}",
            "x_cowslip_server": "s1",
            **headers,
        }

    async def ask(self, body: Any, **headers: str) -> tuple[int, Any]:
        """Call the agent as an entry does."""
        return await self.client.call(
            "POST", "/v1/completions", body, **self.headers(**headers)
        )

    def stream(self, body: Any) -> Any:
        """Return an async context manager of a streamed call."""
        return self.client.stream("/v1/completions", body, **self.headers())


@asynccontextmanager
async def agent_bench(config: EngineConfig, *flags: str) -> AsyncIterator[AgentBench]:
    """Run an agent with flags beside an engine."""
    engine = StandinEngine(config)
    async with fake_keeper() as keeper, serving(engine) as client:
        with Cluster() as cluster:
            bench = AgentBench(cluster, keeper, engine, client, flags)
            try:
                await bench.start()
                yield bench
            finally:
                engine.faults.set({"hold_orders": 0})
