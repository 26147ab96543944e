"""The stand-ins behave as the systems outside do."""

import unittest
from typing import Any

import anyio
import httpcore
import orjson

from cowslipwood.standins.engine import EngineConfig, StandinEngine, expected_text
from cowslipwood.standins.platform import StandinPlatform
from cowslipwood.standins.service import StandinService
from cowslipwood.standins.store import StandinStore, StoreConfig

from .builders import call_value, order_value
from .served import Client, serving, until


def _text(body: bytes) -> str:
    events = body.decode().strip().split("\n\n")
    values = [orjson.loads(e.removeprefix("data: ")) for e in events[:-1]]
    return "".join(value["text"] for value in values)


class TestEngine(unittest.TestCase):
    """The stand-in engine over HTTP."""

    def _with_engine(self, config: EngineConfig, check: Any) -> None:
        async def run() -> None:
            async with serving(StandinEngine(config)) as client:
                await client.call("POST", "/engine/orders", order_value("m1"))
                await check(client)

        anyio.run(run)

    def test_answer_resumes(self):
        """A stream with tokens already delivered holds only the rest."""

        async def check(client: Client) -> None:
            _, whole = await client.call("POST", "/v1/completions", call_value())
            _, rest = await client.call(
                "POST", "/v1/completions", call_value(resume_tokens=3)
            )
            self.assertEqual(_text(whole), expected_text("bread for 9", 4))
            self.assertEqual(_text(rest), "bread ")

        self._with_engine(EngineConfig(load_ms=1), check)

    def test_high_water_counts_what_was_asked(self):
        """A load that does not fit is refused and shows in the high-water mark."""

        async def check(client: Client) -> None:
            order = order_value("m2", memory_bytes=500)
            status, answer = await client.call("POST", "/engine/orders", order)
            state = (await client.call("GET", "/engine/state"))[1]
            self.assertEqual((status, answer["reason"]), (409, "memory"))
            self.assertEqual(state["high_water_bytes"], 1_500)

        self._with_engine(EngineConfig(capacity_bytes=1_400, load_ms=1), check)

    def test_fencing(self):
        """An old fencing number is refused where numbers are checked, else run."""
        for checks_fence, wanted in ((True, 409), (False, 200)):
            with self.subTest(checks_fence=checks_fence):

                async def check(client: Client, wanted: int = wanted) -> None:
                    new = order_value("m2", fence=5)
                    old = order_value("m3", fence=4)
                    await client.call("POST", "/engine/orders", new)
                    status, _ = await client.call("POST", "/engine/orders", old)
                    self.assertEqual(status, wanted)

                config = EngineConfig(load_ms=1, checks_fence=checks_fence)
                self._with_engine(config, check)

    def test_hang_up_cancels(self):
        """A caller that hangs up frees its place and its KV cache."""

        async def check(client: Client) -> None:
            ask = call_value(max_tokens=100_000)
            async with client.stream("/v1/completions", ask) as response:
                await anext(response.aiter_stream())
            await until(lambda: _counted(client, "n_cancelled"), "the cancel")
            state = (await client.call("GET", "/engine/state"))[1]
            self.assertEqual((state["kv_bytes"], state["n_in_flight"]), (0, 0))

        self._with_engine(EngineConfig(load_ms=1), check)

    def test_cancel_order_breaks_the_stream(self):
        """A cancelled stream never looks finished."""

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

        self._with_engine(EngineConfig(load_ms=1), check)

    def test_priorities(self):
        """A full batch lets the lowest number in first."""

        async def check(client: Client) -> None:
            ended: list[int] = []

            async def ask(priority: int, max_tokens: int) -> None:
                body = call_value(priority=priority, max_tokens=max_tokens)
                await client.call("POST", "/v1/completions", body)
                ended.append(priority)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, 9, 200)
                await until(lambda: _counted(client, "n_in_flight", 1), "one")
                tasks.start_soon(ask, 2, 1)
                await until(lambda: _counted(client, "n_in_flight", 2), "two")
                tasks.start_soon(ask, 0, 1)
            self.assertEqual(ended, [9, 0, 2])

        self._with_engine(EngineConfig(load_ms=1, max_running=1), check)

    def test_lost_and_delayed_orders(self):
        """A lost order is not run; a delayed one is, after its sender gave up."""

        async def check(client: Client) -> None:
            fault = {"lose_orders": 1, "delay_orders": 1, "delay_ms": 100}
            await client.call("POST", "/standin/fault", fault)
            for model in ("m2", "m3"):
                with anyio.move_on_after(0.05):
                    await client.call("POST", "/engine/orders", order_value(model))
            await until(lambda: _holds(client, "m3"), "the delayed order")
            self.assertFalse(await _holds(client, "m2"))

        self._with_engine(EngineConfig(load_ms=1), check)

    def test_stream_fails_on_command(self):
        """A stream that fails after some tokens breaks off."""

        async def check(client: Client) -> None:
            fault = {"fail_streams": 1, "fail_after_tokens": 2}
            await client.call("POST", "/standin/fault", fault)
            with self.assertRaises(httpcore.RemoteProtocolError):
                await client.call("POST", "/v1/completions", call_value())
            status, _ = await client.call("POST", "/v1/completions", call_value())
            self.assertEqual(status, 200)

        self._with_engine(EngineConfig(load_ms=1), check)


async def _counted(client: Client, name: str, at_least: int = 1) -> bool:
    return (await client.call("GET", "/standin/state"))[1][name] >= at_least


async def _holds(client: Client, model: str) -> bool:
    state = (await client.call("GET", "/engine/state"))[1]
    return any(held["name"] == model for held in state["models"])


class TestOthers(unittest.TestCase):
    """The stand-in store, platform and service."""

    def test_store_holds_its_rate(self):
        """Loads beyond the rate wait, and no more run at once than have begun."""

        async def run() -> None:
            config = StoreConfig(loads_per_s=100, full_speed_loads=1, fetch_ms=1)
            async with serving(StandinStore(config)) as client:
                async with anyio.create_task_group() as tasks:
                    for _ in range(3):
                        tasks.start_soon(client.call, "GET", "/weights/m1")
                state = (await client.call("GET", "/standin/state"))[1]
                self.assertEqual((state["n_loads"], state["n_waited"]), (3, 2))

        anyio.run(run)

    def test_platform_lags(self):
        """A change shows only after the lag."""

        async def run() -> None:
            hosts = [{"server_id": "s1", "state": "leaving"}]
            for lag_ms, wanted in ((0, hosts), (1e9, [])):
                async with serving(StandinPlatform(lag_ms)) as client:
                    await client.call("POST", "/standin/hosts", hosts)
                    self.assertEqual((await client.call("GET", "/hosts"))[1], wanted)

        anyio.run(run)

    def test_service_counts_runs(self):
        """Each run counts, and a body that is run twice shows."""

        async def run() -> None:
            async with serving(StandinService(1.0)) as client:
                answers = [
                    (await client.call("POST", "/x", {"round": n}))[1]
                    for n in (7, 8, 7)
                ]
                state = (await client.call("GET", "/standin/state"))[1]
            self.assertEqual(answers[2], {"run_count": 3, "request": {"round": 7}})
            self.assertEqual(state["n_repeated_bodies"], 1)

        anyio.run(run)
