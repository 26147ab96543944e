"""Power losses after a process was killed while it synced its files."""

import contextlib
import math
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.replication._ballot import Ballot, load_ballot, save_ballot
from cowslipwood.replication._log import DurableLog
from cowslipwood.replication._messages import LogEntry, SnapshotHeader
from cowslipwood.replication._snapshots import Snapshot

from .power_loss import KilledError, SyncedFolder

# Size above which a new segment file is started, so that there are several.
SEGMENT_BYTES = 200
# Number of syncs of the steps below, and more.
MAX_SYNCS = 60


async def _write_files(folder: Path) -> None:
    """Write a ballot and a log that is truncated, compacted and replaced."""
    log = DurableLog(folder, SEGMENT_BYTES)
    for term in (1, 2, 3):
        save_ballot(folder, Ballot("k1.a", term, f"k{term}.a"))
        log.append(
            [
                LogEntry(log.last_index + 1 + offset, term, 1, b"x" * 60)
                for offset in range(4)
            ]
        )
        await log.sync(log.last_index)
        if term == 2:
            await log.truncate_from(log.last_index - 1)
            await log.save_snapshot(Snapshot(SnapshotHeader(4, 1, ()), b"a"), 0)
    await log.install_snapshot(Snapshot(SnapshotHeader(30, 3, ()), b"b"))
    log.append([LogEntry(31, 3, 1, b"y")])
    await log.sync(31)


def _read_files(folder: Path) -> tuple[Any, ...]:
    """Return what a process that starts takes for stored."""
    ballot = load_ballot(folder, "k1", random.Random(0))
    log = DurableLog(folder, SEGMENT_BYTES)
    entries = log.entries_from(log.first_index, 1_000, 1_000_000)
    return ballot, log.snapshot, entries, log.synced_index


class PowerLossTest(unittest.TestCase):
    """What a process found at its start is still there after a power loss."""

    # Guards against a vote or an acknowledged entry that is lost with the power, since
    # a process was killed before it had synced what the next one relied on.
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(0, MAX_SYNCS), st.randoms(use_true_random=False))
    def test_killed_while_syncing(self, n_syncs: int, rng: random.Random):
        """A process is killed at any sync, the next one starts, and power is lost."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            with SyncedFolder(folder) as files:
                save_ballot(folder, Ballot("k1.a", 0, ""))
                files.kill_after(n_syncs)
                with contextlib.suppress(KilledError):
                    anyio.run(_write_files, folder)
                files.kill_after(math.inf)
                found = _read_files(folder)
                files.lose_power(rng)
                self.assertEqual(_read_files(folder), found)
