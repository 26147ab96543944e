"""Three keepers as processes, killed, frozen and bereft of their disks."""

import unittest

from .builders import model_value
from .keepers import KeeperCluster
from .processes import wait_for


class TestLeaderLoss(unittest.TestCase):
    """The leader ends or stops without a word."""

    def test_killed_leader(self):
        """Accepted edits outlive a killed leader, also in its own restarted log."""
        with KeeperCluster() as cluster:
            first = cluster.start_all()
            cluster.put(model_value("m1"))
            cluster.kill(first)
            cluster.put(model_value("m2"))
            self.assertEqual(cluster.names(), {"m1", "m2"})
            cluster.start_one(first)
            wait_for(lambda: cluster.metric(first, "revision") == 2, "catching up")
