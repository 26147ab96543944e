"""Estimates the load of engines from offered load, and the effect of model copies."""

from collections.abc import Mapping, Sequence
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
    engines that hold the model.
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
        self._n_model_requests: dict[tuple[str, str], float] = {}  # by model and server
        self._holders: dict[str, list[str]] = {}
        for record in records:
            if not record.is_available:
                continue
            for model in record.held:
                if model != record.unloading_model and model in self._offered_load:
                    server_id = record.server.server_id
                    self._holders.setdefault(model, []).append(server_id)
        for _ in range(N_SPREAD_PASSES):
            for model in self._holders:
                self._spread_requests(model)

    def get_n_requests(self, server_id: str) -> float:
        """Return the concurrent requests that one engine is expected to carry."""
        return self._n_requests.get(server_id, 0.0)

    def has_holder(self, model: str) -> bool:
        """Return whether an engine holds the model.

        False also for a model with fewer than `MIN_SPREAD_REQUESTS` requests.
        """
        return bool(self._holders.get(model))

    def compute_gain(self, model: str, server_id: str) -> float:
        """Return the cost that one more copy saves, in waiting requests."""
        holders = self._holders.get(model)
        if not holders or server_id in holders:
            return 0.0
        before = self._list_holders(model)
        added = _Holder(
            server_id, self.get_n_requests(server_id), self._n_slots[server_id]
        )
        idle_cost = _compute_contention_cost(added.n_other_requests, added.n_slots)
        offered_load = self._offered_load[model]
        saved = _compute_balanced_cost(before, offered_load) + idle_cost
        saved -= _compute_balanced_cost([*before, added], offered_load)
        return max(0.0, self._cost_weight * saved)

    def compute_loss(self, model: str, server_id: str) -> float:
        """Return the cost of removing one copy, in waiting requests.

        The model's whole offered load if no other engine holds the model.
        """
        holders = self._holders.get(model)
        if not holders or server_id not in holders:
            return 0.0
        before = self._list_holders(model)
        left = [holder for holder in before if holder.server_id != server_id]
        offered_load = self._offered_load[model]
        if not left:
            return offered_load
        freed = next(holder for holder in before if holder.server_id == server_id)
        after_cost = _compute_balanced_cost(left, offered_load)
        after_cost += _compute_contention_cost(freed.n_other_requests, freed.n_slots)
        return max(
            0.0,
            self._cost_weight
            * (after_cost - _compute_balanced_cost(before, offered_load)),
        )

    def add_copy(self, model: str, server_id: str) -> None:
        """Include a copy that has been decided on."""
        if model not in self._offered_load:
            return
        holders = self._holders.setdefault(model, [])
        if server_id not in holders:
            holders.append(server_id)
            for held_model in self._holders:
                self._spread_requests(held_model)

    def _list_holders(self, model: str) -> list[_Holder]:
        return [
            _Holder(
                server_id,
                self._n_requests[server_id]
                - self._n_model_requests.get((model, server_id), 0.0),
                self._n_slots[server_id],
            )
            for server_id in self._holders[model]
        ]

    def _spread_requests(self, model: str) -> None:
        holders = self._list_holders(model)
        common_load = _compute_common_load(
            [holder.n_other_requests for holder in holders], self._offered_load[model]
        )
        for server_id, n_other_requests, _ in holders:
            share = max(0.0, common_load - n_other_requests)
            self._n_model_requests[model, server_id] = share
            self._n_requests[server_id] = n_other_requests + share


def _compute_common_load(other_loads: list[float], offered_load: float) -> float:
    """Return the common load of the engines that get a model's requests.

    The requests go to the least loaded engines until these carry equal loads
    (water-filling). `other_loads` holds each engine's requests for other models.
    """
    ranked = sorted(other_loads)
    total = offered_load
    for n_filled, other_load in enumerate(ranked, 1):
        total += other_load
        common_load = total / n_filled
        if n_filled == len(ranked) or common_load <= ranked[n_filled]:
            return common_load
    return 0.0


def _compute_balanced_cost(holders: list[_Holder], offered_load: float) -> float:
    """Return the contention cost of engines over which requests are distributed."""
    common_load = _compute_common_load(
        [holder.n_other_requests for holder in holders], offered_load
    )
    return sum(
        _compute_contention_cost(
            max(holder.n_other_requests, common_load), holder.n_slots
        )
        for holder in holders
    )


def _compute_contention_cost(load: float, n_slots: int) -> float:
    """Return the cost of requests that share one engine, in waiting requests.

    Each of the `load` requests is slowed by about the share of batch slots that are
    taken, `load / n_slots`, as a share of one wait. A full batch also leaves less room
    for a burst or for the requests of a lost engine.
    """
    return load * load / n_slots
