"""The program ``cowslip-route-entry``."""

import anyio

from ..entry.direct import DirectEntry, DirectSettings, HeaderNames, direct_checks
from ..kernel.lifecycle import run_program
from ..listing import HttpServerList

__all__ = ["main"]


async def _serve(settings: DirectSettings, stop: anyio.Event) -> None:
    entry = DirectEntry(settings, HeaderNames(), HttpServerList(settings.list_url))
    await entry.run(stop)


def main() -> None:
    """Run an entry with direct routes until SIGTERM."""
    run_program("cowslip-route-entry", DirectSettings, direct_checks, _serve)
