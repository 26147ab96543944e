"""Text and HTML reports of runs."""

import html
from collections.abc import Mapping, Sequence

import pygal
from tabulate import tabulate

from ._summary import Summary

__all__ = ["compare_html", "text_report"]

_PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Load runs</title>
<style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .8em}}
figure{{max-width:60em;margin:1em 0}}</style>
<h1>Load runs</h1>
{table}
{charts}
</html>
"""


def text_report(summary: Summary) -> str:
    """Return a run's tables as text."""
    rows = [
        (
            name,
            f"{summary['attainment'][name]:.3f}",
            _cell(summary["first_token"].get(name), "p50_ms"),
            _cell(summary["first_token"].get(name), "p95_ms"),
            _cell(summary["first_token"].get(name), "p99_ms"),
            _cell(summary["between_tokens"].get(name), "p95_ms"),
        )
        for name in summary["attainment"]
    ]
    headings = (
        "class",
        "attained",
        "first p50 ms",
        "p95 ms",
        "p99 ms",
        "between p95 ms",
    )
    parts = [
        f"{summary['n_requests']} requests, goodput {summary['goodput_per_s']:.1f}/s, "
        f"{summary['per_accelerator']:.2f}/s for each accelerator",
        tabulate(rows, headers=headings, disable_numparse=True),
        f"moves: {_pairs(summary['moves'])}",
        f"endings: {_pairs(summary['endings'])}",
        f"reasons: {_pairs(summary['refusals'])}",
        *(f"BROKEN PROMISE: {fault}" for fault in summary["faults_found"]),
    ]
    return "\n".join(parts)


def _cell(latency: Mapping[str, float] | None, field: str) -> str:
    return f"{latency[field]:.1f}" if latency else "-"


def _pairs(values: Mapping[str, float]) -> str:
    return ", ".join(f"{key} {value:g}" for key, value in values.items()) or "none"


def compare_html(runs: Mapping[str, Summary]) -> str:
    """Return a page that sets runs side by side.

    Parameters
    ----------
    runs : mapping of str to Summary
        By the name to show.
    """
    charts = [
        _attainment_chart(runs),
        _latency_chart(runs),
        _timeline_chart(runs),
    ]
    figures = "\n".join(
        f"<figure>{chart.render(is_unicode=True)}</figure>" for chart in charts
    )
    return _PAGE.format(table=_table(runs), charts=figures)


def _table(runs: Mapping[str, Summary]) -> str:
    rows = [
        (
            html.escape(name),
            run["n_requests"],
            f"{run['attainment'].get('all', 0):.3f}",
            f"{run['per_accelerator']:.2f}",
            f"{run['moves']['all']:g}",
            len(run["faults_found"]),
        )
        for name, run in runs.items()
    ]
    headings = (
        "run",
        "requests",
        "attained",
        "per accelerator /s",
        "moves",
        "broken promises",
    )
    return tabulate(rows, headers=headings, tablefmt="html")


def _classes(runs: Mapping[str, Summary]) -> Sequence[str]:
    return sorted({name for run in runs.values() for name in run["attainment"]})


def _attainment_chart(runs: Mapping[str, Summary]) -> pygal.Bar:
    chart = pygal.Bar(title="Share answered within limits", range=(0, 1))
    classes = _classes(runs)
    chart.x_labels = classes
    for name, run in runs.items():
        chart.add(name, [run["attainment"].get(c) for c in classes])
    return chart


def _latency_chart(runs: Mapping[str, Summary]) -> pygal.Bar:
    chart = pygal.Bar(title="First token, p95 in ms")
    classes = _classes(runs)
    chart.x_labels = classes
    for name, run in runs.items():
        values = [run["first_token"].get(c) for c in classes]
        chart.add(name, [value and value["p95_ms"] for value in values])
    return chart


def _timeline_chart(runs: Mapping[str, Summary]) -> pygal.XY:
    chart = pygal.XY(
        title="Share answered within limits, by second", show_dots=False, range=(0, 1)
    )
    for name, run in runs.items():
        points = [(at, kept / sent) for at, sent, kept in run["timeline"]]
        chart.add(name, points)
    return chart
