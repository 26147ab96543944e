"""A notification that wakes every waiting task, any number of times."""

import anyio

__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """Wakes every task that waits whenever `notify` is called."""

    def __init__(self):
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the tasks that are waiting; later ones wait for the next call."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self) -> None:
        """Wait for the next call of `notify`."""
        await self._event.wait()

    async def wait_for(self, timeout_ms: float) -> None:
        """Wait for the next call of `notify`, at most for the timeout."""
        event = self._event
        with anyio.move_on_after(timeout_ms / 1000):
            await event.wait()
