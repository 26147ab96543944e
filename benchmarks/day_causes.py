"""Sorts the streams of a played day by what became of them, window by window.

Reads what a play with all logs printed: lines of a time in seconds, a process and
``key=value`` pairs. Each stream counts in the window in which an entry first wrote
of it, under one cause.

Run: ``python -m benchmarks.day_causes PLAY.txt [--window SECONDS]``
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from tabulate import tabulate

__all__ = ["StreamRecord", "cause_of", "read_streams", "recovered_s"]

WINDOW_S = 4.0
# A window is recovered when this share of its streams is in time.
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
    """What the logs say of one stream.

    Parameters
    ----------
    at_s : float
        When an entry first wrote of it.
    key : str
        What it asks for.
    n_sent : int
    has_asked : bool
        Whether a holder was looked for.
    ended : str
        ``answered``, ``refused``, ``left`` or empty where no end was written.
    code : str
        Of a refusal.
    first_ms, sent_ms, pause_ms, target_ms, pause_target_ms : float
        Of an answer: first event and last sending, from the arrival on, the longest
        pause, and the times that are in time.
    """

    at_s: float
    key: str = ""
    n_sent: int = 0
    has_asked: bool = False
    ended: str = ""
    code: str = ""
    first_ms: float = 0.0
    sent_ms: float = 0.0
    pause_ms: float = 0.0
    target_ms: float = 0.0
    pause_target_ms: float = 0.0


def read_streams(lines: Iterable[str]) -> list[StreamRecord]:
    """Return the streams that the logs tell of."""
    found: dict[str, StreamRecord] = {}
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        pairs = {name: value.strip('"') for name, value in _PAIR.findall(match[3])}
        request = pairs.get("request")
        if request:
            held = found.get(request, StreamRecord(float(match[1])))
            found[request] = _noted(held, pairs)
    return [each for each in found.values() if "|" in each.key]


def _noted(held: StreamRecord, pairs: dict[str, str]) -> StreamRecord:
    held = held._replace(key=pairs.get("key", held.key))
    match pairs["event"]:
        case "request_sent":
            return held._replace(n_sent=held.n_sent + 1)
        case "holder_found" | "holder_not_found":
            return held._replace(has_asked=True)
        case "request_answered":
            names = ("first_ms", "sent_ms", "pause_ms", "target_ms", "pause_target_ms")
            times = {name: float(pairs.get(name, 0.0)) for name in names}
            return held._replace(ended="answered", **times)
        case "request_refused":
            return held._replace(ended="refused", code=pairs["code"])
        case "caller_left":
            return held._replace(ended="left")
    return held


def cause_of(stream: StreamRecord) -> str:
    """Return why a stream lost its worth, or that it did not."""
    match stream.ended:
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
        return "late: holder" if stream.has_asked else "late: before sending"
    return "late: first event"


def recovered_s(
    streams: Iterable[StreamRecord], after_s: float, window_s: float = WINDOW_S
) -> float | None:
    """Return how long after a time the first window is in time again.

    None where no window of the rest of the day is.
    """
    windows: dict[int, list[bool]] = defaultdict(list)
    for each in streams:
        if each.at_s >= after_s:
            n = int((each.at_s - after_s) // window_s)
            windows[n].append(cause_of(each) == IN_TIME)
    for n, in_time in sorted(windows.items()):
        if sum(in_time) >= RECOVERED_SHARE * len(in_time):
            return n * window_s
    return None


def _table(streams: list[StreamRecord], window_s: float) -> str:
    windows: dict[int, Counter[str]] = defaultdict(Counter)
    for each in streams:
        windows[int(each.at_s // window_s)][cause_of(each)] += 1
    total: Counter[str] = Counter()
    for counts in windows.values():
        total += counts
    causes = [name for name, _ in total.most_common()]
    rows = [
        [cause, *(windows[n][cause] for n in sorted(windows)), total[cause]]
        for cause in causes
    ]
    headers = ["cause", *(f"{n * window_s:.0f} s" for n in sorted(windows)), "all"]
    return tabulate(rows, headers)


def main() -> None:
    """Print the table of a play."""
    arguments = sys.argv[1:]
    window_s = WINDOW_S
    if "--window" in arguments:
        at = arguments.index("--window")
        window_s = float(arguments[at + 1])
        del arguments[at : at + 2]
    with open(arguments[0]) as play:
        print(_table(read_streams(play), window_s))


if __name__ == "__main__":
    main()
