"""The program ``cowslip-route-entry``: runs an entry that sends requests directly."""

import anyio

from ..entry.direct import (
    DIRECT_SETTING_CHECKS,
    DirectEntry,
    DirectSettings,
    HeaderNames,
)
from ..kernel.lifecycle import run_program
from ..listing import HttpServerList

__all__ = ["main"]


async def _run_entry(settings: DirectSettings, stop: anyio.Event) -> None:
    entry = DirectEntry(settings, HeaderNames(), HttpServerList(settings.list_url))
    await entry.run(stop)


def main() -> None:
    """Run an entry that sends requests directly to servers until SIGTERM or SIGINT."""
    run_program(
        "cowslip-route-entry", DirectSettings, DIRECT_SETTING_CHECKS, _run_entry
    )
