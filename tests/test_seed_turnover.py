"""Keepers, relays and new seeds, with the programs of the deploy file as processes."""

import unittest

from soak.deployment import Deployment, Host

from .processes import wait_for

KEEPERS = [Host(number, has_disk=True) for number in (11, 12, 13)]
RELAYS = [Host(number) for number in (14, 15, 16)]
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "safe",
            "timeoutMs": 1_000,
            "service": "desk",
        }
    ],
    "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 10}],
    "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304},
}


class SeedTurnoverTest(unittest.TestCase):
    """What still works after the seeds have become hosts without disks."""

    def setUp(self):
        self.deployment = self.enterContext(Deployment())
        self.deployment.seeds = tuple(KEEPERS)
        for host in (*KEEPERS, *RELAYS):
            self.deployment.start("keeper", host, is_first_start=True)
        self.wait_until_acknowledged(KEEPERS[0], CONFIG)

    def wait_until_acknowledged(self, host: Host, config: dict) -> None:
        """Send a config to one host until it is acknowledged."""
        wait_for(
            lambda: self.deployment.put_config(host, config) == 200,
            f"acknowledgement of version {config['version']}",
        )

    def wait_for_config(self, host: Host, version: int) -> None:
        """Read the config at one host until it has a version."""
        wait_for(
            lambda: (self.deployment.read_config(host) or {}).get("version") == version,
            f"version {version} at host {host.number}",
        )

    def restart_relays(self) -> None:
        """Restart all relays at once, so that none knows a keeper."""
        for host in RELAYS:
            self.deployment.kill("keeper", host)
        for host in RELAYS:
            self.deployment.start("keeper", host)

    def lose_disk(self, host: Host) -> None:
        """Restart a keeper with an empty disk and wait until it votes again."""
        log_path = self.deployment.get_log_path("keeper", host)
        self.deployment.kill("keeper", host)
        n_chars = len(log_path.read_text())
        self.deployment.wipe_disk(host)
        self.deployment.start("keeper", host)
        wait_for(
            lambda: "event=keeper_votes" in log_path.read_text()[n_chars:],
            f"host {host.number} among the voters",
        )

    # Guards against running keepers that go on with the seeds of their start.
    def test_relays_that_become_seeds(self):
        """New seeds without disks lead to the keepers after they restart together."""
        self.deployment.change_seeds(RELAYS)
        self.restart_relays()
        for host in RELAYS:
            self.wait_for_config(host, 7)

    # Guards against an acknowledged config that is lost with the second of two disks.
    def test_disks_lost_after_turnover(self):
        """Keepers that lose their disks join again, so a second loss is borne."""
        self.deployment.change_seeds(RELAYS)
        self.restart_relays()
        for host in KEEPERS[:2]:
            self.lose_disk(host)
        self.wait_for_config(KEEPERS[2], 7)
        self.wait_until_acknowledged(RELAYS[0], {**CONFIG, "version": 8})

    # Guards against a keeper without its disk that waits for seeds which are down.
    def test_disk_lost_while_seeds_are_down(self):
        """A keeper that lost its disk joins again while no seed answers."""
        self.deployment.change_seeds(RELAYS)
        for host in RELAYS:
            self.deployment.kill("keeper", host)
        for host in KEEPERS[:2]:
            self.lose_disk(host)
        self.wait_for_config(KEEPERS[2], 7)
