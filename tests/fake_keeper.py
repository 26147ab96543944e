"""A fake keeper that sends an agent the assignments that a test chooses."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio

from cowslipwood.kernel.channel import Channel
from cowslipwood.kernel.codes import Code, failure
from cowslipwood.kernel.messages import (
    Ack,
    AgentReport,
    Assignment,
    DesiredModel,
    PermitGrant,
    PermitRelease,
    PermitRequest,
    Welcome,
)

__all__ = ["FakeKeeper", "fake_keeper"]

IDLE_TIMEOUT_MS = 60_000
# Seconds between two heartbeats, as a leading keeper sends them. An agent considers a
# keeper that sends none lost.
HEARTBEAT_INTERVAL_S = 0.3


class FakeKeeper:
    """Keeps the newest report of one agent, sends assignments and grants permits."""

    def __init__(self, addr: str):
        self.addr = addr
        self.report: AgentReport | None = None
        self.permitted_models: list[str] = []
        self.n_released_permits = 0
        self._channel: Channel | None = None

    async def serve(self, stream: Any) -> None:
        """Serve one connection of the agent."""
        channel = Channel(stream, IDLE_TIMEOUT_MS)
        await channel.receive()
        await channel.send(Welcome("k1", 1, self.addr))
        self._channel = channel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_heartbeats, channel)
            await channel.run(self._handle)
            tasks.cancel_scope.cancel()

    async def _send_heartbeats(self, channel: Channel) -> None:
        """Send heartbeats on a connection, as a real leader does."""
        while True:
            await channel.send(Ack(0))
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def assign(
        self, term: int, revision: int, *models: DesiredModel, drained: bool = False
    ) -> None:
        """Send an assignment to the agent."""
        assignment = Assignment("s1", term, revision, models, drained)
        await self._channel.send(assignment)

    def get_model_states(self) -> dict[tuple[str, str], str]:
        """Return the reported state of each model, by name and version."""
        residents = self.report.residents if self.report else ()
        return {
            (resident.model, resident.version): resident.state for resident in residents
        }

    def is_ready(self, model: str, version: str = "1") -> bool:
        """Return whether a model is reported ready."""
        return self.get_model_states().get((model, version)) == "ready"

    async def _handle(self, value: Any) -> Any:
        match value:
            case AgentReport():
                self.report = value
                return None
            case PermitRequest():
                self.permitted_models.append(value.model)
                return PermitGrant(len(self.permitted_models), 10_000)
            case PermitRelease():
                self.n_released_permits += 1
                return None
        return failure(Code.BAD_MESSAGE)


@asynccontextmanager
async def fake_keeper() -> AsyncIterator[FakeKeeper]:
    """Run a fake keeper on a free port while the context lasts."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)[:2]
    keeper = FakeKeeper(f"{host}:{port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, keeper.serve)
        try:
            yield keeper
        finally:
            tasks.cancel_scope.cancel()
