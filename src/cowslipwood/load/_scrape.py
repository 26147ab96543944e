"""Reads the daemons' counters before and after a run."""

import re
from collections import Counter
from collections.abc import Iterable

import httpcore

__all__ = ["CountersByDaemon", "compute_growth", "scrape_counters"]

# Counters by daemon, and within a daemon by name and labels.
CountersByDaemon = dict[str, Counter[str]]

# Time to wait for a daemon's metrics, in seconds.
TIMEOUT_S = 2.0
# A counter in the Prometheus text format: name, labels and value.
_COUNTER_LINE = re.compile(
    r"^(cowslip_[a-z_]+_total)(?:\{([^}]*)\})? ([0-9.e+]+)$", re.M
)


async def scrape_counters(daemons: Iterable[str]) -> CountersByDaemon:
    """Return the counters of each daemon; none for a daemon that does not answer.

    Keys of a daemon's counters are ``name`` or ``name{labels}``, as in the text
    that the daemon serves.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        return {daemon: await _scrape_daemon(pool, daemon) for daemon in daemons}


def compute_growth(before: CountersByDaemon, after: CountersByDaemon) -> Counter[str]:
    """Return by how much each counter grew, summed over the daemons.

    The growth is computed for each daemon on its own. A daemon that ended in between
    adds nothing and does not reduce the growth of the others. The counters of a daemon
    that was restarted began again from 0.
    """
    growth: Counter[str] = Counter()
    for daemon, counters in after.items():
        earlier = before.get(daemon, Counter())
        for name, value in counters.items():
            start_value = earlier[name] if earlier[name] <= value else 0.0
            growth[name] += value - start_value
    return +growth


async def _scrape_daemon(
    pool: httpcore.AsyncConnectionPool, daemon: str
) -> Counter[str]:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        response = await pool.request(
            "GET", f"http://{daemon}/metrics", extensions={"timeout": timeouts}
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return Counter()
    counters: Counter[str] = Counter()
    for name, labels, value in _COUNTER_LINE.findall(response.content.decode()):
        counters[f"{name}{{{labels}}}" if labels else name] += float(value)
    return counters
