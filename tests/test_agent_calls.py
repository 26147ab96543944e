"""Calls through an agent process: admission, cut answers, cancelling, draining."""

import signal
import unittest
from typing import Any

import anyio
import httpcore

from cowslipwood.kernel.messages import DesiredModel
from cowslipwood.standins.engine import EngineConfig

from .agent_bench import AgentHarness, run_agent_harness
from .builders import call_value
from .served import wait_until

# Engine that runs four calls at full speed, so that few calls overload it.
SMALL = EngineConfig(load_ms=1, knee_in_flight=4)
BASE = DesiredModel("m1", "1", "model", "", 1_000)


def run_check(check: Any, config: EngineConfig = SMALL, *flags: str) -> None:
    """Run a check with an agent whose engine has the model `BASE` ready."""

    async def main() -> None:
        async with run_agent_harness(config, *flags) as harness:
            await harness.keeper.assign(1, 1, BASE)
            await wait_until(lambda: harness.keeper.is_ready("m1"), "the model")
            await check(harness)

    anyio.run(main)


class TestRefusals(unittest.TestCase):
    """Calls that the agent refuses as not run."""

    def test_invalid_calls(self):
        """Each invalid call is refused with its code and does not reach the engine."""
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

        async def check(harness: AgentHarness) -> None:
            for body, headers, code_name in cases:
                with self.subTest(body=body, headers=headers):
                    _, answer = await harness.send_call(body, **headers)
                    self.assertEqual(answer["error"]["name"], code_name)
                    self.assertEqual(answer["error"]["outcome"], "not-run")
            orders = {"order_id": "x", "op": "unload", "model": "m1"}
            status, _ = await harness.client.call(
                "POST", "/engine/orders", orders, **harness.make_headers()
            )
            self.assertEqual(status, 404)
            self.assertEqual(harness.engine.counts["n_started"], 0)

        run_check(check)

    def test_deadline_passed_during_a_pause(self):
        """A call is not run when its deadline passed while the agent was paused.

        The call waits in the host's buffers during the pause, so the agent reads it
        only afterwards.
        """

        async def check(harness: AgentHarness) -> None:
            answers = []

            async def send_one_call() -> None:
                answers.append(
                    await harness.send_call(call_value(), x_deadline_ms="400")
                )

            harness.send_signal(signal.SIGSTOP)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_one_call)
                await anyio.sleep(1.0)
                harness.send_signal(signal.SIGCONT)
            self.assertEqual(answers[0][1]["error"]["name"], "DEADLINE_PASSED")
            self.assertEqual(harness.engine.counts["n_started"], 0)

        run_check(check)

    def test_overload_is_refused(self):
        """Under overload, calls start before their deadline or are refused as not run.

        A refusal for overload says when to retry. The calls before the overload give
        the agent samples of the time that a call takes.
        """
        n_calls = 60

        async def check(harness: AgentHarness) -> None:
            for _ in range(4):
                await harness.send_call(call_value(max_tokens=20))
            answers: list[tuple[int, Any]] = []

            async def send_one_call() -> None:
                body = call_value(max_tokens=20)
                answers.append(await harness.send_call(body, x_deadline_ms="100"))

            async with anyio.create_task_group() as tasks:
                for _ in range(n_calls):
                    tasks.start_soon(send_one_call)
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
            n_run = harness.engine.counts["n_started"]
            self.assertEqual(n_run, 4 + n_calls - len(refused))

        run_check(check, SMALL._replace(between_tokens_ms=2.0))


