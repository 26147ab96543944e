"""Builders for tests of load reports and of what entries derive from them."""

from cowslipwood.entry.choosing._backend import Backend, LoadReport
from cowslipwood.listing import to_server_view

from .direct_builders import build_listed_server

N_SLOTS = 48


def build_backends(n_servers: int, now_ms: float) -> list[Backend]:
    """Return idle servers of one zone."""
    return [
        Backend(
            to_server_view(
                build_listed_server(
                    f"s{number}", f"127.0.0.1:{number + 1}", n_slots=N_SLOTS
                ),
                ("k",),
            ),
            now_ms,
        )
        for number in range(n_servers)
    ]


def build_load_report(
    n_running: int = 8, n_queued: int = 0, slowdown_percent: float | None = 100.0
) -> LoadReport:
    """Return a report of four values, or of three without a slowdown."""
    return LoadReport(
        n_running, n_queued, knee_in_flight=N_SLOTS, slowdown_percent=slowdown_percent
    )
