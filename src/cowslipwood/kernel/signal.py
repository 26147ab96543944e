"""Wakes tasks that wait for a change."""

import anyio

__all__ = ["Signal"]


class Signal:
    """Wakes every waiting task at each `notify`."""

    def __init__(self):
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the tasks that wait now."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        await self._event.wait()

    async def wait_for(self, timeout_ms: float) -> None:
        """Wait for the next `notify`, or for the timeout."""
        event = self._event
        with anyio.move_on_after(timeout_ms / 1000):
            await event.wait()
