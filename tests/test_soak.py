"""The soak: each check finds a planted violation, and a short run finds none."""

import contextlib
import json
import socket
import struct
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import anyio
from soak.checks import check_history
from soak.deployment import ROOT
from soak.history import read_history
from soak.run import SoakSettings, has_failed, run_soak
from soak.schedule import DEFAULT_KINDS, FaultKind, draw_schedule
from soak.server import ServerSettings, make_event, split_versions

from .soak_builders import build_attempt, build_stream, record

STREAM = {"repeatable": True, "stream": True}
# Seed and length of the run in this suite; longer ones are started by hand.
SEED = 3
SEED_OF_VERSIONS = 9401
SEED_OF_LOST_DISKS = 9601
LENGTH_S = 25.0


def find_rules(history: list) -> list[str]:
    """Return the rules that a history breaks."""
    history = sorted(history, key=lambda each: each["at_ms"])
    return [violation.rule for violation in check_history(history)]


class PlantedViolationTest(unittest.TestCase):
    """Each check finds a planted violation and accepts the allowed case beside it."""

    def test_second_run(self):
        """A request that may not be repeated runs at two servers."""
        history = build_attempt("a", 0.0)
        self.assertEqual(find_rules(history), [])
        again = {**history[2], "at_ms": 50.0, "server": "s2"}
        self.assertEqual(find_rules([*history, again]), ["TWICE"])

    def test_overlapping_streams(self):
        """A stream goes on elsewhere while its first server works for 401 ms more."""
        for overlap_ms, expected in ((399.0, []), (402.0, ["TWICE"])):
            first = build_attempt("a", 0.0, "s1", 101.0 + overlap_ms, **STREAM)
            second = build_attempt("b", 100.0, "s2", 900.0, **STREAM, first="a")
            self.assertEqual(find_rules([*first, *second]), expected)
            # The history ends before the first server does.
            cut = [each for each in first if each["event"] != "ended"]
            last = record("config_acknowledged", 101.0 + overlap_ms)
            self.assertEqual(find_rules([*cut, *second[:-1], last]), expected)
            # The process of the first server is ended.
            end = record("server_ended", 101.0 + overlap_ms, server="s1")
            later = record("config_acknowledged", 9_000.0)
            self.assertEqual(find_rules([*cut, *second[:-1], end, later]), expected)
            # The entry of the first attempt was frozen.
            fault = record("fault", 90.0, targets=["e1"], until_ms=95.0, kind="x")
            self.assertEqual(find_rules([*first, *second, fault]), [])

    def test_frozen_server_starts_late(self):
        """A server reads a request that went on elsewhere, and ends it at once."""
        history = build_attempt("a", 0.0, "s2", 1_500.0, **STREAM)
        history[2]["deadline_ms"] = "800"
        for ended_at_ms, expected in ((305.0, []), (405.0, ["TWICE"])):
            late = {**history[2], "at_ms": 300.0, "server": "s1", "deadline_ms": "900"}
            end = record("ended", ended_at_ms, "a", server="s1", born_ms=0)
            self.assertEqual(find_rules([*history, late, end]), expected)

    def test_wrong_customer(self):
        """A server gets a request for another customer than its key's, or the key."""
        for customer, has_key, expected in (
            ("alder", False, []),
            ("birch", False, ["CUSTOMER"]),
            ("", False, ["CUSTOMER"]),
            ("alder", True, ["CUSTOMER"]),
        ):
            history = build_attempt("a", 0.0, ended_at_ms=5.0, customer="alder")
            history[1].update(customer=customer, has_key=has_key)
            self.assertEqual(find_rules(history), expected)

    def test_removed_key(self):
        """A request with a key of a replaced config, or of one that was not sent."""
        configs = [
            record("config_acknowledged", at_ms, version=version)
            for version, at_ms in ((1, 0.0), (2, 100.0))
        ]
        for version, at_ms, expected in (
            (1, 5_000.0, []),
            (1, 5_200.0, ["REMOVED"]),
            (2, 9_000.0, []),
            (3, 9_000.0, []),
            (4, 9_000.0, ["REMOVED"]),
            (0, 9_000.0, []),
        ):
            attempt = build_attempt("a", at_ms, key_version=version)
            self.assertEqual(find_rules([*configs, *attempt[:2]]), expected)

    def test_untrue_refusal(self):
        """A caller is told that a request did not run, though it did, or does later."""
        for status in (408, 421, 429, 503, 500, 502, 504):
            expected = ["REFUSED"] if status in (408, 421, 429, 503) else []
            answer = record(
                "finished", 50.0, "a", status=status, whole=True, reason="answered"
            )
            self.assertEqual(find_rules([*build_attempt("a", 0.0), answer]), expected)
            sent, arrived, run = build_attempt("a", 0.0)
            later = {**run, "at_ms": 9_000.0}
            self.assertEqual(find_rules([sent, arrived, answer, later]), expected)
            # It is allowed for what may be repeated, and if nothing ran.
            history = build_attempt("a", 0.0, repeatable=True)
            self.assertEqual(find_rules([*history, answer]), [])
            self.assertEqual(find_rules([sent, arrived, answer]), [])

    def test_too_many_repeats(self):
        """A service gets more repeats in a window than the budget allows."""
        history = build_attempt("a", 0.0, repeatable=True)
        for n_repeats, expected in ((64, []), (65, ["BUDGET"])):
            repeats = [{**history[1], "at_ms": 10.0 + n} for n in range(n_repeats)]
            self.assertEqual(find_rules([*history, *repeats]), expected)

    def test_requests_to_a_server_held_off(self):
        """An entry sends three requests to a server that has asked for none."""
        for n_requests, born_ms, is_heard, expected in (
            (2, 0, True, []),
            (3, 0, True, ["BUDGET"]),
            # A server that has started again since then has asked for nothing.
            (3, 9, True, []),
            # The entry had closed the connection before.
            (3, 0, False, []),
        ):
            refusal = record(
                "refused",
                5.0,
                "a",
                server="s1",
                born_ms=born_ms,
                hold_off_s=2,
                is_heard=is_heard,
            )
            history = [*build_attempt("a", 0.0, repeatable=True), refusal]
            for number in range(n_requests):
                history += build_attempt(f"b{number}", 900.0, repeatable=True)
            self.assertEqual(find_rules(history), expected)

    def test_cut_in_a_planned_stop(self):
        """A request that a server ran is cut early in the grace period."""
        cut = record("finished", 2_000.0, "a", status=0, whole=False, reason="")
        stop = record(
            "fault", 1_000.0, kind="stop_entry", targets=["e1"], until_ms=9_000.0
        )
        for reason, expected in (("EndOfStream", ["LOST"]), ("time_limit", [])):
            history = [*build_attempt("a", 0.0), stop, {**cut, "reason": reason}]
            self.assertEqual(find_rules(history), expected)

    def test_stream_with_missing_events(self):
        """A stream is whole without its last events, or goes on at a wrong one."""
        first = build_attempt("a", 0.0, **STREAM, kind="ask")
        again = build_attempt("b", 90.0, **STREAM, first="a", kind="ask")
        ends = {"status": 200, "reason": "answered"}
        for whole, last, resumed_at, expected in (
            (False, 20, 21, []),
            (True, 40, 0, []),
            (True, 39, 0, ["ORDER"]),
            (False, 20, 22, ["ORDER"]),
            (False, 20, 20, ["ORDER"]),
            (False, 20, 1, ["ORDER"]),
        ):
            history = [
                *first,
                *again,
                record(
                    "finished",
                    50.0,
                    "a",
                    **ends,
                    whole=whole,
                    first_event_id=1,
                    last_event_id=last,
                ),
                record(
                    "finished",
                    150.0,
                    "b",
                    **ends,
                    whole=bool(resumed_at),
                    first_event_id=resumed_at,
                    last_event_id=40 if resumed_at else last,
                ),
            ]
            with self.subTest(last=last, resumed_at=resumed_at):
                self.assertEqual(find_rules(history), expected)
        self.assertEqual(find_rules([record("wrong_stream", 1.0, "a")]), ["ORDER"])

    def test_foreign_answer(self):
        """A caller gets the answer to another request."""
        self.assertEqual(find_rules([record("foreign_answer", 1.0, "a")]), ["MIXED"])

    def test_stream_of_two_versions(self):
        """A stream holds events of two versions, in one answer or over two tries."""
        for first, second, expected in (
            (["v1"], ["v1"], []),
            (["v1"], [], []),
            (["v1", "v2"], [], ["ORDER"]),
            (["v1"], ["v2"], ["ORDER"]),
            (["v1"], ["v1", "v2"], ["ORDER"]),
        ):
            with self.subTest(first=first, second=second):
                history = [
                    *build_stream("a", 0.0, first, last_event_id=3),
                    *build_stream("b", 100.0, second, after=3, resumes="a", first="a"),
                ]
                self.assertEqual(find_rules(history), expected)

    def test_resumed_streams_that_do_not_go_on(self):
        """Of twelve resumed streams, fewer than half as many go on as new ones begin.

        They count where two servers of their version serve and no fault is near.
        """
        for n_going_on, n_servers, fault, expected in (
            (6, 2, None, []),
            (5, 2, None, ["LOST"]),
            (5, 1, None, []),
            (0, 2, ("e1", "kill_entries"), []),
            (0, 2, ("e2", "kill_entries"), ["LOST"]),
            (0, 2, ("e2", "kill_leader"), []),
        ):
            with self.subTest(n_going_on=n_going_on, n_servers=n_servers):
                history = [
                    record(
                        "server_started", 0.0, server=f"s{n}", service="desk", version=v
                    )
                    for n, v in enumerate(["v2", "v2", *["v1"] * n_servers])
                ]
                for n in range(12):
                    after = 3 if n < n_going_on else 5
                    begun = {"last_event_id": after}
                    history += build_stream(f"a{n}", 9_000.0, ["v1"], **begun)
                    changes = {"resumes": f"a{n}", "after": after, "first": f"a{n}"}
                    history += build_stream(f"b{n}", 10_000.0, ["v1"], **changes)
                if fault is not None:
                    target, kind = fault
                    fields = {"kind": kind, "targets": [target], "until_ms": 9_900.0}
                    history.append(record("fault", 9_900.0, **fields))
                self.assertEqual(find_rules(history), expected)

    def test_server_that_ends(self):
        """A server that ends while a stream is resumed is not one that serves."""
        start = {"service": "desk", "version": "v1"}
        history = [
            record("server_started", 0.0, server=name, **start) for name in ("s1", "s2")
        ]
        for n in range(12):
            history += build_stream(f"a{n}", 9_000.0, ["v1"])
            changes = {"resumes": f"a{n}", "after": 5, "first": f"a{n}"}
            history += build_stream(f"b{n}", 10_000.0, ["v1"], **changes)
        for event in ("server_ended", "server_leaving"):
            end = record(event, 10_010.0, server="s2")
            self.assertEqual(find_rules([*history, end]), [])
        self.assertEqual(find_rules(history), ["LOST"])


