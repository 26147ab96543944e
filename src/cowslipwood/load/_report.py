"""Formats the summary of a run as text and compares runs on an HTML page."""

import html
from collections.abc import Mapping, Sequence

import pygal
from tabulate import tabulate

from ._summary import Summary

__all__ = ["format_report", "render_comparison"]

# Page that compares runs.
_PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Load runs</title>
<style>body{{font-family:sans-serif;margin:2em}}td,th{{padding:.2em .8em}}
figure{{max-width:60em;margin:1em 0}}</style>
<h1>Load runs</h1>
{table}
{charts}
</html>
"""


def format_report(summary: Summary) -> str:
    """Return the results of a run as text."""
    rows = [
        (
            name,
            f"{summary['attainment'][name]:.3f}",
            _format_latency(summary["first_token"].get(name), "p50_ms"),
            _format_latency(summary["first_token"].get(name), "p95_ms"),
            _format_latency(summary["first_token"].get(name), "p99_ms"),
            _format_latency(summary["between_tokens"].get(name), "p95_ms"),
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
        f"moves: {_format_pairs(summary['moves'])}",
        f"endings: {_format_pairs(summary['endings'])}",
        f"reasons: {_format_pairs(summary['refusals'])}",
        *(f"BROKEN PROMISE: {fault}" for fault in summary["faults_found"]),
    ]
    return "\n".join(parts)


def _format_latency(latency: Mapping[str, float] | None, field: str) -> str:
    return f"{latency[field]:.1f}" if latency else "-"


def _format_pairs(values: Mapping[str, float]) -> str:
    return ", ".join(f"{key} {value:g}" for key, value in values.items()) or "none"


def render_comparison(runs: Mapping[str, Summary]) -> str:
    """Return an HTML page that compares runs in a table and in charts.

    Parameters
    ----------
    runs : mapping of str to Summary
        Summary of each run by the name under which the page shows it.
    """
    charts = [
        _make_attainment_chart(runs),
        _make_latency_chart(runs),
        _make_timeline_chart(runs),
    ]
    figures = "\n".join(
        f"<figure>{chart.render(is_unicode=True)}</figure>" for chart in charts
    )
    return _PAGE.format(table=_format_table(runs), charts=figures)


def _format_table(runs: Mapping[str, Summary]) -> str:
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


def _class_names(runs: Mapping[str, Summary]) -> Sequence[str]:
    """Return the service classes of all runs, with ``all`` for every class together."""
    return sorted({name for run in runs.values() for name in run["attainment"]})


def _make_attainment_chart(runs: Mapping[str, Summary]) -> pygal.Bar:
    chart = pygal.Bar(title="Share answered within limits", range=(0, 1))
    classes = _class_names(runs)
    chart.x_labels = classes
    for name, run in runs.items():
        chart.add(
            name, [run["attainment"].get(service_class) for service_class in classes]
        )
    return chart


def _make_latency_chart(runs: Mapping[str, Summary]) -> pygal.Bar:
    chart = pygal.Bar(title="First token, p95 in ms")
    classes = _class_names(runs)
    chart.x_labels = classes
    for name, run in runs.items():
        latencies = [run["first_token"].get(service_class) for service_class in classes]
        chart.add(name, [latency and latency["p95_ms"] for latency in latencies])
    return chart


def _make_timeline_chart(runs: Mapping[str, Summary]) -> pygal.XY:
    chart = pygal.XY(
        title="Share answered within limits, by second", show_dots=False, range=(0, 1)
    )
    for name, run in runs.items():
        points = [
            (second, n_within_limits / n_sent)
            for second, n_sent, n_within_limits in run["timeline"]
        ]
        chart.add(name, points)
    return chart
