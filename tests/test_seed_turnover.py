"""Keepers, relays and new seeds, with the programs of the deploy file as processes."""

import unittest

from soak.deployment import Deployment, Host

from .keeper_hosts import KeeperHosts, build_hosts

HOSTS = build_hosts(6, n_disks=3)
KEEPERS, RELAYS = HOSTS[:3], HOSTS[3:]


class SeedTurnoverTest(unittest.TestCase):
    """What still works after the seeds have become hosts without disks."""

    def setUp(self):
        self.deployment = self.enterContext(Deployment())
        self.keepers = KeeperHosts(self.deployment, HOSTS)
        self.keepers.put_config(7, KEEPERS[0])

    def restart_relays(self) -> None:
        """Restart all relays at once, so that none knows a keeper."""
        for host in RELAYS:
            self.deployment.kill("keeper", host)
        for host in RELAYS:
            self.deployment.start("keeper", host)

    def lose_disk(self, host: Host) -> None:
        """Restart a keeper with an empty disk and wait until it votes again."""
        self.keepers.lose_disk(host)
        self.keepers.rejoin(host)

    # Guards against running keepers that go on with the seeds of their start.
    def test_relays_that_become_seeds(self):
        """New seeds without disks lead to the keepers after they restart together."""
        self.deployment.change_seeds(RELAYS)
        self.restart_relays()
        for host in RELAYS:
            self.keepers.wait_for_version(7, host)

    # Guards against an acknowledged config that is lost with the second of two disks.
    def test_disks_lost_after_turnover(self):
        """Keepers that lose their disks join again, so a second loss is borne."""
        self.deployment.change_seeds(RELAYS)
        self.restart_relays()
        for host in KEEPERS[:2]:
            self.lose_disk(host)
        self.keepers.wait_for_version(7, KEEPERS[2])
        self.keepers.put_config(8, RELAYS[0])

    # Guards against a keeper without its disk that waits for seeds which are down.
    def test_disk_lost_while_seeds_are_down(self):
        """A keeper that lost its disk joins again while no seed answers."""
        self.deployment.change_seeds(RELAYS)
        for host in RELAYS:
            self.deployment.kill("keeper", host)
        for host in KEEPERS[:2]:
            self.lose_disk(host)
        self.keepers.wait_for_version(7, KEEPERS[2])