class FailedProcessTest(unittest.TestCase):
    """Servers and callers of the soak that end by themselves."""

    # A run passed in which servers failed at every request.
    def test_older_config(self):
        """A keeper answers an older config at the end, or none."""
        history = [
            record("config_acknowledged", 1.0, version=2),
            record("config_acknowledged", 2.0, version=1),
        ]
        for version, expected in ((2, []), (1, ["CONFIG"]), (0, ["CONFIG"])):
            read = record("config_read", 3.0, host=11, version=version)
            self.assertEqual(find_rules([*history, read]), expected)

    def test_failed_process(self):
        """A process that fails is a violation; one that the soak killed is none."""
        failed = record("process_failed", 5.0, process="soak.server")
        self.assertEqual(find_rules([*build_attempt("a", 0.0), failed]), ["SOAK"])
        for code, is_killed, expected in (
            ("planted", False, True),
            ("pass", False, True),
            ("input()", True, False),
        ):
            with (
                self.subTest(code=code),
                subprocess.Popen(
                    [sys.executable, "-c", code],
                    stdin=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                ) as process,
            ):
                if is_killed:
                    self.assertFalse(has_failed(process))
                    process.kill()
                process.wait()
                self.assertEqual(has_failed(process), expected)


class VersionMarkTest(unittest.TestCase):
    """Servers write their version into each event."""

    def test_split(self):
        """A cut stream keeps the versions of its complete events only."""
        events = make_event(1, "v1") + make_event(2, "v2") + make_event(3, "v3")
        plain = make_event(1) + make_event(2) + make_event(3)
        for n_cut, versions in ((0, ["v1", "v2", "v3"]), (2, ["v1", "v2"])):
            with self.subTest(n_cut=n_cut):
                text, found = split_versions(events[: len(events) - n_cut])
                self.assertEqual(found, versions)
                self.assertTrue(plain.startswith(text))
        joined = make_event(1, "v1")[:-2] + make_event(2, "v2")
        self.assertFalse(plain.startswith(split_versions(joined)[0]))


