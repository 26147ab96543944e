"""Builders of test data."""

from typing import Any

__all__ = ["adapter_value", "model_value", "service_value"]


def model_value(name: str = "m1", **fields: Any) -> dict[str, Any]:
    """Return the JSON value of a model's catalogue entry."""
    return {
        "name": name,
        "kind": "model",
        "owner": "kitchen",
        "version": "1",
        "memory_bytes": 1_000_000,
        **fields,
    }


def adapter_value(name: str = "a1", base: str = "m1", **fields: Any) -> dict[str, Any]:
    """Return the JSON value of an adapter's catalogue entry."""
    return {**model_value(name, kind="adapter", base=base), **fields}


def service_value(name: str = "rosters", **fields: Any) -> dict[str, Any]:
    """Return the JSON value of a service's catalogue entry."""
    value = {"name": name, "kind": "service", "owner": "kitchen", "version": "1"}
    return {**value, **fields}
