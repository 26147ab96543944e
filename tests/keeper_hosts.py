"""Keepers with the programs of the deploy file, whose hosts lose their disks."""

from collections.abc import Sequence
from typing import Any

from soak.deployment import Deployment, Host

from .processes import wait_for

__all__ = ["KeeperHosts", "build_config", "build_hosts"]

# Number of the first host, which is the last byte of its address.
FIRST_NUMBER = 11
# Pause between two looks at the files of a keeper, in seconds.
FILE_POLL_S = 0.0005


def build_hosts(n_hosts: int, n_disks: int) -> list[Host]:
    """Return hosts with successive numbers, of which the first have disks."""
    return [
        Host(FIRST_NUMBER + index, has_disk=index < n_disks) for index in range(n_hosts)
    ]


def build_config(version: int) -> dict[str, Any]:
    """Return an operator's config with one route."""
    return {
        "version": version,
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


class KeeperHosts:
    """Hosts that each run a keeper; the first three are the seeds.

    Parameters
    ----------
    deployment : Deployment
    hosts : sequence of Host
    restarted : sequence of Host
        Hosts that start as after a restart, not as at the first start of all.
    """

    def __init__(
        self,
        deployment: Deployment,
        hosts: Sequence[Host],
        restarted: Sequence[Host] = (),
    ):
        self.deployment = deployment
        self.hosts = tuple(hosts)
        deployment.seeds = self.hosts[:3]
        for host in self.hosts:
            deployment.start("keeper", host, is_first_start=host not in restarted)

    def put_config(self, version: int, host: Host) -> None:
        """Send a config to one host until it is acknowledged."""
        wait_for(
            lambda: self.deployment.put_config(host, build_config(version)) == 200,
            f"acknowledgement of version {version}",
        )

    def read_version(self, host: Host) -> int | None:
        """Return the version of the config that a host answers; None if it has none."""
        return (self.deployment.read_config(host) or {}).get("version")

    def wait_for_version(self, version: int, host: Host) -> None:
        """Read the config at one host until it has a version."""
        wait_for(
            lambda: self.read_version(host) == version,
            f"version {version} at host {host.number}",
        )

    def read_log(self, host: Host) -> str:
        """Return the output of a host's keepers."""
        return self.deployment.get_log_path("keeper", host).read_text()

    def find_leader(self) -> Host:
        """Wait until a keeper leads and return the host of the newest leader."""
        return wait_for(self._find_newest_leader, "a leader")

    def _find_newest_leader(self) -> Host | None:
        terms = [
            (int(line.split(" term=")[1].split()[0]), host)
            for host in self.hosts
            for line in self.read_log(host).splitlines()
            if "event=leadership_won" in line
        ]
        return max(terms)[1] if terms else None

    def lose_disk(self, host: Host) -> None:
        """Kill a keeper and delete its files."""
        self.deployment.kill("keeper", host)
        self.deployment.wipe_disk(host)

    def start(self, host: Host) -> None:
        """Start a keeper again."""
        self.deployment.start("keeper", host)

    def wait_until_stored(self, host: Host, leader: Host) -> None:
        """Wait until a keeper that joins has stored the leader's log.

        Its files are read so often that the caller can act before the leader does.
        """
        wait_for(
            lambda: self._has_stored_log(host, leader),
            f"the log at host {host.number}",
            poll_s=FILE_POLL_S,
        )

    def _has_stored_log(self, host: Host, leader: Host) -> bool:
        n_bytes = self._count_log_bytes(host)
        if not n_bytes or n_bytes < self._count_log_bytes(leader):
            return False
        ballot = self.deployment.get_disk_path(host) / "ballot"
        # The last file that is written before the first entries are acknowledged.
        return b'"has_log":true' in ballot.read_bytes()

    def _count_log_bytes(self, host: Host) -> int:
        paths = self.deployment.get_disk_path(host).glob("*.log")
        return sum(path.stat().st_size for path in paths)

    def wait_until_voting(self, host: Host, n_chars: int) -> None:
        """Wait until a keeper logs that it votes, after a number of characters."""
        wait_for(
            lambda: "event=keeper_votes" in self.read_log(host)[n_chars:],
            f"host {host.number} among the voters",
        )

    def rejoin(self, host: Host) -> None:
        """Start a keeper that lost its disk and wait until it votes."""
        n_chars = len(self.read_log(host))
        self.start(host)
        self.wait_until_voting(host, n_chars)
