"""Evidence of ended servers between entries, a keeper process and an operator."""

import json
import unittest
from typing import Any

import anyio

from cowslipwood.kernel.keeper_addresses import KeeperAddresses
from cowslipwood.kernel.keeper_link import KeeperLink
from cowslipwood.kernel.messages import CrashEvidence, Hello, ServerEnd

from .agent_bench import TOKEN
from .processes import Cluster
from .served import wait_until

ENDS = tuple(ServerEnd(f"s{i}@1", ("a",), (), 10.0) for i in range(2))


class CrashEvidenceTest(unittest.TestCase):
    """One keeper process, two entries' links and an operator."""

    def setUp(self):
        self.cluster = self.enterContext(Cluster())
        self.cluster.start_keeper()

    def _list_blocked(self) -> list[str]:
        completed = self.cluster.ctl("blocked-parts", "--json")
        return [item["part"] for item in json.loads(completed.stdout)]

    def _build_link(self, entry_id: str, received: list[CrashEvidence]) -> KeeperLink:
        async def keep(value: Any) -> None:
            if isinstance(value, CrashEvidence):
                received.append(value)

        hello = Hello("entry", entry_id, "1", "z", TOKEN)
        return KeeperLink(KeeperAddresses.parse(self.cluster.keepers), hello, keep)

    def test_evidence_reaches_entries_and_operators(self):
        """Other entries get evidence, later ones too; an operator can lift a block."""

        async def main() -> None:
            received: dict[str, list[CrashEvidence]] = {"e1": [], "e2": [], "e3": []}
            links = {name: self._build_link(name, received[name]) for name in received}
            async with anyio.create_task_group() as tasks:
                for name in ("e1", "e2"):
                    tasks.start_soon(links[name].run)
                await wait_until(
                    lambda: links["e1"].is_connected and links["e2"].is_connected,
                    "the connections",
                )
                await links["e1"].send(CrashEvidence(ENDS, ()))
                await wait_until(lambda: received["e2"], "evidence at the other entry")
                ended = [end.server_id for end in received["e2"][0].ends]
                self.assertEqual(ended, ["s0@1", "s1@1"])
                self.assertEqual(
                    await anyio.to_thread.run_sync(self._list_blocked), ["a"]
                )
                lifted = await anyio.to_thread.run_sync(
                    self.cluster.ctl, "allow-part", "a"
                )
                self.assertEqual(lifted.returncode, 0, lifted.stderr)
                await wait_until(
                    lambda: received["e2"][-1].cleared_parts == ("a",), "the lifting"
                )
                blocked = await anyio.to_thread.run_sync(self._list_blocked)
                self.assertEqual(blocked, [])
                tasks.start_soon(links["e3"].run)
                await wait_until(lambda: received["e3"], "evidence at a later entry")
                self.assertEqual(len(received["e3"][0].ends), 2)
                tasks.cancel_scope.cancel()

        anyio.run(main)
