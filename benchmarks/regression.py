"""Simulates a fixed list of days and compares the results with the kept values.

    python -m benchmarks.regression --bench PROGRAM --sites FOLDER [--why TEXT]
        [--only WORD] [--repeats 1] [--keep]

PROGRAM is the simulator. ``benchmarks/regression.json`` lists the site, day and seed of
each run, the noise, and the values that were kept with the last merged change. A value
has fallen only if it is lower than the kept one by more than the noise. A run whose
value has fallen is repeated ``--repeats`` times, and the mean counts. The exit status
is 1 if a rule was broken, a run gave no result, or a value has fallen. ``--keep``
writes the values of this execution to the file.
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from tabulate import tabulate

LIST_PATH = Path(__file__).with_suffix(".json")
# Time limit of a run in seconds: several times what the longest day takes on six cores.
RUN_TIMEOUT_S = 1_800


class DayRun(NamedTuple):
    """One run of the simulator: a day of a site.

    Parameters
    ----------
    site : str
        Name of the site file in the folder of the sites.
    day : str
    seed : int
    small : bool
        Whether the small variant of the day is simulated.
    """

    site: str
    day: str
    seed: int
    small: bool

    @property
    def name(self) -> str:
        """Name under which the value of the run is kept."""
        size = " small" if self.small else ""
        return f"{Path(self.site).stem} {self.day} {self.seed}{size}"


class Result(NamedTuple):
    """Result of one run.

    Parameters
    ----------
    value, served : float
        Value earned by the answers, and share of the requests that were answered.
    broken_rules : tuple of str
        Rules that were broken, or the reason for the missing result.
    """

    value: float
    served: float
    broken_rules: tuple[str, ...]


def read_result(report: dict[str, Any]) -> Result:
    """Return the result in a report of the simulator."""
    broken_rules = [*report["breaks"], *([report["fault"]] if report["fault"] else [])]
    return Result(report["G"], report["served"], tuple(broken_rules))


def compare_with_kept(
    kept_value: float | None, values: list[float], noise: float
) -> str:
    """Return how the mean value of a run and its repeats compares with the kept one."""
    value = statistics.fmean(values)
    if kept_value is None:
        return "new"
    if value < kept_value - noise:
        return "FELL"
    return "rose" if value > kept_value + noise else "same"


def simulate_day(program: str, sites_folder: Path, day_run: DayRun, why: str) -> Result:
    """Simulate one day with the simulator and return its result."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        ended = subprocess.run(
            [
                program,
                "run",
                str(sites_folder / day_run.site),
                day_run.day,
                "--seed",
                str(day_run.seed),
                *(["--small"] if day_run.small else []),
                "--report",
                report.name,
                "--why",
                why,
            ],
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )
        report_bytes = Path(report.name).read_bytes()
    if not report_bytes:
        last_line = (ended.stderr or ended.stdout).strip().splitlines()[-1:]
        return Result(0.0, 0.0, (f"no result: {''.join(last_line)}",))
    return read_result(json.loads(report_bytes))


def main() -> None:
    """Simulate the days of the list and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", type=Path, required=True)
    parser.add_argument("--why", default="regression run")
    parser.add_argument("--only", default="")
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    run_list = json.loads(LIST_PATH.read_text())
    kept_values: dict[str, float] = run_list["kept"]
    rows = []
    has_failed = False
    for day_run in (DayRun(**fields) for fields in run_list["plays"]):
        if args.only not in day_run.name:
            continue
        results = [simulate_day(args.bench, args.sites, day_run, args.why)]
        verdict = compare_with_kept(
            kept_values.get(day_run.name), [results[0].value], run_list["noise"]
        )
        if verdict == "FELL":
            results += [
                simulate_day(args.bench, args.sites, day_run, args.why)
                for _ in range(args.repeats)
            ]
            values = [result.value for result in results]
            verdict = compare_with_kept(
                kept_values[day_run.name], values, run_list["noise"]
            )
        broken_rules = sorted(
            {rule for result in results for rule in result.broken_rules}
        )
        has_failed |= verdict == "FELL" or bool(broken_rules)
        value = statistics.fmean(result.value for result in results)
        served = statistics.fmean(result.served for result in results)
        rows.append(
            [
                day_run.name,
                kept_values.get(day_run.name),
                value,
                served,
                verdict,
                " ".join(broken_rules),
            ]
        )
        if args.keep and not broken_rules:
            kept_values[day_run.name] = round(value, 3)
    headers = ["play", "kept", "worth", "served", "verdict", "broken"]
    print(tabulate(rows, headers=headers, floatfmt=".3f"))
    if args.keep:
        LIST_PATH.write_text(json.dumps(run_list, indent=2) + "\n")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
