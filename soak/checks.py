"""Checks the history of a soak run against what callers and servers were promised."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from .deployment import REVOKE_MS
from .server import N_EVENTS

__all__ = ["CHECKS", "Violation", "check_history"]

Record = Mapping[str, Any]

# Time for which a server may go on with a request that was taken up elsewhere, in ms.
OVERLAP_MS = 400.0
# Time after a fault in which a host is not held to limits of time, in ms.
CONTACT_MS = 3_000.0
# Limits on the requests that servers get beyond the first of each.
RETRY_SHARE = 0.2
RETRY_EXTRA = 64
RETRY_WINDOW_MS = 10_000.0
# Time after which a server's wish to get nothing must be met, in ms.
HOLD_OFF_SLACK_MS = 500.0
# Number of requests that may still reach a server that asked for none.
MAX_HELD_OFF_ARRIVALS = 2
# Share of the grace period after which work from before the stop may be cut.
LAST_GRACE_SHARE = 5 / 6
# Faults of keepers, and the target under which they are found.
CORE_FAULTS = ("kill_leader", "freeze_leader", "kill_all")
CORE = "keepers"
# How a client's attempt ends when its connection is closed.
CUT_REASONS = ("EndOfStream", "IncompleteRead", "BrokenResourceError")
# Statuses that promise that a request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


# Number of resumed streams from which on their share counts, and the least share of
# them that goes on, as a part of the share of new streams that begin.
MIN_RESUMES = 12
MIN_RESUMED_SHARE = 0.5


class Violation(NamedTuple):
    """A broken promise.

    Parameters
    ----------
    rule : str
    at_ms : float
    text : str
    """

    rule: str
    at_ms: float
    text: str


def check_history(history: Sequence[Record]) -> list[Violation]:
    """Return what all checks find, in the order of time."""
    found = [violation for check in CHECKS for violation in check(history)]
    return sorted(found, key=lambda violation: violation.at_ms)


def check_single_runs(history: Sequence[Record]) -> Iterable[Violation]:
    """Find requests that may not be repeated and ran more than once."""
    once = {r["request"] for r in _select(history, "sent") if not r["repeatable"]}
    servers = defaultdict(list)
    for record in _select(history, "run"):
        if record["request"] in once:
            servers[record["request"]].append(record["server"])
            if len(servers[record["request"]]) > 1:
                text = f"{record['request']} ran at {servers[record['request']]}"
                yield Violation("TWICE", record["at_ms"], text)


def check_overlapping_runs(history: Sequence[Record]) -> Iterable[Violation]:
    """Find streams that went on elsewhere while an earlier server still worked."""
    sent = {record["request"]: record for record in _select(history, "sent")}
    ended_at_ms = {
        (r["request"], r["server"], r["born_ms"]): r["at_ms"]
        for r in _select(history, "ended")
    }
    disturbed = _Disturbances(history)
    processes = _Fleet(history)
    stream_runs = [
        record
        for record in _select(history, "run")
        if record["request"] in sent and sent[record["request"]]["stream"]
    ]

    def get_order(record: Record) -> tuple[float, int]:
        # Within one request, a later attempt has less time left. A server that was
        # frozen may begin an earlier attempt after the later one.
        left_ms = int(record.get("deadline_ms") or 0)
        return sent[record["request"]]["at_ms"], -left_ms

    runs = defaultdict(list)
    for record in sorted(stream_runs, key=get_order):
        request = sent[record["request"]]
        for earlier in runs[request["first"]]:
            key = (earlier["request"], earlier["server"], earlier["born_ms"])
            end_ms = ended_at_ms.get(key)
            entry = sent[earlier["request"]]["entry"]
            hosts = (entry, earlier["server"])
            if any(disturbed.is_near(host, record["at_ms"]) for host in hosts):
                continue
            # A run without an end lasted as long as its process or the history.
            end_ms = end_ms or processes.find_end(earlier, history[-1]["at_ms"])
            overlap_ms = end_ms - record["at_ms"]
            if earlier["server"] != record["server"] and overlap_ms > OVERLAP_MS:
                text = (
                    f"{record['request']} went on at {record['server']} while "
                    f"{earlier['server']} worked on {earlier['request']} of {entry} "
                    f"for {overlap_ms:.0f} ms more"
                )
                yield Violation("TWICE", record["at_ms"], text)
        runs[request["first"]].append(record)


def check_not_run_answers(history: Sequence[Record]) -> Iterable[Violation]:
    """Find requests that ran although the caller was told that they had not."""
    once = {r["request"] for r in _select(history, "sent") if not r["repeatable"]}
    ran = {record["request"] for record in _select(history, "run")}
    for record in _select(history, "finished"):
        if record["status"] in NOT_RUN_STATUSES and record["request"] in once & ran:
            text = f"{record['request']} was answered {record['status']}"
            yield Violation("REFUSED", record["at_ms"], text)


def check_customers(history: Sequence[Record]) -> Iterable[Violation]:
    """Find requests that a server got with a key or for another customer."""
    customer_of = {r["request"]: r.get("customer") for r in _select(history, "sent")}
    for record in _select(history, "arrived"):
        customer = customer_of.get(record["request"])
        if customer is None:
            continue
        if record["customer"] != customer or record["has_key"]:
            text = (
                f"{record['request']} of {customer} came for {record['customer']!r}, "
                f"with a key: {record['has_key']}"
            )
            yield Violation("CUSTOMER", record["at_ms"], text)


def check_removed_keys(history: Sequence[Record]) -> Iterable[Violation]:
    """Find requests with a key that was removed too long ago, or not added yet.

    The config after the last acknowledged one may be in force already.
    """
    acknowledged = [
        (r.get("version", 0), r["at_ms"])
        for r in _select(history, "config_acknowledged")
    ]
    sent = {r["request"]: r for r in _select(history, "sent") if r.get("key_version")}
    for record in _select(history, "arrived"):
        request = sent.get(record["request"])
        if request is None:
            continue
        version = request["key_version"]
        removed_ms = [at_ms for newer, at_ms in acknowledged if newer > version]
        known = [known for known, at_ms in acknowledged if at_ms <= record["at_ms"]]
        is_late = bool(removed_ms) and request["at_ms"] > min(removed_ms) + REVOKE_MS
        if is_late or version > max(known, default=0) + 1:
            text = f"{record['request']} came with a key of version {version}"
            yield Violation("REMOVED", record["at_ms"], text)


def check_retry_budget(history: Sequence[Record]) -> Iterable[Violation]:
    """Find windows in which a service got too many repeated requests."""
    sent_at_ms = defaultdict(list)
    repeats_at_ms = defaultdict(list)
    seen = set()
    for record in history:
        if record["event"] == "sent":
            sent_at_ms[record["service"]].append(record["at_ms"])
        elif record["event"] == "arrived" and record["request"]:
            if record["request"] in seen:
                repeats_at_ms[record["service"]].append(record["at_ms"])
            seen.add(record["request"])
    for service, repeats in repeats_at_ms.items():
        for at_ms in repeats:
            n_repeats = _count(repeats, at_ms)
            n_requests = max(
                _count(sent_at_ms[service], at_ms - share * RETRY_WINDOW_MS)
                for share in (0.0, 0.5, 1.0)
            )
            n_allowed = RETRY_SHARE * n_requests + RETRY_EXTRA
            if n_repeats > n_allowed:
                text = f"{service}: {n_repeats} repeats, {n_allowed:.1f} allowed"
                yield Violation("BUDGET", at_ms, text)
                break


def check_hold_off(history: Sequence[Record]) -> Iterable[Violation]:
    """Find entries that send to a server that has asked for nothing for a time.

    A server that was frozen may ask on a connection that its entry has closed.
    """
    entry_of = {
        record["request"]: record["entry"] for record in _select(history, "sent")
    }
    disturbed = _Disturbances(history)
    for refusal in _select(history, "refused"):
        if not refusal["hold_off_s"] or not refusal["is_heard"]:
            continue
        entry = entry_of.get(refusal["request"])
        until_ms = refusal["at_ms"] + refusal["hold_off_s"] * 1000
        arrivals = [
            record
            for record in _select(history, "arrived")
            if record["server"] == refusal["server"]
            and record["born_ms"] == refusal["born_ms"]
            and entry_of.get(record["request"]) == entry
            and refusal["at_ms"] + HOLD_OFF_SLACK_MS < record["at_ms"] < until_ms
        ]
        is_excused = disturbed.is_near(entry, until_ms)
        if len(arrivals) > MAX_HELD_OFF_ARRIVALS and not is_excused:
            text = f"{refusal['server']} got {len(arrivals)} requests from {entry}"
            yield Violation("BUDGET", refusal["at_ms"], text)


def check_planned_stops(history: Sequence[Record]) -> Iterable[Violation]:
    """Find requests that a server ran and that were cut in a planned stop.

    Work that was under way before the stop, or began soon after it, and that outlasts
    the grace period may be cut.
    """
    sent = {record["request"]: record for record in _select(history, "sent")}
    runs = {record["request"]: record for record in _select(history, "run")}
    for stop in _select(history, "fault"):
        if stop["kind"] != "stop_entry" or not stop["targets"]:
            continue
        entry = stop["targets"][0]
        others = _Disturbances([record for record in history if record is not stop])
        late_ms = stop["at_ms"] + LAST_GRACE_SHARE * (stop["until_ms"] - stop["at_ms"])
        for record in _select(history, "finished"):
            run, request = runs.get(record["request"]), sent[record["request"]]
            is_cut = record["status"] == 0 and record["reason"] in CUT_REASONS
            is_cut |= record["status"] == 200 and not record["whole"]
            if not is_cut or request["entry"] != entry or run is None or run["fault"]:
                continue
            if not stop["at_ms"] <= record["at_ms"] <= stop["until_ms"]:
                continue
            began_late = request["at_ms"] > stop["at_ms"] + CONTACT_MS
            if record["at_ms"] > late_ms and not began_late:
                continue
            hosts = (entry, run["server"])
            if not any(others.is_near(host, record["at_ms"]) for host in hosts):
                text = f"{record['request']} was cut by {entry}: {record['reason']}"
                yield Violation("LOST", record["at_ms"], text)


def check_answers(history: Sequence[Record]) -> Iterable[Violation]:
    """Find answers that belong to another request."""
    for record in _select(history, "foreign_answer"):
        yield Violation("MIXED", record["at_ms"], str(dict(record)))


def check_streams(history: Sequence[Record]) -> Iterable[Violation]:
    """Find streams with events missing, repeated or out of order, over all tries."""
    for record in _select(history, "wrong_stream"):
        yield Violation("ORDER", record["at_ms"], str(dict(record)))
    sent = {record["request"]: record for record in _select(history, "sent")}
    reached: dict[str, int] = defaultdict(int)
    for record in _select(history, "finished"):
        request = sent.get(record["request"])
        if request is None or not request["stream"] or record["status"] != 200:
            continue
        known = reached[request["first"]]
        reached[request["first"]] = record["last_event_id"]
        text = f"{record['request']} of {request['kind']} at {request['entry']}"
        if record["first_event_id"] not in (0, known + 1):
            text += f" begins with {record['first_event_id']} after {known}"
            yield Violation("ORDER", record["at_ms"], text)
        elif record["whole"] and record["last_event_id"] != N_EVENTS:
            text += f" is whole with {record['last_event_id']} of {N_EVENTS} events"
            yield Violation("ORDER", record["at_ms"], text)


def check_versions(history: Sequence[Record]) -> Iterable[Violation]:
    """Find streams with events of two software versions, over a client's tries."""
    sent = {record["request"]: record for record in _select(history, "sent")}
    versions = defaultdict(set)
    for record in _select(history, "finished"):
        stream = sent[record["request"]].get("resumes") or record["request"]
        n_before = len(versions[stream])
        versions[stream].update(record.get("versions", ()))
        if len(versions[stream]) > max(1, n_before):
            text = f"{record['request']} holds events of {sorted(versions[stream])}"
            yield Violation("ORDER", record["at_ms"], text)


