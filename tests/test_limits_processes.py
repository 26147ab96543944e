"""Limits and streams between entries' links, a keeper process and an operator."""

import json
import math
import unittest
from typing import Any

import anyio

from cowslipwood.kernel.keeper_addresses import KeeperAddresses
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import (
    BegunStream,
    Hello,
    SendPermitRequest,
    ServerLimit,
    ServerLimits,
    StreamsBegun,
    StreamVersionRequest,
)
from cowslipwood.server_limits._ledger import UNORDERED_MS

from .agent_bench import TOKEN
from .processes import Cluster
from .served import wait_until

LIMIT = ServerLimit("s0", "1", 50.0, 10.0)


class LeaderTest(unittest.TestCase):
    """One keeper process and two entries' links."""

    def setUp(self):
        self.cluster = self.enterContext(Cluster())
        self.cluster.start_keeper()
        self.received: dict[str, list[ServerLimits]] = {"e1": [], "e2": []}

    def _build_link(self, entry_id: str) -> KeeperLink:
        async def keep(value: Any) -> None:
            if isinstance(value, ServerLimits):
                self.received[entry_id].append(value)

        hello = Hello("entry", entry_id, "1", "z", TOKEN)
        return KeeperLink(KeeperAddresses.parse(self.cluster.keepers), hello, keep)

    def _list_limited(self) -> list[dict[str, Any]]:
        completed = self.cluster.ctl("limited-servers", "--json")
        return json.loads(completed.stdout)

    def _run(self, act: Any) -> None:
        async def main() -> None:
            links = {name: self._build_link(name) for name in self.received}
            async with anyio.create_task_group() as tasks:
                for link in links.values():
                    tasks.start_soon(link.run)
                await wait_until(
                    lambda: all(link.is_connected for link in links.values()),
                    "the connections",
                )
                await act(links["e1"], links["e2"])
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_limit_reaches_entries_and_operators(self):
        """Other entries get a limit and its end; permits are granted under it."""

        async def act(first: KeeperLink, second: KeeperLink) -> None:
            await first.send(ServerLimits((LIMIT,)))
            await wait_until(lambda: self.received["e2"], "the limit")
            self.assertEqual(self.received["e2"][0].limits[0].rate_per_s, 50.0)
            request = SendPermitRequest(LIMIT, 1, 5)

            async def is_granted() -> bool:
                reply = await second.request(request, 1_000.0)
                return reply.unwrap().n_granted == 1

            await wait_until(is_granted, "a permit")
            listed = await anyio.to_thread.run_sync(self._list_limited)
            self.assertEqual(
                [(item["server"], item["requests_per_s"]) for item in listed],
                [("s0", 50.0)],
            )
            # Of two statements within this time, the leader keeps the lower limit.
            await anyio.sleep(UNORDERED_MS / 1000)
            ended = LIMIT._replace(rate_per_s=math.inf, age_ms=0.0)
            await first.send(ServerLimits((ended,)))
            await wait_until(
                lambda: math.isinf(self.received["e2"][-1].limits[0].rate_per_s),
                "the end of the limit",
            )
            listed = await anyio.to_thread.run_sync(self._list_limited)
            self.assertEqual(listed, [])

        self._run(act)

    def test_stream_of_another_entry(self):
        """The leader knows a stream that another entry reported, and no other."""

        async def act(first: KeeperLink, second: KeeperLink) -> None:
            await first.send(StreamsBegun((BegunStream("desk", "a1", "v2"),)))
            for request_id, expected in (("a1", ("v2", True)), ("a2", ("", False))):
                request = StreamVersionRequest("desk", request_id)

                async def is_answered(
                    request: Any = request, expected: Any = expected
                ) -> bool:
                    reply = await second.request(request, 1_000.0)
                    return tuple(reply.unwrap()) == expected

                await wait_until(is_answered, f"the answer for {request_id}")

        self._run(act)
