"""Counts the streams of a simulated day by time window and by cause of lost value.

Reads the output of a simulation that printed all logs: each line has a time in seconds,
a process and ``key=value`` pairs. Each stream counts once, under one cause, in the
window of the first log line of an entry about it.

Run: ``python -m benchmarks.day_causes PLAY.txt [--window SECONDS]``
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from tabulate import tabulate

__all__ = ["StreamRecord", "find_cause", "find_recovery_s", "read_streams"]

# Length of a window in seconds.
WINDOW_S = 4.0
# Least share of the streams of a window that are in time once the system has recovered.
RECOVERED_SHARE = 0.9
IN_TIME = "in time"
_LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (.*event=\w+.*)$")
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_REFUSALS = {
    "1202": "refused: no holder in time",
    "1203": "refused: queue at every engine",
    "1201": "refused: entry stops",
    "1301": "failed: outcome unknown",
    "1302": "failed: answer cut",
    "1304": "failed: engine silent",
}


class StreamRecord(NamedTuple):
    """What the logs show of one stream.

    Parameters
    ----------
    at_s : float
        Time of the first log line of an entry about the stream.
    key : str
        The service, model and adapter that the request asks for.
    n_sent : int
        Number of times that the request was sent to a server.
    asked_holder : bool
        Whether the entry asked the leader for a server that holds the model.
    ending : str
        ``answered``, ``refused``, ``left``, or empty if no end was logged.
    code : str
        Result code of a refusal.
    first_ms, sent_ms, pause_ms, target_ms, pause_target_ms : float
        For an answered stream, in this order: time from the arrival to the first event;
        time from the arrival to the last sending; longest pause between events; target
        for the first event; target for the pauses. A target of 0 means none.
    """

    at_s: float
    key: str = ""
    n_sent: int = 0
    asked_holder: bool = False
    ending: str = ""
    code: str = ""
    first_ms: float = 0.0
    sent_ms: float = 0.0
    pause_ms: float = 0.0
    target_ms: float = 0.0
    pause_target_ms: float = 0.0


def read_streams(lines: Iterable[str]) -> list[StreamRecord]:
    """Return the streams that the log lines mention."""
    records: dict[str, StreamRecord] = {}
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        pairs = {name: value.strip('"') for name, value in _PAIR.findall(match[3])}
        request = pairs.get("request")
        if request:
            record = records.get(request, StreamRecord(float(match[1])))
            records[request] = _update_record(record, pairs)
    return [stream for stream in records.values() if "|" in stream.key]


def _update_record(record: StreamRecord, pairs: dict[str, str]) -> StreamRecord:
    record = record._replace(key=pairs.get("key", record.key))
    match pairs["event"]:
        case "request_sent":
            return record._replace(n_sent=record.n_sent + 1)
        case "holder_found" | "holder_not_found":
            return record._replace(asked_holder=True)
        case "request_answered":
            names = ("first_ms", "sent_ms", "pause_ms", "target_ms", "pause_target_ms")
            times = {name: float(pairs.get(name, 0.0)) for name in names}
            return record._replace(ending="answered", **times)
        case "request_refused":
            return record._replace(ending="refused", code=pairs["code"])
        case "caller_left":
            return record._replace(ending="left")
    return record


def find_cause(stream: StreamRecord) -> str:
    """Return the cause by which a stream lost value, or that it was in time."""
    match stream.ending:
        case "refused":
            return _REFUSALS.get(stream.code, f"refused: {stream.code}")
        case "left" if stream.n_sent:
            return "left: at an engine"
        case "left":
            return "left: before an engine"
        case "":
            return "no end: entry killed"
    if stream.first_ms <= stream.target_ms or not stream.target_ms:
        late_pause = 0 < stream.pause_target_ms < stream.pause_ms
        return "late: pause" if late_pause else IN_TIME
    if stream.n_sent > 1:
        return "late: sent again"
    if stream.sent_ms > stream.target_ms / 2:
        return "late: holder" if stream.asked_holder else "late: before sending"
    return "late: first event"


def find_recovery_s(
    streams: Iterable[StreamRecord], after_s: float, window_s: float = WINDOW_S
) -> float | None:
    """Return the time from `after_s` to the first window that has recovered.

    None if no later window of the day has.
    """
    windows: dict[int, list[bool]] = defaultdict(list)
    for stream in streams:
        if stream.at_s >= after_s:
            window_number = int((stream.at_s - after_s) // window_s)
            windows[window_number].append(find_cause(stream) == IN_TIME)
    for window_number, in_time in sorted(windows.items()):
        if sum(in_time) >= RECOVERED_SHARE * len(in_time):
            return window_number * window_s
    return None


def _format_table(streams: list[StreamRecord], window_s: float) -> str:
    windows: dict[int, Counter[str]] = defaultdict(Counter)
    for stream in streams:
        windows[int(stream.at_s // window_s)][find_cause(stream)] += 1
    total_counts: Counter[str] = Counter()
    for window_counts in windows.values():
        total_counts += window_counts
    causes = [name for name, _ in total_counts.most_common()]
    rows = [
        [
            cause,
            *(windows[window_number][cause] for window_number in sorted(windows)),
            total_counts[cause],
        ]
        for cause in causes
    ]
    headers = [
        "cause",
        *(f"{window_number * window_s:.0f} s" for window_number in sorted(windows)),
        "all",
    ]
    return tabulate(rows, headers)


def main() -> None:
    """Print the table of a simulated day."""
    arguments = sys.argv[1:]
    window_s = WINDOW_S
    if "--window" in arguments:
        option_index = arguments.index("--window")
        window_s = float(arguments[option_index + 1])
        del arguments[option_index : option_index + 2]
    with open(arguments[0]) as log_file:
        print(_format_table(read_streams(log_file), window_s))


if __name__ == "__main__":
    main()