def check_resumes(history: Sequence[Record]) -> Iterable[Violation]:
    """Find runs in which too few of the streams that clients resume go on."""
    disturbed = _Disturbances(history)
    finished = {record["request"]: record for record in _select(history, "finished")}
    fleet = _Fleet(history)
    has_begun, has_gone_on = [], []
    for request in _select(history, "sent"):
        end = finished.get(request["request"])
        is_resumable = request["stream"] and request["repeatable"]
        if end is None or not is_resumable:
            continue
        hosts = (request["entry"], CORE)
        if any(disturbed.is_near(host, request["at_ms"]) for host in hosts):
            continue
        if not request.get("resumes"):
            has_begun.append(end.get("last_event_id", 0) > 0)
            continue
        version = finished[request["resumes"]]["versions"][0]
        span_ms = request["at_ms"], end["at_ms"]
        if fleet.count_serving(request["service"], version, span_ms) >= 2:
            has_gone_on.append(end["last_event_id"] > request["after"])
    if len(has_gone_on) < MIN_RESUMES:
        return
    gone_on_share = sum(has_gone_on) / len(has_gone_on)
    begun_share = sum(has_begun) / max(1, len(has_begun))
    if gone_on_share < MIN_RESUMED_SHARE * begun_share:
        text = (
            f"{sum(has_gone_on)} of {len(has_gone_on)} resumed streams went on, "
            f"{sum(has_begun)} of {len(has_begun)} new ones began"
        )
        yield Violation("LOST", history[-1]["at_ms"], text)


