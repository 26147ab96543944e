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
        "kind": "ask",
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
    request: str,
    at_ms: float,
    versions: list[str],
    after: int = 0,
    last_event_id: int = 5,
    **changes: Any,
) -> list[Record]:
    """Return the records of a resumable stream that breaks off 20 ms later.

    Its events are those behind `after`, up to `last_event_id`.
    """
    changes = {"repeatable": True, "stream": True, "after": after, **changes}
    attempt = build_attempt(request, at_ms, "s1", at_ms + 15, **changes)
    end = record(
        "finished",
        at_ms + 20,
        request,
        status=200,
        whole=False,
        reason="",
        versions=versions,
        first_event_id=after + 1 if after < last_event_id else 0,
        last_event_id=last_event_id,
    )
    return [*attempt, end]
