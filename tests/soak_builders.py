"""Builders of soak histories."""

from typing import Any

__all__ = ["build_attempt", "build_stream", "record"]

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


def build_stream(
    request: str, at_ms: float, versions: list[str], **changes: Any
) -> list[Record]:
    """Return the records of a resumable stream that ends 20 ms later, after event 5."""
    attempt = build_attempt(
        request, at_ms, "s1", at_ms + 15, repeatable=True, stream=True, **changes
    )
    answer = {"status": 200, "whole": True, "reason": "", "versions": versions}
    end = record("finished", at_ms + 20, request, last_event_id=5, **answer)
    return [*attempt, end]
