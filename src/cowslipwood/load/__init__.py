"""Seeded open-loop load, its checks and its reports."""

from ._arrivals import Request, RequestKind, arrivals
from ._profile import PROFILES, Profile, Scenario, catalogue_values
from ._report import compare_html, text_report
from ._run import LoadOptions, run_load

__all__ = [
    "PROFILES",
    "LoadOptions",
    "Profile",
    "Request",
    "RequestKind",
    "Scenario",
    "arrivals",
    "catalogue_values",
    "compare_html",
    "run_load",
    "text_report",
]
