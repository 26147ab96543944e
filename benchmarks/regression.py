"""Plays a fixed list of days and compares them with the figures that were kept.

    python -m benchmarks.regression --bench PROGRAM --sites FOLDER [--why TEXT]
        [--only WORD] [--repeats 1] [--keep]

``benchmarks/regression.json`` lists site, day and seed of each play, the noise
below which a fall counts as none, and the figures of the last landing. A play
whose figure fell is played ``--repeats`` times more before it counts. Exits with 1
where a rule broke, a play gave no result, or a figure fell by more than the noise.
``--keep`` writes the figures of this run to the file.
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

LIST = Path(__file__).with_suffix(".json")
# Several times what the longest day takes on six cores.
PLAY_TIMEOUT_S = 1_800


class Play(NamedTuple):
    """One day of one site.

    Parameters
    ----------
    site : str
        Site file below the sites' folder.
    day : str
    seed : int
    small : bool
        Whether the day's small twin is played.
    """

    site: str
    day: str
    seed: int
    small: bool

    @property
    def name(self) -> str:
        """The name under which its figures are kept."""
        size = " small" if self.small else ""
        return f"{Path(self.site).stem} {self.day} {self.seed}{size}"


class Figures(NamedTuple):
    """What one play gave.

    Parameters
    ----------
    worth, served : float
    broken : tuple of str
        Rules that broke, or why there is no result.
    """

    worth: float
    served: float
    broken: tuple[str, ...]


def read_figures(report: dict[str, Any]) -> Figures:
    """Return the figures of a play's report."""
    broken = [*report["breaks"], *([report["fault"]] if report["fault"] else [])]
    return Figures(report["G"], report["served"], tuple(broken))


def verdict(kept: float | None, worths: list[float], noise: float) -> str:
    """Return what the worths of one play say beside the one that was kept."""
    worth = statistics.fmean(worths)
    if kept is None:
        return "new"
    if worth < kept - noise:
        return "FELL"
    return "rose" if worth > kept + noise else "same"


def play_day(bench: str, sites: Path, play: Play, why: str) -> Figures:
    """Play one day on the bench."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        ended = subprocess.run(
            [
                bench,
                "run",
                str(sites / play.site),
                play.day,
                f"--seed={play.seed}",
                *(["--small"] if play.small else []),
                "--report",
                report.name,
                "--why",
                why,
            ],
            capture_output=True,
            text=True,
            timeout=PLAY_TIMEOUT_S,
        )
        data = Path(report.name).read_bytes()
    if not data:
        last = (ended.stderr or ended.stdout).strip().splitlines()[-1:]
        return Figures(0.0, 0.0, (f"no result: {''.join(last)}",))
    return read_figures(json.loads(data))


def main() -> None:
    """Play the list and print one row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", type=Path, required=True)
    parser.add_argument("--why", default="regression run")
    parser.add_argument("--only", default="")
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    listed = json.loads(LIST.read_text())
    kept: dict[str, float] = listed["kept"]
    rows = []
    has_failed = False
    for play in (Play(**each) for each in listed["plays"]):
        if args.only not in play.name:
            continue
        figures = [play_day(args.bench, args.sites, play, args.why)]
        said = verdict(kept.get(play.name), [figures[0].worth], listed["noise"])
        if said == "FELL":
            figures += [
                play_day(args.bench, args.sites, play, args.why)
                for _ in range(args.repeats)
            ]
            worths = [each.worth for each in figures]
            said = verdict(kept[play.name], worths, listed["noise"])
        broken = sorted({rule for each in figures for rule in each.broken})
        has_failed |= said == "FELL" or bool(broken)
        worth = statistics.fmean(each.worth for each in figures)
        served = statistics.fmean(each.served for each in figures)
        rows.append(
            [play.name, kept.get(play.name), worth, served, said, " ".join(broken)]
        )
        if args.keep and not broken:
            kept[play.name] = round(worth, 3)
    headers = ["play", "kept", "worth", "served", "verdict", "broken"]
    print(tabulate(rows, headers=headers, floatfmt=".3f"))
    if args.keep:
        LIST.write_text(json.dumps(listed, indent=2) + "\n")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
