"""Connections that a replica keeps to other replicas and to relays."""

import unittest
from unittest import mock

import anyio

from cowslipwood.kernel.messages import Hello
from cowslipwood.replication import _peers

from .processes import DEFAULT_TIMEOUT_S

HELLO = Hello("keeper", "k1.a", "", "", "token")
MEMBER_ADDR, FORMER_ADDR = "127.0.0.1:1", "127.0.0.1:2"


class PeerLinksTest(unittest.TestCase):
    """Which connections are kept."""

    # Guards against connections that pile up with each change of the seeds.
    @mock.patch.object(_peers, "UNUSED_LINK_TIMEOUT_MS", 50)
    def test_unused_link_is_closed(self):
        """A connection ends once nobody asks for it; one in use is kept."""
        links = anyio.run(self.use_one_of_two)
        self.assertIs(links.pop(), links[0])
        self.assertIsNot(links[1], links[2])

    async def use_one_of_two(self) -> list[_peers.PeerLink]:
        """Return each link before, and after only that of the member was in use."""
        links = _peers.PeerLinks(HELLO)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(links.run)
            member, former = links.get_link(MEMBER_ADDR), links.get_link(FORMER_ADDR)
            with anyio.fail_after(DEFAULT_TIMEOUT_S):
                while FORMER_ADDR in links._links:
                    last = links.get_link(MEMBER_ADDR)
                    await anyio.sleep(0.01)
            new = links.get_link(FORMER_ADDR)
            tasks.cancel_scope.cancel()
        return [member, former, new, last]
