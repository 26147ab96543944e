"""Calls through a real agent process: admission, cuts, cancels and draining."""

import signal
import unittest
from typing import Any

import anyio
import httpcore

from cowslipwood.kernel.messages import DesiredModel
from cowslipwood.standins.engine import EngineConfig

from .agent_bench import AgentBench, agent_bench
from .builders import call_value
from .served import until

SMALL = EngineConfig(load_ms=1, knee_in_flight=4)
BASE = DesiredModel("m1", "1", "model", "", 1_000)


def run(check: Any, config: EngineConfig = SMALL, *flags: str) -> None:
    """Run a check on a bench whose engine has the model ready."""

    async def main() -> None:
        async with agent_bench(config, *flags) as bench:
            await bench.keeper.assign(1, 1, BASE)
            await until(lambda: bench.keeper.is_ready("m1"), "the model")
            await check(bench)

    anyio.run(main)


class TestRefusals(unittest.TestCase):
    """Calls that are refused as not run."""

    def test_bad_calls(self):
        """Each bad call gets its number, and none reaches the engine."""
        cases = (
            (b"{", {}, "BAD_JSON"),
            (b"\xff", {}, "BAD_JSON"),
            (["m1"], {}, "BAD_FIELD"),
            (call_value(prompt=7), {}, "BAD_FIELD"),
            (call_value(max_tokens=0), {}, "BAD_FIELD"),
            (call_value(max_tokens=True), {}, "BAD_FIELD"),
            (call_value(resume_tokens=9), {}, "BAD_FIELD"),
            (call_value("m9"), {}, "MODEL_NOT_READY"),
            (call_value(), {"x_deadline_ms": "soon"}, "BAD_HEADER"),
            (call_value(), {"x_cowslip_class": "royal"}, "BAD_HEADER"),
            (call_value(), {"x_deadline_ms": "0"}, "DEADLINE_PASSED"),
            (call_value(), {"authorization": "Bearer x"}, "BAD_TOKEN"),
            (call_value(), {"x_cowslip_server": "s2"}, "WRONG_SERVER"),
        )

        async def check(bench: AgentBench) -> None:
            for body, headers, name in cases:
                with self.subTest(body=body, headers=headers):
                    _, answer = await bench.ask(body, **headers)
                    self.assertEqual(answer["error"]["name"], name)
                    self.assertEqual(answer["error"]["outcome"], "not-run")
            orders = {"order_id": "x", "op": "unload", "model": "m1"}
            status, _ = await bench.client.call(
                "POST", "/engine/orders", orders, **bench.headers()
            )
            self.assertEqual(status, 404)
            self.assertEqual(bench.engine.counts["n_started"], 0)

        run(check)

    def test_frozen_agent_runs_nothing_late(self):
        """A call whose deadline passed while the agent stood still is not run."""

        async def check(bench: AgentBench) -> None:
            answers = []

            async def ask() -> None:
                answers.append(await bench.ask(call_value(), x_deadline_ms="400"))

            bench.signal(signal.SIGSTOP)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(1.0)
                bench.signal(signal.SIGCONT)
            self.assertEqual(answers[0][1]["error"]["name"], "DEADLINE_PASSED")
            self.assertEqual(bench.engine.counts["n_started"], 0)

        run(check)

    def test_overload_is_refused_at_once(self):
        """Under more than can be served, what is run keeps its deadline in the queue.

        The rest is refused as not run, with a time to come back.
        """
        n_calls = 60

        async def check(bench: AgentBench) -> None:
            for _ in range(4):
                await bench.ask(call_value(max_tokens=20))
            answers: list[tuple[int, Any]] = []

            async def ask() -> None:
                body = call_value(max_tokens=20)
                answers.append(await bench.ask(body, x_deadline_ms="100"))

            async with anyio.create_task_group() as tasks:
                for _ in range(n_calls):
                    tasks.start_soon(ask)
            refused = [body["error"] for status, body in answers if status != 200]
            self.assertTrue(0 < len(refused) < n_calls, len(refused))
            self.assertEqual({error["outcome"] for error in refused}, {"not-run"})
            self.assertTrue(
                all(
                    error["retry_after_ms"] > 0
                    for error in refused
                    if error["name"] == "AGENT_OVERLOADED"
                )
            )
            n_run = bench.engine.counts["n_started"]
            self.assertEqual(n_run, 4 + n_calls - len(refused))

        run(check, SMALL._replace(between_tokens_ms=2.0))


