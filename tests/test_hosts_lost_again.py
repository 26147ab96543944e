"""Hosts that lose their disks again before they vote, with the deployed programs."""

import random
import time
import unittest

from soak.deployment import Deployment, Host

from .keeper_hosts import KeeperHosts, build_hosts
from .processes import wait_for

# Time from the last file of a joining keeper to its first acknowledgement, in seconds.
ACKNOWLEDGED_AFTER_S = 0.003
# Losses of one host, and times in seconds for which it runs between them.
N_LOSSES = 8
RUNNING_S = (0.4, 0.8)


class LostAgainTest(unittest.TestCase):
    """Reads and writes of the config after hosts that were lost come back for good."""

    def start_hosts(self, n_hosts: int, n_losses: int) -> KeeperHosts:
        """Start keepers, wait until all vote, and acknowledge a config."""
        deployment = self.enterContext(Deployment(n_losses))
        hosts = build_hosts(n_hosts, n_disks=n_hosts)
        keepers = KeeperHosts(deployment, hosts)
        for host in hosts[3:]:
            keepers.wait_until_voting(host, 0)
        keepers.put_config(3, hosts[0])
        return keepers

    def assert_recovered(self, keepers: KeeperHosts, version: int) -> None:
        """Check that each host answers the newest config and that a next one counts."""
        for host in keepers.hosts:
            keepers.wait_for_version(version, host)
        keepers.put_config(version + 1, keepers.hosts[-1])

    def lose_again_and_again(
        self, keepers: KeeperHosts, hosts: list[Host], rng: random.Random
    ) -> int:
        """Lose hosts in turn, write configs in between; return the last version.

        Every second time they are lost once they have stored the log, else at random.
        """
        running = next(host for host in keepers.hosts if host not in hosts)
        for host in hosts:
            keepers.lose_disk(host)
        for number in range(N_LOSSES):
            for host in hosts:
                keepers.start(host)
                if number % 2:
                    keepers.put_config(10 + number, running)
                    time.sleep(rng.uniform(*RUNNING_S))
                else:
                    keepers.wait_until_stored(host, keepers.find_leader())
                    time.sleep(ACKNOWLEDGED_AFTER_S)
                keepers.lose_disk(host)
        for host in hosts:
            keepers.rejoin(host)
        return 10 + N_LOSSES - 1

    # Guards against a lost host whose loss while it rejoins leaves no quorum.
    def test_lost_again_before_it_votes(self):
        """A host of three is lost again once it has stored the log."""
        keepers = self.start_hosts(3, n_losses=1)
        leader = keepers.find_leader()
        lost = next(host for host in keepers.hosts if host != leader)
        for _ in range(2):
            keepers.lose_disk(lost)
            keepers.start(lost)
            keepers.wait_until_stored(lost, leader)
            time.sleep(ACKNOWLEDGED_AFTER_S)
        keepers.lose_disk(lost)
        keepers.rejoin(lost)
        self.assert_recovered(keepers, 3)

    # Guards against a host that is not taken back while a leader waits for an identity
    # that went with its disk; the loss of a second host then ended the log.
    def test_lost_again_before_it_answers(self):
        """A host is lost as it joins, then for good, and then another one is lost."""
        keepers = self.start_hosts(3, n_losses=1)
        leader = keepers.find_leader()
        lost, other = (host for host in keepers.hosts if host != leader)
        keepers.lose_disk(lost)
        n_chars = len(keepers.read_log(leader))
        keepers.start(lost)
        wait_for(
            lambda: "event=members_proposed" in keepers.read_log(leader)[n_chars:],
            "a leader that takes the host back",
            poll_s=0.0005,
        )
        keepers.lose_disk(lost)
        keepers.rejoin(lost)
        self.assertNotIn("is catching up", keepers.read_log(leader))
        keepers.lose_disk(other)
        keepers.rejoin(other)
        self.assert_recovered(keepers, 3)

    # Guards against a former leader whose further losses leave no quorum, and against
    # configs that are not accepted, or come back older, meanwhile.
    def test_leader_lost_again_and_again(self):
        """The leader's host of three is lost again and again at random moments."""
        keepers = self.start_hosts(3, n_losses=1)
        version = self.lose_again_and_again(
            keepers, [keepers.find_leader()], random.Random(1)
        )
        self.assert_recovered(keepers, version)

    # Guards against two hosts whose further losses leave no quorum, with an odd number
    # of voters and with an even one.
    def test_two_hosts_lost_again_and_again(self):
        """Two hosts of five or six, the leader's among them, are lost over and over."""
        for n_hosts in (5, 6):
            with self.subTest(n_hosts=n_hosts):
                keepers = self.start_hosts(n_hosts, n_losses=2)
                leader = keepers.find_leader()
                other = next(host for host in keepers.hosts if host != leader)
                version = self.lose_again_and_again(
                    keepers, [leader, other], random.Random(2)
                )
                self.assert_recovered(keepers, version)
