"""Servers that end under certain prompt parts or requests."""

import random
from contextlib import AsyncExitStack
from typing import Any

import anyio
import anyio.abc

from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Failure
from cowslipwood.routes import RouteKind

from .answer_builders import STREAM_HEADERS, Framing, build_events, frame_answer
from .direct_builders import (
    RecordingSink,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    read_head,
)

# Prompt part that ends servers when they begin to answer.
BAD_PART = "bad0"
# Prompt part of requests that wait at a server when it ends.
WAITING_PART = "waiting0"
# Path of the request that ends servers.
BAD_TARGET = b"/orders/bad"
HOST = "127.0.0.1"


class CrashingFleet:
    """Servers that end on `BAD_PART` and start again at once under another id.

    Parameters
    ----------
    tasks : anyio.abc.TaskGroup
        Runs the servers.
    n_servers : int
    answers_first : bool
        Whether a server sends the head of its answer before it ends.

    Attributes
    ----------
    n_ended : int
        Number of servers that have ended.
    n_bad_arrivals : int
        Number of requests with the part that reached servers.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, n_servers: int, answers_first: bool = True
    ):
        self._answers_first = answers_first
        self._tasks = tasks
        self._n_servers = n_servers
        self._n_started = 0
        self._addrs: dict[str, str] = {}
        self.states: list[DirectState] = []
        self.n_ended = 0
        self.n_bad_arrivals = 0

    async def start(self) -> None:
        """Start all servers."""
        for _ in range(self._n_servers):
            await self._start_server()

    async def _start_server(self) -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        server_id = f"s{self._n_started}"
        self._n_started += 1
        self._addrs[server_id] = f"{HOST}:{port}"
        self._tasks.start_soon(self._serve, server_id, listener)

    async def _serve(self, server_id: str, listener: anyio.abc.Listener) -> None:
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(listener)
            async with anyio.create_task_group() as connections:

                async def handle(stream: anyio.abc.SocketStream) -> None:
                    async with stream:
                        while head := await read_head(stream):
                            if await self._answer(stream, head):
                                connections.cancel_scope.cancel()

                await listener.serve(handle, connections)
        del self._addrs[server_id]
        self.n_ended += 1
        await self._start_server()
        self.publish()

    async def _answer(self, stream: anyio.abc.SocketStream, head: bytes) -> bool:
        """Answer a request; return whether the server ends."""
        if f"{WAITING_PART}:".encode() in head:
            return True
        answer_head, body = frame_answer(
            Framing.CHUNKS, build_events(1, 2), headers=STREAM_HEADERS
        )
        is_bad_request = BAD_TARGET in head.partition(b"\r\n")[0]
        if f"{BAD_PART}:".encode() not in head and not is_bad_request:
            await stream.send(answer_head + body)
            return False
        self.n_bad_arrivals += 1
        if self._answers_first:
            await stream.send(answer_head)
        await anyio.sleep(0.005)
        return True

    def publish(self) -> None:
        """Tell each entry which servers run now."""
        servers = [build_listed_server(*item) for item in self._addrs.items()]
        for state in self.states:
            state.servers.apply_list(servers, monotonic_ms())

    def add_entry(self) -> DirectState:
        """Return the state of an entry that knows the servers."""
        state = build_direct_state([])
        self.states.append(state)
        self.publish()
        return state


def build_prefix(rng: random.Random, odd_part: str) -> str:
    """Return a prompt's parts: shared ones, an odd one if it is named, and its own."""
    parts = ["f0:800", f"c{rng.randrange(4)}:400"]
    if odd_part:
        parts.insert(rng.randrange(3), f"{odd_part}:90")
    return ",".join([*parts, f"own{rng.getrandbits(40):x}:250"])


async def send_prompt(
    state: DirectState, rng: random.Random, odd_part: str = ""
) -> tuple[Failure | None, RecordingSink]:
    """Send one prompt through an entry."""
    route = build_route(kind=RouteKind.STREAMING, max_attempts=2, is_resumable=True)
    prefix = build_prefix(rng, odd_part)
    request = build_request(route, x_cowslip_prefix=prefix)
    sink = RecordingSink()
    fault = await RequestForwarder(state, request, sink, rng).run()
    return fault, sink


async def send_target(
    state: DirectState, rng: random.Random, target: bytes, route: Any = None
) -> tuple[Failure | None, RecordingSink]:
    """Send a request for a target, with sound prompt parts, through an entry."""
    route = route or build_route(kind=RouteKind.STREAMING, max_attempts=2)
    request = build_request(route, x_cowslip_prefix=build_prefix(rng, ""))
    request = request._replace(target=target)
    sink = RecordingSink()
    fault = await RequestForwarder(state, request, sink, rng).run()
    return fault, sink


def share_evidence(states: list[DirectState]) -> None:
    """Pass what each entry has seen on to all, as the leader does."""
    now_ms = monotonic_ms()
    for state in states:
        news = state.part_guard.take_news(now_ms)
        if news is not None:
            for other in states:
                other.part_guard.apply_evidence(news, now_ms)
