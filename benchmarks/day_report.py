"""Breaks played days down by window, class, zone and price.

Reads entries of ``journal/`` and prints one table for each; with several
entries, the plot shows the days of each beside one another.

Run: ``python -m benchmarks.day_report ENTRY.json... [--plot FILE.svg]``
"""

import json
import sys
from pathlib import Path
from typing import Any

import pygal
from tabulate import tabulate

N_PRICES = 3  # of about thirty, most of which are 0


def _shares(values: list[float | None]) -> str:
    return " ".join("-" if value is None else f"{value:.2f}" for value in values)


def _row(day: dict[str, Any]) -> list[Any]:
    parts = {name: value for name, _, value in day["parts"]}
    prices = sorted(day["prices"], key=lambda price: price[2], reverse=True)
    dearest = "; ".join(f"{name} {cost:.3f}" for name, _, cost in prices[:N_PRICES])
    return [
        day["name"],
        day["score"],
        day["G"],
        day["served"],
        day["refused"],
        day["failed"],
        parts.get("worst windows"),
        _shares(day["by_class"]),
        _shares(day["by_zone"]),
        sum(cost for _, _, cost in prices),
        dearest,
    ]


HEADERS = (
    "day",
    "score",
    "worth",
    "served",
    "refused",
    "failed",
    "windows",
    "by class",
    "by zone",
    "prices",
    "dearest",
)


def _plot(entries: list[dict[str, Any]], path: str) -> None:
    chart = pygal.Bar(title="Score by day", range=(0, 1))
    chart.x_labels = [day["name"] for day in entries[0]["days"]]
    for entry in entries:
        name = f"{entry['site']} {entry['id']}"
        chart.add(name, [day["score"] for day in entry["days"]])
    chart.render_to_file(path)


def main() -> None:
    """Print the tables and write the plot."""
    arguments = sys.argv[1:]
    plot = ""
    if "--plot" in arguments:
        at = arguments.index("--plot")
        plot = arguments[at + 1]
        del arguments[at : at + 2]
    entries = [json.loads(Path(each).read_text()) for each in arguments]
    for entry in entries:
        print(f"{entry['site']} {entry['id']}: {entry['score']}, {entry['why']}")
        rows = [_row(day) for day in entry["days"] if day.get("parts")]
        print(tabulate(rows, HEADERS, floatfmt=".3f"), end="\n\n")
    if plot:
        _plot(entries, plot)


if __name__ == "__main__":
    main()
