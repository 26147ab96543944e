"""The customers of the soak's config, and their keys."""

from typing import Any

__all__ = ["CUSTOMERS", "make_key", "make_tenants"]

CUSTOMERS = ("alder", "birch")


def make_key(customer: str, version: int = 0) -> str:
    """Return a key that only this version of the config has; with 0, all have it."""
    return f"key-of-{customer}-{version}"


def make_tenants(version: int) -> list[dict[str, Any]]:
    """Return the customers as this version of the config lists them."""
    return [
        {
            "name": customer,
            "apiKeys": [make_key(customer), make_key(customer, version)],
            "priority": priority,
        }
        for priority, customer in enumerate(CUSTOMERS)
    ]
