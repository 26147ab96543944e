"""Answers that a pool of connections reads whole: lists, reports, results of orders."""

import unittest
from typing import Any
from unittest import mock

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result

from cowslipwood.kernel import connection_end
from cowslipwood.kernel.clock import monotonic_ms
from cowslipwood.kernel.codes import Code, Failure
from cowslipwood.kernel.http_pool import ConnectionPool, WholeAnswer
from cowslipwood.listing import HttpServerList, ListedModel, to_server_view

from .answer_builders import Framing, frame_answer
from .direct_builders import (
    always_send,
    build_answer,
    build_listed_server,
    run_scripted_server,
)
from .test_bad_statuses import BAD_STATUSES
from .test_platform_adapter import adapter_module
from .upload_builders import EarlyAnswer, Ending, build_upload, run_early_server

LIST = orjson.dumps({"servers": []})
REPORT = orjson.dumps({"born": 1, "runs": []})
# Time, in milliseconds, for which a reset is awaited. The server's thread may wait for
# a core between the end of its direction and its close.
RESET_HOLD_MS = 500.0
# Time, in milliseconds, that an exchange may take.
TIMEOUT_MS = 10_000.0


class WholeAnswerTest(unittest.TestCase):
    """Exchanges over a pool, whose answers are read whole."""

    # An answer whose connection was reset counted as whole for all these readers.
    def test_answer_is_whole_only_after_an_orderly_end(self):
        """With a request that was left unread, the answer is cut."""
        data = b"".join(frame_answer(Framing.CONNECTION, LIST))
        for ending in Ending:
            with self.subTest(ending=ending):
                answer = EarlyAnswer(data, ending, n_first_bytes=10, pause_s=0.05)
                with (
                    mock.patch.object(connection_end, "RESET_HOLD_MS", RESET_HOLD_MS),
                    run_early_server(answer) as (addr, _),
                ):
                    result = anyio.run(self._exchange, addr)
                expected = None if ending.reads_all else Code.ANSWER_CUT
                self.assertEqual(_read_code(result), expected)

    async def _exchange(self, addr: str) -> Result[WholeAnswer, Failure]:
        return await ConnectionPool().exchange(
            addr, "POST", "/", [], build_upload(3_000_000), monotonic_ms(), TIMEOUT_MS
        )


class InvalidStatusTest(unittest.TestCase):
    """Answers with invalid statuses, whatever their bodies say."""

    # A report with status 600 was taken for the word of a server that still runs.
    def test_report_and_list_fail(self):
        """Neither a report nor a list is read from such an answer."""
        for status in BAD_STATUSES:
            with self.subTest(status=status):
                report, servers = anyio.run(self._read_both, f"{status} X")
                self.assertEqual(_read_code(report), Code.ANSWER_CUT)
                self.assertEqual(_read_code(servers), Code.ANSWER_CUT)

    async def _read_both(self, status: str) -> tuple[Result[Any, Failure], ...]:
        reports = adapter_module("_reports").PlatformReports()
        async with (
            run_scripted_server(always_send(build_answer(REPORT, status=status))) as (
                addr,
                _,
            ),
            run_scripted_server(always_send(build_answer(LIST, status=status))) as (
                list_addr,
                _,
            ),
        ):
            listed = build_listed_server("s0", addr, (ListedModel("m1"),))
            report = await reports.ask(to_server_view(listed, ()))
            servers = await HttpServerList(f"http://{list_addr}/servers").read()
        return report, servers


def _read_code(result: Result[Any, Failure]) -> Code | None:
    """Return the code of a failure; None for a success."""
    return result.failure().code if isinstance(result, Err) else None
