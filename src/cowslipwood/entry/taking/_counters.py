"""The counters that an entry keeps for each reason."""

__all__ = ["REASON_COUNTERS"]

REASON_COUNTERS = (
    "refusals_total",
    "retries_total",
    "retries_denied_total",
    "callers_lost_total",
)
