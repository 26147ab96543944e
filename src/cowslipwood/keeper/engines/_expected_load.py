"""Estimates the load of engines from offered load, and the effect of model copies."""

from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from operator import attrgetter
from typing import NamedTuple

from ._engine_record import EngineRecord

__all__ = ["ExpectedLoad"]

# Concurrent requests of a model below which their distribution over engines is ignored,
# as it changes nothing.
MIN_SPREAD_REQUESTS = 4.0
# Passes in which the requests of each model are distributed again around those of the
# other models. The load of engines that share several models settles within this
# number.
N_SPREAD_PASSES = 3


class _Holder(NamedTuple):
    """One engine that holds a model.

    Parameters
    ----------
    server_id : str
    n_other_requests : float
        Concurrent requests expected there for other models.
    n_slots : int
    """

    server_id: str
    n_other_requests: float
    n_slots: int


class _Spread:
    """One model's requests, distributed over the engines that hold the model.

    The requests go to the engines with fewest other requests until these engines carry
    equal loads (water-filling). Sums over the engines, by rising load, make the effect
    of one engine more or less a matter of few steps.

    Parameters
    ----------
    holders : sequence of _Holder
    offered_load : float
        Concurrent requests of the model.
    """

    __slots__ = (
        "_cost_above",
        "_inverse_slots",
        "_load_sums",
        "_loads",
        "_n_filled",
        "_offered_load",
        "common_load",
        "cost",
    )

    def __init__(self, holders: Sequence[_Holder], offered_load: float):
        ranked = sorted(holders, key=attrgetter("n_other_requests"))
        self._offered_load = offered_load
        self._loads = [holder.n_other_requests for holder in ranked]
        self._load_sums = _accumulate(self._loads)
        self._inverse_slots = _accumulate(1.0 / holder.n_slots for holder in ranked)
        costs = [
            _compute_contention_cost(holder.n_other_requests, holder.n_slots)
            for holder in ranked
        ]
        self._cost_above = _accumulate(reversed(costs))[::-1]
        self._n_filled, self.common_load = _fill_engines(self._loads, offered_load)
        self.cost = self._compute_cost(self._n_filled, self.common_load)

    def _compute_cost(
        self, n_filled: int, common_load: float, inverse_slots: float = 0.0
    ) -> float:
        """Return the contention cost of the engines, the first of them filled.

        `inverse_slots` is what one engine more or less adds to the sum of the inverse
        slots of the filled engines.
        """
        inverse_slots += self._inverse_slots[n_filled]
        return self._cost_above[n_filled] + common_load * common_load * inverse_slots

    def compute_cost_with(self, n_other_requests: float, n_slots: int) -> float:
        """Return the contention cost with one more engine, that engine included."""
        if n_other_requests >= self.common_load:
            return self.cost + _compute_contention_cost(n_other_requests, n_slots)
        n_filled = self._n_filled
        total = self._offered_load + n_other_requests + self._load_sums[n_filled]
        while n_filled and self._loads[n_filled - 1] * (n_filled + 1) > total:
            n_filled -= 1
            total -= self._loads[n_filled]
        return self._compute_cost(n_filled, total / (n_filled + 1), 1.0 / n_slots)

    def compute_cost_without(self, n_other_requests: float, n_slots: int) -> float:
        """Return the contention cost without one of several engines.

        The requests for other models that this engine goes on to carry are included.
        """
        if n_other_requests >= self.common_load:
            return self.cost
        n_filled = self._n_filled
        total = self._offered_load + self._load_sums[n_filled] - n_other_requests
        n_left = n_filled - 1
        while not n_left or (
            n_filled < len(self._loads) and self._loads[n_filled] * n_left < total
        ):
            total += self._loads[n_filled]
            n_filled += 1
            n_left += 1
        own_cost = _compute_contention_cost(n_other_requests, n_slots)
        return own_cost + self._compute_cost(n_filled, total / n_left, -1.0 / n_slots)


