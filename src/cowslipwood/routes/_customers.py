"""Customers whose requests need a key, and the checks on them."""

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple

from ._decode import FieldError

__all__ = ["Customer", "LimitUnit", "check_customers"]


class LimitUnit(enum.StrEnum):
    """What the limit of a customer counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Customer(NamedTuple):
    """A customer, its keys, and the limit on its requests over all entries.

    Parameters
    ----------
    name : str
    keys : tuple of str
        Secrets by which requests are recognised as the customer's.
    priority : int or None
        Priority of its requests, 0 is the highest; None for that of the route.
    rate_per_s : float
        Requests or tokens per second; 0 for no limit.
    burst : float
        Requests or tokens beyond the rate that may be used at once.
    unit : LimitUnit
    plain_tokens : int
        Tokens that a request counts for if it does not state its number of tokens.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: LimitUnit = LimitUnit.REQUESTS
    plain_tokens: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether the customer has a limit."""
        return self.rate_per_s > 0.0


def check_customers(customers: Sequence[Customer]) -> None:
    """Raise FieldError for customers that share a name or key, or a bad number.

    The message never contains a key.
    """
    holder_by_key: dict[str, str] = {}
    names = set()
    for customer in customers:
        label = f"customer {customer.name}"
        if not customer.name or customer.name in names:
            raise FieldError(
                f"customers: name {customer.name!r} is empty or used twice"
            )
        names.add(customer.name)
        _check_numbers(customer, label)
        for key in customer.keys:
            if not key:
                raise FieldError(f"{label}.keys: a key is empty")
            holder = holder_by_key.setdefault(key, customer.name)
            if holder != customer.name:
                raise FieldError(f"{label}.keys: shares a key with {holder}")


def _check_numbers(customer: Customer, label: str) -> None:
    for field in ("rate_per_s", "burst", "plain_tokens", "priority"):
        value = getattr(customer, field)
        if value is not None and not (math.isfinite(value) and value >= 0):
            raise FieldError(f"{label}.{field}: expected 0 or more")
