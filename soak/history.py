"""Records of what clients, servers and the injector of faults saw."""

import json
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

__all__ = ["HistoryWriter", "read_history"]


class HistoryWriter:
    """Appends records to a file, which keeps them when the process is killed.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path):
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(self, event: str, **fields: Any) -> None:
        """Append a record with the time on the steady clock, which processes share."""
        record = {"at_ms": time.monotonic() * 1000, "event": event, **fields}
        os.write(self._file, json.dumps(record).encode() + b"\n")


def read_history(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the records of all files in the order of time.

    A process that is killed may leave an incomplete last line, which is skipped.
    """
    records = []
    for path in paths:
        for line in path.read_text().splitlines():
            if line.endswith("}"):
                records.append(json.loads(line))
    return sorted(records, key=lambda record: record["at_ms"])