class TestAnswers(unittest.TestCase):
    """Answers that end early, and callers that go away."""

    def test_cut_answer_is_broken(self):
        """An answer that the engine cuts never looks whole."""

        async def check(bench: AgentBench) -> None:
            bench.engine.faults.set({"fail_streams": 1, "fail_after_tokens": 2})
            with self.assertRaises(httpcore.RemoteProtocolError):
                await bench.ask(call_value())
            self.assertEqual((await bench.ask(call_value()))[0], 200)

        run(check)

    def test_hang_up_cancels_at_the_engine(self):
        """A caller that hangs up frees its place and its KV cache."""

        async def check(bench: AgentBench) -> None:
            async with bench.stream(call_value(max_tokens=100_000)) as response:
                await anext(response.aiter_stream())
            await until(lambda: bench.engine.counts["n_cancelled"] == 1, "the cancel")
            await until(lambda: bench.keeper.report.n_in_flight == 0, "the report")
            self.assertEqual(bench.engine.committed_bytes, BASE.memory_bytes)

        run(check)

    def test_kv_cache_stays_within_capacity(self):
        """Calls wait where their KV cache does not fit beside models and others."""
        capacity = 40_000
        config = SMALL._replace(capacity_bytes=capacity, knee_in_flight=64)

        async def check(bench: AgentBench) -> None:
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await bench.ask(call_value(max_tokens=4)))[0])

            async with anyio.create_task_group() as tasks:
                for _ in range(30):
                    tasks.start_soon(ask)
            self.assertEqual(set(statuses), {200})
            self.assertLessEqual(bench.engine.high_water_bytes, capacity)

        run(check, config)


class TestStops(unittest.TestCase):
    """Planned stops cut nothing and take no new work."""

    def test_sigterm_under_streams(self):
        """Open streams end whole, new calls are refused, then the agent ends."""

        async def check(bench: AgentBench) -> None:
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await bench.ask(call_value(max_tokens=300)))[1])

            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(ask)
                await until(lambda: bench.engine.counts["n_started"] >= 4, "streams")
                bench.signal(signal.SIGTERM)
                await until(lambda: bench.keeper.report.leaving, "the notice")
                _, answer = await bench.ask(call_value())
                self.assertEqual(answer["error"]["name"], "AGENT_LEAVING")
                status, _ = await bench.client.call("GET", "/readyz")
                self.assertEqual(status, 503)
            await until(lambda: bench.process.poll() is not None, "its end")
            self.assertEqual(bench.process.returncode, 0)
            self.assertTrue(all(b.endswith(b"data: [DONE]\n\n") for b in bodies))
            self.assertEqual(bench.engine.counts["n_finished"], 8)

        run(check)

    def test_drained_server_takes_no_new_call(self):
        """A drained assignment refuses new calls and lets open ones end."""

        async def check(bench: AgentBench) -> None:
            async with bench.stream(call_value(max_tokens=300)) as response:
                stream = response.aiter_stream()
                await anext(stream)
                await bench.keeper.assign(1, 2, BASE, drained=True)
                await until(lambda: _is_refused(bench), "the refusal")
                rest = b"".join([chunk async for chunk in stream])
            self.assertTrue(rest.endswith(b"data: [DONE]\n\n"))

        run(check)

    def test_unassigned_model_waits_for_its_calls(self):
        """A model is unloaded after its last call; new ones are refused at once."""

        async def check(bench: AgentBench) -> None:
            async with bench.stream(call_value(max_tokens=300)) as response:
                stream = response.aiter_stream()
                await anext(stream)
                await bench.keeper.assign(1, 2)
                await until(lambda: not bench.keeper.is_ready("m1"), "the report")
                _, answer = await bench.ask(call_value())
                self.assertEqual(answer["error"]["name"], "MODEL_NOT_READY")
                rest = b"".join([chunk async for chunk in stream])
            self.assertTrue(rest.endswith(b"data: [DONE]\n\n"))
            await until(lambda: not bench.keeper.get_model_states(), "the unload")

        run(check)


async def _is_refused(bench: AgentBench) -> bool:
    status, answer = await bench.ask(call_value(max_tokens=1))
    return status != 200 and answer["error"]["name"] == "AGENT_LEAVING"
