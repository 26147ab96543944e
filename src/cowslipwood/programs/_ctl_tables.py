"""Formats the answers to operators' commands as text tables."""

import datetime
from collections.abc import Sequence
from typing import Any

import orjson
from tabulate import tabulate

__all__ = ["render_answer"]

BYTES_PER_GB = 1_000_000_000


def render_answer(op: str, value: Any) -> str:
    """Return the answer to an operation as text.

    Parameters
    ----------
    op : str
        Name of the operation.
    value : object
        JSON value of the answer.
    """
    match op:
        case "list":
            return _render_entries(value)
        case "get":
            return _make_table(("field", "value"), sorted(value.items()))
        case "history":
            return _render_history(value)
        case "members":
            return _render_members(value)
        case "status":
            return _render_status(value)
        case "blocked-parts":
            return _render_blocked_parts(value)
        case "limited-servers":
            return _render_limited_servers(value)
        case "customers":
            return _render_customers(value)
        case "apply":
            return f"document version {value['version']} is in force"
        case "document":
            return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()
        case _:
            return _render_accepted(value)


def _make_table(headings: Sequence[str], rows: Any) -> str:
    return tabulate(list(rows), headers=headings, disable_numparse=True)


def _render_accepted(value: dict[str, Any]) -> str:
    text = f"accepted at revision {value.get('revision')}"
    return text + (", in force everywhere" if value.get("in_force") else "")


def _render_entries(value: list[dict[str, Any]]) -> str:
    headings = ("name", "kind", "base", "owner", "class", "version", "GB", "revision")
    rows = (
        (
            item["name"],
            item["kind"],
            item["base"],
            item["owner"],
            item["class"],
            item["version"],
            f"{item['memory_bytes'] / BYTES_PER_GB:.3g}",
            item["revision"],
        )
        for item in sorted(value, key=lambda item: item["name"])
    )
    return _make_table(headings, rows)


def _render_history(value: list[dict[str, Any]]) -> str:
    headings = ("revision", "at", "op", "name", "operator", "edit id")
    rows = (
        (
            item["revision"],
            datetime.datetime.fromtimestamp(
                item["wall_ms"] / 1000, datetime.UTC
            ).isoformat(timespec="seconds"),
            item["op"],
            item["name"],
            item["operator"],
            item["edit_id"],
        )
        for item in value
    )
    return _make_table(headings, rows)


def _render_blocked_parts(value: list[dict[str, Any]]) -> str:
    headings = ("part", "for s", "servers that ended")
    rows = ((item["part"], item["for_s"], ", ".join(item["servers"])) for item in value)
    return _make_table(headings, rows)


def _render_limited_servers(value: list[dict[str, Any]]) -> str:
    headings = ("server", "requests per s", "age s", "short of permits")
    rows = (
        (item["server"], item["requests_per_s"], item["age_s"], item["short"])
        for item in value
    )
    return _make_table(headings, rows)


def _render_customers(value: list[dict[str, Any]]) -> str:
    headings = ("customer", "unit", "limit per s", "burst", "use per s", "left")
    rows = (
        (
            item["customer"],
            item["unit"],
            item["rate_per_s"] or "none",
            item["burst"],
            "not counted" if item["use_per_s"] is None else item["use_per_s"],
            "" if item["level"] is None else item["level"],
        )
        for item in value
    )
    return _make_table(headings, rows)


def _render_members(value: Any) -> str:
    items = value["members"] if isinstance(value, dict) else value
    if not items:
        return "no members"
    headings = tuple(items[0])
    return _make_table(headings, ([item[key] for key in headings] for item in items))


def _render_status(value: dict[str, Any]) -> str:
    parts = [
        f"revision {value['revision']}, term {value['term']}, "
        f"leader {value['leader'] or 'unknown'}"
    ]
    if value.get("keepers"):
        parts.append(_render_members(value["keepers"]))
    parts.append(
        _make_table(
            ("entry", "zone", "leaving", "revision"),
            (
                (
                    item["entry_id"],
                    item["zone"],
                    _format_flag(item["leaving"]),
                    item["revision"],
                )
                for item in value["entries"]
            ),
        )
    )
    parts.append(
        _make_table(
            (
                "backend server",
                "zone",
                "kind",
                "leaving",
                "revision",
                "GB used/of",
                "in flight",
                "models ready",
            ),
            (_make_server_row(item) for item in value["servers"]),
        )
    )
    return "\n\n".join(parts)


def _make_server_row(item: dict[str, Any]) -> tuple[Any, ...]:
    used_gb = item["committed_bytes"] / BYTES_PER_GB
    capacity_gb = item["capacity_bytes"] / BYTES_PER_GB
    n_ready = sum(model["state"] == "ready" for model in item["models"])
    return (
        item["server_id"],
        item["zone"],
        item["kind"],
        _format_flag(item["leaving"]),
        item["revision"],
        f"{used_gb:.3g}/{capacity_gb:.3g}",
        item["n_in_flight"],
        f"{n_ready}/{len(item['models'])}",
    )


def _format_flag(flag: bool) -> str:
    return "yes" if flag else "no"