class TestAnswers(unittest.TestCase):
    """Answers that end early, callers that disconnect, and KV cache of calls."""

    def test_cut_answer_is_broken(self):
        """An answer that the engine breaks off does not look complete to the caller."""

        async def check(harness: AgentHarness) -> None:
            harness.engine.faults.set_faults(
                {"fail_streams": 1, "fail_after_tokens": 2}
            )
            with self.assertRaises(httpcore.RemoteProtocolError):
                await harness.send_call(call_value())
            self.assertEqual((await harness.send_call(call_value()))[0], 200)

        run_check(check)

    def test_disconnect_cancels_at_the_engine(self):
        """A caller that disconnects frees the slot and the KV cache of its call."""

        async def check(harness: AgentHarness) -> None:
            async with harness.open_stream(call_value(max_tokens=100_000)) as response:
                await anext(response.aiter_stream())
            await wait_until(
                lambda: harness.engine.counts["n_cancelled"] == 1, "the cancelled call"
            )
            await wait_until(
                lambda: harness.keeper.report.n_in_flight == 0, "a report without calls"
            )
            self.assertEqual(harness.engine.committed_bytes, BASE.memory_bytes)

        run_check(check)

    def test_kv_cache_stays_within_capacity(self):
        """Calls wait while there is no memory for their KV cache."""
        capacity = 40_000
        config = SMALL._replace(capacity_bytes=capacity, knee_in_flight=64)

        async def check(harness: AgentHarness) -> None:
            statuses: list[int] = []

            async def send_one_call() -> None:
                statuses.append((await harness.send_call(call_value(max_tokens=4)))[0])

            async with anyio.create_task_group() as tasks:
                for _ in range(30):
                    tasks.start_soon(send_one_call)
            self.assertEqual(set(statuses), {200})
            self.assertLessEqual(harness.engine.high_water_bytes, capacity)

        run_check(check, config)


class TestPlannedStops(unittest.TestCase):
    """Planned stops finish the open calls and refuse new ones."""

    def test_sigterm_during_streams(self):
        """Open streams are completed, new calls are refused, then the agent ends."""

        async def check(harness: AgentHarness) -> None:
            bodies: list[bytes] = []

            async def send_one_call() -> None:
                bodies.append((await harness.send_call(call_value(max_tokens=300)))[1])

            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(send_one_call)
                await wait_until(
                    lambda: harness.engine.counts["n_started"] >= 4, "open streams"
                )
                harness.send_signal(signal.SIGTERM)
                await wait_until(
                    lambda: harness.keeper.report.leaving,
                    "the report that the agent is leaving",
                )
                _, answer = await harness.send_call(call_value())
                self.assertEqual(answer["error"]["name"], "AGENT_LEAVING")
                status, _ = await harness.client.call("GET", "/readyz")
                self.assertEqual(status, 503)
            await wait_until(
                lambda: harness.process.poll() is not None,
                "the end of the agent's process",
            )
            self.assertEqual(harness.process.returncode, 0)
            self.assertTrue(all(body.endswith(b"data: [DONE]\n\n") for body in bodies))
            self.assertEqual(harness.engine.counts["n_finished"], 8)

        run_check(check)

    def test_drained_server_refuses_new_calls(self):
        """With a drained assignment, new calls are refused and open ones completed."""

        async def check(harness: AgentHarness) -> None:
            async with harness.open_stream(call_value(max_tokens=300)) as response:
                stream = response.aiter_stream()
                await anext(stream)
                await harness.keeper.assign(1, 2, BASE, drained=True)
                await wait_until(lambda: _is_refused_as_leaving(harness), "the refusal")
                rest = b"".join([chunk async for chunk in stream])
            self.assertTrue(rest.endswith(b"data: [DONE]\n\n"))

        run_check(check)

    def test_unload_waits_for_open_calls(self):
        """A model is unloaded after its last call; new calls are refused at once."""

        async def check(harness: AgentHarness) -> None:
            async with harness.open_stream(call_value(max_tokens=300)) as response:
                stream = response.aiter_stream()
                await anext(stream)
                await harness.keeper.assign(1, 2)
                await wait_until(
                    lambda: not harness.keeper.is_ready("m1"), "m1 not ready"
                )
                _, answer = await harness.send_call(call_value())
                self.assertEqual(answer["error"]["name"], "MODEL_NOT_READY")
                rest = b"".join([chunk async for chunk in stream])
            self.assertTrue(rest.endswith(b"data: [DONE]\n\n"))
            await wait_until(
                lambda: not harness.keeper.get_model_states(), "the unload"
            )

        run_check(check)


async def _is_refused_as_leaving(harness: AgentHarness) -> bool:
    status, answer = await harness.send_call(call_value(max_tokens=1))
    return status != 200 and answer["error"]["name"] == "AGENT_LEAVING"
