"""Reads the platform's list of live and leaving hosts.

The list lags and may flap between states. A dialect fetches it, and
`ProcessDirectory` combines it with the agents' own notices and heartbeats.
"""

from collections.abc import Mapping
from typing import Protocol

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result, Success

from ..kernel.clock import monotonic_ms
from ..kernel.codes import Code, Failure, failure
from ..kernel.http_pool import ConnectionPool
from ..kernel.metrics import Metrics
from ..kernel.registry import PluginKind, lookup, register
from ._directory import ProcessDirectory

__all__ = ["HttpHosts", "PlatformDialect", "poll_platform"]

# Milliseconds between the end of one fetch of the list and the next fetch.
POLL_MS = 500
# Milliseconds after which a fetch of the list fails.
FETCH_TIMEOUT_MS = 2_000
# The states of a host that the list may hold.
HOST_STATES = ("live", "leaving")


class PlatformDialect(Protocol):
    """Fetches the platform's list."""

    async def fetch_hosts(self) -> Result[Mapping[str, str], Failure]:
        """Return ``live`` or ``leaving`` by server id.

        Fails with PEER_GONE or BAD_MESSAGE.
        """


@register(PluginKind.PLATFORM_DIALECT, "http_hosts")
class HttpHosts:
    """Reads ``GET url/hosts``: a JSON list of ``server_id`` and ``state``.

    Parameters
    ----------
    url : str
        ``http://ip:port`` of the platform.
    """

    def __init__(self, url: str):
        self._addr, _, path = url.removeprefix("http://").partition("/")
        self._target = f"/{path.rstrip('/')}/hosts" if path else "/hosts"
        self._pool = ConnectionPool()

    async def fetch_hosts(self) -> Result[Mapping[str, str], Failure]:
        """Fetch and validate the list."""
        answered = await self._pool.exchange(
            self._addr,
            "GET",
            self._target,
            [],
            b"",
            monotonic_ms(),
            FETCH_TIMEOUT_MS,
        )
        match answered:
            case Success(answer) if answer.status == 200:
                return parse_hosts(answer.body)
            case Success(answer):
                return Err(failure(Code.BAD_MESSAGE, f"got status {answer.status}"))
            case _ if answered.failure().code is Code.ANSWER_CUT:
                message = "the platform's answer is incomplete or malformed"
                return Err(failure(Code.BAD_MESSAGE, message))
        return Err(failure(Code.PEER_GONE, "the platform does not answer"))


def parse_hosts(body: bytes) -> Result[Mapping[str, str], Failure]:
    """Parse the body of the platform's answer; fails with BAD_MESSAGE."""
    try:
        listed = orjson.loads(body)
        if not isinstance(listed, list):
            raise TypeError("expected a list")
        hosts = {str(item["server_id"]): item["state"] for item in listed}
    except (orjson.JSONDecodeError, TypeError, KeyError):
        return Err(failure(Code.BAD_MESSAGE, "the list of hosts is malformed"))
    if not all(state in HOST_STATES for state in hosts.values()):
        return Err(failure(Code.BAD_MESSAGE, f"expected states {HOST_STATES}"))
    return Success(hosts)


async def poll_platform(
    dialect: str, url: str, directory: ProcessDirectory, metrics: Metrics
) -> None:
    """Poll the platform's list into the directory; return at once without a URL."""
    if not url:
        return
    platform: PlatformDialect = lookup(PluginKind.PLATFORM_DIALECT, dialect)(url)
    while True:
        listed = await platform.fetch_hosts()
        if isinstance(listed, Err):
            code = listed.failure().code
            metrics.count("platform_errors_total", reason=code.name)
        else:
            directory.record_platform_hosts(listed.unwrap(), monotonic_ms())
        await anyio.sleep(POLL_MS / 1000)
