"""Names of the entry's counters that carry a result code as their reason."""

__all__ = ["REASON_COUNTERS"]

# Exported at 0 for each result code from the start of the process.
REASON_COUNTERS = (
    "refusals_total",
    "retries_total",
    "retries_denied_total",
    "callers_lost_total",
)
