"""Functions that build test data."""

from typing import Any, get_type_hints

from hypothesis import strategies as st

from cowslipwood.kernel.messages import (
    AgentReport,
    DemandSample,
    EntryReport,
    Resident,
)

__all__ = [
    "adapter_value",
    "agent_report",
    "demand_report",
    "call_value",
    "model_value",
    "order_value",
    "agent_reports",
    "service_value",
]

_texts = st.text(max_size=12)
_counts = st.integers(0, 2**32 - 1)
_byte_counts = st.integers(0, 2**63 - 1)


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


def agent_report(server_id: str = "s1", **fields: Any) -> AgentReport:
    """Return an agent's report of an engine that has no models."""
    report = AgentReport(
        server_id, "i1", "zone-1", "127.0.0.1:1", "engine", "", 100, 0, False,
        0, 0, 0, (), 0, 0, 0.0, 16,
    )  # fmt: skip
    return report._replace(**fields)


def demand_report(**samples: tuple[float, float, float]) -> EntryReport:
    """Return an entry's report.

    Each keyword is a model's name, and its value the requests that arrive per second,
    the requests in flight and the share of requests that missed their limits.
    """
    demand = tuple(DemandSample(name, *sample) for name, sample in samples.items())
    return EntryReport("e1", "i1", "zone-1", "127.0.0.1:1", False, 0, demand)


def call_value(model: str = "m1", **fields: Any) -> dict[str, Any]:
    """Return the JSON value of a call to an agent for a model's answer."""
    return {
        "model": model,
        "version": "1",
        "prompt": "bread for 9",
        "max_tokens": 4,
        **fields,
    }


def order_value(model: str = "m1", **fields: Any) -> dict[str, Any]:
    """Return the JSON value of a load order to an engine."""
    return {
        "order_id": f"order-{model}",
        "op": "load",
        "model": model,
        "version": "1",
        "base": "",
        "memory_bytes": 1_000,
        "fence": 1,
        **fields,
    }


def agent_reports() -> st.SearchStrategy[AgentReport]:
    """Return a hypothesis strategy that generates agents' reports."""
    residents = st.builds(Resident, _texts, _texts, _texts, _byte_counts)
    strategies_by_type = {
        str: _texts,
        int: _counts,
        bool: st.booleans(),
        float: st.floats(allow_nan=False),
        tuple[Resident, ...]: st.lists(residents, max_size=3).map(tuple),
    }
    hints = get_type_hints(AgentReport)
    return st.builds(
        AgentReport, **{name: strategies_by_type[t] for name, t in hints.items()}
    )
