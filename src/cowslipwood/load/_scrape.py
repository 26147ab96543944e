"""Reads the daemons' counters before and after a run."""

import re
from collections import Counter
from collections.abc import Iterable

import httpcore

__all__ = ["scrape_counters"]

TIMEOUT_S = 2.0
_SAMPLE = re.compile(r"^(cowslip_[a-z_]+_total)(?:\{([^}]*)\})? ([0-9.e+]+)$", re.M)


async def scrape_counters(daemons: Iterable[str]) -> Counter[str]:
    """Return the sum of each counter over the daemons that answer.

    Keys are ``name`` or ``name{labels}`` as in the exposition text.
    """
    total: Counter[str] = Counter()
    async with httpcore.AsyncConnectionPool() as pool:
        for daemon in daemons:
            total.update(await _scrape(pool, daemon))
    return total


async def _scrape(pool: httpcore.AsyncConnectionPool, daemon: str) -> Counter[str]:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        response = await pool.request(
            "GET", f"http://{daemon}/metrics", extensions={"timeout": timeouts}
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return Counter()
    counters: Counter[str] = Counter()
    for name, labels, value in _SAMPLE.findall(response.content.decode()):
        counters[f"{name}{{{labels}}}" if labels else name] += float(value)
    return counters
