"""Servers that name a limit of requests per second, and requests to them over time."""

import bisect
import random
from collections.abc import Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from cowslipwood.entry.direct._exchange import RequestForwarder
from cowslipwood.entry.direct._state import DirectState
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.listing import ListedServer

from .direct_builders import (
    RecordingSink,
    build_answer,
    build_direct_state,
    build_listed_server,
    build_request,
    build_route,
    run_scripted_server,
)

# Span in which the requests that reach a server are counted.
WINDOW_MS = 4_000.0
# Time after a server first names a limit from which the limit binds.
CONTACT_MS = 3_000.0


def count_allowed(limit_per_s: float) -> float:
    """Return the requests that may reach a server in `WINDOW_MS`."""
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5


def count_most(arrivals_ms: list[float]) -> int:
    """Return the largest number of arrivals within `WINDOW_MS`; they are sorted."""
    return max(
        (
            i + 1 - bisect.bisect_left(arrivals_ms, at_ms - WINDOW_MS)
            for i, at_ms in enumerate(arrivals_ms)
        ),
        default=0,
    )


class LimitingServer:
    """A server that names a limit in its answers.

    Parameters
    ----------
    limit_per_s : float or None
        The limit that it names; None for none. May be changed.

    Attributes
    ----------
    arrivals_ms : list of float
        When each request arrived.
    """

    def __init__(self, limit_per_s: float | None = None):
        self.limit_per_s = limit_per_s
        self.arrivals_ms: list[float] = []

    async def answer(self, stream: anyio.abc.SocketStream, head: bytes) -> None:
        """Answer one request."""
        self.arrivals_ms.append(monotonic_ms())
        named = (
            ""
            if self.limit_per_s is None
            else f"x-cowslip-limit: {self.limit_per_s}\r\n"
        )
        await stream.send(build_answer(extra_headers=named))


@asynccontextmanager
async def run_servers(servers: list[LimitingServer]):
    """Run servers; yield them as the server list describes them."""
    async with anyio.create_task_group() as tasks:
        addrs: list[str] = []

        async def run(server: LimitingServer) -> None:
            async with run_scripted_server(server.answer) as (addr, _):
                addrs.append(addr)
                await anyio.sleep_forever()

        for i, server in enumerate(servers):
            tasks.start_soon(run, server)
            while len(addrs) <= i:
                await anyio.sleep(0.002)
        yield [build_listed_server(f"s{i}", addr) for i, addr in enumerate(addrs)]
        tasks.cancel_scope.cancel()


def build_entries(n_entries: int, listed: list[ListedServer]) -> list[DirectState]:
    """Return the states of entries that know these servers and no leader."""
    return [build_direct_state(listed) for _ in range(n_entries)]


async def send_requests(
    states: list[DirectState],
    per_s: float,
    duration_s: float,
    rng: random.Random,
    choose_state: Callable[[], DirectState] | None = None,
) -> list:
    """Send requests through random entries; return their failures, None for none."""
    results: list = []

    async def send(state: DirectState) -> None:
        request = build_request(build_route())
        results.append(
            await RequestForwarder(state, request, RecordingSink(), rng).run()
        )

    until_ms = monotonic_ms() + 1000 * duration_s
    async with anyio.create_task_group() as tasks:
        while monotonic_ms() < until_ms:
            state = choose_state() if choose_state else rng.choice(states)
            tasks.start_soon(send, state)
            await anyio.sleep(rng.expovariate(per_s))
    return results
