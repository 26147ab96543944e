"""Keepers whose processes end before their log exists, as processes."""

import unittest

from soak.deployment import Deployment, Host

from .processes import wait_for
from .test_seed_turnover import CONFIG, KEEPERS


def wait_until_acknowledged(deployment: Deployment, host: Host) -> None:
    """Send a config to one host until it is acknowledged."""
    wait_for(lambda: deployment.put_config(host, CONFIG) == 200, "acknowledgement")


class InterruptedFormationTest(unittest.TestCase):
    """First starts in which a seed is restarted before it has stored anything.

    The restarted process is told that the system has started before.
    """

    def start(self, restarted: list[Host]) -> Deployment:
        """Start the seeds, some of them as after a restart."""
        deployment = self.enterContext(Deployment())
        deployment.seeds = tuple(KEEPERS)
        for host in KEEPERS:
            deployment.start("keeper", host, is_first_start=host not in restarted)
        return deployment

    # A seed that was killed once at the first start kept the log from ever beginning.
    def test_each_seed(self):
        """The log begins whichever seed was restarted, and has all three as voters."""
        for host in KEEPERS:
            with self.subTest(host=host.number):
                deployment = self.start([host])
                wait_until_acknowledged(deployment, host)
                log_path = deployment.get_log_path("keeper", host)
                text = log_path.read_text()
                self.assertNotIn("event=log_begun", text)

    def test_two_seeds(self):
        """The only seed that knows the others begins the log."""
        deployment = self.start(KEEPERS[:2])
        wait_until_acknowledged(deployment, KEEPERS[0])
        text = deployment.get_log_path("keeper", KEEPERS[2]).read_text()
        self.assertIn("event=log_begun members=3", text)