class ScheduleTest(unittest.TestCase):
    """Faults are drawn from the seed alone."""

    def test_same_seed(self):
        """The same seed gives the same faults, another one gives others."""
        self.assertEqual(draw_schedule(1, 60.0), draw_schedule(1, 60.0))
        self.assertNotEqual(draw_schedule(1, 60.0), draw_schedule(2, 60.0))


class ServerTest(unittest.TestCase):
    """The soak's backend server."""

    # A server watched the connection that had got the number of the closed one, so that
    # sound entries were reported as TWICE.
    def test_each_reset_ends_its_run(self):
        """A run ends when its connection is reset, whatever is opened meanwhile."""
        reasons = anyio.run(self._reset_runs, 10)
        self.assertEqual(reasons, 10 * ["connection_closed"])

    async def _reset_runs(self, n_runs: int) -> list[str]:
        with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
            history = Path(folder) / "history.jsonl"
            port = find_free_port()
            settings = ServerSettings(
                "127.0.0.1",
                port,
                "i-1",
                "assistant",
                "z1",
                "m1",
                str(history),
                SEED,
                idle_timeout_s=60.0,
                # A run that is not ended goes on for long, and then cannot be written.
                work_ms=10_000.0,
            )
            server = start_server(settings)
            stack.callback(server.wait)
            stack.callback(server.kill)

            def count(event: str) -> list[dict]:
                records = read_history([history]) if history.exists() else []
                return [record for record in records if record["event"] == event]

            while not count("server_started"):
                await anyio.sleep(0.02)
            for number in range(n_runs):
                sock = socket.create_connection(("127.0.0.1", port))
                head = f"POST /ask/x HTTP/1.1\r\nrequest-id: q{number}\r\n\r\n"
                sock.sendall(head.encode())
                while len(count("run")) <= number:
                    await anyio.sleep(0.02)
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.close()
                # It may get the number of the connection that was reset.
                next_sock = socket.create_connection(("127.0.0.1", port))
                stack.callback(next_sock.close)
            while len(count("ended")) < n_runs:
                await anyio.sleep(0.02)
            return [record["reason"] for record in count("ended")]


