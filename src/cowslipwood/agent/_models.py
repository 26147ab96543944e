"""Models in a backend server's memory and the number of calls that use each."""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from typing import NamedTuple

import anyio

from ..kernel.messages import Assignment, DesiredModel, Resident
from ._memory_ledger import ModelKey

__all__ = ["HeldModel", "ModelState", "ModelTable"]


class ModelState(enum.StrEnum):
    """Progress of a model; bytes are reserved for the model in each state.

    WAITING: the agent waits for the permit to load it. LOADING: a load was ordered or
    the engine reports it as not ready. READY: the engine can serve it. UNLOADING: an
    unload was ordered, or the model is ready but new calls of it are refused.
    UNCERTAIN: not set by the agent. UNREACHABLE: reported for a ready model while the
    engine cannot be reached.
    """

    WAITING = "waiting"
    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"
    UNCERTAIN = "uncertain"
    UNREACHABLE = "unreachable"


class HeldModel(NamedTuple):
    """A model that is in memory or for which memory is reserved.

    Parameters
    ----------
    base : str
        Name of an adapter's base model; empty for a model.
    memory_bytes : int
    state : ModelState
    """

    base: str
    memory_bytes: int
    state: ModelState


class ModelTable:
    """Held models, assigned models and the number of calls that use each model."""

    def __init__(self):
        self.held: dict[ModelKey, HeldModel] = {}
        self.desired: dict[ModelKey, DesiredModel] | None = None
        self.is_engine_reachable = False
        self.first_read_done = anyio.Event()
        self._n_calls: Counter[ModelKey] = Counter()
        self.on_call_end: Callable[[], None] = lambda: None

    def assign(self, assignment: Assignment) -> None:
        """Replace the assigned models; base models are ordered before adapters."""
        bases_first = sorted(assignment.desired, key=lambda model: bool(model.base))
        self.desired = {
            ModelKey(model.name, model.version): model for model in bases_first
        }

    def set_state(self, key: ModelKey, state: ModelState) -> None:
        """Change the state of a held model."""
        self.held[key] = self.held[key]._replace(state=state)

    def is_ready(self, key: ModelKey) -> bool:
        """Return whether a model is ready according to the engine's state."""
        held = self.held.get(key)
        return held is not None and held.state is ModelState.READY

    def is_servable(self, key: ModelKey) -> bool:
        """Return whether new calls of a model are admitted.

        Calls of a model that is no longer assigned are refused, except for an older
        version until the assigned version is ready. Before the first assignment
        since the start of the agent, every model that is ready is served.
        """
        if not self.is_engine_reachable or not self.is_ready(key):
            return False
        return (
            self.desired is None or key in self.desired or self.awaits_replacement(key)
        )

    def awaits_replacement(self, key: ModelKey) -> bool:
        """Return whether another version is assigned that is not ready yet."""
        assigned = [other for other in self.desired or () if other.name == key.name]
        return key not in assigned and any(
            not self.is_ready(other) for other in assigned
        )

    def has_ready_version(self, name: str) -> bool:
        """Return whether any version of a model is ready."""
        return any(key.name == name and self.is_ready(key) for key in self.held)

    def is_needed_by_adapters(self, key: ModelKey) -> bool:
        """Return whether held adapters need this version of their base model."""
        if not any(held.base == key.name for held in self.held.values()):
            return False
        others = [
            other for other in self.held if other.name == key.name and other != key
        ]
        return not any(self.is_ready(other) for other in others)

    def list_unassigned(self) -> Iterable[ModelKey]:
        """Return the held models that are not assigned, adapters first."""
        keys = [key for key in self.held if key not in (self.desired or ())]
        return sorted(keys, key=lambda key: not self.held[key].base)

    @contextmanager
    def count_call(self, key: ModelKey):
        """Count a call that uses a model, so that the model is not unloaded."""
        self._n_calls[key] += 1
        try:
            yield
        finally:
            self._n_calls[key] -= 1
            if not self._n_calls[key]:
                del self._n_calls[key]
                self.on_call_end()

    def n_calls(self, key: ModelKey) -> int:
        """Return how many calls use a model now."""
        return self._n_calls[key]

    def list_residents(self) -> tuple[Resident, ...]:
        """Return the held models as the agent reports them.

        Only models that accept new calls are reported as ready.
        """
        return tuple(
            Resident(*key, self._reported_state(key, held), held.memory_bytes)
            for key, held in self.held.items()
        )

    def _reported_state(self, key: ModelKey, held: HeldModel) -> str:
        if held.state is ModelState.READY and not self.is_servable(key):
            return (
                ModelState.UNLOADING
                if self.is_engine_reachable
                else ModelState.UNREACHABLE
            )
        return held.state
