"""Builders of test data."""

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
    "ask_value",
    "model_value",
    "order_value",
    "reports",
    "service_value",
]

_words = st.text(max_size=12)
_counts = st.integers(0, 2**32 - 1)
_sizes = st.integers(0, 2**63 - 1)


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
    """Return the report of an engine's agent without models."""
    report = AgentReport(
        server_id, "i1", "zone-1", "127.0.0.1:1", "engine", "", 100, 0, False,
        0, 0, 0, (), 0, 0, 0.0, 16,
    )  # fmt: skip
    return report._replace(**fields)


def demand_report(**samples: tuple[float, float, float]) -> EntryReport:
    """Return an entry's report: arrivals per second, in flight, missed by model."""
    demand = tuple(DemandSample(name, *sample) for name, sample in samples.items())
    return EntryReport("e1", "i1", "zone-1", "127.0.0.1:1", False, 0, demand)


def ask_value(model: str = "m1", **fields: Any) -> dict[str, Any]:
    """Return the JSON value of a call of a model at an agent."""
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


def reports() -> st.SearchStrategy[AgentReport]:
    """Return a strategy of agent reports."""
    residents = st.builds(Resident, _words, _words, _words, _sizes)
    by_type = {
        str: _words,
        int: _counts,
        bool: st.booleans(),
        float: st.floats(allow_nan=False),
        tuple[Resident, ...]: st.lists(residents, max_size=3).map(tuple),
    }
    hints = get_type_hints(AgentReport)
    return st.builds(AgentReport, **{name: by_type[t] for name, t in hints.items()})
