"""The demonstration that the README describes."""

import unittest

from .processes import Cluster, free_port


class TestDemo(unittest.TestCase):
    """``cowslip-solo`` with the flag ``--demo``."""

    def test_demo(self):
        """The demonstration gets every expected answer and exits with status 0."""
        with Cluster() as cluster:
            cluster.start(
                "solo",
                "solo",
                "--demo",
                f"--listen=127.0.0.1:{free_port()}",
                f"--keeper-listen=127.0.0.1:{free_port()}",
            )
            self.assertEqual(cluster.processes["solo"].wait(120), 0)
            self.assertIn("demonstration complete", cluster.log("solo"))
