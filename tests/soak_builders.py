"""Builders of soak histories."""

from typing import Any

__all__ = ["build_attempt", "record"]

Record = dict[str, Any]


def record(event: str, at_ms: float, request: str = "", **fields: Any) -> Record:
    """Return one record."""
    return {"event": event, "at_ms": at_ms, "request": request, **fields}


def build_attempt(
    request: str,
    at_ms: float,
    server: str = "s1",
    ended_at_ms: float | None = None,
    **changes: Any,
) -> list[Record]:
    """Return the records of an attempt that a client sent and that a server ran."""
    sent = {
        "first": request,
        "service": "desk",
        "repeatable": False,
        "stream": False,
        "entry": "e1",
        **changes,
    }
    run = {"server": server, "service": "desk", "born_ms": 0, "fault": None}
    records = [
        record("sent", at_ms, request, **sent),
        record("arrived", at_ms + 1, request, **run),
        record("run", at_ms + 1, request, **run),
    ]
    if ended_at_ms is not None:
        records.append(record("ended", ended_at_ms, request, **run))
    return records