def check_config(history: Sequence[Record]) -> Iterable[Violation]:
    """Find keepers that do not answer the newest acknowledged config at the end."""
    newest_version = 0
    for record in history:
        if record["event"] == "config_acknowledged":
            newest_version = max(newest_version, record.get("version", 0))
        elif record["event"] == "config_read" and record["version"] < newest_version:
            text = f"host {record['host']}: {record['version']} of {newest_version}"
            yield Violation("CONFIG", record["at_ms"], text)


def check_processes(history: Sequence[Record]) -> Iterable[Violation]:
    """Find servers and callers of the soak that ended by themselves.

    What they would have seen later is missing in the history.
    """
    for record in _select(history, "process_failed"):
        yield Violation("SOAK", record["at_ms"], record["process"])


CHECKS: tuple[Callable[[Sequence[Record]], Iterable[Violation]], ...] = (
    check_single_runs,
    check_overlapping_runs,
    check_not_run_answers,
    check_customers,
    check_removed_keys,
    check_retry_budget,
    check_hold_off,
    check_planned_stops,
    check_answers,
    check_streams,
    check_versions,
    check_resumes,
    check_config,
    check_processes,
)


class _Disturbances:
    """Times at which a fault was injected, by the host or server that it struck."""

    def __init__(self, history: Sequence[Record]):
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for record in _select(history, "fault"):
            span = (record["at_ms"], record["until_ms"])
            for target in record["targets"]:
                self._spans[target].append(span)
            if record["kind"] in CORE_FAULTS:
                self._spans[CORE].append(span)

    def is_near(self, target: str | None, at_ms: float) -> bool:
        """Return whether a fault struck a target shortly before or after a moment."""
        return any(
            begin_ms - OVERLAP_MS <= at_ms <= end_ms + CONTACT_MS
            for begin_ms, end_ms in self._spans[target or ""]
        )