def find_free_port() -> int:
    """Return a port that no process listens on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def start_server(settings: ServerSettings) -> subprocess.Popen:
    """Start a backend server as a process."""
    return subprocess.Popen(
        [sys.executable, "-m", "soak.server", json.dumps(settings._asdict())],
        cwd=ROOT,
    )


class ShortSoakTest(unittest.TestCase):
    """The programs of the deploy file as processes, under a series of faults."""

    def test_no_violation(self):
        """Neither callers nor servers see a broken promise."""
        kinds = tuple(
            kind for kind in DEFAULT_KINDS if kind is not FaultKind.LOAD_CORES
        )
        settings = SoakSettings(SEED, LENGTH_S, n_callers=30, kinds=kinds)
        result = run_soak(settings)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.n_by_event["run"], 0)

    # Streams held events of two software versions.
    def test_two_versions(self):
        """While versions are exchanged and entries are killed, no stream is mixed."""
        kinds = (
            FaultKind.RELEASE,
            FaultKind.RENEW_SERVER,
            FaultKind.KILL_ENTRIES,
            FaultKind.KILL_SERVER,
            FaultKind.KILL_LEADER,
        )
        settings = SoakSettings(
            SEED_OF_VERSIONS, LENGTH_S, n_engines=6, n_callers=30, kinds=kinds
        )
        result = run_soak(settings)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.n_by_event["run"], 0)

    # The log of the keepers ended with a host that lost its disk twice in a row.
    def test_lost_disks(self):
        """Keepers lose their disks again and again, and the newest config is read."""
        kinds = (
            FaultKind.LOSE_DISK,
            FaultKind.KILL_LEADER,
            FaultKind.FREEZE_LEADER,
            FaultKind.CHANGE_CONFIG,
        )
        settings = SoakSettings(
            SEED_OF_LOST_DISKS, LENGTH_S, n_entries=3, n_callers=10, kinds=kinds
        )
        result = run_soak(settings)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.n_by_event["config_acknowledged"], 1)
