"""Shows the results of simulated days by window, class, zone and price.

Reads entries of ``journal/`` and prints a table for each entry. The plot shows the days
of several entries side by side.

Run: ``python -m benchmarks.day_report ENTRY.json... [--plot FILE.svg]``
"""

import json
import sys
from pathlib import Path
from typing import Any

import pygal
from tabulate import tabulate

# Number of prices shown in a row: the highest of about thirty, most of which are 0.
N_SHOWN_PRICES = 3


def _format_shares(values: list[float | None]) -> str:
    return " ".join("-" if value is None else f"{value:.2f}" for value in values)


def _make_row(day: dict[str, Any]) -> list[Any]:
    part_by_name = {name: value for name, _, value in day["parts"]}
    prices = sorted(day["prices"], key=lambda price: price[2], reverse=True)
    costliest = "; ".join(
        f"{name} {cost:.3f}" for name, _, cost in prices[:N_SHOWN_PRICES]
    )
    return [
        day["name"],
        day["score"],
        day["G"],
        day["served"],
        day["refused"],
        day["failed"],
        part_by_name.get("worst windows"),
        _format_shares(day["by_class"]),
        _format_shares(day["by_zone"]),
        sum(cost for _, _, cost in prices),
        costliest,
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


def _write_plot(entries: list[dict[str, Any]], path: str) -> None:
    chart = pygal.Bar(title="Score by day", range=(0, 1))
    chart.x_labels = [day["name"] for day in entries[0]["days"]]
    for entry in entries:
        name = f"{entry['site']} {entry['id']}"
        chart.add(name, [day["score"] for day in entry["days"]])
    chart.render_to_file(path)


def main() -> None:
    """Print a table for each entry, and write the plot if it is asked for."""
    arguments = sys.argv[1:]
    plot_path = ""
    if "--plot" in arguments:
        option_index = arguments.index("--plot")
        plot_path = arguments[option_index + 1]
        del arguments[option_index : option_index + 2]
    entries = [json.loads(Path(argument).read_text()) for argument in arguments]
    for entry in entries:
        print(f"{entry['site']} {entry['id']}: {entry['score']}, {entry['why']}")
        rows = [_make_row(day) for day in entry["days"] if day.get("parts")]
        print(tabulate(rows, HEADERS, floatfmt=".3f"), end="\n\n")
    if plot_path:
        _write_plot(entries, plot_path)


if __name__ == "__main__":
    main()
