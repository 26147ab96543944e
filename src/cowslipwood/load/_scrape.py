"""Reads the daemons' counters before and after a run."""

import re
from collections import Counter
from collections.abc import Iterable

import httpcore

__all__ = ["Scrape", "growth", "scrape_counters"]

Scrape = dict[str, Counter[str]]

TIMEOUT_S = 2.0
_SAMPLE = re.compile(r"^(cowslip_[a-z_]+_total)(?:\{([^}]*)\})? ([0-9.e+]+)$", re.M)


async def scrape_counters(daemons: Iterable[str]) -> Scrape:
    """Return the counters of each daemon that answers.

    Keys of a daemon's counters are ``name`` or ``name{labels}`` as in the
    exposition text.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        return {daemon: await _scrape(pool, daemon) for daemon in daemons}


def growth(before: Scrape, after: Scrape) -> Counter[str]:
    """Return by how much each counter grew, summed over the daemons.

    Daemons are compared one by one: one that ended in between takes nothing
    off the others, and one that was started again counts from 0.
    """
    grown: Counter[str] = Counter()
    for daemon, counters in after.items():
        earlier = before.get(daemon, Counter())
        for name, value in counters.items():
            held = earlier[name] if earlier[name] <= value else 0.0
            grown[name] += value - held
    return +grown


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
