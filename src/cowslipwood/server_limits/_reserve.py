"""Amounts that the leader has granted to an entry, each valid for a short time."""

import math
from typing import NamedTuple

__all__ = ["Reserve"]


class _Grant(NamedTuple):
    """The unused part of one grant and the time of the question for it."""

    asked_at_ms: float
    amount: float


class Reserve:
    """What an entry may still use of its grants, the oldest first.

    The lifetime of a grant counts from the question for it, so that it ends no later
    than the leader expects, however long the reply took.

    Parameters
    ----------
    life_ms : float
    """

    def __init__(self, life_ms: float):
        self._life_ms = life_ms
        self._grants: list[_Grant] = []

    @property
    def expires_at_ms(self) -> float:
        """When the oldest grant expires; infinite for an empty reserve."""
        return min(
            (grant.asked_at_ms + self._life_ms for grant in self._grants),
            default=math.inf,
        )

    def add(self, amount: float, asked_at_ms: float) -> None:
        """Add a grant."""
        self._grants.append(_Grant(asked_at_ms, amount))

    def get_amount(self, now_ms: float) -> float:
        """Return what may be used now."""
        self._drop_expired(now_ms)
        return sum(grant.amount for grant in self._grants)

    def take(self, amount: float, now_ms: float) -> bool:
        """Take an amount; take nothing and return False if there is less."""
        if self.get_amount(now_ms) < amount:
            return False
        while amount > 0 and self._grants:
            grant = self._grants.pop(0)
            if grant.amount > amount:
                rest = grant._replace(amount=grant.amount - amount)
                self._grants.insert(0, rest)
            amount -= grant.amount
        return True

    def _drop_expired(self, now_ms: float) -> None:
        self._grants = [
            grant
            for grant in self._grants
            if now_ms - grant.asked_at_ms < self._life_ms
        ]
