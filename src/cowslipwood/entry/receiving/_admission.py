"""Predicts whether a backend server can begin an answer in time.

Routing uses the prediction to refuse a request that would miss its latest time
for a first token, before the request is sent.
"""

from ...catalogue import ServiceClass
from ..choosing._backend import Backend
from ._call import Call

__all__ = ["can_begin_in_time", "predict_first_token_ms"]

# Share of a request's remaining time that the predicted wait may fill, by class.
# Less urgent classes may use less of it, so they are refused first as load rises.
_USABLE_TIME_SHARE = {
    ServiceClass.URGENT: 1.0,
    ServiceClass.STANDARD: 0.9,
    ServiceClass.BATCH: 0.6,
}


def predict_first_token_ms(
    backend: Backend, typical_others_load_share: float, now_ms: float
) -> float:
    """Return the predicted milliseconds from dispatch to the start of the answer."""
    load = backend.expected_load(typical_others_load_share, now_ms)
    return backend.queue_wait_ms(load, now_ms) + backend.decayed_first_event_ms(now_ms)


def can_begin_in_time(
    backend: Backend, call: Call, typical_others_load_share: float, now_ms: float
) -> bool:
    """Return whether the server is likely to begin the answer in time.

    Standard and batch requests may use only a share of their remaining time, so
    they are refused before urgent requests when load rises.
    """
    usable_ms = (call.first_token_due_ms - now_ms) * _USABLE_TIME_SHARE[
        call.entry.service_class
    ]
    return (
        predict_first_token_ms(backend, typical_others_load_share, now_ms) <= usable_ms
    )