class _Fleet:
    """Which servers served when, apart from those that a fault had struck.

    A server that leaves gets no further requests, so it serves no longer.
    """

    def __init__(self, history: Sequence[Record]):
        self._started = _select(history, "server_started")
        self._processes_ended = _select(history, "server_ended")
        self._ended_at_ms = defaultdict(list)
        for record in history:
            if record["event"] not in ("server_leaving", "server_ended"):
                continue
            self._ended_at_ms[record["server"]].append(record["at_ms"])
        self._disturbed = _Disturbances(history)

    def find_end(self, run: Record, default_ms: float) -> float:
        """Return when the process that began a run was ended from outside."""
        return next(
            (
                record["at_ms"]
                for record in self._processes_ended
                if record["server"] == run["server"] and record["at_ms"] >= run["at_ms"]
            ),
            default_ms,
        )

    def count_serving(
        self, service: str, version: str, span_ms: tuple[float, float]
    ) -> int:
        """Return how many servers of a version served all the time."""
        begin_ms, end_ms = span_ms
        return sum(
            record["service"] == service
            and record["version"] == version
            and record["at_ms"] + CONTACT_MS <= begin_ms
            and not self._disturbed.is_near(record["server"], begin_ms)
            and not any(
                record["at_ms"] < ended_ms <= end_ms
                for ended_ms in self._ended_at_ms[record["server"]]
            )
            for record in self._started
        )


def _select(history: Iterable[Record], event: str) -> list[Record]:
    return [record for record in history if record["event"] == event]


def _count(times_ms: Sequence[float], end_ms: float) -> int:
    """Return how many of the sorted times lie in the window that ends at `end_ms`."""
    begin = bisect_right(times_ms, end_ms - RETRY_WINDOW_MS)
    return bisect_right(times_ms, end_ms) - begin
