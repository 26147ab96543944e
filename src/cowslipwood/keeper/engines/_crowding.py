"""How full engines get by what is offered to their models, and what copies change."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ._record import EngineRecord

__all__ = ["Crowding"]

# Of a model's requests at once, below which its spread over engines changes nothing.
LEAST_OFFERED = 4.0
# Times that each model's requests are spread anew around those of the others; the
# levels of engines that share several models settle within them.
N_ROUNDS = 3


class _Holder(NamedTuple):
    """One engine that holds a model, without that model's requests."""

    server_id: str
    n_others: float
    n_slots: int


class Crowding:
    """The requests at once that each engine is expected to hold.

    Each model's requests are spread over the engines that hold it, or are about to,
    such that the fullest of them is as empty as can be, which is where choosing by
    load leads.

    Parameters
    ----------
    records : sequence of EngineRecord
    offered : mapping of str to float
        Requests at once by model.
    weight : float
        What a share of a batch costs each of its requests, in waiting requests.

    Notes
    -----
    Takes ``N_ROUNDS`` times the sum over models of `k` log `k`, with `k` the engines
    that hold the model.
    """

    def __init__(
        self,
        records: Sequence[EngineRecord],
        offered: Mapping[str, float],
        weight: float = 1.0,
    ):
        self._weight = weight
        self._n_slots = {e.server.server_id: e.spec.n_slots for e in records}
        self._level = dict.fromkeys(self._n_slots, 0.0)
        self._offered = {m: n for m, n in offered.items() if n >= LEAST_OFFERED}
        self._share: dict[tuple[str, str], float] = {}  # by model and server
        self._holders: dict[str, list[str]] = {}
        for each in records:
            if not each.stays:
                continue
            for model in each.held:
                if model != each.dropping and model in self._offered:
                    server_id = each.server.server_id
                    self._holders.setdefault(model, []).append(server_id)
        for _ in range(N_ROUNDS):
            for model in self._holders:
                self._spread(model)

    def level(self, server_id: str) -> float:
        """Return the requests at once that one engine is expected to hold."""
        return self._level.get(server_id, 0.0)

    def is_held(self, model: str) -> bool:
        """Return whether an engine holds a model that enough requests ask for."""
        return bool(self._holders.get(model))

    def gain(self, model: str, server_id: str) -> float:
        """Return what one more copy saves, in waiting requests."""
        holders = self._holders.get(model)
        if not holders or server_id in holders:
            return 0.0
        before = self._bases(model)
        added = _Holder(server_id, self.level(server_id), self._n_slots[server_id])
        idle_cost = _cost(added.n_others, added.n_slots)
        n_offered = self._offered[model]
        saved = _poured_cost(before, n_offered) + idle_cost
        saved -= _poured_cost([*before, added], n_offered)
        return max(0.0, self._weight * saved)

    def loss(self, model: str, server_id: str) -> float:
        """Return what one copy less costs, in waiting requests.

        All that is offered, where no other engine holds the model.
        """
        holders = self._holders.get(model)
        if not holders or server_id not in holders:
            return 0.0
        before = self._bases(model)
        left = [each for each in before if each.server_id != server_id]
        n_offered = self._offered[model]
        if not left:
            return n_offered
        freed = next(each for each in before if each.server_id == server_id)
        after_cost = _poured_cost(left, n_offered)
        after_cost += _cost(freed.n_others, freed.n_slots)
        return max(0.0, self._weight * (after_cost - _poured_cost(before, n_offered)))

    def add(self, model: str, server_id: str) -> None:
        """Count a copy that has been decided on."""
        if model not in self._offered:
            return
        holders = self._holders.setdefault(model, [])
        if server_id not in holders:
            holders.append(server_id)
            for each in self._holders:
                self._spread(each)

    def _bases(self, model: str) -> list[_Holder]:
        return [
            _Holder(
                server_id,
                self._level[server_id] - self._share.get((model, server_id), 0.0),
                self._n_slots[server_id],
            )
            for server_id in self._holders[model]
        ]

    def _spread(self, model: str) -> None:
        bases = self._bases(model)
        height = _height([each.n_others for each in bases], self._offered[model])
        for server_id, n_others, _ in bases:
            share = max(0.0, height - n_others)
            self._share[model, server_id] = share
            self._level[server_id] = n_others + share


def _height(levels: list[float], n_offered: float) -> float:
    """Return the level up to which requests fill engines that stand at `levels`."""
    ranked = sorted(levels)
    total = n_offered
    for n_filled, level in enumerate(ranked, 1):
        total += level
        height = total / n_filled
        if n_filled == len(ranked) or height <= ranked[n_filled]:
            return height
    return 0.0


def _poured_cost(holders: list[_Holder], n_offered: float) -> float:
    height = _height([each.n_others for each in holders], n_offered)
    return sum(_cost(max(e.n_others, height), e.n_slots) for e in holders)


def _cost(level: float, n_slots: int) -> float:
    """Return what an engine's requests lose by each other, in waiting requests.

    A batch that holds a share of its places slows each of its requests by about that
    share of a wait, and leaves the less room for a burst or a lost engine.
    """
    return level * level / n_slots
