"""One host of three loses its disk, comes back empty, and loses it once more while it
rejoins the others: can the acknowledged config still be read?"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib3 import deployment as d
from lib3 import http1

# Time from the moment at which the host has stored what the others sent it until its
# second loss; by then it has acknowledged that.
SECOND_LOSS_S = float(os.environ.get("SECOND_LOSS_S", "0.003"))
# Time for which the host is down after each loss.
DOWN_S = 1.0
# The operator reads for at least `contactMs` (3 s); here for much longer, and begins
# only long after `catchUpS` (4 s).
SETTLE_S = 10.0
READ_S = 20.0


def make_config(version: int) -> dict:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-lectura",
                "host": "padron.example",
                "pathPrefix": "/lectura/",
                "kind": "safe",
                "timeoutMs": 1000 + version,
                "targetLatencyMs": 200,
                "priority": 2,
                "service": "padron",
                "maxAttempts": 2,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [
            {
                "name": "padron",
                "healthPath": "/health",
                "maxConnections": 130,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def read_config(dep: d.Deployment, host: int) -> tuple[int | None, int | None]:
    ip = dep.ip(host)
    answer = await http1.request(
        ip, d.OPERATORS_PORT, "GET", "/cowslipwood/config", {"Host": ip}, timeout_s=1.0
    )
    version = None
    if answer.status == 200 and answer.is_complete:
        version = json.loads(answer.body)["version"]
    return answer.status, version


def find_leader(dep: d.Deployment) -> int:
    """Return the host whose keeper won the newest term, by the logs."""
    newest, leader = -1, 0
    for host in dep.hosts:
        for line in dep.read_log("keeper", host).splitlines():
            if "leadership_won" in line:
                term = int(line.split(" term=")[1].split()[0])
                if term > newest:
                    newest, leader = term, host
    if not leader:
        raise d.CannotRunError("no leader")
    return leader


def count_log_bytes(dep: d.Deployment, host: int) -> int:
    """Return the size of the log in a keeper's folder."""
    folder = dep.folder / f"disk-{host}"
    return sum(path.stat().st_size for path in folder.glob("*.log"))


def has_stored_log(dep: d.Deployment, host: int, leader: int) -> bool:
    """Return whether a keeper has stored the whole log of the leader."""
    n_bytes = count_log_bytes(dep, host)
    if not n_bytes or n_bytes < count_log_bytes(dep, leader):
        return False
    # The last file that a keeper writes before it answers for its first entries.
    ballot = dep.folder / f"disk-{host}" / "ballot"
    return b'"has_log":true' in ballot.read_bytes()


def lose_disk(dep: d.Deployment, host: int) -> None:
    dep.kill("keeper", host)
    dep.wipe(host)


async def flap(dep: d.Deployment, host: int, for_s: float) -> None:
    """Lose the disk of a host again and again, at random times after its return."""
    rng = random.Random()
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        await asyncio.sleep(rng.uniform(0.4, 0.8))
        lose_disk(dep, host)
        await asyncio.sleep(0.3)
        dep.start("keeper", host)


async def case(dep: d.Deployment, platform: d.PlatformList) -> bool:
    await platform.start(dep.ip(1))
    dep.start_all()
    for version in (3, 8):
        await dep.put_config(make_config(version))
    await asyncio.sleep(5.0)
    leader = find_leader(dep)
    lost = next(host for host in dep.hosts if host != leader)
    dep.record.write(f"host {leader} leads; host {lost} is to lose its disk")
    if d.has_trouble():
        lose_disk(dep, lost)
        await asyncio.sleep(DOWN_S)
        dep.start("keeper", lost)
    if d.has_trouble() and os.environ.get("FLAP_S"):
        await flap(dep, lost, float(os.environ["FLAP_S"]))
    elif d.has_trouble() and not os.environ.get("ONE_LOSS"):
        until_s = time.monotonic() + 8
        while not has_stored_log(dep, lost, leader):
            if time.monotonic() > until_s:
                raise d.CannotRunError("the host was not taken back")
            await asyncio.sleep(0.0005)
        await asyncio.sleep(SECOND_LOSS_S)
        lose_disk(dep, lost)
        await asyncio.sleep(DOWN_S)
        dep.start("keeper", lost)
    await asyncio.sleep(SETTLE_S)
    if os.environ.get("RESTART"):
        for host in dep.hosts:
            dep.kill("keeper", host)
            dep.start("keeper", host)
        await asyncio.sleep(SETTLE_S)
    for role, host in ((r, h) for r in ("keeper", "entry") for h in dep.hosts):
        if dep.has_ended(role, host):
            dep.record.write(f"{role} on host {host} has ended by itself")
    got: list[int] = []
    until_s = time.monotonic() + READ_S
    n_reads = 0
    while time.monotonic() < until_s:
        for host in dep.hosts:
            status, version = await read_config(dep, host)
            n_reads += 1
            dep.record.write(f"read at host {host}: status {status}, version {version}")
            if version is not None:
                got.append(version)
        await asyncio.sleep(0.5)
    for host in dep.hosts:
        for line in dep.read_log("keeper", host).splitlines():
            if "member" in line or "leadership" in line:
                dep.record.write(f"log of keeper {host}: {line[:230]}")
    dep.record.write(
        f"{n_reads} reads, {len(got)} answered, versions {sorted(set(got))}"
    )
    return not got or max(got) < 8


d.run_case(FOLDER, case)