class ExpectedLoad:
    """Concurrent requests that each engine is expected to carry.

    The requests of each model are distributed over the engines that hold the model,
    or are about to, such that the most loaded of these engines carries as little as
    possible. Routing by load leads to the same distribution.

    Parameters
    ----------
    records : sequence of EngineRecord
    offered_load : mapping of str to float
        Concurrent requests by model.
    cost_weight : float
        Cost that a batch with all slots taken adds to each of its requests, in
        waiting requests.

    Notes
    -----
    Takes ``N_SPREAD_PASSES`` times the sum over models of `k` log `k`, with `k` the
    engines that hold the model. A gain or a loss takes a few steps, after `k` log `k`
    for the first one of its model since the last copy was added.
    """

    def __init__(
        self,
        records: Sequence[EngineRecord],
        offered_load: Mapping[str, float],
        cost_weight: float = 1.0,
    ):
        self._cost_weight = cost_weight
        self._n_slots = {
            record.server.server_id: record.spec.n_slots for record in records
        }
        self._n_requests = dict.fromkeys(self._n_slots, 0.0)
        self._offered_load = {
            model: n_requests
            for model, n_requests in offered_load.items()
            if n_requests >= MIN_SPREAD_REQUESTS
        }
        # Requests by server of each model.
        self._shares: dict[str, dict[str, float]] = {}
        self._spreads: dict[str, _Spread] = {}
        for record in records:
            if not record.is_available:
                continue
            for model in record.held:
                if model != record.unloading_model and model in self._offered_load:
                    shares = self._shares.setdefault(model, {})
                    shares[record.server.server_id] = 0.0
        for _ in range(N_SPREAD_PASSES):
            self._spread_all_requests()

    def get_n_requests(self, server_id: str) -> float:
        """Return the concurrent requests that one engine is expected to carry."""
        return self._n_requests.get(server_id, 0.0)

    def has_holder(self, model: str) -> bool:
        """Return whether an engine holds the model.

        False also for a model with fewer than `MIN_SPREAD_REQUESTS` requests.
        """
        return bool(self._shares.get(model))

    def compute_gain(self, model: str, server_id: str) -> float:
        """Return the cost that one more copy saves, in waiting requests."""
        shares = self._shares.get(model)
        if not shares or server_id in shares:
            return 0.0
        spread = self._get_spread(model)
        n_requests = self.get_n_requests(server_id)
        if n_requests >= spread.common_load:
            return 0.0
        n_slots = self._n_slots[server_id]
        before_cost = spread.cost + _compute_contention_cost(n_requests, n_slots)
        saved = before_cost - spread.compute_cost_with(n_requests, n_slots)
        return max(0.0, self._cost_weight * saved)

    def compute_loss(self, model: str, server_id: str) -> float:
        """Return the cost of removing one copy, in waiting requests.

        The model's whole offered load if no other engine holds the model.
        """
        shares = self._shares.get(model)
        if not shares or server_id not in shares:
            return 0.0
        if len(shares) == 1:
            return self._offered_load[model]
        spread = self._get_spread(model)
        n_other_requests = self._n_requests[server_id] - shares[server_id]
        after_cost = spread.compute_cost_without(
            n_other_requests, self._n_slots[server_id]
        )
        return max(0.0, self._cost_weight * (after_cost - spread.cost))

    def add_copy(self, model: str, server_id: str) -> None:
        """Include a copy that has been decided on."""
        if model not in self._offered_load:
            return
        shares = self._shares.setdefault(model, {})
        if server_id not in shares:
            shares[server_id] = 0.0
            self._spread_all_requests()

    def _spread_all_requests(self) -> None:
        self._spreads.clear()
        for model in self._shares:
            self._spread_requests(model)

    def _spread_requests(self, model: str) -> None:
        shares = self._shares[model]
        n_other_requests = {
            server_id: self._n_requests[server_id] - share
            for server_id, share in shares.items()
        }
        ranked_loads = sorted(n_other_requests.values())
        _, common_load = _fill_engines(ranked_loads, self._offered_load[model])
        for server_id, n_others in n_other_requests.items():
            shares[server_id] = max(0.0, common_load - n_others)
            self._n_requests[server_id] = n_others + shares[server_id]

    def _get_spread(self, model: str) -> _Spread:
        """Return a model's distribution among the present requests of other models."""
        spread = self._spreads.get(model)
        if spread is None:
            holders = [
                _Holder(
                    server_id,
                    self._n_requests[server_id] - share,
                    self._n_slots[server_id],
                )
                for server_id, share in self._shares[model].items()
            ]
            spread = _Spread(holders, self._offered_load[model])
            self._spreads[model] = spread
        return spread


def _accumulate(values: Iterable[float]) -> list[float]:
    """Return the sums of the first 0, 1, 2 and more values."""
    return list(accumulate(values, initial=0.0))


def _fill_engines(
    ranked_loads: Sequence[float], offered_load: float
) -> tuple[int, float]:
    """Return how many engines get requests of a model, and the load they then carry.

    Parameters
    ----------
    ranked_loads : sequence of float
        Each engine's requests for other models, in rising order.
    offered_load : float
        Concurrent requests of the model.
    """
    total = offered_load
    for n_filled, other_load in enumerate(ranked_loads, 1):
        total += other_load
        common_load = total / n_filled
        if n_filled == len(ranked_loads) or common_load <= ranked_loads[n_filled]:
            return n_filled, common_load
    return 0, 0.0


def _compute_contention_cost(load: float, n_slots: int) -> float:
    """Return the cost of requests that share one engine, in waiting requests.

    Each of the `load` requests is slowed by about the share of batch slots that are
    taken, `load / n_slots`, as a share of one wait. A full batch also leaves less room
    for a burst or for the requests of a lost engine.
    """
    return load * load / n_slots
