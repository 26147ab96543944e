"""The stand-ins behave like the external systems that they simulate."""

import unittest
from typing import Any

import anyio
import httpcore
import orjson

from cowslipwood.standins.engine import EngineConfig, StandinEngine, make_expected_text
from cowslipwood.standins.platform import StandinPlatform
from cowslipwood.standins.service import StandinService
from cowslipwood.standins.store import StandinStore, StoreConfig

from .builders import call_value, order_value
from .served import Client, run_http_server, wait_until


def _answer_text(body: bytes) -> str:
    """Return the text of a whole event stream, without its end mark."""
    events = body.decode().strip().split("\n\n")
    values = [orjson.loads(event.removeprefix("data: ")) for event in events[:-1]]
    return "".join(value["text"] for value in values)


class TestEngine(unittest.TestCase):
    """The stand-in engine over HTTP."""

    def _run_check(self, config: EngineConfig, check: Any) -> None:
        """Run a check with a client of an engine that holds the model m1."""

        async def run() -> None:
            async with run_http_server(StandinEngine(config)) as client:
                await client.call("POST", "/engine/orders", order_value("m1"))
                await check(client)

        anyio.run(run)

    def test_resumed_stream(self):
        """A resumed stream holds only the tokens that were not delivered before."""

        async def check(client: Client) -> None:
            _, whole = await client.call("POST", "/v1/completions", call_value())
            _, rest = await client.call(
                "POST", "/v1/completions", call_value(resume_tokens=3)
            )
            self.assertEqual(_answer_text(whole), make_expected_text("bread for 9", 4))
            self.assertEqual(_answer_text(rest), "bread ")

        self._run_check(EngineConfig(load_ms=1), check)

    def test_high_water_mark(self):
        """A load that does not fit is refused and counts in the high-water mark."""

        async def check(client: Client) -> None:
            order = order_value("m2", memory_bytes=500)
            status, answer = await client.call("POST", "/engine/orders", order)
            state = (await client.call("GET", "/engine/state"))[1]
            self.assertEqual((status, answer["reason"]), (409, "memory"))
            self.assertEqual(state["high_water_bytes"], 1_500)

        self._run_check(EngineConfig(capacity_bytes=1_400, load_ms=1), check)

    def test_fencing(self):
        """An old fencing number is refused only by an engine that checks numbers."""
        for checks_fence, expected_status in ((True, 409), (False, 200)):
            with self.subTest(checks_fence=checks_fence):

                async def check(
                    client: Client, expected_status: int = expected_status
                ) -> None:
                    new_order = order_value("m2", fence=5)
                    old_order = order_value("m3", fence=4)
                    await client.call("POST", "/engine/orders", new_order)
                    status, _ = await client.call("POST", "/engine/orders", old_order)
                    self.assertEqual(status, expected_status)

                config = EngineConfig(load_ms=1, checks_fence=checks_fence)
                self._run_check(config, check)

    def test_disconnect_cancels(self):
        """A caller that disconnects frees its slot in the batch and its KV cache."""

        async def check(client: Client) -> None:
            ask = call_value(max_tokens=100_000)
            async with client.stream("/v1/completions", ask) as response:
                await anext(response.aiter_stream())
            await wait_until(
                lambda: _has_counted(client, "n_cancelled"), "the cancellation"
            )
            state = (await client.call("GET", "/engine/state"))[1]
            self.assertEqual((state["kv_bytes"], state["n_in_flight"]), (0, 0))

        self._run_check(EngineConfig(load_ms=1), check)

    def test_cancelled_stream_is_incomplete(self):
        """A cancelled stream ends without its end mark, so it never looks complete."""

        async def check(client: Client) -> None:
            ask = call_value(max_tokens=100_000)
            with self.assertRaises(httpcore.RemoteProtocolError):
                async with client.stream(
                    "/v1/completions", ask, x_request_id="r1"
                ) as response:
                    stream = response.aiter_stream()
                    await anext(stream)
                    await client.call("POST", "/engine/cancel", {"request_id": "r1"})
                    async for _ in stream:
                        pass

        self._run_check(EngineConfig(load_ms=1), check)

    def test_priorities(self):
        """A full batch admits the lowest priority number first."""

        async def check(client: Client) -> None:
            ended_priorities: list[int] = []

            async def ask(priority: int, max_tokens: int) -> None:
                body = call_value(priority=priority, max_tokens=max_tokens)
                await client.call("POST", "/v1/completions", body)
                ended_priorities.append(priority)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, 9, 200)
                await wait_until(
                    lambda: _has_counted(client, "n_in_flight", 1), "one request"
                )
                tasks.start_soon(ask, 2, 1)
                await wait_until(
                    lambda: _has_counted(client, "n_in_flight", 2), "two requests"
                )
                tasks.start_soon(ask, 0, 1)
            self.assertEqual(ended_priorities, [9, 0, 2])

        self._run_check(EngineConfig(load_ms=1, max_running=1), check)

    def test_lost_and_delayed_orders(self):
        """A lost order never runs; a delayed one runs after its sender disconnected."""

        async def check(client: Client) -> None:
            fault = {"lose_orders": 1, "delay_orders": 1, "delay_ms": 100}
            await client.call("POST", "/standin/fault", fault)
            for model in ("m2", "m3"):
                with anyio.move_on_after(0.05):
                    await client.call("POST", "/engine/orders", order_value(model))
            await wait_until(lambda: _holds(client, "m3"), "the delayed order")
            self.assertFalse(await _holds(client, "m2"))

        self._run_check(EngineConfig(load_ms=1), check)

    def test_injected_stream_failure(self):
        """An injected failure closes the stream early; the next stream is complete."""

        async def check(client: Client) -> None:
            fault = {"fail_streams": 1, "fail_after_tokens": 2}
            await client.call("POST", "/standin/fault", fault)
            with self.assertRaises(httpcore.RemoteProtocolError):
                await client.call("POST", "/v1/completions", call_value())
            status, _ = await client.call("POST", "/v1/completions", call_value())
            self.assertEqual(status, 200)

        self._run_check(EngineConfig(load_ms=1), check)


