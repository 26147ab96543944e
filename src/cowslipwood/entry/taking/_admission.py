"""Predicts whether a backend server can begin an answer in time."""

from ...catalogue import ServiceClass
from ..choosing._backend import Backend
from ._call import Call

__all__ = ["can_begin_in_time", "predicted_first_ms"]

_HEADROOM = {
    ServiceClass.URGENT: 1.0,
    ServiceClass.STANDARD: 0.9,
    ServiceClass.BATCH: 0.6,
}


def predicted_first_ms(backend: Backend, typical_load: float, now_ms: float) -> float:
    """Return the likely time from dispatch to the beginning of an answer."""
    load = backend.expected_load(typical_load, now_ms)
    return backend.queue_wait_ms(load, now_ms) + backend.decayed_first_event_ms(now_ms)


def can_begin_in_time(
    backend: Backend, call: Call, typical_load: float, now_ms: float
) -> bool:
    """Return whether the answer is likely to begin in time there.

    A less urgent class leaves a part of its time unused, so that it gives way
    first when load rises.
    """
    left_ms = (call.first_by_ms - now_ms) * _HEADROOM[call.entry.service_class]
    return predicted_first_ms(backend, typical_load, now_ms) <= left_ms
