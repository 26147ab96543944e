"""The JSON value that reports a failure to an HTTP client."""

from typing import Any

from .codes import Failure

__all__ = ["make_error_body"]


def make_error_body(fault: Failure) -> dict[str, Any]:
    """Return the JSON value that reports a failure to a caller."""
    return {
        "error": {
            "code": fault.code.value,
            "name": fault.code.name,
            "message": fault.message,
            "outcome": fault.outcome.value,
            "retry_after_ms": round(fault.retry_after_ms),
        }
    }
