"""A folder whose files lose what was not synced, for tests of durable files."""

import math
import os
import random
import stat
from pathlib import Path
from typing import Any
from unittest import mock

__all__ = ["KilledError", "SyncedFolder"]


class KilledError(Exception):
    """The process is killed in the middle of a sync."""


class SyncedFolder:
    """Records what is synced in a folder; a context manager that replaces the syncs.

    Parameters
    ----------
    folder : Path
        An empty folder.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._n_syncs_left = math.inf
        self._synced_inodes: dict[str, int] = {}
        self._synced_contents: dict[int, bytes] = {}
        # Open descriptors keep the inodes of removed files from being used again.
        self._descriptors: list[int] = []

    def __enter__(self) -> "SyncedFolder":
        """Replace the system's calls."""
        self._patches = [
            mock.patch(f"os.{name}", self._sync) for name in ("fsync", "fdatasync")
        ]
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Restore the system's calls."""
        for patch in self._patches:
            patch.stop()
        for descriptor in self._descriptors:
            os.close(descriptor)

    def kill_after(self, n_syncs: float) -> None:
        """Let the sync after so many raise `KilledError` instead."""
        self._n_syncs_left = n_syncs

    def lose_power(self, rng: random.Random) -> None:
        """Lose some of what was not synced: names, contents, and ends of contents."""
        current = {
            path.name: (path.stat().st_ino, path.read_bytes())
            for path in self._folder.iterdir()
        }
        for path in self._folder.iterdir():
            path.unlink()
        for name in sorted({*current, *self._synced_inodes}):
            inode, content = current.get(name, (None, b""))
            synced_inode = self._synced_inodes.get(name)
            if inode != synced_inode and rng.random() < 0.5:
                inode = synced_inode
            if inode is not None:
                contents = [content] if current.get(name, (None,))[0] == inode else []
                kept = self._choose_content(inode, contents, rng)
                (self._folder / name).write_bytes(kept)

    def _choose_content(
        self, inode: int, contents: list[bytes], rng: random.Random
    ) -> bytes:
        synced = self._synced_contents.get(inode, b"")
        content = rng.choice([synced, *contents])
        if content.startswith(synced):
            return content[: rng.randint(len(synced), len(content))]
        return content

    def _sync(self, descriptor: int) -> None:
        if self._n_syncs_left <= 0:
            raise KilledError
        self._n_syncs_left -= 1
        status: Any = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            self._synced_inodes = {
                path.name: path.stat().st_ino for path in self._folder.iterdir()
            }
            return
        self._descriptors.append(os.dup(descriptor))
        path = Path(f"/proc/self/fd/{descriptor}")
        self._synced_contents[status.st_ino] = path.read_bytes()
