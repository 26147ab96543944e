"""Runs the load of a profile against separate processes, once for each set of policies.

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

from .installation import Installation, Policies, make_keeper_flags

LOG_LEVEL_ERROR = 40


def _run_load(
    installation: Installation, options: dict[str, str], out: Path, name: str
) -> None:
    """Run the load tool and print its output."""
    command = [
        sys.executable,
        "-c",
        "from cowslipwood.programs.load import main; main()",
        f"--entries={','.join(installation.entry_addrs)}",
        f"--daemons={','.join(installation.daemon_addrs)}",
        f"--out={out / name}.json",
        *(f"--{key}={value}" for key, value in options.items() if key != "fault"),
        *installation.make_fault_flags(options["fault"], float(options["duration-s"])),
    ]
    completed = subprocess.run(command, capture_output=True, text=True)
    print(f"\n== {name}\n{completed.stdout}{completed.stderr}", flush=True)


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
    """Run the load for each set of policies, each time with new processes.

    Parameters
    ----------
    profile : str
        direccion or brazos.
    scenario : str
        calm or burst.
    policies : str
        routing:placement:move_weight; several are separated by commas.
    rate_per_s : float
        Requests per second at calm demand; 0 means the rate of the profile.
    duration_s : float
        Time in which requests arrive, in seconds.
    seed : int
        Seed of catalogue, demand and arrivals.
    fault : str
        What is killed during the run: agent, server, entry, keeper or zone; empty for
        nothing.
    n_entries : int
        Number of entry processes.
    out : Path
        Folder for the JSON results of the runs.
    """
    configure_logs("experiment", LOG_LEVEL_ERROR)
    out.mkdir(parents=True, exist_ok=True)
    options = {
        "profile": profile,
        "scenario": scenario,
        "rate-per-s": str(rate_per_s),
        "duration-s": str(duration_s),
        "seed": str(seed),
        "fault": fault,
    }
    for policy_text in policies.split(","):
        run_policies = Policies(*(policy_text.split(":") + ["", ""])[:3])
        name_parts = filter(
            None, [profile, scenario, fault, *run_policies, f"seed{seed}"]
        )
        flags = make_keeper_flags(PROFILES[profile], run_policies)
        with KeeperCluster(*flags) as cluster:
            cluster.start_all()
            installation = Installation(cluster, PROFILES[profile], run_policies)
            installation.start(n_entries)
            installation.put_catalogue(seed)
            _run_load(installation, options, out, "-".join(name_parts))
            print(
                "resident MB:",
                json.dumps(installation.measure_resident_mb()),
                flush=True,
            )


if __name__ == "__main__":
    defopt.run(experiment)
