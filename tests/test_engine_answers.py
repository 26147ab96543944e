"""Answers of engines to orders: whole ones with a valid status count, and no others."""

import unittest
from typing import Any
from unittest import mock

import anyio
import orjson
from returns.result import Failure as Err
from returns.result import Result

from cowslipwood.agent.engines import Order, OrderOp
from cowslipwood.agent.engines.http_engine import FencedEngine
from cowslipwood.kernel import connection_end
from cowslipwood.kernel.codes import Code, Failure

from .answer_builders import Framing, frame_answer
from .direct_builders import always_send, build_answer, run_scripted_server
from .test_bad_statuses import BAD_STATUSES
from .upload_builders import EarlyAnswer, Ending, run_early_server

DONE = orjson.dumps({"state": "done"})
# Time, in milliseconds, for which a reset is awaited. The server's thread may wait for
# a core between the end of its direction and its close.
RESET_HOLD_MS = 500.0


def build_order() -> Order:
    """Return an order."""
    return Order("o1", OrderOp.LOAD, "m1", "1", "", 1_000, 3)


class EngineAnswerTest(unittest.TestCase):
    """What an agent concludes from an engine's answers."""

    # An order counted as done by an answer whose connection was reset.
    def test_order_is_done_only_after_an_orderly_end(self):
        """After a reset its result is uncertain, as without an answer."""
        data = b"".join(frame_answer(Framing.CONNECTION, DONE))
        for ending in Ending:
            with self.subTest(ending=ending):
                answer = EarlyAnswer(data, ending, n_first_bytes=10, pause_s=0.05)
                with (
                    mock.patch.object(connection_end, "RESET_HOLD_MS", RESET_HOLD_MS),
                    run_early_server(answer) as (addr, _),
                ):
                    result = anyio.run(self._order, addr)
                if ending.reads_all:
                    self.assertEqual(_read_code(result), None)
                else:
                    self.assertEqual(_read_code(result), Code.ORDER_UNCERTAIN)

    # An order counted as done by an answer with status 600.
    def test_invalid_status_proves_nothing(self):
        """The result of the order is uncertain, and the state is not known."""
        for status in BAD_STATUSES:
            with self.subTest(status=status):
                order, state, cancel = anyio.run(self._call_all, f"{status} X")
                self.assertEqual(_read_code(order), Code.ORDER_UNCERTAIN)
                self.assertEqual(_read_code(state), Code.BACKEND_UNREACHABLE)
                self.assertIn("status", state.failure().message)
                self.assertEqual(_read_code(cancel), Code.BACKEND_UNREACHABLE)

    async def _order(self, addr: str) -> Result[None, Failure]:
        with anyio.fail_after(15):
            return await FencedEngine(f"http://{addr}").order(build_order())

    async def _call_all(self, status: str) -> list[Result[Any, Failure]]:
        script = always_send(build_answer(DONE, status=status))
        with anyio.fail_after(15):
            async with run_scripted_server(script) as (addr, _):
                engine = FencedEngine(f"http://{addr}")
                order = await engine.order(build_order())
                return [order, await engine.state(), await engine.cancel("q1")]


def _read_code(result: Result[Any, Failure]) -> Code | None:
    """Return the code of a failure; None for a success."""
    return result.failure().code if isinstance(result, Err) else None