async def _has_counted(client: Client, name: str, minimum: int = 1) -> bool:
    return (await client.call("GET", "/standin/state"))[1][name] >= minimum


async def _holds(client: Client, model: str) -> bool:
    state = (await client.call("GET", "/engine/state"))[1]
    return any(held_model["name"] == model for held_model in state["models"])


class TestOtherStandins(unittest.TestCase):
    """The stand-in store, platform and service over HTTP."""

    def test_store_limits_its_rate(self):
        """Loads beyond the rate wait."""

        async def run() -> None:
            config = StoreConfig(loads_per_s=100, full_speed_loads=1, fetch_ms=1)
            async with run_http_server(StandinStore(config)) as client:
                async with anyio.create_task_group() as tasks:
                    for _ in range(3):
                        tasks.start_soon(client.call, "GET", "/weights/m1")
                state = (await client.call("GET", "/standin/state"))[1]
                self.assertEqual((state["n_loads"], state["n_waited"]), (3, 2))

        anyio.run(run)

    def test_platform_lags(self):
        """A change of the list becomes visible only after the lag."""

        async def run() -> None:
            hosts = [{"server_id": "s1", "state": "leaving"}]
            for lag_ms, expected_hosts in ((0, hosts), (1e9, [])):
                async with run_http_server(StandinPlatform(lag_ms)) as client:
                    await client.call("POST", "/standin/hosts", hosts)
                    self.assertEqual(
                        (await client.call("GET", "/hosts"))[1], expected_hosts
                    )

        anyio.run(run)

    def test_service_counts_runs(self):
        """Each run is counted, and so is a body that was run twice."""

        async def run() -> None:
            async with run_http_server(StandinService(1.0)) as client:
                answers = [
                    (await client.call("POST", "/x", {"round": number}))[1]
                    for number in (7, 8, 7)
                ]
                state = (await client.call("GET", "/standin/state"))[1]
            self.assertEqual(answers[2], {"run_count": 3, "request": {"round": 7}})
            self.assertEqual(state["n_repeated_bodies"], 1)

        anyio.run(run)
