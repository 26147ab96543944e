"""Keepers whose processes end before their log exists, as processes."""

import unittest

from soak.deployment import Deployment, Host

from .keeper_hosts import KeeperHosts, build_hosts

KEEPERS = build_hosts(3, n_disks=3)


class InterruptedFormationTest(unittest.TestCase):
    """First starts in which a seed is restarted before it has stored anything.

    The restarted process is told that the system has started before.
    """

    def start(self, restarted: list[Host]) -> KeeperHosts:
        """Start the seeds, some of them as after a restart."""
        deployment = self.enterContext(Deployment())
        return KeeperHosts(deployment, KEEPERS, restarted)

    # A seed that was killed once at the first start kept the log from ever beginning.
    def test_each_seed(self):
        """The log begins whichever seed was restarted, and has all three as voters."""
        for host in KEEPERS:
            with self.subTest(host=host.number):
                keepers = self.start([host])
                keepers.put_config(7, host)
                self.assertNotIn("event=log_begun", keepers.read_log(host))

    def test_two_seeds(self):
        """The only seed that knows the others begins the log."""
        keepers = self.start(KEEPERS[:2])
        keepers.put_config(7, KEEPERS[0])
        text = keepers.read_log(KEEPERS[2])
        self.assertIn("event=log_begun members=3", text)
