"""The customers of the soak's config, and their keys."""

from typing import Any

__all__ = ["CUSTOMERS", "make_key", "make_tenants"]

CUSTOMERS = ("alder", "birch")


def make_key(customer: str) -> str:
    """Return the key of a customer."""
    return f"key-of-{customer}"


def make_tenants() -> list[dict[str, Any]]:
    """Return the customers as the config lists them."""
    return [
        {"name": customer, "apiKeys": [make_key(customer)], "priority": priority}
        for priority, customer in enumerate(CUSTOMERS)
    ]
