"""Generates seeded open-loop load, checks the answers and reports the results."""

from ._arrivals import Request, RequestKind, draw_requests
from ._profile import PROFILES, Profile, Scenario, draw_catalogue
from ._report import format_report, render_comparison
from ._run import LoadOptions, run_load

__all__ = [
    "PROFILES",
    "LoadOptions",
    "Profile",
    "Request",
    "RequestKind",
    "Scenario",
    "draw_catalogue",
    "draw_requests",
    "format_report",
    "render_comparison",
    "run_load",
]
