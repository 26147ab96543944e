"""Runs a profile's load against separate processes, once for each policy pair.

Example: ``python -m benchmarks.experiment --profile direccion --scenario burst
--policies power_of_samples:marginal_gain,random:static``.
"""

import json
import subprocess
import sys
from pathlib import Path

import defopt
from tests.keepers import KeeperCluster

from cowslipwood.kernel.logs import configure_logs
from cowslipwood.load import PROFILES

from .installation import Installation, Policies, keeper_flags

ERROR_LEVEL = 40


def _run_one(
    installation: Installation, options: dict[str, str], out: Path, name: str
) -> None:
    """Run the load tool and print its report."""
    command = [
        sys.executable,
        "-c",
        "from cowslipwood.programs.load import main; main()",
        f"--entries={','.join(installation.entries)}",
        f"--daemons={','.join(installation.daemons)}",
        f"--out={out / name}.json",
        *(f"--{key}={value}" for key, value in options.items() if key != "fault"),
        *installation.fault_flags(options["fault"], float(options["duration-s"])),
    ]
    ended = subprocess.run(command, capture_output=True, text=True)
    print(f"\n== {name}\n{ended.stdout}{ended.stderr}", flush=True)


def experiment(
    *,
    profile: str = "direccion",
    scenario: str = "burst",
    policies: str = "::",
    rate_per_s: float = 0.0,
    duration_s: float = 40.0,
    seed: int = 1,
    fault: str = "",
    n_entries: int = 2,
    out: Path = Path("results"),
) -> None:
    """Run a load for each pair of policies, each on fresh processes.

    Parameters
    ----------
    profile : str
        direccion or brazos.
    scenario : str
        calm or burst.
    policies : str
        routing:placement:move_weight, with commas between several.
    rate_per_s : float
        Requests a second at calm demand; 0 takes the profile's.
    duration_s : float
        Seconds of arrivals.
    seed : int
        Seed of catalogue, demand and arrivals.
    fault : str
        Empty, agent, server, entry, keeper or zone: killed within the run.
    n_entries : int
        Entry processes.
    out : Path
        Folder for the runs' JSON.
    """
    configure_logs("experiment", ERROR_LEVEL)
    out.mkdir(parents=True, exist_ok=True)
    options = {
        "profile": profile,
        "scenario": scenario,
        "rate-per-s": str(rate_per_s),
        "duration-s": str(duration_s),
        "seed": str(seed),
        "fault": fault,
    }
    for text in policies.split(","):
        chosen = Policies(*(text.split(":") + ["", ""])[:3])
        parts = filter(None, [profile, scenario, fault, *chosen, f"seed{seed}"])
        flags = keeper_flags(PROFILES[profile], chosen)
        with KeeperCluster(*flags) as cluster:
            cluster.start_all()
            installation = Installation(cluster, PROFILES[profile], chosen)
            installation.start(n_entries)
            installation.put_catalogue(seed)
            _run_one(installation, options, out, "-".join(parts))
            print("resident MB:", json.dumps(installation.resident_mb()), flush=True)


if __name__ == "__main__":
    defopt.run(experiment)
